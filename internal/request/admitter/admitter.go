// Package admitter is the admission control of a gateway: it decides for each request which upstream receives it,
// whether it waits, and whether it is refused. It handles four kinds of load:
//   - A burst exceeds the slots of a service: requests wait in order of priority as long as they can be served in time.
//   - A group of ranks is closed for some seconds: the other groups of its service get the requests. Those that cannot be
//     served in time are refused at once with a Retry-After.
//   - A group opens and every gateway has a backlog: the requests that wait for their first byte are limited, free slots
//     are divided among the gateways, and some slots are reserved for requests that can still be on time.
//   - More requests run on a group than it can serve on time: fewer are started, until the gaps between the events of
//     streams are within the targets of their routes.
//   - Upstreams name rate limits: the gateways divide them by their demand.
//   - One customer sends far more than usual while capacity is short: each gets the share of its usual load.
//   - Upstreams fail, slow down or start cold: other upstreams are preferred.
//
// The package does no I/O and reads no clock: callers pass the current time.
package admitter

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/apportioner"
	"currantledge.example/currantledge/internal/request/limiter"
	"currantledge.example/currantledge/internal/request/pauser"
	"currantledge.example/currantledge/internal/request/sharer"
	"currantledge.example/currantledge/internal/request/workmeter"
	"currantledge.example/currantledge/internal/version/cataloguer"
	"currantledge.example/currantledge/internal/version/replicator"
	"currantledge.example/currantledge/internal/version/timekeeper"
)

const (
	// minUnreachableBackoff is how long an upstream gets no requests after a failed connection. It doubles with each
	// further failure, up to maxUnreachableBackoff.
	minUnreachableBackoff = 250 * time.Millisecond
	maxUnreachableBackoff = 2 * time.Second
	// minOversizedBackoff is how long an upstream gets no requests after a second response that was cut at its size limit. It
	// doubles each time, up to maxOversizedBackoff, until there was none for oversizedMemory. Such responses take the network
	// link from others.
	minOversizedBackoff = 250 * time.Millisecond
	maxOversizedBackoff = 30 * time.Second
	oversizedMemory     = 2 * time.Minute
	// rejectionBackoff is how long an upstream gets no requests after it rejected one: a slot becomes free in about this
	// time.
	rejectionBackoff = 40 * time.Millisecond
	// leavingBackoff is how long an upstream gets no requests after it closed minClosings connections in a row. Within
	// that time the platform's list marks a leaving upstream as draining.
	leavingBackoff = 300 * time.Millisecond
	// minClosings tells an upstream that is leaving from one that closes a connection now and then.
	minClosings = 2
	// stallTimeout is the time without progress after which a group with at least minStalledRequests running requests
	// counts as stalled. It is several times the longest typical pause between the events of a group; with fewer
	// requests, a pause of all of them may be chance.
	stallTimeout       = 600 * time.Millisecond
	minStalledRequests = 3
	// maxEventGap is longer than the usual time between two events of a stream.
	maxEventGap = 200 * time.Millisecond
	// minRejecters is the number of ranks that reject requests between two events of a running group only if it has closed.
	minRejecters = 3
	// probeInterval is the time between two requests that probe a closed group, over all gateways. Each failed probe
	// costs a retry; the first gateway whose probe succeeds notifies the others.
	probeInterval = 45 * time.Millisecond
	// sparedProbeInterval replaces probeInterval while other groups can accept the request: a probe may cost it time, and
	// the leader of the expert maps reports the opening as well.
	sparedProbeInterval = time.Second
	// peerReportLag is the maximum age of a peer's report that a group is closed: 500 ms for the reports of ranks and three
	// rounds of datagrams.
	peerReportLag = 1100 * time.Millisecond
	// defaultOutage is the expected outage of a group before the first one was observed: a rank restarts within some
	// seconds.
	defaultOutage = 4 * time.Second
	// outageSmoothing is the weight of the latest outage in the moving average.
	outageSmoothing = 0.5
	// failureHalfLife is the half-life of an upstream's failure count.
	failureHalfLife = 3 * time.Second
	// latencySmoothing is the weight of the latest sample in the moving averages of response times.
	latencySmoothing = 0.2
	// deviationFactor is the number of mean deviations by which few requests exceed the usual time of their service.
	deviationFactor = 2
	// defaultServiceTime is the expected duration of a request before the first one was observed.
	defaultServiceTime = 100 * time.Millisecond
	// sampledUpstreams is the number of upstreams that are compared while other gateways choose as well. Two to four
	// spread the load equally well; with a comparison of all upstreams, 25 of 44 gateways chose the same one.
	sampledUpstreams = 4
	// minRetryAfter keeps clients from retrying before the load can have changed.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is longer than any Retry-After that clients honour; newRefused reduces it to the longest honoured one.
	maxRetryAfter = time.Minute
)

