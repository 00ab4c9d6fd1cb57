package granter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	// serviceHalfLife is the time in which the recorded service of a customer halves.
	serviceHalfLife = 10 * time.Second
	// maxDeficit is how many requests of service a customer that starts to wait may be behind the others. Without a
	// bound, a customer that reconnects with many requests would take every credit until its service equals theirs.
	maxDeficit = 4
	// departureTimeout is how long a used or returned credit lowers the demand of an entry that sends no newer Demand.
	// Demand and Dispatch travel on separate streams, so the last reported demand may still count that request.
	departureTimeout = 50 * time.Millisecond
	// standingWindow is how long after its last demand or admission an entry may be granted standing credits.
	standingWindow = 5 * time.Second
	// negligibleService is the recorded service, in requests, below which the state of an idle customer is deleted.
	negligibleService = 0.01
	// activeWindow is how long after its last demand or admission a customer counts as active.
	activeWindow = 10 * time.Second
	// reserveFraction is the fraction of the limit that is reserved for customers below their share while several are
	// active, so that their requests do not wait until one of a heavy customer ends. A limit below minReserveLimit, in
	// credits, has no reserve, since one credit is too large a fraction of it.
	reserveFraction = 0.125
	minReserveLimit = 4
)

// queue is the queue of one customer at one entry, as the agent estimates it from the messages of the entry.
type queue struct {
	customer *customerState
	entry    identifier.Node
	// waiting is the number of requests that the entry reported last.
	waiting int
	// departed counts requests that left the queue since the last Demand, the first of them at departedAt.
	departed   int
	departedAt time.Time
	// unused and standing count the ordinary and the standing credits that are granted and not used.
	unused   int
	standing int
	// demandAt is the time of the last demand or admission; zero after the entry returned a credit.
	demandAt time.Time
}

// uncovered returns the number of waiting requests that no credit covers.
func (q *queue) uncovered() int {
	return max(0, q.waiting-q.departed-q.unused-q.standing)
}

func (q *queue) empty(now time.Time) bool {
	return q.waiting == 0 && q.unused == 0 && q.standing == 0 && now.Sub(q.demandAt) >= standingWindow
}

// customerState is the service that a customer received and its queues, ordered by entry.
type customerState struct {
	name   identifier.Customer
	queues []*queue
	// service is the number of admitted requests, decayed with serviceHalfLife up to serviceAt.
	service   float64
	serviceAt time.Time
	running   int
	// activeAt is the time of the last demand or admission.
	activeAt time.Time
	// lastEntry received the customer's last credit; the next credit goes to an entry after it.
	lastEntry identifier.Node
	// lastTurn is the scheduler's turn in which the customer was last chosen.
	lastTurn uint64
}

func (c *customerState) uncovered() int {
	sum := 0
	for _, q := range c.queues {
		sum += q.uncovered()
	}
	return sum
}

func (c *customerState) unused() int {
	sum := 0
	for _, q := range c.queues {
		sum += q.unused
	}
	return sum
}

// queue returns the queue at an entry and creates it if needed.
func (c *customerState) queue(entry identifier.Node) *queue {
	at, found := c.find(entry)
	if !found {
		c.queues = slices.Insert(c.queues, at, &queue{customer: c, entry: entry})
	}
	return c.queues[at]
}

func (c *customerState) find(entry identifier.Node) (int, bool) {
	return slices.BinarySearchFunc(c.queues, entry, func(q *queue, e identifier.Node) int {
		return cmp.Compare(q.entry, e)
	})
}

// nextQueue returns the first queue with uncovered requests after the entry that had the last turn.
func (c *customerState) nextQueue() *queue {
	start, found := c.find(c.lastEntry)
	if found {
		start++
	}
	for i := range c.queues {
		q := c.queues[(start+i)%len(c.queues)]
		if q.uncovered() > 0 {
			return q
		}
	}
	return nil
}

func (c *customerState) decayTo(now time.Time) {
	c.service = decayed(c.service, c.serviceAt, now)
	c.serviceAt = now
}

