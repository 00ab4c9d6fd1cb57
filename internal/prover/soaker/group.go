package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/waiter"
)

const (
	groupCount = 3
	rankCount  = 2
	expertSets = 1
	experts    = 8
	stepPeriod = 10 * time.Millisecond
	// shiftSteps is the number of steps after which the demand for experts shifts.
	shiftSteps = 300
	// groupStall is how long requests to a closed group wait before they are rejected or cut, and groupOutage how long a
	// restarted rank is away.
	groupStall  = 400 * time.Millisecond
	groupOutage = 1500 * time.Millisecond
	// maxHold is the longest time for which a group may be held before a step.
	maxHold = 5 * time.Second
)

// expertMap lists the experts of each rank by set and rank.
type expertMap [][][]int

// firstMap is the map that a group has when it forms: experts are assigned to the ranks in turn.
func firstMap() expertMap {
	m := expertMap{make([][]int, rankCount)}
	for e := range experts {
		m[0][e%rankCount] = append(m[0][e%rankCount], e)
	}
	return m
}

// rankState is what one rank of a group has been ordered to do.
type rankState struct {
	version, prepared, armed uint64
	experts, next            expertMap
	armedStep, heldStep      uint64
	held                     bool
	heldSince                time.Time
	counts                   []int
}

// engineGroup is the stand-in of a group of ranks that run their steps together. It records steps that begin with
// different maps and holds that do not end.
type engineGroup struct {
	name       string
	random     *rand.Rand
	mu         sync.Mutex
	open       bool
	epoch      uint64
	step       uint64
	ranks      []*rankState
	switches   int
	violations []string
}

func newEngineGroup(name string, seed uint64) *engineGroup {
	g := &engineGroup{name: name, random: rand.New(rand.NewPCG(seed, 1))}
	g.form()
	return g
}

// form starts a new epoch, in which the ranks have the first map and no orders.
func (g *engineGroup) form() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = true
	g.epoch++
	g.ranks = nil
	for range rankCount {
		g.ranks = append(g.ranks, &rankState{experts: firstMap(), counts: make([]int, expertSets*experts)})
	}
}

func (g *engineGroup) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = false
}

func (g *engineGroup) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// waitOpen waits until the group is open, but at most for groupStall, and reports whether it is.
func (g *engineGroup) waitOpen() bool {
	for end := time.Now().Add(groupStall); !g.isOpen(); time.Sleep(stepPeriod) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// run runs the steps until the context ends.
func (g *engineGroup) run(ctx context.Context) {
	for waiter.For(ctx, stepPeriod) {
		g.runStep()
	}
}

func (g *engineGroup) runStep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.open {
		return
	}
	for _, r := range g.ranks {
		if r.held && r.heldStep == g.step+1 {
			if time.Since(r.heldSince) > maxHold {
				g.violations = append(g.violations, fmt.Sprintf("group %s was held for more than %v", g.name, maxHold))
				r.held = false
			}
			return
		}
	}
	g.step++
	popular := int(g.step/shiftSteps) % (experts / 2)
	for i, r := range g.ranks {
		if r.armed != 0 && r.armedStep == g.step {
			r.version, r.experts, r.armed, r.prepared = r.armed, r.next, 0, 0
			if i == 0 {
				g.switches++
			}
		}
		if r.version != g.ranks[0].version {
			g.violations = append(g.violations, fmt.Sprintf("group %s began step %d with different maps", g.name, g.step))
		}
		// Two experts of the same rank of the first map get most of the work.
		for range 50 {
			e := g.random.IntN(experts)
			if g.random.IntN(4) > 0 {
				e = (popular + rankCount*g.random.IntN(2)) % experts
			}
			r.counts[e]++
		}
	}
}

