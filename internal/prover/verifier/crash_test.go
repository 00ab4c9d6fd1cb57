package verifier_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/launcher"
)

// Guards against a crash that is not counted against all requests that ran: the runs break at the same time, and one
// that was forgotten before the crash was counted could crash further upstreams.
func TestCrashCountsAgainstAllRunningRequests(t *testing.T) {
	t.Parallel()
	const running = 24
	plan := smallPlan()
	plan.Groups[0].Ranks = 1
	plan.Groups[0].Limits = launcher.Limits{Cold: running, Warm: running, WarmAfter: 1}
	s := newSite(t, plan)
	s.ask(running, 400, 0)
	time.Sleep(time.Second)
	require.NoError(t, s.Control(s.ctx, s.Agents[0].Standin, "/control", map[string]any{"crash": true}))
	counted := func() int {
		return strings.Count(s.Agents[0].Process.Log(), "request digest suspected of crashing upstreams")
	}
	s.load.Wait()
	require.Eventually(t, func() bool { return counted() == running }, spread, 20*time.Millisecond, "%d", counted())
}
