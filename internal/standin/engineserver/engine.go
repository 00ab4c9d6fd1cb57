package engineserver

import (
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/standin/simulator"
)

// crashDelay is the time between the start of a request that crashes the engine and the crash.
const crashDelay = 20 * time.Millisecond

// roundHalf added before truncation rounds to the nearest integer.
const roundHalf = 0.5

// engine is one instance of an engine stand-in, from its start to its crash or stop.
type engine struct {
	cfg      Config
	sim      *simulator.Server
	instance *simulator.Instance
	reports  *reporter

	// mu guards the fields below except wake, which resumes the step loop when it waits for work or an order.
	mu      sync.Mutex
	wake    chan struct{}
	running []*generation
	waiting []*generation
	// arrivals counts the submitted requests.
	arrivals int
	// step is the last step that the engine ran. stepTime is the time that the engine itself spent on it, without the
	// wait for other ranks.
	step     identifier.Step
	stepTime time.Duration
	// fence is the highest fencing number of the orders so far.
	fence  uint64
	maps   *mapState
	models *modelSet
	role   string
	cache  *prefixCache
	kv     *kvStore
	// expertTokens counts, by expert, the tokens that this instance of the rank has processed.
	expertTokens []float64
	popularity   *popularity
}

func newEngine(s *Server, instance *simulator.Instance) *engine {
	e := &engine{
		cfg:          s.cfg,
		sim:          s.simulator,
		instance:     instance,
		wake:         make(chan struct{}, 1),
		maps:         newMapState(s.cfg.Group),
		models:       newModelSet(s.cfg.Models),
		role:         s.cfg.Role,
		cache:        newPrefixCache(s.cfg),
		kv:           newKVStore(),
		expertTokens: make([]float64, s.cfg.Group.Experts),
		popularity:   s.popularity,
	}
	e.reports = newReporter(instance.Context(), s.cfg.ReportLag, e.state)
	return e
}

// wakeLoop makes the step loop check the state again. It does not block.
func (e *engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run runs steps until the instance ends.
func (e *engine) run() {
	if e.cfg.Group.inGroup() {
		e.runGroup()
		return
	}
	e.runStandalone()
}

// runStandalone runs steps while there are running requests.
func (e *engine) runStandalone() {
	ctx := e.instance.Context()
	for e.sim.AwaitStall(ctx) {
		if !e.startStandaloneStep() {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			}
			continue
		}
		duration := e.stepDuration()
		if !simulator.Pause(ctx, duration) || !e.sim.AwaitStall(ctx) {
			return
		}
		e.advance(e.nextStep(), duration)
	}
}

func (e *engine) nextStep() identifier.Step {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.step + 1
}

// startStandaloneStep reports whether the engine runs a step now, and records its agreement to run it. An idle engine
// runs none, but activates a committed map at once, because it may never reach the switch step.
func (e *engine) startStandaloneStep() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running) > 0 {
		allowed := e.maps.agree(e.step + 1)
		e.maps.hasRun = e.maps.hasRun || allowed
		return allowed
	}
	step := max(e.step+1, e.maps.newestSwitchStep())
	if e.maps.activate(step) {
		e.step = step - 1
		e.maps.agreedStep = max(e.maps.agreedStep, e.step)
	}
	return false
}

// stepDuration returns the time that a step of a standalone engine takes.
func (e *engine) stepDuration() time.Duration {
	e.mu.Lock()
	requests := len(e.running)
	e.mu.Unlock()
	nominal := e.cfg.StepBase + time.Duration(requests)*e.cfg.StepPerRequest
	return time.Duration(float64(nominal) * e.sim.SlowFactor())
}

// advance ends a step: every running request runs a step of its prefill or generates a token.
func (e *engine) advance(step identifier.Step, duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.step = step
	e.stepTime = duration
	unfinished := e.running[:0]
	for _, g := range e.running {
		if g.advance() {
			e.endLocked(g, simulator.OutcomeComplete)
			continue
		}
		unfinished = append(unfinished, g)
	}
	clear(e.running[len(unfinished):])
	e.running = unfinished
	e.admitLocked()
}

// endLocked ends a request that its caller removes from the running or waiting requests, and passes the outcome to its
// handler.
func (e *engine) endLocked(g *generation, outcome simulator.Outcome) {
	if g.started {
		e.kv.addFinished(g.in.Request, g.kv())
		e.instance.Finish(outcome == simulator.OutcomeComplete)
	}
	g.end(outcome)
}

// submit queues a request. It returns false if the engine and its queue are full.
func (e *engine) submit(g *generation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	full := e.cfg.BatchSize > 0 && len(e.running) >= e.cfg.BatchSize && len(e.waiting) >= e.cfg.QueueSize
	if full {
		return false
	}
	g.arrival = e.arrivals
	e.arrivals++
	e.waiting = append(e.waiting, g)
	e.admitLocked()
	e.wakeLoop()
	return true
}

// admitLocked starts waiting requests while the batch has room, in order of priority, then of arrival.
func (e *engine) admitLocked() {
	for len(e.waiting) > 0 && (e.cfg.BatchSize == 0 || len(e.running) < e.cfg.BatchSize) {
		next := 0
		for i, g := range e.waiting {
			if g.precedes(e.waiting[next]) {
				next = i
			}
		}
		g := e.waiting[next]
		e.waiting = append(e.waiting[:next], e.waiting[next+1:]...)
		e.running = append(e.running, g)
		e.startLocked(g)
	}
}

func (e *engine) startLocked(g *generation) {
	g.started = true
	g.prefixHit = e.cache.touch(g.in.Prefix)
	g.reducePrefill(e.kv.importedTokens(g.seed))
	cold := 1 - e.instance.Warmth()
	g.prefillSteps += int(float64(max(e.cfg.ColdPrefill, 0))*cold + roundHalf)
	e.instance.Start()
	if g.crashes {
		time.AfterFunc(crashDelay, e.instance.Crash)
	}
}

// endMatching ends the running and waiting requests that match, before their completion.
func (e *engine) endMatching(matches func(*generation) bool, outcome simulator.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	endIn := func(list []*generation) []*generation {
		var remaining []*generation
		for _, g := range list {
			if matches(g) {
				e.endLocked(g, outcome)
				continue
			}
			remaining = append(remaining, g)
		}
		return remaining
	}
	e.running = endIn(e.running)
	e.waiting = endIn(e.waiting)
	e.admitLocked()
}
