package bencher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/bencher"
	"currantledge.example/currantledge/internal/version/placer"
)

const (
	// targetSkew is the highest steady skew that passes. targetExcess bounds the excess of the skew over 1, as a fraction
	// of that of the static policy. targetBytes bounds the fetched bytes, as a fraction of those of the policies that
	// solve the map anew.
	targetSkew   = 1.10
	targetExcess = 0.5
	targetBytes  = 0.25
)

// shorten returns the workload with a duration that takes only seconds under the race detector. It still has a drift, a
// sudden change and steady periods before and after that.
func shorten(w bencher.SkewWorkload) bencher.SkewWorkload {
	w.Duration = 8 * time.Minute
	w.ChangeAt = 4 * time.Minute
	return w
}

func run(t *testing.T, w bencher.SkewWorkload, p placer.Policy) bencher.SkewResult {
	t.Helper()
	result, err := w.Run(p)
	require.NoError(t, err)
	t.Logf("%d ranks, seed %d, %T: %+v", w.Ranks, w.Seed, p, result)
	return result
}

// TestSkewTargets guards against a policy that does not keep the ranks evenly loaded, or that fetches too many weights
// for that.
func TestSkewTargets(t *testing.T) {
	tests := map[string]bencher.SkewWorkload{
		"64 ranks": shorten(bencher.LargeGroup(1)),
		"16 ranks": shorten(bencher.SmallGroup(1)),
	}
	for name, workload := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			static := run(t, workload, placer.Static{})
			resolve := run(t, workload, placer.Resolve{})
			relabelled := run(t, workload, placer.Resolve{Relabel: true})
			adaptive := run(t, workload, placer.DefaultAdaptive())
			require.LessOrEqual(t, adaptive.SteadySkew, targetSkew)
			require.LessOrEqual(t, adaptive.SteadySkew-1, targetExcess*(static.SteadySkew-1))
			for _, baseline := range []bencher.SkewResult{resolve, relabelled} {
				require.LessOrEqual(t, adaptive.SteadySkew, baseline.SteadySkew)
				require.LessOrEqual(t, float64(adaptive.Bytes), targetBytes*float64(baseline.Bytes))
			}
		})
	}
}

// TestSkewSlowRank guards against a slow rank that keeps an equal share of the work.
func TestSkewSlowRank(t *testing.T) {
	t.Parallel()
	workload := shorten(bencher.SmallGroup(2))
	workload.SlowRank = 3
	workload.SlowSpeed = 0.7
	workload.MissingReportFraction = 0.05
	static := run(t, workload, placer.Static{})
	adaptive := run(t, workload, placer.DefaultAdaptive())
	require.LessOrEqual(t, adaptive.SteadySkew, targetSkew)
	require.LessOrEqual(t, adaptive.SteadySkew-1, targetExcess*(static.SteadySkew-1))
}

// TestSkewRepeats guards against randomness that does not come from the seed: equal seeds must give equal results.
func TestSkewRepeats(t *testing.T) {
	t.Parallel()
	workload := bencher.SmallGroup(3)
	workload.Duration = 2 * time.Minute
	workload.ChangeAt = time.Minute
	require.Equal(t, run(t, workload, placer.DefaultAdaptive()), run(t, workload, placer.DefaultAdaptive()))
}
