package admitter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/sharer"
	"currantledge.example/currantledge/internal/version/cataloguer"
)

// Obstacle is why an upstream gets no request now.
type Obstacle string

// The obstacles.
const (
	// ObstacleNone means that the upstream can accept a request.
	ObstacleNone Obstacle = ""
	// ObstacleDraining means that the platform's list marks the upstream as draining, or no longer holds it.
	ObstacleDraining Obstacle = "draining"
	// ObstacleLeaving means that the upstream has announced that it leaves.
	ObstacleLeaving Obstacle = "leaving"
	// ObstacleEvacuated means that its failure domain gets no requests.
	ObstacleEvacuated Obstacle = "evacuated"
	// ObstacleSuperseded means that another upstream has taken its address.
	ObstacleSuperseded Obstacle = "superseded"
	// ObstacleExcluded means that the request was sent to it before.
	ObstacleExcluded Obstacle = "excluded"
	// ObstacleIsolated means that the request may crash upstreams and goes to another one only.
	ObstacleIsolated Obstacle = "isolated"
	// ObstaclePaused means that it has asked for a pause or sends responses that are too large.
	ObstaclePaused Obstacle = "paused"
	// ObstacleBackoff means that it has rejected a request or could not be reached.
	ObstacleBackoff Obstacle = "backoff"
	// ObstacleFull means that it has no free slot within the allotment of this gateway.
	ObstacleFull Obstacle = "full"
	// ObstacleRate means that a rate limit allows no request yet: its own, or that of a cold upstream.
	ObstacleRate Obstacle = "rateLimit"
	// ObstacleGroupClosed means that its group is closed, and ObstacleGroupLimit that the limits of its group or gateway allow
	// no further request there, whichever rank receives it.
	ObstacleGroupClosed Obstacle = "groupClosed"
	ObstacleGroupLimit  Obstacle = "groupLimit"
	// ObstacleDiscouraged means that other gateways have heard that it wants no requests. It gets some only if no other
	// upstream can accept them.
	ObstacleDiscouraged Obstacle = "discouraged"
	// ObstacleMemory means that it is expected to lack the memory for the request beside those that run on it. It gets the
	// request only if no upstream that has the memory can accept it.
	ObstacleMemory Obstacle = "memory"
)

// Candidate is an upstream of the service of a request, as it is before the decision.
type Candidate struct {
	Upstream cataloguer.Upstream
	// Running is the number of requests that this gateway runs on the upstream, and PeerRunning that of all others.
	Running     int
	PeerRunning int
	// Limit is the number of requests that this gateway may run on it. It is valid if HasLimit is set; otherwise only the slots
	// limit them. Most ranks have the limit 0 at a gateway among many.
	Limit    int
	HasLimit bool
	// Score is that by which candidates are compared, without the random part that spreads ties; lower is better.
	Score    float64
	Obstacle Obstacle
	// class is that of classOf, or otherClass for an upstream that cannot accept the request.
	class int
}

// otherClass is higher than the classes of upstreams that can accept a request.
const otherClass = len(Admitter{}.classes)

// Placement is a group of a service as it is before the decision on a request.
type Placement struct {
	Group identifier.ModelGroup
	// Closed is set while the group gets probes only, and Stalled if the decision closes it.
	Closed  bool
	Stalled bool
	// OpensIn is the estimated time until a closed group opens.
	OpensIn time.Duration
	// Admits reports whether the limits of the group allow the request, whichever rank receives it.
	Admits bool
	// Ranks is the number of upstreams that may receive requests; Running, PeerRunning and Starting are as in Backlog and
	// GroupStatus.
	Ranks       int
	Running     int
	PeerRunning int
	Starting    int
	// Limit is the number of requests that this gateway may run on the group, or 0 if there is no limit, and Capacity that
	// of all gateways.
	Limit    int
	Capacity float64
}

