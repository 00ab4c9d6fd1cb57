package verifier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/recorder"
)

// lockStepPlan returns a group of six ranks in lock-step, whose engines check the fencing number on every other rank.
func lockStepPlan() launcher.Plan {
	plan := smallPlan()
	g := &plan.Groups[0]
	g.Ranks, g.Experts, g.LockStep = 6, 24, true
	g.ChecksFence = func(rank int) bool { return rank%2 == 0 }
	return plan
}

// mapsUsed returns how many maps the engines have used, and the last step that all of them have run.
func (s *site) mapsUsed() (int, identifier.Step) {
	records, err := recorder.Collect(s.ctx, s.sources())
	require.NoError(s.t, err)
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

// Guards against ranks that use different maps in one step, and against a group that stalls, while the agents of the
// group are killed and frozen and the platform fails.
func TestGroupKeepsOneMapPerStep(t *testing.T) {
	t.Parallel()
	faults := []struct {
		name   string
		inject func(s *site)
	}{
		{"none", func(*site) {}},
		{"agents die", func(s *site) {
			for i := range 3 {
				s.Agents[i].Process.Kill()
				time.Sleep(500 * time.Millisecond)
				require.NoError(s.t, s.Restart(s.ctx, &s.Agents[i].Process))
			}
		}},
		{"agents freeze longer than the lease", func(s *site) {
			for i := range 2 {
				require.NoError(s.t, s.Agents[i].Process.Freeze())
			}
			time.Sleep(7 * time.Second)
			for i := range 2 {
				require.NoError(s.t, s.Agents[i].Process.Thaw())
			}
		}},
		{"platform outage", func(s *site) {
			s.platformFault(`{"outage":"hang"}`)
			time.Sleep(6 * time.Second)
			s.platformFault(`{}`)
		}},
		{"lost answers and stale reads", func(s *site) {
			s.platformFault(`{"loseProbability":0.3,"staleMillis":1000,"staleProbability":0.3}`)
			time.Sleep(6 * time.Second)
			s.platformFault(`{}`)
		}},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, lockStepPlan())
			s.load.Go(func() { s.loadFor(25 * time.Second) })
			require.Eventually(t, func() bool {
				maps, _ := s.mapsUsed()
				return maps >= 1
			}, 20*time.Second, 100*time.Millisecond)
			fault.inject(s)
			before, at := s.mapsUsed()
			require.Eventually(t, func() bool {
				maps, now := s.mapsUsed()
				return maps > before && now > at
			}, 40*time.Second, 100*time.Millisecond, "the group has stalled or its map does not change any more")
			s.verdicts()
		})
	}
}
