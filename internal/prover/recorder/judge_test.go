package recorder_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/prover/recorder"
	"currantledge.example/currantledge/internal/standin/engineserver"
	"currantledge.example/currantledge/internal/standin/serviceserver"
)

const (
	testCustomer = "customer"
	testDigest   = identifier.Digest("digest")
	testPrompt   = "prompt tokens=4"
	testTokens   = 4
	testRequest  = "00000000000000000000000000000001"
)

func knownDigest(customer string) (identifier.Digest, bool) {
	return testDigest, customer == testCustomer
}

func unknownDigest(string) (identifier.Digest, bool) {
	return "", false
}

// entry answers every request with one function.
func entry(t *testing.T, answer http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Currantledge-Request", testRequest)
		answer(w, r)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func events(w http.ResponseWriter, parts ...string) {
	w.Header().Set("Content-Type", "text/event-stream")
	for _, part := range parts {
		fmt.Fprint(w, part)
		w.(http.Flusher).Flush()
	}
}

func piece(text []byte) string {
	raw, _ := json.Marshal(map[string]any{"choices": []any{map[string]any{"text": string(text)}}})
	return "data: " + string(raw) + "\n\n"
}

func problemBody(outcome string) string {
	return fmt.Sprintf(`{"outcome":%q,"cause":"noCredit","remedy":"send it again"}`, outcome)
}

func writeProblem(w http.ResponseWriter, status int, outcome string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	fmt.Fprint(w, problemBody(outcome))
}

const done = "data: [DONE]\n\n"

func streamed() recorder.ModelRequest {
	return recorder.ModelRequest{Customer: testCustomer, Bearer: "key", Endpoint: recorder.EndpointCompletion, Model: "model", Prompt: testPrompt, Stream: true}
}

func ask(t *testing.T, m recorder.ModelRequest, answer http.HandlerFunc) *recorder.Exchange {
	t.Helper()
	caller := recorder.NewCaller(&recorder.Log{})
	defer caller.Close()
	return caller.Ask(t.Context(), entry(t, answer), m)
}

// Guards against a truncated or foreign stream that counts as complete, and against an honest refusal that does not
// count as one.
func TestJudgeStreams(t *testing.T) {
	text := engineserver.Output(testDigest, []byte(testPrompt), testTokens)
	half := text[:len(text)/2]
	foreign := engineserver.Output("another", []byte(testPrompt), testTokens)
	errorEvent := func(outcome string) string { return "event: error\ndata: " + problemBody(outcome) + "\n\n" }
	cases := []struct {
		name    string
		parts   []string
		abort   bool
		outcome recorder.Outcome
	}{
		{"whole", []string{piece(half), piece(text[len(half):]), done}, false, recorder.OutcomeComplete},
		{"text is short but marked as complete", []string{piece(half), done}, false, recorder.OutcomeWrong},
		{"text is too long", []string{piece(text), piece(half), done}, false, recorder.OutcomeWrong},
		{"text of another customer", []string{piece(foreign), done}, false, recorder.OutcomeWrong},
		{"text of another customer breaks off", []string{piece(foreign[:9])}, true, recorder.OutcomeWrong},
		{"connection breaks", []string{piece(half)}, true, recorder.OutcomeCut},
		{"connection breaks within an event", []string{piece(half), "data: {"}, true, recorder.OutcomeCut},
		{"stream ends without end mark", []string{piece(text)}, false, recorder.OutcomeCut},
		{"error event after text", []string{piece(half), errorEvent("unknown")}, true, recorder.OutcomeCut},
		{"error event not run after text", []string{piece(half), errorEvent("notRun")}, true, recorder.OutcomeCut},
		{"error event before text", []string{errorEvent("notRun")}, true, recorder.OutcomeNotRun},
		{"error event and end mark", []string{errorEvent("unknown"), done}, false, recorder.OutcomeWrong},
		{"event after the end mark", []string{piece(text), done, piece(half)}, false, recorder.OutcomeWrong},
		{"not a completion", []string{"data: []\n\n", done}, false, recorder.OutcomeWrong},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := ask(t, streamed(), func(w http.ResponseWriter, _ *http.Request) {
				events(w, c.parts...)
				if c.abort {
					panic(http.ErrAbortHandler)
				}
			})
			v := recorder.Judge(e, knownDigest)
			require.Equal(t, c.outcome, v.Outcome, "%s", v.Detail)
			require.Equal(t, testRequest, e.Request)
		})
	}
}

// Guards against an answer that is taken for right although nothing tells what is right.
func TestJudgeWithoutDigest(t *testing.T) {
	text := engineserver.Output(testDigest, []byte(testPrompt), testTokens)
	e := ask(t, streamed(), func(w http.ResponseWriter, _ *http.Request) { events(w, piece(text), done) })
	require.Equal(t, recorder.OutcomeWrong, recorder.Judge(e, unknownDigest).Outcome)
}

