package switcher

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// RankConfig holds the settings of a rank.
type RankConfig struct {
	Rank  identifier.Rank
	Ranks int
	// Resend is the time after which a read, a write or a question is repeated.
	Resend time.Duration
	// ResolveAfter is the age of an open preparation at which the rank asks the table and other ranks.
	ResolveAfter time.Duration
	// AbortAfter is the age at which the rank aborts the preparation through the table. It exceeds the leader's
	// PrepareTimeout, so that the leader's own abort comes first while the leader lives.
	AbortAfter time.Duration
}

// DefaultRank returns the usual settings.
func DefaultRank(rank identifier.Rank, ranks int) RankConfig {
	return RankConfig{
		Rank:         rank,
		Ranks:        ranks,
		Resend:       250 * time.Millisecond,
		ResolveAfter: time.Second,
		AbortAfter:   3 * time.Second,
	}
}

// Rank is the state machine of the agent of one rank. The engine behind it runs the steps.
type Rank struct {
	cfg    RankConfig
	joined bool
	boot   identifier.Boot
	step   identifier.Step
	fence  identifier.Fence
	row    Row
	write  *WriteRow
	writes uint64
	// fresh is the version of a row that a conflict showed since the last start of agent or engine, or 0.
	fresh uint64
	// installed is the newest committed version that is ordered on this boot of the engine.
	installed identifier.MapVersion
	fetched   identifier.MapVersion
	open      *Prepare
	opened    time.Time
	accepted  bool
	orders    []Action
	serial    uint64
	ordered   time.Time
	asked     time.Time
	peer      int
}

// NewRank returns the machine of a rank whose agent has just started. It aborts the version that an earlier
// incarnation may have prepared before it takes part.
func NewRank(cfg RankConfig) *Rank {
	return &Rank{cfg: cfg, peer: int(cfg.Rank)}
}

// Open tells whether a preparation is undecided.
func (r *Rank) Open() bool {
	return r.open != nil
}

// Step handles one event.
func (r *Rank) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return r.tick(now)
	case Fetch:
		return r.fetch(now, e)
	case Prepare:
		return r.prepare(now, e)
	case Decide:
		return r.decide(now, e)
	case WeightsFetched:
		r.fetched = max(r.fetched, e.Version)
		return []Action{SendLeader{Fence: r.fence, Event: Fetched{Rank: r.cfg.Rank, Version: e.Version}}}
	case EngineReport:
		return r.report(now, e)
	case OrderDone:
		return r.orderDone(now, e)
	case Inquiry:
		if r.row.Record.Last >= e.Version {
			return []Action{SendRank{Rank: e.From, Event: Answer{Row: r.row}}}
		}
	case Answer:
		return r.adopt(now, e.Row)
	case RowRead:
		return r.read(now, e.Row)
	case RowWritten:
		return r.written(now, e)
	case RowConflict:
		return r.conflict(now, e)
	case RowUnsure:
		// The same conditional write is repeated on the next tick; it cannot take effect twice.
	}
	return nil
}

// report notices a restart of the engine. What the engine had prepared is lost with it, so the rank joins anew. A
// preparation that a late order left behind in the engine is decided by the row.
func (r *Rank) report(now time.Time, e EngineReport) []Action {
	if r.boot != e.Boot {
		r.boot = e.Boot
		r.step = e.Step
		r.rejoin()
		return nil
	}
	r.step = max(r.step, e.Step)
	if !r.joined || len(r.orders) > 0 || e.Prepared == 0 || e.Prepared > r.row.Record.Last {
		return nil
	}
	record := r.row.Record
	commit := e.Prepared == record.Committed.Version || e.Prepared == record.Previous.Version
	r.queue(OrderDecide{Version: e.Prepared, Commit: commit})
	return r.order(now)
}

func (r *Rank) rejoin() {
	r.joined = false
	r.write = nil
	r.fresh = 0
	r.open = nil
	r.installed = 0
	r.orders = nil
	r.serial++
}

