package verifier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/recorder"
)

// sendModelRequestsFor sends a model request every 20 ms, each to the next entry, until the duration has passed.
func (f *fixture) sendModelRequestsFor(d time.Duration) {
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		entry := f.Entries[i%len(f.Entries)].CallerURL()
		m := f.modelRequest(i%len(f.Plan.Customers), i, 20)
		f.senders.Go(func() { f.caller.SendModelRequest(f.ctx, entry, m) })
		time.Sleep(20 * time.Millisecond)
	}
}

// requireNoCallsBetween checks that no call started at an agent's upstream between two times.
func (f *fixture) requireNoCallsBetween(a *launcher.Agent, from, to time.Time) {
	f.t.Helper()
	records, err := recorder.Collect(f.ctx, recorder.SourcesOf(f.Deployment))
	require.NoError(f.t, err)
	for _, r := range records {
		if r.Source.Name != a.Standin.Name {
			continue
		}
		for _, c := range r.Record.Calls {
			require.False(f.t, c.Start.After(from) && c.Start.Before(to), "call %s started %v after the change", c.Request, c.Start.Sub(from)+adoptionTimeout)
		}
	}
}

// Guards against new calls in a failure domain that is out, streams that the change interrupts, refusals while the
// other failure domains have enough capacity, and a failure domain that stays unused after its return to service.
func TestFailureDomainLeavesAndReturns(t *testing.T) {
	t.Parallel()
	plan := smallPlan()
	plan.LogLevel = "debug"
	f := newFixture(t, plan)
	out := f.Plan.FailureDomains[1]
	_, agents := f.NodesIn(out)
	f.senders.Go(func() { f.sendModelRequestsFor(12 * time.Second) })
	time.Sleep(2 * time.Second)
	require.NoError(t, f.SetFailureDomainState(f.ctx, out, launcher.StateOut))
	outAt := time.Now()
	time.Sleep(5 * time.Second)
	// Calls are allowed as soon as an entry accepts the change, which is before its response arrives here.
	backAt := time.Now()
	require.NoError(t, f.SetFailureDomainState(f.ctx, out, launcher.StateIn))
	summary := f.checkGuarantees()
	require.Equal(t, summary.Sent, summary.Complete, summary)
	for _, a := range agents {
		f.requireNoCallsBetween(a, outAt.Add(adoptionTimeout), backAt)
		f.requireCallAfter(a, backAt)
	}
}

// requireCallAfter checks that a call started at an agent's engine after a time. It skips agents of services, to which
// sendModelRequestsFor sends no requests.
func (f *fixture) requireCallAfter(a *launcher.Agent, after time.Time) {
	f.t.Helper()
	if a.Upstream.ModelGroup == "" {
		return
	}
	records, err := recorder.Collect(f.ctx, recorder.SourcesOf(f.Deployment))
	require.NoError(f.t, err)
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
	require.Fail(f.t, "no call after the failure domain returned to service", a.Name)
}

// Guards against new calls to an upstream that is leaving, and against streams that the change interrupts.
func TestLeavingUpstreamGetsNoNewCalls(t *testing.T) {
	t.Parallel()
	f := newFixture(t, smallPlan())
	leaving := f.Agents[0]
	f.senders.Go(func() { f.sendModelRequestsFor(8 * time.Second) })
	time.Sleep(2 * time.Second)
	require.NoError(t, f.SetUpstreamState(f.ctx, leaving, launcher.StateLeaving))
	leavingAt := time.Now()
	summary := f.checkGuarantees()
	require.Equal(t, summary.Sent, summary.Complete, summary)
	f.requireNoCallsBetween(leaving, leavingAt.Add(adoptionTimeout), time.Now())
}

// Guards against a graceful shutdown of an entry or agent that interrupts its streams. A stream that an agent
// interrupts resumes on another upstream and is still complete, so each request must also have run only once.
func TestGracefulShutdownInterruptsNoStream(t *testing.T) {
	t.Parallel()
	f := newFixture(t, smallPlan())
	f.sendModelRequests(12, 500, 0)
	time.Sleep(500 * time.Millisecond)
	f.senders.Go(func() { require.NoError(t, f.Agents[0].Process.Stop(f.ctx)) })
	f.senders.Go(func() { require.NoError(t, f.Entries[0].Process.Stop(f.ctx)) })
	summary := f.checkGuarantees()
	require.Equal(t, 12, summary.Complete, summary)
	f.requireNoDuplicateRuns()
}
