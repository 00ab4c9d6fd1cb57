package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The model service of the small deployment: the figures of its site file.
const (
	rankCount   = 16
	setCount    = 4
	expertCount = 64
	placeCount  = 5
	spareCount  = 2
	expertMb    = 880.0
	linkMbps    = 180000.0
	rankSlots   = 12
	stride      = 5
	stepMs      = 5.85
	perSeqMs    = 0.355
	expertShare = 0.85
	// reportLag is the largest age of a report.
	reportLag = 200 * time.Millisecond
	// picksPerPass is how often a stream chooses experts of one set in one pass.
	picksPerPass = 40
)

// expertMap lists the experts by set and rank.
type expertMap [][][]int

// firstMap assigns the experts in turn.
func firstMap() expertMap {
	m := make(expertMap, setCount)
	for s := range m {
		m[s] = make([][]int, rankCount)
		for e := range expertCount {
			m[s][e%rankCount] = append(m[s][e%rankCount], e)
		}
	}
	return m
}

func (m expertMap) equal(other expertMap) bool {
	return slices.EqualFunc(m, other, func(a, b [][]int) bool {
		return slices.EqualFunc(a, b, func(x, y []int) bool {
			x, y = slices.Sorted(slices.Values(x)), slices.Sorted(slices.Values(y))
			return slices.Equal(x, y)
		})
	})
}

// stream is a request that writes an answer.
type stream struct {
	events chan int
	left   int
	sent   int
}

// rank is a model runner: one rank of the group.
type rank struct {
	id      string
	zone    string
	number  int
	group   *group
	address string
	// The fields below belong to the group's lock.
	seq        int
	version    uint64
	highest    uint64
	prepared   uint64
	preparedAt time.Time
	armed      uint64
	armedStep  uint64
	held       bool
	heldStep   uint64
	current    expertMap
	next       expertMap
	counts     [][]float64
	streams    map[*stream]bool
	report     map[string]any
	answers    int
}

// group is a stand-in of a group of ranks that execute each pass together.
type group struct {
	record *record
	runs   *runs
	// onOrder is called with each order before the rank carries it out, and onCarriedOut after it and before the answer;
	// both without the lock held.
	onOrder      func(r *rank, o order)
	onCarriedOut func(r *rank, o order, status int)
	// spoil changes the answer of a rank to a call for its list of experts.
	spoil func(r *rank, raw []byte) []byte
	// spoilCounts changes the answer of a rank to a call for its counts.
	spoilCounts func(r *rank, raw []byte) []byte

	mu         sync.Mutex
	epoch      uint64
	step       uint64
	ranks      []*rank
	popularity [][]float64
	random     *rand.Rand
	passes     int
	switches   int
	violations []string
}

// order is an order to a rank.
type order struct {
	Op      string    `json:"op"`
	Epoch   *uint64   `json:"epoch"`
	Version uint64    `json:"version"`
	Step    uint64    `json:"step"`
	Map     expertMap `json:"map"`
}

func newGroup(rec *record, all *runs) *group {
	g := &group{
		record: rec, runs: all, epoch: 1, random: rand.New(rand.NewPCG(7, 7)),
		onOrder: func(*rank, order) {}, onCarriedOut: func(*rank, order, int) {},
		spoil:       func(_ *rank, raw []byte) []byte { return raw },
		spoilCounts: func(_ *rank, raw []byte) []byte { return raw },
	}
	g.shift()
	for i := range rankCount {
		r := &rank{
			id: fmt.Sprintf("m-%02d", i), number: i, zone: zones[i%len(zones)], group: g, current: firstMap(),
			streams: map[*stream]bool{}, counts: make([][]float64, setCount),
		}
		for s := range r.counts {
			r.counts[s] = make([]float64, expertCount)
		}
		g.ranks = append(g.ranks, r)
	}
	return g
}

// shift draws the demand for the experts anew.
func (g *group) shift() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.popularity = make([][]float64, setCount)
	for s := range g.popularity {
		g.popularity[s] = make([]float64, expertCount)
		total := 0.0
		for i, e := range g.random.Perm(expertCount) {
			g.popularity[s][e] = 1 / math.Pow(float64(i+1), 0.9)
			total += g.popularity[s][e]
		}
		for e := range g.popularity[s] {
			g.popularity[s][e] /= total
		}
	}
}

// run executes passes until the process ends. An idle group makes none.
func (g *group) run() {
	for _, r := range g.ranks {
		go r.refreshReports()
	}
	for {
		took := g.beginPass()
		if took == 0 {
			time.Sleep(2 * time.Millisecond)
			continue
		}
		time.Sleep(took)
		g.endPass()
	}
}

