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

// workload describes a load of streamed model requests.
type workload struct {
	// rate is the number of requests per second of each customer.
	rate []float64
	// minTokens and maxTokens bound the length of the outputs.
	minTokens, maxTokens int
	// prefixes is the number of system prompts of each customer.
	prefixes int
}

func (w workload) meanTokens() float64 {
	return float64(w.minTokens+w.maxTokens) / 2
}

// evenRates divides a rate equally among all customers.
func evenRates(rate float64, customers int) []float64 {
	rates := make([]float64, customers)
	for i := range rates {
		rates[i] = rate / float64(customers)
	}
	return rates
}

// traffic sends requests at random times that do not depend on the responses to earlier ones.
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

// run sends a load for a period. Each customer has its own random source, so that its requests do not depend on the
// rates of the others. The last requests may still be open when run returns.
func (t *traffic) run(w workload, seed uint64, period time.Duration) {
	var customers sync.WaitGroup
	end := time.Now().Add(period)
	for i, c := range t.fleet.Plan.Customers {
		if w.rate[i] > 0 {
			customers.Go(func() { t.runCustomer(w, c, w.rate[i], rand.New(rand.NewPCG(seed, uint64(i))), end) })
		}
	}
	customers.Wait()
}

func (t *traffic) runCustomer(w workload, c launcher.CustomerPlan, rate float64, random *rand.Rand, end time.Time) {
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
		tokens := w.minTokens + random.IntN(w.maxTokens-w.minTokens+1)
		request := recorder.ModelRequest{
			Customer: c.Name, Bearer: c.Key, Endpoint: recorder.EndpointCompletion,
			Model:     t.fleet.Plan.Groups[0].Model,
			Prompt:    prompt(c.Name, random.IntN(w.prefixes), number, tokens),
			MaxTokens: tokens, Stream: true,
		}
		t.calls.Go(func() { t.fleet.caller.SendModelRequest(t.ctx, t.fleet.nextEntryURL(), request) })
	}
}

// finish waits until no request is open. It cancels those that are still open after finishTimeout.
func (t *traffic) finish() {
	cancelTimer := time.AfterFunc(finishTimeout, t.cancel)
	defer cancelTimer.Stop()
	defer t.cancel()
	t.calls.Wait()
}

// window holds the verdicts on the requests that were sent in a period.
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

// without returns the verdicts on the requests of all customers but one.
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

// goodput returns the fraction of requests with a complete response.
func (w window) goodput() float64 {
	if len(w) == 0 {
		return 0
	}
	return float64(w.count(recorder.OutcomeComplete)) / float64(len(w))
}

// interrupted returns the number of requests with neither a complete response nor a refusal as not run.
func (w window) interrupted() int {
	return len(w) - w.count(recorder.OutcomeComplete, recorder.OutcomeNotRun)
}

// firstTokenQuantile returns the q-quantile of the time to first token of complete responses.
func (w window) firstTokenQuantile(q float64) time.Duration {
	var times []time.Duration
	for _, v := range w {
		if v.Outcome == recorder.OutcomeComplete {
			times = append(times, v.Exchange.TimeToFirstToken())
		}
	}
	return durationQuantile(times, q)
}

// tokenGapQuantile returns the q-quantile of the time between consecutive tokens of complete responses.
func (w window) tokenGapQuantile(q float64) time.Duration {
	var times []time.Duration
	for _, v := range w {
		if v.Outcome != recorder.OutcomeComplete {
			continue
		}
		tokens := v.Exchange.TokenTimes
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
