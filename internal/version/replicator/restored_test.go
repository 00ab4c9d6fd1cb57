package replicator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantledge.example/currantledge/internal/version/replicator"
)

// The values of rows in these tests: the first byte is the generation, the second is 1 if the content is final.
func precedence(_ replicator.Table, row replicator.Row) replicator.Precedence {
	if len(row.Value) < 2 {
		return replicator.Precedence{}
	}
	return replicator.Precedence{Generation: uint64(row.Value[0]), Final: row.Value[1] == 1}
}

func newRestorable() *replicator.Replicator {
	return replicator.New(replicator.Config{Precedence: precedence})
}

func rowOf(key string, era replicator.Era, counter uint64, value ...byte) replicator.Row {
	return replicator.Row{Key: key, Value: value, Version: replicator.NewVersion(era, counter)}
}

func tombstoneOf(key string, era replicator.Era, counter uint64) replicator.Row {
	return replicator.Row{Key: key, Version: replicator.NewVersion(era, counter), Deleted: true}
}

// Guards against an upstream that has announced its end or has left, a configuration, or a start that is forgotten because
// the store was restored from a copy of before.
func TestRestoredRowsDoNotUndoWhatIsKnown(t *testing.T) {
	t.Parallel()
	now := time.Unix(1, 0)
	for name, tt := range map[string]struct {
		known, restored, written []replicator.Row
		wantRestored, want       []replicator.Row
	}{
		"newer configuration": {
			known:        []replicator.Row{rowOf("k", 1, 40, 7, 0), rowOf("k", 1, 60, 9, 0)},
			restored:     []replicator.Row{rowOf("k", 2, 40, 7, 0)},
			wantRestored: []replicator.Row{rowOf("k", 1, 60, 9, 0)},
			written:      []replicator.Row{rowOf("k", 2, 52, 11, 0)},
			want:         []replicator.Row{rowOf("k", 2, 52, 11, 0)},
		},
		"announced end": {
			known:        []replicator.Row{rowOf("k", 1, 40, 7, 0), rowOf("k", 1, 60, 7, 1)},
			restored:     []replicator.Row{rowOf("k", 2, 40, 7, 0)},
			wantRestored: []replicator.Row{rowOf("k", 1, 60, 7, 1)},
			written:      []replicator.Row{rowOf("k", 2, 52, 7, 1)},
			want:         []replicator.Row{rowOf("k", 2, 52, 7, 1)},
		},
		"gone": {
			known:        []replicator.Row{rowOf("k", 1, 40, 7, 0), tombstoneOf("k", 1, 60)},
			restored:     []replicator.Row{rowOf("k", 2, 40, 7, 0)},
			wantRestored: nil,
			written:      []replicator.Row{tombstoneOf("k", 2, 52)},
			want:         nil,
		},
		"gone, then registered again": {
			known:        []replicator.Row{rowOf("k", 1, 40, 7, 0), tombstoneOf("k", 1, 60)},
			restored:     []replicator.Row{rowOf("k", 2, 40, 7, 0)},
			wantRestored: nil,
			written:      []replicator.Row{rowOf("k", 2, 52, 7, 0)},
			want:         []replicator.Row{rowOf("k", 2, 52, 7, 0)},
		},
		"started again": {
			known:        []replicator.Row{rowOf("k", 1, 60, 8, 0)},
			restored:     []replicator.Row{rowOf("k", 2, 40, 7, 1)},
			wantRestored: []replicator.Row{rowOf("k", 1, 60, 8, 0)},
			written:      []replicator.Row{rowOf("k", 2, 52, 8, 0)},
			want:         []replicator.Row{rowOf("k", 2, 52, 8, 0)},
		},
		"written again before the read": {
			known:        []replicator.Row{rowOf("k", 1, 60, 7, 0)},
			restored:     []replicator.Row{rowOf("k", 2, 52, 8, 0)},
			wantRestored: []replicator.Row{rowOf("k", 2, 52, 8, 0)},
			want:         []replicator.Row{rowOf("k", 2, 52, 8, 0)},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRestorable()
			r.Replace(now, table, tt.known[:1], tt.known[0].Version, false)
			r.Merge(now, table, tt.known[1:], false)
			r.Replace(now, table, tt.restored, replicator.NewVersion(2, 50), true)
			require.Equal(t, tt.wantRestored, r.Rows(table))
			r.ApplyDeferred(now.Add(3 * time.Second))
			require.Equal(t, tt.wantRestored, r.Rows(table))
			late := newRestorable()
			late.Merge(now, table, tt.restored, false)
			late.MergeChanges(now, table, r.ChangesAfter(now, table, 0, pageBytes), false)
			require.Equal(t, tt.wantRestored, late.Rows(table), "a gateway that has started later")
			for _, copied := range []*replicator.Replicator{r, late} {
				copied.Merge(now, table, tt.written, false)
				require.Equal(t, tt.want, copied.Rows(table))
				require.Empty(t, copied.Retained(table))
			}
		})
	}
}

