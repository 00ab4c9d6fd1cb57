package admitter

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Backlog describes a group of a service for which requests wait, and how its upstreams are used.
type Backlog struct {
	Group identifier.GroupID
	// Closed is set while the group gets probes only.
	Closed bool
	// Waiting is the number of requests that wait for any group of the service; WaitingLate is that of those which can no
	// longer be on time.
	Waiting     int
	WaitingLate int
	// Running is the number of requests of this gateway that run on the group; RunningLate is that of those which could no
	// longer be on time when they were granted. Starting is the number of streams without a first byte.
	Running     int
	RunningLate int
	Starting    int
	// Limit is the number of requests that this gateway may run on the group, or 0 if there is no limit.
	Limit int
	// Capacity is the number of requests that may run on the group, over all gateways.
	Capacity float64
	// ByNeed is set if Limit follows from what waits at all gateways; Part is then the number of requests that this gateway
	// gets by that, before rounding and without the least number of slots that it may always use.
	ByNeed bool
	Part   float64
	// FleetOnTime and FleetLate are the requests by priority that wait at all gateways which report them.
	FleetOnTime []int
	FleetLate   []int
	// WaitingWork is the time for which the requests that wait here are expected to hold slots, and FleetWork that of those
	// that wait at all gateways which report them, without isolated ones.
	WaitingWork time.Duration
	FleetWork   time.Duration
	// Usable is the number of upstreams that may receive requests. The other fields count those of them that accept none
	// now, each by the first reason that applies.
	Usable  int
	Paused  int
	Backoff int
	Full    int
}

// Backlogs returns the backlog of each group of the services for which requests wait.
func (a *Admitter) Backlogs(now time.Time) []Backlog {
	a.mu.Lock()
	defer a.unlock()
	var out []Backlog
	for _, s := range a.services {
		if len(s.queue) == 0 {
			continue
		}
		late := 0
		for _, t := range s.queue {
			late += t.lateness(now)
		}
		fleetOnTime, fleetLate := s.fleetWaiting(now)
		for _, g := range s.groups {
			b := Backlog{
				Group: identifier.GroupID{Service: s.Name, Group: g.name}, Closed: g.closed,
				Waiting: len(s.queue), WaitingLate: late,
				Running: g.running, RunningLate: g.runningLate, Starting: g.window.starting, Limit: g.allotment.limit,
				Capacity: g.allotment.capacity, ByNeed: g.allotment.byNeed, Part: g.allotment.part,
				FleetOnTime: fleetOnTime, FleetLate: fleetLate,
				WaitingWork: s.workOf(s.queue), FleetWork: s.fleetWork(now),
			}
			a.countUnavailable(now, g, &b)
			out = append(out, b)
		}
	}
	return out
}

// countUnavailable counts the upstreams of a group that accept no request now.
func (a *Admitter) countUnavailable(now time.Time, g *group, b *Backlog) {
	for _, u := range a.upstreams {
		if u.group != g || !a.usable(u) {
			continue
		}
		b.Usable++
		switch {
		case !a.allows(now, u):
			b.Paused++
		case now.Before(u.backoffUntil):
			b.Backoff++
		case u.isFull():
			b.Full++
		}
	}
}
