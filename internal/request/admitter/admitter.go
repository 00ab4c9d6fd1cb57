// Package admitter decides for each request which upstream it goes to, whether it waits, and whether it is refused.
// It answers four loads: bursts beyond the slots of a service (requests wait in order of priority as long as they can
// still be served), groups of ranks that are closed for some seconds (requests that cannot be served in time are refused
// at once with the time to come back), the backlog when such a group opens (few requests wait for their first byte, free
// slots are dealt among gateways, and some are kept for requests that can be on time), and upstreams that fail, slow down
// or start cold (others are preferred). It has no I/O and no clock of its own.
package admitter

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/cataloguer"
)

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
	// probeInterval is the time between two requests that try a closed group, over all gateways. Each costs a repeat, and
	// the first that sees the group work tells the others.
	probeInterval = 45 * time.Millisecond
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
	// drawsAmongPeers is the number of upstreams that are drawn while other gateways choose as well. Two to four spread the
	// load alike on the users' sites; drawing all brought 25 of 44 gateways to the same upstream.
	drawsAmongPeers = 4
	// minRetryAfter keeps clients from coming back before anything can have changed.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is beyond what clients honour; refuse cuts it to that.
	maxRetryAfter = time.Minute
)

// RetryShare divides a client's time left into the longest Retry-After that it honours.
const RetryShare = 3

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
	window      startWindow
	allotment   allotment
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
	GroupChanged func(GroupChange)
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
		cfg.GroupChanged = func(GroupChange) {}
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
	shadow(a.upstreams)
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
		known.pausedTill, known.pause, known.replaced = time.Time{}, 0, false
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
	for _, s := range a.services {
		a.allot(now, s)
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

// Withdraw takes a request out of the queue. If it was granted meanwhile, the grant is given back.
func (a *Admitter) Withdraw(now time.Time, t *Ticket) {
	a.mu.Lock()
	s := a.service(t.need.Service)
	s.queue = slices.DeleteFunc(s.queue, func(other *Ticket) bool { return other == t })
	a.unlock()
	select {
	case d := <-t.result:
		if g, granted := d.(Granted); granted {
			a.Done(now, g, Cancelled{})
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

// Started reports the first byte of the answer to a granted request.
func (a *Admitter) Started(now time.Time, g Granted) {
	a.mu.Lock()
	defer a.unlock()
	if g.start.pending {
		g.start.pending = false
		a.service(g.Upstream.Service).window.started(now, now.Sub(g.start.granted))
	}
	a.dispatch(now)
}

// Done reports the end of a granted request.
func (a *Admitter) Done(now time.Time, g Granted, result Outcome) {
	a.mu.Lock()
	defer a.unlock()
	s := a.service(g.Upstream.Service)
	if g.start.pending {
		g.start.pending = false
		s.window.starting--
	}
	u, found := a.upstreams[g.Upstream.ID]
	if !found {
		return
	}
	u.running = max(u.running-1, 0)
	switch r := result.(type) {
	case Served:
		a.open(now, s, CauseProgress)
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
			a.closeGroup(now, s, CauseRejection)
		}
	case Replaced:
		u.replaced = true
		shadow(a.upstreams)
	case Leaving:
		a.open(now, s, CauseProgress)
		u.pausedTill = now.Add(leavingPause)
	case Cancelled:
	}
	a.dispatch(now)
}

func (a *Admitter) service(name identifier.Service) *service {
	s, found := a.services[name]
	if !found {
		s = &service{Service: cataloguer.Service{Name: name}, whole: usualWhole, outage: usualOutage}
		a.services[name] = s
	}
	return s
}
