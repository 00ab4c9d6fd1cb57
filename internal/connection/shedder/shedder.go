// Package shedder decides which client connections are closed, and which requests are refused, when clients make a process
// hold more connections or memory than it may. It has no I/O and no clock.
package shedder

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ConnectionBytes is what an open connection takes: its goroutine and its buffers.
	ConnectionBytes = 16 << 10
	// RequestBytes is what a request takes besides its head and its body: that of its connection to the upstream, and the
	// buffers of its response.
	RequestBytes = 24 << 10
	// largeHolderBytes is what a connection may hold before it counts as large: an ordinary request with a body of 16 KiB
	// does not. With 96 KiB, many large bodies that began together left no room for small ones. Large ones share largeShare
	// of the memory, so that ordinary requests are served beside any number of them.
	largeHolderBytes = 72 << 10
	largeShare       = 0.75
	// releasePart is the part of a limit that is made free at once, so that the holders are not compared for each request.
	releasePart = 32
	// overshootPart is the part of a limit by which it may be exceeded while connections that were shed are being closed.
	overshootPart = 8
	// minClosing is how many connections may be closing at once in any case. Their descriptors are closed already.
	minClosing = 64
	// idleWeight is the weight of an idle connection whose earlier requests were served: their clients reuse them, and a
	// crowd of connections without a request is closed first.
	idleWeight = 1.0 / 32
	// progressBytes are those of a body after which it has made progress.
	progressBytes = 4 << 10
	// minStall is how long a connection has to have made no progress before it is closed for a large one, and a large body
	// before it is refused for any. Without it, large bodies replace each other faster than their memory is collected (300
	// of 1 MB took 135 MB of 80); with 1 s, uploads of 4 MiB on a busy machine were refused half-way.
	minStall = 2 * time.Second
	// minBlocked is how long a client has to have read nothing of its response before its connection may be closed.
	minBlocked = time.Second
)

// State is what a connection waits for.
type State int32

// The states of a connection.
const (
	// StateNew is a connection without a request so far.
	StateNew State = iota
	// StateIdle is a connection between two requests.
	StateIdle
	// StateHead is a connection on which a part of a head has arrived.
	StateHead
	// StateBody is a connection whose request has a body that has not arrived completely.
	StateBody
	// StateRunning is a connection whose request has arrived. It is only closed if its client does not read the response.
	StateRunning
	// StateRefused is a connection whose request is refused before its body has arrived, to release its memory.
	StateRefused
	// StateShed is a connection that is to be closed.
	StateShed
)

// Limits bound what all connections hold together.
type Limits struct {
	Bytes       int64
	Connections int
}

// Connection is what a Shedder does to a connection. Its methods are called while the Shedder is locked.
type Connection interface {
	// Shed closes the connection for others. It is called at most once.
	Shed()
	// EndReads makes the reads of the body fail, so that the request is answered. They fail for lack of room in
	// StateRefused, and for lack of time in StateBody.
	EndReads()
}

// Counts are the numbers of connections and requests that a Shedder has decided on.
type Counts struct {
	// Shed are connections that were closed, or whose requests were refused, for others.
	Shed int64
	// Refused are connections and requests that there was no room for.
	Refused int64
	// Expired are heads and bodies that did not arrive in time.
	Expired int64
}

// Shedder holds the sum of what the connections of clients take. It is safe for concurrent use.
type Shedder struct {
	limits  Limits
	sum     atomic.Int64
	shed    atomic.Int64
	refused atomic.Int64
	expired atomic.Int64
	mu      sync.Mutex
	holders map[*Holder]struct{}
	// releasing is what the holders in StateRefused and StateShed take.
	releasing int64
	// closing is the number of those in StateShed.
	closing int
}

// New returns a Shedder without connections.
func New(limits Limits) *Shedder {
	return &Shedder{limits: limits, holders: map[*Holder]struct{}{}}
}

// Sum returns the bytes that all connections take.
func (s *Shedder) Sum() int64 {
	return s.sum.Load()
}

// Connections returns the number of open connections.
func (s *Shedder) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.holders)
}

// Counts returns the decisions so far.
func (s *Shedder) Counts() Counts {
	return Counts{Shed: s.shed.Load(), Refused: s.refused.Load(), Expired: s.expired.Load()}
}

