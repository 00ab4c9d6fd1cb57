// Package mapleader adapts the expert maps of model groups to demand. One gateway at a time leads, under a lease in the
// platform's store. The leader samples the expert counts of the ranks, computes a better map with rebalancer and
// applies it with mapswitcher.
package mapleader

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/meter"
	"currantledge.example/currantledge/internal/version/cataloguer"
	"currantledge.example/currantledge/internal/version/estimator"
	"currantledge.example/currantledge/internal/version/mapswitcher"
	"currantledge.example/currantledge/internal/version/rebalancer"
	"currantledge.example/currantledge/internal/version/sampler"
)

const (
	// maxWait bounds the time between two looks at the groups, since use and passes of a group decide when its counts are due.
	maxWait = 500 * time.Millisecond
	// groupRetryInterval is the time before the leader reads an incomplete or failing group again, and before a gateway
	// that does not lead checks again whether it does.
	groupRetryInterval = 150 * time.Millisecond
	// reportLag is the maximum age of the reports of ranks. For this time after a request was served, a report that the
	// group is closed may be older than the request.
	reportLag = 500 * time.Millisecond
	// groupSearchInterval is the time between two searches for further groups of a service while one is managed.
	groupSearchInterval = time.Second
	// callTimeout bounds one call of a rank; ranks respond within a few milliseconds.
	callTimeout = 150 * time.Millisecond
	// maxCallTries bounds the calls to a rank that times out or fails. Ranks may fail a part of their calls for seconds,
	// and a group is read only if all of its ranks respond.
	maxCallTries = 6
	// maxLayoutTries bounds the reads of the maps of all ranks if they contradict each other.
	maxLayoutTries = 3
	// maxReportTries bounds the reads of the reports of all ranks until two in a row agree.
	maxReportTries = 4
	// maxProbes bounds the calls that look for one rank of a group that responds. The rank that closed the group may not.
	maxProbes = 3
	// releaseTimeout bounds the write that releases the lease.
	releaseTimeout = 300 * time.Millisecond
	// leaseInterval is the time between two checks of the lease.
	leaseInterval = 250 * time.Millisecond
	// renewTimeout bounds one renewal: several have to fail before an outage counts as one of the platform and the lease can
	// be extended, all within its term. The store responds in 4 ms, and takes up to 60 times as long while it is slow.
	renewTimeout = 600 * time.Millisecond
	// outageAfter is how long renewals must fail before the leader considers the platform down for all gateways. Gateways
	// that follow the store receive a response at least every 1.5 s and report it within 0.4 s.
	outageAfter = 2 * time.Second
	// outageSlack is how long after the start of a failed renewal a response to another gateway may be as old as the
	// outage itself.
	outageSlack = 300 * time.Millisecond
	// minSkewGain is the reduction of the skew below which a switch does not pay for its orders and for the slower steps
	// while ranks load experts.
	minSkewGain = 0.05
	// triggerSkew is the skew at or above which a group is rebalanced, and after a switch the next one follows as soon as
	// possible; targetSkew is the skew that the new map aims at.
	triggerSkew = 1.4
	targetSkew  = 1.1
	// maxLoadTime bounds the time for which a rank loads experts in one change, and minLoads is the number that it may load
	// in any case.
	maxLoadTime = 300 * time.Millisecond
	minLoads    = 2
	// versionsPerTenure is how many map versions a tenure may use before they could reach those of the next tenure.
	versionsPerTenure = 1 << 12
)

// Config configures a Leader.
type Config struct {
	Lease   *Lease
	Engines mapswitcher.Engines
	Fleet   func() cataloguer.Fleet
	// PeerLeads reports whether another gateway leads and has sent gossip recently.
	PeerLeads func() bool
	// Candidate reports whether this gateway is one of the few that try to acquire a free lease, so that the number of
	// calls to the store does not grow with the fleet.
	Candidate func() bool
	// StoreServesPeers reports whether the platform's store has responded to another gateway since a time.
	StoreServesPeers func(since time.Time) bool
	// PlatformDown reports whether this gateway receives gossip from at least half of its peers and the platform's store
	// has responded to none of these since a time.
	PlatformDown func(since time.Time) bool
	// Busy reports whether requests run on a group, also those of other gateways. If it is nil, that is not known, and each
	// group counts as in use.
	Busy func(identifier.GroupID) bool
	// OnGroupState is called with each observation of whether a group is open.
	OnGroupState func(id identifier.GroupID, open bool)
	// OnGroupFound is called with the addresses of the ranks of each group that was discovered, and a version that is
	// higher than those of earlier calls, also of earlier leaders.
	OnGroupFound func(id identifier.GroupID, addresses []string, version uint64)
	// LinkSpeed is that of the VM's network link, or 0 if it is not known.
	LinkSpeed identifier.Mbps
	Log       *logger.Logger
	Meter     *meter.Meter
}

