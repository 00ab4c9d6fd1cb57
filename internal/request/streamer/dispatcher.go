// Package streamer carries requests from an entry to the agents and their answers back. The entry side dispatches,
// re-attaches and resumes; the agent side keeps each answer until the entry has acknowledged it.
package streamer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/connection/pooler"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/request/quarantiner"
	"currantledge.example/currantledge/internal/request/queuer"
	"currantledge.example/currantledge/internal/request/refuser"
	"currantledge.example/currantledge/internal/request/router"
)

const (
	// tickInterval is how often waiting requests widen their search and credits expire.
	tickInterval = 10 * time.Millisecond
	// reorderInterval is how often a waiting request sees new upstreams, loads and configuration.
	reorderInterval = 200 * time.Millisecond
	// repeatDemand renews demand whose grant expired on the way.
	repeatDemand = 250 * time.Millisecond
	retryPause   = 20 * time.Millisecond
	retryAfter   = 2 * time.Second
	// avoidFor keeps a request from an upstream that has just refused it.
	avoidFor = 500 * time.Millisecond
	// noUpstreamWait lets links come up before a request is refused for want of an upstream.
	noUpstreamWait = 3 * time.Second
	maxAttempts    = 16
	// copyWidth is the number of upstreams that identical model requests may run on at the same time. It is the number
	// of crashes that one request may cost.
	copyWidth = 2
	// suspectWidth is the number of upstreams that a request may run on after it took part in a crash.
	suspectWidth = 1
)

// ErrCallerGone tells that the caller closed its connection.
var ErrCallerGone = errors.New("the caller is gone")

// Call is a request as the entry has accepted it.
type Call struct {
	Request    identifier.Request
	Customer   identifier.Customer
	Target     messenger.Target
	Method     string
	Path       string
	Headers    []messenger.Header
	Body       []byte
	Key        identifier.Key
	Idempotent bool
	Priority   identifier.Priority
	MaxTokens  identifier.Tokens
	// Affinity orders the upstreams, see router.Request.
	Affinity identifier.Digest
	Digest   identifier.Digest
	// MaxWaiting bounds the customer's waiting requests at this entry.
	MaxWaiting int
	// WaitUntil bounds the time in the queue, Deadline the whole request.
	WaitUntil time.Time
	Deadline  time.Time
}

// keyed tells whether the call needs a claim.
func (c Call) keyed() bool {
	return c.Target.Kind == messenger.TargetService && !c.Idempotent && c.Key != ""
}

// Sink takes an answer on its way to the caller.
type Sink interface {
	Head(status int, headers []messenger.Header) error
	Data(payload []byte) error
	// Restart discards what has not reached the caller and reports false if any byte has.
	Restart() bool
}

// Config holds what a dispatcher needs.
type Config struct {
	Pool *pooler.Pool
	Log  *logger.Logger
	// Candidates returns the upstreams in force for a target.
	Candidates func(messenger.Target) []router.Candidate
	// Verdict tells how a request may run after upstreams died while they ran its digest.
	Verdict func(identifier.Digest) quarantiner.Verdict
	// Crashed records that an upstream died while it ran a request digest.
	Crashed func(identifier.Digest, identifier.Crash)
	Policy  router.Policy
}

// Dispatcher serves requests at an entry.
type Dispatcher struct {
	cfg  Config
	turn atomic.Uint64

	mu      sync.Mutex
	queue   *queuer.Queuer
	waiting map[identifier.Request]chan queuer.Match
	senders map[identifier.Upstream]*sender
	// copies counts the open requests of each digest.
	copies map[identifier.Digest]*copies
	open   int
}

// copies are the open requests of one digest.
type copies struct {
	count int
	// second is closed when there is more than one, so that the first restricts its search as well.
	second chan struct{}
}

// New returns a dispatcher.
func New(cfg Config) *Dispatcher {
	if cfg.Policy == nil {
		cfg.Policy = router.Balanced{}
	}
	return &Dispatcher{
		cfg: cfg, queue: queuer.New(), waiting: map[identifier.Request]chan queuer.Match{},
		senders: map[identifier.Upstream]*sender{}, copies: map[identifier.Digest]*copies{},
	}
}

// Open returns the number of requests that are being served.
func (d *Dispatcher) Open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}

// Run moves waiting requests on until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			d.mu.Lock()
			if len(d.waiting) > 0 {
				d.deliver(d.queue.Tick(now))
			}
			d.mu.Unlock()
		}
	}
}

// Serve serves a request to its end. It returns nil if the whole answer was delivered, a *refuser.Problem if the
// caller must be told why not, and ErrCallerGone if nobody waits for the answer any more.
func (d *Dispatcher) Serve(ctx context.Context, call Call, sink Sink) error {
	d.begin(call.Digest)
	defer d.end(call.Digest)
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	s := &session{dispatcher: d, call: call, sink: sink}
	err := s.serve(ctx)
	d.logOutcome(call, err)
	return err
}

func (d *Dispatcher) begin(digest identifier.Digest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open++
	c, ok := d.copies[digest]
	if !ok {
		c = &copies{second: make(chan struct{})}
		d.copies[digest] = c
	}
	c.count++
	if c.count > 1 && !closed(c.second) {
		close(c.second)
	}
}

func (d *Dispatcher) end(digest identifier.Digest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
	c := d.copies[digest]
	c.count--
	if c.count == 0 {
		delete(d.copies, digest)
	}
}

// copied returns a channel that is closed once the digest has or had a second open request.
func (d *Dispatcher) copied(digest identifier.Digest) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.copies[digest].second
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (d *Dispatcher) logOutcome(call Call, err error) {
	decision := logger.Decision{Event: logger.EventCompleted, Request: call.Request, Choice: "complete", Reason: "answerVerified"}
	var problem *refuser.Problem
	switch {
	case err == nil:
	case errors.As(err, &problem) && problem.Outcome == refuser.OutcomeNotRun:
		decision.Event, decision.Choice, decision.Reason = logger.EventRefused, "notRun", string(problem.Reason)
	case errors.As(err, &problem):
		decision.Event, decision.Choice, decision.Reason = logger.EventUnknown, "unknown", string(problem.Reason)
	default:
		decision.Event, decision.Choice, decision.Reason = logger.EventCancelled, "cancelled", "callerGone"
	}
	d.cfg.Log.Decide(decision)
}
