package rebalancer_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/rebalancer"
)

// inTurn assigns the experts of each set to the ranks in turn, as a group does that has just opened.
func inTurn(sets, ranks, experts int) rebalancer.Layout {
	l := make(rebalancer.Layout, sets)
	for s := range l {
		l[s] = make([][]identifier.Expert, ranks)
		for e := range experts {
			l[s][e%ranks] = append(l[s][e%ranks], identifier.Expert(e))
		}
	}
	return l
}

// check fails unless each expert has a holder, no rank holds one twice or beyond its places, and no rank loads more
// than it has spare.
func check(t require.TestingT, before, after rebalancer.Layout, shape rebalancer.Shape) {
	for s, ranks := range after {
		held := map[identifier.Expert]bool{}
		for r, experts := range ranks {
			require.LessOrEqual(t, len(experts), shape.Places)
			loaded := 0
			for i, e := range experts {
				held[e] = true
				require.NotContains(t, experts[:i], e)
				if !slices.Contains(before[s][r], e) {
					loaded++
				}
			}
			require.LessOrEqual(t, loaded, shape.Spare)
		}
		require.Len(t, held, shape.Experts)
	}
}

// Guards against a layout that ranks would refuse, whatever the popularity and the layout before.
func TestImprovedLayoutCanBeLoaded(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		shape := rebalancer.Shape{Experts: 24, Places: 4, Spare: rapid.IntRange(1, 3).Draw(t, "spare")}
		layout := inTurn(2, 8, shape.Experts)
		for range 3 {
			popularity := make([][]float64, len(layout))
			for s := range popularity {
				popularity[s] = rapid.SliceOfN(rapid.Float64Range(0, 100), shape.Experts, shape.Experts).Draw(t, "popularity")
			}
			next := rebalancer.Improve(layout, popularity, shape)
			check(t, layout, next, shape)
			require.LessOrEqual(t, rebalancer.Skew(next, popularity), rebalancer.Skew(layout, popularity)*1.0001)
			layout = next
		}
	})
}

// Guards against experts that are loaded for nothing: a set that is even enough stays as it is.
func TestEvenSetIsLeftAlone(t *testing.T) {
	t.Parallel()
	layout := inTurn(1, 4, 8)
	popularity := [][]float64{{1.3, 0.8, 0.7, 0.8, 0.9, 1, 1, 1}}
	shape := rebalancer.Shape{Experts: 8, Places: 4, Spare: 2, Enough: 1.2}
	require.Equal(t, layout, rebalancer.Improve(layout, popularity, shape))
	shape.Enough = 1
	require.NotEqual(t, layout, rebalancer.Improve(layout, popularity, shape))
}

// Guards against a group that stays skewed: with one expert in five times the mean of a rank's work, two changes bring
// the most loaded rank within 1.15 of the mean (the target of a calm day).
func TestSkewedPopularityIsEvenedOut(t *testing.T) {
	t.Parallel()
	shape := rebalancer.Shape{Experts: 64, Places: 5, Spare: 2}
	layout := inTurn(4, 16, shape.Experts)
	popularity := make([][]float64, 4)
	for s := range popularity {
		popularity[s] = make([]float64, shape.Experts)
		for e := range popularity[s] {
			rank := (e*7+s*13)%shape.Experts + 1
			popularity[s][e] = 1 / float64(rank)
		}
	}
	require.Greater(t, rebalancer.Skew(layout, popularity), 2.0)
	for range 3 {
		next := rebalancer.Improve(layout, popularity, shape)
		check(t, layout, next, shape)
		layout = next
	}
	require.Less(t, rebalancer.Skew(layout, popularity), 1.15)
}

func BenchmarkImprove(b *testing.B) {
	shape := rebalancer.Shape{Experts: 64, Places: 5, Spare: 2}
	layout := inTurn(4, 16, shape.Experts)
	popularity := make([][]float64, 4)
	for s := range popularity {
		popularity[s] = make([]float64, shape.Experts)
		for e := range popularity[s] {
			popularity[s][e] = 1 / float64((e*7+s*13)%shape.Experts+1)
		}
	}
	for b.Loop() {
		rebalancer.Improve(layout, popularity, shape)
	}
}
