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
	// idleStepPeriod is the pause before each step of a group without running requests.
	idleStepPeriod = 10 * time.Millisecond
	writeTimeout   = time.Second
	eventQueueSize = 64
	// disconnectTimeout bounds how long a stopping coordinator waits for the ranks to disconnect.
	disconnectTimeout    = 5 * time.Second
	disconnectPollPeriod = 20 * time.Millisecond
)

type (
	// wireReady reports that a rank is ready to run a step.
	wireReady struct {
		Rank int    `json:"rank"`
		Step uint64 `json:"step"`
		// Tokens is the number of tokens that the rank contributes to the step.
		Tokens int `json:"tokens"`
	}
	// wireReadyReply is the reply to wireReady. If Run is set, the rank runs the step. Otherwise it sends wireReady for
	// Step, the next step of the group.
	wireReadyReply struct {
		Run  bool   `json:"run"`
		Step uint64 `json:"step"`
		// Tokens is the number of tokens of all ranks in the step.
		Tokens int `json:"tokens"`
	}
)

// member is the connection of one rank.
type member struct {
	conn net.Conn
	// ready is the last message of the rank, or nil after the reply to it.
	ready *wireReady
	// joined is set once the rank has been sent a step to run. From then on the group runs no step without it.
	joined bool
}

func (m *member) send(reply wireReadyReply) {
	m.ready = nil
	// An error also ends the reader of the connection, which reports that the rank has disconnected.
	_ = m.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := json.NewEncoder(m.conn).Encode(reply); err != nil {
		m.conn.Close()
	}
}

// memberEvent is a message of a rank or the end of its connection.
type memberEvent struct {
	member *member
	// ready is nil if the rank has disconnected.
	ready *wireReady
}

// coordinator is the barrier between the steps of a group: a step starts when all ranks of the group are ready for it.
// The group continues without a rank that disconnects; after it reconnects, the rank joins at the group's next step. A
// rank that stalls stalls the group. The coordinator does not compare expert maps, so that a step that ran with
// different maps shows in the records of the ranks.
type coordinator struct {
	listener net.Listener
	size     int
	events   chan memberEvent
	members  map[*member]bool
	// step is the next step of the group.
	step identifier.Step
	// connections counts the open connections of ranks.
	connections atomic.Int64
	// started is set by the first step, which needs all ranks.
	started bool
}

func newCoordinator(address string, size int) (*coordinator, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the ranks of the group")
	}
	return &coordinator{
		listener: listener,
		size:     size,
		events:   make(chan memberEvent, eventQueueSize),
		members:  map[*member]bool{},
		step:     1,
	}, nil
}

// serve coordinates the steps of the group until the context ends.
func (c *coordinator) serve(ctx context.Context) {
	// Close fails only if the listener is already closed.
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
			c.applyEvent(e)
			c.startStepIfReady(ctx)
		}
	}
}

// awaitDisconnect waits until all ranks have disconnected, because they need the coordinator to finish their requests.
func (c *coordinator) awaitDisconnect(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, disconnectTimeout)
	defer cancel()
	for c.connections.Load() > 0 && simulator.Pause(ctx, disconnectPollPeriod) {
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

// read passes the messages of a rank and the end of its connection to serve.
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

func (c *coordinator) applyEvent(e memberEvent) {
	if e.ready == nil {
		delete(c.members, e.member)
		return
	}
	c.members[e.member] = true
	e.member.ready = e.ready
}

// startStepIfReady starts the next step if all joined ranks are ready. If no rank has joined, it starts with all ranks
// that are ready; the first step of the group needs all ranks.
func (c *coordinator) startStepIfReady(ctx context.Context) {
	var joined, readyMembers []*member
	for m := range c.members {
		if m.joined {
			joined = append(joined, m)
		}
		if m.ready != nil {
			readyMembers = append(readyMembers, m)
		}
	}
	for _, m := range joined {
		if m.ready == nil {
			return
		}
	}
	if len(joined) == 0 {
		if len(readyMembers) == 0 || (!c.started && len(readyMembers) < c.size) {
			return
		}
		joined = readyMembers
	}
	c.adoptHighestStep(joined)
	c.startStep(ctx, readyMembers)
}

// adoptHighestStep continues from the highest step of the ranks, which a restarted coordinator does not know.
func (c *coordinator) adoptHighestStep(joined []*member) {
	for _, m := range joined {
		c.step = max(c.step, identifier.Step(m.ready.Step))
	}
}

// startStep lets the ranks that are ready for the next step run it, and replies with the step after it to the others. If
// no rank is ready for the next step, it only replies with that step.
func (c *coordinator) startStep(ctx context.Context, readyMembers []*member) {
	var running, others []*member
	tokens := 0
	for _, m := range readyMembers {
		if m.ready.Step != uint64(c.step) {
			others = append(others, m)
			continue
		}
		running = append(running, m)
		tokens += m.ready.Tokens
	}
	if len(running) == 0 {
		for _, m := range others {
			m.send(wireReadyReply{Step: uint64(c.step)})
		}
		return
	}
	if tokens == 0 && !simulator.Pause(ctx, idleStepPeriod) {
		return
	}
	for _, m := range running {
		m.joined = true
		m.send(wireReadyReply{Run: true, Step: uint64(c.step), Tokens: tokens})
	}
	c.started = true
	c.step++
	for _, m := range others {
		m.send(wireReadyReply{Step: uint64(c.step)})
	}
}
