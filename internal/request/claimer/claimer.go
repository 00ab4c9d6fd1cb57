// Package claimer makes calls with an Idempotency-Key run at most once in the whole fleet. An agent claims the key in
// the platform's table before it calls the upstream, and records the response afterwards.
//
// The claimer never acts on a plain read, which may be stale. It learns of a row only from the conflict that the table
// reports for a conditional write, and it resolves a write whose response was lost by repeating it under the same
// condition. Rows are never deleted, so that a version is never used twice and a late write cannot take effect.
//
// Only the incarnation that is named in a claimed row may start the call or give the row up. Within a process, each key
// has one slot, so that claiming, running, recording and resolving exclude each other.
package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	defaultWait       = 2 * time.Second
	defaultBatchDelay = 5 * time.Millisecond
	inlineBytes       = 64 << 10
)

// ErrClosed is returned after Close.
var ErrClosed = errors.New("the claimer is closed; send the request to another agent")

// ErrNotClaimed is returned by Record and Release for a call that does not hold its claim.
var ErrNotClaimed = errors.New("the call holds no claim; call Claim first and go on only after Won")

// Config sets up a Claimer.
type Config struct {
	Table       Table
	Objects     Objects
	Node        identifier.Node
	Incarnation identifier.Incarnation
	// Wait bounds Claim and Resolve; 2 s by default.
	Wait time.Duration
	// BatchDelay is how long a claim waits for others to share its transaction; 5 ms by default.
	BatchDelay time.Duration
	// Clock returns the current time; time.Now by default.
	Clock func() time.Time
}

// Call identifies a keyed call.
type Call struct {
	Customer identifier.Customer
	Key      identifier.Key
	Request  identifier.Request
	Attempt  identifier.Attempt
	// Digest stands in for the request's content.
	Digest identifier.Digest
}

// Answer is the response to a call.
type Answer struct {
	Status  int
	Headers []messenger.Header
	Body    []byte
}

// Verdict is the outcome of Claim: Won, Held, Recorded, Mismatch or Unsure.
type Verdict interface{ verdict() }

type (
	// Won permits the call to start, exactly once.
	Won struct{}
	// Held tells which incarnation holds the claim. The call must not start.
	Held struct {
		Node        identifier.Node
		Incarnation identifier.Incarnation
	}
	// Recorded carries the response of the call that ran.
	Recorded struct{ Answer Answer }
	// Mismatch tells that the key belongs to a request with another digest.
	Mismatch struct{}
	// Unsure tells that the table did not answer in time. This attempt has not started and never will.
	Unsure struct {
		Cause error
		// MayHaveRun is set when an earlier attempt has run but its recorded response cannot be read.
		MayHaveRun bool
	}
)

func (Won) verdict()      {}
func (Held) verdict()     {}
func (Recorded) verdict() {}
func (Mismatch) verdict() {}
func (Unsure) verdict()   {}

// Resolution is the outcome of Resolve: Running, Answered, NeverStarted or Unresolved.
type Resolution interface{ resolution() }

type (
	// Running names the attempt that runs here.
	Running struct {
		Request identifier.Request
		Attempt identifier.Attempt
	}
	// Answered carries the response of the call that ran.
	Answered struct{ Answer Answer }
	// NeverStarted tells that this incarnation has not started the call and that its claim, if any, is given up.
	NeverStarted struct{}
	// Unresolved tells that the outcome is not known yet; ask again.
	Unresolved struct{ Cause error }
)

func (Running) resolution()      {}
func (Answered) resolution()     {}
func (NeverStarted) resolution() {}
func (Unresolved) resolution()   {}

type phase int

const (
	// phaseBusy excludes every other use of the key while a claim, a resolution or a release is under way.
	phaseBusy phase = iota
	phaseRunning
	phaseAnswered
)

