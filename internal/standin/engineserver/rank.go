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
	// groupVersion is the group's map version as the coordinator last told it.
	groupVersion identifier.MapVersion
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
		ready, ok := e.enter(r.step, r.groupVersion)
		if !ok {
			// Only an order resolves an open preparation.
			select {
			case <-ctx.Done():
			case <-e.wake:
			}
			continue
		}
		turn, err := r.barrier.exchange(ready)
		if err != nil {
			r.barrier.close()
			continue
		}
		if !turn.Run {
			r.step = identifier.Step(turn.Step)
			r.groupVersion = identifier.MapVersion(turn.MapVersion)
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
	r.engine.leaveGroup()
	if r.barrier.connect(ctx) != nil {
		simulator.Pause(ctx, reconnectPeriod)
		return false
	}
	return true
}

// run runs one step and returns false when the engine fell over in it.
func (r *rank) run(ctx context.Context, tokens int) bool {
	e := r.engine
	work := e.beginStep(r.step, tokens)
	if !simulator.Pause(ctx, work) || !e.sim.AwaitStall(ctx) {
		return false
	}
	e.advance(r.step, work)
	r.step++
	return true
}

// enter agrees to run a step with the map in force, unless a preparation forbids it.
func (e *engine) enter(step identifier.Step, groupVersion identifier.MapVersion) (wireReady, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.maps.enter(step, groupVersion) {
		return wireReady{}, false
	}
	return wireReady{
		Rank:       e.cfg.Group.Rank,
		Step:       uint64(step),
		MapVersion: uint64(e.maps.version),
		Tokens:     len(e.running),
	}, true
}

func (e *engine) leaveGroup() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.maps.outside = true
}

// beginStep records the step and returns the time that this rank needs for it.
func (e *engine) beginStep(step identifier.Step, tokens int) time.Duration {
	e.mu.Lock()
	e.maps.outside = false
	held := e.maps.byRank[e.cfg.Group.Rank]
	sum := 0.0
	for i, n := range e.popularity.load(e.maps.byRank, held, tokens, step) {
		e.expertTokens[held[i]] += n
		sum += n
	}
	version := e.maps.version
	e.mu.Unlock()
	work := e.cfg.StepBase + time.Duration(sum*float64(e.cfg.Group.PerToken)*e.sim.SlowFactor())
	e.sim.RecordStep(simulator.Step{
		Step:       step,
		MapVersion: version,
		Micros:     work.Microseconds(),
		Tokens:     int64(sum),
		At:         time.Now(),
	})
	return work
}
