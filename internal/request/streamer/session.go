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
	// reattachTimeout bounds the attempts to reach an agent again before its stream counts as lost.
	reattachTimeout = 3 * time.Second
	// ackEvery is how many bytes an entry takes before it acknowledges them.
	ackEvery = 32 << 10
)

// result is how an attempt ended.
type result interface{ result() }

type (
	// resultDone means that the answer is whole and verified.
	resultDone struct{}
	// resultRefused means that the attempt has not started.
	resultRefused struct{ reason messenger.Reason }
	// resultBroken means that the attempt failed after admission.
	resultBroken struct {
		reason     messenger.Reason
		mayHaveRun bool
		crash      identifier.Crash
	}
	// resultLost means that the connection failed and the attempt's state is not known.
	resultLost struct{}
	// resultHeld means that another attempt holds the claim of the key.
	resultHeld struct{ claim messenger.ClaimHeld }
	// resultGone means that the caller is gone or its deadline passed.
	resultGone struct{}
)

func (resultDone) result()    {}
func (resultRefused) result() {}
func (resultBroken) result()  {}
func (resultLost) result()    {}
func (resultHeld) result()    {}
func (resultGone) result()    {}

// session serves one request over as many attempts as it takes.
type session struct {
	dispatcher *Dispatcher
	call       Call
	sink       Sink
	number     identifier.Attempt
	// generated is the model text that the caller has.
	generated []byte
	headSent  bool
	attempt   *attempt
	// mayHaveRun is set once an attempt has ended that may have run. From then on no refusal means not run.
	mayHaveRun bool
}

// attempt is the state of one dispatch.
type attempt struct {
	number      identifier.Attempt
	upstream    identifier.Upstream
	incarnation identifier.Incarnation
	started     bool
	// replay is set while the answer of an earlier request with the same key is received.
	replay bool
	offset identifier.Bytes
	acked  identifier.Bytes
	digest *xxhash.Digest
}

// run dispatches the request with a credit and follows the attempt to its end, over several connections if need be.
func (s *session) run(ctx context.Context, m queuer.Match) result {
	s.number++
	s.attempt = &attempt{number: s.number, upstream: m.Upstream, incarnation: m.Incarnation, digest: xxhash.New()}
	member, ok := s.dispatcher.cfg.Pool.Member(m.Upstream)
	if !ok || member.Link.Peer().Incarnation != m.Incarnation {
		return resultRefused{reason: messenger.ReasonOldIncarnation}
	}
	dispatch := s.dispatch(m)
	outcome := s.exchange(ctx, member.Link, dispatch)
	if _, lost := outcome.(resultLost); lost {
		return s.reattach(ctx)
	}
	return outcome
}

func (s *session) dispatch(m queuer.Match) messenger.Dispatch {
	c := s.call
	return messenger.Dispatch{
		Request: c.Request, Attempt: s.number, Customer: c.Customer, Incarnation: m.Incarnation, Serial: m.Serial,
		Target: c.Target, Method: c.Method, Path: c.Path, Headers: c.Headers, Body: c.Body, Key: c.Key,
		Idempotent: c.Idempotent, Priority: c.Priority, Timeout: time.Until(c.Deadline), MaxTokens: c.MaxTokens,
		Generated: s.generated, Digest: c.Digest,
	}
}

// exchange opens a request stream with a first message and handles the answer.
func (s *session) exchange(ctx context.Context, link *linker.Link, first messenger.Message) result {
	stream, err := link.Open(ctx)
	if err != nil {
		return lostOrGone(ctx)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() {
		_ = stream.Send(messenger.Cancel{})
		stream.Close()
	})
	defer stop()
	if err := stream.Send(first); err != nil {
		return lostOrGone(ctx)
	}
	for {
		m, err := stream.Receive()
		if err != nil {
			return lostOrGone(ctx)
		}
		if r := s.handle(stream, m); r != nil {
			return r
		}
	}
}

func lostOrGone(ctx context.Context) result {
	if ctx.Err() != nil {
		return resultGone{}
	}
	return resultLost{}
}

// handle takes one message of the answer. It returns nil while the answer goes on.
func (s *session) handle(stream *linker.Stream, m messenger.Message) result {
	switch m := m.(type) {
	case messenger.Started:
		return s.start(m.Request, m.Customer)
	case messenger.Head:
		return s.head(m)
	case messenger.Data:
		return s.data(stream, m)
	case messenger.End:
		return s.end(stream, m)
	case messenger.Refused:
		return resultRefused{reason: m.Reason}
	case messenger.Broken:
		// The agent need not keep what will not be asked for again.
		_ = stream.Send(messenger.Ack{Offset: s.attempt.offset, Finished: true})
		return resultBroken{reason: m.Reason, mayHaveRun: m.MayHaveRun, crash: m.Crash}
	case messenger.ClaimHeld:
		return resultHeld{claim: m}
	default:
		return resultBroken{reason: messenger.ReasonAnswerMismatch, mayHaveRun: true}
	}
}

