// Package coordinator changes the expert maps of a model group on behalf of one rank. It runs the state machine of the
// rank and, while this process holds the lease of the group, the one of the leader, which also plans the maps. It
// connects both machines with the table, the engine and the agents of the other ranks.
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
	// maxInputs bounds the queue of the event loop. Further events are dropped, and the machines send again.
	maxInputs = 4096
	// maxReportAge is the age above which the report of a rank is not used to estimate the popularity.
	maxReportAge = 10 * time.Second
)

// Row is a row of the table. Version 0 is an absent row.
type Row struct {
	Version uint64
	Value   []byte
}

// ConflictError reports that the row does not have the version of the condition. Row is the current row.
type ConflictError struct{ Row Row }

// Error returns a message that names the remedy.
func (e *ConflictError) Error() string {
	return "the row was changed by another writer; the newer row decides"
}

// Table reads and writes the row of the group. Write returns the new version. It returns *ConflictError if the row does
// not have the version of the condition; after any other error the write may have taken effect.
type Table interface {
	Read(ctx context.Context, key string) (Row, error)
	Write(ctx context.Context, key string, condition uint64, value []byte) (uint64, error)
}

// Engine executes the orders of the rank.
type Engine interface {
	Order(ctx context.Context, o driver.Order) error
}

// WeightStore fetches weights from the weight store, within its rate limit.
type WeightStore interface {
	FetchWeights(ctx context.Context, size identifier.Bytes) error
}

// Lease reports whether this process leads the group, and under which fence.
type Lease interface {
	Held(now time.Time) (identifier.Fence, bool)
}

// Group is the configuration of a model group.
type Group struct {
	Ranks       []placer.Rank
	Experts     int
	ExpertBytes identifier.Bytes
}

// Config holds the settings and dependencies of a coordinator.
type Config struct {
	Group  identifier.ModelGroup
	Rank   identifier.Rank
	Ranks  int
	Table  Table
	Engine Engine
	// Weights fetches the experts of a new map that the rank does not hold yet.
	Weights WeightStore
	Lease   Lease
	Log     *logger.Logger
	// Describe returns the current configuration of the group.
	Describe func() Group
	// Send sends a message to the agent of a rank. It may drop the message.
	Send func(rank identifier.Rank, m messenger.GroupEvent)
	// Policy is placer.DefaultAdaptive by default.
	Policy placer.Policy
	// PlanInterval is the time between plans, 5 s by default. A sudden change of popularity causes a plan at once.
	PlanInterval time.Duration
}

const (
	defaultPlanInterval = 5 * time.Second
	// estimateInterval is the time between estimates of popularity.
	estimateInterval = 500 * time.Millisecond
)

// Reply sends a message to the agent that sent a received message. It may drop the message.
type Reply func(m messenger.GroupEvent)

// EngineState is a report of the engine.
type EngineState struct {
	switcher.EngineReport
	StepTime time.Duration
	AsOf     time.Time
	// Tokens counts the tokens since the engine booted, by expert.
	Tokens []identifier.Tokens
}

// input is an event for one of the machines, a message to decode or a report of the engine.
type input struct {
	event     switcher.Event
	forLeader bool
	message   *messenger.GroupEvent
	reply     Reply
	state     *EngineState
}

// Coordinator executes the actions of the machines of one rank. Only the event loop uses the machines.
type Coordinator struct {
	cfg    Config
	inputs chan input
	rank   *switcher.Rank
	// leader is nil while this process does not lead the group.
	leader *leadership
	// leaderReply sends to the agent that sent the newest message of a leader.
	leaderReply Reply
	// orderedMap is the newest map that the engine was ordered to prepare.
	orderedMap placer.Map
}

// New returns a coordinator. It handles no events before Run.
func New(cfg Config) *Coordinator {
	if cfg.PlanInterval == 0 {
		cfg.PlanInterval = defaultPlanInterval
	}
	if cfg.Policy == nil {
		cfg.Policy = placer.DefaultAdaptive()
	}
	return &Coordinator{
		cfg: cfg, inputs: make(chan input, maxInputs), rank: switcher.NewRank(switcher.DefaultRankConfig(cfg.Rank, cfg.Ranks)),
	}
}

// Run handles events until ctx is done.
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
			c.handle(ctx, in)
		}
	}
}

