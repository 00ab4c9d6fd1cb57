package engineserver_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/driver"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/standin/engineserver"
	"currantledge.example/currantledge/internal/standin/simulator"
)

// Guards against two customers or two prompts with the same output, which would hide responses that are mixed up.
func TestOutputsDiffer(t *testing.T) {
	t.Parallel()
	outputs := []string{
		string(engineserver.Output("a", []byte("x"), 4)),
		string(engineserver.Output("b", []byte("x"), 4)),
		string(engineserver.Output("a", []byte("y"), 4)),
	}
	require.NotEqual(t, outputs[0], outputs[1])
	require.NotEqual(t, outputs[0], outputs[2])
	require.Len(t, outputs[0], 4*engineserver.TokenBytes)
	require.True(t, strings.HasPrefix(string(engineserver.Output("a", []byte("x"), 9)), outputs[0]))
}

// Guards against an output whose length does not follow from the prompt and the bound.
func TestOutputTokens(t *testing.T) {
	t.Parallel()
	cases := []struct {
		prompt    string
		maxTokens int
		expected  int
	}{
		{"x", 0, 32},
		{"x", 10, 10},
		{"x tokens=7 y", 0, 7},
		{"tokens=7", 3, 3},
		{"tokens=7", 9, 7},
	}
	for _, c := range cases {
		require.Equal(t, c.expected, engineserver.OutputTokens([]byte(c.prompt), c.maxTokens), c)
	}
}

// runConcurrently runs n generations of 40 tokens at the same time and returns how many of them completed.
func runConcurrently(e *testEngine, n int) int {
	var wg sync.WaitGroup
	results := make(chan error, n)
	for range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := e.generate(generation("tokens=40"))
			results <- err
		}()
	}
	wg.Wait()
	close(results)
	completed := 0
	for err := range results {
		if err == nil {
			completed++
		}
	}
	return completed
}

// Guards against a cold engine that sustains the load of a warm one, which would hide that a slow start is missing.
func TestColdEngineCrashesUnderLoad(t *testing.T) {
	t.Parallel()
	e, _ := start(t, engineserver.Config{
		Simulator: simulator.Config{ColdCapacity: 2, WarmCapacity: 6, WarmAfter: 4, Downtime: time.Millisecond},
		StepBase:  5 * time.Millisecond,
	})
	require.Equal(t, 2, runConcurrently(e, 2))
	require.Equal(t, 2, runConcurrently(e, 2))
	before := e.report().Boot
	require.Equal(t, 6, runConcurrently(e, 6))
	require.Equal(t, before, e.report().Boot)

	e.control(`{"coolNow":true}`)
	require.Less(t, runConcurrently(e, 6), 6)
	require.Eventually(t, func() bool {
		boot := e.report().Boot
		return boot != "" && boot != before
	}, waitTimeout, pollPeriod)
	got := e.record()
	require.GreaterOrEqual(t, got.Crashes, 1)
	require.Positive(t, got.MaxExcess)
}

// Guards against an engine that becomes cold without a longer time to first token, or crashes within the grace period.
func TestColdEngineIsSlow(t *testing.T) {
	t.Parallel()
	e, _ := start(t, engineserver.Config{
		Simulator:   simulator.Config{ColdCapacity: 1, WarmCapacity: 4, WarmAfter: 1, Downtime: time.Millisecond},
		ColdPrefill: 30,
	})
	steps := func() identifier.Step {
		before := e.report().Step
		_, err := e.generate(generation("tokens=1"))
		require.NoError(t, err)
		return e.report().Step - before
	}
	require.Equal(t, identifier.Step(31), steps())
	require.Equal(t, identifier.Step(1), steps())
	e.control(`{"coolNow":true,"graceMillis":60000}`)
	require.Equal(t, identifier.Step(31), steps())
	e.control(`{"coolNow":true,"graceMillis":60000}`)
	require.Equal(t, 4, runConcurrently(e, 4))
	require.Zero(t, e.record().Crashes)
}

// Guards against a request that should crash the engine and does not.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	e, _ := start(t, engineserver.Config{Simulator: simulator.Config{Downtime: time.Millisecond}})
	_, err := e.generate(generation("please crash-engine tokens=100000"))
	var broken *driver.BrokenError
	require.ErrorAs(t, err, &broken)
	require.Eventually(t, func() bool { return e.report().Boot != "" }, waitTimeout, pollPeriod)
	require.Equal(t, 1, e.record().Crashes)
}

// Guards against an engine that restarts after a crash although it is configured to exit.
func TestExitsAfterCrash(t *testing.T) {
	t.Parallel()
	server, err := engineserver.New(engineserver.Config{Simulator: simulator.Config{Address: loopback, ExitOnCrash: true}})
	require.NoError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(context.Background()) }()
	response, err := http.Post("http://"+server.Address()+"/control", "application/json", strings.NewReader(`{"crash":true}`))
	require.NoError(t, err)
	defer response.Body.Close()
	require.ErrorIs(t, <-stopped, simulator.ErrExit)
}

