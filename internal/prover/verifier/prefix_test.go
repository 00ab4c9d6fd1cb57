package verifier_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/recorder"
)

// Guards against engines that cannot use their prefix caches because every request names another prefix, and against a
// prefix that two customers share.
func TestPrefixReachesEngines(t *testing.T) {
	t.Parallel()
	const questions = 12
	s := newSite(t, smallPlan())
	system := strings.Repeat("the same rules for everybody ", 20)
	for number := range questions {
		q := s.question(0, number, 2)
		q.Prompt = system + q.Prompt
		s.caller.Ask(s.ctx, s.Entries[0].CallersURL(), q)
	}
	require.GreaterOrEqual(t, s.prefixHits(), questions-s.Plan.Groups[0].Ranks, "only the first request at each engine misses")
	before := s.prefixHits()
	stranger := s.question(1, questions, 2)
	stranger.Prompt = system + stranger.Prompt
	s.caller.Ask(s.ctx, s.Entries[0].CallersURL(), stranger)
	require.Equal(t, before, s.prefixHits(), "another customer's prefix was used")
	require.Equal(t, questions+1, s.verdicts().Complete)
}

// prefixHits counts the requests whose prefix an engine's cache held.
func (s *site) prefixHits() int {
	s.t.Helper()
	records, err := recorder.Collect(s.ctx, s.sources())
	require.NoError(s.t, err)
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
