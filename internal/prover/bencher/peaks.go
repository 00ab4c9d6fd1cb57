package bencher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/prover/recorder"
)

const (
	peakPeriod = 8 * time.Second
	// shiftPeriod is the time after the change to the evening load that is measured separately.
	shiftPeriod = 4 * time.Second
	// peakLoad is the load as a fraction of the capacity of all engines.
	peakLoad = 0.70
	// peakPrefixes is the number of system prompts of each customer. The prompts of all customers exceed the cache of
	// one engine and fit into the caches of all engines.
	peakPrefixes = 8
	// cachePrefixes is the number of prefixes in the cache of an engine.
	cachePrefixes = "16"
)

// The outputs have a mean of 12 tokens in the morning and of 80 tokens in the evening.
var (
	morningWorkload = workload{minTokens: 8, maxTokens: 16, prefixes: peakPrefixes}
	eveningWorkload = workload{minTokens: 40, maxTokens: 120, prefixes: peakPrefixes}
)

// measurePeaks sends the morning load, changes at once to the evening load, and compares balanced with round-robin
// routing.
func measurePeaks(ctx context.Context, b *bench) error {
	results := map[string][]sample{}
	for _, routing := range []string{routingBalanced, routingRoundRobin} {
		b.note("morning and evening, routing %s", routing)
		runs, err := b.runPeaks(ctx, routing)
		if err != nil {
			return err
		}
		results[routing] = medians(runs)
	}
	b.print(withBaselines(results[routingBalanced], map[string][]sample{routingRoundRobin: results[routingRoundRobin]}))
	return nil
}

// span is a part of a run. The names of its figures start with its name.
type span struct {
	name     string
	from, to time.Time
}

func (b *bench) runPeaks(ctx context.Context, routing string) ([][]sample, error) {
	plan := smallPlan()
	plan.Routing = routing
	plan.EngineArgs = append(plan.EngineArgs, "--cache-prefixes", cachePrefixes)
	f, err := b.deploy(ctx, plan)
	if err != nil {
		return nil, err
	}
	t := newTraffic(ctx, f)
	if err := f.warmUpEngines(ctx, t, b.cfg.Seed); err != nil {
		return nil, errors.CombineErrors(err, f.close(ctx))
	}
	send := func(w workload, seed uint64, period time.Duration) {
		w.rate = evenRates(f.rateAt(peakLoad, w.meanTokens()), len(f.Plan.Customers))
		t.run(w, seed, period)
	}
	var spans [][]span
	for run := range b.cfg.Runs {
		seed := b.cfg.Seed + uint64(run) + 1
		began := time.Now()
		send(morningWorkload, seed, peakPeriod)
		shifted := time.Now()
		send(eveningWorkload, seed, shiftPeriod+peakPeriod)
		ended := time.Now()
		spans = append(spans, []span{
			{"morning", began, shifted},
			{"shift", shifted, shifted.Add(shiftPeriod)},
			{"evening", shifted.Add(shiftPeriod), ended},
		})
	}
	t.finish()
	records, err := recorder.Collect(ctx, recorder.SourcesOf(f.Deployment))
	if err := errors.CombineErrors(err, f.close(ctx)); err != nil {
		return nil, err
	}
	report := recorder.Examine(f.log.Exchanges(), records)
	b.noteViolations(report)
	var runs [][]sample
	for _, run := range spans {
		var samples []sample
		for _, s := range run {
			samples = append(samples, s.samples(report, records)...)
		}
		runs = append(runs, samples)
	}
	return runs, nil
}

func (s span) samples(report recorder.Report, records []recorder.SourceRecord) []sample {
	w := sentBetween(report.Verdicts, s.from, s.to)
	return []sample{
		{s.name + "Goodput", w.goodput(), "ratio"},
		{s.name + "FirstTokenP50", milliseconds(w.firstTokenQuantile(p50)), "ms"},
		{s.name + "FirstTokenP95", milliseconds(w.firstTokenQuantile(p95)), "ms"},
		{s.name + "BetweenTokensP95", milliseconds(w.tokenGapQuantile(p95)), "ms"},
		{s.name + "PrefixHits", prefixHits(records, s.from, s.to), "ratio"},
	}
}

// prefixHits returns the fraction of requests that found their prefix in an engine's cache.
func prefixHits(records []recorder.SourceRecord, from, to time.Time) float64 {
	hits, calls := 0.0, 0.0
	for _, r := range records {
		for _, call := range r.Record.Calls {
			if call.Start.Before(from) || !call.Start.Before(to) {
				continue
			}
			calls++
			if call.PrefixHit {
				hits++
			}
		}
	}
	if calls == 0 {
		return 0
	}
	return hits / calls
}

const (
	contentionPeriod = 12 * time.Second
	// contentionRampUp is the time until every customer has waiting requests. It is not measured.
	contentionRampUp = 3 * time.Second
	// contentionLoad is the load of each customer as a fraction of the total capacity. It exceeds the largest share.
	contentionLoad = 0.5
)

var (
	contentionShares   = []float64{4, 2, 2, 1, 1, 1}
	contentionWorkload = workload{minTokens: 20, maxTokens: 60, prefixes: 4}
)

