package bencher

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/recorder"
)

const (
	// A run has three parts: before the failure domain is taken out of service, while it is out, and after its return.
	beforeOutPeriod = 3 * time.Second
	outPeriod       = 9 * time.Second
	backPeriod      = 7 * time.Second
	// settlePeriod is the time after a change of the failure domain after which the target for the time to first token
	// applies.
	settlePeriod = 5 * time.Second
	// fullUseFraction is the fraction of its even share of new requests from which a failure domain counts as fully
	// used.
	fullUseFraction = 0.8
	// The share is measured in windows of fullUseWindow that start fullUseStep apart.
	fullUseWindow = time.Second
	fullUseStep   = 100 * time.Millisecond
	p50           = 0.50
	p95           = 0.95
)

// domainLoads are the loads as fractions of the capacity of all engines.
var domainLoads = []float64{0.60, 0.85}

// shortOutputs is a workload whose outputs have a mean of 20 tokens.
var shortOutputs = workload{minTokens: 10, maxTokens: 30, prefixes: 4}

// cycle holds the times of one run: its start, when a failure domain was taken out of service and returned, and its end.
type cycle struct {
	began, out, in, ended time.Time
}

// measureDomain takes a failure domain of a loaded deployment out of service and returns it, with each routing policy.
func measureDomain(ctx context.Context, b *bench) error {
	for _, load := range domainLoads {
		results := map[string][]sample{}
		for _, routing := range []string{routingBalanced, routingRoundRobin, routingLeastLoaded} {
			b.note("load %.0f%%, routing %s", 100*load, routing)
			runs, err := b.runDomain(ctx, routing, load)
			if err != nil {
				return err
			}
			results[routing] = medians(runs)
		}
		b.print(withBaselines(results[routingBalanced], map[string][]sample{
			routingRoundRobin: results[routingRoundRobin], routingLeastLoaded: results[routingLeastLoaded],
		}))
	}
	return nil
}

// runDomain measures all runs on the same deployment, whose engines are warm before the first run.
func (b *bench) runDomain(ctx context.Context, routing string, load float64) ([][]sample, error) {
	plan := smallPlan()
	plan.Routing = routing
	f, err := b.deploy(ctx, plan)
	if err != nil {
		return nil, err
	}
	cycles, err := b.runCycles(ctx, f, load)
	if err != nil {
		return nil, errors.CombineErrors(err, f.close(ctx))
	}
	records, err := recorder.Collect(ctx, recorder.SourcesOf(f.Deployment))
	if err := errors.CombineErrors(err, f.close(ctx)); err != nil {
		return nil, err
	}
	report := recorder.Examine(f.log.Exchanges(), records)
	b.noteViolations(report)
	var runs [][]sample
	for _, c := range cycles {
		runs = append(runs, c.samples(f, report, records, load))
	}
	return runs, nil
}

func (b *bench) noteViolations(report recorder.Report) {
	for _, v := range report.Violations {
		b.note("violation: %s", v)
	}
	for _, v := range report.Verdicts {
		switch v.Outcome {
		case recorder.OutcomeComplete, recorder.OutcomeNotRun:
		default:
			b.note("%s %s %s", v.Outcome, v.Cause, v.Detail)
		}
	}
}

func (b *bench) runCycles(ctx context.Context, f *fleet, load float64) ([]cycle, error) {
	t := newTraffic(ctx, f)
	defer t.finish()
	if err := f.warmUpEngines(ctx, t, b.cfg.Seed); err != nil {
		return nil, err
	}
	b.note("requests hold their slots %.3f times as long as planned", f.slotTimeRatio)
	w := shortOutputs
	w.rate = evenRates(f.rateAt(load, w.meanTokens()), len(f.Plan.Customers))
	var cycles []cycle
	failureDomain := f.Plan.FailureDomains[1]
	for run := range b.cfg.Runs {
		seed := b.cfg.Seed + uint64(run) + 1
		done := make(chan struct{})
		go func() {
			defer close(done)
			t.run(w, seed, beforeOutPeriod+outPeriod+backPeriod)
		}()
		c, err := runCycle(ctx, f, failureDomain)
		if err != nil {
			t.cancel()
		}
		<-done
		if err != nil {
			return nil, err
		}
		c.ended = time.Now()
		cycles = append(cycles, c)
	}
	return cycles, nil
}

// runCycle takes the failure domain out of service and returns it while a load runs.
func runCycle(ctx context.Context, f *fleet, failureDomain string) (cycle, error) {
	c := cycle{began: time.Now()}
	waiter.For(ctx, beforeOutPeriod)
	c.out = time.Now()
	if err := f.SetFailureDomainState(ctx, failureDomain, launcher.StateOut); err != nil {
		return c, err
	}
	waiter.For(ctx, time.Until(c.out.Add(outPeriod)))
	c.in = time.Now()
	return c, f.SetFailureDomainState(ctx, failureDomain, launcher.StateIn)
}

