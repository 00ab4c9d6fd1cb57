package forwarder_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/request/admitter"
	"currantledge.example/currantledge/internal/request/forwarder"
	"currantledge.example/currantledge/internal/version/cataloguer"
)

// explain describes a request with a customer's key and one part of a prompt.
func (f *fixture) explain(t *testing.T, path, part string) forwarder.Explanation {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, http.NoBody)
	r.Host = "h"
	r.Header.Set("Key", "key")
	r.Header.Set("Deadline", "1000")
	r.Header.Set("Parts", part)
	return f.handler.(*forwarder.Forwarder).Explain(r)
}

// Guards against an explanation that decides by another route, customer, time limit or suspicion than the request itself,
// and against one that begins the trial of a suspected request, which would keep the request waiting.
func TestExplainResolvesAsForARequest(t *testing.T) {
	t.Parallel()
	f := newFixture(t, streamEvents(1, 2, true))
	e := f.explain(t, "/stream/x", "harmless")
	require.Equal(t, "/stream/", e.Route.Prefix)
	require.Equal(t, admitter.Request{
		Service: "s", Customer: "customer", Stream: true, NoClientRetry: true,
		GrantUntil: e.Arrived.Add(750 * time.Millisecond), Deadline: e.Arrived.Add(985 * time.Millisecond),
	}, e.Request, "with half of the timeout left, it is a client's retry")
	require.IsType(t, admitter.Granted{}, e.Outcome.(forwarder.Admission).Decision)

	f.screener.Merge(time.Now(), reportedCrash(1, "deadly", "perhaps"))
	for range 3 {
		e = f.explain(t, "/stream/x", "perhaps")
		require.NotEmpty(t, e.Request.IsolateBy)
		require.IsType(t, admitter.Granted{}, e.Outcome.(forwarder.Admission).Decision)
	}
	status, _, _, err := f.send(t, "/stream/", func(q *http.Request) { q.Header.Set("Parts", "perhaps") })
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	f.screener.Merge(time.Now(), reportedCrash(2, "fatal"))
	refused := f.explain(t, "/stream/x", "fatal").Outcome.(forwarder.Refused)
	require.Equal(t, forwarder.ReasonCrashes, refused.Reason)
	require.Greater(t, refused.RetryAfter, 30*time.Second)

	require.Equal(t, forwarder.Invalid{Status: http.StatusNotFound, Message: "no route"}, f.explain(t, "/none", "").Outcome)
	f.fleet.Store(&cataloguer.Fleet{})
	require.Equal(t, forwarder.ReasonNoConfiguration, f.explain(t, "/stream/x", "").Outcome.(forwarder.Refused).Reason)
}
