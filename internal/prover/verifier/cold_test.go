package verifier_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/recorder"
	"currantledge.example/currantledge/internal/standin/simulator"
)

// coldPlan returns a deployment whose engines bear little while they are cold, which shows in the time to first token.
func coldPlan() launcher.Plan {
	plan := smallPlan()
	plan.Groups[0].Limits = launcher.Limits{Cold: 2, Warm: 16, WarmAfter: 24}
	plan.EngineArgs = []string{"--cold-prefill", "60"}
	return plan
}

// Guards against a cold upstream that gets more requests than it handles: every engine has just started when a burst
// above what all of them bear warm arrives at all entries.
func TestColdDeploymentBearsBurst(t *testing.T) {
	t.Parallel()
	const burst = 90
	s := newSite(t, coldPlan())
	s.ask(burst, 8, 0)
	summary := s.verdictsOnceUp()
	require.Zero(t, s.fallOvers())
	require.Equal(t, burst, summary.Complete, summary)
}

// Guards against an agent that goes on with the warm limit after its engine became cold without a new boot id: once the
// grace has passed, the engine falls over at the first request above the cold limit.
func TestEngineTurnsCold(t *testing.T) {
	t.Parallel()
	const (
		grace = 4 * time.Second
		// settled is the number of completions after which the slow first tokens of the start no longer count in the
		// agent's smoothed time to first token.
		settled = 100
	)
	s := newSite(t, coldPlan())
	turns := s.Agents[0]
	s.load.Go(func() { s.loadFor(20 * time.Second) })
	require.Eventually(t, func() bool { return s.completions(turns) >= settled }, 15*time.Second, 50*time.Millisecond,
		"the engine does not become warm")
	order := map[string]any{"coolNow": true, "graceMillis": grace.Milliseconds()}
	require.NoError(t, s.Control(s.ctx, turns.Standin, "/control", order))
	require.Eventually(t, func() bool { return strings.Contains(turns.Process.Log(), "time to first token rose") }, grace, 20*time.Millisecond,
		"the agent does not notice that its engine is cold")
	s.load.Go(func() { s.ask(60, 20, 0) })
	summary := s.verdictsOnceUp()
	require.Zero(t, s.fallOvers())
	require.Equal(t, summary.Sent, summary.Complete, summary)
}

// completions returns how many calls an agent's engine has completed.
func (s *site) completions(a *launcher.Agent) int {
	s.t.Helper()
	records, err := recorder.Collect(s.ctx, s.sources())
	require.NoError(s.t, err)
	count := 0
	for _, r := range records {
		for _, c := range r.Record.Calls {
			if r.Source.Name == a.Standin.Name && c.Outcome == simulator.OutcomeComplete {
				count++
			}
		}
	}
	return count
}

// verdictsOnceUp returns the verdicts after engines that fell over are up again, so that their records can be read.
func (s *site) verdictsOnceUp() recorder.Summary {
	s.t.Helper()
	s.load.Wait()
	require.Eventually(s.t, s.enginesUp, 10*time.Second, 50*time.Millisecond)
	return s.verdicts()
}
