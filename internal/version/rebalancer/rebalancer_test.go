package rebalancer_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/rebalancer"
)

// roundRobin assigns the experts of each set to the ranks round-robin, as in a group that has just formed.
func roundRobin(sets, ranks, experts int) rebalancer.Layout {
	l := make(rebalancer.Layout, sets)
	for s := range l {
		l[s] = make([][]identifier.Expert, ranks)
		for e := range experts {
			l[s][e%ranks] = append(l[s][e%ranks], identifier.Expert(e))
		}
	}
	return l
}

// requireLoadable fails unless each expert has a holder and no rank holds an expert twice, holds more experts than
// places or loads more experts than spare.
func requireLoadable(t require.TestingT, before, after rebalancer.Layout, constraints rebalancer.Constraints) {
	for s, ranks := range after {
		held := map[identifier.Expert]bool{}
		for r, experts := range ranks {
			require.LessOrEqual(t, len(experts), constraints.Places)
			loaded := 0
			for i, e := range experts {
				held[e] = true
				require.NotContains(t, experts[:i], e)
				if !slices.Contains(before[s][r], e) {
					loaded++
				}
			}
			require.LessOrEqual(t, loaded, constraints.Spare)
		}
		require.Len(t, held, constraints.Experts)
	}
}

// Guards against a layout that ranks would reject, for any popularity and previous layout, and against a higher skew.
func TestImprovedLayoutCanBeLoaded(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		constraints := rebalancer.Constraints{Experts: 24, Places: 4, Spare: rapid.IntRange(1, 3).Draw(t, "spare")}
		layout := roundRobin(2, 8, constraints.Experts)
		for range 3 {
			popularity := make([][]float64, len(layout))
			for s := range popularity {
				popularity[s] = rapid.SliceOfN(rapid.Float64Range(0, 100), constraints.Experts, constraints.Experts).Draw(t, "popularity")
			}
			next := rebalancer.Improve(layout, popularity, constraints)
			requireLoadable(t, layout, next, constraints)
			require.LessOrEqual(t, rebalancer.Skew(next, popularity), rebalancer.Skew(layout, popularity)*1.0001)
			layout = next
		}
	})
}

// Guards against needless loads of experts: a set within the target skew must stay unchanged.
func TestBalancedSetIsUnchanged(t *testing.T) {
	t.Parallel()
	layout := roundRobin(1, 4, 8)
	popularity := [][]float64{{1.3, 0.8, 0.7, 0.8, 0.9, 1, 1, 1}}
	constraints := rebalancer.Constraints{Experts: 8, Places: 4, Spare: 2, TargetSkew: 1.2}
	require.Equal(t, layout, rebalancer.Improve(layout, popularity, constraints))
	constraints.TargetSkew = 1
	require.NotEqual(t, layout, rebalancer.Improve(layout, popularity, constraints))
}

// Guards against a group that stays skewed: if the popularity of the experts follows Zipf's law, three changes must
// bring the most loaded rank within 1.15 of the mean load, the target under steady load.
func TestSkewedPopularityIsBalanced(t *testing.T) {
	t.Parallel()
	constraints := rebalancer.Constraints{Experts: 64, Places: 5, Spare: 2}
	layout := roundRobin(4, 16, constraints.Experts)
	popularity := make([][]float64, 4)
	for s := range popularity {
		popularity[s] = make([]float64, constraints.Experts)
		for e := range popularity[s] {
			zipfRank := (e*7+s*13)%constraints.Experts + 1
			popularity[s][e] = 1 / float64(zipfRank)
		}
	}
	require.Greater(t, rebalancer.Skew(layout, popularity), 2.0)
	for range 3 {
		next := rebalancer.Improve(layout, popularity, constraints)
		requireLoadable(t, layout, next, constraints)
		layout = next
	}
	require.Less(t, rebalancer.Skew(layout, popularity), 1.15)
}

func BenchmarkImprove(b *testing.B) {
	constraints := rebalancer.Constraints{Experts: 64, Places: 5, Spare: 2}
	layout := roundRobin(4, 16, constraints.Experts)
	popularity := make([][]float64, 4)
	for s := range popularity {
		popularity[s] = make([]float64, constraints.Experts)
		for e := range popularity[s] {
			popularity[s][e] = 1 / float64((e*7+s*13)%constraints.Experts+1)
		}
	}
	for b.Loop() {
		rebalancer.Improve(layout, popularity, constraints)
	}
}