// Leader rebalances the model groups while it holds the lease. Run and RunLease run concurrently, one call of each.
type Leader struct {
	cfg     Config
	leading atomic.Bool
	// tenure is the fence that the lease had when the leader last managed no group. Map versions start from it.
	tenure   uint64
	statusMu sync.Mutex
	// status holds what is known of the managed groups; statusMu guards it.
	status    map[identifier.GroupID]GroupStatus
	versionMu sync.Mutex
	// version is the last map version that this leader has used; versionMu guards it.
	version uint64
	// services holds the state of each service; only Run uses it.
	services map[identifier.Service]*serviceState
	// failingSince is when the first of the renewals that have failed in a row started; zero if the last one succeeded.
	failingSince time.Time
	// ordersMu is held while orders are issued, so that the lease is not resigned during a switch.
	ordersMu sync.Mutex
	openedMu sync.Mutex
	// openedAt holds when requests last showed that a closed group works again; openedMu guards it.
	openedAt map[identifier.GroupID]time.Time
	passMu   sync.Mutex
	// passes holds what is known of the passes of each group; passMu guards it.
	passes map[identifier.GroupID]*passClock
	// signs holds the signs of slower passes that Run has not taken; passMu guards it.
	signs map[identifier.GroupID][]slowSign
	// wake interrupts wait when a group opens or its passes become slower.
	wake chan struct{}
	// numbersMu guards numbersRead, which counts the numbers of counts read, by reason.
	numbersMu   sync.Mutex
	numbersRead map[sampler.Reason]float64
}

// New returns a Leader.
func New(cfg Config) *Leader {
	return &Leader{
		cfg:         cfg,
		services:    map[identifier.Service]*serviceState{},
		status:      map[identifier.GroupID]GroupStatus{},
		openedAt:    map[identifier.GroupID]time.Time{},
		passes:      map[identifier.GroupID]*passClock{},
		signs:       map[identifier.GroupID][]slowSign{},
		wake:        make(chan struct{}, 1),
		numbersRead: map[sampler.Reason]float64{},
	}
}

// GroupOpened notifies the leader that requests have shown that a closed group works again, before the reports of its
// ranks do. It may be called concurrently.
func (l *Leader) GroupOpened(id identifier.GroupID) {
	l.openedMu.Lock()
	maps.DeleteFunc(l.openedAt, func(_ identifier.GroupID, at time.Time) bool { return time.Since(at) >= reportLag })
	l.openedAt[id] = time.Now()
	l.openedMu.Unlock()
	l.interrupt()
}

// recentlyOpened reports whether a group opened so recently that reports may be older.
func (l *Leader) recentlyOpened(id identifier.GroupID) bool {
	return l.openedSince(id, time.Now().Add(-reportLag))
}

// openedSince reports whether a group opened after a time, and so recently that reports may be older. A gateway that does
// not know the groups of a service reports their opening without a name; for an id without a name, any group of the
// service counts.
func (l *Leader) openedSince(id identifier.GroupID, since time.Time) bool {
	l.openedMu.Lock()
	defer l.openedMu.Unlock()
	for opened, at := range l.openedAt {
		if opened.Service == id.Service && (opened.Group == id.Group || opened.Group == "" || id.Group == "") &&
			at.After(since) && time.Since(at) < reportLag {
			return true
		}
	}
	return false
}

// GroupStatus is what the leader knows of a group that it manages.
type GroupStatus struct {
	// Skew is the work of the most loaded rank by the last counts, as a multiple of the mean.
	Skew float64
	// SwitchedAt is when this leader last switched the map of the group; zero if it has not.
	SwitchedAt time.Time
}