func (r *Rank) tick(now time.Time) []Action {
	var out []Action
	if len(r.orders) > 0 && now.Sub(r.ordered) >= r.cfg.Resend {
		out = append(out, r.order(now)...)
	}
	if now.Sub(r.asked) < r.cfg.Resend {
		return out
	}
	if !r.joined {
		return append(out, r.join(now)...)
	}
	if r.open != nil && now.Sub(r.opened) >= r.cfg.ResolveAfter {
		return append(out, r.resolve(now)...)
	}
	return out
}

func (r *Rank) join(now time.Time) []Action {
	// Without the boot of its engine the rank could not notice a restart that follows.
	if r.boot == "" {
		return nil
	}
	r.asked = now
	if r.write != nil {
		return []Action{*r.write}
	}
	return []Action{ReadRow{}}
}

// resolve asks the table and one other rank for the decision, and later aborts through the table.
func (r *Rank) resolve(now time.Time) []Action {
	r.asked = now
	if now.Sub(r.opened) >= r.cfg.AbortAfter && r.write == nil {
		r.write = r.abort()
	}
	if r.write != nil {
		return []Action{*r.write}
	}
	out := []Action{ReadRow{}}
	if r.cfg.Ranks < 2 {
		return out
	}
	r.peer = (r.peer + 1) % r.cfg.Ranks
	if r.peer == int(r.cfg.Rank) {
		r.peer = (r.peer + 1) % r.cfg.Ranks
	}
	inquiry := Inquiry{From: r.cfg.Rank, Version: r.open.Next.Version}
	return append(out, SendRank{Rank: identifier.Rank(r.peer), Event: inquiry})
}

func (r *Rank) abort() *WriteRow {
	r.writes++
	return &WriteRow{Serial: r.writes, Condition: r.row.Version, Record: r.row.Record.aborted()}
}

func (r *Rank) read(now time.Time, row Row) []Action {
	if r.joined {
		return r.adopt(now, row)
	}
	if r.write != nil {
		return nil
	}
	return r.attempt(now, row)
}

// attempt writes the row once more, which aborts what this rank may have prepared and forgotten.
func (r *Rank) attempt(now time.Time, row Row) []Action {
	if row.Version >= r.row.Version {
		r.row = row
	}
	r.write = r.abort()
	r.asked = now
	return []Action{*r.write}
}

func (r *Rank) written(now time.Time, e RowWritten) []Action {
	if r.write == nil || e.Serial != r.write.Serial {
		return nil
	}
	r.write = nil
	if r.joined {
		return r.adopt(now, e.Row)
	}
	return r.enter(now, e.Row)
}

// conflict handles a row that another write changed. A conflict shows the row as it is after the restart, so what this
// rank has forgotten is at most the version after that row's, which the next write by anyone decides. Many ranks that
// start at once therefore need few writes.
func (r *Rank) conflict(now time.Time, e RowConflict) []Action {
	if r.write == nil || e.Serial != r.write.Serial {
		return nil
	}
	r.write = nil
	if r.joined {
		return r.adopt(now, e.Row)
	}
	if r.fresh > 0 && e.Row.Version > r.fresh {
		return r.enter(now, e.Row)
	}
	r.fresh = e.Row.Version
	return r.attempt(now, e.Row)
}

// enter takes part with a row that decides all that this rank may have prepared and forgotten.
func (r *Rank) enter(now time.Time, row Row) []Action {
	r.joined = true
	r.row = Row{}
	return r.adopt(now, row)
}

// adopt takes over a newer row, resolves the open preparation by it and tells the leader.
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
	r.enact()
	if idle {
		return append(r.order(now), r.learned())
	}
	return []Action{r.learned()}
}

func (r *Rank) learned() Action {
	return SendLeader{Fence: r.fence, Event: Learned{Rank: r.cfg.Rank, Row: r.row}}
}