// serveRank handles the calls of a rank that are not requests of clients.
func (g *engineGroup) serveRank(w http.ResponseWriter, r *http.Request, rank int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.ranks[rank]
	var body any
	status := http.StatusOK
	switch r.URL.Path {
	case "/currantledge/report":
		body = g.report(rank)
	case "/currantledge/picked":
		body = map[string]any{"step": g.step, "epoch": g.epoch, "counts": state.counts}
		if r.URL.Query().Has("lists") {
			var own [][]int
			for _, set := range state.experts {
				own = append(own, set[rank])
			}
			body = map[string]any{"epoch": g.epoch, "map": map[string]any{"version": state.version, "experts": own}}
		}
	case "/currantledge/order":
		status = g.order(r, state)
	default:
		status = http.StatusNotFound
	}
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (g *engineGroup) report(rank int) map[string]any {
	state, status := g.ranks[rank], "broken"
	if g.open {
		status = "open"
	}
	out := map[string]any{
		"group": map[string]any{"name": g.name, "epoch": g.epoch, "rank": rank, "state": status},
		"size":  rankCount, "step": g.step, "map": state.version,
	}
	if state.prepared != 0 {
		out["prepared"] = state.prepared
	}
	if state.armed != 0 {
		out["armed"] = state.armed
	}
	if state.held {
		out["held"] = state.heldStep
	}
	return out
}

// order carries out an order and returns the status of its response.
func (g *engineGroup) order(r *http.Request, state *rankState) int {
	var o struct {
		Op      string    `json:"op"`
		Epoch   uint64    `json:"epoch"`
		Version uint64    `json:"version"`
		Step    uint64    `json:"step"`
		Map     expertMap `json:"map"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		return http.StatusBadRequest
	}
	if o.Epoch != g.epoch || !g.open {
		return http.StatusConflict
	}
	switch o.Op {
	case "prepare":
		if o.Version == state.prepared {
			return http.StatusOK
		}
		if o.Version <= max(state.version, state.prepared) || state.armed != 0 {
			return http.StatusConflict
		}
		state.prepared, state.next = o.Version, o.Map
		return http.StatusOK
	case "arm":
		if o.Version == state.armed && o.Step == state.armedStep {
			return http.StatusOK
		}
		if o.Version != state.prepared || o.Step <= g.step {
			return http.StatusConflict
		}
		state.armed, state.armedStep = o.Version, o.Step
	case "disarm":
		if o.Version == state.version {
			return http.StatusConflict
		}
		if state.armed == o.Version {
			state.armed = 0
		}
	case "hold":
		if o.Step <= g.step {
			return http.StatusConflict
		}
		state.held, state.heldStep, state.heldSince = true, o.Step, time.Now()
	case "go":
		if state.heldStep == o.Step {
			state.held = false
		}
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

// restartRank restarts a rank of a group: the group is closed meanwhile, and the rank has a new id afterwards.
func restartRank(ctx context.Context, d *deployment, pick func(int) int) {
	u := d.ranks[pick(len(d.ranks))]
	if !u.group.isOpen() {
		return
	}
	u.group.close()
	waiter.For(ctx, groupOutage)
	former := u.rename()
	d.store.Delete("servers", former)
	d.listRank(u)
	u.group.form()
}

// checkGroups checks that no guarantee of a map was violated and that each group gets a map after it has formed again.
func (d *deployment) checkGroups(ctx context.Context, r *results) {
	before := make([]int, len(d.groups))
	for i, g := range d.groups {
		g.form()
		before[i] = g.switchCount()
	}
	deadline := time.Now().Add(recoveryTimeout)
	for i, g := range d.groups {
		for g.switchCount() == before[i] && time.Now().Before(deadline) && waiter.For(ctx, stepPeriod) {
			continue
		}
		r.check(g.switchCount() > before[i], "group %s got no map within %v after it formed", g.name, recoveryTimeout)
		g.mu.Lock()
		r.check(len(g.violations) == 0, "%v", slices.Compact(g.violations))
		g.mu.Unlock()
	}
}

func (g *engineGroup) switchCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.switches
}
