// Package queuer holds the requests that wait at an entry and matches them with the credits that agents grant.
// It is a state machine without goroutines or I/O and is not safe for concurrent use.
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
	// aloneFor is how long a request asks its preferred upstream alone. Without it, standing credits of other
	// upstreams would take every request before an upstream that returns to service is ever asked.
	aloneFor   = 5 * time.Millisecond
	firstWidth = 2
	// widenAfter is how long a request asks two upstreams. It is longer than a round trip
	// within a region, so that an idle preferred upstream is not passed over.
	widenAfter = 20 * time.Millisecond
	// wideAfter is when a request asks all its upstreams.
	wideAfter = 80 * time.Millisecond
	// expiryMargin keeps credits from being used while they expire at the agent.
	expiryMargin = 100 * time.Millisecond
)

// Waiter is a request that waits for a credit.
type Waiter struct {
	Request  identifier.Request
	Customer identifier.Customer
	// Candidates are the upstreams that may serve the request, the preferred one first.
	Candidates []identifier.Upstream
	// Narrow restricts the request to its first candidate.
	Narrow bool

	since time.Time
	order uint64
}

// Match pairs a waiting request with a credit.
type Match struct {
	Request     identifier.Request
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Serial      identifier.Serial
}

// credit is a grant that is not used up.
type credit struct {
	grant   messenger.Grant
	left    identifier.Credits
	expires time.Time
}

// Returned is a part of a grant to give back to an upstream.
type Returned struct {
	Upstream identifier.Upstream
	Return   messenger.ReturnGrant
}

// Queuer matches waiting requests and credits.
type Queuer struct {
	waiting map[identifier.Request]*Waiter
	// customers holds the same requests by customer, each in the order of arrival. Credits are bound to a customer, so
	// that a credit needs to look at the requests of one customer only.
	customers map[identifier.Customer][]*Waiter
	credits   map[identifier.Upstream][]*credit
	next      uint64
}

// New returns an empty queuer.
func New() *Queuer {
	return &Queuer{
		waiting:   map[identifier.Request]*Waiter{},
		customers: map[identifier.Customer][]*Waiter{},
		credits:   map[identifier.Upstream][]*credit{},
	}
}

// Waiting returns how many requests of a customer wait.
func (q *Queuer) Waiting(customer identifier.Customer) int {
	return len(q.customers[customer])
}

// Add puts a request in the queue, or replaces its candidates if it waits already, and matches it if a held
// credit fits.
func (q *Queuer) Add(now time.Time, w Waiter) []Match {
	q.next++
	w.order, w.since = q.next, now
	if old, ok := q.waiting[w.Request]; ok {
		w.order, w.since = old.order, old.since
		q.Remove(w.Request)
	}
	q.waiting[w.Request] = &w
	at, _ := q.position(&w)
	q.customers[w.Customer] = slices.Insert(q.customers[w.Customer], at, &w)
	return q.match(now)
}

// Remove takes a request out of the queue. It reports whether the request was waiting.
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

// position returns where a request is, or belongs, among those of its customer.
func (q *Queuer) position(w *Waiter) (int, bool) {
	return slices.BinarySearchFunc(q.customers[w.Customer], w.order, func(other *Waiter, order uint64) int {
		return cmp.Compare(other.order, order)
	})
}

// Grant adds credits of an upstream and returns the requests that they admit.
func (q *Queuer) Grant(now time.Time, upstream identifier.Upstream, g messenger.Grant) []Match {
	q.credits[upstream] = append(q.credits[upstream], &credit{
		grant: g, left: g.Credits, expires: now.Add(g.Lifetime - expiryMargin),
	})
	return q.match(now)
}

// Drop forgets the credits of an upstream whose link is down.
func (q *Queuer) Drop(upstream identifier.Upstream) {
	delete(q.credits, upstream)
}

// Tick matches requests whose set of upstreams has widened and drops expired credits.
func (q *Queuer) Tick(now time.Time) []Match {
	return q.match(now)
}

