// Package timekeeper follows the passes of a group of ranks by the events of the streams that a gateway forwards. The
// ranks of a group advance together: each pass yields one event of every stream, so that the streams of a gateway show
// when passes begin and how long they take, at all ranks.
//
// Passes that become slower at once although the ranks run no more requests show that demand has shifted to other
// experts, a second or more before samples of the ranks' counts do.
//
// The package does no I/O and reads no clock: callers pass the current time. Its types are not safe for concurrent use.
package timekeeper

import "time"

const (
	// slowFactor is how much longer than usual, for the same load, passes are that count as slow. Reading counts and loading
	// experts make single passes up to 1.25 times as long.
	slowFactor = 1.25
	// slowPasses is the number of slow passes in a row after which the group has become slower.
	slowPasses = 2
	// smoothing is the weight of the latest pass in the moving average of the usual ones.
	smoothing = 0.2
)

// Pass is a pass of a group that has just ended, at which the next one begins.
type Pass struct {
	Took time.Duration
	// Slowed is set if this is the last of slowPasses passes that were slow, after usual ones.
	Slowed bool
}

// Timekeeper follows the passes of one group.
type Timekeeper struct {
	// endedAt is when the latest pass ended.
	endedAt time.Time
	// usual is the moving average of the seconds that usual passes take for each unit of load, or 0. slow is the number of
	// slow passes since the last usual one.
	usual float64
	slow  int
}

// New returns a Timekeeper that has seen no pass.
func New() *Timekeeper {
	return &Timekeeper{}
}

// Observe records the time between two events of a stream, and the load of the group, to which the duration of a pass is
// proportional. It returns the pass that has ended if the event is the first one of that pass.
func (t *Timekeeper) Observe(now time.Time, gap time.Duration, load float64) (Pass, bool) {
	// The events of a pass arrive at nearly the same time.
	if now.Sub(t.endedAt) < gap/2 || load <= 0 {
		return Pass{}, false
	}
	t.endedAt = now
	return Pass{Took: gap, Slowed: t.hasSlowed(gap.Seconds() / load)}, true
}

func (t *Timekeeper) hasSlowed(pace float64) bool {
	if t.usual > 0 && pace >= slowFactor*t.usual {
		t.slow++
		if t.slow < slowPasses {
			return false
		}
		t.usual, t.slow = pace, 0
		return true
	}
	t.slow = 0
	if t.usual == 0 {
		t.usual = pace
		return false
	}
	t.usual += smoothing * (pace - t.usual)
	return false
}

// Reset forgets the usual duration of passes, for a group that has formed again.
func (t *Timekeeper) Reset() {
	t.usual, t.slow = 0, 0
}