// Groups returns the status of the managed groups; none if this gateway does not lead. It may be called concurrently.
func (l *Leader) Groups() map[identifier.GroupID]GroupStatus {
	if !l.Leading() {
		return nil
	}
	l.statusMu.Lock()
	defer l.statusMu.Unlock()
	return maps.Clone(l.status)
}

// recordSkew records the skew of a group, and that its map was just switched if that is set.
func (l *Leader) recordSkew(id identifier.GroupID, skew float64, switched bool) {
	l.statusMu.Lock()
	defer l.statusMu.Unlock()
	status := l.status[id]
	status.Skew = skew
	if switched {
		status.SwitchedAt = time.Now()
	}
	l.status[id] = status
}

// forget removes the status of a group that is no longer managed.
func (l *Leader) forget(id identifier.GroupID) {
	l.statusMu.Lock()
	defer l.statusMu.Unlock()
	delete(l.status, id)
}

// wait returns when the time has passed, a group opens or the context ends.
func (l *Leader) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-l.wake:
	}
}

// Leading reports whether this gateway leads. It may be called concurrently.
func (l *Leader) Leading() bool {
	return l.leading.Load() && l.cfg.Lease.Held()
}

// RunLease acquires and renews the lease until the context ends, then releases it.
func (l *Leader) RunLease(ctx context.Context) error {
	ticker := time.NewTicker(leaseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			// A switch in progress has to be abandoned first, which needs the lease.
			l.ordersMu.Lock()
			defer l.ordersMu.Unlock()
			l.leading.Store(false)
			callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
			defer cancel()
			if err := l.cfg.Lease.Release(callCtx); err != nil {
				l.cfg.Meter.Increment(meter.StoreFailures)
			}
			return nil
		case <-ticker.C:
			l.maintainLease(ctx)
		}
	}
}

// maintainLease renews the lease if this gateway leads. Otherwise it tries to acquire the lease if there are groups, no
// peer leads and this gateway is a candidate.
func (l *Leader) maintainLease(ctx context.Context) {
	wasLeading := l.leading.Load()
	var leading bool
	var err error
	switch {
	case wasLeading:
		leading, err = l.renew(ctx)
	case !l.hasGroups() || l.cfg.PeerLeads() || !l.cfg.Candidate():
		return
	default:
		leading, err = l.cfg.Lease.Acquire(ctx)
	}
	if err != nil {
		l.cfg.Meter.Increment(meter.StoreFailures)
	}
	if leading != wasLeading {
		l.leading.Store(leading)
		l.cfg.Log.Event(logger.EventMapLeadershipChanged).Bool("leading", leading).Uint64("fence", l.cfg.Lease.Fence()).
			AnErr("error", err).Send()
	}
}

// renew renews the lease and reports whether it is still held. If the platform is down for all gateways and no other one
// leads, it extends the lease without the platform; if the platform responds to other gateways but not to this one, it resigns the lease
// between two switches.
func (l *Leader) renew(ctx context.Context) (bool, error) {
	started := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	held, err := l.cfg.Lease.Renew(callCtx)
	cancel()
	if !held || err == nil {
		l.failingSince = time.Time{}
		return held, err
	}
	if l.failingSince.IsZero() {
		l.failingSince = started
	}
	since := l.failingSince.Add(outageSlack)
	if time.Since(l.failingSince) >= outageAfter && l.cfg.PlatformDown(since) && !l.cfg.PeerLeads() {
		l.cfg.Lease.Extend()
		return held, err
	}
	if !l.cfg.StoreServesPeers(since) {
		return held, err
	}
	if !l.ordersMu.TryLock() {
		return held, err
	}
	defer l.ordersMu.Unlock()
	return !l.cfg.Lease.Resign(), err
}

// errNotConfirmed means that this gateway may no longer lead.
var errNotConfirmed = errors.New("the lease could not be confirmed")

