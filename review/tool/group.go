package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	groupSets    = 2
	groupExperts = 16
	groupPlaces  = 5
	groupSpare   = 2
	// passTime is the time of one pass, after which each stream has one more event.
	passTime = 40 * time.Millisecond
	// copyTime is how long a rank takes to copy one expert.
	copyTime = 5 * time.Millisecond
	// reportLag is the age of reports.
	reportLag = 200 * time.Millisecond
	// eventCount is the number of events of a stream.
	eventCount = 10
	// tokensPerEvent is the number of tokens of an event.
	tokensPerEvent = 5
)

// expertMap lists the experts by set and rank.
type expertMap [][][]int

// order is an order to a rank.
type order struct {
	Op      string    `json:"op"`
	Epoch   *uint64   `json:"epoch"`
	Version uint64    `json:"version"`
	Step    uint64    `json:"step"`
	Map     expertMap `json:"map"`
}

// rank is the stand-in of a runner that is one rank of a group.
type rank struct {
	group   *group
	number  int
	id      string
	zone    string
	address string
	// version and experts are those of the map in use.
	version uint64
	experts expertMap
	// highest is the highest version that the rank has had.
	highest uint64
	// prepared is the version that is copied until copied; next is its map.
	prepared uint64
	next     expertMap
	copied   time.Time
	armed    uint64
	armedAt  uint64
	held     *uint64
	// streams are the requests that run or wait on the rank.
	streams []*stream
	counts  []int
	seq     int
}

// stream is a request that a rank runs.
type stream struct {
	topic  int
	events chan int
	sent   int
}

// group is the stand-in of a group of ranks that execute each pass together.
type group struct {
	bed     *bed
	name    string
	service string
	mu      sync.Mutex
	epoch   uint64
	step    uint64
	ranks   []*rank
	// reports holds the recent reports of the ranks, oldest first.
	reports []reportsAt
	// mapBroken describes the first pass that began with different maps.
	mapBroken string
	switches  int
	// lateShare is the share of the orders that get no answer and are carried out later.
	lateShare float64
	random    *rand.Rand
	lateHolds int
}

type reportsAt struct {
	at      time.Time
	reports []map[string]any
}

func (b *bed) newGroup(name, service string, zones []string, seed uint64) *group {
	g := &group{bed: b, name: name, service: service, epoch: 1, random: rand.New(rand.NewPCG(seed, 7))}
	for i, zone := range zones {
		r := &rank{group: g, number: i, id: fmt.Sprintf("i-%08x", 0x5a110000+i), zone: zone, counts: make([]int, groupSets*groupExperts)}
		for range groupSets {
			perRank := make([][]int, len(zones))
			for e := range groupExperts {
				perRank[e%len(zones)] = append(perRank[e%len(zones)], e)
			}
			r.experts = append(r.experts, perRank)
		}
		r.address, _ = serve(b.host(), r)
		g.ranks = append(g.ranks, r)
	}
	go g.run()
	return g
}

func (r *rank) entry() map[string]any {
	return map[string]any{
		"service": r.group.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 12, "state": "ready",
		"coldLeftMs": 0, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "seq": 1,
		"born": r.group.bed.began.UnixMilli(),
	}
}

func engineService(name string) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/healthz", "maxConns": 328, "protocol": "h1", "tls": false, "coldStartS": 0, "coldPerS": 0,
		"engine": map[string]any{
			"slots": 12, "kvCapacity": 372000, "kvTokenBytes": 96256, "linkMbps": 180000.0, "stride": 5,
			"models": []any{map[string]any{"name": "m"}}, "step_ms": 5.85, "per_seq_ms": 0.355, "context_per_k": 0.036,
			"read_per_s": 61200.0, "pairs_per_m": 0.325, "chunk": 512, "report_lag_ms": reportLag.Milliseconds(), "loadsPerS": 0.0,
			"loads_at_once": 8, "usual": map[string]any{"prompt": 835, "answer": 139}, "sets": groupSets, "experts": groupExperts,
			"places": groupPlaces, "spare": groupSpare, "expertMb": 112.5, "expertShare": 0.85, "form_ms": 600.0,
		},
	}
}

// run makes passes while there is work.
func (g *group) run() {
	for {
		time.Sleep(passTime)
		g.pass()
	}
}

