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
	// overheadCalls is the number of requests to the engine, and also to the entry, in each run.
	overheadCalls = 400
	// fastStep is the step time of the engine. It is short, since the latency of both paths includes it.
	fastStep = "200us"
	// overheadLimit is the limit of the engine in concurrent requests, concurrentCalls the number that entryCapacity sends.
	overheadLimit      = 64
	concurrentCalls    = 16
	longOutputTokens   = 200
	capacityPeriod     = 4 * time.Second
	histogramMaxMicros = int64(10 * time.Second / time.Microsecond)
	// histogramDigits is the number of significant digits of the latencies in microseconds.
	histogramDigits = 3
)

// measureOverhead measures the latency that entry and agent add to a call of an engine, and the requests and tokens per
// second that one core of an entry serves.
func measureOverhead(ctx context.Context, b *bench) error {
	plan := smallPlan()
	plan.Entries = 1
	plan.Groups[0].Ranks = 1
	plan.Groups[0].Limits = launcher.Limits{Cold: overheadLimit, Warm: overheadLimit, WarmAfter: 1}
	plan.EngineArgs = []string{"--step-base", fastStep, "--step-per-request", "0s", "--cold-prefill", "-1"}
	f, err := b.deploy(ctx, plan)
	if err != nil {
		return err
	}
	var viaEntry, capacity [][]sample
	var direct [][]sample
	for range b.cfg.Runs {
		d, v, err := latencies(ctx, f)
		if err != nil {
			return errors.CombineErrors(err, f.close(ctx))
		}
		direct = append(direct, d)
		viaEntry = append(viaEntry, v)
		shortRate, err := entryCapacity(ctx, f, 1)
		if err != nil {
			return errors.CombineErrors(err, f.close(ctx))
		}
		longRate, err := entryCapacity(ctx, f, longOutputTokens)
		if err != nil {
			return errors.CombineErrors(err, f.close(ctx))
		}
		capacity = append(capacity, []sample{
			{"entryRequestsPerCore", shortRate, "requests/s"},
			{"entryTokensPerCore", longOutputTokens * longRate, "tokens/s"},
		})
	}
	if err := f.close(ctx); err != nil {
		return err
	}
	b.print(withBaselines(medians(viaEntry), map[string][]sample{"direct": medians(direct)}))
	b.print(withoutBaseline(medians(capacity)))
	return nil
}

// latencies sends requests for one token alternately to the engine and to the entry. It returns quantiles of the
// latency of the engine, and of the latency that the path via the entry adds.
func latencies(ctx context.Context, f *fleet) (direct, viaEntry []sample, err error) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	engine := hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
	entry := hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
	for i := range overheadCalls {
		latency, err := callEngine(ctx, client, f.Agents[0].Standin.URL(), i)
		if err != nil {
			return nil, nil, err
		}
		record(engine, latency)
		e := f.caller.SendModelRequest(ctx, f.Entries[0].CallerURL(), newModelRequest(f, i, 1))
		if e.Err != nil || e.Status != http.StatusOK {
			return nil, nil, errors.Newf("call through the entry: status %d, %v", e.Status, e.Err)
		}
		record(entry, e.End.Sub(e.Start))
	}
	// The added latency is the difference of quantiles. Differences of single calls would depend on the time within a
	// step at which each call arrives.
	added := func(q float64) float64 {
		return float64(entry.ValueAtQuantile(q)-engine.ValueAtQuantile(q)) / microsPerMilli
	}
	directAt := func(q float64) float64 { return float64(engine.ValueAtQuantile(q)) / microsPerMilli }
	const middle, high = 50, 99
	return []sample{{"entryAddedP50", directAt(middle), "ms"}, {"entryAddedP99", directAt(high), "ms"}},
		[]sample{{"entryAddedP50", added(middle), "ms"}, {"entryAddedP99", added(high), "ms"}}, nil
}

const microsPerMilli = 1000

func record(h *hdrhistogram.Histogram, latency time.Duration) {
	// Recording cannot fail: a latency above the maximum, far beyond the expected ones, counts as the maximum.
	_ = h.RecordValue(min(latency.Microseconds(), histogramMaxMicros))
}

func newModelRequest(f *fleet, number, tokens int) recorder.ModelRequest {
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
		return 0, errors.Wrap(err, "read the response of the engine")
	}
	if response.StatusCode != http.StatusOK {
		return 0, errors.Newf("call the engine: %s", response.Status)
	}
	return time.Since(start), nil
}

// entryCapacity sends requests without a pause and returns the number of completed requests per second of the entry's
// processor time.
func entryCapacity(ctx context.Context, f *fleet, tokens int) (float64, error) {
	before, err := usageOf(f.Entries[0].Process.PID())
	if err != nil {
		return 0, err
	}
	began := time.Now()
	var complete atomic.Int64
	var callers sync.WaitGroup
	for i := range concurrentCalls {
		callers.Go(func() {
			for number := i; time.Since(began) < capacityPeriod && ctx.Err() == nil; number += concurrentCalls {
				e := f.caller.SendModelRequest(ctx, f.Entries[0].CallerURL(), newModelRequest(f, number, tokens))
				if e.Err == nil && e.Status == http.StatusOK {
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