// confirmLease returns nil if no other gateway has led until it was called.
func (l *Leader) confirmLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	confirmed, err := l.cfg.Lease.Confirm(ctx)
	if err != nil {
		l.cfg.Meter.Increment(meter.StoreFailures)
	}
	if !confirmed {
		return errors.CombineErrors(errNotConfirmed, err)
	}
	return nil
}

func (l *Leader) hasGroups() bool {
	return len(l.groupServices()) > 0
}

// groupServices returns the services whose engines form groups with expert maps.
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

// Run rebalances the groups while this gateway leads, until the context ends.
func (l *Leader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !l.Leading() {
			for _, st := range l.services {
				l.abandon(st)
			}
			l.wait(ctx, groupRetryInterval)
			continue
		}
		if fence := l.cfg.Lease.Fence(); l.tenure == 0 || !l.managesGroups() {
			l.tenure = fence
		}
		l.ordersMu.Lock()
		next := l.rebalanceServices(ctx)
		l.ordersMu.Unlock()
		l.wait(ctx, next)
	}
	return nil
}

// rebalanceServices rebalances the groups of all services at the same time and returns the time until the next call.
func (l *Leader) rebalanceServices(ctx context.Context) time.Duration {
	services := l.groupServices()
	maps.DeleteFunc(l.services, func(name identifier.Service, st *serviceState) bool {
		if slices.ContainsFunc(services, func(s cataloguer.Service) bool { return s.Name == name }) {
			return false
		}
		l.abandon(st)
		return true
	})
	waits := make([]time.Duration, len(services))
	var wg sync.WaitGroup
	for i, s := range services {
		st, found := l.services[s.Name]
		if !found {
			st = l.newServiceState(s.Name)
			l.services[s.Name] = st
		}
		st.Service = s
		wg.Go(func() { waits[i] = l.rebalanceService(ctx, st) })
	}
	wg.Wait()
	return slices.Min(append(waits, maxWait))
}

// managesGroups reports whether any group is managed.
func (l *Leader) managesGroups() bool {
	for _, st := range l.services {
		if len(st.managed) > 0 {
			return true
		}
	}
	return false
}

// abandon forgets the groups of a service that this gateway no longer leads.
func (l *Leader) abandon(st *serviceState) {
	for id := range st.managed {
		l.forget(id)
	}
	clear(st.managed)
	clear(st.lost)
	clear(st.holds)
}

// managedGroup is the state that the leader keeps for one epoch of a group.
type managedGroup struct {
	service   cataloguer.Service
	engines   *checkedEngines
	group     mapswitcher.Group
	layout    rebalancer.Layout
	estimator *estimator.Estimator
	switcher  *mapswitcher.Switcher
	// step is the step at which the ranks switch to the newest map.
	step identifier.Step
	// unresolved is set if an earlier switch may have left the group held or armed.
	unresolved bool
	standstill mapswitcher.Standstill
	// sampler decides when the counts are read, and lastReason is why they were read last.
	sampler    sampler.Sampler
	lastReason sampler.Reason
	// firstSampled, modulo the number of ranks, is the first rank whose counts are read.
	firstSampled int
	// rebased holds the ranks beside the usual ones whose next counts are a sample of the demand since the last shift.
	rebased map[int]bool
	// foundAt is when the group was found, and seenAt when the leader last read counts or a report of it.
	foundAt time.Time
	seenAt  time.Time
	// steps tells whether the group makes passes of which no gateway has told, and checks counts the reports read for that.
	steps  stepWatch
	checks int
	// kept is why the map was kept when the counts were last read, or empty.
	kept keptReason
}

// id returns the id of the group.
func (g *managedGroup) id() identifier.GroupID {
	return identifier.GroupID{Service: g.service.Name, Group: g.group.Name}
}

