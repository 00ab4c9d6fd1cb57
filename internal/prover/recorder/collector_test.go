package recorder_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/prover/recorder"
	"currantledge.example/currantledge/internal/standin/engineserver"
	"currantledge.example/currantledge/internal/standin/serviceserver"
	"currantledge.example/currantledge/internal/standin/simulator"
)

func serviceExchange(path, key string, refused bool) *recorder.Exchange {
	s := &recorder.ServiceCall{Customer: testCustomer, Method: http.MethodPost, Path: path, Key: key}
	e := &recorder.Exchange{Service: s, Status: http.StatusOK, Header: http.Header{}, Body: serviceserver.ResponseBody(s.Method, path, nil), Request: "request of " + path}
	if refused {
		e.Status = http.StatusServiceUnavailable
		e.Header.Set("Content-Type", "application/problem+json")
		e.Body = []byte(problemBody("notRun"))
	}
	return e
}

func modelExchange(customer string, request string, digest identifier.Digest) *recorder.Exchange {
	m := streamedRequest()
	m.Customer = customer
	output := engineserver.Output(digest, []byte(m.Prompt), testTokens)
	return &recorder.Exchange{
		Model:      &m,
		Status:     http.StatusOK,
		Header:     http.Header{"Content-Type": {"text/event-stream"}},
		Body:       []byte(textEvent(output) + endMarker),
		Request:    request,
		Start:      time.Unix(0, 0),
		TokenTimes: []time.Time{time.Unix(1, 0)},
	}
}

func serviceCall(path string, outcome simulator.Outcome) simulator.Call {
	return simulator.Call{Request: "request of " + path, Method: http.MethodPost, Path: path, Outcome: outcome}
}

func modelCall(request string, digest identifier.Digest) simulator.Call {
	return simulator.Call{Request: request, Customer: digest, Outcome: simulator.OutcomeComplete}
}

func recordOf(group string, r simulator.Record) recorder.SourceRecord {
	return recorder.SourceRecord{Source: recorder.Source{Name: "source", Group: group}, Record: r}
}

func stepsOf(versions ...identifier.MapVersion) simulator.Record {
	var r simulator.Record
	for i, version := range versions {
		r.Steps = append(r.Steps, simulator.Step{Step: identifier.Step(i), MapVersion: version})
	}
	return r
}