func (c cycle) samples(f *fleet, report recorder.Report, records []recorder.SourceRecord, load float64) []sample {
	outPrefix := fmt.Sprintf("domainOut%.0f", 100*load)
	backPrefix := fmt.Sprintf("domainBack%.0f", 100*load)
	out := sentBetween(report.Verdicts, c.out, c.in)
	settled := sentBetween(report.Verdicts, c.out.Add(settlePeriod), c.in)
	back := sentBetween(report.Verdicts, c.in, c.ended)
	backSettled := sentBetween(report.Verdicts, c.in.Add(settlePeriod), c.ended)
	started := startsIn(f, f.Plan.FailureDomains[1], records)
	overload := 0
	for _, r := range records {
		overload = max(overload, r.Record.MaxExcess)
	}
	return []sample{
		{outPrefix + "Goodput", out.goodput(), "ratio"},
		{outPrefix + "Refused", float64(out.count(recorder.OutcomeNotRun)), "requests"},
		{outPrefix + "Cut", float64(sentBetween(report.Verdicts, c.began, c.in).interrupted()), "requests"},
		{outPrefix + "LastWork", lastStart(started.inside, c.out, c.in).Seconds(), "s"},
		{outPrefix + "FirstTokenP95", milliseconds(out.firstTokenQuantile(p95)), "ms"},
		{outPrefix + "SettledFirstTokenP95", milliseconds(settled.firstTokenQuantile(p95)), "ms"},
		{outPrefix + "Busy", busyFraction(f, records, c.out.Add(settlePeriod), c.in), "ratio"},
		{outPrefix + "Hold", slotTimeRatio(records, c.out, c.in) / f.slotTimeRatio, "ratio"},
		{backPrefix + "Goodput", back.goodput(), "ratio"},
		{backPrefix + "Refused", float64(back.count(recorder.OutcomeNotRun)), "requests"},
		{backPrefix + "Cut", float64(back.interrupted()), "requests"},
		{backPrefix + "FirstTokenP95", milliseconds(back.firstTokenQuantile(p95)), "ms"},
		{backPrefix + "SettledFirstTokenP95", milliseconds(backSettled.firstTokenQuantile(p95)), "ms"},
		{backPrefix + "FullUse", c.fullUse(started).Seconds(), "s"},
		{backPrefix + "Overload", float64(overload), "requests"},
	}
}

// busyFraction returns the mean fraction of used slots among those outside of the failure domain that is out.
func busyFraction(f *fleet, records []recorder.SourceRecord, from, to time.Time) float64 {
	_, agents := f.NodesIn(f.Plan.FailureDomains[1])
	used := time.Duration(0)
	for _, r := range records {
		for _, call := range r.Record.Calls {
			used += overlap(call.Start, call.End, from, to)
		}
	}
	remaining := totalSlots(f.Plan) - float64(len(agents)*warmLimit)
	return used.Seconds() / (remaining * to.Sub(from).Seconds())
}

func overlap(start, end, from, to time.Time) time.Duration {
	if start.Before(from) {
		start = from
	}
	if end.After(to) {
		end = to
	}
	return max(0, end.Sub(start))
}

// slotTimeRatio returns the time for which requests held their slots relative to the planned time: a step for each
// token and the wait for the first step. A ratio above 1 means slower engines than planned, as on a busy machine.
func slotTimeRatio(records []recorder.SourceRecord, from, to time.Time) float64 {
	held, planned := 0.0, 0.0
	for _, r := range records {
		for _, call := range r.Record.Calls {
			if call.Start.After(from) && call.Start.Before(to) && call.Tokens > 0 {
				held += call.End.Sub(call.Start).Seconds()
				planned += (float64(call.Tokens) + meanStepWait) * stepBase.Seconds()
			}
		}
	}
	if planned == 0 {
		return 0
	}
	return held / planned
}

// starts holds the start times of requests inside and outside of a failure domain.
type starts struct {
	inside, outside []time.Time
}

func startsIn(f *fleet, name string, records []recorder.SourceRecord) starts {
	_, agents := f.NodesIn(name)
	inDomain := map[string]bool{}
	for _, a := range agents {
		inDomain[a.Standin.Name] = true
	}
	var s starts
	for _, r := range records {
		for _, call := range r.Record.Calls {
			if inDomain[r.Source.Name] {
				s.inside = append(s.inside, call.Start)
			} else {
				s.outside = append(s.outside, call.Start)
			}
		}
	}
	return s
}

// lastStart returns the time between from and the last start in [from, to), or 0 if there is none.
func lastStart(times []time.Time, from, to time.Time) time.Duration {
	var last time.Duration
	for _, t := range times {
		if !t.Before(from) && t.Before(to) {
			last = max(last, t.Sub(from))
		}
	}
	return last
}

func countBetween(times []time.Time, from, to time.Time) float64 {
	count := 0.0
	for _, t := range times {
		if !t.Before(from) && t.Before(to) {
			count++
		}
	}
	return count
}

// fullUse returns the time from the return of the failure domain to the end of the first window in which it receives
// nearly its even share of new requests, or to the end of the run if there is no such window.
func (c cycle) fullUse(s starts) time.Duration {
	evenShare := 1.0 / domainCount
	for from := c.in; from.Add(fullUseWindow).Before(c.ended); from = from.Add(fullUseStep) {
		to := from.Add(fullUseWindow)
		inside := countBetween(s.inside, from, to)
		if inside > 0 && inside >= fullUseFraction*evenShare*(inside+countBetween(s.outside, from, to)) {
			return to.Sub(c.in)
		}
	}
	return c.ended.Sub(c.in)
}
