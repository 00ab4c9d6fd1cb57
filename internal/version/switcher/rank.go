package switcher

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// RankConfig holds the settings of a rank.
type RankConfig struct {
	Rank  identifier.Rank
	Ranks int
	// ResendInterval is the time after which a read, a write or an inquiry is repeated.
	ResendInterval time.Duration
	// ResolveAfter is the age of a pending preparation at which the rank starts to query the table and other ranks for
	// the decision.
	ResolveAfter time.Duration
	// AbortAfter is the age of a pending preparation at which the rank aborts it by a write of the row. It exceeds the
	// PrepareTimeout of the leader, so that a running leader aborts first.
	AbortAfter time.Duration
}

// DefaultRankConfig returns the default settings.
func DefaultRankConfig(rank identifier.Rank, ranks int) RankConfig {
	return RankConfig{
		Rank:           rank,
		Ranks:          ranks,
		ResendInterval: 250 * time.Millisecond,
		ResolveAfter:   time.Second,
		AbortAfter:     3 * time.Second,
	}
}

// Rank is the state machine of the agent of one rank. The engine of the rank runs the steps.
type Rank struct {
	cfg RankConfig
	// joined is true once the row decides every version that the rank may have prepared before its last start.
	joined bool
	boot   identifier.Boot
	// step is the last step that the engine reported.
	step identifier.Step
	// fence is the highest fence that the rank knows. It rejects events of leaders with a lower one.
	fence identifier.Fence
	row   Row
	// write is the write in progress, or nil. writeSerial is the serial of the last write.
	write       *WriteRow
	writeSerial uint64
	// conflictVersion is the row version of the first conflict since the last start of the agent or the engine, or 0.
	conflictVersion uint64
	// installed is the newest committed version that has been ordered on this boot of the engine.
	installed identifier.MapVersion
	// fetched is the newest version whose weights have been fetched.
	fetched identifier.MapVersion
	// pending is the preparation that is not decided yet, or nil. accepted reports whether the engine has accepted it.
	pending      *Prepare
	pendingSince time.Time
	accepted     bool
	// orders is the queue of orders to the engine. orderSerial is the serial of the first one.
	orders      []Action
	orderSerial uint64
	orderSentAt time.Time
	// queriedAt is the time of the last read, write or inquiry.
	queriedAt time.Time
	// inquiryPeer is the rank that received the last inquiry.
	inquiryPeer int
}

// NewRank returns the machine of a rank whose agent has just started. Before the rank joins, the version that an
// earlier incarnation of the agent may have prepared is decided.
func NewRank(cfg RankConfig) *Rank {
	return &Rank{cfg: cfg, inquiryPeer: int(cfg.Rank)}
}

// Preparing reports whether a preparation is not decided yet.
func (r *Rank) Preparing() bool {
	return r.pending != nil
}

// Step handles one event and returns the actions that it requires.
func (r *Rank) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return r.handleTick(now)
	case Fetch:
		return r.handleFetch(now, e)
	case Prepare:
		return r.handlePrepare(now, e)
	case Decide:
		return r.handleDecide(now, e)
	case WeightsFetched:
		r.fetched = max(r.fetched, e.Version)
		return []Action{SendToLeader{Fence: r.fence, Event: Fetched{Rank: r.cfg.Rank, Version: e.Version}}}
	case EngineReport:
		return r.handleEngineReport(now, e)
	case OrderDone:
		return r.handleOrderDone(now, e)
	case Inquiry:
		if r.row.Record.LastDecided >= e.Version {
			return []Action{SendToRank{Rank: e.From, Event: Answer{Row: r.row}}}
		}
	case Answer:
		return r.adopt(now, e.Row)
	case RowRead:
		return r.handleRowRead(now, e.Row)
	case RowWritten:
		return r.handleRowWritten(now, e)
	case RowConflict:
		return r.handleRowConflict(now, e)
	case RowWriteUnknown:
		// The same conditional write is repeated on a later tick; it cannot take effect twice.
	}
	return nil
}

// handleEngineReport detects a restart of the engine, which loses what the engine had prepared, so the rank joins
// again. If the engine has prepared a version that is decided already, because an order arrived late, the rank orders
// the decision of the row.
func (r *Rank) handleEngineReport(now time.Time, e EngineReport) []Action {
	if r.boot != e.Boot {
		r.boot = e.Boot
		r.step = e.Step
		r.rejoin()
		return nil
	}
	r.step = max(r.step, e.Step)
	if !r.joined || len(r.orders) > 0 || e.Prepared == 0 || e.Prepared > r.row.Record.LastDecided {
		return nil
	}
	record := r.row.Record
	commit := e.Prepared == record.Committed.Version || e.Prepared == record.Previous.Version
	r.queueOrder(OrderDecide{Version: e.Prepared, Commit: commit})
	return r.sendOrder(now)
}

// rejoin resets the state that ends with the engine, so that the rank joins again.
func (r *Rank) rejoin() {
	r.joined = false
	r.write = nil
	r.conflictVersion = 0
	r.pending = nil
	r.installed = 0
	r.orders = nil
	r.orderSerial++
}