// Guards against a violated guarantee that Examine does not report, and against a reported violation of a guarantee that
// was kept.
func TestExamine(t *testing.T) {
	complete, crashed, refused := simulator.OutcomeComplete, simulator.OutcomeCrashed, simulator.OutcomeRefused
	calls := func(calls ...simulator.Call) []recorder.SourceRecord {
		return []recorder.SourceRecord{recordOf("", simulator.Record{Calls: calls})}
	}
	cases := []struct {
		name      string
		exchanges []*recorder.Exchange
		records   []recorder.SourceRecord
		// guarantee is the violated guarantee, or empty.
		guarantee  string
		duplicated int
	}{
		{
			"keyed call resent and run once",
			[]*recorder.Exchange{serviceExchange("/a", "k", true), serviceExchange("/a", "k", false)},
			calls(serviceCall("/b", complete), simulator.Call{Request: "other", Method: http.MethodPost, Path: "/a", Outcome: complete}),
			"", 0,
		},
		{
			"keyed call run on two runners",
			[]*recorder.Exchange{serviceExchange("/a", "k", false), serviceExchange("/a", "k", false)},
			append(calls(serviceCall("/a", complete)), calls(serviceCall("/a", crashed))...),
			recorder.GuaranteeAtMostOnce, 1,
		},
		{
			"call without a key run twice",
			[]*recorder.Exchange{serviceExchange("/a", "", false)},
			calls(serviceCall("/a", crashed), serviceCall("/a", complete)),
			recorder.GuaranteeAtMostOnce, 1,
		},
		{
			"call without a key sent twice by its caller",
			[]*recorder.Exchange{serviceExchange("/a", "", false), serviceExchange("/a", "", false)},
			calls(serviceCall("/a", complete), serviceCall("/a", complete)),
			"", 0,
		},
		{
			"refused call that ran",
			[]*recorder.Exchange{serviceExchange("/a", "k", true)},
			calls(serviceCall("/a", crashed)),
			recorder.GuaranteeNotRunIsTrue, 0,
		},
		{
			"refused call that ran under another request id",
			[]*recorder.Exchange{serviceExchange("/a", "k", true)},
			calls(simulator.Call{Request: "other", Method: http.MethodPost, Path: "/a", Outcome: complete}),
			recorder.GuaranteeNotRunIsTrue, 0,
		},
		{
			"refused call that the upstream refused",
			[]*recorder.Exchange{serviceExchange("/a", "k", true)},
			calls(serviceCall("/a", refused)),
			"", 0,
		},
		{
			"two customers",
			[]*recorder.Exchange{modelExchange("one", "1", "d1"), modelExchange("two", "2", "d2")},
			calls(modelCall("1", "d1"), modelCall("2", "d2")),
			"", 0,
		},
		{
			"responses of two customers exchanged",
			[]*recorder.Exchange{modelExchange("one", "1", "d2"), modelExchange("two", "2", "d1")},
			calls(modelCall("1", "d1"), modelCall("2", "d2")),
			recorder.GuaranteeOwnResponse, 0,
		},
		{
			"customer with two digests",
			[]*recorder.Exchange{modelExchange("one", "1", "d1"), modelExchange("one", "2", "d2")},
			calls(modelCall("1", "d1"), modelCall("2", "d2")),
			recorder.GuaranteeOwnResponse, 0,
		},
		{
			"two customers with one digest",
			[]*recorder.Exchange{modelExchange("one", "1", "d"), modelExchange("two", "2", "d")},
			calls(modelCall("1", "d"), modelCall("2", "d")),
			recorder.GuaranteeOwnResponse, 0,
		},
		{
			"resumed with a wrong text",
			nil,
			calls(simulator.Call{Request: "1", WrongPrefix: true, Outcome: complete}),
			recorder.GuaranteeOwnResponse, 0,
		},
		{"at the capacity", nil, []recorder.SourceRecord{recordOf("", simulator.Record{MaxExcess: 0})}, "", 0},
		{"above the capacity", nil, []recorder.SourceRecord{recordOf("", simulator.Record{MaxExcess: 1})}, recorder.GuaranteeNoOverload, 0},
		{"one map", nil, []recorder.SourceRecord{recordOf("g", stepsOf(1, 1, 2)), recordOf("g", stepsOf(1, 1, 2))}, "", 0},
		{"mixed maps", nil, []recorder.SourceRecord{recordOf("g", stepsOf(1, 1, 2)), recordOf("g", stepsOf(1, 2, 2))}, recorder.GuaranteeOneMap, 0},
		{"maps of two groups", nil, []recorder.SourceRecord{recordOf("g", stepsOf(1)), recordOf("h", stepsOf(2))}, "", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			report := recorder.Examine(c.exchanges, c.records)
			require.Equal(t, c.duplicated, report.Duplicated)
			if c.guarantee == "" {
				require.Empty(t, report.Violations)
				return
			}
			require.NotEmpty(t, report.Violations)
			require.Equal(t, c.guarantee, report.Violations[0].Guarantee, "%v", report.Violations)
		})
	}
}

// Guards against a summary whose counts do not match the outcomes, and against a wrong quantile of the time to first
// token.
func TestSummary(t *testing.T) {
	exchanges := []*recorder.Exchange{
		modelExchange("one", "1", "d1"),
		serviceExchange("/a", "k", true),
		serviceExchange("/b", "k", false),
	}
	report := recorder.Examine(exchanges, []recorder.SourceRecord{recordOf("", simulator.Record{
		Calls: []simulator.Call{modelCall("1", "d1"), serviceCall("/b", simulator.OutcomeComplete)},
	})})
	require.Equal(t, "sent=3 complete=2 notRun=1 unknown=0 wrong=0 cut=0 duplicated=0", report.Summary().String())
	require.False(t, report.Summary().Failed())
	require.True(t, recorder.Summary{Cut: 1}.Failed())
	require.True(t, recorder.Summary{Wrong: 1}.Failed())
	require.True(t, recorder.Summary{Duplicated: 1}.Failed())
	isModelRequest := func(e *recorder.Exchange) bool { return e.Model != nil }
	require.Equal(t, time.Second, report.FirstTokenQuantile(0.95, isModelRequest))
}

// Guards against a format of records that differs between Collect and the stand-ins, and against a stopped stand-in that
// Collect ignores.
func TestCollectFromARealStandin(t *testing.T) {
	server, err := serviceserver.New(serviceserver.Config{Simulator: simulator.Config{Address: "127.0.0.1:0"}, Latency: -1})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(ctx) }()
	url := "http://" + server.Address()
	response, err := http.Post(url+"/orders?call=1", "text/plain", strings.NewReader("order"))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())

	records, err := recorder.Collect(t.Context(), []recorder.Source{{Name: "shop", URL: url}})
	require.NoError(t, err)
	require.Len(t, records, 1)
	require.Len(t, records[0].Record.Calls, 1)
	require.Equal(t, "/orders?call=1", records[0].Record.Calls[0].Path)
	http.DefaultClient.CloseIdleConnections()
	cancel()
	require.NoError(t, <-stopped)

	_, err = recorder.Collect(t.Context(), []recorder.Source{{Name: "shop", URL: url}})
	require.ErrorContains(t, err, "shop")
}
