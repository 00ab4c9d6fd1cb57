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
	largeRanks = 192
	largeSets  = 10
	largePlace = 3
	// passTime is how long a pass takes while no rank loads experts.
	passTime = 110 * time.Millisecond
	// expertLoadTime is how long a rank takes to load one expert.
	expertLoadTime = 2600 * time.Microsecond
	// mapSendTime is how long the leader's network link takes to send the map to one rank.
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
}

func newLargeGroup() *largeGroup {
	return &largeGroup{loadedAt: map[string]time.Time{}, prepares: map[string]int{}, armed: map[string]identifier.Step{}}
}

// run makes the group run passes until the context ends.
func (g *largeGroup) run(ctx context.Context) {
	for ctx.Err() == nil {
		g.mu.Lock()
		isHeld := g.held != nil && *g.held == g.step+1
		if !isHeld {
			g.step++
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

// prepare delivers an order once the link has sent it. Every third rank loads one expert, the first one two.
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

// largeLayout returns a layout in which every third rank holds another expert of the first set if changed is set, and the
// first rank one of the second set as well.
func largeLayout(changed bool) rebalancer.Layout {
	l := make(rebalancer.Layout, largeSets)
	for s := range l {
		for r := range largeRanks {
			var experts []identifier.Expert
			for i := range largePlace {
				experts = append(experts, identifier.Expert(largePlace*r+i)%384)
			}
			if changed && (s == 0 && r%3 == 0 || s == 1 && r == 0) {
				experts[0] = identifier.Expert(largePlace*r+100) % 384
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

// Load: demand shifts, and the passes of a group of 192 ranks are slow until its map is switched. The map of all ranks
// takes the leader's network link 0.2 s. Guards against a switch that sends it twice.
func TestLargeMapIsSentToEachRankOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
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
		s := mapswitcher.New(mapswitcher.Config{Engines: g, Allowed: always, LoadTime: expertLoadTime})
		_, err := s.Switch(ctx, largeMembers(), mapswitcher.Plan{Version: 2, Fallback: 3, From: largeLayout(false), To: largeLayout(true)})
		require.NoError(t, err)
		time.Sleep(time.Second)
		g.mu.Lock()
		defer g.mu.Unlock()
		sent := 0
		for _, n := range g.prepares {
			sent += n
		}
		require.LessOrEqual(t, sent, largeRanks+2)
		t.Logf("%d orders to prepare, switched after %s", sent, g.switchedAt.Sub(started))
	})
}
