package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/admitter"
	"currantledge.example/currantledge/internal/version/cataloguer"
	"currantledge.example/currantledge/internal/version/replicator"
)

const (
	model = identifier.Service("model")
	shop  = identifier.Service("shop")
)

// modelGroup is the group of the model while the gateway does not know its name.
var modelGroup = identifier.GroupID{Service: model}

var start = time.Unix(1000, 0)

// fixture is an admitter together with the fleet that it knows.
type fixture struct {
	*admitter.Admitter
	fleet cataloguer.Fleet
}

func newFixture(upstreams ...cataloguer.Upstream) *fixture {
	return newFixtureWithDraw(func() float64 { return 0 }, upstreams...)
}

func newFixtureWithDraw(draw func() float64, upstreams ...cataloguer.Upstream) *fixture {
	f := &fixture{
		Admitter: admitter.New(admitter.Config{FailureDomain: "a", ColdFactor: 1.5, ColdSlack: 5, Draw: draw}),
		fleet: cataloguer.Fleet{
			Catalogue: cataloguer.New(cataloguer.Config{Services: []cataloguer.Service{
				{Name: model, ColdPerSecond: 10, Engine: &cataloguer.Engine{Sets: 1}}, {Name: shop},
			}}),
			Upstreams: upstreams,
			Evacuated: map[identifier.FailureDomain]bool{},
		},
	}
	f.SetFleet(start, f.fleet)
	return f
}

func upstream(id identifier.Upstream, s identifier.Service, slots int) cataloguer.Upstream {
	return cataloguer.Upstream{ID: id, Service: s, Address: string(id), FailureDomain: "a", Slots: slots, Version: 1}
}

func request(s identifier.Service, now time.Time) admitter.Request {
	return admitter.Request{
		Service: s, OnTimeUntil: now.Add(200 * time.Millisecond), GrantUntil: now.Add(1700 * time.Millisecond), Deadline: now.Add(8 * time.Second),
	}
}

// decision returns the decision of a ticket, or nil if the request still waits.
func decision(t *admitter.Ticket) admitter.Decision {
	select {
	case d := <-t.Decision():
		return d
	default:
		return nil
	}
}

func requireGranted(t *testing.T, ticket *admitter.Ticket) admitter.Granted {
	t.Helper()
	g, ok := decision(ticket).(admitter.Granted)
	require.True(t, ok)
	return g
}

func requireGrantedUpstream(t *testing.T, ticket *admitter.Ticket) identifier.Upstream {
	t.Helper()
	return requireGranted(t, ticket).Upstream.ID
}

func requireRefused(t *testing.T, ticket *admitter.Ticket) admitter.Refused {
	t.Helper()
	r, ok := decision(ticket).(admitter.Refused)
	require.True(t, ok)
	return r
}

// Guards against upstreams that receive more requests than they have slots because those of other gateways do not count.
func TestSlotsAreSharedWithPeers(t *testing.T) {
	t.Parallel()
	f := newFixture(upstream("x", shop, 3))
	f.SetPeerRunning(start, map[identifier.Upstream]int{"x": 2})
	requireGrantedUpstream(t, f.Submit(start, request(shop, start)))
	second := f.Submit(start, request(shop, start))
	require.Nil(t, decision(second))
	f.SetPeerRunning(start, map[identifier.Upstream]int{"x": 1})
	requireGrantedUpstream(t, second)
}

// Guards against requests to upstreams that drain or whose failure domain is evacuated.
func TestDrainingAndEvacuatedUpstreamsGetNoRequests(t *testing.T) {
	t.Parallel()
	draining := upstream("x", shop, 3)
	draining.Draining = true
	other := upstream("y", shop, 3)
	other.FailureDomain = "b"
	f := newFixture(draining, other)
	require.Equal(t, identifier.Upstream("y"), requireGrantedUpstream(t, f.Submit(start, request(shop, start))))
	f.fleet.Evacuated["b"] = true
	f.SetFleet(start, f.fleet)
	require.Equal(t, admitter.ReasonNoUpstream, requireRefused(t, f.Submit(start, request(shop, start))).Reason)
}