// RetryAfterDivisor sets the longest Retry-After that a client honours: the client's remaining time divided by this
// number.
const RetryAfterDivisor = 3

// service is the state of a service as this gateway knows it.
type service struct {
	cataloguer.Service
	// serviceTime is the moving average of the time from sending a request to the end of its response, and timeDeviation
	// that of its distance from the expected time, for a larger request as if it had the mean size.
	serviceTime   time.Duration
	timeDeviation time.Duration
	// workTime is the moving average of the estimated times of the requests in serviceTime; 0 if none had one.
	workTime time.Duration
	// running is the number of requests of this gateway that run, and runningSizes the sum of their relative sizes.
	running      int
	runningSizes float64
	// queue holds the waiting requests; sortQueue orders it.
	queue []*Ticket
	// groups holds the groups of the service's upstreams. A plain service has one, which is always open.
	groups map[identifier.ModelGroup]*group
	// orderedGroups holds the groups by name. Allotments draw random numbers, so their order decides the numbers of each group.
	orderedGroups []*group
	// usable holds the upstreams that may receive requests, by id.
	usable []*upstream
	// usableGroups holds the groups of the usable upstreams.
	usableGroups []*group
	// gapTarget is the least gap target of the routes to the service, or 0.
	gapTarget time.Duration
	// demand is the rate of requests at this gateway, and peerDemand that at others.
	demand     demand
	peerDemand peerDemand
	// sharers holds the shares of customers in the requests of each priority.
	sharers map[int]*sharer.Sharer
	// sizes is the mean size of granted requests.
	sizes requestSizes
	// ownWaiting is what waited here at the latest allotment, and peerWaiting what waits at others.
	ownWaiting  apportioner.Waiting
	peerWaiting peerWaiting
}

// Config sets up an Admitter.
type Config struct {
	// FailureDomain is that of the gateway.
	FailureDomain identifier.FailureDomain
	// ColdFactor and ColdSlack limit the requests per second that all gateways send to a cold upstream:
	// ColdFactor × the cold rate of the service + ColdSlack.
	ColdFactor float64
	ColdSlack  float64
	// Draw returns uniform random numbers in [0, 1) for sampling and tie-breaking; math/rand/v2 if it is nil.
	Draw func() float64
	// OnGroupChange is called, without the lock held, when a group closes or opens.
	OnGroupChange func(GroupChange)
	// OnPass is called, without the lock held, when the streams of this gateway show that a group has ended a pass and
	// begins the next one.
	OnPass func(identifier.GroupID, timekeeper.Pass)
}

// Admitter holds the request queues of one gateway and the state of the upstreams as the gateway knows it. It is safe
// for concurrent use.
type Admitter struct {
	cfg      Config
	mu       sync.Mutex
	gateways int
	// serial is that of the latest ticket.
	serial    uint64
	evacuated map[identifier.FailureDomain]bool
	upstreams map[identifier.Upstream]*upstream
	// ordered holds the upstreams by id.
	ordered []*upstream
	// classes are buffers that choose reuses.
	classes [4][]*upstream
	// oversizedUntil is the latest end of any backoff after oversized responses.
	oversizedUntil time.Time
	// stopsAt is when all requests of the gateway must be complete, or zero while it does not stop.
	stopsAt  time.Time
	services map[identifier.Service]*service
	// orderedServices holds the services by name.
	orderedServices []*service
	limiter         *limiter.Limiter
	pauser          *pauser.Pauser
	// pendingNotifications are calls that unlock makes once the lock is released.
	pendingNotifications []func()
}

