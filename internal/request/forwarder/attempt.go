package forwarder

import (
	"context"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/headchecker"
	"currantledge.example/currantledge/internal/connection/requester"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/meter"
	"currantledge.example/currantledge/internal/request/admitter"
	"currantledge.example/currantledge/internal/request/reserver"
	"currantledge.example/currantledge/internal/version/cataloguer"
)

const (
	// maxBufferedBytes is the size up to which a response is buffered until it is complete, so that the request can be
	// retried if the response breaks. It is buffered less far if there is no memory.
	maxBufferedBytes = 512 << 10
	// stallMargin is how much longer than its clients a gateway waits for the next event of a stream. When a group stalls,
	// clients leave at their timeout; to resume their streams just before would waste the retry budget.
	stallMargin = 500 * time.Millisecond
	// responseTimeoutFactor is how long a retryable request waits for the first event of a stream or the end of a plain
	// response before it is sent to another upstream, as a multiple of the route's objective.
	responseTimeoutFactor = 2
	// retryAfterHeader holds the time, in seconds, after which a rejected request may come again.
	retryAfterHeader = "Retry-After"
	// maxPauseSeconds keeps a pause within the range of time.Duration.
	maxPauseSeconds = 1e6
)

// attemptResult is the result of sending a request to one upstream.
type attemptResult struct {
	// feedback is what the attempt shows about the upstream.
	feedback admitter.Feedback
	// complete is set if the client received a complete response.
	complete bool
	// clientLeft is set if the response could not be written to the client.
	clientLeft bool
	// unsent is set if the upstream cannot have seen the request.
	unsent bool
	// notRun is set if the upstream rejected the request without running it.
	notRun bool
	// otherWeights is set if the upstream rejected the request since its weights have another version than the client
	// expects.
	otherWeights bool
	// broke is set if the connection ended before the response did, for no reason of the gateway or the client.
	broke bool
	// response is a complete response that is not written to the client yet.
	response *response
	// errorResponse is the upstream's error response, which the client receives if no attempt succeeds.
	errorResponse *response
	// detail and err describe the result in the log.
	detail string
	err    error
}

// response is a complete response of an upstream.
type response struct {
	status int
	header http.Header
	body   []byte
}

// write sends the response to the client. A failure to write is ignored: the client has left.
func (r *response) write(w http.ResponseWriter) {
	copyHeader(w.Header(), r.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body)
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Trailer": true, "Te": true, "Upgrade": true,
	"Proxy-Connection": true, "Content-Length": true,
}

// copyHeader copies all fields but the hop-by-hop ones.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !hopByHopHeaders[name] {
			to[name] = values
		}
	}
}

