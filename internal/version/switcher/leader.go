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
	// LeadTime is the time allowed for preparation, the table write and the decision. The switch step is at least this
	// far ahead of the fastest rank.
	LeadTime time.Duration
	// ResendInterval is the time after which a message or write without a response is repeated.
	ResendInterval time.Duration
	// FetchTimeout ends a proposal whose weights are not fetched in time, PrepareTimeout aborts one that a rank does
	// not respond to.
	FetchTimeout   time.Duration
	PrepareTimeout time.Duration
}

// DefaultLeaderConfig returns the default settings.
func DefaultLeaderConfig(fence identifier.Fence, ranks int) LeaderConfig {
	return LeaderConfig{
		Fence:          fence,
		Ranks:          ranks,
		LeadTime:       time.Second,
		ResendInterval: 250 * time.Millisecond,
		FetchTimeout:   2 * time.Minute,
		PrepareTimeout: 2 * time.Second,
	}
}

// phase is the state of a leader.
type phase int

const (
	phaseFencing phase = iota
	phaseIdle
	phaseFetching
	phasePreparing
	phaseDeciding
	phaseStopped
)

// stepMargin is added to the switch step to cover the rounding of step times to whole steps and the step that is
// running.
const stepMargin = 2

// Leader is the state machine of the lease holder of a group.
type Leader struct {
	cfg   LeaderConfig
	phase phase
	// row is the newest row that the leader knows.
	row Row
	// write is the write in progress, or nil.
	write *WriteRow
	// next is the newest proposal.
	next           ScheduledMap
	phaseStartedAt time.Time
	// sentAt is the time of the last message, read or write.
	sentAt time.Time
	// responded marks the ranks that have responded in the current phase.
	responded []bool
	// confirmed is the newest decided version that each rank has reported.
	confirmed []identifier.MapVersion
	// progress holds the newest report of each rank.
	progress map[identifier.Rank]Progress
}

// NewLeader returns a leader that first fences the row, so that no earlier leader can decide a version any more.
func NewLeader(cfg LeaderConfig) *Leader {
	return &Leader{
		cfg:       cfg,
		responded: make([]bool, cfg.Ranks),
		confirmed: make([]identifier.MapVersion, cfg.Ranks),
		progress:  map[identifier.Rank]Progress{},
	}
}

// Busy reports whether a proposal would be refused.
func (l *Leader) Busy() bool {
	return l.phase != phaseIdle || !l.allSwitched()
}

// Row returns the newest row that the leader knows.
func (l *Leader) Row() Row {
	return l.row
}

// Step handles one event and returns the actions that it requires.
func (l *Leader) Step(now time.Time, event Event) []Action {
	if l.phase == phaseStopped {
		return nil
	}
	switch e := event.(type) {
	case Tick:
		return l.handleTick(now)
	case Propose:
		return l.handlePropose(now, e)
	case Progress:
		l.handleProgress(e)
	case LeaseLost:
		return l.stepDown()
	case Fetched:
		if l.phase == phaseFetching && e.Version == l.next.Version && l.recordResponse(e.Rank) {
			return l.startPrepare(now)
		}
	case Prepared:
		return l.handlePrepared(now, e)
	case Learned:
		return l.handleLearned(now, e)
	case RowRead:
		return l.handleRowRead(now, e.Row)
	case RowWritten:
		return l.handleRowWritten(now, e.Row)
	case RowConflict:
		return l.handleRowConflict(now, e.Row)
	case RowWriteUnknown:
		// The same conditional write is repeated on a later tick; it cannot take effect twice.
	}
	return nil
}

func (l *Leader) handleProgress(p Progress) {
	if old, found := l.progress[p.Rank]; !found || p.AsOf.After(old.AsOf) {
		l.progress[p.Rank] = p
	}
}

