// Package forwarder serves the clients of a gateway: it authenticates a request, asks the admitter for an upstream, sends
// the request there, repeats or resumes it where that is allowed, and returns the upstream's answer unchanged.
package forwarder

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/requester"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/meter"
	"currantledge.example/currantledge/internal/request/admitter"
	"currantledge.example/currantledge/internal/request/budgeter"
	"currantledge.example/currantledge/internal/version/cataloguer"
)

const (
	// defaultDeadline is assumed for clients that state none.
	defaultDeadline = 30 * time.Second
	// patienceMargin is the part of a client's patience that remains for the first event once an upstream was granted.
	patienceMargin = 300 * time.Millisecond
	// serveShare is the part of the time left that remains for the upstream once it was granted.
	serveShare = 4
	// onTimeShare divides the objective into the time that a request may wait and the time until its answer begins.
	onTimeShare = 2
	// answerMargin is kept from the deadline, so that the final answer still reaches the client.
	answerMargin = 15 * time.Millisecond
	// returnedShare is the part of the route's timeout below which a client's deadline shows that it was refused before:
	// clients honour Retry-After up to a third of the time they have.
	returnedShare = 0.75
	// minDeadline is the shortest time that is worth handing to an upstream.
	minDeadline = 10 * time.Millisecond
	// unknownRetryAfter is sent while no configuration is known.
	unknownRetryAfter = 300 * time.Millisecond
	// maxUnsent bounds the upstreams that are tried without the request reaching one.
	maxUnsent = 6
)

// HeaderNames are the names of the protocol that clients and upstreams speak.
type HeaderNames struct {
	// RequestID identifies one attempt of a client; upstreams echo it.
	RequestID string
	// Deadline holds the milliseconds that the client waits.
	Deadline string
	// Key holds the client's key.
	Key string
	// Customer tells an upstream whose request it runs.
	Customer string
	// Upstream names the incarnation that may run the request; others reject it.
	Upstream string
	// Stamp is the signature of the upstream that ran the request.
	Stamp string
	// NotRun marks an answer whose request did not run.
	NotRun string
	// Load holds the running and waiting requests and the slots of an upstream, separated by commas.
	Load string
	// LastEvent holds the id of the last event that the client has.
	LastEvent string
	// Priority orders requests at an engine; 0 goes first.
	Priority string
}

// Config sets up a Forwarder.
type Config struct {
	Names     HeaderNames
	Fleet     func() cataloguer.Fleet
	Admitter  *admitter.Admitter
	Budgeter  *budgeter.Budgeter
	Requester *requester.Requester
	Log       *logger.Logger
	Meter     *meter.Meter
	// Stopping is closed once the process stops; answers then close their connections.
	Stopping <-chan struct{}
}

// Forwarder is the HTTP handler for clients.
type Forwarder struct {
	cfg     Config
	dropped map[string]bool
	waits   *meter.Histogram
	firsts  *meter.Histogram
	answers *meter.Histogram
}

// New returns a Forwarder.
func New(cfg Config) *Forwarder {
	f := &Forwarder{
		cfg:     cfg,
		dropped: map[string]bool{},
		waits:   cfg.Meter.Histogram(meter.GatewayWaitMs),
		firsts:  cfg.Meter.Histogram(meter.GatewayFirstByteMs),
		answers: cfg.Meter.Histogram(meter.GatewayAnswerMs),
	}
	// Header fields that concern one connection, and those that the gateway sets itself.
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
		cfg.Names.Deadline, cfg.Names.Key, cfg.Names.Customer, cfg.Names.Upstream, cfg.Names.LastEvent, cfg.Names.Priority,
	} {
		f.dropped[http.CanonicalHeaderKey(name)] = true
	}
	return f
}

// call is one request of a client on its way.
type call struct {
	id        string
	route     cataloguer.Route
	owner     cataloguer.Customer
	service   identifier.Service
	version   cataloguer.Version
	arrived   time.Time
	deadline  time.Time
	until     time.Time
	onTime    time.Time
	body      []byte
	lastEvent string
	// returned is set if the client was probably refused before.
	returned bool
	tried    map[identifier.Upstream]bool
	// sends counts the requests that may have reached an upstream, runs those that may have run.
	sends  int
	runs   int
	unsent int
	// last is the upstream's answer to return if nothing better comes.
	last *answer
}

