// Package forwarder is the HTTP proxy of a gateway: it authenticates a client's request, obtains an upstream from the
// admitter, forwards the request, retries or resumes it where the route allows that, and returns the upstream's response
// unchanged.
package forwarder

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/accepter"
	"currantledge.example/currantledge/internal/connection/requester"
	"currantledge.example/currantledge/internal/connection/shedder"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/meter"
	"currantledge.example/currantledge/internal/request/admitter"
	"currantledge.example/currantledge/internal/request/budgeter"
	"currantledge.example/currantledge/internal/request/reserver"
	"currantledge.example/currantledge/internal/request/screener"
	"currantledge.example/currantledge/internal/request/workmeter"
	"currantledge.example/currantledge/internal/version/cataloguer"
)

const (
	// defaultDeadline is the deadline of requests without a deadline header.
	defaultDeadline = 30 * time.Second
	// maxDeadline is longer than any client waits. Without it, infinite and very large numbers would overflow time.Duration on
	// some processors.
	maxDeadline = 24 * time.Hour
	// gapTimeoutMargin is the part of the client gap timeout that is reserved for the first event after the grant.
	gapTimeoutMargin = 300 * time.Millisecond
	// serveTimeDivisor sets the time that is reserved for the upstream after the grant: the client's time divided by this
	// number.
	serveTimeDivisor = 4
	// onTimeDivisor sets how long a request may wait and still be on time: the objective divided by this number. The rest
	// of the objective is for the first byte of the response.
	onTimeDivisor = 2
	// responseMargin is reserved before the deadline, so that the gateway's final response still reaches the client.
	responseMargin = 15 * time.Millisecond
	// writeMargin is how long after the deadline, or after the start of a write that begins later, the client has to have
	// read the response.
	writeMargin = 500 * time.Millisecond
	// clientRetryRatio detects client retries: a request that arrives with less time left than this part of its route's
	// timeout counts as one. Clients honour a Retry-After of up to a third of their time.
	clientRetryRatio = 0.75
	// minDeadline is the least remaining time with which a request is sent to an upstream.
	minDeadline = 10 * time.Millisecond
	// defaultRetryAfter is sent if there is no estimate: without a configuration, and without reachable upstreams.
	defaultRetryAfter = 300 * time.Millisecond
	// defaultMemory is the memory for bodies if the Config has none.
	defaultMemory = 32 << 20
	// maxUnsentAttempts limits the attempts of a request that do not reach an upstream.
	maxUnsentAttempts = 6
)

// HeaderNames are the names of the header fields that the gateway exchanges with clients and upstreams.
type HeaderNames struct {
	// RequestID identifies one sending of a request by a client; a client retry has another id. Upstreams echo it.
	RequestID string
	// Deadline holds the time that the client waits, in milliseconds.
	Deadline string
	// Key holds the client's API key.
	Key string
	// Customer names the customer whose request an upstream runs.
	Customer string
	// Upstream names the incarnation that may run the request; any other rejects it.
	Upstream string
	// Weights names the version of the weights that an upstream must have to run the request. Clients set it.
	Weights string
	// Responder and AtFault name, in the response that an upstream is not the expected one, the upstream that responds and
	// the one that the response is about.
	Responder string
	AtFault   string
	// Stamp is the signature of the upstream that ran the request.
	Stamp string
	// NotRun is set in a response if the upstream did not run the request.
	NotRun string
	// Load holds the running and waiting requests and the slots of an upstream, separated by commas.
	Load string
	// Limit holds the requests a second that an upstream takes from all gateways together, while it is limited.
	Limit string
	// Leaving is set in the responses of an upstream that leaves.
	Leaving string
	// LastEvent holds the id of the last event that the client received.
	LastEvent string
	// Priority orders requests at an engine, from 0, which is served first, to 9.
	Priority string
	// Tokens holds the tokens of a request's prompt and the largest number of its response, separated by a comma, and
	// Length the number that the client expects of the response.
	Tokens string
	Length string
}

