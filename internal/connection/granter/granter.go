// Package granter decides how many requests an upstream may receive, and from which customers and entries. A credit
// permits an entry to dispatch one request of one customer; a grant carries credits and expires. The package is a state
// machine without I/O: the caller passes the clock and sends the issued grants. It is not safe for concurrent use.
//
// Unused credits plus running requests never exceed the limit, except while more requests run than a lowered limit
// allows; then no credit is valid. When the limit falls, unused credits above it are revoked at once: a dispatch that
// uses one is refused as not run.
//
// Free credits that no waiting request needs become standing credits of entries with recent demand, which saves such an
// entry one round trip. Standing credits are revoked as soon as any customer waits for a credit, so that they never
// delay a request.
package granter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	defaultLifetime      = time.Second
	defaultColdAfterIdle = 30 * time.Second
)

// Config sets up a Granter.
type Config struct {
	Incarnation identifier.Incarnation
	Limits      Limits
	// Share returns the weight of a customer. A weight that is not positive and finite counts as 1.
	Share func(identifier.Customer) identifier.Share
	// Lifetime is how long a grant is valid; 1 s by default.
	Lifetime time.Duration
	// ColdAfterIdle is the time without a completion after which the upstream counts as cold; 30 s by default.
	ColdAfterIdle time.Duration
}

// IssuedGrant is a grant and the entry to send it to.
type IssuedGrant struct {
	Entry identifier.Node
	Grant messenger.Grant
}

// Admission is a request that an entry dispatched and the credit that it uses.
type Admission struct {
	Request     identifier.Request
	Customer    identifier.Customer
	Incarnation identifier.Incarnation
	Serial      identifier.Serial
}

type grant struct {
	serial   identifier.Serial
	entry    identifier.Node
	customer identifier.Customer
	// credits counts the unused credits.
	credits  identifier.Credits
	expires  time.Time
	standing bool
}

// Granter owns the credits, the limit and the set of running requests of one upstream.
type Granter struct {
	incarnation identifier.Incarnation
	lifetime    time.Duration
	slowStart   slowStart
	scheduler   *scheduler
	// serial is that of the last grant.
	serial identifier.Serial
	grants map[identifier.Serial]*grant
	// granted counts the unused credits of all grants.
	granted identifier.Credits
	running map[identifier.Request]identifier.Customer
	// nextExpiry is at or before the first expiry of a grant; zero if there is none.
	nextExpiry time.Time
	draining   bool
}

// New returns a Granter for a cold upstream.
func New(cfg Config) *Granter {
	if cfg.Lifetime <= 0 {
		cfg.Lifetime = defaultLifetime
	}
	if cfg.ColdAfterIdle <= 0 {
		cfg.ColdAfterIdle = defaultColdAfterIdle
	}
	return &Granter{
		incarnation: cfg.Incarnation,
		lifetime:    cfg.Lifetime,
		slowStart:   newSlowStart(cfg.Limits, cfg.ColdAfterIdle),
		scheduler:   newScheduler(cfg.Share),
		grants:      map[identifier.Serial]*grant{},
		running:     map[identifier.Request]identifier.Customer{},
	}
}

// SetDemand replaces the number of requests that wait at an entry for each listed customer. Customers that are not
// listed keep their number, so an entry reports 0 when the last request of a customer has left its queue.
func (g *Granter) SetDemand(now time.Time, entry identifier.Node, waiting []messenger.CustomerDemand) []IssuedGrant {
	for _, w := range waiting {
		g.scheduler.setDemand(now, entry, w.Customer, w.Waiting)
		if w.Waiting > 0 {
			g.convertStanding(entry, w.Customer)
		}
	}
	return g.advance(now)
}

// Admit uses one credit for a request. An empty reason means that the request is admitted; otherwise no credit was used.
func (g *Granter) Admit(now time.Time, entry identifier.Node, a Admission) messenger.Reason {
	g.expire(now)
	g.markColdIfIdle(now)
	if g.draining {
		return messenger.ReasonDraining
	}
	if a.Incarnation != g.incarnation {
		return messenger.ReasonOldIncarnation
	}
	gr, found := g.grants[a.Serial]
	if !found || gr.entry != entry || gr.customer != a.Customer {
		return messenger.ReasonNoCredit
	}
	if _, duplicate := g.running[a.Request]; duplicate {
		return messenger.ReasonOverloaded
	}
	g.deduct(gr, 1)
	g.running[a.Request] = a.Customer
	g.scheduler.recordAdmission(now, entry, a.Customer)
	return ""
}