// beginPass begins the next pass and returns how long it takes, or 0 if none can begin.
func (g *group) beginPass() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	most := 0
	for _, r := range g.ranks {
		if r.held && r.heldStep == g.step+1 {
			return 0
		}
		most = max(most, len(r.streams))
	}
	if most == 0 {
		return 0
	}
	g.step++
	g.passes++
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedStep == g.step {
			r.version, r.current, r.armed, r.prepared = r.armed, r.next, 0, 0
			if r.number == 0 {
				g.switches++
			}
		}
	}
	g.checkMaps()
	load := stride * (stepMs + perSeqMs*float64(most))
	return time.Duration(load * (1 - expertShare + expertShare*g.skew()) * float64(time.Millisecond))
}

// checkMaps records that ranks begin a pass with different maps. The caller holds mu.
func (g *group) checkMaps() {
	versions := map[uint64]int{}
	differ := false
	for _, r := range g.ranks {
		versions[r.version]++
		differ = differ || r.version != g.ranks[0].version || !r.current.equal(g.ranks[0].current)
	}
	if !differ {
		return
	}
	text := fmt.Sprintf("pass %d begins while the ranks have maps of versions %v (version: ranks)", g.step, versions)
	g.violations = append(g.violations, text)
	if len(g.violations) <= 20 {
		g.record.add("MAP BROKEN: %s", text)
	}
}

// skew is the load of the most loaded rank of each set as a multiple of the mean, on average. The caller holds mu.
func (g *group) skew() float64 {
	sum := 0.0
	for s, popularity := range g.popularity {
		holders := make([]int, expertCount)
		for i, r := range g.ranks {
			for _, e := range r.current[s][i] {
				holders[e]++
			}
		}
		most := 0.0
		for i, r := range g.ranks {
			load := 0.0
			for _, e := range r.current[s][i] {
				load += popularity[e] / float64(holders[e])
			}
			most = max(most, load)
		}
		sum += most * rankCount
	}
	return sum / setCount
}

// endPass ends a pass: each stream gets an event.
func (g *group) endPass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		for st := range r.streams {
			for s := range r.counts {
				for range picksPerPass {
					r.counts[s][g.draw(s)]++
				}
			}
			st.sent++
			select {
			case st.events <- st.sent:
			default:
			}
			if st.sent == st.left {
				close(st.events)
				delete(r.streams, st)
			}
		}
	}
}

// draw draws an expert of a set. The caller holds mu.
func (g *group) draw(set int) int {
	x := g.random.Float64()
	for e, p := range g.popularity[set] {
		if x -= p; x < 0 {
			return e
		}
	}
	return expertCount - 1
}

// refreshReports renews the report of the rank, which is up to reportLag old when it is read.
func (r *rank) refreshReports() {
	time.Sleep(time.Duration(r.number) * reportLag / rankCount)
	for {
		r.group.mu.Lock()
		r.report = r.state()
		r.group.mu.Unlock()
		time.Sleep(reportLag)
	}
}

// state returns the present state of the rank as a report. The caller holds the group's lock.
func (r *rank) state() map[string]any {
	out := map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq": r.seq,
		"queued": 0, "running": len(r.streams), "kvUsed": 0, "kvTotal": 372000, "handles": 0, "pace": 1.0,
		"group": map[string]any{"name": "g0", "epoch": r.group.epoch, "rank": r.number, "state": "open"}, "size": rankCount,
		"step": r.group.step, "map": r.version,
	}
	if r.prepared != 0 && !time.Now().Before(r.preparedAt) {
		out["prepared"] = r.prepared
	}
	if r.armed != 0 {
		out["armed"] = r.armed
	}
	if r.held {
		out["held"] = r.heldStep
	}
	return out
}

// entry is the row of the rank in the platform's store.
func (r *rank) entry() map[string]any {
	return map[string]any{
		"service": "m", "address": r.address, "zone": r.zone, "version": "1", "slots": rankSlots, "state": "ready",
		"coldLeftMs": 0, "seq": time.Now().UnixMilli(),
	}
}

