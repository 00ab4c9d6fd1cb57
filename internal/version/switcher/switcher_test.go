package switcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/placer"
	"currantledge.example/currantledge/internal/version/switcher"
)

// settleRounds is 30 s of steps, several times the longest time-out of the machines but that for weights.
const settleRounds = 600

// change commits one map without faults and waits until all ranks use it.
func (w *world) change() {
	version := w.row.Record.Committed.Version
	for range settleRounds {
		w.round()
		if !w.leaders[w.newest].Busy() && w.row.Record.Committed.Version == version {
			w.propose(w.newest)
		}
		committed := w.row.Record.Committed
		if committed.Version == version {
			continue
		}
		done := true
		for _, next := range w.next {
			done = done && next > committed.Step
		}
		if done {
			return
		}
	}
	require.FailNow(w.t, "the group stalls", "row %+v next %v", w.row, w.next)
}

// TestSequences guards against steps in which ranks use different maps, and against groups that stall for ever,
// under lost, repeated, late and reordered messages, orders and table answers, stale reads and reports, leader
// changes at any point, old leaders that continue, and agents and engines that restart and forget.
func TestSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, 4).Draw(t, "ranks"))
		if rapid.Bool().Draw(t, "running") {
			w.change()
		}
		for range rapid.IntRange(1, 400).Draw(t, "length") {
			disturb(t, w)
		}
		w.elect()
		w.change()
		w.change()
	})
}

func disturb(t *rapid.T, w *world) {
	rank := rapid.IntRange(0, w.ranks-1).Draw(t, "rank")
	// Old leaders are as likely as the newest: their orders arrive late, with an old fence.
	fence := identifier.Fence(rapid.IntRange(1, int(w.newest)).Draw(t, "fence"))
	switch rapid.IntRange(0, 39).Draw(t, "event") {
	case 0:
		w.restartAgent(rank)
	case 1:
		w.restartEngine(rank)
	case 2:
		w.elect()
	case 3, 4:
		w.propose(w.newest)
	case 5:
		w.propose(fence)
	case 6, 7, 8, 9:
		w.report(rank, rapid.Bool().Draw(t, "stale"))
	case 10, 11, 12:
		w.now = w.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
		w.toRank(rank, switcher.Tick{})
		w.toLeader(fence, switcher.Tick{})
	case 13, 14, 15, 16, 17:
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			for r := range w.ranks {
				w.run((rank + r) % w.ranks)
			}
		}
	case 18:
		w.toLeader(w.newest, switcher.Tick{})
	case 19:
		w.round()
	case 20, 21, 22:
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			w.round()
		}
	default:
		w.deliverAny(t)
	}
}

func (w *world) deliverAny(t *rapid.T) {
	if len(w.parcels) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.parcels)-1).Draw(t, "parcel")
	p := w.parcels[i]
	fate := rapid.IntRange(0, 9).Draw(t, "fate")
	if fate != 0 {
		w.parcels = append(w.parcels[:i], w.parcels[i+1:]...)
	}
	if fate != 1 {
		p.deliver(fate == 2)
	}
}

// TestNoDelayWithoutFaults guards against a switch step so near that ranks wait for the decision, and against one
// so far that the change takes long. With one hop each message, order and table call takes a whole step time.
func TestNoDelayWithoutFaults(t *testing.T) {
	for _, hops := range []int{1, 8} {
		w := newWorld(t, 16)
		w.hops = hops
		w.change()
		first := w.next[0]
		for range 5 {
			w.change()
		}
		for step := first; step < w.next[0]; step++ {
			for r := range w.ranks {
				gap := w.times[recorded{step: step, rank: r}].Sub(w.times[recorded{step: step - 1, rank: r}])
				require.LessOrEqual(t, gap, 2*stepTime, "step %d of rank %d", step, r)
			}
		}
		require.Less(t, int(w.next[0]-first), 5*60, "a change takes under 3 s")
	}
}

// TestManyRanksStart guards against a group whose ranks overload the table when they start at once.
func TestManyRanksStart(t *testing.T) {
	w := newWorld(t, 64)
	w.change()
	require.LessOrEqual(t, w.writes, 4*64)
	w.writes = 0
	for r := range w.ranks {
		w.restartEngine(r)
	}
	w.change()
	require.LessOrEqual(t, w.writes, 4*64)
}

// TestLostDecision guards against a leader that takes the lost answer to its commit for an abort.
func TestLostDecision(t *testing.T) {
	now := time.Unix(0, 0)
	leader, row := preparing(now)
	actions := leader.Step(now, switcher.Prepared{Rank: 0, Version: row.Record.Last + 1, Accepted: true})
	write := actions[0].(switcher.WriteRow)
	require.Empty(t, leader.Step(now, switcher.RowUnsure{}))
	now = now.Add(time.Second)
	require.Equal(t, []switcher.Action{write}, leader.Step(now, switcher.Tick{}))
	row = switcher.Row{Version: row.Version + 1, Record: write.Record}
	actions = leader.Step(now, switcher.RowConflict{Row: row})
	require.Contains(t, actions, switcher.Finished{Version: row.Record.Last, Outcome: switcher.OutcomeCommitted})
}

// TestStalledPreparation guards against a leader that waits for ever for a rank that does not answer.
func TestStalledPreparation(t *testing.T) {
	now := time.Unix(0, 0)
	leader, row := preparing(now)
	now = now.Add(switcher.DefaultLeader(1, 1).PrepareTimeout)
	write := leader.Step(now, switcher.Tick{})[0].(switcher.WriteRow)
	require.Equal(t, row.Record.Last+1, write.Record.Last)
	require.Equal(t, row.Record.Committed, write.Record.Committed)
}

