package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// drainTime is the bound drainMs of the settings, and copyAge the age of the copy from which the store comes back.
	drainTime = 2 * time.Second
	copyAge   = 7 * time.Second
	// storeAway is how long the store is away in the drill.
	storeAway = 500 * time.Millisecond
	// exitAfter is how long after the return of the store the runner that leaves exits, and rewriteAfter how long after that
	// return the operator and the other runners write their entries again: a heartbeat.
	exitAfter    = 250 * time.Millisecond
	rewriteAfter = 1200 * time.Millisecond
	// expiry is the time of three heartbeats, after which the store removes the entry of a silent runner.
	expiry = 3600 * time.Millisecond
)

// drill lets a runner leave and then plays a drill of the store, which comes back from a copy that was made before the
// runner reported that it drains. It checks that no gateway sends requests to the runner that has left (DRAIN).
func drill(program, folder string, rec *record, trouble bool) (int, error) {
	d, err := newDeployment(folder, rec, 4, 200*time.Millisecond, false)
	if err != nil {
		return statusNotRun, err
	}
	defer d.stop()
	d.configure()
	d.listPlain()
	if err := d.startGateways(program, zones, nil); err != nil {
		return statusNotRun, err
	}
	if !d.awaitReady() {
		return statusNotRun, fmt.Errorf("the gateways were not ready in time")
	}
	leaver := d.plain[len(d.plain)-1]
	var mu sync.Mutex
	// toldAt holds when each gateway first passed on an answer with Server-Leaving, and late the requests that reached the
	// runner later than drainTime after that.
	toldAt := map[string]time.Time{}
	var late []string
	leaver.onRequest = func(id string) {
		mu.Lock()
		defer mu.Unlock()
		at, told := toldAt[id[:1]]
		if told && time.Since(at) > drainTime {
			late = append(late, id)
			rec.add("%s REACHES %s, %v after its gateway had passed on that the runner leaves", id, leaver.id, time.Since(at).Round(time.Millisecond))
		}
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	answers := newTally()
	for n, g := range d.gateways {
		prefix := string(rune('a' + n))
		onAnswer := func(r reply) {
			mu.Lock()
			defer mu.Unlock()
			if _, told := toldAt[prefix]; !told && r.header.Get("Server-Leaving") != "" {
				toldAt[prefix] = time.Now()
				rec.add("%s has passed on that %s leaves", g.name, r.header.Get("Runner-Id"))
			}
		}
		// As many clients as the four runners have slots.
		for i := range 8 {
			c := &client{name: fmt.Sprintf("%s/%d", g.name, i), address: g.front, onAnswer: onAnswer}
			clients.Go(func() {
				c.loop(stop, rec, answers, 20*time.Millisecond, func() request {
					return request{id: newRequestID(prefix), method: "POST", path: "/approve/2f", deadline: 1500 * time.Millisecond, body: "order"}
				})
			})
		}
	}
	time.Sleep(3 * time.Second)
	saved := d.store.copy()
	copiedAt := time.Now()
	rec.add("the copy of the store is made")
	time.Sleep(500 * time.Millisecond)
	for end := time.Now().Add(2 * time.Second); leaver.runningNow() < len(d.gateways) && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	rec.add("runner %s reports draining and says so in its answers", leaver.id)
	leaver.setLeaving()
	d.store.put("servers", leaver.id, leaver.entry("draining"))
	time.Sleep(drainTime + 500*time.Millisecond)
	rec.add("the entry of %s is removed; the runner serves on", leaver.id)
	d.store.remove("servers", leaver.id)
	time.Sleep(copyAge - storeAway - time.Since(copiedAt))
	if trouble {
		rec.add("the drill begins: the store is away")
		d.store.setAway(true)
		time.Sleep(storeAway)
		d.store.restore(saved)
		rec.add("the store is back from a copy that is %v old", time.Since(copiedAt).Round(time.Millisecond))
	}
	time.Sleep(exitAfter)
	rec.add("runner %s exits", leaver.id)
	leaver.exit()
	time.Sleep(rewriteAfter - exitAfter)
	rec.add("the operator and the runners write again what they wrote")
	d.version -= 3
	d.configure()
	d.plain = d.plain[:len(d.plain)-1]
	d.listPlain()
	time.Sleep(expiry - rewriteAfter)
	d.store.remove("servers", leaver.id)
	rec.add("the entry of %s is removed after three heartbeats", leaver.id)
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	d.stop()
	mu.Lock()
	defer mu.Unlock()
	rec.conclude("requests: %s", answers.text())
	rec.conclude("gateways that had passed on that %s leaves: %d of %d", leaver.id, len(toldAt), len(d.gateways))
	rec.conclude("requests that reached it later than %v after that: %d", drainTime, len(late))
	rec.conclude("non-idempotent requests that it had begun and could not end: %d", answers.byStatus[502])
	switch {
	case len(toldAt) == 0:
		return statusNotRun, fmt.Errorf("no gateway passed on that the runner leaves")
	case len(late) > 0:
		rec.conclude("DRAIN is broken")
		return statusBroken, nil
	}
	return statusHeld, nil
}
