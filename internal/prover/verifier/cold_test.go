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

// coldPlan returns a deployment whose engines have little capacity and a long prefill, and thus a long time to first
// token, while they are cold.
func coldPlan() launcher.Plan {
	plan := smallPlan()
	plan.Groups[0].Limits = launcher.Limits{Cold: 2, Warm: 16, WarmAfter: 24}
	plan.EngineArgs = []string{"--cold-prefill", "60"}
	return plan
}

// Guards against a cold upstream that receives more requests than its capacity: every engine has just started when a
// burst above the warm capacity of all engines arrives at all entries.
func TestColdDeploymentSustainsBurst(t *testing.T) {
	t.Parallel()
	const burst = 90
	f := newFixture(t, coldPlan())
	f.sendModelRequests(burst, 8, 0)
	summary := f.checkGuaranteesOnceUp()
	require.Zero(t, f.crashes())
	require.Equal(t, burst, summary.Complete, summary)
}

// Guards against an agent that keeps the warm limit after its engine has become cold without a new boot id: after the
// grace period, the engine crashes at the first request above the cold limit.
func TestEngineTurnsCold(t *testing.T) {
	t.Parallel()
	const (
		grace = 4 * time.Second
		// settledCompletions is the number of completions after which the slow first tokens of the cold start no longer
		// influence the agent's smoothed time to first token.
		settledCompletions = 100
	)
	f := newFixture(t, coldPlan())
	cooling := f.Agents[0]
	f.senders.Go(func() { f.sendModelRequestsFor(20 * time.Second) })
	require.Eventually(t, func() bool { return f.completions(cooling) >= settledCompletions }, 15*time.Second, 50*time.Millisecond,
		"the engine does not become warm")
	command := map[string]any{"coolNow": true, "graceMillis": grace.Milliseconds()}
	require.NoError(t, f.Control(f.ctx, cooling.Standin, "/control", command))
	require.Eventually(t, func() bool { return strings.Contains(cooling.Process.Log(), "time to first token rose") }, grace, 20*time.Millisecond,
		"the agent does not detect that its engine is cold")
	f.senders.Go(func() { f.sendModelRequests(60, 20, 0) })
	summary := f.checkGuaranteesOnceUp()
	require.Zero(t, f.crashes())
	require.Equal(t, summary.Sent, summary.Complete, summary)
}

// completions returns the number of calls that an agent's engine has completed.
func (f *fixture) completions(a *launcher.Agent) int {
	f.t.Helper()
	records, err := recorder.Collect(f.ctx, f.runningSources())
	require.NoError(f.t, err)
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

// checkGuaranteesOnceUp calls checkGuarantees after crashed engines have restarted, so that their records can be read.
func (f *fixture) checkGuaranteesOnceUp() recorder.Summary {
	f.t.Helper()
	f.senders.Wait()
	require.Eventually(f.t, f.standinsUp, 10*time.Second, 50*time.Millisecond)
	return f.checkGuarantees()
}
