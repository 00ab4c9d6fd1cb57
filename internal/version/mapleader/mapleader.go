// Package mapleader keeps the expert maps of groups in line with what is in demand. One gateway leads at a time, under a
// lease; it reads the counts of the ranks, asks the rebalancer for a better map and has the mapswitcher bring it into
// force.
package mapleader

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/meter"
	"currantledge.example/currantledge/internal/version/cataloguer"
	"currantledge.example/currantledge/internal/version/mapswitcher"
	"currantledge.example/currantledge/internal/version/rebalancer"
)

const (
	// countInterval is how often the counts are read; each read pauses a group for half a millisecond per 400 numbers.
	countInterval = 500 * time.Millisecond
	// rosterPause is the pause before a group that is not complete is read again.
	rosterPause = 150 * time.Millisecond
	// firstCountPause is the pause before the counts of a group that has just formed are read again: what is in demand
	// may have changed while it was closed.
	firstCountPause = 200 * time.Millisecond
	// reportLag is how far the reports of ranks may be behind. For so long, requests that were served tell more than
	// reports of a closed group.
	reportLag = 500 * time.Millisecond
	// callTimeout bounds one call of a rank; ranks answer within some ms.
	callTimeout = 150 * time.Millisecond
	// callTries bounds the calls to a rank that does not answer, or answers with a failure: ranks may fail in part for
	// seconds, and a group is read only if all of its ranks answer.
	callTries = 6
	// releaseTimeout bounds the write that gives the lease up.
	releaseTimeout = 300 * time.Millisecond
	// leaseInterval is how often the lease is looked after.
	leaseInterval = 250 * time.Millisecond
	// silenceShown is how long the platform has to answer nobody before that counts as an outage for all: gateways that
	// follow it get an answer every 1.5 s at the latest.
	silenceShown = time.Second
	// minSkewGain is the gain in skew for which a switch is worth its orders and the slower passes while ranks load.
	minSkewGain = 0.05
	// sampledRanks is the number of ranks whose counts are read. Requests are spread evenly over the ranks, so a part of
	// them shows the popularity of all.
	sampledRanks = 2
	// tolerated is the skew at which a group is left alone; enough is the skew to which one that exceeds it is brought.
	tolerated = 1.4
	enough    = 1.1
	// versionsPerTenure leaves room for the map versions of one tenure below those of the next one.
	versionsPerTenure = 1 << 12
)

// Config sets up a Leader.
type Config struct {
	Lease   *Lease
	Engines mapswitcher.Engines
	Fleet   func() cataloguer.Fleet
	// LeaderHeard tells whether another gateway leads and was heard lately.
	LeaderHeard func() bool
	// Candidate tells whether this gateway is one of the few that try to take a free lease, so that the calls of the
	// platform do not grow with the fleet.
	Candidate func() bool
	// OthersServed tells whether the platform has answered another gateway since a time.
	OthersServed func(since time.Time) bool
	// NobodyServed tells whether this gateway hears most others and the platform has answered none of them since a time.
	NobodyServed func(since time.Time) bool
	// GroupState is called when the leader sees that the group of a service works or not.
	GroupState func(s identifier.Service, open bool)
	Log        *logger.Logger
	Meter      *meter.Meter
}

// Leader looks after the groups while it holds the lease.
type Leader struct {
	cfg     Config
	leading atomic.Bool
	tenure  uint64
	version uint64
	// demand holds the last estimator of each service.
	demand map[identifier.Service]*estimator
	// unanswered is when the first renewal began that the platform did not answer; zero if it answered the last one.
	unanswered time.Time
	// working is held while orders are given, so that the lease is not resigned in between.
	working sync.Mutex
	// opened holds when the group of a service was last seen to work after it had been closed, and wake ends a pause then.
	openedMu sync.Mutex
	opened   map[identifier.Service]time.Time
	wake     chan struct{}
	// replaced holds the upstreams whose address another one has, with the version of their entry.
	replaced map[identifier.Upstream]uint64
	// asked counts the ranks that were asked whether their group works; each time another one is asked.
	asked int
}

