// Package timekeeper follows the passes of a group of ranks by the events of the streams that a gateway forwards. The
// ranks of a group advance together: each pass yields one event of every stream, so that the streams of a gateway show
// when passes begin and how long they take, at all ranks.
//
// Passes take longer the more requests run. Beyond some number, the gaps between the events of all streams exceed the gap
// targets of their routes, however early they started, while fewer at a time would be on time. Since slow streams also
// run for longer, a group stays in that state after an outage or a burst until demand falls far below what it can serve.
//
// Passes that become slower at once although the ranks run no more requests show that demand has shifted to other
// experts, a second or more before samples of the ranks' counts do.
//
// The package does no I/O and reads no clock: callers pass the current time. Its types are not safe for concurrent use.
package timekeeper

import (
	"slices"
	"time"
)

const (
	// slowFactor is how much longer than usual, for the same load, passes are that count as slow. Reading counts and loading
	// experts make single passes up to 1.25 times as long.
	slowFactor = 1.25
	// slowPasses is the number of slow passes in a row after which the group has become slower.
	slowPasses = 2
	// smoothing is the weight of the latest pass in the moving average of the usual ones, and recentSmoothing that in the
	// moving average of the recent ones.
	smoothing       = 0.2
	recentSmoothing = 0.4
	// historyLength is the number of passes that are remembered, and slowQuantile the share of them that the duration
	// allowed for does not exceed: demand shifts every few seconds, and passes are slow until the map has followed.
	historyLength = 64
	slowQuantile  = 0.8
	// headroom is the part of a gap target that such passes may take, since single ones take longer.
	headroom = 0.95
	// lateWorth is what a stream with a gap beyond its target is worth, as a part of one on time. Customers state 0.3 to 0.5.
	lateWorth = 0.4
	// minStreamPasses is the least number of passes that a stream is taken to last.
	minStreamPasses = 4
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
	// recent is the moving average of the seconds that recent passes took for each unit of load, or 0. history holds those
	// of the last historyLength passes, also of earlier formations of the group, and slowest their slowQuantile.
	recent  float64
	history []float64
	slowest float64
	// load is that of the latest pass, and passes the number of those since the group formed.
	load   float64
	passes int
}

// New returns a Timekeeper that has seen no pass.
func New() *Timekeeper {
	return &Timekeeper{}
}

// Clone returns an independent copy.
func (t *Timekeeper) Clone() *Timekeeper {
	out := *t
	out.history = slices.Clone(t.history)
	return &out
}

// Observe records the time between two events of a stream, and the load of the group, to which the duration of a pass is
// proportional. It returns the pass that has ended if the event is the first one of that pass.
func (t *Timekeeper) Observe(now time.Time, gap time.Duration, load float64) (Pass, bool) {
	// The events of a pass arrive at nearly the same time.
	if now.Sub(t.endedAt) < gap/2 || load <= 0 {
		return Pass{}, false
	}
	t.endedAt, t.load = now, load
	t.passes++
	pace := gap.Seconds() / load
	t.record(pace)
	return Pass{Took: gap, Slowed: t.hasSlowed(pace)}, true
}

func (t *Timekeeper) record(pace float64) {
	if t.recent == 0 {
		t.recent = pace
	}
	t.recent += recentSmoothing * (pace - t.recent)
	if len(t.history) == historyLength {
		t.history = t.history[1:]
	}
	t.history = append(t.history, pace)
	sorted := slices.Sorted(slices.Values(t.history))
	t.slowest = sorted[int(slowQuantile*float64(len(sorted)-1))]
}

// LoadRange describes the loads among which MaxLoad chooses.
type LoadRange struct {
	// Base is the load without requests, and Least and Most bound the load that is returned.
	Base  float64
	Least float64
	Most  float64
}

// MaxLoad returns the load up to which the gaps of most streams stay within a target. It returns false if that is not
// known, or if passes with the least load exceed the target as well, so that no limit would help.
//
// The recent passes and most of the remembered ones have to stay within the target. A stream is late, however, if a single
// one of its passes exceeds it. More requests make more progress in each pass, but each pass takes longer: the load is also
// limited to the one with which the group completes most streams per second, where a late stream counts as lateWorth. After an
// outage, the first map and the backlog of prompts make passes slow, so this applies once all remembered passes are later.
func (t *Timekeeper) MaxLoad(target, streamTime time.Duration, r LoadRange) (float64, bool) {
	if t.recent == 0 || target <= 0 || r.Least*t.slowest > target.Seconds() {
		return 0, false
	}
	limit := max(headroom*target.Seconds()/max(t.recent, t.slowest), r.Least)
	if t.passes < historyLength {
		return limit, true
	}
	if best, found := t.bestLoad(target, streamTime, r); found {
		limit = min(limit, best)
	}
	return limit, true
}

// bestLoad returns the load with the highest yield, and false if that is the most that is possible.
func (t *Timekeeper) bestLoad(target, streamTime time.Duration, r LoadRange) (float64, bool) {
	slowest := t.slowestOfStreams(streamTime)
	best, bestYield := 0.0, r.yield(r.Most, onTimeShare(slowest, target.Seconds()/r.Most))
	for i, pace := range slowest {
		if pace*r.Least > target.Seconds() {
			break
		}
		load := min(target.Seconds()/pace, r.Most)
		if y := r.yield(load, float64(i+1)/float64(len(slowest))); y > bestYield {
			best, bestYield = load, y
		}
	}
	return best, best > 0
}

// yield returns the worth of the streams that make progress with a load, relative to that of other loads.
func (r LoadRange) yield(load, onTime float64) float64 {
	return (load - r.Base) / load * (lateWorth + (1-lateWorth)*onTime)
}

// onTimeShare returns the share of ascending paces that do not exceed a limit.
func onTimeShare(paces []float64, limit float64) float64 {
	n, _ := slices.BinarySearchFunc(paces, limit, func(p, l float64) int {
		if p <= l {
			return -1
		}
		return 1
	})
	return float64(n) / float64(len(paces))
}

// slowestOfStreams returns the slowest pace of each span of the history that is as long as a stream, in ascending order.
func (t *Timekeeper) slowestOfStreams(streamTime time.Duration) []float64 {
	total := 0.0
	for _, pace := range t.history {
		total += pace
	}
	length := minStreamPasses
	if pass := total / float64(len(t.history)) * t.load; pass > 0 {
		length = max(length, int(streamTime.Seconds()/pass))
	}
	length = min(length, len(t.history))
	out := make([]float64, 0, len(t.history)-length+1)
	for i := range cap(out) {
		out = append(out, slices.Max(t.history[i:i+length]))
	}
	slices.Sort(out)
	return out
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

// Reset forgets the current duration of passes, for a group that has formed again.
func (t *Timekeeper) Reset() {
	t.usual, t.slow, t.recent, t.passes = 0, 0, 0, 0
}