// New returns an Admitter without upstreams. It assumes that its gateway is the only one until SetGateways is called.
func New(cfg Config) *Admitter {
	if cfg.Draw == nil {
		cfg.Draw = rand.Float64
	}
	if cfg.OnGroupChange == nil {
		cfg.OnGroupChange = func(GroupChange) {}
	}
	if cfg.OnPass == nil {
		cfg.OnPass = func(identifier.GroupID, timekeeper.Pass) {}
	}
	return &Admitter{
		cfg:       cfg,
		gateways:  1,
		upstreams: map[identifier.Upstream]*upstream{},
		services:  map[identifier.Service]*service{},
		limiter:   limiter.New(limiter.Config{Draw: cfg.Draw}),
		pauser:    pauser.New(pauser.Config{Draw: cfg.Draw}),
	}
}

// unlock releases the lock and then makes the pending notifications.
func (a *Admitter) unlock() {
	pending := a.pendingNotifications
	a.pendingNotifications = nil
	a.mu.Unlock()
	for _, notify := range pending {
		notify()
	}
}

// SetGateways sets how many gateways share the slots, probes and rate limits of the upstreams, this one included.
func (a *Admitter) SetGateways(n int) {
	a.mu.Lock()
	defer a.unlock()
	a.gateways = max(n, 1)
}

// SetFleet replaces the known upstreams and updates the services of the catalogue. The state of upstreams and services
// that were known before is kept. An upstream that is not listed gets no new requests, and the first call of SetFleet
// that finds it without running requests removes it.
func (a *Admitter) SetFleet(now time.Time, fleet cataloguer.Fleet) {
	a.mu.Lock()
	defer a.unlock()
	a.evacuated = fleet.Evacuated
	if fleet.Catalogue != nil {
		for _, s := range fleet.Catalogue.Services() {
			known := a.service(s.Name)
			known.Service, known.gapTarget = s, fleet.Catalogue.GapTarget(s.Name)
		}
	}
	present := make(map[identifier.Upstream]bool, len(fleet.Upstreams))
	for _, u := range fleet.Upstreams {
		present[u.ID] = true
		a.updateUpstream(now, u)
	}
	for id, u := range a.upstreams {
		if !present[id] {
			if u.running == 0 {
				delete(a.upstreams, id)
				continue
			}
			u.Draining = true
		}
	}
	a.ordered = slices.SortedFunc(maps.Values(a.upstreams), func(x, y *upstream) int { return cmp.Compare(x.ID, y.ID) })
	a.assignGroups()
	markSuperseded(a.upstreams)
	a.countRanks()
	a.limiter.Retain(now, func(id identifier.Upstream) bool { return a.upstreams[id] != nil })
	a.pauser.Retain(func(id identifier.Upstream) bool { return a.upstreams[id] != nil })
	a.dispatch(now)
}

// updateUpstream applies an entry of the platform's list. A new version of the entry restarts the cold time of its
// upstream, ends its backoff and clears its replaced mark. An entry that was restored from a copy may be older than the
// known one, so it does not end the cold time.
func (a *Admitter) updateUpstream(now time.Time, u cataloguer.Upstream) {
	known, found := a.upstreams[u.ID]
	if !found {
		known = &upstream{}
		a.upstreams[u.ID] = known
	}
	if !found || replicator.CounterOf(known.Version) != replicator.CounterOf(u.Version) {
		coldUntil := now.Add(u.ColdLeft)
		if replicator.EraOf(known.Version) == replicator.EraOf(u.Version) || coldUntil.After(known.coldUntil) {
			known.coldUntil = coldUntil
		}
		known.backoffUntil, known.backoff, known.replaced = time.Time{}, 0, false
		known.oversizedAt, known.oversizedUntil = time.Time{}, time.Time{}
	}
	if u.Generation > known.Generation {
		a.pauser.Forget(u.ID)
	}
	if u.Generation > known.Generation || now.Sub(known.leavingSince) > leavingLife {
		known.leavingSince = time.Time{}
	}
	known.Upstream = u
}

