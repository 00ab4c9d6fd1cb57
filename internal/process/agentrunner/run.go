package agentrunner

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/driver"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/request/claimer"
	"currantledge.example/currantledge/internal/request/refuser"
	"currantledge.example/currantledge/internal/request/streamer"
	"currantledge.example/currantledge/internal/request/translator"
)

const (
	// orphanAfter is how long a repeatable request runs on while no entry is attached to it.
	orphanAfter = 10 * time.Second
	saltBytes   = 16
	// maxRecorded bounds the memory for an answer that is recorded for replay.
	maxRecorded = 16 << 20
)

var errOrphaned = errors.New("no entry asks for the answer")

// run is one request on the upstream.
type run struct {
	agent    *Agent
	dispatch messenger.Dispatch
	buffer   *streamer.Buffer
	// boot is the upstream's boot id when the run started.
	boot identifier.Boot

	mu      sync.Mutex
	cancel  context.CancelCauseFunc
	readers int
	orphan  *time.Timer

	status  int
	headers []messenger.Header
	body    []byte
	// tooLong is set if the answer is longer than what is recorded.
	tooLong bool
}

// repeatable tells whether the run may be cancelled, because another run does no harm.
func (r *run) repeatable() bool {
	return r.dispatch.Target.Kind == messenger.TargetModel || r.dispatch.Idempotent
}

func (r *run) keyed() bool {
	return !r.repeatable() && r.dispatch.Key != ""
}

func (r *run) call() claimer.Call {
	d := r.dispatch
	return claimer.Call{
		Customer: d.Customer, Key: d.Key, Request: d.Request, Attempt: d.Attempt, Digest: d.Digest,
	}
}

// claim claims the key of a call that must not run twice. It returns the refusal if another attempt holds it, and the
// recorded answer if the call has run.
func (r *run) claim() (messenger.Message, *claimer.Response) {
	if !r.keyed() {
		return nil, nil
	}
	verdict, err := r.agent.claims.Claim(context.Background(), r.call())
	if err != nil {
		r.agent.log.Event(logger.EventClaimUnsure).Stringer("request", r.dispatch.Request).AnErr("cause", err).Send()
		return messenger.Refused{Reason: messenger.ReasonTableUnavailable, RetryAfter: retryAfter}, nil
	}
	switch v := verdict.(type) {
	case claimer.Won:
		r.agent.log.Decide(logger.Decision{
			Event: logger.EventClaimed, Request: r.dispatch.Request, Choice: string(r.agent.settings.Upstream), Reason: "firstClaim",
		})
		return nil, nil
	case claimer.Held:
		return messenger.ClaimHeld{Node: v.Node, Incarnation: v.Incarnation}, nil
	case claimer.Recorded:
		return nil, &v.Response
	case claimer.Mismatch:
		return messenger.Refused{Reason: messenger.ReasonKeyReused}, nil
	case claimer.Unsure:
		return r.unsure(v), nil
	}
	return messenger.Refused{Reason: messenger.ReasonTableUnavailable, RetryAfter: retryAfter}, nil
}

// unsure tells the outcome after the table did not answer. This attempt has not started, but an earlier one may have.
func (r *run) unsure(v claimer.Unsure) messenger.Message {
	r.agent.log.Event(logger.EventClaimUnsure).Stringer("request", r.dispatch.Request).AnErr("cause", v.Cause).Send()
	if v.MayHaveRun {
		return messenger.Broken{Reason: messenger.ReasonClaimUnresolved, MayHaveRun: true}
	}
	return messenger.Refused{Reason: messenger.ReasonTableUnavailable, RetryAfter: retryAfter}
}

// execute runs the request on the upstream and ends its answer.
func (r *run) execute() {
	ctx, cancel := context.WithTimeoutCause(context.Background(), r.dispatch.Timeout, context.DeadlineExceeded)
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	r.mu.Lock()
	r.cancel = cancelCause
	r.mu.Unlock()
	r.agent.log.Decide(logger.Decision{
		Event: logger.EventDispatched, Request: r.dispatch.Request, Choice: string(r.agent.settings.Upstream), Reason: "creditHeld",
	})
	var err error
	if r.dispatch.Target.Kind == messenger.TargetService {
		err = r.callService(ctx)
	} else {
		err = r.generate(ctx)
	}
	r.settle(ctx, err)
}

func (r *run) generate(ctx context.Context) error {
	engine := r.agent.upstream.engine
	if engine == nil {
		return &driver.NotStartedError{Reason: messenger.ReasonUnknownTarget, Cause: errors.New("the upstream is a plain service")}
	}
	d := r.dispatch
	started := time.Now()
	first := true
	r.buffer.SetHead(messenger.Head{Request: d.Request, Customer: d.Customer, Status: http.StatusOK})
	_, err := engine.Generate(ctx, driver.Generation{
		Request: d.Request, Customer: Salted(d.Customer), Model: d.Target.Model, Prompt: d.Body, Generated: d.Generated,
		MaxTokens: d.MaxTokens, Priority: d.Priority, Prefix: translator.PrefixDigest(d.Customer, d.Target.Model, d.Body),
	}, func(text []byte) error {
		if first {
			first = false
			r.agent.admission.firstToken(d.Request, time.Since(started))
		}
		return r.buffer.Append(ctx, text)
	})
	if ctx.Err() != nil {
		r.cancelAtEngine(engine)
	}
	return err
}

// cancelAtEngine frees the engine's capacity; the closed connection alone may be noticed late.
func (r *run) cancelAtEngine(engine *driver.Engine) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	// An engine that does not answer has nothing to cancel or cancels when it sees the closed connection.
	_ = engine.Cancel(ctx, r.dispatch.Request)
}

