package mapleader

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/version/cataloguer"
	"currantledge.example/currantledge/internal/version/estimator"
	"currantledge.example/currantledge/internal/version/mapswitcher"
	"currantledge.example/currantledge/internal/version/rankchecker"
)

// serviceState is what the leader knows of the groups of a service.
type serviceState struct {
	cataloguer.Service
	managed map[identifier.GroupID]*managedGroup
	// lost holds the addresses of the ranks of groups that were managed or closed and have to be discovered.
	lost map[identifier.GroupID][]string
	// estimators holds the last estimator of each group; it outlives the epoch of a group.
	estimators map[identifier.GroupID]*estimator.Estimator
	// holds records the holds that this leader has ordered for each group in its tenure.
	holds      map[identifier.GroupID]*mapswitcher.HoldLedger
	rejections *rejections
	// searchedAt is when unknown groups were last searched for.
	searchedAt time.Time
	// replaced maps each upstream whose address another upstream has taken over to the version of its row.
	replaced map[identifier.Upstream]uint64
	// probes counts the probes of single ranks; each probe goes to the next rank.
	probes int
}

func (l *Leader) newServiceState(name identifier.Service) *serviceState {
	return &serviceState{
		managed:    map[identifier.GroupID]*managedGroup{},
		lost:       map[identifier.GroupID][]string{},
		estimators: map[identifier.GroupID]*estimator.Estimator{},
		holds:      map[identifier.GroupID]*mapswitcher.HoldLedger{},
		replaced:   map[identifier.Upstream]uint64{},
		rejections: &rejections{service: name, log: l.cfg.Log, meter: l.cfg.Meter},
	}
}

// search discovers the groups of a service that are not managed: each lost group by itself, since its ranks fail and
// recover together, and unknown ones among the upstreams that belong to no other group.
func (l *Leader) search(ctx context.Context, st *serviceState) {
	free := l.freeMembers(st)
	lost := st.lostGroups(free)
	owned := map[string]bool{}
	for _, id := range lost {
		for _, address := range st.lost[id] {
			owned[address] = true
		}
	}
	unowned := slices.DeleteFunc(slices.Clone(free), func(m mapswitcher.Member) bool { return owned[m.Address] })
	for _, id := range lost {
		own := st.lost[id]
		isOthers := func(m mapswitcher.Member) bool { return owned[m.Address] && !slices.Contains(own, m.Address) }
		l.discoverGroups(ctx, st, id, slices.DeleteFunc(slices.Clone(free), isOthers))
	}
	switch {
	case len(unowned) == 0:
	case len(st.managed) == 0 && len(lost) == 0:
		l.discoverGroups(ctx, st, identifier.GroupID{Service: st.Name}, unowned)
	case time.Since(st.searchedAt) >= groupSearchInterval:
		st.searchedAt = time.Now()
		l.searchUnknown(ctx, st, unowned)
	}
}

// freeMembers returns the upstreams of a service that belong to no managed group.
func (l *Leader) freeMembers(st *serviceState) []mapswitcher.Member {
	members := l.members(st)
	for _, g := range st.managed {
		members = slices.DeleteFunc(members, func(m mapswitcher.Member) bool { return slices.Contains(g.group.Members, m) })
	}
	return members
}

// lostGroups returns the lost groups in order. Those of which no rank is listed any more are forgotten.
func (st *serviceState) lostGroups(free []mapswitcher.Member) []identifier.GroupID {
	var out []identifier.GroupID
	for id, addresses := range st.lost {
		if !slices.ContainsFunc(free, func(m mapswitcher.Member) bool { return slices.Contains(addresses, m.Address) }) {
			delete(st.lost, id)
			delete(st.estimators, id)
			delete(st.holds, id)
			continue
		}
		out = append(out, id)
	}
	slices.SortFunc(out, func(a, b identifier.GroupID) int { return cmp.Compare(a.Group, b.Group) })
	return out
}

// searchUnknown calls upstreams once and reads further only if one reports an unknown group that is open.
func (l *Leader) searchUnknown(ctx context.Context, st *serviceState, members []mapswitcher.Member) {
	reports, errs := gather(ctx, members, 1, l.reportReader(st))
	var candidates []mapswitcher.Member
	for i, r := range reports {
		id := identifier.GroupID{Service: st.Name, Group: r.Group}
		// An upstream that has ended may still be listed beside its successor in a managed group.
		if errs[i] == nil && r.Open && r.Group != "" && st.managed[id] == nil {
			candidates = append(candidates, members[i])
		}
	}
	l.discoverGroups(ctx, st, identifier.GroupID{Service: st.Name}, candidates)
}