// rebalanceService discovers the groups of a service that are not managed, rebalances the managed ones that are due and
// returns the time until the next call.
func (l *Leader) rebalanceService(ctx context.Context, st *serviceState) time.Duration {
	l.search(ctx, st)
	next := maxWait
	failed := map[*managedGroup]error{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, g := range st.managed {
		task := l.task(g)
		if task == nil {
			continue
		}
		wg.Go(func() {
			if err := task(ctx); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed[g] = err
			}
		})
	}
	wg.Wait()
	for g, err := range failed {
		id := g.id()
		delete(st.managed, id)
		l.forget(id)
		st.lost[id] = addresses(g.group.Members)
		var replaced *mapswitcher.ReplacedError
		if errors.As(err, &replaced) {
			l.markReplaced(st, replaced.Upstream)
			next = 0
		}
	}
	now := time.Now()
	for _, g := range st.managed {
		if reading, is := g.sampler.Next(now, l.use(now, g)); is {
			next = min(next, max(reading.At.Sub(now), 0))
		}
	}
	if len(st.managed) == 0 || len(st.lost) > 0 {
		next = min(next, groupRetryInterval)
	}
	return next
}

// task returns what is due for a group, or nil: to read its counts, to recover it, or to look at a group that is not in
// use.
func (l *Leader) task(g *managedGroup) func(context.Context) error {
	now := time.Now()
	id := g.id()
	if l.openedSince(id, g.seenAt) {
		g.sampler.RecordOpened()
	}
	for _, sign := range l.takeSigns(id) {
		if g.sampler.RecordSlowed(now, sign.at, sign.byPeer) {
			g.estimator.ExpectShift()
		}
	}
	reading, is := g.sampler.Next(now, l.use(now, g))
	switch {
	case is && !reading.At.After(now):
		return func(ctx context.Context) error { return l.rebalance(ctx, g, reading) }
	case now.Sub(g.seenAt) < maxWait:
		return nil
	case g.unresolved:
		return func(ctx context.Context) error {
			g.seenAt = time.Now()
			return l.recoverGroup(ctx, g)
		}
	case !is:
		return func(ctx context.Context) error { return l.checkIdle(ctx, g) }
	}
	return nil
}

// gather calls a function for all members concurrently, up to some times for each until it succeeds. It returns
// the results and errors by member; the error is that of the last try.
func gather[T any](ctx context.Context, members []mapswitcher.Member, tries int, call func(context.Context, mapswitcher.Member) (T, error)) ([]T, []error) {
	out := make([]T, len(members))
	errs := make([]error, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() {
			for range tries {
				callCtx, cancel := context.WithTimeout(ctx, callTimeout)
				out[i], errs[i] = call(callCtx, m)
				cancel()
				if errs[i] == nil {
					return
				}
			}
		})
	}
	wg.Wait()
	return out, errs
}

// readLayout reads the maps of the ranks into the layout of the group and returns their epoch. Unlike reports, the maps
// are up to date. They are read again if they contradict each other: one of them is wrong, or the map was changed while they
// were read.
func (l *Leader) readLayout(ctx context.Context, g *managedGroup) (mapswitcher.Epoch, error) {
	var err error
	for range maxLayoutTries {
		maps, errs := gather(ctx, g.group.Members, maxCallTries, g.engines.RankMap)
		if i := slices.IndexFunc(errs, func(err error) bool { return err != nil }); i >= 0 {
			return 0, errs[i]
		}
		var layout rebalancer.Layout
		if layout, err = g.engines.checker.NewLayout(maps); err == nil {
			g.layout = layout
			return maps[0].Epoch, nil
		}
		g.engines.rejections.record("", err)
	}
	return 0, err
}

// recoverGroup ends the switch that an earlier leader or a failed switch of this one has left unfinished. It may only
// be called once this gateway has led, or the earlier leader has been silent, for longer than reportLag.
func (l *Leader) recoverGroup(ctx context.Context, g *managedGroup) error {
	reports, err := l.readReports(ctx, g)
	if err != nil {
		return err
	}
	return l.recoverFrom(ctx, g, reports)
}

// readReports reads the reports of all ranks until two in a row agree on the orders in force: orders are derived from them,
// and a single report may be spoiled.
func (l *Leader) readReports(ctx context.Context, g *managedGroup) ([]mapswitcher.Report, error) {
	var last []mapswitcher.Report
	for range maxReportTries {
		reports, errs := gather(ctx, g.group.Members, maxCallTries, g.engines.Report)
		if i := slices.IndexFunc(errs, func(err error) bool { return err != nil }); i >= 0 {
			return nil, errs[i]
		}
		if !slices.EqualFunc(last, reports, mapswitcher.Report.AgreesOnOrders) {
			last = reports
			continue
		}
		if slices.ContainsFunc(reports, func(r mapswitcher.Report) bool { return r.Epoch != g.group.Epoch }) {
			return nil, mapswitcher.ErrEpochChanged
		}
		return reports, nil
	}
	return nil, errors.New("the reports of the ranks change with each read")
}