// Config sets up a Forwarder.
type Config struct {
	Names HeaderNames
	// SharedParts returns the parts of a request's prompt that other requests may have in common with it; none if it is
	// nil.
	SharedParts func(http.Header) []identifier.PromptPart
	// Fleet returns the current configuration and upstreams.
	Fleet    func() cataloguer.Fleet
	Admitter *admitter.Admitter
	Screener *screener.Screener
	// OnCrash is called once the screener has recorded that an upstream crashed before it had answered a request. lasting
	// tells whether gateways that start later have to know of it.
	OnCrash func(lasting bool)
	// OnLimitChange is called once the admitter has recorded that the rate limit of an upstream has changed.
	OnLimitChange func(identifier.Upstream)
	Budgeter      *budgeter.Budgeter
	// Works estimates the work of requests for services with engines. New sets one if it is nil.
	Works     *workmeter.Meter
	Requester *requester.Requester
	// RequestMemory and ResponseMemory bound the bodies of all requests and the buffered responses.
	RequestMemory  *reserver.Reserver
	ResponseMemory *reserver.Reserver
	Log            *logger.Logger
	Meter          *meter.Meter
	// Stopping is closed when the process begins to stop. Responses then close their connections.
	Stopping <-chan struct{}
	// Ending is done shortly before the process exits. Open requests then end: those without a response yet get one that
	// says whether they may have run. Nil means never.
	Ending context.Context
}

// Forwarder is the HTTP handler for clients.
type Forwarder struct {
	cfg Config
	// crashes checks whether upstreams have ended.
	crashes *crashChecker
	// droppedHeaders are the header fields of clients that are not forwarded.
	droppedHeaders map[string]bool
	waitTimes      *meter.Histogram
	firstByteTimes *meter.Histogram
	responseTimes  *meter.Histogram
	longestGaps    *meter.Histogram
}

// New returns a Forwarder.
func New(cfg Config) *Forwarder {
	if cfg.Screener == nil {
		cfg.Screener = screener.New(screener.Config{})
	}
	if cfg.OnCrash == nil {
		cfg.OnCrash = func(bool) {}
	}
	if cfg.OnLimitChange == nil {
		cfg.OnLimitChange = func(identifier.Upstream) {}
	}
	if cfg.Ending == nil {
		cfg.Ending = context.Background()
	}
	if cfg.RequestMemory == nil {
		cfg.RequestMemory = reserver.New(defaultMemory)
	}
	if cfg.ResponseMemory == nil {
		cfg.ResponseMemory = reserver.New(defaultMemory)
	}
	if cfg.Works == nil {
		cfg.Works = workmeter.New()
	}
	if cfg.SharedParts == nil {
		cfg.SharedParts = func(http.Header) []identifier.PromptPart { return nil }
	}
	f := &Forwarder{
		cfg:            cfg,
		crashes:        newCrashChecker(cfg.Requester),
		droppedHeaders: map[string]bool{},
		waitTimes:      cfg.Meter.NewHistogram(meter.GatewayWaitMs),
		firstByteTimes: cfg.Meter.NewHistogram(meter.GatewayFirstByteMs),
		responseTimes:  cfg.Meter.NewHistogram(meter.GatewayAnswerMs),
		longestGaps:    cfg.Meter.NewHistogram(meter.GatewayLongestGapMs),
	}
	cfg.Meter.SetGauge(meter.GatewayTokensExpected, func() int64 { return cfg.Works.Totals().Expected })
	cfg.Meter.SetGauge(meter.GatewayTokensGenerated, func() int64 { return cfg.Works.Totals().Generated })
	// Hop-by-hop fields, and those that the gateway sets itself.
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
		cfg.Names.Deadline, cfg.Names.Key, cfg.Names.Customer, cfg.Names.Upstream, cfg.Names.LastEvent, cfg.Names.Priority,
	} {
		f.droppedHeaders[http.CanonicalHeaderKey(name)] = true
	}
	return f
}

