package budgeter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantledge.example/currantledge/internal/request/budgeter"
)

const window = 10 * time.Second

// Guards against gateways that together send more retries in any window than ratio × requests + extra, whatever the
// order and distribution of requests and restarts. The requests are those of the same window or of the window that ended
// half a window earlier, whichever are more.
func TestAllGatewaysStayWithinTheBudget(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const gateways, ratio, extra = 3, 0.2, 30
		var all [gateways]*budgeter.Budgeter
		for i := range all {
			all[i] = budgeter.New(budgeter.Config{Ratio: ratio, Extra: extra, Window: window}, gateways)
		}
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(50, 600).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pauseMs")) * time.Millisecond)
			i := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			if rapid.IntRange(0, 20).Draw(t, "restart") == 0 {
				all[i] = budgeter.New(budgeter.Config{Ratio: ratio, Extra: extra, Window: window, StartedAt: now}, gateways)
			}
			b := all[i]
			if rapid.Bool().Draw(t, "arrival") {
				b.RecordRequest(now, "s")
				requests = append(requests, now)
				continue
			}
			if b.Take(now, "s") {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			sent, arrived := countInWindow(retries, end), countInWindow(requests, end)
			arrivedEarlier := countInWindow(requests, end.Add(-window/2))
			require.LessOrEqual(t, float64(sent), ratio*float64(max(arrived, arrivedEarlier))+extra)
		}
	})
}

// countInWindow returns the number of events in the window that ends at a time.
func countInWindow(events []time.Time, end time.Time) int {
	n := 0
	for _, e := range events {
		if e.After(end.Add(-window)) && !e.After(end) {
			n++
		}
	}
	return n
}

// Guards against a share that stays used up after its window has passed.
func TestBudgetIsRestoredAfterTheWindow(t *testing.T) {
	t.Parallel()
	b := budgeter.New(budgeter.Config{Ratio: 0, Extra: 10, Window: window}, 1)
	now := time.Unix(1000, 0)
	taken := 0
	for b.Take(now, "s") {
		taken++
	}
	require.Positive(t, taken)
	require.LessOrEqual(t, taken, 10)
	require.False(t, b.Take(now.Add(window/2), "s"))
	require.True(t, b.Take(now.Add(2*window), "s"))
}
