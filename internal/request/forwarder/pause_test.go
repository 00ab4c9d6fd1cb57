package forwarder_test

import (
	"context"
	"slices"
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
	// servableRate is the rate of requests that 12 ranks serve, as TestRejectLoadIsServable shows.
	servableRate = 60
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

// rejectingRanks is the number of ranks that reject requests.
const rejectingRanks = rankCount / 4

// rejectLoad runs clients against a group whose first ranks reject all requests for 11 s and ask for a pause unless it is
// 0.
func rejectLoad(t *testing.T, seed uint64, pause time.Duration) rejectResult {
	t.Helper()
	return playLoss(t, seed, pause,
		func(s *simulation) { s.group.setRejecting(rejectingRanks, pause) },
		func(s *simulation) { s.group.setRejecting(0, 0) })
}

// playLoss runs clients against a group whose first ranks are lost between the calls of start and end.
func playLoss(t *testing.T, seed uint64, pause time.Duration, start, end func(*simulation)) rejectResult {
	t.Helper()
	out := rejectResult{leastServed: 1}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := newSimulation(ctx, seed)
		s.clientsPerSecond = servableRate
		go func() {
			time.Sleep(rejectingFrom)
			start(s)
			time.Sleep(rejectingTo - rejectingFrom)
			end(s)
		}()
		const window, total = 2 * time.Second, 28 * time.Second
		s.sendRequests(t, total)
		for from := rejectingFrom + settleTime; from+window <= total; from += window / 4 {
			shares := s.shares(from, from+window)
			out.leastServed = min(out.leastServed, shares[outcomeOnTime]+shares[outcomeLate])
		}
		out.withinPause = s.group.mostWithinPause(pause)
		from, to := s.started.Add(rejectingFrom), s.started.Add(rejectingTo)
		rejected, all := 0, 0
		for r := range rankCount {
			n := s.group.arrived(r, from, to)
			all += n
			if r < rejectingRanks {
				rejected += n
				out.mostReturned = max(out.mostReturned, s.group.arrived(r, to, to.Add(backTime)))
			}
		}
		out.rejectedShare = float64(rejected) / float64(all)
		cancel()
		time.Sleep(time.Minute)
	})
	t.Logf("seed %d, pause %v: %+v", seed, pause, out)
	return out
}

// Shows that the loads below can be served: the other ranks serve everything while a quarter of them is draining.
func TestRejectLoadIsServable(t *testing.T) {
	setDraining := func(s *simulation, draining bool) {
		fleet := s.fleet
		fleet.Upstreams = slices.Clone(s.fleet.Upstreams)
		for r := range rejectingRanks {
			fleet.Upstreams[r].Draining = draining
		}
		for _, a := range s.admitters {
			a.SetFleet(time.Now(), fleet)
		}
	}
	for _, seed := range rejectSeeds {
		got := playLoss(t, seed, 0, func(s *simulation) { setDraining(s, true) }, func(s *simulation) { setDraining(s, false) })
		require.Greater(t, got.leastServed, 0.95)
	}
}

var rejectSeeds = []uint64{1, 5, 7, 8}

// Load: a quarter of the ranks rejects all requests for 11 s and asks for pauses of 3 s. Guards against gateways that send
// requests within the pause, and against a fleet that serves less than its other ranks can.
func TestUpstreamThatAsksForAPauseIsLeftAlone(t *testing.T) {
	for _, seed := range rejectSeeds {
		got := rejectLoad(t, seed, 3*time.Second)
		require.LessOrEqual(t, got.withinPause, 2)
		require.Greater(t, got.leastServed, 0.95)
	}
}

// Load: a quarter of the ranks rejects all requests for 11 s without a reason. Guards against ranks that draw requests
// because they reject them fast, and against a flood when they accept requests again.
func TestUpstreamThatRejectsDrawsNoRequests(t *testing.T) {
	for _, seed := range rejectSeeds {
		got := rejectLoad(t, seed, 0)
		require.Less(t, got.rejectedShare, 0.25)
		require.Greater(t, got.leastServed, 0.95)
		require.Less(t, float64(got.mostReturned), 2*servableRate*backTime.Seconds()/rankCount)
	}
}
