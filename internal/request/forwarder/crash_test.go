package forwarder_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// headOnly sends the head of a stream and closes the connection, as an upstream does that crashes when it begins to
// respond.
func headOnly(c net.Conn, q *http.Request, _ string) {
	fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Id"))
}

// Guards against a request that is sent to one upstream after the other while it crashes each of them, and against a
// response which states that it did not run.
func TestRequestThatCrashedItsUpstreamIsNotSentAgain(t *testing.T) {
	t.Parallel()
	var dials atomic.Int32
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials.Add(1) == 2 {
			return nil, syscall.ECONNREFUSED
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	f := newFixtureWithDialer(t, dial, headOnly, streamEvents(1, 2, true))
	status, _, _, err := f.send(t, "/stream/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, status)
	status, header, _, err := f.send(t, "/stream/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	retryAfter, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, retryAfter, 30.0, "an earlier retry is refused again")
	require.Len(t, f.receivedRequests(), 1)
	require.Contains(t, f.log.String(), `"event":727`)
}

// Guards against requests that are refused since a connection broke although its upstream lives.
func TestBrokenConnectionOfALiveUpstreamIsNoCrash(t *testing.T) {
	t.Parallel()
	f := newFixture(t, headOnly, streamEvents(1, 2, true))
	status, _, body, err := f.send(t, "/stream/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, "data: e2")
	require.NotContains(t, f.log.String(), `"event":727`)
}
