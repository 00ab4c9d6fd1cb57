package replicator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantledge.example/currantledge/internal/version/replicator"
)

const (
	table = replicator.Table("t")
	// pageBytes holds all changes of a test.
	pageBytes = 1 << 20
)

func liveRow(key string, version uint64) replicator.Row {
	return replicator.Row{Key: key, Value: []byte{byte(version)}, Version: version}
}

func tombstone(key string, version uint64) replicator.Row {
	return replicator.Row{Key: key, Version: version, Deleted: true}
}

// Guards against copies that differ, or return to an earlier version of a row, because rows arrive out of order or
// twice.
func TestOrderOfArrivalDoesNotMatter(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var history []replicator.Row
		for v := range uint64(rapid.IntRange(1, 20).Draw(t, "changes")) {
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			if rapid.Bool().Draw(t, "removed") {
				history = append(history, tombstone(key, v+1))
			} else {
				history = append(history, liveRow(key, v+1))
			}
		}
		inOrder, shuffled := replicator.New(replicator.Config{}), replicator.New(replicator.Config{})
		now := time.Unix(1, 0)
		inOrder.Merge(now, table, history, false)
		for _, row := range rapid.Permutation(append(history, history...)).Draw(t, "arrival") {
			shuffled.Merge(now, table, []replicator.Row{row}, false)
		}
		require.Equal(t, inOrder.Rows(table), shuffled.Rows(table))
		require.Equal(t, inOrder.Version(table), shuffled.Version(table))
	})
}

// Guards against the deletion of live upstreams whose rows expired during an outage of the platform.
func TestDeletionsAreDeferredAfterOutage(t *testing.T) {
	t.Parallel()
	r := replicator.New(replicator.Config{})
	now := time.Unix(1, 0)
	r.Merge(now, table, []replicator.Row{liveRow("lapsed", 1), liveRow("gone", 2)}, true)
	r.PlatformRecovered(now)
	r.Merge(now, table, []replicator.Row{tombstone("lapsed", 3), tombstone("gone", 4)}, true)
	require.Len(t, r.Rows(table), 2)
	r.Merge(now.Add(time.Second), table, []replicator.Row{liveRow("lapsed", 5)}, true)
	r.ApplyDeferred(now.Add(2 * time.Second))
	require.Len(t, r.Rows(table), 2)
	r.ApplyDeferred(now.Add(3 * time.Second))
	require.Equal(t, []replicator.Row{liveRow("lapsed", 5)}, r.Rows(table))
}

// Guards against a row that stays in the copy because the platform dropped the history with its deletion.
func TestFullReadRemovesMissingRows(t *testing.T) {
	t.Parallel()
	r := replicator.New(replicator.Config{})
	now := time.Unix(1, 0)
	r.Merge(now, table, []replicator.Row{liveRow("a", 1), liveRow("b", 2), liveRow("newer", 9)}, false)
	r.Replace(now, table, []replicator.Row{liveRow("a", 1)}, 5, false)
	require.Equal(t, []replicator.Row{liveRow("a", 1), liveRow("newer", 9)}, r.Rows(table))
	removed := tombstone("b", 5)
	removed.Replaced = 2
	require.Equal(t, []replicator.Change{{Row: removed}, {Row: liveRow("newer", 9)}}, r.ChangesAfter(now, table, 2, pageBytes).List)
}
