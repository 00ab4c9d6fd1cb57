package gatewayrunner_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// stopClient sends requests one after the other until the gateway no longer listens.
type stopClient struct {
	deployment *deployment
	gateway    *gateway
	name       string
	client     *http.Client
	// answered counts the answered requests of all clients.
	answered *atomic.Int64
}

// run returns the first unacceptable failure: a request without an answer that ran,
// or one on a connection of its own. A request on a kept connection may cross with its close.
func (c *stopClient) run(reuse bool) error {
	for n := 0; ; n++ {
		id := fmt.Sprintf("%s-%d", c.name, n)
		q, err := http.NewRequest(http.MethodPost, "http://"+c.gateway.clientAddress+"/a/", strings.NewReader("x"))
		if err != nil {
			return err
		}
		q.Host = "h.example"
		q.Header.Set("Request-Id", id)
		q.Header.Set("Credential", "k")
		q.Header.Set("Deadline-Ms", "4000")
		r, err := c.client.Do(q)
		var dialErr *net.OpError
		switch {
		case errors.As(err, &dialErr) && dialErr.Op == "dial":
			return nil
		case err != nil && reuse && !c.ran(id):
			return nil
		case err != nil:
			return errors.Wrapf(err, "request %s, run: %t", id, c.ran(id))
		}
		body, err := io.ReadAll(r.Body)
		_ = r.Body.Close()
		if err != nil || r.StatusCode != http.StatusOK && r.StatusCode != http.StatusServiceUnavailable {
			return errors.Newf("request %s: status %d, body %q, error %v", id, r.StatusCode, body, err)
		}
		if r.StatusCode == http.StatusServiceUnavailable && c.ran(id) {
			return errors.Newf("request %s was refused as not run and ran", id)
		}
		c.answered.Add(1)
	}
}

func (c *stopClient) ran(id string) bool {
	c.deployment.mu.Lock()
	defer c.deployment.mu.Unlock()
	return c.deployment.runsByRequest[id] > 0
}

// Guards against requests that are cut off without an answer when a gateway under load is stopped: those on kept
// connections, and those whose connection was established just before the listener closed.
func TestPlannedStopUnderLoadLosesNoRequest(t *testing.T) {
	d := newDeployment(t)
	d.responseDelay = 20 * time.Millisecond
	d.store.Put("servers", "i-1", fmt.Sprintf(`{"service":"s","address":"%s","zone":"a","slots":1000,"state":"ready"}`, d.upstreamAddress))
	d.configure(1, "/a/")
	g := d.start(t, "127.0.0.1", 17344, "", d.storeAddress)
	require.Eventually(t, func() bool { return g.isReady(t) }, timeout, 10*time.Millisecond)
	var running sync.WaitGroup
	var mu sync.Mutex
	var failures []error
	var answered atomic.Int64
	for i := range 300 {
		reuse := i%3 != 0
		c := &stopClient{
			deployment: d, gateway: g, name: fmt.Sprint("c", i), answered: &answered,
			client: &http.Client{Transport: &http.Transport{DisableKeepAlives: !reuse}},
		}
		running.Go(func() {
			err := c.run(reuse)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failures = append(failures, err)
			}
		})
	}
	require.Eventually(t, func() bool { return answered.Load() > 1000 }, timeout, 10*time.Millisecond)
	g.stop()
	running.Wait()
	require.Empty(t, failures)
}

// Guards against a connection that was accepted just before the listener closes and is closed without an answer to its
// first request.
func TestConnectionAcceptedBeforeTheStopIsAnswered(t *testing.T) {
	d := newDeployment(t)
	d.register()
	d.configure(1, "/a/")
	g := d.start(t, "127.0.0.1", 17349, "", d.storeAddress)
	require.Eventually(t, func() bool { return g.isReady(t) }, timeout, 10*time.Millisecond)
	g.stop()
	var last net.Conn
	for {
		c, err := net.Dial("tcp", g.clientAddress)
		if err != nil {
			break
		}
		if last != nil {
			_ = last.Close()
		}
		last = c
		time.Sleep(20 * time.Millisecond)
	}
	defer last.Close()
	_, err := io.WriteString(last, "POST /a/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: 1\r\nCredential: k\r\nContent-Length: 1\r\n\r\nx")
	require.NoError(t, err)
	r, err := http.ReadResponse(bufio.NewReader(last), nil)
	require.NoError(t, err)
	defer r.Body.Close()
	require.Equal(t, http.StatusOK, r.StatusCode)
}

// Guards against requests late in a planned stop that run until the connection is cut at the end of the grace period, and
// against waiting ones that get no response.
func TestLateRequestsOfAPlannedStopAreAnswered(t *testing.T) {
	tests := map[string]struct {
		port int
		// usual and late are the response times of the upstream before and after the stop has begun.
		usual, late time.Duration
		slots       int
		// lateStatus is that of the requests that the end of the grace period would have cut.
		lateStatus int
	}{
		"known response time":   {port: 17540, usual: 2500 * time.Millisecond, late: 2500 * time.Millisecond, slots: 100, lateStatus: http.StatusServiceUnavailable},
		"slower than usual":     {port: 17541, usual: 10 * time.Millisecond, late: 3500 * time.Millisecond, slots: 100, lateStatus: http.StatusBadGateway},
		"waiting for few slots": {port: 17542, usual: 700 * time.Millisecond, late: 700 * time.Millisecond, slots: 1, lateStatus: http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.responseDelay = test.usual
			d.store.Put("servers", "i-1", fmt.Sprintf(`{"service":"s","address":"%s","zone":"a","slots":%d,"state":"ready"}`, d.upstreamAddress, test.slots))
			d.configureService(1, `{"name":"s"}`, "/a/")
			g := d.start(t, "127.0.0.1", test.port, "", d.storeAddress)
			require.Eventually(t, func() bool { code, _ := g.send(t, "/a/", "first"); return code == http.StatusOK }, timeout, 10*time.Millisecond)
			var earlier sync.WaitGroup
			for i := range 12 {
				earlier.Go(func() { g.sendAlone(t, fmt.Sprint("earlier-", i)) })
			}
			earlier.Wait()
			d.mu.Lock()
			d.responseDelay = test.late
			d.mu.Unlock()
			g.stop()
			statuses, bodies := g.sendDuringStop(t, 21, 100*time.Millisecond)
			for i, code := range statuses {
				ran := (&stopClient{deployment: d}).ran(fmt.Sprint("stop-", i))
				require.Contains(t, []int{http.StatusOK, test.lateStatus}, code, "request %d of %v: %s", i, statuses, bodies[i])
				require.Equal(t, code != http.StatusServiceUnavailable, ran, "request %d", i)
			}
			require.Contains(t, statuses, test.lateStatus)
		})
	}
}

// sendDuringStop sends requests in turn, on connections of their own, and returns the status codes and bodies of their
// responses.
func (g *gateway) sendDuringStop(t *testing.T, requests int, interval time.Duration) ([]int, []string) {
	t.Helper()
	statuses, bodies := make([]int, requests), make([]string, requests)
	var running sync.WaitGroup
	for i := range requests {
		running.Go(func() { statuses[i], bodies[i] = g.sendAlone(t, fmt.Sprint("stop-", i)) })
		time.Sleep(interval)
	}
	running.Wait()
	return statuses, bodies
}
