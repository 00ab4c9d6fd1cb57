package configurer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/configurer"
	"currantledge.example/currantledge/internal/version/declarer"
)

// writer returns a writer that retries without delay.
func writer(table configurer.Table, store *configurer.Store) *configurer.Writer {
	return configurer.NewWriter(configurer.WriterConfig{
		Table: table, Store: store, MaxAttempts: 200,
		Backoff: func(ctx context.Context, _ int) error { return ctx.Err() },
	})
}

func customer(name string, maxWaiting int) declarer.Customer {
	return declarer.Customer{Name: identifier.Customer(name), Share: 1, MaxWaiting: maxWaiting}
}

// load returns the configuration that the table holds.
func load(t require.TestingT, table configurer.Table) *configurer.Snapshot {
	store := configurer.New()
	changes, err := writer(table, store).Load(context.Background(), 0)
	require.NoError(t, err)
	_, err = store.Adopt(changes)
	require.NoError(t, err)
	return store.Snapshot()
}

// Guards against a write that ignores its precondition, and against a conflict error without the current revision.
func TestWriterMatch(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	store := configurer.New()
	w := writer(newTable(1), store)

	_, err := w.Put(ctx, customer("c", 1), configurer.MatchPresent())
	require.ErrorContains(t, err, "customers/c does not exist")
	first, err := w.Put(ctx, customer("c", 1), configurer.MatchRevision(0))
	require.NoError(t, err)
	require.EqualValues(t, 1, first)
	_, err = w.Put(ctx, customer("other", 1), configurer.MatchAny())
	require.NoError(t, err)
	third, err := w.Put(ctx, customer("c", 2), configurer.MatchRevision(first))
	require.NoError(t, err)
	require.EqualValues(t, 3, third)

	var conflict *configurer.ConflictError
	_, err = w.Put(ctx, customer("c", 3), configurer.MatchRevision(first))
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, third, conflict.Current)
	_, err = w.Delete(ctx, declarer.KindCustomers, "c", configurer.MatchRevision(first))
	require.ErrorAs(t, err, &conflict)
	same, err := w.Put(ctx, customer("c", 2), configurer.MatchAny())
	require.NoError(t, err)
	require.Equal(t, third, same)

	fourth, err := w.Delete(ctx, declarer.KindCustomers, "c", configurer.MatchRevision(third))
	require.NoError(t, err)
	require.EqualValues(t, 4, fourth)
	var notFound *configurer.NotFoundError
	_, err = w.Delete(ctx, declarer.KindCustomers, "c", configurer.MatchAny())
	require.ErrorAs(t, err, &notFound)
	require.EqualValues(t, 4, store.Snapshot().Revision)
	require.Len(t, store.Snapshot().Customers, 1)
}

// Guards against a change that leaves a dangling reference, and against one key for two customers.
func TestWriterRefusesBrokenReferences(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	w := writer(newTable(1), configurer.New())
	group := declarer.ModelGroup{
		Name: "g", Models: []declarer.Model{{Name: "m", Version: "1"}}, FailureDomains: []identifier.FailureDomain{"d"},
		Ranks: 1, Experts: 1, ExpertBytes: 1,
	}
	_, err := w.Put(ctx, group, configurer.MatchAny())
	require.ErrorContains(t, err, "modelGroups/g failureDomains has the value d")
	_, err = w.Put(ctx, declarer.FailureDomain{Name: "d", Region: "r", State: declarer.DomainIn}, configurer.MatchAny())
	require.NoError(t, err)
	_, err = w.Put(ctx, group, configurer.MatchAny())
	require.NoError(t, err)
	_, err = w.Delete(ctx, declarer.KindFailureDomains, "d", configurer.MatchAny())
	var invalid *declarer.InvalidError
	require.ErrorAs(t, err, &invalid)

	first, second := customer("c1", 1), customer("c2", 1)
	first.KeyDigests = []identifier.Digest{"aa0000000000000000000000000000000000000000000000000000000000000a"}
	second.KeyDigests = first.KeyDigests
	_, err = w.Put(ctx, first, configurer.MatchAny())
	require.NoError(t, err)
	_, err = w.Put(ctx, second, configurer.MatchAny())
	require.ErrorContains(t, err, "another customer has this key")
	require.NotContains(t, err.Error(), "c1")
}