// ServeHTTP serves one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{id: r.Header.Get(f.cfg.Names.RequestID), arrived: time.Now(), tried: map[identifier.Upstream]bool{}}
	f.cfg.Meter.Add(meter.GatewayRequests)
	if f.stopping() {
		w.Header().Set("Connection", "close")
	}
	fleet := f.cfg.Fleet()
	if fleet.Catalogue == nil {
		f.refuse(w, c, "noConfiguration", unknownRetryAfter)
		return
	}
	if status, problem := f.accept(fleet.Catalogue, c, r); problem != "" {
		f.reject(w, c, status, problem)
		return
	}
	if err := f.readBody(w, fleet.Catalogue, c, r); err != nil {
		f.rejectBody(w, c, err)
		return
	}
	f.setDeadlines(c, r)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	f.cfg.Budgeter.Arrived(c.arrived, c.service)
	f.serve(ctx, w, r, c)
}

// accept finds the route and customer of a request.
func (f *Forwarder) accept(catalogue *cataloguer.Catalogue, c *call, r *http.Request) (int, string) {
	c.version = catalogue.Version()
	route, found := catalogue.Route(r.Host, r.URL.EscapedPath())
	if !found {
		return http.StatusNotFound, "no route"
	}
	owner, known := catalogue.Authenticate(route, r.Header.Get(f.cfg.Names.Key))
	if !known {
		return http.StatusUnauthorized, "unknown key"
	}
	c.route, c.owner = route, owner
	c.service = route.Pick(rand.Float64())
	c.lastEvent = r.Header.Get(f.cfg.Names.LastEvent)
	return 0, ""
}

func (f *Forwarder) readBody(w http.ResponseWriter, catalogue *cataloguer.Catalogue, c *call, r *http.Request) error {
	limit := catalogue.Limits().BodyBytes
	if limit <= 0 {
		limit = 1 << 22
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	c.body = body
	return err
}

func (f *Forwarder) rejectBody(w http.ResponseWriter, c *call, err error) {
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.As(err, &tooLarge):
		f.reject(w, c, http.StatusRequestEntityTooLarge, "body too large")
	case errors.As(err, &timeout) && timeout.Timeout():
		f.reject(w, c, http.StatusRequestTimeout, "body not received in time")
	default:
		f.reject(w, c, http.StatusBadRequest, "body not received")
	}
}

