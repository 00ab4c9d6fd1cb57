package bencher

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/recorder"
)

const (
	overheadCalls = 400
	// fastStep keeps the engine's own time, which both paths contain, short.
	fastStep       = "200us"
	overheadWarm   = 64
	parallelCalls  = 16
	longTokens     = 200
	capacityPeriod = 4 * time.Second
	histogramMax   = int64(10 * time.Second / time.Microsecond)
	histogramDigit = 3
)

// overhead measures what entry and agent add to a call of an engine, and how many requests a core of an entry bears.
func overhead(ctx context.Context, b *bench) error {
	plan := smallPlan()
	plan.Entries = 1
	plan.Groups[0].Ranks = 1
	plan.Groups[0].Limits = launcher.Limits{Cold: overheadWarm, Warm: overheadWarm, WarmAfter: 1}
	plan.EngineArgs = []string{"--step-base", fastStep, "--step-per-request", "0s", "--cold-prefill", "-1"}
	f, err := b.deploy(ctx, plan)
	if err != nil {
		return err
	}
	var through, capacity [][]sample
	var direct [][]sample
	for range b.cfg.Runs {
		d, t, err := latencies(ctx, f)
		if err != nil {
			return errors.CombineErrors(err, f.close(ctx))
		}
		direct = append(direct, d)
		through = append(through, t)
		short, err := entryCapacity(ctx, f, 1)
		if err != nil {
			return errors.CombineErrors(err, f.close(ctx))
		}
		long, err := entryCapacity(ctx, f, longTokens)
		if err != nil {
			return errors.CombineErrors(err, f.close(ctx))
		}
		capacity = append(capacity, []sample{
			{"entryRequestsPerCore", short, "requests/s"},
			{"entryTokensPerCore", longTokens * long, "tokens/s"},
		})
	}
	if err := f.close(ctx); err != nil {
		return err
	}
	b.print(compared(medians(through), map[string][]sample{"direct": medians(direct)}))
	b.print(plain(medians(capacity)))
	return nil
}

// latencies sends calls of one token alternately to the engine and to the entry.
func latencies(ctx context.Context, f *fleet) (direct, through []sample, err error) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	engine := hdrhistogram.New(1, histogramMax, histogramDigit)
	entry := hdrhistogram.New(1, histogramMax, histogramDigit)
	for i := range overheadCalls {
		took, err := callEngine(ctx, client, f.Agents[0].Standin.URL(), i)
		if err != nil {
			return nil, nil, err
		}
		record(engine, took)
		e := f.caller.Ask(ctx, f.Entries[0].CallersURL(), callOf(f, i, 1))
		if e.Failure != nil || e.Status != http.StatusOK {
			return nil, nil, errors.Newf("call through the entry: status %d, %v", e.Status, e.Failure)
		}
		record(entry, e.End.Sub(e.Start))
	}
	// Added time is the difference of quantiles; the difference of single calls would mix the phases of steps.
	added := func(q float64) float64 {
		return float64(entry.ValueAtQuantile(q)-engine.ValueAtQuantile(q)) / microsPerMilli
	}
	directAt := func(q float64) float64 { return float64(engine.ValueAtQuantile(q)) / microsPerMilli }
	const middle, high = 50, 99
	return []sample{{"entryAddedP50", directAt(middle), "ms"}, {"entryAddedP99", directAt(high), "ms"}},
		[]sample{{"entryAddedP50", added(middle), "ms"}, {"entryAddedP99", added(high), "ms"}}, nil
}

const microsPerMilli = 1000

func record(h *hdrhistogram.Histogram, took time.Duration) {
	// A value above the maximum is far outside of what is measured and counts as the maximum.
	_ = h.RecordValue(min(took.Microseconds(), histogramMax))
}

func callOf(f *fleet, number, tokens int) recorder.ModelRequest {
	c := f.Plan.Customers[number%len(f.Plan.Customers)]
	return recorder.ModelRequest{
		Customer: c.Name, Bearer: c.Key, Endpoint: recorder.EndpointCompletion, Model: f.Plan.Groups[0].Model,
		Prompt: fmt.Sprintf("question %d, answer with tokens=%d", number, tokens), MaxTokens: tokens, Stream: true,
	}
}

func callEngine(ctx context.Context, client *http.Client, url string, number int) (time.Duration, error) {
	body, err := json.Marshal(map[string]any{
		"request": fmt.Sprintf("direct-%d", number), "customer": "direct", "maxTokens": 1,
		"prompt": fmt.Sprintf("question %d, answer with tokens=1", number),
	})
	if err != nil {
		return 0, errors.Wrap(err, "encode the call of the engine")
	}
	start := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/engine/v1/generate", bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "call the engine")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "call the engine")
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, errors.Wrap(err, "read the engine's answer")
	}
	if response.StatusCode != http.StatusOK {
		return 0, errors.Newf("call the engine: %s", response.Status)
	}
	return time.Since(start), nil
}

// entryCapacity sends calls without pause and returns the number that a second of the entry's processor time serves.
func entryCapacity(ctx context.Context, f *fleet, tokens int) (float64, error) {
	before, err := usageOf(f.Entries[0].Process.PID())
	if err != nil {
		return 0, err
	}
	began := time.Now()
	var complete atomic.Int64
	var callers sync.WaitGroup
	for i := range parallelCalls {
		callers.Go(func() {
			for number := i; time.Since(began) < capacityPeriod && ctx.Err() == nil; number += parallelCalls {
				e := f.caller.Ask(ctx, f.Entries[0].CallersURL(), callOf(f, number, tokens))
				if e.Failure == nil && e.Status == http.StatusOK {
					complete.Add(1)
				}
			}
		})
	}
	callers.Wait()
	after, err := usageOf(f.Entries[0].Process.PID())
	if err != nil {
		return 0, err
	}
	return float64(complete.Load()) / (after.cpu - before.cpu).Seconds(), nil
}
