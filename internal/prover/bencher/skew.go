// Package bencher measures the product: deployments of its processes under load, and its decision code with generated
// workloads.
package bencher

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/placer"
)

// Skew describes a workload for the placement of experts: a popularity that drifts and changes suddenly.
type Skew struct {
	Seed    uint64
	Ranks   int
	Experts int
	Slots   int
	// FailureDomains is the number of failure domains that the ranks are spread over.
	FailureDomains int
	// Spread is the standard deviation of the logarithm of the initial popularity.
	Spread float64
	// Drift is the amplitude of the slow change of the logarithm, with periods from DriftPeriod to three times that.
	Drift       float64
	DriftPeriod time.Duration
	// Tokens is the number of token assignments in each step, StepTime the ordinary step time.
	Tokens   float64
	StepTime time.Duration
	Duration time.Duration
	// Change is when the popularity of Changed experts changes places at once; zero means never.
	Change  time.Duration
	Changed int
	// Interval is the time between plans, Report between load reports.
	Interval time.Duration
	Report   time.Duration
	// SlowRank has SlowSpeed times the speed of the others if SlowSpeed is not zero.
	SlowRank  int
	SlowSpeed float64
	// MissingReports is the part of the reports that never arrives.
	MissingReports float64
	ExpertBytes    identifier.Bytes
	// FetchRate is the rate of the weight store in bytes per second.
	FetchRate identifier.Bytes
}

// LargeGroup is the group of the design's target: 64 ranks and 64 experts.
func LargeGroup(seed uint64) Skew {
	return Skew{
		Seed: seed, Ranks: 64, Experts: 64, Slots: 2, FailureDomains: 3,
		Spread: 0.7, Drift: 0.5, DriftPeriod: 10 * time.Minute,
		Tokens: 64 * 8192, StepTime: 50 * time.Millisecond,
		Duration: 30 * time.Minute, Change: 15 * time.Minute, Changed: 16,
		Interval: 5 * time.Second, Report: time.Second,
		ExpertBytes: 512 << 20, FetchRate: 4 << 30,
	}
}

// TodaysGroup is the group that runs today: 16 ranks.
func TodaysGroup(seed uint64) Skew {
	s := LargeGroup(seed)
	s.Ranks = 16
	s.Slots = 6
	s.Tokens = 16 * 8192
	s.FetchRate = 1 << 30
	return s
}

// SkewResult is what one run measured.
type SkewResult struct {
	// Steady is the p99 of slowest ÷ mean step time outside the settling times, and Floor the same for ranks
	// with exactly even expected work, so that only the randomness of the steps is left.
	Steady float64
	Floor  float64
	// Settling is the p99 in the settling time after the sudden change.
	Settling float64
	// Recovery is the time from the sudden change until no step of the settling time exceeds recoveredSkew.
	Recovery time.Duration
	Bytes    identifier.Bytes
	Changes  int
	Plans    int
	// Jumps is the number of sudden changes that the estimator detected.
	Jumps int
}

const (
	// settling is the time after the start and after the sudden change that is not part of the steady part.
	settling = time.Minute
	// switchLead is the time that a change of map takes besides fetching weights.
	switchLead = time.Second
	// recoveredSkew is the skew above which the group has not yet recovered from a sudden change.
	recoveredSkew = 1.10
	// steadyQuantile is the quantile that the design's target names.
	steadyQuantile = 0.99
)

// skewRun is the state of one run.
type skewRun struct {
	Skew
	policy    placer.Policy
	random    *rand.Rand
	base      []float64
	amplitude []float64
	period    []float64
	phase     []float64
	estimator *placer.Estimator
	current   placer.Map
	next      *placer.Map
	nextAt    time.Duration
	tokens    [][]float64
	busy      []float64
	jumps     int
	result    SkewResult
	steady    []float64
	floor     []float64
	settle    []float64
}

// Run drives one policy through the workload. Equal workloads give each policy the same steps.
func (s Skew) Run(policy placer.Policy) (SkewResult, error) {
	r := &skewRun{
		Skew:      s,
		policy:    policy,
		random:    rand.New(rand.NewPCG(s.Seed, s.Seed)),
		estimator: placer.NewEstimator(placer.DefaultEstimatorConfig(s.Experts, s.Ranks)),
	}
	r.generate()
	first, err := placer.Plan(r.input(r.popularity(0)))
	if err != nil {
		return SkewResult{}, errors.Wrap(err, "make the first map")
	}
	r.current = first.Map
	r.clear()
	steps := int(s.Duration / s.StepTime)
	perReport := int(s.Report / s.StepTime)
	perPlan := int(s.Interval / s.StepTime)
	for step := 1; step <= steps; step++ {
		at := time.Duration(step) * s.StepTime
		r.step(at)
		if step%perReport == 0 {
			r.report(at)
		}
		if step%perPlan == 0 || r.jumped() {
			if err := r.plan(at); err != nil {
				return SkewResult{}, err
			}
		}
	}
	r.result.Steady = quantile(r.steady, steadyQuantile)
	r.result.Floor = quantile(r.floor, steadyQuantile)
	r.result.Settling = quantile(r.settle, steadyQuantile)
	r.result.Jumps = r.estimator.Jumps()
	return r.result, nil
}

