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

// armed is a map that a rank takes at a step.
type armed struct {
	version identifier.MapVersion
	step    identifier.Step
}

type rank struct {
	version  identifier.MapVersion
	highest  identifier.MapVersion
	prepared identifier.MapVersion
	armed    *armed
	held     *identifier.Step
}

// group is a stand-in of a group of ranks: it takes orders as the platform's page says, begins a step at regular times
// unless one rank holds it, and notes steps that begin with different maps.
type group struct {
	mu    sync.Mutex
	epoch mapswitcher.Epoch
	step  identifier.Step
	ranks [ranks]rank
	mixed []identifier.Step
	// lose and late are the shares of orders whose answer is lost, and that are carried out seconds later.
	lose   float64
	late   float64
	random *rand.Rand
	orders int
	// onOrder is called with the number of each order before it is carried out.
	onOrder func(n int)
}

func newGroup(seed uint64) *group {
	return &group{epoch: 1, random: rand.New(rand.NewPCG(seed, 1))}
}

// start lets the group begin steps until the test ends.
func (g *group) start(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(stepTime)
			g.begin()
		}
	})
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return ctx
}

func (g *group) begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
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

// now returns the newest step.
func (g *group) now() identifier.Step {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step
}

// mixedSteps returns the steps that began with different maps.
func (g *group) mixedSteps() []identifier.Step {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mixed
}

// behave lets all orders arrive and be answered.
func (g *group) behave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lose, g.late = 0, 0
}

func index(m mapswitcher.Member) int {
	return int(m.Address[0] - '0')
}

func (g *group) Report(_ context.Context, m mapswitcher.Member) (mapswitcher.Report, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[index(m)]
	out := mapswitcher.Report{
		Group: "g", Epoch: g.epoch, Rank: identifier.Rank(index(m)), Size: ranks, Open: true, Step: g.step,
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

func (g *group) Holdings(context.Context, mapswitcher.Member) (mapswitcher.Holdings, error) {
	return mapswitcher.Holdings{}, nil
}

func (g *group) Order(ctx context.Context, m mapswitcher.Member, epoch mapswitcher.Epoch, o mapswitcher.Order) (mapswitcher.Status, error) {
	g.mu.Lock()
	g.orders++
	n, fate, delay := g.orders, g.random.Float64(), time.Duration(2+g.random.IntN(10))*time.Second
	before := g.onOrder
	g.mu.Unlock()
	if before != nil {
		before(n)
	}
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	if fate < g.late {
		time.AfterFunc(delay, func() { g.carryOut(index(m), epoch, o) })
		<-ctx.Done()
		return 0, ctx.Err()
	}
	status := g.carryOut(index(m), epoch, o)
	if fate < g.late+g.lose {
		return 0, errors.New("the answer is lost")
	}
	return status, nil
}

func (g *group) carryOut(i int, epoch mapswitcher.Epoch, o mapswitcher.Order) mapswitcher.Status {
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
	case mapswitcher.Release:
		if r.held != nil && *r.held == o.Step {
			r.held = nil
		}
	}
	return mapswitcher.StatusBegun
}

func members() mapswitcher.Group {
	out := mapswitcher.Group{Name: "g", Epoch: 1}
	for i := range ranks {
		out.Members = append(out.Members, mapswitcher.Member{Address: string(rune('0' + i))})
	}
	return out
}

func plan(version identifier.MapVersion) mapswitcher.Plan {
	layout := rebalancer.Layout{{{0}, {1}, {2}, {3}}}
	return mapswitcher.Plan{Version: version, Fallback: version + 1, From: layout, To: layout}
}

func (g *group) reports(t *testing.T) []mapswitcher.Report {
	var out []mapswitcher.Report
	for _, m := range members().Members {
		r, err := g.Report(t.Context(), m)
		require.NoError(t, err)
		out = append(out, r)
	}
	return out
}

func always() bool { return true }

// Guards against ranks that begin a step with different maps, and against a group that stays held, when the answers of
// orders are lost and orders are carried out seconds later.
func TestLostAndLateOrdersNeverMixMaps(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(seed)
			g.lose, g.late = 0.15, 0.15
			ctx := g.start(t)
			s := mapswitcher.New(mapswitcher.Config{Engines: g, Allowed: always})
			version := identifier.MapVersion(0)
			for range 8 {
				version += 2
				_, err := s.Switch(ctx, members(), plan(version))
				if errors.Is(err, mapswitcher.ErrUnresolved) {
					time.Sleep(time.Second)
					version += 2
					err := s.Recover(ctx, members(), g.reports(t), version, plan(version).From)
					require.True(t, err == nil || errors.Is(err, mapswitcher.ErrMoving), "seed %d: %v", seed, err)
				}
				time.Sleep(500 * time.Millisecond)
			}
			// Late orders of the last switches still arrive.
			time.Sleep(15 * time.Second)
			require.Empty(t, g.mixedSteps(), "seed %d", seed)
			g.behave()
			require.NoError(t, recoverUntilFree(ctx, t, g, s, version+2), "seed %d", seed)
			before := g.now()
			time.Sleep(time.Second)
			require.Greater(t, g.now(), before, "seed %d: the group is held", seed)
		})
	}
}

