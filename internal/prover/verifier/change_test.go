package verifier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/recorder"
)

// loadFor sends questions and idempotent look-ups from several entries until the time has passed.
func (s *site) loadFor(d time.Duration) {
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		entry := s.Entries[i%len(s.Entries)].CallersURL()
		q := s.question(i%len(s.Plan.Customers), i, 20)
		s.load.Go(func() { s.caller.Ask(s.ctx, entry, q) })
		time.Sleep(20 * time.Millisecond)
	}
}

// requireNoNewWork checks that no call started at an agent's upstream between two times.
func (s *site) requireNoNewWork(a *launcher.Agent, from, to time.Time) {
	s.t.Helper()
	records, err := recorder.Collect(s.ctx, recorder.SourcesOf(s.Deployment))
	require.NoError(s.t, err)
	for _, r := range records {
		if r.Source.Name != a.Standin.Name {
			continue
		}
		for _, c := range r.Record.Calls {
			require.False(s.t, c.Start.After(from) && c.Start.Before(to), "call %s started %v after the change", c.Request, c.Start.Sub(from)+spread)
		}
	}
}

// Guards against new work in a failure domain that is out, streams cut by the change, and refusals while the other
// domains can bear the load; and against a domain that stays unused after its return.
func TestFailureDomainLeavesAndReturns(t *testing.T) {
	t.Parallel()
	plan := smallPlan()
	plan.LogLevel = "debug"
	s := newSite(t, plan)
	out := s.Plan.FailureDomains[1]
	_, agents := s.Domain(out)
	s.load.Go(func() { s.loadFor(12 * time.Second) })
	time.Sleep(2 * time.Second)
	require.NoError(t, s.SetFailureDomain(s.ctx, out, launcher.StateOut))
	left := time.Now()
	time.Sleep(5 * time.Second)
	// Work is right as soon as the change is accepted, which is before its answer arrives here.
	returned := time.Now()
	require.NoError(t, s.SetFailureDomain(s.ctx, out, launcher.StateIn))
	summary := s.verdicts()
	require.Equal(t, summary.Sent, summary.Complete, summary)
	for _, a := range agents {
		s.requireNoNewWork(a, left.Add(spread), returned)
		s.requireWorkAfter(a, returned)
	}
}

func (s *site) requireWorkAfter(a *launcher.Agent, after time.Time) {
	s.t.Helper()
	if a.Upstream.ModelGroup == "" {
		return
	}
	records, err := recorder.Collect(s.ctx, recorder.SourcesOf(s.Deployment))
	require.NoError(s.t, err)
	for _, r := range records {
		if r.Source.Name != a.Standin.Name {
			continue
		}
		for _, c := range r.Record.Calls {
			if c.Start.After(after) {
				return
			}
		}
	}
	require.Fail(s.t, "no work after the return", a.Name)
}

// Guards against new work for an upstream that is leaving, and against streams cut by its departure.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	t.Parallel()
	s := newSite(t, smallPlan())
	leaving := s.Agents[0]
	s.load.Go(func() { s.loadFor(8 * time.Second) })
	time.Sleep(2 * time.Second)
	require.NoError(t, s.SetUpstream(s.ctx, leaving, launcher.StateLeaving))
	left := time.Now()
	summary := s.verdicts()
	require.Equal(t, summary.Sent, summary.Complete, summary)
	s.requireNoNewWork(leaving, left.Add(spread), time.Now())
}

// Guards against planned stops that cut streams: an entry and an agent stop in mid-stream. A stream that an agent cuts
// resumes elsewhere and is still complete, so each must also have run once.
func TestGracefulShutdownCutsNothing(t *testing.T) {
	t.Parallel()
	s := newSite(t, smallPlan())
	s.ask(12, 500, 0)
	time.Sleep(500 * time.Millisecond)
	s.load.Go(func() { require.NoError(t, s.Agents[0].Process.Stop(s.ctx)) })
	s.load.Go(func() { require.NoError(t, s.Entries[0].Process.Stop(s.ctx)) })
	summary := s.verdicts()
	require.Equal(t, 12, summary.Complete, summary)
	s.requireRunsOnce()
}