// New returns a Leader.
func New(cfg Config) *Leader {
	return &Leader{
		cfg:      cfg,
		demand:   map[identifier.Service]*estimator{},
		opened:   map[identifier.Service]time.Time{},
		replaced: map[identifier.Upstream]uint64{},
		wake:     make(chan struct{}, 1),
	}
}

// Opened tells that requests show that the closed group of a service works again, ahead of the reports of its ranks.
func (l *Leader) Opened(s identifier.Service) {
	l.openedMu.Lock()
	l.opened[s] = time.Now()
	l.openedMu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// justOpened tells whether requests of a service were served so recently that reports may be older.
func (l *Leader) justOpened(s identifier.Service) bool {
	l.openedMu.Lock()
	defer l.openedMu.Unlock()
	return time.Since(l.opened[s]) < reportLag
}

// pause waits until the time has passed or a group opens.
func (l *Leader) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-l.wake:
	}
}

// Leading tells whether this gateway leads.
func (l *Leader) Leading() bool {
	return l.leading.Load() && l.cfg.Lease.Held()
}

// RunLease takes and renews the lease until the context ends, then gives it up.
func (l *Leader) RunLease(ctx context.Context) error {
	ticker := time.NewTicker(leaseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			// A switch that is under way is abandoned first; that takes the lease.
			l.working.Lock()
			defer l.working.Unlock()
			l.leading.Store(false)
			limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
			defer cancel()
			if err := l.cfg.Lease.Release(limited); err != nil {
				l.cfg.Meter.Add(meter.StoreFailures)
			}
			return nil
		case <-ticker.C:
			l.tendLease(ctx)
		}
	}
}

func (l *Leader) tendLease(ctx context.Context) {
	was := l.leading.Load()
	var now bool
	var err error
	switch {
	case was:
		now, err = l.renew(ctx)
	case !l.hasGroups() || l.cfg.LeaderHeard() || !l.cfg.Candidate():
		return
	default:
		now, err = l.cfg.Lease.Claim(ctx)
	}
	if err != nil {
		l.cfg.Meter.Add(meter.StoreFailures)
	}
	if now != was {
		l.leading.Store(now)
		l.cfg.Log.Event(logger.EventGroupLead).Bool("leading", now).Uint64("fence", l.cfg.Lease.Fence()).
			AnErr("error", err).Send()
	}
}

// renew prolongs the lease, also while the platform answers nobody, or gives it up between two switches if the platform
// does not answer this VM alone.
func (l *Leader) renew(ctx context.Context) (bool, error) {
	begun := time.Now()
	held, err := l.cfg.Lease.Renew(ctx)
	if !held || err == nil {
		l.unanswered = time.Time{}
		return held, err
	}
	if l.unanswered.IsZero() {
		l.unanswered = begun
	}
	if time.Since(l.unanswered) >= silenceShown && l.cfg.NobodyServed(l.unanswered) {
		l.cfg.Lease.Extend()
		return held, err
	}
	if !l.cfg.OthersServed(l.unanswered) {
		return held, err
	}
	if !l.working.TryLock() {
		return held, err
	}
	defer l.working.Unlock()
	return !l.cfg.Lease.Resign(), err
}

func (l *Leader) hasGroups() bool {
	return len(l.groupServices()) > 0
}

func (l *Leader) groupServices() []cataloguer.Service {
	fleet := l.cfg.Fleet()
	if fleet.Catalogue == nil {
		return nil
	}
	var out []cataloguer.Service
	for _, s := range fleet.Catalogue.Services() {
		if s.Engine != nil && s.Engine.Sets > 0 {
			out = append(out, s)
		}
	}
	return out
}

// Run looks after the groups until the context ends.
func (l *Leader) Run(ctx context.Context) error {
	keepers := map[identifier.ModelGroup]*keeper{}
	for ctx.Err() == nil {
		if !l.Leading() {
			clear(keepers)
			l.pause(ctx, rosterPause)
			continue
		}
		if fence := l.cfg.Lease.Fence(); l.tenure == 0 || len(keepers) == 0 {
			l.tenure = fence
		}
		next := countInterval
		l.working.Lock()
		for _, s := range l.groupServices() {
			if l.Leading() {
				next = min(next, l.tend(ctx, s, keepers))
			}
		}
		l.working.Unlock()
		l.pause(ctx, next)
	}
	return nil
}

