package granter

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	// slowFactor is the ratio of a time to first token to the moving average above which the upstream counts as cold.
	slowFactor = 4
	// fastFactor is the ratio of a time to first token to the moving average up to which it shows that the upstream did
	// not turn cold.
	fastFactor = 2
	// averageDivisor is the reciprocal of the weight of a new sample in the exponential moving average.
	averageDivisor = 8
	// minSamples is the number of samples that the average needs before it is used to detect a cold upstream; an average
	// of fewer is unreliable.
	minSamples = 8
	// minSlowFirstToken is the least time to first token that counts as slow; below it, scheduling delays alone exceed
	// slowFactor.
	minSlowFirstToken = 50 * time.Millisecond
)

// Limits are the numbers of requests that the upstream can handle at once.
type Limits struct {
	Cold, Warm identifier.Credits
	// WarmAfter is the number of completions after which a cold upstream is warm.
	WarmAfter int
}

// normalized keeps the cold limit between 1 and the warm limit; an upstream with cold limit 0 could never warm up.
func (l Limits) normalized() Limits {
	l.Warm = max(l.Warm, 0)
	l.Cold = min(max(l.Cold, 1), l.Warm)
	return l
}

// slowStart raises the limit from cold to warm with each completion and detects that the upstream is cold again.
type slowStart struct {
	limits        Limits
	coldAfterIdle time.Duration
	// completions counts up to WarmAfter since the upstream was last cold.
	completions int
	// idleSince is the time of the last completion or restart.
	idleSince time.Time
	// average is the exponential moving average of the time to first token of the warm upstream.
	average    time.Duration
	samples    int
	coldReason string
	// unconfirmed is the state before a restart that one slow first token caused, or nil. A pause of the VM causes such a
	// token as well; the next request shows which of the two it was.
	unconfirmed *warmState
}

// warmState is the state of a warm upstream.
type warmState struct {
	average     time.Duration
	samples     int
	restartedAt time.Time
}

func newSlowStart(l Limits, coldAfterIdle time.Duration) slowStart {
	return slowStart{limits: l.normalized(), coldAfterIdle: coldAfterIdle}
}

// limit returns the current limit, which rises linearly with the completions.
func (s *slowStart) limit() identifier.Credits {
	span := s.limits.Warm - s.limits.Cold
	if s.completions >= s.limits.WarmAfter {
		return s.limits.Cold + span
	}
	return s.limits.Cold + span*identifier.Credits(s.completions)/identifier.Credits(s.limits.WarmAfter)
}

func (s *slowStart) setLimits(l Limits) {
	s.limits = l.normalized()
}

func (s *slowStart) recordCompletion(now time.Time) {
	s.idleSince = now
	if s.completions < s.limits.WarmAfter {
		s.completions++
	}
}

// restart counts the upstream as cold.
func (s *slowStart) restart(now time.Time, reason string) {
	s.completions = 0
	s.idleSince = now
	s.coldReason = reason
	s.samples = 0
	s.average = 0
	s.unconfirmed = nil
}

// restartUnconfirmed counts the upstream as cold until a further first token confirms or refutes that.
func (s *slowStart) restartUnconfirmed(now time.Time, reason string) {
	before := &warmState{average: s.average, samples: s.samples, restartedAt: now}
	s.restart(now, reason)
	s.unconfirmed = before
}

// check resolves an unconfirmed restart by the first token of a request that was admitted after it.
func (s *slowStart) check(now time.Time, after time.Duration) {
	before := s.unconfirmed
	if before == nil || !now.Add(-after).After(before.restartedAt) {
		return
	}
	s.unconfirmed = nil
	if after > max(before.average*fastFactor, minSlowFirstToken) {
		return
	}
	s.completions = s.limits.WarmAfter
	s.average, s.samples = before.average, before.samples
}

// idle reports whether the upstream has been idle for so long that it counts as cold.
func (s *slowStart) idle(now time.Time) bool {
	return s.completions > 0 && now.Sub(s.idleSince) >= s.coldAfterIdle
}

// recordFirstToken adds a sample and reports whether it shows a cold upstream. A slow sample while the limit is reached
// does not. Only samples of a warm upstream enter the average: those of the slow start are slow themselves and would
// hide that an upstream turns cold again soon after.
func (s *slowStart) recordFirstToken(now time.Time, after time.Duration, running int) bool {
	s.check(now, after)
	if s.completions < s.limits.WarmAfter {
		return false
	}
	threshold := max(s.average*slowFactor, minSlowFirstToken)
	if s.samples >= minSamples && after > threshold && identifier.Credits(running) < s.limit() {
		return true
	}
	if s.samples == 0 {
		s.average = after
	} else {
		s.average += (min(after, threshold) - s.average) / averageDivisor
	}
	s.samples++
	return false
}
