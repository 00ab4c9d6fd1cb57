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

// playLeaving restores the store while a runner leaves, and checks that the gateways which have passed on that it leaves
// send it nothing more.
func playLeaving(s *scene) ([]string, error) {
	const drain = 2 * time.Second
	if err := s.startStore(); err != nil {
		return nil, err
	}
	runners, err := s.startRunners(4, 12, 400*time.Millisecond)
	if err != nil {
		return nil, err
	}
	s.store.put("op", "config", configuration(3))
	if err := s.startGateways("pl-central-a", "pl-central-a"); err != nil {
		return nil, err
	}
	leaver := runners[0]
	load := s.startLoad(25*time.Millisecond, "/puxa403/2f", 3*time.Second)
	s.sleepUntil(3)
	copied := s.store.snapshot()
	s.record.line("store  a copy is taken")
	s.sleepUntil(3.5)
	s.store.put("servers", leaver.id, leaver.entry("ready", 1000))
	s.record.line("platform  the entry of %s says that it has become cold, for 1000 ms", leaver.id)
	s.sleepUntil(4.5)
	s.store.put("servers", leaver.id, leaver.entry("ready", 0))
	s.record.line("platform  the entry of %s says that it is warm", leaver.id)
	s.sleepUntil(6)
	leaver.leaving.Store(true)
	s.record.line("runner  %s begins to leave: all of its answers say Server-Leaving", leaver.id)
	s.sleepUntil(6.5)
	s.store.remove("servers", leaver.id)
	s.record.line("platform  the entry of %s is removed; it goes on serving", leaver.id)
	s.sleepUntil(7.5)
	successor, err := s.startRunner("i-05", 12, 400*time.Millisecond)
	if err != nil {
		return nil, err
	}
	s.record.line("runner  %s starts in place of %s", successor.id, leaver.id)
	s.sleepUntil(9)
	if s.trouble {
		s.store.setDown(true)
		s.record.line("store  down")
		s.sleepUntil(9.5)
		s.store.restore(copied)
		s.store.setDown(false)
		s.record.line("store  back from the copy, in a new era")
	}
	s.sleepUntil(10)
	leaver.stop()
	s.record.line("runner  %s has left: its process ends", leaver.id)
	s.sleepUntil(11.5)
	if s.trouble {
		s.store.put("op", "config", configuration(3))
		for _, n := range append(runners[1:], successor) {
			s.store.put("servers", n.id, n.entry("ready", 0))
		}
		s.store.remove("servers", leaver.id)
		s.record.line("platform  what was written since the copy is written again")
	}
	s.sleepUntil(13)
	load.end()
	return judgeLeaving(s, leaver, load.calls(), drain)
}

// judgeLeaving returns the requests that a leaving runner got from a gateway that had passed on that it leaves.
func judgeLeaving(s *scene, leaver *runner, calls []call, drain time.Duration) ([]string, error) {
	told := map[string]time.Time{}
	sent := map[string]call{}
	for _, q := range calls {
		sent[q.id] = q
		if q.header.Get("Server-Leaving") == "" {
			continue
		}
		if at, found := told[q.gateway]; !found || q.ended.Before(at) {
			told[q.gateway] = q.ended
		}
	}
	var broken []string
	lost := 0
	for _, a := range leaver.seen() {
		q := sent[a.id]
		s.record.line("runner  %s got %s at %.3f, ran=%t", a.runner, a.id, s.record.since(a.at), a.ran)
		at, found := told[q.gateway]
		if !a.ran || !found || !q.sent.After(at.Add(drain)) {
			continue
		}
		if q.status != http.StatusOK {
			lost++
		}
		broken = append(broken, fmt.Sprintf("DRAIN: %s, sent at %.3f to %s, reached %s, whose leaving that gateway had passed on at %.3f; the client was answered %s",
			a.id, s.record.since(q.sent), q.gateway, a.runner, s.record.since(at), describe(q)))
	}
	s.record.line("%d gateways had passed on that %s leaves; %d late requests reached it, %d of them were lost", len(told), leaver.id, len(broken), lost)
	if len(told) == 0 {
		return nil, fmt.Errorf("no gateway passed on that %s leaves", leaver.id)
	}
	return broken, nil
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
