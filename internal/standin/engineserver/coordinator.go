package engineserver

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/standin/simulator"
)

const (
	// idlePeriod spaces the steps of a group that has nothing to do.
	idlePeriod   = 10 * time.Millisecond
	writeTimeout = time.Second
	eventBacklog = 64
	// leavePeriod bounds how long a stopping coordinator waits for the other ranks.
	leavePeriod = 5 * time.Second
	leavePoll   = 20 * time.Millisecond
)

type (
	// wireReady tells that a rank would run a step next.
	wireReady struct {
		Rank int    `json:"rank"`
		Step uint64 `json:"step"`
		// Tokens is the number of tokens that the rank contributes to the step.
		Tokens int `json:"tokens"`
	}
	// wireTurn answers wireReady. A rank runs the step with Run; otherwise it asks again for Step.
	wireTurn struct {
		Run  bool   `json:"run"`
		Step uint64 `json:"step"`
		// Tokens is the number of tokens of all ranks in the step.
		Tokens int `json:"tokens"`
	}
)

// member is the connection of one rank.
type member struct {
	conn  net.Conn
	ready *wireReady
	// joined is set once the rank takes part in the steps.
	joined bool
}

func (m *member) send(turn wireTurn) {
	m.ready = nil
	// A failure shows at the reader of the connection, which reports that the rank left.
	_ = m.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := json.NewEncoder(m.conn).Encode(turn); err != nil {
		m.conn.Close()
	}
}

type memberEvent struct {
	member *member
	// ready is nil when the rank left.
	ready *wireReady
}

// coordinator is the barrier of a group. A rank whose connection ends leaves the steps; one that returns takes part
// again from the step that the group has reached. A rank that stalls stalls the group. The barrier does not compare
// expert maps, so that a step with different maps shows in the records of the ranks.
type coordinator struct {
	listener net.Listener
	size     int
	events   chan memberEvent
	members  map[*member]bool
	step     identifier.Step
	// connections counts the open connections of ranks.
	connections atomic.Int64
	// formed is set after the first step, for which all ranks must be present.
	formed bool
}

func newCoordinator(address string, size int) (*coordinator, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the ranks of the group")
	}
	return &coordinator{
		listener: listener,
		size:     size,
		events:   make(chan memberEvent, eventBacklog),
		members:  map[*member]bool{},
		step:     1,
	}, nil
}

// run serves the group until the context ends.
func (c *coordinator) run(ctx context.Context) {
	// A second close is the only failure, and harmless.
	defer func() { _ = c.listener.Close() }()
	go c.accept(ctx)
	for {
		select {
		case <-ctx.Done():
			for m := range c.members {
				m.conn.Close()
			}
			return
		case e := <-c.events:
			c.take(e)
			c.evaluate(ctx)
		}
	}
}

// awaitLeave waits for the other ranks to leave, because they cannot finish their requests without a coordinator.
func (c *coordinator) awaitLeave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leavePeriod)
	defer cancel()
	for c.connections.Load() > 0 && simulator.Pause(ctx, leavePoll) {
	}
}

func (c *coordinator) accept(ctx context.Context) {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.read(ctx, &member{conn: conn})
	}
}

func (c *coordinator) read(ctx context.Context, m *member) {
	c.connections.Add(1)
	defer c.connections.Add(-1)
	defer m.conn.Close()
	stop := context.AfterFunc(ctx, func() { m.conn.Close() })
	defer stop()
	decoder := json.NewDecoder(m.conn)
	for {
		var ready wireReady
		event := memberEvent{member: m, ready: &ready}
		err := decoder.Decode(&ready)
		if err != nil {
			event.ready = nil
		}
		select {
		case c.events <- event:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

func (c *coordinator) take(e memberEvent) {
	if e.ready == nil {
		delete(c.members, e.member)
		return
	}
	c.members[e.member] = true
	e.member.ready = e.ready
}

// evaluate starts the next step if all ranks that take part are ready.
func (c *coordinator) evaluate(ctx context.Context) {
	var joined, present []*member
	for m := range c.members {
		if m.joined {
			joined = append(joined, m)
		}
		if m.ready != nil {
			present = append(present, m)
		}
	}
	for _, m := range joined {
		if m.ready == nil {
			return
		}
	}
	if len(joined) == 0 {
		if len(present) == 0 || (!c.formed && len(present) < c.size) {
			return
		}
		joined = present
	}
	c.catchUp(joined)
	c.release(ctx, present)
}

// catchUp continues from the highest step of the ranks, which a coordinator that was restarted does not know.
func (c *coordinator) catchUp(joined []*member) {
	for _, m := range joined {
		c.step = max(c.step, identifier.Step(m.ready.Step))
	}
}

// release lets ranks run the step. Ranks that would run another step are told the step after it.
func (c *coordinator) release(ctx context.Context, present []*member) {
	var running, held []*member
	tokens := 0
	for _, m := range present {
		if m.ready.Step != uint64(c.step) {
			held = append(held, m)
			continue
		}
		running = append(running, m)
		tokens += m.ready.Tokens
	}
	if len(running) == 0 {
		for _, m := range held {
			m.send(wireTurn{Step: uint64(c.step)})
		}
		return
	}
	if tokens == 0 && !simulator.Pause(ctx, idlePeriod) {
		return
	}
	for _, m := range running {
		m.joined = true
		m.send(wireTurn{Run: true, Step: uint64(c.step), Tokens: tokens})
	}
	c.formed = true
	c.step++
	for _, m := range held {
		m.send(wireTurn{Step: uint64(c.step)})
	}
}
