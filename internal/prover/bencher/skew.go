// Package bencher measures the performance of the product: of deployments of its processes under load, and of its
// decision code with generated workloads.
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

// SkewWorkload describes a workload for the placement of experts, whose popularity drifts and can change suddenly.
type SkewWorkload struct {
	Seed         uint64
	Ranks        int
	Experts      int
	SlotsPerRank int
	// FailureDomains is the number of failure domains over which the ranks are spread.
	FailureDomains int
	// Spread is the standard deviation of the logarithm of the base popularity, to which the drift is added.
	Spread float64
	// DriftAmplitude is the amplitude of the slow periodic change of the logarithm of the popularity. Each expert has a
	// period from DriftPeriod to three times DriftPeriod.
	DriftAmplitude float64
	DriftPeriod    time.Duration
	// TokensPerStep is the number of token assignments in each step, StepTime the time between two steps.
	TokensPerStep float64
	StepTime      time.Duration
	Duration      time.Duration
	// ChangeAt is the time at which the first ChangedExperts experts exchange their base popularity in reverse order. If
	// it is zero, there is no sudden change.
	ChangeAt       time.Duration
	ChangedExperts int
	// PlanInterval is the time between two plans, ReportInterval between two load reports.
	PlanInterval   time.Duration
	ReportInterval time.Duration
	// SlowSpeed is the speed of SlowRank relative to the other ranks. If it is zero, no rank is slow.
	SlowRank  int
	SlowSpeed float64
	// MissingReportFraction is the probability that a report is lost.
	MissingReportFraction float64
	ExpertBytes           identifier.Bytes
	// FetchRate is the rate of the weight store in bytes per second.
	FetchRate identifier.Bytes
}

// LargeGroup returns the workload of a group of the size to which the target applies: 64 ranks and 64 experts.
func LargeGroup(seed uint64) SkewWorkload {
	return SkewWorkload{
		Seed: seed, Ranks: 64, Experts: 64, SlotsPerRank: 2, FailureDomains: 3,
		Spread: 0.7, DriftAmplitude: 0.5, DriftPeriod: 10 * time.Minute,
		TokensPerStep: 64 * 8192, StepTime: 50 * time.Millisecond,
		Duration: 30 * time.Minute, ChangeAt: 15 * time.Minute, ChangedExperts: 16,
		PlanInterval: 5 * time.Second, ReportInterval: time.Second,
		ExpertBytes: 512 << 20, FetchRate: 4 << 30,
	}
}

// SmallGroup returns the workload of a group of the size of present deployments: 16 ranks and 64 experts.
func SmallGroup(seed uint64) SkewWorkload {
	s := LargeGroup(seed)
	s.Ranks = 16
	s.SlotsPerRank = 6
	s.TokensPerStep = 16 * 8192
	s.FetchRate = 1 << 30
	return s
}

// SkewResult holds the results of one run. Skew is the slowest ÷ mean step time of the ranks.
type SkewResult struct {
	// SteadySkew is the p99 of the skew outside of the settling periods. FloorSkew is the same for ranks with exactly
	// equal expected work, whose skew comes only from the randomness of the steps.
	SteadySkew float64
	FloorSkew  float64
	// SettlingSkew is the p99 of the skew in the settling period after the sudden change.
	SettlingSkew float64
	// RecoveryTime is the time from the sudden change until no further step of the settling period exceeds
	// recoveredSkew.
	RecoveryTime time.Duration
	// Bytes is the size of all weights that ranks fetch because of changes of the map.
	Bytes      identifier.Bytes
	MapChanges int
	Plans      int
	// Jumps is the number of sudden changes that the estimator detected.
	Jumps int
}

const (
	// settlingPeriod is the time after the start and after the sudden change that does not count for SteadySkew.
	settlingPeriod = time.Minute
	// mapSwitchTime is the time that a change of the map takes in addition to fetching weights.
	mapSwitchTime = time.Second
	// recoveredSkew is the skew above which the group has not yet recovered from a sudden change.
	recoveredSkew = 1.10
	// steadyQuantile is the quantile of the skew to which the target applies.
	steadyQuantile = 0.99
)

// skewRun is the state of Run.
type skewRun struct {
	SkewWorkload
	policy placer.Policy
	random *rand.Rand
	// The popularity of each expert follows from the logarithm of its base popularity and a sine wave with an amplitude, a
	// period in seconds and a phase in radians.
	base      []float64
	amplitude []float64
	period    []float64
	phase     []float64
	estimator *placer.Estimator
	current   placer.Map
	pending   *placer.Map
	pendingAt time.Duration
	// tokens holds the tokens that each rank processed for each expert since the last report, computeTimes the time of
	// each rank for them. A token takes 1 ns at speed 1.
	tokens        [][]float64
	computeTimes  []float64
	jumps         int
	result        SkewResult
	steadySkews   []float64
	floorSkews    []float64
	settlingSkews []float64
}

