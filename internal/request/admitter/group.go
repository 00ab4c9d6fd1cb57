package admitter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/timekeeper"
)

// Cause is the observation that closed or opened a group.
type Cause string

// The causes.
const (
	// CauseProgress means that a request of this gateway received data or a complete response.
	CauseProgress Cause = "progress"
	// CauseRejection means that a rank with free slots rejected a request of this gateway.
	CauseRejection Cause = "rejection"
	// CauseStall means that no request of this gateway received data for stallTimeout.
	CauseStall Cause = "stall"
	// CausePeer means that another gateway reported the change.
	CausePeer Cause = "peer"
)

// GroupChange is the closing or opening of a group.
type GroupChange struct {
	Group identifier.GroupID
	// Closed is false if the group opened.
	Closed bool
	Cause  Cause
	// ClosedFor is how long the group was closed; 0 if it has just closed.
	ClosedFor time.Duration
}

// group is the state of a group of ranks as this gateway knows it. The ranks run their steps together, so they fail and
// recover together.
type group struct {
	name identifier.ModelGroup
	// running is the number of requests that this gateway runs on the ranks, and ranks that of the usable ranks.
	running int
	ranks   int
	// slots is the number of slots of the usable ranks.
	slots int
	// upstreams holds all ranks by id.
	upstreams []*upstream
	// runningLate is the number of those in running that could no longer be on time when they were granted.
	runningLate int
	// lastProgress is when a request of this gateway last received data, or when the first of the running ones started.
	lastProgress time.Time
	// dataAt is when a request of this gateway last received data, and rejecters are the ranks that have rejected a request
	// since then although they had free slots.
	dataAt    time.Time
	rejecters map[identifier.Upstream]bool
	// closed is set while the group runs no requests.
	closed      bool
	closedSince time.Time
	// openedAt is when the closed group opened last.
	openedAt time.Time
	// lastProbe is when this gateway last probed the closed group. When the group closes, it is set to a random time within
	// the preceding probe interval.
	lastProbe time.Time
	// expectedOutage is the moving average of the time for which the group was closed.
	expectedOutage time.Duration
	window         *startWindow
	allotment      allotment
	timekeeper     *timekeeper.Timekeeper
	// load is the mean number of requests that run on a rank, over all gateways.
	load float64
	// hasPassed is set once the streams of this gateway have shown a pass since the group opened.
	hasPassed bool
}

// newGroup returns a group that is open, or one in the state of the group to which its ranks belonged before.
func newGroup(name identifier.ModelGroup, previous *group) *group {
	g := &group{expectedOutage: defaultOutage}
	if previous != nil {
		*g = *previous
	}
	g.name, g.window, g.rejecters = name, &startWindow{}, map[identifier.Upstream]bool{}
	g.timekeeper = timekeeper.New()
	return g
}

// assignGroups sets the groups of all upstreams and removes groups without upstreams. Ranks that move to a new group, as
// all do when the gateway learns the groups of a service, keep the state of their former one. countRanks has to follow.
func (a *Admitter) assignGroups() {
	used := map[*group]bool{}
	for _, u := range a.upstreams {
		s := a.service(u.Service)
		g, found := s.groups[u.Group]
		if !found {
			g = newGroup(u.Group, u.group)
			s.groups[u.Group] = g
		}
		u.group = g
		used[g] = true
	}
	for _, s := range a.services {
		maps.DeleteFunc(s.groups, func(_ identifier.ModelGroup, g *group) bool { return !used[g] })
		s.orderedGroups = slices.SortedFunc(maps.Values(s.groups), func(x, y *group) int { return cmp.Compare(x.name, y.name) })
	}
}

