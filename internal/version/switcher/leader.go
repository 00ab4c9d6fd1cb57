package switcher

import (
	"math"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// LeaderConfig holds the settings of a leader.
type LeaderConfig struct {
	Fence identifier.Fence
	Ranks int
	// Lead is the time allowed for preparation, the table write and the decision. The switch step is at least
	// this far ahead of the fastest rank.
	Lead time.Duration
	// Resend is the time after which an unanswered message or write is repeated.
	Resend time.Duration
	// FetchTimeout ends a proposal whose weights do not arrive, PrepareTimeout aborts one that a rank does not answer.
	FetchTimeout   time.Duration
	PrepareTimeout time.Duration
}

// DefaultLeader returns the usual settings.
func DefaultLeader(fence identifier.Fence, ranks int) LeaderConfig {
	return LeaderConfig{
		Fence:          fence,
		Ranks:          ranks,
		Lead:           time.Second,
		Resend:         250 * time.Millisecond,
		FetchTimeout:   2 * time.Minute,
		PrepareTimeout: 2 * time.Second,
	}
}

type phase int

const (
	phaseClaiming phase = iota
	phaseIdle
	phaseFetching
	phasePreparing
	phaseDeciding
	phaseDeposed
)

// spareSteps covers the rounding of step times to whole steps and the step that is running.
const spareSteps = 2

// Leader is the state machine of the lease holder of a group.
type Leader struct {
	cfg      LeaderConfig
	phase    phase
	row      Row
	write    *WriteRow
	next     Scheduled
	began    time.Time
	sent     time.Time
	answered []bool
	learned  []identifier.MapVersion
	progress map[identifier.Rank]Progress
}

// NewLeader returns a leader that first claims the row, so that no earlier leader can decide any more.
func NewLeader(cfg LeaderConfig) *Leader {
	return &Leader{
		cfg:      cfg,
		answered: make([]bool, cfg.Ranks),
		learned:  make([]identifier.MapVersion, cfg.Ranks),
		progress: map[identifier.Rank]Progress{},
	}
}

// Busy tells whether a proposal would be refused.
func (l *Leader) Busy() bool {
	return l.phase != phaseIdle || !l.switched()
}

// Row returns the newest row that the leader knows.
func (l *Leader) Row() Row {
	return l.row
}

// Step handles one event.
func (l *Leader) Step(now time.Time, event Event) []Action {
	if l.phase == phaseDeposed {
		return nil
	}
	switch e := event.(type) {
	case Tick:
		return l.tick(now)
	case Propose:
		return l.propose(now, e)
	case Progress:
		l.observe(e)
	case Deposed:
		return l.depose()
	case Fetched:
		if l.phase == phaseFetching && e.Version == l.next.Version && l.answer(e.Rank) {
			return l.prepare(now)
		}
	case Prepared:
		return l.prepared(now, e)
	case Learned:
		return l.learn(now, e)
	case RowRead:
		return l.read(now, e.Row)
	case RowWritten:
		return l.written(now, e.Row)
	case RowConflict:
		return l.conflict(now, e.Row)
	case RowUnsure:
		// The same conditional write is repeated on the next tick; it cannot take effect twice.
	}
	return nil
}

func (l *Leader) observe(p Progress) {
	if old, found := l.progress[p.Rank]; !found || p.AsOf.After(old.AsOf) {
		l.progress[p.Rank] = p
	}
}

// switched tells whether every rank is known to use the committed map.
func (l *Leader) switched() bool {
	if l.row.Record.Committed.Version == 0 {
		return true
	}
	for r := range l.cfg.Ranks {
		p, found := l.progress[identifier.Rank(r)]
		if !found || p.Step < l.row.Record.Committed.Step {
			return false
		}
	}
	return true
}

func (l *Leader) tick(now time.Time) []Action {
	if now.Sub(l.sent) < l.cfg.Resend {
		return nil
	}
	switch l.phase {
	case phaseClaiming:
		l.sent = now
		if l.write != nil {
			return []Action{*l.write}
		}
		return []Action{ReadRow{}}
	case phaseFetching:
		if now.Sub(l.began) >= l.cfg.FetchTimeout {
			l.phase = phaseIdle
			return []Action{Finished{Version: l.next.Version, Outcome: OutcomeNotBegun}}
		}
		return l.sendFetch(now)
	case phasePreparing:
		if now.Sub(l.began) >= l.cfg.PrepareTimeout {
			return l.decide(now, l.row.Record.aborted())
		}
		return l.sendPrepare(now)
	case phaseDeciding:
		l.sent = now
		return []Action{*l.write}
	case phaseIdle:
		return l.sendDecide(now)
	case phaseDeposed:
	}
	return nil
}

func (l *Leader) read(now time.Time, row Row) []Action {
	if l.phase != phaseClaiming || l.write != nil {
		return nil
	}
	return l.claim(now, row)
}

// learn notes what a rank knows. A rank that restarts aborts the next version, so a newer row ends the proposal.
func (l *Leader) learn(now time.Time, e Learned) []Action {
	if int(e.Rank) >= l.cfg.Ranks || e.Rank < 0 {
		return nil
	}
	l.learned[e.Rank] = max(l.learned[e.Rank], e.Row.Record.Last)
	if l.write != nil || l.phase == phaseClaiming || e.Row.Version <= l.row.Version {
		return nil
	}
	if e.Row.Record.Fence > l.cfg.Fence {
		return l.depose()
	}
	return l.settle(now, e.Row)
}

// claim writes the row under the leader's own fence and aborts the version that an earlier leader may have
// prepared.
func (l *Leader) claim(now time.Time, row Row) []Action {
	if row.Record.Fence > l.cfg.Fence {
		return l.depose()
	}
	record := row.Record.aborted()
	record.Fence = l.cfg.Fence
	l.row = row
	l.write = &WriteRow{Condition: row.Version, Record: record}
	l.sent = now
	return []Action{*l.write}
}

func (l *Leader) propose(now time.Time, p Propose) []Action {
	if l.Busy() {
		return []Action{Finished{Outcome: OutcomeBusy}}
	}
	version := l.row.Record.Last + 1
	p.Map.Version = version
	l.next = Scheduled{Version: version, Map: p.Map}
	l.phase = phaseFetching
	l.restart(now)
	return l.sendFetch(now)
}

func (l *Leader) restart(now time.Time) {
	l.began = now
	clear(l.answered)
}

// answer notes a rank and tells whether all ranks have answered.
func (l *Leader) answer(rank identifier.Rank) bool {
	if int(rank) >= l.cfg.Ranks || rank < 0 {
		return false
	}
	l.answered[rank] = true
	for _, answered := range l.answered {
		if !answered {
			return false
		}
	}
	return true
}

func (l *Leader) sendUnanswered(now time.Time, event Event) []Action {
	l.sent = now
	var out []Action
	for r, answered := range l.answered {
		if !answered {
			out = append(out, SendRank{Rank: identifier.Rank(r), Event: event})
		}
	}
	return out
}

func (l *Leader) sendFetch(now time.Time) []Action {
	return l.sendUnanswered(now, Fetch{Fence: l.cfg.Fence, Row: l.row, Version: l.next.Version, Map: l.next.Map})
}

func (l *Leader) sendPrepare(now time.Time) []Action {
	return l.sendUnanswered(now, Prepare{Fence: l.cfg.Fence, Row: l.row, Next: l.next})
}

// sendDecide repeats the newest row to the ranks that have not confirmed it.
func (l *Leader) sendDecide(now time.Time) []Action {
	l.sent = now
	var out []Action
	for r, last := range l.learned {
		if last < l.row.Record.Last {
			out = append(out, SendRank{Rank: identifier.Rank(r), Event: Decide{Fence: l.cfg.Fence, Row: l.row}})
		}
	}
	return out
}

func (l *Leader) prepare(now time.Time) []Action {
	l.phase = phasePreparing
	l.restart(now)
	l.next.Step = l.switchStep(now)
	return l.sendPrepare(now)
}

// switchStep returns a step that no rank reaches within the lead time. The first map of a group applies from the
// start, because no rank runs without a map.
func (l *Leader) switchStep(now time.Time) identifier.Step {
	if l.row.Record.Committed.Version == 0 {
		return 0
	}
	step := l.row.Record.Committed.Step + 1
	for _, p := range l.progress {
		ahead := 0.0
		if p.StepTime > 0 {
			ahead = math.Ceil(float64(now.Sub(p.AsOf)+l.cfg.Lead) / float64(p.StepTime))
		}
		step = max(step, p.Step+identifier.Step(max(0, ahead))+spareSteps)
	}
	return step
}

func (l *Leader) prepared(now time.Time, p Prepared) []Action {
	if l.phase != phasePreparing || p.Version != l.next.Version {
		return nil
	}
	if !p.Accepted {
		return l.decide(now, l.row.Record.aborted())
	}
	if l.answer(p.Rank) {
		return l.decide(now, l.row.Record.committed(l.next))
	}
	return nil
}

func (l *Leader) decide(now time.Time, record Record) []Action {
	l.phase = phaseDeciding
	l.write = &WriteRow{Condition: l.row.Version, Record: record}
	l.sent = now
	return []Action{*l.write}
}

func (l *Leader) written(now time.Time, row Row) []Action {
	if l.write == nil || row.Version <= l.row.Version {
		return nil
	}
	return l.settle(now, row)
}

// conflict handles a row that another write changed. Every write raises Last, so the proposal is decided by it.
func (l *Leader) conflict(now time.Time, row Row) []Action {
	if l.write == nil || row.Version <= l.row.Version {
		return nil
	}
	if row.Record.Fence > l.cfg.Fence {
		return l.depose()
	}
	if l.phase == phaseClaiming && row.Record.Fence < l.cfg.Fence {
		return l.claim(now, row)
	}
	return l.settle(now, row)
}

func (l *Leader) settle(now time.Time, row Row) []Action {
	proposed := l.phase == phaseFetching || l.phase == phasePreparing || l.phase == phaseDeciding
	l.row = row
	l.write = nil
	l.phase = phaseIdle
	actions := l.sendDecide(now)
	if !proposed {
		return actions
	}
	outcome := OutcomeAborted
	if row.Record.Committed.Version == l.next.Version {
		outcome = OutcomeCommitted
	}
	return append(actions, Finished{Version: l.next.Version, Outcome: outcome})
}

func (l *Leader) depose() []Action {
	l.phase = phaseDeposed
	return []Action{Finished{Version: l.next.Version, Outcome: OutcomeDeposed}}
}