// Run runs the workload with a policy. Equal workloads have the same random steps with each policy.
func (s SkewWorkload) Run(policy placer.Policy) (SkewResult, error) {
	r := &skewRun{
		SkewWorkload: s,
		policy:       policy,
		random:       rand.New(rand.NewPCG(s.Seed, s.Seed)),
		estimator:    placer.NewEstimator(placer.DefaultEstimatorConfig(s.Experts, s.Ranks)),
	}
	r.generate()
	first, err := placer.Plan(r.input(r.popularity(0)))
	if err != nil {
		return SkewResult{}, errors.Wrap(err, "plan the first map")
	}
	r.current = first.Map
	r.clearReports()
	steps := int(s.Duration / s.StepTime)
	perReport := int(s.ReportInterval / s.StepTime)
	perPlan := int(s.PlanInterval / s.StepTime)
	for step := 1; step <= steps; step++ {
		at := time.Duration(step) * s.StepTime
		r.step(at)
		if step%perReport == 0 {
			r.report(at)
		}
		if step%perPlan == 0 || r.hasJumped() {
			if err := r.plan(at); err != nil {
				return SkewResult{}, err
			}
		}
	}
	r.result.SteadySkew = quantile(r.steadySkews, steadyQuantile)
	r.result.FloorSkew = quantile(r.floorSkews, steadyQuantile)
	r.result.SettlingSkew = quantile(r.settlingSkews, steadyQuantile)
	r.result.Jumps = r.estimator.Jumps()
	return r.result, nil
}

// hasJumped reports whether the estimator has detected a sudden change since the last call. A plan follows at once and
// does not wait for the next interval.
func (r *skewRun) hasJumped() bool {
	before := r.jumps
	r.jumps = r.estimator.Jumps()
	return r.jumps > before
}

func (r *skewRun) generate() {
	for range r.Experts {
		r.base = append(r.base, r.random.NormFloat64()*r.Spread)
		r.amplitude = append(r.amplitude, r.DriftAmplitude)
		r.period = append(r.period, r.DriftPeriod.Seconds()*(1+2*r.random.Float64()))
		r.phase = append(r.phase, 2*math.Pi*r.random.Float64())
	}
}

// popularity returns the actual popularity of each expert at a time, as fractions of all tokens.
func (r *skewRun) popularity(at time.Duration) []float64 {
	out := make([]float64, r.Experts)
	sum := 0.0
	for e := range out {
		source := e
		// The first ChangedExperts experts exchange their base popularity in reverse order.
		if r.ChangeAt > 0 && at >= r.ChangeAt && e < r.ChangedExperts {
			source = r.ChangedExperts - 1 - e
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
		in.Ranks = append(in.Ranks, placer.Rank{FailureDomain: domain, Slots: r.SlotsPerRank, Speed: speeds[i], Available: true})
	}
	return in
}

func (r *skewRun) clearReports() {
	r.tokens = make([][]float64, r.Ranks)
	r.computeTimes = make([]float64, r.Ranks)
	for i := range r.tokens {
		r.tokens[i] = make([]float64, r.Experts)
	}
}

func (r *skewRun) step(at time.Duration) {
	if r.pending != nil && at >= r.pendingAt {
		r.current = *r.pending
		r.pending = nil
	}
	popularity := r.popularity(at)
	times := make([]float64, r.Ranks)
	even := make([]float64, r.Ranks)
	for e, p := range popularity {
		expected := p * r.TokensPerStep
		count := max(0, expected+math.Sqrt(expected)*r.random.NormFloat64())
		for _, replica := range r.current.Experts[e] {
			part := count * replica.Share
			r.tokens[replica.Rank][e] += part
			times[replica.Rank] += part / r.speed(int(replica.Rank))
		}
	}
	mean := r.TokensPerStep / float64(r.Ranks)
	for i := range even {
		even[i] = mean + math.Sqrt(mean)*r.random.NormFloat64()
	}
	for i, t := range times {
		r.computeTimes[i] += t
	}
	r.record(at, skewRatio(times), skewRatio(even))
}

func (r *skewRun) record(at time.Duration, skew, floor float64) {
	switch {
	case at < settlingPeriod:
	case r.ChangeAt > 0 && at >= r.ChangeAt && at < r.ChangeAt+settlingPeriod:
		r.settlingSkews = append(r.settlingSkews, skew)
		if skew > recoveredSkew {
			r.result.RecoveryTime = at - r.ChangeAt
		}
	default:
		r.steadySkews = append(r.steadySkews, skew)
		r.floorSkews = append(r.floorSkews, floor)
	}
}

func (r *skewRun) report(at time.Duration) {
	var reports []placer.Report
	for i := range r.Ranks {
		if r.random.Float64() < r.MissingReportFraction {
			continue
		}
		report := placer.Report{Rank: identifier.Rank(i), ComputeTime: time.Duration(r.computeTimes[i])}
		for _, n := range r.tokens[i] {
			report.Tokens = append(report.Tokens, identifier.Tokens(n))
		}
		reports = append(reports, report)
	}
	r.clearReports()
	r.estimator.Observe(time.Time{}.Add(at), r.current, reports)
}

// plan plans a map unless a change is pending. A changed map takes effect after the time to fetch its weights.
func (r *skewRun) plan(at time.Duration) error {
	if r.pending != nil {
		return nil
	}
	r.result.Plans++
	decision, err := placer.Plan(r.input(r.estimator.Forecast(mapSwitchTime + r.PlanInterval/2)))
	if err != nil {
		return errors.Wrap(err, "plan the next map")
	}
	if !decision.Changed {
		return nil
	}
	r.result.MapChanges++
	r.result.Bytes += decision.Bytes
	r.pending = &decision.Map
	fetch := float64(decision.Bytes) / float64(r.FetchRate)
	r.pendingAt = at + mapSwitchTime + time.Duration(fetch*float64(time.Second))
	return nil
}

// skewRatio returns the slowest ÷ mean time.
func skewRatio(times []float64) float64 {
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