// call is the state of one request of a client.
type call struct {
	id       string
	route    cataloguer.Route
	customer cataloguer.Customer
	service  identifier.Service
	// configVersion is that of the configuration by which the request is served.
	configVersion cataloguer.Version
	arrived       time.Time
	// deadline is when the client's response must be complete.
	deadline time.Time
	// grantUntil and onTimeUntil are the limits of the same name that the admitter gets.
	grantUntil  time.Time
	onTimeUntil time.Time
	body        []byte
	// holder counts what the client's connection takes. It is nil if nothing does.
	holder *shedder.Holder
	// reservations are for the bodies of the request and of the responses to it.
	reservations []*reserver.Reservation
	// prompt is what the screener needs to know of the request.
	prompt screener.Prompt
	// trial is the part of the prompt for which the request is isolated, or empty.
	trial identifier.PromptPart
	// lastEventID is the id of the last event that the client received, or empty.
	lastEventID string
	// expectsWeights is set if the client expects a version of the weights.
	expectsWeights bool
	// resumed is set if the response began with an earlier request of the client.
	resumed bool
	// engine is that of the service, or nil. stated is the size that the client states, and work the estimate for the whole
	// request.
	engine *cataloguer.Engine
	stated workmeter.Stated
	work   workmeter.Work
	// noClientRetry is set if the client is not expected to retry after a refusal: this request is a retry, or its stream
	// has begun.
	noClientRetry bool
	// tried holds the upstreams to which the request was assigned.
	tried map[identifier.Upstream]bool
	// sends counts the attempts that may have reached an upstream, runs those of them that the upstream may have run, and
	// unsent the attempts that reached none.
	sends  int
	runs   int
	unsent int
	// otherWeights counts the upstreams that have rejected the request since they have other weights.
	otherWeights int
	// customerShare is set once the request is refused since its customer exceeds its share.
	customerShare admitter.CustomerShare
	// lastErrorResponse is the latest error response of an upstream, which the client receives if no attempt succeeds.
	lastErrorResponse *response
}

// reserve returns a new reservation that is kept until the request ends.
func (c *call) reserve(from *reserver.Reserver, a reserver.Account) *reserver.Reservation {
	v := from.ReserveFor(a)
	c.reservations = append(c.reservations, &v)
	return &v
}

func (c *call) releaseMemory() {
	for _, v := range c.reservations {
		v.Release()
	}
}

// requestAccount counts the body of a request for the connection of its client.
type requestAccount struct{ holder *shedder.Holder }

func (a requestAccount) Take(n int64) bool { return a.holder.Take(time.Now(), n) }

func (a requestAccount) Return(n int64) { a.holder.Return(n) }

// essentialBytes is the part of each response that is buffered even if there is no room for it: an event of a stream that
// is not complete cannot be forwarded, and the stream would break.
const essentialBytes = 16 << 10

// responseAccount counts what is buffered of a response for the connection of its client.
type responseAccount struct {
	holder *shedder.Holder
	taken  int64
}

func (a *responseAccount) Take(n int64) bool {
	if a.taken+n <= essentialBytes {
		a.holder.Force(n)
	} else if !a.holder.Take(time.Now(), n) {
		return false
	}
	a.taken += n
	return true
}

func (a *responseAccount) Return(n int64) {
	a.taken -= n
	a.holder.Return(n)
}

// ServeHTTP serves one request of a client.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{id: r.Header.Get(f.cfg.Names.RequestID), arrived: time.Now(), tried: map[identifier.Upstream]bool{}}
	c.deadline = c.arrived.Add(defaultDeadline)
	limitWrites(w, c)
	f.cfg.Meter.Increment(meter.GatewayRequests)
	if f.stopping() {
		w.Header().Set("Connection", "close")
	}
	fleet := f.cfg.Fleet()
	if fleet.Catalogue == nil {
		f.refuse(w, c, string(ReasonNoConfiguration), defaultRetryAfter)
		return
	}
	if rejected := f.resolve(fleet.Catalogue, c, r, rand.Float64()); rejected != nil {
		f.reject(w, c, *rejected)
		return
	}
	defer c.releaseMemory()
	f.setDeadlines(c, r)
	c.holder = accepter.HolderOf(r.Context())
	c.holder.SetBodyUntil(c.deadline)
	if err := f.readBody(w, fleet.Catalogue, c, r); err != nil {
		f.rejectBody(w, c, err)
		return
	}
	limitWrites(w, c)
	c.prompt = screener.NewPrompt(c.prompt.Customer, requestPart(c, r), c.prompt.Parts)
	ctx, cancel := f.requestContext(r.Context(), c.deadline)
	defer cancel()
	f.cfg.Budgeter.RecordRequest(c.arrived, c.service)
	f.serve(ctx, w, r, c)
}