// keeper is what the leader knows of one epoch of a group.
type keeper struct {
	service   cataloguer.Service
	group     mapswitcher.Group
	layout    rebalancer.Layout
	estimator *estimator
	switcher  *mapswitcher.Switcher
	// step is where the ranks take the newest map.
	step identifier.Step
	// unresolved is set if the group may be held.
	unresolved bool
	// sample is the first of the ranks whose counts are read.
	sample int
	// counted is set once the counts were read in this epoch.
	counted bool
}

// tend looks after the groups of a service once and returns the pause until the next time.
func (l *Leader) tend(ctx context.Context, s cataloguer.Service, keepers map[identifier.ModelGroup]*keeper) time.Duration {
	var known []*keeper
	for _, k := range keepers {
		if k.service.Name == s.Name {
			known = append(known, k)
		}
	}
	if len(known) == 0 {
		found, closed := l.readGroups(ctx, s)
		switch {
		case len(found) > 0:
			l.cfg.GroupState(s.Name, true)
		case closed:
			l.cfg.GroupState(s.Name, false)
			return rosterPause
		default:
			// A rank that does not answer, or that ends an earlier switch, says nothing about the group.
			return rosterPause
		}
		for _, k := range found {
			keepers[k.group.Name] = k
		}
		known = found
	}
	next := countInterval
	for _, k := range known {
		if !k.counted {
			next = min(next, firstCountPause)
		}
		if err := l.keep(ctx, k); err != nil {
			next = min(next, rosterPause)
			delete(keepers, k.group.Name)
			var gone *mapswitcher.ReplacedError
			if errors.As(err, &gone) {
				l.leaveOut(gone.Upstream)
				next = 0
			}
		}
	}
	return next
}

// members returns the upstreams of a service, those with older entries first: the entry of an upstream that has ended
// stays for some seconds, and its successor answers at the same address.
func (l *Leader) members(s identifier.Service) []mapswitcher.Member {
	upstreams := slices.Clone(l.cfg.Fleet().Upstreams)
	slices.SortStableFunc(upstreams, func(a, b cataloguer.Upstream) int { return cmp.Compare(a.Version, b.Version) })
	var out []mapswitcher.Member
	for _, u := range upstreams {
		if u.Service == s && l.replaced[u.ID] != u.Version {
			out = append(out, mapswitcher.Member{Upstream: u.ID, Address: u.Address})
		}
	}
	return out
}

// leaveOut keeps an upstream out of the groups until its entry changes.
func (l *Leader) leaveOut(id identifier.Upstream) {
	for _, u := range l.cfg.Fleet().Upstreams {
		if u.ID == id {
			l.replaced[id] = u.Version
		}
	}
}

// gather calls a function for all members at the same time, again for those whose call fails. The results of members
// whose calls all fail are left zero.
func gather[T any](ctx context.Context, members []mapswitcher.Member, call func(context.Context, mapswitcher.Member) (T, error)) ([]T, []error) {
	out := make([]T, len(members))
	errs := make([]error, len(members))
	var group sync.WaitGroup
	for i, m := range members {
		group.Go(func() {
			for range callTries {
				limited, cancel := context.WithTimeout(ctx, callTimeout)
				out[i], errs[i] = call(limited, m)
				cancel()
				if errs[i] == nil {
					return
				}
			}
		})
	}
	group.Wait()
	return out, errs
}

// readGroups reads which upstreams form the groups of a service, and tells whether a rank reports that its group is
// closed.
func (l *Leader) readGroups(ctx context.Context, s cataloguer.Service) ([]*keeper, bool) {
	members := l.members(s.Name)
	if len(members) == 0 {
		return nil, false
	}
	justOpened := l.justOpened(s.Name)
	if !justOpened {
		// One closed rank shows that its group is closed, at the price of one call.
		l.asked++
		one := l.asked % len(members)
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		first, err := l.cfg.Engines.Report(limited, members[one])
		cancel()
		if err == nil && !first.Open {
			return nil, true
		}
	}
	reports, errs := gather(ctx, members, l.cfg.Engines.Report)
	groups := map[identifier.ModelGroup]*roster{}
	closed := false
	for i, r := range reports {
		if errs[i] != nil || r.Group == "" {
			continue
		}
		closed = closed || !r.Open && !justOpened
		if groups[r.Group] == nil {
			groups[r.Group] = &roster{}
		}
		groups[r.Group].add(members[i], r)
	}
	var out []*keeper
	for name, g := range groups {
		if !g.complete(justOpened) {
			continue
		}
		k, err := l.newKeeper(ctx, s, name, g)
		if err != nil {
			l.cfg.Log.Event(logger.EventMapAbandoned).Str("group", string(name)).AnErr("error", err).Send()
			continue
		}
		out = append(out, k)
	}
	return out, closed
}

