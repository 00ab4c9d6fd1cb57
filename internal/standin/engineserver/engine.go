package engineserver

import (
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/standin/simulator"
)

// crashDelay is the time between the start of a crashing request and the crash.
const crashDelay = 20 * time.Millisecond

// roundHalf added before truncation rounds to the nearest integer.
const roundHalf = 0.5

// engine is one life of an engine stand-in.
type engine struct {
	cfg     Config
	sim     *simulator.Server
	life    *simulator.Life
	reports *reporter

	mu      sync.Mutex
	wake    chan struct{}
	running []*generation
	waiting []*generation
	arrived int
	// step is the last step run and stepTime the engine's own part of it.
	step     identifier.Step
	stepTime time.Duration
	fence    uint64
	maps     *mapState
	models   *modelSet
	role     string
	cache    *prefixCache
	kv       *kvStore
	// expertTokens counts, by expert, the tokens that this rank has processed in this life.
	expertTokens []float64
	popularity   *popularity
}

func newEngine(s *Server, life *simulator.Life) *engine {
	e := &engine{
		cfg:          s.cfg,
		sim:          s.simulator,
		life:         life,
		wake:         make(chan struct{}, 1),
		maps:         newMapState(s.cfg.Group),
		models:       newModelSet(s.cfg.Models),
		role:         s.cfg.Role,
		cache:        newPrefixCache(s.cfg),
		kv:           newKVStore(),
		expertTokens: make([]float64, s.cfg.Group.Experts),
		popularity:   s.popularity,
	}
	e.reports = newReporter(life.Context(), s.cfg.ReportLag, e.state)
	return e
}

// signal lets the loop look at the state again.
func (e *engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run runs steps until the life ends.
func (e *engine) run() {
	if e.cfg.Group.grouped() {
		e.runGroup()
		return
	}
	e.runAlone()
}

// runAlone runs steps while there is work.
func (e *engine) runAlone() {
	ctx := e.life.Context()
	for e.sim.AwaitStall(ctx) {
		if !e.enterAlone() {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			}
			continue
		}
		work := e.work()
		if !simulator.Pause(ctx, work) || !e.sim.AwaitStall(ctx) {
			return
		}
		e.advance(e.nextStep(), work)
	}
}

func (e *engine) nextStep() identifier.Step {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.step + 1
}

// enterAlone tells whether the engine runs a step now. An idle engine puts a decided map in force at once, because it
// may never reach the switch step.
func (e *engine) enterAlone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running) > 0 {
		allowed := e.maps.enter(e.step + 1)
		e.maps.ran = e.maps.ran || allowed
		return allowed
	}
	step := max(e.step+1, e.maps.newestStep())
	if e.maps.adopt(step) {
		e.step = step - 1
		e.maps.promised = max(e.maps.promised, e.step)
	}
	return false
}

func (e *engine) work() time.Duration {
	e.mu.Lock()
	n := len(e.running)
	e.mu.Unlock()
	nominal := e.cfg.StepBase + time.Duration(n)*e.cfg.StepPerRequest
	return time.Duration(float64(nominal) * e.sim.SlowFactor())
}

// advance ends a step: every running request that has been prefilled gets a token.
func (e *engine) advance(step identifier.Step, work time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.step = step
	e.stepTime = work
	still := e.running[:0]
	for _, g := range e.running {
		if g.advance() {
			e.endLocked(g, simulator.OutcomeComplete)
			continue
		}
		still = append(still, g)
	}
	clear(e.running[len(still):])
	e.running = still
	e.admitLocked()
}

// endLocked tells the handler of a request that has left running how it ended.
func (e *engine) endLocked(g *generation, outcome simulator.Outcome) {
	if g.started {
		e.kv.keep(g.in.Request, g.kv())
		e.life.Finish(outcome == simulator.OutcomeComplete)
	}
	g.end(outcome)
}

// submit queues a request and returns false when the queue is full.
func (e *engine) submit(g *generation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	full := e.cfg.Batch > 0 && len(e.running) >= e.cfg.Batch && len(e.waiting) >= e.cfg.Queue
	if full {
		return false
	}
	g.arrival = e.arrived
	e.arrived++
	e.waiting = append(e.waiting, g)
	e.admitLocked()
	e.signal()
	return true
}

// admitLocked starts waiting requests in order of priority, then of arrival.
func (e *engine) admitLocked() {
	for len(e.waiting) > 0 && (e.cfg.Batch == 0 || len(e.running) < e.cfg.Batch) {
		first := 0
		for i, g := range e.waiting {
			if g.before(e.waiting[first]) {
				first = i
			}
		}
		g := e.waiting[first]
		e.waiting = append(e.waiting[:first], e.waiting[first+1:]...)
		e.running = append(e.running, g)
		e.startLocked(g)
	}
}

func (e *engine) startLocked(g *generation) {
	g.started = true
	g.prefixHit = e.cache.use(g.in.Prefix)
	g.shortenPrefill(e.kv.covered(g.seed))
	cold := 1 - e.life.Warmth()
	g.prefill += int(float64(max(e.cfg.ColdPrefill, 0))*cold + roundHalf)
	e.life.Start()
	if g.crashes {
		time.AfterFunc(crashDelay, e.life.Crash)
	}
}

// drop ends requests before their completion.
func (e *engine) drop(matches func(*generation) bool, outcome simulator.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	keep := func(list []*generation) []*generation {
		var kept []*generation
		for _, g := range list {
			if matches(g) {
				e.endLocked(g, outcome)
				continue
			}
			kept = append(kept, g)
		}
		return kept
	}
	e.running = keep(e.running)
	e.waiting = keep(e.waiting)
	e.admitLocked()
}