// reportReader returns a function that reads the state of an upstream whose group is not known.
func (l *Leader) reportReader(st *serviceState) func(context.Context, mapswitcher.Member) (mapswitcher.Report, error) {
	return func(ctx context.Context, m mapswitcher.Member) (mapswitcher.Report, error) {
		return st.rejections.report(ctx, l.cfg.Engines, m)
	}
}

// addresses returns the addresses of ranks.
func addresses(members []mapswitcher.Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.Address)
	}
	return out
}

// members returns the upstreams of a service, those with older rows first. The row of an upstream that has ended stays
// listed for some seconds, while its successor responds at the same address. The successor is listed later than it
// responds, after an outage of the platform's store only.
func (l *Leader) members(st *serviceState) []mapswitcher.Member {
	upstreams := slices.Clone(l.cfg.Fleet().Upstreams)
	slices.SortStableFunc(upstreams, func(a, b cataloguer.Upstream) int { return cmp.Compare(a.Version, b.Version) })
	var out []mapswitcher.Member
	listed := map[string]bool{}
	for _, u := range upstreams {
		if u.Service == st.Name && st.replaced[u.ID] != u.Version {
			out = append(out, mapswitcher.Member{Upstream: u.ID, Address: u.Address})
			listed[u.Address] = true
		}
	}
	for _, u := range upstreams {
		if u.Service == st.Name && !listed[u.Address] {
			out = append(out, mapswitcher.Member{Upstream: u.ID, Address: u.Address, Unlisted: true})
			listed[u.Address] = true
		}
	}
	return out
}

// markReplaced records that another upstream has the address of an upstream, until the row of the latter changes.
func (l *Leader) markReplaced(st *serviceState, id identifier.Upstream) {
	upstreams := l.cfg.Fleet().Upstreams
	for known := range st.replaced {
		if !slices.ContainsFunc(upstreams, func(u cataloguer.Upstream) bool { return u.ID == known }) {
			delete(st.replaced, known)
		}
	}
	for _, u := range upstreams {
		if u.ID == id {
			st.replaced[id] = u.Version
		}
	}
}

// discoverGroups adds the groups of some upstreams of which all ranks report to the managed ones. A name is given for a
// lost group. It reports which groups are open or closed.
func (l *Leader) discoverGroups(ctx context.Context, st *serviceState, wanted identifier.GroupID, members []mapswitcher.Member) {
	if len(members) == 0 {
		return
	}
	if !l.recentlyOpened(wanted) && l.isClosed(ctx, st, wanted, members) {
		return
	}
	reports, errs := gather(ctx, members, maxCallTries, l.reportReader(st))
	groups := map[identifier.GroupID]*groupReports{}
	closed := map[identifier.GroupID]bool{}
	for i, r := range reports {
		id := identifier.GroupID{Service: st.Name, Group: r.Group}
		if errs[i] != nil || r.Group == "" || st.managed[id] != nil {
			continue
		}
		closed[id] = closed[id] || !r.Open && !l.recentlyOpened(id)
		if groups[id] == nil {
			groups[id] = &groupReports{}
		}
		groups[id].add(members[i], r)
	}
	for id, reported := range groups {
		if !reported.complete(l.recentlyOpened(id)) {
			// Neither a rank that does not respond nor a failed recovery from an earlier switch means that the group is closed.
			if closed[id] {
				st.lost[id] = addresses(reported.members)
				l.cfg.OnGroupState(id, false)
			}
			continue
		}
		g, err := l.newManagedGroup(ctx, st, id, reported)
		if err != nil {
			l.cfg.Log.Event(logger.EventGroupUnreadable).Str("service", string(st.Name)).Str("group", string(id.Group)).
				AnErr("error", err).Send()
			continue
		}
		st.managed[id] = g
		delete(st.lost, id)
		l.cfg.Log.Event(logger.EventGroupFound).Str("service", string(st.Name)).Str("group", string(id.Group)).
			Uint64("epoch", uint64(g.group.Epoch)).Int("ranks", len(g.group.Members)).Send()
		l.cfg.OnGroupFound(id, addresses(g.group.Members), uint64(l.nextVersion()))
		l.cfg.OnGroupState(id, true)
	}
}

