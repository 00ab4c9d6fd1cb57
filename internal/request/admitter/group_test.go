package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/admitter"
	"currantledge.example/currantledge/internal/version/cataloguer"
)

// rank returns an upstream that is a rank of a group of the model.
func rank(id identifier.Upstream, group identifier.ModelGroup, slots int) cataloguer.Upstream {
	u := upstream(id, model, slots)
	u.Group = group
	return u
}

// reject makes a rank reject a request as one of a closed group does.
func (f *fixture) reject(now time.Time, g admitter.Granted) {
	f.Done(now, g, admitter.Rejected{Load: admitter.Load{Slots: 4}, LoadKnown: true})
}

// Guards against a group whose outage closes the other groups of its service as well.
func TestClosedGroupLeavesItsRequestsToOthers(t *testing.T) {
	t.Parallel()
	f := newFixture(rank("a0", "a", 2), rank("a1", "a", 2), rank("b0", "b", 2), rank("b1", "b", 2))
	first := requireGranted(t, f.Submit(start, request(model, start)))
	f.reject(start, first)
	now := start.Add(100 * time.Millisecond)
	for range 4 {
		g := requireGranted(t, f.Submit(now, request(model, now)))
		require.NotEqual(t, first.Upstream.Group, g.Upstream.Group)
	}
	require.Equal(t, admitter.GroupStatus{Ranks: 2}, f.Groups()[identifier.GroupID{Service: model, Group: first.Upstream.Group}])
	// All slots of the open group are in use: the next request probes the closed one, those after it wait.
	probe := requireGranted(t, f.Submit(now, request(model, now)))
	require.Equal(t, first.Upstream.Group, probe.Upstream.Group)
	f.reject(now, probe)
	require.Nil(t, decision(f.Submit(now, request(model, now))))
}

// Guards against requests that wait for a closed group while another one has opened, and against reports that open or
// close another group than theirs.
func TestWaitingRequestsMoveToTheGroupThatOpens(t *testing.T) {
	t.Parallel()
	f := newFixture(rank("a0", "a", 2), rank("b0", "b", 2))
	a, b := identifier.GroupID{Service: model, Group: "a"}, identifier.GroupID{Service: model, Group: "b"}
	f.GroupClosed(start, a)
	f.GroupClosed(start, b)
	r := request(model, start)
	r.NoClientRetry, r.GrantUntil = true, start.Add(5*time.Second)
	waiting := f.Submit(start.Add(time.Millisecond), r)
	if g, granted := decision(waiting).(admitter.Granted); granted {
		f.reject(start, g)
		waiting = f.Submit(start.Add(time.Millisecond), r)
	}
	require.Nil(t, decision(waiting))
	f.GroupOpened(start.Add(2*time.Second), b)
	require.Equal(t, identifier.Upstream("b0"), requireGrantedUpstream(t, waiting))
}

// Guards against a refusal for overload, which does not tell the client of the outage, because an upstream without a group
// that may get no requests counts as an open group.
func TestGroupsWithoutUsableRanksAreNotOpen(t *testing.T) {
	t.Parallel()
	leaving := upstream("old", model, 2)
	leaving.Draining = true
	f := newFixture(rank("a0", "a", 2), rank("b0", "b", 2), leaving)
	for _, name := range []identifier.ModelGroup{"a", "b"} {
		f.GroupClosed(start, identifier.GroupID{Service: model, Group: name})
	}
	require.Equal(t, admitter.ReasonGroupClosed, requireRefused(t, f.Submit(start, request(model, start))).Reason)
}

// Guards against a closed group that counts as open once the gateway learns the names of the groups.
func TestRanksKeepTheirStateWhenTheirGroupBecomesKnown(t *testing.T) {
	t.Parallel()
	f := newFixture(upstream("a0", model, 2), upstream("a1", model, 2))
	f.GroupClosed(start, modelGroup)
	f.fleet.Upstreams = []cataloguer.Upstream{rank("a0", "a", 2), rank("a1", "a", 2)}
	f.SetFleet(start, f.fleet)
	r := request(model, start)
	require.Equal(t, admitter.ReasonGroupClosed, requireRefused(t, f.Submit(start, r)).Reason)
	// A peer that does not know the group yet reports its opening without a name.
	f.GroupOpened(start, modelGroup)
	requireGrantedUpstream(t, f.Submit(start, r))
}