// Open returns the holder of a new connection, and false if there is no room for it.
func (s *Shedder) Open(now time.Time, connection Connection) (*Holder, bool) {
	h := &Holder{shedder: s, connection: connection}
	h.since.Store(now.UnixNano())
	s.mu.Lock()
	defer s.mu.Unlock()
	if open := len(s.holders) - s.closing; open >= s.limits.Connections {
		s.release(now, h, 0, 0, open-s.limits.Connections+1+s.limits.Connections/releasePart)
	}
	if len(s.holders)-s.closing >= s.limits.Connections || s.closing >= max(s.limits.Connections/overshootPart, minClosing) {
		s.refused.Add(1)
		return nil, false
	}
	if s.sum.Add(ConnectionBytes) > s.limits.Bytes && !s.makeRoom(now, h, ConnectionBytes) {
		s.sum.Add(-ConnectionBytes)
		s.refused.Add(1)
		return nil, false
	}
	h.held.Store(ConnectionBytes)
	s.holders[h] = struct{}{}
	return h, true
}

// Timeouts bound how long connections wait for heads. Those that are 0 have no bound.
type Timeouts struct {
	// Head is the time from the beginning of a head, or from that of a connection without one, to its end.
	Head time.Duration
	// Idle is the time between two requests.
	Idle time.Duration
}

// of returns the bound of a state, or 0.
func (t Timeouts) of(state State) time.Duration {
	switch state {
	case StateNew, StateHead:
		return t.Head
	case StateIdle:
		return t.Idle
	case StateBody, StateRunning, StateRefused, StateShed:
	}
	return 0
}

// Expire ends the reads of the bodies that should have arrived by now and have not, and closes the connections that have waited
// for a head for too long.
func (s *Shedder) Expire(now time.Time, timeouts Timeouts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for h := range s.holders {
		state := h.State()
		if timeout := timeouts.of(state); timeout > 0 && now.UnixNano()-h.since.Load() > int64(timeout) {
			s.closeWaiting(h, state)
			continue
		}
		if until := h.bodyUntil.Load(); h.State() == StateBody && now.UnixNano() > until {
			if h.bodyUntil.CompareAndSwap(until, math.MaxInt64) {
				s.expired.Add(1)
				h.connection.EndReads()
			}
		}
	}
}

// closeWaiting closes a connection if it still waits for a head. The caller holds mu.
func (s *Shedder) closeWaiting(h *Holder, state State) {
	if !h.state.CompareAndSwap(int32(state), int32(StateShed)) {
		return
	}
	if state == StateHead {
		s.expired.Add(1)
	}
	s.markReleasing(h)
	s.closing++
	h.connection.Shed()
}

// makeRoom sheds connections until the sum, in which bytes for a holder are counted already, is within the limit. It
// reports whether the holder may have them. The caller holds mu.
func (s *Shedder) makeRoom(now time.Time, h *Holder, bytes int64) bool {
	limit, youngest := s.limits.Bytes, time.Duration(0)
	if h.held.Load()+bytes > largeHolderBytes {
		limit, youngest = int64(float64(limit)*largeShare), minStall
	}
	if excess := s.sum.Load() - s.releasing - limit; excess > 0 {
		s.release(now, h, youngest, excess+limit/releasePart, 0)
	}
	sum := s.sum.Load()
	return h.State() < StateRefused && sum-s.releasing <= limit && sum <= limit+s.limits.Bytes/overshootPart
}

// candidate is a connection that may be closed, with its cost.
type candidate struct {
	holder *Holder
	state  State
	cost   float64
}

// release sheds the connections that cost most until some bytes and some connections are released, or until none costs more
// than the one that asks. Those that have been without progress for less than an age remain. The caller holds mu.
func (s *Shedder) release(now time.Time, asker *Holder, age time.Duration, bytes int64, connections int) {
	candidates := make([]candidate, 0, len(s.holders))
	for h := range s.holders {
		state, waited, cost := h.cost(now)
		isFree := state == StateRefused && connections <= 0
		if cost > 0 && !isFree && (waited >= age || h == asker) {
			candidates = append(candidates, candidate{h, state, cost})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		switch {
		case a.cost > b.cost:
			return -1
		case a.cost < b.cost:
			return 1
		}
		return 0
	})
	for _, c := range candidates {
		if bytes <= 0 && connections <= 0 {
			return
		}
		if c.holder == asker {
			// The holder that asks for more is the one to refuse.
			return
		}
		to := StateShed
		if c.state == StateBody && connections <= 0 {
			to = StateRefused
		}
		if !c.holder.state.CompareAndSwap(int32(c.state), int32(to)) {
			continue
		}
		h := c.holder
		bytes -= s.markReleasing(h)
		s.shed.Add(1)
		if to == StateRefused {
			h.connection.EndReads()
			continue
		}
		s.closing++
		connections--
		h.connection.Shed()
	}
}

// markReleasing counts what a holder takes as being released, and returns it. The caller holds mu.
func (s *Shedder) markReleasing(h *Holder) int64 {
	if h.releasing {
		return 0
	}
	h.releasing = true
	h.released = h.held.Load()
	s.releasing += h.released
	return h.released
}