// enact queues the orders that bring the engine to the row's decision.
func (r *Rank) enact() {
	record := r.row.Record
	if r.open != nil && record.Last >= r.open.Next.Version {
		r.close(record.Committed.Version == r.open.Next.Version)
	}
	if r.installed >= record.Committed.Version {
		return
	}
	// An engine that restarts between two orders sees only the later ones. In this sequence it then refuses them or
	// has no map, and never uses an older map for steps that a newer one covers. The first map after a restart applies
	// from step 0, which tells the engine that it is in force already: no rank can still run a step before it.
	var install []Scheduled
	for _, s := range []Scheduled{record.Previous, record.Committed} {
		if s.Version > r.installed {
			install = append(install, s)
		}
	}
	if r.installed == 0 {
		install[0].Step = 0
	}
	for _, s := range install {
		r.queue(OrderPrepare{Next: s})
	}
	for _, s := range install {
		r.queue(OrderDecide{Version: s.Version, Commit: true})
	}
	r.installed = record.Committed.Version
}

func (r *Rank) close(commit bool) {
	version := r.open.Next.Version
	r.open = nil
	r.queue(OrderDecide{Version: version, Commit: commit})
	if commit {
		r.installed = version
	}
}

// current rejects events from a leader with an old fence, and adopts the row that they carry.
func (r *Rank) current(now time.Time, fence identifier.Fence, row Row) ([]Action, bool) {
	if !r.joined || fence < r.fence {
		return nil, false
	}
	r.fence = fence
	return r.adopt(now, row), true
}

func (r *Rank) fetch(now time.Time, e Fetch) []Action {
	out, current := r.current(now, e.Fence, e.Row)
	if current && e.Version <= r.row.Record.Last {
		return append(out, r.learned())
	}
	if !current || e.Version != r.row.Record.Last+1 {
		return out
	}
	return append(out, FetchWeights{Version: e.Version, Map: e.Map})
}

func (r *Rank) decide(now time.Time, e Decide) []Action {
	out, current := r.current(now, e.Fence, e.Row)
	if current && len(out) == 0 {
		return []Action{r.learned()}
	}
	return out
}

func (r *Rank) prepare(now time.Time, e Prepare) []Action {
	out, current := r.current(now, e.Fence, e.Row)
	if current && e.Next.Version <= r.row.Record.Last {
		return append(out, r.learned())
	}
	if !current || e.Next.Version != r.row.Record.Last+1 {
		return out
	}
	if r.open != nil {
		if r.accepted {
			out = append(out, r.reply(e.Next.Version, true))
		}
		return out
	}
	// A rank that restarts finds only two maps in the row, so a third must wait until this rank uses the second.
	if r.step < r.row.Record.Committed.Step {
		return out
	}
	r.open = &e
	r.opened = now
	r.accepted = false
	r.queue(OrderPrepare{Next: e.Next})
	if len(r.orders) == 1 {
		out = append(out, r.order(now)...)
	}
	return out
}

func (r *Rank) reply(version identifier.MapVersion, accepted bool) Action {
	return SendLeader{Fence: r.fence, Event: Prepared{Rank: r.cfg.Rank, Version: version, Accepted: accepted}}
}

// queue appends an order. The engine gets one order at a time.
func (r *Rank) queue(order Action) {
	r.orders = append(r.orders, order)
}

// order gives the engine the first order of the queue under the highest fence that the rank knows.
func (r *Rank) order(now time.Time) []Action {
	if len(r.orders) == 0 {
		return nil
	}
	r.ordered = now
	switch o := r.orders[0].(type) {
	case OrderPrepare:
		o.Serial = r.serial
		o.Fence = r.fence
		return []Action{o}
	case OrderDecide:
		o.Serial = r.serial
		o.Fence = r.fence
		return []Action{o}
	}
	return nil
}

func (r *Rank) orderDone(now time.Time, e OrderDone) []Action {
	if len(r.orders) == 0 || e.Serial != r.serial || e.Result == OrderUnsure {
		return nil
	}
	done := r.orders[0]
	r.orders = r.orders[1:]
	r.serial++
	var out []Action
	if p, isPrepare := done.(OrderPrepare); isPrepare && r.open != nil && p.Next.Version == r.open.Next.Version {
		r.accepted = e.Result == OrderAccepted
		out = append(out, r.reply(p.Next.Version, r.accepted))
		if !r.accepted {
			r.open = nil
		}
	}
	return append(out, r.order(now)...)
}
