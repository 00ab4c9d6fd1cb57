// Package granter decides how many requests an upstream may receive, and from which customers and entries. It is a
// state machine without I/O: the caller passes the clock and sends the issued grants. It is not safe for concurrent use.
//
// Credits that are granted and unused plus running requests never exceed the limit, except while more requests run
// than a lowered limit allows; then no credit is valid. When the limit falls, unused credits above it are revoked at
// once: a dispatch that uses one is refused as not run.
//
// Free credits that no waiting request needs become standing credits of entries that had demand recently, which saves
// such an entry one round trip. Standing credits are revoked as soon as any customer waits for a credit, so that they
// delay nobody.
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
	defaultLifetime = time.Second
	defaultIdleCold = 30 * time.Second
)

// Config sets up a Granter.
type Config struct {
	Incarnation identifier.Incarnation
	Limits      Limits
	// Share returns the weight of a customer. A weight that is not positive counts as 1.
	Share func(identifier.Customer) identifier.Share
	// Lifetime is how long a grant is valid; 1 s by default.
	Lifetime time.Duration
	// IdleCold is the time without a completion after which the upstream counts as cold; 30 s by default.
	IdleCold time.Duration
}

// Issue is a grant for one entry.
type Issue struct {
	Entry identifier.Node
	Grant messenger.Grant
}

// Admission asks to start a request against a credit.
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
	credits  identifier.Credits
	expires  time.Time
	standing bool
}

// Granter owns the credits, the limit and the running set of one upstream.
type Granter struct {
	incarnation identifier.Incarnation
	lifetime    time.Duration
	warmer      warmer
	sharer      *sharer
	serial      identifier.Serial
	grants      map[identifier.Serial]*grant
	granted     identifier.Credits
	running     map[identifier.Request]identifier.Customer
	nextExpiry  time.Time
	draining    bool
}

// New returns a Granter for a cold upstream.
func New(cfg Config) *Granter {
	if cfg.Lifetime <= 0 {
		cfg.Lifetime = defaultLifetime
	}
	if cfg.IdleCold <= 0 {
		cfg.IdleCold = defaultIdleCold
	}
	return &Granter{
		incarnation: cfg.Incarnation,
		lifetime:    cfg.Lifetime,
		warmer:      newWarmer(cfg.Limits, cfg.IdleCold),
		sharer:      newSharer(cfg.Share),
		grants:      map[identifier.Serial]*grant{},
		running:     map[identifier.Request]identifier.Customer{},
	}
}

// Demand replaces the number of requests that wait at an entry for each listed customer. Customers that are not listed
// keep their number, so an entry reports 0 when the last request of a customer has left its queue.
func (g *Granter) Demand(now time.Time, entry identifier.Node, waiting []messenger.CustomerDemand) []Issue {
	for _, w := range waiting {
		g.sharer.demand(now, entry, w.Customer, w.Waiting)
		if w.Waiting > 0 {
			g.confirmStanding(entry, w.Customer)
		}
	}
	return g.advance(now)
}

// Admit uses one credit for a request. An empty reason means that the request is admitted; otherwise nothing was used.
func (g *Granter) Admit(now time.Time, entry identifier.Node, d Admission) messenger.Reason {
	g.expire(now)
	g.coolIdle(now)
	if g.draining {
		return messenger.ReasonDraining
	}
	if d.Incarnation != g.incarnation {
		return messenger.ReasonOldIncarnation
	}
	held, found := g.grants[d.Serial]
	if !found || held.entry != entry || held.customer != d.Customer {
		return messenger.ReasonNoCredit
	}
	if _, duplicate := g.running[d.Request]; duplicate {
		return messenger.ReasonOverloaded
	}
	g.take(held, 1)
	g.running[d.Request] = d.Customer
	g.sharer.admitted(now, entry, d.Customer)
	return ""
}

