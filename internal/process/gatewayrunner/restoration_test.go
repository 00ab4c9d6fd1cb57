package gatewayrunner_test

import (
	"net/http"
	"strings"
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

// Guards against a gateway that starts after the store was restored and rejects requests for routes of a configuration
// that its peers know and the store does not.
func TestGatewayStartedAfterRestorationKnowsThePeersConfiguration(t *testing.T) {
	d := newDeployment(t)
	d.register()
	d.configure(1, "/a/")
	first := d.start(t, "127.0.0.1", 17351, "", d.storeAddress)
	require.Eventually(t, func() bool { return first.isReady(t) }, timeout, 10*time.Millisecond)
	backup := d.store.Copy()
	d.configure(2, "/a/", "/added/")
	serves := func(g *gateway, id string) func() bool {
		return func() bool { code, _ := g.send(t, "/added/", id); return code == http.StatusOK }
	}
	require.Eventually(t, serves(first, "1"), timeout, 10*time.Millisecond)
	d.store.Restore(backup)
	require.Eventually(t, func() bool { return strings.Contains(first.log.String(), `"event":738`) }, timeout, 10*time.Millisecond)
	require.True(t, serves(first, "2")())
	second := d.start(t, "127.0.0.2", 17351, "127.0.0.1:1", d.storeAddress)
	require.Eventually(t, func() bool { return second.isReady(t) }, timeout, time.Millisecond)
	require.True(t, serves(second, "3")())
}
