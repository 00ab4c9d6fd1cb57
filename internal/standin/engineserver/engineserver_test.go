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

// Guards against answers that two customers or two prompts share, which would hide a mix-up.
func TestAnswersDiffer(t *testing.T) {
	t.Parallel()
	answers := []string{
		string(engineserver.Answer("a", []byte("x"), 4)),
		string(engineserver.Answer("b", []byte("x"), 4)),
		string(engineserver.Answer("a", []byte("y"), 4)),
	}
	require.NotEqual(t, answers[0], answers[1])
	require.NotEqual(t, answers[0], answers[2])
	require.Len(t, answers[0], 4*engineserver.TokenBytes)
	require.True(t, strings.HasPrefix(string(engineserver.Answer("a", []byte("x"), 9)), answers[0]))
}

// Guards against answers whose length does not follow the prompt and the bound.
func TestAnswerTokens(t *testing.T) {
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
		require.Equal(t, c.expected, engineserver.AnswerTokens([]byte(c.prompt), c.maxTokens), c)
	}
}

// runTogether runs long generations until all of them have ended and returns how many completed.
func runTogether(i *instance, n int) int {
	var wg sync.WaitGroup
	results := make(chan error, n)
	for range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := i.generate(generation("tokens=40"))
			results <- err
		}()
	}
	wg.Wait()
	close(results)
	complete := 0
	for err := range results {
		if err == nil {
			complete++
		}
	}
	return complete
}

// Guards against a cold engine that bears full load, which would hide a missing slow start.
func TestColdEngineFallsOver(t *testing.T) {
	t.Parallel()
	i, _ := start(t, engineserver.Config{
		Simulator: simulator.Config{Cold: 2, Warm: 6, WarmAfter: 4, Down: time.Millisecond},
		StepBase:  5 * time.Millisecond,
	})
	require.Equal(t, 2, runTogether(i, 2))
	require.Equal(t, 2, runTogether(i, 2))
	before := i.report().Boot
	require.Equal(t, 6, runTogether(i, 6))
	require.Equal(t, before, i.report().Boot)

	i.control(`{"coolNow":true}`)
	require.Less(t, runTogether(i, 6), 6)
	require.Eventually(t, func() bool {
		boot := i.report().Boot
		return boot != "" && boot != before
	}, patience, poll)
	got := i.record()
	require.GreaterOrEqual(t, got.Falls, 1)
	require.Positive(t, got.MaxExcess)
}

// Guards against an engine that becomes cold without a sign in its time to first token, or falls over within the grace.
func TestColdEngineIsSlow(t *testing.T) {
	t.Parallel()
	i, _ := start(t, engineserver.Config{
		Simulator:   simulator.Config{Cold: 1, Warm: 4, WarmAfter: 1, Down: time.Millisecond},
		ColdPrefill: 30,
	})
	steps := func() identifier.Step {
		before := i.report().Step
		_, err := i.generate(generation("tokens=1"))
		require.NoError(t, err)
		return i.report().Step - before
	}
	require.Equal(t, identifier.Step(31), steps())
	require.Equal(t, identifier.Step(1), steps())
	i.control(`{"coolNow":true,"graceMillis":60000}`)
	require.Equal(t, identifier.Step(31), steps())
	i.control(`{"coolNow":true,"graceMillis":60000}`)
	require.Equal(t, 4, runTogether(i, 4))
	require.Zero(t, i.record().Falls)
}

// Guards against a crashing request that leaves the engine alive.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	i, _ := start(t, engineserver.Config{Simulator: simulator.Config{Down: time.Millisecond}})
	_, err := i.generate(generation("please crash-engine tokens=100000"))
	var broken *driver.BrokenError
	require.ErrorAs(t, err, &broken)
	require.Eventually(t, func() bool { return i.report().Boot != "" }, patience, poll)
	require.Equal(t, 1, i.record().Falls)
}

// Guards against an engine that comes back although it was told to exit.
func TestExit(t *testing.T) {
	t.Parallel()
	server, err := engineserver.New(engineserver.Config{Simulator: simulator.Config{Address: loopback, Exit: true}})
	require.NoError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(context.Background()) }()
	response, err := http.Post("http://"+server.Address()+"/control", "application/json", strings.NewReader(`{"crash":true}`))
	require.NoError(t, err)
	defer response.Body.Close()
	require.ErrorIs(t, <-stopped, simulator.ErrExit)
}

// Guards against a graceful stop that breaks a running stream.
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

