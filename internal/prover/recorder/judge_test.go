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

// newEntry starts an entry that responds to every request with one function, and returns its base URL.
func newEntry(t *testing.T, respond http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Currantledge-Request", testRequest)
		respond(w, r)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func writeEvents(w http.ResponseWriter, parts ...string) {
	w.Header().Set("Content-Type", "text/event-stream")
	for _, part := range parts {
		fmt.Fprint(w, part)
		w.(http.Flusher).Flush()
	}
}

func textEvent(output []byte) string {
	raw, _ := json.Marshal(map[string]any{"choices": []any{map[string]any{"text": string(output)}}})
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

const endMarker = "data: [DONE]\n\n"

func streamedRequest() recorder.ModelRequest {
	return recorder.ModelRequest{Customer: testCustomer, Bearer: "key", Endpoint: recorder.EndpointCompletion, Model: "model", Prompt: testPrompt, Stream: true}
}

func sendModelRequest(t *testing.T, m recorder.ModelRequest, respond http.HandlerFunc) *recorder.Exchange {
	t.Helper()
	caller := recorder.NewCaller(&recorder.Log{})
	defer caller.Close()
	return caller.SendModelRequest(t.Context(), newEntry(t, respond), m)
}

// Guards against a truncated or wrong stream that is judged as complete, and against a refusal or a failed connection
// that is judged as wrong.
func TestJudgeStreams(t *testing.T) {
	output := engineserver.Output(testDigest, []byte(testPrompt), testTokens)
	half := output[:len(output)/2]
	otherOutput := engineserver.Output("another", []byte(testPrompt), testTokens)
	errorEvent := func(outcome string) string { return "event: error\ndata: " + problemBody(outcome) + "\n\n" }
	cases := []struct {
		name       string
		parts      []string
		disconnect bool
		outcome    recorder.Outcome
	}{
		{"complete", []string{textEvent(half), textEvent(output[len(half):]), endMarker}, false, recorder.OutcomeComplete},
		{"text is too short", []string{textEvent(half), endMarker}, false, recorder.OutcomeWrong},
		{"text is too long", []string{textEvent(output), textEvent(half), endMarker}, false, recorder.OutcomeWrong},
		{"text of another customer", []string{textEvent(otherOutput), endMarker}, false, recorder.OutcomeWrong},
		{"text of another customer is truncated", []string{textEvent(otherOutput[:9])}, true, recorder.OutcomeWrong},
		{"connection breaks", []string{textEvent(half)}, true, recorder.OutcomeCut},
		{"connection breaks within an event", []string{textEvent(half), "data: {"}, true, recorder.OutcomeCut},
		{"stream ends without end marker", []string{textEvent(output)}, false, recorder.OutcomeCut},
		{"error event after text", []string{textEvent(half), errorEvent("unknown")}, true, recorder.OutcomeCut},
		{"error event not run after text", []string{textEvent(half), errorEvent("notRun")}, true, recorder.OutcomeCut},
		{"error event before text", []string{errorEvent("notRun")}, true, recorder.OutcomeNotRun},
		{"error event and end marker", []string{errorEvent("unknown"), endMarker}, false, recorder.OutcomeWrong},
		{"event after the end marker", []string{textEvent(output), endMarker, textEvent(half)}, false, recorder.OutcomeWrong},
		{"not a completion", []string{"data: []\n\n", endMarker}, false, recorder.OutcomeWrong},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := sendModelRequest(t, streamedRequest(), func(w http.ResponseWriter, _ *http.Request) {
				writeEvents(w, c.parts...)
				if c.disconnect {
					panic(http.ErrAbortHandler)
				}
			})
			v := recorder.Judge(e, knownDigest)
			require.Equal(t, c.outcome, v.Outcome, "%s", v.Detail)
			require.Equal(t, testRequest, e.Request)
		})
	}
}

// Guards against a response that is judged as complete although the expected output is unknown.
func TestJudgeWithoutDigest(t *testing.T) {
	output := engineserver.Output(testDigest, []byte(testPrompt), testTokens)
	e := sendModelRequest(t, streamedRequest(), func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, textEvent(output), endMarker) })
	require.Equal(t, recorder.OutcomeWrong, recorder.Judge(e, unknownDigest).Outcome)
}