// limitWrites sets the time by which the client has to have read what is written next. A client that stops reading would
// keep the slot of its upstream for as long as it is connected. Other writers than connections have no limit.
func limitWrites(w http.ResponseWriter, c *call) {
	until := c.deadline
	if now := time.Now(); now.After(until) {
		until = now
	}
	_ = http.NewResponseController(w).SetWriteDeadline(until.Add(writeMargin))
}

// errStopping is the cause with which the contexts of open requests end before the process exits.
var errStopping = errors.New("the process stops")

// requestContext returns the context of a request, which ends with that of the client, at the deadline and with Ending.
func (f *Forwarder) requestContext(clientCtx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	deadlineCtx, cancelDeadline := context.WithDeadline(clientCtx, deadline)
	ctx, cancel := context.WithCancelCause(deadlineCtx)
	forget := context.AfterFunc(f.cfg.Ending, func() { cancel(errStopping) })
	return ctx, func() {
		forget()
		cancel(nil)
		cancelDeadline()
	}
}

// hasClientLeft reports whether the context of a request has ended since the client closed the connection.
func hasClientLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), errStopping)
}

// refusedAtEnd returns the refusal of a request whose context has ended before it ran.
func refusedAtEnd(ctx context.Context) admitter.Refused {
	reason := admitter.ReasonDeadline
	if errors.Is(context.Cause(ctx), errStopping) {
		reason = admitter.ReasonStopping
	}
	return admitter.Refused{Reason: reason, RetryAfter: defaultRetryAfter}
}

// rejection is the response to an invalid request.
type rejection struct {
	status int
	// message is the body of the response.
	message string
	// detail is what only the log adds to the message, or empty.
	detail string
}

// resolve sets the route, the customer and the service of a request, the last by a number in [0, 1). It returns nil if the
// request is accepted.
func (f *Forwarder) resolve(catalogue *cataloguer.Catalogue, c *call, r *http.Request, draw float64) *rejection {
	c.configVersion = catalogue.Version()
	route, found := catalogue.Route(r.Host, r.URL.EscapedPath())
	if !found {
		return &rejection{status: http.StatusNotFound, message: "no route"}
	}
	key := r.Header.Get(f.cfg.Names.Key)
	customer, known := catalogue.Authenticate(route, key)
	if !known {
		return &rejection{status: http.StatusUnauthorized, message: "unknown key", detail: describeUnknownKey(catalogue, key)}
	}
	c.route, c.customer = route, customer
	c.service = route.Pick(draw)
	if s, found := catalogue.Service(c.service); found && s.Engine != nil {
		c.engine = s.Engine
		c.stated = f.statedSize(r.Header)
		c.work = f.cfg.Works.Estimate(route.Name, s.Engine, c.stated)
	}
	c.lastEventID = r.Header.Get(f.cfg.Names.LastEvent)
	c.resumed = c.lastEventID != ""
	c.expectsWeights = r.Header.Get(f.cfg.Names.Weights) != ""
	c.prompt = screener.NewPrompt(customer.Name, "", f.cfg.SharedParts(r.Header))
	return nil
}

// describeUnknownKey returns what is known of a key that was not accepted. The text does not hold the key.
func describeUnknownKey(catalogue *cataloguer.Catalogue, key string) string {
	if key == "" {
		return "no key"
	}
	if owner, found := catalogue.FormerOwner(key); found {
		return fmt.Sprintf("dropped key of %q", owner)
	}
	return ""
}

