package switcher_test

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/placer"
	"currantledge.example/currantledge/internal/version/switcher"
)

// engine simulates the engine of one rank. It holds at the switch step of a preparation that is not decided.
type engine struct {
	boot int
	// ran is true once the engine has run a step since it booted.
	ran       bool
	prepared  map[identifier.MapVersion]switcher.ScheduledMap
	decided   map[identifier.MapVersion]bool
	scheduled []switcher.ScheduledMap
}

func newEngine(boot int) *engine {
	return &engine{
		boot:     boot,
		prepared: map[identifier.MapVersion]switcher.ScheduledMap{},
		decided:  map[identifier.MapVersion]bool{},
	}
}

// prepare prepares a map unless its first step is before next, the next step of the rank. Before its first step, the
// engine accepts a map from a later step only beside one from step 0.
func (e *engine) prepare(next identifier.Step, s switcher.ScheduledMap) switcher.OrderResult {
	_, repeated := e.prepared[s.Version]
	if repeated || e.decided[s.Version] {
		return switcher.OrderAccepted
	}
	if e.ran && s.Step < next || !e.ran && s.Step > 0 && !e.installing() {
		return switcher.OrderRefused
	}
	e.prepared[s.Version] = s
	return switcher.OrderAccepted
}

// installing reports whether a map from step 0 is prepared, as ranks order it for the maps in use after a restart.
func (e *engine) installing() bool {
	for _, s := range e.prepared {
		if s.Step == 0 {
			return true
		}
	}
	return false
}

func (e *engine) decide(version identifier.MapVersion, commit bool) switcher.OrderResult {
	s, found := e.prepared[version]
	if commit && found {
		e.scheduled = append(e.scheduled, s)
	}
	if found || !commit {
		e.decided[version] = true
	}
	delete(e.prepared, version)
	return switcher.OrderAccepted
}

// mapFor returns the version of the map for a step, or false if the engine has to hold.
func (e *engine) mapFor(step identifier.Step) (identifier.MapVersion, bool) {
	for _, s := range e.prepared {
		if s.Step <= step {
			return 0, false
		}
	}
	version := identifier.MapVersion(0)
	for _, s := range e.scheduled {
		if s.Step <= step {
			version = max(version, s.Version)
		}
	}
	return version, version > 0
}

func (e *engine) lowestPrepared() identifier.MapVersion {
	low := identifier.MapVersion(0)
	for v := range e.prepared {
		if low == 0 || v < low {
			low = v
		}
	}
	return low
}

// delivery is a message, an order, a response or a table operation in flight.
type delivery struct {
	// deliver carries it out. With responseLost its response is lost, and a read of the row returns an old row.
	deliver func(responseLost bool)
}

// stepOfRank identifies one step of one rank.
type stepOfRank struct {
	step identifier.Step
	rank int
}

// simulation runs the leaders, ranks and engines of one group, its table row and its clock. It checks that all ranks
// use the same map in every step.
type simulation struct {
	t     require.TestingT
	now   time.Time
	ranks int
	// agents and engines are indexed by rank. agentRun counts the starts of the agent of each rank.
	agents   []*switcher.Rank
	agentRun []int
	engines  []*engine
	// next is the next step of each rank, lastReports the newest report of each engine.
	next        []identifier.Step
	lastReports []switcher.EngineReport
	// leaders holds all leaders that were ever elected, since replaced ones may continue.
	leaders     map[identifier.Fence]*switcher.Leader
	newestFence identifier.Fence
	// row is the table row, history all its versions.
	row      switcher.Row
	history  []switcher.Row
	inFlight []delivery
	// mapsUsed and stepTimes record which maps the ranks used in each step and when each rank ran it.
	mapsUsed  map[identifier.Step]map[identifier.MapVersion]bool
	stepTimes map[stepOfRank]time.Time
	outcomes  []switcher.Outcome
	// writes counts the writes of the row. hopsPerStep is the number of successive deliveries within a step time.
	writes      int
	hopsPerStep int
}

const stepTime = 50 * time.Millisecond

