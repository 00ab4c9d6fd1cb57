package streamer

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/request/queuer"
	"currantledge.example/currantledge/internal/request/refuser"
)

const (
	// reattachTimeout is how long an entry tries to re-attach to an attempt without progress before the attempt counts as
	// lost. It also bounds an inquiry about a claim.
	reattachTimeout = 3 * time.Second
	// ackIntervalBytes is the number of bytes that an entry receives before it acknowledges them.
	ackIntervalBytes = 32 << 10
)

// result is the result of an attempt.
type result interface{ result() }

type (
	// resultComplete means that the response is complete and verified.
	resultComplete struct{}
	// resultRefused means that the attempt has not started.
	resultRefused struct{ reason messenger.Reason }
	// resultBroken means that the attempt failed after admission.
	resultBroken struct {
		reason     messenger.Reason
		mayHaveRun bool
		crash      identifier.Crash
	}
	// resultLost means that the connection failed and the state of the attempt is unknown.
	resultLost struct{}
	// resultHeld means that another attempt holds the claim of the key.
	resultHeld struct{ claim messenger.ClaimHeld }
	// resultCancelled means that the caller closed its connection or the deadline of the request passed.
	resultCancelled struct{}
)

func (resultComplete) result()  {}
func (resultRefused) result()   {}
func (resultBroken) result()    {}
func (resultLost) result()      {}
func (resultHeld) result()      {}
func (resultCancelled) result() {}

// session serves one request over one or more attempts. It is used by one goroutine.
type session struct {
	dispatcher *Dispatcher
	call       Call
	sink       Sink
	// attemptNumber is the number of the latest attempt.
	attemptNumber identifier.Attempt
	// generated is the model text that the sink has received.
	generated []byte
	// headSent is set once the sink has received the head.
	headSent bool
	// attempt is the latest attempt; nil before the first one.
	attempt *attempt
	// mayHaveRun is set once an attempt that may have run has ended. From then on a refusal no longer means not run.
	mayHaveRun bool
}

// attempt is the state of one dispatch at the entry.
type attempt struct {
	number      identifier.Attempt
	upstream    identifier.Upstream
	incarnation identifier.Incarnation
	// started is set once the agent has admitted the attempt.
	started bool
	// replay is set while the response of an earlier request with the same key is received.
	replay bool
	// offset is the number of bytes received.
	offset identifier.Bytes
	// acked is the number of bytes acknowledged.
	acked identifier.Bytes
	// digest covers the bytes received.
	digest *xxhash.Digest
}

// runAttempt dispatches the request with a credit and receives the response until the attempt ends, over several
// connections if necessary.
func (s *session) runAttempt(ctx context.Context, m queuer.Match) result {
	s.attemptNumber++
	s.attempt = &attempt{number: s.attemptNumber, upstream: m.Upstream, incarnation: m.Incarnation, digest: xxhash.New()}
	member, ok := s.dispatcher.cfg.Pool.Member(m.Upstream)
	if !ok || member.Link.Peer().Incarnation != m.Incarnation {
		return resultRefused{reason: messenger.ReasonOldIncarnation}
	}
	dispatch := s.dispatchMessage(m)
	r := s.exchange(ctx, member.Link, dispatch)
	if _, lost := r.(resultLost); lost {
		return s.reattach(ctx)
	}
	return r
}

func (s *session) dispatchMessage(m queuer.Match) messenger.Dispatch {
	c := s.call
	return messenger.Dispatch{
		Request: c.Request, Attempt: s.attemptNumber, Customer: c.Customer, Incarnation: m.Incarnation, Serial: m.Serial,
		Target: c.Target, Method: c.Method, Path: c.Path, Headers: c.Headers, Body: c.Body, Key: c.Key,
		Idempotent: c.Idempotent, Priority: c.Priority, Timeout: time.Until(c.Deadline), MaxTokens: c.MaxTokens,
		Generated: s.generated, Digest: c.Digest,
	}
}

