package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/quarantiner"
)

var start = time.Unix(1_000_000, 0)

// Guards against a request that crashes a third upstream, and against a suspicion that never expires.
func TestVerdictFollowsCrashes(t *testing.T) {
	t.Parallel()
	a, b := quarantiner.New(quarantiner.Config{}), quarantiner.New(quarantiner.Config{})
	require.Equal(t, quarantiner.VerdictClear, a.Verdict(start, "d"))
	a.RecordCrash(start, "u1/b1", []identifier.Digest{"d", "d", "", "other"})
	require.Equal(t, quarantiner.VerdictAlone, a.Verdict(start, "d"), "one crash must count once")
	b.Merge(start.Add(time.Second), a.Suspicions(start.Add(time.Second)))
	b.Merge(start.Add(time.Second), a.Suspicions(start.Add(time.Second)))
	require.Equal(t, quarantiner.VerdictAlone, b.Verdict(start.Add(time.Second), "d"), "a repeated report must not count as a second crash")
	b.RecordCrash(start.Add(2*time.Second), "u2/b1", []identifier.Digest{"d"})
	a.Merge(start.Add(3*time.Second), b.Suspicions(start.Add(3*time.Second)))
	require.Equal(t, quarantiner.VerdictRefuse, a.Verdict(start.Add(3*time.Second), "d"))
	require.Equal(t, quarantiner.VerdictAlone, a.Verdict(start.Add(3*time.Second), "other"))
	b.Merge(start.Add(3*time.Second), []messenger.Suspicion{{Digest: "d", Crashes: []identifier.Crash{"u1/b1"}, Age: time.Minute}})
	require.Equal(t, quarantiner.VerdictRefuse, b.Verdict(start.Add(3*time.Second), "d"), "an older report must not lower the count")
	end := start.Add(10*time.Minute + 2*time.Second)
	require.Equal(t, quarantiner.VerdictRefuse, b.Verdict(end.Add(-time.Nanosecond), "d"))
	require.Equal(t, quarantiner.VerdictClear, b.Verdict(end, "d"))
	require.Empty(t, b.Suspicions(end))
}

// Guards against delayed reports between two processes that keep a suspicion from expiring.
func TestDelayedReportsExpire(t *testing.T) {
	t.Parallel()
	processes := []*quarantiner.Quarantiner{quarantiner.New(quarantiner.Config{}), quarantiner.New(quarantiner.Config{})}
	processes[0].RecordCrash(start, "u1/b1", []identifier.Digest{"d"})
	now := start
	for i := range 1300 {
		report := processes[i%2].Suspicions(now)
		now = now.Add(500 * time.Millisecond)
		processes[(i+1)%2].Merge(now, report)
	}
	require.Equal(t, quarantiner.VerdictClear, processes[0].Verdict(now, "d"))
	require.Equal(t, quarantiner.VerdictClear, processes[1].Verdict(now, "d"))
}

// Guards against memory use and heartbeats that grow with the number of digests, and against a flood of new suspicions
// that displaces that of a refused digest.
func TestNumberOfSuspicionsIsLimited(t *testing.T) {
	t.Parallel()
	q := quarantiner.New(quarantiner.Config{MaxDigests: 100})
	q.Merge(start, []messenger.Suspicion{{Digest: "refused", Crashes: []identifier.Crash{"u1/b1", "u2/b1"}}})
	for i := range 1000 {
		q.Merge(start.Add(time.Second), []messenger.Suspicion{{Digest: identifier.Digest(fmt.Sprint(i)), Crashes: []identifier.Crash{"u1/b1"}}})
	}
	known := 0
	for i := range 1000 {
		if q.Verdict(start.Add(time.Second), identifier.Digest(fmt.Sprint(i))) != quarantiner.VerdictClear {
			known++
		}
	}
	require.Equal(t, 99, known)
	require.Equal(t, quarantiner.VerdictRefuse, q.Verdict(start.Add(time.Second), "refused"))
	require.Len(t, q.Suspicions(start.Add(time.Second)), 64)
}

// Guards against two upstreams that crash at the same moment and count as one crash, which would permit a third crash.
func TestSimultaneousCrashesCountSeparately(t *testing.T) {
	t.Parallel()
	a, b := quarantiner.New(quarantiner.Config{}), quarantiner.New(quarantiner.Config{})
	a.RecordCrash(start, "u1/b1", []identifier.Digest{"d"})
	b.RecordCrash(start, "u2/b1", []identifier.Digest{"d"})
	a.Merge(start, b.Suspicions(start))
	require.Equal(t, quarantiner.VerdictRefuse, a.Verdict(start, "d"))
}
