package pauser_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/federator"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/pauser"
)

const id = identifier.Upstream("x")

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func newPauser() *pauser.Pauser {
	return pauser.New(pauser.Config{Draw: func() float64 { return 1 }})
}

// Guards against requests within a pause that an upstream has named, and against an upstream that a mistake takes out of
// use for hours.
func TestNamedPauseIsKept(t *testing.T) {
	t.Parallel()
	p := newPauser()
	p.Reject(at(0), id, 3*time.Second)
	p.Reject(at(1), id, 0)
	require.False(t, p.Allows(at(2.9), id))
	require.Equal(t, at(3.375), p.Until(at(1), id))
	require.True(t, p.Allows(at(3.4), id))
	p.Reject(at(4), id, 1000*time.Hour)
	require.False(t, p.Allows(at(299), id))
	require.True(t, p.Allows(at(305), id))
}

// Guards against an upstream that gets a flood of requests after a pause, and against one that stays in pauses because
// requests that it had accepted before go on.
func TestOneRequestIsTriedAfterAPause(t *testing.T) {
	t.Parallel()
	p := newPauser()
	p.Reject(at(0), id, 0)
	require.False(t, p.Allows(at(0.2), id))
	require.True(t, p.Allows(at(0.3), id))
	require.True(t, p.Take(id))
	require.False(t, p.Allows(at(0.3), id))
	p.Release(id)
	p.Reject(at(0.31), id, 0)
	require.False(t, p.Allows(at(0.8), id), "the second pause is twice as long")
	require.True(t, p.Allows(at(0.9), id))
	require.True(t, p.Take(id))
	p.Accept(at(1), id)
	require.True(t, p.Allows(at(1), id))
	require.False(t, p.Take(id))
}

// Guards against notices of other gateways that keep this one from an upstream: they are advice, they expire, and the end
// of a pause spreads.
func TestNoticesOfOthersAreAdvice(t *testing.T) {
	t.Parallel()
	p := newPauser()
	merge := func(now time.Time, n federator.UpstreamNotice) bool {
		return len(p.Merge(now, map[identifier.Upstream]federator.UpstreamNotice{id: n})) > 0
	}
	require.True(t, merge(at(0), federator.UpstreamNotice{Until: at(1000), At: at(500)}))
	require.True(t, p.Allows(at(1), id))
	require.True(t, p.IsDiscouraged(at(9), id))
	require.False(t, p.IsDiscouraged(at(11), id))
	require.Empty(t, p.Report(at(11)))

	p.Reject(at(20), id, 0)
	require.True(t, merge(at(20.15), federator.UpstreamNotice{At: at(20.15)}))
	require.True(t, p.Allows(at(20.15), id), "another gateway was served")
	p.Reject(at(30), id, 3*time.Second)
	require.True(t, merge(at(31), federator.UpstreamNotice{At: at(31)}))
	require.False(t, p.Allows(at(31), id), "the pause is named to this gateway")
	require.False(t, merge(at(32), federator.UpstreamNotice{Until: at(40), At: at(30)}), "older than what is known")
}