// Guards against an unstreamed response that is judged by its status alone, so that a wrong, truncated or missing body
// counts as complete.
func TestJudgeUnstreamedResponses(t *testing.T) {
	prompt := "user: " + testPrompt + "\n"
	output := string(engineserver.Output(testDigest, []byte(prompt), testTokens))
	completionBody := func(output string) string {
		raw, _ := json.Marshal(map[string]any{"choices": []any{map[string]any{"message": map[string]any{"content": output}}}})
		return string(raw)
	}
	cases := []struct {
		name    string
		respond http.HandlerFunc
		outcome recorder.Outcome
	}{
		{"complete", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, completionBody(output)) }, recorder.OutcomeComplete},
		{"short", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, completionBody(output[1:])) }, recorder.OutcomeWrong},
		{"empty", func(http.ResponseWriter, *http.Request) {}, recorder.OutcomeWrong},
		{"truncated", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "1000")
			fmt.Fprint(w, completionBody(output))
		}, recorder.OutcomeCut},
		{"no response", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, recorder.OutcomeCut},
		{"not run", func(w http.ResponseWriter, _ *http.Request) { writeProblem(w, 503, "notRun") }, recorder.OutcomeNotRun},
		{"unknown", func(w http.ResponseWriter, _ *http.Request) { writeProblem(w, 502, "unknown") }, recorder.OutcomeUnknown},
		{"problem with unknown outcome", func(w http.ResponseWriter, _ *http.Request) { writeProblem(w, 502, "maybe") }, recorder.OutcomeWrong},
		{"plain error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, recorder.OutcomeWrong},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := streamedRequest()
			m.Stream = false
			m.Endpoint = recorder.EndpointChat
			v := recorder.Judge(sendModelRequest(t, m, c.respond), knownDigest)
			require.Equal(t, c.outcome, v.Outcome, "%s", v.Detail)
		})
	}
}

// Guards against a service call that is sent incorrectly, and against the response to another call that is judged as
// complete.
func TestJudgeServiceCalls(t *testing.T) {
	call := recorder.ServiceCall{Customer: testCustomer, Bearer: "key", Service: "shop", Method: http.MethodPost, Path: "/orders?call=1", Body: []byte("order"), Key: "k-1"}
	caller := recorder.NewCaller(&recorder.Log{})
	defer caller.Close()
	entryURL := newEntry(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path == "/services/shop/orders" && r.Header.Get("Idempotency-Key") == "k-1" && r.Header.Get("Authorization") == "Bearer key" {
			_, _ = w.Write(serviceserver.ResponseBody(r.Method, "/orders?"+r.URL.RawQuery, body))
		}
	})
	require.Equal(t, recorder.OutcomeComplete, recorder.Judge(caller.SendServiceCall(t.Context(), entryURL, call), knownDigest).Outcome)
	otherURL := newEntry(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(serviceserver.ResponseBody(http.MethodPost, "/orders?call=2", []byte("order")))
	})
	require.Equal(t, recorder.OutcomeWrong, recorder.Judge(caller.SendServiceCall(t.Context(), otherURL, call), knownDigest).Outcome)
}

// Guards against a stream that is judged as cut although its caller ended it early, and against wrong text that is
// ignored in such a stream.
func TestJudgeAbandonedStreams(t *testing.T) {
	output := engineserver.Output(testDigest, []byte(testPrompt), testTokens)
	for firstText, outcome := range map[string]recorder.Outcome{
		string(output[:8]): recorder.OutcomeAbandoned,
		"foreign":          recorder.OutcomeWrong,
	} {
		url := newEntry(t, func(w http.ResponseWriter, r *http.Request) {
			writeEvents(w, textEvent([]byte(firstText)))
			<-r.Context().Done()
		})
		log := &recorder.Log{}
		caller := recorder.NewCaller(log)
		m := streamedRequest()
		m.AbandonAfter = 1
		e := caller.SendModelRequest(t.Context(), url, m)
		require.Equal(t, outcome, recorder.Judge(e, knownDigest).Outcome)
		require.Equal(t, []*recorder.Exchange{e}, log.Exchanges())
		caller.Close()
	}
}

// Guards against a time to first token that includes the wait for the rest of the response.
func TestTimeToFirstToken(t *testing.T) {
	const pause = 100 * time.Millisecond
	output := engineserver.Output(testDigest, []byte(testPrompt), testTokens)
	e := sendModelRequest(t, streamedRequest(), func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, textEvent(output[:8]))
		time.Sleep(pause)
		writeEvents(w, textEvent(output[8:]), endMarker)
	})
	require.Len(t, e.TokenTimes, 2)
	require.GreaterOrEqual(t, e.TokenTimes[1].Sub(e.TokenTimes[0]), pause/2)
	require.Less(t, e.TimeToFirstToken(), e.End.Sub(e.Start)-pause/2)
}