// readBody reads the body of a request up to the configured limit, 4 MiB by default.
func (f *Forwarder) readBody(w http.ResponseWriter, catalogue *cataloguer.Catalogue, c *call, r *http.Request) error {
	limit := catalogue.Limits().BodyBytes
	if limit <= 0 {
		limit = 1 << 22
	}
	from := http.MaxBytesReader(w, r.Body, limit)
	memory := c.reserve(f.cfg.RequestMemory, requestAccount{c.holder})
	body, err := memory.ReadAll(from, int(limit)+1)
	c.body = body
	if errors.Is(err, reserver.ErrExhausted) {
		// Many clients read no response before they have sent their request, and get a reset instead.
		c.body = nil
		memory.Release()
		if _, discardErr := io.Copy(io.Discard, from); discardErr != nil {
			return discardErr
		}
	}
	return err
}

// rejectBody rejects a request whose body could not be read.
func (f *Forwarder) rejectBody(w http.ResponseWriter, c *call, err error) {
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.Is(err, reserver.ErrExhausted), errors.Is(err, accepter.ErrNoRoom):
		f.refuse(w, c, string(ReasonMemory), defaultRetryAfter)
	case errors.As(err, &tooLarge):
		f.reject(w, c, rejection{status: http.StatusRequestEntityTooLarge, message: "body too large"})
	case errors.As(err, &timeout) && timeout.Timeout():
		f.reject(w, c, rejection{status: http.StatusRequestTimeout, message: "body not received in time"})
	default:
		f.reject(w, c, rejection{status: http.StatusBadRequest, message: "body not received"})
	}
}

