package leaser_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/leaser"
)

// call is an action of a candidate that is in progress: sent to the table, but without a response yet.
type call struct {
	action   leaser.Action
	applied  bool
	response leaser.Event
}

// candidate is a process that competes for the lease.
type candidate struct {
	machine *leaser.Machine
	call    *call
}

// simulation runs candidates against a table with one row, on a simulated clock.
type simulation struct {
	t   require.TestingT
	now time.Time
	// history holds all states of the row; the last one is current.
	history    []leaser.RowRead
	candidates []*candidate
	// abandoned are calls whose candidate no longer waits, but that may still take effect.
	abandoned    []*call
	incarnations int
	// holders maps each fencing number to the machine that held the lease under it.
	holders      map[identifier.Fence]*leaser.Machine
	highestFence identifier.Fence
}

func newSimulation(t require.TestingT, candidates int) *simulation {
	s := &simulation{
		t:       t,
		now:     time.Unix(1000, 0),
		history: []leaser.RowRead{{}},
		holders: map[identifier.Fence]*leaser.Machine{},
	}
	for i := range candidates {
		s.candidates = append(s.candidates, &candidate{})
		s.restart(i)
	}
	return s
}

// restart replaces a candidate by a new process of the same node. A call in progress may still take effect.
func (s *simulation) restart(i int) {
	c := s.candidates[i]
	if c.call != nil {
		s.abandoned = append(s.abandoned, c.call)
	}
	s.incarnations++
	node := identifier.Node(fmt.Sprint("agent", i))
	c.machine = leaser.NewMachine(leaser.DefaultMachineConfig(node, identifier.Incarnation(s.incarnations)))
	c.call = nil
}

func (s *simulation) tick(i int) {
	c := s.candidates[i]
	for _, action := range c.machine.Step(s.now, leaser.Tick{}) {
		require.Nil(s.t, c.call, "one action is in progress at a time")
		c.call = &call{action: action}
	}
	s.check()
}

// apply performs a call at the table once. A stale read returns a past state of the row.
func (s *simulation) apply(c *call, stale bool) {
	if c == nil || c.applied {
		return
	}
	c.applied = true
	current := s.history[len(s.history)-1]
	switch a := c.action.(type) {
	case leaser.Read:
		c.response = current
		if stale {
			c.response = s.history[len(s.history)/2]
		}
	case leaser.Write:
		if a.Condition != current.Version {
			c.response = leaser.WriteFailed{}
			return
		}
		next := leaser.RowRead{Version: current.Version + 1, Record: a.Record}
		s.history = append(s.history, next)
		c.response = leaser.Written{Version: next.Version}
	}
}

// finish passes the response of the call to the candidate, or a failure if the response was lost or did not arrive in
// time.
func (s *simulation) finish(i int, lost bool) {
	c := s.candidates[i]
	if c.call == nil {
		return
	}
	event := c.call.response
	if lost || event == nil {
		event = leaser.WriteFailed{}
		if _, isRead := c.call.action.(leaser.Read); isRead {
			event = leaser.ReadFailed{}
		}
	}
	if !c.call.applied {
		s.abandoned = append(s.abandoned, c.call)
	}
	c.call = nil
	c.machine.Step(s.now, event)
	s.check()
}

// check verifies the guarantees of the lease: one holder at a time, one holder for each fencing number, and fencing
// numbers that never decrease.
func (s *simulation) check() {
	var holder *leaser.Machine
	for _, c := range s.candidates {
		fence, held := c.machine.Held(s.now)
		if !held {
			continue
		}
		require.Nil(s.t, holder, "two holders at %v", s.now)
		holder = c.machine
		require.GreaterOrEqual(s.t, fence, s.highestFence, "fencing numbers never decrease")
		s.highestFence = fence
		if s.holders[fence] == nil {
			s.holders[fence] = c.machine
		}
		require.Same(s.t, s.holders[fence], c.machine, "fence %d has two holders", fence)
	}
}

func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.check()
}

// runWithoutFaults advances the time while every call gets its response at once.
func (s *simulation) runWithoutFaults(d time.Duration) {
	const step = 100 * time.Millisecond
	for range int(d / step) {
		s.advance(step)
		for i, c := range s.candidates {
			s.tick(i)
			s.apply(c.call, false)
			s.finish(i, false)
		}
	}
}

func (s *simulation) countHolders() int {
	n := 0
	for _, c := range s.candidates {
		if _, held := c.machine.Held(s.now); held {
			n++
		}
	}
	return n
}

