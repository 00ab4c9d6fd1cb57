package verifier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/interposer"
	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/recorder"
)

// toAgents puts a proxy before every agent.
func toAgents(l launcher.Link) bool { return l.Kind == launcher.LinkToAgent }

func (s *site) agentProxies() []*interposer.Proxy {
	var out []*interposer.Proxy
	for _, a := range s.Agents {
		out = append(out, s.Proxy(launcher.Link{Kind: launcher.LinkToAgent, Node: a.Name}))
	}
	return out
}

// Guards against streams that hang or run twice when established connections go silent while new ones work.
func TestSilentConnectionsReattach(t *testing.T) {
	t.Parallel()
	plan := smallPlan()
	plan.Interpose = toAgents
	s := newSite(t, plan)
	s.ask(12, 600, 0)
	time.Sleep(time.Second)
	for _, p := range s.agentProxies() {
		p.Silence()
	}
	summary := s.verdicts()
	require.Equal(t, 12, summary.Complete, summary)
	s.requireRunsOnce()
}

// requireRunsOnce checks that no engine ran a request twice.
func (s *site) requireRunsOnce() {
	s.t.Helper()
	records, err := recorder.Collect(s.ctx, recorder.SourcesOf(s.Deployment))
	require.NoError(s.t, err)
	runs := map[string]int{}
	for _, r := range records {
		for _, c := range r.Record.Calls {
			runs[c.Request]++
		}
	}
	for request, n := range runs {
		require.Equal(s.t, 1, n, "runs of request %s", request)
	}
}

// Guards against lost or repeated parts of answers on a network that delays, reorders and loses datagrams.
func TestLossyNetworkKeepsAnswersWhole(t *testing.T) {
	t.Parallel()
	plan := smallPlan()
	plan.Interpose = toAgents
	s := newSite(t, plan)
	for _, p := range s.agentProxies() {
		p.Set(interposer.Faults{Delay: 2 * time.Millisecond, Loss: 0.02, Reorder: 0.1})
	}
	s.ask(30, 50, 20*time.Millisecond)
	summary := s.verdicts()
	require.Equal(t, 30, summary.Complete, summary)
}

// Guards against a stream that is cut because its agent or its engine died: it resumes on another upstream.
func TestStreamsResumeAfterDeath(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		kill func(s *site)
	}{
		{"agent", func(s *site) { s.Agents[0].Process.Kill() }},
		{"engine", func(s *site) { s.Agents[0].Standin.Process.Kill() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, smallPlan())
			s.ask(12, 400, 0)
			time.Sleep(time.Second)
			test.kill(s)
			summary := s.verdicts()
			require.Equal(t, 12, summary.Complete, summary)
		})
	}
}