// Report passes a report of the engine to the event loop.
func (c *Coordinator) Report(state EngineState) {
	c.enqueue(input{state: &state})
}

// Receive passes a message from another agent of the group to the event loop. It does not block.
func (c *Coordinator) Receive(m messenger.GroupEvent, reply Reply) {
	c.enqueue(input{message: &m, reply: reply})
}

// enqueue drops the event if the queue is full, since the machines send again.
func (c *Coordinator) enqueue(in input) {
	select {
	case c.inputs <- in:
	default:
	}
}

func (c *Coordinator) tick(ctx context.Context) {
	now := time.Now()
	c.updateLeadership(ctx, now)
	c.stepRank(ctx, now, switcher.Tick{})
	if c.leader != nil {
		c.stepLeader(ctx, now, switcher.Tick{})
		c.plan(ctx, now)
	}
}

func (c *Coordinator) handle(ctx context.Context, in input) {
	now := time.Now()
	switch {
	case in.state != nil:
		c.handleReport(ctx, now, *in.state)
	case in.message != nil:
		c.handleMessage(ctx, now, *in.message, in.reply)
	case in.forLeader:
		c.stepLeader(ctx, now, in.event)
	default:
		c.stepRank(ctx, now, in.event)
	}
}

// handleReport passes a report of the engine to the rank and sends the progress of the rank to the leader.
func (c *Coordinator) handleReport(ctx context.Context, now time.Time, state EngineState) {
	c.stepRank(ctx, now, state.EngineReport)
	progress := progressReport{
		Progress: switcher.Progress{Rank: c.cfg.Rank, Step: state.Step, StepTime: state.StepTime, AsOf: state.AsOf},
		tokens:   state.Tokens,
	}
	if c.leader != nil {
		c.handleProgress(ctx, now, progress)
		return
	}
	if c.leaderReply != nil {
		c.leaderReply(c.withSender(encodeProgress(progress)))
	}
}

func (c *Coordinator) handleMessage(ctx context.Context, now time.Time, m messenger.GroupEvent, reply Reply) {
	decoded, err := decode(m)
	if err != nil {
		c.cfg.Log.Event(logger.EventOrderRefused).Str("group", string(c.cfg.Group)).AnErr("cause", err).Send()
		return
	}
	switch e := decoded.(type) {
	case progressReport:
		c.handleProgress(ctx, now, e)
	case switcher.Fetched, switcher.Prepared, switcher.Learned:
		c.stepLeader(ctx, now, e.(switcher.Event))
	case switcher.Fetch, switcher.Prepare, switcher.Decide:
		c.leaderReply = reply
		c.stepRank(ctx, now, e.(switcher.Event))
	case switcher.Inquiry, switcher.Answer:
		c.stepRank(ctx, now, e.(switcher.Event))
	}
}

func (c *Coordinator) stepRank(ctx context.Context, now time.Time, event switcher.Event) {
	for _, action := range c.rank.Step(now, event) {
		c.execute(ctx, action, false)
	}
}

// stepLeader passes an event to the leader. It executes the actions only if the lease is still held, since the lease
// may have expired while this process was paused.
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
		c.execute(ctx, action, true)
	}
}

// execute carries out an action. Operations that take time run concurrently, and the event loop receives their results.
func (c *Coordinator) execute(ctx context.Context, action switcher.Action, forLeader bool) {
	switch a := action.(type) {
	case switcher.ReadRow:
		go func() { c.enqueueResult(c.readRow(ctx), forLeader) }()
	case switcher.WriteRow:
		go func() { c.enqueueResult(c.writeRow(ctx, a), forLeader) }()
	case switcher.SendToRank:
		c.sendToRank(a)
	case switcher.SendToLeader:
		c.sendToLeader(a)
	case switcher.FetchWeights:
		go c.fetchWeights(ctx, a, c.orderedMap)
	case switcher.OrderPrepare:
		c.orderedMap = a.Next.Map
		go c.sendOrder(ctx, a.Serial, driver.PrepareMap{
			Fence: a.Fence, Version: a.Next.Version, Map: expertsByRank(a.Next.Map, c.cfg.Ranks), SwitchStep: a.Next.Step,
		})
	case switcher.OrderDecide:
		go c.sendOrder(ctx, a.Serial, driver.DecideMap{Fence: a.Fence, Version: a.Version, Commit: a.Commit})
	case switcher.Finished:
		c.logOutcome(a)
	}
}