// FirstToken reports the time from admission to the first token of a running request.
func (g *Granter) FirstToken(now time.Time, request identifier.Request, after time.Duration) {
	if _, found := g.running[request]; !found {
		return
	}
	if g.warmer.firstToken(after, len(g.running)) {
		g.Cool(now, "time to first token rose")
	}
}

// Finish ends a running request. Only a success counts as a completion.
func (g *Granter) Finish(now time.Time, request identifier.Request, succeeded bool) []Issue {
	customer, found := g.running[request]
	if found {
		delete(g.running, request)
		g.sharer.finished(customer)
		if succeeded {
			g.coolIdle(now)
			g.warmer.completed(now)
		}
	}
	return g.advance(now)
}

// Return takes unused credits back from the entry that holds them.
func (g *Granter) Return(now time.Time, entry identifier.Node, r messenger.ReturnGrant) []Issue {
	held, found := g.grants[r.Serial]
	if found && held.entry == entry && r.Credits > 0 {
		returned := min(r.Credits, held.credits)
		g.take(held, returned)
		g.sharer.returned(now, entry, held.customer, int(returned))
	}
	return g.advance(now)
}

// Forget drops the unused credits and the demand of an entry whose link is lost. Its running requests go on.
func (g *Granter) Forget(now time.Time, entry identifier.Node) []Issue {
	for _, held := range g.grants {
		if held.entry == entry {
			g.take(held, held.credits)
		}
	}
	g.sharer.forget(entry)
	return g.advance(now)
}

// Cool lowers the limit to the cold limit and revokes unused credits above it.
func (g *Granter) Cool(now time.Time, reason string) {
	g.warmer.cool(now, reason)
	g.revokeExcess()
}

// Configure replaces the limits. Completions that were counted remain.
func (g *Granter) Configure(now time.Time, l Limits) []Issue {
	g.warmer.configure(l)
	return g.advance(now)
}

// Drain stops or resumes granting. While it is set, every unused credit is revoked and admissions are refused.
func (g *Granter) Drain(draining bool) {
	g.draining = draining
	g.revokeExcess()
}

// Reserved returns the credits that are kept for customers below their share.
func (g *Granter) Reserved(now time.Time) identifier.Credits {
	kept, _ := g.sharer.reserve(now, g.warmer.limit())
	return kept
}

// Tick expires grants, applies the idle rule and grants what became free. It is called at least every 100 ms, since
// expired credits of waiting customers are granted anew by it.
func (g *Granter) Tick(now time.Time) []Issue {
	return g.advance(now)
}

// Load reports the state of admission. The caller adds what it knows of the upstream itself.
func (g *Granter) Load() messenger.Load {
	return messenger.Load{
		Running:   identifier.Credits(len(g.running)),
		Granted:   g.granted,
		Limit:     g.warmer.limit(),
		WarmLimit: g.warmer.limits.Warm,
		Waiting:   g.sharer.uncovered(),
		Draining:  g.draining,
	}
}

// ColdReason tells why the upstream was last counted as cold; it is empty for an upstream that has just been set up.
func (g *Granter) ColdReason() string {
	return g.warmer.reason
}

func (g *Granter) advance(now time.Time) []Issue {
	g.expire(now)
	g.coolIdle(now)
	g.revokeExcess()
	if g.draining {
		return nil
	}
	g.sharer.settle(now)
	return append(g.grantWaiting(now), g.grantStanding(now)...)
}

func (g *Granter) free() identifier.Credits {
	return g.warmer.limit() - g.granted - identifier.Credits(len(g.running))
}

