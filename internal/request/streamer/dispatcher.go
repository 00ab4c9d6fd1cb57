// Package streamer sends requests from an entry to agents and streams their responses back. The entry side dispatches,
// re-attaches and resumes. The agent side keeps each response until the entry has acknowledged it.
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
	// tickInterval is how often waiting requests are matched with the credits of more upstreams and expired credits are
	// dropped.
	tickInterval = 10 * time.Millisecond
	// reorderInterval is how often the upstreams of a waiting request are ordered again, by their current loads and the
	// current configuration.
	reorderInterval = 200 * time.Millisecond
	// demandRepeatInterval is how often unchanged demand is sent again, since its grant may have expired in transit.
	demandRepeatInterval = 250 * time.Millisecond
	// retryDelay separates the tries to re-attach to a response or to inquire about a claim.
	retryDelay = 20 * time.Millisecond
	// retryAfter is the Retry-After of requests that were not run.
	retryAfter = 2 * time.Second
	// avoidDuration is how long a request avoids an upstream that has refused it or on which it failed.
	avoidDuration = 500 * time.Millisecond
	// noUpstreamTimeout is how long a request waits for a first upstream, so that links can be established before it is
	// refused.
	noUpstreamTimeout = 3 * time.Second
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 16
	// duplicateWidth is the number of upstreams that identical model requests may run on at the same time. It bounds the
	// crashes that one request can cause.
	duplicateWidth = 2
	// suspectWidth is the number of upstreams that a request may run on at the same time after it was involved in a crash.
	suspectWidth = 1
)

// ErrCallerGone is returned when the caller has closed its connection.
var ErrCallerGone = errors.New("the caller has closed its connection")

// Call is a request that the entry has accepted.
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
	// Affinity determines the order of the upstreams, see router.Request.
	Affinity identifier.Digest
	// Digest identifies the content of the request, salted by customer.
	Digest identifier.Digest
	// MaxWaiting bounds the customer's waiting requests at this entry.
	MaxWaiting int
	// WaitUntil is the deadline for a credit.
	WaitUntil time.Time
	// Deadline is the deadline for the complete response.
	Deadline time.Time
}

// needsClaim reports whether an agent must claim the call's Idempotency-Key before it runs the call.
func (c Call) needsClaim() bool {
	return c.Target.Kind == messenger.TargetService && !c.Idempotent && c.Key != ""
}

// Sink delivers a response to the caller.
type Sink interface {
	// Head receives the status and header fields, before the first Data.
	Head(status int, headers []messenger.Header) error
	// Data receives the next bytes of the body.
	Data(payload []byte) error
	// Restart discards the buffered part of the response, so that another attempt can deliver it from the beginning. It
	// reports false if a part has been sent to the caller already.
	Restart() bool
}

// Config configures a Dispatcher.
type Config struct {
	Pool *pooler.Pool
	Log  *logger.Logger
	// Candidates returns the upstreams that are in service for a target.
	Candidates func(messenger.Target) []router.Candidate
	// Verdict returns how a request may run, given the crashes of upstreams that ran its digest.
	Verdict func(identifier.Digest) quarantiner.Verdict
	// OnCrash is called when an upstream has crashed while it ran a request with the digest.
	OnCrash func(identifier.Digest, identifier.Crash)
	// Policy is the routing policy; router.Balanced by default.
	Policy router.Policy
}

// Dispatcher serves the requests of an entry. It is safe for concurrent use.
type Dispatcher struct {
	cfg Config
	// sequence is the latest router.Request.Sequence.
	sequence atomic.Uint64

	mu    sync.Mutex
	queue *queuer.Queuer
	// waiting holds the channel on which each waiting request receives its credit.
	waiting map[identifier.Request]chan queuer.Match
	senders map[identifier.Upstream]*sender
	// openByDigest holds the open requests of each digest.
	openByDigest map[identifier.Digest]*openRequests
	// open is the number of open requests.
	open int
}

// openRequests tracks the open requests of one digest.
type openRequests struct {
	count int
	// duplicated is closed once count exceeds 1, so that the first request restricts its upstreams as well.
	duplicated chan struct{}
}

// New returns a dispatcher without requests.
func New(cfg Config) *Dispatcher {
	if cfg.Policy == nil {
		cfg.Policy = router.Balanced{}
	}
	return &Dispatcher{
		cfg: cfg, queue: queuer.New(), waiting: map[identifier.Request]chan queuer.Match{},
		senders: map[identifier.Upstream]*sender{}, openByDigest: map[identifier.Digest]*openRequests{},
	}
}

// OpenRequests returns the number of open requests, those that Serve has not completed.
func (d *Dispatcher) OpenRequests() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}

// Run matches waiting requests with credits at each tick until ctx ends.
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

// Serve serves a request to its end. It returns nil if the complete response was delivered, a *refuser.Problem to send
// to the caller otherwise, and ErrCallerGone if the caller has closed its connection.
func (d *Dispatcher) Serve(ctx context.Context, call Call, sink Sink) error {
	d.addOpen(call.Digest)
	defer d.removeOpen(call.Digest)
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	s := &session{dispatcher: d, call: call, sink: sink}
	err := s.serve(ctx)
	d.logOutcome(call, err)
	return err
}

// addOpen counts an open request and signals a duplicate.
func (d *Dispatcher) addOpen(digest identifier.Digest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open++
	r, ok := d.openByDigest[digest]
	if !ok {
		r = &openRequests{duplicated: make(chan struct{})}
		d.openByDigest[digest] = r
	}
	r.count++
	if r.count > 1 && !isClosed(r.duplicated) {
		close(r.duplicated)
	}
}

// removeOpen removes an open request from the counts.
func (d *Dispatcher) removeOpen(digest identifier.Digest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
	r := d.openByDigest[digest]
	r.count--
	if r.count == 0 {
		delete(d.openByDigest, digest)
	}
}

// duplicateSignal returns a channel that is closed once at least two requests with a digest are open. It stays closed
// until no request with the digest is open. The caller's own request must be open.
func (d *Dispatcher) duplicateSignal(digest identifier.Digest) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.openByDigest[digest].duplicated
}

// isClosed reports whether a channel on which nothing is sent is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// logOutcome logs the outcome of a request as a decision.
func (d *Dispatcher) logOutcome(call Call, err error) {
	decision := logger.Decision{Event: logger.EventCompleted, Request: call.Request, Choice: "complete", Reason: "answerVerified"}
	var problem *refuser.Problem
	switch {
	case err == nil:
	case errors.As(err, &problem) && problem.Outcome == refuser.OutcomeNotRun:
		decision.Event, decision.Choice, decision.Reason = logger.EventRefused, "notRun", string(problem.Reason)
	case errors.As(err, &problem):
		decision.Event, decision.Choice, decision.Reason = logger.EventOutcomeUnknown, "unknown", string(problem.Reason)
	default:
		decision.Event, decision.Choice, decision.Reason = logger.EventCancelled, "cancelled", "callerGone"
	}
	d.cfg.Log.RecordDecision(decision)
}