// Guards against a change that is written twice or reported as failed because the response to the first attempt was lost
// or the table applied it late.
func TestWriterResolvesLostResponses(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(*fakeTable){
		"response lost":       func(f *fakeTable) { f.loseResponse = 100 },
		"request lost":        func(f *fakeTable) { f.loseRequest = 100 },
		"applied late":        func(f *fakeTable) { f.delayWrite = 100 },
		"stale response lost": func(f *fakeTable) { f.loseResponse, f.staleRead = 100, 60 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			table := newTable(2)
			w := writer(table, configurer.New())
			_, err := w.Put(context.Background(), customer("c", 1), configurer.MatchAny())
			require.NoError(t, err)
			table.locked(func() { fault(table) })
			calls := 0
			table.onTransact = func() {
				calls++
				if calls > 1 {
					table.locked(func() { table.loseResponse, table.loseRequest, table.delayWrite = 0, 0, 0 })
				}
			}
			revision, err := w.Put(context.Background(), customer("c", 2), configurer.MatchAny())
			require.NoError(t, err)
			require.EqualValues(t, 2, revision)
			table.locked(func() { table.staleRead = 0 })
			head, err := w.Head(context.Background())
			require.NoError(t, err)
			require.EqualValues(t, 2, head)
		})
	}
}

// Guards against a write with a lost response that is reported as failed, and against a failed write that is reported as
// unresolved.
func TestWriterReportsOutage(t *testing.T) {
	t.Parallel()
	table := newTable(3)
	store := configurer.New()
	w := writer(table, store)
	ctx, cancel := context.WithCancel(context.Background())
	table.loseResponse = 100
	table.onTransact = cancel
	var unresolved *configurer.UnresolvedError
	_, err := w.Put(ctx, customer("c", 1), configurer.MatchAny())
	require.ErrorAs(t, err, &unresolved)
	require.Zero(t, store.Snapshot().Revision)

	table.onTransact = nil
	table.locked(func() { table.down = true })
	var unavailable *configurer.UnavailableError
	_, err = w.Put(context.Background(), customer("c", 2), configurer.MatchAny())
	require.ErrorAs(t, err, &unavailable)
	require.False(t, unavailable.MayHaveApplied)
	_, err = w.Load(context.Background(), 0)
	require.ErrorAs(t, err, &unavailable)
}

// Guards against a full scan that mixes revisions because of stale reads, and against a change log in the table that
// grows without bound.
func TestWriterLoad(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	table := newTable(4)
	w := writer(table, configurer.New())
	const writes = 1100
	for i := 1; i <= writes; i++ {
		_, err := w.Put(ctx, customer(fmt.Sprintf("c%d", i%700), i), configurer.MatchAny())
		require.NoError(t, err)
	}
	rows, err := table.Scan(ctx, "config/log/", "", 2*writes)
	require.NoError(t, err)
	require.Len(t, rows, 1024)

	changes, err := w.Load(ctx, writes-1024)
	require.NoError(t, err)
	require.False(t, changes.Full)
	require.Len(t, changes.Changes, 1024)

	// A stale scan lacks one of the 700 customers.
	table.staleRead = 50
	table.staleRows = map[string]configurer.Row{}
	for key, row := range table.rows {
		table.staleRows[key] = row
	}
	delete(table.staleRows, "config/resource/customers/c5")
	for range 10 {
		changes, err = w.Load(ctx, writes-1025)
		require.NoError(t, err)
		require.True(t, changes.Full)
		require.Len(t, changes.Changes, 700)
		require.EqualValues(t, writes, changes.Revision)
	}
	changes, err = w.Load(ctx, writes)
	require.NoError(t, err)
	require.Empty(t, changes.Changes)

	// Every scan of the log has a gap at the revision before the newest one.
	table.staleRead = 100
	delete(table.staleRows, fmt.Sprintf("config/log/%020d", writes-1))
	changes, err = w.Load(ctx, writes-3)
	require.NoError(t, err)
	require.EqualValues(t, writes-2, changes.Revision)
	require.Len(t, changes.Changes, 1)
}

