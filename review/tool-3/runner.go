package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that has reached a runner.
type arrival struct {
	id     string
	runner string
	at     time.Time
	// ran is set if the runner began to work on it.
	ran bool
	// header is that of the request.
	header http.Header
}

// runner is a stand-in for one incarnation of a runner.
type runner struct {
	id      string
	service string
	address string
	zone    string
	born    int64
	slots   int
	work    time.Duration
	record  *record
	server  *http.Server
	running atomic.Int32

	mu       sync.Mutex
	arrivals []arrival
	// intercept answers a request instead of the usual behaviour if it returns true.
	intercept func(w http.ResponseWriter, r *http.Request) bool
}

// start opens the runner's listener. An empty address chooses a free port.
func (n *runner) start() error {
	if n.address == "" {
		n.address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", n.address)
	if err != nil {
		return err
	}
	n.address = l.Addr().String()
	n.born = time.Now().UnixMilli()
	n.server = &http.Server{Handler: n, IdleTimeout: 10 * time.Second}
	go func() { _ = n.server.Serve(l) }()
	return nil
}

// stop ends the runner as a process ends: all of its connections close.
func (n *runner) stop() {
	_ = n.server.Close()
}

// entry is the runner's row in the store.
func (n *runner) entry(state string, coldLeftMs int) map[string]any {
	return map[string]any{
		"service": n.service, "address": n.address, "zone": n.zone, "version": "1", "slots": n.slots, "state": state,
		"coldLeftMs": coldLeftMs, "seq": 1, "born": n.born,
	}
}

func (n *runner) note(a arrival) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.arrivals = append(n.arrivals, a)
}

func (n *runner) seen() []arrival {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]arrival(nil), n.arrivals...)
}

// ServeHTTP serves a request as a sound runner does.
func (n *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	h := w.Header()
	h.Set("Request-Id", id)
	h.Set("Runner-Id", n.id)
	if expected := r.Header.Get("Expect-Runner"); expected != "" && expected != n.id {
		n.note(arrival{id: id, runner: n.id, at: time.Now()})
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if n.intercept != nil && n.intercept(w, r) {
		return
	}
	running := int(n.running.Add(1))
	defer n.running.Add(-1)
	h.Set("Runner-Load", fmt.Sprintf("%d,0,%d", running, n.slots))
	if running > 2*n.slots {
		n.note(arrival{id: id, runner: n.id, at: time.Now()})
		h.Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n.note(arrival{id: id, runner: n.id, at: time.Now(), ran: true, header: r.Header.Clone()})
	select {
	case <-time.After(n.work):
	case <-r.Context().Done():
		return
	}
	h.Set("Runner-Stamp", n.id+"."+id)
	_, _ = w.Write(make([]byte, 800))
}
