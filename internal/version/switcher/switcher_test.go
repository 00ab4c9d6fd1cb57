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

// maxChangeRounds bounds the rounds of a change without faults. They last 30 s, several times the longest timeout of
// the machines except FetchTimeout.
const maxChangeRounds = 600

// changeMap commits one map without faults and runs the group until all ranks use it.
func (s *simulation) changeMap() {
	version := s.row.Record.Committed.Version
	for range maxChangeRounds {
		s.round()
		if !s.leaders[s.newestFence].Busy() && s.row.Record.Committed.Version == version {
			s.propose(s.newestFence)
		}
		committed := s.row.Record.Committed
		if committed.Version == version {
			continue
		}
		done := true
		for _, next := range s.next {
			done = done && next > committed.Step
		}
		if done {
			return
		}
	}
	require.FailNow(s.t, "the ranks do not switch to a new map", "row %+v, next steps %v", s.row, s.next)
}

// TestRandomFaults guards against steps in which ranks use different maps, and against groups that stop changing maps.
// The faults are lost, repeated, delayed and reordered messages, orders and responses of the table, stale reads and
// reports, leader changes at any point, replaced leaders that continue, and restarts of agents and engines.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.IntRange(1, 4).Draw(t, "ranks"))
		if rapid.Bool().Draw(t, "running") {
			s.changeMap()
		}
		for range rapid.IntRange(1, 400).Draw(t, "length") {
			injectEvent(t, s)
		}
		s.elect()
		s.changeMap()
		s.changeMap()
	})
}

func injectEvent(t *rapid.T, s *simulation) {
	rank := rapid.IntRange(0, s.ranks-1).Draw(t, "rank")
	// Replaced leaders are as likely as the newest one: their messages arrive late, with an old fence.
	fence := identifier.Fence(rapid.IntRange(1, int(s.newestFence)).Draw(t, "fence"))
	switch rapid.IntRange(0, 39).Draw(t, "event") {
	case 0:
		s.restartAgent(rank)
	case 1:
		s.restartEngine(rank)
	case 2:
		s.elect()
	case 3, 4:
		s.propose(s.newestFence)
	case 5:
		s.propose(fence)
	case 6, 7, 8, 9:
		s.report(rank, rapid.Bool().Draw(t, "stale"))
	case 10, 11, 12:
		s.now = s.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
		s.toRank(rank, switcher.Tick{})
		s.toLeader(fence, switcher.Tick{})
	case 13, 14, 15, 16, 17:
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			for r := range s.ranks {
				s.runStep((rank + r) % s.ranks)
			}
		}
	case 18:
		s.toLeader(s.newestFence, switcher.Tick{})
	case 19:
		s.round()
	case 20, 21, 22:
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			s.round()
		}
	default:
		s.deliverRandom(t)
	}
}

func (s *simulation) deliverRandom(t *rapid.T) {
	if len(s.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "delivery")
	d := s.inFlight[i]
	// Fault 0 delivers a duplicate, 1 drops the delivery, 2 drops its response; other values are no fault.
	fault := rapid.IntRange(0, 9).Draw(t, "fault")
	if fault != 0 {
		s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	}
	if fault != 1 {
		d.deliver(fault == 2)
	}
}

// TestNoDelayWithoutFaults guards against a switch step so near that ranks wait for the decision, and against one so
// far ahead that the change takes long. With one hop per step, each message, order and table call takes a full step
// time.
func TestNoDelayWithoutFaults(t *testing.T) {
	for _, hops := range []int{1, 8} {
		s := newSimulation(t, 16)
		s.hopsPerStep = hops
		s.changeMap()
		first := s.next[0]
		for range 5 {
			s.changeMap()
		}
		for step := first; step < s.next[0]; step++ {
			for r := range s.ranks {
				gap := s.stepTimes[stepOfRank{step: step, rank: r}].Sub(s.stepTimes[stepOfRank{step: step - 1, rank: r}])
				require.LessOrEqual(t, gap, 2*stepTime, "step %d of rank %d", step, r)
			}
		}
		require.Less(t, int(s.next[0]-first), 5*60, "a change takes under 3 s")
	}
}