// countRanks lists and counts the ranks of all groups, their running requests and the usable upstreams of all services. It
// is called when upstreams, their groups or whether they are usable have changed.
func (a *Admitter) countRanks() {
	for _, s := range a.services {
		s.usable, s.usableGroups = nil, nil
		for _, g := range s.groups {
			g.running, g.runningLate, g.ranks, g.slots, g.upstreams = 0, 0, 0, 0, nil
		}
	}
	for _, u := range a.ordered {
		u.group.running += u.running
		u.group.runningLate += u.runningLate
		u.group.upstreams = append(u.group.upstreams, u)
		u.isUsable = a.usable(u)
		if u.isUsable {
			s := a.service(u.Service)
			if u.group.ranks == 0 {
				s.usableGroups = append(s.usableGroups, u.group)
			}
			u.group.ranks++
			u.group.slots += u.Slots
			s.usable = append(s.usable, u)
		}
	}
}

// findGroup returns the group with an id, or nil. Gateways learn at different times which groups a service has: a report
// from before or after that concerns the only group.
func (s *service) findGroup(id identifier.GroupID) *group {
	if g, found := s.groups[id.Group]; found {
		return g
	}
	for name, g := range s.groups {
		if len(s.groups) == 1 && (name == "" || id.Group == "") {
			return g
		}
	}
	return nil
}

// RecordProgress records that a stream from an upstream received an event, which opens its group, and the time since its
// previous event, or 0 for the first one.
func (a *Admitter) RecordProgress(now time.Time, id identifier.Upstream, gap time.Duration) {
	a.mu.Lock()
	defer a.unlock()
	u, found := a.upstreams[id]
	if !found {
		return
	}
	u.group.recordData(now)
	a.openGroup(now, a.service(u.Service), u.group, CauseProgress)
	if gap > 0 {
		a.recordGap(now, u, gap)
	}
}

// recordGap records the time between two events of a stream. It reports the pass that the first stream with an event shows.
func (a *Admitter) recordGap(now time.Time, u *upstream, gap time.Duration) {
	pass, ended := u.group.timekeeper.Observe(now, gap, a.service(u.Service).baseLoad()+u.group.load)
	if !ended {
		return
	}
	u.group.hasPassed = true
	id := identifier.GroupID{Service: u.Service, Group: u.group.name}
	a.pendingNotifications = append(a.pendingNotifications, func() { a.cfg.OnPass(id, pass) })
}

// defaultBaseLoad is the base load of engines that do not state theirs.
const defaultBaseLoad = 10

// baseLoad returns the number of requests on each rank that lengthen a pass as much as the part of it that does not depend
// on requests.
func (s *service) baseLoad() float64 {
	if s.Engine == nil || s.Engine.StepTime <= 0 || s.Engine.StepTimePerStream <= 0 {
		return defaultBaseLoad
	}
	return float64(s.Engine.StepTime) / float64(s.Engine.StepTimePerStream)
}

func (g *group) recordData(now time.Time) {
	g.lastProgress, g.dataAt = now, now
	clear(g.rejecters)
}

// recordRejection records that a rank with free slots rejected a request, and reports whether that shows that the group is
// closed. The ranks of a closed group all reject requests. So does a single rank for reasons of its own, but then the
// streams of the others go on.
func (g *group) recordRejection(now time.Time, id identifier.Upstream) bool {
	g.rejecters[id] = true
	return now.Sub(g.dataAt) >= maxEventGap || len(g.rejecters) >= min(g.ranks, minRejecters)
}

// stalled reports whether a group that runs at least minStalledRequests requests of this gateway has produced no data for
// stallTimeout. The ranks of such a group wait for a rank that is gone, and reject new requests only once its loss is
// certain.
func stalled(now time.Time, s *service, g *group) bool {
	if s.Engine == nil || now.Sub(g.lastProgress) < stallTimeout {
		return false
	}
	return g.running >= minStalledRequests
}

// GroupOpened records the report of a peer that a group is open again.
func (a *Admitter) GroupOpened(now time.Time, id identifier.GroupID) {
	a.mu.Lock()
	defer a.unlock()
	s := a.service(id.Service)
	if g := s.findGroup(id); g != nil {
		a.openGroup(now, s, g, CausePeer)
	}
	a.dispatch(now)
}

