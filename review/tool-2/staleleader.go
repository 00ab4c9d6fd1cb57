package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// maxFreeze and maxCut are the doses of the site file: node_freeze for_s = 4.0, core_cut of the leader for_s = 5.5.
	maxFreeze = 4 * time.Second
	maxCut    = 5500 * time.Millisecond
	// wakeAfter is how long after the first order of the next leader to arm a rank the first leader goes on.
	wakeAfter = 40 * time.Millisecond
)

// leadership is what the stand-ins see of the leaders of the expert maps.
type leadership struct {
	mu sync.Mutex
	// leader is the gateway that last wrote the lease, or -1, and renewedAt when it did.
	leader    int
	renewedAt time.Time
	// frozen is the gateway that stands still, or -1, and cut the one whose calls the store does not get, or -1.
	frozen, cut int
	frozenAt    time.Time
	cutEnds     chan struct{}
	// armedAt is when the next leader first armed a rank.
	armedAt time.Time
}

// staleLeader freezes the leader of the expert maps while it holds the group for a change of the map, and cuts it off
// from the platform's store. Another gateway leads meanwhile. It checks that no pass begins with different maps (MAP).
func staleLeader(program, folder string, rec *record, trouble bool) (int, error) {
	d, err := newDeployment(folder, rec, 1, 30*time.Millisecond, true)
	if err != nil {
		return statusNotRun, err
	}
	defer d.stop()
	l := &leadership{leader: -1, frozen: -1, cut: -1, cutEnds: make(chan struct{})}
	d.store.onWrite = func(gateway int, r storeRow) {
		if r.Table != "leases" {
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if gateway != l.leader {
			rec.add("gateway %d writes the lease", gateway+1)
		}
		l.leader, l.renewedAt = gateway, time.Now()
	}
	woken := make(chan struct{})
	d.group.onCarriedOut = func(r *rank, o order, status int) {
		rec.add("rank %s: %s version %d step %d: %d", r.id, o.Op, o.Version, o.Step, status)
		if !trouble {
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		switch {
		case o.Op == "arm" && status == http.StatusAccepted && l.frozen < 0 && l.leader >= 0:
			l.frozen, l.cut, l.frozenAt = l.leader, l.leader, time.Now()
			d.gateways[l.frozen].signal(syscall.SIGSTOP)
			rec.add("%s, which leads and wrote the lease %v ago, FREEZES and is CUT OFF from the store", d.gateways[l.frozen].name,
				time.Since(l.renewedAt).Round(time.Millisecond))
			time.AfterFunc(maxCut, func() {
				rec.add("the cut from the store ends")
				close(l.cutEnds)
			})
		case o.Op == "arm" && status == http.StatusAccepted && l.leader != l.frozen && l.armedAt.IsZero():
			l.armedAt = time.Now()
			time.AfterFunc(wakeAfter, func() { close(woken) })
		}
	}
	// The store gets no call of the gateway that is cut off.
	wrap := func(gateway int, h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			l.mu.Lock()
			isCut := l.cut == gateway
			l.mu.Unlock()
			if isCut {
				select {
				case <-l.cutEnds:
				case <-q.Context().Done():
					return
				}
			}
			h.ServeHTTP(w, q)
		})
	}
	d.configure()
	d.listPlain()
	if err := d.startGateways(program, zones, wrap); err != nil {
		return statusNotRun, err
	}
	if !d.awaitReady() {
		return statusNotRun, fmt.Errorf("the gateways were not ready in time")
	}
	time.Sleep(2 * time.Second)
	d.listRanks()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	streams := newTally()
	for _, g := range d.gateways {
		d.startStreams(g, 44, &clients, stop, streams)
	}
	if trouble {
		l.awaitWake(d, rec, woken)
	}
	time.Sleep(10 * time.Second)
	close(stop)
	clients.Wait()
	d.stop()
	d.group.mu.Lock()
	passes, switches, violations := d.group.passes, d.group.switches, slices.Clone(d.group.violations)
	d.group.mu.Unlock()
	rec.conclude("streams: %s", streams.text())
	rec.conclude("passes: %d, changes of the map: %d, passes begun with different maps: %d", passes, switches, len(violations))
	switch {
	case trouble && l.frozenAt.IsZero():
		return statusNotRun, fmt.Errorf("no leader held the group for a change of the map")
	case len(violations) > 0:
		rec.conclude("first: %s", violations[0])
		rec.conclude("MAP is broken")
		return statusBroken, nil
	case passes == 0 || switches == 0:
		return statusNotRun, fmt.Errorf("the group made no passes, or its map was never changed")
	}
	return statusHeld, nil
}

// awaitWake lets the frozen leader go on when the next one has begun to arm ranks, or after maxFreeze.
func (l *leadership) awaitWake(d *deployment, rec *record, woken <-chan struct{}) {
	end := time.After(30 * time.Second)
	for {
		l.mu.Lock()
		frozen, frozenAt := l.frozen, l.frozenAt
		l.mu.Unlock()
		if frozen >= 0 {
			select {
			case <-woken:
			case <-time.After(maxFreeze - time.Since(frozenAt)):
			}
			d.gateways[frozen].signal(syscall.SIGCONT)
			rec.conclude("%s goes on after %v", d.gateways[frozen].name, time.Since(frozenAt).Round(time.Millisecond))
			return
		}
		select {
		case <-end:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}