func (f *Forwarder) setDeadlines(c *call, r *http.Request) {
	left := defaultDeadline
	if ms, err := strconv.ParseFloat(r.Header.Get(f.cfg.Names.Deadline), 64); err == nil && ms > 0 {
		left = time.Duration(ms * float64(time.Millisecond))
	}
	c.returned = c.lastEvent != ""
	if c.route.Timeout > 0 {
		c.returned = c.returned || left < time.Duration(returnedShare*float64(c.route.Timeout))
		left = min(left, c.route.Timeout)
	}
	c.deadline = c.arrived.Add(left - answerMargin)
	c.until = c.arrived.Add(left - left/serveShare)
	if !c.returned {
		c.onTime = c.arrived.Add(c.route.Objective / onTimeShare)
	}
	if patience := c.route.ClientGapTimeout(); patience > 0 {
		c.until = minTime(c.until, c.arrived.Add(patience-patienceMargin))
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// serve sends the request until one of its sends ends it.
func (f *Forwarder) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call) {
	s := &stream{writer: w, names: f.cfg.Names, lastEvent: c.lastEvent}
	for {
		switch d := f.admit(ctx, c).(type) {
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

// admit waits for an upstream.
func (f *Forwarder) admit(ctx context.Context, c *call) admitter.Decision {
	now := time.Now()
	if ctx.Err() != nil {
		return admitter.Refused{Reason: admitter.ReasonDeadline}
	}
	if c.unsent >= maxUnsent {
		return admitter.Refused{Reason: admitter.ReasonNoUpstream, RetryAfter: unknownRetryAfter}
	}
	if c.sends > 0 && !f.cfg.Budgeter.Take(now, c.service) {
		// Repeats become free as the window of the budget moves on, which takes seconds.
		return admitter.Refused{Reason: ReasonBudget, RetryAfter: time.Until(c.deadline) / admitter.RetryShare}
	}
	ticket := f.cfg.Admitter.Request(now, admitter.Need{
		Service:  c.service,
		Priority: cataloguer.Priority(c.route, c.owner),
		OnTime:   c.onTime,
		Until:    c.until,
		Deadline: c.deadline,
		Stream:   c.route.Stream,
		Returned: c.returned,
		Exclude:  c.tried,
	})
	select {
	case d := <-ticket.Result():
		return d
	case <-ctx.Done():
		f.cfg.Admitter.Withdraw(time.Now(), ticket)
		return admitter.Refused{Reason: admitter.ReasonDeadline}
	}
}

// ReasonBudget refuses a repeat beyond the gateway's share of the retry budget.
const ReasonBudget admitter.Reason = "retryBudget"

// attempt sends the request once and tells whether that ended it.
func (f *Forwarder) attempt(ctx context.Context, r *http.Request, c *call, s *stream, g admitter.Granted) bool {
	sent := time.Now()
	f.waits.Observe(g.Waited)
	s.granted = g
	result := f.send(ctx, r, c, s, g.Upstream)
	f.cfg.Admitter.Done(time.Now(), g, result.belief)
	f.logAttempt(c, s, g, result, sent)
	c.tried[g.Upstream.ID] = true
	switch {
	case result.unsent:
		c.unsent++
	case result.notRun:
		c.sends++
	default:
		c.sends++
		c.runs++
	}
	if result.answer != nil {
		c.last = result.answer
	}
	switch {
	case result.done:
		f.cfg.Meter.Add(meter.GatewayServed)
		return true
	case errors.Is(ctx.Err(), context.Canceled):
		f.finishLeft(c)
	case ctx.Err() != nil:
		f.finishFailed(ctx, s, c, "deadline")
		return true
	case s.started && c.route.Retry != cataloguer.RetryResume:
		f.abort(c, "stream broke and may not be resumed")
	case c.runs > 0 && c.route.Retry == cataloguer.RetryNever, c.runs >= c.route.Attempts:
		f.finishFailed(ctx, s, c, "upstream failed")
		return true
	}
	// A stream that broke is wanted at once, whatever the time that was kept for waiting.
	if s.started {
		c.returned = true
		c.until = minTime(c.deadline, time.Now().Add(c.route.ClientGapTimeout()-patienceMargin))
	}
	c.lastEvent = s.lastEvent
	return false
}

// finishRefused ends a request that gets no further upstream.
func (f *Forwarder) finishRefused(ctx context.Context, w http.ResponseWriter, c *call, s *stream, d admitter.Refused) {
	if errors.Is(ctx.Err(), context.Canceled) {
		f.finishLeft(c)
	}
	if c.runs > 0 || s.started {
		f.finishFailed(ctx, s, c, string(d.Reason))
		return
	}
	f.refuse(w, c, string(d.Reason), d.RetryAfter)
}

// finishLeft ends a request whose client has closed its connection. It does not return: a handler that returned without
// an answer would send an empty success.
func (f *Forwarder) finishLeft(c *call) {
	f.cfg.Meter.Add(meter.GatewayCancelled)
	f.logEnd(c, 0, "client left")
	panic(http.ErrAbortHandler)
}

// finishFailed ends a request that may have run: with the upstream's own answer, else without a promise.
func (f *Forwarder) finishFailed(ctx context.Context, s *stream, c *call, reason string) {
	f.cfg.Meter.Add(meter.GatewayFailed)
	if s.started {
		f.abort(c, reason)
	}
	if c.last != nil {
		c.last.write(s.writer)
		f.logEnd(c, c.last.status, reason)
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

// abort closes the connection in the middle of an answer, so that it cannot be taken for a complete one.
func (f *Forwarder) abort(c *call, reason string) {
	f.cfg.Meter.Add(meter.GatewayBroken)
	f.logEnd(c, 0, reason)
	panic(http.ErrAbortHandler)
}

// refuse ends a request that has not run and will not run.
func (f *Forwarder) refuse(w http.ResponseWriter, c *call, reason string, after time.Duration) {
	f.cfg.Meter.Add(meter.GatewayRefused)
	f.logEnd(c, http.StatusServiceUnavailable, reason)
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, "The request was not run: "+reason+". Send it again after the time in Retry-After.\n")
}

func (f *Forwarder) reject(w http.ResponseWriter, c *call, status int, problem string) {
	f.cfg.Meter.Add(meter.GatewayRejected)
	f.logEnd(c, status, problem)
	http.Error(w, problem, status)
}

func (f *Forwarder) stopping() bool {
	select {
	case <-f.cfg.Stopping:
		return true
	default:
		return false
	}
}
