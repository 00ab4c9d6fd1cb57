// Package admitter decides for each request which upstream it goes to, whether it waits, and whether it is refused.
// It answers three loads: bursts beyond the slots of a service (requests wait in order of priority as long as they can
// still be served), groups of ranks that are closed for some seconds (requests that cannot be served in time are refused
// at once with the time to come back), and upstreams that fail, slow down or start cold (others are preferred). It has
// no I/O and no clock of its own.
package admitter

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/cataloguer"
)

// Reason tells why a request was refused or an upstream is avoided.
type Reason string

// The reasons.
const (
	ReasonNoUpstream  Reason = "noUpstream"
	ReasonGroupClosed Reason = "groupClosed"
	ReasonOverload    Reason = "overload"
	ReasonDeadline    Reason = "deadline"
	ReasonEvacuated   Reason = "evacuated"
)

// Decision is the result for one request.
type Decision interface{ decision() }

// Granted sends the request to an upstream. The caller reports the end of it with Done.
type Granted struct {
	Upstream cataloguer.Upstream
	Waited   time.Duration
	// Load is the number of requests that were known to run on the upstream, over all gateways.
	Load int
}

// Refused ends the request; it has not run here.
type Refused struct {
	Reason Reason
	// RetryAfter is when the request is likely to be served.
	RetryAfter time.Duration
}

func (Granted) decision() {}
func (Refused) decision() {}

// Need describes a request that wants an upstream.
type Need struct {
	Service  identifier.Service
	Priority int
	// OnTime is until when a grant still lets the answer begin within its objective. Requests that can be on time go before
	// those that are late already: a request that is late gains nothing by being less late, and one that waits behind it
	// becomes late as well.
	OnTime time.Time
	// Until is when the request has to be granted at the latest to be served in time.
	Until time.Time
	// Deadline is when its client stops waiting.
	Deadline time.Time
	// Returned is set if the client has come back after a refusal: it may not come again, so it waits as long as it can.
	Returned bool
	// Exclude holds upstreams that have had the request.
	Exclude map[identifier.Upstream]bool
}

// Ticket is a request's place. Its channel receives exactly one decision.
type Ticket struct {
	need    Need
	arrived time.Time
	serial  uint64
	result  chan Decision
}

// Result delivers the decision.
func (t *Ticket) Result() <-chan Decision {
	return t.result
}

func (t *Ticket) resolve(d Decision) {
	t.result <- d
}

// Outcome is what an upstream made of a request.
type Outcome interface{ outcome() }

// Served means a complete answer.
type Served struct {
	// First is the time to the first byte of the answer.
	First time.Duration
	// Whole is the time to its end.
	Whole time.Duration
}

// Failed means a broken, damaged or missing answer, or a failure that the upstream reported.
type Failed struct{}

// Unreachable means that no connection could be made.
type Unreachable struct{}

// Load is what an upstream says of itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Rejected means that the upstream did not run the request.
type Rejected struct {
	Load      Load
	LoadKnown bool
}

// Replaced means that another upstream has the address.
type Replaced struct{}

// Leaving means a complete answer after which the upstream closed the connection.
type Leaving struct{}

// Cancelled means that the client left or the deadline passed; it says nothing about the upstream.
type Cancelled struct{}

func (Served) outcome()      {}
func (Failed) outcome()      {}
func (Unreachable) outcome() {}
func (Rejected) outcome()    {}
func (Replaced) outcome()    {}
func (Leaving) outcome()     {}
func (Cancelled) outcome()   {}