// grantWaiting hands out free credits one by one and joins those of one entry and customer in one grant.
func (g *Granter) grantWaiting(now time.Time) []Issue {
	var order []*line
	credits := map[*line]identifier.Credits{}
	kept, entitled := g.sharer.reserve(now, g.warmer.limit())
	for g.free() > 0 || g.revokeStanding() {
		bound := math.Inf(1)
		if g.free() <= kept {
			bound = entitled
		}
		chosen := g.sharer.choose(now, bound)
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
	issues := make([]Issue, 0, len(order))
	for _, l := range order {
		issues = append(issues, g.issue(now, l, credits[l], false))
	}
	return issues
}

// grantStanding gives up to half of the spare credits, one for each entry and customer, to those with recent demand.
// The other half stays free, so that a small burst causes no refused dispatch.
func (g *Granter) grantStanding(now time.Time) []Issue {
	if g.free() <= 0 || g.sharer.uncovered() > 0 {
		return nil
	}
	standing := g.standingCredits()
	budget := (g.free()+standing+1)/2 - standing
	var issues []Issue
	for _, l := range g.sharer.recent(now) {
		if budget <= 0 {
			break
		}
		budget--
		l.standing++
		g.granted++
		issues = append(issues, g.issue(now, l, 1, true))
	}
	return issues
}

// issue records a grant whose credits are already counted.
func (g *Granter) issue(now time.Time, l *line, credits identifier.Credits, standing bool) Issue {
	g.serial++
	held := &grant{
		serial:   g.serial,
		entry:    l.entry,
		customer: l.owner.name,
		credits:  credits,
		expires:  now.Add(g.lifetime),
		standing: standing,
	}
	g.grants[held.serial] = held
	if g.nextExpiry.IsZero() || held.expires.Before(g.nextExpiry) {
		g.nextExpiry = held.expires
	}
	return Issue{Entry: l.entry, Grant: messenger.Grant{
		Incarnation: g.incarnation,
		Serial:      held.serial,
		Customer:    held.customer,
		Credits:     credits,
		Lifetime:    g.lifetime,
		Standing:    standing,
	}}
}

// take removes unused credits from a grant, and the grant with the last one.
func (g *Granter) take(held *grant, credits identifier.Credits) {
	held.credits -= credits
	g.granted -= credits
	g.sharer.release(held.entry, held.customer, int(credits), held.standing)
	if held.credits == 0 {
		delete(g.grants, held.serial)
	}
}

func (g *Granter) expire(now time.Time) {
	if g.nextExpiry.IsZero() || now.Before(g.nextExpiry) {
		return
	}
	g.nextExpiry = time.Time{}
	for _, held := range g.grants {
		if !now.Before(held.expires) {
			g.take(held, held.credits)
			continue
		}
		if g.nextExpiry.IsZero() || held.expires.Before(g.nextExpiry) {
			g.nextExpiry = held.expires
		}
	}
}

func (g *Granter) coolIdle(now time.Time) {
	if g.warmer.idle(now) {
		g.Cool(now, "no completion within the idle time")
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
	for _, held := range g.byRevocation() {
		if excess <= 0 {
			return
		}
		revoked := min(excess, held.credits)
		g.take(held, revoked)
		excess -= revoked
	}
}

// revokeStanding frees one standing credit for a customer that waits. It reports false when nobody waits or none is left.
func (g *Granter) revokeStanding() bool {
	if g.sharer.uncovered() == 0 || g.free() < 0 {
		return false
	}
	order := g.byRevocation()
	if len(order) == 0 || !order[0].standing {
		return false
	}
	g.take(order[0], 1)
	return true
}

func (g *Granter) byRevocation() []*grant {
	all := make([]*grant, 0, len(g.grants))
	for _, held := range g.grants {
		all = append(all, held)
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
	for _, held := range g.grants {
		if held.standing {
			sum += held.credits
		}
	}
	return sum
}

// confirmStanding makes the standing credits of an entry that reports demand ordinary ones, since it will use them.
func (g *Granter) confirmStanding(entry identifier.Node, customer identifier.Customer) {
	for _, held := range g.grants {
		if held.standing && held.entry == entry && held.customer == customer {
			held.standing = false
			g.sharer.confirm(entry, customer, int(held.credits))
		}
	}
}
