// Package claimer ensures that a call with an Idempotency-Key runs at most once in the fleet. An agent claims the key in
// the platform's table before it calls the upstream, and records the response afterwards.
//
// The claimer never relies on plain reads, which may be stale. It receives the content of a row only with the conflict
// that the table reports for a conditional write, and it resolves a write whose response was lost by repeating it under
// the same condition. The claimer never deletes a row, so that no version is used twice and no delayed write takes
// effect.
//
// Only the incarnation that is named in a claimed row may start the call or release the claim. Within a process, each
// key has at most one state in memory, so that claiming, running, recording and resolving exclude each other.
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
	// maxInlineBytes is the size of the largest body that is stored in the row. Larger ones go to the object store.
	maxInlineBytes = 64 << 10
)

// ErrClosed is returned after Close.
var ErrClosed = errors.New("the claimer is closed; send the request to another agent")

// ErrNotClaimed is returned by Record and Release for a call that does not hold its claim.
var ErrNotClaimed = errors.New("the call holds no claim; call Claim first and go on only after Won")

// Config configures a Claimer.
type Config struct {
	Table       Table
	Objects     Objects
	Node        identifier.Node
	Incarnation identifier.Incarnation
	// Wait bounds Claim and Resolve; 2 s by default.
	Wait time.Duration
	// BatchDelay is how long a write waits for others to share its transaction; 5 ms by default.
	BatchDelay time.Duration
	// Clock returns the current time; time.Now by default.
	Clock func() time.Time
}

// Call identifies an attempt of a call with an Idempotency-Key.
type Call struct {
	Customer identifier.Customer
	Key      identifier.Key
	Request  identifier.Request
	Attempt  identifier.Attempt
	// Digest identifies the content of the request.
	Digest identifier.Digest
}

// Response is the upstream's HTTP response to a call.
type Response struct {
	Status  int
	Headers []messenger.Header
	Body    []byte
}

// Result is the outcome of Claim: Won, Held, Recorded, KeyReused or ClaimUnknown.
type Result interface{ result() }

type (
	// Won permits the call to start, exactly once.
	Won struct{}
	// Held names the incarnation that holds the claim. The call must not start.
	Held struct {
		Node        identifier.Node
		Incarnation identifier.Incarnation
	}
	// Recorded carries the response of the earlier call that ran.
	Recorded struct{ Response Response }
	// KeyReused means that the key belongs to a request with another digest.
	KeyReused struct{}
	// ClaimUnknown means that the outcome of the claim could not be determined. This attempt must not start.
	ClaimUnknown struct {
		Cause error
		// MayHaveRun is set when an earlier attempt may have run, but its row or its recorded response cannot be read.
		MayHaveRun bool
	}
)

func (Won) result()          {}
func (Held) result()         {}
func (Recorded) result()     {}
func (KeyReused) result()    {}
func (ClaimUnknown) result() {}

// Resolution is the outcome of Resolve: Running, Completed, NeverStarted or Unresolved.
type Resolution interface{ resolution() }

type (
	// Running names the attempt that runs in this process.
	Running struct {
		Request identifier.Request
		Attempt identifier.Attempt
	}
	// Completed carries the response of the call that ran.
	Completed struct{ Response Response }
	// NeverStarted means that this incarnation has not started the call and that its claim, if any, is released.
	NeverStarted struct{}
	// Unresolved means that the outcome is not known yet. Resolve may be called again.
	Unresolved struct{ Cause error }
)

func (Running) resolution()      {}
func (Completed) resolution()    {}
func (NeverStarted) resolution() {}
func (Unresolved) resolution()   {}

// phase is the stage of a key that is in use by this process.
type phase int

const (
	// phasePending excludes every other use of the key while a claim, a resolution or a release is in progress.
	phasePending phase = iota
	// phaseRunning means that this process holds the claim and the call may run.
	phaseRunning
	// phaseCompleted means that the call has run and its response is being recorded.
	phaseCompleted
)

// keyState is the in-memory state of a key that is in use by this process. Claimer.mu guards it.
type keyState struct {
	phase    phase
	call     Call
	serial   uint64
	version  uint64
	response Response
	// changed is closed when a pending key becomes running or free.
	changed chan struct{}
}