// send sends the request to one upstream and forwards a successful response to the client.
func (f *Forwarder) send(ctx context.Context, r *http.Request, c *call, s *stream, u cataloguer.Upstream) attemptResult {
	left := time.Until(c.deadline)
	if left < minDeadline {
		return attemptResult{feedback: admitter.Cancelled{}, unsent: true, detail: "no time left"}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.stall = newStallTimer(stallTimeout(c.route), cancel)
	defer s.stall.stop()
	s.screened.Store(false)
	s.run = f.cfg.Screener.Begin(c.prompt, func() {
		s.screened.Store(true)
		cancel()
	})
	defer s.run.End()
	s.overdue.Store(false)
	if timeout := f.responseTimeout(c); timeout > 0 {
		timer := time.AfterFunc(timeout, func() {
			// Without a retry, the late response is all that the client can get.
			if f.cfg.Budgeter.Take(time.Now(), c.service) {
				s.overdue.Store(true)
				cancel()
			}
		})
		defer timer.Stop()
		s.stopResponseTimer = func() { timer.Stop() }
	}
	sent := time.Now()
	s.firstByte, s.longestGap, s.head, s.attemptEvents, s.limit, s.pause = 0, 0, 0, 0, "", ""
	got, err := f.cfg.Requester.Do(ctx, requester.Request{
		Address: u.Address,
		Method:  r.Method,
		Target:  r.RequestURI,
		Host:    r.Host,
		Header:  f.header(r, c, u, left),
		Body:    c.body,
		// On a reused connection, a late response to an earlier request can be told from that to a request with an id only.
		NewConnection: c.route.Retry == cataloguer.RetryNever || c.id == "",
	})
	if err != nil {
		return f.classifyError(r.Context(), c, s, err)
	}
	defer got.Close()
	return f.receive(r.Context(), c, s, got, sent)
}

// stallTimeout returns how long a stream of a route may be without an event, or 0 for routes without streams.
func stallTimeout(r cataloguer.Route) time.Duration {
	if !r.Stream {
		return 0
	}
	return r.ClientGapTimeout() + stallMargin
}

// responseTimeout returns how long a retryable request waits for the first event of a stream or the end of a plain
// response before it is sent to another upstream. It returns 0, which sets no limit, for the last attempt and for routes
// whose policy is not RetryAlways.
func (f *Forwarder) responseTimeout(c *call) time.Duration {
	if c.route.Retry != cataloguer.RetryAlways || c.runs+1 >= c.route.Attempts {
		return 0
	}
	return responseTimeoutFactor * c.route.Objective
}

// errClientWrite marks errors of writing to the client.
var errClientWrite = errors.New("the response could not be written to the client")

// classifyError returns the result of an attempt that ended with an error. clientCtx is the context of the client's
// request.
func (f *Forwarder) classifyError(clientCtx context.Context, c *call, s *stream, err error) attemptResult {
	out := attemptResult{feedback: admitter.Failed{}, err: err, detail: "connection broke"}
	switch {
	case errors.Is(err, errClientWrite):
		out.feedback, out.clientLeft, out.detail = admitter.Cancelled{}, true, "client left"
		if errors.Is(err, os.ErrDeadlineExceeded) {
			out.detail = "the client did not read the response in time"
		}
	case clientCtx.Err() != nil:
		out.feedback, out.detail = admitter.Cancelled{}, "client left"
		out.unsent = errors.Is(err, requester.ErrNotSent)
	case f.cfg.Ending.Err() != nil:
		out.feedback, out.detail = admitter.Cancelled{}, "the gateway stops"
		out.unsent = errors.Is(err, requester.ErrNotSent)
	case !time.Now().Before(c.deadline):
		out.feedback, out.detail = admitter.Cancelled{}, "deadline passed"
		out.unsent = errors.Is(err, requester.ErrNotSent)
	case errors.Is(err, requester.ErrNotSent):
		out.feedback, out.unsent, out.detail = admitter.Unreachable{}, true, "no connection"
	case errors.Is(err, requester.ErrTooLarge), errors.Is(err, errEventTooLarge):
		f.cfg.Meter.Increment(meter.GatewayOversized)
		out.feedback, out.detail = admitter.Oversized{}, "response too large"
	case errors.Is(err, headchecker.ErrInvalidStatus):
		out.detail = "invalid status"
	case errors.Is(err, headchecker.ErrInvalidField):
		out.detail = "invalid field"
	case s.screened.Load():
		out.feedback, out.detail = admitter.Cancelled{}, "cancelled, since its prompt crashes upstreams"
	case s.stall.fired():
		out.detail = "no event in time"
	case s.overdue.Load():
		out.detail = "no response in time"
	default:
		out.broke = true
	}
	return out
}

// header returns the header for the upstream: the client's, without hop-by-hop fields and those that a client may not
// set, and the fields that the gateway sets.
func (f *Forwarder) header(r *http.Request, c *call, u cataloguer.Upstream, left time.Duration) []requester.Field {
	n := f.cfg.Names
	fields := make([]requester.Field, 0, len(r.Header)+6)
	hopByHop := map[string]bool{}
	for _, value := range r.Header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			hopByHop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range r.Header {
		if f.droppedHeaders[name] || hopByHop[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, requester.Field{Name: name, Value: v})
		}
	}
	fields = append(fields,
		requester.Field{Name: n.Deadline, Value: strconv.FormatInt(left.Milliseconds(), 10)},
		requester.Field{Name: n.Upstream, Value: string(u.ID)})
	if c.customer.Name != "" {
		fields = append(fields, requester.Field{Name: n.Customer, Value: string(c.customer.Name)})
	}
	if c.lastEventID != "" {
		fields = append(fields, requester.Field{Name: n.LastEvent, Value: c.lastEventID})
	}
	if priority := cataloguer.Priority(c.route, c.customer); c.route.Stream && priority >= 0 {
		fields = append(fields, requester.Field{Name: n.Priority, Value: strconv.Itoa(min(priority, 9))})
	}
	return fields
}