// roster gathers the reports of a group.
type roster struct {
	members []mapswitcher.Member
	reports []mapswitcher.Report
}

func (g *roster) add(m mapswitcher.Member, r mapswitcher.Report) {
	at, found := slices.BinarySearchFunc(g.reports, r, func(a, b mapswitcher.Report) int { return int(a.Rank - b.Rank) })
	if found {
		// Draining upstreams and their successors may report the same rank; the newer epoch holds.
		if r.Epoch >= g.reports[at].Epoch {
			g.members[at], g.reports[at] = m, r
		}
		return
	}
	g.members = slices.Insert(g.members, at, m)
	g.reports = slices.Insert(g.reports, at, r)
}

// complete tells whether all ranks are there and the group works. If it has just opened, reports may still call it
// closed, or be of the epoch before.
func (g *roster) complete(justOpened bool) bool {
	if len(g.reports) == 0 || len(g.reports) != g.reports[0].Size {
		return false
	}
	for i, r := range g.reports {
		if int(r.Rank) != i {
			return false
		}
		if !justOpened && (!r.Open || r.Epoch != g.reports[0].Epoch) {
			return false
		}
	}
	return true
}

func (l *Leader) newKeeper(ctx context.Context, s cataloguer.Service, name identifier.ModelGroup, g *roster) (*keeper, error) {
	k := &keeper{
		service:   s,
		group:     mapswitcher.Group{Name: name, Members: g.members},
		estimator: newEstimator(s.Engine.Sets, s.Engine.Experts, len(g.members), l.demand[s.Name]),
		switcher: mapswitcher.New(mapswitcher.Config{
			Engines:  l.cfg.Engines,
			Allowed:  l.Leading,
			LoadTime: s.Engine.ExpertLoadTime,
		}),
	}
	l.demand[s.Name] = k.estimator
	epoch, err := l.readLayout(ctx, k)
	if err != nil {
		return nil, err
	}
	k.group.Epoch = epoch
	for _, r := range g.reports {
		// Nothing that was held or armed outlives the epoch.
		k.unresolved = k.unresolved || r.Epoch == k.group.Epoch && (r.Held != nil || r.Armed != 0)
	}
	if k.unresolved {
		return k, l.recoverGroup(ctx, k)
	}
	return k, nil
}

// readLayout reads what the ranks hold and returns their epoch. Unlike reports, these answers are not behind.
func (l *Leader) readLayout(ctx context.Context, k *keeper) (mapswitcher.Epoch, error) {
	holdings, errs := gather(ctx, k.group.Members, l.cfg.Engines.Holdings)
	layout := make(rebalancer.Layout, k.service.Engine.Sets)
	for s := range layout {
		layout[s] = make([][]identifier.Expert, len(holdings))
	}
	for r, h := range holdings {
		if errs[r] != nil {
			return 0, errs[r]
		}
		if h.Epoch != holdings[0].Epoch || h.Version != holdings[0].Version || len(h.Experts) != len(layout) {
			return 0, mapswitcher.ErrEpoch
		}
		for s, experts := range h.Experts {
			layout[s][r] = experts
		}
	}
	k.layout = layout
	return holdings[0].Epoch, nil
}