// jumped tells once that the estimator has detected a sudden change, which does not wait for the next interval.
func (r *skewRun) jumped() bool {
	before := r.jumps
	r.jumps = r.estimator.Jumps()
	return r.jumps > before
}

func (r *skewRun) generate() {
	for range r.Experts {
		r.base = append(r.base, r.random.NormFloat64()*r.Spread)
		r.amplitude = append(r.amplitude, r.Drift)
		r.period = append(r.period, r.DriftPeriod.Seconds()*(1+2*r.random.Float64()))
		r.phase = append(r.phase, 2*math.Pi*r.random.Float64())
	}
}

// popularity returns the true popularity at a time.
func (r *skewRun) popularity(at time.Duration) []float64 {
	out := make([]float64, r.Experts)
	sum := 0.0
	for e := range out {
		source := e
		// The first Changed experts exchange their base popularity in the opposite order.
		if r.Change > 0 && at >= r.Change && e < r.Changed {
			source = r.Changed - 1 - e
		}
		out[e] = math.Exp(r.base[source] + r.amplitude[e]*math.Sin(2*math.Pi*at.Seconds()/r.period[e]+r.phase[e]))
		sum += out[e]
	}
	for e := range out {
		out[e] /= sum
	}
	return out
}

func (r *skewRun) speed(rank int) float64 {
	if r.SlowSpeed > 0 && rank == r.SlowRank {
		return r.SlowSpeed
	}
	return 1
}

func (r *skewRun) input(popularity []float64) placer.Input {
	in := placer.Input{Policy: r.policy, Current: r.current, Popularity: popularity, ExpertBytes: r.ExpertBytes}
	speeds := r.estimator.Speeds()
	for i := range r.Ranks {
		domain := identifier.FailureDomain(string(rune('a' + i%r.FailureDomains)))
		in.Ranks = append(in.Ranks, placer.Rank{FailureDomain: domain, Slots: r.Slots, Speed: speeds[i], Available: true})
	}
	return in
}

func (r *skewRun) clear() {
	r.tokens = make([][]float64, r.Ranks)
	r.busy = make([]float64, r.Ranks)
	for i := range r.tokens {
		r.tokens[i] = make([]float64, r.Experts)
	}
}

func (r *skewRun) step(at time.Duration) {
	if r.next != nil && at >= r.nextAt {
		r.current = *r.next
		r.next = nil
	}
	popularity := r.popularity(at)
	times := make([]float64, r.Ranks)
	even := make([]float64, r.Ranks)
	for e, p := range popularity {
		expected := p * r.Tokens
		count := max(0, expected+math.Sqrt(expected)*r.random.NormFloat64())
		for _, replica := range r.current.Experts[e] {
			part := count * replica.Share
			r.tokens[replica.Rank][e] += part
			times[replica.Rank] += part / r.speed(int(replica.Rank))
		}
	}
	mean := r.Tokens / float64(r.Ranks)
	for i := range even {
		even[i] = mean + math.Sqrt(mean)*r.random.NormFloat64()
	}
	for i, t := range times {
		r.busy[i] += t
	}
	r.record(at, skewOf(times), skewOf(even))
}

func (r *skewRun) record(at time.Duration, skew, floor float64) {
	switch {
	case at < settling:
	case r.Change > 0 && at >= r.Change && at < r.Change+settling:
		r.settle = append(r.settle, skew)
		if skew > recoveredSkew {
			r.result.Recovery = at - r.Change
		}
	default:
		r.steady = append(r.steady, skew)
		r.floor = append(r.floor, floor)
	}
}

func (r *skewRun) report(at time.Duration) {
	var reports []placer.Report
	for i := range r.Ranks {
		if r.random.Float64() < r.MissingReports {
			continue
		}
		report := placer.Report{Rank: identifier.Rank(i), ComputeTime: time.Duration(r.busy[i])}
		for _, n := range r.tokens[i] {
			report.Tokens = append(report.Tokens, identifier.Tokens(n))
		}
		reports = append(reports, report)
	}
	r.clear()
	r.estimator.Observe(time.Time{}.Add(at), r.current, reports)
}

// plan makes a plan unless a change is still being prepared, and delays it by the time to fetch its weights.
func (r *skewRun) plan(at time.Duration) error {
	if r.next != nil {
		return nil
	}
	r.result.Plans++
	decision, err := placer.Plan(r.input(r.estimator.Forecast(switchLead + r.Interval/2)))
	if err != nil {
		return errors.Wrap(err, "plan the next map")
	}
	if !decision.Changed {
		return nil
	}
	r.result.Changes++
	r.result.Bytes += decision.Bytes
	r.next = &decision.Map
	fetch := float64(decision.Bytes) / float64(r.FetchRate)
	r.nextAt = at + switchLead + time.Duration(fetch*float64(time.Second))
	return nil
}

// skewOf returns slowest ÷ mean.
func skewOf(times []float64) float64 {
	sum, slowest := 0.0, 0.0
	for _, t := range times {
		sum += t
		slowest = max(slowest, t)
	}
	return slowest / (sum / float64(len(times)))
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