// Guards against requests to an upstream that has announced its end, whatever its entry says, and against one that gets
// none after it has started again.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	t.Parallel()
	u := upstream("x", shop, 3)
	u.Generation = 1
	f := newFixture(u)
	f.RecordLeaving(start, "x")
	list := func(now time.Time, version, generation uint64) {
		u.Version, u.Generation = version, generation
		f.fleet.Upstreams = []cataloguer.Upstream{u}
		f.SetFleet(now, f.fleet)
	}
	list(start.Add(time.Second), 2, 1)
	require.Equal(t, admitter.ReasonNoUpstream, requireRefused(t, f.Submit(start, request(shop, start))).Reason)
	list(start.Add(2*time.Second), 3, 2)
	requireGrantedUpstream(t, f.Submit(start, request(shop, start)))
	f.RecordLeaving(start, "x")
	list(start.Add(11*time.Minute), 4, 2)
	requireGrantedUpstream(t, f.Submit(start, request(shop, start)))
}

// Load: all upstreams of a service have asked for pauses. Guards against requests that wait until their deadline although
// it is known that they cannot be served, and against refusals of those that the first end of a pause allows.
func TestRequestIsRefusedAtOnceWhileAllUpstreamsPause(t *testing.T) {
	t.Parallel()
	f := newFixture(upstream("x", shop, 3), upstream("y", shop, 3))
	for _, pause := range []time.Duration{4 * time.Second, 3 * time.Second} {
		g := requireGranted(t, f.Submit(start, request(shop, start)))
		f.Done(start, g, admitter.Rejected{Pause: pause})
	}
	for _, noClientRetry := range []bool{false, true} {
		r := request(shop, start)
		r.NoClientRetry = noClientRetry
		refused := requireRefused(t, f.Submit(start, r))
		require.Equal(t, admitter.ReasonPaused, refused.Reason)
		require.Equal(t, 8*time.Second/admitter.RetryAfterDivisor, refused.RetryAfter, "3 s, but no longer than clients honour")
	}
	now := start.Add(1500 * time.Millisecond)
	waiting := f.Submit(now, request(shop, now))
	require.Nil(t, decision(waiting))
	f.Tick(start.Add(3 * time.Second))
	requireGrantedUpstream(t, waiting)
}

// Guards against a cold upstream that fails under too many requests: all gateways together stay below
// factor × rate + slack.
func TestColdUpstreamIsRateLimited(t *testing.T) {
	t.Parallel()
	cold := upstream("x", model, 1000)
	cold.ColdLeft = time.Minute
	f := newFixture(cold)
	f.SetGateways(4)
	count := 0
	for ms := range 1000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		r := request(model, now)
		r.GrantUntil = now.Add(time.Microsecond)
		ticket := f.Submit(now, r)
		if _, ok := decision(ticket).(admitter.Granted); ok {
			count++
		} else {
			f.Withdraw(now, ticket)
		}
		f.RecordProgress(now, "x", 0)
	}
	// The limit is 1.5 × 10 + 5 requests in the second; each of the 4 gateways may exceed its part by one.
	require.LessOrEqual(t, 4*count, 24)
	require.Positive(t, count)
}