type slot struct {
	phase   phase
	call    Call
	serial  uint64
	version uint64
	answer  Answer
	// changed is closed when a busy slot becomes running or free.
	changed chan struct{}
}

// Claimer owns the claims of one agent incarnation. It is safe for concurrent use.
type Claimer struct {
	cfg     Config
	batcher *batcher
	ctx     context.Context
	cancel  context.CancelFunc
	work    sync.WaitGroup

	mu     sync.Mutex
	serial uint64
	slots  map[string]*slot
}

// New returns a Claimer without claims.
func New(cfg Config) *Claimer {
	if cfg.Wait <= 0 {
		cfg.Wait = defaultWait
	}
	if cfg.BatchDelay <= 0 {
		cfg.BatchDelay = defaultBatchDelay
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Claimer{
		cfg:     cfg,
		batcher: newBatcher(ctx, cfg.Table, cfg.BatchDelay, cfg.Wait),
		ctx:     ctx,
		cancel:  cancel,
		slots:   map[string]*slot{},
	}
}

// Close stops the work in the background. Responses that are not recorded by then are lost.
func (c *Claimer) Close() {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	c.work.Wait()
	c.batcher.wait()
}

// Claim decides whether the call may start. After Won the caller must call Record or Release. An error comes only with
// Unsure, when ctx ended or the claimer is closed.
func (c *Claimer) Claim(ctx context.Context, k Call) (Verdict, error) {
	bounded, cancel := context.WithTimeout(ctx, c.cfg.Wait)
	defer cancel()
	key := rowKey(k.Customer, k.Key)
	s, verdict := c.acquire(bounded, key, k)
	if verdict != nil {
		return verdict, c.unsureError(ctx, verdict)
	}
	m := &claimMachine{self: c.self(s.serial), key: key, call: k, at: c.cfg.Clock()}
	if err := c.batcher.run(bounded, m); err != nil {
		c.free(key)
		verdict = Unsure{Cause: err}
		return verdict, c.unsureError(ctx, verdict)
	}
	if m.won {
		c.start(key, m.version)
		return Won{}, nil
	}
	c.free(key)
	return c.loadVerdict(bounded, m), nil
}

// Record stores the response of a call that has run. It keeps trying in the background until the table answers; until
// then the response stays in memory and Claim and Resolve find it there, also after ctx has ended.
func (c *Claimer) Record(ctx context.Context, k Call, a Answer) error {
	key := rowKey(k.Customer, k.Key)
	s, err := c.leaveRunning(key, k, phaseAnswered, a)
	if err != nil {
		return err
	}
	return c.background(ctx, func() error {
		row, err := c.storeBody(key, s, a)
		if err != nil {
			return err
		}
		m := &settleMachine{self: c.self(s.serial), key: key, version: s.version, row: row}
		err = c.batcher.run(c.ctx, m)
		return c.settled(key, m, err)
	})
}

// Release gives up the claim of a call that has not started, so that it may be claimed anew. Like Record it keeps
// trying in the background.
func (c *Claimer) Release(ctx context.Context, k Call) error {
	key := rowKey(k.Customer, k.Key)
	s, err := c.leaveRunning(key, k, phaseBusy, Answer{})
	if err != nil {
		return err
	}
	return c.background(ctx, func() error {
		row := c.self(s.serial).row(stateNeverStarted, k, c.cfg.Clock())
		m := &settleMachine{self: c.self(s.serial), key: key, version: s.version, row: row}
		err := c.batcher.run(c.ctx, m)
		return c.settled(key, m, err)
	})
}

// Resolve answers an Inquire for a key that a row shows as claimed by this incarnation. It waits for the table, at most
// the time Wait, when the key is not in memory.
func (c *Claimer) Resolve(customer identifier.Customer, key identifier.Key) Resolution {
	ctx, cancel := context.WithTimeout(c.ctx, c.cfg.Wait)
	defer cancel()
	name := rowKey(customer, key)
	s, found := c.reserve(name, Call{Customer: customer, Key: key})
	if found {
		return s.resolution()
	}
	defer c.free(name)
	m := &resolveMachine{self: c.self(s.serial), key: name, at: c.cfg.Clock()}
	if err := c.batcher.run(ctx, m); err != nil {
		return Unresolved{Cause: err}
	}
	if m.err != nil {
		return Unresolved{Cause: m.err}
	}
	if m.completed == nil {
		return NeverStarted{}
	}
	answer, err := c.loadAnswer(ctx, *m.completed)
	if err != nil {
		return Unresolved{Cause: err}
	}
	return Answered{Answer: answer}
}

func (s slot) resolution() Resolution {
	switch s.phase {
	case phaseRunning:
		return Running{Request: s.call.Request, Attempt: s.call.Attempt}
	case phaseAnswered:
		return Answered{Answer: s.answer}
	case phaseBusy:
	}
	return Unresolved{}
}

func (c *Claimer) self(serial uint64) owner {
	return owner{node: c.cfg.Node, incarnation: c.cfg.Incarnation, serial: serial}
}

func (c *Claimer) unsureError(ctx context.Context, v Verdict) error {
	if _, unsure := v.(Unsure); !unsure {
		return nil
	}
	if c.ctx.Err() != nil {
		return ErrClosed
	}
	return ctx.Err()
}

// acquire reserves the slot of a key, or returns the verdict that the slot in use gives.
func (c *Claimer) acquire(ctx context.Context, key string, k Call) (slot, Verdict) {
	for {
		s, found := c.reserve(key, k)
		if !found {
			return s, nil
		}
		if s.phase != phaseBusy {
			return s, c.occupied(s, k)
		}
		select {
		case <-s.changed:
		case <-ctx.Done():
			return s, Unsure{Cause: ctx.Err()}
		case <-c.ctx.Done():
			return s, Unsure{Cause: ErrClosed}
		}
	}
}

func (c *Claimer) occupied(s slot, k Call) Verdict {
	if s.call.Digest != k.Digest {
		return Mismatch{}
	}
	if s.phase == phaseAnswered {
		return Recorded{Answer: s.answer}
	}
	return Held{Node: c.cfg.Node, Incarnation: c.cfg.Incarnation}
}

// reserve makes the slot of a free key busy, or returns a copy of the slot in use.
func (c *Claimer) reserve(key string, k Call) (slot, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if used, found := c.slots[key]; found {
		return *used, true
	}
	c.serial++
	s := &slot{call: k, serial: c.serial, changed: make(chan struct{})}
	c.slots[key] = s
	return *s, false
}

func (c *Claimer) start(key string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.slots[key]
	s.phase = phaseRunning
	s.version = version
	close(s.changed)
}

// leaveRunning moves the slot of a running call to another phase. After success the caller must call background.
func (c *Claimer) leaveRunning(key string, k Call, to phase, a Answer) (slot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return slot{}, ErrClosed
	}
	s, found := c.slots[key]
	if !found || s.phase != phaseRunning || s.call != k {
		return slot{}, ErrNotClaimed
	}
	// Close waits for this count, and it is raised under the lock so that none can be added after Close.
	c.work.Add(1)
	s.phase = to
	s.answer = a
	s.changed = make(chan struct{})
	return *s, nil
}

func (c *Claimer) free(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.slots[key].changed)
	delete(c.slots, key)
}

// settled frees the slot once the table holds the final row. After an error the slot stays, since the row may still
// show a claim that only this process can explain.
func (c *Claimer) settled(key string, m *settleMachine, err error) error {
	if err != nil {
		return err
	}
	c.free(key)
	return m.err
}

// background runs f to its end and waits for it as long as ctx lasts.
func (c *Claimer) background(ctx context.Context, f func() error) error {
	done := make(chan error, 1)
	go func() {
		defer c.work.Done()
		done <- f()
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