// TestSimultaneousStartNeedsFewWrites guards against ranks that overload the table when all of them start or restart at
// the same time.
func TestSimultaneousStartNeedsFewWrites(t *testing.T) {
	s := newSimulation(t, 64)
	s.changeMap()
	require.LessOrEqual(t, s.writes, 4*64)
	s.writes = 0
	for r := range s.ranks {
		s.restartEngine(r)
	}
	s.changeMap()
	require.LessOrEqual(t, s.writes, 4*64)
}

// TestCommitWithLostResponse guards against a leader that reports an abort when the response to its commit is lost.
func TestCommitWithLostResponse(t *testing.T) {
	now := time.Unix(0, 0)
	leader, row := newPreparingLeader(now)
	actions := leader.Step(now, switcher.Prepared{Rank: 0, Version: row.Record.LastDecided + 1, Accepted: true})
	write := actions[0].(switcher.WriteRow)
	require.Empty(t, leader.Step(now, switcher.RowWriteUnknown{}))
	now = now.Add(time.Second)
	require.Equal(t, []switcher.Action{write}, leader.Step(now, switcher.Tick{}))
	row = switcher.Row{Version: row.Version + 1, Record: write.Record}
	actions = leader.Step(now, switcher.RowConflict{Row: row})
	require.Contains(t, actions, switcher.Finished{Version: row.Record.LastDecided, Outcome: switcher.OutcomeCommitted})
}

// TestPrepareTimeoutAborts guards against a leader that waits without limit for a rank that does not respond.
func TestPrepareTimeoutAborts(t *testing.T) {
	now := time.Unix(0, 0)
	leader, row := newPreparingLeader(now)
	now = now.Add(switcher.DefaultLeaderConfig(1, 1).PrepareTimeout)
	write := leader.Step(now, switcher.Tick{})[0].(switcher.WriteRow)
	require.Equal(t, row.Record.LastDecided+1, write.Record.LastDecided)
	require.Equal(t, row.Record.Committed, write.Record.Committed)
}

// TestReplacedLeaderCannotDecide guards against a paused leader that decides a version after another leader has fenced
// the row.
func TestReplacedLeaderCannotDecide(t *testing.T) {
	now := time.Unix(0, 0)
	leader, row := newPreparingLeader(now)
	row.Version++
	row.Record.Fence = 2
	row.Record.LastDecided++
	write := leader.Step(now, switcher.Prepared{Rank: 0, Version: row.Record.LastDecided, Accepted: true})[0].(switcher.WriteRow)
	require.Less(t, write.Condition, row.Version)
	actions := leader.Step(now, switcher.RowConflict{Row: row})
	require.Equal(t, switcher.OutcomeLeaseLost, actions[0].(switcher.Finished).Outcome)
	require.Empty(t, leader.Step(now.Add(time.Minute), switcher.Tick{}))
}

// newPreparingLeader returns the row and the leader of a group of one rank that has sent its first Prepare.
func newPreparingLeader(now time.Time) (*switcher.Leader, switcher.Row) {
	leader := switcher.NewLeader(switcher.DefaultLeaderConfig(1, 1))
	write := leader.Step(now, switcher.RowRead{})[0].(switcher.WriteRow)
	row := switcher.Row{Version: 1, Record: write.Record}
	leader.Step(now, switcher.RowWritten{Row: row})
	leader.Step(now, switcher.Propose{Map: placer.Map{}})
	leader.Step(now, switcher.Fetched{Rank: 0, Version: row.Record.LastDecided + 1})
	return leader, row
}

// TestRankRejectsOldFence guards against a rank that accepts a late message of a replaced leader.
func TestRankRejectsOldFence(t *testing.T) {
	now := time.Unix(0, 0)
	rank := switcher.NewRank(switcher.DefaultRankConfig(0, 1))
	rank.Step(now, switcher.EngineReport{Boot: "1"})
	write := rank.Step(now, switcher.RowRead{Row: switcher.Row{Version: 1, Record: switcher.Record{Fence: 2, LastDecided: 1}}})[0].(switcher.WriteRow)
	row := switcher.Row{Version: 2, Record: write.Record}
	rank.Step(now, switcher.RowWritten{Serial: write.Serial, Row: row})
	next := switcher.ScheduledMap{Version: row.Record.LastDecided + 1, Step: 10}
	require.Empty(t, rank.Step(now, switcher.Prepare{Fence: 1, Row: row, Next: next}))
	require.False(t, rank.Preparing())
	require.NotEmpty(t, rank.Step(now, switcher.Prepare{Fence: 2, Row: row, Next: next}))
	require.True(t, rank.Preparing())
}

