package streamer

import (
	"context"
	"time"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
)

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
	if r.reason == messenger.ReasonAnswerMismatch || r.reason == messenger.ReasonDeadline {
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
		messenger.ReasonUpstreamUnreachable, messenger.ReasonRequestNotFound, messenger.ReasonWithdrawn:
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
