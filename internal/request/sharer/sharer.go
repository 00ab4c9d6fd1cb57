// Package sharer divides short capacity fairly between customers. It answers one load: a customer sends several times its
// usual load to all gateways, so that requests of the others wait behind its own or are refused.
//
// For the requests of one service and priority, it counts what each customer has asked for and been granted lately, over
// all gateways. If less was granted than was asked for, each customer has a right to a share of what was granted in
// proportion to its usual load, and what a customer asks for less than that is divided among the others (weighted max-min
// fairness). Usual loads are learnt while capacity suffices; until they are known, shares are equal.
//
// The package does no I/O and reads no clock: callers pass the current time. Its types are not safe for concurrent use.
package sharer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	// window is the time constant with which counts decay. Bursts last 3 to 7 s and answers about 2 s, so that a count
	// holds most of the running requests and follows a burst.
	window = 3 * time.Second
	// minShortage is the ratio of what was asked for to what was granted from which capacity is short. Requests that wait
	// for some tens of ms are asked for and not yet granted.
	minShortage = 1.02
	// maxExcess is the ratio to its share up to which a customer has not exceeded it: reports of other gateways are up to
	// 0.6 s old.
	maxExcess = 1.05
	// slack is the work by which both comparisons allow more, so that single requests decide nothing.
	slack = 1
	// maxUsual is the ratio to its usual load up to which a customer counts as usual, beside maxDeviations standard deviations:
	// refused requests return and are asked for twice, and usual loads are learnt from some hundred requests. Without it, up
	// to 0.012 of the requests were refused for their share in shortages without an unusual customer.
	maxUsual = 1.5
	// maxDeviations allows for requests that arrive at random: with two, one of 24 usual customers exceeds its usual load
	// nearly half of the time.
	maxDeviations = 3
	// minKnown is the ratio of the usual load of all customers to what was granted from which shares follow usual loads. The
	// gateways that report none, for example those of earlier builds, may be most of the fleet.
	minKnown = 0.25
	// levelInterval is the time for which a computed share is used.
	levelInterval = 50 * time.Millisecond
	// minLack is the work by which less was granted than was asked for when a gateway reports its use.
	minLack = 0.5
	// minCounted is the work below which a count is deleted.
	minCounted = 0.05
)

// Use is the work that a customer has asked for and been granted lately. One request is 1.
type Use struct {
	Asked   float64
	Granted float64
	// Usual is what the customer usually asks for in the same time, or 0 if that is unknown.
	Usual float64
}

func (u Use) add(other Use) Use {
	return Use{Asked: u.Asked + other.Asked, Granted: u.Granted + other.Granted, Usual: u.Usual + other.Usual}
}

// isShort reports whether less was granted than was asked for.
func (u Use) isShort() bool {
	return u.Asked > minShortage*u.Granted+slack
}

// Standing is how a customer stands to its share. Requests of a lower standing go first.
type Standing int

// The standings.
const (
	// Within means that the customer asks for no more than its share or than usual, or that the others are granted what they
	// ask for. What is refused to a customer for its share does not count as a lack of the others, so that refusals end when
	// the others lack nothing.
	Within Standing = iota
	// Limited means that the customer asks for more than its share and has not exceeded it.
	Limited
	// Over means that the customer was granted more than its share.
	Over
)

// count is the use of a customer at this gateway, as of a time.
type count struct {
	Use
	at time.Time
}

func (c count) decayed(now time.Time) Use {
	factor := decay(now.Sub(c.at))
	return Use{Asked: c.Asked * factor, Granted: c.Granted * factor}
}

func decay(elapsed time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / window.Seconds())
}

// Sharer holds the use of the customers of one service and priority.
type Sharer struct {
	own   map[identifier.Customer]count
	peers map[identifier.Customer]Use
	loads usualLoads
	// level is the share of a customer of mean usual load, infinite while capacity suffices.
	level float64
	// usual holds the usual loads of customers at all gateways, and meanUsual is their mean or 0 while shares are equal.
	usual     map[identifier.Customer]float64
	meanUsual float64
	// total is the use of all customers, and weights sums the weights of those that ask.
	total      Use
	weights    float64
	computedAt time.Time
}

