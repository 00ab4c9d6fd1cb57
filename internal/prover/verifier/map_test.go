package verifier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/recorder"
)

// lockStepPlan returns a deployment with a group of six ranks in lock-step, of which every other one checks the fencing
// number of orders.
func lockStepPlan() launcher.Plan {
	plan := smallPlan()
	g := &plan.Groups[0]
	g.Ranks, g.Experts, g.LockStep = 6, 24, true
	g.ChecksFence = func(rank int) bool { return rank%2 == 0 }
	return plan
}

// mapUse returns the number of maps that the engines have used, and the last step that all of them have run.
func (f *fixture) mapUse() (int, identifier.Step) {
	records, err := recorder.Collect(f.ctx, f.runningSources())
	require.NoError(f.t, err)
	maps := map[identifier.MapVersion]bool{}
	last := ^identifier.Step(0)
	for _, r := range records {
		if r.Source.Group == "" || len(r.Record.Steps) == 0 {
			continue
		}
		for _, step := range r.Record.Steps {
			maps[step.MapVersion] = true
		}
		last = min(last, r.Record.Steps[len(r.Record.Steps)-1].Step)
	}
	return len(maps), last
}

// Guards against ranks that use different maps in the same step, and against a group that stalls, when agents of the
// group are killed or frozen or the platform fails.
func TestGroupKeepsOneMapPerStep(t *testing.T) {
	t.Parallel()
	faults := []struct {
		name   string
		inject func(f *fixture)
	}{
		{"none", func(*fixture) {}},
		{"agents killed", func(f *fixture) {
			for i := range 3 {
				f.Agents[i].Process.Kill()
				time.Sleep(500 * time.Millisecond)
				require.NoError(f.t, f.Restart(f.ctx, &f.Agents[i].Process))
			}
		}},
		{"agents frozen longer than the lease", func(f *fixture) {
			for i := range 2 {
				require.NoError(f.t, f.Agents[i].Process.Freeze())
			}
			time.Sleep(7 * time.Second)
			for i := range 2 {
				require.NoError(f.t, f.Agents[i].Process.Thaw())
			}
		}},
		{"platform outage", func(f *fixture) {
			f.setPlatformFault(`{"outage":"hang"}`)
			time.Sleep(6 * time.Second)
			f.setPlatformFault(`{}`)
		}},
		{"lost responses and stale reads", func(f *fixture) {
			f.setPlatformFault(`{"loseProbability":0.3,"staleMillis":1000,"staleProbability":0.3}`)
			time.Sleep(6 * time.Second)
			f.setPlatformFault(`{}`)
		}},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, lockStepPlan())
			f.senders.Go(func() { f.sendModelRequestsFor(25 * time.Second) })
			require.Eventually(t, func() bool {
				maps, _ := f.mapUse()
				return maps >= 1
			}, 20*time.Second, 100*time.Millisecond)
			fault.inject(f)
			mapsBefore, stepBefore := f.mapUse()
			require.Eventually(t, func() bool {
				maps, step := f.mapUse()
				return maps > mapsBefore && step > stepBefore
			}, 40*time.Second, 100*time.Millisecond, "the group has stalled or its map no longer changes")
			f.checkGuarantees()
		})
	}
}
