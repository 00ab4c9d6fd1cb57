package accepter_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/accepter"
	"currantledge.example/currantledge/internal/connection/shedder"
)

const timeout = 10 * time.Second

// serve starts a server behind a Listener until the test ends.
func serve(t *testing.T, limits shedder.Limits, handler http.HandlerFunc) *accepter.Listener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return serveOn(t, inner, accepter.Config{Limits: limits, CountBodies: true}, handler)
}

// serveOn starts a server behind a Listener of a configuration until the test ends.
func serveOn(t *testing.T, inner net.Listener, cfg accepter.Config, handler http.HandlerFunc) *accepter.Listener {
	t.Helper()
	l := accepter.New(inner, cfg)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: timeout, MaxHeaderBytes: 64 << 10}
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
	return l
}

func dial(t *testing.T, l *accepter.Listener) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(timeout)))
	return c, bufio.NewReader(c)
}

func readResponse(t *testing.T, r *bufio.Reader) (int, string) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestTimeout)
		return
	}
	_, _ = w.Write(body)
}

var ample = shedder.Limits{Bytes: 10 << 20, Connections: 100}

// Guards against memory that stays counted after requests and connections have ended, and against requests that are
// changed by the count, whole, in chunks and sent ahead on one connection.
func TestRequestsAreServedAndGivenBack(t *testing.T) {
	t.Parallel()
	l := serve(t, ample, echo)
	c, r := dial(t, l)
	request := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
	chunked := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n"
	_, err := io.WriteString(c, strings.Repeat(request+chunked, 50))
	require.NoError(t, err)
	for range 50 {
		for _, expected := range []string{"abc", "def"} {
			status, body := readResponse(t, r)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, expected, body)
		}
	}
	require.Eventually(t, func() bool { return l.Bytes() == shedder.ConnectionBytes }, timeout, time.Millisecond)
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return l.Bytes() == 0 && l.Connections() == 0 }, timeout, time.Millisecond)
	require.Zero(t, l.Shed()+l.Refused()+l.Oversized()+l.Expired())
}

// Guards against heads over the limit that are read further, and against heads within it that are refused.
func TestHeadsOverTheLimitAreRefused(t *testing.T) {
	t.Parallel()
	l := serve(t, ample, echo)
	c, r := dial(t, l)
	_, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nLong: %s\r\n\r\n", strings.Repeat("x", 16<<10-50))
	require.NoError(t, err)
	status, _ := readResponse(t, r)
	require.Equal(t, http.StatusOK, status)
	_, err = fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nLong: %s", strings.Repeat("x", 20<<10))
	require.NoError(t, err)
	status, _ = readResponse(t, r)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status)
	require.Equal(t, int64(1), l.Oversized())
}

// Guards against heads that are small as bytes and large once parsed, also if they arrive in one read with other requests.
func TestHeadsOfManyFieldsCount(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	defer close(release)
	l := serve(t, ample, func(http.ResponseWriter, *http.Request) { <-release })
	c, _ := dial(t, l)
	var fields strings.Builder
	for i := range 1000 {
		fmt.Fprintf(&fields, "%x:\r\n", i+0x100)
	}
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+fields.String()+"\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return l.Bytes() > 150_000 }, timeout, time.Millisecond)
}

// Guards against a request that is neither run nor refused with a true status when there is no room for it, and against
// one that is refused when nothing else is going on.
func TestRequestWithoutRoomIsRefusedUnrun(t *testing.T) {
	t.Parallel()
	release, runs := make(chan struct{}), make(chan struct{}, 100)
	limits := shedder.Limits{Bytes: 4 * (shedder.ConnectionBytes + shedder.RequestBytes), Connections: 100}
	l := serve(t, limits, func(http.ResponseWriter, *http.Request) {
		runs <- struct{}{}
		<-release
	})
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for range 3 {
		c, _ := dial(t, l)
		_, err := io.WriteString(c, request)
		require.NoError(t, err)
		<-runs
	}
	for range 5 {
		c, r := dial(t, l)
		_, err := io.WriteString(c, request)
		require.NoError(t, err)
		if len(runs) > 0 {
			<-runs
			continue
		}
		if l.Refused() == 0 {
			continue
		}
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			// An older connection that asks for room may have it closed while its head is read, which promises nothing.
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			require.Positive(t, l.Shed())
			continue
		}
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	}
	require.Eventually(t, func() bool { return l.Refused() > 0 }, timeout, time.Millisecond)
	require.LessOrEqual(t, len(runs), 1)
	require.LessOrEqual(t, l.Bytes(), limits.Bytes+limits.Bytes/8)
	close(release)
	require.Eventually(t, func() bool { return l.Bytes() <= 9*shedder.ConnectionBytes }, timeout, time.Millisecond)
}

// Guards against more connections than the limit, and against a new client that is kept out by those that send nothing.
func TestNewConnectionsReplaceThoseWithoutARequest(t *testing.T) {
	t.Parallel()
	l := serve(t, shedder.Limits{Bytes: 10 << 20, Connections: 20}, echo)
	for range 60 {
		dial(t, l)
	}
	for range 10 {
		c, r := dial(t, l)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		require.NoError(t, err)
		status, _ := readResponse(t, r)
		require.Equal(t, http.StatusOK, status)
	}
	require.Eventually(t, func() bool { return l.Connections() <= 20 }, timeout, time.Millisecond)
	require.Positive(t, l.Shed())
}