// allSwitched reports whether every rank is known to use the committed map.
func (l *Leader) allSwitched() bool {
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

func (l *Leader) handleTick(now time.Time) []Action {
	if now.Sub(l.sentAt) < l.cfg.ResendInterval {
		return nil
	}
	switch l.phase {
	case phaseFencing:
		l.sentAt = now
		if l.write != nil {
			return []Action{*l.write}
		}
		return []Action{ReadRow{}}
	case phaseFetching:
		if now.Sub(l.phaseStartedAt) >= l.cfg.FetchTimeout {
			l.phase = phaseIdle
			return []Action{Finished{Version: l.next.Version, Outcome: OutcomeFetchTimeout}}
		}
		return l.sendFetch(now)
	case phasePreparing:
		if now.Sub(l.phaseStartedAt) >= l.cfg.PrepareTimeout {
			return l.writeDecision(now, l.row.Record.withAbort())
		}
		return l.sendPrepare(now)
	case phaseDeciding:
		l.sentAt = now
		return []Action{*l.write}
	case phaseIdle:
		return l.sendDecide(now)
	case phaseStopped:
	}
	return nil
}

func (l *Leader) handleRowRead(now time.Time, row Row) []Action {
	if l.phase != phaseFencing || l.write != nil {
		return nil
	}
	return l.fenceRow(now, row)
}

// handleLearned records the newest version that a rank reports as decided. A rank that restarts aborts the next
// version, so a newer row ends the proposal.
func (l *Leader) handleLearned(now time.Time, e Learned) []Action {
	if int(e.Rank) >= l.cfg.Ranks || e.Rank < 0 {
		return nil
	}
	l.confirmed[e.Rank] = max(l.confirmed[e.Rank], e.Row.Record.LastDecided)
	if l.write != nil || l.phase == phaseFencing || e.Row.Version <= l.row.Version {
		return nil
	}
	if e.Row.Record.Fence > l.cfg.Fence {
		return l.stepDown()
	}
	return l.adopt(now, e.Row)
}

// fenceRow writes the row with the fence of this leader and aborts the version that an earlier leader may have
// prepared.
func (l *Leader) fenceRow(now time.Time, row Row) []Action {
	if row.Record.Fence > l.cfg.Fence {
		return l.stepDown()
	}
	record := row.Record.withAbort()
	record.Fence = l.cfg.Fence
	l.row = row
	l.write = &WriteRow{Condition: row.Version, Record: record}
	l.sentAt = now
	return []Action{*l.write}
}

func (l *Leader) handlePropose(now time.Time, p Propose) []Action {
	if l.Busy() {
		return []Action{Finished{Outcome: OutcomeBusy}}
	}
	version := l.row.Record.LastDecided + 1
	p.Map.Version = version
	l.next = ScheduledMap{Version: version, Map: p.Map}
	l.phase = phaseFetching
	l.startRound(now)
	return l.sendFetch(now)
}

// startRound restarts the timeout of the phase and clears the responses of the ranks.
func (l *Leader) startRound(now time.Time) {
	l.phaseStartedAt = now
	clear(l.responded)
}

// recordResponse records the response of a rank and reports whether all ranks have responded.
func (l *Leader) recordResponse(rank identifier.Rank) bool {
	if int(rank) >= l.cfg.Ranks || rank < 0 {
		return false
	}
	l.responded[rank] = true
	for _, responded := range l.responded {
		if !responded {
			return false
		}
	}
	return true
}

// sendToPending sends an event to the ranks that have not responded in the current phase.
func (l *Leader) sendToPending(now time.Time, event Event) []Action {
	l.sentAt = now
	var out []Action
	for r, responded := range l.responded {
		if !responded {
			out = append(out, SendToRank{Rank: identifier.Rank(r), Event: event})
		}
	}
	return out
}

func (l *Leader) sendFetch(now time.Time) []Action {
	return l.sendToPending(now, Fetch{Fence: l.cfg.Fence, Row: l.row, Version: l.next.Version, Map: l.next.Map})
}

func (l *Leader) sendPrepare(now time.Time) []Action {
	return l.sendToPending(now, Prepare{Fence: l.cfg.Fence, Row: l.row, Next: l.next})
}

// sendDecide sends the newest row to the ranks that have not confirmed it.
func (l *Leader) sendDecide(now time.Time) []Action {
	l.sentAt = now
	var out []Action
	for r, last := range l.confirmed {
		if last < l.row.Record.LastDecided {
			out = append(out, SendToRank{Rank: identifier.Rank(r), Event: Decide{Fence: l.cfg.Fence, Row: l.row}})
		}
	}
	return out
}

func (l *Leader) startPrepare(now time.Time) []Action {
	l.phase = phasePreparing
	l.startRound(now)
	l.next.Step = l.switchStep(now)
	return l.sendPrepare(now)
}

// switchStep returns a step that no rank reaches within the lead time. The first map of a group applies from step 0,
// because no rank runs without a map.
func (l *Leader) switchStep(now time.Time) identifier.Step {
	if l.row.Record.Committed.Version == 0 {
		return 0
	}
	step := l.row.Record.Committed.Step + 1
	for _, p := range l.progress {
		ahead := 0.0
		if p.StepTime > 0 {
			ahead = math.Ceil(float64(now.Sub(p.AsOf)+l.cfg.LeadTime) / float64(p.StepTime))
		}
		step = max(step, p.Step+identifier.Step(max(0, ahead))+stepMargin)
	}
	return step
}

func (l *Leader) handlePrepared(now time.Time, p Prepared) []Action {
	if l.phase != phasePreparing || p.Version != l.next.Version {
		return nil
	}
	if !p.Accepted {
		return l.writeDecision(now, l.row.Record.withAbort())
	}
	if l.recordResponse(p.Rank) {
		return l.writeDecision(now, l.row.Record.withCommit(l.next))
	}
	return nil
}

func (l *Leader) writeDecision(now time.Time, record Record) []Action {
	l.phase = phaseDeciding
	l.write = &WriteRow{Condition: l.row.Version, Record: record}
	l.sentAt = now
	return []Action{*l.write}
}

func (l *Leader) handleRowWritten(now time.Time, row Row) []Action {
	if l.write == nil || row.Version <= l.row.Version {
		return nil
	}
	return l.adopt(now, row)
}

// handleRowConflict handles a row that another writer changed. Every write increments LastDecided, so the row decides
// the proposal.
func (l *Leader) handleRowConflict(now time.Time, row Row) []Action {
	if l.write == nil || row.Version <= l.row.Version {
		return nil
	}
	if row.Record.Fence > l.cfg.Fence {
		return l.stepDown()
	}
	if l.phase == phaseFencing && row.Record.Fence < l.cfg.Fence {
		return l.fenceRow(now, row)
	}
	return l.adopt(now, row)
}

// adopt takes over a newer row, which ends the write in progress and decides the proposal.
func (l *Leader) adopt(now time.Time, row Row) []Action {
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

func (l *Leader) stepDown() []Action {
	l.phase = phaseStopped
	return []Action{Finished{Version: l.next.Version, Outcome: OutcomeLeaseLost}}
}
