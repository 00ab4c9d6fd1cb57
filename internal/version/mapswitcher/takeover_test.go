package mapswitcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/mapswitcher"
)

const (
	// reportAge is the largest age of a report.
	reportAge = 200 * time.Millisecond
	// takeoverTime is how long a leader has to be silent before another one leads, and leaseTerm how long it goes on without
	// the store.
	takeoverTime = 650 * time.Millisecond
	leaseTerm    = 4 * time.Second
	// renewInterval is the time between two renewals of a leader, and rivalDelay that between two gateways that take over
	// from the same leader.
	renewInterval = time.Second
	rivalDelay    = 20 * time.Millisecond
	// busyPassTime is the time between two passes of a busy group.
	busyPassTime = 80 * time.Millisecond
	// callTime is how long a rank takes to respond to an order.
	callTime = 2 * time.Millisecond
)

// takeover is a leader that is suspended in the midst of a switch, and another one that leads meanwhile.
type takeover struct {
	// order and nth tell at which order the former leader is suspended: right before it sends the nth one of that kind.
	order string
	nth   int
	// abandons makes the orders of the former leader to arm a rank fail from the fourth on, so that it abandons its switch.
	abandons bool
	// pause is how long it is suspended. If wakeAt is set, it goes on before the next leader sends that many orders, but
	// after pause at the latest.
	pause  time.Duration
	wakeAt int
	// rival makes two leaders follow at nearly the same time; the first of them learns of the other one at its next renewal.
	rival bool
	// seed draws how long each order takes; it is callTime if it is 0.
	seed uint64
	// sent is set if the suspended order has left the process before: it is carried out at once, its response read late.
	sent bool
}

// delayedReports is a group whose ranks renew their reports every reportAge, each at another time.
type delayedReports struct {
	*group
	mu      sync.Mutex
	reports [ranks]mapswitcher.Report
}

func (d *delayedReports) start(ctx context.Context, running *sync.WaitGroup) {
	for i, m := range testGroup().Members {
		running.Go(func() {
			time.Sleep(time.Duration(i) * reportAge / ranks)
			for ctx.Err() == nil {
				r, _ := d.group.Report(ctx, m)
				d.mu.Lock()
				d.reports[i] = r
				d.mu.Unlock()
				time.Sleep(reportAge)
			}
		})
	}
}

func (d *delayedReports) Report(_ context.Context, m mapswitcher.Member) (mapswitcher.Report, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reports[rankOf(m)], nil
}

// leaderEngines are the ranks as one leader calls them. While it is suspended, none of its calls goes on.
type leaderEngines struct {
	*delayedReports
	mu       sync.Mutex
	random   *rand.Rand
	wake     chan struct{}
	calls    map[string]int
	onOrder  func(kind string, nth int)
	onSent   func(kind string, nth int)
	rejected func(kind string, nth int) bool
}

func newLeaderEngines(d *delayedReports, seed uint64) *leaderEngines {
	e := &leaderEngines{
		delayedReports: d, calls: map[string]int{}, onOrder: func(string, int) {}, onSent: func(string, int) {},
		rejected: func(string, int) bool { return false },
	}
	if seed != 0 {
		e.random = rand.New(rand.NewPCG(seed, 2))
	}
	return e
}

// callTime returns how long the next order takes.
func (e *leaderEngines) callTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.random == nil {
		return callTime
	}
	return time.Duration(1+e.random.IntN(40)) * time.Millisecond
}

// suspend stops all calls until the returned function is called.
func (e *leaderEngines) suspend() (resume func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	wake := make(chan struct{})
	e.wake = wake
	return sync.OnceFunc(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.wake = nil
		close(wake)
	})
}

func (e *leaderEngines) awaitWake() {
	e.mu.Lock()
	wake := e.wake
	e.mu.Unlock()
	if wake != nil {
		<-wake
	}
}

func (e *leaderEngines) Report(ctx context.Context, m mapswitcher.Member) (mapswitcher.Report, error) {
	e.awaitWake()
	return e.delayedReports.Report(ctx, m)
}

func (e *leaderEngines) Counts(ctx context.Context, m mapswitcher.Member) (mapswitcher.Counts, error) {
	e.awaitWake()
	return e.group.Counts(ctx, m)
}

