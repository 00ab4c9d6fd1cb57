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
	// maxLead is how many requests a customer that starts to wait may be ahead of the others. Without a bound, a
	// customer that returns with many requests would take every credit until its service equals that of the others.
	maxLead = 4
	// settleTime is how long an admitted or returned credit lowers the demand of an entry that sends no newer Demand.
	// Demand and Dispatch travel on separate streams, so the number that is known may still count that request.
	settleTime = 50 * time.Millisecond
	// standingWindow is how long after its last demand an entry may hold standing credits.
	standingWindow = 5 * time.Second
	// negligibleService is the recorded service below which an idle customer is forgotten.
	negligibleService = 0.01
	// activeWindow is how long after its last demand a customer has a part of the reserve.
	activeWindow = 10 * time.Second
	// reservePart is the part of the limit that is kept for customers below their share while several are active, so
	// that their requests do not wait for one of a heavy customer to end. A smaller limit than minReserveLimit has no
	// reserve, since one slot is too large a part of it.
	reservePart     = 0.125
	minReserveLimit = 4
)

// line is the queue of one customer at one entry, as far as the agent knows it.
type line struct {
	owner   *account
	entry   identifier.Node
	waiting int
	// settling counts requests that left the queue since the last Demand.
	settling  int
	settledAt time.Time
	unused    int
	standing  int
	lastAt    time.Time
}

// need is the number of waiting requests that no credit covers.
func (l *line) need() int {
	return max(0, l.waiting-l.settling-l.unused-l.standing)
}

func (l *line) empty(now time.Time) bool {
	return l.waiting == 0 && l.unused == 0 && l.standing == 0 && now.Sub(l.lastAt) >= standingWindow
}

// account is the service that a customer received, and its lines in the order of entry names.
type account struct {
	name    identifier.Customer
	lines   []*line
	service float64
	asOf    time.Time
	running int
	// seenAt is the time of the last demand or admission.
	seenAt time.Time
	// lastEntry received the customer's last credit; the next credit goes to an entry after it.
	lastEntry identifier.Node
	lastTurn  uint64
}

func (a *account) need() int {
	sum := 0
	for _, l := range a.lines {
		sum += l.need()
	}
	return sum
}

func (a *account) unused() int {
	sum := 0
	for _, l := range a.lines {
		sum += l.unused
	}
	return sum
}

func (a *account) line(entry identifier.Node) *line {
	at, found := a.find(entry)
	if !found {
		a.lines = slices.Insert(a.lines, at, &line{owner: a, entry: entry})
	}
	return a.lines[at]
}

func (a *account) find(entry identifier.Node) (int, bool) {
	return slices.BinarySearchFunc(a.lines, entry, func(l *line, e identifier.Node) int {
		return cmp.Compare(l.entry, e)
	})
}

// nextLine returns the first line with need after the entry that had the last turn.
func (a *account) nextLine() *line {
	start, found := a.find(a.lastEntry)
	if found {
		start++
	}
	for i := range a.lines {
		l := a.lines[(start+i)%len(a.lines)]
		if l.need() > 0 {
			return l
		}
	}
	return nil
}

func (a *account) decayTo(now time.Time) {
	a.service = decayed(a.service, a.asOf, now)
	a.asOf = now
}

// sharer chooses the customer and the entry of the next credit.
type sharer struct {
	share    func(identifier.Customer) identifier.Share
	accounts map[identifier.Customer]*account
	turn     uint64
	// level is the share-weighted service at which the last credits were given, the reference for customers that
	// start to wait.
	level float64
	asOf  time.Time
	swept time.Time
}

func newSharer(share func(identifier.Customer) identifier.Share) *sharer {
	return &sharer{share: share, accounts: map[identifier.Customer]*account{}}
}

func (s *sharer) weight(c identifier.Customer) float64 {
	if s.share == nil {
		return 1
	}
	w := float64(s.share(c))
	if w > 0 && !math.IsInf(w, 0) {
		return w
	}
	return 1
}

func (s *sharer) account(now time.Time, c identifier.Customer) *account {
	a, found := s.accounts[c]
	if !found {
		a = &account{name: c, asOf: now}
		s.accounts[c] = a
	}
	return a
}

func (s *sharer) demand(now time.Time, entry identifier.Node, c identifier.Customer, waiting int) {
	if _, found := s.accounts[c]; !found && waiting <= 0 {
		return
	}
	a := s.account(now, c)
	queued := a.need() > 0
	l := a.line(entry)
	l.waiting = max(0, waiting)
	l.settling = 0
	if !queued && l.need() > 0 {
		s.activate(now, a)
	}
	if waiting > 0 {
		l.lastAt = now
		a.seenAt = now
	}
}

// activeWeight adds up the weights of the customers that asked or run requests lately, and counts them.
func (s *sharer) activeWeight(now time.Time) (sum float64, customers int) {
	for _, a := range s.accounts {
		if a.running > 0 || now.Sub(a.seenAt) < activeWindow {
			sum += s.weight(a.name)
			customers++
		}
	}
	return sum, customers
}