// Surplus takes back the credits that were granted for requests which no longer wait, and returns them. Standing
// credits are kept until they expire.
func (q *Queuer) Surplus() []Returned {
	var out []Returned
	for upstream, credits := range q.credits {
		var kept []*credit
		for _, c := range credits {
			if c.grant.Standing || q.wanted(upstream, c.grant.Customer) {
				kept = append(kept, c)
				continue
			}
			out = append(out, Returned{Upstream: upstream, Return: messenger.ReturnGrant{Serial: c.grant.Serial, Credits: c.left}})
		}
		q.credits[upstream] = kept
	}
	return out
}

func (q *Queuer) wanted(upstream identifier.Upstream, customer identifier.Customer) bool {
	for _, w := range q.customers[customer] {
		if w.accepts(upstream, len(w.Candidates)) {
			return true
		}
	}
	return false
}

// DemandOn returns how many requests of each customer ask an upstream now.
func (q *Queuer) DemandOn(now time.Time, upstream identifier.Upstream) []messenger.CustomerDemand {
	counts := map[identifier.Customer]int{}
	for _, w := range q.waiting {
		if w.accepts(upstream, w.width(now)) {
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

// match serves requests in the order of arrival, each from its most preferred upstream with a credit.
func (q *Queuer) match(now time.Time) []Match {
	q.expire(now)
	type served struct {
		match Match
		order uint64
	}
	var all []served
	for customer, left := range q.held() {
		for _, w := range slices.Clone(q.customers[customer]) {
			if left == 0 {
				break
			}
			if m, ok := q.take(now, w); ok {
				q.Remove(w.Request)
				all = append(all, served{match: m, order: w.order})
				left--
			}
		}
	}
	slices.SortFunc(all, func(a, b served) int { return cmp.Compare(a.order, b.order) })
	var out []Match
	for _, s := range all {
		out = append(out, s.match)
	}
	return out
}

// held returns the credits of each customer.
func (q *Queuer) held() map[identifier.Customer]identifier.Credits {
	if len(q.credits) == 0 {
		return nil
	}
	held := map[identifier.Customer]identifier.Credits{}
	for _, credits := range q.credits {
		for _, c := range credits {
			held[c.grant.Customer] += c.left
		}
	}
	return held
}

func (q *Queuer) take(now time.Time, w *Waiter) (Match, bool) {
	for _, upstream := range w.Candidates[:w.width(now)] {
		for _, c := range q.credits[upstream] {
			if c.grant.Customer != w.Customer || c.left == 0 {
				continue
			}
			c.left--
			return Match{
				Request: w.Request, Upstream: upstream, Incarnation: c.grant.Incarnation, Serial: c.grant.Serial,
			}, true
		}
	}
	return Match{}, false
}

func (q *Queuer) expire(now time.Time) {
	for upstream, credits := range q.credits {
		kept := credits[:0]
		for _, c := range credits {
			if c.left > 0 && now.Before(c.expires) {
				kept = append(kept, c)
			}
		}
		if len(kept) == 0 {
			delete(q.credits, upstream)
			continue
		}
		q.credits[upstream] = kept
	}
}

// width is the number of candidates that the request asks now. A request asks few upstreams first, so that
// credits are not held for it where it will not go.
func (w *Waiter) width(now time.Time) int {
	if w.Narrow {
		return min(1, len(w.Candidates))
	}
	waited := now.Sub(w.since)
	switch {
	case waited < aloneFor:
		return min(1, len(w.Candidates))
	case waited < widenAfter:
		return min(firstWidth, len(w.Candidates))
	case waited < wideAfter:
		return min(2*firstWidth, len(w.Candidates))
	default:
		return len(w.Candidates)
	}
}

func (w *Waiter) accepts(upstream identifier.Upstream, width int) bool {
	for _, candidate := range w.Candidates[:width] {
		if candidate == upstream {
			return true
		}
	}
	return false
}