// TestMachineRandomFaults guards against two holders at once and against a lease that no candidate acquires again after
// paused holders, lost responses, writes that take effect late, stale reads, outages and restarts.
func TestMachineRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.IntRange(1, 3).Draw(t, "candidates"))
		for range rapid.IntRange(1, 300).Draw(t, "length") {
			i := rapid.IntRange(0, len(s.candidates)-1).Draw(t, "candidate")
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				s.restart(i)
			case 1:
				s.advance(time.Duration(rapid.IntRange(0, 6000).Draw(t, "pause")) * time.Millisecond)
			case 2, 3, 4:
				s.advance(time.Duration(rapid.IntRange(0, 600).Draw(t, "time")) * time.Millisecond)
			case 5, 6, 7, 8:
				s.tick(i)
			case 9, 10, 11:
				s.apply(s.candidates[i].call, rapid.IntRange(0, 3).Draw(t, "stale") == 0)
			case 12, 13, 14:
				s.finish(i, rapid.IntRange(0, 3).Draw(t, "lost") == 0)
			case 15, 16:
				if len(s.abandoned) > 0 {
					s.apply(s.abandoned[rapid.IntRange(0, len(s.abandoned)-1).Draw(t, "abandoned")], false)
				}
			default:
				s.runWithoutFaults(time.Duration(rapid.IntRange(1, 60).Draw(t, "withoutFaults")) * 100 * time.Millisecond)
			}
		}
		for i := range s.candidates {
			s.finish(i, true)
		}
		s.runWithoutFaults(15 * time.Second)
		require.Equal(t, 1, s.countHolders())
	})
}

// TestMachineTimes guards against an acquisition before the lease duration has passed, renewals that are too rare, and a
// holder that continues after the deadline for its renewal.
func TestMachineTimes(t *testing.T) {
	s := newSimulation(t, 1)
	s.runWithoutFaults(4900 * time.Millisecond)
	require.Zero(t, s.countHolders(), "the row has not been unchanged for the lease duration")
	s.runWithoutFaults(300 * time.Millisecond)
	require.Equal(t, 1, s.countHolders())
	first := s.history[len(s.history)-1]
	s.runWithoutFaults(10 * time.Second)
	last := s.history[len(s.history)-1]
	require.Equal(t, first.Record.Fence, last.Record.Fence)
	require.InDelta(t, 10, last.Version-first.Version, 1, "renewed every second")
	s.advance(3300 * time.Millisecond)
	require.Equal(t, 1, s.countHolders())
	s.advance(1200 * time.Millisecond)
	require.Zero(t, s.countHolders(), "the lease of a paused holder expires without an event")
}

// TestMachineFenceAfterLapse guards against orders from before and after a lapse of the lease that carry the same
// fencing number.
func TestMachineFenceAfterLapse(t *testing.T) {
	s := newSimulation(t, 1)
	s.runWithoutFaults(6 * time.Second)
	before, _ := s.candidates[0].machine.Held(s.now)
	s.advance(10 * time.Second)
	s.runWithoutFaults(time.Second)
	after, held := s.candidates[0].machine.Held(s.now)
	require.True(t, held)
	require.Equal(t, before+1, after)
}

// TestMachineLostResponse guards against a holder that counts its lease from the time at which it read back a write
// with a lost response. Other candidates count from the time at which they observed the row, which may be earlier.
func TestMachineLostResponse(t *testing.T) {
	now := time.Unix(1000, 0)
	m := leaser.NewMachine(leaser.DefaultMachineConfig("agent1", 1))
	m.Step(now, leaser.Tick{})
	m.Step(now, leaser.RowRead{})
	start := now.Add(5 * time.Second)
	write := m.Step(start, leaser.Tick{})[0].(leaser.Write)
	m.Step(start.Add(time.Second), leaser.WriteFailed{})
	require.Equal(t, []leaser.Action{leaser.Read{}}, m.Step(start.Add(time.Second), leaser.Tick{}))
	m.Step(start.Add(3*time.Second), leaser.RowRead{Version: 1, Record: write.Record})
	_, held := m.Held(start.Add(3400 * time.Millisecond))
	require.True(t, held)
	_, held = m.Held(start.Add(3500 * time.Millisecond))
	require.False(t, held)
}

// TestMachineStaleRead guards against a holder that takes a stale row for the loss of its lease.
func TestMachineStaleRead(t *testing.T) {
	s := newSimulation(t, 1)
	s.runWithoutFaults(6 * time.Second)
	m := s.candidates[0].machine
	m.Step(s.now, leaser.RowRead{})
	_, held := m.Held(s.now)
	require.True(t, held)
}
