package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

// shiftGap is the time between two shifts of the demand for experts (gap_s of the site file).
const shiftGap = 6 * time.Second

// shortCounts lets a rank spoil one answer while other experts come into demand: a comma between two counts is a digit. It
// checks that no gateway closes kept connections without an answer (LOST).
func shortCounts(program, folder string, rec *record, trouble bool) (int, error) {
	d, err := newDeployment(folder, rec, 3, 200*time.Millisecond, true)
	if err != nil {
		return statusNotRun, err
	}
	defer d.stop()
	var mu sync.Mutex
	garbling, spoiled := false, 0
	d.group.spoilCounts = func(r *rank, raw []byte) []byte {
		mu.Lock()
		defer mu.Unlock()
		answers := float64(d.group.garblerAnswers())
		if !garbling || r.number >= garbleRanks || float64(spoiled+1) > garbleShare*answers || !isSampledAfterShift(r) {
			return raw
		}
		wrong := joinCounts(raw)
		spoiled++
		rec.add("rank %s SPOILS its counts: one comma is a digit", r.id)
		return wrong
	}
	d.configure()
	d.listPlain()
	d.listRanks()
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
		d.startStreams(g, 24, &clients, stop, streams)
	}
	time.Sleep(8 * time.Second)
	spoiledCount, answers := 0, 0
	for n := range 3 {
		rec.add("other experts come into demand; five ranks may spoil answers for %v from now on: %v", garbleWindow, trouble)
		mu.Lock()
		garbling, spoiled = trouble, 0
		mu.Unlock()
		d.group.resetAnswers()
		// The share of spoiled answers is that of the whole window.
		time.Sleep(garbleWindow / 2)
		d.group.shift()
		time.Sleep(garbleWindow / 2)
		mu.Lock()
		garbling = false
		spoiledCount += spoiled
		mu.Unlock()
		answers += d.group.garblerAnswers()
		if d.selfEnds() > 0 {
			rec.add("a process has ended in window %d", n+1)
			break
		}
		time.Sleep(shiftGap - garbleWindow)
	}
	rec.conclude("spoiled answers: %d of %d of the five ranks", spoiledCount, answers)
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	d.stop()
	d.keepLogs()
	return d.judgeLost(plain, streams)
}

// isSampledAfterShift reports whether the counts of the rank are read only after a shift of demand.
func isSampledAfterShift(r *rank) bool {
	return r.number >= 2
}

// joinCounts returns an answer in which the comma between two counts in the middle is a digit.
func joinCounts(raw []byte) []byte {
	out := bytes.Clone(raw)
	at := bytes.Index(out, []byte(`"counts":[`))
	if at < 0 {
		return raw
	}
	comma := bytes.IndexByte(out[at+200:], ',')
	if comma < 0 {
		return raw
	}
	out[at+200+comma] = '1'
	return out
}
