package mapswitcher_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/mapswitcher"
	"currantledge.example/currantledge/internal/version/rebalancer"
)

const (
	ranks    = 4
	stepTime = 20 * time.Millisecond
)

// armed is a map that a rank switches to at a step.
type armed struct {
	version identifier.MapVersion
	step    identifier.Step
}

// rank is the state of one rank. highest is the highest version that it has ever prepared.
type rank struct {
	version  identifier.MapVersion
	highest  identifier.MapVersion
	prepared identifier.MapVersion
	armed    *armed
	held     *identifier.Step
}

// group is a fake of a group of ranks. It accepts orders as the platform specifies them, begins a step every stepTime
// unless a rank holds it, and records the steps that ranks begin with different maps.
type group struct {
	mu    sync.Mutex
	epoch mapswitcher.Epoch
	step  identifier.Step
	ranks [ranks]rank
	mixed []identifier.Step
	// passTime is the time between two steps; stepTime if it is 0.
	passTime time.Duration
	// respondsDone makes ranks respond to a hold with StatusDone, since it takes no time.
	respondsDone bool
	// idle is set while no requests run; an idle group begins no steps.
	idle bool
	// loseShare is the share of orders whose response is lost, and lateShare of those that are carried out seconds later.
	loseShare float64
	lateShare float64
	random    *rand.Rand
	orders    int
	// onOrder is called with the number of each order before it is carried out.
	onOrder func(n int)
}

func newGroup(seed uint64) *group {
	return &group{epoch: 1, random: rand.New(rand.NewPCG(seed, 1))}
}

// start makes the group begin steps until the test ends.
func (g *group) start(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(max(g.passTime, stepTime))
			g.beginStep()
		}
	})
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return ctx
}

func (g *group) beginStep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.idle {
		return
	}
	next := g.step + 1
	for _, r := range g.ranks {
		if r.held != nil && *r.held == next {
			return
		}
	}
	g.step = next
	for i := range g.ranks {
		r := &g.ranks[i]
		if r.armed != nil && r.armed.step == next {
			r.version, r.armed, r.prepared = r.armed.version, nil, 0
		}
		if r.version != g.ranks[0].version {
			g.mixed = append(g.mixed, next)
		}
	}
}

// currentStep returns the step that began last.
func (g *group) currentStep() identifier.Step {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step
}

func (g *group) setIdle(idle bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.idle = idle
}

func (g *group) isIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idle
}

// mixedSteps returns the steps that ranks began with different maps.
func (g *group) mixedSteps() []identifier.Step {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mixed
}

// stopFaults makes all further orders and responses arrive in time.
func (g *group) stopFaults() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loseShare, g.lateShare = 0, 0
}

func rankOf(m mapswitcher.Member) int {
	return int(m.Address[0] - '0')
}

func (g *group) Report(_ context.Context, m mapswitcher.Member) (mapswitcher.Report, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[rankOf(m)]
	out := mapswitcher.Report{
		Group: "g", Epoch: g.epoch, Rank: identifier.Rank(rankOf(m)), Size: ranks, Open: true, Step: g.step,
		Map: r.version, Prepared: r.prepared, Held: r.held,
	}
	if r.armed != nil {
		out.Armed = r.armed.version
	}
	return out, nil
}

func (g *group) Counts(context.Context, mapswitcher.Member) (mapswitcher.Counts, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return mapswitcher.Counts{Step: g.step, Epoch: g.epoch}, nil
}

func (g *group) RankMap(context.Context, mapswitcher.Member) (mapswitcher.RankMap, error) {
	return mapswitcher.RankMap{}, nil
}