// SetPeerRunning replaces the number of requests that the other gateways together run on each upstream.
func (a *Admitter) SetPeerRunning(now time.Time, running map[identifier.Upstream]int) {
	a.mu.Lock()
	defer a.unlock()
	for _, u := range a.ordered {
		u.peerRunning = running[u.ID]
	}
	for _, s := range a.orderedServices {
		for _, g := range s.orderedGroups {
			a.allot(now, s, g)
		}
	}
	a.dispatch(now)
}

// StopAt announces that all requests must be complete at a time, since the gateway then stops. Requests for which the usual
// time of their service does not suffice are refused from then on.
func (a *Admitter) StopAt(now, end time.Time) {
	a.mu.Lock()
	defer a.unlock()
	a.stopsAt = end
	a.dispatch(now)
}

// Running returns the number of requests that this gateway runs on each upstream. Upstreams without requests are
// omitted.
func (a *Admitter) Running() map[identifier.Upstream]int {
	a.mu.Lock()
	defer a.unlock()
	used := 0
	for _, u := range a.ordered {
		if u.running > 0 {
			used++
		}
	}
	out := make(map[identifier.Upstream]int, used)
	for _, u := range a.ordered {
		if u.running > 0 {
			out[u.ID] = u.running
		}
	}
	return out
}

// Submit submits a request for an upstream. The ticket delivers the decision: at once, or when the request has waited
// in the queue.
func (a *Admitter) Submit(now time.Time, request Request) *Ticket {
	a.mu.Lock()
	defer a.unlock()
	a.serial++
	t := &Ticket{request: request, arrived: now, serial: a.serial, decided: make(chan Decision, 1)}
	s := a.service(request.Service)
	s.demand.record(now)
	if a.isTooLate(now, s, t) {
		t.resolve(newRefused(now, t, ReasonStopping, minRetryAfter))
		return t
	}
	s.recordRequest(now, t)
	if r, refused := a.shareRefusal(now, s, t); refused {
		t.resolve(r)
		return t
	}
	at := s.insertPosition(now, t)
	holdsBack := func(ahead *Ticket) bool { return !ahead.isIsolated() && ahead.blocks(now, s, t) }
	if !slices.ContainsFunc(s.queue[:at], holdsBack) && a.grant(now, s, t) {
		return t
	}
	s.queue = slices.Insert(s.queue, at, t)
	if r, refused := a.refusal(now, s, t, s.workOf(s.queue[:at]), a.available(now, s, &t.request)); refused {
		s.queue = slices.Delete(s.queue, at, at+1)
		t.resolve(r)
	}
	return t
}

// Withdraw removes a request from the queue. If the request has been granted in the meantime, its slot is released.
func (a *Admitter) Withdraw(now time.Time, t *Ticket) {
	a.mu.Lock()
	s := a.service(t.request.Service)
	s.queue = slices.DeleteFunc(s.queue, func(other *Ticket) bool { return other == t })
	a.unlock()
	select {
	case d := <-t.decided:
		if g, granted := d.(Granted); granted {
			a.Done(now, g, Cancelled{})
		}
	default:
	}
}

// Tick grants and refuses waiting requests whose conditions have changed with time. It is to be called periodically.
func (a *Admitter) Tick(now time.Time) {
	a.mu.Lock()
	defer a.unlock()
	a.dispatch(now)
}

