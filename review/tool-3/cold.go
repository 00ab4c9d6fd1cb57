package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// coldFor is how long a runner is cold.
const coldFor = 3 * time.Second

// playCold lets the runners of a service come back cold, and checks the requests a second that each gets while it is cold.
func playCold(s *scene) ([]string, error) {
	// The bounds are those of the settings.
	const coldPerS, coldOver, coldSlack = 4.0, 1.5, 5.0
	bound := int(coldPerS*coldOver + coldSlack)
	if err := s.startStore(); err != nil {
		return nil, err
	}
	runners, err := s.startRunners(3, 12, 100*time.Millisecond)
	if err != nil {
		return nil, err
	}
	for i := range 3 {
		if _, err := s.startRunnerIn("pl-central-b", fmt.Sprintf("i-1%d", i+1), 12, 100*time.Millisecond); err != nil {
			return nil, err
		}
	}
	c := configuration(3)
	c["services"] = []any{map[string]any{"name": "xano55b", "healthPath": "/healthz", "maxConns": 200, "coldStartS": coldFor.Seconds(), "coldPerS": coldPerS}}
	s.store.put("op", "config", c)
	if err := s.startGateways("pl-central-a", "pl-central-a", "pl-central-a", "pl-central-b", "pl-central-b", "pl-central-c", "pl-central-c"); err != nil {
		return nil, err
	}
	load := s.startLoad(50*time.Millisecond, "/puxa403/2f", 1500*time.Millisecond)
	s.sleepUntil(4)
	var coldFrom time.Time
	var back []*runner
	if s.trouble {
		for _, n := range runners {
			n.stop()
			s.store.remove("servers", n.id)
		}
		s.record.line("runners  all are down")
		s.sleepUntil(7)
		coldFrom = time.Now()
		for i := range runners {
			n := &runner{id: fmt.Sprintf("j-%02d", i+1), service: "xano55b", zone: "pl-central-a", slots: 12, work: 100 * time.Millisecond, record: s.record}
			n.intercept = crashAbove(n, bound)
			if err := n.start(); err != nil {
				return nil, err
			}
			s.cleanups = append(s.cleanups, n.stop)
			s.store.put("servers", n.id, n.entry("ready", int(coldFor.Milliseconds())))
			back = append(back, n)
		}
		s.record.line("runners  all are back, cold for %v", coldFor)
		s.sleepUntil(10)
		for _, n := range back {
			s.store.put("servers", n.id, n.entry("ready", 0))
		}
	}
	s.sleepUntil(11)
	load.end()
	lost := 0
	for _, q := range load.calls() {
		if q.status == http.StatusBadGateway && q.sent.After(coldFrom) && s.trouble {
			lost++
		}
	}
	var broken []string
	for _, n := range back {
		var at []time.Time
		for _, a := range n.seen() {
			// 421 and refusals do not count; this runner gives none.
			if a.ran && a.at.Before(coldFrom.Add(coldFor)) {
				at = append(at, a.at)
			}
		}
		slices.SortFunc(at, time.Time.Compare)
		most := 0
		for i := range at {
			j := i
			for j < len(at) && at[j].Sub(at[i]) < time.Second {
				j++
			}
			if j-i > bound {
				broken = append(broken, fmt.Sprintf("FAILBACK: cold runner %s got %d requests in the second from %.3f on; the bound is %d",
					n.id, j-i, s.record.since(at[i]), bound))
			}
			most = max(most, j-i)
		}
		s.record.line("cold runner %s got %d requests while cold, at most %d in a second; the bound is %d", n.id, len(at), most, bound)
	}
	s.record.line("%d requests that may not be repeated were lost", lost)
	return broken, nil
}

// crashAbove makes a cold runner crash as soon as it gets more than a number of requests in a second.
func crashAbove(n *runner, bound int) func(http.ResponseWriter, *http.Request) bool {
	var mu sync.Mutex
	var recent []time.Time
	return func(_ http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		recent = slices.DeleteFunc(append(recent, now), func(at time.Time) bool { return now.Sub(at) >= time.Second })
		if len(recent) <= bound || now.Sub(time.UnixMilli(n.born)) > coldFor {
			return false
		}
		n.note(arrival{id: r.Header.Get("Request-Id"), runner: n.id, at: now, ran: true})
		n.record.line("runner  %s crashes: request %s is its %dth in a second", n.id, r.Header.Get("Request-Id"), len(recent))
		n.stop()
		panic(http.ErrAbortHandler)
	}
}
