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
	// orphanTimeout is how long a run that may be retried continues while no entry is attached to its response.
	orphanTimeout = 10 * time.Second
	// customerDigestBytes is the length of the digest by which engines know a customer.
	customerDigestBytes = 16
	// maxRecordedBytes bounds the body of a response that is recorded for replay, and the memory for it.
	maxRecordedBytes = 16 << 20
)

var errOrphaned = errors.New("no entry is attached to the response")

// run is one attempt of a request on the upstream.
type run struct {
	agent    *Agent
	dispatch messenger.Dispatch
	buffer   *streamer.Buffer
	// boot is the upstream's boot id when the run started.
	boot identifier.Boot

	// mu guards cancel, attachedEntries and orphanTimer.
	mu              sync.Mutex
	cancel          context.CancelCauseFunc
	attachedEntries int
	orphanTimer     *time.Timer

	// The response of a service; the body is collected for keyed calls only.
	status  int
	headers []messenger.Header
	body    []byte
	// bodyTooLong is set if the body exceeds maxRecordedBytes.
	bodyTooLong bool
}

// retryable reports whether the request may run again without harm, so that the run may be cancelled.
func (r *run) retryable() bool {
	return r.dispatch.Target.Kind == messenger.TargetModel || r.dispatch.Idempotent
}

// needsClaim reports whether the run is a keyed call, which has to claim its Idempotency-Key before it starts: a call that
// must not run twice and has a key.
func (r *run) needsClaim() bool {
	return !r.retryable() && r.dispatch.Key != ""
}

// claimCall returns the call as the claimer identifies it.
func (r *run) claimCall() claimer.Call {
	d := r.dispatch
	return claimer.Call{
		Customer: d.Customer, Key: d.Key, Request: d.Request, Attempt: d.Attempt, Digest: d.Digest,
	}
}

// claim claims the key of a call that must not run twice. It returns a refusal if the claim was not won, and the recorded
// response if the call has already run. Both are nil if the call may start.
func (r *run) claim() (messenger.Message, *claimer.Response) {
	if !r.needsClaim() {
		return nil, nil
	}
	result, err := r.agent.claims.Claim(context.Background(), r.claimCall())
	if err != nil {
		r.agent.log.Event(logger.EventClaimUnresolved).Stringer("request", r.dispatch.Request).AnErr("cause", err).Send()
		return messenger.Refused{Reason: messenger.ReasonTableUnavailable, RetryAfter: retryAfter}, nil
	}
	switch result := result.(type) {
	case claimer.Won:
		r.agent.log.RecordDecision(logger.Decision{
			Event: logger.EventClaimed, Request: r.dispatch.Request, Choice: string(r.agent.settings.Upstream), Reason: "firstClaim",
		})
		return nil, nil
	case claimer.Held:
		return messenger.ClaimHeld{Node: result.Node, Incarnation: result.Incarnation}, nil
	case claimer.Recorded:
		return nil, &result.Response
	case claimer.KeyReused:
		return messenger.Refused{Reason: messenger.ReasonKeyReused}, nil
	case claimer.ClaimUnknown:
		return r.claimUnknownMessage(result), nil
	}
	return messenger.Refused{Reason: messenger.ReasonTableUnavailable, RetryAfter: retryAfter}, nil
}

// claimUnknownMessage returns the message for the entry after a claim with an unknown result: the table did not respond in
// time, or the row or its recorded response cannot be read. This attempt has not started, but an earlier one may have run.
func (r *run) claimUnknownMessage(unknown claimer.ClaimUnknown) messenger.Message {
	r.agent.log.Event(logger.EventClaimUnresolved).Stringer("request", r.dispatch.Request).AnErr("cause", unknown.Cause).Send()
	if unknown.MayHaveRun {
		return messenger.Broken{Reason: messenger.ReasonClaimUnresolved, MayHaveRun: true}
	}
	return messenger.Refused{Reason: messenger.ReasonTableUnavailable, RetryAfter: retryAfter}
}

// execute runs the request on the upstream and ends its response.
func (r *run) execute() {
	ctx, cancel := context.WithTimeoutCause(context.Background(), r.dispatch.Timeout, context.DeadlineExceeded)
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	r.mu.Lock()
	r.cancel = cancelCause
	r.mu.Unlock()
	r.agent.log.RecordDecision(logger.Decision{
		Event: logger.EventDispatched, Request: r.dispatch.Request, Choice: string(r.agent.settings.Upstream), Reason: "creditHeld",
	})
	var err error
	if r.dispatch.Target.Kind == messenger.TargetService {
		err = r.callService(ctx)
	} else {
		err = r.generate(ctx)
	}
	r.finish(ctx, err)
}

// generate runs a model request on the engine.
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
		Request: d.Request, Customer: engineCustomer(d.Customer), Model: d.Target.Model, Prompt: d.Body, Generated: d.Generated,
		MaxTokens: d.MaxTokens, Priority: d.Priority, Prefix: translator.PrefixDigest(d.Customer, d.Target.Model, d.Body),
	}, func(text []byte) error {
		if first {
			first = false
			r.agent.admission.recordFirstToken(d.Request, time.Since(started))
		}
		return r.buffer.Append(ctx, text)
	})
	if ctx.Err() != nil {
		r.cancelAtEngine(engine)
	}
	return err
}

// cancelAtEngine cancels the request at the engine, which frees its capacity: the engine may notice the closed connection
// late.
func (r *run) cancelAtEngine(engine *driver.Engine) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	// An engine that does not respond has nothing to cancel, or cancels when it notices the closed connection.
	_ = engine.Cancel(ctx, r.dispatch.Request)
}