// exchange opens a request stream, sends the first message and handles the response until it ends. If ctx ends, it
// cancels the attempt.
func (s *session) exchange(ctx context.Context, link *linker.Link, first messenger.Message) result {
	stream, err := link.Open(ctx)
	if err != nil {
		return lostOrCancelled(ctx)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() {
		_ = stream.Send(messenger.Cancel{})
		stream.Close()
	})
	defer stop()
	if err := stream.Send(first); err != nil {
		return lostOrCancelled(ctx)
	}
	for {
		m, err := stream.Receive()
		if err != nil {
			return lostOrCancelled(ctx)
		}
		if r := s.handle(stream, m); r != nil {
			return r
		}
	}
}

// lostOrCancelled returns the result after a stream has failed.
func lostOrCancelled(ctx context.Context) result {
	if ctx.Err() != nil {
		return resultCancelled{}
	}
	return resultLost{}
}

// handle processes one message of the response. It returns nil until the response ends.
func (s *session) handle(stream *linker.Stream, m messenger.Message) result {
	switch m := m.(type) {
	case messenger.Started:
		return s.checkIdentity(m.Request, m.Customer)
	case messenger.Head:
		return s.deliverHead(m)
	case messenger.Data:
		return s.deliverData(stream, m)
	case messenger.End:
		return s.verifyEnd(stream, m)
	case messenger.Refused:
		return resultRefused{reason: m.Reason}
	case messenger.Broken:
		// The entry does not re-attach to this attempt, so the agent can drop its response.
		_ = stream.Send(messenger.Ack{Offset: s.attempt.offset, Finished: true})
		return resultBroken{reason: m.Reason, mayHaveRun: m.MayHaveRun, crash: m.Crash}
	case messenger.ClaimHeld:
		return resultHeld{claim: m}
	default:
		return resultBroken{reason: messenger.ReasonAnswerMismatch, mayHaveRun: true}
	}
}

// checkIdentity checks that the response belongs to this request and customer, and marks the attempt as started.
func (s *session) checkIdentity(id identifier.Request, customer identifier.Customer) result {
	if customer != s.call.Customer || (id != s.call.Request && !s.attempt.replay) {
		return resultBroken{reason: messenger.ReasonAnswerMismatch, mayHaveRun: true}
	}
	s.attempt.started = true
	return nil
}

// deliverHead delivers the head of the response, once for all attempts.
func (s *session) deliverHead(m messenger.Head) result {
	if r := s.checkIdentity(m.Request, m.Customer); r != nil {
		return r
	}
	if s.headSent {
		return nil
	}
	s.headSent = true
	if err := s.sink.Head(m.Status, m.Headers); err != nil {
		return resultCancelled{}
	}
	return nil
}

// deliverData delivers the bytes after those delivered before and acknowledges them at intervals. It skips repeated
// bytes. A gap means that a message was lost.
func (s *session) deliverData(stream *linker.Stream, m messenger.Data) result {
	a := s.attempt
	if m.Offset > a.offset {
		return resultLost{}
	}
	skip := a.offset - m.Offset
	if skip >= identifier.Bytes(len(m.Payload)) {
		return nil
	}
	payload := m.Payload[skip:]
	a.offset += identifier.Bytes(len(payload))
	_, _ = a.digest.Write(payload)
	if s.call.Target.Kind == messenger.TargetModel {
		s.generated = append(s.generated, payload...)
	}
	if err := s.sink.Data(payload); err != nil {
		return resultCancelled{}
	}
	if a.offset-a.acked < ackIntervalBytes {
		return nil
	}
	a.acked = a.offset
	if err := stream.Send(messenger.Ack{Offset: a.offset}); err != nil {
		return resultLost{}
	}
	return nil
}

// verifyEnd verifies the length and the digest of the response and acknowledges it as finished.
func (s *session) verifyEnd(stream *linker.Stream, m messenger.End) result {
	a := s.attempt
	if m.Length > a.offset {
		return resultLost{}
	}
	if m.Length != a.offset || m.Digest != a.digest.Sum64() {
		return resultBroken{reason: messenger.ReasonAnswerMismatch, mayHaveRun: true}
	}
	// If this acknowledgement is lost, the agent drops the response after its retention time.
	_ = stream.Send(messenger.Ack{Offset: a.offset, Finished: true})
	return resultComplete{}
}