// New returns a Sharer without use.
func New() *Sharer {
	return &Sharer{
		own: map[identifier.Customer]count{}, level: math.Inf(1), loads: usualLoads{loads: map[identifier.Customer]load{}},
	}
}

// Clone returns an independent copy.
func (s *Sharer) Clone() *Sharer {
	out := *s
	out.own, out.peers, out.usual = maps.Clone(s.own), maps.Clone(s.peers), maps.Clone(s.usual)
	out.loads.loads = maps.Clone(s.loads.loads)
	return &out
}

// RecordRequest records that a customer has asked for work.
func (s *Sharer) RecordRequest(now time.Time, c identifier.Customer, work float64) {
	s.record(now, c, Use{Asked: work})
	if c != "" {
		s.loads.record(c, work)
	}
}

// RecordGrant records that a customer was granted work for which it had asked.
func (s *Sharer) RecordGrant(now time.Time, c identifier.Customer, work float64) {
	s.record(now, c, Use{Granted: work})
}

// record adds to the use of a customer. Requests without a customer are not counted.
func (s *Sharer) record(now time.Time, c identifier.Customer, u Use) {
	if c != "" {
		s.own[c] = count{Use: s.own[c].decayed(now).add(u), at: now}
	}
}

// SetPeers replaces the sums of the use at other gateways. Without it, the gateway's own counts decide.
func (s *Sharer) SetPeers(sums map[identifier.Customer]Use) {
	s.peers = sums
	s.computedAt = time.Time{}
}

// Report returns the use at this gateway if capacity may be short for the fleet, else nothing. It deletes counts that have
// decayed.
func (s *Sharer) Report(now time.Time) map[identifier.Customer]Use {
	out := make(map[identifier.Customer]Use, len(s.own))
	var total Use
	for c, n := range s.own {
		u := n.decayed(now)
		if u.Asked < minCounted && u.Granted < minCounted {
			delete(s.own, c)
			continue
		}
		out[c] = u
		total = total.add(u)
	}
	s.loads.prune()
	// Without a report of a gateway that has requests waiting, others see no shortage and do not report either.
	if math.IsInf(s.Share(now), 1) && total.Asked-total.Granted < minLack {
		return nil
	}
	for c, usual := range s.loads.usual() {
		out[c] = out[c].add(Use{Usual: usual})
	}
	return out
}

// Use returns the use of a customer at all gateways.
func (s *Sharer) Use(now time.Time, c identifier.Customer) Use {
	s.Share(now)
	u := s.own[c].decayed(now).add(s.peers[c])
	u.Usual = s.usual[c]
	return u
}

// Share returns the share of a customer whose usual load is the mean or unknown, infinite while capacity suffices or only
// one customer asks.
func (s *Sharer) Share(now time.Time) float64 {
	if now.Sub(s.computedAt) < levelInterval {
		return s.level
	}
	s.computedAt = now
	uses := make(map[identifier.Customer]Use, len(s.peers)+len(s.own))
	maps.Copy(uses, s.peers)
	for c, n := range s.own {
		uses[c] = uses[c].add(n.decayed(now))
	}
	s.total = Use{}
	for _, u := range uses {
		s.total = s.total.add(u)
	}
	s.loads.advance(now, s.total.isShort())
	if !s.total.isShort() {
		s.level = math.Inf(1)
		return s.level
	}
	s.weigh()
	s.weights = 0
	demands := make([]demand, 0, len(uses))
	for c, u := range uses {
		if u.Asked > 0 {
			weight := s.weight(c)
			demands = append(demands, demand{asked: u.Asked, weight: weight})
			s.weights += weight
		}
	}
	s.level = share(demands, s.total.Granted)
	return s.level
}