// RecordFirstByte records that the first byte of the response to a granted request has arrived. It is called for
// streams only.
func (a *Admitter) RecordFirstByte(now time.Time, g Granted) {
	a.mu.Lock()
	defer a.unlock()
	if g.firstByte.pending {
		g.firstByte.pending = false
		g.firstByte.window.observeFirstByte(now, now.Sub(g.firstByte.since))
	}
	if u, found := a.upstreams[g.Upstream.ID]; found && u.running > 0 {
		u.tokens.unread -= g.tokens.unread
		g.tokens.unread = 0
	}
	if g.afterPause {
		a.pauser.Accept(now, g.Upstream.ID)
	}
	a.dispatch(now)
}

// Done records the end of a granted request and releases its slot. It is called once for each grant.
func (a *Admitter) Done(now time.Time, g Granted, feedback Feedback) {
	a.mu.Lock()
	defer a.unlock()
	s := a.service(g.Upstream.Service)
	s.running--
	s.runningSizes -= g.size
	if g.firstByte.pending {
		g.firstByte.pending = false
		g.firstByte.window.starting--
	}
	u, found := a.upstreams[g.Upstream.ID]
	if !found {
		return
	}
	if u.running > 0 {
		u.running--
		u.group.running--
		u.tokens.subtract(*g.tokens)
		if g.late {
			u.runningLate--
			u.group.runningLate--
		}
	}
	if g.afterPause {
		a.pauser.Release(u.ID)
	}
	switch r := feedback.(type) {
	case Served:
		if g.afterPause {
			a.pauser.Accept(now, u.ID)
		}
		u.group.recordData(now)
		a.openGroup(now, s, u.group, CauseProgress)
		u.backoff = 0
		u.recordFailures(now, 0)
		u.firstByte = smooth(u.firstByte, r.FirstByte)
		// How long an engine takes to refuse a request says nothing about the times of others, whatever size was stated.
		if !r.ErrorStatus || !g.work.Known() {
			s.recordTime(r.Total, g.work)
		}
		u.recordClosing(now, r.Closing)
	case Failed:
		u.recordFailures(now, 1)
	case Oversized:
		u.recordFailures(now, 1)
		u.recordOversized(now)
		if u.oversizedUntil.After(a.oversizedUntil) {
			a.oversizedUntil = u.oversizedUntil
		}
	case Unreachable:
		u.backoff = min(max(2*u.backoff, minUnreachableBackoff), maxUnreachableBackoff)
		u.backoffUntil = now.Add(u.backoff)
	case Rejected:
		u.backoffUntil = now.Add(rejectionBackoff)
		if r.hasRoom() && u.group.recordRejection(now, u.ID) {
			a.closeGroup(now, s, u.group, CauseRejection)
		}
		if r.Pause > 0 || r.hasRoom() && !u.group.closed {
			a.pauser.Reject(now, u.ID, r.Pause)
		}
	case Replaced:
		u.replaced = true
		markSuperseded(a.upstreams)
		a.countRanks()
	case Cancelled:
	}
	a.dispatch(now)
}

// recordTime records the time from sending a request to the end of its response.
func (s *service) recordTime(total time.Duration, w workmeter.Work) {
	if s.timeDeviation == 0 {
		s.serviceTime, s.timeDeviation, s.workTime = total, total/2, w.Time
		return
	}
	size := s.relativeSize(w)
	// That of a request which is stated to be small is not enlarged: a false size would make all others appear uncertain.
	s.timeDeviation = smooth(s.timeDeviation, scale((total-s.timeOf(size)).Abs(), min(1, 1/size)))
	s.serviceTime = smooth(s.serviceTime, total)
	s.recordWorkTime(w.Time)
}

// service returns the state of a service and creates it if the service is new.
func (a *Admitter) service(name identifier.Service) *service {
	s, found := a.services[name]
	if !found {
		s = &service{
			Service: cataloguer.Service{Name: name}, serviceTime: defaultServiceTime,
			groups: map[identifier.ModelGroup]*group{}, sharers: map[int]*sharer.Sharer{},
		}
		a.services[name] = s
		at, _ := slices.BinarySearchFunc(a.orderedServices, name, func(x *service, name identifier.Service) int { return cmp.Compare(x.Name, name) })
		a.orderedServices = slices.Insert(a.orderedServices, at, s)
	}
	return s
}
