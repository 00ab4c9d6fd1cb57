package main

import (
	"fmt"
	"sync"
	"time"
)

// allowedCuts is how many requests from kept connections a machine may cut by the rule LOST.
const allowedCuts = 3

// startPlainClients starts six clients of a gateway that send non-idempotent requests on kept connections.
func (d *deployment) startPlainClients(g *gateway, clients *sync.WaitGroup, stop <-chan struct{}, t *tally) {
	for i := range 6 {
		c := &client{name: fmt.Sprintf("%s/%d", g.name, i), address: g.front}
		clients.Go(func() {
			c.loop(stop, d.record, t, 20*time.Millisecond, func() request {
				return request{id: newRequestID("a"), method: "POST", path: "/approve/2f", deadline: 1500 * time.Millisecond, body: "order"}
			})
		})
	}
}

// startStreams starts clients of a gateway that ask the model for answers.
func (d *deployment) startStreams(g *gateway, n int, clients *sync.WaitGroup, stop <-chan struct{}, t *tally) {
	for i := range n {
		c := &client{name: fmt.Sprintf("%s/s%d", g.name, i), address: g.front}
		clients.Go(func() {
			c.loop(stop, d.record, t, 50*time.Millisecond, func() request {
				return request{
					id: newRequestID("b"), method: "POST", path: "/draft/2f", deadline: 8 * time.Second, body: "prompt",
					header: []string{"Model: m", "Token-Count: 714,140", fmt.Sprintf("Prompt-Prefix: 5c1e07a2:40,%x:674", requestNumber.Load())},
				}
			})
		})
	}
}

// selfEnds returns how often processes of gateways have ended by themselves.
func (d *deployment) selfEnds() int {
	n := 0
	for _, g := range d.gateways {
		n += g.selfEnds()
	}
	return n
}

// judgeLost judges the rule LOST by the plain requests, whose runners are sound.
func (d *deployment) judgeLost(plain, streams *tally) (int, error) {
	passedOn := 0
	for _, id := range plain.keptCut {
		if d.runs.count(id) > 0 {
			passedOn++
		}
	}
	d.record.conclude("plain requests: %s", plain.text())
	d.record.conclude("streams: %s", streams.text())
	d.record.conclude("processes that ended by themselves: %d", d.selfEnds())
	d.record.conclude("requests from kept connections that were passed on to a sound runner and cut without an answer: %d (allowed: %d)",
		passedOn, allowedCuts)
	if passedOn > allowedCuts {
		d.record.conclude("LOST is broken")
		return statusBroken, nil
	}
	return statusHeld, nil
}