// recoverFrom ends the unfinished switch that the reports show.
func (l *Leader) recoverFrom(ctx context.Context, g *managedGroup, reports []mapswitcher.Report) error {
	if err := g.switcher.Recover(ctx, g.group, reports, l.nextVersion(), g.layout); err != nil {
		l.doubtIfSuperseded(err)
		return err
	}
	g.unresolved = false
	epoch, err := l.readLayout(ctx, g)
	if err != nil {
		return err
	}
	if epoch != g.group.Epoch {
		return mapswitcher.ErrEpochChanged
	}
	l.cfg.Log.Event(logger.EventHoldReleased).Str("group", string(g.group.Name)).Uint64("epoch", uint64(g.group.Epoch)).Send()
	return nil
}

// doubtIfSuperseded makes this gateway confirm the lease before it goes on, if the error shows that a later leader has given
// orders.
func (l *Leader) doubtIfSuperseded(err error) {
	if errors.Is(err, mapswitcher.ErrSuperseded) {
		l.cfg.Lease.Doubt()
	}
}

// endHolds releases holds that keep the group from beginning its next step although no switch is in progress: those of
// this leader that were placed after their release, and, if the group stands while requests run, any other; current is the
// step that began last.
func (l *Leader) endHolds(ctx context.Context, g *managedGroup, current identifier.Step) error {
	if released := g.switcher.EndStrayHolds(ctx, g.group, current); len(released) > 0 {
		l.logStandstill(g, current, released)
	}
	if !g.standstill.Observe(time.Now(), current, l.cfg.Busy != nil && l.cfg.Busy(g.id())) {
		return nil
	}
	reports, err := l.readReports(ctx, g)
	if err != nil {
		return err
	}
	var holders []mapswitcher.Member
	for i, r := range reports {
		if r.Held != nil {
			holders = append(holders, g.group.Members[i])
		}
	}
	l.logStandstill(g, current, holders)
	if len(holders) == 0 {
		return nil
	}
	return l.recoverFrom(ctx, g, reports)
}

// logStandstill logs that a group did not begin the step after current, and the ranks that held it.
func (l *Leader) logStandstill(g *managedGroup, current identifier.Step, holders []mapswitcher.Member) {
	names := make([]string, 0, len(holders))
	for _, m := range holders {
		names = append(names, string(m.Upstream))
	}
	l.cfg.Log.Event(logger.EventGroupStands).Str("group", string(g.group.Name)).Uint64("epoch", uint64(g.group.Epoch)).
		Uint64("step", uint64(current)+1).Strs("heldBy", names).Send()
}

// nextVersion returns a map version that is higher than all earlier ones, also of earlier leaders: the fence grows with
// every tenure.
func (l *Leader) nextVersion() identifier.MapVersion {
	l.versionMu.Lock()
	defer l.versionMu.Unlock()
	l.version = max(l.version+1, l.tenure*versionsPerTenure)
	return identifier.MapVersion(l.version)
}

// ranks returns some of the ranks whose counts are read, and their members.
func (g *managedGroup) ranks(from, to int) ([]int, []mapswitcher.Member) {
	var ranks []int
	var members []mapswitcher.Member
	for i := from; i < min(to, len(g.group.Members)); i++ {
		rank := (g.firstSampled + i) % len(g.group.Members)
		ranks = append(ranks, rank)
		members = append(members, g.group.Members[rank])
	}
	return ranks, members
}