// Load: 3 groups of 4 ranks at 60% of their slots. For 3 s, requests to one group make no progress, and its ranks reject
// them after the stall. Guards against answers in time that fall under the share of the sound groups.
func TestSoundGroupsServeDuringAnOutage(t *testing.T) {
	t.Parallel()
	const (
		step, serviceTime  = 5 * time.Millisecond, 400 * time.Millisecond
		stall              = 600 * time.Millisecond
		outageAt, outageTo = 3 * time.Second, 6 * time.Second
	)
	random := rand.New(rand.NewPCG(1, 2))
	var upstreams []cataloguer.Upstream
	down := map[identifier.Upstream]bool{}
	for i := range 12 {
		id := identifier.Upstream(fmt.Sprint("rank", i))
		upstreams = append(upstreams, rank(id, identifier.ModelGroup(fmt.Sprint("g", i%3)), 4))
		down[id] = i%3 == 0
	}
	f := newFixtureWithDraw(random.Float64, upstreams...)
	type running struct {
		granted admitter.Granted
		since   time.Time
		until   time.Time
	}
	type waiter struct {
		ticket *admitter.Ticket
		since  time.Time
	}
	var work []running
	var waiting []waiter
	arrived, onTime := map[int]int{}, map[int]int{}
	window := func(at time.Time) int { return int(at.Sub(start) / (2 * time.Second)) }
	isDown := func(now time.Time, g admitter.Granted) bool {
		at := now.Sub(start)
		return at >= outageAt && at < outageTo && down[g.Upstream.ID]
	}
	submit := func(now, since time.Time) {
		waiting = append(waiting, waiter{f.Submit(now, request(model, since)), since})
	}
	for now := start; now.Before(start.Add(12 * time.Second)); now = now.Add(step) {
		var kept []running
		for _, w := range work {
			switch down := isDown(now, w.granted); {
			case down && now.Before(w.until):
				kept = append(kept, w)
			case down:
				f.reject(now, w.granted)
				submit(now, w.since)
			case now.Before(w.until):
				kept = append(kept, w)
				f.RecordProgress(now, w.granted.Upstream.ID, 0)
			default:
				f.Done(now, w.granted, admitter.Served{FirstByte: 50 * time.Millisecond, Total: serviceTime})
			}
		}
		work = kept
		if random.Float64() < 0.36 {
			arrived[window(now)]++
			submit(now, now)
		}
		f.Tick(now)
		undecided := waiting
		waiting = nil
		for _, w := range undecided {
			switch d := decision(w.ticket).(type) {
			case nil:
				waiting = append(waiting, w)
			case admitter.Granted:
				if isDown(now, d) {
					work = append(work, running{d, w.since, now.Add(stall)})
					continue
				}
				f.RecordProgress(now, d.Upstream.ID, 0)
				work = append(work, running{d, w.since, now.Add(serviceTime)})
				if now.Sub(w.since) <= 200*time.Millisecond {
					onTime[window(w.since)]++
				}
			}
		}
	}
	for w := range 6 {
		t.Logf("window %d: %d of %d on time", w, onTime[w], arrived[w])
		require.Greater(t, float64(onTime[w]), 0.9*float64(arrived[w]))
	}
}

// Load: one rank with free slots rejects requests while the streams of the others go on. Guards against a group that is
// closed for all because of one rank, and against one that stays open although no stream goes on.
func TestRejectionByOneRankDoesNotCloseARunningGroup(t *testing.T) {
	t.Parallel()
	f := newFixture(rank("x", "g", 4), rank("y", "g", 4))
	now := start
	open := func() bool { return f.Groups()[identifier.GroupID{Service: model, Group: "g"}].Open }
	f.RecordProgress(now, "x", 0)
	now = now.Add(100 * time.Millisecond)
	f.reject(now, requireGranted(t, f.Submit(now, request(model, now))))
	require.True(t, open())
	now = now.Add(time.Second)
	f.reject(now, requireGranted(t, f.Submit(now, request(model, now))))
	require.False(t, open())
}
