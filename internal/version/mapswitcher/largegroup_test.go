package mapswitcher_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/mapswitcher"
	"currantledge.example/currantledge/internal/version/rebalancer"
)

const (
	largeRanks   = 192
	largeSets    = 10
	largeExperts = 384
	largePlaces  = 3
	// passTime is how long a pass takes while no rank loads experts.
	passTime = 110 * time.Millisecond
	// expertLoadTime is how long a rank takes to load one expert.
	expertLoadTime = 2600 * time.Microsecond
	// linkSpeed is that of the leader's network link, which takes mapSendTime to send the map to one rank.
	linkSpeed   = identifier.Mbps(200)
	mapSendTime = time.Millisecond
)

// largeGroup is a fake of a group of 192 ranks on the other end of the leader's network link.
type largeGroup struct {
	mu   sync.Mutex
	step identifier.Step
	// linkFreeAt is when the link has sent all orders to prepare.
	linkFreeAt time.Time
	// loadedAt is when each rank has loaded the map that is prepared, and prepares counts the orders to prepare.
	loadedAt map[string]time.Time
	prepares map[string]int
	armed    map[string]identifier.Step
	held     *identifier.Step
	// switchedAt is when all ranks began to use the new map.
	switchedAt time.Time
	// slowPasses counts the passes that begin while a rank loads experts, which makes them longer.
	slowPasses int
	// next is closed, and replaced, when a pass begins.
	next chan struct{}
}

func newLargeGroup() *largeGroup {
	return &largeGroup{
		loadedAt: map[string]time.Time{}, prepares: map[string]int{}, armed: map[string]identifier.Step{}, next: make(chan struct{}),
	}
}

// run makes the group run passes until the context ends.
func (g *largeGroup) run(ctx context.Context) {
	for ctx.Err() == nil {
		g.mu.Lock()
		isHeld := g.held != nil && *g.held == g.step+1
		if !isHeld {
			g.step++
			close(g.next)
			g.next = make(chan struct{})
			if g.isLoading() {
				g.slowPasses++
			}
			if len(g.armed) == largeRanks && g.armed["0"] == g.step {
				g.switchedAt = time.Now()
			}
		}
		g.mu.Unlock()
		if isHeld {
			time.Sleep(time.Millisecond)
			continue
		}
		time.Sleep(passTime)
	}
}

func (g *largeGroup) isLoading() bool {
	for _, at := range g.loadedAt {
		if time.Now().Before(at) {
			return true
		}
	}
	return false
}

// awaitPass waits for the begin of a pass, which the leader notices some milliseconds later.
func (g *largeGroup) awaitPass(context.Context) time.Duration {
	g.mu.Lock()
	next := g.next
	g.mu.Unlock()
	<-next
	time.Sleep(3 * time.Millisecond)
	return passTime
}

func (g *largeGroup) Report(context.Context, mapswitcher.Member) (mapswitcher.Report, error) {
	return mapswitcher.Report{}, nil
}

func (g *largeGroup) Counts(context.Context, mapswitcher.Member) (mapswitcher.Counts, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return mapswitcher.Counts{Step: g.step, Epoch: 1}, nil
}

func (g *largeGroup) RankMap(context.Context, mapswitcher.Member) (mapswitcher.RankMap, error) {
	return mapswitcher.RankMap{}, nil
}

func (g *largeGroup) Order(ctx context.Context, m mapswitcher.Member, _ mapswitcher.Epoch, o mapswitcher.Order) (mapswitcher.Status, error) {
	if p, isPrepare := o.(mapswitcher.Prepare); isPrepare {
		return g.prepare(ctx, m, p)
	}
	time.Sleep(2 * time.Millisecond)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch o := o.(type) {
	case mapswitcher.Arm:
		if time.Now().Before(g.loadedAt[m.Address]) {
			return mapswitcher.StatusConflict, nil
		}
		g.armed[m.Address] = o.Step
	case mapswitcher.Hold:
		if o.Step <= g.step {
			return mapswitcher.StatusConflict, nil
		}
		g.held = &o.Step
	case mapswitcher.Release:
		g.held = nil
	}
	return mapswitcher.StatusAccepted, nil
}

