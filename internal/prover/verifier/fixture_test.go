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
	deployTimeout = 3 * time.Minute
	// spread is the time after which a change must be in force at every reachable process.
	spread = 3 * time.Second
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

// site is a running deployment with callers that record every byte.
type site struct {
	*launcher.Deployment
	t      *testing.T
	ctx    context.Context
	log    *recorder.Log
	caller *recorder.Caller
	// folder holds the files of the deployment, among them its keys.
	folder string
	load   sync.WaitGroup
}

// newSite starts a deployment and ends it with the test. The logs of all processes are shown if the test fails.
func newSite(t *testing.T, plan launcher.Plan) *site {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), deployTimeout)
	t.Cleanup(cancel)
	l, err := launcher.New(launcher.Config{})
	require.NoError(t, err)
	t.Cleanup(l.Close)
	d, err := launcher.Deploy(ctx, l, binaries, plan)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	log := &recorder.Log{}
	s := &site{Deployment: d, t: t, ctx: ctx, log: log, caller: recorder.NewCaller(log), folder: l.Folder()}
	t.Cleanup(s.caller.Close)
	t.Cleanup(func() {
		if t.Failed() {
			s.showLogs()
		}
	})
	return s
}

func (s *site) showLogs() {
	for _, e := range s.Entries {
		s.t.Log(e.Name, e.Process.Log())
	}
	for _, a := range s.Agents {
		s.t.Log(a.Name, a.Process.Log())
	}
}

// smallPlan returns a deployment of few processes that has every role and three failure domains.
func smallPlan() launcher.Plan {
	plan := launcher.KeCentral()
	plan.Entries = 3
	plan.Groups[0].Ranks = 3
	plan.Groups[0].Limits = launcher.Limits{Cold: 4, Warm: 16, WarmAfter: 8}
	plan.Customers = plan.Customers[:3]
	return plan
}

// question returns a streamed model request of the given number of tokens.
func (s *site) question(customer, number, tokens int) recorder.ModelRequest {
	c := s.Plan.Customers[customer]
	return recorder.ModelRequest{
		Customer: c.Name, Bearer: c.Key, Endpoint: recorder.EndpointChat, Model: s.Plan.Groups[0].Model,
		Prompt: fmt.Sprintf("question %d of customer %d tokens=%d", number, customer, tokens), MaxTokens: tokens, Stream: true,
	}
}

// reservation returns a call that must not run twice.
func (s *site) reservation(customer, number int) recorder.ServiceCall {
	c := s.Plan.Customers[customer]
	return recorder.ServiceCall{
		Customer: c.Name, Bearer: c.Key, Service: s.Plan.Services[0].Name, Method: "POST",
		Path: fmt.Sprintf("/orders?number=%d-%d", customer, number), Body: []byte("reserve"),
		Key: fmt.Sprintf("key-%d-%d", customer, number),
	}
}

// ask sends questions in the background, each to the next entry.
func (s *site) ask(count, tokens int, gap time.Duration) {
	for i := range count {
		entry := s.Entries[i%len(s.Entries)].CallersURL()
		q := s.question(i%len(s.Plan.Customers), i, tokens)
		s.load.Go(func() { s.caller.Ask(s.ctx, entry, q) })
		time.Sleep(gap)
	}
}

// sources returns the stand-ins that run. The records of a killed one are lost with it.
func (s *site) sources() []recorder.Source {
	var out []recorder.Source
	for i, source := range recorder.SourcesOf(s.Deployment) {
		if s.Agents[i].Standin.Process.Running() {
			out = append(out, source)
		}
	}
	return out
}

// verdicts waits for all callers, checks that no guarantee is broken and returns the counts of outcomes.
func (s *site) verdicts() recorder.Summary {
	s.t.Helper()
	s.load.Wait()
	records, err := recorder.Collect(s.ctx, s.sources())
	require.NoError(s.t, err)
	report := recorder.Examine(s.log.Exchanges(), records)
	require.Empty(s.t, report.Violations)
	for _, v := range report.Verdicts {
		if v.Outcome != recorder.OutcomeComplete {
			s.t.Log(v.Outcome, v.Cause, v.Detail, v.Exchange.Request)
		}
	}
	return report.Summary()
}