// RecordFirstToken records the time from admission to the first token of a running request. A time far above the
// average makes the upstream count as cold.
func (g *Granter) RecordFirstToken(now time.Time, request identifier.Request, after time.Duration) {
	if _, found := g.running[request]; !found {
		return
	}
	if g.slowStart.recordFirstToken(now, after, len(g.running)) {
		g.slowStart.restartUnconfirmed(now, "time to first token rose")
		g.revokeExcess()
	}
}

// Finish ends a running request. Only a success counts as a completion.
func (g *Granter) Finish(now time.Time, request identifier.Request, succeeded bool) []IssuedGrant {
	customer, found := g.running[request]
	if found {
		delete(g.running, request)
		g.scheduler.recordEnd(customer)
		if succeeded {
			g.markColdIfIdle(now)
			g.slowStart.recordCompletion(now)
		}
	}
	return g.advance(now)
}

// ReturnCredits takes unused credits back from the entry that holds them.
func (g *Granter) ReturnCredits(now time.Time, entry identifier.Node, r messenger.ReturnGrant) []IssuedGrant {
	gr, found := g.grants[r.Serial]
	if found && gr.entry == entry && r.Credits > 0 {
		credits := min(r.Credits, gr.credits)
		g.deduct(gr, credits)
		g.scheduler.recordReturn(now, entry, gr.customer, int(credits))
	}
	return g.advance(now)
}

// RemoveEntry drops the unused credits and the demand of an entry whose link is lost. Its running requests continue.
func (g *Granter) RemoveEntry(now time.Time, entry identifier.Node) []IssuedGrant {
	for _, gr := range g.grants {
		if gr.entry == entry {
			g.deduct(gr, gr.credits)
		}
	}
	g.scheduler.removeEntry(entry)
	return g.advance(now)
}

// MarkCold lowers the limit to the cold limit and revokes unused credits above it. ColdReason returns the reason.
func (g *Granter) MarkCold(now time.Time, reason string) {
	g.slowStart.restart(now, reason)
	g.revokeExcess()
}

// SetLimits replaces the limits. Completions that were counted remain.
func (g *Granter) SetLimits(now time.Time, l Limits) []IssuedGrant {
	g.slowStart.setLimits(l)
	return g.advance(now)
}

// SetDraining stops or resumes granting. While it is set, every unused credit is revoked and admissions are refused.
func (g *Granter) SetDraining(draining bool) {
	g.draining = draining
	g.revokeExcess()
}

// Reserved returns the credits that are reserved for customers below their share.
func (g *Granter) Reserved(now time.Time) identifier.Credits {
	reserved, _ := g.scheduler.reserve(now, g.slowStart.limit())
	return reserved
}

// Tick expires grants, counts an idle upstream as cold and grants free credits. It has to be called at least every
// 100 ms, since it grants the expired credits of waiting customers again.
func (g *Granter) Tick(now time.Time) []IssuedGrant {
	return g.advance(now)
}

// Load reports the state of admission. The caller adds the state of the upstream itself.
func (g *Granter) Load() messenger.Load {
	return messenger.Load{
		Running:   identifier.Credits(len(g.running)),
		Granted:   g.granted,
		Limit:     g.slowStart.limit(),
		WarmLimit: g.slowStart.limits.Warm,
		Waiting:   g.scheduler.uncovered(),
		Draining:  g.draining,
	}
}

// ColdReason returns why the upstream was last counted as cold; it is empty for an upstream that has just been set up.
func (g *Granter) ColdReason() string {
	return g.slowStart.coldReason
}

// advance applies what is due at a time and grants the free credits.
func (g *Granter) advance(now time.Time) []IssuedGrant {
	g.expire(now)
	g.markColdIfIdle(now)
	g.revokeExcess()
	if g.draining {
		return nil
	}
	g.scheduler.maintain(now)
	return append(g.grantWaiting(now), g.grantStanding(now)...)
}

// free returns the credits that can be granted; it is negative while the limit is exceeded.
func (g *Granter) free() identifier.Credits {
	return g.slowStart.limit() - g.granted - identifier.Credits(len(g.running))
}

// grantWaiting grants free credits to waiting requests one by one, and joins those of one entry and customer in one
// grant.
func (g *Granter) grantWaiting(now time.Time) []IssuedGrant {
	var order []*queue
	credits := map[*queue]identifier.Credits{}
	reserved, entitlement := g.scheduler.reserve(now, g.slowStart.limit())
	for g.free() > 0 || g.revokeStanding() {
		bound := math.Inf(1)
		if g.free() <= reserved {
			bound = entitlement
		}
		chosen := g.scheduler.choose(now, bound)
		if chosen == nil {
			break
		}
		if credits[chosen] == 0 {
			order = append(order, chosen)
		}
		credits[chosen]++
		chosen.unused++
		g.granted++
	}
	issued := make([]IssuedGrant, 0, len(order))
	for _, q := range order {
		issued = append(issued, g.issue(now, q, credits[q], false))
	}
	return issued
}