// pass begins the next pass, unless the group is idle or held, and ends it.
func (g *group) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.recordReports(now)
	busy := slices.ContainsFunc(g.ranks, func(r *rank) bool { return len(r.streams) > 0 })
	if !busy {
		return
	}
	for _, r := range g.ranks {
		if r.held != nil && *r.held == g.step+1 {
			return
		}
	}
	g.step++
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedAt == g.step {
			r.version, r.experts, r.armed, r.prepared = r.armed, r.next, 0, 0
			if r.number == 0 {
				g.switches++
				g.bed.log("group: pass %d begins with map %d", g.step, r.version)
			}
		}
	}
	for _, r := range g.ranks {
		if r.version != g.ranks[0].version && g.mapBroken == "" {
			g.mapBroken = fmt.Sprintf("pass %d began with map %d on rank 0 and map %d on rank %d", g.step, g.ranks[0].version, r.version, r.number)
			g.bed.log("BROKEN: %s", g.mapBroken)
		}
	}
	for _, r := range g.ranks {
		for _, s := range r.streams {
			s.sent++
			for range tokensPerEvent {
				for set := range groupSets {
					// Four in five tokens of a topic choose experts that map 0 puts on one rank.
					e := g.random.IntN(groupExperts)
					if g.random.IntN(5) > 0 {
						e = (s.topic%len(g.ranks) + len(g.ranks)*g.random.IntN(groupExperts/len(g.ranks))) % groupExperts
					}
					r.counts[set*groupExperts+e]++
				}
			}
			s.events <- s.sent
		}
		r.streams = slices.DeleteFunc(r.streams, func(s *stream) bool {
			if s.sent == eventCount {
				close(s.events)
			}
			return s.sent == eventCount
		})
	}
}

func (g *group) recordReports(now time.Time) {
	var all []map[string]any
	for _, r := range g.ranks {
		report := map[string]any{
			"stage": "both", "models": []any{}, "busy": r.prepared != 0 && now.Before(r.copied), "seq": r.seq, "queued": 0,
			"running": len(r.streams), "kvUsed": 0, "kvTotal": 372000, "handles": 0, "pace": 1.0,
			"group": map[string]any{"name": g.name, "epoch": g.epoch, "rank": r.number, "state": "open"},
			"size":  len(g.ranks), "step": g.step, "map": r.version, "born": g.bed.began.UnixMilli(),
		}
		if r.prepared != 0 && !now.Before(r.copied) {
			report["prepared"] = r.prepared
		}
		if r.armed != 0 {
			report["armed"] = r.armed
		}
		if r.held != nil {
			report["held"] = *r.held
		}
		all = append(all, report)
	}
	g.reports = append(g.reports, reportsAt{now, all})
	for len(g.reports) > 1 && now.Sub(g.reports[1].at) >= reportLag {
		g.reports = g.reports[1:]
	}
}

