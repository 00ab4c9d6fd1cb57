package requester_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/requester"
)

const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// serve accepts connections, calls handle with each and its number from 1, and returns the address.
func serve(t *testing.T, handle func(n int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// readRequest reads one request with its body.
func readRequest(r *bufio.Reader) error {
	q, err := http.ReadRequest(r)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, q.Body)
	return err
}

func get(t *testing.T, r *requester.Requester, address string, q requester.Request) (string, error) {
	t.Helper()
	q.Address, q.Method, q.Target, q.Host = address, http.MethodGet, "/x", "h"
	got, err := r.Do(t.Context(), q)
	if err != nil {
		return "", err
	}
	defer got.Close()
	body, err := io.ReadAll(got.Body)
	return string(body), err
}

// Guards against a refused connection that counts as a request that may have run.
func TestRefusedConnectionCountsAsNotSent(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	_, err = get(t, requester.New(requester.Config{}), l.Addr().String(), requester.Request{})
	require.True(t, errors.Is(err, requester.ErrNotSent), "%v", err)
}

// Guards against a request that counts as not sent although the upstream may have run it before the connection broke.
func TestBrokenConnectionCountsAsSent(t *testing.T) {
	t.Parallel()
	address := serve(t, func(_ int, _ net.Conn, r *bufio.Reader) { _ = readRequest(r) })
	_, err := get(t, requester.New(requester.Config{}), address, requester.Request{})
	require.Error(t, err)
	require.False(t, errors.Is(err, requester.ErrNotSent), "%v", err)
}

// Guards against an unrequested response that is taken for the response to the next request.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	t.Parallel()
	written := make(chan struct{})
	address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		for {
			if err := readRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, response)
			if n == 1 {
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
				close(written)
			}
		}
	})
	r := requester.New(requester.Config{})
	for range 3 {
		body, err := get(t, r, address, requester.Request{})
		require.NoError(t, err)
		require.Equal(t, "ok", body)
		<-written
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against a new connection for each request, which occupies a slot of the upstream for a moment.
func TestCleanConnectionIsReused(t *testing.T) {
	t.Parallel()
	connections := make(chan int, 8)
	address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		connections <- n
		for {
			if err := readRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, response)
		}
	})
	r := requester.New(requester.Config{})
	for range 3 {
		_, err := get(t, r, address, requester.Request{})
		require.NoError(t, err)
	}
	require.Len(t, connections, 1)
	_, err := get(t, r, address, requester.Request{NewConnection: true})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(connections) == 2 }, time.Second, time.Millisecond)
}

// Guards against the next request being read as the rest of a long body: an upstream may respond before it has read the
// body, and the connection must not carry another request until the body is sent.
func TestConnectionIsNotReusedBeforeBodyIsSent(t *testing.T) {
	t.Parallel()
	bodies := make(chan string, 2)
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, response)
			time.Sleep(50 * time.Millisecond)
			body, _ := io.ReadAll(q.Body)
			bodies <- string(body)
		}
	})
	r := requester.New(requester.Config{})
	long := make([]byte, 8<<20)
	_, _ = get(t, r, address, requester.Request{Body: long})
	short, err := get(t, r, address, requester.Request{Body: []byte("short")})
	require.NoError(t, err)
	require.Equal(t, "ok", short)
	require.Eventually(t, func() bool {
		select {
		case b := <-bodies:
			return b == "short"
		default:
			return false
		}
	}, 2*time.Second, time.Millisecond)
}

// Guards against an upstream that goes on computing a response after its client has disconnected.
func TestCancelClosesConnection(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{})
	address := serve(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		_ = readRequest(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := requester.New(requester.Config{}).Do(ctx, requester.Request{Address: address, Method: http.MethodGet, Target: "/", Host: "h"})
	require.Error(t, err)
	select {
	case <-closed:
	case <-time.After(time.Second):
		require.Fail(t, "the connection stays open")
	}
}
