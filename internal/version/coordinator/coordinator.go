// Package coordinator runs the machines of one rank of a model group, and those of the group's leader while this process
// holds the lease, against table, engine and the other ranks.
package coordinator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/driver"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/version/placer"
	"currantledge.example/currantledge/internal/version/switcher"
)

const (
	tickInterval  = 50 * time.Millisecond
	tableTimeout  = 2 * time.Second
	orderTimeout  = time.Second
	weightTimeout = 2 * time.Minute
	// maxInputs bounds the events that wait for the loop; machines repeat what is lost.
	maxInputs = 4096
	// reportAge is the age after which the report of a rank is not used for placement.
	reportAge = 10 * time.Second
)

// Row is a row of the table.
type Row struct {
	Version uint64
	Value   []byte
}

// ConflictError tells that the row has another version than the condition.
type ConflictError struct{ Row Row }

// Error names the remedy.
func (e *ConflictError) Error() string {
	return "the row was changed by another writer; the newer row decides"
}

// Table reads and writes the row of the group. Write returns *ConflictError if the row has another version, and any
// other error if the write may have taken effect.
type Table interface {
	Read(ctx context.Context, key string) (Row, error)
	Write(ctx context.Context, key string, condition uint64, value []byte) (uint64, error)
}

// Engine takes orders.
type Engine interface {
	Order(ctx context.Context, o driver.Order) error
}

// Weights fetches weights within the store's rate.
type Weights interface {
	FetchWeights(ctx context.Context, size identifier.Bytes) error
}

// Lease tells whether this process leads the group.
type Lease interface {
	Held(now time.Time) (identifier.Fence, bool)
}

// Group is what the configuration says of the group.
type Group struct {
	Ranks       []placer.Rank
	Experts     int
	ExpertBytes identifier.Bytes
}

// Config holds what a coordinator is built from.
type Config struct {
	Group  identifier.ModelGroup
	Rank   identifier.Rank
	Ranks  int
	Table  Table
	Engine Engine
	// Weights is asked for what a map needs beyond the current one.
	Weights Weights
	Lease   Lease
	Log     *logger.Logger
	// Describe returns the group as the configuration has it now.
	Describe func() Group
	// Send sends to the agent of a rank; it may drop the message.
	Send   func(rank identifier.Rank, m messenger.GroupEvent)
	Policy placer.Policy
	// PlanEvery is the time between plans without a sudden change of popularity; 5 s by default.
	PlanEvery time.Duration
}

const (
	defaultPlanEvery = 5 * time.Second
	// observeEvery is the time between estimates of popularity.
	observeEvery = 500 * time.Millisecond
)

// Reply sends to the agent from which a message came.
type Reply func(m messenger.GroupEvent)

// EngineState is the newest report of the engine.
type EngineState struct {
	switcher.EngineReport
	StepTime time.Duration
	AsOf     time.Time
	// Tokens counts the tokens by expert since the engine booted.
	Tokens []identifier.Tokens
}

// input is an event for one of the machines, or a message to decode.
type input struct {
	event    switcher.Event
	toLeader bool
	message  *messenger.GroupEvent
	reply    Reply
	state    *EngineState
}

// Coordinator is the shell of one rank. Its machines are used by the loop alone.
type Coordinator struct {
	cfg    Config
	inputs chan input
	rank   *switcher.Rank
	leader *leadership
	// toLeader reaches the leader whose message came last.
	toLeader Reply
	// held is the map whose weights this rank has.
	held placer.Map
}

// New returns a coordinator that does nothing until Run.
func New(cfg Config) *Coordinator {
	if cfg.PlanEvery == 0 {
		cfg.PlanEvery = defaultPlanEvery
	}
	if cfg.Policy == nil {
		cfg.Policy = placer.DefaultAdaptive()
	}
	return &Coordinator{
		cfg: cfg, inputs: make(chan input, maxInputs), rank: switcher.NewRank(switcher.DefaultRank(cfg.Rank, cfg.Ranks)),
	}
}

// Run handles events until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.tick(ctx)
		case in := <-c.inputs:
			c.take(ctx, in)
		}
	}
}

// Report takes a report of the engine.
func (c *Coordinator) Report(state EngineState) {
	c.put(input{state: &state})
}

// Receive takes a message of another agent of the group.
func (c *Coordinator) Receive(m messenger.GroupEvent, reply Reply) {
	c.put(input{message: &m, reply: reply})
}

