// Package queuer holds the queue of an entry: the requests that wait for an upstream. It matches them with the credits
// that agents grant, and computes the demand that the entry reports to the agents. The package has no goroutines and no
// I/O, and its types are not safe for concurrent use.
package queuer

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	// firstWideningAfter is the waiting time up to which a request accepts credits of its preferred upstream only.
	// Otherwise, standing credits of other upstreams would serve every request, and an upstream that returns to service
	// would see no demand.
	firstWideningAfter = 5 * time.Millisecond
	// firstWidenedWidth is the number of candidates after the first widening; the second one doubles it.
	firstWidenedWidth = 2
	// secondWideningAfter is the waiting time up to which a request accepts credits of firstWidenedWidth candidates. It
	// exceeds a round trip within a region, so that the credit of an idle preferred upstream arrives before.
	secondWideningAfter = 20 * time.Millisecond
	// allCandidatesAfter is the waiting time after which a request accepts credits of all its candidates.
	allCandidatesAfter = 80 * time.Millisecond
	// expiryMargin is how long before its expiry a credit ceases to be used: the agent refuses a dispatch that arrives
	// after the expiry.
	expiryMargin = 100 * time.Millisecond
)

// Waiter is a request that waits for a credit.
type Waiter struct {
	Request  identifier.Request
	Customer identifier.Customer
	// Candidates are the upstreams that may serve the request, the preferred one first.
	Candidates []identifier.Upstream
	// PreferredOnly restricts the request to the preferred upstream.
	PreferredOnly bool

	waitingSince time.Time
	// arrival numbers the waiters in the order of arrival.
	arrival uint64
}

// Match pairs a waiting request with a credit.
type Match struct {
	Request     identifier.Request
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Serial      identifier.Serial
}

// heldGrant is a grant with unused credits.
type heldGrant struct {
	grant   messenger.Grant
	left    identifier.Credits
	expires time.Time
}

// SurplusCredits is the unused part of a grant that is to be returned to the agent of an upstream.
type SurplusCredits struct {
	Upstream identifier.Upstream
	Return   messenger.ReturnGrant
}

// Queuer holds waiting requests and unused credits, and matches them.
type Queuer struct {
	waiting map[identifier.Request]*Waiter
	// customers holds the same requests by customer, each in the order of arrival. Credits are bound to a customer, so a
	// credit is matched against the requests of one customer only.
	customers   map[identifier.Customer][]*Waiter
	grants      map[identifier.Upstream][]*heldGrant
	lastArrival uint64
}

// New returns an empty Queuer.
func New() *Queuer {
	return &Queuer{
		waiting:   map[identifier.Request]*Waiter{},
		customers: map[identifier.Customer][]*Waiter{},
		grants:    map[identifier.Upstream][]*heldGrant{},
	}
}

// Waiting returns the number of waiting requests of a customer.
func (q *Queuer) Waiting(customer identifier.Customer) int {
	return len(q.customers[customer])
}

// Add adds a request to the queue, or replaces its candidates if it waits already, and returns the matches that this
// makes possible.
func (q *Queuer) Add(now time.Time, w Waiter) []Match {
	q.lastArrival++
	w.arrival, w.waitingSince = q.lastArrival, now
	if old, ok := q.waiting[w.Request]; ok {
		w.arrival, w.waitingSince = old.arrival, old.waitingSince
		q.Remove(w.Request)
	}
	q.waiting[w.Request] = &w
	at, _ := q.position(&w)
	q.customers[w.Customer] = slices.Insert(q.customers[w.Customer], at, &w)
	return q.match(now)
}

// Remove removes a request from the queue and reports whether it was waiting.
func (q *Queuer) Remove(id identifier.Request) bool {
	w, ok := q.waiting[id]
	if !ok {
		return false
	}
	delete(q.waiting, id)
	if at, found := q.position(w); found {
		q.customers[w.Customer] = slices.Delete(q.customers[w.Customer], at, at+1)
	}
	if len(q.customers[w.Customer]) == 0 {
		delete(q.customers, w.Customer)
	}
	return true
}

// position returns the index of a request among those of its customer, or the index at which to insert it, and reports
// whether it was found.
func (q *Queuer) position(w *Waiter) (int, bool) {
	return slices.BinarySearchFunc(q.customers[w.Customer], w.arrival, func(other *Waiter, arrival uint64) int {
		return cmp.Compare(other.arrival, arrival)
	})
}

// Grant adds credits of an upstream and returns the matches that this makes possible.
func (q *Queuer) Grant(now time.Time, upstream identifier.Upstream, g messenger.Grant) []Match {
	q.grants[upstream] = append(q.grants[upstream], &heldGrant{
		grant: g, left: g.Credits, expires: now.Add(g.Lifetime - expiryMargin),
	})
	return q.match(now)
}

// DropCredits discards the credits of an upstream whose link is down.
func (q *Queuer) DropCredits(upstream identifier.Upstream) {
	delete(q.grants, upstream)
}