// isClosed reports whether the first of the upstreams that responds reports that the wanted group is closed, which one
// call shows most often. Without a wanted group, it has to be that of most of them.
func (l *Leader) isClosed(ctx context.Context, st *serviceState, wanted identifier.GroupID, members []mapswitcher.Member) bool {
	var report mapswitcher.Report
	err := errors.New("no probe")
	for probe := 0; err != nil && probe < min(maxProbes, len(members)); probe++ {
		st.probes++
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		report, err = l.reportReader(st)(callCtx, members[st.probes%len(members)])
		cancel()
	}
	if err != nil || report.Open || report.Group == "" {
		return false
	}
	if wanted.Group != "" && report.Group != wanted.Group || wanted.Group == "" && 2*report.Size <= len(members) {
		return false
	}
	l.cfg.OnGroupState(identifier.GroupID{Service: wanted.Service, Group: report.Group}, false)
	return true
}

// groupReports holds the reports of the ranks of one group, ordered by rank, and the members that sent them.
type groupReports struct {
	members []mapswitcher.Member
	reports []mapswitcher.Report
}

func (g *groupReports) add(m mapswitcher.Member, r mapswitcher.Report) {
	at, found := slices.BinarySearchFunc(g.reports, r, func(a, b mapswitcher.Report) int { return int(a.Rank - b.Rank) })
	if found {
		// A draining upstream and its successor may report the same rank; the newer epoch wins.
		if r.Epoch >= g.reports[at].Epoch {
			g.members[at], g.reports[at] = m, r
		}
		return
	}
	g.members = slices.Insert(g.members, at, m)
	g.reports = slices.Insert(g.reports, at, r)
}

// complete reports whether the reports cover all ranks of a group that is open. If the group opened recently, reports
// may still show it as closed or be of the previous epoch.
func (g *groupReports) complete(recentlyOpened bool) bool {
	if len(g.reports) == 0 || len(g.reports) != g.reports[0].Size {
		return false
	}
	for i, r := range g.reports {
		if int(r.Rank) != i {
			return false
		}
		if !recentlyOpened && (!r.Open || r.Epoch != g.reports[0].Epoch) {
			return false
		}
	}
	return true
}

// medianStep returns the median of the reported steps, which a few wrong ones do not move.
func (g *groupReports) medianStep() identifier.Step {
	steps := make([]identifier.Step, 0, len(g.reports))
	for _, r := range g.reports {
		steps = append(steps, r.Step)
	}
	slices.Sort(steps)
	return steps[len(steps)/2]
}

func (l *Leader) newManagedGroup(ctx context.Context, st *serviceState, id identifier.GroupID, reported *groupReports) (*managedGroup, error) {
	if st.holds[id] == nil {
		st.holds[id] = mapswitcher.NewHoldLedger(l.cfg.Lease.Term())
	}
	engines := l.newCheckedEngines(st)
	g := &managedGroup{
		service: st.Service,
		engines: engines,
		foundAt: time.Now(),
		rebased: map[int]bool{},
		group:   mapswitcher.Group{Name: id.Group, Members: reported.members},
		estimator: estimator.New(estimator.Config{
			Sets: st.Engine.Sets, Experts: st.Engine.Experts, Ranks: len(reported.members), Previous: st.estimators[id],
		}),
		switcher: mapswitcher.New(mapswitcher.Config{
			Engines:   engines,
			Allowed:   l.Leading,
			Confirm:   l.confirmLease,
			LoadTime:  st.Engine.ExpertLoadTime,
			LinkSpeed: l.cfg.LinkSpeed,
			AwaitPass: func(ctx context.Context) time.Duration { return l.awaitPass(ctx, id) },
			Holds:     st.holds[id],
		}),
	}
	st.estimators[id] = g.estimator
	epoch, err := l.readLayout(ctx, g)
	if err != nil {
		return nil, err
	}
	g.group.Epoch, engines.epoch = epoch, epoch
	engines.checker.Expect(rankchecker.Step{Step: reported.medianStep(), At: g.foundAt.Add(-reportLag)})
	for _, r := range reported.reports {
		// Holds and armed maps end with their epoch.
		g.unresolved = g.unresolved || r.Epoch == g.group.Epoch && (r.Held != nil || r.Armed != 0)
	}
	if g.unresolved {
		return g, l.recoverGroup(ctx, g)
	}
	return g, nil
}
