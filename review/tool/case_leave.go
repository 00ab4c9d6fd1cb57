package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["leave"] = playLeave }

const (
	// stableWindow is bounds.stableWindowMs, and drainTime bounds.drainMs.
	stableWindow = 3 * time.Second
	drainTime    = 2 * time.Second
	// silentTime is how long the store answers nothing.
	silentTime = 4900 * time.Millisecond
	// leavePause is the time between two runners that leave, and serveOn how long each goes on serving.
	leavePause   = 150 * time.Millisecond
	serveOn      = 5 * time.Second
	leavesARound = 7
)

// playLeave replaces runners, one after the other, right after the store has become stable again. They leave without
// reporting that they drain, and go on serving for some seconds.
func playLeave(b *bed) bool {
	zones := []string{"pl-central-a", "pl-central-b", "pl-central-c"}
	s := newStore(b.host())
	var runners []*runner
	add := func() *runner {
		n := len(runners)
		r := b.newRunner(fmt.Sprintf("i-%08x", 0x7f3a9100+n), "proof-app", zones[n%3], 6, 30*time.Millisecond)
		runners = append(runners, r)
		s.put("servers", r.id, r.entry("ready"))
		return r
	}
	for range 9 {
		add()
	}
	routes := []map[string]any{route("approve", "/approve/", "non_idempotent", "proof-app", 1, 1500*time.Millisecond, 150*time.Millisecond)}
	s.put("op", "config", config(7, routes, []map[string]any{plainService("proof-app")}, tenant("sleeves", tenantKey)))
	b.startGateways(s.address, "pl-central-a", "pl-central-a", "pl-central-b", "pl-central-b", "pl-central-c", "pl-central-c")

	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for _, g := range b.gateways {
		clients.Go(func() {
			for ctx.Err() == nil {
				b.send(context.Background(), g, request{
					method: http.MethodPost, path: "/approve/1", key: tenantKey, body: []byte("proof"), deadline: 1500 * time.Millisecond,
				})
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	left := map[*runner]time.Time{}
	oldest := 0
	for range 4 {
		if b.trouble {
			s.setSilent(true)
			b.log("store: answers nothing")
		}
		time.Sleep(silentTime)
		s.setSilent(false)
		back := time.Now()
		b.log("store: answers again")
		time.Sleep(stableWindow + 50*time.Millisecond)
		for range leavesARound {
			r := runners[oldest]
			oldest++
			left[r] = s.remove("servers", r.id)
			b.log("store: acknowledged that %s is gone, %.2f s after its return", r.id, left[r].Sub(back).Seconds())
			time.AfterFunc(serveOn, func() {
				b.log("runner %s: exits", r.id)
				_ = r.server.Shutdown(context.Background())
			})
			time.Sleep(leavePause / 2)
			add()
			time.Sleep(leavePause / 2)
		}
		time.Sleep(serveOn)
	}
	stop()
	clients.Wait()
	late := 0
	for _, r := range runners {
		gone, found := left[r]
		if !found {
			continue
		}
		for _, x := range r.runs {
			if after := x.at.Sub(gone); after > drainTime {
				late++
				b.log("BROKEN: %s reached %s %.2f s after the store had acknowledged that it is gone", x.id, r.id, after.Seconds())
			}
		}
	}
	b.note("DRAIN: %d requests reached a runner more than %v after the store had acknowledged that it is gone", late, drainTime)
	return late > 0
}
