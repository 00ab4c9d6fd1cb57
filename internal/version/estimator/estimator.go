// Package estimator estimates the popularity of experts from the counts of some ranks of a group. It handles two kinds of
// demand:
//   - Demand drifts: a moving average follows it.
//   - Demand shifts at once to other experts: a sample that is farther from the average than those of steady demand, or one
//     that follows another sign of a shift, starts a new estimate. The first such sample mixes the demand before and after
//     the shift, so the next one, of a short interval, replaces it.
//
// The package has no I/O and reads no clock.
package estimator

import (
	"math"
	"time"
)

const (
	// timeConstant is that of the moving average, over which single requests do not matter.
	timeConstant = 1500 * time.Millisecond
	// A sample shows that demand has shifted if its total variation distance from the average is at least minShiftDistance,
	// and shiftFactor times that of steady demand. The sampled ranks differ from their group, the more so the fewer requests
	// they run, while a shift moves less of the demand the more experts there are.
	minShiftDistance = 0.07
	shiftFactor      = 2.2
	// firstDistance is that of steady demand until it is known, and distanceSmoothing the weight of the latest sample in its
	// moving average.
	firstDistance     = 0.08
	distanceSmoothing = 0.2
	// noiseFactor raises the distance for small samples: it is multiplied with the distance that chance alone explains.
	noiseFactor = 1.5
)

// Verdict is what a sample shows.
type Verdict int

// The verdicts.
const (
	// VerdictIdle means that the ranks have served nothing since their previous counts.
	VerdictIdle Verdict = iota + 1
	// VerdictFirst means that the ranks had no previous counts. The estimate stays as it is.
	VerdictFirst
	// VerdictSteady means that the estimate is usable.
	VerdictSteady
	// VerdictShifted means that demand has just shifted: the estimate also contains the demand before. The next sample
	// should follow after a short time.
	VerdictShifted
)

// Config sets up an Estimator.
type Config struct {
	// Sets, Experts and Ranks are the dimensions of the group.
	Sets    int
	Experts int
	Ranks   int
	// Previous is the estimator of the previous epoch of the group or nil. Its estimate is the first one of the new
	// estimator if the dimensions are the same, since demand outlasts the formation of a group.
	Previous *Estimator
}

// Estimator turns the cumulative expert counts of ranks into the current popularity of each expert. It is not safe for
// concurrent use.
type Estimator struct {
	sets    int
	experts int
	// lastCounts holds the latest cumulative counts by rank; nil for a rank that has not been read.
	lastCounts [][]float64
	// updatedAt is when the estimate was last updated; zero before the first update.
	updatedAt time.Time
	// shares is the share of each expert in the work of its set, by set and expert.
	shares [][]float64
	// weights is the number of counts behind the shares of each set.
	weights []float64
	// shifted is set if the latest sample began a new estimate.
	shifted bool
	// steadyDistance is the moving average of the distances of samples of steady demand.
	steadyDistance float64
	// expected is set between ExpectShift and the next sample, and verifies until the one after it.
	expected bool
	verifies bool
}

// New returns an Estimator for a group that has just formed.
func New(cfg Config) *Estimator {
	e := &Estimator{
		sets: cfg.Sets, experts: cfg.Experts, lastCounts: make([][]float64, cfg.Ranks), shares: make([][]float64, cfg.Sets),
		weights: make([]float64, cfg.Sets), steadyDistance: firstDistance,
	}
	for s := range e.shares {
		e.shares[s] = make([]float64, cfg.Experts)
	}
	if p := cfg.Previous; p != nil && p.sets == cfg.Sets && p.experts == cfg.Experts {
		e.shares, e.weights, e.updatedAt, e.steadyDistance = p.shares, p.weights, p.updatedAt, p.steadyDistance
	}
	return e
}

