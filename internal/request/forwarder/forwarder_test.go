package forwarder_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/requester"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/meter"
	"currantledge.example/currantledge/internal/request/admitter"
	"currantledge.example/currantledge/internal/request/budgeter"
	"currantledge.example/currantledge/internal/request/forwarder"
	"currantledge.example/currantledge/internal/version/cataloguer"
)

var names = forwarder.HeaderNames{
	RequestID: "Id", Deadline: "Deadline", Key: "Key", Customer: "Customer", Upstream: "Upstream", Stamp: "Stamp",
	NotRun: "Not-Run", Load: "Load", LastEvent: "Last-Event-Id", Priority: "Priority",
}

// script answers the requests that an upstream gets, one function each.
type script func(c net.Conn, q *http.Request, body string)

// stage holds a forwarder with scripted upstreams.
type stage struct {
	url      string
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	log      lockedBuffer
	fleet    atomic.Pointer[cataloguer.Fleet]
}

// lockedBuffer collects log lines.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

func newStage(t *testing.T, scripts ...script) *stage {
	t.Helper()
	s := &stage{}
	service := identifier.Service("s")
	route := func(prefix string, r cataloguer.RetryPolicy, stream bool) cataloguer.Route {
		return cataloguer.Route{
			Host: "h", Prefix: prefix, Retry: r, Stream: stream, Attempts: 2, Timeout: 2 * time.Second,
			Objective: 400 * time.Millisecond, Targets: []cataloguer.Target{{Service: service, Weight: 1}},
		}
	}
	fleet := &cataloguer.Fleet{Catalogue: cataloguer.New(cataloguer.Config{
		Version: 1,
		Routes: []cataloguer.Route{
			route("/once/", cataloguer.RetryNever, false),
			route("/again/", cataloguer.RetryAlways, false),
			route("/stream/", cataloguer.RetryResume, true),
		},
		Services: []cataloguer.Service{{Name: service}},
		Keys:     map[string]cataloguer.Customer{"key": {Name: "customer"}},
	})}
	next := make(chan script, len(scripts))
	for _, one := range scripts {
		next <- one
	}
	for i := range 2 {
		fleet.Upstreams = append(fleet.Upstreams, cataloguer.Upstream{
			ID: identifier.Upstream(fmt.Sprint("u", i)), Service: service, Address: s.listen(t, next), Slots: 4, Version: 1,
		})
	}
	s.fleet.Store(fleet)
	a := admitter.New(admitter.Config{})
	a.SetFleet(time.Now(), *fleet)
	f := forwarder.New(forwarder.Config{
		Names:     names,
		Fleet:     func() cataloguer.Fleet { return *s.fleet.Load() },
		Admitter:  a,
		Budgeter:  budgeter.New(budgeter.Config{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}, 1),
		Requester: requester.New(requester.Config{}),
		Log:       logger.New(logger.Config{Output: &s.log}),
		Meter:     meter.New(),
		Stopping:  make(chan struct{}),
	})
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	s.url = server.URL
	return s
}

func (s *stage) listen(t *testing.T, next <-chan script) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.answer(c, next)
		}
	}()
	return l.Addr().String()
}

func (s *stage) answer(c net.Conn, next <-chan script) {
	defer c.Close()
	r := bufio.NewReader(c)
	q, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	body, _ := io.ReadAll(q.Body)
	s.mu.Lock()
	s.requests, s.bodies = append(s.requests, q), append(s.bodies, string(body))
	s.mu.Unlock()
	select {
	case one := <-next:
		one(c, q, string(body))
	default:
	}
}

func (s *stage) seen() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// whole answers completely.
func whole(status int, body string) script {
	return func(c net.Conn, q *http.Request, _ string) {
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\nStamp: s\r\nContent-Length: %d\r\n\r\n%s", status, q.Header.Get("Id"), len(body), body)
	}
}

func notRun(c net.Conn, q *http.Request, _ string) {
	fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nLoad: 4,2,4\r\nContent-Length: 0\r\n\r\n", q.Header.Get("Id"))
}

func broken(net.Conn, *http.Request, string) {}