// TestFencingRetriesAfterConflict guards against a new leader that continues under the fence of an older one because a
// rank changed the row at the same time.
func TestFencingRetriesAfterConflict(t *testing.T) {
	now := time.Unix(0, 0)
	leader := switcher.NewLeader(switcher.DefaultLeaderConfig(5, 1))
	leader.Step(now, switcher.RowRead{Row: switcher.Row{Version: 1, Record: switcher.Record{Fence: 4, LastDecided: 1}}})
	row := switcher.Row{Version: 2, Record: switcher.Record{Fence: 4, LastDecided: 2}}
	write := leader.Step(now, switcher.RowConflict{Row: row})[0].(switcher.WriteRow)
	require.Equal(t, switcher.WriteRow{Condition: 2, Record: switcher.Record{Fence: 5, LastDecided: 3}}, write)
	require.True(t, leader.Busy())
}

// TestPrepareWaitsForCommittedSwitch guards against a preparation before the rank has reached the committed switch
// step. The row holds two maps; if a third one were committed, a restarted rank would have no map for the steps before.
func TestPrepareWaitsForCommittedSwitch(t *testing.T) {
	now := time.Unix(0, 0)
	rank := switcher.NewRank(switcher.DefaultRankConfig(0, 1))
	rank.Step(now, switcher.EngineReport{Boot: "1", Step: 4})
	committed := switcher.ScheduledMap{Version: 2, Step: 10}
	previous := switcher.ScheduledMap{Version: 1}
	record := switcher.Record{Fence: 1, LastDecided: 2, Committed: committed, Previous: previous}
	write := rank.Step(now, switcher.RowRead{Row: switcher.Row{Version: 2, Record: record}})[0].(switcher.WriteRow)
	row := switcher.Row{Version: 3, Record: write.Record}
	rank.Step(now, switcher.RowWritten{Serial: write.Serial, Row: row})
	prepare := switcher.Prepare{Fence: 1, Row: row, Next: switcher.ScheduledMap{Version: 4, Step: 20}}
	rank.Step(now, prepare)
	require.False(t, rank.Preparing())
	rank.Step(now, switcher.EngineReport{Boot: "1", Step: 10})
	rank.Step(now, prepare)
	require.True(t, rank.Preparing())
}

// TestJoinNeedsDecision guards against a rank that joins after a restart although the version that it may have prepared
// before is not decided yet, and against writes that are not needed.
func TestJoinNeedsDecision(t *testing.T) {
	now := time.Unix(0, 0)
	row := func(version uint64) switcher.Row {
		return switcher.Row{Version: version, Record: switcher.Record{Fence: 1, LastDecided: identifier.MapVersion(version)}}
	}
	rank := switcher.NewRank(switcher.DefaultRankConfig(0, 1))
	rank.Step(now, switcher.EngineReport{Boot: "1"})
	first := rank.Step(now, switcher.RowRead{Row: row(1)})[0].(switcher.WriteRow)
	second := rank.Step(now, switcher.RowConflict{Serial: first.Serial, Row: row(5)})[0].(switcher.WriteRow)
	require.Equal(t, switcher.WriteRow{Serial: second.Serial, Condition: 5, Record: row(6).Record}, second)
	require.Empty(t, rank.Step(now, switcher.RowConflict{Serial: first.Serial, Row: row(6)}), "a response to an earlier write is ignored")
	actions := rank.Step(now, switcher.RowConflict{Serial: second.Serial, Row: row(6)})
	require.Equal(t, []switcher.Action{switcher.SendToLeader{Fence: 1, Event: switcher.Learned{Rank: 0, Row: row(6)}}}, actions)
}
