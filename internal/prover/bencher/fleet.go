package bencher

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/recorder"
)

const (
	startTimeout  = 60 * time.Second
	finishTimeout = 20 * time.Second
	stopTimeout   = 15 * time.Second
	// stepBase is the time between two tokens of the stand-in engines. It is so long that a fully loaded deployment
	// uses only a small part of the machine's processor time.
	stepBase    = 25 * time.Millisecond
	domainCount = 3
	engineCount = 6
	entryCount  = 3
	// coldLimit and warmLimit count concurrent requests of an engine, warmAfter counts completions.
	coldLimit     = 2
	warmLimit     = 8
	warmAfter     = 32
	customerCount = 10
)

// The values of the routing policy in the settings of entries.
const (
	routingBalanced    = "balanced"
	routingRoundRobin  = "roundRobin"
	routingLeastLoaded = "leastLoaded"
)

// smallPlan returns a plan with three failure domains of two engines each, and ten customers with equal shares.
func smallPlan() launcher.Plan {
	p := launcher.Plan{
		Region:   "bench",
		LogLevel: "error",
		Entries:  entryCount,
		Groups: []launcher.GroupPlan{{
			Name: "chat", Model: "chat-model", Ranks: engineCount, Experts: 64,
			Limits: launcher.Limits{Cold: coldLimit, Warm: warmLimit, WarmAfter: warmAfter},
		}},
		EngineArgs: []string{"--step-base", stepBase.String()},
	}
	for i := range domainCount {
		p.FailureDomains = append(p.FailureDomains, fmt.Sprintf("bench-%c", 'a'+i))
	}
	for i := range customerCount {
		name := fmt.Sprintf("customer-%02d", i+1)
		p.Customers = append(p.Customers, launcher.CustomerPlan{Name: name, Share: 1, Key: "key-of-" + name, MaxWaiting: 200})
	}
	return p
}

// fleet is a running deployment with a caller.
type fleet struct {
	*launcher.Deployment
	launcher     *launcher.Launcher
	log          *recorder.Log
	caller       *recorder.Caller
	entryCounter atomic.Uint64
	// slotTimeRatio is the time for which requests hold their slots relative to the planned time, measured by
	// warmUpEngines.
	slotTimeRatio float64
}

// deploy starts a deployment. The caller must close it.
func (b *bench) deploy(ctx context.Context, plan launcher.Plan) (*fleet, error) {
	l, err := launcher.New(launcher.Config{})
	if err != nil {
		return nil, err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d, err := launcher.Deploy(startCtx, l, b.cfg.Binaries, plan)
	if err != nil {
		l.Close()
		return nil, errors.Wrap(err, "start the deployment")
	}
	log := &recorder.Log{}
	return &fleet{Deployment: d, launcher: l, log: log, caller: recorder.NewCaller(log), slotTimeRatio: 1}, nil
}

// close stops the deployment. It kills processes that do not stop within stopTimeout.
func (f *fleet) close(ctx context.Context) error {
	f.caller.Close()
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	err := f.Stop(ctx)
	f.Close()
	f.launcher.Close()
	return errors.Wrap(err, "stop the deployment")
}

// nextEntryURL returns the base URL of the next entry in turn.
func (f *fleet) nextEntryURL() string {
	return f.Entries[f.entryCounter.Add(1)%uint64(len(f.Entries))].CallerURL()
}

// totalSlots returns the number of concurrent requests of all engines when they are warm.
func totalSlots(p launcher.Plan) float64 {
	total := 0
	for _, g := range p.Groups {
		total += g.Ranks * g.Limits.Warm
	}
	return float64(total)
}

// meanStepWait is the mean wait of a request for the start of its first step, as a fraction of a step.
const meanStepWait = 0.5

// rateAt returns the requests per second that keep a fraction of the slots busy. A request holds its slot for one step
// per token and, on average, half a step until its first step starts.
func (f *fleet) rateAt(load, meanTokens float64) float64 {
	slotTime := (meanTokens + meanStepWait) * stepBase.Seconds() * f.slotTimeRatio
	return load * totalSlots(f.Plan) / slotTime
}

// warmUpEngines sends requests for warmUpPeriod, in which the engines become warm, and measures in a second such period
// how long requests hold their slots, so that a load is the same fraction of the capacity also on a busy machine.
func (f *fleet) warmUpEngines(ctx context.Context, t *traffic, seed uint64) error {
	w := shortOutputs
	w.rate = evenRates(f.rateAt(warmUpLoad, w.meanTokens()), len(f.Plan.Customers))
	t.run(w, seed, warmUpPeriod)
	began := time.Now()
	t.run(w, seed, warmUpPeriod)
	t.calls.Wait()
	records, err := recorder.Collect(ctx, recorder.SourcesOf(f.Deployment))
	if err != nil {
		return err
	}
	f.slotTimeRatio = max(1, slotTimeRatio(records, began, time.Now()))
	return nil
}

const (
	warmUpPeriod = 4 * time.Second
	warmUpLoad   = 0.60
)

// prompt returns a prompt that starts with one of the customer's system prompts, so that prefix caches can be used.
func prompt(customer string, prefix, number, tokens int) string {
	system := strings.Repeat(fmt.Sprintf("%s follows rule set %d. ", customer, prefix), promptRepeats)
	return fmt.Sprintf("%s Question %d, answer with tokens=%d", system, number, tokens)
}

const promptRepeats = 40