// truncated stops before the stated end.
func truncated(c net.Conn, q *http.Request, _ string) {
	fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nStamp: s\r\nContent-Length: 10\r\n\r\nhalf", q.Header.Get("Id"))
}

// foreign answers another request.
func foreign(c net.Conn, _ *http.Request, _ string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\nId: other\r\nStamp: s\r\nContent-Length: 6\r\n\r\nsecret")
}

// events streams events from one id to another and then ends, completely or in the middle of an event.
func events(from, to int, complete bool) script {
	return func(c net.Conn, q *http.Request, _ string) {
		fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nStamp: s%d\r\nTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Id"), from)
		for i := from; i <= to; i++ {
			event := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		}
		if complete {
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return
		}
		_, _ = io.WriteString(c, "6\r\nid: 99\r\n")
	}
}

func (s *stage) send(t *testing.T, path string, change func(*http.Request)) (int, http.Header, string, error) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.url+path, strings.NewReader("question"))
	require.NoError(t, err)
	q.Host = "h"
	q.Header.Set("Id", "abc")
	q.Header.Set("Key", "key")
	q.Header.Set("Deadline", "1500")
	q.Header.Set("Customer", "forged")
	if change != nil {
		change(q)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, nil, "", err
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	return r.StatusCode, r.Header, string(body), err
}

// Guards against upstreams that see a client's key or a forged customer, more time than is left, or a changed request.
func TestUpstreamGetsTheRequest(t *testing.T) {
	t.Parallel()
	s := newStage(t, whole(200, "fine"))
	status, header, body, err := s.send(t, "/once/a%2Fb?c=d", nil)
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "fine", body)
	require.Equal(t, "s", header.Get("Stamp"))
	q := s.seen()[0]
	require.Equal(t, "/once/a%2Fb?c=d", q.RequestURI)
	require.Equal(t, "h", q.Host)
	require.Equal(t, "question", s.bodies[0])
	require.Empty(t, q.Header.Get("Key"))
	require.Equal(t, []string{"customer"}, q.Header.Values("Customer"))
	require.Contains(t, []string{"u0", "u1"}, q.Header.Get("Upstream"))
	var left int
	_, err = fmt.Sscan(q.Header.Get("Deadline"), &left)
	require.NoError(t, err)
	require.LessOrEqual(t, left, 1500)
	require.Greater(t, left, 1000)
}

// Guards against a request that must not be repeated running twice, and against a refusal that says "not run" of one
// that may have run.
func TestUnrepeatableRequestIsSentOnce(t *testing.T) {
	t.Parallel()
	for _, first := range []script{broken, truncated, foreign} {
		s := newStage(t, first, whole(200, "again"))
		status, _, _, err := s.send(t, "/once/", nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, status)
		require.Len(t, s.seen(), 1)
	}
}

// Guards against a request that is given up although its upstream said that it did not run it.
func TestRequestThatDidNotRunGoesElsewhere(t *testing.T) {
	t.Parallel()
	s := newStage(t, notRun, whole(200, "fine"))
	status, _, body, err := s.send(t, "/once/", nil)
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "fine", body)
}

// Guards against an answer that is cut, damaged or another request's reaching the client as a success, and against a
// failure that a repeat would have hidden.
func TestRepeatableRequestSurvivesBadAnswers(t *testing.T) {
	t.Parallel()
	for _, first := range []script{broken, truncated, foreign, whole(500, "failed")} {
		s := newStage(t, first, whole(200, "fine"))
		status, _, body, err := s.send(t, "/again/", nil)
		require.NoError(t, err)
		require.Equal(t, 200, status)
		require.Equal(t, "fine", body)
	}
}

// Guards against a failure of an upstream that is replaced by one of our own.
func TestUpstreamsFailureIsReturnedUnchanged(t *testing.T) {
	t.Parallel()
	s := newStage(t, whole(500, "one"), whole(500, "two"))
	status, header, body, err := s.send(t, "/again/", nil)
	require.NoError(t, err)
	require.Equal(t, 500, status)
	require.Equal(t, "s", header.Get("Stamp"))
	require.Equal(t, "two", body)
}

