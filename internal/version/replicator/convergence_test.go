package replicator_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantledge.example/currantledge/internal/version/replicator"
)

// grace is longer than deletions are deferred and rows of an earlier era are retained.
const grace = 40 * time.Second

// storeTable is a table of the platform's store with its history.
type storeTable struct {
	era     replicator.Era
	counter uint64
	rows    map[string]replicator.Row
	history []replicator.Row
	// saved is the copy from which the store may be restored.
	saved *storeTable
}

// version returns the version of the latest change.
func (s *storeTable) version() uint64 {
	return replicator.NewVersion(s.era, s.counter)
}

// save makes the copy.
func (s *storeTable) save() {
	s.saved = &storeTable{counter: s.counter, rows: maps.Clone(s.rows)}
}

// restore restores the store from the copy. It gives out the versions since then again, in a new era.
func (s *storeTable) restore() {
	if s.saved == nil {
		return
	}
	s.era++
	s.counter, s.rows, s.history = s.saved.counter, map[string]replicator.Row{}, nil
	for key, row := range s.saved.rows {
		row.Version = replicator.NewVersion(s.era, replicator.CounterOf(row.Version))
		s.rows[key] = row
	}
}

func (s *storeTable) write(key string) {
	s.counter++
	s.rows[key] = liveRow(key, s.version())
	s.history = append(s.history, s.rows[key])
}

func (s *storeTable) remove(key string) {
	if _, found := s.rows[key]; !found {
		return
	}
	s.counter++
	delete(s.rows, key)
	s.history = append(s.history, tombstone(key, s.version()))
}

func (s *storeTable) list() []replicator.Row {
	var out []replicator.Row
	for _, row := range s.rows {
		out = append(out, row)
	}
	return out
}

// copies are the copies of one table in several gateways. The first followers of them follow the store, from the version in
// followed on.
type copies struct {
	store    *storeTable
	all      []*replicator.Replicator
	followed []uint64
	now      time.Time
}

const followers = 2

func newCopies(n int) *copies {
	c := &copies{store: &storeTable{rows: map[string]replicator.Row{}}, now: time.Unix(1000, 0), followed: make([]uint64, followers)}
	for range n {
		c.all = append(c.all, replicator.New(replicator.Config{}))
	}
	return c
}

// follow makes a follower fetch the changes of the store, or the whole table if the store was restored.
func (c *copies) follow(i int) {
	if replicator.EraOf(c.followed[i]) != c.store.era {
		c.read(i)
		return
	}
	rows := slices.DeleteFunc(slices.Clone(c.store.history), func(row replicator.Row) bool { return row.Version <= c.followed[i] })
	c.all[i].Merge(c.now, table, rows, true)
	c.followed[i] = c.store.version()
}

// read makes a follower read the whole table, as after a start or a loss of the history.
func (c *copies) read(i int) {
	c.all[i].Replace(c.now, table, c.store.list(), c.store.version(), true)
	c.followed[i] = c.store.version()
}

// pull makes a copy fetch one page of changes from another one that has a higher version.
func (c *copies) pull(to, from, maxBytes int) {
	own := c.all[to].Version(table)
	if c.all[from].Version(table) > own {
		c.all[to].MergeChanges(c.now, table, c.all[from].ChangesAfter(c.now, table, own, maxBytes), true)
	}
}

func (c *copies) pass(d time.Duration) {
	c.now = c.now.Add(d)
	for _, r := range c.all {
		r.ApplyDeferred(c.now)
	}
}

// settle exchanges changes until nothing is left to exchange and no deletion is deferred.
func (c *copies) settle() {
	for range 2 {
		for i := range followers {
			c.follow(i)
		}
		for range 20 {
			for to := range c.all {
				for from := range c.all {
					c.pull(to, from, pageBytes)
				}
			}
		}
		c.pass(grace)
	}
}