// Claimer owns the claims of one agent incarnation. It is safe for concurrent use.
type Claimer struct {
	cfg        Config
	batcher    *batcher
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu sync.Mutex
	// serial is the serial of the latest claim or resolution.
	serial uint64
	// keys holds the keys in use, by row key.
	keys map[string]*keyState
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
		keys:    map[string]*keyState{},
	}
}

// Close stops the background work and waits for it to end. Responses that are not recorded by then are lost.
func (c *Claimer) Close() {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	c.goroutines.Wait()
	c.batcher.wait()
}

// Claim claims the key of a call and reports whether the call may start. After Won the caller must call Record or
// Release. It returns an error only with ClaimUnknown, when ctx has ended or the claimer is closed.
func (c *Claimer) Claim(ctx context.Context, k Call) (Result, error) {
	bounded, cancel := context.WithTimeout(ctx, c.cfg.Wait)
	defer cancel()
	key := rowKey(k.Customer, k.Key)
	s, result := c.acquireKey(bounded, key, k)
	if result != nil {
		return result, c.unknownError(ctx, result)
	}
	m := &claimMachine{self: c.ownerFor(s.serial), key: key, call: k, at: c.cfg.Clock()}
	if err := c.batcher.run(bounded, m); err != nil {
		c.freeKey(key)
		result = ClaimUnknown{Cause: err}
		return result, c.unknownError(ctx, result)
	}
	if m.won {
		c.markRunning(key, m.version)
		return Won{}, nil
	}
	c.freeKey(key)
	return c.loadResult(bounded, m), nil
}

// Record stores the response of a call that has run. It retries in the background until the response is stored, also
// after ctx has ended. Until then Claim and Resolve find the response in memory. It returns ErrNotClaimed if the call
// holds no claim, ErrClaimLost if another writer has changed the row, and the error of ctx if ctx ends first.
func (c *Claimer) Record(ctx context.Context, k Call, r Response) error {
	key := rowKey(k.Customer, k.Key)
	s, err := c.leaveRunning(key, k, phaseCompleted, r)
	if err != nil {
		return err
	}
	return c.runInBackground(ctx, func() error {
		final, err := c.storeBody(key, s, r)
		if err != nil {
			return err
		}
		m := &finalizeMachine{self: c.ownerFor(s.serial), key: key, version: s.version, final: final}
		err = c.batcher.run(c.ctx, m)
		return c.freeFinalizedKey(key, m, err)
	})
}

// Release releases the claim of a call that has not started, so that the key may be claimed again. Like Record, it
// retries in the background.
func (c *Claimer) Release(ctx context.Context, k Call) error {
	key := rowKey(k.Customer, k.Key)
	s, err := c.leaveRunning(key, k, phasePending, Response{})
	if err != nil {
		return err
	}
	return c.runInBackground(ctx, func() error {
		final := c.ownerFor(s.serial).record(stateNeverStarted, k, c.cfg.Clock())
		m := &finalizeMachine{self: c.ownerFor(s.serial), key: key, version: s.version, final: final}
		err := c.batcher.run(c.ctx, m)
		return c.freeFinalizedKey(key, m, err)
	})
}

// Resolve returns the outcome of a call whose row names this incarnation as the holder of the claim, for the response to
// an Inquire message. If the key is not in memory, it releases the claim in the table, unless the call is recorded
// there, and waits for the table for at most Config.Wait.
func (c *Claimer) Resolve(customer identifier.Customer, key identifier.Key) Resolution {
	ctx, cancel := context.WithTimeout(c.ctx, c.cfg.Wait)
	defer cancel()
	row := rowKey(customer, key)
	s, found := c.reserveKey(row, Call{Customer: customer, Key: key})
	if found {
		return s.resolution()
	}
	defer c.freeKey(row)
	m := &resolveMachine{self: c.ownerFor(s.serial), key: row, at: c.cfg.Clock()}
	if err := c.batcher.run(ctx, m); err != nil {
		return Unresolved{Cause: err}
	}
	if m.err != nil {
		return Unresolved{Cause: m.err}
	}
	if m.completed == nil {
		return NeverStarted{}
	}
	response, err := c.loadResponse(ctx, *m.completed)
	if err != nil {
		return Unresolved{Cause: err}
	}
	return Completed{Response: response}
}