// callService forwards a call to the service.
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
		r.collectBody(part)
		return r.buffer.Append(ctx, part)
	})
}

// collectBody collects the body of the response to a keyed call, which is recorded at the end.
func (r *run) collectBody(part []byte) {
	if !r.needsClaim() || r.bodyTooLong {
		return
	}
	if len(r.body)+len(part) > maxRecordedBytes {
		r.bodyTooLong, r.body = true, nil
		return
	}
	r.body = append(r.body, part...)
}

// recordedResponse returns the response to record. If the body is too long, it returns the problem that the call may have
// run instead: callers that send the call again must not receive a part of the body.
func (r *run) recordedResponse() claimer.Response {
	if !r.bodyTooLong {
		return claimer.Response{Status: r.status, Headers: r.headers, Body: r.body}
	}
	return r.unresolvedResponse()
}

// unresolvedResponse returns the response for callers that send a call again which may have run and whose response is not
// known.
func (r *run) unresolvedResponse() claimer.Response {
	problem := refuser.Unknown(messenger.ReasonClaimUnresolved)
	problem.Request = r.dispatch.Request
	return claimer.Response{
		Status: problem.Status, Headers: []messenger.Header{{Name: "Content-Type", Value: refuser.ContentType}}, Body: problem.JSON(),
	}
}

// finish ends the response, settles the claim and frees the capacity of the run.
func (r *run) finish(ctx context.Context, err error) {
	var notStarted *driver.NotStartedError
	switch {
	case err == nil:
		r.complete()
	case errors.As(err, &notStarted):
		r.failNotStarted(notStarted)
	case ctx.Err() != nil:
		r.recordUnresolvedResponse()
		r.buffer.Fail(messenger.ReasonDeadline, true)
	default:
		r.recordUnresolvedResponse()
		r.failBroken()
	}
	r.agent.admission.finish(r.dispatch, err == nil)
	r.agent.upstream.remove(r)
}

// complete starts recording the response of a keyed call, then ends it. The caller does not wait for the record: as long
// as this process runs, it answers inquiries from memory.
func (r *run) complete() {
	if r.needsClaim() {
		response := r.recordedResponse()
		r.agent.recordWrites.Go(func() { r.record(response) })
	}
	r.buffer.Finish()
}

// recordUnresolvedResponse starts recording that the outcome of a keyed call is unknown. Callers that send the call again
// receive this immediately instead of waiting for a response that does not arrive.
func (r *run) recordUnresolvedResponse() {
	if r.needsClaim() {
		response := r.unresolvedResponse()
		r.agent.recordWrites.Go(func() { r.record(response) })
	}
}

// record writes the response of a keyed call to the table and logs a failure.
func (r *run) record(response claimer.Response) {
	if err := r.agent.claims.Record(context.Background(), r.claimCall(), response); err != nil {
		r.agent.log.Event(logger.EventPlatformFailed).Str("operation", "recordAnswer").AnErr("cause", err).Send()
	}
}

// failNotStarted ends the response of a request that the upstream did not start, and releases its claim.
func (r *run) failNotStarted(cause *driver.NotStartedError) {
	if cause.Reason == messenger.ReasonUpstreamUnreachable {
		r.agent.admission.markCold("upstream refuses connections")
	}
	if r.needsClaim() {
		r.agent.recordWrites.Go(func() {
			if err := r.agent.claims.Release(context.Background(), r.claimCall()); err != nil {
				r.agent.log.Event(logger.EventPlatformFailed).Str("operation", "releaseClaim").AnErr("cause", err).Send()
			}
		})
	}
	r.buffer.Fail(cause.Reason, false)
}

// failBroken ends a response that broke off.
func (r *run) failBroken() {
	broken := messenger.Broken{Reason: messenger.ReasonUpstreamError, MayHaveRun: true}
	if crash, crashed := r.agent.upstream.confirmCrash(context.Background(), r.boot); crashed {
		broken.Reason, broken.Crash = messenger.ReasonUpstreamDied, crash
	}
	r.buffer.FailWith(broken)
}

// countEntry counts an entry that attaches to the response or detaches from it. A run that may be retried is cancelled
// after orphanTimeout without an attached entry.
func (r *run) countEntry(attached bool) {
	if r == nil || !r.retryable() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if attached {
		r.attachedEntries++
		if r.orphanTimer != nil {
			r.orphanTimer.Stop()
		}
		return
	}
	r.attachedEntries--
	if r.attachedEntries == 0 {
		r.orphanTimer = time.AfterFunc(orphanTimeout, r.cancelIfRetryable)
	}
}

// cancelIfRetryable cancels a run whose caller is gone. A call that must not be retried runs to its end, so that its
// response can be recorded.
func (r *run) cancelIfRetryable() {
	if r == nil || !r.retryable() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel(errOrphaned)
	}
}

// scopedKey returns the Idempotency-Key for the service. It differs between customers, so that a service which replays
// responses by key alone cannot return the response of one customer to another that uses the same key.
func scopedKey(d messenger.Dispatch) identifier.Key {
	if d.Key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(fmt.Sprintf("%d:%s%s", len(d.Customer), d.Customer, d.Key)))
	return identifier.Key(hex.EncodeToString(sum[:]))
}

// engineCustomer returns the salted digest that engines receive instead of the customer's name.
func engineCustomer(customer identifier.Customer) identifier.Digest {
	sum := sha256.Sum256([]byte("engine:" + string(customer)))
	return identifier.Digest(hex.EncodeToString(sum[:customerDigestBytes]))
}
