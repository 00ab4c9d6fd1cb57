package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// usualAnswerBytes is the size of an answer on the sheet of the deployments.
const usualAnswerBytes = 800

// run is a request that a runner began to run.
type run struct {
	id, tenant string
	at         time.Time
}

// runner is the stand-in of a runner of a plain service.
type runner struct {
	bed               *bed
	id, service, zone string
	slots             int
	work              time.Duration
	answerBytes       func(path string) int
	address           string
	server            *http.Server
	mu                sync.Mutex
	running           int
	runs              []run
}

func (b *bed) newRunner(id, service, zone string, slots int, work time.Duration) *runner {
	r := &runner{bed: b, id: id, service: service, zone: zone, slots: slots, work: work}
	r.answerBytes = func(string) int { return usualAnswerBytes }
	r.address, r.server = serve(b.host(), r)
	return r
}

// entry returns the runner's row in the table "servers".
func (r *runner) entry(state string) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state,
		"coldLeftMs": 0, "seq": 1, "born": r.bed.began.UnixMilli(),
	}
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if want := q.Header.Get("Expect-Runner"); want != "" && want != r.id {
		w.Header().Set("Runner-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	r.mu.Lock()
	w.Header().Set("Runner-Load", fmt.Sprintf("%d,0,%d", r.running, r.slots))
	if r.running >= r.slots {
		r.mu.Unlock()
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.running++
	r.runs = append(r.runs, run{id: id, tenant: q.Header.Get("Tenant"), at: time.Now()})
	r.mu.Unlock()
	r.bed.log("runner %s: runs %s %s, Tenant %q", r.id, id, q.URL.Path, q.Header.Get("Tenant"))
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		r.bed.log("runner %s: %s was cut off", r.id, id)
		return
	}
	w.Header().Set("Runner-Stamp", r.id+"."+id)
	body := make([]byte, r.answerBytes(q.URL.Path))
	for i := range body {
		body[i] = 'a' + byte(i%26)
	}
	_, _ = w.Write(body)
}

// ran returns when the runner began to run a request.
func (r *runner) ran(id string) (run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.runs {
		if x.id == id {
			return x, true
		}
	}
	return run{}, false
}

// config returns a configuration with some routes, services and keys of one tenant.
func config(version int, routes, services []map[string]any, tenants ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func route(name, prefix, kind, service string, attempts int, timeout, objective time.Duration) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "prefix": prefix, "kind": kind, "service": service, "attempts": attempts,
		"timeoutMs": timeout.Milliseconds(), "sloMs": objective.Milliseconds(), "priority": 1, "public": false,
	}
}

func plainService(name string) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false, "coldStartS": 0, "coldPerS": 0,
	}
}

func tenant(name string, keys ...string) map[string]any {
	if keys == nil {
		keys = []string{}
	}
	return map[string]any{"name": name, "apiKeys": keys, "priority": 1}
}