// Observe updates the estimate with cumulative counts of some ranks that were read at the same time.
func (e *Estimator) Observe(now time.Time, ranks []int, counts [][]float64) Verdict {
	sample, hasPrevious := e.sample(ranks, counts)
	totals := e.totals(sample)
	if isZero(totals) {
		if hasPrevious {
			return VerdictIdle
		}
		return VerdictFirst
	}
	if e.updatedAt.IsZero() {
		e.update(now, sample, totals, 1)
		return VerdictSteady
	}
	weight := 1 - math.Exp(-now.Sub(e.updatedAt).Seconds()/timeConstant.Seconds())
	distance, noise := e.distance(sample, totals)
	isFar := distance >= max(minShiftDistance, shiftFactor*e.steadyDistance, noiseFactor*noise)
	switch {
	case e.expected:
		e.expected, e.verifies = false, true
		return VerdictShifted
	case e.shifted, e.verifies && isFar:
		e.shifted, weight = false, 1
	case e.verifies:
	case isFar:
		e.shifted = true
		e.update(now, sample, totals, 1)
		return VerdictShifted
	default:
		e.steadyDistance += distanceSmoothing * (distance - e.steadyDistance)
	}
	e.verifies = false
	e.update(now, sample, totals, weight)
	return VerdictSteady
}

// ExpectShift records a sign that demand has shifted since the last sample. The next sample mixes the demand before and
// after the shift, so it only begins the one after it, which starts a new estimate if it confirms the shift.
func (e *Estimator) ExpectShift() {
	e.expected = true
}

// Rebase records the cumulative counts of further ranks without taking them for a sample, so that the next sample of these
// ranks begins now. Like Observe, it ignores counts of another number of experts.
func (e *Estimator) Rebase(ranks []int, counts [][]float64) {
	for i, c := range counts {
		if len(c) == e.sets*e.experts {
			e.lastCounts[ranks[i]] = c
		}
	}
}

func (e *Estimator) update(now time.Time, sample, totals []float64, weight float64) {
	e.updatedAt = now
	e.add(sample, totals, weight)
}

// sample returns the sum of the counts of the ranks since their previous ones, and whether a rank had previous ones. The
// first counts of a rank cover all the time since its start, so they are used only without a better estimate.
func (e *Estimator) sample(ranks []int, counts [][]float64) (sample []float64, hasPrevious bool) {
	sample = make([]float64, e.sets*e.experts)
	for i, c := range counts {
		r := ranks[i]
		if len(c) != len(sample) {
			continue
		}
		first := e.lastCounts[r] == nil
		hasPrevious = hasPrevious || !first
		for i, n := range c {
			switch {
			case first && e.updatedAt.IsZero():
				sample[i] += n
			case !first && n >= e.lastCounts[r][i]:
				sample[i] += n - e.lastCounts[r][i]
			}
		}
		e.lastCounts[r] = c
	}
	return sample, hasPrevious
}

// totals returns the sum of a sample for each set.
func (e *Estimator) totals(sample []float64) []float64 {
	out := make([]float64, e.sets)
	for s := range out {
		for _, v := range sample[s*e.experts : (s+1)*e.experts] {
			out[s] += v
		}
	}
	return out
}

func isZero(values []float64) bool {
	for _, v := range values {
		if v != 0 {
			return false
		}
	}
	return true
}

// distance returns the total variation distance between a sample and the estimate, on average over the sets, and the one
// that chance alone explains if both are of the same demand.
func (e *Estimator) distance(sample, totals []float64) (distance, noise float64) {
	sets := 0.0
	for s, total := range totals {
		if total == 0 {
			continue
		}
		sets++
		for i, v := range sample[s*e.experts : (s+1)*e.experts] {
			p := e.shares[s][i]
			distance += math.Abs(v/total-p) / 2
			// The mean absolute difference of two shares of one expert that are drawn total and e.weights[s] times.
			pooled := (v + p*e.weights[s]) / (total + e.weights[s])
			variance := pooled * (1 - pooled) * (1/total + 1/max(e.weights[s], 1))
			noise += math.Sqrt(2*variance/math.Pi) / 2
		}
	}
	return distance / max(sets, 1), noise / max(sets, 1)
}

// add moves the estimate towards a sample.
func (e *Estimator) add(sample, totals []float64, weight float64) {
	for s, total := range totals {
		if total == 0 {
			continue
		}
		e.weights[s] += weight * (total - e.weights[s])
		for i, v := range sample[s*e.experts : (s+1)*e.experts] {
			e.shares[s][i] += weight * (v/total - e.shares[s][i])
		}
	}
}

// Popularity returns the share of each expert in the work of its set, by set and expert. The caller must not change it.
func (e *Estimator) Popularity() [][]float64 {
	return e.shares
}
