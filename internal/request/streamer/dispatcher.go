// Package streamer carries requests from an entry to the agents and their answers back. The entry side dispatches,
// re-attaches and resumes; the agent side keeps each answer until the entry has acknowledged it.
package streamer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/connection/pooler"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
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
	// refuseCrashes is the number of crashes after which a request is refused.
	refuseCrashes = 2
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
	// Suspect returns how many upstreams died while they ran a request digest.
	Suspect func(identifier.Digest) int
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

// serve repeats attempts while that is safe.
func (s *session) serve(ctx context.Context) error {
	avoid := map[identifier.Upstream]time.Time{}
	for range maxAttempts {
		match, err := s.acquire(ctx, avoid)
		if err != nil {
			return err
		}
		outcome := s.run(ctx, match)
		if held, ok := outcome.(resultHeld); ok {
			outcome = s.inquire(ctx, held.claim)
		}
		if broken, ok := outcome.(resultBroken); ok && broken.mayHaveRun {
			s.mayHaveRun = true
		}
		if !s.again(outcome) {
			return s.problem(outcome)
		}
		if leaves(outcome) {
			avoid[match.Upstream] = time.Now().Add(avoidFor)
		}
		event := logger.EventRequeued
		if s.headSent {
			event = logger.EventResumed
		}
		s.dispatcher.cfg.Log.Decide(logger.Decision{
			Event: event, Request: s.call.Request, Choice: "anotherAttempt", Reason: reasonOf(outcome),
		})
	}
	return s.exhausted()
}

// again tells whether another attempt is safe and useful.
func (s *session) again(r result) bool {
	switch r := r.(type) {
	case resultRefused:
		return transient(r.reason)
	case resultBroken:
		return s.againAfter(r)
	default:
		return false
	}
}

// againAfter tells whether an attempt that failed after admission may be repeated: never after a possible run of a
// non-idempotent call, and a service call only while the caller has no byte of its answer. A model stream resumes
// after the text that the caller has.
func (s *session) againAfter(r resultBroken) bool {
	if r.crash != "" {
		s.dispatcher.cfg.Crashed(s.call.Digest, r.crash)
	}
	if r.reason == messenger.ReasonMismatch || r.reason == messenger.ReasonDeadline {
		return false
	}
	if s.call.Target.Kind == messenger.TargetModel {
		return true
	}
	return (s.call.Idempotent || !r.mayHaveRun) && s.restart()
}

// transient tells whether a refusal may be overcome by waiting or by another upstream.
func transient(reason messenger.Reason) bool {
	switch reason {
	case messenger.ReasonNoCredit, messenger.ReasonOldIncarnation, messenger.ReasonDraining, messenger.ReasonOverloaded,
		messenger.ReasonUnreachable, messenger.ReasonNotFound, messenger.ReasonWithdrawn:
		return true
	default:
		return false
	}
}

// leaves tells whether the next attempt goes elsewhere for a while. A credit that was revoked in the meantime says
// nothing against the upstream.
func leaves(r result) bool {
	refused, ok := r.(resultRefused)
	return !ok || (refused.reason != messenger.ReasonNoCredit && refused.reason != messenger.ReasonOldIncarnation)
}

func reasonOf(r result) string {
	switch r := r.(type) {
	case resultRefused:
		return string(r.reason)
	case resultBroken:
		return string(r.reason)
	default:
		return "none"
	}
}

// exhausted returns the problem after the last permitted attempt. Attempts go on only while none can have run, or while
// another run does no harm.
func (s *session) exhausted() error {
	return s.refused(messenger.ReasonNoCredit)
}

