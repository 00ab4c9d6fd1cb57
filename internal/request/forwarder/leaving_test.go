package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// leavingResponse sends a complete response which announces that the upstream leaves.
func leavingResponse(status int) responder {
	return func(c net.Conn, q *http.Request, _ string) {
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\nStamp: s\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok", status, q.Header.Get("Id"))
	}
}

// Guards against requests to an upstream that only its responses announce to leave, and against an upstream that another
// one's late response takes out of use.
func TestUpstreamThatAnnouncesItsEndGetsNoMoreRequests(t *testing.T) {
	t.Parallel()
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
		responders := []responder{leavingResponse(status)}
		for range 20 {
			responders = append(responders, completeResponse(http.StatusOK, "ok"))
		}
		f := newFixture(t, responders...)
		for range 21 {
			_, _, _, err := f.send(t, "/once/x", nil)
			require.NoError(t, err)
		}
		received := f.receivedRequests()
		leaving := received[0].Header.Get("Upstream")
		for _, q := range received[1:] {
			require.NotEqual(t, leaving, q.Header.Get("Upstream"))
		}
	}
	lateResponse := func(c net.Conn, _ *http.Request, _ string) {
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 X\r\nId: other\r\nStamp: s\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok")
	}
	responders := []responder{lateResponse, lateResponse}
	for range 10 {
		responders = append(responders, completeResponse(http.StatusOK, "ok"))
	}
	f := newFixture(t, responders...)
	for range 10 {
		_, _, _, err := f.send(t, "/again/x", nil)
		require.NoError(t, err)
	}
	upstreams := map[string]bool{}
	for _, q := range f.receivedRequests()[2:] {
		upstreams[q.Header.Get("Upstream")] = true
	}
	require.NotEmpty(t, upstreams)
}