// GroupClosed records the report of a peer that a group is closed. Such a report may be older than an opening of the
// group; if the group has closed again since, stalls and rejections show it.
func (a *Admitter) GroupClosed(now time.Time, id identifier.GroupID) {
	a.mu.Lock()
	defer a.unlock()
	s := a.service(id.Service)
	g := s.findGroup(id)
	if g == nil || now.Sub(g.openedAt) < peerReportLag {
		return
	}
	a.closeGroup(now, s, g, CausePeer)
	a.dispatch(now)
}

// closeGroup restricts a group to probes. It does nothing if the service has no groups of ranks or the group is closed
// already.
func (a *Admitter) closeGroup(now time.Time, s *service, g *group, cause Cause) {
	if g.closed || s.Engine == nil {
		return
	}
	g.closed = true
	g.closedSince = now
	// The random offset spreads the probes of gateways that closed the group at the same time.
	g.lastProbe = now.Add(-time.Duration(a.cfg.Draw() * float64(a.ownInterval(probeInterval))))
	change := GroupChange{Group: identifier.GroupID{Service: s.Name, Group: g.name}, Closed: true, Cause: cause}
	a.pendingNotifications = append(a.pendingNotifications, func() { a.cfg.OnGroupChange(change) })
}

// ownInterval returns the time between two probes of this gateway, given that between two probes of any gateway.
func (a *Admitter) ownInterval(interval time.Duration) time.Duration {
	return time.Duration(a.gateways) * interval
}

// openGroup ends the restriction to probes. It does nothing if the group is open already.
func (a *Admitter) openGroup(now time.Time, s *service, g *group, cause Cause) {
	if !g.closed {
		return
	}
	g.closed = false
	g.openedAt = now
	g.window.reset()
	g.timekeeper.Reset()
	g.hasPassed = false
	g.allotment = allotment{}
	a.allot(now, s, g)
	closedFor := now.Sub(g.closedSince)
	g.expectedOutage += time.Duration(outageSmoothing * float64(closedFor-g.expectedOutage))
	change := GroupChange{Group: identifier.GroupID{Service: s.Name, Group: g.name}, Cause: cause, ClosedFor: closedFor}
	a.pendingNotifications = append(a.pendingNotifications, func() { a.cfg.OnGroupChange(change) })
}

// remainingOutage returns the estimated time until the first of some groups opens, and whether all are closed. A group is
// assumed to stay closed for at least half of the time that it has been closed already.
func remainingOutage(now time.Time, groups []*group) (time.Duration, bool) {
	least, known := time.Duration(0), false
	for _, g := range groups {
		if !g.closed {
			return 0, false
		}
		elapsed := now.Sub(g.closedSince)
		if remaining := max(g.expectedOutage-elapsed, elapsed/2); !known || remaining < least {
			least, known = remaining, true
		}
	}
	return least, known
}

// GroupStatus is what this gateway knows of a group.
type GroupStatus struct {
	Open bool
	// Ranks is the number of ranks that may receive requests, and Running that of the requests of this gateway there.
	Ranks   int
	Running int
	// PeerRunning is the number of requests of the other gateways there, as far as they have said.
	PeerRunning int
	// Limit is the number of requests that this gateway may run there, or 0 if there is no limit.
	Limit int
}

// Groups returns the status of each group of ranks.
func (a *Admitter) Groups() map[identifier.GroupID]GroupStatus {
	a.mu.Lock()
	defer a.unlock()
	out := map[identifier.GroupID]GroupStatus{}
	peerRunning := map[*group]int{}
	for _, u := range a.ordered {
		peerRunning[u.group] += u.peerRunning
	}
	for _, s := range a.services {
		if s.Engine == nil {
			continue
		}
		for _, g := range s.groups {
			out[identifier.GroupID{Service: s.Name, Group: g.name}] = GroupStatus{
				Open: !g.closed, Ranks: g.ranks, Running: g.running, PeerRunning: peerRunning[g],
				Limit: g.allotment.limit,
			}
		}
	}
	return out
}