// scheduler chooses the customer and the entry of the next credit by weighted fair queueing: the customer with the
// lowest service per weight comes first, and the entries of a customer take turns.
type scheduler struct {
	share     func(identifier.Customer) identifier.Share
	customers map[identifier.Customer]*customerState
	// turn counts the credits that choose has assigned to a queue.
	turn uint64
	// referenceService is the service per weight at which the last credits were given, decayed up to referenceAt. It
	// bounds the deficit of customers that start to wait.
	referenceService float64
	referenceAt      time.Time
	prunedAt         time.Time
}

func newScheduler(share func(identifier.Customer) identifier.Share) *scheduler {
	return &scheduler{share: share, customers: map[identifier.Customer]*customerState{}}
}

func (s *scheduler) weight(name identifier.Customer) float64 {
	if s.share == nil {
		return 1
	}
	w := float64(s.share(name))
	if w > 0 && !math.IsInf(w, 0) {
		return w
	}
	return 1
}

// customer returns the state of a customer and creates it if needed.
func (s *scheduler) customer(now time.Time, name identifier.Customer) *customerState {
	c, found := s.customers[name]
	if !found {
		c = &customerState{name: name, serviceAt: now}
		s.customers[name] = c
	}
	return c
}

func (s *scheduler) setDemand(now time.Time, entry identifier.Node, name identifier.Customer, waiting int) {
	if _, found := s.customers[name]; !found && waiting <= 0 {
		return
	}
	c := s.customer(now, name)
	wasWaiting := c.uncovered() > 0
	q := c.queue(entry)
	q.waiting = max(0, waiting)
	q.departed = 0
	if !wasWaiting && q.uncovered() > 0 {
		s.boundDeficit(now, c)
	}
	if waiting > 0 {
		q.demandAt = now
		c.activeAt = now
	}
}

// activeWeight returns the sum of the weights of the active customers, and their number. A customer is active while its
// requests run and for activeWindow after its last demand or admission.
func (s *scheduler) activeWeight(now time.Time) (sum float64, customers int) {
	for _, c := range s.customers {
		if c.running > 0 || now.Sub(c.activeAt) < activeWindow {
			sum += s.weight(c.name)
			customers++
		}
	}
	return sum, customers
}

// reserve returns the credits that only customers below their share may take, and the credits that one unit of weight
// is entitled to.
func (s *scheduler) reserve(now time.Time, limit identifier.Credits) (reserved identifier.Credits, entitlement float64) {
	sum, customers := s.activeWeight(now)
	if customers < 2 || limit < minReserveLimit {
		return 0, math.Inf(1)
	}
	return max(1, identifier.Credits(float64(limit)*reserveFraction)), float64(limit) / sum
}

// boundDeficit bounds how far a customer that starts to wait is behind those that were served meanwhile.
func (s *scheduler) boundDeficit(now time.Time, c *customerState) {
	c.decayTo(now)
	floor := decayed(s.referenceService, s.referenceAt, now)*s.weight(c.name) - maxDeficit
	c.service = max(c.service, floor)
}

func (s *scheduler) recordAdmission(now time.Time, entry identifier.Node, name identifier.Customer) {
	c := s.customer(now, name)
	c.decayTo(now)
	c.service++
	c.running++
	c.activeAt = now
	q := c.queue(entry)
	q.demandAt = now
	q.depart(now, 1)
}

func (s *scheduler) recordReturn(now time.Time, entry identifier.Node, name identifier.Customer, credits int) {
	q := s.customer(now, name).queue(entry)
	q.depart(now, credits)
	// The entry has no use for the credit, so it gets no standing credit before its next demand.
	q.demandAt = time.Time{}
}

// depart lowers the demand by requests that have left the queue, until the next Demand or departureTimeout.
func (q *queue) depart(now time.Time, requests int) {
	if q.departed == 0 {
		q.departedAt = now
	}
	q.departed += min(requests, max(0, q.waiting-q.departed))
}

func (s *scheduler) recordEnd(name identifier.Customer) {
	if c, found := s.customers[name]; found {
		c.running--
	}
}

