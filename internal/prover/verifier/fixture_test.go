package verifier_test

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/recorder"
)

const (
	testTimeout = 3 * time.Minute
	// adoptionTimeout bounds the time from the acceptance of a change until every reachable process has adopted it. Other
	// tests use it as a bound for a wait of similar length.
	adoptionTimeout = 3 * time.Second
)

var binaries launcher.Binaries

// TestMain builds the binaries once for all tests.
func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "verifier")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binaries, err = launcher.BuildBinaries(context.Background(), folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// fixture is a running deployment with a caller that records all bytes that it receives.
type fixture struct {
	*launcher.Deployment
	t      *testing.T
	ctx    context.Context
	log    *recorder.Log
	caller *recorder.Caller
	// folder holds the files of the deployment, including its keys.
	folder string
	// senders are the goroutines that send requests in the background.
	senders sync.WaitGroup
}

// newFixture starts a deployment that ends with the test. If the test fails, it prints the logs of all nodes.
func newFixture(t *testing.T, plan launcher.Plan) *fixture {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	l, err := launcher.New(launcher.Config{})
	require.NoError(t, err)
	t.Cleanup(l.Close)
	d, err := launcher.Deploy(ctx, l, binaries, plan)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	log := &recorder.Log{}
	f := &fixture{Deployment: d, t: t, ctx: ctx, log: log, caller: recorder.NewCaller(log), folder: l.Folder()}
	t.Cleanup(f.caller.Close)
	t.Cleanup(func() {
		if t.Failed() {
			f.showLogs()
		}
	})
	return f
}

func (f *fixture) showLogs() {
	for _, e := range f.Entries {
		f.t.Log(e.Name, e.Process.Log())
	}
	for _, a := range f.Agents {
		f.t.Log(a.Name, a.Process.Log())
	}
}

// smallPlan returns a deployment of few processes with every role and three failure domains.
func smallPlan() launcher.Plan {
	plan := launcher.KeCentral()
	plan.Entries = 3
	plan.Groups[0].Ranks = 3
	plan.Groups[0].Limits = launcher.Limits{Cold: 4, Warm: 16, WarmAfter: 8}
	plan.Customers = plan.Customers[:3]
	return plan
}

// modelRequest returns a streamed model request whose output has the given number of tokens. Requests of one customer
// differ by their number.
func (f *fixture) modelRequest(customer, number, tokens int) recorder.ModelRequest {
	c := f.Plan.Customers[customer]
	return recorder.ModelRequest{
		Customer: c.Name, Bearer: c.Key, Endpoint: recorder.EndpointChat, Model: f.Plan.Groups[0].Model,
		Prompt: fmt.Sprintf("question %d of customer %d tokens=%d", number, customer, tokens), MaxTokens: tokens, Stream: true,
	}
}

// nonIdempotentCall returns a service call that must not run twice. Calls of one customer differ by their number.
func (f *fixture) nonIdempotentCall(customer, number int) recorder.ServiceCall {
	c := f.Plan.Customers[customer]
	return recorder.ServiceCall{
		Customer: c.Name, Bearer: c.Key, Service: f.Plan.Services[0].Name, Method: "POST",
		Path: fmt.Sprintf("/orders?number=%d-%d", customer, number), Body: []byte("reserve"),
		Key: fmt.Sprintf("key-%d-%d", customer, number),
	}
}

// sendModelRequests sends model requests in the background, each to the next entry, with a gap between their starts.
func (f *fixture) sendModelRequests(count, tokens int, gap time.Duration) {
	for i := range count {
		entry := f.Entries[i%len(f.Entries)].CallerURL()
		m := f.modelRequest(i%len(f.Plan.Customers), i, tokens)
		f.senders.Go(func() { f.caller.SendModelRequest(f.ctx, entry, m) })
		time.Sleep(gap)
	}
}

// runningSources returns the running stand-ins. The record of a killed stand-in is lost.
func (f *fixture) runningSources() []recorder.Source {
	var out []recorder.Source
	for i, source := range recorder.SourcesOf(f.Deployment) {
		if f.Agents[i].Standin.Process.Running() {
			out = append(out, source)
		}
	}
	return out
}

// checkGuarantees waits for all senders, checks that no guarantee is violated and returns the counts of outcomes.
func (f *fixture) checkGuarantees() recorder.Summary {
	f.t.Helper()
	f.senders.Wait()
	records, err := recorder.Collect(f.ctx, f.runningSources())
	require.NoError(f.t, err)
	report := recorder.Examine(f.log.Exchanges(), records)
	require.Empty(f.t, report.Violations)
	for _, v := range report.Verdicts {
		if v.Outcome != recorder.OutcomeComplete {
			f.t.Log(v.Outcome, v.Cause, v.Detail, v.Exchange.Request)
		}
	}
	return report.Summary()
}
