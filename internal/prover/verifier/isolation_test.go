package verifier_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/recorder"
)

const (
	promptMarker = "marked-prompt"
	bodyMarker   = "marked-body"
	keyMarker    = "marked-key"
	nameMarker   = "marked-customer"
	// outputMarkerLength is the number of bytes at the start of each output that are searched for.
	outputMarkerLength = 24
)

// markedPlan returns a deployment whose customers have names and keys that contain markers. These occur nowhere else.
func markedPlan() launcher.Plan {
	plan := smallPlan()
	plan.LogLevel = "debug"
	for i := range plan.Customers {
		c := &plan.Customers[i]
		c.Name = fmt.Sprintf("%s-%d", nameMarker, i)
		c.Key = fmt.Sprintf("%s-bearer-%d", keyMarker, i)
	}
	return plan
}

// sendMarkedRequests sends requests with markers: some succeed, the others reuse an Idempotency-Key with another body,
// name an unknown model, have an unknown bearer key or crash an engine.
func (f *fixture) sendMarkedRequests() {
	for number := range 18 {
		entry := f.Entries[number%len(f.Entries)].CallerURL()
		m := f.modelRequest(number%len(f.Plan.Customers), number, 20)
		m.Prompt = promptMarker + " " + m.Prompt
		m.Stream = number%2 == 0
		call := f.nonIdempotentCall(number%len(f.Plan.Customers), number)
		call.Key, call.Body = fmt.Sprintf("%s-%d", keyMarker, number), []byte(bodyMarker)
		other := call
		other.Body = []byte(bodyMarker + " that differs")
		f.senders.Go(func() { f.caller.SendModelRequest(f.ctx, entry, m) })
		f.senders.Go(func() {
			f.caller.SendServiceCall(f.ctx, entry, call)
			f.caller.SendServiceCall(f.ctx, entry, other)
		})
	}
	f.senders.Wait()
	entry := f.Entries[0].CallerURL()
	unknownModel := f.modelRequest(0, 100, 8)
	unknownModel.Model, unknownModel.Prompt = "marked-prompt-model", promptMarker
	f.caller.SendModelRequest(f.ctx, entry, unknownModel)
	unknownKey := f.modelRequest(0, 101, 8)
	unknownKey.Bearer, unknownKey.Prompt = keyMarker+"-unknown", promptMarker
	f.caller.SendModelRequest(f.ctx, entry, unknownKey)
	crasher := f.modelRequest(1, 102, 8)
	crasher.Prompt, crasher.Stream = promptMarker+" crash-engine", false
	f.caller.SendModelRequest(f.ctx, entry, crasher)
}

// publishedTexts returns, by source, everything that the processes of the fleet publish except for successful
// responses: logs, metrics, status, decisions, nodes, explanations and problem details.
func (f *fixture) publishedTexts() map[string]string {
	f.t.Helper()
	out := map[string]string{}
	for _, n := range f.Nodes() {
		out["log of "+n.Name] = n.Process.Log()
	}
	for _, a := range f.Agents {
		out["metrics of "+a.Name] = f.get("http://" + a.MetricsAddress + "/debug/vars")
	}
	for _, e := range f.Entries {
		for _, path := range []string{"/debug/vars", "/api/v1/status", "/api/v1/decisions", "/api/v1/nodes"} {
			raw, err := f.CallOperatorAPIAt(f.ctx, e, http.MethodGet, path, nil)
			require.NoError(f.t, err)
			out[path+" of "+e.Name] = string(raw)
		}
	}
	for i, x := range f.log.Exchanges() {
		if strings.HasPrefix(x.Header.Get("Content-Type"), "application/problem+json") {
			out[fmt.Sprintf("problem %d", i)] = string(x.Body)
		}
		for _, e := range f.Entries {
			// An entry that did not serve the request has no decision about it and returns an error.
			if raw, err := f.CallOperatorAPIAt(f.ctx, e, http.MethodGet, "/api/v1/explain/"+x.Request, nil); err == nil {
				out[fmt.Sprintf("explanation %d by %s", i, e.Name)] = string(raw)
			}
		}
	}
	return out
}