// Guards against an engine that serves waiting requests in order of arrival only.
func TestPriorities(t *testing.T) {
	t.Parallel()
	i, _ := start(t, engineserver.Config{Batch: 1, Queue: 9})
	blocker := generation("tokens=100000")
	ended := make(chan error, 1)
	go func() {
		_, err := i.generate(blocker)
		ended <- err
	}()
	require.Eventually(t, func() bool { return i.report().Running == 1 }, patience, poll)
	order := make(chan identifier.Priority, 3)
	var wg sync.WaitGroup
	for n, priority := range []identifier.Priority{0, 1, 2} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			g := generation("tokens=20")
			g.Priority = priority
			_, _ = i.generate(g)
			order <- priority
		}()
		require.Eventually(t, func() bool { return i.report().Waiting == n+1 }, patience, poll)
	}
	require.NoError(t, i.Cancel(t.Context(), blocker.Request))
	require.Error(t, <-ended)
	wg.Wait()
	require.Equal(t, []identifier.Priority{2, 1, 0}, []identifier.Priority{<-order, <-order, <-order})
}

// Guards against reports that show the present although engines report with a lag.
func TestReportLags(t *testing.T) {
	t.Parallel()
	i, _ := start(t, engineserver.Config{ReportLag: 300 * time.Millisecond})
	begin := time.Now()
	_, err := i.generate(generation("tokens=1"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return i.report().Step > 0 }, patience, poll)
	require.GreaterOrEqual(t, time.Since(begin), 300*time.Millisecond)
}

// Guards against a prefix cache without bound, and against cache events that come at once and complete.
func TestPrefixCache(t *testing.T) {
	t.Parallel()
	i, _ := start(t, engineserver.Config{CachePrefixes: 2, EventDelay: 50 * time.Millisecond, PrefillTokens: 1, ColdPrefill: -1})
	steps := map[string][]identifier.Step{}
	for _, prefix := range []string{"a", "a", "b", "c", "a"} {
		before := i.report().Step
		g := generation(strings.Repeat("x", 160) + " tokens=1")
		g.Prefix = identifier.Digest(prefix)
		_, err := i.generate(g)
		require.NoError(t, err)
		steps[prefix] = append(steps[prefix], i.report().Step-before)
	}
	// A hit shortens the prefill; the third use comes after the prefix was evicted.
	require.Less(t, steps["a"][1], steps["a"][0]/2)
	require.Equal(t, steps["a"][0], steps["a"][2])
	var events []driver.CacheEvent
	require.Eventually(t, func() bool {
		var err error
		events, _, err = i.CacheEvents(t.Context(), 0)
		require.NoError(t, err)
		return len(events) == 6
	}, patience, poll)
	require.Equal(t, driver.CacheEvent{Sequence: 3, Prefix: "a"}, events[2])
}

// Guards against a reader that waits for events which were lost.
func TestCacheEventGaps(t *testing.T) {
	t.Parallel()
	i, _ := start(t, engineserver.Config{EventDelay: -1, EventGap: 1})
	g := generation("tokens=1")
	g.Prefix = "a"
	_, err := i.generate(g)
	require.NoError(t, err)
	events, next, err := i.CacheEvents(t.Context(), 0)
	require.NoError(t, err)
	require.Empty(t, events)
	require.Equal(t, uint64(1), next)
}

// Guards against an imported KV cache that does not spare the prefill.
func TestKVTransfer(t *testing.T) {
	t.Parallel()
	from, _ := start(t, engineserver.Config{PrefillTokens: 1, ColdPrefill: -1})
	to, _ := start(t, engineserver.Config{PrefillTokens: 1, ColdPrefill: -1})
	g := generation(strings.Repeat("x", 160) + " tokens=8")
	whole, err := from.generate(g)
	require.NoError(t, err)
	response, err := http.Post(to.base+"/engine/v1/kvImport", "application/octet-stream", bytes.NewReader(from.export(g.Request)))
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusNoContent, response.StatusCode)

	g.Generated = []byte(whole[:16])
	rest, err := to.generate(g)
	require.NoError(t, err)
	require.Equal(t, whole[16:], rest)
	require.Equal(t, identifier.Step(6), to.report().Step)
}

// Guards against models that are served before they are loaded or after they were unloaded.
func TestModels(t *testing.T) {
	t.Parallel()
	i, _ := start(t, engineserver.Config{Models: []string{"other"}})
	_, err := i.generate(generation("x"))
	var refused *driver.NotStartedError
	require.ErrorAs(t, err, &refused)
	i.order(driver.LoadModel{Model: "m", Version: "2", Adapter: "shop"})
	_, err = i.generate(generation("tokens=1"))
	require.NoError(t, err)
	loaded := i.report().Models
	require.Equal(t, driver.LoadedModel{Model: "m", Version: "2", Adapters: []string{"shop"}}, loaded[len(loaded)-1])
	i.order(driver.UnloadModel{Model: "m"})
	_, err = i.generate(generation("tokens=1"))
	require.ErrorAs(t, err, &refused)
}