// Guards against a cold upstream that is flooded, or a warm one that is limited again, because its entry was restored from
// a copy of before.
func TestRestoredEntryDoesNotChangeTheColdTime(t *testing.T) {
	t.Parallel()
	entry := func(era replicator.Era, counter uint64, coldLeft time.Duration) cataloguer.Upstream {
		u := upstream("x", model, 1000)
		u.Version, u.ColdLeft = replicator.NewVersion(era, counter), coldLeft
		return u
	}
	granted := func(f *fixture, now time.Time) int {
		n := 0
		for range 50 {
			if _, ok := decision(f.Submit(now, request(model, now))).(admitter.Granted); ok {
				n++
			}
		}
		return n
	}
	apply := func(f *fixture, now time.Time, u cataloguer.Upstream) {
		f.fleet.Upstreams = []cataloguer.Upstream{u}
		f.SetFleet(now, f.fleet)
	}
	cold := newFixture(entry(1, 40, 0))
	apply(cold, start, entry(1, 60, time.Minute))
	apply(cold, start.Add(time.Second), entry(2, 40, 0))
	require.Less(t, granted(cold, start.Add(time.Second)), 10)

	warm := newFixture(entry(1, 40, time.Second))
	apply(warm, start.Add(2*time.Second), entry(2, 40, time.Second))
	require.Equal(t, 50, granted(warm, start.Add(2*time.Second)))
}

// Load: all slots are in use and more requests arrive than can be on time. Guards against a queue order in which late
// requests make every new one late as well.
func TestRequestsThatCanBeOnTimeGoFirst(t *testing.T) {
	t.Parallel()
	f := newFixture(upstream("x", model, 1))
	f.RecordProgress(start, "x", 0)
	first := requireGranted(t, f.Submit(start, request(model, start)))
	late := f.Submit(start, request(model, start))
	now := start.Add(300 * time.Millisecond)
	f.RecordProgress(now, "x", 0)
	fresh := f.Submit(now, request(model, now))
	f.Done(now, first, admitter.Served{FirstByte: time.Millisecond, Total: time.Millisecond})
	second := requireGranted(t, fresh)
	require.Nil(t, decision(late))
	f.Done(now, second, admitter.Served{FirstByte: time.Millisecond, Total: time.Millisecond})
	requireGrantedUpstream(t, late)
}

// Load: a queue that takes longer than the client waits. Guards against requests that wait although they cannot be
// served in time.
func TestRequestThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	f := newFixture(upstream("x", shop, 1))
	first := requireGranted(t, f.Submit(start, request(shop, start)))
	f.Done(start, first, admitter.Served{FirstByte: time.Second, Total: 4 * time.Second})
	requireGrantedUpstream(t, f.Submit(start, request(shop, start)))
	waiting := 0
	for range 10 {
		if decision(f.Submit(start, request(shop, start))) == nil {
			waiting++
		}
	}
	require.Less(t, waiting, 4)
	r := requireRefused(t, f.Submit(start, request(shop, start)))
	require.Equal(t, admitter.ReasonOverload, r.Reason)
	require.Positive(t, r.RetryAfter)
}

// Load: a group of ranks is closed for some seconds. Guards against a new request that waits although the outage exceeds
// its time or that gets a Retry-After which ends before the outage, and against a retry that is refused again at once.
func TestClosedGroupRefusesNewRequestsAndQueuesRetries(t *testing.T) {
	t.Parallel()
	f := newFixture(upstream("x", model, 4), upstream("y", model, 4))
	first := requireGranted(t, f.Submit(start, request(model, start)))
	f.Done(start, first, admitter.Rejected{Load: admitter.Load{Slots: 4}, LoadKnown: true})
	r := requireRefused(t, f.Submit(start, request(model, start)))
	require.Equal(t, admitter.ReasonGroupClosed, r.Reason)
	require.Equal(t, 8*time.Second/3, r.RetryAfter)

	retry := request(model, start)
	retry.NoClientRetry = true
	waiting := f.Submit(start, retry)
	require.Nil(t, decision(waiting))
	f.GroupOpened(start.Add(time.Second), modelGroup)
	requireGrantedUpstream(t, waiting)
}

// Guards against a full upstream whose rejection closes the group, which would leave the other upstreams idle.
func TestFullUpstreamDoesNotCloseTheGroup(t *testing.T) {
	t.Parallel()
	f := newFixture(upstream("x", model, 4), upstream("y", model, 4))
	first := requireGranted(t, f.Submit(start, request(model, start)))
	f.Done(start, first, admitter.Rejected{Load: admitter.Load{Running: 4, Waiting: 2, Slots: 4}, LoadKnown: true})
	require.NotEqual(t, first.Upstream.ID, requireGrantedUpstream(t, f.Submit(start, request(model, start))))
}