func (e *leaderEngines) Order(ctx context.Context, m mapswitcher.Member, epoch mapswitcher.Epoch, o mapswitcher.Order) (mapswitcher.Status, error) {
	kind := fmt.Sprintf("%T", o)[len("mapswitcher."):]
	e.mu.Lock()
	e.calls[kind]++
	nth := e.calls[kind]
	e.mu.Unlock()
	e.onOrder(kind, nth)
	e.awaitWake()
	time.Sleep(e.callTime())
	status, err := mapswitcher.StatusConflict, error(nil)
	if !e.rejected(kind, nth) {
		// A suspended process sends what it had begun to send, although its timeout has passed.
		status, err = e.group.Order(context.WithoutCancel(ctx), m, epoch, o)
	}
	e.onSent(kind, nth)
	e.awaitWake()
	return status, err
}

// actingLeader does what a leader does with one group: it switches maps, and recovers the group when that is unresolved.
type actingLeader struct {
	engines    *leaderEngines
	switcher   *mapswitcher.Switcher
	version    identifier.MapVersion
	standstill mapswitcher.Standstill
	doubts     bool
}

func (l *actingLeader) nextVersion() identifier.MapVersion {
	l.version += 2
	return l.version
}

// recover ends the switches that the reports show, and returns whether the group can be switched.
func (l *actingLeader) recover(ctx context.Context) bool {
	var reports []mapswitcher.Report
	for _, m := range testGroup().Members {
		r, _ := l.engines.Report(ctx, m)
		reports = append(reports, r)
	}
	err := l.switcher.Recover(ctx, testGroup(), reports, l.nextVersion(), plan(0).From)
	l.doubts = l.doubts || errors.Is(err, mapswitcher.ErrSuperseded)
	return err == nil
}

// lead switches the map now and then until the context ends.
func (l *actingLeader) lead(ctx context.Context, interval time.Duration) {
	isFree := l.recover(ctx)
	for ctx.Err() == nil {
		if !isFree {
			time.Sleep(150 * time.Millisecond)
			isFree = l.recover(ctx)
			continue
		}
		version := l.nextVersion()
		_, err := l.switcher.Switch(ctx, testGroup(), plan(version))
		l.doubts = l.doubts || errors.Is(err, mapswitcher.ErrSuperseded)
		isFree = err == nil || errors.Is(err, mapswitcher.ErrAbandoned)
		for wait := interval; wait > 0 && ctx.Err() == nil; wait -= readInterval / 2 {
			time.Sleep(readInterval / 2)
			counts, _ := l.engines.Counts(ctx, testGroup().Members[0])
			l.switcher.EndStrayHolds(ctx, testGroup(), counts.Step)
			if l.standstill.Observe(time.Now(), counts.Step, true) {
				isFree = l.recover(ctx)
			}
		}
	}
}

