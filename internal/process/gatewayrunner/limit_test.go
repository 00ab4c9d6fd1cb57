package gatewayrunner_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a gateway that does not learn of the rate limit of an upstream, or of its end, from others: one that runs
// already, and one that starts later.
func TestRateLimitIsKnownToAllGateways(t *testing.T) {
	d := newDeployment(t)
	d.register()
	d.configure(1, "/a/")
	d.setLimit("1.5")
	first := d.start(t, "127.0.0.1", 17347, "", d.storeAddress)
	second := d.start(t, "127.0.0.2", 17347, "127.0.0.1:1", d.storeAddress)
	for _, g := range []*gateway{first, second} {
		require.Eventually(t, func() bool { return g.isReady(t) }, timeout, 10*time.Millisecond)
		require.Eventually(t, func() bool { return strings.Contains(g.log.String(), "peer gateway is live") }, timeout, 10*time.Millisecond)
	}
	code, _ := first.send(t, "/a/", "1")
	require.Equal(t, http.StatusOK, code)
	third := d.start(t, "127.0.0.3", 17347, "127.0.0.1:1", d.storeAddress)
	for _, g := range []*gateway{second, third} {
		require.Eventually(t, func() bool { return strings.Contains(g.log.String(), `"limitPerS":1.5`) }, timeout, 10*time.Millisecond)
	}
	d.setLimit("")
	n := 0
	require.Eventually(t, func() bool {
		n++
		code, _ := second.send(t, "/a/", fmt.Sprint("again", n))
		return code == http.StatusOK
	}, timeout, 10*time.Millisecond)
	require.Eventually(t, func() bool { return strings.Contains(third.log.String(), `"limited":false`) }, timeout, 10*time.Millisecond)
}

func (d *deployment) setLimit(limit string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limit = limit
}