// Tick discards expired credits and returns the matches of requests that accept more candidates since the last call.
func (q *Queuer) Tick(now time.Time) []Match {
	return q.match(now)
}

// TakeSurplus removes and returns the credits that were granted for requests which no longer wait. Standing credits are
// kept until they expire.
func (q *Queuer) TakeSurplus() []SurplusCredits {
	var out []SurplusCredits
	for upstream, grants := range q.grants {
		var kept []*heldGrant
		for _, g := range grants {
			if g.grant.Standing || q.hasWaiterFor(upstream, g.grant.Customer) {
				kept = append(kept, g)
				continue
			}
			out = append(out, SurplusCredits{Upstream: upstream, Return: messenger.ReturnGrant{Serial: g.grant.Serial, Credits: g.left}})
		}
		q.grants[upstream] = kept
	}
	return out
}

// hasWaiterFor reports whether the upstream is a candidate of a waiting request of the customer.
func (q *Queuer) hasWaiterFor(upstream identifier.Upstream, customer identifier.Customer) bool {
	for _, w := range q.customers[customer] {
		if w.includes(upstream, len(w.Candidates)) {
			return true
		}
	}
	return false
}

// DemandOn returns the current demand for credits of an upstream: the number of requests of each customer that accept
// them, ordered by customer.
func (q *Queuer) DemandOn(now time.Time, upstream identifier.Upstream) []messenger.CustomerDemand {
	counts := map[identifier.Customer]int{}
	for _, w := range q.waiting {
		if w.includes(upstream, w.width(now)) {
			counts[w.Customer]++
		}
	}
	out := make([]messenger.CustomerDemand, 0, len(counts))
	for customer, waiting := range counts {
		out = append(out, messenger.CustomerDemand{Customer: customer, Waiting: waiting})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Customer < out[j].Customer })
	return out
}

// match removes the requests for which there is a credit and returns their matches in the order of arrival. Each request
// uses a credit of its most preferred upstream that has one.
func (q *Queuer) match(now time.Time) []Match {
	q.dropExpired(now)
	type matched struct {
		match   Match
		arrival uint64
	}
	var all []matched
	for customer, left := range q.creditsByCustomer() {
		for _, w := range slices.Clone(q.customers[customer]) {
			if left == 0 {
				break
			}
			if m, ok := q.takeCredit(now, w); ok {
				q.Remove(w.Request)
				all = append(all, matched{match: m, arrival: w.arrival})
				left--
			}
		}
	}
	slices.SortFunc(all, func(a, b matched) int { return cmp.Compare(a.arrival, b.arrival) })
	var out []Match
	for _, m := range all {
		out = append(out, m.match)
	}
	return out
}

// creditsByCustomer returns the number of unused credits of each customer.
func (q *Queuer) creditsByCustomer() map[identifier.Customer]identifier.Credits {
	if len(q.grants) == 0 {
		return nil
	}
	credits := map[identifier.Customer]identifier.Credits{}
	for _, grants := range q.grants {
		for _, g := range grants {
			credits[g.grant.Customer] += g.left
		}
	}
	return credits
}

// takeCredit uses a credit for a request and reports whether there is one.
func (q *Queuer) takeCredit(now time.Time, w *Waiter) (Match, bool) {
	for _, upstream := range w.Candidates[:w.width(now)] {
		for _, g := range q.grants[upstream] {
			if g.grant.Customer != w.Customer || g.left == 0 {
				continue
			}
			g.left--
			return Match{
				Request: w.Request, Upstream: upstream, Incarnation: g.grant.Incarnation, Serial: g.grant.Serial,
			}, true
		}
	}
	return Match{}, false
}

// dropExpired discards grants that are expired or used up.
func (q *Queuer) dropExpired(now time.Time) {
	for upstream, grants := range q.grants {
		kept := grants[:0]
		for _, g := range grants {
			if g.left > 0 && now.Before(g.expires) {
				kept = append(kept, g)
			}
		}
		if len(kept) == 0 {
			delete(q.grants, upstream)
			continue
		}
		q.grants[upstream] = kept
	}
}

// width returns the number of candidates whose credits the request accepts now. It is small at first, so that upstreams
// which will not serve the request do not grant credits for it.
func (w *Waiter) width(now time.Time) int {
	if w.PreferredOnly {
		return min(1, len(w.Candidates))
	}
	waited := now.Sub(w.waitingSince)
	switch {
	case waited < firstWideningAfter:
		return min(1, len(w.Candidates))
	case waited < secondWideningAfter:
		return min(firstWidenedWidth, len(w.Candidates))
	case waited < allCandidatesAfter:
		return min(2*firstWidenedWidth, len(w.Candidates))
	default:
		return len(w.Candidates)
	}
}

// includes reports whether an upstream is among the first width candidates of the request.
func (w *Waiter) includes(upstream identifier.Upstream, width int) bool {
	for _, candidate := range w.Candidates[:width] {
		if candidate == upstream {
			return true
		}
	}
	return false
}