// Guards against new requests to a group whose ranks wait for one that is gone.
func TestStalledGroupGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	f := newFixture(upstream("x", model, 8))
	for range 3 {
		f.RecordFirstByte(start, requireGranted(t, f.Submit(start, request(model, start))))
	}
	f.RecordProgress(start, "x", 0)
	now := start.Add(700 * time.Millisecond)
	retry := request(model, now)
	retry.NoClientRetry = true
	ticket := f.Submit(now, retry)
	require.Nil(t, decision(ticket))
	f.RecordProgress(now, "x", 0)
	f.Tick(now)
	requireGrantedUpstream(t, ticket)
}

// Guards against an upstream that gets the next request at once although no connection could be established.
func TestUnreachableUpstreamIsBackedOff(t *testing.T) {
	t.Parallel()
	f := newFixture(upstream("x", shop, 4), upstream("y", shop, 4))
	first := requireGranted(t, f.Submit(start, request(shop, start)))
	f.Done(start, first, admitter.Unreachable{})
	for range 4 {
		require.NotEqual(t, first.Upstream.ID, requireGrantedUpstream(t, f.Submit(start, request(shop, start))))
	}
}

// Guards against a slot that stays in use because the client left at the moment of the grant.
func TestWithdrawnGrantIsReleased(t *testing.T) {
	t.Parallel()
	f := newFixture(upstream("x", shop, 1))
	ticket := f.Submit(start, request(shop, start))
	f.Withdraw(start, ticket)
	requireGrantedUpstream(t, f.Submit(start, request(shop, start)))
}

// Guards against urgent requests that wait behind requests of lower priority.
func TestUrgentRequestsGoFirst(t *testing.T) {
	t.Parallel()
	f := newFixture(upstream("x", shop, 1))
	busy := requireGranted(t, f.Submit(start, request(shop, start)))
	lowPriority := request(shop, start)
	lowPriority.Priority = 2
	first := f.Submit(start, lowPriority)
	urgent := f.Submit(start, request(shop, start))
	f.Done(start, busy, admitter.Cancelled{})
	requireGrantedUpstream(t, urgent)
	require.Nil(t, decision(first))
}

// Load: more requests wait than can be served in time. Guards against an estimate of the wait that refuses a retry: its
// client does not retry again, while the clients of new requests do.
func TestRetryWaitsDespiteOverload(t *testing.T) {
	t.Parallel()
	f := newFixture(upstream("x", shop, 1))
	first := requireGranted(t, f.Submit(start, request(shop, start)))
	f.Done(start, first, admitter.Served{FirstByte: time.Second, Total: 4 * time.Second})
	requireGranted(t, f.Submit(start, request(shop, start)))
	for decision(f.Submit(start, request(shop, start))) == nil {
	}
	retry := request(shop, start)
	retry.NoClientRetry = true
	ticket := f.Submit(start, retry)
	require.Nil(t, decision(ticket))
	f.Tick(retry.GrantUntil)
	require.Equal(t, admitter.ReasonDeadline, requireRefused(t, ticket).Reason)
}