// reserve returns the credits that only customers below their share may take, and the credits that one unit of weight
// is entitled to.
func (s *sharer) reserve(now time.Time, limit identifier.Credits) (kept identifier.Credits, entitled float64) {
	sum, customers := s.activeWeight(now)
	if customers < 2 || limit < minReserveLimit {
		return 0, math.Inf(1)
	}
	return max(1, identifier.Credits(float64(limit)*reservePart)), float64(limit) / sum
}

// activate bounds how far a customer whose requests did not wait is behind those that were served meanwhile.
func (s *sharer) activate(now time.Time, a *account) {
	a.decayTo(now)
	floor := decayed(s.level, s.asOf, now)*s.weight(a.name) - maxLead
	a.service = max(a.service, floor)
}

func (s *sharer) admitted(now time.Time, entry identifier.Node, c identifier.Customer) {
	a := s.account(now, c)
	a.decayTo(now)
	a.service++
	a.running++
	a.seenAt = now
	l := a.line(entry)
	l.lastAt = now
	l.settle(now, 1)
}

func (s *sharer) returned(now time.Time, entry identifier.Node, c identifier.Customer, credits int) {
	l := s.account(now, c).line(entry)
	l.settle(now, credits)
	// The entry has no use for the credit, so it gets no standing credit before its next demand.
	l.lastAt = time.Time{}
}

func (l *line) settle(now time.Time, requests int) {
	if l.settling == 0 {
		l.settledAt = now
	}
	l.settling += min(requests, max(0, l.waiting-l.settling))
}

func (s *sharer) finished(c identifier.Customer) {
	if a, found := s.accounts[c]; found {
		a.running--
	}
}

func (s *sharer) release(entry identifier.Node, c identifier.Customer, credits int, standing bool) {
	a, found := s.accounts[c]
	if !found {
		return
	}
	at, found := a.find(entry)
	if !found {
		return
	}
	if standing {
		a.lines[at].standing -= credits
		return
	}
	a.lines[at].unused -= credits
}

func (s *sharer) confirm(entry identifier.Node, c identifier.Customer, credits int) {
	a, found := s.accounts[c]
	if !found {
		return
	}
	l := a.line(entry)
	l.standing -= credits
	l.unused += credits
}

func (s *sharer) forget(entry identifier.Node) {
	for _, a := range s.accounts {
		if at, found := a.find(entry); found {
			a.lines = slices.Delete(a.lines, at, at+1)
		}
	}
}

// settle restores the demand of entries that sent nothing newer, and once a second removes idle lines and accounts.
func (s *sharer) settle(now time.Time) {
	for _, a := range s.accounts {
		for _, l := range a.lines {
			if l.settling > 0 && now.Sub(l.settledAt) >= settleTime {
				l.settling = 0
			}
		}
	}
	if now.Sub(s.swept) < time.Second {
		return
	}
	s.swept = now
	for name, a := range s.accounts {
		a.lines = slices.DeleteFunc(a.lines, func(l *line) bool { return l.empty(now) })
		if len(a.lines) > 0 || a.running > 0 {
			continue
		}
		a.decayTo(now)
		if a.service < negligibleService {
			delete(s.accounts, name)
		}
	}
}

// choose returns the line that receives the next credit, or nil if no demand is uncovered. Customers that hold what they
// are entitled to by weight are passed over. Unused credits count as
// service, so that the credits of one round are spread as well. Among equals the one that waited longest for a turn wins.
func (s *sharer) choose(now time.Time, entitled float64) *line {
	var best *account
	var lowest, level float64
	for _, a := range s.accounts {
		service, weight := decayed(a.service, a.asOf, now), s.weight(a.name)
		if a.need() == 0 || float64(a.running+a.unused()) >= entitled*weight {
			continue
		}
		score := (service + float64(a.unused())) / weight
		if best == nil || score < lowest || score == lowest && a.before(best) {
			best, lowest, level = a, score, service/weight
		}
	}
	if best == nil {
		return nil
	}
	s.level = max(decayed(s.level, s.asOf, now), level)
	s.asOf = now
	s.turn++
	best.lastTurn = s.turn
	chosen := best.nextLine()
	best.lastEntry = chosen.entry
	return chosen
}

func (a *account) before(other *account) bool {
	if a.lastTurn != other.lastTurn {
		return a.lastTurn < other.lastTurn
	}
	return a.name < other.name
}

// recent returns the lines without any credit that had demand recently, the latest first.
func (s *sharer) recent(now time.Time) []*line {
	var out []*line
	for _, a := range s.accounts {
		for _, l := range a.lines {
			if l.unused+l.standing == 0 && !l.lastAt.IsZero() && now.Sub(l.lastAt) < standingWindow {
				out = append(out, l)
			}
		}
	}
	slices.SortFunc(out, func(a, b *line) int {
		if order := b.lastAt.Compare(a.lastAt); order != 0 {
			return order
		}
		return cmp.Or(cmp.Compare(a.owner.name, b.owner.name), cmp.Compare(a.entry, b.entry))
	})
	return out
}

func (s *sharer) uncovered() int {
	sum := 0
	for _, a := range s.accounts {
		sum += a.need()
	}
	return sum
}

func decayed(value float64, asOf, now time.Time) float64 {
	if value == 0 || !now.After(asOf) {
		return value
	}
	return value * math.Exp2(-now.Sub(asOf).Seconds()/serviceHalfLife.Seconds())
}
