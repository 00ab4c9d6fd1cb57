package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/requester"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/request/admitter"
	"currantledge.example/currantledge/internal/version/cataloguer"
)

const (
	// maxBuffered is the largest answer that is held back until it is complete, so that a broken one can be repeated.
	maxBuffered = 512 << 10
	// slowHead is how long the head of a repeatable answer may take, as a multiple of the objective, before the request
	// is sent to another upstream.
	slowHead = 2
)

// result is what became of one send.
type result struct {
	belief admitter.Outcome
	// done is set once the client has its answer.
	done bool
	// unsent: no upstream can have seen the request. notRun: one rejected it without running it.
	unsent bool
	notRun bool
	// answer is the upstream's failure, for the client if nothing better comes.
	answer *answer
	detail string
	err    error
}

// answer is a complete answer of an upstream.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (a *answer) write(w http.ResponseWriter) {
	copyHeader(w.Header(), a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// hopHeaders concern one connection and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Trailer": true, "Te": true, "Upgrade": true,
	"Proxy-Connection": true, "Content-Length": true,
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !hopHeaders[name] {
			to[name] = values
		}
	}
}

// send sends the request to one upstream and passes on a good answer.
func (f *Forwarder) send(ctx context.Context, r *http.Request, c *call, s *stream, u cataloguer.Upstream) result {
	left := time.Until(c.deadline)
	if left < minDeadline {
		return result{belief: admitter.Cancelled{}, unsent: true, detail: "no time left"}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if wait := f.headWait(c); wait > 0 {
		timer := time.AfterFunc(wait, cancel)
		defer timer.Stop()
		s.onStart = func() { timer.Stop() }
	}
	sent := time.Now()
	s.first = 0
	got, err := f.cfg.Requester.Do(ctx, requester.Request{
		Address:       u.Address,
		Method:        r.Method,
		Target:        r.RequestURI,
		Host:          r.Host,
		Header:        f.header(r, c, u, left),
		Body:          c.body,
		NewConnection: c.route.Retry == cataloguer.RetryNever,
	})
	if err != nil {
		return f.failed(r.Context(), c, err)
	}
	defer got.Close()
	return f.receive(r.Context(), c, s, got, sent)
}

// headWait returns how long a repeatable request waits for its answer before it goes elsewhere; 0 sets no limit.
func (f *Forwarder) headWait(c *call) time.Duration {
	if c.route.Retry != cataloguer.RetryAlways || c.runs+1 >= c.route.Attempts {
		return 0
	}
	return slowHead * c.route.Objective
}

func (f *Forwarder) failed(client context.Context, c *call, err error) result {
	out := result{belief: admitter.Failed{}, err: err, detail: "connection broke"}
	switch {
	case client.Err() != nil:
		out.belief, out.detail = admitter.Cancelled{}, "client left"
		out.unsent = errors.Is(err, requester.ErrNotSent)
	case !time.Now().Before(c.deadline):
		out.belief, out.detail = admitter.Cancelled{}, "deadline passed"
		out.unsent = errors.Is(err, requester.ErrNotSent)
	case errors.Is(err, requester.ErrNotSent):
		out.belief, out.unsent, out.detail = admitter.Unreachable{}, true, "no connection"
	}
	return out
}

// header returns the client's header with the fields that the gateway sets.
func (f *Forwarder) header(r *http.Request, c *call, u cataloguer.Upstream, left time.Duration) []requester.Field {
	n := f.cfg.Names
	fields := make([]requester.Field, 0, len(r.Header)+6)
	listed := map[string]bool{}
	for _, value := range r.Header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			listed[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range r.Header {
		if f.dropped[name] || listed[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, requester.Field{Name: name, Value: v})
		}
	}
	fields = append(fields,
		requester.Field{Name: n.Deadline, Value: strconv.FormatInt(left.Milliseconds(), 10)},
		requester.Field{Name: n.Upstream, Value: string(u.ID)})
	if c.owner.Name != "" {
		fields = append(fields, requester.Field{Name: n.Customer, Value: string(c.owner.Name)})
	}
	if c.lastEvent != "" {
		fields = append(fields, requester.Field{Name: n.LastEvent, Value: c.lastEvent})
	}
	if priority := cataloguer.Priority(c.route, c.owner); c.route.Stream && priority >= 0 {
		fields = append(fields, requester.Field{Name: n.Priority, Value: strconv.Itoa(min(priority, 9))})
	}
	return fields
}

// receive judges the head of an answer and passes on its body.
func (f *Forwarder) receive(client context.Context, c *call, s *stream, got *requester.Response, sent time.Time) result {
	n := f.cfg.Names
	switch {
	case got.Status == http.StatusMisdirectedRequest:
		return result{belief: admitter.Replaced{}, notRun: true, detail: "another upstream has the address"}
	case got.Header.Get(n.NotRun) != "":
		return f.rejected(got)
	case got.Header.Get(n.RequestID) != c.id:
		return result{belief: admitter.Failed{}, detail: "answer belongs to another request"}
	case got.Header.Get(n.Stamp) == "" && got.Status < http.StatusMultipleChoices:
		return result{belief: admitter.Failed{}, detail: "answer has no signature"}
	}
	if c.route.Stream && got.Status < http.StatusMultipleChoices {
		return f.receiveStream(client, c, s, got, sent)
	}
	body, err := io.ReadAll(io.LimitReader(got.Body, maxBuffered))
	if err != nil {
		return f.failed(client, c, errors.Wrap(err, "read the answer"))
	}
	if len(body) == maxBuffered {
		return f.receiveLarge(client, c, s, got, body)
	}
	a := &answer{status: got.Status, header: got.Header, body: body}
	if got.Status >= http.StatusInternalServerError {
		out := result{belief: admitter.Failed{}, detail: "upstream answered " + strconv.Itoa(got.Status)}
		if got.Header.Get(n.Stamp) != "" {
			out.answer = a
		}
		return out
	}
	a.write(s.writer)
	f.logEnd(c, a.status, "complete")
	return result{belief: f.served(got, sent, time.Since(sent)), done: true}
}

func (f *Forwarder) served(got *requester.Response, sent time.Time, first time.Duration) admitter.Outcome {
	f.firsts.Observe(first)
	if got.Header.Get("Connection") == "close" && got.Framed {
		return admitter.Leaving{}
	}
	return admitter.Served{First: first, Whole: time.Since(sent)}
}

// rejected reads an upstream's statement that it did not run the request.
func (f *Forwarder) rejected(got *requester.Response) result {
	load, known := parseLoad(got.Header.Get(f.cfg.Names.Load))
	detail := "upstream rejected the request with " + strconv.Itoa(got.Status)
	if known {
		detail += ", load " + got.Header.Get(f.cfg.Names.Load)
	}
	return result{belief: admitter.Rejected{Load: load, LoadKnown: known}, notRun: true, detail: detail}
}

// parseLoad reads "running,waiting,slots".
func parseLoad(text string) (admitter.Load, bool) {
	var l admitter.Load
	fields := strings.Split(text, ",")
	if len(fields) != 3 {
		return l, false
	}
	for i, into := range []*int{&l.Running, &l.Waiting, &l.Slots} {
		n, err := strconv.Atoi(strings.TrimSpace(fields[i]))
		if err != nil {
			return l, false
		}
		*into = n
	}
	return l, true
}

// receiveLarge passes on an answer that is too large to hold back.
func (f *Forwarder) receiveLarge(client context.Context, c *call, s *stream, got *requester.Response, head []byte) result {
	copyHeader(s.writer.Header(), got.Header)
	if got.Length >= 0 {
		s.writer.Header().Set("Content-Length", strconv.FormatInt(got.Length, 10))
	}
	s.writer.WriteHeader(got.Status)
	s.started = true
	if _, err := s.writer.Write(head); err != nil {
		return f.failed(client, c, err)
	}
	if _, err := io.Copy(s.writer, got.Body); err != nil {
		return f.failed(client, c, err)
	}
	f.logEnd(c, got.Status, "complete")
	return result{belief: admitter.Leaving{}, done: true}
}

func (f *Forwarder) logAttempt(c *call, s *stream, g admitter.Granted, r result, sent time.Time) {
	event := logger.EventForwarded
	if !r.done {
		event = logger.EventForwardFailed
	}
	line := f.cfg.Log.Event(event).Str("request", c.id).Str("upstream", string(g.Upstream.ID)).
		Str("upstreamDomain", string(g.Upstream.FailureDomain)).Int("load", g.Load).
		Dur("waitedMs", g.Waited).Dur("tookMs", time.Since(sent)).Uint64("configVersion", uint64(c.version)).
		Uint64("entryVersion", g.Upstream.Version).Int("send", c.sends+1)
	if s.first > 0 {
		line = line.Dur("firstByteMs", s.first)
	}
	if r.detail != "" {
		line = line.Str("detail", r.detail)
	}
	if r.err != nil {
		line = line.AnErr("error", r.err)
	}
	line.Send()
}

func (f *Forwarder) logEnd(c *call, status int, reason string) {
	f.answers.Observe(time.Since(c.arrived))
	f.cfg.Log.Event(logger.EventAnswered).Str("request", c.id).Str("route", c.route.Name).
		Str("service", string(c.service)).Int("status", status).Str("reason", reason).
		Dur("tookMs", time.Since(c.arrived)).Int("sends", c.sends).Int("runs", c.runs).
		Uint64("configVersion", uint64(c.version)).Send()
}
