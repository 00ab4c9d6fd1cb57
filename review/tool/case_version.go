package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

func init() { cases["version"] = playVersion }

// playVersion sends, among the usual requests, one to each gateway that names a version of the weights which no runner has.
func playVersion(b *bed) bool {
	s := newStore(b.host())
	g := b.newGroup("sleeve-1", "sleeve-llm", []string{"pl-central-a", "pl-central-b", "pl-central-c", "pl-central-a"}, uint64(time.Now().UnixNano()))
	for _, r := range g.ranks {
		s.put("servers", r.id, r.entry())
	}
	s.put("op", "config", config(7, []map[string]any{streamRoute()}, []map[string]any{engineService("sleeve-llm")}, tenant("sleeves", tenantKey)))
	b.startGateways(s.address, "pl-central-a", "pl-central-b", "pl-central-c")
	usual := request{
		method: http.MethodPost, path: "/draft/1", key: tenantKey, body: []byte("brief"), deadline: 8 * time.Second,
		header: map[string]string{"Model": "m", "Token-Count": "835,50", "Prompt-Prefix": "5c1e07a2:800,91bd3f06:35"},
	}
	var mu sync.Mutex
	sent, served := 0, 0
	count := func(span time.Duration) {
		var running sync.WaitGroup
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
			for _, gw := range b.gateways {
				running.Go(func() {
					x := b.send(context.Background(), gw, usual)
					mu.Lock()
					defer mu.Unlock()
					sent++
					if x.isWholeStream() {
						served++
					}
				})
			}
		}
		running.Wait()
	}
	count(14 * time.Second)
	b.note("before: %d of %d served", served, sent)
	if b.trouble {
		for _, gw := range b.gateways {
			other := usual
			other.header = map[string]string{"Expect-Version": "2"}
			for name, value := range usual.header {
				other.header[name] = value
			}
			x := b.send(context.Background(), gw, other)
			b.note("a request for version 2 of the weights at %s: %d after %d ms", gw.name, x.status, x.took.Milliseconds())
		}
	}
	count(40 * time.Second)
	b.note("Gate: %d of %d usual requests were refused or failed, %.0f in 100 (bound 60)", sent-served, sent, 100*float64(sent-served)/float64(sent))
	return float64(sent-served) > gateShare*float64(sent)
}