// Guards against copies that differ for good, whatever arrives where and in whatever order: after outages that one
// follower notices and another one does not, with gateways that start meanwhile, full reads, responses in pages and
// restorations of the store.
func TestCopiesConvergeAfterTheLastDeferral(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		c := newCopies(5)
		key := func() string { return rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key") }
		copyIndex := rapid.IntRange(0, len(c.all)-1)
		follower := rapid.IntRange(0, followers-1)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0, 1:
				c.store.write(key())
			case 2, 3:
				c.store.remove(key())
			case 4:
				c.follow(follower.Draw(t, "follower"))
			case 5:
				c.all[follower.Draw(t, "follower")].PlatformRecovered(c.now)
			case 6:
				c.read(follower.Draw(t, "follower"))
			case 7:
				i := copyIndex.Draw(t, "restarted")
				c.all[i] = replicator.New(replicator.Config{})
				if i < followers {
					c.read(i)
				}
			case 8:
				c.pull(copyIndex.Draw(t, "to"), copyIndex.Draw(t, "from"), rapid.SampledFrom([]int{1, 60, pageBytes}).Draw(t, "page"))
			case 9:
				c.store.save()
			case 10:
				c.store.restore()
			case 11:
				c.pass(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			}
		}
		c.settle()
		want := c.store.list()
		for i, r := range c.all {
			require.ElementsMatch(t, want, r.Rows(table), "copy %d", i)
		}
	})
}

// Guards against gateways that keep an upstream that left soon after an outage, since another row was written before its
// deletion took effect at the gateway that follows the store (review/4).
func TestDeferredDeletionReachesCopiesThatPull(t *testing.T) {
	t.Parallel()
	c := newCopies(3)
	c.store.write("leaving")
	c.settle()
	c.all[0].PlatformRecovered(c.now)
	c.store.remove("leaving")
	c.store.write("new")
	c.follow(0)
	c.pull(2, 0, pageBytes)
	require.Len(t, c.all[2].Rows(table), 2, "the deletion waits")
	c.pass(time.Second)
	c.store.write("newer")
	c.follow(0)
	c.pull(2, 0, pageBytes)
	c.pass(1500 * time.Millisecond)
	for _, i := range []int{0, 2} {
		require.ElementsMatch(t, c.store.list(), c.all[i].Rows(table), "copy %d", i)
	}
}

// Guards against a copy that keeps a row because it got the first page of changes from a copy that knows only that the row
// is gone, not since when, and the rest from another one.
func TestFirstPageHoldsDeferredDeletions(t *testing.T) {
	t.Parallel()
	c := newCopies(3)
	c.store.write("leaving")
	c.follow(0)
	c.follow(1)
	c.all[1].PlatformRecovered(c.now)
	c.store.remove("leaving")
	c.store.write("b")
	c.store.write("a")
	c.read(1)
	c.follow(0)
	c.pull(2, 1, 60)
	require.Less(t, c.all[2].Version(table), c.store.version())
	c.pull(2, 0, pageBytes)
	c.pass(grace)
	require.ElementsMatch(t, c.store.list(), c.all[2].Rows(table))
}

// Guards against copies that keep a row whose tombstone their source has trimmed or never had.
func TestDeletionsWithoutATombstoneArrive(t *testing.T) {
	t.Parallel()
	for _, restarted := range []bool{false, true} {
		c := newCopies(3)
		c.store.write("leaving")
		c.settle()
		c.store.remove("leaving")
		for i := range 3000 {
			c.store.write(fmt.Sprint(i))
			c.store.remove(fmt.Sprint(i))
		}
		c.store.write("new")
		if restarted {
			c.all[0] = replicator.New(replicator.Config{})
			c.read(0)
		} else {
			c.follow(0)
		}
		for c.all[2].Version(table) < c.all[0].Version(table) {
			c.pull(2, 0, 10000)
		}
		require.Equal(t, c.store.list(), c.all[2].Rows(table))
	}
}
