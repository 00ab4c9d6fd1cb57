// Package router ranks the upstreams from which an entry requests a credit for a request, and selects the upstreams that
// an entry links to.
package router

import (
	"hash/fnv"
	"math"
	"sort"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Policy is a routing policy: Balanced, RoundRobin or LeastLoaded.
type Policy interface{ policy() }

type (
	// Balanced prefers the likely holders of the prompt prefix while their load does not exceed a bound, then the
	// least loaded upstream.
	Balanced struct{}
	// RoundRobin is a baseline that ignores load and prefixes.
	RoundRobin struct{}
	// LeastLoaded is a baseline that ignores prefixes.
	LeastLoaded struct{}
)

func (Balanced) policy()    {}
func (RoundRobin) policy()  {}
func (LeastLoaded) policy() {}

// loadBoundFactor bounds the load of a preferred prefix holder, as a multiple of the mean load. It balances prefix cache
// hits against the step time of the slowest rank.
const loadBoundFactor = 1.25

// preferredCount is the number of upstreams that affinity ranks before the others. The second prefix holder takes the
// requests that exceed the capacity of the first, so that a prefix is cached on two upstreams only.
const preferredCount = 2

// Reason is why an upstream has its place in the order.
type Reason string

// The reasons of a Choice.
const (
	// ReasonPrefixHolder means that the upstream probably has the prompt prefix in its cache and its load does not
	// exceed the bound.
	ReasonPrefixHolder Reason = "prefixHolder"
	// ReasonLeastLoaded means that the candidates were ordered by load.
	ReasonLeastLoaded Reason = "leastLoaded"
	// ReasonKeyOwner means that the candidates of a sticky request were ordered by affinity.
	ReasonKeyOwner Reason = "keyOwner"
	// ReasonRoundRobin means that the candidates were rotated by the sequence of the request.
	ReasonRoundRobin Reason = "roundRobin"
)

// Candidate is an upstream that may serve the request.
type Candidate struct {
	Upstream identifier.Upstream
	// Local is set for upstreams in the entry's own failure domain.
	Local bool
	// Used is the number of running requests and granted credits.
	Used identifier.Credits
	// Limit is the current bound of Used.
	Limit identifier.Credits
	// Unhealthy is set while the upstream does not respond to its agent or drains.
	Unhealthy bool
}

// Request holds the properties of a request that determine the order.
type Request struct {
	// Affinity is the digest of the prompt prefix or of the Idempotency-Key, salted by customer. It is empty if there is
	// none.
	Affinity identifier.Digest
	// Sticky ranks upstreams by affinity and health, regardless of load, for example so that calls with the same
	// Idempotency-Key reach the same upstream. Only Balanced applies it.
	Sticky bool
	// Sequence is a counter that increases with each call of Order. The round-robin baseline derives the first upstream
	// from it.
	Sequence uint64
}

// Choice is a candidate and the reason for its place in the order.
type Choice struct {
	Upstream identifier.Upstream
	Reason   Reason
}

// Order returns all candidates, the most preferred one first.
func Order(policy Policy, request Request, candidates []Candidate) []Choice {
	sorted := append([]Candidate(nil), candidates...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Upstream < sorted[j].Upstream })
	switch policy.(type) {
	case RoundRobin:
		return orderRoundRobin(request, sorted)
	case LeastLoaded:
		return orderByLoad(sorted)
	default:
		return orderBalanced(request, sorted)
	}
}

// orderRoundRobin rotates the sorted candidates by the sequence of the request.
func orderRoundRobin(request Request, sorted []Candidate) []Choice {
	choices := make([]Choice, 0, len(sorted))
	for i := range sorted {
		next := sorted[(request.Sequence+uint64(i))%uint64(len(sorted))]
		choices = append(choices, Choice{Upstream: next.Upstream, Reason: ReasonRoundRobin})
	}
	return choices
}

// orderByLoad orders candidates by less.
func orderByLoad(sorted []Candidate) []Choice {
	sort.SliceStable(sorted, func(i, j int) bool { return less(sorted[i], sorted[j]) })
	choices := make([]Choice, len(sorted))
	for i, c := range sorted {
		choices[i] = Choice{Upstream: c.Upstream, Reason: ReasonLeastLoaded}
	}
	return choices
}

