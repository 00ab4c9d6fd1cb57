package mapleader_test

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/meter"
	"currantledge.example/currantledge/internal/version/cataloguer"
	"currantledge.example/currantledge/internal/version/mapleader"
	"currantledge.example/currantledge/internal/version/mapswitcher"
)

// pair is a stand-in of a group of two ranks whose counts ask for another map. It takes every order.
type pair struct {
	mu    sync.Mutex
	step  identifier.Step
	held  map[string]bool
	armed map[string]bool
	// onArm is called with each order to arm a rank.
	onArm func()
	// closed makes the ranks report that their group does not work.
	closed atomic.Bool
	// size is the number of ranks; 2 if it is 0.
	size int
	// silent makes a rank answer nothing.
	silent atomic.Bool
	// faulty makes two in three reports fail.
	faulty atomic.Bool
	asked  int
	orders int
	// idle ranks serve nothing.
	idle map[string]bool
	// toldClosed is set once the leader has said that the group does not work.
	toldClosed bool
}

// countsRead is longer than the leader takes to read the counts of a group twice and to switch its map.
const countsRead = 400 * time.Millisecond

func (p *pair) fails() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked++
	return p.asked%3 != 0
}

func (p *pair) told(open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.toldClosed = p.toldClosed || !open
}

// switched tells whether both ranks were armed.
func (p *pair) switched() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.armed["0"] && p.armed["1"]
}

// taken tells whether the ranks got orders.
func (p *pair) taken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.orders > 0
}

func (p *pair) Report(_ context.Context, m mapswitcher.Member) (mapswitcher.Report, error) {
	if p.silent.Load() && m.Address == "1" || p.faulty.Load() && p.fails() {
		return mapswitcher.Report{}, errSilent
	}
	rank, err := strconv.Atoi(m.Address)
	if err != nil {
		return mapswitcher.Report{}, err
	}
	return mapswitcher.Report{Group: "g", Epoch: 1, Rank: identifier.Rank(rank), Size: max(p.size, 2), Open: !p.closed.Load()}, nil
}

func (p *pair) Counts(_ context.Context, m mapswitcher.Member) (mapswitcher.Counts, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.step++
	if p.idle[m.Address] {
		return mapswitcher.Counts{Step: p.step, Epoch: 1, Counts: []float64{5, 15, 5, 15}}, nil
	}
	return mapswitcher.Counts{Step: p.step, Epoch: 1, Counts: []float64{float64(1000 * p.step), 1, 900, 1}}, nil
}

func (p *pair) Holdings(_ context.Context, m mapswitcher.Member) (mapswitcher.Holdings, error) {
	experts := []identifier.Expert{0, 2}
	if m.Address != "0" {
		experts = []identifier.Expert{1, 3}
	}
	return mapswitcher.Holdings{Epoch: 1, Experts: [][]identifier.Expert{experts}}, nil
}

func (p *pair) Order(ctx context.Context, m mapswitcher.Member, _ mapswitcher.Epoch, o mapswitcher.Order) (mapswitcher.Status, error) {
	if _, arms := o.(mapswitcher.Arm); arms && p.onArm != nil {
		p.onArm()
	}
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders++
	if m.Upstream == "ended" {
		return mapswitcher.StatusReplaced, nil
	}
	switch o.(type) {
	case mapswitcher.Prepare:
		return mapswitcher.StatusDone, nil
	case mapswitcher.Hold:
		p.held[m.Address] = true
	case mapswitcher.Release:
		delete(p.held, m.Address)
	case mapswitcher.Arm:
		p.armed[m.Address] = true
	case mapswitcher.Disarm:
		delete(p.armed, m.Address)
	}
	return mapswitcher.StatusBegun, nil
}

var errSilent = errors.New("no answer")