// Load: a group opens while every gateway has a queue. Guards against ranks that prefill the prompts of all queues at
// once, so that clients leave before their first byte, and against a gateway with many clients that is limited to its
// share.
func TestStartsAreLimitedWhenAGroupOpens(t *testing.T) {
	t.Parallel()
	f := newFixture(upstream("x", model, 100), upstream("y", model, 100))
	f.SetGateways(2)
	f.GroupClosed(start, modelGroup)
	now := start.Add(time.Second)
	submit := func() *admitter.Ticket {
		r := request(model, now)
		r.NoClientRetry, r.Stream = true, true
		return f.Submit(now, r)
	}
	var waiting []*admitter.Ticket
	for range 40 {
		waiting = append(waiting, submit())
	}
	takeGranted := func() []admitter.Granted {
		var out []admitter.Granted
		kept := waiting[:0]
		for _, ticket := range waiting {
			if g, ok := decision(ticket).(admitter.Granted); ok {
				out = append(out, g)
				continue
			}
			kept = append(kept, ticket)
		}
		waiting = kept
		return out
	}
	starting := takeGranted()
	f.GroupOpened(now, modelGroup)
	starting = append(starting, takeGranted()...)
	require.Len(t, starting, 2)

	round := func(firstByte time.Duration) {
		for len(waiting) < 100 {
			waiting = append(waiting, submit())
		}
		now = now.Add(firstByte)
		f.RecordProgress(now, "x", 0)
		for _, g := range starting {
			f.RecordFirstByte(now, g)
		}
		starting = takeGranted()
	}
	// Each fast first byte lets more requests start.
	for range 4 {
		round(100 * time.Millisecond)
	}
	afterFast := len(starting)
	require.Greater(t, afterFast, 4)
	require.Less(t, afterFast, 20)
	// Slow first bytes shrink the window again.
	for range 4 {
		round(500 * time.Millisecond)
	}
	require.Less(t, len(starting), afterFast)
	require.NotEmpty(t, starting)
}

// Guards against requests to an upstream that has ended while its list entry remains beside that of its successor at the
// same address, and against a newer entry that hides an upstream although its own upstream does not answer there.
func TestSupersededListEntryGetsNoRequests(t *testing.T) {
	t.Parallel()
	ended, successor := upstream("x", shop, 4), upstream("y", shop, 4)
	successor.Address, successor.Version = ended.Address, 2
	f := newFixture(ended, successor)
	first := requireGranted(t, f.Submit(start, request(shop, start)))
	require.Equal(t, successor.ID, first.Upstream.ID)
	require.Equal(t, successor.ID, requireGrantedUpstream(t, f.Submit(start, request(shop, start))))
	f.Done(start, first, admitter.Replaced{})
	require.Equal(t, ended.ID, requireGrantedUpstream(t, f.Submit(start, request(shop, start))))
}

// Load: 8 gateways have a queue each, and nearly all slots are in use. Guards against ranks that receive several times
// what they can run because all gateways see the same few free slots in counts that are 200 ms old.
func TestFreeSlotsAreDividedAmongGateways(t *testing.T) {
	t.Parallel()
	const gateways, ranks, slots = 8, 16, 12
	var upstreams []cataloguer.Upstream
	for i := range ranks {
		upstreams = append(upstreams, upstream(identifier.Upstream(fmt.Sprint("rank", i)), model, slots))
	}
	random := rand.New(rand.NewPCG(1, 1))
	fixtures := make([]*fixture, gateways)
	for i := range fixtures {
		fixtures[i] = newFixtureWithDraw(random.Float64, upstreams...)
		fixtures[i].SetGateways(gateways)
	}
	var running []admitter.Granted
	// owners are the gateways of the running requests.
	var owners []int
	waiting := make([][]*admitter.Ticket, gateways)
	now := start
	maxRunning := 0
	for range 50 {
		now = now.Add(200 * time.Millisecond)
		reported := make([]map[identifier.Upstream]int, gateways)
		for i, f := range fixtures {
			reported[i] = f.Running()
		}
		// A tenth of the requests ends. Each gateway has more waiting requests than it can send.
		for i := 0; i < len(running); i++ {
			if random.Float64() < 0.1 {
				fixtures[owners[i]].Done(now, running[i], admitter.Served{FirstByte: 100 * time.Millisecond, Total: 2 * time.Second})
				running, owners = slices.Delete(running, i, i+1), slices.Delete(owners, i, i+1)
			}
		}
		for i, f := range fixtures {
			peerRunning := map[identifier.Upstream]int{}
			for j := range reported {
				for u, n := range reported[j] {
					if j != i {
						peerRunning[u] += n
					}
				}
			}
			f.RecordProgress(now, "rank0", 0)
			f.SetPeerRunning(now, peerRunning)
			for len(waiting[i]) < 60 {
				r := request(model, now)
				r.NoClientRetry, r.OnTimeUntil, r.GrantUntil = true, now.Add(time.Hour), now.Add(time.Hour)
				waiting[i] = append(waiting[i], f.Submit(now, r))
			}
			for granted := true; granted; {
				granted = false
				kept := waiting[i][:0]
				for _, ticket := range waiting[i] {
					g, ok := decision(ticket).(admitter.Granted)
					if !ok {
						kept = append(kept, ticket)
						continue
					}
					running, owners = append(running, g), append(owners, i)
					f.RecordFirstByte(now, g)
					granted = true
				}
				waiting[i] = kept
			}
		}
		counts := map[identifier.Upstream]int{}
		for _, g := range running {
			counts[g.Upstream.ID]++
		}
		for _, n := range counts {
			maxRunning = max(maxRunning, n)
		}
	}
	require.LessOrEqual(t, maxRunning, slots*4/3)
	require.Greater(t, len(running), ranks*slots*3/4)
}

