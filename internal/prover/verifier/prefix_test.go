package verifier_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/recorder"
)

// Guards against engines that cannot use their prefix caches because every request is sent with another prefix, and
// against a cached prefix of one customer that serves another.
func TestPrefixReachesEngines(t *testing.T) {
	t.Parallel()
	const requests = 12
	f := newFixture(t, smallPlan())
	system := strings.Repeat("the same rules for everybody ", 20)
	for number := range requests {
		m := f.modelRequest(0, number, 2)
		m.Prompt = system + m.Prompt
		f.caller.SendModelRequest(f.ctx, f.Entries[0].CallerURL(), m)
	}
	require.GreaterOrEqual(t, f.prefixHits(), requests-f.Plan.Groups[0].Ranks, "only the first request at each engine misses the cache")
	before := f.prefixHits()
	other := f.modelRequest(1, requests, 2)
	other.Prompt = system + other.Prompt
	f.caller.SendModelRequest(f.ctx, f.Entries[0].CallerURL(), other)
	require.Equal(t, before, f.prefixHits(), "the cached prefix of another customer was used")
	require.Equal(t, requests+1, f.checkGuarantees().Complete)
}

// prefixHits returns the number of requests that found their prefix in an engine's cache.
func (f *fixture) prefixHits() int {
	f.t.Helper()
	records, err := recorder.Collect(f.ctx, f.runningSources())
	require.NoError(f.t, err)
	hits := 0
	for _, r := range records {
		for _, call := range r.Record.Calls {
			if call.PrefixHit {
				hits++
			}
		}
	}
	return hits
}
