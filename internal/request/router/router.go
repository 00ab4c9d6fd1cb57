// Package router chooses the order in which an entry asks upstreams to take a request.
package router

import (
	"hash/fnv"
	"math"
	"sort"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Policy is one of the routing policies of this package.
type Policy interface{ policy() }

type (
	// Balanced prefers the likely holder of the prefix while its load stays bounded, then the least loaded upstream.
	Balanced struct{}
	// RoundRobin is a baseline that ignores load and prefixes.
	RoundRobin struct{}
	// LeastLoaded is a baseline that ignores prefixes.
	LeastLoaded struct{}
)

func (Balanced) policy()    {}
func (RoundRobin) policy()  {}
func (LeastLoaded) policy() {}

// loadBound is the factor over the mean load up to which a prefix holder is preferred. It trades prefix hits
// against the step time of the slowest rank.
const loadBound = 1.25

// ownerCount is the number of likely prefix holders that come before the others. The second takes what the first has
// no room for, so that copies of a prefix stay on two upstreams.
const ownerCount = 2

// Reason tells why an upstream was preferred.
type Reason string

// The reasons of a choice.
const (
	ReasonPrefix      Reason = "prefixHolder"
	ReasonLeastLoaded Reason = "leastLoaded"
	ReasonKeyOwner    Reason = "keyOwner"
	ReasonTurn        Reason = "roundRobin"
)

// Candidate is an upstream that may take the request.
type Candidate struct {
	Upstream identifier.Upstream
	// Local is set for upstreams in the entry's own failure domain.
	Local bool
	// Used counts running and granted requests, Limit what the upstream bears now.
	Used  identifier.Credits
	Limit identifier.Credits
	// Suspect is set while the upstream does not answer its agent or drains.
	Suspect bool
}

// Request is what the choice depends on.
type Request struct {
	// Affinity is the salted digest of the prompt prefix, or of customer and key; empty if there is none.
	Affinity identifier.Digest
	// Sticky is set for keyed calls: the same key goes to the same upstream regardless of load.
	Sticky bool
	// Turn is a counter for the round-robin baseline.
	Turn uint64
}

// Choice is a candidate and the reason for its place in the order.
type Choice struct {
	Upstream identifier.Upstream
	Reason   Reason
}

// Order returns all candidates, the preferred one first.
func Order(policy Policy, request Request, candidates []Candidate) []Choice {
	sorted := append([]Candidate(nil), candidates...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Upstream < sorted[j].Upstream })
	switch policy.(type) {
	case RoundRobin:
		return orderByTurn(request, sorted)
	case LeastLoaded:
		return orderByLoad(sorted)
	default:
		return orderBalanced(request, sorted)
	}
}

func orderByTurn(request Request, sorted []Candidate) []Choice {
	choices := make([]Choice, 0, len(sorted))
	for i := range sorted {
		next := sorted[(request.Turn+uint64(i))%uint64(len(sorted))]
		choices = append(choices, Choice{Upstream: next.Upstream, Reason: ReasonTurn})
	}
	return choices
}

func orderByLoad(sorted []Candidate) []Choice {
	sort.SliceStable(sorted, func(i, j int) bool { return less(sorted[i], sorted[j]) })
	choices := make([]Choice, len(sorted))
	for i, c := range sorted {
		choices[i] = Choice{Upstream: c.Upstream, Reason: ReasonLeastLoaded}
	}
	return choices
}

func orderBalanced(request Request, sorted []Candidate) []Choice {
	if request.Affinity == "" {
		return orderByLoad(sorted)
	}
	reason := ReasonPrefix
	if request.Sticky {
		reason = ReasonKeyOwner
	}
	owners := rendezvous(request.Affinity, sorted)
	bound := loadBound * meanLoad(sorted)
	rest := make([]Candidate, 0, len(sorted))
	var choices []Choice
	for _, c := range owners {
		if len(choices) < ownerCount && !c.Suspect && (request.Sticky || load(c) <= bound) {
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

// less orders by health, then by load after the addition, then by locality.
func less(a, b Candidate) bool {
	if a.Suspect != b.Suspect {
		return !a.Suspect
	}
	if la, lb := load(a), load(b); la != lb {
		return la < lb
	}
	return a.Local && !b.Local
}

// load is the share of the limit that is used once the request is added.
func load(c Candidate) float64 {
	if c.Limit <= 0 {
		return math.Inf(1)
	}
	return float64(c.Used+1) / float64(c.Limit)
}

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

// rendezvous orders candidates by highest random weight, so that a departure moves only the affinities of the
// departed upstream.
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
	out := make([]Candidate, len(all))
	for i, w := range all {
		out[i] = w.candidate
	}
	return out
}

// Weight is the rendezvous weight of a member for a key.
func Weight(key, member string) uint64 {
	h := fnv.New64a()
	// Hash writers never fail.
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(member))
	return mix(h.Sum64())
}

// mix spreads the low bits of FNV, whose last bytes hardly reach the high bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Subset returns at most size members for a node, chosen by rendezvous hashing and spread evenly over failure
// domains with the node's own first. The result is in the order of choice.
func Subset(node identifier.Node, own identifier.FailureDomain, members map[identifier.Upstream]identifier.FailureDomain, size int) []identifier.Upstream {
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
		if (domains[i] == own) != (domains[j] == own) {
			return domains[i] == own
		}
		return Weight(string(node), string(domains[i])) > Weight(string(node), string(domains[j]))
	})
	var chosen []identifier.Upstream
	for turn := 0; len(chosen) < min(size, len(members)); turn++ {
		for _, domain := range domains {
			if turn < len(byDomain[domain]) && len(chosen) < size {
				chosen = append(chosen, byDomain[domain][turn])
			}
		}
	}
	return chosen
}
