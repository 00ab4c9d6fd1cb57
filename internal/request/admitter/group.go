package admitter

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Cause is why a group is taken to work or not.
type Cause string

// The causes.
const (
	// CauseProgress means that a request of this gateway received something.
	CauseProgress Cause = "progress"
	// CauseRejection means that a rank with free slots rejected a request of this gateway.
	CauseRejection Cause = "rejection"
	// CauseStall means that no request of this gateway received anything for a while.
	CauseStall Cause = "stall"
	// CausePeer means that another gateway has seen it.
	CausePeer Cause = "peer"
)

// GroupChange tells that the group of a service closed or opened.
type GroupChange struct {
	Service identifier.Service
	Closed  bool
	Cause   Cause
	// Lasted is how long an opened group was closed.
	Lasted time.Duration
}

// Progressed tells that a stream of a service has received something.
func (a *Admitter) Progressed(now time.Time, name identifier.Service) {
	a.mu.Lock()
	defer a.unlock()
	s := a.service(name)
	s.progressed = now
	a.open(now, s, CauseProgress)
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
	a.open(now, a.service(name), CausePeer)
	a.dispatch(now)
}

// GroupBroken tells that the group of a service does not work.
func (a *Admitter) GroupBroken(now time.Time, name identifier.Service) {
	a.mu.Lock()
	defer a.unlock()
	a.closeGroup(now, a.service(name), CausePeer)
}

func (a *Admitter) closeGroup(now time.Time, s *service, cause Cause) {
	if s.closed || s.Engine == nil {
		return
	}
	s.closed = true
	s.closedSince = now
	// Gateways that saw the group close together try it one after the other.
	s.lastProbe = now.Add(-time.Duration(a.cfg.Draw() * float64(a.probePause())))
	change := GroupChange{Service: s.Name, Closed: true, Cause: cause}
	a.notices = append(a.notices, func() { a.cfg.GroupChanged(change) })
}

// probePause is the time between two requests of this gateway that try a closed group.
func (a *Admitter) probePause() time.Duration {
	return time.Duration(a.gateways) * probeInterval
}

func (a *Admitter) open(now time.Time, s *service, cause Cause) {
	if !s.closed {
		return
	}
	s.closed = false
	s.window.reset()
	s.allotment = allotment{}
	a.allot(now, s)
	lasted := now.Sub(s.closedSince)
	s.outage += time.Duration(outageSmoothing * float64(lasted-s.outage))
	change := GroupChange{Service: s.Name, Cause: cause, Lasted: lasted}
	a.notices = append(a.notices, func() { a.cfg.GroupChanged(change) })
}
