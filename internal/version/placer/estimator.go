package placer

import (
	"math"
	"sort"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Report is what one rank measured since its previous report.
type Report struct {
	Rank identifier.Rank
	// Tokens counts the tokens by expert that this rank processed.
	Tokens []identifier.Tokens
	// Busy is the time the rank computed for these tokens.
	Busy time.Duration
}

// EstimatorConfig sets how popularity is smoothed.
type EstimatorConfig struct {
	Experts int
	Ranks   int
	// Level and Trend are the time constants of the smoothing.
	Level time.Duration
	Trend time.Duration
	// JumpFactor is how many times the usual deviation counts as a sudden change.
	JumpFactor float64
	// JumpFloor is the deviation, as a fraction of all tokens, below which nothing counts as a sudden change.
	JumpFloor float64
}

// DefaultEstimator returns the usual settings.
func DefaultEstimator(experts, ranks int) EstimatorConfig {
	return EstimatorConfig{
		Experts:    experts,
		Ranks:      ranks,
		Level:      4 * time.Second,
		Trend:      20 * time.Second,
		JumpFactor: 4,
		JumpFloor:  0.04,
	}
}

// jumpConfirmations is the number of successive deviating reports that make a sudden change, so that one
// damaged report does not discard the history.
const jumpConfirmations = 2

// Estimator smooths the reported popularity of each expert and the speed of each rank.
type Estimator struct {
	cfg       EstimatorConfig
	last      time.Time
	started   bool
	level     []float64
	trend     []float64
	speeds    []float64
	deviation float64
	deviating int
	jumps     int
}

// NewEstimator returns an estimator that assumes equal popularity and speed.
func NewEstimator(cfg EstimatorConfig) *Estimator {
	e := &Estimator{
		cfg:    cfg,
		level:  make([]float64, cfg.Experts),
		trend:  make([]float64, cfg.Experts),
		speeds: make([]float64, cfg.Ranks),
	}
	for i := range e.level {
		e.level[i] = 1 / float64(cfg.Experts)
	}
	for i := range e.speeds {
		e.speeds[i] = 1
	}
	return e
}

// Observe adds the reports of one interval that were measured while m was in force. Ranks may be missing.
func (e *Estimator) Observe(now time.Time, m Map, reports []Report) {
	sample, known := e.sample(m, reports)
	if sample == nil {
		return
	}
	e.observeSpeeds(reports)
	if !e.started {
		e.reset(now, sample, known)
		return
	}
	elapsed := now.Sub(e.last).Seconds()
	if elapsed <= 0 {
		return
	}
	expected := e.Forecast(now.Sub(e.last))
	if e.jumped(expected, sample, known) {
		e.jumps++
		e.reset(now, sample, known)
		return
	}
	if e.deviating > 0 {
		return
	}
	e.last = now
	alpha := 1 - math.Exp(-elapsed/e.cfg.Level.Seconds())
	beta := 1 - math.Exp(-elapsed/e.cfg.Trend.Seconds())
	for i := range sample {
		if !known[i] {
			e.level[i] = expected[i]
			continue
		}
		residual := sample[i] - expected[i]
		e.level[i] = expected[i] + alpha*residual
		e.trend[i] += alpha * beta * residual / elapsed
	}
}

// sample returns the fraction of tokens by expert and which of them were seen. The part of an expert's
// traffic whose rank did not report is filled in from the map's split.
func (e *Estimator) sample(m Map, reports []Report) ([]float64, []bool) {
	reporting := make([]bool, e.cfg.Ranks)
	counts := make([]float64, e.cfg.Experts)
	for _, r := range reports {
		if int(r.Rank) >= e.cfg.Ranks || reporting[r.Rank] || len(r.Tokens) != e.cfg.Experts {
			continue
		}
		reporting[r.Rank] = true
		for i, n := range r.Tokens {
			counts[i] += float64(n)
		}
	}
	known := make([]bool, e.cfg.Experts)
	sum, weight := 0.0, 0.0
	for i := range counts {
		seen := 0.0
		for _, r := range m.Experts[i] {
			if reporting[r.Rank] {
				seen += r.Share
			}
		}
		if seen < minSeenShare {
			continue
		}
		known[i] = true
		counts[i] /= seen
		sum += counts[i]
		weight += e.level[i]
	}
	if sum == 0 || weight == 0 {
		return nil, nil
	}
	// The seen experts keep their joint weight; otherwise a missing rank would inflate all others.
	for i := range counts {
		if known[i] {
			counts[i] *= weight / sum
		} else {
			counts[i] = e.level[i]
		}
	}
	return counts, known
}

// minSeenShare is the part of an expert's traffic that must have been reported; scaling up a smaller part
// would amplify its sampling noise more than tenfold.
const minSeenShare = 0.1

// speedSmoothing is the weight of the newest speed measurement.
const speedSmoothing = 0.3

func (e *Estimator) observeSpeeds(reports []Report) {
	measured := make([]float64, e.cfg.Ranks)
	var all []float64
	for _, r := range reports {
		if int(r.Rank) >= e.cfg.Ranks || r.Busy <= 0 {
			continue
		}
		total := identifier.Tokens(0)
		for _, n := range r.Tokens {
			total += n
		}
		if total == 0 {
			continue
		}
		measured[r.Rank] = float64(total) / r.Busy.Seconds()
		all = append(all, measured[r.Rank])
	}
	if len(all) == 0 {
		return
	}
	sort.Float64s(all)
	median := all[len(all)/2]
	for i, v := range measured {
		if v > 0 {
			e.speeds[i] += speedSmoothing * (v/median - e.speeds[i])
		}
	}
}

func (e *Estimator) reset(now time.Time, sample []float64, known []bool) {
	e.started = true
	e.last = now
	e.deviating = 0
	for i := range sample {
		if known[i] {
			e.level[i] = sample[i]
		}
		e.trend[i] = 0
	}
}

// jumped tells whether the sample shows a sudden change, and tracks the usual deviation.
func (e *Estimator) jumped(expected, sample []float64, known []bool) bool {
	distance := 0.0
	for i := range sample {
		if known[i] {
			distance += math.Abs(sample[i]-expected[i]) / 2
		}
	}
	limit := max(e.cfg.JumpFloor, e.cfg.JumpFactor*e.deviation)
	if distance > limit {
		e.deviating++
		return e.deviating >= jumpConfirmations
	}
	e.deviating = 0
	e.deviation += deviationSmoothing * (distance - e.deviation)
	return false
}

// deviationSmoothing is the weight of the newest deviation.
const deviationSmoothing = 0.1

// Forecast returns the expected popularity by expert after the given time since the last observation. The
// values add up to 1.
func (e *Estimator) Forecast(after time.Duration) []float64 {
	out := make([]float64, len(e.level))
	sum := 0.0
	for i := range out {
		// A trend is not followed below half or above twice the level, since popularity cannot become negative.
		v := e.level[i] + e.trend[i]*after.Seconds()
		out[i] = min(max(v, e.level[i]/2), e.level[i]*2)
		sum += out[i]
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

// Speeds returns the speed of each rank relative to the median.
func (e *Estimator) Speeds() []float64 {
	return append([]float64(nil), e.speeds...)
}

// Jumps returns how many sudden changes were detected.
func (e *Estimator) Jumps() int {
	return e.jumps
}
