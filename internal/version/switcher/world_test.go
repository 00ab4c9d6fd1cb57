package switcher_test

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/placer"
	"currantledge.example/currantledge/internal/version/switcher"
)

// engine is a stand-in for the engine of one rank. It holds at the switch step of a preparation that is not decided.
type engine struct {
	boot      int
	ran       bool
	prepared  map[identifier.MapVersion]switcher.Scheduled
	decided   map[identifier.MapVersion]bool
	scheduled []switcher.Scheduled
}

func newEngine(boot int) *engine {
	return &engine{
		boot:     boot,
		prepared: map[identifier.MapVersion]switcher.Scheduled{},
		decided:  map[identifier.MapVersion]bool{},
	}
}

func (e *engine) prepare(next identifier.Step, s switcher.Scheduled) switcher.OrderResult {
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

// installing tells whether the maps in force are being ordered after a restart.
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

// use returns the map for a step, or false if the engine has to hold.
func (e *engine) use(step identifier.Step) (identifier.MapVersion, bool) {
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

func (e *engine) lowest() identifier.MapVersion {
	low := identifier.MapVersion(0)
	for v := range e.prepared {
		if low == 0 || v < low {
			low = v
		}
	}
	return low
}

// parcel is something on its way: a message, an order, an answer or a table operation.
type parcel struct {
	// deliver hands the parcel over; lost is true if only the answer to it is lost.
	deliver func(lost bool)
}

// recorded is one entry of the recorder, which is no part of the machines under test.
type recorded struct {
	step identifier.Step
	rank int
}

type world struct {
	t       require.TestingT
	now     time.Time
	ranks   int
	agents  []*switcher.Rank
	agentID []int
	engines []*engine
	next    []identifier.Step
	last    []switcher.EngineReport
	leaders map[identifier.Fence]*switcher.Leader
	newest  identifier.Fence
	row     switcher.Row
	history []switcher.Row
	parcels []parcel
	used    map[identifier.Step]map[identifier.MapVersion]bool
	times   map[recorded]time.Time
	ended   []switcher.Outcome
	// writes counts the table's transactions, hops is the number of parcels in a row that arrive within a step time.
	writes int
	hops   int
}

const stepTime = 50 * time.Millisecond

func newWorld(t require.TestingT, ranks int) *world {
	w := &world{
		t:       t,
		now:     time.Unix(1000, 0),
		ranks:   ranks,
		next:    make([]identifier.Step, ranks),
		last:    make([]switcher.EngineReport, ranks),
		leaders: map[identifier.Fence]*switcher.Leader{},
		history: []switcher.Row{{}},
		used:    map[identifier.Step]map[identifier.MapVersion]bool{},
		times:   map[recorded]time.Time{},
		hops:    8,
	}
	for r := range ranks {
		w.agents = append(w.agents, nil)
		w.agentID = append(w.agentID, 0)
		w.engines = append(w.engines, newEngine(1))
		w.restartAgent(r)
	}
	w.elect()
	return w
}

func (w *world) restartAgent(r int) {
	w.agents[r] = switcher.NewRank(switcher.DefaultRank(identifier.Rank(r), w.ranks))
	w.agentID[r]++
}

// restartEngine drops the orders on their way, since their connections end with the process.
func (w *world) restartEngine(r int) {
	w.engines[r] = newEngine(w.engines[r].boot + 1)
}

func (w *world) elect() {
	w.newest++
	w.leaders[w.newest] = switcher.NewLeader(switcher.DefaultLeader(w.newest, w.ranks))
}

func (w *world) send(p parcel) {
	w.parcels = append(w.parcels, p)
}

func (w *world) toRank(r int, event switcher.Event) {
	w.do(w.agents[r].Step(w.now, event), r, 0)
}

func (w *world) toLeader(fence identifier.Fence, event switcher.Event) {
	if leader := w.leaders[fence]; leader != nil {
		w.do(leader.Step(w.now, event), -1, fence)
	}
}

// reply returns a function that hands an event to the machine that acted, unless its process has ended.
func (w *world) reply(rank int, fence identifier.Fence) func(switcher.Event) {
	if rank < 0 {
		return func(e switcher.Event) { w.toLeader(fence, e) }
	}
	id := w.agentID[rank]
	return func(e switcher.Event) {
		if w.agentID[rank] == id {
			w.toRank(rank, e)
		}
	}
}

func (w *world) do(actions []switcher.Action, rank int, fence identifier.Fence) {
	reply := w.reply(rank, fence)
	for _, action := range actions {
		switch a := action.(type) {
		case switcher.ReadRow:
			w.send(parcel{deliver: func(lost bool) {
				row := w.row
				if lost {
					row = w.history[len(w.history)/2]
				}
				w.send(parcel{deliver: func(bool) { reply(switcher.RowRead{Row: row}) }})
			}})
		case switcher.WriteRow:
			w.send(parcel{deliver: func(lost bool) { w.write(a, reply, lost) }})
		case switcher.SendRank:
			w.send(parcel{deliver: func(bool) { w.toRank(int(a.Rank), a.Event) }})
		case switcher.SendLeader:
			w.send(parcel{deliver: func(bool) { w.toLeader(a.Fence, a.Event) }})
		case switcher.FetchWeights:
			w.send(parcel{deliver: func(bool) { reply(switcher.WeightsFetched{Version: a.Version}) }})
		case switcher.OrderPrepare:
			w.order(rank, a.Serial, reply, func() switcher.OrderResult { return w.engines[rank].prepare(w.next[rank], a.Next) })
		case switcher.OrderDecide:
			w.order(rank, a.Serial, reply, func() switcher.OrderResult { return w.engines[rank].decide(a.Version, a.Commit) })
		case switcher.Finished:
			w.ended = append(w.ended, a.Outcome)
		}
	}
}

func (w *world) write(a switcher.WriteRow, reply func(switcher.Event), lost bool) {
	w.writes++
	if a.Condition != w.row.Version {
		row := w.row
		w.send(parcel{deliver: func(bool) { reply(switcher.RowConflict{Serial: a.Serial, Row: row}) }})
		return
	}
	w.row = switcher.Row{Version: w.row.Version + 1, Record: a.Record}
	w.history = append(w.history, w.row)
	row := w.row
	if lost {
		w.send(parcel{deliver: func(bool) { reply(switcher.RowUnsure{}) }})
		return
	}
	w.send(parcel{deliver: func(bool) { reply(switcher.RowWritten{Serial: a.Serial, Row: row}) }})
}

func (w *world) order(rank int, serial uint64, reply func(switcher.Event), apply func() switcher.OrderResult) {
	boot := w.engines[rank].boot
	w.send(parcel{deliver: func(lost bool) {
		result := switcher.OrderUnsure
		if w.engines[rank].boot == boot {
			result = apply()
		}
		if lost {
			result = switcher.OrderUnsure
		}
		w.send(parcel{deliver: func(bool) { reply(switcher.OrderDone{Serial: serial, Result: result}) }})
	}})
}

// run runs the next step of a rank if all other ranks have finished the step before and the engine need not hold.
func (w *world) run(r int) {
	for _, next := range w.next {
		if next < w.next[r] {
			return
		}
	}
	step := w.next[r]
	version, runs := w.engines[r].use(step)
	if !runs {
		return
	}
	w.record(step, r, version)
	w.next[r]++
	w.engines[r].ran = true
}

func (w *world) record(step identifier.Step, rank int, version identifier.MapVersion) {
	if w.used[step] == nil {
		w.used[step] = map[identifier.MapVersion]bool{}
	}
	w.used[step][version] = true
	w.times[recorded{step: step, rank: rank}] = w.now
	require.Len(w.t, w.used[step], 1, "step %d runs with several maps", step)
	// The fence and the table make one history, so a step's map is never older than that of the step before.
	for v := range w.used[step] {
		for before := range w.used[step-1] {
			require.GreaterOrEqual(w.t, v, before)
		}
	}
}

func (w *world) engineReport(r int) switcher.EngineReport {
	step := identifier.Step(0)
	if w.next[r] > 0 {
		step = w.next[r] - 1
	}
	return switcher.EngineReport{
		Boot:     identifier.Boot(fmt.Sprint(w.engines[r].boot)),
		Step:     step,
		Prepared: w.engines[r].lowest(),
	}
}

func (w *world) report(r int, stale bool) {
	report := w.last[r]
	w.last[r] = w.engineReport(r)
	if !stale || report.Boot == "" {
		report = w.last[r]
	}
	w.toRank(r, report)
	for fence := identifier.Fence(1); fence <= w.newest; fence++ {
		w.toLeader(fence, switcher.Progress{Rank: identifier.Rank(r), Step: report.Step, StepTime: stepTime, AsOf: w.now})
	}
}

func (w *world) propose(fence identifier.Fence) {
	w.toLeader(fence, switcher.Propose{Map: placer.Map{}})
}

// round lets time pass without faults: every parcel arrives, every machine ticks and every engine runs a step.
func (w *world) round() {
	w.now = w.now.Add(stepTime)
	for range w.hops {
		arrived := w.parcels
		w.parcels = nil
		for _, p := range arrived {
			p.deliver(false)
		}
	}
	for r := range w.ranks {
		w.report(r, false)
		w.toRank(r, switcher.Tick{})
	}
	for fence := identifier.Fence(1); fence <= w.newest; fence++ {
		w.toLeader(fence, switcher.Tick{})
	}
	lowest := w.next[0]
	for _, next := range w.next {
		lowest = min(lowest, next)
	}
	for r := range w.ranks {
		if w.next[r] == lowest {
			w.run(r)
		}
	}
}