func newSimulation(t require.TestingT, ranks int) *simulation {
	s := &simulation{
		t:           t,
		now:         time.Unix(1000, 0),
		ranks:       ranks,
		next:        make([]identifier.Step, ranks),
		lastReports: make([]switcher.EngineReport, ranks),
		leaders:     map[identifier.Fence]*switcher.Leader{},
		history:     []switcher.Row{{}},
		mapsUsed:    map[identifier.Step]map[identifier.MapVersion]bool{},
		stepTimes:   map[stepOfRank]time.Time{},
		hopsPerStep: 8,
	}
	for r := range ranks {
		s.agents = append(s.agents, nil)
		s.agentRun = append(s.agentRun, 0)
		s.engines = append(s.engines, newEngine(1))
		s.restartAgent(r)
	}
	s.elect()
	return s
}

func (s *simulation) restartAgent(r int) {
	s.agents[r] = switcher.NewRank(switcher.DefaultRankConfig(identifier.Rank(r), s.ranks))
	s.agentRun[r]++
}

// restartEngine replaces the engine. Orders in flight are lost, since their connections end with the process.
func (s *simulation) restartEngine(r int) {
	s.engines[r] = newEngine(s.engines[r].boot + 1)
}

func (s *simulation) elect() {
	s.newestFence++
	s.leaders[s.newestFence] = switcher.NewLeader(switcher.DefaultLeaderConfig(s.newestFence, s.ranks))
}

func (s *simulation) enqueue(d delivery) {
	s.inFlight = append(s.inFlight, d)
}

func (s *simulation) toRank(r int, event switcher.Event) {
	s.execute(s.agents[r].Step(s.now, event), r, 0)
}

func (s *simulation) toLeader(fence identifier.Fence, event switcher.Event) {
	if leader := s.leaders[fence]; leader != nil {
		s.execute(leader.Step(s.now, event), -1, fence)
	}
}

// reply returns a function that passes the result of an action to the machine that requested it. Results for an agent
// that has restarted since are dropped.
func (s *simulation) reply(rank int, fence identifier.Fence) func(switcher.Event) {
	if rank < 0 {
		return func(e switcher.Event) { s.toLeader(fence, e) }
	}
	run := s.agentRun[rank]
	return func(e switcher.Event) {
		if s.agentRun[rank] == run {
			s.toRank(rank, e)
		}
	}
}

func (s *simulation) execute(actions []switcher.Action, rank int, fence identifier.Fence) {
	reply := s.reply(rank, fence)
	for _, action := range actions {
		switch a := action.(type) {
		case switcher.ReadRow:
			s.enqueue(delivery{deliver: func(responseLost bool) {
				row := s.row
				if responseLost {
					row = s.history[len(s.history)/2]
				}
				s.enqueue(delivery{deliver: func(bool) { reply(switcher.RowRead{Row: row}) }})
			}})
		case switcher.WriteRow:
			s.enqueue(delivery{deliver: func(responseLost bool) { s.write(a, reply, responseLost) }})
		case switcher.SendToRank:
			s.enqueue(delivery{deliver: func(bool) { s.toRank(int(a.Rank), a.Event) }})
		case switcher.SendToLeader:
			s.enqueue(delivery{deliver: func(bool) { s.toLeader(a.Fence, a.Event) }})
		case switcher.FetchWeights:
			s.enqueue(delivery{deliver: func(bool) { reply(switcher.WeightsFetched{Version: a.Version}) }})
		case switcher.OrderPrepare:
			s.order(rank, a.Serial, reply, func() switcher.OrderResult { return s.engines[rank].prepare(s.next[rank], a.Next) })
		case switcher.OrderDecide:
			s.order(rank, a.Serial, reply, func() switcher.OrderResult { return s.engines[rank].decide(a.Version, a.Commit) })
		case switcher.Finished:
			s.outcomes = append(s.outcomes, a.Outcome)
		}
	}
}

