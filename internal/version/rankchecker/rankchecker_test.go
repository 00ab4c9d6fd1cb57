package rankchecker_test

import (
	"math"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/mapswitcher"
	"currantledge.example/currantledge/internal/version/rankchecker"
	"currantledge.example/currantledge/internal/version/rebalancer"
)

var shape = rankchecker.Shape{Sets: 2, Experts: 4, Places: 3}

// rankMaps returns the maps of two ranks of a group.
func rankMaps() []mapswitcher.RankMap {
	return []mapswitcher.RankMap{
		{Epoch: 3, Version: 7, Experts: [][]identifier.Expert{{0, 2}, {0, 1, 3}}},
		{Epoch: 3, Version: 7, Experts: [][]identifier.Expert{{1, 3, 0}, {2, 3}}},
	}
}

// requireRejected requires that an error stands for a wrong answer and tells the field and its value.
func requireRejected(t *testing.T, err error, field, value string) {
	t.Helper()
	var answer *mapswitcher.AnswerError
	require.True(t, errors.As(err, &answer), "%v", err)
	require.Equal(t, field, answer.Field)
	require.Equal(t, value, answer.Value)
	require.NotEmpty(t, answer.Problem)
}

// Guards against lists of experts that index slices of another size or describe a map that no rank can have.
func TestImpossibleRankMapsAreRejected(t *testing.T) {
	t.Parallel()
	for _, m := range rankMaps() {
		require.NoError(t, shape.CheckRankMap(m))
	}
	for _, test := range []struct {
		experts      [][]identifier.Expert
		field, value string
	}{
		{nil, "experts", "0"},
		{[][]identifier.Expert{{0, 2}}, "experts", "1"},
		{[][]identifier.Expert{{0, 2}, {0, 1}, {3}}, "experts", "3"},
		{[][]identifier.Expert{{0, 4}, {0, 1}}, "experts of set 0", "4"},
		{[][]identifier.Expert{{0, 2}, {97, 1}}, "experts of set 1", "97"},
		{[][]identifier.Expert{{0, 2}, {0, -1}}, "experts of set 1", "-1"},
		{[][]identifier.Expert{{0, 2}, {1, 0, 1}}, "experts of set 1", "1"},
		{[][]identifier.Expert{{0, 1, 2, 3}, {0, 1}}, "experts of set 0", "4"},
	} {
		requireRejected(t, shape.CheckRankMap(mapswitcher.RankMap{Experts: test.experts}), test.field, test.value)
	}
}

// Guards against a layout in which an expert that is wrong but in range has replaced another one, and against one that
// joins maps of different versions.
func TestContradictingRankMapsAreRejected(t *testing.T) {
	t.Parallel()
	layout, err := shape.NewLayout(rankMaps())
	require.NoError(t, err)
	require.Equal(t, rebalancer.Layout{{{0, 2}, {1, 3, 0}}, {{0, 1, 3}, {2, 3}}}, layout)

	maps := rankMaps()
	maps[0].Experts[0][1] = 3
	_, err = shape.NewLayout(maps)
	requireRejected(t, err, "experts of set 0", "2")
	maps = rankMaps()
	maps[1].Version = 8
	_, err = shape.NewLayout(maps)
	requireRejected(t, err, "map of rank 1", "8 in epoch 3")
	maps = rankMaps()
	maps[1].Epoch = 4
	_, err = shape.NewLayout(maps)
	requireRejected(t, err, "map of rank 1", "7 in epoch 4")
}

// Guards against counts that index those of another size, and against sums that overflow.
func TestImpossibleCountsAreRejected(t *testing.T) {
	t.Parallel()
	require.NoError(t, shape.CheckCounts(mapswitcher.Counts{Counts: []float64{0, 5120, 88, 940, 1 << 53, 2, 3, 4}}))
	for _, test := range []struct {
		counts       []float64
		field, value string
	}{
		{nil, "counts", "0"},
		{make([]float64, 7), "counts", "7"},
		{make([]float64, 9), "counts", "9"},
		{[]float64{0, 0, -1, 0, 0, 0, 0, 0}, "count 2", "-1"},
		{[]float64{0, 0, 0, 0, 0, 0, 0, 1e300}, "count 7", "1e+300"},
		{[]float64{math.NaN(), 0, 0, 0, 0, 0, 0, 0}, "count 0", "NaN"},
	} {
		requireRejected(t, shape.CheckCounts(mapswitcher.Counts{Counts: test.counts}), test.field, test.value)
	}
}

// Guards against reports whose numbers put a rank into no group, or into that of others.
func TestImpossibleReportsAreRejected(t *testing.T) {
	t.Parallel()
	require.NoError(t, rankchecker.CheckReport(mapswitcher.Report{}))
	require.NoError(t, rankchecker.CheckReport(mapswitcher.Report{Group: "g", Rank: 15, Size: 16}))
	for _, test := range []struct {
		rank         identifier.Rank
		size         int
		field, value string
	}{
		{16, 16, "rank", "16"},
		{112, 16, "rank", "112"},
		{-1, 16, "rank", "-1"},
		{-1, 0, "rank", "-1"},
		{1, -16, "size", "-16"},
		{1, 1 << 40, "size", "1099511627776"},
	} {
		requireRejected(t, rankchecker.CheckReport(mapswitcher.Report{Group: "g", Rank: test.rank, Size: test.size}), test.field, test.value)
	}
}
