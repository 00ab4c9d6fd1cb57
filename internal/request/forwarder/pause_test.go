package forwarder_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	rejectingFrom = 8 * time.Second
	rejectingTo   = 19 * time.Second
	// settleTime is how long after the first rejection the other ranks have to serve all requests.
	settleTime = 1500 * time.Millisecond
)

// rejectResult is what callers and upstreams got in rejectLoad.
type rejectResult struct {
	// leastServed is the least share of served requests in a window of 2 s from settleTime on.
	leastServed float64
	// withinPause is the largest number of requests that a rank got from one gateway in a pause that it had asked for.
	withinPause int
	// rejectedShare is the share of the arrivals that the ranks got while they rejected them.
	rejectedShare float64
	// mostReturned is the largest number of requests that one of these ranks got in the backTime after that.
	mostReturned int
}

// backTime is the time in which ranks that accept requests again are not to be flooded.
const backTime = 3 * time.Second

// rejectLoad runs clients against a group whose first ranks reject all requests for 11 s and ask for a pause unless it is
// 0.
func rejectLoad(t *testing.T, seed uint64, ranks int, pause time.Duration) rejectResult {
	t.Helper()
	out := rejectResult{leastServed: 1}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := newSimulation(ctx, seed)
		go func() {
			time.Sleep(rejectingFrom)
			s.group.setRejecting(ranks, pause)
			time.Sleep(rejectingTo - rejectingFrom)
			s.group.setRejecting(0, 0)
		}()
		const window, end = 2 * time.Second, 28 * time.Second
		s.sendRequests(t, end)
		for from := rejectingFrom + settleTime; from+window <= end; from += window / 4 {
			shares := s.shares(from, from+window)
			out.leastServed = min(out.leastServed, shares[outcomeOnTime]+shares[outcomeLate])
		}
		out.withinPause = s.group.mostWithinPause(pause)
		from, to := s.started.Add(rejectingFrom), s.started.Add(rejectingTo)
		rejected, all := 0, 0
		for r := range rankCount {
			n := s.group.arrived(r, from, to)
			all += n
			if r < ranks {
				rejected += n
				out.mostReturned = max(out.mostReturned, s.group.arrived(r, to, to.Add(backTime)))
			}
		}
		out.rejectedShare = float64(rejected) / float64(all)
		cancel()
		time.Sleep(time.Minute)
	})
	t.Logf("seed %d, %d ranks ask for %v: %+v", seed, ranks, pause, out)
	return out
}

// Load: a quarter of the ranks rejects all requests for 11 s and asks for pauses of 3 s. Guards against gateways that send
// requests within the pause, and against a fleet that serves less than its other ranks can.
func TestUpstreamThatAsksForAPauseIsLeftAlone(t *testing.T) {
	for _, seed := range []uint64{1, 5} {
		got := rejectLoad(t, seed, rankCount/4, 3*time.Second)
		require.LessOrEqual(t, got.withinPause, 2)
		require.Greater(t, got.leastServed, 0.95)
	}
}

// Load: a quarter of the ranks rejects all requests for 11 s without a reason. Guards against ranks that draw requests
// because they reject them fast, and against a flood when they accept requests again.
func TestUpstreamThatRejectsDrawsNoRequests(t *testing.T) {
	for _, seed := range []uint64{1, 5} {
		got := rejectLoad(t, seed, rankCount/4, 0)
		require.Less(t, got.rejectedShare, 0.25)
		require.Greater(t, got.leastServed, 0.95)
		require.Less(t, float64(got.mostReturned), 2*clientsPerSecond*backTime.Seconds()/rankCount)
	}
}
