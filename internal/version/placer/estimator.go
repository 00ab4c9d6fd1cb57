package placer

import (
	"math"
	"sort"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Report holds the measurements of one rank since its previous report.
type Report struct {
	Rank identifier.Rank
	// Tokens counts the tokens that the rank has processed, by expert.
	Tokens []identifier.Tokens
	// ComputeTime is the time that the rank has computed for these tokens.
	ComputeTime time.Duration
}

// EstimatorConfig holds the settings of an estimator.
type EstimatorConfig struct {
	Experts int
	Ranks   int
	// LevelTimeConstant and TrendTimeConstant are the time constants of the double exponential smoothing of popularity.
	LevelTimeConstant time.Duration
	TrendTimeConstant time.Duration
	// JumpFactor times the mean deviation is the deviation above which a sample counts as a sudden change.
	JumpFactor float64
	// JumpFloor is the deviation, as a fraction of all tokens, below which no sample counts as a sudden change.
	JumpFloor float64
}

// DefaultEstimatorConfig returns the default settings.
func DefaultEstimatorConfig(experts, ranks int) EstimatorConfig {
	return EstimatorConfig{
		Experts:           experts,
		Ranks:             ranks,
		LevelTimeConstant: 4 * time.Second,
		TrendTimeConstant: 20 * time.Second,
		JumpFactor:        4,
		JumpFloor:         0.04,
	}
}

// jumpConfirmations is the number of consecutive deviating samples that make a sudden change, so that one damaged
// report does not discard the history.
const jumpConfirmations = 2

// Estimator estimates the popularity of each expert, by double exponential smoothing with a level and a trend, and the
// relative speed of each rank. A sudden change of popularity, a jump, resets the smoothing. It is not safe for
// concurrent use.
type Estimator struct {
	cfg EstimatorConfig
	// lastObserved is the time of the last sample that was used. started is false before the first one.
	lastObserved time.Time
	started      bool
	// level is the popularity by expert as a fraction of all tokens, trend its change per second.
	level  []float64
	trend  []float64
	speeds []float64
	// meanDeviation is the exponential moving average of the deviation of the samples from the forecast.
	meanDeviation float64
	// deviations counts the consecutive samples that deviate like a sudden change.
	deviations int
	jumps      int
}

// NewEstimator returns an estimator that starts with equal popularity and speed.
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

// Observe adds the reports of one interval in which m was in use. Reports of ranks may be missing.
func (e *Estimator) Observe(now time.Time, m Map, reports []Report) {
	sample, reported := e.sample(m, reports)
	if sample == nil {
		return
	}
	e.observeSpeeds(reports)
	if !e.started {
		e.reset(now, sample, reported)
		return
	}
	elapsed := now.Sub(e.lastObserved).Seconds()
	if elapsed <= 0 {
		return
	}
	forecast := e.Forecast(now.Sub(e.lastObserved))
	if e.detectJump(forecast, sample, reported) {
		e.jumps++
		e.reset(now, sample, reported)
		return
	}
	if e.deviations > 0 {
		// The sample deviates, but does not confirm a sudden change yet.
		return
	}
	e.lastObserved = now
	alpha := 1 - math.Exp(-elapsed/e.cfg.LevelTimeConstant.Seconds())
	beta := 1 - math.Exp(-elapsed/e.cfg.TrendTimeConstant.Seconds())
	for i := range sample {
		if !reported[i] {
			e.level[i] = forecast[i]
			continue
		}
		residual := sample[i] - forecast[i]
		e.level[i] = forecast[i] + alpha*residual
		e.trend[i] += alpha * beta * residual / elapsed
	}
}

// sample returns the fraction of the tokens by expert, and which of the experts were reported. The traffic of an expert
// on ranks without a report is extrapolated with the shares of the map.
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
	reported := make([]bool, e.cfg.Experts)
	sum, weight := 0.0, 0.0
	for i := range counts {
		reportedShare := 0.0
		for _, r := range m.Experts[i] {
			if reporting[r.Rank] {
				reportedShare += r.Share
			}
		}
		if reportedShare < minReportedShare {
			continue
		}
		reported[i] = true
		counts[i] /= reportedShare
		sum += counts[i]
		weight += e.level[i]
	}
	if sum == 0 || weight == 0 {
		return nil, nil
	}
	// The reported experts keep their total weight; otherwise a missing report would inflate their popularity.
	for i := range counts {
		if reported[i] {
			counts[i] *= weight / sum
		} else {
			counts[i] = e.level[i]
		}
	}
	return counts, reported
}

// minReportedShare is the part of an expert's traffic that must be reported. Scaling up a smaller part would amplify
// its sampling noise more than tenfold.
const minReportedShare = 0.1

// speedSmoothing is the weight of the newest measurement in the moving average of the speed.
const speedSmoothing = 0.3

// observeSpeeds updates the speed of the ranks with reports, relative to the median speed of those ranks.
func (e *Estimator) observeSpeeds(reports []Report) {
	measured := make([]float64, e.cfg.Ranks)
	var all []float64
	for _, r := range reports {
		if int(r.Rank) >= e.cfg.Ranks || r.ComputeTime <= 0 {
			continue
		}
		total := identifier.Tokens(0)
		for _, n := range r.Tokens {
			total += n
		}
		if total == 0 {
			continue
		}
		measured[r.Rank] = float64(total) / r.ComputeTime.Seconds()
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

// reset restarts the smoothing with the sample as level, without a trend.
func (e *Estimator) reset(now time.Time, sample []float64, reported []bool) {
	e.started = true
	e.lastObserved = now
	e.deviations = 0
	for i := range sample {
		if reported[i] {
			e.level[i] = sample[i]
		}
		e.trend[i] = 0
	}
}

// detectJump reports whether the sample completes a sudden change, and updates the mean deviation.
func (e *Estimator) detectJump(forecast, sample []float64, reported []bool) bool {
	// deviation is the fraction of all tokens that other experts than forecast received. The sum of the differences
	// counts each of these tokens twice.
	deviation := 0.0
	for i := range sample {
		if reported[i] {
			deviation += math.Abs(sample[i]-forecast[i]) / 2
		}
	}
	limit := max(e.cfg.JumpFloor, e.cfg.JumpFactor*e.meanDeviation)
	if deviation > limit {
		e.deviations++
		return e.deviations >= jumpConfirmations
	}
	e.deviations = 0
	e.meanDeviation += deviationSmoothing * (deviation - e.meanDeviation)
	return false
}

// deviationSmoothing is the weight of the newest deviation in the mean deviation.
const deviationSmoothing = 0.1

// Forecast returns the expected popularity by expert at the given time after the last observation. Its sum is 1.
func (e *Estimator) Forecast(after time.Duration) []float64 {
	out := make([]float64, len(e.level))
	sum := 0.0
	for i := range out {
		// The forecast stays between half and twice the level, since popularity cannot become negative.
		v := e.level[i] + e.trend[i]*after.Seconds()
		out[i] = min(max(v, e.level[i]/2), e.level[i]*2)
		sum += out[i]
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

// Speeds returns the speed of each rank relative to the median speed.
func (e *Estimator) Speeds() []float64 {
	return append([]float64(nil), e.speeds...)
}

// Jumps returns the number of sudden changes detected so far.
func (e *Estimator) Jumps() int {
	return e.jumps
}
