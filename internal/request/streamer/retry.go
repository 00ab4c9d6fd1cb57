package streamer

import (
	"context"
	"time"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
)

// serve runs up to maxAttempts attempts, until one completes or a further one would not be safe or useful. It returns the
// error for the caller.
func (s *session) serve(ctx context.Context) error {
	avoid := map[identifier.Upstream]time.Time{}
	for range maxAttempts {
		match, err := s.acquire(ctx, avoid)
		if err != nil {
			return err
		}
		r := s.runAttempt(ctx, match)
		if held, ok := r.(resultHeld); ok {
			r = s.inquire(ctx, held.claim)
		}
		if broken, ok := r.(resultBroken); ok && broken.mayHaveRun {
			s.mayHaveRun = true
		}
		if !s.shouldRetry(r) {
			return s.resultError(r)
		}
		if avoidsUpstream(r) {
			avoid[match.Upstream] = time.Now().Add(avoidDuration)
		}
		event := logger.EventRequeued
		if s.headSent {
			event = logger.EventResumed
		}
		s.dispatcher.cfg.Log.RecordDecision(logger.Decision{
			Event: event, Request: s.call.Request, Choice: "anotherAttempt", Reason: reasonOf(r),
		})
	}
	return s.exhaustedError()
}

// shouldRetry reports whether another attempt is safe and useful.
func (s *session) shouldRetry(r result) bool {
	switch r := r.(type) {
	case resultRefused:
		return isTransient(r.reason)
	case resultBroken:
		return s.shouldRetryBroken(r)
	default:
		return false
	}
}

// shouldRetryBroken reports whether an attempt that failed after admission may be retried. A service call is retried only
// if it cannot have run or is idempotent, and if no part of its response has been sent to the caller. A model stream is
// resumed after the text that the caller has received. shouldRetryBroken also reports a crash of the upstream to OnCrash,
// and discards the buffered response of a service call that is to be retried.
func (s *session) shouldRetryBroken(r resultBroken) bool {
	if r.crash != "" {
		s.dispatcher.cfg.OnCrash(s.call.Digest, r.crash)
	}
	if r.reason == messenger.ReasonAnswerMismatch || r.reason == messenger.ReasonDeadline {
		return false
	}
	if s.call.Target.Kind == messenger.TargetModel {
		return true
	}
	return (s.call.Idempotent || !r.mayHaveRun) && s.restart()
}

// isTransient reports whether the request may be accepted later or by another upstream after a refusal for this reason.
func isTransient(reason messenger.Reason) bool {
	switch reason {
	case messenger.ReasonNoCredit, messenger.ReasonOldIncarnation, messenger.ReasonDraining, messenger.ReasonOverloaded,
		messenger.ReasonUpstreamUnreachable, messenger.ReasonRequestNotFound, messenger.ReasonWithdrawn:
		return true
	default:
		return false
	}
}

// avoidsUpstream reports whether the request avoids the upstream for avoidDuration after this result. A credit that was
// revoked in the meantime is no reason to avoid it.
func avoidsUpstream(r result) bool {
	refused, ok := r.(resultRefused)
	return !ok || (refused.reason != messenger.ReasonNoCredit && refused.reason != messenger.ReasonOldIncarnation)
}

// reasonOf returns the reason of a result for the log.
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

// exhaustedError returns the error for the caller after maxAttempts attempts. Attempts are retried only if none can have
// run or if another run is safe.
func (s *session) exhaustedError() error {
	return s.refusedError(messenger.ReasonNoCredit)
}