// acquire waits for a credit. The candidates are ordered again while the request waits.
func (s *session) acquire(ctx context.Context, avoid map[identifier.Upstream]time.Time) (queuer.Match, error) {
	d := s.dispatcher
	granted, ok := d.enter(s.call)
	if !ok {
		return queuer.Match{}, s.refused(messenger.ReasonQueueFull)
	}
	defer d.leave(s.call.Request)
	started := time.Now()
	ticker := time.NewTicker(reorderInterval)
	defer ticker.Stop()
	copied := d.copied(s.call.Digest)
	for {
		if d.cfg.Suspect(s.call.Digest) >= refuseCrashes {
			return queuer.Match{}, s.refused(messenger.ReasonQuarantined)
		}
		choices, inService := d.order(s.call, avoid)
		if err := s.checkWait(started, inService); err != nil {
			return queuer.Match{}, err
		}
		d.enqueue(s.call, choices)
		select {
		case <-ctx.Done():
			return queuer.Match{}, s.expired()
		case match := <-granted:
			d.logRouted(s.call, match, choices)
			return match, nil
		case <-copied:
			copied = nil
		case <-ticker.C:
		}
	}
}

// checkWait refuses a request that has waited for too long or has no upstream.
func (s *session) checkWait(started time.Time, inService int) error {
	now := time.Now()
	if inService == 0 && now.Sub(started) > noUpstreamWait {
		return s.problem(s.waitingFailed(messenger.ReasonNoUpstream))
	}
	if now.After(s.call.WaitUntil) {
		return s.problem(s.waitingFailed(messenger.ReasonWaitedTooLong))
	}
	return nil
}

// waitingFailed is not run, unless an earlier attempt delivered a part of the answer.
func (s *session) waitingFailed(reason messenger.Reason) result {
	if s.headSent {
		return resultBroken{reason: messenger.ReasonAgentLost, mayHaveRun: true}
	}
	return resultRefused{reason: reason}
}

// enter registers a request that is going to wait, unless too many of its customer wait already.
func (d *Dispatcher) enter(call Call) (<-chan queuer.Match, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if call.MaxWaiting > 0 && d.queue.Waiting(call.Customer) >= call.MaxWaiting {
		return nil, false
	}
	granted := make(chan queuer.Match, 1)
	d.waiting[call.Request] = granted
	return granted, true
}

// leave unregisters a request. A credit that it did not take in time goes back.
func (d *Dispatcher) leave(id identifier.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	granted := d.waiting[id]
	delete(d.waiting, id)
	d.queue.Remove(id)
	select {
	case m := <-granted:
		d.giveBack(m)
	default:
	}
	d.notify()
}

func (d *Dispatcher) enqueue(call Call, choices []router.Choice) {
	upstreams := make([]identifier.Upstream, len(choices))
	for i, c := range choices {
		upstreams[i] = c.Upstream
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waiting[call.Request]) > 0 {
		return
	}
	d.deliver(d.queue.Add(time.Now(), queuer.Waiter{
		Request: call.Request, Customer: call.Customer, Candidates: upstreams, Narrow: call.keyed(),
	}))
}

// deliver hands credits to the requests that wait for them.
func (d *Dispatcher) deliver(matches []queuer.Match) {
	for _, m := range matches {
		if granted, ok := d.waiting[m.Request]; ok {
			granted <- m
			continue
		}
		d.giveBack(m)
	}
	d.notify()
}

func (d *Dispatcher) giveBack(m queuer.Match) {
	if sender, ok := d.senders[m.Upstream]; ok {
		sender.returns = append(sender.returns, messenger.ReturnGrant{Serial: m.Serial, Credits: 1})
		sender.wake()
	}
}

// order returns the upstreams to ask without those that have just refused the request, and how many upstreams are in
// service. Upstreams are left out after the choice, so that a refusal does not bring in another one for a copied request.
func (d *Dispatcher) order(call Call, avoid map[identifier.Upstream]time.Time) ([]router.Choice, int) {
	candidates := d.cfg.Candidates(call.Target)
	if len(candidates) == 0 {
		return nil, 0
	}
	now := time.Now()
	var choices []router.Choice
	for _, c := range d.restrict(call, candidates) {
		if until, ok := avoid[c.Upstream]; !ok || now.After(until) {
			choices = append(choices, c)
		}
	}
	return choices, len(candidates)
}