// Explanation is what the decision on a request would be, and what is weighed in it.
type Explanation struct {
	// Decision is Granted, Refused, or nil if the request would wait. A Granted holds no slot: nothing is to be reported
	// about it.
	Decision Decision
	// Probe is set if the request would be granted to probe a closed group.
	Probe bool
	// Late is set if the request can no longer be on time.
	Late bool
	// Waiting is the number of requests that wait for the service here, and Ahead that of those before this one.
	Waiting int
	Ahead   int
	// ExpectedWait is the estimated time until the request gets a slot, if groups are open.
	ExpectedWait time.Duration
	// Standing is how the customer stands to its share in the requests of the priority, this one included, and Share what
	// that follows from. Share.Share is infinite while capacity suffices.
	Standing sharer.Standing
	Share    CustomerShare
	// Gateways is the number of gateways that share the upstreams, this one included.
	Gateways int
	// Groups are sorted by name, and Candidates so that those without an obstacle come first, the best of them first.
	Groups     []Placement
	Candidates []Candidate
	// Compared is the size of the random sample of the candidates without an obstacle that is compared.
	Compared int
}

// Explain returns what the decision on a request would be if it was submitted now. It submits the request to a copy of the
// state, so that the decision is the real one and nothing else changes. Random numbers for the copy come from draw, not from
// the source of the decisions.
func (a *Admitter) Explain(now time.Time, request Request, draw func() float64) Explanation {
	c := a.copyFor(request.Service, draw)
	s := c.service(request.Service)
	out := Explanation{Gateways: c.gateways, Waiting: len(s.queue)}
	c.weigh(now, s, request, &out)
	t := c.Submit(now, request)
	select {
	case out.Decision = <-t.decided:
	default:
	}
	if g, granted := out.Decision.(Granted); granted {
		out.Probe = c.upstreams[g.Upstream.ID].group.closed
	}
	out.Late = t.lateness(now) > 0
	out.Ahead = s.insertPosition(now, t)
	out.ExpectedWait = c.expectedWait(s.workOf(s.queue[:out.Ahead]), c.available(now, s, &request))
	of := s.sharer(request.Priority)
	use := of.Use(now, request.Customer)
	out.Standing = of.Standing(now, request.Customer)
	out.Share = CustomerShare{Granted: use.Granted, Asked: use.Asked, Usual: use.Usual, Share: of.ShareOf(now, request.Customer)}
	return out
}

// copyFor returns a copy of the state that the decisions on requests for one service depend on. It holds the lock for the
// time of the copy only.
func (a *Admitter) copyFor(name identifier.Service, draw func() float64) *Admitter {
	out := New(Config{FailureDomain: a.cfg.FailureDomain, ColdFactor: a.cfg.ColdFactor, ColdSlack: a.cfg.ColdSlack, Draw: draw})
	a.mu.Lock()
	defer a.mu.Unlock()
	out.gateways, out.serial, out.stopsAt, out.evacuated = a.gateways, a.serial, a.stopsAt, maps.Clone(a.evacuated)
	out.limiter, out.pauser, out.oversizedUntil = a.limiter.Clone(draw), a.pauser.Clone(draw), a.oversizedUntil
	s, found := a.services[name]
	if !found {
		return out
	}
	out.services[name] = s.clone()
	out.orderedServices = []*service{out.services[name]}
	for _, u := range a.ordered {
		if u.Service != name {
			continue
		}
		copied := *u
		copied.group = out.services[name].groups[u.group.name]
		out.upstreams[u.ID] = &copied
		out.ordered = append(out.ordered, &copied)
	}
	for _, u := range out.ordered {
		if u.supersededBy != nil {
			u.supersededBy = out.upstreams[u.supersededBy.ID]
		}
	}
	out.countRanks()
	return out
}

// clone returns a copy of the service, its queue and its groups. countRanks adds the upstreams.
func (s *service) clone() *service {
	out := *s
	out.queue = make([]*Ticket, 0, len(s.queue)+1)
	for _, t := range s.queue {
		copied := *t
		copied.request.Exclude, copied.decided = maps.Clone(t.request.Exclude), make(chan Decision, 1)
		out.queue = append(out.queue, &copied)
	}
	out.groups, out.orderedGroups = make(map[identifier.ModelGroup]*group, len(s.groups)), nil
	for _, g := range s.orderedGroups {
		copied, window := *g, *g.window
		copied.window, copied.timekeeper, copied.rejecters = &window, g.timekeeper.Clone(), maps.Clone(g.rejecters)
		out.groups[g.name] = &copied
		out.orderedGroups = append(out.orderedGroups, &copied)
	}
	out.sharers = make(map[int]*sharer.Sharer, len(s.sharers))
	for priority, of := range s.sharers {
		out.sharers[priority] = of.Clone()
	}
	return &out
}

