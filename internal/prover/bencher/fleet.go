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
	startPeriod  = 60 * time.Second
	finishPeriod = 20 * time.Second
	stopPeriod   = 15 * time.Second
	// stepBase is the time between two tokens of the stand-in engines. It is long, so that a deployment at full load
	// leaves most of the machine's processor time unused.
	stepBase       = 25 * time.Millisecond
	domainCount    = 3
	enginesPerTest = 6
	entriesPerTest = 3
	coldLimit      = 2
	warmLimit      = 8
	warmAfter      = 32
	customerCount  = 10
)

// The routing policies in the settings of entries.
const (
	routingBalanced    = "balanced"
	routingRoundRobin  = "roundRobin"
	routingLeastLoaded = "leastLoaded"
)

// smallPlan is a deployment of three failure domains with two engines each and ten customers of equal share.
func smallPlan() launcher.Plan {
	p := launcher.Plan{
		Region:   "bench",
		LogLevel: "error",
		Entries:  entriesPerTest,
		Groups: []launcher.GroupPlan{{
			Name: "chat", Model: "chat-model", Ranks: enginesPerTest, Experts: 64,
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
	launcher *launcher.Launcher
	log      *recorder.Log
	caller   *recorder.Caller
	turn     atomic.Uint64
	// slowness is the time for which requests hold their slots relative to the plan, as measured in the warm-up.
	slowness float64
}

// deploy starts a deployment. The caller of deploy calls close.
func (b *bench) deploy(ctx context.Context, plan launcher.Plan) (*fleet, error) {
	l, err := launcher.New(launcher.Config{})
	if err != nil {
		return nil, err
	}
	startCtx, cancel := context.WithTimeout(ctx, startPeriod)
	defer cancel()
	d, err := launcher.Deploy(startCtx, l, b.cfg.Binaries, plan)
	if err != nil {
		l.Close()
		return nil, errors.Wrap(err, "start the deployment")
	}
	log := &recorder.Log{}
	return &fleet{Deployment: d, launcher: l, log: log, caller: recorder.NewCaller(log), slowness: 1}, nil
}

// close stops the deployment. Processes that do not stop in time are ended.
func (f *fleet) close(ctx context.Context) error {
	f.caller.Close()
	ctx, cancel := context.WithTimeout(ctx, stopPeriod)
	defer cancel()
	err := f.Stop(ctx)
	f.Close()
	f.launcher.Close()
	return errors.Wrap(err, "stop the deployment")
}

// pick returns the base URL of the next entry.
func (f *fleet) pick() string {
	return f.Entries[f.turn.Add(1)%uint64(len(f.Entries))].CallersURL()
}

// slots is the number of requests that the engines run at once when all are warm.
func slots(p launcher.Plan) float64 {
	total := 0
	for _, g := range p.Groups {
		total += g.Ranks * g.Limits.Warm
	}
	return float64(total)
}

// meanStepWait is the part of a step that a request waits on average until its first step starts.
const meanStepWait = 0.5

// rateAt returns the requests per second that keep a part of the slots busy. A request holds its slot for a step per
// token and half a step, on average, until the next step starts.
func (f *fleet) rateAt(load, meanTokens float64) float64 {
	hold := (meanTokens + meanStepWait) * stepBase.Seconds() * f.slowness
	return load * slots(f.Plan) / hold
}

// warm makes the engines warm and measures how long requests really hold their slots, so that a load means the same part
// of the capacity on a busy machine.
func (f *fleet) warm(ctx context.Context, t *traffic, seed uint64) error {
	m := shortAnswers
	m.rate = evenly(f.rateAt(warmUpLoad, m.meanTokens()), len(f.Plan.Customers))
	t.run(m, seed, warmUp)
	began := time.Now()
	t.run(m, seed, warmUp)
	t.calls.Wait()
	records, err := recorder.Collect(ctx, recorder.SourcesOf(f.Deployment))
	if err != nil {
		return err
	}
	f.slowness = max(1, hold(records, began, time.Now()))
	return nil
}

const (
	warmUp     = 4 * time.Second
	warmUpLoad = 0.60
)

// prompt starts with one of a customer's system prompts, so that prefix caches have something to hold.
func prompt(customer string, prefix, number, tokens int) string {
	system := strings.Repeat(fmt.Sprintf("%s follows rule set %d. ", customer, prefix), promptRepeats)
	return fmt.Sprintf("%s Question %d, answer with tokens=%d", system, number, tokens)
}

const promptRepeats = 40
