package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// runs counts the runs of each request at all runners.
type runs struct {
	mu sync.Mutex
	by map[string]int
	// runner and begunAt are those of the last run.
	runner  map[string]string
	begunAt map[string]time.Time
}

func newRuns() *runs {
	return &runs{by: map[string]int{}, runner: map[string]string{}, begunAt: map[string]time.Time{}}
}

func (r *runs) add(request, runner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.by[request]++
	r.runner[request], r.begunAt[request] = runner, time.Now()
}

func (r *runs) count(request string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.by[request]
}

// plainRunner is a runner of a plain service.
type plainRunner struct {
	id     string
	zone   string
	slots  int
	queue  int
	work   time.Duration
	runs   *runs
	record *record

	mu      sync.Mutex
	running int
	waiting int
	free    chan struct{}
	leaving bool
	address string
	service string
	// onRequest is called with the id of each request that expects this runner.
	onRequest func(id string)
	// exit ends the runner with all of its connections.
	exit func()
}

func newPlainRunner(id, zone, service string, work time.Duration, all *runs, rec *record) *plainRunner {
	r := &plainRunner{id: id, zone: zone, service: service, slots: 6, queue: 24, work: work, runs: all, record: rec, onRequest: func(string) {}}
	r.free = make(chan struct{}, r.slots)
	for range r.slots {
		r.free <- struct{}{}
	}
	return r
}

// entry is the row of the runner in the platform's store.
func (r *plainRunner) entry(state string) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "1", "slots": r.slots, "state": state,
		"coldLeftMs": 0, "seq": time.Now().UnixMilli(),
	}
}

func (r *plainRunner) setLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

func (r *plainRunner) isLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

// ServeHTTP runs a request.
func (r *plainRunner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	r.mu.Lock()
	h.Set("Runner-Load", fmt.Sprintf("%d,%d,%d", r.running, r.waiting, r.slots))
	isFull := r.waiting >= r.queue
	if !isFull {
		r.waiting++
	}
	r.mu.Unlock()
	id := q.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	h.Set("Runner-Id", r.id)
	if expected := q.Header.Get("Expect-Runner"); expected != "" && expected != r.id {
		r.leaveQueue(isFull)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.onRequest(id)
	if isFull {
		h.Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	select {
	case <-r.free:
	case <-q.Context().Done():
		r.leaveQueue(false)
		return
	}
	r.leaveQueue(false)
	defer func() { r.free <- struct{}{} }()
	r.changeRunning(1)
	defer r.changeRunning(-1)
	r.runs.add(id, r.id)
	r.record.add("runner %s begins %s", r.id, id)
	timer := time.NewTimer(r.work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-q.Context().Done():
		r.record.add("runner %s drops %s: its connection is closed", r.id, id)
		return
	}
	h.Set("Runner-Stamp", stamp(r.id, id))
	if r.isLeaving() {
		h.Set("Server-Leaving", "1")
	}
	_, _ = io.WriteString(w, strings.Repeat("x", 800))
}

func (r *plainRunner) runningNow() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

func (r *plainRunner) leaveQueue(wasFull bool) {
	if wasFull {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting--
}

func (r *plainRunner) changeRunning(by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running += by
}

// stamp is the signature of a runner under its answer to a request.
func stamp(runner, request string) string {
	sum := sha256.Sum256([]byte(runner + "/" + request))
	return hex.EncodeToString(sum[:8])
}
