package queuer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/queuer"
)

var start = time.Unix(1000, 0)

func waiter(candidates ...identifier.Upstream) queuer.Waiter {
	return queuer.Waiter{Request: identifier.NewRequest(), Customer: "a", Candidates: candidates}
}

func grant(customer identifier.Customer, credits identifier.Credits) messenger.Grant {
	return messenger.Grant{Incarnation: 1, Serial: 7, Customer: customer, Credits: credits, Lifetime: time.Second}
}

// Guards against a credit of one customer that admits a request of another customer.
func TestGrantBelongsToCustomer(t *testing.T) {
	t.Parallel()
	q := queuer.New()
	require.Empty(t, q.Add(start, waiter("u1")))
	require.Empty(t, q.Grant(start, "u1", grant("b", 1)))
	require.Len(t, q.Grant(start, "u1", grant("a", 1)), 1)
}

// Guards against a grant that admits more requests than it has credits, or admits them in another order than that of
// arrival.
func TestGrantServesOldestFirst(t *testing.T) {
	t.Parallel()
	q := queuer.New()
	first, second, third := waiter("u1"), waiter("u1"), waiter("u1")
	for _, w := range []queuer.Waiter{first, second, third} {
		q.Add(start, w)
	}
	matches := q.Grant(start, "u1", grant("a", 2))
	require.Len(t, matches, 2)
	require.Equal(t, first.Request, matches[0].Request)
	require.Equal(t, second.Request, matches[1].Request)
	require.Equal(t, 1, q.Waiting("a"))
}

// Guards against the use of a credit that expires before the dispatch reaches the agent, which refuses it.
func TestExpiredCreditIsNotUsed(t *testing.T) {
	t.Parallel()
	q := queuer.New()
	standing := grant("a", 1)
	standing.Standing = true
	q.Grant(start, "u1", standing)
	require.Empty(t, q.Add(start.Add(950*time.Millisecond), waiter("u1")))
}

// Guards against credits that an entry keeps after other upstreams have served its requests.
func TestSurplusIsReturned(t *testing.T) {
	t.Parallel()
	q := queuer.New()
	q.Add(start, waiter("u1", "u2"))
	require.Len(t, q.Grant(start, "u1", grant("a", 1)), 1)
	require.Empty(t, q.Grant(start, "u2", grant("a", 3)))
	surplus := q.TakeSurplus()
	require.Len(t, surplus, 1)
	require.Equal(t, identifier.Credits(3), surplus[0].Return.Credits)
	require.Empty(t, q.TakeSurplus())
}

// Guards against demand at upstreams that will not serve a request, and against requests that wait for their first
// candidates only.
func TestDemandWidens(t *testing.T) {
	t.Parallel()
	q := queuer.New()
	q.Add(start, waiter("u1", "u2", "u3", "u4", "u5"))
	require.Len(t, q.DemandOn(start, "u1"), 1)
	require.Empty(t, q.DemandOn(start, "u2"))
	require.Len(t, q.DemandOn(start.Add(10*time.Millisecond), "u2"), 1)
	require.Empty(t, q.DemandOn(start.Add(10*time.Millisecond), "u3"))
	require.Len(t, q.DemandOn(start.Add(50*time.Millisecond), "u4"), 1)
	require.Empty(t, q.DemandOn(start.Add(50*time.Millisecond), "u5"))
	require.Len(t, q.DemandOn(start.Add(100*time.Millisecond), "u5"), 1)
}

// Guards against the use of credits of an upstream whose link is down.
func TestDroppedCreditsAreNotUsed(t *testing.T) {
	t.Parallel()
	q := queuer.New()
	standing := grant("a", 1)
	standing.Standing = true
	q.Grant(start, "u1", standing)
	q.DropCredits("u1")
	require.Empty(t, q.Add(start, waiter("u1")))
}

// Guards against an upstream that returns to service and sees no demand because standing credits of the others serve
// every request at once.
func TestPreferredUpstreamSeesDemandBeforeStandingCreditsOfOthersAreUsed(t *testing.T) {
	t.Parallel()
	q := queuer.New()
	standing := grant("a", 1)
	standing.Standing = true
	q.Grant(start, "u2", standing)
	require.Empty(t, q.Add(start, waiter("u1", "u2")))
	require.Len(t, q.DemandOn(start, "u1"), 1)
	require.Len(t, q.Tick(start.Add(10*time.Millisecond)), 1)
}

// Guards against an index by customer that loses, repeats or reorders waiting requests.
func TestCustomersAreServedInOrder(t *testing.T) {
	t.Parallel()
	customers := []identifier.Customer{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		q := queuer.New()
		waiting := map[identifier.Customer][]identifier.Request{}
		checkMatches := func(customer identifier.Customer, matches []queuer.Match) {
			for _, m := range matches {
				require.Equal(t, waiting[customer][0], m.Request)
				waiting[customer] = waiting[customer][1:]
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			customer := rapid.SampledFrom(customers).Draw(t, "customer")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				w := queuer.Waiter{Request: identifier.NewRequest(), Customer: customer, Candidates: []identifier.Upstream{"u1"}}
				waiting[customer] = append(waiting[customer], w.Request)
				checkMatches(customer, q.Add(start, w))
			case 1:
				credits := rapid.IntRange(1, 3).Draw(t, "credits")
				checkMatches(customer, q.Grant(start, "u1", grant(customer, identifier.Credits(credits))))
			case 2:
				if n := len(waiting[customer]); n > 0 {
					index := rapid.IntRange(0, n-1).Draw(t, "removed")
					require.True(t, q.Remove(waiting[customer][index]))
					waiting[customer] = append(waiting[customer][:index:index], waiting[customer][index+1:]...)
				}
			default:
				if n := len(waiting[customer]); n > 0 {
					request := waiting[customer][rapid.IntRange(0, n-1).Draw(t, "again")]
					checkMatches(customer, q.Add(start, queuer.Waiter{Request: request, Customer: customer, Candidates: []identifier.Upstream{"u1"}}))
				}
			}
			for _, c := range customers {
				require.Equal(t, len(waiting[c]), q.Waiting(c))
			}
		}
	})
}
