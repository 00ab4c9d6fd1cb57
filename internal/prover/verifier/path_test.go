package verifier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that does not reach an upstream, and against an incomplete response.
func TestRequestThroughAllProcesses(t *testing.T) {
	t.Parallel()
	f := newFixture(t, smallPlan())
	f.sendModelRequests(30, 8, 5*time.Millisecond)
	summary := f.checkGuarantees()
	require.Equal(t, 30, summary.Complete, summary)
}
