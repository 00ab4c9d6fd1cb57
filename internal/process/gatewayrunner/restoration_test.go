package gatewayrunner_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against gateways that new ones do not find, and crashes that a restart of all forgets, because the store has lost
// the rows that gateways write.
func TestRowsOfGatewaysAreWrittenAgainAfterRestoration(t *testing.T) {
	d := newDeployment(t)
	u := newCrashingUpstream(t)
	d.upstreamAddress = u.listener.Addr().String()
	d.register()
	d.store.Put("op", "config", streamConfig)
	backup := d.store.Copy()
	g := d.start(t, "127.0.0.1", 17350, "", d.storeAddress)
	require.Eventually(t, func() bool { return g.isReady(t) }, timeout, 10*time.Millisecond)
	code, _ := g.sendPrompt(t, "1", "subject:40,deadly:100,own:200")
	require.Equal(t, http.StatusBadGateway, code)
	for _, table := range []string{"nodes", "crashes"} {
		require.Eventually(t, func() bool { return len(d.store.Keys(table)) == 1 }, timeout, 10*time.Millisecond, table)
	}
	d.store.Restore(backup)
	for _, table := range []string{"nodes", "crashes"} {
		require.Empty(t, d.store.Keys(table))
	}
	for _, table := range []string{"nodes", "crashes"} {
		require.Eventually(t, func() bool { return len(d.store.Keys(table)) == 1 }, timeout, 10*time.Millisecond, table)
	}
}