// put drops the event if the loop is far behind; the machines repeat their messages.
func (c *Coordinator) put(in input) {
	select {
	case c.inputs <- in:
	default:
	}
}

func (c *Coordinator) tick(ctx context.Context) {
	now := time.Now()
	c.lead(ctx, now)
	c.stepRank(ctx, now, switcher.Tick{})
	if c.leader != nil {
		c.stepLeader(ctx, now, switcher.Tick{})
		c.plan(ctx, now)
	}
}

func (c *Coordinator) take(ctx context.Context, in input) {
	now := time.Now()
	switch {
	case in.state != nil:
		c.observe(ctx, now, *in.state)
	case in.message != nil:
		c.receive(ctx, now, *in.message, in.reply)
	case in.toLeader:
		c.stepLeader(ctx, now, in.event)
	default:
		c.stepRank(ctx, now, in.event)
	}
}

// observe hands the engine's report to the rank and tells the leader of the progress.
func (c *Coordinator) observe(ctx context.Context, now time.Time, state EngineState) {
	c.stepRank(ctx, now, state.EngineReport)
	progress := progressReport{
		Progress: switcher.Progress{Rank: c.cfg.Rank, Step: state.Step, StepTime: state.StepTime, AsOf: state.AsOf},
		tokens:   state.Tokens,
	}
	if c.leader != nil {
		c.progress(ctx, now, progress)
		return
	}
	if c.toLeader != nil {
		c.toLeader(c.envelope(encodeProgress(progress)))
	}
}

func (c *Coordinator) receive(ctx context.Context, now time.Time, m messenger.GroupEvent, reply Reply) {
	decoded, err := decode(m)
	if err != nil {
		c.cfg.Log.Event(logger.EventOrderRefused).Str("group", string(c.cfg.Group)).AnErr("cause", err).Send()
		return
	}
	switch e := decoded.(type) {
	case progressReport:
		c.progress(ctx, now, e)
	case switcher.Fetched, switcher.Prepared, switcher.Learned:
		c.stepLeader(ctx, now, e.(switcher.Event))
	case switcher.Fetch, switcher.Prepare, switcher.Decide:
		c.toLeader = reply
		c.stepRank(ctx, now, e.(switcher.Event))
	case switcher.Inquiry, switcher.Answer:
		c.stepRank(ctx, now, e.(switcher.Event))
	}
}

func (c *Coordinator) stepRank(ctx context.Context, now time.Time, event switcher.Event) {
	for _, action := range c.rank.Step(now, event) {
		c.act(ctx, action, false)
	}
}

// stepLeader gives an event to the leader. Its actions are carried out only while the lease is held, since the lease may
// have run out while this process was paused.
func (c *Coordinator) stepLeader(ctx context.Context, now time.Time, event switcher.Event) {
	if c.leader == nil {
		return
	}
	actions := c.leader.machine.Step(now, event)
	fence, held := c.cfg.Lease.Held(time.Now())
	if !held || fence != c.leader.fence {
		return
	}
	for _, action := range actions {
		c.act(ctx, action, true)
	}
}

// act carries out an action. What takes time runs beside the loop and comes back as an event.
func (c *Coordinator) act(ctx context.Context, action switcher.Action, leader bool) {
	switch a := action.(type) {
	case switcher.ReadRow:
		go func() { c.back(c.read(ctx), leader) }()
	case switcher.WriteRow:
		go func() { c.back(c.write(ctx, a), leader) }()
	case switcher.SendRank:
		c.sendRank(a)
	case switcher.SendLeader:
		c.sendLeader(a)
	case switcher.FetchWeights:
		go c.fetch(ctx, a, c.held)
	case switcher.OrderPrepare:
		c.held = a.Next.Map
		go c.order(ctx, a.Serial, driver.PrepareMap{
			Fence: a.Fence, Version: a.Next.Version, Map: byRank(a.Next.Map, c.cfg.Ranks), SwitchStep: a.Next.Step,
		})
	case switcher.OrderDecide:
		go c.order(ctx, a.Serial, driver.DecideMap{Fence: a.Fence, Version: a.Version, Commit: a.Commit})
	case switcher.Finished:
		c.finished(a)
	}
}

// back returns the result of an action to the machine that asked for it.
func (c *Coordinator) back(event switcher.Event, leader bool) {
	if event != nil {
		c.put(input{event: event, toLeader: leader})
	}
}