// receive checks the head of a response and forwards the response to the client if it is valid. An error response is
// returned in the result instead, since a retry may succeed.
func (f *Forwarder) receive(clientCtx context.Context, c *call, s *stream, got *requester.Response, sent time.Time) attemptResult {
	s.head = time.Since(sent)
	s.limit = got.Header.Get(f.cfg.Names.Limit)
	s.pause = got.Header.Get(retryAfterHeader)
	n := f.cfg.Names
	id := got.Header.Get(n.RequestID)
	switch {
	case id != "" && id != c.id:
		return attemptResult{feedback: admitter.Failed{}, detail: "answer belongs to another request"}
	case id == "" && got.Reused:
		return attemptResult{feedback: admitter.Failed{}, detail: "answer without a request id on a reused connection"}
	case got.Status == http.StatusMisdirectedRequest:
		return f.misdirectedResult(c, s, got)
	}
	if id == c.id {
		f.recordLimit(s)
		if got.Header.Get(n.Leaving) != "" {
			f.cfg.Admitter.RecordLeaving(time.Now(), s.grant.Upstream.ID)
		}
	}
	switch {
	case got.Header.Get(n.NotRun) != "":
		return f.rejectedResult(got)
	case id != c.id:
		return attemptResult{feedback: admitter.Failed{}, detail: "answer has no request id"}
	case got.Header.Get(n.Stamp) == "" && got.Status < http.StatusMultipleChoices:
		return attemptResult{feedback: admitter.Failed{}, detail: "answer has no signature"}
	}
	if s.started && !s.isContinuedBy(got) {
		return attemptResult{feedback: admitter.Failed{}, detail: "answer with status " + strconv.Itoa(got.Status) + " does not continue the stream"}
	}
	if c.route.Stream && got.Status < http.StatusMultipleChoices {
		return f.receiveStream(clientCtx, c, s, got, sent)
	}
	body, err := c.reserve(f.cfg.ResponseMemory, &responseAccount{holder: c.holder}).ReadAll(got.Body, maxBufferedBytes)
	isLarge := len(body) == maxBufferedBytes || errors.Is(err, reserver.ErrExhausted)
	if err != nil && !isLarge {
		return f.classifyError(clientCtx, c, s, errors.Wrap(err, "read the response"))
	}
	if isLarge {
		return f.receiveLarge(clientCtx, c, s, got, sent, body)
	}
	resp := &response{status: got.Status, header: got.Header, body: body}
	if got.Status >= http.StatusInternalServerError {
		out := attemptResult{feedback: admitter.Failed{}, detail: "upstream answered " + strconv.Itoa(got.Status)}
		if got.Header.Get(n.Stamp) != "" {
			out.errorResponse = resp
		}
		return out
	}
	return attemptResult{feedback: f.servedFeedback(got, sent, time.Since(sent)), complete: true, response: resp}
}

// recordLimit passes the rate limit that the latest response names to the admitter. An invalid one says nothing.
func (f *Forwarder) recordLimit(s *stream) {
	perSecond := 0.0
	if s.limit != "" {
		var err error
		if perSecond, err = strconv.ParseFloat(s.limit, 64); err != nil || !(perSecond >= 0 && perSecond < math.MaxInt32) {
			return
		}
	}
	if f.cfg.Admitter.RecordLimit(time.Now(), s.grant.Upstream.ID, s.limit != "", perSecond) {
		f.cfg.OnLimitChange(s.grant.Upstream.ID)
	}
}

// servedFeedback returns the feedback for a complete response.
func (f *Forwarder) servedFeedback(got *requester.Response, sent time.Time, firstByte time.Duration) admitter.Feedback {
	f.firstByteTimes.Observe(firstByte)
	return admitter.Served{
		FirstByte: firstByte, Total: time.Since(sent), Closing: got.Closing && got.Framed,
		ErrorStatus: got.Status >= http.StatusMultipleChoices,
	}
}

// rejectedResult returns the result for a response which states that the request did not run.
func (f *Forwarder) rejectedResult(got *requester.Response) attemptResult {
	load, known := parseLoad(got.Header.Get(f.cfg.Names.Load))
	detail := "upstream rejected the request with " + strconv.Itoa(got.Status)
	if known {
		detail += ", load " + got.Header.Get(f.cfg.Names.Load)
	}
	rejected := admitter.Rejected{Load: load, LoadKnown: known}
	if got.Status == http.StatusServiceUnavailable {
		rejected.Pause = parsePause(got.Header.Get(retryAfterHeader))
	}
	return attemptResult{feedback: rejected, notRun: true, detail: detail}
}

// misdirectedResult returns the result for a response that the upstream is not the expected one: another upstream has its
// address, or it has other weights than the client expects, which says nothing about other requests.
func (f *Forwarder) misdirectedResult(c *call, s *stream, got *requester.Response) attemptResult {
	n := f.cfg.Names
	expected := string(s.grant.Upstream.ID)
	isItself := got.Header.Get(n.Responder) == expected || got.Header.Get(n.AtFault) == expected
	names := got.Header.Get(n.Responder) != "" || got.Header.Get(n.AtFault) != ""
	switch {
	case c.expectsWeights && (isItself || !names):
		return attemptResult{feedback: admitter.Cancelled{}, notRun: true, otherWeights: true, detail: "the upstream has other weights"}
	case isItself:
		return attemptResult{feedback: admitter.Rejected{}, notRun: true, detail: "the upstream rejected the request with 421"}
	}
	return attemptResult{feedback: admitter.Replaced{}, notRun: true, detail: "another upstream has the address"}
}

