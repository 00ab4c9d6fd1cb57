package rankchecker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/mapswitcher"
	"currantledge.example/currantledge/internal/version/rankchecker"
)

const passTime = 30 * time.Millisecond

// reader reads counts with a Checker.
type reader struct {
	checker *rankchecker.Checker
	now     time.Time
}

func newReader(step identifier.Step) *reader {
	r := &reader{checker: rankchecker.New(rankchecker.Config{Shape: shape, PassTime: passTime}), now: time.Unix(0, 0)}
	r.checker.Expect(rankchecker.Step{Step: step, At: r.now})
	return r
}

// read checks counts that a rank answers after some time; all counts are n.
func (r *reader) read(after time.Duration, upstream identifier.Upstream, step identifier.Step, n float64) error {
	r.now = r.now.Add(after)
	counts := make([]float64, shape.Sets*shape.Experts)
	for i := range counts {
		counts[i] = n
	}
	return r.checker.CheckCounts(r.now, upstream, 1, mapswitcher.Counts{Step: step, Epoch: 1, Counts: counts})
}

// Guards against a misread step that becomes the step of a hold, and against sound steps that are rejected for good after a
// pause or after a wrong one that was believed.
func TestUnlikelyStepsNeedConfirmation(t *testing.T) {
	t.Parallel()
	r := newReader(40)
	require.NoError(t, r.read(time.Second, "a", 60, 1))
	require.NoError(t, r.read(0, "b", 59, 1), "read at the same time")
	requireRejected(t, r.read(0, "a", 160, 1), "step", "160")
	require.NoError(t, r.read(0, "a", 61, 1), "the rank is asked again")
	requireRejected(t, r.read(time.Second, "b", 8, 1), "step", "8")
	requireRejected(t, r.read(0, "a", 1080, 1), "step", "1080")
	require.NoError(t, r.read(0, "b", 82, 1))

	requireRejected(t, r.read(time.Hour, "a", 50000, 1), "step", "50000")
	require.NoError(t, r.read(0, "b", 50001, 1), "two answers agree")
	requireRejected(t, r.read(0, "a", 150001, 1), "step", "150001")
	require.NoError(t, r.read(0, "a", 50001, 1))

	// Two wrong answers in a row are believed, until the sound ones are repeated.
	requireRejected(t, r.read(0, "a", 150002, 1), "step", "150002")
	require.NoError(t, r.read(0, "a", 150002, 1))
	requireRejected(t, r.read(0, "b", 50002, 1), "step", "50002")
	require.NoError(t, r.read(0, "a", 50002, 1))
	require.NoError(t, r.read(0, "b", 50002, 1))
}

// Guards against counts of which digits are missing, which would make the next ones look like a large demand.
func TestCountsNeverDecrease(t *testing.T) {
	t.Parallel()
	r := newReader(0)
	require.NoError(t, r.read(0, "a", 1, 5000))
	require.NoError(t, r.read(0, "b", 1, 100), "another rank")
	requireRejected(t, r.read(0, "a", 2, 520), "count 0", "520")
	require.NoError(t, r.read(0, "a", 2, 5200))
	require.NoError(t, r.read(0, "a", 3, 95300), "possible")
	requireRejected(t, r.read(0, "a", 3, 5300), "count 0", "5300")
	require.NoError(t, r.read(0, "a", 3, 5301), "confirmed")
	requireRejected(t, r.read(0, "a", 4, 5300), "count 0", "5300")
	requireRejected(t, r.read(0, "a", 4, 530), "count 0", "530")
	require.NoError(t, r.read(0, "a", 4, 5400))
	require.NoError(t, r.checker.CheckCounts(r.now, "a", 1, mapswitcher.Counts{Step: 1, Epoch: 2, Counts: make([]float64, 8)}), "another epoch")
}
