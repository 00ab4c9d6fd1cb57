package mapswitcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// strayHold is a hold of which a try got no response: the rank may place it long after it was released.
type strayHold struct {
	member Member
	epoch  Epoch
	step   identifier.Step
}

// HoldLedger records the holds that a leader has ordered for a group. It outlives the Switchers of the group, and is safe
// for concurrent use.
type HoldLedger struct {
	// turn is the remainder of the steps that this leader names, divided by turns.
	turn   identifier.Step
	mu     sync.Mutex
	strays []strayHold
	// epoch is the epoch of the last hold, and named lists the steps that orders of this leader have named in it, the latest
	// ones last.
	epoch Epoch
	named []identifier.Step
}

const (
	// turns is the number of successive leaders that hold a group before different steps. A release names only a step, so a
	// late one of a leader must not end a hold of one of the next two: two gateways may take over at the same time.
	turns = 3
	// maxNamed bounds the steps that are remembered. Orders are at most some seconds late, a few switches.
	maxNamed = 64
	// noRank is the index of no rank.
	noRank = -1
)

// NewHoldLedger returns an empty HoldLedger of a leader. Terms count the leaders of a group.
func NewHoldLedger(term uint64) *HoldLedger {
	return &HoldLedger{turn: identifier.Step(term % turns)}
}

// enter records that a group is in an epoch. The caller holds mu.
func (l *HoldLedger) enter(epoch Epoch) {
	if l.epoch != epoch {
		l.epoch, l.named = epoch, nil
	}
}

// chooseStep returns the step before which a group is held next; current is the step that began last.
func (l *HoldLedger) chooseStep(epoch Epoch, current identifier.Step) identifier.Step {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enter(epoch)
	step := current + stepsAhead
	for step%turns != l.turn || slices.Contains(l.named, step) {
		step++
	}
	l.named = append(l.named, step)
	if len(l.named) > maxNamed {
		l.named = l.named[1:]
	}
	return step
}

// hasNamed reports whether a hold of this leader has named a step. That of no other recent leader has then.
func (l *HoldLedger) hasNamed(epoch Epoch, step identifier.Step) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch == epoch && slices.Contains(l.named, step)
}

// chooseRank returns the index of a rank that holds no step, or noRank. Of the ranks of a large group, it is one that the
// other recent leaders would not choose.
func (l *HoldLedger) chooseRank(reports []Report) int {
	free := noRank
	for i, r := range reports {
		if r.Held == nil && (free == noRank || free%turns != int(l.turn) || i%turns == int(l.turn)) {
			free = i
		}
	}
	return free
}

func (l *HoldLedger) addStray(h strayHold) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(l.strays, h) {
		l.strays = append(l.strays, h)
	}
}

// dueStrays returns the holds of an epoch that keep a group from beginning the step after current. It forgets those of
// other epochs and those of steps that have begun, which ranks reject.
func (l *HoldLedger) dueStrays(epoch Epoch, current identifier.Step) []strayHold {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enter(epoch)
	l.strays = slices.DeleteFunc(l.strays, func(h strayHold) bool { return h.epoch != epoch || h.step <= current })
	var out []strayHold
	for _, h := range l.strays {
		if h.step == current+1 {
			out = append(out, h)
		}
	}
	return out
}

// EndStrayHolds releases the holds of earlier switches that a rank may have placed after their release, once the group has
// reached them; current is the step that began last. It returns the ranks that have confirmed a release. No switch may be
// in progress or unresolved. A release without a response is repeated by the next call.
func (s *Switcher) EndStrayHolds(ctx context.Context, g Group, current identifier.Step) []Member {
	var released []Member
	for _, h := range s.cfg.Holds.dueStrays(g.Epoch, current) {
		if !s.cfg.Allowed() {
			return released
		}
		tryCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		status, err := s.cfg.Engines.Order(tryCtx, h.member, h.epoch, Release{Step: h.step})
		cancel()
		if err == nil && status == StatusAccepted {
			released = append(released, h.member)
		}
	}
	return released
}

const (
	// standstillAfter is how long a busy group has to stay at a step before a hold is suspected: longer than a switch in
	// progress holds a group, and short enough that clients, who abandon a stream after a gap of 2 s, are still there.
	standstillAfter = armTimeout + 100*time.Millisecond
	// maxStandstillInterval bounds the time between two suspicions while a group stands, which doubles each time: passes
	// may take that long without any hold.
	maxStandstillInterval = 8 * time.Second
)

// Standstill tells whether a group has stopped making passes while requests run on it. The zero value is ready for use.
type Standstill struct {
	step identifier.Step
	// since is when the group was first seen at the step with requests; zero if it was idle when last seen.
	since time.Time
	// wait is how long the group has to stand until the next suspicion.
	wait time.Duration
}

// Observe records the step that began last and whether requests run, and reports whether a hold is to be suspected.
func (s *Standstill) Observe(now time.Time, step identifier.Step, busy bool) bool {
	if step != s.step || !busy || s.since.IsZero() {
		*s = Standstill{step: step, wait: standstillAfter}
		if busy {
			s.since = now
		}
		return false
	}
	if now.Sub(s.since) < s.wait {
		return false
	}
	s.since, s.wait = now, min(2*s.wait, maxStandstillInterval)
	return true
}
