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

// call is an action on its way to the table and back.
type call struct {
	action  leaser.Action
	applied bool
	answer  leaser.Event
}

type claimant struct {
	machine *leaser.Machine
	call    *call
}

type table struct {
	t         require.TestingT
	now       time.Time
	history   []leaser.RowRead
	claimants []*claimant
	orphans   []*call
	lives     int
	fences    map[identifier.Fence]*leaser.Machine
	highest   identifier.Fence
}

func newTable(t require.TestingT, claimants int) *table {
	tb := &table{
		t:       t,
		now:     time.Unix(1000, 0),
		history: []leaser.RowRead{{}},
		fences:  map[identifier.Fence]*leaser.Machine{},
	}
	for i := range claimants {
		tb.claimants = append(tb.claimants, &claimant{})
		tb.restart(i)
	}
	return tb
}

// restart replaces a claimant by a new process of the same node; a call on its way may still take effect.
func (tb *table) restart(i int) {
	c := tb.claimants[i]
	if c.call != nil {
		tb.orphans = append(tb.orphans, c.call)
	}
	tb.lives++
	node := identifier.Node(fmt.Sprint("agent", i))
	c.machine = leaser.NewMachine(leaser.DefaultMachine(node, identifier.Incarnation(tb.lives)))
	c.call = nil
}

func (tb *table) tick(i int) {
	c := tb.claimants[i]
	for _, action := range c.machine.Step(tb.now, leaser.Tick{}) {
		require.Nil(tb.t, c.call, "one action is in progress at a time")
		c.call = &call{action: action}
	}
	tb.check()
}

func (tb *table) apply(c *call, stale bool) {
	if c == nil || c.applied {
		return
	}
	c.applied = true
	current := tb.history[len(tb.history)-1]
	switch a := c.action.(type) {
	case leaser.Read:
		c.answer = current
		if stale {
			c.answer = tb.history[len(tb.history)/2]
		}
	case leaser.Write:
		if a.Condition != current.Version {
			c.answer = leaser.WriteFailed{}
			return
		}
		next := leaser.RowRead{Version: current.Version + 1, Record: a.Record}
		tb.history = append(tb.history, next)
		c.answer = leaser.Written{Version: next.Version}
	}
}

// finish hands the answer to the claimant, or a failure if it was lost or has not arrived in time.
func (tb *table) finish(i int, lost bool) {
	c := tb.claimants[i]
	if c.call == nil {
		return
	}
	event := c.call.answer
	if lost || event == nil {
		event = leaser.WriteFailed{}
		if _, isRead := c.call.action.(leaser.Read); isRead {
			event = leaser.ReadFailed{}
		}
	}
	if !c.call.applied {
		tb.orphans = append(tb.orphans, c.call)
	}
	c.call = nil
	c.machine.Step(tb.now, event)
	tb.check()
}

// check guards the promise of the lease: one holder at a time, one holder for each fence, and rising fences.
func (tb *table) check() {
	var holder *leaser.Machine
	for _, c := range tb.claimants {
		fence, held := c.machine.Held(tb.now)
		if !held {
			continue
		}
		require.Nil(tb.t, holder, "two holders at %v", tb.now)
		holder = c.machine
		require.GreaterOrEqual(tb.t, fence, tb.highest, "fences rise")
		tb.highest = fence
		if tb.fences[fence] == nil {
			tb.fences[fence] = c.machine
		}
		require.Same(tb.t, tb.fences[fence], c.machine, "fence %d has two holders", fence)
	}
}

func (tb *table) advance(d time.Duration) {
	tb.now = tb.now.Add(d)
	tb.check()
}

// calm lets time pass without faults.
func (tb *table) calm(d time.Duration) {
	const step = 100 * time.Millisecond
	for range int(d / step) {
		tb.advance(step)
		for i, c := range tb.claimants {
			tb.tick(i)
			tb.apply(c.call, false)
			tb.finish(i, false)
		}
	}
}

