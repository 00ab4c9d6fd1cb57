package admitter

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

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
