package verifier_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/recorder"
)

const maxCrashes = 2

// fallOvers returns how often engines have died.
func (s *site) fallOvers() int {
	records, err := recorder.Collect(s.ctx, recorder.SourcesOf(s.Deployment))
	require.NoError(s.t, err)
	sum := 0
	for _, r := range records {
		sum += r.Record.Crashes
	}
	return sum
}

// Guards against a request that crashes one upstream after the other, sent again and again to all entries, one copy at
// a time and many at once.
func TestCrashingRequestIsStopped(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		copies int
		gap    time.Duration
	}{
		{"one after the other", 1, 150 * time.Millisecond},
		{"all entries at once", 6, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			plan := smallPlan()
			plan.Groups[0].Ranks = 6
			plan.EngineArgs = []string{"--down", "500ms"}
			s := newSite(t, plan)
			crasher := s.question(0, 0, 50)
			crasher.Prompt = "crash-engine " + crasher.Prompt
			for range 8 {
				for n := range test.copies {
					entry := s.Entries[n%len(s.Entries)].CallersURL()
					s.load.Go(func() { s.caller.Ask(s.ctx, entry, crasher) })
				}
				time.Sleep(test.gap)
			}
			s.load.Wait()
			require.Eventually(t, func() bool { return s.enginesUp() }, 10*time.Second, 50*time.Millisecond)
			require.LessOrEqual(t, s.fallOvers(), maxCrashes)
			s.ask(12, 8, 10*time.Millisecond)
			s.load.Wait()
			for _, e := range s.log.Exchanges()[8*test.copies:] {
				require.Equal(t, 200, e.Status, e.Request)
			}
		})
	}
}

func (s *site) enginesUp() bool {
	_, err := recorder.Collect(s.ctx, recorder.SourcesOf(s.Deployment))
	return err == nil
}

// Guards against a crash that is not counted against all requests that ran: the runs break at the same time, and one
// that was forgotten before the crash was counted could crash further upstreams.
func TestCrashCountsAgainstAllRunningRequests(t *testing.T) {
	t.Parallel()
	// The limit leaves room for the reserve, so that all requests run at the same time.
	const running, limit = 24, 32
	plan := smallPlan()
	plan.Groups[0].Ranks = 1
	plan.Groups[0].Limits = launcher.Limits{Cold: limit, Warm: limit, WarmAfter: 1}
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

// Guards against a refusal that says "not run" of a request that ran: it makes the only engine fall over, and no
// further attempt finds one.
func TestRefusalAfterCrashIsNotCalledNotRun(t *testing.T) {
	t.Parallel()
	plan := smallPlan()
	plan.Groups[0].Ranks = 1
	s := newSite(t, plan)
	q := s.question(0, 1, 8)
	q.Prompt += " crash-engine"
	q.Stream = false
	s.caller.Ask(s.ctx, s.Entries[0].CallersURL(), q)
	require.Eventually(t, func() bool {
		_, err := recorder.Collect(s.ctx, s.sources())
		return err == nil
	}, everywhere, 100*time.Millisecond)
	require.Equal(t, recorder.Summary{Sent: 1, Unknown: 1}, s.verdicts())
}