func (tb *table) holders() int {
	n := 0
	for _, c := range tb.claimants {
		if _, held := c.machine.Held(tb.now); held {
			n++
		}
	}
	return n
}

// TestMachineSequences guards against two holders at once and against a lease that nobody obtains again, under
// paused holders, lost answers, writes that take effect late, stale reads, outages and restarts.
func TestMachineSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb := newTable(t, rapid.IntRange(1, 3).Draw(t, "claimants"))
		for range rapid.IntRange(1, 300).Draw(t, "length") {
			i := rapid.IntRange(0, len(tb.claimants)-1).Draw(t, "claimant")
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				tb.restart(i)
			case 1:
				tb.advance(time.Duration(rapid.IntRange(0, 6000).Draw(t, "pause")) * time.Millisecond)
			case 2, 3, 4:
				tb.advance(time.Duration(rapid.IntRange(0, 600).Draw(t, "time")) * time.Millisecond)
			case 5, 6, 7, 8:
				tb.tick(i)
			case 9, 10, 11:
				tb.apply(tb.claimants[i].call, rapid.IntRange(0, 3).Draw(t, "stale") == 0)
			case 12, 13, 14:
				tb.finish(i, rapid.IntRange(0, 3).Draw(t, "lost") == 0)
			case 15, 16:
				if len(tb.orphans) > 0 {
					tb.apply(tb.orphans[rapid.IntRange(0, len(tb.orphans)-1).Draw(t, "orphan")], false)
				}
			default:
				tb.calm(time.Duration(rapid.IntRange(1, 60).Draw(t, "calm")) * 100 * time.Millisecond)
			}
		}
		for i := range tb.claimants {
			tb.finish(i, true)
		}
		tb.calm(15 * time.Second)
		require.Equal(t, 1, tb.holders())
	})
}

// TestMachineTimes guards against an acquisition before the lease time, a rare renewal and a holder that goes on
// after its last successful renewal is too old.
func TestMachineTimes(t *testing.T) {
	tb := newTable(t, 1)
	tb.calm(4900 * time.Millisecond)
	require.Zero(t, tb.holders(), "the row has not been unchanged for the lease time")
	tb.calm(300 * time.Millisecond)
	require.Equal(t, 1, tb.holders())
	first := tb.history[len(tb.history)-1]
	tb.calm(10 * time.Second)
	last := tb.history[len(tb.history)-1]
	require.Equal(t, first.Record.Fence, last.Record.Fence)
	require.InDelta(t, 10, last.Version-first.Version, 1, "renewed every second")
	tb.advance(3300 * time.Millisecond)
	require.Equal(t, 1, tb.holders())
	tb.advance(1200 * time.Millisecond)
	require.Zero(t, tb.holders(), "a paused holder stops by the clock alone")
}

// TestMachineFenceAfterLapse guards against orders from before a lapse that carry the same fence as later ones.
func TestMachineFenceAfterLapse(t *testing.T) {
	tb := newTable(t, 1)
	tb.calm(6 * time.Second)
	before, _ := tb.claimants[0].machine.Held(tb.now)
	tb.advance(10 * time.Second)
	tb.calm(time.Second)
	after, held := tb.claimants[0].machine.Held(tb.now)
	require.True(t, held)
	require.Equal(t, before+1, after)
}

// TestMachineLostAnswer guards against a holder that counts a write with a lost answer from the time at which it
// learned of it: others count from the time at which they saw the row.
func TestMachineLostAnswer(t *testing.T) {
	now := time.Unix(1000, 0)
	m := leaser.NewMachine(leaser.DefaultMachine("agent1", 1))
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

// TestMachineStaleRead guards against a holder that takes an old row for the loss of its lease.
func TestMachineStaleRead(t *testing.T) {
	tb := newTable(t, 1)
	tb.calm(6 * time.Second)
	m := tb.claimants[0].machine
	m.Step(tb.now, leaser.RowRead{})
	_, held := m.Held(tb.now)
	require.True(t, held)
}