// play runs a takeover. It returns the steps that ranks began with different maps and the longest time without a pass.
func (s takeover) play(t *testing.T) (mixed []identifier.Step, standstill time.Duration) {
	g := &delayedReports{group: newGroup(1)}
	g.passTime, g.respondsDone = busyPassTime, s.seed%2 == 1
	ctx := g.group.start(t)
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	g.start(ctx, &running)
	time.Sleep(reportAge)

	former, next := newLeaderEngines(g, s.seed), newLeaderEngines(g, s.seed+1000)
	resume := make(chan func(), 1)
	stops := func(kind string, nth int) {
		if kind == s.order && nth == s.nth {
			resume <- former.suspend()
		}
	}
	former.onOrder = func(kind string, nth int) {
		if !s.sent {
			stops(kind, nth)
		}
	}
	former.onSent = func(kind string, nth int) {
		if s.sent {
			stops(kind, nth)
		}
	}
	former.rejected = func(kind string, nth int) bool { return s.abandons && kind == "Arm" && nth >= ranks }
	leasedUntil := time.Now().Add(leaseTerm)
	followed := make(chan struct{})
	confirm := func(context.Context) error {
		select {
		case <-followed:
			return errors.New("another leader has followed")
		default:
			return nil
		}
	}
	a := &actingLeader{engines: former, version: 0}
	a.switcher = mapswitcher.New(mapswitcher.Config{
		Engines: former, Confirm: confirm, Holds: mapswitcher.NewHoldLedger(1),
		Allowed: func() bool { return time.Now().Before(leasedUntil) && !a.doubts },
	})
	running.Go(func() {
		leaseCtx, cancel := context.WithDeadline(ctx, leasedUntil)
		defer cancel()
		a.lead(leaseCtx, time.Second)
	})
	var wakeFormer func()
	select {
	case wakeFormer = <-resume:
	case <-time.After(5 * time.Second):
		require.FailNow(t, "the former leader has not sent the order")
	}
	suspendedAt := time.Now()
	time.AfterFunc(s.pause, wakeFormer)
	time.Sleep(takeoverTime)
	close(followed)
	sent := 0
	next.onOrder = func(string, int) {
		next.mu.Lock()
		sent++
		isDue := s.wakeAt != 0 && sent == s.wakeAt
		next.mu.Unlock()
		if isDue {
			wakeFormer()
		}
	}
	leads := func(engines *leaderEngines, term uint64, isAllowed func() bool) {
		l := &actingLeader{engines: engines, version: identifier.MapVersion(1000 * term)}
		l.switcher = mapswitcher.New(mapswitcher.Config{
			Engines: engines, Holds: mapswitcher.NewHoldLedger(term), Allowed: func() bool { return isAllowed() && !l.doubts },
			Confirm: func(context.Context) error {
				if s.rival && term == 2 {
					return errors.New("a rival has followed")
				}
				return nil
			},
		})
		l.lead(ctx, 700*time.Millisecond)
	}
	if s.rival {
		learnsAt := time.Now().Add(renewInterval)
		running.Go(func() { leads(next, 2, func() bool { return time.Now().Before(learnsAt) }) })
		time.Sleep(rivalDelay)
		running.Go(func() { leads(newLeaderEngines(g, s.seed+2000), 3, always) })
	} else {
		running.Go(func() { leads(next, 2, always) })
	}
	since, step := time.Now(), g.currentStep()
	for time.Since(suspendedAt) < 10*time.Second {
		time.Sleep(stepTime)
		if now := g.currentStep(); now != step {
			since, step = time.Now(), now
		}
		standstill = max(standstill, time.Since(since))
	}
	wakeFormer()
	return g.mixedSteps(), standstill
}

// takeovers returns the combinations of the order at which the former leader is suspended and the time at which it goes on.
func takeovers() []takeover {
	var out []takeover
	for _, at := range []struct {
		order    string
		nth      int
		abandons bool
	}{
		{"Prepare", 1, false},
		{"Prepare", ranks, false},
		{"Hold", 1, false},
		{"Arm", 1, false},
		{"Arm", 2, false},
		{"Arm", ranks, false},
		{"Release", 1, false},
		{"Disarm", 1, true},
		{"Disarm", ranks, true},
		{"Prepare", ranks + 1, true},
		{"Prepare", 2 * ranks, true},
		{"Release", 1, true},
	} {
		for _, sent := range []bool{false, true} {
			base := takeover{order: at.order, nth: at.nth, abandons: at.abandons, sent: sent, pause: 4 * time.Second}
			for wakeAt := 1; wakeAt <= 40; wakeAt++ {
				base.wakeAt = wakeAt
				out = append(out, base)
			}
			base.wakeAt = 0
			for pause := 700 * time.Millisecond; pause <= 4*time.Second; pause += 300 * time.Millisecond {
				base.pause = pause
				out = append(out, base)
			}
		}
	}
	return out
}

// randomTakeovers returns takeovers whose order, times and rivals are drawn.
func randomTakeovers(n uint64) []takeover {
	fixed := takeovers()
	var out []takeover
	for seed := uint64(1); seed <= n; seed++ {
		random := rand.New(rand.NewPCG(seed, 3))
		s := fixed[random.IntN(len(fixed))]
		s.seed, s.rival = seed, random.IntN(2) == 0
		s.wakeAt = random.IntN(60)
		s.pause = time.Duration(700+random.IntN(3300)) * time.Millisecond
		out = append(out, s)
	}
	return out
}

// Guards against passes with different maps, and a group that stands for longer than its clients wait, after a leader that
// was suspended at any of its orders goes on while the next leader is at any of its own.
func TestFormerLeaderHarmsNoSwitchOfTheNext(t *testing.T) {
	t.Parallel()
	for _, s := range append(takeovers(), randomTakeovers(1000)...) {
		t.Run(fmt.Sprintf("%+v", s), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				mixed, standstill := s.play(t)
				require.Empty(t, mixed)
				require.Less(t, standstill, clientGapTimeout)
			})
		})
	}
}