const (
	// unreachablePause is how long an upstream is left alone after a failed connection; doubled up to the maximum.
	unreachablePause    = 250 * time.Millisecond
	maxUnreachablePause = 2 * time.Second
	// fullPause is about the time in which a slot becomes free.
	fullPause = 40 * time.Millisecond
	// leavingPause bridges the time until the list shows that an upstream leaves.
	leavingPause = 300 * time.Millisecond
	// stallAfter is several times the longest usual pause between the events of a group, and stallStreams is the number of
	// running requests for which none of them progressing is no chance.
	stallAfter   = 600 * time.Millisecond
	stallStreams = 3
	// probePause is the time between two requests that try a closed group. Each costs a repeat; the leader of the expert
	// maps reads the state of the group more often.
	probePause = 350 * time.Millisecond
	// usualOutage is how long a group is expected to be closed before one was seen to open again: a rank restarts in
	// some seconds.
	usualOutage = 4 * time.Second
	// outageSmoothing is the weight of the newest outage.
	outageSmoothing = 0.5
	// failureHalfLife is how fast failures are forgotten.
	failureHalfLife = 3 * time.Second
	// latencySmoothing is the weight of the newest answer time.
	latencySmoothing = 0.2
	// usualWhole is the assumed time of a request before one was seen.
	usualWhole = 100 * time.Millisecond
	// queuedBeyondSlots is how many requests beyond its slots an upstream is given, so that a free slot does not idle for
	// the time of a message.
	queuedBeyondSlots = 0
	// drawsAmongPeers is the number of upstreams that are drawn while other gateways choose as well. Two spread the load
	// far better than one; more bring the gateways back to the same upstream.
	drawsAmongPeers = 4
	// minRetryAfter keeps clients from coming back before anything can have changed.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is beyond what clients honour; refuse cuts it to that.
	maxRetryAfter = time.Minute
	// retryShare is the part of the time left up to which clients honour Retry-After.
	retryShare = 3
)

// upstream is what is believed of one incarnation.
type upstream struct {
	cataloguer.Upstream
	running    int
	peers      int
	pause      time.Duration
	pausedTill time.Time
	failures   float64
	failuresAt time.Time
	first      time.Duration
	coldTill   time.Time
	cold       gate
}

// gate spaces the sends to a cold upstream.
type gate struct {
	next time.Time
}

// service is what is believed of a service.
type service struct {
	cataloguer.Service
	whole       time.Duration
	queue       []*Ticket
	progressed  time.Time
	closed      bool
	closedSince time.Time
	lastProbe   time.Time
	outage      time.Duration
}

// Config sets up an Admitter.
type Config struct {
	FailureDomain identifier.FailureDomain
	// ColdFactor and ColdSlack bound the sends to a cold upstream in a second, as factor × rate + slack.
	ColdFactor float64
	ColdSlack  float64
	// Draw returns uniform numbers in [0, 1) to break ties.
	Draw func() float64
	// GroupChanged is called, without a lock, when the group of a service closes or opens.
	GroupChanged func(s identifier.Service, closed bool, after time.Duration)
}

// Admitter holds the beliefs and queues of one gateway.
type Admitter struct {
	cfg       Config
	mu        sync.Mutex
	gateways  int
	serial    uint64
	evacuated map[identifier.FailureDomain]bool
	upstreams map[identifier.Upstream]*upstream
	services  map[identifier.Service]*service
	// notices are the changes to report once the lock is released.
	notices []func()
}

// New returns an Admitter without upstreams.
func New(cfg Config) *Admitter {
	if cfg.Draw == nil {
		cfg.Draw = rand.Float64
	}
	if cfg.GroupChanged == nil {
		cfg.GroupChanged = func(identifier.Service, bool, time.Duration) {}
	}
	return &Admitter{
		cfg:       cfg,
		gateways:  1,
		upstreams: map[identifier.Upstream]*upstream{},
		services:  map[identifier.Service]*service{},
	}
}

func (a *Admitter) unlock() {
	notices := a.notices
	a.notices = nil
	a.mu.Unlock()
	for _, notify := range notices {
		notify()
	}
}

// SetGateways sets how many gateways share the rate of cold upstreams.
func (a *Admitter) SetGateways(n int) {
	a.mu.Lock()
	defer a.unlock()
	a.gateways = max(n, 1)
}

