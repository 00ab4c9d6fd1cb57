package mapleader

import (
	"math"
	"slices"
	"time"

	"currantledge.example/currantledge/internal/version/mapswitcher"
)

// smoothing is the time constant of the popularity: short enough to follow a shift within a second, long enough that
// single requests do not move experts.
const smoothing = 700 * time.Millisecond

// estimator turns the growing counts of the ranks into the present popularity of the experts.
type estimator struct {
	sets    int
	experts int
	last    [][]float64
	lastAt  time.Time
	level   [][]float64
}

// newEstimator returns an estimator for a group that has just formed. What was in demand before still is; without it, the
// first counts are all that is known.
func newEstimator(sets, experts, ranks int, before *estimator) *estimator {
	e := &estimator{sets: sets, experts: experts, last: make([][]float64, ranks), level: make([][]float64, sets)}
	for s := range e.level {
		e.level[s] = make([]float64, experts)
	}
	if before != nil && before.sets == sets && before.experts == experts {
		e.level, e.lastAt = before.level, before.lastAt
	}
	return e
}

// observe adds the counts of some ranks at one time. It returns false if these ranks have served nothing since they were
// read before.
func (e *estimator) observe(now time.Time, ranks []int, counts []mapswitcher.Counts) bool {
	sample := make([]float64, e.sets*e.experts)
	compared := false
	for i, c := range counts {
		r := ranks[i]
		if len(c.Counts) != len(sample) {
			continue
		}
		// The first counts of a rank go back to its start; they only show present demand if nothing else does.
		first := e.last[r] == nil
		compared = compared || !first
		for i, n := range c.Counts {
			switch {
			case first && e.lastAt.IsZero():
				sample[i] += n
			case !first && n >= e.last[r][i]:
				sample[i] += n - e.last[r][i]
			}
		}
		e.last[r] = c.Counts
	}
	if len(sample) == 0 || slices.Max(sample) == 0 {
		// Nothing was chosen, or these are the first counts since the group formed.
		return !compared
	}
	weight := 1.0
	if !e.lastAt.IsZero() {
		weight = 1 - math.Exp(-now.Sub(e.lastAt).Seconds()/smoothing.Seconds())
	}
	e.lastAt = now
	for s := range e.level {
		part := sample[s*e.experts : (s+1)*e.experts]
		total := 0.0
		for _, v := range part {
			total += v
		}
		if total == 0 {
			continue
		}
		for i, v := range part {
			e.level[s][i] += weight * (v/total - e.level[s][i])
		}
	}
	return true
}

// popularity returns the share of each expert in the work of its set.
func (e *estimator) popularity() [][]float64 {
	return e.level
}