// Guards against retained rows that are used for ever because nobody writes them again.
func TestRetainedRowsExpire(t *testing.T) {
	t.Parallel()
	now := time.Unix(1, 0)
	r := newRestorable()
	r.Merge(now, table, []replicator.Row{rowOf("k", 1, 60, 9, 0)}, false)
	r.Merge(now, table, []replicator.Row{rowOf("k", 2, 40, 7, 0)}, false)
	r.ApplyDeferred(now.Add(29 * time.Second))
	require.Len(t, r.Retained(table), 1)
	r.ApplyDeferred(now.Add(31 * time.Second))
	require.Empty(t, r.Retained(table))
	require.Equal(t, []replicator.Row{rowOf("k", 2, 40, 7, 0)}, r.Rows(table))
	r.Merge(now.Add(31*time.Second), table, []replicator.Row{rowOf("k", 1, 60, 9, 0)}, false)
	require.Equal(t, []replicator.Row{rowOf("k", 2, 40, 7, 0)}, r.Rows(table))
}

// Guards against rows that vanish between the restoration and the time at which they are written again, also if the store
// was away too briefly for an outage.
func TestRowsThatTheRestorationLostAreKeptForTheGracePeriod(t *testing.T) {
	t.Parallel()
	now := time.Unix(1, 0)
	r := newRestorable()
	r.Replace(now, table, []replicator.Row{rowOf("old", 1, 40, 1, 0)}, replicator.NewVersion(1, 40), false)
	r.Merge(now, table, []replicator.Row{rowOf("lost", 1, 60, 1, 0), rowOf("lost for good", 1, 61, 1, 0)}, false)
	r.Replace(now, table, []replicator.Row{rowOf("old", 2, 40, 1, 0)}, replicator.NewVersion(2, 50), false)
	require.Len(t, r.Rows(table), 3)
	r.Merge(now.Add(time.Second), table, []replicator.Row{rowOf("lost", 2, 51, 1, 0)}, false)
	r.ApplyDeferred(now.Add(3 * time.Second))
	require.Equal(t, []replicator.Row{rowOf("lost", 2, 51, 1, 0), rowOf("old", 2, 40, 1, 0)}, r.Rows(table))
}

// Guards against copies that differ because rows of several eras arrive in another order.
func TestOrderOfArrivalAcrossErasDoesNotMatter(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var history []replicator.Row
		counter := uint64(0)
		for era := replicator.Era(1); era <= 2; era++ {
			for range rapid.IntRange(1, 8).Draw(t, "changes") {
				counter++
				history = append(history, rowOf(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"), era, counter,
					rapid.Byte().Draw(t, "generation")%4, 0))
			}
			counter = rapid.Uint64Range(0, counter).Draw(t, "copy")
		}
		now := time.Unix(1, 0)
		// The writers' generations only rise within an era.
		highest := map[string]byte{}
		for i, row := range history {
			id := row.Key + string(rune(replicator.EraOf(row.Version)))
			highest[id] = max(highest[id], row.Value[0])
			history[i].Value = []byte{highest[id], 0}
		}
		inOrder, shuffled := newRestorable(), newRestorable()
		inOrder.Merge(now, table, history, false)
		for _, row := range rapid.Permutation(append(history, history...)).Draw(t, "arrival") {
			shuffled.Merge(now, table, []replicator.Row{row}, false)
		}
		require.Equal(t, inOrder.Rows(table), shuffled.Rows(table))
		require.Equal(t, inOrder.Version(table), shuffled.Version(table))
	})
}
