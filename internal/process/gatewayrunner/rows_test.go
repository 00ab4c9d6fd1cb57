package gatewayrunner_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a gateway that stops serving requests or following the tables after another writer left an odd row.
func TestOddRowsOfUpstreamsDoNotStopTheGateway(t *testing.T) {
	d := newDeployment(t)
	d.register()
	d.configure(1, "/a/")
	upstream := func(slots, address string) string {
		return fmt.Sprintf(`{"service":"s","address":"%s","zone":"a","slots":%s,"state":"ready"}`, address, slots)
	}
	d.store.Put("servers", "slots", upstream("9223372036854775807", d.upstreamAddress))
	d.store.Put("servers", "number", upstream("1e400", d.upstreamAddress))
	d.store.Put("servers", "nested", strings.Repeat("[", 1<<18))
	d.store.Put("servers", "port", upstream("4", "127.0.0.1:99999"))
	d.store.Put("servers", "text", "\xff\x00")
	g := d.start(t, "127.0.0.1", 17520, "", d.storeAddress)
	require.Eventually(t, func() bool {
		code, _ := g.send(t, "/a/", "first")
		return code == http.StatusOK
	}, timeout, 10*time.Millisecond)
	for i := range 20 {
		code, body := g.send(t, "/a/", fmt.Sprintf("odd-%d", i))
		require.Equal(t, http.StatusOK, code, body)
	}
	d.store.Put("servers", "slots", upstream("9223372036854775806", d.upstreamAddress))
	d.configure(2, "/a/", "/b/")
	require.Eventually(t, func() bool {
		code, _ := g.send(t, "/b/", "changed")
		return code == http.StatusOK
	}, timeout, 10*time.Millisecond)
	require.Equal(t, 1, strings.Count(g.log.String(), `row of upstream \"port\"`))
}
