package bencher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/prover/recorder"
)

const (
	peakPeriod  = 8 * time.Second
	shiftPeriod = 4 * time.Second
	peakLoad    = 0.70
	// peakPrefixes system prompts of each customer exceed what one engine's cache holds and fit into all of them.
	peakPrefixes  = 8
	cachePrefixes = "16"
)

// The answers of the morning have a mean of 12 tokens, those of the evening of 80.
var (
	morningMix = mix{minTokens: 8, maxTokens: 16, prefixes: peakPrefixes}
	eveningMix = mix{minTokens: 40, maxTokens: 120, prefixes: peakPrefixes}
)

// peaks sends the morning load, shifts to the evening load at once, and compares with round robin.
func peaks(ctx context.Context, b *bench) error {
	results := map[string][]sample{}
	for _, routing := range []string{routingBalanced, routingRoundRobin} {
		b.note("morning and evening, routing %s", routing)
		runs, err := b.runPeaks(ctx, routing)
		if err != nil {
			return err
		}
		results[routing] = medians(runs)
	}
	b.print(compared(results[routingBalanced], map[string][]sample{routingRoundRobin: results[routingRoundRobin]}))
	return nil
}

// span is a part of a run with a name for its figures.
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
	if err := f.warm(ctx, t, b.cfg.Seed); err != nil {
		return nil, errors.CombineErrors(err, f.close(ctx))
	}
	send := func(m mix, seed uint64, period time.Duration) {
		m.rate = evenly(f.rateAt(peakLoad, m.meanTokens()), len(f.Plan.Customers))
		t.run(m, seed, period)
	}
	var spans [][]span
	for run := range b.cfg.Runs {
		seed := b.cfg.Seed + uint64(run) + 1
		began := time.Now()
		send(morningMix, seed, peakPeriod)
		shifted := time.Now()
		send(eveningMix, seed, shiftPeriod+peakPeriod)
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
		{s.name + "FirstTokenP50", milliseconds(w.firstToken(p50)), "ms"},
		{s.name + "FirstTokenP95", milliseconds(w.firstToken(p95)), "ms"},
		{s.name + "BetweenTokensP95", milliseconds(w.betweenTokens(p95)), "ms"},
		{s.name + "PrefixHits", prefixHits(records, s.from, s.to), "ratio"},
	}
}

// prefixHits returns the part of the requests whose prefix an engine's cache held.
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
	// contentionStart is the time until every customer has requests waiting.
	contentionStart = 3 * time.Second
	// contentionLoad is what each customer asks for, as a part of the whole capacity. It exceeds the largest share.
	contentionLoad = 0.5
)

var (
	contentionShares = []float64{4, 2, 2, 1, 1, 1}
	contentionMix    = mix{minTokens: 20, maxTokens: 60, prefixes: 4}
)

// fairness lets customers of different shares ask for the same large amount.
func fairness(ctx context.Context, b *bench) error {
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
	if err := f.warm(ctx, t, b.cfg.Seed); err != nil {
		return errors.CombineErrors(err, f.close(ctx))
	}
	m := contentionMix
	m.rate = evenly(contentionLoad*float64(len(contentionShares))*f.rateAt(1, m.meanTokens()), len(contentionShares))
	var spans []span
	for run := range b.cfg.Runs {
		began := time.Now()
		t.run(m, b.cfg.Seed+uint64(run)+1, contentionPeriod)
		spans = append(spans, span{from: began.Add(contentionStart), to: time.Now()})
	}
	t.finish()
	if err := f.close(ctx); err != nil {
		return err
	}
	exchanges := f.log.Exchanges()
	var runs [][]sample
	for _, s := range spans {
		var services []float64
		for _, c := range plan.Customers {
			services = append(services, float64(tokensBetween(exchanges, c.Name, s.from, s.to))/c.Share)
		}
		runs = append(runs, []sample{
			{"fairnessJain", jain(services), "ratio"},
			{"fairnessLeastServed", leastOverMean(services), "ratio"},
		})
	}
	b.print(plain(medians(runs)))
	return nil
}

// tokensBetween counts the tokens that a customer received in a time.
func tokensBetween(exchanges []*recorder.Exchange, customer string, from, to time.Time) int {
	count := 0
	for _, e := range exchanges {
		if e.Customer() != customer {
			continue
		}
		for _, at := range e.Tokens {
			if !at.Before(from) && at.Before(to) {
				count++
			}
		}
	}
	return count
}

// jain returns Jain's fairness index: 1 for equal values, 1 ÷ n if one has everything.
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
	isolationStart  = 2 * time.Second
	// othersLoad is what the other customers ask for, as a part of their shares.
	othersLoad  = 0.7
	heavyFactor = 20
)

// isolation lets one customer ask for 20 times its share and compares the others with their service without it. The
// others send the same requests at the same times in both parts.
func isolation(ctx context.Context, b *bench) error {
	b.note("isolation from one customer at %d times its share", heavyFactor)
	plan := smallPlan()
	f, err := b.deploy(ctx, plan)
	if err != nil {
		return err
	}
	t := newTraffic(ctx, f)
	if err := f.warm(ctx, t, b.cfg.Seed); err != nil {
		return errors.CombineErrors(err, f.close(ctx))
	}
	solo := shortAnswers
	solo.rate = evenly(othersLoad*f.rateAt(1, solo.meanTokens()), len(plan.Customers))
	solo.rate[0] = 0
	crowded := solo
	crowded.rate = append([]float64(nil), solo.rate...)
	crowded.rate[0] = heavyFactor * f.rateAt(1, solo.meanTokens()) / float64(len(plan.Customers))
	var soloSpans, crowdedSpans []span
	for run := range b.cfg.Runs {
		seed := b.cfg.Seed + uint64(run) + 1
		soloSpans = append(soloSpans, t.spanOf(solo, seed))
		crowdedSpans = append(crowdedSpans, t.spanOf(crowded, seed))
		// The queue of the heavy customer empties before the next solo part.
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
	soloSamples := medians(othersIn(report, soloSpans, heavy))
	b.print(compared(medians(othersIn(report, crowdedSpans, heavy)), map[string][]sample{"solo": soloSamples}))
	return nil
}

func (t *traffic) spanOf(m mix, seed uint64) span {
	began := time.Now()
	t.run(m, seed, isolationPeriod)
	return span{from: began.Add(isolationStart), to: time.Now()}
}

func othersIn(report recorder.Report, spans []span, heavy string) [][]sample {
	var runs [][]sample
	for _, s := range spans {
		others := sentBetween(report.Verdicts, s.from, s.to).without(heavy)
		runs = append(runs, []sample{
			{"othersGoodput", others.goodput(), "ratio"},
			{"othersFirstTokenP50", milliseconds(others.firstToken(p50)), "ms"},
			{"othersFirstTokenP95", milliseconds(others.firstToken(p95)), "ms"},
		})
	}
	return runs
}