func (r *Rank) handleTick(now time.Time) []Action {
	var out []Action
	if len(r.orders) > 0 && now.Sub(r.orderSentAt) >= r.cfg.ResendInterval {
		out = append(out, r.sendOrder(now)...)
	}
	if now.Sub(r.queriedAt) < r.cfg.ResendInterval {
		return out
	}
	if !r.joined {
		return append(out, r.join(now)...)
	}
	if r.pending != nil && now.Sub(r.pendingSince) >= r.cfg.ResolveAfter {
		return append(out, r.resolvePending(now)...)
	}
	return out
}

func (r *Rank) join(now time.Time) []Action {
	// Without the boot ID of its engine the rank could not detect a later restart.
	if r.boot == "" {
		return nil
	}
	r.queriedAt = now
	if r.write != nil {
		return []Action{*r.write}
	}
	return []Action{ReadRow{}}
}

// resolvePending queries the table and one other rank for the decision. After AbortAfter it aborts the version by a
// write of the row instead.
func (r *Rank) resolvePending(now time.Time) []Action {
	r.queriedAt = now
	if now.Sub(r.pendingSince) >= r.cfg.AbortAfter && r.write == nil {
		r.write = r.newAbortWrite()
	}
	if r.write != nil {
		return []Action{*r.write}
	}
	out := []Action{ReadRow{}}
	if r.cfg.Ranks < 2 {
		return out
	}
	r.inquiryPeer = (r.inquiryPeer + 1) % r.cfg.Ranks
	if r.inquiryPeer == int(r.cfg.Rank) {
		r.inquiryPeer = (r.inquiryPeer + 1) % r.cfg.Ranks
	}
	inquiry := Inquiry{From: r.cfg.Rank, Version: r.pending.Next.Version}
	return append(out, SendToRank{Rank: identifier.Rank(r.inquiryPeer), Event: inquiry})
}

// newAbortWrite returns a write, with a new serial, that aborts the version after the row.
func (r *Rank) newAbortWrite() *WriteRow {
	r.writeSerial++
	return &WriteRow{Serial: r.writeSerial, Condition: r.row.Version, Record: r.row.Record.withAbort()}
}

func (r *Rank) handleRowRead(now time.Time, row Row) []Action {
	if r.joined {
		return r.adopt(now, row)
	}
	if r.write != nil {
		return nil
	}
	return r.writeJoin(now, row)
}

// writeJoin starts the write of a row that aborts the version which this rank may have prepared before its restart.
func (r *Rank) writeJoin(now time.Time, row Row) []Action {
	if row.Version >= r.row.Version {
		r.row = row
	}
	r.write = r.newAbortWrite()
	r.queriedAt = now
	return []Action{*r.write}
}

func (r *Rank) handleRowWritten(now time.Time, e RowWritten) []Action {
	if r.write == nil || e.Serial != r.write.Serial {
		return nil
	}
	r.write = nil
	if r.joined {
		return r.adopt(now, e.Row)
	}
	return r.completeJoin(now, e.Row)
}

// handleRowConflict handles a row that another writer changed. The row of a conflict was current after the restart of
// this rank. Therefore the only version that this rank may have prepared without knowing it is the one after that row,
// and the next write by any process decides it. A second conflict with a newer row thus ends the join, so that many
// ranks that start at the same time need few writes.
func (r *Rank) handleRowConflict(now time.Time, e RowConflict) []Action {
	if r.write == nil || e.Serial != r.write.Serial {
		return nil
	}
	r.write = nil
	if r.joined {
		return r.adopt(now, e.Row)
	}
	if r.conflictVersion > 0 && e.Row.Version > r.conflictVersion {
		return r.completeJoin(now, e.Row)
	}
	r.conflictVersion = e.Row.Version
	return r.writeJoin(now, e.Row)
}

// completeJoin ends the join with a row that decides every version that this rank may have prepared before its restart.
func (r *Rank) completeJoin(now time.Time, row Row) []Action {
	r.joined = true
	r.row = Row{}
	return r.adopt(now, row)
}

// adopt takes over a newer row, which may decide the pending preparation, and reports it to the leader.
func (r *Rank) adopt(now time.Time, row Row) []Action {
	if !r.joined || row.Version <= r.row.Version {
		return nil
	}
	r.row = row
	r.fence = max(r.fence, row.Record.Fence)
	if r.write != nil && r.write.Condition < row.Version {
		r.write = nil
	}
	idle := len(r.orders) == 0
	r.queueRowOrders()
	if idle {
		return append(r.sendOrder(now), r.learnedMessage())
	}
	return []Action{r.learnedMessage()}
}

func (r *Rank) learnedMessage() Action {
	return SendToLeader{Fence: r.fence, Event: Learned{Rank: r.cfg.Rank, Row: r.row}}
}