func (c *Coordinator) sendRank(a switcher.SendRank) {
	if a.Rank == c.cfg.Rank {
		c.put(input{event: a.Event})
		return
	}
	if m, ok := encode(a.Event); ok {
		c.cfg.Send(a.Rank, c.envelope(m))
	}
}

func (c *Coordinator) sendLeader(a switcher.SendLeader) {
	if c.leader != nil && c.leader.fence == a.Fence {
		c.put(input{event: a.Event, toLeader: true})
		return
	}
	if m, ok := encode(a.Event); ok && c.toLeader != nil {
		c.toLeader(c.envelope(m))
	}
}

func (c *Coordinator) envelope(m messenger.GroupEvent) messenger.GroupEvent {
	m.Group, m.From = c.cfg.Group, c.cfg.Rank
	return m
}

func (c *Coordinator) key() string {
	return "map/" + string(c.cfg.Group)
}

func (c *Coordinator) read(ctx context.Context) switcher.Event {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	row, err := c.cfg.Table.Read(ctx, c.key())
	if err != nil {
		return nil
	}
	return c.decoded(row, func(r switcher.Row) switcher.Event { return switcher.RowRead{Row: r} })
}

func (c *Coordinator) write(ctx context.Context, w switcher.WriteRow) switcher.Event {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	version, err := c.cfg.Table.Write(ctx, c.key(), w.Condition, encodeRecord(w.Record))
	var conflict *ConflictError
	switch {
	case err == nil:
		return switcher.RowWritten{Serial: w.Serial, Row: switcher.Row{Version: version, Record: w.Record}}
	case errors.As(err, &conflict):
		return c.decoded(conflict.Row, func(r switcher.Row) switcher.Event { return switcher.RowConflict{Serial: w.Serial, Row: r} })
	default:
		return switcher.RowUnsure{}
	}
}

func (c *Coordinator) decoded(row Row, event func(switcher.Row) switcher.Event) switcher.Event {
	record, err := decodeRecord(row)
	if err != nil {
		c.cfg.Log.Event(logger.EventPlatformFailed).Str("operation", "readMap").AnErr("cause", err).Send()
		return nil
	}
	return event(switcher.Row{Version: row.Version, Record: record})
}

// fetch asks the weight store for the experts that this rank lacks.
func (c *Coordinator) fetch(ctx context.Context, a switcher.FetchWeights, held placer.Map) {
	ctx, cancel := context.WithTimeout(ctx, weightTimeout)
	defer cancel()
	lacking := 0
	for e := range a.Map.Experts {
		expert := identifier.Expert(e)
		if a.Map.Hosts(expert, c.cfg.Rank) && !held.Hosts(expert, c.cfg.Rank) {
			lacking++
		}
	}
	size := identifier.Bytes(lacking) * c.cfg.Describe().ExpertBytes
	if size > 0 {
		if err := c.cfg.Weights.FetchWeights(ctx, size); err != nil {
			c.cfg.Log.Event(logger.EventPlatformFailed).Str("operation", "fetchWeights").AnErr("cause", err).Send()
			return
		}
	}
	c.put(input{event: switcher.WeightsFetched{Version: a.Version}})
}

func (c *Coordinator) order(ctx context.Context, serial uint64, o driver.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	result := switcher.OrderAccepted
	err := c.cfg.Engine.Order(ctx, o)
	var stale *driver.StaleFenceError
	var refused *driver.RefusedOrderError
	switch {
	case err == nil:
		if p, ok := o.(driver.PrepareMap); ok {
			c.cfg.Log.Event(logger.EventMapPrepared).Str("group", string(c.cfg.Group)).Uint64("version", uint64(p.Version)).Send()
		}
	case errors.As(err, &stale), errors.As(err, &refused):
		result = switcher.OrderRefused
		c.cfg.Log.Event(logger.EventOrderRefused).Str("group", string(c.cfg.Group)).AnErr("cause", err).Send()
	default:
		result = switcher.OrderUnsure
	}
	c.put(input{event: switcher.OrderDone{Serial: serial, Result: result}})
}

// byRank lists the experts that each rank holds.
func byRank(m placer.Map, ranks int) [][]identifier.Expert {
	out := make([][]identifier.Expert, ranks)
	for e, replicas := range m.Experts {
		for _, r := range replicas {
			if int(r.Rank) < ranks {
				out[r.Rank] = append(out[r.Rank], identifier.Expert(e))
			}
		}
	}
	return out
}
