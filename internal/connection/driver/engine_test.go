package driver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/driver"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/standin/engineserver"
	"currantledge.example/currantledge/internal/standin/simulator"
)

const (
	loopbackAddress = "127.0.0.1:0"
	customer        = identifier.Digest("c0ffee")
)

type server interface {
	Address() string
	Run(ctx context.Context) error
}

// serve runs a simulated upstream for the duration of the test and returns its URL.
func serve(t *testing.T, s server) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-stopped)
	})
	return "http://" + s.Address()
}

func startEngine(t *testing.T, cfg engineserver.Config) (*driver.Engine, string) {
	t.Helper()
	cfg.Simulator.Address = loopbackAddress
	cfg.StepBase = time.Millisecond
	server, err := engineserver.New(cfg)
	require.NoError(t, err)
	base := serve(t, server)
	engine := driver.NewEngine(driver.Config{BaseURL: base})
	t.Cleanup(engine.Close)
	return engine, base
}

func generation(prompt string) driver.Generation {
	return driver.Generation{Request: identifier.NewRequest(), Customer: customer, Model: "m", Prompt: []byte(prompt)}
}

// collect returns an emit function and the buffer to which it appends.
func collect() (func([]byte) error, *bytes.Buffer) {
	text := &bytes.Buffer{}
	return func(part []byte) error {
		text.Write(part)
		return nil
	}, text
}

// postControl sends a body to the control endpoint of a simulated upstream.
func postControl(t *testing.T, base string, body any) {
	t.Helper()
	raw, err := json.Marshal(body)
	require.NoError(t, err)
	response, err := http.Post(base+"/control", "application/json", bytes.NewReader(raw))
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusNoContent, response.StatusCode)
}

// readRecord reads the calls that a simulated upstream has received.
func readRecord(t *testing.T, base string) simulator.Record {
	t.Helper()
	response, err := http.Get(base + "/record")
	require.NoError(t, err)
	defer response.Body.Close()
	var out simulator.Record
	require.NoError(t, json.NewDecoder(response.Body).Decode(&out))
	return out
}

// Guards against text that is lost, repeated or reordered between the engine and the agent.
func TestGenerate(t *testing.T) {
	t.Parallel()
	engine, base := startEngine(t, engineserver.Config{})
	emit, text := collect()
	g := generation("hello tokens=20")
	tokens, err := engine.Generate(t.Context(), g, emit)
	require.NoError(t, err)
	require.Equal(t, identifier.Tokens(20), tokens)
	require.Equal(t, string(engineserver.Output(customer, g.Prompt, 20)), text.String())
	calls := readRecord(t, base).Calls
	require.Len(t, calls, 1)
	require.Equal(t, g.Request.String(), calls[0].Request)
	require.Equal(t, simulator.OutcomeComplete, calls[0].Outcome)
}

// Guards against a resumed stream that repeats or skips text, also when the earlier stream broke inside a token.
func TestGenerateResumes(t *testing.T) {
	t.Parallel()
	engine, _ := startEngine(t, engineserver.Config{})
	g := generation("hello tokens=20")
	full := engineserver.Output(customer, g.Prompt, 20)
	// A token has 8 bytes: 20 and 159 are offsets inside a token, and 160 is the end of the output.
	for _, resumeAt := range []int{8, 20, 159, 160} {
		emit, text := collect()
		g.Generated = full[:resumeAt]
		_, err := engine.Generate(t.Context(), g, emit)
		require.NoError(t, err)
		require.Equal(t, string(full[resumeAt:]), text.String())
	}
}

// Guards against reporting a request as possibly run although the overloaded engine refused it before the start.
func TestGenerateOverloaded(t *testing.T) {
	t.Parallel()
	engine, _ := startEngine(t, engineserver.Config{BatchSize: 1})
	started := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		first := true
		_, err := engine.Generate(ctx, generation("tokens=100000"), func([]byte) error {
			if first {
				close(started)
				first = false
			}
			return nil
		})
		ended <- err
	}()
	<-started
	emit, _ := collect()
	_, err := engine.Generate(t.Context(), generation("x"), emit)
	var notStarted *driver.NotStartedError
	require.ErrorAs(t, err, &notStarted)
	require.Equal(t, messenger.ReasonOverloaded, notStarted.Reason)
	cancel()
	var broken *driver.BrokenError
	require.ErrorAs(t, <-ended, &broken)
}

// Guards against reporting a request as possibly run although the connection was refused.
func TestGenerateUnreachable(t *testing.T) {
	t.Parallel()
	engine := driver.NewEngine(driver.Config{BaseURL: "http://127.0.0.1:1"})
	emit, _ := collect()
	_, err := engine.Generate(t.Context(), generation("x"), emit)
	var notStarted *driver.NotStartedError
	require.ErrorAs(t, err, &notStarted)
	require.Equal(t, messenger.ReasonUpstreamUnreachable, notStarted.Reason)
}

// Guards against treating a stream as complete that a crash of the engine has truncated.
func TestGenerateFailsOnCrash(t *testing.T) {
	t.Parallel()
	engine, base := startEngine(t, engineserver.Config{Simulator: simulator.Config{Downtime: time.Millisecond}})
	before := readBoot(t, engine)
	crashed := false
	_, err := engine.Generate(t.Context(), generation("tokens=100000"), func([]byte) error {
		if !crashed {
			crashed = true
			postControl(t, base, map[string]any{"crash": true})
		}
		return nil
	})
	var broken *driver.BrokenError
	require.ErrorAs(t, err, &broken)
	require.Eventually(t, func() bool {
		report, err := engine.Report(t.Context())
		return err == nil && report.Boot != before
	}, 10*time.Second, 5*time.Millisecond)
	got := readRecord(t, base)
	require.Equal(t, 1, got.Crashes)
	require.Equal(t, simulator.OutcomeCrashed, got.Calls[0].Outcome)
}

func readBoot(t *testing.T, engine *driver.Engine) identifier.Boot {
	t.Helper()
	report, err := engine.Report(t.Context())
	require.NoError(t, err)
	return report.Boot
}

// Guards against a cancelled generation that continues to run on the engine.
func TestCancel(t *testing.T) {
	t.Parallel()
	engine, base := startEngine(t, engineserver.Config{})
	g := generation("tokens=100000")
	cancelled := false
	_, err := engine.Generate(t.Context(), g, func([]byte) error {
		if cancelled {
			return nil
		}
		cancelled = true
		return engine.Cancel(t.Context(), g.Request)
	})
	var broken *driver.BrokenError
	require.ErrorAs(t, err, &broken)
	require.Equal(t, simulator.OutcomeCancelled, readRecord(t, base).Calls[0].Outcome)
}
