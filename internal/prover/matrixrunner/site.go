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
	deployPeriod = time.Minute
	// answerPeriod is the longest time for which a caller waits. No answer until then is a failure of the cell.
	answerPeriod  = 40 * time.Second
	readyInterval = 100 * time.Millisecond
	readyPeriod   = 300 * time.Millisecond
	warmUpPeriod  = 1500 * time.Millisecond
)

// site is a running deployment with callers that record every byte.
type site struct {
	*launcher.Deployment
	launcher *launcher.Launcher
	log      *recorder.Log
	caller   *recorder.Caller
	monitor  *monitor
	number   atomic.Int64
	// falls counts the falls of engines and services in earlier cells.
	falls int
	// examined counts the exchanges of earlier cells.
	examined int

	mu    sync.Mutex
	ready map[*launcher.Entry]bool
	next  int
	// replacing holds the nodes whose process is being started again.
	replacing map[string]bool

	background sync.WaitGroup
	stop       context.CancelFunc
}

// smallPlan returns a deployment of few processes that has every role, three failure domains and a proxy at each link.
func smallPlan(seed uint64, kind siteKind) launcher.Plan {
	plan := launcher.KeCentral()
	plan.Entries = 3
	plan.Groups[0].Ranks = 3
	plan.Groups[0].Limits = launcher.Limits{Cold: 4, Warm: 16, WarmAfter: 8}
	plan.Customers = plan.Customers[:3]
	plan.Seed = seed
	plan.LogLevel = "debug"
	plan.Interpose = func(l launcher.Link) bool { return l.Kind != launcher.LinkToUpstream }
	switch kind {
	case siteLateEvents:
		plan.EngineArgs = []string{"--event-delay", "3s", "--event-gap", "0.5"}
	case siteLockStep:
		plan.Groups[0].ChecksFence = func(rank int) bool { return rank%2 == 0 }
		lockStep(&plan)
	case siteNoFence:
		lockStep(&plan)
	case sitePlain:
	}
	return plan
}

// lockStep lets the engines step together, with a popularity of experts that drifts so that maps change.
func lockStep(plan *launcher.Plan) {
	plan.Groups[0].LockStep = true
	plan.Groups[0].Experts = 24
	plan.EngineArgs = []string{"--skew", "1.2", "--drift-steps", "200"}
}

// newSite starts a deployment and warms it up.
func newSite(ctx context.Context, binaries launcher.Binaries, plan launcher.Plan, keep bool) (*site, error) {
	l, err := launcher.New(launcher.Config{Keep: keep})
	if err != nil {
		return nil, err
	}
	deploying, cancel := context.WithTimeout(ctx, deployPeriod)
	defer cancel()
	d, err := launcher.Deploy(deploying, l, binaries, plan)
	if err != nil {
		l.Close()
		return nil, errors.Wrap(err, "start the deployment")
	}
	log := &recorder.Log{}
	s := &site{Deployment: d, launcher: l, log: log, caller: recorder.NewCaller(log), ready: map[*launcher.Entry]bool{}, replacing: map[string]bool{}}
	s.monitor = newMonitor(s)
	running, stop := context.WithCancel(ctx)
	s.stop = stop
	for _, e := range s.Entries {
		s.background.Go(func() { s.watchReadiness(running, e) })
	}
	s.background.Go(func() { s.monitor.run(running) })
	waiter.For(ctx, readyInterval+readyPeriod)
	load := s.startLoad(ctx, newRandom(plan.Seed, "warm up"))
	waiter.For(ctx, warmUpPeriod)
	load.end()
	return s, nil
}

func (s *site) close() {
	s.stop()
	s.background.Wait()
	s.caller.Close()
	s.Close()
	s.launcher.Close()
}

// newRandom returns the random decisions of one part of a run.
func newRandom(seed uint64, part string) *rand.Rand {
	hash := fnv.New64a()
	// Writes to a hash never fail.
	_, _ = hash.Write([]byte(part))
	return rand.New(rand.NewPCG(seed, hash.Sum64()))
}

// watchReadiness does what the platform's balancer does: callers are sent only to entries that say that they are ready.
func (s *site) watchReadiness(ctx context.Context, e *launcher.Entry) {
	client := &http.Client{Timeout: readyPeriod, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		ready := answersOK(ctx, client, e.CallerURL()+"/readyz")
		s.mu.Lock()
		s.ready[e] = ready
		s.mu.Unlock()
		if !waiter.For(ctx, readyInterval) {
			return
		}
	}
}

func answersOK(ctx context.Context, client *http.Client, url string) bool {
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

// pick returns the callers' address of the next ready entry, and of any entry when none is ready.
func (s *site) pick() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range s.Entries {
		s.next++
		if e := s.Entries[s.next%len(s.Entries)]; s.ready[e] {
			return e.CallerURL()
		}
	}
	return s.Entries[0].CallerURL()
}

func (s *site) customer(number int64) launcher.CustomerPlan {
	return s.Plan.Customers[int(number)%len(s.Plan.Customers)]
}

// question returns a new streamed model request.
func (s *site) question(tokens int) recorder.ModelRequest {
	number := s.number.Add(1)
	c := s.customer(number)
	return recorder.ModelRequest{
		Customer: c.Name, Bearer: c.Key, Endpoint: recorder.EndpointChat, Model: s.Plan.Groups[0].Model,
		Prompt: fmt.Sprintf("question %d of %s tokens=%d", number, c.Name, tokens), MaxTokens: tokens, Stream: true,
	}
}

// reservation returns a new call that must not run twice.
func (s *site) reservation() recorder.ServiceCall {
	number := s.number.Add(1)
	c := s.customer(number)
	return recorder.ServiceCall{
		Customer: c.Name, Bearer: c.Key, Service: s.Plan.Services[0].Name, Method: http.MethodPost,
		Path: fmt.Sprintf("/orders?call=%d", number), Body: []byte("reserve"), Key: fmt.Sprintf("key-%d", number),
	}
}

// lookUp returns a new call that may be repeated.
func (s *site) lookUp() recorder.ServiceCall {
	call := s.reservation()
	call.Method, call.Key, call.Body, call.Idempotent = http.MethodGet, "", nil, true
	call.Path = fmt.Sprintf("/stock/item?call=%d", s.number.Load())
	return call
}

func (s *site) ask(ctx context.Context, entry string, m recorder.ModelRequest) *recorder.Exchange {
	limited, cancel := context.WithTimeout(ctx, answerPeriod)
	defer cancel()
	return s.caller.SendModelRequest(limited, entry, m)
}

func (s *site) call(ctx context.Context, entry string, c recorder.ServiceCall) *recorder.Exchange {
	limited, cancel := context.WithTimeout(ctx, answerPeriod)
	defer cancel()
	return s.caller.SendServiceCall(limited, entry, c)
}