// Holder is what one connection takes. Its methods may be called concurrently, and on nil, which holds nothing and has no
// limit.
type Holder struct {
	shedder    *Shedder
	connection Connection
	held       atomic.Int64
	state      atomic.Int32
	// since is when the state began, and blockedSince when a write began that has not ended, or 0; both are in
	// nanoseconds.
	since        atomic.Int64
	blockedSince atomic.Int64
	// progressAt is when the body last made progress, in nanoseconds.
	progressAt atomic.Int64
	// bodyUntil is when the body has to have arrived, in nanoseconds.
	bodyUntil atomic.Int64
	// unseen are the bytes of the body since its last progress; only its reader uses them.
	unseen int
	// The fields below belong to the Shedder's lock.
	releasing bool
	released  int64
	closed    bool
}

// cost returns the state, how long the connection has been without progress, and what it costs to keep it: its bytes for
// that time. Arrived requests cost nothing unless their clients stop reading.
func (h *Holder) cost(now time.Time) (State, time.Duration, float64) {
	state := State(h.state.Load())
	since, weight := h.since.Load(), 1.0
	switch state {
	case StateShed:
		return state, 0, 0
	case StateRunning:
		since = h.blockedSince.Load()
		if since == 0 || now.UnixNano()-since < int64(minBlocked) {
			return state, 0, 0
		}
	case StateIdle:
		weight = idleWeight
	case StateBody:
		stalled := time.Duration(now.UnixNano() - max(since, h.progressAt.Load()))
		if h.held.Load() > largeHolderBytes && stalled < minStall {
			return state, 0, 0
		}
		age := max(time.Duration(now.UnixNano()-since), time.Millisecond)
		return state, stalled, float64(h.held.Load()) * age.Seconds()
	case StateNew, StateHead, StateRefused:
	}
	age := max(time.Duration(now.UnixNano()-since), time.Millisecond)
	return state, age, weight * float64(h.held.Load()) * age.Seconds()
}

// Enter sets the state, and reports false if the connection is to be closed instead.
func (h *Holder) Enter(now time.Time, state State) bool {
	if h == nil {
		return true
	}
	for {
		old := h.state.Load()
		switch State(old) {
		case StateRefused, StateShed:
			return false
		case state:
			return true
		case StateNew, StateIdle, StateHead, StateBody, StateRunning:
		}
		// A state that is read with the beginning of the next one only looks younger than it is.
		h.since.Store(now.UnixNano())
		if h.state.CompareAndSwap(old, int32(state)) {
			return true
		}
	}
}

// RecordBody records that bytes of the body have arrived. now is only called when that is progress. It is not to be called
// concurrently.
func (h *Holder) RecordBody(now func() time.Time, n int) {
	if h.unseen += n; h.unseen >= progressBytes {
		h.unseen = 0
		h.progressAt.Store(now().UnixNano())
	}
}

// SetBodyUntil sets the time by which the body of the request has to have arrived.
func (h *Holder) SetBodyUntil(until time.Time) {
	if h != nil {
		h.bodyUntil.Store(until.UnixNano())
	}
}

// State returns the state.
func (h *Holder) State() State {
	return State(h.state.Load())
}

// Take adds bytes to what the connection holds. It reports false, and adds nothing, if there is no room for them.
func (h *Holder) Take(now time.Time, bytes int64) bool {
	if h == nil || bytes == 0 {
		return true
	}
	s := h.shedder
	limit := s.limits.Bytes
	if h.held.Load()+bytes > largeHolderBytes {
		limit = int64(float64(limit) * largeShare)
	}
	if s.sum.Add(bytes) > limit {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.makeRoom(now, h, bytes) {
			s.sum.Add(-bytes)
			s.refused.Add(1)
			return false
		}
	}
	h.held.Add(bytes)
	return true
}

// Force adds bytes to what the connection holds even if there is no room for them.
func (h *Holder) Force(bytes int64) {
	if h == nil {
		return
	}
	h.shedder.sum.Add(bytes)
	h.held.Add(bytes)
}

// Return subtracts bytes from what the connection holds.
func (h *Holder) Return(bytes int64) {
	if h == nil {
		return
	}
	h.shedder.sum.Add(-bytes)
	h.held.Add(-bytes)
}

// BeginWrite records that a write to the client begins, and EndWrite that it has ended.
func (h *Holder) BeginWrite(now time.Time) {
	h.blockedSince.Store(now.UnixNano())
}

// EndWrite records that the write has ended.
func (h *Holder) EndWrite() {
	h.blockedSince.Store(0)
}

// Close records that the connection is closed and returns what it holds.
func (h *Holder) Close() {
	s := h.shedder
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	delete(s.holders, h)
	if h.releasing {
		s.releasing -= h.released
	}
	if State(h.state.Swap(int32(StateShed))) == StateShed {
		s.closing--
	}
	s.sum.Add(-h.held.Swap(0))
}