// Guards against streams that lose, repeat or mix up events when they go on at another upstream.
func TestBrokenStreamIsResumed(t *testing.T) {
	t.Parallel()
	s := newStage(t, events(1, 3, false), events(3, 6, true))
	status, header, body, err := s.send(t, "/stream/", nil)
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "s1", header.Get("Stamp"))
	want := ""
	for i := 1; i <= 6; i++ {
		want += fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
	}
	require.Equal(t, want, body)
	require.Equal(t, "3", s.seen()[1].Header.Get("Last-Event-Id"))
}

// Guards against a stream that looks complete although its end is missing, or events are.
func TestStreamThatCannotGoOnIsCut(t *testing.T) {
	t.Parallel()
	for _, second := range []script{broken, events(6, 7, true)} {
		s := newStage(t, events(1, 3, false), second)
		status, _, body, err := s.send(t, "/stream/", nil)
		require.Equal(t, 200, status)
		require.Error(t, err)
		require.NotContains(t, body, "e6")
	}
}

// Guards against refusals that are wrong while no configuration is known, and rejections without one.
func TestRejections(t *testing.T) {
	t.Parallel()
	s := newStage(t)
	status, _, _, err := s.send(t, "/unknown/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, status)
	status, _, _, err = s.send(t, "/once/", func(q *http.Request) { q.Header.Set("Key", "wrong") })
	require.NoError(t, err)
	require.Equal(t, http.StatusUnauthorized, status)
	s.fleet.Store(&cataloguer.Fleet{})
	status, header, _, err := s.send(t, "/unknown/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Empty(t, s.seen())
}

// Guards against a request that is left without an answer when its time ends.
func TestDeadlineEndsARequest(t *testing.T) {
	t.Parallel()
	s := newStage(t, func(net.Conn, *http.Request, string) { time.Sleep(time.Second) })
	started := time.Now()
	status, _, _, err := s.send(t, "/once/", func(q *http.Request) { q.Header.Set("Deadline", "200") })
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, status)
	require.Less(t, time.Since(started), 600*time.Millisecond)
}

// Guards against an empty success for a client that closed its sending side while its request waited for an upstream.
func TestWaitingClientThatLeftGetsNoAnswer(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	busy := func(net.Conn, *http.Request, string) { <-release }
	var scripts []script
	for range 8 {
		scripts = append(scripts, busy)
	}
	s := newStage(t, scripts...)
	var running sync.WaitGroup
	for range 8 {
		running.Go(func() { _, _, _, _ = s.send(t, "/once/", nil) })
	}
	require.Eventually(t, func() bool { return len(s.seen()) == 8 }, 5*time.Second, 5*time.Millisecond)
	c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	require.NoError(t, err)
	defer func() { require.NoError(t, c.Close()) }()
	_, err = io.WriteString(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nId: x\r\nKey: key\r\nDeadline: 1400\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	answer, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Empty(t, string(answer))
	close(release)
	running.Wait()
}

// Guards against logs that call the departure of a client a deadline, which sends whoever reads them after the load.
func TestDepartureOfAClientIsLogged(t *testing.T) {
	t.Parallel()
	begun := make(chan struct{})
	s := newStage(t, func(c net.Conn, q *http.Request, _ string) {
		fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Id"))
		close(begun)
		_, _ = c.Read(make([]byte, 1))
	})
	ctx, cancel := context.WithCancel(t.Context())
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+"/stream/x", strings.NewReader("x"))
	require.NoError(t, err)
	q.Host = "h"
	q.Header.Set("Id", "1")
	q.Header.Set("Key", "key")
	go func() {
		<-begun
		cancel()
	}()
	answer, err := http.DefaultClient.Do(q)
	if err == nil {
		_, err = io.ReadAll(answer.Body)
		require.NoError(t, answer.Body.Close())
	}
	require.ErrorIs(t, err, context.Canceled)
	require.Eventually(t, func() bool { return strings.Contains(s.log.String(), `"reason":"client left"`) }, 5*time.Second, time.Millisecond)
	require.Contains(t, s.log.String(), `"detail":"client left"`)
	require.NotContains(t, s.log.String(), "deadline")
}