// TestOldLeader guards against a paused leader that decides after another has taken over.
func TestOldLeader(t *testing.T) {
	now := time.Unix(0, 0)
	leader, row := preparing(now)
	row.Version++
	row.Record.Fence = 2
	row.Record.Last++
	write := leader.Step(now, switcher.Prepared{Rank: 0, Version: row.Record.Last, Accepted: true})[0].(switcher.WriteRow)
	require.Less(t, write.Condition, row.Version)
	actions := leader.Step(now, switcher.RowConflict{Row: row})
	require.Equal(t, switcher.OutcomeDeposed, actions[0].(switcher.Finished).Outcome)
	require.Empty(t, leader.Step(now.Add(time.Minute), switcher.Tick{}))
}

// preparing returns the leader of a group of one rank whose first preparation is sent, and the row.
func preparing(now time.Time) (*switcher.Leader, switcher.Row) {
	leader := switcher.NewLeader(switcher.DefaultLeader(1, 1))
	write := leader.Step(now, switcher.RowRead{})[0].(switcher.WriteRow)
	row := switcher.Row{Version: 1, Record: write.Record}
	leader.Step(now, switcher.RowWritten{Row: row})
	leader.Step(now, switcher.Propose{Map: placer.Map{}})
	leader.Step(now, switcher.Fetched{Rank: 0, Version: row.Record.Last + 1})
	return leader, row
}

// TestRankRejectsOldFence guards against late orders of a leader that has been replaced.
func TestRankRejectsOldFence(t *testing.T) {
	now := time.Unix(0, 0)
	rank := switcher.NewRank(switcher.DefaultRank(0, 1))
	rank.Step(now, switcher.EngineReport{Boot: "1"})
	write := rank.Step(now, switcher.RowRead{Row: switcher.Row{Version: 1, Record: switcher.Record{Fence: 2, Last: 1}}})[0].(switcher.WriteRow)
	row := switcher.Row{Version: 2, Record: write.Record}
	rank.Step(now, switcher.RowWritten{Serial: write.Serial, Row: row})
	next := switcher.Scheduled{Version: row.Record.Last + 1, Step: 10}
	require.Empty(t, rank.Step(now, switcher.Prepare{Fence: 1, Row: row, Next: next}))
	require.False(t, rank.Open())
	require.NotEmpty(t, rank.Step(now, switcher.Prepare{Fence: 2, Row: row, Next: next}))
	require.True(t, rank.Open())
}

// TestClaimRepeats guards against a new leader that goes on under the fence of an older one, when a rank changed the
// row during the claim.
func TestClaimRepeats(t *testing.T) {
	now := time.Unix(0, 0)
	leader := switcher.NewLeader(switcher.DefaultLeader(5, 1))
	leader.Step(now, switcher.RowRead{Row: switcher.Row{Version: 1, Record: switcher.Record{Fence: 4, Last: 1}}})
	row := switcher.Row{Version: 2, Record: switcher.Record{Fence: 4, Last: 2}}
	write := leader.Step(now, switcher.RowConflict{Row: row})[0].(switcher.WriteRow)
	require.Equal(t, switcher.WriteRow{Condition: 2, Record: switcher.Record{Fence: 5, Last: 3}}, write)
	require.True(t, leader.Busy())
}

// TestThirdMapWaits guards against a preparation before the committed switch step: a rank that restarts finds only two
// maps in the row and would have none for the steps before it.
func TestThirdMapWaits(t *testing.T) {
	now := time.Unix(0, 0)
	rank := switcher.NewRank(switcher.DefaultRank(0, 1))
	rank.Step(now, switcher.EngineReport{Boot: "1", Step: 4})
	committed := switcher.Scheduled{Version: 2, Step: 10}
	previous := switcher.Scheduled{Version: 1}
	record := switcher.Record{Fence: 1, Last: 2, Committed: committed, Previous: previous}
	write := rank.Step(now, switcher.RowRead{Row: switcher.Row{Version: 2, Record: record}})[0].(switcher.WriteRow)
	row := switcher.Row{Version: 3, Record: write.Record}
	rank.Step(now, switcher.RowWritten{Serial: write.Serial, Row: row})
	prepare := switcher.Prepare{Fence: 1, Row: row, Next: switcher.Scheduled{Version: 4, Step: 20}}
	rank.Step(now, prepare)
	require.False(t, rank.Open())
	rank.Step(now, switcher.EngineReport{Boot: "1", Step: 10})
	rank.Step(now, prepare)
	require.True(t, rank.Open())
}

// TestJoinNeedsDecision guards against a rank that takes part after a restart although the version that it may have
// acknowledged before is still open, and against more writes than needed.
func TestJoinNeedsDecision(t *testing.T) {
	now := time.Unix(0, 0)
	row := func(version uint64) switcher.Row {
		return switcher.Row{Version: version, Record: switcher.Record{Fence: 1, Last: identifier.MapVersion(version)}}
	}
	rank := switcher.NewRank(switcher.DefaultRank(0, 1))
	rank.Step(now, switcher.EngineReport{Boot: "1"})
	first := rank.Step(now, switcher.RowRead{Row: row(1)})[0].(switcher.WriteRow)
	second := rank.Step(now, switcher.RowConflict{Serial: first.Serial, Row: row(5)})[0].(switcher.WriteRow)
	require.Equal(t, switcher.WriteRow{Serial: second.Serial, Condition: 5, Record: row(6).Record}, second)
	require.Empty(t, rank.Step(now, switcher.RowConflict{Serial: first.Serial, Row: row(6)}), "an answer to an earlier write")
	actions := rank.Step(now, switcher.RowConflict{Serial: second.Serial, Row: row(6)})
	require.Equal(t, []switcher.Action{switcher.SendLeader{Fence: 1, Event: switcher.Learned{Rank: 0, Row: row(6)}}}, actions)
}