// writeResult is the result of one operator's write. The number is unique and becomes the MaxWaiting of the customer, so
// that the occurrences of the write in the log can be counted.
type writeResult struct {
	number   int
	revision identifier.Revision
	err      error
}

// Guards against two changes with the same revision, a change that is lost or applied twice, and a store whose revision
// decreases, while operators write concurrently to a table that loses requests and responses, delays writes and returns
// stale rows.
func TestWriterConcurrentOperators(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		table := newTable(rapid.Uint64().Draw(t, "seed"))
		table.loseResponse = rapid.IntRange(0, 30).Draw(t, "loseResponse")
		table.loseRequest = rapid.IntRange(0, 30).Draw(t, "loseRequest")
		table.delayWrite = rapid.IntRange(0, 30).Draw(t, "delayWrite")
		table.staleRead = rapid.IntRange(0, 50).Draw(t, "staleRead")
		operators := rapid.IntRange(2, 4).Draw(t, "operators")
		perOperator := rapid.IntRange(1, 5).Draw(t, "writes")

		results := make([]writeResult, operators*perOperator)
		var group sync.WaitGroup
		for o := range operators {
			group.Go(func() {
				store := configurer.New()
				w := writer(table, store)
				var last identifier.Revision
				for i := range perOperator {
					number := o*perOperator + i + 1
					revision, err := w.Put(context.Background(), customer(fmt.Sprintf("c%d", number%2), number), configurer.MatchAny())
					results[number-1] = writeResult{number, revision, err}
					if current := store.Snapshot().Revision; current < last {
						results[number-1].err = fmt.Errorf("the revision of the store decreased from %d to %d", last, current)
					}
					last = store.Snapshot().Revision
				}
			})
		}
		group.Wait()
		table.loseResponse, table.loseRequest, table.delayWrite, table.staleRead = 0, 0, 0, 0
		checkHistory(t, table, results)
	})
}

// checkHistory verifies that the table's log and resources have each write exactly once.
func checkHistory(t require.TestingT, table *fakeTable, results []writeResult) {
	changes, err := writer(table, configurer.New()).Load(context.Background(), 0)
	require.NoError(t, err)
	written := map[int][]identifier.Revision{}
	for i, c := range changes.Changes {
		require.EqualValues(t, i+1, c.Revision)
		r, err := declarer.Decode(declarer.KindCustomers, "log", c.Value)
		require.NoError(t, err)
		number := r.(declarer.Customer).MaxWaiting
		written[number] = append(written[number], c.Revision)
	}
	for _, r := range results {
		require.NoError(t, r.err)
		require.Equal(t, []identifier.Revision{r.revision}, written[r.number])
	}
	final := load(t, table)
	for _, c := range final.Customers {
		_, revision, _ := final.Resource(declarer.KindCustomers, string(c.Name))
		require.Equal(t, []identifier.Revision{revision}, written[c.MaxWaiting])
	}
	rows, err := table.Scan(context.Background(), "config/resource/", "", 100)
	require.NoError(t, err)
	require.Len(t, rows, len(final.Customers))
}

// Guards against a store that skips a change because several writes of its process are concurrent.
func TestWriterSharedStore(t *testing.T) {
	t.Parallel()
	table := newTable(5)
	store := configurer.New()
	w := writer(table, store)
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			_, err := w.Put(context.Background(), customer(fmt.Sprintf("c%d", i), 1), configurer.MatchAny())
			if err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	require.EqualValues(t, 8, store.Snapshot().Revision)
	require.Equal(t, messenger.Changes{Revision: 8}, store.After(8))
}
