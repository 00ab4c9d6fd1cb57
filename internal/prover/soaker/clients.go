package soaker

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/waiter"
)

// results counts requests by how they ended, counts checks, and lists the violated guarantees. folder is the folder with
// the settings and logs of a seed.
type results struct {
	folder     string
	sent       int
	served     int
	cut        int
	duplicated int
	checks     int
	violations []string
}

func (r *results) add(other results) {
	r.sent += other.sent
	r.served += other.served
	r.cut += other.cut
	r.duplicated += other.duplicated
	r.checks += other.checks
	r.violations = append(r.violations, other.violations...)
}

// check counts a check and adds a violation if it failed.
func (r *results) check(passed bool, format string, args ...any) {
	r.checks++
	if !passed {
		r.violations = append(r.violations, fmt.Sprintf(format, args...))
	}
}

// exchange is a request of a client and the response to it.
type exchange struct {
	id     string
	path   string
	status int
	body   string
	err    error
}

const (
	requestTimeout = 4 * time.Second
	// requestPause is the pause of a client between two requests.
	requestPause = 20 * time.Millisecond
)

// sendRequests sends the requests of one client to all gateways in turn over persistent connections until the context
// ends.
func (d *deployment) sendRequests(ctx context.Context, client int, record func(exchange)) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	c := &http.Client{Transport: transport, Timeout: requestTimeout}
	paths := []string{repeatPrefix, oncePrefix, streamPrefix}
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%d-%d", client, n)
		record(d.send(c, d.gateways[(client+n)%len(d.gateways)], paths[n%len(paths)], id))
		waiter.For(ctx, requestPause)
	}
}

func (d *deployment) send(client *http.Client, g *gateway, path, id string) exchange {
	x := exchange{id: id, path: path}
	request, err := http.NewRequest(http.MethodPost, "http://"+g.address+path, strings.NewReader(requestBody(id)))
	if err != nil {
		x.err = err
		return x
	}
	request.Host = hostName
	request.Header.Set("Request-Id", id)
	request.Header.Set("Credential", customerKey)
	request.Header.Set("Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		x.err = err
		return x
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	x.status, x.body, x.err = response.StatusCode, string(body), err
	return x
}

// run sends requests from all clients while faults are injected, then checks all guarantees.
func (d *deployment) run(ctx context.Context) (results, error) {
	var mu sync.Mutex
	var exchanges []exchange
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	for client := range clientCount {
		clients.Go(func() {
			d.sendRequests(sending, client, func(x exchange) {
				mu.Lock()
				defer mu.Unlock()
				exchanges = append(exchanges, x)
			})
		})
	}
	d.injectFaults(ctx)
	stop()
	clients.Wait()
	var r results
	for _, x := range exchanges {
		d.checkExchange(&r, x)
	}
	r.check(len(d.executions.altered) == 0, "altered between client and upstream: %v", d.executions.altered)
	d.checkGroups(ctx, &r)
	d.checkRecovery(ctx, &r)
	return r, ctx.Err()
}

// checkExchange checks the response to one request against the executions at the upstreams. It is called after the last
// fault and after the end of all requests.
func (d *deployment) checkExchange(r *results, x exchange) {
	r.sent++
	runs := d.executions.count(x.id)
	if x.path == oncePrefix {
		r.check(runs <= 1, "%s ran %d times", x.id, runs)
		if runs > 1 {
			r.duplicated++
		}
		refused := x.status == http.StatusServiceUnavailable || x.status == http.StatusTooManyRequests
		r.check(!refused || runs == 0, "%s was refused as not run, but it ran", x.id)
	}
	r.check(x.status < 400 || x.status > 499, "%s was rejected with %d", x.id, x.status)
	if x.status != http.StatusOK {
		return
	}
	want := responseBody(x.id)
	if x.path == streamPrefix {
		want = ""
		for n := 1; n <= streamEvents; n++ {
			want += event(x.id, n)
		}
	}
	if x.err != nil {
		r.cut++
		r.check(strings.HasPrefix(want, x.body), "%s was cut and its partial response differs from the expected one", x.id)
		return
	}
	r.served++
	r.check(x.body == want, "%s has a wrong response that is presented as complete", x.id)
}

// checkRecovery checks that every gateway serves the newest configuration within recoveryTimeout after the faults, and
// rejects requests for a route that this configuration does not contain.
func (d *deployment) checkRecovery(ctx context.Context, r *results) {
	d.writeConfiguration(2, repeatPrefix, changedPrefix)
	deadline := time.Now().Add(recoveryTimeout)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, g := range d.gateways {
		recovered := false
		for k := 0; !recovered && time.Now().Before(deadline) && ctx.Err() == nil; k++ {
			x := d.send(client, g, changedPrefix, fmt.Sprintf("healed-%d-%d", i, k))
			recovered = x.status == http.StatusOK
			waiter.For(ctx, 50*time.Millisecond)
		}
		r.check(recovered, "gateway %d does not serve the newest configuration %v after the faults", i, recoveryTimeout)
		x := d.send(client, g, oncePrefix, fmt.Sprintf("gone-%d", i))
		r.check(!recovered || x.status == http.StatusNotFound, "gateway %d returned %d for a removed route", i, x.status)
	}
}