// lead lets a leader look after its lease and groups until the returned function stops it.
func lead(t *testing.T, l *mapleader.Leader) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = l.RunLease(ctx) })
	running.Go(func() { _ = l.Run(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}

func newLeader(c *contest, p *pair, others ...cataloguer.Upstream) *mapleader.Leader {
	fleet := cataloguer.Fleet{
		Catalogue: cataloguer.New(cataloguer.Config{Services: []cataloguer.Service{{
			Name: "s", Engine: &cataloguer.Engine{Sets: 1, Experts: 4, Places: 3, Spare: 2},
		}}}),
		Upstreams: append([]cataloguer.Upstream{
			{ID: "a", Service: "s", Address: "0", Version: 5}, {ID: "b", Service: "s", Address: "1", Version: 6},
		}, others...),
	}
	return mapleader.New(mapleader.Config{
		Lease:        c.a,
		Engines:      p,
		Fleet:        func() cataloguer.Fleet { return fleet },
		LeaderHeard:  func() bool { return false },
		Candidate:    func() bool { return !c.bystander },
		OthersServed: func(time.Time) bool { return !c.nobodyServed },
		NobodyServed: func(time.Time) bool { return c.nobodyServed },
		GroupState:   func(_ identifier.Service, open bool) { p.told(open) },
		Log:          logger.Discard(),
		Meter:        meter.New(),
	})
}

// Guards against a group that stays held because its leader was stopped between holding and releasing it.
func TestStoppedLeaderLeavesNothingHeld(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := &pair{held: map[string]bool{}, armed: map[string]bool{}}
		var once sync.Once
		stopped := make(chan struct{})
		p.onArm = func() {
			once.Do(func() { close(stopped) })
			cancel()
		}
		l := newLeader(newContest(), p)
		var running sync.WaitGroup
		running.Go(func() { _ = l.RunLease(ctx) })
		running.Go(func() { _ = l.Run(ctx) })
		running.Wait()
		time.Sleep(time.Second)
		<-stopped
		require.Empty(t, p.held)
		require.Empty(t, p.armed)
		require.False(t, l.Leading())
	})
}

// Guards against a group that runs on its first map for as long as reports are behind, although requests show that it
// works.
func TestOpenedGroupIsBalancedAheadOfReports(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := &pair{held: map[string]bool{}, armed: map[string]bool{}}
		p.closed.Store(true)
		l := newLeader(newContest(), p)
		stop := lead(t, l)
		time.Sleep(3 * time.Second)
		require.True(t, l.Leading())
		require.False(t, p.taken())
		l.Opened("s")
		time.Sleep(countsRead)
		require.True(t, p.taken())
		stop()
	})
}

// Guards against a fleet of which every gateway asks the platform for a free lease.
func TestBystanderLeavesTheLeaseAlone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newContest()
		c.bystander = true
		ctx, cancel := context.WithCancel(t.Context())
		l := newLeader(c, &pair{held: map[string]bool{}, armed: map[string]bool{}})
		var running sync.WaitGroup
		running.Go(func() { _ = l.RunLease(ctx) })
		time.Sleep(3 * time.Second)
		require.False(t, l.Leading())
		require.Zero(t, c.store.calls)
		cancel()
		running.Wait()
	})
}

// Guards against a group that keeps its first map because the entry of a rank that has ended is still listed: the
// successor answers reports at the same address, but rejects orders for the other.
func TestEndedRankIsLeftOut(t *testing.T) {
	t.Parallel()
	for _, version := range []uint64{1, 9} {
		synctest.Test(t, func(t *testing.T) {
			p := &pair{held: map[string]bool{}, armed: map[string]bool{}}
			l := newLeader(newContest(), p, cataloguer.Upstream{ID: "ended", Service: "s", Address: "1", Version: version})
			stop := lead(t, l)
			time.Sleep(3 * time.Second)
			require.True(t, p.switched())
			stop()
		})
	}
}

// Guards against a leader that calls a group closed because one rank did not answer it: gateways would refuse requests.
func TestSilentRankDoesNotCloseTheGroup(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := &pair{held: map[string]bool{}, armed: map[string]bool{}}
		p.silent.Store(true)
		l := newLeader(newContest(), p)
		stop := lead(t, l)
		time.Sleep(3 * time.Second)
		require.True(t, l.Leading())
		stop()
		require.False(t, p.toldClosed)
	})
}

// Guards against a group without a leader's care for as long as some of its ranks fail a part of their calls.
func TestFaultyRanksAreAskedAgain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := &pair{held: map[string]bool{}, armed: map[string]bool{}}
		p.faulty.Store(true)
		l := newLeader(newContest(), p)
		stop := lead(t, l)
		time.Sleep(2 * time.Second)
		require.True(t, p.switched())
		stop()
	})
}

// Guards against maps that stand still while the failure domain of the ranks whose counts are read is out.
func TestIdleRanksAreNotSampled(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := &pair{held: map[string]bool{}, armed: map[string]bool{}, size: 4, idle: map[string]bool{"0": true, "1": true}}
		l := newLeader(newContest(), p,
			cataloguer.Upstream{ID: "c", Service: "s", Address: "2", Version: 7},
			cataloguer.Upstream{ID: "d", Service: "s", Address: "3", Version: 8})
		stop := lead(t, l)
		time.Sleep(4 * time.Second)
		require.True(t, p.switched())
		stop()
	})
}
