package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["hold"] = playHold }

const (
	// lateShare is the share of the orders that get no answer and are carried out 2 to 12 s later.
	lateShare = 0.35
	// lateTime is how long each disruption lasts.
	lateTime = 4 * time.Second
	// gateShare is the share of the requests owed that may be refused or fail.
	gateShare = 0.6
)

func (x exchange) isWholeStream() bool {
	return x.status == http.StatusOK && x.err == nil && bytes.Contains(x.body, fmt.Appendf(nil, "id: %d\n", eventCount))
}

func streamRoute() map[string]any {
	r := route("draft", "/draft/", "streaming", "sleeve-llm", 2, 8*time.Second, 400*time.Millisecond)
	r["sticky"], r["resumable"], r["gapTargetMs"] = true, true, 120
	return r
}

// playHold sends a few requests every eleven seconds while orders get no answer and are carried out late, and then goes on
// without that disruption.
func playHold(b *bed) bool {
	s := newStore(b.host())
	seed := uint64(time.Now().UnixNano())
	g := b.newGroup("sleeve-1", "sleeve-llm", []string{"pl-central-a", "pl-central-b", "pl-central-c", "pl-central-a"}, seed)
	b.log("seed of the group's draws: %d", seed)
	for _, r := range g.ranks {
		s.put("servers", r.id, r.entry())
	}
	s.put("op", "config", config(7, []map[string]any{streamRoute()}, []map[string]any{engineService("sleeve-llm")}, tenant("sleeves", tenantKey)))
	b.startGateways(s.address, "pl-central-a", "pl-central-b", "pl-central-c")
	var mu sync.Mutex
	var exchanges []exchange
	var running sync.WaitGroup
	topic := 0
	submit := func(gateway int) {
		path := fmt.Sprintf("/draft/%d", topic)
		running.Go(func() {
			x := b.send(context.Background(), b.gateways[gateway%len(b.gateways)], request{
				method: http.MethodPost, path: path, key: tenantKey, body: []byte("brief"), deadline: 8 * time.Second,
				header: map[string]string{"Model": "m", "Token-Count": "835,50", "Prompt-Prefix": "5c1e07a2:800,91bd3f06:35"},
			})
			mu.Lock()
			defer mu.Unlock()
			exchanges = append(exchanges, x)
		})
	}
	setLate := func(share float64) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if b.trouble {
			g.lateShare = share
		}
	}
	time.Sleep(2 * time.Second)
	for range 7 {
		// The requests of each round choose other experts.
		topic++
		setLate(lateShare)
		restored := time.AfterFunc(lateTime, func() { setLate(0) })
		time.Sleep(500 * time.Millisecond)
		for i := range 4 {
			submit(i)
		}
		running.Wait()
		time.Sleep(max(0, 10500*time.Millisecond-time.Since(exchanges[len(exchanges)-1].sentAt)))
		restored.Stop()
		setLate(0)
		if last := exchanges[len(exchanges)-4:]; !last[0].isWholeStream() && !last[3].isWholeStream() {
			break
		}
	}
	g.mu.Lock()
	b.note("the disruption is over at %.0f s: %d switches of the map; %d late holds were carried out", time.Since(b.began).Seconds(), g.switches, g.lateHolds)
	g.mu.Unlock()
	for i := range 48 {
		submit(i)
		time.Sleep(250 * time.Millisecond)
	}
	running.Wait()
	served, last := 0, 0.0
	for _, x := range exchanges {
		if x.isWholeStream() {
			served++
			last = max(last, x.sentAt.Sub(b.began).Seconds())
		}
	}
	failed := len(exchanges) - served
	b.note("Gate: %d of %d requests were refused or failed, %.0f in 100 (bound 60); the last that was served was sent at %.0f s",
		failed, len(exchanges), 100*float64(failed)/float64(len(exchanges)), last)
	b.note("MAP: %q", g.mapBroken)
	return g.mapBroken != "" || float64(failed) > gateShare*float64(len(exchanges))
}
