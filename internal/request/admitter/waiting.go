package admitter

import (
	"time"

	"currantledge.example/currantledge/internal/connection/federator"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/apportioner"
)

// peerWaitingLife is how long the waiting requests that peers have reported are used. It is that of their other counts.
const peerWaitingLife = time.Second

// peerWaiting is what waits for a service at other gateways.
type peerWaiting struct {
	requests apportioner.Waiting
	// work is the time for which they are expected to hold slots.
	work time.Duration
	// gateways is the number of gateways whose waiting requests are known.
	gateways int
	at       time.Time
}

// PeerWaiting is what waits at the other gateways.
type PeerWaiting struct {
	// Services holds the sums of the requests that wait for each service.
	Services map[identifier.Service]federator.Waiting
	// Gateways is the number of gateways that the sums include. Those of earlier builds report nothing.
	Gateways int
}

// FleetWaiting holds the number of requests that wait at all gateways, by priority.
type FleetWaiting struct {
	OnTime []int
	Late   []int
	// Work is the time for which they are expected to hold slots.
	Work time.Duration
}

// Waiting returns the requests that wait for each service with an engine. Isolated requests are left out, since each waits
// for one upstream. The result is never nil.
func (a *Admitter) Waiting(now time.Time) map[identifier.Service]federator.Waiting {
	a.mu.Lock()
	defer a.unlock()
	out := map[identifier.Service]federator.Waiting{}
	for name, s := range a.services {
		if s.Engine == nil {
			continue
		}
		requests := s.countWaiting(now)
		if requests.IsEmpty() {
			continue
		}
		waiting, work := federator.Waiting{}, s.workWaiting(now)
		for class, n := range requests {
			if n > 0 {
				of := federator.WaitingClass{Priority: class % apportioner.Priorities, Late: class >= apportioner.Priorities}
				waiting[of] = federator.Need{Requests: int(n), Work: work[class]}
			}
		}
		out[name] = waiting
	}
	return out
}

// SetPeerWaiting replaces what waits at the other gateways. It takes effect with the next SetPeerRunning.
func (a *Admitter) SetPeerWaiting(now time.Time, waiting PeerWaiting) {
	a.mu.Lock()
	defer a.unlock()
	for name, s := range a.services {
		if s.Engine == nil {
			continue
		}
		p := peerWaiting{gateways: waiting.Gateways, at: now}
		for class, need := range waiting.Services[name] {
			p.requests[apportioner.ClassOf(class.Priority, class.Late)] += float64(need.Requests)
			p.work += need.Work
		}
		s.peerWaiting = p
	}
}

// needIsKnown reports whether something waits for a service at this gateway or others, and it is known what waits at any
// of the others. It counts the requests that wait here.
func (a *Admitter) needIsKnown(now time.Time, s *service) bool {
	if s.peerWaiting.gateways == 0 || now.Sub(s.peerWaiting.at) > peerWaitingLife {
		return false
	}
	s.ownWaiting = s.countWaiting(now)
	return !s.ownWaiting.IsEmpty() || !s.peerWaiting.requests.IsEmpty()
}

// countWaiting returns what waits at this gateway, without isolated requests.
func (s *service) countWaiting(now time.Time) apportioner.Waiting {
	var w apportioner.Waiting
	for _, t := range s.queue {
		if !t.isIsolated() {
			w[apportioner.ClassOf(t.request.Priority, t.lateness(now) > 0)]++
		}
	}
	return w
}

// workWaiting returns the time for which the requests of each class that wait here are expected to hold slots.
func (s *service) workWaiting(now time.Time) [len(apportioner.Waiting{})]time.Duration {
	var work [len(apportioner.Waiting{})]time.Duration
	for _, t := range s.queue {
		if !t.isIsolated() {
			work[apportioner.ClassOf(t.request.Priority, t.lateness(now) > 0)] += s.expectedTime(t.request.Work)
		}
	}
	return work
}

// fleetWaiting returns the requests by priority that wait at this gateway and, as far as they have reported it lately, at
// others.
func (s *service) fleetWaiting(now time.Time) (onTime, late []int) {
	all := s.countWaiting(now)
	if now.Sub(s.peerWaiting.at) <= peerWaitingLife {
		for c, n := range s.peerWaiting.requests {
			all[c] += n
		}
	}
	byPriority := func(classes []float64) []int {
		var out []int
		for priority, n := range classes {
			if n > 0 {
				out = append(out, make([]int, priority+1-len(out))...)
				out[priority] = int(n)
			}
		}
		return out
	}
	return byPriority(all[:apportioner.Priorities]), byPriority(all[apportioner.Priorities:])
}

// fleetWork returns the time for which the requests that fleetWaiting counts are expected to hold slots.
func (s *service) fleetWork(now time.Time) time.Duration {
	sum := time.Duration(0)
	for _, t := range s.queue {
		if !t.isIsolated() {
			sum += s.expectedTime(t.request.Work)
		}
	}
	if now.Sub(s.peerWaiting.at) <= peerWaitingLife {
		sum += s.peerWaiting.work
	}
	return sum
}

// FleetWaiting returns the number of requests that wait for each service with an engine at all gateways which report them,
// on time and late.
func (a *Admitter) FleetWaiting(now time.Time) map[identifier.Service]FleetWaiting {
	a.mu.Lock()
	defer a.unlock()
	out := map[identifier.Service]FleetWaiting{}
	for name, s := range a.services {
		if s.Engine != nil {
			onTime, late := s.fleetWaiting(now)
			out[name] = FleetWaiting{OnTime: onTime, Late: late, Work: s.fleetWork(now)}
		}
	}
	return out
}

// groupShare returns the share of a group in the usable ranks of the open groups of a service. Waiting requests may go to
// any of these.
func (a *Admitter) groupShare(s *service, g *group) float64 {
	ranks := 0
	for _, other := range s.groups {
		if other == g || !other.closed {
			ranks += other.ranks
		}
	}
	return float64(g.ranks) / float64(max(ranks, 1))
}
