package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

// configuration is the operator's configuration with one service of plain runners.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "proof-approve", "host": host, "prefix": "/puxa403/", "kind": "non_idempotent", "service": "xano55b",
				"attempts": 2, "timeoutMs": 3000, "sloMs": 1000, "priority": 1,
			},
			map[string]any{
				"name": "job-status", "host": host, "prefix": "/cufi504/", "kind": "idempotent", "service": "xano55b",
				"attempts": 2, "timeoutMs": 3000, "sloMs": 1000, "priority": 1,
			},
		},
		"services": []any{map[string]any{"name": "xano55b", "healthPath": "/healthz", "maxConns": 49, "coldPerS": 5}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 3000, "idleTimeoutMs": 5000},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{key}}},
	}
}

// startRunners starts sound runners of the service of configuration and registers them.
func (s *scene) startRunners(count, slots int, work time.Duration) ([]*runner, error) {
	var runners []*runner
	for i := range count {
		n, err := s.startRunner(fmt.Sprintf("i-%02d", i+1), slots, work)
		if err != nil {
			return nil, err
		}
		runners = append(runners, n)
	}
	return runners, nil
}

// startRunner starts a sound runner of the service of configuration and registers it.
func (s *scene) startRunner(id string, slots int, work time.Duration) (*runner, error) {
	return s.startRunnerIn("pl-central-a", id, slots, work)
}

// startRunnerIn does so in a zone.
func (s *scene) startRunnerIn(zone, id string, slots int, work time.Duration) (*runner, error) {
	n := &runner{id: id, service: "xano55b", zone: zone, slots: slots, work: work, record: s.record}
	if err := n.start(); err != nil {
		return nil, err
	}
	s.cleanups = append(s.cleanups, n.stop)
	s.store.put("servers", n.id, n.entry("ready", 0))
	return n, nil
}

// load is a steady stream of requests to each gateway.
type load struct {
	stop    chan struct{}
	senders sync.WaitGroup
	clients []*client
}

// startLoad sends a request to each gateway at each interval.
func (s *scene) startLoad(interval time.Duration, path string, deadline time.Duration) *load {
	l := &load{stop: make(chan struct{})}
	for _, g := range s.gateways {
		c := newClient(g, s.record, host, key)
		l.clients = append(l.clients, c)
		l.senders.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for i := 0; ; i++ {
				select {
				case <-l.stop:
					return
				case <-ticker.C:
				}
				id := fmt.Sprintf("%s-%05d", g.name, i)
				l.senders.Go(func() { c.send(s.ctx, http.MethodPost, path, id, deadline, nil) })
			}
		})
	}
	return l
}

// end stops the load and waits for the open requests.
func (l *load) end() {
	close(l.stop)
	l.senders.Wait()
}

// calls returns the outcomes of all requests.
func (l *load) calls() []call {
	var out []call
	for _, c := range l.clients {
		out = append(out, c.done()...)
	}
	return out
}
