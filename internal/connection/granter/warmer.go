package granter

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	// slowFactor is how far a time to first token exceeds its smoothed value when the upstream has become cold.
	slowFactor = 4
	// smoothing is the weight of past samples against one new sample.
	smoothing = 8
	// minSamples avoids a verdict against a smoothed value that rests on a few requests.
	minSamples = 8
	// minSlowFirstToken avoids a false verdict on small values, where scheduling alone exceeds the factor.
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

// warmer computes the limit from the completions since the upstream was last cold.
type warmer struct {
	limits      Limits
	idleCold    time.Duration
	completions int
	lastAt      time.Time
	smoothed    time.Duration
	samples     int
	reason      string
}

func newWarmer(l Limits, idleCold time.Duration) warmer {
	return warmer{limits: l.normalized(), idleCold: idleCold}
}

func (w *warmer) limit() identifier.Credits {
	span := w.limits.Warm - w.limits.Cold
	if w.completions >= w.limits.WarmAfter {
		return w.limits.Cold + span
	}
	return w.limits.Cold + span*identifier.Credits(w.completions)/identifier.Credits(w.limits.WarmAfter)
}

func (w *warmer) configure(l Limits) {
	w.limits = l.normalized()
}

func (w *warmer) completed(now time.Time) {
	w.lastAt = now
	if w.completions < w.limits.WarmAfter {
		w.completions++
	}
}

func (w *warmer) cool(now time.Time, reason string) {
	w.completions = 0
	w.lastAt = now
	w.reason = reason
	w.samples = 0
	w.smoothed = 0
}

func (w *warmer) idle(now time.Time) bool {
	return w.completions > 0 && now.Sub(w.lastAt) >= w.idleCold
}

// firstToken adds a sample and reports whether it shows a cold upstream. Only samples of a warm upstream make the usual
// time: those of the slow start are slow themselves and would hide that an upstream turned cold again soon after.
func (w *warmer) firstToken(after time.Duration, running int) bool {
	if w.completions < w.limits.WarmAfter {
		return false
	}
	threshold := max(w.smoothed*slowFactor, minSlowFirstToken)
	if w.samples >= minSamples && after > threshold && identifier.Credits(running) < w.limit() {
		return true
	}
	if w.samples == 0 {
		w.smoothed = after
	} else {
		w.smoothed += (min(after, threshold) - w.smoothed) / smoothing
	}
	w.samples++
	return false
}