func (f *fixture) get(url string) string {
	f.t.Helper()
	response, err := http.Get(url)
	require.NoError(f.t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return string(raw)
}

// outputMarkers returns the start of each output that a caller received in one body.
func (f *fixture) outputMarkers() []string {
	var out []string
	for _, x := range f.log.Exchanges() {
		var body struct {
			Choices []struct{ Message struct{ Content string } }
		}
		if x.Model == nil || x.Status != http.StatusOK || json.Unmarshal(x.Body, &body) != nil || len(body.Choices) == 0 {
			continue
		}
		text := body.Choices[0].Message.Content
		out = append(out, text[:min(len(text), outputMarkerLength)])
	}
	return out
}

// Guards against prompts, outputs, keys and names of customers in logs, metrics, decisions, explanations and errors of
// any process, after requests that succeed and requests that fail in several ways.
func TestCustomerDataDoesNotLeak(t *testing.T) {
	t.Parallel()
	f := newFixture(t, markedPlan())
	f.sendMarkedRequests()
	outputs := f.outputMarkers()
	require.NotEmpty(t, outputs)
	markers := slices.Concat(outputs, []string{promptMarker, bodyMarker, keyMarker, nameMarker})
	published := f.publishedTexts()
	sources := make([]string, 0, len(published))
	explained, problems := 0, 0
	for source := range published {
		sources = append(sources, source)
		if strings.HasPrefix(source, "explanation") {
			explained++
		}
		if strings.HasPrefix(source, "problem") {
			problems++
		}
	}
	require.Positive(t, explained, "no request was explained")
	require.Positive(t, problems, "no request was refused")
	sort.Strings(sources)
	for _, source := range sources {
		for _, marker := range markers {
			if at := strings.Index(published[source], marker); at >= 0 {
				line, _, _ := strings.Cut(published[source][max(0, at-100):], "\n")
				require.Fail(t, "leak", "%s contains %q: %s", source, marker, line)
			}
		}
	}
}

// Guards against a call that receives the response to a call of another customer with the same Idempotency-Key, sent at
// the same time or earlier.
func TestSameKeyOfTwoCustomers(t *testing.T) {
	t.Parallel()
	f := newFixture(t, smallPlan())
	for number := range 20 {
		for customer := range 2 {
			call := f.nonIdempotentCall(customer, number)
			call.Key = fmt.Sprintf("shared-%d", number)
			call.Body = fmt.Appendf(nil, "reservation of customer %d", customer)
			for _, e := range f.Entries {
				f.senders.Go(func() { f.caller.SendServiceCall(f.ctx, e.CallerURL(), call) })
			}
		}
	}
	f.senders.Wait()
	for _, x := range f.log.Exchanges() {
		require.Equal(t, http.StatusOK, x.Status, "%s of %s: %s", x.Service.Path, x.Customer(), x.Body)
		var response struct {
			Path      string
			Execution int
		}
		require.NoError(t, json.Unmarshal(x.Body, &response))
		require.Equal(t, x.Service.Path, response.Path, "response to %s", x.Customer())
		require.Equal(t, 1, response.Execution, "the service received the key of %s from another customer too", x.Customer())
	}
}

// Guards against an entry that serves a caller whose key is missing from the configuration, and against an operator API
// that accepts the key of a customer.
func TestUnknownKeysAreRefused(t *testing.T) {
	t.Parallel()
	f := newFixture(t, smallPlan())
	for i, e := range f.Entries {
		for n, key := range []string{"", "unknown", f.Plan.Customers[0].Key + "x", strings.ToUpper(f.Plan.Customers[0].Key)} {
			m := f.modelRequest(0, 10*i+n, 8)
			m.Bearer = key
			require.Equal(t, http.StatusUnauthorized, f.caller.SendModelRequest(f.ctx, e.CallerURL(), m).Status)
			call := f.nonIdempotentCall(0, 10*i+n)
			call.Bearer = key
			require.Equal(t, http.StatusUnauthorized, f.caller.SendServiceCall(f.ctx, e.CallerURL(), call).Status)
		}
		require.Equal(t, http.StatusUnauthorized, f.deleteCustomerAs(e, f.Plan.Customers[0].Key))
	}
	records, err := recorder.Collect(f.ctx, f.runningSources())
	require.NoError(t, err)
	for _, r := range records {
		require.Empty(t, r.Record.Calls, r.Source.Name)
	}
}

// deleteCustomerAs sends a request to delete a customer with a bearer key and returns the status.
func (f *fixture) deleteCustomerAs(e *launcher.Entry, key string) int {
	f.t.Helper()
	url := e.OperatorURL() + "/api/v1/customers/" + f.Plan.Customers[1].Name
	request, err := http.NewRequestWithContext(f.ctx, http.MethodDelete, url, http.NoBody)
	require.NoError(f.t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(f.t, err)
	defer response.Body.Close()
	return response.StatusCode
}

// Guards against a customer with 20 times the requests of the others whose queue delays theirs. With equal shares, the
// requests of the others end before most of its own.
func TestLargeCustomerLeavesOthersTheirShare(t *testing.T) {
	t.Parallel()
	const small, factor = 9, 20
	plan := smallPlan()
	plan.Groups[0].Limits = launcher.Limits{Cold: 4, Warm: 4, WarmAfter: 1}
	for i := range plan.Customers {
		plan.Customers[i].Share = 1
	}
	f := newFixture(t, plan)
	for number := range small * factor {
		entry := f.Entries[number%len(f.Entries)].CallerURL()
		f.senders.Go(func() { f.caller.SendModelRequest(f.ctx, entry, f.modelRequest(0, number, 20)) })
	}
	require.Eventually(t, func() bool { return len(f.log.Exchanges()) > 0 }, 10*time.Second, time.Millisecond)
	for number := range small {
		entry := f.Entries[number%len(f.Entries)].CallerURL()
		for customer := 1; customer <= 2; customer++ {
			f.senders.Go(func() { f.caller.SendModelRequest(f.ctx, entry, f.modelRequest(customer, number, 20)) })
		}
	}
	f.senders.Wait()
	var last time.Time
	for _, x := range f.log.Exchanges() {
		if x.Customer() != f.Plan.Customers[0].Name {
			require.Equal(t, http.StatusOK, x.Status, "%s", x.Body)
			if x.End.After(last) {
				last = x.End
			}
		}
	}
	before := 0
	for _, x := range f.log.Exchanges() {
		if x.Customer() == f.Plan.Customers[0].Name && x.End.Before(last) {
			before++
		}
	}
	require.LessOrEqual(t, before, small*factor/2, "requests of the large customer that ended before the others'")
	f.checkGuarantees()
}