// start checks that the answer belongs to this request and customer.
func (s *session) start(id identifier.Request, customer identifier.Customer) result {
	if customer != s.call.Customer || (id != s.call.Request && !s.attempt.replay) {
		return resultBroken{reason: messenger.ReasonAnswerMismatch, mayHaveRun: true}
	}
	s.attempt.started = true
	return nil
}

func (s *session) head(m messenger.Head) result {
	if r := s.start(m.Request, m.Customer); r != nil {
		return r
	}
	if s.headSent {
		return nil
	}
	s.headSent = true
	if err := s.sink.Head(m.Status, m.Headers); err != nil {
		return resultGone{}
	}
	return nil
}

// data delivers the bytes that follow those delivered before. A repeated part is skipped; a gap is a lost message.
func (s *session) data(stream *linker.Stream, m messenger.Data) result {
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
		return resultGone{}
	}
	if a.offset-a.acked < ackEvery {
		return nil
	}
	a.acked = a.offset
	if err := stream.Send(messenger.Ack{Offset: a.offset}); err != nil {
		return resultLost{}
	}
	return nil
}

func (s *session) end(stream *linker.Stream, m messenger.End) result {
	a := s.attempt
	if m.Length > a.offset {
		return resultLost{}
	}
	if m.Length != a.offset || m.Digest != a.digest.Sum64() {
		return resultBroken{reason: messenger.ReasonAnswerMismatch, mayHaveRun: true}
	}
	// The agent drops the answer after its retention time if this acknowledgement is lost.
	_ = stream.Send(messenger.Ack{Offset: a.offset, Finished: true})
	return resultDone{}
}

// reattach goes on with the attempt over a new connection. An agent that does not know the attempt makes sure
// that it never starts, so that a refusal means not run.
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
		s.dispatcher.cfg.Log.Decide(logger.Decision{
			Event: logger.EventReattached, Request: s.call.Request, Choice: string(s.attempt.upstream), Reason: "connectionLost",
		})
		outcome := s.exchange(ctx, link, messenger.Attach{
			Request: s.call.Request, Attempt: s.attempt.number, Customer: s.call.Customer, Offset: offset,
		})
		switch outcome := outcome.(type) {
		case resultLost:
			if s.attempt.offset > offset {
				deadline = time.Now().Add(reattachTimeout)
			}
			waiter.For(ctx, retryPause)
		case resultRefused:
			if s.attempt.started {
				return resultBroken{reason: outcome.reason, mayHaveRun: true}
			}
			return outcome
		default:
			return outcome
		}
	}
	if ctx.Err() != nil {
		return resultGone{}
	}
	return resultBroken{reason: messenger.ReasonAgentLost, mayHaveRun: true}
}

// inquire asks the agent that holds the claim of the key for the outcome.
func (s *session) inquire(ctx context.Context, claim messenger.ClaimHeld) result {
	s.dispatcher.cfg.Log.Decide(logger.Decision{
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
			number: s.number, upstream: link.Peer().Upstream, incarnation: claim.Incarnation,
			replay: true, digest: xxhash.New(),
		}
		if !s.restart() {
			break
		}
		outcome := s.exchange(ctx, link, messenger.Inquire{
			Customer: s.call.Customer, Key: s.call.Key, Digest: s.call.Digest, Incarnation: claim.Incarnation,
		})
		if _, lost := outcome.(resultLost); !lost {
			return outcome
		}
		waiter.For(waitCtx, retryPause)
	}
	if ctx.Err() != nil {
		return resultGone{}
	}
	return resultBroken{reason: messenger.ReasonClaimUnresolved, mayHaveRun: true}
}

// restart discards an undelivered answer. It reports false if the caller already has a part of it.
func (s *session) restart() bool {
	if !s.sink.Restart() {
		return false
	}
	s.headSent = false
	s.generated = nil
	return true
}

// problem returns the error for a caller, or nil if the answer is whole.
func (s *session) problem(r result) error {
	switch r := r.(type) {
	case resultDone:
		return nil
	case resultRefused:
		return s.refused(r.reason)
	case resultBroken:
		return refuser.Unknown(r.reason)
	case resultGone:
		return s.expired()
	default:
		return refuser.Unknown(messenger.ReasonAgentLost)
	}
}

// refused returns the problem of a request whose last attempt has not started.
func (s *session) refused(reason messenger.Reason) error {
	if s.mayHaveRun {
		return refuser.Unknown(reason)
	}
	return refuser.NotRun(reason, retryAfter)
}

// expired returns the error after the caller went away or its deadline passed.
func (s *session) expired() error {
	if time.Now().Before(s.call.Deadline) {
		return ErrCallerGone
	}
	if s.attempt == nil {
		return refuser.NotRun(messenger.ReasonWaitedTooLong, retryAfter)
	}
	return refuser.Unknown(messenger.ReasonDeadline)
}
