package mapleader

import (
	"math"
	"slices"
	"time"

	"currantledge.example/currantledge/internal/version/mapswitcher"
)

// popularityTimeConstant is the time constant of the moving average: short enough to follow a shift in demand within a
// second, long enough that single requests do not move experts.
const popularityTimeConstant = 700 * time.Millisecond

// estimator turns the cumulative expert counts of the ranks into the current popularity of each expert, as an
// exponential moving average. It is not safe for concurrent use.
type estimator struct {
	sets    int
	experts int
	// lastCounts holds the latest cumulative counts by rank; nil for a rank that has not been read.
	lastCounts [][]float64
	// updatedAt is when the average was last updated; zero before the first update.
	updatedAt time.Time
	// shares is the share of each expert in the work of its set, by set and expert.
	shares [][]float64
}

// newEstimator returns an estimator for a group that has just formed. It starts from the popularity of the previous
// estimator if that has the same dimensions, since demand outlasts the formation. Otherwise it starts from the first
// counts.
func newEstimator(sets, experts, ranks int, previous *estimator) *estimator {
	e := &estimator{sets: sets, experts: experts, lastCounts: make([][]float64, ranks), shares: make([][]float64, sets)}
	for s := range e.shares {
		e.shares[s] = make([]float64, experts)
	}
	if previous != nil && previous.sets == sets && previous.experts == experts {
		e.shares, e.updatedAt = previous.shares, previous.updatedAt
	}
	return e
}

// observe updates the average with counts of some ranks that were read at the same time. It returns false if these
// ranks have served nothing since their previous counts.
func (e *estimator) observe(now time.Time, ranks []int, counts []mapswitcher.Counts) bool {
	sample := make([]float64, e.sets*e.experts)
	hasPrevious := false
	for i, c := range counts {
		r := ranks[i]
		if len(c.Counts) != len(sample) {
			continue
		}
		// The first counts of a rank cover all the time since its start, so they are used only without a better estimate.
		first := e.lastCounts[r] == nil
		hasPrevious = hasPrevious || !first
		for i, n := range c.Counts {
			switch {
			case first && e.updatedAt.IsZero():
				sample[i] += n
			case !first && n >= e.lastCounts[r][i]:
				sample[i] += n - e.lastCounts[r][i]
			}
		}
		e.lastCounts[r] = c.Counts
	}
	if len(sample) == 0 || slices.Max(sample) == 0 {
		// No expert was chosen, or these are the first counts since the group formed.
		return !hasPrevious
	}
	weight := 1.0
	if !e.updatedAt.IsZero() {
		weight = 1 - math.Exp(-now.Sub(e.updatedAt).Seconds()/popularityTimeConstant.Seconds())
	}
	e.updatedAt = now
	for s := range e.shares {
		setCounts := sample[s*e.experts : (s+1)*e.experts]
		total := 0.0
		for _, v := range setCounts {
			total += v
		}
		if total == 0 {
			continue
		}
		for i, v := range setCounts {
			e.shares[s][i] += weight * (v/total - e.shares[s][i])
		}
	}
	return true
}

// popularity returns the share of each expert in the work of its set, by set and expert. The caller must not change it.
func (e *estimator) popularity() [][]float64 {
	return e.shares
}