// enqueueResult enqueues the result of an action for the machine that requested the action.
func (c *Coordinator) enqueueResult(event switcher.Event, forLeader bool) {
	if event != nil {
		c.enqueue(input{event: event, forLeader: forLeader})
	}
}

func (c *Coordinator) sendToRank(a switcher.SendToRank) {
	if a.Rank == c.cfg.Rank {
		c.enqueue(input{event: a.Event})
		return
	}
	if m, ok := encode(a.Event); ok {
		c.cfg.Send(a.Rank, c.withSender(m))
	}
}

func (c *Coordinator) sendToLeader(a switcher.SendToLeader) {
	if c.leader != nil && c.leader.fence == a.Fence {
		c.enqueue(input{event: a.Event, forLeader: true})
		return
	}
	if m, ok := encode(a.Event); ok && c.leaderReply != nil {
		c.leaderReply(c.withSender(m))
	}
}

// withSender returns the message with the group and the rank of this agent.
func (c *Coordinator) withSender(m messenger.GroupEvent) messenger.GroupEvent {
	m.Group, m.From = c.cfg.Group, c.cfg.Rank
	return m
}

func (c *Coordinator) key() string {
	return "map/" + string(c.cfg.Group)
}

func (c *Coordinator) readRow(ctx context.Context) switcher.Event {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	row, err := c.cfg.Table.Read(ctx, c.key())
	if err != nil {
		return nil
	}
	return c.rowEvent(row, func(r switcher.Row) switcher.Event { return switcher.RowRead{Row: r} })
}

func (c *Coordinator) writeRow(ctx context.Context, w switcher.WriteRow) switcher.Event {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	version, err := c.cfg.Table.Write(ctx, c.key(), w.Condition, encodeRecord(w.Record))
	var conflict *ConflictError
	switch {
	case err == nil:
		return switcher.RowWritten{Serial: w.Serial, Row: switcher.Row{Version: version, Record: w.Record}}
	case errors.As(err, &conflict):
		return c.rowEvent(conflict.Row, func(r switcher.Row) switcher.Event { return switcher.RowConflict{Serial: w.Serial, Row: r} })
	default:
		return switcher.RowWriteUnknown{}
	}
}

// rowEvent decodes a row and returns the event that carries it, or nil if the row cannot be decoded.
func (c *Coordinator) rowEvent(row Row, event func(switcher.Row) switcher.Event) switcher.Event {
	record, err := decodeRecord(row)
	if err != nil {
		c.cfg.Log.Event(logger.EventPlatformFailed).Str("operation", "readMap").AnErr("cause", err).Send()
		return nil
	}
	return event(switcher.Row{Version: row.Version, Record: record})
}

// fetchWeights fetches the experts of a new map that the ordered map does not place on this rank.
func (c *Coordinator) fetchWeights(ctx context.Context, a switcher.FetchWeights, ordered placer.Map) {
	ctx, cancel := context.WithTimeout(ctx, weightTimeout)
	defer cancel()
	missing := 0
	for e := range a.Map.Experts {
		expert := identifier.Expert(e)
		if a.Map.Hosts(expert, c.cfg.Rank) && !ordered.Hosts(expert, c.cfg.Rank) {
			missing++
		}
	}
	size := identifier.Bytes(missing) * c.cfg.Describe().ExpertBytes
	if size > 0 {
		if err := c.cfg.Weights.FetchWeights(ctx, size); err != nil {
			c.cfg.Log.Event(logger.EventPlatformFailed).Str("operation", "fetchWeights").AnErr("cause", err).Send()
			return
		}
	}
	c.enqueue(input{event: switcher.WeightsFetched{Version: a.Version}})
}

func (c *Coordinator) sendOrder(ctx context.Context, serial uint64, o driver.Order) {
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
		result = switcher.OrderUnknown
	}
	c.enqueue(input{event: switcher.OrderDone{Serial: serial, Result: result}})
}

// expertsByRank lists the experts that each rank holds.
func expertsByRank(m placer.Map, ranks int) [][]identifier.Expert {
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