func (g *group) Order(ctx context.Context, m mapswitcher.Member, epoch mapswitcher.Epoch, o mapswitcher.Order) (mapswitcher.Status, error) {
	g.mu.Lock()
	g.orders++
	n, draw, delay := g.orders, g.random.Float64(), time.Duration(2+g.random.IntN(10))*time.Second
	onOrder := g.onOrder
	g.mu.Unlock()
	if onOrder != nil {
		onOrder(n)
	}
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	if draw < g.lateShare {
		time.AfterFunc(delay, func() { g.apply(rankOf(m), epoch, o) })
		<-ctx.Done()
		return 0, ctx.Err()
	}
	status := g.apply(rankOf(m), epoch, o)
	if draw < g.lateShare+g.loseShare {
		return 0, errors.New("response lost")
	}
	return status, nil
}

func (g *group) apply(i int, epoch mapswitcher.Epoch, o mapswitcher.Order) mapswitcher.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	if epoch != g.epoch {
		return mapswitcher.StatusConflict
	}
	r := &g.ranks[i]
	switch o := o.(type) {
	case mapswitcher.Prepare:
		if r.prepared == o.Version || r.version == o.Version {
			return mapswitcher.StatusDone
		}
		if o.Version <= r.highest || r.armed != nil {
			return mapswitcher.StatusConflict
		}
		r.prepared, r.highest = o.Version, o.Version
	case mapswitcher.Arm:
		if r.armed != nil && *r.armed == (armed{o.Version, o.Step}) {
			return mapswitcher.StatusDone
		}
		if r.prepared != o.Version || o.Step <= g.step {
			return mapswitcher.StatusConflict
		}
		r.armed = &armed{o.Version, o.Step}
	case mapswitcher.Disarm:
		if r.version == o.Version {
			return mapswitcher.StatusConflict
		}
		if r.armed != nil && r.armed.version == o.Version {
			r.armed = nil
		}
	case mapswitcher.Hold:
		if r.held != nil && *r.held == o.Step {
			return mapswitcher.StatusDone
		}
		if r.held != nil || o.Step <= g.step {
			return mapswitcher.StatusConflict
		}
		r.held = &o.Step
		if g.respondsDone {
			return mapswitcher.StatusDone
		}
	case mapswitcher.Release:
		if r.held != nil && *r.held == o.Step {
			r.held = nil
		}
	}
	return mapswitcher.StatusAccepted
}

// testGroup returns the group whose map the tests switch.
func testGroup() mapswitcher.Group {
	out := mapswitcher.Group{Name: "g", Epoch: 1}
	for i := range ranks {
		out.Members = append(out.Members, mapswitcher.Member{Address: string(rune('0' + i))})
	}
	return out
}

// plan returns a plan that changes only the version, since both layouts are equal.
func plan(version identifier.MapVersion) mapswitcher.Plan {
	layout := rebalancer.Layout{{{0}, {1}, {2}, {3}}}
	return mapswitcher.Plan{Version: version, Fallback: version + 1, From: layout, To: layout}
}

func (g *group) reports(t *testing.T) []mapswitcher.Report {
	var out []mapswitcher.Report
	for _, m := range testGroup().Members {
		r, err := g.Report(t.Context(), m)
		require.NoError(t, err)
		out = append(out, r)
	}
	return out
}

func always() bool { return true }

// Guards against ranks that begin a step with different maps, and against a group that stays held, when responses to
// orders are lost and orders are carried out seconds later.
func TestLostAndLateOrdersNeverMixMaps(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(seed)
			g.loseShare, g.lateShare = 0.15, 0.15
			ctx := g.start(t)
			s := mapswitcher.New(mapswitcher.Config{Engines: g, Allowed: always})
			version := identifier.MapVersion(0)
			for range 8 {
				// A plan uses two versions.
				version += 2
				_, err := s.Switch(ctx, testGroup(), plan(version))
				if errors.Is(err, mapswitcher.ErrUnresolved) {
					time.Sleep(time.Second)
					version += 2
					err := s.Recover(ctx, testGroup(), g.reports(t), version, plan(version).From)
					require.True(t, err == nil || errors.Is(err, mapswitcher.ErrSwitchInProgress), "seed %d: %v", seed, err)
				}
				time.Sleep(500 * time.Millisecond)
			}
			// Late orders of the last switches are still carried out.
			time.Sleep(15 * time.Second)
			require.Empty(t, g.mixedSteps(), "seed %d", seed)
			g.stopFaults()
			require.NoError(t, recoverUntilFree(ctx, t, g, s, version+2), "seed %d", seed)
			before := g.currentStep()
			time.Sleep(time.Second)
			require.Greater(t, g.currentStep(), before, "seed %d: the group is held", seed)
		})
	}
}

