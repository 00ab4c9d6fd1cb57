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

// barrier is a rank's connection to the coordinator of its group.
type barrier struct {
	address string
	conn    net.Conn
	decoder *json.Decoder
	stop    func() bool
}

// exchange tells the coordinator what the rank would run next and waits for its turn.
func (b *barrier) exchange(ready wireReady) (wireTurn, error) {
	var turn wireTurn
	if err := json.NewEncoder(b.conn).Encode(ready); err != nil {
		return turn, errors.Wrap(err, "write to the coordinator")
	}
	return turn, errors.Wrap(b.decoder.Decode(&turn), "read from the coordinator")
}

func (b *barrier) connect(ctx context.Context) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", b.address)
	if err != nil {
		return errors.Wrap(err, "dial the coordinator")
	}
	b.conn = conn
	b.decoder = json.NewDecoder(conn)
	b.stop = context.AfterFunc(ctx, func() { conn.Close() })
	return nil
}

func (b *barrier) close() {
	if b.conn != nil {
		b.stop()
		b.conn.Close()
		b.conn = nil
	}
}

// rank is the position of an engine in the steps of its group.
type rank struct {
	engine  *engine
	barrier barrier
	step    identifier.Step
}

// runGroup runs steps together with the other ranks of the group.
func (e *engine) runGroup() {
	r := &rank{engine: e, barrier: barrier{address: e.cfg.Group.Coordinator}, step: 1}
	defer r.barrier.close()
	ctx := e.life.Context()
	for e.sim.AwaitStall(ctx) {
		if !r.connected(ctx) {
			continue
		}
		ready, allowed := e.enter(r.step)
		if !allowed {
			e.awaitOrder(ctx)
			continue
		}
		turn, err := r.barrier.exchange(ready)
		if err != nil {
			r.barrier.close()
			continue
		}
		if !turn.Run {
			r.step = identifier.Step(turn.Step)
			continue
		}
		if !r.run(ctx, turn.Tokens) {
			return
		}
	}
}

// connected makes sure that there is a connection. Without one the rank takes no part in the steps.
func (r *rank) connected(ctx context.Context) bool {
	if r.barrier.conn != nil {
		return true
	}
	if r.barrier.connect(ctx) != nil {
		simulator.Pause(ctx, reconnectPeriod)
		return false
	}
	return true
}

// run runs one step and returns false when the life ended in it.
func (r *rank) run(ctx context.Context, tokens int) bool {
	e := r.engine
	work, allowed := e.beginStep(r.step, tokens)
	// A preparation from step 0 may have arrived after the rank asked for its first step.
	for !allowed && ctx.Err() == nil {
		e.awaitOrder(ctx)
		work, allowed = e.beginStep(r.step, tokens)
	}
	if !simulator.Pause(ctx, work) || !e.sim.AwaitStall(ctx) {
		return false
	}
	e.advance(r.step, work)
	r.step++
	return true
}

// awaitOrder waits for a sign that something changed. Only an order allows a step that the maps forbid.
func (e *engine) awaitOrder(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.wake:
	}
}

// enter agrees to run a step, unless the maps forbid it.
func (e *engine) enter(step identifier.Step) (wireReady, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.maps.enter(step) {
		return wireReady{}, false
	}
	return wireReady{Rank: e.cfg.Group.Rank, Step: uint64(step), Tokens: len(e.running)}, true
}

// beginStep records the step and returns the time that this rank needs for it, unless the maps forbid the step.
func (e *engine) beginStep(step identifier.Step, tokens int) (time.Duration, bool) {
	e.mu.Lock()
	if !e.maps.enter(step) {
		e.mu.Unlock()
		return 0, false
	}
	e.maps.ran = true
	current := e.maps.current
	held := current.byRank[e.cfg.Group.Rank]
	sum := 0.0
	for i, n := range e.popularity.load(current.byRank, held, tokens, step) {
		e.expertTokens[held[i]] += n
		sum += n
	}
	e.mu.Unlock()
	work := e.cfg.StepBase + time.Duration(sum*float64(e.cfg.Group.PerToken)*e.sim.SlowFactor())
	e.sim.RecordStep(simulator.Step{
		Step:       step,
		MapVersion: current.version,
		Micros:     work.Microseconds(),
		Tokens:     int64(sum),
		At:         time.Now(),
	})
	return work, true
}