func (r *run) callService(ctx context.Context) error {
	service := r.agent.upstream.service
	if service == nil {
		return &driver.NotStartedError{Reason: messenger.ReasonUnknownTarget, Cause: errors.New("the upstream is a model engine")}
	}
	d := r.dispatch
	return service.Call(ctx, driver.Call{
		Request: d.Request, Method: d.Method, Path: d.Path, Headers: d.Headers, Body: d.Body, Key: scopedKey(d),
	}, func(status int, headers []messenger.Header) error {
		r.status, r.headers = status, headers
		r.buffer.SetHead(messenger.Head{Request: d.Request, Customer: d.Customer, Status: status, Headers: headers})
		return nil
	}, func(part []byte) error {
		r.keep(part)
		return r.buffer.Append(ctx, part)
	})
}

// keep collects the answer of a keyed call for its record.
func (r *run) keep(part []byte) {
	if !r.keyed() || r.tooLong {
		return
	}
	if len(r.body)+len(part) > maxRecorded {
		r.tooLong, r.body = true, nil
		return
	}
	r.body = append(r.body, part...)
}

// answer returns what is recorded. A caller that sends a call with a very long answer again learns that it has run, but
// not the answer, which is never shown in part.
func (r *run) answer() claimer.Response {
	if !r.tooLong {
		return claimer.Response{Status: r.status, Headers: r.headers, Body: r.body}
	}
	return r.unresolved()
}

// unresolved returns the answer to callers that send a call again which may have run and whose answer is not known.
func (r *run) unresolved() claimer.Response {
	problem := refuser.Unknown(messenger.ReasonClaimUnresolved)
	problem.Request = r.dispatch.Request
	return claimer.Response{
		Status: problem.Status, Headers: []messenger.Header{{Name: "Content-Type", Value: refuser.ContentType}}, Body: problem.JSON(),
	}
}

// settle ends the answer and gives the capacity back.
func (r *run) settle(ctx context.Context, err error) {
	var notStarted *driver.NotStartedError
	switch {
	case err == nil:
		r.complete()
	case errors.As(err, &notStarted):
		r.release(notStarted)
	case ctx.Err() != nil:
		r.recordUnresolved()
		r.buffer.Fail(messenger.ReasonDeadline, true)
	default:
		r.recordUnresolved()
		r.fail()
	}
	r.agent.admission.finish(r.dispatch, err == nil)
	r.agent.upstream.end(r)
}

// complete records the answer of a keyed call, then ends it. The caller does not wait for the record: while this
// process lives, it answers inquiries from memory.
func (r *run) complete() {
	if r.keyed() {
		answer := r.answer()
		r.agent.records.Go(func() { r.record(answer) })
	}
	r.buffer.Finish()
}

// recordUnresolved lets callers that send a broken call again learn at once that its outcome is unknown, instead of
// waiting for an answer that never comes.
func (r *run) recordUnresolved() {
	if r.keyed() {
		answer := r.unresolved()
		r.agent.records.Go(func() { r.record(answer) })
	}
}

func (r *run) record(answer claimer.Response) {
	if err := r.agent.claims.Record(context.Background(), r.call(), answer); err != nil {
		r.agent.log.Event(logger.EventPlatformFailed).Str("operation", "recordAnswer").AnErr("cause", err).Send()
	}
}

// release ends an answer of which nothing ran.
func (r *run) release(cause *driver.NotStartedError) {
	if cause.Reason == messenger.ReasonUpstreamUnreachable {
		r.agent.admission.cool("upstream refuses connections")
	}
	if r.keyed() {
		r.agent.records.Go(func() {
			if err := r.agent.claims.Release(context.Background(), r.call()); err != nil {
				r.agent.log.Event(logger.EventPlatformFailed).Str("operation", "releaseClaim").AnErr("cause", err).Send()
			}
		})
	}
	r.buffer.Fail(cause.Reason, false)
}

// fail ends an answer that broke off.
func (r *run) fail() {
	broken := messenger.Broken{Reason: messenger.ReasonUpstreamError, MayHaveRun: true}
	if crash, died := r.agent.upstream.broke(context.Background(), r.boot); died {
		broken.Reason, broken.Crash = messenger.ReasonUpstreamDied, crash
	}
	r.buffer.FailWith(broken)
}

// attended counts the entries attached to the answer. A repeatable run without any is cancelled after a while.
func (r *run) attended(here bool) {
	if r == nil || !r.repeatable() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if here {
		r.readers++
		if r.orphan != nil {
			r.orphan.Stop()
		}
		return
	}
	r.readers--
	if r.readers == 0 {
		r.orphan = time.AfterFunc(orphanAfter, r.cancelIfRepeatable)
	}
}

// cancelIfRepeatable stops a run whose caller is gone. A call that must not be repeated runs to its end, so that its
// answer can be recorded.
func (r *run) cancelIfRepeatable() {
	if r == nil || !r.repeatable() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel(errOrphaned)
	}
}

// scopedKey returns the Idempotency-Key for the service. It is different for each customer, so that a service which
// replays answers by key alone cannot give one customer the answer of another that chose the same key.
func scopedKey(d messenger.Dispatch) identifier.Key {
	if d.Key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(fmt.Sprintf("%d:%s%s", len(d.Customer), d.Customer, d.Key)))
	return identifier.Key(hex.EncodeToString(sum[:]))
}

// Salted returns the digest that stands for a customer at engines.
func Salted(customer identifier.Customer) identifier.Digest {
	sum := sha256.Sum256([]byte("engine:" + string(customer)))
	return identifier.Digest(hex.EncodeToString(sum[:saltBytes]))
}
