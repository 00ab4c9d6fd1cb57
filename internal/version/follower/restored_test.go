package follower_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/meter"
	"currantledge.example/currantledge/internal/standin/storeserver"
	"currantledge.example/currantledge/internal/version/cataloguer"
	"currantledge.example/currantledge/internal/version/follower"
	"currantledge.example/currantledge/internal/version/replicator"
	"currantledge.example/currantledge/platform"
)

const (
	// applyTime is how long after its acknowledgement a configuration has to be in force.
	applyTime = 2 * time.Second
	// pullInterval is the time between two pulls of a gateway that does not follow the store.
	pullInterval = 200 * time.Millisecond
)

// direct is a transport that calls a handler without a network. While it is cut, calls fail.
type direct struct {
	handler http.Handler
	mu      sync.Mutex
	isCut   bool
}

func (d *direct) cut(isCut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isCut = isCut
}

func (d *direct) RoundTrip(r *http.Request) (*http.Response, error) {
	d.mu.Lock()
	isCut := d.isCut
	d.mu.Unlock()
	if isCut {
		return nil, http.ErrServerClosed
	}
	recorder := httptest.NewRecorder()
	d.handler.ServeHTTP(recorder, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// copyHolder is what a gateway has of the store: its copies of the tables and the configuration in force.
type copyHolder struct {
	replicator *replicator.Replicator
	transport  *direct
	catalogue  *cataloguer.Catalogue
	disprovals int
}

// fleet decodes the copies as a gateway does.
func (h *copyHolder) fleet() cataloguer.Fleet {
	if n := h.replicator.Disprovals(); n != h.disprovals {
		h.catalogue, h.disprovals = nil, n
	}
	fleet, _ := platform.DecodeFleet(h.replicator.Rows(platform.OperatorTable), h.replicator.Rows(platform.UpstreamTable), h.catalogue)
	h.catalogue = fleet.Catalogue
	return fleet
}

// configVersion returns the version of the configuration in force; 0 without one.
func (h *copyHolder) configVersion() int {
	if c := h.fleet().Catalogue; c != nil {
		return int(c.Version())
	}
	return 0
}

// holders are gateways that share a store. The first follow it; the others pull from the first one.
type holders struct {
	store   *storeserver.Server
	all     []*copyHolder
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func startHolders(t *testing.T, following, pulling int) *holders {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	h := &holders{store: storeserver.New(), cancel: cancel}
	for i := range following + pulling {
		h.start(ctx, i < following)
	}
	return h
}

func (h *holders) start(ctx context.Context, follows bool) {
	holder := &copyHolder{replicator: replicator.New(replicator.Config{Precedence: platform.RowPrecedence}), transport: &direct{handler: h.store}}
	h.all = append(h.all, holder)
	store := platform.NewStoreWithTransport("store", holder.transport)
	for _, table := range []replicator.Table{platform.OperatorTable, platform.UpstreamTable} {
		f := follower.New(follower.Config{
			Store: store, Replicator: holder.replicator, Table: table, DeferDeletions: table == platform.UpstreamTable,
			ShouldFollow: func() bool { return follows }, Log: logger.Discard(), Meter: meter.New(),
		})
		h.running.Go(func() { _ = f.Run(ctx) })
	}
	h.running.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(pullInterval)
			holder.replicator.ApplyDeferred(time.Now())
			if !follows {
				holder.pull(h.all[0])
			}
		}
	})
}

// pull merges the rows of another gateway that has a higher version of a table.
func (h *copyHolder) pull(from *copyHolder) {
	for _, table := range []replicator.Table{platform.OperatorTable, platform.UpstreamTable} {
		own := h.replicator.Version(table)
		if from.replicator.Version(table) > own {
			h.replicator.MergeChanges(time.Now(), table, from.replicator.ChangesAfter(time.Now(), table, own, 256<<10), table == platform.UpstreamTable)
		}
	}
}

func (h *holders) stop() {
	h.cancel()
	h.running.Wait()
}

func (h *holders) configure(version int) {
	h.store.Put("op", "config", fmt.Sprintf(`{"version":%d}`, version))
}

// writeOthers writes rows of a table that is not followed.
func (h *holders) writeOthers(n int) {
	for range n {
		h.store.Put("leases", "maps", "{}")
	}
}

// Guards against changes that take effect late, or are undone, after the store has come back from a copy.
func TestChangesTakeEffectAfterStoreWasRestored(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) { playRestorations(t, seed) })
	}
}

// playRestorations restores the store once or twice, with a random age of the copy, rate of other writes, and time until
// the next change. A gateway may be cut off from the store meanwhile.
func playRestorations(t *testing.T, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	h := startHolders(t, 2, 1)
	defer h.stop()
	between := func(low, high int) time.Duration {
		return time.Duration(low+random.IntN(high-low)) * time.Millisecond
	}
	version, inForce := 1, make([]int, len(h.all))
	h.configure(version)
	time.Sleep(time.Second)
	check := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for i, holder := range h.all {
				now := holder.configVersion()
				require.GreaterOrEqual(t, now, inForce[i], "seed %d, gateway %d", seed, i)
				inForce[i] = now
			}
		}
	}
	for range 1 + random.IntN(2) {
		backup := h.store.Copy()
		for range 1 + random.IntN(3) {
			h.writeOthers(random.IntN(15))
			version += 1 + random.IntN(3)
			h.configure(version)
			check(between(50, 900))
		}
		h.writeOthers(random.IntN(15))
		isCut := random.IntN(2) == 0
		h.all[1].transport.cut(isCut)
		h.store.SetDown(true)
		check(between(10, 3000))
		h.store.Restore(backup)
		h.configure(version)
		h.store.SetDown(false)
		check(between(1, 5000))
		h.writeOthers(random.IntN(10))
		h.all[1].transport.cut(false)
		for range 1 + random.IntN(3) {
			version += 1 + random.IntN(3)
			h.configure(version)
			check(applyTime)
			for i := range h.all {
				require.Equal(t, version, inForce[i], "seed %d, gateway %d", seed, i)
			}
		}
	}
}

// Guards against a peer that shuts out the store's rows by an era which the store does not have, and against one that keeps
// a true era from being taken by doing so.
func TestFalseEraOfPeerIsRemoved(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h := startHolders(t, 1, 1)
		defer h.stop()
		h.configure(3)
		time.Sleep(time.Second)
		follows, pulls := h.all[0], h.all[1]
		poison := func(era replicator.Era) {
			row := replicator.Row{Key: "config", Value: []byte(`{"version":99}`), Version: replicator.NewVersion(era, 5)}
			for _, holder := range h.all {
				holder.replicator.MergeChanges(time.Now(), platform.OperatorTable, replicator.Changes{
					List: []replicator.Change{{Row: row}}, Version: row.Version,
				}, false)
			}
		}
		poison(7)
		require.Equal(t, 99, pulls.configVersion())
		time.Sleep(time.Second)
		require.Equal(t, 3, follows.configVersion())
		require.Equal(t, 3, pulls.configVersion())
		for range 40 {
			poison(7)
			time.Sleep(100 * time.Millisecond)
		}
		h.store.Restore(h.store.Copy())
		h.configure(4)
		for range 20 {
			poison(7)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		require.Equal(t, 4, follows.configVersion())
		require.Equal(t, 4, pulls.configVersion())
	})
}