// reattach continues the attempt over a new connection. An agent that does not know the attempt ensures that it never
// starts, so that a refusal means not run.
func (s *session) reattach(ctx context.Context) result {
	deadline := time.Now().Add(reattachTimeout)
	for time.Now().Before(deadline) {
		waitCtx, cancel := context.WithDeadline(ctx, deadline)
		link, err := s.dispatcher.cfg.Pool.Await(waitCtx, s.attempt.upstream)
		cancel()
		if err != nil {
			break
		}
		if link.Peer().Incarnation != s.attempt.incarnation {
			return resultBroken{reason: messenger.ReasonAgentLost, mayHaveRun: true}
		}
		offset := s.attempt.offset
		s.dispatcher.cfg.Log.RecordDecision(logger.Decision{
			Event: logger.EventReattached, Request: s.call.Request, Choice: string(s.attempt.upstream), Reason: "connectionLost",
		})
		r := s.exchange(ctx, link, messenger.Attach{
			Request: s.call.Request, Attempt: s.attempt.number, Customer: s.call.Customer, Offset: offset,
		})
		switch r := r.(type) {
		case resultLost:
			if s.attempt.offset > offset {
				deadline = time.Now().Add(reattachTimeout)
			}
			waiter.For(ctx, retryDelay)
		case resultRefused:
			if s.attempt.started {
				return resultBroken{reason: r.reason, mayHaveRun: true}
			}
			return r
		default:
			return r
		}
	}
	if ctx.Err() != nil {
		return resultCancelled{}
	}
	return resultBroken{reason: messenger.ReasonAgentLost, mayHaveRun: true}
}

// inquire queries the outcome of the call from the agent that holds the claim of its key, and receives the recorded
// response if the call has run.
func (s *session) inquire(ctx context.Context, claim messenger.ClaimHeld) result {
	s.dispatcher.cfg.Log.RecordDecision(logger.Decision{
		Event: logger.EventClaimHeld, Request: s.call.Request, Choice: string(claim.Node), Reason: "keyClaimedEarlier",
	})
	deadline := time.Now().Add(reattachTimeout)
	waitCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for {
		link, err := s.dispatcher.cfg.Pool.AwaitNode(waitCtx, claim.Node)
		if err != nil || link.Peer().Incarnation != claim.Incarnation {
			break
		}
		s.attempt = &attempt{
			number: s.attemptNumber, upstream: link.Peer().Upstream, incarnation: claim.Incarnation,
			replay: true, digest: xxhash.New(),
		}
		if !s.restart() {
			break
		}
		r := s.exchange(ctx, link, messenger.Inquire{
			Customer: s.call.Customer, Key: s.call.Key, Digest: s.call.Digest, Incarnation: claim.Incarnation,
		})
		if _, lost := r.(resultLost); !lost {
			return r
		}
		waiter.For(waitCtx, retryDelay)
	}
	if ctx.Err() != nil {
		return resultCancelled{}
	}
	return resultBroken{reason: messenger.ReasonClaimUnresolved, mayHaveRun: true}
}

// restart discards a response that has not been sent to the caller. It reports false if a part has been sent.
func (s *session) restart() bool {
	if !s.sink.Restart() {
		return false
	}
	s.headSent = false
	s.generated = nil
	return true
}

// resultError returns the error for the caller after a result, or nil if the response is complete.
func (s *session) resultError(r result) error {
	switch r := r.(type) {
	case resultComplete:
		return nil
	case resultRefused:
		return s.refusedError(r.reason)
	case resultBroken:
		return refuser.Unknown(r.reason)
	case resultCancelled:
		return s.cancelledError()
	default:
		return refuser.Unknown(messenger.ReasonAgentLost)
	}
}

// refusedError returns the error of a request whose last attempt has not started. The outcome is not run, or unknown if
// an earlier attempt may have run.
func (s *session) refusedError(reason messenger.Reason) error {
	if s.mayHaveRun {
		return refuser.Unknown(reason)
	}
	return refuser.NotRun(reason, retryAfter)
}

// cancelledError returns the error after the caller closed its connection or the deadline passed.
func (s *session) cancelledError() error {
	if time.Now().Before(s.call.Deadline) {
		return ErrCallerGone
	}
	if s.attempt == nil {
		return refuser.NotRun(messenger.ReasonWaitedTooLong, retryAfter)
	}
	return refuser.Unknown(messenger.ReasonDeadline)
}
