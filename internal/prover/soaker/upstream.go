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
	streamEvents = 12
	eventPause   = 25 * time.Millisecond
	callTime     = 30 * time.Millisecond
	// fullEvery makes an upstream reject one call in so many without running it, and breakEvery break one off.
	fullEvery  = 23
	breakEvery = 37
)

// ledger records what ran, over all upstreams.
type ledger struct {
	mu    sync.Mutex
	runs  map[string]int
	calls int
	// wrong holds requests that no client sent in that form.
	wrong []string
}

func (l *ledger) note(id, customer, body string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	l.runs[id]++
	if customer != customerName || body != question(id) {
		l.wrong = append(l.wrong, id)
	}
	return l.calls
}

func (l *ledger) ran(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// upstream is a stand-in of an upstream that checks and records what it runs.
type upstream struct {
	name   string
	ledger *ledger
	mu     sync.Mutex
	calls  int
}

func question(id string) string { return "question of " + id }

func reply(id string) string { return strings.Repeat("reply to "+id+" ", 20) }

func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, id) }

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Runner") != u.name {
		w.WriteHeader(http.StatusMisdirectedRequest)
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
	if calls%fullEvery == 0 {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.ledger.note(id, r.Header.Get("Tenant"), string(body))
	w.Header().Set("Runner-Stamp", u.name)
	breaks := calls%breakEvery == 0
	if strings.HasPrefix(r.URL.Path, streamPrefix) {
		u.stream(w, r, id, breaks)
		return
	}
	time.Sleep(callTime)
	if breaks {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, reply(id))
}

func (u *upstream) stream(w http.ResponseWriter, r *http.Request, id string, breaks bool) {
	first, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		first = 0
	}
	for n := first + 1; n <= streamEvents; n++ {
		if breaks && n == first+streamEvents/2 {
			_, _ = io.WriteString(w, event(id, n)[:4])
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event(id, n))
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(eventPause)
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
