package verifier_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/recorder"
)

// maxCrashes is the number of upstream crashes after which a request is refused.
const maxCrashes = 2

// crashes returns the number of crashes of all upstreams.
func (f *fixture) crashes() int {
	records, err := recorder.Collect(f.ctx, recorder.SourcesOf(f.Deployment))
	require.NoError(f.t, err)
	sum := 0
	for _, r := range records {
		sum += r.Record.Crashes
	}
	return sum
}

// Guards against a request that crashes one upstream after another, because its caller sends it repeatedly to all
// entries, one duplicate at a time or several at once.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name       string
		duplicates int
		gap        time.Duration
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
			f := newFixture(t, plan)
			crasher := f.modelRequest(0, 0, 50)
			crasher.Prompt = "crash-engine " + crasher.Prompt
			for range 8 {
				for n := range test.duplicates {
					entry := f.Entries[n%len(f.Entries)].CallerURL()
					f.senders.Go(func() { f.caller.SendModelRequest(f.ctx, entry, crasher) })
				}
				time.Sleep(test.gap)
			}
			f.senders.Wait()
			require.Eventually(t, func() bool { return f.standinsUp() }, 10*time.Second, 50*time.Millisecond)
			require.LessOrEqual(t, f.crashes(), maxCrashes)
			f.sendModelRequests(12, 8, 10*time.Millisecond)
			f.senders.Wait()
			for _, e := range f.log.Exchanges()[8*test.duplicates:] {
				require.Equal(t, 200, e.Status, e.Request)
			}
		})
	}
}

func (f *fixture) standinsUp() bool {
	_, err := recorder.Collect(f.ctx, recorder.SourcesOf(f.Deployment))
	return err == nil
}

// Guards against a crash that is not counted against all running requests: their runs end at the same time, and a
// request that the agent has removed before it counts the crash could crash further upstreams.
func TestCrashCountsAgainstAllRunningRequests(t *testing.T) {
	t.Parallel()
	// The limit exceeds the number of requests by more than the reserved credits, so that all run at the same time.
	const requests, limit = 24, 32
	plan := smallPlan()
	plan.Groups[0].Ranks = 1
	plan.Groups[0].Limits = launcher.Limits{Cold: limit, Warm: limit, WarmAfter: 1}
	f := newFixture(t, plan)
	f.sendModelRequests(requests, 400, 0)
	time.Sleep(time.Second)
	require.NoError(t, f.Control(f.ctx, f.Agents[0].Standin, "/control", map[string]any{"crash": true}))
	suspectedDigests := func() int {
		return strings.Count(f.Agents[0].Process.Log(), "request digest suspected of crashing upstreams")
	}
	f.senders.Wait()
	require.Eventually(t, func() bool { return suspectedDigests() == requests }, adoptionTimeout, 20*time.Millisecond, "%d", suspectedDigests())
}

// Guards against a request that ran and is refused as not run: it crashes the only engine, and no further attempt finds
// an upstream.
func TestFailureAfterCrashIsUnknown(t *testing.T) {
	t.Parallel()
	plan := smallPlan()
	plan.Groups[0].Ranks = 1
	f := newFixture(t, plan)
	m := f.modelRequest(0, 1, 8)
	m.Prompt += " crash-engine"
	m.Stream = false
	f.caller.SendModelRequest(f.ctx, f.Entries[0].CallerURL(), m)
	require.Eventually(t, func() bool {
		_, err := recorder.Collect(f.ctx, f.runningSources())
		return err == nil
	}, adoptionTimeoutUnderFaults, 100*time.Millisecond)
	require.Equal(t, recorder.Summary{Sent: 1, Unknown: 1}, f.checkGuarantees())
}
