package verifier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that does not reach an upstream, or an answer that does not come back whole.
func TestRequestThroughAllProcesses(t *testing.T) {
	t.Parallel()
	s := newSite(t, smallPlan())
	s.ask(30, 8, 5*time.Millisecond)
	summary := s.verdicts()
	require.Equal(t, 30, summary.Complete, summary)
}