// Load: the backlog of an outage is served while new requests arrive. Guards against late requests that take the last
// free slots, so that no request is on time while the backlog lasts.
func TestSlotsAreReservedForRequestsThatCanBeOnTime(t *testing.T) {
	t.Parallel()
	f := newFixture(upstream("x", model, 20), upstream("y", model, 20))
	f.SetGateways(1)
	f.SetPeerRunning(start, nil)
	submitLate := func() *admitter.Ticket {
		r := request(model, start)
		r.OnTimeUntil, r.NoClientRetry = time.Time{}, true
		ticket := f.Submit(start, r)
		return ticket
	}
	granted := 0
	for range 40 {
		g, ok := decision(submitLate()).(admitter.Granted)
		if !ok {
			break
		}
		f.RecordFirstByte(start, g)
		granted++
	}
	require.Greater(t, granted, 30)
	require.Less(t, granted, 40)
	requireGrantedUpstream(t, f.Submit(start, request(model, start)))
}

// Guards against plain responses of a group that count as waiting for their first byte until they end, so that only a
// few run at a time.
func TestPlainResponsesAreNotStarts(t *testing.T) {
	t.Parallel()
	f := newFixture(upstream("x", model, 40))
	f.SetGateways(8)
	for range 20 {
		f.RecordProgress(start, "x", 0)
		requireGrantedUpstream(t, f.Submit(start, request(model, start)))
	}
}

// Guards against an upstream that is avoided because it closes a connection now and then, and against one that gets new
// requests while it leaves and its list entry does not say so yet.
func TestUpstreamThatClosesConnectionsInARowIsAvoided(t *testing.T) {
	t.Parallel()
	f := newFixture(upstream("x", shop, 4))
	serve := func(closing bool) {
		g := requireGranted(t, f.Submit(start, request(shop, start)))
		f.Done(start, g, admitter.Served{FirstByte: time.Millisecond, Total: time.Millisecond, Closing: closing})
	}
	serve(true)
	serve(false)
	serve(true)
	serve(true)
	waiting := f.Submit(start, request(shop, start))
	require.Nil(t, decision(waiting))
	f.Tick(start.Add(300 * time.Millisecond))
	requireGranted(t, waiting)
}

// Guards against a group that closes to requests again right after it opened, because the report of a peer is older than
// the opening.
func TestOldReportDoesNotCloseAnOpenedGroup(t *testing.T) {
	t.Parallel()
	f := newFixture(upstream("x", model, 4))
	now := start
	closed := func() bool {
		ticket := f.Submit(now, request(model, now))
		if g, granted := decision(ticket).(admitter.Granted); granted {
			f.Done(now, g, admitter.Cancelled{})
			return false
		}
		f.Withdraw(now, ticket)
		return true
	}
	f.GroupClosed(now, modelGroup)
	require.True(t, closed())
	now = now.Add(3 * time.Second)
	f.GroupOpened(now, modelGroup)
	now = now.Add(time.Second)
	f.GroupClosed(now, modelGroup)
	require.False(t, closed())
	now = now.Add(200 * time.Millisecond)
	f.GroupClosed(now, modelGroup)
	require.True(t, closed())
}