// recoverGroup ends what an earlier leader or a failed switch has left. The caller has been in charge, or the earlier
// leader silent, for longer than reports lag.
func (l *Leader) recoverGroup(ctx context.Context, k *keeper) error {
	reports, errs := gather(ctx, k.group.Members, l.cfg.Engines.Report)
	for i, r := range reports {
		if errs[i] != nil {
			return errs[i]
		}
		if r.Epoch != k.group.Epoch {
			return mapswitcher.ErrEpoch
		}
	}
	if err := k.switcher.Recover(ctx, k.group, reports, l.nextVersion(), k.layout); err != nil {
		return err
	}
	k.unresolved = false
	epoch, err := l.readLayout(ctx, k)
	if err != nil {
		return err
	}
	if epoch != k.group.Epoch {
		return mapswitcher.ErrEpoch
	}
	l.cfg.Log.Event(logger.EventHoldReleased).Str("group", string(k.group.Name)).Uint64("epoch", uint64(k.group.Epoch)).Send()
	return nil
}

// nextVersion returns a map version above all earlier ones: the fence grows with every tenure.
func (l *Leader) nextVersion() identifier.MapVersion {
	l.version = max(l.version+1, l.tenure*versionsPerTenure)
	return identifier.MapVersion(l.version)
}

// sampled returns the ranks whose counts are read, and their upstreams.
func (k *keeper) sampled() ([]int, []mapswitcher.Member) {
	var ranks []int
	var members []mapswitcher.Member
	for i := range min(sampledRanks, len(k.group.Members)) {
		rank := (k.sample + i) % len(k.group.Members)
		ranks = append(ranks, rank)
		members = append(members, k.group.Members[rank])
	}
	return ranks, members
}

// keep reads the counts of a group and switches its map if that is worth it.
func (l *Leader) keep(ctx context.Context, k *keeper) error {
	if k.unresolved {
		if err := l.recoverGroup(ctx, k); err != nil {
			return err
		}
	}
	ranks, sampled := k.sampled()
	counts, errs := gather(ctx, sampled, l.cfg.Engines.Counts)
	for i, c := range counts {
		if errs[i] != nil {
			return errs[i]
		}
		if c.Epoch != k.group.Epoch {
			return mapswitcher.ErrEpoch
		}
	}
	if !k.estimator.observe(time.Now(), ranks, counts) {
		// Ranks of a failure domain that is out serve nothing and show nothing of what is in demand.
		k.sample += sampledRanks
	}
	k.counted = true
	if counts[0].Step < k.step {
		// The ranks are still armed for the last switch and take no new map.
		return nil
	}
	engine := k.service.Engine
	popularity := k.estimator.popularity()
	next := rebalancer.Improve(k.layout, popularity, rebalancer.Shape{
		Experts: engine.Experts, Places: engine.Places, Spare: engine.Spare, Enough: enough,
	})
	before, after := rebalancer.Skew(k.layout, popularity), rebalancer.Skew(next, popularity)
	if before < tolerated || before-after < minSkewGain {
		return nil
	}
	return l.switchMap(ctx, k, next, before, after)
}

func (l *Leader) switchMap(ctx context.Context, k *keeper, next rebalancer.Layout, before, after float64) error {
	started := time.Now()
	plan := mapswitcher.Plan{
		Version:  l.nextVersion(),
		Fallback: l.nextVersion(),
		From:     k.layout,
		To:       next,
		Loads:    rebalancer.Loads(k.layout, next),
	}
	result, err := k.switcher.Switch(ctx, k.group, plan)
	k.step = result.Step
	event, count := logger.EventMapSwitched, meter.MapSwitches
	if err != nil {
		event, count = logger.EventMapAbandoned, meter.MapsAbandoned
	}
	l.cfg.Meter.Add(count)
	l.cfg.Log.Event(event).Str("group", string(k.group.Name)).Uint64("epoch", uint64(k.group.Epoch)).
		Uint64("version", uint64(plan.Version)).Float64("skewBefore", before).Float64("skewAfter", after).
		Int("loads", plan.Loads).Dur("tookMs", time.Since(started)).Dur("heldMs", result.Held).AnErr("error", err).Send()
	switch {
	case err == nil:
		k.layout = next
		return nil
	case errors.Is(err, mapswitcher.ErrUnresolved):
		k.unresolved = true
		return nil
	case errors.Is(err, mapswitcher.ErrAbandoned):
		return nil
	}
	return err
}
