package bencher

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/recorder"
)

// mix describes a load of streamed model requests.
type mix struct {
	// rate is the number of requests per second of each customer.
	rate []float64
	// minTokens and maxTokens bound the length of the answers.
	minTokens, maxTokens int
	// prefixes is the number of system prompts of each customer.
	prefixes int
}

func (m mix) meanTokens() float64 {
	return float64(m.minTokens+m.maxTokens) / 2
}

// evenly spreads a rate over all customers.
func evenly(rate float64, customers int) []float64 {
	rates := make([]float64, customers)
	for i := range rates {
		rates[i] = rate / float64(customers)
	}
	return rates
}

// traffic sends requests at random times, whether or not earlier ones are answered.
type traffic struct {
	fleet  *fleet
	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup
}

func newTraffic(ctx context.Context, f *fleet) *traffic {
	ctx, cancel := context.WithCancel(ctx)
	return &traffic{fleet: f, ctx: ctx, cancel: cancel}
}

// run sends a load for a time with one independent random source for each customer, so that the requests of one
// customer do not depend on the rates of the others. Its last requests may still be open when it returns.
func (t *traffic) run(m mix, seed uint64, period time.Duration) {
	var customers sync.WaitGroup
	end := time.Now().Add(period)
	for i, c := range t.fleet.Plan.Customers {
		if m.rate[i] > 0 {
			customers.Go(func() { t.runCustomer(m, c, m.rate[i], rand.New(rand.NewPCG(seed, uint64(i))), end) })
		}
	}
	customers.Wait()
}

func (t *traffic) runCustomer(m mix, c launcher.CustomerPlan, rate float64, random *rand.Rand, end time.Time) {
	next := time.Now()
	for number := 0; ; number++ {
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if next.After(end) {
			waiter.For(t.ctx, time.Until(end))
			return
		}
		if !waiter.For(t.ctx, time.Until(next)) {
			return
		}
		tokens := m.minTokens + random.IntN(m.maxTokens-m.minTokens+1)
		request := recorder.ModelRequest{
			Customer: c.Name, Bearer: c.Key, Endpoint: recorder.EndpointCompletion,
			Model:     t.fleet.Plan.Groups[0].Model,
			Prompt:    prompt(c.Name, random.IntN(m.prefixes), number, tokens),
			MaxTokens: tokens, Stream: true,
		}
		t.calls.Go(func() { t.fleet.caller.Ask(t.ctx, t.fleet.pick(), request) })
	}
}

// finish waits until no request is open. After a period it gives up those that are.
func (t *traffic) finish() {
	giveUp := time.AfterFunc(finishPeriod, t.cancel)
	defer giveUp.Stop()
	defer t.cancel()
	t.calls.Wait()
}

// window holds the verdicts on the requests that were sent in a time.
type window []recorder.Verdict

func sentBetween(verdicts []recorder.Verdict, from, to time.Time) window {
	var w window
	for _, v := range verdicts {
		if !v.Exchange.Start.Before(from) && v.Exchange.Start.Before(to) {
			w = append(w, v)
		}
	}
	return w
}

// without leaves the requests of a customer out.
func (w window) without(customer string) window {
	var out window
	for _, v := range w {
		if v.Exchange.Customer() != customer {
			out = append(out, v)
		}
	}
	return out
}

func (w window) count(outcomes ...recorder.Outcome) int {
	count := 0
	for _, v := range w {
		for _, o := range outcomes {
			if v.Outcome == o {
				count++
			}
		}
	}
	return count
}

// goodput is the part of the requests that got a complete answer.
func (w window) goodput() float64 {
	if len(w) == 0 {
		return 0
	}
	return float64(w.count(recorder.OutcomeComplete)) / float64(len(w))
}

// interrupted counts the requests that got neither a complete answer nor a refusal.
func (w window) interrupted() int {
	return len(w) - w.count(recorder.OutcomeComplete, recorder.OutcomeNotRun)
}

// firstToken returns a quantile of the time to first token of complete answers.
func (w window) firstToken(q float64) time.Duration {
	var times []time.Duration
	for _, v := range w {
		if v.Outcome == recorder.OutcomeComplete {
			times = append(times, v.Exchange.TimeToFirstToken())
		}
	}
	return durationQuantile(times, q)
}

// betweenTokens returns a quantile of the time between consecutive tokens of complete answers.
func (w window) betweenTokens(q float64) time.Duration {
	var times []time.Duration
	for _, v := range w {
		if v.Outcome != recorder.OutcomeComplete {
			continue
		}
		tokens := v.Exchange.Tokens
		for i := 1; i < len(tokens); i++ {
			times = append(times, tokens[i].Sub(tokens[i-1]))
		}
	}
	return durationQuantile(times, q)
}

func durationQuantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[min(len(times)-1, int(q*float64(len(times))))]
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