// weigh describes the groups and the upstreams of a service before the decision on a request. The scores are without their
// random part.
func (a *Admitter) weigh(now time.Time, s *service, request Request, out *Explanation) {
	draw := a.cfg.Draw
	a.cfg.Draw = func() float64 { return 0 }
	defer func() { a.cfg.Draw = draw }()
	placements := a.placements(now, s, request)
	var only *upstream
	if request.IsolateBy != "" {
		only = a.isolationUpstream(now, &request)
	}
	for _, u := range a.ordered {
		p := placements[u.group]
		p.PeerRunning += u.peerRunning
		c := Candidate{
			Upstream: u.Upstream, Running: u.running, PeerRunning: u.peerRunning, Score: a.score(now, s, u),
			Obstacle: a.obstacle(now, s, u, request, p),
		}
		if request.IsolateBy != "" && u != only && a.usable(u) {
			c.Obstacle = ObstacleIsolated
		}
		c.class = otherClass
		switch c.Obstacle {
		case ObstacleNone, ObstacleDiscouraged, ObstacleMemory:
			c.class = a.classOf(now, s, u, &request)
		}
		if !u.group.allotment.computedAt.IsZero() {
			c.Limit, c.HasLimit = u.limit, true
		}
		out.Candidates = append(out.Candidates, c)
	}
	slices.SortStableFunc(out.Candidates, func(x, y Candidate) int {
		return cmp.Or(cmp.Compare(x.class, y.class), cmp.Compare(x.Score, y.Score))
	})
	for _, name := range slices.Sorted(maps.Keys(s.groups)) {
		out.Groups = append(out.Groups, *placements[s.groups[name]])
	}
	for _, c := range out.Candidates {
		if c.class == out.Candidates[0].class && c.class < otherClass {
			out.Compared++
		}
	}
	if a.gateways > 1 {
		out.Compared = min(out.Compared, sampledUpstreams)
	}
}

// placements describes the groups of a service before the decision on a request, without the requests of peers.
func (a *Admitter) placements(now time.Time, s *service, request Request) map[*group]*Placement {
	t := &Ticket{request: request, arrived: now}
	out := make(map[*group]*Placement, len(s.groups))
	for name, g := range s.groups {
		p := &Placement{
			Group: name, Closed: g.closed, Stalled: !g.closed && stalled(now, s, g), Admits: a.allowsStart(now, s, g, t),
			Ranks: g.ranks, Running: g.running, Starting: g.window.starting, Limit: g.allotment.limit, Capacity: g.allotment.capacity,
		}
		p.OpensIn, _ = remainingOutage(now, []*group{g})
		out[g] = p
	}
	return out
}

// obstacle returns why an upstream of a group gets no request now.
func (a *Admitter) obstacle(now time.Time, s *service, u *upstream, request Request, p *Placement) Obstacle {
	switch {
	case !a.usable(u):
		return a.unusable(u)
	case request.Exclude[u.ID]:
		return ObstacleExcluded
	case !a.accepts(now, s, u, &request):
		return a.unavailable(now, u)
	case p.Closed, p.Stalled:
		return ObstacleGroupClosed
	case !p.Admits:
		return ObstacleGroupLimit
	case !s.hasMemory(u, &request):
		return ObstacleMemory
	case a.pauser.IsDiscouraged(now, u.ID):
		return ObstacleDiscouraged
	default:
		return ObstacleNone
	}
}

// unusable returns why an upstream that is not usable may receive no requests.
func (a *Admitter) unusable(u *upstream) Obstacle {
	switch {
	case u.Draining:
		return ObstacleDraining
	case u.isLeaving():
		return ObstacleLeaving
	case a.evacuated[u.FailureDomain]:
		return ObstacleEvacuated
	default:
		return ObstacleSuperseded
	}
}

// unavailable returns why a usable upstream that does not accept a request cannot.
func (a *Admitter) unavailable(now time.Time, u *upstream) Obstacle {
	switch {
	case !a.allows(now, u):
		return ObstaclePaused
	case now.Before(u.backoffUntil):
		return ObstacleBackoff
	case u.isFull():
		return ObstacleFull
	default:
		return ObstacleRate
	}
}