// Guards against a probe of a closed group that is skipped because no upstream could take it at its time: the next one
// would follow an interval later.
func TestProbeWaitsForAnUpstream(t *testing.T) {
	t.Parallel()
	f := newFixture(upstream("x", model, 1))
	f.SetGateways(40)
	running := requireGranted(t, f.Submit(start, request(model, start)))
	f.GroupClosed(start, modelGroup)
	now := start.Add(3 * time.Second)
	retry := request(model, now)
	retry.NoClientRetry = true
	ticket := f.Submit(now, retry)
	require.Nil(t, decision(ticket))
	f.Done(now.Add(300*time.Millisecond), running, admitter.Cancelled{})
	requireGranted(t, ticket)
}

// Guards against isolated requests of several gateways on different upstreams, each of which they may crash, against one
// that probes a closed group, and against one that blocks the requests behind it.
func TestIsolatedRequestsShareAnUpstream(t *testing.T) {
	t.Parallel()
	var upstreams []cataloguer.Upstream
	for i := range 8 {
		upstreams = append(upstreams, upstream(identifier.Upstream(fmt.Sprint("rank", i)), model, 1))
	}
	chosen := map[identifier.Upstream]bool{}
	for range 6 {
		f := newFixtureWithDraw(rand.Float64, upstreams...)
		f.SetGateways(6)
		isolated := request(model, start)
		isolated.IsolateBy = "part"
		chosen[requireGrantedUpstream(t, f.Submit(start, isolated))] = true
		waiting := f.Submit(start, isolated)
		require.Nil(t, decision(waiting))
		requireGranted(t, f.Submit(start, request(model, start)))
		f.GroupClosed(start.Add(2*time.Second), modelGroup)
		again := request(model, start.Add(3*time.Second))
		again.IsolateBy, again.NoClientRetry = "another", true
		require.Nil(t, decision(f.Submit(start.Add(3*time.Second), again)))
	}
	require.Len(t, chosen, 1)

	f := newFixture(upstream("x", shop, 1), upstream("y", shop, 1))
	isolated := request(shop, start)
	isolated.IsolateBy = "part"
	first := requireGranted(t, f.Submit(start, isolated))
	f.Done(start, first, admitter.Unreachable{})
	second := requireGranted(t, f.Submit(start, isolated))
	require.NotEqual(t, first.Upstream.ID, second.Upstream.ID, "the first one has crashed")
}

// Guards against requests that a stopping gateway starts although they usually take longer than it has left, against a
// refusal of those that will be complete, and against one of requests that end earlier in any case.
func TestRequestsAreRefusedThatWouldOutlastTheStop(t *testing.T) {
	t.Parallel()
	f := newFixture(upstream("x", shop, 1))
	for i := range 20 {
		f.Done(start, requireGranted(t, f.Submit(start, request(shop, start))), admitter.Served{Total: time.Duration(1800+400*(i%2)) * time.Millisecond})
	}
	running := requireGranted(t, f.Submit(start, request(shop, start)))
	f.StopAt(start, start.Add(4*time.Second))
	waiting := f.Submit(start, request(shop, start))
	require.Nil(t, decision(waiting))
	late := start.Add(1650 * time.Millisecond)
	f.Tick(late)
	require.Equal(t, admitter.ReasonStopping, requireRefused(t, waiting).Reason)
	f.Done(late, running, admitter.Served{Total: 2 * time.Second})
	refused := requireRefused(t, f.Submit(late, request(shop, late)))
	require.Equal(t, admitter.Refused{Reason: admitter.ReasonStopping, RetryAfter: 100 * time.Millisecond}, refused)
	short := request(shop, late)
	short.Deadline = late.Add(2 * time.Second)
	requireGranted(t, f.Submit(late, short))
}
