package router_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/router"
)

// candidates returns candidates with a limit of 10 and the given numbers of used credits.
func candidates(used ...identifier.Credits) []router.Candidate {
	out := make([]router.Candidate, len(used))
	for i, u := range used {
		out[i] = router.Candidate{Upstream: identifier.Upstream(fmt.Sprintf("u%02d", i)), Used: u, Limit: 10}
	}
	return out
}

// Guards against an overloaded prefix holder beside idle upstreams, and against lost prefix cache hits at even load.
func TestOrderBoundsPrefixLoad(t *testing.T) {
	t.Parallel()
	even := candidates(4, 4, 4, 4)
	request := router.Request{Affinity: "abc"}
	holder := router.Order(router.Balanced{}, request, even)[0]
	require.Equal(t, router.ReasonPrefixHolder, holder.Reason)
	for i := range even {
		if even[i].Upstream == holder.Upstream {
			even[i].Used = 9
		}
	}
	next := router.Order(router.Balanced{}, request, even)[0]
	require.NotEqual(t, holder.Upstream, next.Upstream)
}

// Guards against a caller's retry that does not reach the agent which holds the claim of its Idempotency-Key.
func TestOrderKeepsKeyOwner(t *testing.T) {
	t.Parallel()
	request := router.Request{Affinity: "key", Sticky: true}
	idle := router.Order(router.Balanced{}, request, candidates(0, 0, 0))
	busy := router.Order(router.Balanced{}, request, candidates(9, 9, 0))
	require.Equal(t, idle, busy)
}

// Guards against requests that go to an unhealthy or full upstream while another has capacity.
func TestOrderPrefersHealthAndCapacity(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		change func(c []router.Candidate)
		first  identifier.Upstream
	}{
		{"least loaded", func(c []router.Candidate) { c[2].Used = 1 }, "u02"},
		{"unhealthy last", func(c []router.Candidate) { c[0].Used, c[0].Unhealthy, c[1].Used = 0, true, 2 }, "u01"},
		{"local on ties", func(c []router.Candidate) { c[1].Local = true }, "u01"},
		{"no limit last", func(c []router.Candidate) { c[0].Limit, c[0].Used, c[1].Used = 0, 0, 4 }, "u01"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := candidates(5, 5, 5)
			test.change(c)
			choices := router.Order(router.Balanced{}, router.Request{}, c)
			require.Equal(t, test.first, choices[0].Upstream)
			require.Len(t, choices, len(c))
		})
	}
}

// Guards against a subset that omits a failure domain, or that drops other members when one member leaves.
func TestSubsetIsBalancedAndStable(t *testing.T) {
	t.Parallel()
	members := map[identifier.Upstream]identifier.FailureDomain{}
	for i := range 800 {
		members[identifier.Upstream(fmt.Sprintf("u%03d", i))] = identifier.FailureDomain(fmt.Sprintf("d%d", i%12))
	}
	chosen := router.Subset("entry-1", "d3", members, 24)
	require.Len(t, chosen, 24)
	require.Equal(t, identifier.FailureDomain("d3"), members[chosen[0]])
	perDomain := map[identifier.FailureDomain]int{}
	for _, u := range chosen {
		perDomain[members[u]]++
	}
	require.Len(t, perDomain, 12)
	delete(members, chosen[5])
	after := router.Subset("entry-1", "d3", members, 24)
	kept := map[identifier.Upstream]bool{}
	for _, u := range after {
		kept[u] = true
	}
	for i, u := range chosen {
		require.Equal(t, i != 5, kept[u])
	}
}

// Guards against upstreams without a link: the subsets of 320 entries must cover all upstreams evenly.
func TestSubsetSpreadsEntries(t *testing.T) {
	t.Parallel()
	members := map[identifier.Upstream]identifier.FailureDomain{}
	for i := range 800 {
		members[identifier.Upstream(fmt.Sprintf("u%03d", i))] = identifier.FailureDomain(fmt.Sprintf("d%d", i%12))
	}
	links := map[identifier.Upstream]int{}
	for i := range 320 {
		for _, u := range router.Subset(identifier.Node(fmt.Sprintf("e%d", i)), "d0", members, 24) {
			links[u]++
		}
	}
	for u := range members {
		require.Positive(t, links[u], "no entry links to upstream %s", u)
		require.Less(t, links[u], 30)
	}
}
