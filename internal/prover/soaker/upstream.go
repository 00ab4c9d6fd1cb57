package soaker

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// streamEvents is the number of events of a complete stream.
	streamEvents   = 12
	eventInterval  = 25 * time.Millisecond
	processingTime = 30 * time.Millisecond
	// An upstream rejects every rejectEvery-th call without running it.
	rejectEvery = 23
	// An upstream breaks the connection of every abortEvery-th call before its response is complete.
	abortEvery = 37
)

// executionLog records the requests that the upstreams executed.
type executionLog struct {
	mu sync.Mutex
	// runs counts the executions by request id.
	runs map[string]int
	// total counts the executions of all requests.
	total int
	// altered holds the ids of requests whose customer or body differs from what the client sent.
	altered []string
}

// record adds an execution and returns the number of executions of all requests so far.
func (l *executionLog) record(id, customer, body string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	l.runs[id]++
	if customer != customerName || body != requestBody(id) {
		l.altered = append(l.altered, id)
	}
	return l.total
}

// count returns how often a request was executed.
func (l *executionLog) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// upstream is the stand-in of an upstream. It records the requests that it executes.
type upstream struct {
	executions *executionLog
	// group is that of a rank, or nil for an upstream of the plain service; rank is its place there.
	group *engineGroup
	rank  int
	// address is that of its proxy.
	address string
	mu      sync.Mutex
	// name is the id of the current incarnation.
	name string
	// restarts counts the incarnations before it.
	restarts int
	// calls counts the calls that this upstream received, including rejected ones.
	calls int
}

func requestBody(id string) string { return "question of " + id }

func responseBody(id string) string { return strings.Repeat("reply to "+id+" ", 20) }

func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, id) }

// currentName returns the id of the current incarnation.
func (u *upstream) currentName() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.name
}

// rename starts a new incarnation and returns the id of the former one.
func (u *upstream) rename() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	former := u.name
	u.restarts++
	u.name = fmt.Sprintf("%s-rank-%d-%d", u.group.name, u.rank, u.restarts)
	return former
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	isCall := u.group != nil && strings.HasPrefix(r.URL.Path, "/currantledge/")
	if expected := r.Header.Get("Expect-Runner"); expected != u.currentName() && (!isCall || r.Method == http.MethodPost && expected != "") {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if isCall {
		u.group.serveRank(w, r, u.rank)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.mu.Lock()
	u.calls++
	calls := u.calls
	u.mu.Unlock()
	if u.group != nil && !u.group.waitOpen() {
		w.Header().Set("Runner-Load", fmt.Sprintf("0,0,%d", upstreamSlots))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if calls%rejectEvery == 0 {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.executions.record(id, r.Header.Get("Tenant"), string(body))
	w.Header().Set("Runner-Stamp", u.currentName())
	aborts := calls%abortEvery == 0
	if strings.HasPrefix(r.URL.Path, streamPrefix) {
		u.stream(w, r, id, aborts)
		return
	}
	time.Sleep(processingTime)
	if aborts {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, responseBody(id))
}

// stream writes the events after the last one that the client has received. If aborts is set, it breaks the connection
// within an event.
func (u *upstream) stream(w http.ResponseWriter, r *http.Request, id string, aborts bool) {
	lastReceived, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		lastReceived = 0
	}
	for n := lastReceived + 1; n <= streamEvents; n++ {
		if u.group != nil && !u.group.waitOpen() {
			panic(http.ErrAbortHandler)
		}
		if aborts && n == lastReceived+streamEvents/2 {
			_, _ = io.WriteString(w, event(id, n)[:4])
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event(id, n))
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(eventInterval)
	}
}

// serve runs a handler on a loopback address until the context ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return nil
}