// deduct removes used, returned, expired or revoked credits from a queue.
func (s *scheduler) deduct(entry identifier.Node, name identifier.Customer, credits int, standing bool) {
	c, found := s.customers[name]
	if !found {
		return
	}
	at, found := c.find(entry)
	if !found {
		return
	}
	if standing {
		c.queues[at].standing -= credits
		return
	}
	c.queues[at].unused -= credits
}

func (s *scheduler) convertStanding(entry identifier.Node, name identifier.Customer, credits int) {
	c, found := s.customers[name]
	if !found {
		return
	}
	q := c.queue(entry)
	q.standing -= credits
	q.unused += credits
}

func (s *scheduler) removeEntry(entry identifier.Node) {
	for _, c := range s.customers {
		if at, found := c.find(entry); found {
			c.queues = slices.Delete(c.queues, at, at+1)
		}
	}
}

// maintain restores the demand of entries that sent no newer Demand within departureTimeout, and once a second deletes
// idle queues and customers.
func (s *scheduler) maintain(now time.Time) {
	for _, c := range s.customers {
		for _, q := range c.queues {
			if q.departed > 0 && now.Sub(q.departedAt) >= departureTimeout {
				q.departed = 0
			}
		}
	}
	if now.Sub(s.prunedAt) < time.Second {
		return
	}
	s.prunedAt = now
	for name, c := range s.customers {
		c.queues = slices.DeleteFunc(c.queues, func(q *queue) bool { return q.empty(now) })
		if len(c.queues) > 0 || c.running > 0 {
			continue
		}
		c.decayTo(now)
		if c.service < negligibleService {
			delete(s.customers, name)
		}
	}
}

// choose returns the queue that receives the next credit, or nil if no request is left to cover. Customers that hold at
// least the entitled credits per weight are skipped. Unused credits count as service, so that the credits of one round
// are spread as well. Among customers with equal service, the one whose last turn is longest ago is chosen.
func (s *scheduler) choose(now time.Time, entitlement float64) *queue {
	var best *customerState
	var lowest, reference float64
	for _, c := range s.customers {
		service, weight := decayed(c.service, c.serviceAt, now), s.weight(c.name)
		if c.uncovered() == 0 || float64(c.running+c.unused()) >= entitlement*weight {
			continue
		}
		score := (service + float64(c.unused())) / weight
		if best == nil || score < lowest || score == lowest && c.before(best) {
			best, lowest, reference = c, score, service/weight
		}
	}
	if best == nil {
		return nil
	}
	s.referenceService = max(decayed(s.referenceService, s.referenceAt, now), reference)
	s.referenceAt = now
	s.turn++
	best.lastTurn = s.turn
	chosen := best.nextQueue()
	best.lastEntry = chosen.entry
	return chosen
}

// before orders customers with equal service by their last turn, then by name.
func (c *customerState) before(other *customerState) bool {
	if c.lastTurn != other.lastTurn {
		return c.lastTurn < other.lastTurn
	}
	return c.name < other.name
}

// recentQueues returns the queues without any credit that had demand within standingWindow, the latest demand first.
func (s *scheduler) recentQueues(now time.Time) []*queue {
	var out []*queue
	for _, c := range s.customers {
		for _, q := range c.queues {
			if q.unused+q.standing == 0 && !q.demandAt.IsZero() && now.Sub(q.demandAt) < standingWindow {
				out = append(out, q)
			}
		}
	}
	slices.SortFunc(out, func(a, b *queue) int {
		if order := b.demandAt.Compare(a.demandAt); order != 0 {
			return order
		}
		return cmp.Or(cmp.Compare(a.customer.name, b.customer.name), cmp.Compare(a.entry, b.entry))
	})
	return out
}

func (s *scheduler) uncovered() int {
	sum := 0
	for _, c := range s.customers {
		sum += c.uncovered()
	}
	return sum
}

// decayed returns a value of the time asOf, decayed with serviceHalfLife until now.
func decayed(value float64, asOf, now time.Time) float64 {
	if value == 0 || !now.After(asOf) {
		return value
	}
	return value * math.Exp2(-now.Sub(asOf).Seconds()/serviceHalfLife.Seconds())
}
