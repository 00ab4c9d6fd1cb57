package gatewayrunner_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// streamConfig has one route with streams that may not be resumed.
const streamConfig = `{"version":1,"routes":[{"name":"r","host":"h.example","prefix":"/a/","kind":"streaming","timeoutMs":4000,"sloMs":400,"service":"s","attempts":2}],"services":[{"name":"s","engine":{}}],"limits":{"maxBodyBytes":100000},"tenants":[{"name":"t","apiKeys":["k"]}]}`

// crashingUpstream listens until it has begun its first response, or until its first request if it is silent.
type crashingUpstream struct {
	listener net.Listener
	requests atomic.Int32
	silent   bool
}

func newCrashingUpstream(t *testing.T) *crashingUpstream {
	t.Helper()
	return newCrashingUpstreamAt(t, "127.0.0.1:0", false)
}

func newCrashingUpstreamAt(t *testing.T, address string, silent bool) *crashingUpstream {
	t.Helper()
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	u := &crashingUpstream{listener: l, silent: silent}
	go u.serve()
	return u
}

func (u *crashingUpstream) serve() {
	c, err := u.listener.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	u.requests.Add(1)
	_ = u.listener.Close()
	if u.silent {
		return
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nRunner-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Request-Id"))
}

// Guards against a gateway that sends requests with a part of a prompt that has crashed an upstream of another gateway:
// one that runs already, and one that starts later.
func TestCrashingPartIsKnownToAllGateways(t *testing.T) {
	d := newDeployment(t)
	u := newCrashingUpstream(t)
	d.upstreamAddress = u.listener.Addr().String()
	d.register()
	d.store.Put("op", "config", streamConfig)
	first := d.start(t, "127.0.0.1", 17345, "", d.storeAddress)
	second := d.start(t, "127.0.0.2", 17345, "127.0.0.1:1", d.storeAddress)
	for _, g := range []*gateway{first, second} {
		require.Eventually(t, func() bool { return g.isReady(t) }, timeout, 10*time.Millisecond)
		require.Eventually(t, func() bool { return strings.Contains(g.log.String(), "peer gateway is live") }, timeout, 10*time.Millisecond)
	}
	code, _ := first.sendPrompt(t, "1", "subject:40,deadly:100,own:200")
	require.Equal(t, http.StatusBadGateway, code)
	require.Eventually(t, func() bool { return strings.Contains(second.log.String(), `"event":728`) }, timeout, time.Millisecond)
	code, body := second.sendPrompt(t, "2", "subject:40,deadly:100,another:200")
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Contains(t, body, "crashes")

	third := d.start(t, "127.0.0.3", 17345, "127.0.0.2:1", d.storeAddress)
	require.Eventually(t, func() bool { return strings.Contains(third.log.String(), `"event":728`) }, timeout, time.Millisecond)
	require.Eventually(t, func() bool { return third.isReady(t) }, timeout, time.Millisecond)
	code, body = third.sendPrompt(t, "3", "subject:40,deadly:100,last:200")
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Contains(t, body, "crashes")
	require.Equal(t, int32(1), u.requests.Load())
	require.NotContains(t, third.log.String(), `"customer"`)
}

// Guards against a fleet that forgets which requests crash upstreams when all gateways restart at the same time.
func TestCrashingPartIsKnownAfterAllGatewaysRestart(t *testing.T) {
	d := newDeployment(t)
	u := newCrashingUpstream(t)
	d.upstreamAddress = u.listener.Addr().String()
	d.register()
	d.store.Put("op", "config", streamConfig)
	g := d.start(t, "127.0.0.1", 17346, "", d.storeAddress)
	require.Eventually(t, func() bool { return g.isReady(t) }, timeout, 10*time.Millisecond)
	code, _ := g.sendPrompt(t, "1", "subject:40,deadly:100,own:200")
	require.Equal(t, http.StatusBadGateway, code)
	require.Eventually(t, func() bool { return len(d.store.Keys("crashes")) == 1 }, timeout, time.Millisecond)
	g.stop()
	require.NoError(t, <-g.done)
	g.done <- nil
	again := d.start(t, "127.0.0.2", 17346, "", d.storeAddress)
	require.Eventually(t, func() bool { return again.isReady(t) }, timeout, time.Millisecond)
	code, body := again.sendPrompt(t, "2", "subject:40,deadly:100,another:200")
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Contains(t, body, "crashes")
	require.Equal(t, int32(1), u.requests.Load())
}

// Guards against gateways that each have to see for themselves that a plain request crashes its upstreams: one that runs
// already, one that starts later, and one that starts after all others have ended.
func TestCrashingPlainRequestIsKnownToAllGateways(t *testing.T) {
	d := newDeployment(t)
	u := newCrashingUpstreamAt(t, "127.0.0.1:0", true)
	d.upstreamAddress = u.listener.Addr().String()
	d.register()
	d.configure(1, "/a/")
	first := d.start(t, "127.0.0.1", 17355, "", d.storeAddress)
	second := d.start(t, "127.0.0.2", 17355, "127.0.0.1:1", d.storeAddress)
	for _, g := range []*gateway{first, second} {
		require.Eventually(t, func() bool { return g.isReady(t) }, timeout, 10*time.Millisecond)
		require.Eventually(t, func() bool { return strings.Contains(g.log.String(), "peer gateway is live") }, timeout, 10*time.Millisecond)
	}
	code, _ := first.send(t, "/a/", "1")
	require.Equal(t, http.StatusBadGateway, code)
	d.store.Delete("servers", "i-1")
	again := newCrashingUpstreamAt(t, "127.0.0.1:0", true)
	d.store.Put("servers", "i-2", fmt.Sprintf(`{"service":"s","address":"%s","zone":"a","slots":4,"state":"ready"}`, again.listener.Addr()))
	require.Eventually(t, func() bool { code, _ := second.send(t, "/a/", "2"); return code == http.StatusBadGateway }, timeout, 50*time.Millisecond)
	require.Eventually(t, func() bool { return strings.Contains(first.log.String(), `"event":728`) }, timeout, time.Millisecond)
	requireRefused := func(g *gateway, id string) {
		code, body := g.send(t, "/a/", id)
		require.Equal(t, http.StatusServiceUnavailable, code)
		require.Contains(t, body, "crashes")
	}
	requireRefused(first, "3")
	third := d.start(t, "127.0.0.3", 17355, "127.0.0.2:1", d.storeAddress)
	require.Eventually(t, func() bool { return third.isReady(t) }, timeout, time.Millisecond)
	requireRefused(third, "4")
	require.Eventually(t, func() bool { return len(d.store.Keys("crashes")) == 1 }, timeout, time.Millisecond)
	for _, g := range []*gateway{first, second, third} {
		g.stop()
		require.NoError(t, <-g.done)
		g.done <- nil
	}
	last := d.start(t, "127.0.0.4", 17355, "", d.storeAddress)
	require.Eventually(t, func() bool { return last.isReady(t) }, timeout, time.Millisecond)
	requireRefused(last, "5")
	require.Equal(t, int32(2), u.requests.Load()+again.requests.Load())
}