// rebalance reads the counts of a group and switches its map if that reduces the skew enough.
func (l *Leader) rebalance(ctx context.Context, g *managedGroup, reading sampler.Reading) error {
	if g.unresolved {
		if err := l.recoverGroup(ctx, g); err != nil {
			return err
		}
	}
	counts, err := l.observeCounts(ctx, g, reading)
	if err != nil {
		return err
	}
	if g.sampler.Verdict() == estimator.VerdictShifted {
		l.cfg.Log.Event(logger.EventDemandShifted).Str("group", string(g.group.Name)).Uint64("epoch", uint64(g.group.Epoch)).
			Str("readFor", string(reading.Reason)).Send()
		l.rebase(ctx, g)
		return nil
	}
	if counts.Step < g.step {
		// The ranks are still armed for the last switch and reject a new map.
		return nil
	}
	engine := g.service.Engine
	popularity := g.estimator.Popularity()
	next := rebalancer.Improve(g.layout, popularity, rebalancer.Constraints{
		Experts: engine.Experts, Places: engine.Places, Spare: engine.Spare, TargetSkew: targetSkew,
		Loads: maxLoads(engine.ExpertLoadTime),
	})
	skewBefore, skewAfter := rebalancer.Skew(g.layout, popularity), rebalancer.Skew(next, popularity)
	l.recordSkew(g.id(), skewBefore, false)
	switch {
	case skewBefore < triggerSkew:
		g.sampler.RecordKept()
		l.keepMap(g, keptEven, skewBefore, skewAfter)
		return nil
	case skewBefore-skewAfter < minSkewGain:
		g.sampler.RecordKept()
		l.keepMap(g, keptNoBetter, skewBefore, skewAfter)
		return nil
	}
	g.kept = ""
	return l.switchMap(ctx, g, next, skewBefore, skewAfter)
}

// keptReason is why the map of a group is kept.
type keptReason string

const (
	keptEven     keptReason = "even"
	keptNoBetter keptReason = "noBetterMap"
)

// keepMap logs that the map of a group is kept, unless it was kept for the same reason when the counts were last read.
func (l *Leader) keepMap(g *managedGroup, reason keptReason, skewBefore, skewAfter float64) {
	if g.kept == reason {
		return
	}
	g.kept = reason
	l.cfg.Log.Event(logger.EventMapKept).Str("group", string(g.group.Name)).Uint64("epoch", uint64(g.group.Epoch)).
		Str("reason", string(reason)).Str("readFor", string(g.lastReason)).Float64("skewBefore", skewBefore).
		Float64("skewAfter", skewAfter).Send()
}

// maxLoads returns how many experts a rank may load in one change. The load stays uneven until all ranks have loaded
// theirs, and the first few experts reduce the skew most.
func maxLoads(loadTime time.Duration) int {
	if loadTime <= 0 {
		return 0
	}
	return max(int(maxLoadTime/loadTime), minLoads)
}

// switchMap switches a group to a new layout. It returns an error only if the group has to be discovered again.
func (l *Leader) switchMap(ctx context.Context, g *managedGroup, next rebalancer.Layout, skewBefore, skewAfter float64) error {
	started := time.Now()
	plan := mapswitcher.Plan{
		Version:  l.nextVersion(),
		Fallback: l.nextVersion(),
		From:     g.layout,
		To:       next,
	}
	loads := rebalancer.MaxLoads(g.layout, next)
	result, err := g.switcher.Switch(ctx, g.group, plan)
	g.step = result.Step
	event, counter := logger.EventMapSwitched, meter.MapSwitches
	if err != nil {
		event, counter = logger.EventMapAbandoned, meter.MapsAbandoned
	}
	l.cfg.Meter.Increment(counter)
	l.cfg.Log.Event(event).Str("group", string(g.group.Name)).Uint64("epoch", uint64(g.group.Epoch)).
		Uint64("version", uint64(plan.Version)).Str("readFor", string(g.lastReason)).Float64("skewBefore", skewBefore).Float64("skewAfter", skewAfter).
		Int("loads", loads).Dur("tookMs", time.Since(started)).Dur("heldMs", result.HeldFor).AnErr("error", err).Send()
	g.sampler.RecordSwitch(time.Now(), err == nil && skewAfter >= triggerSkew)
	l.doubtIfSuperseded(err)
	switch {
	case err == nil:
		g.layout = next
		l.recordSkew(g.id(), skewAfter, true)
		return nil
	case errors.Is(err, mapswitcher.ErrUnresolved):
		g.unresolved = true
		return nil
	case errors.Is(err, mapswitcher.ErrAbandoned):
		return nil
	}
	return err
}