// grantStanding gives up to half of the spare credits, one for each entry and customer, to those with recent demand.
// The other half stays free, so that a small burst causes no refused dispatch.
func (g *Granter) grantStanding(now time.Time) []IssuedGrant {
	if g.free() <= 0 || g.scheduler.uncovered() > 0 {
		return nil
	}
	standing := g.standingCredits()
	budget := (g.free()+standing+1)/2 - standing
	var issued []IssuedGrant
	for _, q := range g.scheduler.recentQueues(now) {
		if budget <= 0 {
			break
		}
		budget--
		q.standing++
		g.granted++
		issued = append(issued, g.issue(now, q, 1, true))
	}
	return issued
}

// issue records a grant whose credits are already counted in granted and in the queue.
func (g *Granter) issue(now time.Time, q *queue, credits identifier.Credits, standing bool) IssuedGrant {
	g.serial++
	gr := &grant{
		serial:   g.serial,
		entry:    q.entry,
		customer: q.customer.name,
		credits:  credits,
		expires:  now.Add(g.lifetime),
		standing: standing,
	}
	g.grants[gr.serial] = gr
	if g.nextExpiry.IsZero() || gr.expires.Before(g.nextExpiry) {
		g.nextExpiry = gr.expires
	}
	return IssuedGrant{Entry: q.entry, Grant: messenger.Grant{
		Incarnation: g.incarnation,
		Serial:      gr.serial,
		Customer:    gr.customer,
		Credits:     credits,
		Lifetime:    g.lifetime,
		Standing:    standing,
	}}
}

// deduct removes unused credits from a grant, and the grant with the last one.
func (g *Granter) deduct(gr *grant, credits identifier.Credits) {
	gr.credits -= credits
	g.granted -= credits
	g.scheduler.deduct(gr.entry, gr.customer, int(credits), gr.standing)
	if gr.credits == 0 {
		delete(g.grants, gr.serial)
	}
}

func (g *Granter) expire(now time.Time) {
	if g.nextExpiry.IsZero() || now.Before(g.nextExpiry) {
		return
	}
	g.nextExpiry = time.Time{}
	for _, gr := range g.grants {
		if !now.Before(gr.expires) {
			g.deduct(gr, gr.credits)
			continue
		}
		if g.nextExpiry.IsZero() || gr.expires.Before(g.nextExpiry) {
			g.nextExpiry = gr.expires
		}
	}
}

func (g *Granter) markColdIfIdle(now time.Time) {
	if g.slowStart.idle(now) {
		g.MarkCold(now, "no completion within the idle time")
	}
}

// revokeExcess removes unused credits above the limit, standing credits first and then the newest.
func (g *Granter) revokeExcess() {
	excess := -g.free()
	if g.draining {
		excess = g.granted
	}
	if excess <= 0 {
		return
	}
	for _, gr := range g.inRevocationOrder() {
		if excess <= 0 {
			return
		}
		revoked := min(excess, gr.credits)
		g.deduct(gr, revoked)
		excess -= revoked
	}
}

// revokeStanding frees one standing credit for a customer that waits. It reports false if no customer waits, the limit is
// exceeded, or no standing credit is left.
func (g *Granter) revokeStanding() bool {
	if g.scheduler.uncovered() == 0 || g.free() < 0 {
		return false
	}
	order := g.inRevocationOrder()
	if len(order) == 0 || !order[0].standing {
		return false
	}
	g.deduct(order[0], 1)
	return true
}

// inRevocationOrder returns all grants, standing ones first and then the newest.
func (g *Granter) inRevocationOrder() []*grant {
	all := make([]*grant, 0, len(g.grants))
	for _, gr := range g.grants {
		all = append(all, gr)
	}
	slices.SortFunc(all, func(a, b *grant) int {
		if a.standing != b.standing {
			if a.standing {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.serial, a.serial)
	})
	return all
}

func (g *Granter) standingCredits() identifier.Credits {
	var sum identifier.Credits
	for _, gr := range g.grants {
		if gr.standing {
			sum += gr.credits
		}
	}
	return sum
}

// convertStanding makes the standing credits of an entry that reports demand ordinary ones, since it will use them.
func (g *Granter) convertStanding(entry identifier.Node, customer identifier.Customer) {
	for _, gr := range g.grants {
		if gr.standing && gr.entry == entry && gr.customer == customer {
			gr.standing = false
			g.scheduler.convertStanding(entry, customer, int(gr.credits))
		}
	}
}
