package verifier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/recorder"
)

// Guards against a call that runs twice when its caller sends it again to other entries, at the same time and later.
func TestResentReservationRunsOnce(t *testing.T) {
	t.Parallel()
	s := newSite(t, smallPlan())
	for round := range 3 {
		for number := range 10 {
			call := s.reservation(number%3, number)
			for _, e := range s.Entries {
				s.load.Go(func() { s.caller.Call(s.ctx, e.CallersURL(), call) })
			}
		}
		time.Sleep(time.Duration(round) * 300 * time.Millisecond)
	}
	summary := s.verdicts()
	require.Equal(t, summary.Sent, summary.Complete, summary)
}

// Guards against a call that runs twice, or a refusal that is not true, when agents of the service die in the middle
// and callers send again.
func TestReservationRunsOnceOverKills(t *testing.T) {
	t.Parallel()
	s := newSite(t, smallPlan())
	var runners []int
	for i, a := range s.Agents {
		if a.Upstream.Service != "" {
			runners = append(runners, i)
		}
	}
	s.load.Go(func() {
		for number := range 120 {
			call := s.reservation(number%3, number)
			for n := range 2 {
				entry := s.Entries[(number+n)%len(s.Entries)].CallersURL()
				s.load.Go(func() { s.resend(entry, call) })
			}
			time.Sleep(25 * time.Millisecond)
		}
	})
	time.Sleep(time.Second)
	victim := s.Agents[runners[0]]
	victim.Process.Kill()
	time.Sleep(time.Second)
	require.NoError(t, s.Restart(s.ctx, &victim.Process))
	summary := s.verdicts()
	require.Positive(t, summary.Complete)
	require.Zero(t, summary.Wrong+summary.Cut, summary)
}

// resend sends a call up to three times while it is refused as not run.
func (s *site) resend(entry string, call recorder.ServiceCall) {
	for range 3 {
		e := s.caller.Call(s.ctx, entry, call)
		if e.Status != 503 && e.Status != 429 {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// Guards against a caller that sends a call again whose service died in the middle, and then waits for an answer that
// never comes; and against a second run of that call.
func TestBrokenReservationIsUnknownAtOnce(t *testing.T) {
	t.Parallel()
	plan := smallPlan()
	plan.Services[0].Runners = 1
	plan.ServiceArgs = []string{"--latency", "2s", "--down", "500ms"}
	s := newSite(t, plan)
	call := s.reservation(0, 0)
	s.load.Go(func() { s.caller.Call(s.ctx, s.Entries[0].CallersURL(), call) })
	time.Sleep(700 * time.Millisecond)
	for _, a := range s.Agents {
		if a.Upstream.Service != "" {
			require.NoError(t, s.Control(s.ctx, a.Standin, "/control", map[string]any{"crash": true}))
		}
	}
	s.load.Wait()
	time.Sleep(time.Second)
	again := s.caller.Call(s.ctx, s.Entries[1].CallersURL(), call)
	require.Contains(t, string(again.Body), `"outcome":"unknown"`)
	require.Less(t, again.End.Sub(again.Start), 10*time.Second)
	require.Eventually(t, func() bool { return s.enginesUp() }, 10*time.Second, 50*time.Millisecond)
	summary := s.verdicts()
	require.Equal(t, 2, summary.Unknown, summary)
}