func recoverUntilFree(ctx context.Context, t *testing.T, g *group, s *mapswitcher.Switcher, version identifier.MapVersion) error {
	var err error
	for range 5 {
		if err = s.Recover(ctx, members(), g.reports(t), version, plan(version).From); err == nil {
			return nil
		}
		time.Sleep(time.Second)
	}
	return err
}

// Guards against mixed maps and a lasting hold when the leader stops after any of its orders, another one takes over
// within a second, and the first wakes up again and goes on with what it was doing.
func TestTakeoverFromFrozenLeaderNeverMixesMaps(t *testing.T) {
	t.Parallel()
	for frozenAt := 1; frozenAt <= 10; frozenAt++ {
		for _, wakes := range []time.Duration{700 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(uint64(frozenAt))
				ctx := g.start(t)
				frozen := make(chan struct{})
				var once sync.Once
				var mu sync.Mutex
				until := time.Time{}
				first := mapswitcher.New(mapswitcher.Config{Engines: &freezer{group: g, wait: func() {
					mu.Lock()
					u := until
					mu.Unlock()
					if !u.IsZero() {
						time.Sleep(time.Until(u))
					}
				}}, Allowed: always})
				g.onOrder = func(n int) {
					if n == frozenAt {
						once.Do(func() {
							mu.Lock()
							until = time.Now().Add(wakes)
							mu.Unlock()
							close(frozen)
						})
					}
				}
				var done sync.WaitGroup
				done.Go(func() { _, _ = first.Switch(ctx, members(), plan(2)) })
				<-frozen
				time.Sleep(650 * time.Millisecond)
				second := mapswitcher.New(mapswitcher.Config{Engines: g, Allowed: always})
				require.NoError(t, recoverUntilFree(ctx, t, g, second, 100))
				time.Sleep(500 * time.Millisecond)
				_, err := second.Switch(ctx, members(), plan(102))
				if err != nil {
					time.Sleep(time.Second)
					require.NoError(t, recoverUntilFree(ctx, t, g, second, 104))
				}
				done.Wait()
				time.Sleep(time.Second)
				require.NoError(t, recoverUntilFree(ctx, t, g, second, 106))
				require.Empty(t, g.mixedSteps(), "frozen at order %d, awake after %v", frozenAt, wakes)
				before := g.now()
				time.Sleep(time.Second)
				require.Greater(t, g.now(), before, "frozen at order %d: the group is held", frozenAt)
			})
		}
	}
}

// freezer delays the calls of a leader whose process stands still.
type freezer struct {
	*group
	wait func()
}

func (f *freezer) Order(ctx context.Context, m mapswitcher.Member, epoch mapswitcher.Epoch, o mapswitcher.Order) (mapswitcher.Status, error) {
	f.wait()
	return f.group.Order(ctx, m, epoch, o)
}

// Guards against a switch that holds a working group for longer than a few steps.
func TestSwitchOfAWorkingGroup(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(1)
		ctx := g.start(t)
		s := mapswitcher.New(mapswitcher.Config{Engines: g, Allowed: always})
		result, err := s.Switch(ctx, members(), plan(2))
		require.NoError(t, err)
		require.Less(t, result.Held, 3*stepTime)
		time.Sleep(10 * stepTime)
		require.Equal(t, identifier.MapVersion(2), g.reports(t)[0].Map)
		require.Empty(t, g.mixedSteps())
	})
}
