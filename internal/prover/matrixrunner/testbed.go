package matrixrunner

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/recorder"
)

const (
	deployTimeout = time.Minute
	// responseTimeout is the longest time for which a caller waits. The cell fails if a response takes longer.
	responseTimeout = 40 * time.Second
	readyInterval   = 100 * time.Millisecond
	readyTimeout    = 300 * time.Millisecond
	warmUpDuration  = 1500 * time.Millisecond
)

// testbed is a running deployment that cells share, with a caller that records every byte of the responses.
type testbed struct {
	*launcher.Deployment
	launcher *launcher.Launcher
	log      *recorder.Log
	caller   *recorder.Caller
	monitor  *monitor
	// number counts requests and changes, so that each is distinct.
	number atomic.Int64
	// earlierCrashes counts the crashes of engines and services in earlier cells.
	earlierCrashes int
	// checkedExchanges counts the exchanges that earlier cells have checked. The first cell also checks those of the
	// warm-up.
	checkedExchanges int

	mu    sync.Mutex
	ready map[*launcher.Entry]bool
	next  int
	// restarting holds the names of the nodes that are being restarted.
	restarting map[string]bool

	background sync.WaitGroup
	stop       context.CancelFunc
}

// testbedPlan returns the plan of a small deployment that has every role, three failure domains and a proxy on each
// link except those to upstreams.
func testbedPlan(seed uint64, kind testbedKind) launcher.Plan {
	plan := launcher.KeCentral()
	plan.Entries = 3
	plan.Groups[0].Ranks = 3
	plan.Groups[0].Limits = launcher.Limits{Cold: 4, Warm: 16, WarmAfter: 8}
	plan.Customers = plan.Customers[:3]
	plan.Seed = seed
	plan.LogLevel = "debug"
	plan.Interpose = func(l launcher.Link) bool { return l.Kind != launcher.LinkToUpstream }
	switch kind {
	case testbedLateEvents:
		plan.EngineArgs = []string{"--event-delay", "3s", "--event-gap", "0.5"}
	case testbedLockStep:
		plan.Groups[0].ChecksFence = func(rank int) bool { return rank%2 == 0 }
		setLockStep(&plan)
	case testbedNoFence:
		setLockStep(&plan)
	case testbedPlain:
	}
	return plan
}

// setLockStep makes the engines run their steps together, with a drifting popularity of experts so that maps change.
func setLockStep(plan *launcher.Plan) {
	plan.Groups[0].LockStep = true
	plan.Groups[0].Experts = 24
	plan.EngineArgs = []string{"--skew", "1.2", "--drift-steps", "200"}
}

// newTestbed starts a deployment and warms it up under load.
func newTestbed(ctx context.Context, binaries launcher.Binaries, plan launcher.Plan, keep bool) (*testbed, error) {
	l, err := launcher.New(launcher.Config{Keep: keep})
	if err != nil {
		return nil, err
	}
	deploying, cancel := context.WithTimeout(ctx, deployTimeout)
	defer cancel()
	d, err := launcher.Deploy(deploying, l, binaries, plan)
	if err != nil {
		l.Close()
		return nil, errors.Wrap(err, "start the deployment")
	}
	log := &recorder.Log{}
	b := &testbed{Deployment: d, launcher: l, log: log, caller: recorder.NewCaller(log), ready: map[*launcher.Entry]bool{}, restarting: map[string]bool{}}
	b.monitor = newMonitor(b)
	running, stop := context.WithCancel(ctx)
	b.stop = stop
	for _, e := range b.Entries {
		b.background.Go(func() { b.watchReadiness(running, e) })
	}
	b.background.Go(func() { b.monitor.run(running) })
	waiter.For(ctx, readyInterval+readyTimeout)
	load := b.startLoad(ctx, newRandom(plan.Seed, "warm up"))
	waiter.For(ctx, warmUpDuration)
	load.stop()
	return b, nil
}

func (b *testbed) close() {
	b.stop()
	b.background.Wait()
	b.caller.Close()
	b.Close()
	b.launcher.Close()
}

// newRandom returns a random generator for one part of a run, whose sequence depends only on the seed and the name of
// the part.
func newRandom(seed uint64, part string) *rand.Rand {
	hash := fnv.New64a()
	// Writes to a hash never fail.
	_, _ = hash.Write([]byte(part))
	return rand.New(rand.NewPCG(seed, hash.Sum64()))
}

// watchReadiness polls the readiness of an entry, as the platform's balancer does, since only ready entries receive
// requests from callers.
func (b *testbed) watchReadiness(ctx context.Context, e *launcher.Entry) {
	client := &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		ready := respondsOK(ctx, client, e.CallerURL()+"/readyz")
		b.mu.Lock()
		b.ready[e] = ready
		b.mu.Unlock()
		if !waiter.For(ctx, readyInterval) {
			return
		}
	}
}

// respondsOK reports whether a GET request returns status 200.
func respondsOK(ctx context.Context, client *http.Client, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pick returns the base URL of the next ready entry, or of the first entry if none is ready.
func (b *testbed) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.Entries {
		b.next++
		if e := b.Entries[b.next%len(b.Entries)]; b.ready[e] {
			return e.CallerURL()
		}
	}
	return b.Entries[0].CallerURL()
}

func (b *testbed) customer(number int64) launcher.CustomerPlan {
	return b.Plan.Customers[int(number)%len(b.Plan.Customers)]
}

// newModelRequest returns a new streamed model request.
func (b *testbed) newModelRequest(tokens int) recorder.ModelRequest {
	number := b.number.Add(1)
	c := b.customer(number)
	return recorder.ModelRequest{
		Customer: c.Name, Bearer: c.Key, Endpoint: recorder.EndpointChat, Model: b.Plan.Groups[0].Model,
		Prompt: fmt.Sprintf("question %d of %s tokens=%d", number, c.Name, tokens), MaxTokens: tokens, Stream: true,
	}
}

// newKeyedCall returns a new service call that must not run twice, with an idempotency key.
func (b *testbed) newKeyedCall() recorder.ServiceCall {
	number := b.number.Add(1)
	c := b.customer(number)
	return recorder.ServiceCall{
		Customer: c.Name, Bearer: c.Key, Service: b.Plan.Services[0].Name, Method: http.MethodPost,
		Path: fmt.Sprintf("/orders?call=%d", number), Body: []byte("reserve"), Key: fmt.Sprintf("key-%d", number),
	}
}

// newIdempotentCall returns a new service call that may run more than once.
func (b *testbed) newIdempotentCall() recorder.ServiceCall {
	call := b.newKeyedCall()
	call.Method, call.Key, call.Body, call.Idempotent = http.MethodGet, "", nil, true
	call.Path = fmt.Sprintf("/stock/item?call=%d", b.number.Load())
	return call
}

func (b *testbed) sendModelRequest(ctx context.Context, entry string, m recorder.ModelRequest) *recorder.Exchange {
	limited, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	return b.caller.SendModelRequest(limited, entry, m)
}

func (b *testbed) sendServiceCall(ctx context.Context, entry string, c recorder.ServiceCall) *recorder.Exchange {
	limited, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	return b.caller.SendServiceCall(limited, entry, c)
}