// queueRowOrders queues the orders that make the engine follow the row.
func (r *Rank) queueRowOrders() {
	record := r.row.Record
	if r.pending != nil && record.LastDecided >= r.pending.Next.Version {
		r.decidePending(record.Committed.Version == r.pending.Next.Version)
	}
	if r.installed >= record.Committed.Version {
		return
	}
	// All preparations precede the decisions. An engine that restarts between two orders receives only the later ones.
	// It then refuses them or has no map, and never uses an older map for steps that a newer one covers. The first map
	// after a restart applies from step 0, which marks it as the map in use: no rank can still run a step before it.
	var install []ScheduledMap
	for _, s := range []ScheduledMap{record.Previous, record.Committed} {
		if s.Version > r.installed {
			install = append(install, s)
		}
	}
	if r.installed == 0 {
		install[0].Step = 0
	}
	for _, s := range install {
		r.queueOrder(OrderPrepare{Next: s})
	}
	for _, s := range install {
		r.queueOrder(OrderDecide{Version: s.Version, Commit: true})
	}
	r.installed = record.Committed.Version
}

// decidePending ends the pending preparation and queues its decision.
func (r *Rank) decidePending(commit bool) {
	version := r.pending.Next.Version
	r.pending = nil
	r.queueOrder(OrderDecide{Version: version, Commit: commit})
	if commit {
		r.installed = version
	}
}

// adoptFromLeader adopts the fence and row of an event of a leader and reports whether the event is accepted: the rank
// has joined and the fence is not lower than the highest known one.
func (r *Rank) adoptFromLeader(now time.Time, fence identifier.Fence, row Row) ([]Action, bool) {
	if !r.joined || fence < r.fence {
		return nil, false
	}
	r.fence = fence
	return r.adopt(now, row), true
}

func (r *Rank) handleFetch(now time.Time, e Fetch) []Action {
	out, accepted := r.adoptFromLeader(now, e.Fence, e.Row)
	if accepted && e.Version <= r.row.Record.LastDecided {
		return append(out, r.learnedMessage())
	}
	if !accepted || e.Version != r.row.Record.LastDecided+1 {
		return out
	}
	return append(out, FetchWeights{Version: e.Version, Map: e.Map})
}

func (r *Rank) handleDecide(now time.Time, e Decide) []Action {
	out, accepted := r.adoptFromLeader(now, e.Fence, e.Row)
	if accepted && len(out) == 0 {
		return []Action{r.learnedMessage()}
	}
	return out
}

func (r *Rank) handlePrepare(now time.Time, e Prepare) []Action {
	out, accepted := r.adoptFromLeader(now, e.Fence, e.Row)
	if accepted && e.Next.Version <= r.row.Record.LastDecided {
		return append(out, r.learnedMessage())
	}
	if !accepted || e.Next.Version != r.row.Record.LastDecided+1 {
		return out
	}
	if r.pending != nil {
		if r.accepted {
			out = append(out, r.preparedMessage(e.Next.Version, true))
		}
		return out
	}
	// The row holds two maps, and a restarted rank has no others. A third one is prepared only after this rank uses the
	// second.
	if r.step < r.row.Record.Committed.Step {
		return out
	}
	r.pending = &e
	r.pendingSince = now
	r.accepted = false
	r.queueOrder(OrderPrepare{Next: e.Next})
	if len(r.orders) == 1 {
		out = append(out, r.sendOrder(now)...)
	}
	return out
}

func (r *Rank) preparedMessage(version identifier.MapVersion, accepted bool) Action {
	return SendToLeader{Fence: r.fence, Event: Prepared{Rank: r.cfg.Rank, Version: version, Accepted: accepted}}
}

// queueOrder appends an order. The engine receives one order at a time.
func (r *Rank) queueOrder(order Action) {
	r.orders = append(r.orders, order)
}

// sendOrder sends the first order of the queue to the engine, with the highest fence that the rank knows.
func (r *Rank) sendOrder(now time.Time) []Action {
	if len(r.orders) == 0 {
		return nil
	}
	r.orderSentAt = now
	switch o := r.orders[0].(type) {
	case OrderPrepare:
		o.Serial = r.orderSerial
		o.Fence = r.fence
		return []Action{o}
	case OrderDecide:
		o.Serial = r.orderSerial
		o.Fence = r.fence
		return []Action{o}
	}
	return nil
}

func (r *Rank) handleOrderDone(now time.Time, e OrderDone) []Action {
	if len(r.orders) == 0 || e.Serial != r.orderSerial || e.Result == OrderUnknown {
		return nil
	}
	done := r.orders[0]
	r.orders = r.orders[1:]
	r.orderSerial++
	var out []Action
	if p, isPrepare := done.(OrderPrepare); isPrepare && r.pending != nil && p.Next.Version == r.pending.Next.Version {
		r.accepted = e.Result == OrderAccepted
		out = append(out, r.preparedMessage(p.Next.Version, r.accepted))
		if !r.accepted {
			r.pending = nil
		}
	}
	return append(out, r.sendOrder(now)...)
}