// SetFleet replaces the known upstreams and services. Beliefs about those that stay are kept.
func (a *Admitter) SetFleet(now time.Time, fleet cataloguer.Fleet) {
	a.mu.Lock()
	defer a.unlock()
	a.evacuated = fleet.Evacuated
	if fleet.Catalogue != nil {
		for _, s := range fleet.Catalogue.Services() {
			a.service(s.Name).Service = s
		}
	}
	present := make(map[identifier.Upstream]bool, len(fleet.Upstreams))
	for _, u := range fleet.Upstreams {
		present[u.ID] = true
		a.setUpstream(now, u)
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
	a.dispatch(now)
}

func (a *Admitter) setUpstream(now time.Time, u cataloguer.Upstream) {
	known, found := a.upstreams[u.ID]
	if !found {
		known = &upstream{}
		a.upstreams[u.ID] = known
	}
	if !found || known.Version != u.Version {
		known.coldTill = now.Add(u.ColdLeft)
		known.pausedTill, known.pause = time.Time{}, 0
	}
	known.Upstream = u
}

// SetPeers replaces what the other gateways run on each upstream.
func (a *Admitter) SetPeers(now time.Time, running map[identifier.Upstream]int) {
	a.mu.Lock()
	defer a.unlock()
	for id, u := range a.upstreams {
		u.peers = running[id]
	}
	a.dispatch(now)
}

// Running returns what this gateway runs on each upstream.
func (a *Admitter) Running() map[identifier.Upstream]int {
	a.mu.Lock()
	defer a.unlock()
	out := make(map[identifier.Upstream]int, len(a.upstreams))
	for id, u := range a.upstreams {
		if u.running > 0 {
			out[id] = u.running
		}
	}
	return out
}

// Request asks for an upstream.
func (a *Admitter) Request(now time.Time, need Need) *Ticket {
	a.mu.Lock()
	defer a.unlock()
	a.serial++
	t := &Ticket{need: need, arrived: now, serial: a.serial, result: make(chan Decision, 1)}
	s := a.service(need.Service)
	at := s.place(now, t)
	if at == 0 && a.grant(now, s, t) {
		return t
	}
	s.queue = slices.Insert(s.queue, at, t)
	if refusal, refused := a.judge(now, s, t); refused {
		s.queue = slices.Delete(s.queue, at, at+1)
		t.resolve(refusal)
	}
	return t
}

// order tells which of two waiting requests goes first.
func order(now time.Time, x, y *Ticket) int {
	return cmp.Or(
		cmp.Compare(x.need.Priority, y.need.Priority),
		cmp.Compare(x.lateness(now), y.lateness(now)),
		cmp.Compare(x.serial, y.serial),
	)
}

// lateness is 0 for a request that can still be on time and 1 for others.
func (t *Ticket) lateness(now time.Time) int {
	if now.Before(t.need.OnTime) {
		return 0
	}
	return 1
}

// place returns the position of a request in the queue.
func (s *service) place(now time.Time, t *Ticket) int {
	s.sort(now)
	at, _ := slices.BinarySearchFunc(s.queue, t, func(x, y *Ticket) int { return order(now, x, y) })
	return at
}

// sort brings the queue into order; requests become late while they wait.
func (s *service) sort(now time.Time) {
	slices.SortFunc(s.queue, func(x, y *Ticket) int { return order(now, x, y) })
}

// Withdraw takes a request out of the queue. If it was granted meanwhile, the grant is given back.
func (a *Admitter) Withdraw(now time.Time, t *Ticket) {
	a.mu.Lock()
	s := a.service(t.need.Service)
	s.queue = slices.DeleteFunc(s.queue, func(other *Ticket) bool { return other == t })
	a.unlock()
	select {
	case d := <-t.result:
		if g, granted := d.(Granted); granted {
			a.Done(now, g.Upstream.ID, Cancelled{})
		}
	default:
	}
}

// Tick judges the waiting requests again.
func (a *Admitter) Tick(now time.Time) {
	a.mu.Lock()
	defer a.unlock()
	a.dispatch(now)
}

// Done reports the end of a granted request.
func (a *Admitter) Done(now time.Time, id identifier.Upstream, result Outcome) {
	a.mu.Lock()
	defer a.unlock()
	u, found := a.upstreams[id]
	if !found {
		return
	}
	u.running = max(u.running-1, 0)
	s := a.service(u.Service)
	switch r := result.(type) {
	case Served:
		a.open(now, s)
		u.pause = 0
		u.observe(now, 0)
		u.first = smooth(u.first, r.First)
		s.whole = smooth(s.whole, r.Whole)
	case Failed:
		u.observe(now, 1)
	case Unreachable:
		u.pause = min(max(2*u.pause, unreachablePause), maxUnreachablePause)
		u.pausedTill = now.Add(u.pause)
	case Rejected:
		u.pausedTill = now.Add(fullPause)
		// A rank with free slots rejects requests only while its group does not work.
		if r.LoadKnown && r.Load.Running < r.Load.Slots && r.Load.Waiting == 0 {
			a.closeGroup(now, s)
		}
	case Replaced:
		u.pausedTill = now.Add(maxUnreachablePause)
	case Leaving:
		a.open(now, s)
		u.pausedTill = now.Add(leavingPause)
	case Cancelled:
	}
	a.dispatch(now)
}

// Progressed tells that a stream of a service has received something.
func (a *Admitter) Progressed(now time.Time, name identifier.Service) {
	a.mu.Lock()
	defer a.unlock()
	s := a.service(name)
	s.progressed = now
	a.open(now, s)
}

// stalled tells whether a group with running requests has produced nothing for a while: its ranks wait for one that is
// gone, and reject new requests only once that is certain.
func (a *Admitter) stalled(now time.Time, s *service) bool {
	if s.Engine == nil || now.Sub(s.progressed) < stallAfter {
		return false
	}
	return a.running(s) >= stallStreams
}

// running counts the requests of this gateway at a service.
func (a *Admitter) running(s *service) int {
	running := 0
	for _, u := range a.upstreams {
		if u.Service == s.Name {
			running += u.running
		}
	}
	return running
}

// GroupOpened tells that the group of a service works again.
func (a *Admitter) GroupOpened(now time.Time, name identifier.Service) {
	a.mu.Lock()
	defer a.unlock()
	a.open(now, a.service(name))
	a.dispatch(now)
}

// GroupBroken tells that the group of a service does not work.
func (a *Admitter) GroupBroken(now time.Time, name identifier.Service) {
	a.mu.Lock()
	defer a.unlock()
	a.closeGroup(now, a.service(name))
}

func (a *Admitter) closeGroup(now time.Time, s *service) {
	if s.closed || s.Engine == nil {
		return
	}
	s.closed = true
	s.closedSince = now
	s.lastProbe = now
	name := s.Name
	a.notices = append(a.notices, func() { a.cfg.GroupChanged(name, true, 0) })
}

func (a *Admitter) open(now time.Time, s *service) {
	if !s.closed {
		return
	}
	s.closed = false
	lasted := now.Sub(s.closedSince)
	s.outage += time.Duration(outageSmoothing * float64(lasted-s.outage))
	name := s.Name
	a.notices = append(a.notices, func() { a.cfg.GroupChanged(name, false, lasted) })
}

func (a *Admitter) service(name identifier.Service) *service {
	s, found := a.services[name]
	if !found {
		s = &service{Service: cataloguer.Service{Name: name}, whole: usualWhole, outage: usualOutage}
		a.services[name] = s
	}
	return s
}

// dispatch grants and refuses waiting requests in order.
func (a *Admitter) dispatch(now time.Time) {
	for _, s := range a.services {
		s.sort(now)
		kept := s.queue[:0]
		blocked := false
		for _, t := range s.queue {
			if !blocked {
				if a.grant(now, s, t) {
					continue
				}
				// A request that has been elsewhere may find no upstream while the next one does.
				blocked = len(t.need.Exclude) == 0
			}
			if refusal, refused := a.judge(now, s, t); refused {
				t.resolve(refusal)
				continue
			}
			kept = append(kept, t)
		}
		clear(s.queue[len(kept):])
		s.queue = kept
	}
}

// grant gives the request an upstream if one can take it now.
func (a *Admitter) grant(now time.Time, s *service, t *Ticket) bool {
	if !s.closed && a.stalled(now, s) {
		a.closeGroup(now, s)
	}
	if s.closed {
		if now.Sub(s.lastProbe) < probePause {
			return false
		}
		s.lastProbe = now
	}
	best := a.choose(now, s, t.need)
	if best == nil {
		return false
	}
	load := best.running + best.peers
	if a.running(s) == 0 {
		// Nothing could progress before.
		s.progressed = now
	}
	best.running++
	best.cold.next = now.Add(a.coldSpacing(s))
	t.resolve(Granted{Upstream: best.Upstream, Waited: now.Sub(t.arrived), Load: load})
	return true
}

// choose returns the best of some upstreams that are drawn at random. Counts of other gateways are some hundred
// milliseconds old: if every gateway took the best of all, many would take the same one at the same time.
func (a *Admitter) choose(now time.Time, s *service, need Need) *upstream {
	var open []*upstream
	for _, u := range a.upstreams {
		if u.Service == need.Service && !need.Exclude[u.ID] && a.usable(u) && a.takes(now, s, u) {
			open = append(open, u)
		}
	}
	slices.SortFunc(open, func(x, y *upstream) int { return cmp.Compare(x.ID, y.ID) })
	draws := len(open)
	if a.gateways > 1 {
		draws = min(draws, drawsAmongPeers)
	}
	var best *upstream
	bestScore := 0.0
	for i := range draws {
		j := i + int(a.cfg.Draw()*float64(len(open)-i))
		open[i], open[j] = open[j], open[i]
		if score := a.score(now, s, open[i]); best == nil || score < bestScore {
			best, bestScore = open[i], score
		}
	}
	return best
}

// takes tells whether an upstream can take one more request now.
func (a *Admitter) takes(now time.Time, s *service, u *upstream) bool {
	if u.running+u.peers >= u.Slots+queuedBeyondSlots || now.Before(u.pausedTill) {
		return false
	}
	return !now.Before(u.coldTill) || s.ColdPerSecond <= 0 || !now.Before(u.cold.next)
}

// usable tells whether an upstream may get requests at all.
func (a *Admitter) usable(u *upstream) bool {
	return !u.Draining && !a.evacuated[u.FailureDomain]
}

const (
	// failureWeight makes one recent failure count like half of an upstream's slots.
	failureWeight = 0.5
	// remoteWeight prefers the own failure domain on ties.
	remoteWeight = 0.02
	// tieWeight spreads ties over the upstreams.
	tieWeight = 0.02
)

// score is lower for the better upstream. Ranks of a group advance together, so only their load counts; plain upstreams
// differ in speed.
func (a *Admitter) score(now time.Time, s *service, u *upstream) float64 {
	score := float64(u.running+u.peers) / float64(u.Slots)
	if s.Engine == nil && u.first > 0 {
		score = float64(u.running+u.peers+1) * u.first.Seconds() / max(s.whole.Seconds(), time.Millisecond.Seconds()) / float64(u.Slots)
	}
	score += failureWeight * u.recentFailures(now)
	if u.FailureDomain != a.cfg.FailureDomain {
		score += remoteWeight
	}
	return score + tieWeight*a.cfg.Draw()
}

// coldSpacing is the time between two sends of this gateway to a cold upstream.
func (a *Admitter) coldSpacing(s *service) time.Duration {
	if s.ColdPerSecond <= 0 {
		return 0
	}
	rate := (a.cfg.ColdFactor*s.ColdPerSecond + a.cfg.ColdSlack) / float64(a.gateways)
	return time.Duration(float64(time.Second) / rate)
}

// judge refuses a request that cannot be served in time.
func (a *Admitter) judge(now time.Time, s *service, t *Ticket) (Refused, bool) {
	if !now.Before(t.need.Until) {
		return refuse(now, t, ReasonDeadline, s.whole), true
	}
	slots, usable := 0, 0
	for _, u := range a.upstreams {
		if u.Service == s.Name && a.usable(u) && !t.need.Exclude[u.ID] {
			usable++
			slots += u.Slots
		}
	}
	if usable == 0 {
		return refuse(now, t, ReasonNoUpstream, time.Second), true
	}
	if s.closed {
		elapsed := now.Sub(s.closedSince)
		remaining := max(s.outage-elapsed, elapsed/2)
		if !t.need.Returned && now.Add(remaining).After(t.need.Until) {
			// The end of the outage is a guess. A client that comes back too early is refused again and may give up, so it
			// is sent away for as long as it honours.
			return refuse(now, t, ReasonGroupClosed, maxRetryAfter), true
		}
		return Refused{}, false
	}
	// All gateways have about the same queue.
	ahead := a.ahead(s, t) * a.gateways
	wait := time.Duration(float64(s.whole) * float64(ahead) / float64(slots))
	if now.Add(wait).After(t.need.Until) {
		return refuse(now, t, ReasonOverload, wait), true
	}
	return Refused{}, false
}

// ahead counts the requests that go before one in the queue.
func (a *Admitter) ahead(s *service, t *Ticket) int {
	return max(slices.Index(s.queue, t), 0)
}

func refuse(now time.Time, t *Ticket, reason Reason, wait time.Duration) Refused {
	left := t.need.Deadline.Sub(now)
	return Refused{Reason: reason, RetryAfter: max(min(wait, left/retryShare), minRetryAfter)}
}

func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(latencySmoothing*float64(sample-old))
}

func (u *upstream) observe(now time.Time, failed float64) {
	u.failures = u.recentFailures(now) + failed
	u.failuresAt = now
}

func (u *upstream) recentFailures(now time.Time) float64 {
	if u.failures == 0 {
		return 0
	}
	halfLives := now.Sub(u.failuresAt).Seconds() / failureHalfLife.Seconds()
	return u.failures * math.Exp2(-halfLives)
}