// resolution returns the result of Resolve for a key that is in use by this process.
func (s keyState) resolution() Resolution {
	switch s.phase {
	case phaseRunning:
		return Running{Request: s.call.Request, Attempt: s.call.Attempt}
	case phaseCompleted:
		return Completed{Response: s.response}
	case phasePending:
	}
	return Unresolved{}
}

func (c *Claimer) ownerFor(serial uint64) owner {
	return owner{node: c.cfg.Node, incarnation: c.cfg.Incarnation, serial: serial}
}

// unknownError returns the error that Claim returns with r: nil, unless r is ClaimUnknown and the claimer is closed or
// ctx has ended.
func (c *Claimer) unknownError(ctx context.Context, r Result) error {
	if _, unknown := r.(ClaimUnknown); !unknown {
		return nil
	}
	if c.ctx.Err() != nil {
		return ErrClosed
	}
	return ctx.Err()
}

// acquireKey reserves a key for a claim. While the key is pending, it waits. If the key is running or completed, it
// returns the result that follows from its state.
func (c *Claimer) acquireKey(ctx context.Context, key string, k Call) (keyState, Result) {
	for {
		s, found := c.reserveKey(key, k)
		if !found {
			return s, nil
		}
		if s.phase != phasePending {
			return s, c.resultInUse(s, k)
		}
		select {
		case <-s.changed:
		case <-ctx.Done():
			return s, ClaimUnknown{Cause: ctx.Err()}
		case <-c.ctx.Done():
			return s, ClaimUnknown{Cause: ErrClosed}
		}
	}
}

// resultInUse returns the result of Claim for a key that is running or completed in this process.
func (c *Claimer) resultInUse(s keyState, k Call) Result {
	if s.call.Digest != k.Digest {
		return KeyReused{}
	}
	if s.phase == phaseCompleted {
		return Recorded{Response: s.response}
	}
	return Held{Node: c.cfg.Node, Incarnation: c.cfg.Incarnation}
}

// reserveKey makes a free key pending and returns false, or returns a copy of the state of a key in use and true.
func (c *Claimer) reserveKey(key string, k Call) (keyState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if inUse, found := c.keys[key]; found {
		return *inUse, true
	}
	c.serial++
	s := &keyState{call: k, serial: c.serial, changed: make(chan struct{})}
	c.keys[key] = s
	return *s, false
}

// markRunning records that the claim of a pending key is won, with the version of its row.
func (c *Claimer) markRunning(key string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.keys[key]
	s.phase = phaseRunning
	s.version = version
	close(s.changed)
}

// leaveRunning moves the key of a running call to another phase. After success the caller must call runInBackground.
func (c *Claimer) leaveRunning(key string, k Call, to phase, r Response) (keyState, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return keyState{}, ErrClosed
	}
	s, found := c.keys[key]
	if !found || s.phase != phaseRunning || s.call != k {
		return keyState{}, ErrNotClaimed
	}
	// Close waits for this counter. It is raised with the lock held, so that no goroutine is added after Close.
	c.goroutines.Add(1)
	s.phase = to
	s.response = r
	s.changed = make(chan struct{})
	return *s, nil
}

// freeKey ends the use of a key by this process.
func (c *Claimer) freeKey(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.keys[key].changed)
	delete(c.keys, key)
}

// freeFinalizedKey frees a key once the table holds its final row, or a row of another writer. If err is not nil, the key
// stays in use, since the row may still show a claim that only this process can resolve.
func (c *Claimer) freeFinalizedKey(key string, m *finalizeMachine, err error) error {
	if err != nil {
		return err
	}
	c.freeKey(key)
	return m.err
}

// runInBackground runs f to its end in a goroutine and waits for it until ctx ends. leaveRunning has counted the
// goroutine.
func (c *Claimer) runInBackground(ctx context.Context, f func() error) error {
	done := make(chan error, 1)
	go func() {
		defer c.goroutines.Done()
		done <- f()
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
