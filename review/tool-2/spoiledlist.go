package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

const (
	// garbleWindow is how long runners hand out wrong bytes, garbleRanks how many of them do, and garbleShare the share of
	// their answers that is spoiled: the doses of the site file (for_s = 5.5, share = 0.35 of 16, x = 0.02).
	garbleWindow = 5500 * time.Millisecond
	garbleRanks  = 5
	garbleShare  = 0.02
)

// spoiledList lets ranks spoil single answers while the group comes into service: one digit of the list of experts of a
// rank is wrong. It checks that no gateway closes kept connections without an answer (LOST).
func spoiledList(program, folder string, rec *record, trouble bool) (int, error) {
	d, err := newDeployment(folder, rec, 3, 200*time.Millisecond, true)
	if err != nil {
		return statusNotRun, err
	}
	defer d.stop()
	var mu sync.Mutex
	garbling, spoiled := false, 0
	d.group.spoil = func(r *rank, raw []byte) []byte {
		mu.Lock()
		defer mu.Unlock()
		// One answer now, and a second one only once the share allows it.
		if !garbling || r.number >= garbleRanks || spoiled > 0 && float64(spoiled+1) > garbleShare*float64(d.group.garblerAnswers()) {
			return raw
		}
		wrong := spoilExpert(raw)
		if wrong == nil {
			return raw
		}
		spoiled++
		rec.add("rank %s SPOILS its answer: %s instead of %s", r.id, wrong, raw)
		return wrong
	}
	d.configure()
	d.listPlain()
	if err := d.startGateways(program, zones, nil); err != nil {
		return statusNotRun, err
	}
	if !d.awaitReady() {
		return statusNotRun, fmt.Errorf("the gateways were not ready in time")
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	plain, streams := newTally(), newTally()
	for _, g := range d.gateways {
		d.startPlainClients(g, &clients, stop, plain)
	}
	time.Sleep(4 * time.Second)
	rec.add("the model runners come into service; five of them may spoil answers for %v from now on: %v", garbleWindow, trouble)
	mu.Lock()
	garbling = trouble
	mu.Unlock()
	d.group.resetAnswers()
	d.listRanks()
	for _, g := range d.gateways {
		d.startStreams(g, 12, &clients, stop, streams)
	}
	time.Sleep(garbleWindow)
	mu.Lock()
	garbling = false
	spoiledCount := spoiled
	mu.Unlock()
	answers := d.group.garblerAnswers()
	rec.conclude("spoiled answers: %d of %d of the five ranks", spoiledCount, answers)
	time.Sleep(6 * time.Second)
	close(stop)
	clients.Wait()
	if float64(spoiledCount) > garbleShare*float64(answers) {
		return statusNotRun, fmt.Errorf("more than %v of the answers were spoiled", garbleShare)
	}
	d.stop()
	d.keepLogs()
	return d.judgeLost(plain, streams)
}

// spoilExpert returns an answer with one wrong digit in the first expert of two digits, or nil if there is none.
func spoilExpert(raw []byte) []byte {
	at := bytes.Index(raw, []byte(`"experts":[[`))
	if at < 0 {
		return nil
	}
	for i := at; i+1 < len(raw); i++ {
		isDigit := func(c byte) bool { return c >= '0' && c <= '9' }
		if isDigit(raw[i]) && isDigit(raw[i+1]) {
			out := bytes.Clone(raw)
			out[i] = '9'
			return out
		}
	}
	return nil
}

// resetAnswers starts a new count of the answers of all ranks.
func (g *group) resetAnswers() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		r.answers = 0
	}
}

// garblerAnswers returns the number of answers of the ranks that may spoil some.
func (g *group) garblerAnswers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, r := range g.ranks[:garbleRanks] {
		n += r.answers
	}
	return n
}