// parsePause parses a number of seconds. An invalid or negative one, or a date, asks for no pause.
func parsePause(text string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxPauseSeconds) * float64(time.Second))
}

// parseLoad parses "running,waiting,slots" and reports whether the text is valid.
func parseLoad(text string) (admitter.Load, bool) {
	var l admitter.Load
	fields := strings.Split(text, ",")
	if len(fields) != 3 {
		return l, false
	}
	for i, target := range []*int{&l.Running, &l.Waiting, &l.Slots} {
		n, err := strconv.Atoi(strings.TrimSpace(fields[i]))
		if err != nil {
			return l, false
		}
		*target = n
	}
	return l, true
}

// receiveLarge forwards a response that is not buffered further as it arrives. beginning is the part that was read
// already. From here on the request cannot be retried, so the response timer no longer applies.
func (f *Forwarder) receiveLarge(clientCtx context.Context, c *call, s *stream, got *requester.Response, sent time.Time, beginning []byte) attemptResult {
	firstByte := time.Since(sent)
	if got.Length >= 0 {
		s.writer.Header().Set("Content-Length", strconv.FormatInt(got.Length, 10))
	}
	s.sendHead(got.Header, got.Status)
	to := clientWriter{s.writer}
	if _, err := to.Write(beginning); err != nil {
		return f.classifyError(clientCtx, c, s, err)
	}
	if _, err := io.Copy(to, got.Body); err != nil {
		return f.classifyError(clientCtx, c, s, err)
	}
	f.logEnd(c, got.Status, "complete")
	return attemptResult{feedback: f.servedFeedback(got, sent, firstByte), complete: true}
}

// clientWriter marks its errors with errClientWrite.
type clientWriter struct{ io.Writer }

func (w clientWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	if err != nil {
		err = errors.Mark(err, errClientWrite)
	}
	return n, err
}

// logAttempt logs the result of one attempt.
func (f *Forwarder) logAttempt(c *call, s *stream, g admitter.Granted, r attemptResult, sent time.Time) {
	event := logger.EventAttemptSucceeded
	if !r.complete {
		event = logger.EventAttemptFailed
	}
	line := f.cfg.Log.Event(event).Str("request", c.id).Str("upstream", string(g.Upstream.ID)).
		Str("upstreamDomain", string(g.Upstream.FailureDomain)).Int("load", g.Load).
		Dur("waitedMs", g.Waited).Dur("tookMs", time.Since(sent)).Uint64("configVersion", uint64(c.configVersion)).
		Uint64("entryVersion", g.Upstream.Version).Int("send", c.sends+1)
	if s.firstByte > 0 {
		line = line.Dur("firstByteMs", s.firstByte)
	}
	if s.longestGap > 0 {
		line = line.Dur("longestGapMs", s.longestGap)
	}
	if !sent.Before(c.onTimeUntil) {
		line = line.Bool("late", true)
	}
	if missed := s.missedTargets(time.Now(), c, r.complete); missed != missedNone {
		f.countMissed(missed)
		line = line.Str("missed", string(missed))
	}
	if c.engine != nil {
		line = line.Int("promptTokens", s.work.Prompt).Int("responseTokens", s.work.Response).Int("events", s.events).
			Float64("loadByWork", math.Round(100*g.Work)/100)
	}
	if s.limit != "" {
		line = line.Str("limitPerS", s.limit)
	}
	if s.pause != "" {
		line = line.Str("retryAfterS", s.pause)
	}
	if !r.complete && s.firstByte == 0 {
		line = line.Int("partCount", len(c.prompt.Parts)).Strs("parts", loggedParts(c))
		if s.head > 0 {
			line = line.Dur("headMs", s.head)
		}
	}
	if r.detail != "" {
		line = line.Str("detail", r.detail)
	}
	if r.err != nil {
		line = line.AnErr("error", r.err)
	}
	line.Send()
}

// logEnd logs the end of a request; status is 0 if its connection was closed without a complete response.
func (f *Forwarder) logEnd(c *call, status int, reason string) {
	f.responseTimes.Observe(time.Since(c.arrived))
	e := f.cfg.Log.Event(logger.EventRequestFinished)
	if c.customerShare != (admitter.CustomerShare{}) {
		e = e.Str("customer", string(c.customer.Name)).Float64("asked", c.customerShare.Asked).
			Float64("granted", c.customerShare.Granted).Float64("share", c.customerShare.Share).
			Float64("usual", c.customerShare.Usual)
	}
	e.Str("request", c.id).Str("route", c.route.Name).
		Str("service", string(c.service)).Int("status", status).Str("reason", reason).
		Dur("tookMs", time.Since(c.arrived)).Int("sends", c.sends).Int("runs", c.runs).
		Uint64("configVersion", uint64(c.configVersion)).Send()
}