// prepare delivers an order once the link has sent it.
func (g *largeGroup) prepare(ctx context.Context, m mapswitcher.Member, p mapswitcher.Prepare) (mapswitcher.Status, error) {
	g.mu.Lock()
	now := time.Now()
	if g.linkFreeAt.Before(now) {
		g.linkFreeAt = now
	}
	g.linkFreeAt = g.linkFreeAt.Add(mapSendTime)
	sentAt := g.linkFreeAt
	g.prepares[m.Address]++
	g.mu.Unlock()
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-time.After(time.Until(sentAt)):
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if loadedAt, isPrepared := g.loadedAt[m.Address]; isPrepared {
		if time.Now().Before(loadedAt) {
			return mapswitcher.StatusAccepted, nil
		}
		return mapswitcher.StatusDone, nil
	}
	r, err := strconv.Atoi(m.Address)
	if err != nil {
		return 0, err
	}
	g.loadedAt[m.Address] = time.Now().Add(time.Duration(rebalancer.Loads(largeLayout(false), p.Layout)[r]) * expertLoadTime)
	return mapswitcher.StatusAccepted, nil
}

// largeLayout returns a layout in which all ranks hold one other expert in each of the first five sets if changed is set.
func largeLayout(changed bool) rebalancer.Layout {
	l := make(rebalancer.Layout, largeSets)
	for s := range l {
		for r := range largeRanks {
			var experts []identifier.Expert
			for i := range largePlaces {
				experts = append(experts, identifier.Expert(largePlaces*r+i)%largeExperts)
			}
			if changed && s < 5 {
				experts[0] = identifier.Expert(largePlaces*r+largeExperts/2) % largeExperts
			}
			l[s] = append(l[s], experts)
		}
	}
	return l
}

func largeMembers() mapswitcher.Group {
	out := mapswitcher.Group{Name: "g", Epoch: 1}
	for i := range largeRanks {
		out.Members = append(out.Members, mapswitcher.Member{Address: strconv.Itoa(i)})
	}
	return out
}

// switchLargeMap switches the map of a large group and returns the group and the time until its ranks use the new map.
func switchLargeMap(t *testing.T, cfg mapswitcher.Config) (*largeGroup, time.Duration) {
	t.Helper()
	g := newLargeGroup()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { g.run(ctx) })
	defer func() {
		cancel()
		running.Wait()
	}()
	time.Sleep(time.Second)
	started := time.Now()
	cfg.Engines, cfg.Allowed, cfg.LoadTime = g, always, expertLoadTime
	if cfg.LinkSpeed > 0 {
		cfg.AwaitPass = g.awaitPass
	}
	plan := mapswitcher.Plan{Version: 2, Fallback: 3, From: largeLayout(false), To: largeLayout(true)}
	_, err := mapswitcher.New(cfg).Switch(ctx, largeMembers(), plan)
	require.NoError(t, err)
	time.Sleep(time.Second)
	g.mu.Lock()
	defer g.mu.Unlock()
	require.False(t, g.switchedAt.IsZero())
	return g, g.switchedAt.Sub(started)
}

// Load: demand shifts, and the passes of a group of 192 ranks are slow until its map is switched. The map of all ranks
// takes the leader's network link 0.2 s. Guards against a switch that sends it twice.
func TestLargeMapIsSentToEachRankOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g, took := switchLargeMap(t, mapswitcher.Config{})
		sent := 0
		for _, n := range g.prepares {
			sent += n
		}
		t.Logf("%d orders to prepare, switched after %s", sent, took)
		require.LessOrEqual(t, sent, largeRanks+2)
	})
}

// Load: as above, with all clients near the longest pause between events that they accept. Guards against passes that
// take longer because ranks load experts as they begin, and against a switch that takes more than 1.2 s instead.
func TestLargeMapIsLoadedBetweenTheBeginningsOfPasses(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g, took := switchLargeMap(t, mapswitcher.Config{LinkSpeed: linkSpeed})
		t.Logf("%d passes began while ranks loaded experts, switched after %s", g.slowPasses, took)
		require.Zero(t, g.slowPasses)
		require.Less(t, took, 1200*time.Millisecond)
	})
}