// restrict orders the candidates. Identical model requests keep to few upstreams, the same at all entries, so that one
// that crashes upstreams cannot reach many before the first crash is known.
func (d *Dispatcher) restrict(call Call, candidates []router.Candidate) []router.Choice {
	request := router.Request{Affinity: call.Affinity, Sticky: call.keyed(), Turn: d.turn.Add(1)}
	width := len(candidates)
	if call.Target.Kind == messenger.TargetModel {
		switch {
		case d.cfg.Suspect(call.Digest) > 0:
			request.Sticky, width = true, suspectWidth
		case closed(d.copied(call.Digest)):
			request.Sticky, width = true, copyWidth
		}
	}
	choices := router.Order(d.cfg.Policy, request, candidates)
	return choices[:min(width, len(choices))]
}

func (d *Dispatcher) logRouted(call Call, m queuer.Match, choices []router.Choice) {
	reason := string(router.ReasonLeastLoaded)
	for _, c := range choices {
		if c.Upstream == m.Upstream {
			reason = string(c.Reason)
		}
	}
	d.cfg.Log.Decide(logger.Decision{
		Event: logger.EventRouted, Request: call.Request, Choice: string(m.Upstream), Reason: reason,
	})
}

// sender sends the demand and the returned credits of one link. Each link has its own, so that a slow link does
// not hold up the others.
type sender struct {
	dirty   chan struct{}
	returns []messenger.ReturnGrant
	last    []messenger.CustomerDemand
	sentAt  time.Time
}

// wake lets the sender look for messages.
func (s *sender) wake() {
	select {
	case s.dirty <- struct{}{}:
	default:
	}
}

// notify wakes all senders. The caller holds the lock.
func (d *Dispatcher) notify() {
	for _, s := range d.senders {
		s.wake()
	}
}

// Attend sends demand over a link until it is down or ctx ends. It sleeps while nothing changes: each change of the queue
// wakes all senders, and so does Run at each tick while requests wait. A ticker for each link took most of the processor
// time of an idle entry.
func (d *Dispatcher) Attend(ctx context.Context, link *linker.Link) {
	upstream := link.Peer().Upstream
	s := &sender{dirty: make(chan struct{}, 1)}
	d.mu.Lock()
	d.senders[upstream] = s
	d.mu.Unlock()
	defer d.dismiss(upstream, s)
	for {
		select {
		case <-ctx.Done():
			return
		case <-link.Done():
			return
		case <-s.dirty:
		}
		for _, m := range d.outgoing(upstream, s) {
			if err := link.Send(m); err != nil {
				link.Close("control stream does not accept messages")
				return
			}
		}
	}
}

func (d *Dispatcher) dismiss(upstream identifier.Upstream, s *sender) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.senders[upstream] == s {
		delete(d.senders, upstream)
		d.queue.Drop(upstream)
	}
}

// outgoing returns the messages that bring an agent up to date.
func (d *Dispatcher) outgoing(upstream identifier.Upstream, s *sender) []messenger.Message {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []messenger.Message
	now := time.Now()
	demand := d.queue.DemandOn(now, upstream)
	if !sameDemand(demand, s.last) || (len(demand) > 0 && now.Sub(s.sentAt) > repeatDemand) {
		out = append(out, messenger.Demand{Customers: withZeros(demand, s.last)})
		s.last, s.sentAt = demand, now
	}
	for _, r := range d.queue.Surplus() {
		if other, ok := d.senders[r.Upstream]; ok {
			other.returns = append(other.returns, r.Return)
			other.wake()
		}
	}
	for _, r := range s.returns {
		out = append(out, r)
	}
	s.returns = nil
	return out
}

// withZeros adds the customers that no longer wait, since an agent keeps the number of those that are not listed.
func withZeros(demand, last []messenger.CustomerDemand) []messenger.CustomerDemand {
	listed := make(map[identifier.Customer]bool, len(demand))
	for _, c := range demand {
		listed[c.Customer] = true
	}
	out := append([]messenger.CustomerDemand(nil), demand...)
	for _, c := range last {
		if !listed[c.Customer] {
			out = append(out, messenger.CustomerDemand{Customer: c.Customer})
		}
	}
	return out
}

func sameDemand(a, b []messenger.CustomerDemand) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// Granted takes credits that an agent granted.
func (d *Dispatcher) Granted(upstream identifier.Upstream, g messenger.Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.senders[upstream]; !ok {
		return
	}
	d.deliver(d.queue.Grant(time.Now(), upstream, g))
}
