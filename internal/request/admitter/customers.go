package admitter

import (
	"time"

	"currantledge.example/currantledge/internal/connection/federator"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/apportioner"
	"currantledge.example/currantledge/internal/request/sharer"
)

// ReasonCustomerShare means that capacity is short and the customer was granted more than its share of it.
const ReasonCustomerShare Reason = "customerShare"

// CustomerShare is why a request was refused with ReasonCustomerShare, in requests of all gateways and recent seconds.
type CustomerShare struct {
	// Granted is what the customer was granted, Asked what it asked for and Share what it is due. Usual is what it usually asks
	// for, or 0 if that is unknown.
	Granted float64
	Asked   float64
	Share   float64
	Usual   float64
}

// sharer returns the shares of the customers in the requests of one priority.
func (s *service) sharer(priority int) *sharer.Sharer {
	known, found := s.sharers[priority]
	if !found {
		known = sharer.New()
		s.sharers[priority] = known
	}
	return known
}

// recordRequest counts a submitted request for its customer.
func (s *service) recordRequest(now time.Time, t *Ticket) {
	of := s.sharer(t.request.Priority)
	of.RecordRequest(now, t.request.Customer, 1)
	t.standing = of.Standing(now, t.request.Customer)
}

// updateStandings updates the standings of the customers of all waiting requests, by which the queue is ordered.
func (s *service) updateStandings(now time.Time) {
	for _, t := range s.queue {
		t.standing = s.sharer(t.request.Priority).Standing(now, t.request.Customer)
	}
}

// shareRefusal returns the refusal of a request whose customer was granted more than its share while others lack theirs. It
// does not ask whether this gateway has a free slot: requests of the others wait at other gateways, which get the slot with
// the next allotment. Returning clients and requests that were sent to an upstream before wait behind those of the others.
func (a *Admitter) shareRefusal(now time.Time, s *service, t *Ticket) (Refused, bool) {
	if t.standing != sharer.Over || t.request.NoClientRetry || len(t.request.Exclude) > 0 || !s.isOpen() || !a.othersMayWait(now, s, t) {
		return Refused{}, false
	}
	of := s.sharer(t.request.Priority)
	use := of.Use(now, t.request.Customer)
	r := newRefused(now, t, ReasonCustomerShare, max(of.TimeOver(now, t.request.Customer), s.slotTime()))
	r.Share = CustomerShare{
		Granted: use.Granted, Asked: use.Asked, Usual: use.Usual, Share: of.ShareOf(now, t.request.Customer),
	}
	return r, true
}

// othersMayWait reports whether requests of other customers with the priority of a request may wait at any gateway. If no
// other gateway reports what waits there, they may. The counts of customers hold what was refused some seconds ago, for
// example during an outage, and alone do not show that capacity is still short.
func (a *Admitter) othersMayWait(now time.Time, s *service, t *Ticket) bool {
	for _, other := range s.queue {
		if other.request.Priority == t.request.Priority && other.request.Customer != t.request.Customer && !other.isIsolated() {
			return true
		}
	}
	if a.gateways == 1 {
		return false
	}
	p := s.peerWaiting
	if p.gateways == 0 || now.Sub(p.at) > peerWaitingLife {
		return true
	}
	onTime, late := apportioner.ClassOf(t.request.Priority, false), apportioner.ClassOf(t.request.Priority, true)
	return p.requests[onTime]+p.requests[late] > 0
}

// isOpen reports whether a group of the service is open.
func (s *service) isOpen() bool {
	for _, g := range s.groups {
		if !g.closed {
			return true
		}
	}
	return false
}

// CustomerUses returns what the customers have asked this gateway for and been granted by it lately, and their usual loads.
func (a *Admitter) CustomerUses(now time.Time) federator.CustomerUses {
	a.mu.Lock()
	defer a.unlock()
	out := federator.CustomerUses{}
	for _, s := range a.services {
		for priority, of := range s.sharers {
			for customer, use := range of.Report(now) {
				out[federator.CustomerKey{Service: s.Name, Priority: priority, Customer: customer}] = federator.CustomerUse(use)
			}
		}
	}
	return out
}

// SetPeerCustomerUses replaces the sums of the uses of customers at other gateways.
func (a *Admitter) SetPeerCustomerUses(sums federator.CustomerUses) {
	a.mu.Lock()
	defer a.unlock()
	byService := map[identifier.Service]map[int]map[identifier.Customer]sharer.Use{}
	for key, use := range sums {
		byPriority := byService[key.Service]
		if byPriority == nil {
			byPriority = map[int]map[identifier.Customer]sharer.Use{}
			byService[key.Service] = byPriority
		}
		if byPriority[key.Priority] == nil {
			byPriority[key.Priority] = map[identifier.Customer]sharer.Use{}
		}
		byPriority[key.Priority][key.Customer] = sharer.Use(use)
	}
	for name, s := range a.services {
		for priority := range byService[name] {
			s.sharer(priority)
		}
		for priority, of := range s.sharers {
			of.SetPeers(byService[name][priority])
		}
	}
}
