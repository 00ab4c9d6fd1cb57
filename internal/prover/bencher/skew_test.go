package bencher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/bencher"
	"currantledge.example/currantledge/internal/version/placer"
)

const (
	// targetSkew, targetExcess and targetBytes are the design's targets.
	targetSkew   = 1.10
	targetExcess = 0.5
	targetBytes  = 0.25
)

// short keeps the run within seconds under the race detector; it still has a drift, a sudden change and both
// sides of it in the steady part.
func short(w bencher.Skew) bencher.Skew {
	w.Duration = 8 * time.Minute
	w.Change = 4 * time.Minute
	return w
}

func run(t *testing.T, w bencher.Skew, p placer.Policy) bencher.SkewResult {
	t.Helper()
	result, err := w.Run(p)
	require.NoError(t, err)
	t.Logf("%d ranks, seed %d, %T: %+v", w.Ranks, w.Seed, p, result)
	return result
}

// TestSkewTargets guards against a policy that lets ranks drift apart or buys even ranks with bytes.
func TestSkewTargets(t *testing.T) {
	tests := map[string]bencher.Skew{
		"64 ranks": short(bencher.LargeGroup(1)),
		"16 ranks": short(bencher.TodaysGroup(1)),
	}
	for name, workload := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			static := run(t, workload, placer.Static{})
			resolve := run(t, workload, placer.Resolve{})
			relabelled := run(t, workload, placer.Resolve{Relabel: true})
			adaptive := run(t, workload, placer.DefaultAdaptive())
			require.LessOrEqual(t, adaptive.Steady, targetSkew)
			require.LessOrEqual(t, adaptive.Steady-1, targetExcess*(static.Steady-1))
			for _, baseline := range []bencher.SkewResult{resolve, relabelled} {
				require.LessOrEqual(t, adaptive.Steady, baseline.Steady)
				require.LessOrEqual(t, float64(adaptive.Bytes), targetBytes*float64(baseline.Bytes))
			}
		})
	}
}

// TestSkewSlowRank guards against a straggler that keeps its full share of the work.
func TestSkewSlowRank(t *testing.T) {
	t.Parallel()
	workload := short(bencher.TodaysGroup(2))
	workload.SlowRank = 3
	workload.SlowSpeed = 0.7
	workload.MissingReports = 0.05
	static := run(t, workload, placer.Static{})
	adaptive := run(t, workload, placer.DefaultAdaptive())
	require.LessOrEqual(t, adaptive.Steady, targetSkew)
	require.LessOrEqual(t, adaptive.Steady-1, targetExcess*(static.Steady-1))
}

// TestSkewRepeats guards against hidden randomness: equal seeds must give equal figures.
func TestSkewRepeats(t *testing.T) {
	t.Parallel()
	workload := bencher.TodaysGroup(3)
	workload.Duration = 2 * time.Minute
	workload.Change = time.Minute
	require.Equal(t, run(t, workload, placer.DefaultAdaptive()), run(t, workload, placer.DefaultAdaptive()))
}
