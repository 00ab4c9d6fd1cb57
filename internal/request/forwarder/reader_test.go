package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slots is the number of slots of all upstreams of a fixture.
const slots = 8

// largeResponse is more than the buffers of a connection hold.
func largeResponse(c net.Conn, q *http.Request, _ string) {
	const length = 8 << 20
	fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nStamp: s\r\nContent-Length: %d\r\n\r\n", q.Header.Get("Id"), length)
	_, _ = io.WriteString(c, strings.Repeat("x", length))
}

// Guards against clients that stop reading and keep the slots of all upstreams for as long as they are connected, so that
// every other request is refused (review/3).
func TestClientsThatStopReadingReleaseTheirUpstreams(t *testing.T) {
	t.Parallel()
	responders := make([]responder, slots)
	for i := range responders {
		responders[i] = largeResponse
	}
	f := newFixture(t, append(responders, completeResponse(200, "fine"))...)
	for i := range slots {
		c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		require.NoError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
		_, err = fmt.Fprintf(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nId: unread-%d\r\nKey: key\r\nDeadline: 2000\r\nContent-Length: 0\r\n\r\n", i)
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return len(f.receivedRequests()) == slots }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		return strings.Count(f.log.String(), `"event":702`) == slots
	}, 10*time.Second, 10*time.Millisecond, "all requests end")
	require.Contains(t, f.log.String(), "the client did not read the response in time")
	status, _, body, err := f.send(t, "/again/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "fine", body)
	require.NotContains(t, f.log.String(), "connection broke")
}

// blockedWriter is the response of a client that reads nothing until it is released.
type blockedWriter struct {
	header   http.Header
	released chan struct{}
}

func (w *blockedWriter) Header() http.Header { return w.header }

func (w *blockedWriter) WriteHeader(int) {}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	return len(p), nil
}

// Guards against a slot that stays in use while the client reads a response that the upstream has sent completely.
func TestSlotIsFreeWhileTheClientReads(t *testing.T) {
	t.Parallel()
	responders := make([]responder, slots+1)
	for i := range responders {
		responders[i] = completeResponse(200, "fine")
	}
	f := newFixture(t, responders...)
	released := make(chan struct{})
	var blocked sync.WaitGroup
	for i := range slots {
		q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/again/", http.NoBody)
		require.NoError(t, err)
		q.Host, q.RequestURI = "h", "/again/"
		q.Header.Set("Id", fmt.Sprint("blocked-", i))
		q.Header.Set("Key", "key")
		blocked.Go(func() { f.handler.ServeHTTP(&blockedWriter{header: http.Header{}, released: released}, q) })
	}
	require.Eventually(t, func() bool { return len(f.receivedRequests()) == slots }, 5*time.Second, time.Millisecond)
	status, _, _, err := f.send(t, "/again/", nil)
	close(released)
	blocked.Wait()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
}
