package accepter_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/accepter"
	"currantledge.example/currantledge/internal/connection/shedder"
)

// Guards against a data race, and a request that counts as a head, when the next request arrives while a handler starts.
func TestNextRequestArrivesWhileAHandlerStarts(t *testing.T) {
	t.Parallel()
	l := serve(t, ample, echo)
	c, r := dial(t, l)
	const requests = 2000
	go func() {
		for range requests {
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		}
	}()
	for range requests {
		status, _ := readResponse(t, r)
		require.Equal(t, http.StatusOK, status)
	}
	require.Eventually(t, func() bool { return l.Bytes() == shedder.ConnectionBytes }, timeout, time.Millisecond)
}

// Guards against a second response after that of the listener, which could be taken for that of another request.
func TestOversizedHeadGetsOneResponse(t *testing.T) {
	t.Parallel()
	l := serve(t, ample, echo)
	c, r := dial(t, l)
	_, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nLong: %s", strings.Repeat("x", 20<<10))
	require.NoError(t, err)
	status, _ := readResponse(t, r)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status)
	rest, _ := io.ReadAll(r)
	require.Empty(t, string(rest))
}

// Guards against kept connections whose heads are bounded by an earlier configuration, as when clients got 431 for heads that
// the one in force allows (review case 15), and against a head that is refused since the limit is lowered while it arrives.
func TestHeadsHaveTheLimitInForce(t *testing.T) {
	t.Parallel()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var limit atomic.Int64
	limit.Store(16 << 10)
	l := serveOn(t, inner, accepter.Config{Limits: ample, HeaderBytes: func() int { return int(limit.Load()) }}, echo)
	const begin, end = "GET / HTTP/1.1\r\nHost: h\r\nLong: ", "\r\n\r\n"
	for _, change := range []struct {
		name          string
		before, after int64
		head          int
		status        int
		beforeHead    bool
	}{
		{"raised before the head", 16 << 10, 32 << 10, 30_000, http.StatusOK, true},
		{"raised in the head", 16 << 10, 32 << 10, 30_000, http.StatusOK, false},
		{"lowered before the head", 32 << 10, 16 << 10, 30_000, http.StatusRequestHeaderFieldsTooLarge, true},
		{"lowered in the head", 32 << 10, 16 << 10, 30_000, http.StatusOK, false},
		{"raised too little", 16 << 10, 20 << 10, 30_000, http.StatusRequestHeaderFieldsTooLarge, false},
	} {
		limit.Store(change.before)
		c, r := dial(t, l)
		_, err := io.WriteString(c, begin+end)
		require.NoError(t, err)
		status, _ := readResponse(t, r)
		require.Equal(t, http.StatusOK, status)
		if change.beforeHead {
			limit.Store(change.after)
		}
		require.Eventually(t, func() bool { return l.Bytes() == shedder.ConnectionBytes }, timeout, time.Millisecond)
		_, err = io.WriteString(c, begin+strings.Repeat("x", 10_000))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return l.Bytes() >= shedder.ConnectionBytes+10_000 }, timeout, time.Millisecond)
		limit.Store(change.after)
		_, err = io.WriteString(c, strings.Repeat("x", change.head-10_000)+end)
		require.NoError(t, err)
		status, _ = readResponse(t, r)
		require.Equal(t, change.status, status, change.name)
		require.NoError(t, c.Close())
	}
}

// Guards against a response that waits for a body which the client only sends after a 100.
func TestExpectationIsAnsweredWithoutTheBody(t *testing.T) {
	t.Parallel()
	l := serve(t, ample, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	c, r := dial(t, l)
	require.NoError(t, c.SetDeadline(time.Now().Add(timeout/2)))
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
	require.NoError(t, err)
	status, _ := readResponse(t, r)
	require.Equal(t, http.StatusNotFound, status)
}

// Guards against bodies that are waited for without a limit once a planned stop has closed the listener.
func TestBodiesExpireAfterTheListenerIsClosed(t *testing.T) {
	t.Parallel()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := accepter.New(inner, accepter.Config{Limits: ample})
	started := make(chan struct{})
	server := &http.Server{ReadHeaderTimeout: timeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		accepter.HolderOf(r.Context()).SetBodyUntil(time.Now().Add(100 * time.Millisecond))
		close(started)
		echo(w, r)
	})}
	l.Install(server)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	c, r := dial(t, l)
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na")
	require.NoError(t, err)
	<-started
	require.NoError(t, l.Close())
	status, _ := readResponse(t, r)
	require.Equal(t, http.StatusRequestTimeout, status)
}