func (s *simulation) write(a switcher.WriteRow, reply func(switcher.Event), responseLost bool) {
	s.writes++
	if a.Condition != s.row.Version {
		row := s.row
		s.enqueue(delivery{deliver: func(bool) { reply(switcher.RowConflict{Serial: a.Serial, Row: row}) }})
		return
	}
	s.row = switcher.Row{Version: s.row.Version + 1, Record: a.Record}
	s.history = append(s.history, s.row)
	row := s.row
	if responseLost {
		s.enqueue(delivery{deliver: func(bool) { reply(switcher.RowWriteUnknown{}) }})
		return
	}
	s.enqueue(delivery{deliver: func(bool) { reply(switcher.RowWritten{Serial: a.Serial, Row: row}) }})
}

func (s *simulation) order(rank int, serial uint64, reply func(switcher.Event), apply func() switcher.OrderResult) {
	boot := s.engines[rank].boot
	s.enqueue(delivery{deliver: func(responseLost bool) {
		result := switcher.OrderUnknown
		if s.engines[rank].boot == boot {
			result = apply()
		}
		if responseLost {
			result = switcher.OrderUnknown
		}
		s.enqueue(delivery{deliver: func(bool) { reply(switcher.OrderDone{Serial: serial, Result: result}) }})
	}})
}

// runStep runs the next step of a rank if all other ranks have finished the step before and the engine need not hold.
func (s *simulation) runStep(r int) {
	for _, next := range s.next {
		if next < s.next[r] {
			return
		}
	}
	step := s.next[r]
	version, found := s.engines[r].mapFor(step)
	if !found {
		return
	}
	s.recordStep(step, r, version)
	s.next[r]++
	s.engines[r].ran = true
}

func (s *simulation) recordStep(step identifier.Step, rank int, version identifier.MapVersion) {
	if s.mapsUsed[step] == nil {
		s.mapsUsed[step] = map[identifier.MapVersion]bool{}
	}
	s.mapsUsed[step][version] = true
	s.stepTimes[stepOfRank{step: step, rank: rank}] = s.now
	require.Len(s.t, s.mapsUsed[step], 1, "step %d runs with several maps", step)
	// Versions are decided in one order, so the map of a step is never older than that of the step before.
	for v := range s.mapsUsed[step] {
		for previous := range s.mapsUsed[step-1] {
			require.GreaterOrEqual(s.t, v, previous)
		}
	}
}

func (s *simulation) engineReport(r int) switcher.EngineReport {
	step := identifier.Step(0)
	if s.next[r] > 0 {
		step = s.next[r] - 1
	}
	return switcher.EngineReport{
		Boot:     identifier.Boot(fmt.Sprint(s.engines[r].boot)),
		Step:     step,
		Prepared: s.engines[r].lowestPrepared(),
	}
}

func (s *simulation) report(r int, stale bool) {
	report := s.lastReports[r]
	s.lastReports[r] = s.engineReport(r)
	if !stale || report.Boot == "" {
		report = s.lastReports[r]
	}
	s.toRank(r, report)
	for fence := identifier.Fence(1); fence <= s.newestFence; fence++ {
		s.toLeader(fence, switcher.Progress{Rank: identifier.Rank(r), Step: report.Step, StepTime: stepTime, AsOf: s.now})
	}
}

func (s *simulation) propose(fence identifier.Fence) {
	s.toLeader(fence, switcher.Propose{Map: placer.Map{}})
}

// round simulates one step time without faults: every delivery in flight is made, every machine receives a Tick and the
// ranks that are furthest behind run a step.
func (s *simulation) round() {
	s.now = s.now.Add(stepTime)
	for range s.hopsPerStep {
		due := s.inFlight
		s.inFlight = nil
		for _, d := range due {
			d.deliver(false)
		}
	}
	for r := range s.ranks {
		s.report(r, false)
		s.toRank(r, switcher.Tick{})
	}
	for fence := identifier.Fence(1); fence <= s.newestFence; fence++ {
		s.toLeader(fence, switcher.Tick{})
	}
	lowest := s.next[0]
	for _, next := range s.next {
		lowest = min(lowest, next)
	}
	for r := range s.ranks {
		if s.next[r] == lowest {
			s.runStep(r)
		}
	}
}
