package gatewayrunner_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against gateways that each have to be rejected by an upstream which has asked one of them for a pause, or which
// has told one of them that it leaves.
func TestNoticesOfUpstreamsAreKnownToAllGateways(t *testing.T) {
	d := newDeployment(t)
	d.register()
	d.configure(1, "/a/")
	first := d.start(t, "127.0.0.1", 17352, "", d.storeAddress)
	second := d.start(t, "127.0.0.2", 17352, "127.0.0.1:1", d.storeAddress)
	for _, g := range []*gateway{first, second} {
		require.Eventually(t, func() bool { return g.isReady(t) }, timeout, 10*time.Millisecond)
		require.Eventually(t, func() bool { return strings.Contains(g.log.String(), "peer gateway is live") }, timeout, 10*time.Millisecond)
	}
	hears := func(text string) func() bool {
		return func() bool {
			for _, line := range strings.Split(second.log.String(), "\n") {
				if strings.Contains(line, `"event":739`) && strings.Contains(line, text) {
					return true
				}
			}
			return false
		}
	}
	code, _ := first.sendWith(t, "/a/", "rejected-1", http.Header{"Test-Pause": {"60"}})
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Eventually(t, hears(`"observer":"node-127.0.0.1"`), timeout, 10*time.Millisecond)
	code, _ = first.send(t, "/a/", "2")
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Zero(t, d.runs("2"), "the pause is kept")
	code, _ = second.sendWith(t, "/a/", "3", http.Header{"Test-Leaving": {"1"}})
	require.Equal(t, http.StatusOK, code, "the notice of another gateway is advice")
	code, _ = second.send(t, "/a/", "4")
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Zero(t, d.runs("4"))
}

// runs returns the number of attempts of a request that reached the upstream.
func (d *deployment) runs(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runsByRequest[id]
}
