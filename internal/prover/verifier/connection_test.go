package verifier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/interposer"
	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/recorder"
)

// isLinkToAgent selects the links to agents, so that a proxy stands before every agent.
func isLinkToAgent(l launcher.Link) bool { return l.Kind == launcher.LinkToAgent }

func (f *fixture) agentProxies() []*interposer.Proxy {
	var out []*interposer.Proxy
	for _, a := range f.Agents {
		out = append(out, f.Proxy(launcher.Link{Kind: launcher.LinkToAgent, Node: a.Name}))
	}
	return out
}

// Guards against streams that hang or run twice when established connections carry no more data while new ones work.
func TestSilentConnectionsReattach(t *testing.T) {
	t.Parallel()
	plan := smallPlan()
	plan.Interpose = isLinkToAgent
	f := newFixture(t, plan)
	f.sendModelRequests(12, 600, 0)
	time.Sleep(time.Second)
	for _, p := range f.agentProxies() {
		p.Silence()
	}
	summary := f.checkGuarantees()
	require.Equal(t, 12, summary.Complete, summary)
	f.requireNoDuplicateRuns()
}

// requireNoDuplicateRuns checks that each recorded request ran only once over all upstreams.
func (f *fixture) requireNoDuplicateRuns() {
	f.t.Helper()
	records, err := recorder.Collect(f.ctx, recorder.SourcesOf(f.Deployment))
	require.NoError(f.t, err)
	runs := map[string]int{}
	for _, r := range records {
		for _, c := range r.Record.Calls {
			runs[c.Request]++
		}
	}
	for request, n := range runs {
		require.Equal(f.t, 1, n, "runs of request %s", request)
	}
}

// Guards against responses with missing or repeated parts on a network that delays, reorders and loses datagrams.
func TestLossyNetworkDeliversCompleteResponses(t *testing.T) {
	t.Parallel()
	plan := smallPlan()
	plan.Interpose = isLinkToAgent
	f := newFixture(t, plan)
	for _, p := range f.agentProxies() {
		p.Set(interposer.Faults{Delay: 2 * time.Millisecond, Loss: 0.02, Reorder: 0.1})
	}
	f.sendModelRequests(30, 50, 20*time.Millisecond)
	summary := f.checkGuarantees()
	require.Equal(t, 30, summary.Complete, summary)
}

// Guards against a stream that ends early because its agent or its engine is killed, instead of resuming on another
// upstream.
func TestStreamsResumeAfterKill(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		kill func(f *fixture)
	}{
		{"agent", func(f *fixture) { f.Agents[0].Process.Kill() }},
		{"engine", func(f *fixture) { f.Agents[0].Standin.Process.Kill() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, smallPlan())
			f.sendModelRequests(12, 400, 0)
			time.Sleep(time.Second)
			test.kill(f)
			summary := f.checkGuarantees()
			require.Equal(t, 12, summary.Complete, summary)
		})
	}
}