// orderBalanced ranks the first healthy candidates in rendezvous order of the request's affinity before the others, up to
// preferredCount of them. Unless the request is sticky, their load must not exceed the bound. The other candidates
// follow by load, or in rendezvous order if the request is sticky.
func orderBalanced(request Request, sorted []Candidate) []Choice {
	if request.Affinity == "" {
		return orderByLoad(sorted)
	}
	reason := ReasonPrefixHolder
	if request.Sticky {
		reason = ReasonKeyOwner
	}
	ranked := rendezvous(request.Affinity, sorted)
	bound := loadBoundFactor * meanLoad(sorted)
	rest := make([]Candidate, 0, len(sorted))
	var choices []Choice
	for _, c := range ranked {
		if len(choices) < preferredCount && !c.Unhealthy && (request.Sticky || load(c) <= bound) {
			choices = append(choices, Choice{Upstream: c.Upstream, Reason: reason})
			continue
		}
		rest = append(rest, c)
	}
	if request.Sticky {
		for _, c := range rest {
			choices = append(choices, Choice{Upstream: c.Upstream, Reason: reason})
		}
		return choices
	}
	return append(choices, orderByLoad(rest)...)
}

// less orders candidates by health, then by load including the request, then by locality.
func less(a, b Candidate) bool {
	if a.Unhealthy != b.Unhealthy {
		return !a.Unhealthy
	}
	if la, lb := load(a), load(b); la != lb {
		return la < lb
	}
	return a.Local && !b.Local
}

// load returns the fraction of the limit in use, including the request. It is infinite without a limit.
func load(c Candidate) float64 {
	if c.Limit <= 0 {
		return math.Inf(1)
	}
	return float64(c.Used+1) / float64(c.Limit)
}

// meanLoad returns the mean of the finite loads.
func meanLoad(candidates []Candidate) float64 {
	sum, count := 0.0, 0
	for _, c := range candidates {
		if l := load(c); !math.IsInf(l, 1) {
			sum += l
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// rendezvous orders candidates by rendezvous hashing, the highest weight first. When an upstream leaves, only its own
// affinities move.
func rendezvous(affinity identifier.Digest, candidates []Candidate) []Candidate {
	type weighted struct {
		candidate Candidate
		weight    uint64
	}
	all := make([]weighted, len(candidates))
	for i, c := range candidates {
		all[i] = weighted{candidate: c, weight: Weight(string(affinity), string(c.Upstream))}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].weight > all[j].weight })
	ordered := make([]Candidate, len(all))
	for i, w := range all {
		ordered[i] = w.candidate
	}
	return ordered
}

// Weight returns the rendezvous weight of a member for a key.
func Weight(key, member string) uint64 {
	h := fnv.New64a()
	// Writes to a hash never fail.
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(member))
	return mix(h.Sum64())
}

// mix is the 64-bit finalizer of MurmurHash3. It spreads the low bits of an FNV hash, since the last input bytes hardly
// affect the high bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Subset returns the members that a node links to, at most size. It selects them by rendezvous hashing, evenly over the
// failure domains and beginning with the node's own domain. The result is in the order of selection.
func Subset(node identifier.Node, ownDomain identifier.FailureDomain, members map[identifier.Upstream]identifier.FailureDomain, size int) []identifier.Upstream {
	byDomain := map[identifier.FailureDomain][]identifier.Upstream{}
	for upstream, domain := range members {
		byDomain[domain] = append(byDomain[domain], upstream)
	}
	domains := make([]identifier.FailureDomain, 0, len(byDomain))
	for domain, upstreams := range byDomain {
		domains = append(domains, domain)
		sort.Slice(upstreams, func(i, j int) bool {
			return Weight(string(node), string(upstreams[i])) > Weight(string(node), string(upstreams[j]))
		})
	}
	sort.Slice(domains, func(i, j int) bool {
		if (domains[i] == ownDomain) != (domains[j] == ownDomain) {
			return domains[i] == ownDomain
		}
		return Weight(string(node), string(domains[i])) > Weight(string(node), string(domains[j]))
	})
	var chosen []identifier.Upstream
	for round := 0; len(chosen) < min(size, len(members)); round++ {
		for _, domain := range domains {
			if round < len(byDomain[domain]) && len(chosen) < size {
				chosen = append(chosen, byDomain[domain][round])
			}
		}
	}
	return chosen
}
