package gatewayrunner_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// configureLimits writes a configuration with limits of client requests.
func (d *deployment) configureLimits(version int, limits string) {
	d.store.Put("op", "config", fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h.example","prefix":"/a/","kind":"idempotent",`+
		`"timeoutMs":4000,"sloMs":200,"service":"s","attempts":1}],"services":[{"name":"s"}],"limits":{%s}}`, version, limits))
}

// Guards against connections that clients have kept from before a new configuration, or from before the first one, and on which
// its limit of heads does not hold, and against a limit that is not followed without a word (review case 15).
func TestKeptConnectionsHaveTheNewLimitOfHeads(t *testing.T) {
	d := newDeployment(t)
	d.register()
	d.configureLimits(1, "")
	g := d.start(t, "127.0.0.1", 17361, "", d.storeAddress)
	kept := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer kept.CloseIdleConnections()
	send := func(id string, bytes int) int {
		code, _ := g.sendBy(t, kept, "/a/", id, http.Header{"Long": {strings.Repeat("x", bytes)}})
		return code
	}
	require.Eventually(t, func() bool { return send("1", 1000) == http.StatusOK }, timeout, 10*time.Millisecond)
	d.configureLimits(2, `"maxHeaderBytes":131072,"headerTimeoutMs":90000`)
	require.Eventually(t, func() bool { return strings.Contains(g.log.String(), `"configVersion":2`) }, timeout, 10*time.Millisecond)
	require.Equal(t, http.StatusOK, send("2", 100_000))
	require.Contains(t, g.log.String(), "limit of 1m30s for heads of clients: 1m0s is used")
	d.configureLimits(3, `"maxHeaderBytes":16384`)
	require.Eventually(t, func() bool { return strings.Contains(g.log.String(), `"configVersion":3`) }, timeout, 10*time.Millisecond)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, send("3", 30_000))
}