func (r *rank) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
	if want := q.Header.Get("Expect-Runner"); want != "" && want != r.id {
		w.Header().Set("Runner-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/currantledge/report":
		r.group.mu.Lock()
		var report map[string]any
		if len(r.group.reports) > 0 {
			report = r.group.reports[0].reports[r.number]
		}
		r.group.mu.Unlock()
		writeJSON(w, report)
	case "/currantledge/picked":
		r.picked(w, q)
	case "/currantledge/order":
		r.serveOrder(w, q)
	default:
		r.serveStream(w, q)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (r *rank) picked(w http.ResponseWriter, q *http.Request) {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if !q.URL.Query().Has("lists") {
		writeJSON(w, map[string]any{"step": g.step, "epoch": g.epoch, "counts": slices.Clone(r.counts)})
		return
	}
	var own [][]int
	for _, set := range r.experts {
		own = append(own, set[r.number])
	}
	writeJSON(w, map[string]any{"epoch": g.epoch, "map": map[string]any{"version": r.version, "experts": own}})
}

func (r *rank) serveOrder(w http.ResponseWriter, q *http.Request) {
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g := r.group
	g.mu.Lock()
	if g.random.Float64() < g.lateShare {
		delay := time.Duration((2 + 10*g.random.Float64()) * float64(time.Second))
		g.mu.Unlock()
		g.bed.log("rank %d: %s version %d step %d gets no answer and is carried out %.1f s later", r.number, o.Op, o.Version, o.Step, delay.Seconds())
		time.AfterFunc(delay, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			status := r.carryOut(o)
			if o.Op == "hold" && status == http.StatusAccepted {
				g.lateHolds++
			}
			g.bed.log("rank %d: the late %s version %d step %d is carried out: %d", r.number, o.Op, o.Version, o.Step, status)
		})
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status := r.carryOut(o)
	g.mu.Unlock()
	g.bed.log("rank %d: %s version %d step %d: %d", r.number, o.Op, o.Version, o.Step, status)
	w.WriteHeader(status)
}

// carryOut carries out an order and returns the status of its answer. It is called with the lock of the group held.
func (r *rank) carryOut(o order) int {
	g, now := r.group, time.Now()
	if o.Epoch != nil && *o.Epoch != g.epoch {
		return http.StatusConflict
	}
	done := func(holds bool) int {
		if holds {
			return http.StatusOK
		}
		r.seq++
		return http.StatusAccepted
	}
	switch o.Op {
	case "prepare":
		switch {
		case o.Version == r.version, o.Version == r.prepared && !now.Before(r.copied):
			return http.StatusOK
		case o.Version == r.prepared:
			return http.StatusAccepted
		case o.Version <= r.highest || r.armed != 0:
			return http.StatusConflict
		}
		most, total := 0, 0
		for set, perRank := range o.Map {
			fresh := 0
			for _, e := range perRank[r.number] {
				if !slices.Contains(r.experts[set][r.number], e) {
					fresh++
				}
			}
			if len(perRank[r.number]) > groupPlaces {
				return http.StatusConflict
			}
			most, total = max(most, fresh), total+fresh
		}
		if most > groupSpare {
			return http.StatusConflict
		}
		r.highest, r.prepared, r.next = o.Version, o.Version, o.Map
		r.copied = now.Add(time.Duration(total) * copyTime)
		return done(total == 0)
	case "arm":
		switch {
		case r.armed == o.Version && r.armedAt == o.Step:
			return http.StatusOK
		case r.prepared != o.Version || now.Before(r.copied) || o.Step <= g.step:
			return http.StatusConflict
		}
		r.armed, r.armedAt = o.Version, o.Step
		return done(false)
	case "disarm":
		switch {
		case o.Version == r.version:
			return http.StatusConflict
		case r.armed != o.Version:
			return http.StatusOK
		}
		r.armed = 0
		return done(false)
	case "hold":
		switch {
		case r.held != nil && *r.held == o.Step:
			return http.StatusOK
		case r.held != nil || o.Step <= g.step:
			return http.StatusConflict
		}
		step := o.Step
		r.held = &step
		return done(false)
	case "go":
		if r.held == nil {
			return http.StatusOK
		}
		if *r.held != o.Step {
			return http.StatusConflict
		}
		r.held = nil
		return done(false)
	}
	return http.StatusBadRequest
}

// serveStream runs a request: it waits for the passes of the group and writes an event after each.
func (r *rank) serveStream(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	if r.serveOtherVersion(w, q) {
		return
	}
	g := r.group
	id := q.Header.Get("Request-Id")
	// The path ends with the topic, which decides on the experts.
	topic, _ := strconv.Atoi(q.URL.Path[strings.LastIndexByte(q.URL.Path, '/')+1:])
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	s := &stream{topic: topic, events: make(chan int, eventCount), sent: first}
	g.mu.Lock()
	w.Header().Set("Runner-Load", fmt.Sprintf("%d,0,12", len(r.streams)))
	if len(r.streams) >= 12 || first >= eventCount {
		g.mu.Unlock()
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.streams = append(r.streams, s)
	g.mu.Unlock()
	g.bed.log("rank %d: %s waits for the next pass", r.number, id)
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		r.streams = slices.DeleteFunc(r.streams, func(other *stream) bool { return other == s })
	}()
	w.Header().Set("Runner-Stamp", r.id+"."+id)
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	for {
		select {
		case n, more := <-s.events:
			if !more {
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id)
			_ = http.NewResponseController(w).Flush()
		case <-q.Context().Done():
			g.bed.log("rank %d: %s was cut off", r.number, id)
			return
		}
	}
}

// weightsVersion is the version of the weights of all runners.
const weightsVersion = "1"

// serveOtherVersion rejects a request for another version of the weights, and reports whether it is one.
func (r *rank) serveOtherVersion(w http.ResponseWriter, q *http.Request) bool {
	want := q.Header.Get("Expect-Version")
	if want == "" || want == weightsVersion {
		return false
	}
	w.Header().Set("Runner-Id", r.id)
	w.Header().Set("At-Server", r.id)
	w.Header().Set("Weight-Versions", weightsVersion)
	w.WriteHeader(http.StatusMisdirectedRequest)
	r.group.bed.log("rank %d: %s wants version %s of the weights: 421", r.number, q.Header.Get("Request-Id"), want)
	return true
}
