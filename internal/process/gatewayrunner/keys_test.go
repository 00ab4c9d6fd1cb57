package gatewayrunner_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// configureTenants writes a configuration with a list of tenants.
func (d *deployment) configureTenants(version int, tenants string) {
	d.store.Put("op", "config", fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h.example","prefix":"/a/","kind":"idempotent",`+
		`"timeoutMs":4000,"sloMs":200,"service":"s","attempts":1}],"services":[{"name":"s"}],"tenants":%s}`, version, tenants))
}

// Guards against gateways that run all requests after the last key was dropped, also after a start that gets the
// configuration from the store, and for clients that name a customer themselves.
func TestNoRequestRunsAfterTheLastKeyIsDropped(t *testing.T) {
	d := newDeployment(t)
	d.register()
	d.configureTenants(1, `[{"name":"t","apiKeys":["k"]},{"name":"u","apiKeys":["m"]}]`)
	first := d.start(t, "127.0.0.1", 17360, "", d.storeAddress)
	require.Eventually(t, func() bool { code, _ := first.send(t, "/a/", "before"); return code == http.StatusOK }, timeout, 10*time.Millisecond)
	d.configureTenants(2, `[{"name":"t"},{"name":"u","apiKeys":["m"]}]`)
	d.configureTenants(3, `[{"name":"t"},{"name":"u"}]`)
	require.Eventually(t, func() bool { code, _ := first.send(t, "/a/", "between"); return code == http.StatusUnauthorized }, 2*time.Second, 10*time.Millisecond)
	second := d.start(t, "127.0.0.2", 17360, "127.0.0.1:1", d.storeAddress)
	require.Eventually(t, func() bool { return second.isReady(t) }, timeout, 10*time.Millisecond)
	for i, g := range []*gateway{first, second} {
		for j, key := range []string{"k", "m", "invented", ""} {
			id := fmt.Sprint("after-", i, "-", j)
			code, _ := g.sendWith(t, "/a/", id, http.Header{"Credential": {key}, "Tenant": {"t"}})
			require.Equal(t, http.StatusUnauthorized, code, key)
			require.Zero(t, d.runs(id))
		}
	}
	require.Contains(t, first.log.String(), `"reason":"unknown key (dropped key of \"t\")"`)
	require.Contains(t, first.log.String(), `"reason":"unknown key (no key)"`)
	require.NotContains(t, first.log.String(), "invented")
}