// recoverUntilFree calls Recover up to five times until it succeeds.
func recoverUntilFree(ctx context.Context, t *testing.T, g *group, s *mapswitcher.Switcher, version identifier.MapVersion) error {
	var err error
	for range 5 {
		if err = s.Recover(ctx, testGroup(), g.reports(t), version, plan(version).From); err == nil {
			return nil
		}
		time.Sleep(time.Second)
	}
	return err
}

// Guards against ranks with different maps and a group that stays held when a leader is suspended after one of its first
// ten orders, another one takes over within a second, and the first one resumes and continues its switch.
func TestTakeoverFromSuspendedLeaderNeverMixesMaps(t *testing.T) {
	t.Parallel()
	for suspendedAt := 1; suspendedAt <= 10; suspendedAt++ {
		for _, pause := range []time.Duration{700 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(uint64(suspendedAt))
				ctx := g.start(t)
				suspended := make(chan struct{})
				var once sync.Once
				var mu sync.Mutex
				resumeAt := time.Time{}
				first := mapswitcher.New(mapswitcher.Config{Engines: &suspendedEngines{group: g, wait: func() {
					mu.Lock()
					at := resumeAt
					mu.Unlock()
					if !at.IsZero() {
						time.Sleep(time.Until(at))
					}
				}}, Allowed: always})
				g.onOrder = func(n int) {
					if n == suspendedAt {
						once.Do(func() {
							mu.Lock()
							resumeAt = time.Now().Add(pause)
							mu.Unlock()
							close(suspended)
						})
					}
				}
				var running sync.WaitGroup
				running.Go(func() { _, _ = first.Switch(ctx, testGroup(), plan(2)) })
				<-suspended
				time.Sleep(650 * time.Millisecond)
				second := mapswitcher.New(mapswitcher.Config{Engines: g, Allowed: always})
				require.NoError(t, recoverUntilFree(ctx, t, g, second, 100))
				time.Sleep(500 * time.Millisecond)
				_, err := second.Switch(ctx, testGroup(), plan(102))
				if err != nil {
					time.Sleep(time.Second)
					require.NoError(t, recoverUntilFree(ctx, t, g, second, 104))
				}
				running.Wait()
				time.Sleep(time.Second)
				require.NoError(t, recoverUntilFree(ctx, t, g, second, 106))
				require.Empty(t, g.mixedSteps(), "suspended at order %d for %v", suspendedAt, pause)
				before := g.currentStep()
				time.Sleep(time.Second)
				require.Greater(t, g.currentStep(), before, "suspended at order %d: the group is held", suspendedAt)
			})
		}
	}
}

// suspendedEngines delays the orders of a leader whose process is suspended.
type suspendedEngines struct {
	*group
	wait func()
}

func (e *suspendedEngines) Order(ctx context.Context, m mapswitcher.Member, epoch mapswitcher.Epoch, o mapswitcher.Order) (mapswitcher.Status, error) {
	e.wait()
	return e.group.Order(ctx, m, epoch, o)
}

// Guards against a switch that holds a group for longer than a few steps although all orders arrive.
func TestSwitchHoldsGroupBriefly(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(1)
		ctx := g.start(t)
		s := mapswitcher.New(mapswitcher.Config{Engines: g, Allowed: always})
		result, err := s.Switch(ctx, testGroup(), plan(2))
		require.NoError(t, err)
		require.Less(t, result.HeldFor, 3*stepTime)
		time.Sleep(10 * stepTime)
		require.Equal(t, identifier.MapVersion(2), g.reports(t)[0].Map)
		require.Empty(t, g.mixedSteps())
	})
}