// Guards against whole answers that are judged by their status only.
func TestJudgeWholeAnswers(t *testing.T) {
	prompt := "user: " + testPrompt + "\n"
	text := string(engineserver.Output(testDigest, []byte(prompt), testTokens))
	whole := func(text string) string {
		raw, _ := json.Marshal(map[string]any{"choices": []any{map[string]any{"message": map[string]any{"content": text}}}})
		return string(raw)
	}
	cases := []struct {
		name    string
		answer  http.HandlerFunc
		outcome recorder.Outcome
	}{
		{"complete", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, whole(text)) }, recorder.OutcomeComplete},
		{"short", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, whole(text[1:])) }, recorder.OutcomeWrong},
		{"empty", func(http.ResponseWriter, *http.Request) {}, recorder.OutcomeWrong},
		{"breaks off", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "1000")
			fmt.Fprint(w, whole(text))
		}, recorder.OutcomeCut},
		{"no answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, recorder.OutcomeCut},
		{"not run", func(w http.ResponseWriter, _ *http.Request) { writeProblem(w, 503, "notRun") }, recorder.OutcomeNotRun},
		{"unknown", func(w http.ResponseWriter, _ *http.Request) { writeProblem(w, 502, "unknown") }, recorder.OutcomeUnknown},
		{"problem of no known outcome", func(w http.ResponseWriter, _ *http.Request) { writeProblem(w, 502, "maybe") }, recorder.OutcomeWrong},
		{"plain error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, recorder.OutcomeWrong},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := streamed()
			m.Stream = false
			m.Endpoint = recorder.EndpointChat
			v := recorder.Judge(ask(t, m, c.answer), knownDigest)
			require.Equal(t, c.outcome, v.Outcome, "%s", v.Detail)
		})
	}
}

// Guards against service calls that arrive changed or answers that belong to another call.
func TestJudgeServiceCalls(t *testing.T) {
	call := recorder.ServiceCall{Customer: testCustomer, Bearer: "key", Service: "shop", Method: http.MethodPost, Path: "/orders?call=1", Body: []byte("order"), Key: "k-1"}
	caller := recorder.NewCaller(&recorder.Log{})
	defer caller.Close()
	right := entry(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path == "/services/shop/orders" && r.Header.Get("Idempotency-Key") == "k-1" && r.Header.Get("Authorization") == "Bearer key" {
			_, _ = w.Write(serviceserver.ResponseBody(r.Method, "/orders?"+r.URL.RawQuery, body))
		}
	})
	require.Equal(t, recorder.OutcomeComplete, recorder.Judge(caller.Call(t.Context(), right, call), knownDigest).Outcome)
	other := entry(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(serviceserver.ResponseBody(http.MethodPost, "/orders?call=2", []byte("order")))
	})
	require.Equal(t, recorder.OutcomeWrong, recorder.Judge(caller.Call(t.Context(), other, call), knownDigest).Outcome)
}

// Guards against a caller's own end that counts as a cut answer, and against wrong text that it hides.
func TestJudgeAbandonedStreams(t *testing.T) {
	text := engineserver.Output(testDigest, []byte(testPrompt), testTokens)
	for start, outcome := range map[string]recorder.Outcome{
		string(text[:8]): recorder.OutcomeAbandoned,
		"foreign":        recorder.OutcomeWrong,
	} {
		url := entry(t, func(w http.ResponseWriter, r *http.Request) {
			events(w, piece([]byte(start)))
			<-r.Context().Done()
		})
		log := &recorder.Log{}
		caller := recorder.NewCaller(log)
		m := streamed()
		m.AbandonAfter = 1
		e := caller.Ask(t.Context(), url, m)
		require.Equal(t, outcome, recorder.Judge(e, knownDigest).Outcome)
		require.Equal(t, []*recorder.Exchange{e}, log.Exchanges())
		caller.Close()
	}
}

// Guards against times that include the wait for the rest of an answer.
func TestTimeToFirstToken(t *testing.T) {
	const pause = 100 * time.Millisecond
	text := engineserver.Output(testDigest, []byte(testPrompt), testTokens)
	e := ask(t, streamed(), func(w http.ResponseWriter, _ *http.Request) {
		events(w, piece(text[:8]))
		time.Sleep(pause)
		events(w, piece(text[8:]), done)
	})
	require.Len(t, e.Tokens, 2)
	require.GreaterOrEqual(t, e.Tokens[1].Sub(e.Tokens[0]), pause/2)
	require.Less(t, e.TimeToFirstToken(), e.End.Sub(e.Start)-pause/2)
}
