package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// otherWeights rejects a request as an upstream does that has other weights than the client expects. field names the
// upstream; it is empty if the response names none.
func otherWeights(field string) responder {
	return func(c net.Conn, q *http.Request, _ string) {
		line := ""
		if field != "" {
			line = field + ": " + q.Header.Get("Upstream") + "\r\n"
		}
		fmt.Fprintf(c, "HTTP/1.1 421 X\r\nId: %s\r\n%sContent-Length: 0\r\n\r\n", q.Header.Get("Id"), line)
	}
}

func expectWeights(q *http.Request) { q.Header.Set("Weights", "2") }

// Guards against one request for weights that no upstream has, after which all upstreams count as replaced and every
// other request is refused (review/5).
func TestRequestForOtherWeightsTakesNoUpstreamAway(t *testing.T) {
	t.Parallel()
	for _, field := range []string{"Responder", "At-Fault", ""} {
		rejects := otherWeights(field)
		f := newFixture(t, rejects, rejects, completeResponse(200, "first"), completeResponse(200, "second"))
		status, _, _, err := f.send(t, "/stream/", expectWeights)
		require.NoError(t, err)
		require.Equal(t, http.StatusMisdirectedRequest, status, "the request has not run: no upstream has the weights")
		require.Len(t, f.receivedRequests(), 2)
		for range 2 {
			status, _, _, err = f.send(t, "/once/", nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status, field)
		}
	}
}

// Guards against a request that fails although another upstream has the expected weights.
func TestRequestFindsTheUpstreamWithItsWeights(t *testing.T) {
	t.Parallel()
	f := newFixture(t, otherWeights("Responder"), completeResponse(200, "fine"))
	status, _, body, err := f.send(t, "/once/", expectWeights)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "fine", body)
}

// Guards against an upstream that stays in use although another one has its address, also if the request that shows it
// expects weights.
func TestReplacedUpstreamGetsNoFurtherRequests(t *testing.T) {
	t.Parallel()
	replaced := func(c net.Conn, q *http.Request, _ string) {
		fmt.Fprintf(c, "HTTP/1.1 421 X\r\nId: %s\r\nResponder: successor\r\nContent-Length: 0\r\n\r\n", q.Header.Get("Id"))
	}
	f := newFixture(t, replaced, completeResponse(200, "fine"), completeResponse(200, "fine"), completeResponse(200, "fine"))
	for range 3 {
		status, _, _, err := f.send(t, "/once/", expectWeights)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	}
	received := f.receivedRequests()
	require.Len(t, received, 4)
	for _, q := range received[1:] {
		require.NotEqual(t, received[0].Header.Get("Upstream"), q.Header.Get("Upstream"))
	}
}