// weigh sums the usual loads of all gateways. Shares follow them if they are known for a sufficient part of the fleet.
func (s *Sharer) weigh() {
	s.usual, s.meanUsual = s.loads.usual(), 0
	if s.usual == nil {
		s.usual = make(map[identifier.Customer]float64, len(s.peers))
	}
	known := 0.0
	for c, u := range s.peers {
		s.usual[c] += u.Usual
	}
	for _, usual := range s.usual {
		known += usual
	}
	if known >= minKnown*s.total.Granted {
		s.meanUsual = mean(s.usual)
	}
}

// weight returns the ratio of the share of a customer to that of one with the mean usual load. A new customer has at
// least that: one without a usual load, or one that is new at this gateway although the gateway is not.
func (s *Sharer) weight(c identifier.Customer) float64 {
	if s.meanUsual == 0 {
		return 1
	}
	weight := s.usual[c] / s.meanUsual
	if weight == 0 || s.loads.clock >= minLearnt && !s.loads.isKnown(c) {
		return max(weight, 1)
	}
	return weight
}

// demand is what a customer asks for and the weight of its share.
type demand struct {
	asked, weight float64
}

// share returns the share, for a weight of 1, with which all that was granted is divided: customers that ask for less get
// what they ask for.
func share(demands []demand, granted float64) float64 {
	if len(demands) < 2 {
		return math.Inf(1)
	}
	slices.SortFunc(demands, func(x, y demand) int { return cmp.Compare(x.asked*y.weight, y.asked*x.weight) })
	left, weights := granted, 0.0
	for _, d := range demands {
		weights += d.weight
	}
	for _, d := range demands {
		if each := left / weights; d.asked > each*d.weight {
			return each
		}
		left -= d.asked
		weights -= d.weight
	}
	return math.Inf(1)
}

// ShareOf returns the share of a customer, infinite while capacity suffices or only one customer asks.
func (s *Sharer) ShareOf(now time.Time, c identifier.Customer) float64 {
	return s.Share(now) * s.weight(c)
}

// isUsual reports whether a customer asks for no more than it is due or, while shares follow usual loads, for little more
// than the others do in proportion to their usual loads. What a usual customer asks for varies by chance: by the square
// root of half its mean, since counts decay.
func (s *Sharer) isUsual(now time.Time, c identifier.Customer, u Use) bool {
	weight := s.weight(c)
	others := s.weights - weight
	if u.Asked <= s.ShareOf(now, c) || s.meanUsual == 0 || others <= 0 {
		return u.Asked <= s.ShareOf(now, c)
	}
	expected := weight * (s.total.Asked - u.Asked) / others
	return u.Asked <= maxUsual*expected+slack+maxDeviations*math.Sqrt(expected/2)
}

// limit returns what an unusual customer may be granted before it exceeds its share.
func (s *Sharer) limit(now time.Time, c identifier.Customer) float64 {
	return maxExcess*s.ShareOf(now, c) + slack
}

// Standing returns how a customer stands to its share.
func (s *Sharer) Standing(now time.Time, c identifier.Customer) Standing {
	if c == "" || math.IsInf(s.Share(now), 1) {
		return Within
	}
	u := s.Use(now, c)
	if u.Asked > s.total.Asked || u.Granted > s.total.Granted {
		// The customer has asked for or been granted more since the total was computed than all had then. Without a new total,
		// the others would have less than nothing.
		s.computedAt = time.Time{}
		if math.IsInf(s.Share(now), 1) {
			return Within
		}
	}
	others := Use{Asked: s.total.Asked - u.Asked, Granted: s.total.Granted - u.Granted}
	if !others.isShort() {
		return Within
	}
	switch {
	case s.isUsual(now, c, u):
		return Within
	case u.Granted <= s.limit(now, c):
		return Limited
	default:
		return Over
	}
}

// TimeOver returns how long it takes until a customer that is granted nothing no longer exceeds its share, if others get the
// capacity meanwhile.
func (s *Sharer) TimeOver(now time.Time, c identifier.Customer) time.Duration {
	limit, granted := s.limit(now, c), s.Use(now, c).Granted
	if granted <= limit {
		return 0
	}
	return time.Duration(math.Log(granted/limit) * float64(window))
}