// Guards against a graceful stop that cuts off a running stream.
func TestStopFinishesStreams(t *testing.T) {
	t.Parallel()
	server, err := engineserver.New(engineserver.Config{
		Simulator: simulator.Config{Address: loopback}, StepBase: time.Millisecond,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(ctx) }()
	engine := driver.NewEngine(driver.Config{BaseURL: "http://" + server.Address()})
	tokens, err := engine.Generate(context.Background(), generation("tokens=50"), func([]byte) error {
		cancel()
		return nil
	})
	require.NoError(t, err)
	require.Equal(t, identifier.Tokens(50), tokens)
	engine.Close()
	require.NoError(t, <-stopped)
}

// Guards against an engine that ignores the priority of waiting requests.
func TestPriorities(t *testing.T) {
	t.Parallel()
	e, _ := start(t, engineserver.Config{BatchSize: 1, QueueSize: 9})
	running := generation("tokens=100000")
	ended := make(chan error, 1)
	go func() {
		_, err := e.generate(running)
		ended <- err
	}()
	require.Eventually(t, func() bool { return e.report().Running == 1 }, waitTimeout, pollPeriod)
	priorities := make(chan identifier.Priority, 3)
	var wg sync.WaitGroup
	for n, priority := range []identifier.Priority{0, 1, 2} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			g := generation("tokens=20")
			g.Priority = priority
			_, _ = e.generate(g)
			priorities <- priority
		}()
		require.Eventually(t, func() bool { return e.report().Waiting == n+1 }, waitTimeout, pollPeriod)
	}
	require.NoError(t, e.Cancel(t.Context(), running.Request))
	require.Error(t, <-ended)
	wg.Wait()
	require.Equal(t, []identifier.Priority{2, 1, 0}, []identifier.Priority{<-priorities, <-priorities, <-priorities})
}

// Guards against reports that show the present state although a lag is configured.
func TestReportLags(t *testing.T) {
	t.Parallel()
	e, _ := start(t, engineserver.Config{ReportLag: 300 * time.Millisecond})
	begin := time.Now()
	_, err := e.generate(generation("tokens=1"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return e.report().Step > 0 }, waitTimeout, pollPeriod)
	require.GreaterOrEqual(t, time.Since(begin), 300*time.Millisecond)
}

// Guards against a prefix cache that does not shorten the prefill or has no bound, and against cache events that are
// missing or wrong.
func TestPrefixCache(t *testing.T) {
	t.Parallel()
	e, _ := start(t, engineserver.Config{CachePrefixes: 2, EventDelay: 50 * time.Millisecond, PrefillTokens: 1, ColdPrefill: -1})
	steps := map[string][]identifier.Step{}
	for _, prefix := range []string{"a", "a", "b", "c", "a"} {
		before := e.report().Step
		g := generation(strings.Repeat("x", 160) + " tokens=1")
		g.Prefix = identifier.Digest(prefix)
		_, err := e.generate(g)
		require.NoError(t, err)
		steps[prefix] = append(steps[prefix], e.report().Step-before)
	}
	// A hit shortens the prefill. Before its third use the prefix was evicted.
	require.Less(t, steps["a"][1], steps["a"][0]/2)
	require.Equal(t, steps["a"][0], steps["a"][2])
	var events []driver.CacheEvent
	require.Eventually(t, func() bool {
		var err error
		events, _, err = e.CacheEvents(t.Context(), 0)
		require.NoError(t, err)
		return len(events) == 6
	}, waitTimeout, pollPeriod)
	require.Equal(t, driver.CacheEvent{Sequence: 3, Prefix: "a"}, events[2])
}

// Guards against lost cache events that are delivered, and against a next sequence number that does not skip them: a
// client would wait for them forever.
func TestCacheEventGaps(t *testing.T) {
	t.Parallel()
	e, _ := start(t, engineserver.Config{EventDelay: -1, EventGapProbability: 1})
	g := generation("tokens=1")
	g.Prefix = "a"
	_, err := e.generate(g)
	require.NoError(t, err)
	events, next, err := e.CacheEvents(t.Context(), 0)
	require.NoError(t, err)
	require.Empty(t, events)
	require.Equal(t, uint64(1), next)
}

// Guards against an imported KV cache that does not replace the prefill.
func TestKVTransfer(t *testing.T) {
	t.Parallel()
	from, _ := start(t, engineserver.Config{PrefillTokens: 1, ColdPrefill: -1})
	to, _ := start(t, engineserver.Config{PrefillTokens: 1, ColdPrefill: -1})
	g := generation(strings.Repeat("x", 160) + " tokens=8")
	output, err := from.generate(g)
	require.NoError(t, err)
	response, err := http.Post(to.base+"/engine/v1/kvImport", "application/octet-stream", bytes.NewReader(from.exportKV(g.Request)))
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusNoContent, response.StatusCode)

	g.Generated = []byte(output[:16])
	continuation, err := to.generate(g)
	require.NoError(t, err)
	require.Equal(t, output[16:], continuation)
	// Without a prefill, each of the six tokens after the first two takes one step.
	require.Equal(t, identifier.Step(6), to.report().Step)
}

// Guards against a model that is served before it is loaded or after it was unloaded.
func TestModels(t *testing.T) {
	t.Parallel()
	e, _ := start(t, engineserver.Config{Models: []string{"other"}})
	_, err := e.generate(generation("x"))
	var refused *driver.NotStartedError
	require.ErrorAs(t, err, &refused)
	e.order(driver.LoadModel{Model: "m", Version: "2", Adapter: "shop"})
	_, err = e.generate(generation("tokens=1"))
	require.NoError(t, err)
	loaded := e.report().Models
	require.Equal(t, driver.LoadedModel{Model: "m", Version: "2", Adapters: []string{"shop"}}, loaded[len(loaded)-1])
	e.order(driver.UnloadModel{Model: "m"})
	_, err = e.generate(generation("tokens=1"))
	require.ErrorAs(t, err, &refused)
}