// setDeadlines derives the time limits of a request from its header and its route.
func (f *Forwarder) setDeadlines(c *call, r *http.Request) {
	left := defaultDeadline
	if ms, err := strconv.ParseFloat(r.Header.Get(f.cfg.Names.Deadline), 64); err == nil && ms > 0 {
		left = time.Duration(min(ms*float64(time.Millisecond), float64(maxDeadline)))
	}
	c.noClientRetry = c.lastEventID != ""
	if c.route.Timeout > 0 {
		c.noClientRetry = c.noClientRetry || left < time.Duration(clientRetryRatio*float64(c.route.Timeout))
		left = min(left, c.route.Timeout)
	}
	c.deadline = c.arrived.Add(left - responseMargin)
	c.grantUntil = c.arrived.Add(left - left/serveTimeDivisor)
	if !c.noClientRetry {
		c.onTimeUntil = c.arrived.Add(c.route.Objective / onTimeDivisor)
	}
	if gapTimeout := c.route.ClientGapTimeout(); gapTimeout > 0 {
		c.grantUntil = minTime(c.grantUntil, c.arrived.Add(gapTimeout-gapTimeoutMargin))
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// serve obtains upstreams and sends the request to them until an attempt or a refusal ends it.
func (f *Forwarder) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call) {
	s := &stream{writer: w, names: f.cfg.Names, lastEventID: c.lastEventID}
	defer f.endTrial(c)
	for {
		switch d := f.admit(ctx, c, s).(type) {
		case admitter.Refused:
			f.finishRefused(ctx, w, c, s, d)
			return
		case admitter.Granted:
			if f.attempt(ctx, r, c, s, d) {
				return
			}
		}
	}
}

// admit waits until the admitter assigns an upstream or refuses the request. Once an attempt may have reached an
// upstream, each further one needs a retry from the budget, unless the response timer of the stream has taken it.
func (f *Forwarder) admit(ctx context.Context, c *call, s *stream) admitter.Decision {
	if ctx.Err() != nil {
		return refusedAtEnd(ctx)
	}
	if c.unsent >= maxUnsentAttempts {
		return admitter.Refused{Reason: admitter.ReasonNoUpstream, RetryAfter: defaultRetryAfter}
	}
	if refused, is := f.screen(ctx, c); is {
		return refused
	}
	now := time.Now()
	if c.sends > 0 && !s.overdue.Load() && !f.cfg.Budgeter.Take(now, c.service) {
		// The budget recovers as its window moves on, which takes seconds.
		return admitter.Refused{Reason: ReasonBudget, RetryAfter: time.Until(c.deadline) / admitter.RetryAfterDivisor}
	}
	s.work = c.work.After(c.engine, s.events)
	ticket := f.cfg.Admitter.Submit(now, c.admission(s.work))
	select {
	case d := <-ticket.Decision():
		return f.screenAgain(c, d)
	case <-ctx.Done():
		f.cfg.Admitter.Withdraw(time.Now(), ticket)
		return refusedAtEnd(ctx)
	}
}

// admission returns what the admitter needs to know of the request, with the work that is left of it.
func (c *call) admission(work workmeter.Work) admitter.Request {
	return admitter.Request{
		Service:       c.service,
		Customer:      c.customer.Name,
		Priority:      cataloguer.Priority(c.route, c.customer),
		OnTimeUntil:   c.onTimeUntil,
		GrantUntil:    c.grantUntil,
		Deadline:      c.deadline,
		Stream:        c.route.Stream,
		NoClientRetry: c.noClientRetry,
		IsolateBy:     string(c.trial),
		Exclude:       c.tried,
		Work:          work,
	}
}

// ReasonNoConfiguration means that the gateway has no configuration yet.
const ReasonNoConfiguration admitter.Reason = "noConfiguration"

// ReasonMemory means that there is no memory for the body of the request while other large ones are open.
const ReasonMemory admitter.Reason = "memory"

// ReasonBudget means that a retry would exceed the gateway's share of the retry budget.
const ReasonBudget admitter.Reason = "retryBudget"

// attempt sends the request to one upstream and reports whether that ended the request.
func (f *Forwarder) attempt(ctx context.Context, r *http.Request, c *call, s *stream, g admitter.Granted) bool {
	sent := time.Now()
	f.waitTimes.Observe(g.Waited)
	s.grant = g
	result := f.send(ctx, r, c, s, g.Upstream)
	f.cfg.Admitter.Done(time.Now(), g, result.feedback)
	switch {
	case result.complete:
		f.cfg.Screener.RecordAnswer(time.Now(), c.prompt)
	case result.broke:
		f.recordCrash(c, s, g, sent)
	}
	f.logAttempt(c, s, g, result, sent)
	c.tried[g.Upstream.ID] = true
	if result.otherWeights {
		c.otherWeights++
		f.excludeGroup(c, g.Upstream)
	}
	switch {
	case result.unsent:
		c.unsent++
	case result.notRun:
		c.sends++
	default:
		c.sends++
		c.runs++
	}
	if result.errorResponse != nil {
		c.lastErrorResponse = result.errorResponse
	}
	switch {
	case result.complete:
		// The upstream is free while the client reads.
		if result.response != nil {
			limitWrites(s.writer, c)
			result.response.write(s.writer)
			f.logEnd(c, result.response.status, "complete")
		}
		f.cfg.Meter.Increment(meter.GatewayServed)
		return true
	case result.clientLeft, hasClientLeft(ctx):
		f.finishCancelled(c)
	case ctx.Err() != nil:
		f.finishRefused(ctx, s.writer, c, s, refusedAtEnd(ctx))
		return true
	case s.started && (c.route.Retry != cataloguer.RetryResume || !s.hasEvents):
		f.finishFailed(ctx, s, c, "response broke and may not be resumed")
	case result.otherWeights && c.runs == 0 && c.otherWeights >= c.route.Attempts:
		f.rejectWeights(s.writer, c)
		return true
	case c.runs > 0 && c.route.Retry == cataloguer.RetryNever, c.runs >= c.route.Attempts:
		f.finishFailed(ctx, s, c, "upstream failed")
		return true
	}
	// A broken stream may wait for its next upstream until gapTimeoutMargin before the client gap timeout. The reserve of
	// serveTimeDivisor does not apply to it.
	if s.started {
		c.noClientRetry = true
		c.grantUntil = minTime(c.deadline, time.Now().Add(c.route.ClientGapTimeout()-gapTimeoutMargin))
	}
	c.lastEventID = s.lastEventID
	return false
}

// finishRefused ends a request that the admitter or the retry budget refused.
func (f *Forwarder) finishRefused(ctx context.Context, w http.ResponseWriter, c *call, s *stream, d admitter.Refused) {
	if hasClientLeft(ctx) {
		f.finishCancelled(c)
	}
	if c.runs > 0 || s.started {
		f.finishFailed(ctx, s, c, string(d.Reason))
		return
	}
	if d.Reason == admitter.ReasonCustomerShare {
		f.cfg.Meter.Increment(meter.GatewayOverShare)
		c.customerShare = d.Share
	}
	if c.otherWeights > 0 && d.Reason == admitter.ReasonNoUpstream {
		f.rejectWeights(w, c)
		return
	}
	f.refuse(w, c, string(d.Reason), d.RetryAfter)
}

// rejectWeights ends a request that no upstream has run since those that were tried have other weights.
func (f *Forwarder) rejectWeights(w http.ResponseWriter, c *call) {
	f.reject(w, c, rejection{status: http.StatusMisdirectedRequest, message: "no upstream has the expected version of the weights"})
}

// excludeGroup excludes the ranks of an upstream's group from further attempts: they have the same weights.
func (f *Forwarder) excludeGroup(c *call, u cataloguer.Upstream) {
	if u.Group == "" {
		return
	}
	for _, other := range f.cfg.Fleet().Upstreams {
		if other.Service == u.Service && other.Group == u.Group {
			c.tried[other.ID] = true
		}
	}
}

// finishCancelled ends a request whose client closed the connection. It panics instead of returning: a handler that
// returns without a response sends an empty success.
func (f *Forwarder) finishCancelled(c *call) {
	f.cfg.Meter.Increment(meter.GatewayCancelled)
	f.logEnd(c, 0, "client left")
	panic(http.ErrAbortHandler)
}

// finishFailed ends a request that may have run. It aborts a response that has begun. Otherwise it sends the last error
// response of an upstream, or a gateway error if there is none.
func (f *Forwarder) finishFailed(ctx context.Context, s *stream, c *call, reason string) {
	f.cfg.Meter.Increment(meter.GatewayFailed)
	if s.started {
		f.abort(c, reason)
	}
	limitWrites(s.writer, c)
	if c.lastErrorResponse != nil {
		c.lastErrorResponse.write(s.writer)
		f.logEnd(c, c.lastErrorResponse.status, reason)
		return
	}
	status := http.StatusBadGateway
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	f.logEnd(c, status, reason)
	s.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.writer.WriteHeader(status)
	_, _ = io.WriteString(s.writer, "The request may have run: "+reason+".\n")
}

// abort closes the connection in the middle of a response, so that the client cannot mistake it for a complete one. It
// panics and does not return.
func (f *Forwarder) abort(c *call, reason string) {
	f.cfg.Meter.Increment(meter.GatewayBroken)
	f.logEnd(c, 0, reason)
	panic(http.ErrAbortHandler)
}

// refuse ends a request that has not run and will not run. The response has a Retry-After.
func (f *Forwarder) refuse(w http.ResponseWriter, c *call, reason string, retryAfter time.Duration) {
	f.cfg.Meter.Increment(meter.GatewayRefused)
	limitWrites(w, c)
	f.logEnd(c, http.StatusServiceUnavailable, reason)
	w.Header().Set(retryAfterHeader, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, "The request was not run: "+reason+". Send it again after the time in Retry-After.\n")
}

// reject ends an invalid request with an error status.
func (f *Forwarder) reject(w http.ResponseWriter, c *call, rejected rejection) {
	f.cfg.Meter.Increment(meter.GatewayRejected)
	limitWrites(w, c)
	reason := rejected.message
	if rejected.detail != "" {
		reason += " (" + rejected.detail + ")"
	}
	f.logEnd(c, rejected.status, reason)
	http.Error(w, rejected.message, rejected.status)
}

func (f *Forwarder) stopping() bool {
	select {
	case <-f.cfg.Stopping:
		return true
	default:
		return false
	}
}
