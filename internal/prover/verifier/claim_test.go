package verifier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/recorder"
)

// Guards against a non-idempotent call that runs twice when its caller also sends it to other entries, at the same time
// and later.
func TestResentServiceCallRunsOnce(t *testing.T) {
	t.Parallel()
	f := newFixture(t, smallPlan())
	for round := range 3 {
		for number := range 10 {
			call := f.nonIdempotentCall(number%3, number)
			for _, e := range f.Entries {
				f.senders.Go(func() { f.caller.SendServiceCall(f.ctx, e.CallerURL(), call) })
			}
		}
		time.Sleep(time.Duration(round) * 300 * time.Millisecond)
	}
	summary := f.checkGuarantees()
	require.Equal(t, summary.Sent, summary.Complete, summary)
}

// Guards against a non-idempotent call that runs twice, or that is refused as not run although it ran, when an agent of
// the service is killed during calls and callers retry.
func TestServiceCallRunsOnceOverKills(t *testing.T) {
	t.Parallel()
	f := newFixture(t, smallPlan())
	var serviceAgents []int
	for i, a := range f.Agents {
		if a.Upstream.Service != "" {
			serviceAgents = append(serviceAgents, i)
		}
	}
	f.senders.Go(func() {
		for number := range 120 {
			call := f.nonIdempotentCall(number%3, number)
			for n := range 2 {
				entry := f.Entries[(number+n)%len(f.Entries)].CallerURL()
				f.senders.Go(func() { f.resend(entry, call) })
			}
			time.Sleep(25 * time.Millisecond)
		}
	})
	time.Sleep(time.Second)
	killed := f.Agents[serviceAgents[0]]
	killed.Process.Kill()
	time.Sleep(time.Second)
	require.NoError(t, f.Restart(f.ctx, &killed.Process))
	summary := f.checkGuarantees()
	require.Positive(t, summary.Complete)
	require.Zero(t, summary.Wrong+summary.Cut, summary)
}

// resend sends a call and retries it up to twice while it is refused as not run.
func (f *fixture) resend(entry string, call recorder.ServiceCall) {
	for range 3 {
		e := f.caller.SendServiceCall(f.ctx, entry, call)
		if e.Status != 503 && e.Status != 429 {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// Guards against a retry that waits for a response that never arrives, or that runs the call again, after the service
// crashed during the first run of a non-idempotent call.
func TestInterruptedServiceCallIsUnknownAtOnce(t *testing.T) {
	t.Parallel()
	plan := smallPlan()
	plan.Services[0].Runners = 1
	plan.ServiceArgs = []string{"--latency", "2s", "--down", "500ms"}
	f := newFixture(t, plan)
	call := f.nonIdempotentCall(0, 0)
	f.senders.Go(func() { f.caller.SendServiceCall(f.ctx, f.Entries[0].CallerURL(), call) })
	time.Sleep(700 * time.Millisecond)
	for _, a := range f.Agents {
		if a.Upstream.Service != "" {
			require.NoError(t, f.Control(f.ctx, a.Standin, "/control", map[string]any{"crash": true}))
		}
	}
	f.senders.Wait()
	time.Sleep(time.Second)
	retried := f.caller.SendServiceCall(f.ctx, f.Entries[1].CallerURL(), call)
	require.Contains(t, string(retried.Body), `"outcome":"unknown"`)
	require.Less(t, retried.End.Sub(retried.Start), 10*time.Second)
	require.Eventually(t, func() bool { return f.standinsUp() }, 10*time.Second, 50*time.Millisecond)
	summary := f.checkGuarantees()
	require.Equal(t, 2, summary.Unknown, summary)
}
