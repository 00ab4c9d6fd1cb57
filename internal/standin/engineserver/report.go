package engineserver

import (
	"context"
	"net/http"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/standin/responder"
	"currantledge.example/currantledge/internal/standin/simulator"
)

// samplesPerLag is the number of samples that are taken within one lag.
const samplesPerLag = 6

type (
	wireModel struct {
		Name     string   `json:"name"`
		Version  string   `json:"version"`
		Adapters []string `json:"adapters"`
	}
	wireReport struct {
		Boot        string      `json:"boot"`
		Running     int         `json:"running"`
		Waiting     int         `json:"waiting"`
		Step        uint64      `json:"step"`
		StepMicros  int64       `json:"stepMicros"`
		MapVersion  uint64      `json:"mapVersion"`
		PreparedMap uint64      `json:"preparedMap"`
		Experts     []int64     `json:"experts"`
		Models      []wireModel `json:"models"`
		Role        string      `json:"role"`
		KVUsed      int64       `json:"kvUsed"`
		KVSize      int64       `json:"kvSize"`
		AsOf        time.Time   `json:"asOf"`
	}
)

// reporter reports the state of one lag ago. It samples the state until its context ends.
type reporter struct {
	ctx   context.Context
	lag   time.Duration
	state func() wireReport

	mu sync.Mutex
	// samples are in order of time. The first is at least one lag old, unless all are younger.
	samples []wireReport
}

func newReporter(ctx context.Context, lag time.Duration, state func() wireReport) *reporter {
	return &reporter{ctx: ctx, lag: lag, state: state}
}

// sampleLoop samples the state until the context ends. Without a lag it returns at once.
func (r *reporter) sampleLoop() {
	if r.lag <= 0 {
		return
	}
	for {
		r.sample()
		if !simulator.Pause(r.ctx, r.lag/samplesPerLag) {
			return
		}
	}
}

func (r *reporter) sample() {
	state := r.state()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, state)
	for len(r.samples) > 1 && state.AsOf.Sub(r.samples[1].AsOf) >= r.lag {
		r.samples = r.samples[1:]
	}
}

// report returns the newest sample that is at least one lag old, or the first sample of this instance.
func (r *reporter) report() wireReport {
	if r.lag <= 0 {
		return r.state()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.samples) == 0 {
		return r.state()
	}
	return r.samples[0]
}

// state returns the current state.
func (e *engine) state() wireReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	experts := make([]int64, 0, len(e.expertTokens))
	for _, n := range e.expertTokens {
		experts = append(experts, int64(n))
	}
	if e.maps.standalone {
		// Without a group there is no expert map to change.
		experts = nil
	}
	tokens := 0
	for _, g := range e.running {
		tokens += g.kv().tokens
	}
	return wireReport{
		Boot:        string(e.instance.Boot),
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		Step:        uint64(e.step),
		StepMicros:  e.stepTime.Microseconds(),
		MapVersion:  uint64(e.maps.current.version),
		PreparedMap: uint64(e.maps.lowestPrepared()),
		Experts:     experts,
		Models:      e.models.snapshot(),
		Role:        e.role,
		KVUsed:      int64(tokens) * kvBytesPerToken,
		KVSize:      e.cfg.KVSize,
		AsOf:        time.Now(),
	}
}

func (e *engine) report(w http.ResponseWriter, r *http.Request) {
	if !e.sim.AwaitStall(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	responder.JSON(w, http.StatusOK, e.reports.report())
}