// ServeHTTP serves the calls of a rank and the requests of clients.
func (r *rank) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if expected := q.Header.Get("Expect-Runner"); expected != "" && expected != r.id {
		w.Header().Set("Runner-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.group.mu.Lock()
	r.answers++
	r.group.mu.Unlock()
	switch q.URL.Path {
	case "/currantledge/report":
		r.group.mu.Lock()
		raw, _ := json.Marshal(r.report)
		r.group.mu.Unlock()
		writeJSON(w, http.StatusOK, raw)
	case "/currantledge/picked":
		r.servePicked(w, q)
	case "/currantledge/order":
		var o order
		if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.group.onOrder(r, o)
		status := r.carryOut(o)
		r.group.onCarriedOut(r, o, status)
		w.WriteHeader(status)
	default:
		r.serveStream(w, q)
	}
}

func writeJSON(w http.ResponseWriter, status int, raw []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (r *rank) servePicked(w http.ResponseWriter, q *http.Request) {
	g := r.group
	g.mu.Lock()
	out := map[string]any{"step": g.step, "epoch": g.epoch}
	isList := q.URL.Query().Has("lists")
	if isList {
		own := make([][]int, setCount)
		for s := range own {
			own[s] = r.current[s][r.number]
		}
		out["map"] = map[string]any{"version": r.version, "experts": own}
	} else {
		var counts []float64
		for _, set := range r.counts {
			counts = append(counts, set...)
		}
		out["counts"] = counts
	}
	raw, _ := json.Marshal(out)
	g.mu.Unlock()
	if isList {
		raw = g.spoil(r, raw)
	} else {
		raw = g.spoilCounts(r, raw)
	}
	writeJSON(w, http.StatusOK, raw)
}

// carryOut carries out an order and returns the status of the answer.
func (r *rank) carryOut(o order) int {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.Epoch != nil && *o.Epoch != g.epoch {
		return http.StatusConflict
	}
	now := time.Now()
	switch o.Op {
	case "prepare":
		return r.prepare(now, o)
	case "arm":
		switch {
		case r.armed == o.Version && r.armedStep == o.Step:
			return http.StatusOK
		case r.armed != 0 || r.prepared != o.Version || now.Before(r.preparedAt) || o.Step <= g.step:
			return http.StatusConflict
		}
		r.armed, r.armedStep = o.Version, o.Step
	case "disarm":
		switch {
		case o.Version == r.version:
			return http.StatusConflict
		case r.armed != o.Version:
			return http.StatusOK
		}
		r.armed, r.armedStep = 0, 0
	case "hold":
		switch {
		case o.Step <= g.step, r.held && r.heldStep != o.Step:
			return http.StatusConflict
		case r.held:
			return http.StatusOK
		}
		r.held, r.heldStep = true, o.Step
	case "go":
		switch {
		case !r.held:
			return http.StatusOK
		case r.heldStep != o.Step:
			return http.StatusConflict
		}
		r.held = false
	default:
		return http.StatusBadRequest
	}
	r.seq++
	return http.StatusAccepted
}

// prepare makes the rank load a map. The caller holds the group's lock.
func (r *rank) prepare(now time.Time, o order) int {
	switch {
	case r.prepared == o.Version && now.Before(r.preparedAt):
		return http.StatusAccepted
	case r.prepared == o.Version && o.Version != 0:
		return http.StatusOK
	case o.Version <= r.highest, r.armed != 0, len(o.Map) != setCount:
		return http.StatusConflict
	}
	loads := 0
	for s, ranks := range o.Map {
		held := make([]int, expertCount)
		isNew := 0
		for i, experts := range ranks {
			if len(experts) > placeCount {
				return http.StatusConflict
			}
			for _, e := range experts {
				if e < 0 || e >= expertCount {
					return http.StatusConflict
				}
				held[e]++
				if i == r.number && !slices.Contains(r.current[s][i], e) {
					isNew++
				}
			}
		}
		if isNew > spareCount || slices.Contains(held, 0) {
			return http.StatusConflict
		}
		loads += isNew
	}
	r.seq++
	r.highest, r.prepared, r.next = o.Version, o.Version, o.Map
	r.preparedAt = now.Add(time.Duration(float64(loads) * expertMb * 8 / linkMbps * float64(time.Second)))
	return http.StatusAccepted
}

// serveStream answers a request with a stream of events, one a pass.
func (r *rank) serveStream(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	_, _ = io.Copy(io.Discard, q.Body)
	st := &stream{events: make(chan int, 256), left: 28}
	r.group.mu.Lock()
	isFull := len(r.streams) >= rankSlots
	w.Header().Set("Runner-Load", fmt.Sprintf("%d,0,%d", len(r.streams), rankSlots))
	if !isFull {
		r.streams[st] = true
	}
	r.group.mu.Unlock()
	w.Header().Set("Request-Id", id)
	if isFull {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.group.mu.Lock()
		defer r.group.mu.Unlock()
		delete(r.streams, st)
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Runner-Stamp", stamp(r.id, id))
	r.group.runs.add(id, r.id)
	flusher := http.NewResponseController(w)
	for {
		select {
		case n, more := <-st.events:
			if !more {
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", n, id, n)
			if flusher.Flush() != nil {
				return
			}
		case <-q.Context().Done():
			return
		}
	}
}
