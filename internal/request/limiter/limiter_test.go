package limiter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/federator"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/limiter"
)

var start = time.Unix(1_000_000, 0)

// newFleet returns limiters of gateways that all know the limit of an upstream.
func newFleet(gateways int, perSecond float64) []*limiter.Limiter {
	var fleet []*limiter.Limiter
	for i := range gateways {
		draw := rand.New(rand.NewPCG(1, uint64(i)))
		l := limiter.New(limiter.Config{Draw: draw.Float64})
		l.Record(start, "u", true, perSecond)
		fleet = append(fleet, l)
	}
	return fleet
}

// Load: all gateways always have a request for one limited upstream, after they had none for a while. Guards against a
// fleet that exceeds the limit because each gateway may send at the same time, and against one that leaves it unused.
func TestFleetKeepsToTheLimit(t *testing.T) {
	t.Parallel()
	for _, gateways := range []int{1, 7, 44, 148, 320} {
		for _, perSecond := range []float64{0.5, 2, 10, 60} {
			fleet := newFleet(gateways, perSecond)
			var sent []time.Time
			for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(50 * time.Millisecond) {
				isIdle := now.Before(start.Add(10 * time.Second))
				for _, l := range fleet {
					for l.Allows(now, "u", 1/float64(gateways), false) && !isIdle {
						l.Take("u", 1/float64(gateways))
						sent = append(sent, now)
					}
				}
			}
			for i, first := range sent {
				n := 0
				for _, at := range sent[i:] {
					if at.Sub(first) < 4*time.Second {
						n++
					}
				}
				require.LessOrEqual(t, float64(n), 1.5*perSecond*4+5, "%d gateways, limit %v", gateways, perSecond)
			}
			require.Greater(t, float64(len(sent)), 0.8*30*perSecond-2, "%d gateways, limit %v", gateways, perSecond)
		}
	}
}

// Guards against a limit of nothing that is never tried again.
func TestEndOfALimitIsNoticed(t *testing.T) {
	t.Parallel()
	l := newFleet(1, 0)[0]
	allowed := 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(50 * time.Millisecond) {
		if l.Allows(now, "u", 1, false) {
			l.Take("u", 1)
			allowed++
		}
	}
	require.InDelta(t, 6, allowed, 1)
	require.True(t, l.Record(start.Add(time.Minute), "u", false, 0))
	require.False(t, l.Record(start.Add(time.Minute), "u", false, 0))
	require.True(t, l.Allows(start.Add(time.Minute), "u", 1, true))
}

// Guards against a suspended gateway that brings back a limit which ended meanwhile, and against one that does not learn
// of a limit from others.
func TestLatestResponseCounts(t *testing.T) {
	t.Parallel()
	fleet := newFleet(2, 2)
	awake, suspended := fleet[0], fleet[1]
	old := suspended.Report()
	require.True(t, awake.Record(start.Add(10*time.Second), "u", false, 0))
	require.Empty(t, awake.Merge(start.Add(11*time.Second), old))
	require.Len(t, suspended.Merge(start.Add(11*time.Second), awake.Report()), 1)
	_, limited := suspended.Limit("u")
	require.False(t, limited)
	require.True(t, suspended.Record(start.Add(12*time.Second), "u", true, 3))
	require.Equal(t, []identifier.Upstream{"u"}, awake.Merge(start.Add(12*time.Second), suspended.Report()))
	perSecond, limited := awake.Limit("u")
	require.True(t, limited)
	require.InDelta(t, 3, perSecond, 0)
	require.Empty(t, awake.Merge(start.Add(13*time.Second), map[identifier.Upstream]federator.UpstreamLimit{
		"u": {Limited: true, PerSecond: 3, At: start.Add(12*time.Second + 5*time.Millisecond)},
	}))
}

// Guards against state that outlives its upstream, and against the end of a limit that is kept for ever.
func TestStateIsBounded(t *testing.T) {
	t.Parallel()
	l := newFleet(1, 2)[0]
	l.Record(start, "gone", true, 1)
	l.Record(start, "ended", true, 1)
	l.Record(start, "ended", false, 0)
	l.Retain(start.Add(2*time.Minute), func(id identifier.Upstream) bool { return id != "gone" })
	require.Len(t, l.Report(), 1)
	require.Contains(t, l.Report(), identifier.Upstream("u"))
}