// measureFairness sends the same high load for customers with different shares.
func measureFairness(ctx context.Context, b *bench) error {
	b.note("fairness under contention")
	plan := smallPlan()
	plan.Customers = plan.Customers[:len(contentionShares)]
	for i, share := range contentionShares {
		plan.Customers[i].Share = share
	}
	f, err := b.deploy(ctx, plan)
	if err != nil {
		return err
	}
	t := newTraffic(ctx, f)
	if err := f.warmUpEngines(ctx, t, b.cfg.Seed); err != nil {
		return errors.CombineErrors(err, f.close(ctx))
	}
	w := contentionWorkload
	w.rate = evenRates(contentionLoad*float64(len(contentionShares))*f.rateAt(1, w.meanTokens()), len(contentionShares))
	var spans []span
	for run := range b.cfg.Runs {
		began := time.Now()
		t.run(w, b.cfg.Seed+uint64(run)+1, contentionPeriod)
		spans = append(spans, span{from: began.Add(contentionRampUp), to: time.Now()})
	}
	t.finish()
	if err := f.close(ctx); err != nil {
		return err
	}
	exchanges := f.log.Exchanges()
	var runs [][]sample
	for _, s := range spans {
		var servicePerShare []float64
		for _, c := range plan.Customers {
			servicePerShare = append(servicePerShare, float64(tokensBetween(exchanges, c.Name, s.from, s.to))/c.Share)
		}
		runs = append(runs, []sample{
			{"fairnessJain", jain(servicePerShare), "ratio"},
			{"fairnessLeastServed", leastOverMean(servicePerShare), "ratio"},
		})
	}
	b.print(withoutBaseline(medians(runs)))
	return nil
}

// tokensBetween returns the number of tokens that a customer received in [from, to).
func tokensBetween(exchanges []*recorder.Exchange, customer string, from, to time.Time) int {
	count := 0
	for _, e := range exchanges {
		if e.Customer() != customer {
			continue
		}
		for _, arrival := range e.TokenTimes {
			if !arrival.Before(from) && arrival.Before(to) {
				count++
			}
		}
	}
	return count
}

// jain returns Jain's fairness index: 1 if all n values are equal, 1 ÷ n if all but one are zero.
func jain(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum += v
		squares += v * v
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(values)) * squares)
}

func leastOverMean(values []float64) float64 {
	sum, least := 0.0, values[0]
	for _, v := range values {
		sum += v
		least = min(least, v)
	}
	if sum == 0 {
		return 0
	}
	return least * float64(len(values)) / sum
}

const (
	isolationPeriod = 10 * time.Second
	// isolationRampUp is the time at the start of each part that is not measured.
	isolationRampUp = 2 * time.Second
	// othersLoad is the load of the other customers as a fraction of their shares.
	othersLoad = 0.7
	// heavyFactor is the load of the heavy customer as a multiple of its share.
	heavyFactor = 20
)

// measureIsolation compares the service of customers with and without the load of another customer that sends 20 times
// its share. They send the same requests at the same times in both parts.
func measureIsolation(ctx context.Context, b *bench) error {
	b.note("isolation from one customer at %d times its share", heavyFactor)
	plan := smallPlan()
	f, err := b.deploy(ctx, plan)
	if err != nil {
		return err
	}
	t := newTraffic(ctx, f)
	if err := f.warmUpEngines(ctx, t, b.cfg.Seed); err != nil {
		return errors.CombineErrors(err, f.close(ctx))
	}
	solo := shortOutputs
	solo.rate = evenRates(othersLoad*f.rateAt(1, solo.meanTokens()), len(plan.Customers))
	solo.rate[0] = 0
	contended := solo
	contended.rate = append([]float64(nil), solo.rate...)
	contended.rate[0] = heavyFactor * f.rateAt(1, solo.meanTokens()) / float64(len(plan.Customers))
	var soloSpans, contendedSpans []span
	for run := range b.cfg.Runs {
		seed := b.cfg.Seed + uint64(run) + 1
		soloSpans = append(soloSpans, t.runIsolation(solo, seed))
		contendedSpans = append(contendedSpans, t.runIsolation(contended, seed))
		// The queue of the heavy customer drains before the next part without its load.
		t.calls.Wait()
	}
	t.finish()
	records, err := recorder.Collect(ctx, recorder.SourcesOf(f.Deployment))
	if err := errors.CombineErrors(err, f.close(ctx)); err != nil {
		return err
	}
	report := recorder.Examine(f.log.Exchanges(), records)
	b.noteViolations(report)
	heavy := plan.Customers[0].Name
	soloSamples := medians(othersSamples(report, soloSpans, heavy))
	b.print(withBaselines(medians(othersSamples(report, contendedSpans, heavy)), map[string][]sample{"solo": soloSamples}))
	return nil
}

// runIsolation sends a load and returns the span after its ramp-up.
func (t *traffic) runIsolation(w workload, seed uint64) span {
	began := time.Now()
	t.run(w, seed, isolationPeriod)
	return span{from: began.Add(isolationRampUp), to: time.Now()}
}

func othersSamples(report recorder.Report, spans []span, heavy string) [][]sample {
	var runs [][]sample
	for _, s := range spans {
		others := sentBetween(report.Verdicts, s.from, s.to).without(heavy)
		runs = append(runs, []sample{
			{"othersGoodput", others.goodput(), "ratio"},
			{"othersFirstTokenP50", milliseconds(others.firstTokenQuantile(p50)), "ms"},
			{"othersFirstTokenP95", milliseconds(others.firstTokenQuantile(p95)), "ms"},
		})
	}
	return runs
}
