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
	mu     sync.Mutex
	strays []strayHold
	// epoch is the epoch of the last hold, and nextStep the first step in it that no order has named.
	epoch    Epoch
	nextStep identifier.Step
	// isFirst is set if no other leader can have ordered holds before.
	isFirst bool
}

// NewHoldLedger returns an empty HoldLedger of a leader that may have followed another one.
func NewHoldLedger() *HoldLedger {
	return &HoldLedger{}
}

// NewFirstHoldLedger returns an empty HoldLedger of the first leader.
func NewFirstHoldLedger() *HoldLedger {
	return &HoldLedger{isFirst: true}
}

// inheritedSteps is the number of steps beyond stepsAhead that an earlier leader may have named: one for each hold that it
// could not confirm.
const inheritedSteps = 2

// enter records that a group is in an epoch; current is the step that began last. In the first epoch that it records,
// holds keep clear of the steps that an earlier leader may have named, since its orders may still be carried out. The
// caller holds mu.
func (l *HoldLedger) enter(epoch Epoch, current identifier.Step) {
	switch {
	case l.epoch == epoch:
		return
	case l.epoch == 0 && !l.isFirst:
		l.nextStep = current + stepsAhead + inheritedSteps
	default:
		l.nextStep = 0
	}
	l.epoch = epoch
}

// chooseStep returns the step before which a group is held next; current is the step that began last.
func (l *HoldLedger) chooseStep(epoch Epoch, current identifier.Step) identifier.Step {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enter(epoch, current)
	step := max(current+stepsAhead, l.nextStep)
	l.nextStep = step + 1
	return step
}

// recordStep records that an order of an earlier leader has named a step, which no later hold may use.
func (l *HoldLedger) recordStep(epoch Epoch, step identifier.Step) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enter(epoch, step)
	l.nextStep = max(l.nextStep, step+1)
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
	l.enter(epoch, current)
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
