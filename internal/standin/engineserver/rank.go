package engineserver

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/standin/simulator"
)

// reconnectPeriod is the pause before a rank dials its coordinator again.
const reconnectPeriod = 50 * time.Millisecond

// coordinatorConn is a rank's connection to the coordinator of its group. conn is nil while there is no connection.
type coordinatorConn struct {
	address string
	conn    net.Conn
	decoder *json.Decoder
	// stopClose cancels the function that closes conn at the end of the context.
	stopClose func() bool
}

// sendReady reports to the coordinator that the rank is ready and waits for the reply.
func (c *coordinatorConn) sendReady(ready wireReady) (wireReadyReply, error) {
	var reply wireReadyReply
	if err := json.NewEncoder(c.conn).Encode(ready); err != nil {
		return reply, errors.Wrap(err, "write to the coordinator")
	}
	return reply, errors.Wrap(c.decoder.Decode(&reply), "read from the coordinator")
}

func (c *coordinatorConn) connect(ctx context.Context) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return errors.Wrap(err, "dial the coordinator")
	}
	c.conn = conn
	c.decoder = json.NewDecoder(conn)
	c.stopClose = context.AfterFunc(ctx, func() { conn.Close() })
	return nil
}

func (c *coordinatorConn) close() {
	if c.conn != nil {
		c.stopClose()
		c.conn.Close()
		c.conn = nil
	}
}

// rank runs the steps of an engine that belongs to a group. step is the next step.
type rank struct {
	engine      *engine
	coordinator coordinatorConn
	step        identifier.Step
}

// runGroup runs steps together with the other ranks of the group.
func (e *engine) runGroup() {
	r := &rank{engine: e, coordinator: coordinatorConn{address: e.cfg.Group.Coordinator}, step: 1}
	defer r.coordinator.close()
	ctx := e.instance.Context()
	for e.sim.AwaitStall(ctx) {
		if !r.ensureConnected(ctx) {
			continue
		}
		ready, allowed := e.readyFor(r.step)
		if !allowed {
			e.awaitWake(ctx)
			continue
		}
		reply, err := r.coordinator.sendReady(ready)
		if err != nil {
			r.coordinator.close()
			continue
		}
		if !reply.Run {
			r.step = identifier.Step(reply.Step)
			continue
		}
		if !r.runStep(ctx, reply.Tokens) {
			return
		}
	}
}

// ensureConnected connects to the coordinator if there is no connection. If that fails, it waits and returns false.
func (r *rank) ensureConnected(ctx context.Context) bool {
	if r.coordinator.conn != nil {
		return true
	}
	if r.coordinator.connect(ctx) != nil {
		simulator.Pause(ctx, reconnectPeriod)
		return false
	}
	return true
}

// runStep runs one step. It returns false if the instance ended during the step.
func (r *rank) runStep(ctx context.Context, tokens int) bool {
	e := r.engine
	duration, allowed := e.beginStep(r.step, tokens)
	// A map with switch step 0 may have been prepared after the rank reported that it is ready for its first step.
	for !allowed && ctx.Err() == nil {
		e.awaitWake(ctx)
		duration, allowed = e.beginStep(r.step, tokens)
	}
	if !simulator.Pause(ctx, duration) || !e.sim.AwaitStall(ctx) {
		return false
	}
	e.advance(r.step, duration)
	r.step++
	return true
}

// awaitWake waits until wakeLoop is called or the context ends. A step that the maps forbid becomes possible only by an
// order.
func (e *engine) awaitWake(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.wake:
	}
}

// readyFor agrees to run a step and returns the message that reports it. It returns false if the maps forbid the step.
func (e *engine) readyFor(step identifier.Step) (wireReady, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.maps.agree(step) {
		return wireReady{}, false
	}
	return wireReady{Rank: e.cfg.Group.Rank, Step: uint64(step), Tokens: len(e.running)}, true
}

// beginStep records the step and returns the time that this rank needs for it. It returns false if the maps forbid the
// step. tokens is the number of tokens of all ranks.
func (e *engine) beginStep(step identifier.Step, tokens int) (time.Duration, bool) {
	e.mu.Lock()
	if !e.maps.agree(step) {
		e.mu.Unlock()
		return 0, false
	}
	e.maps.hasRun = true
	current := e.maps.current
	held := current.byRank[e.cfg.Group.Rank]
	sum := 0.0
	for i, n := range e.popularity.load(current.byRank, held, tokens, step) {
		e.expertTokens[held[i]] += n
		sum += n
	}
	e.mu.Unlock()
	duration := e.cfg.StepBase + time.Duration(sum*float64(e.cfg.Group.PerToken)*e.sim.SlowFactor())
	e.sim.RecordStep(simulator.Step{
		Step:       step,
		MapVersion: current.version,
		Micros:     duration.Microseconds(),
		Tokens:     int64(sum),
		At:         time.Now(),
	})
	return duration, true
}
