// Package rebalancer chooses which ranks of a group hold which experts, so that the load of the ranks stays even when
// the popularity of the experts is skewed: the most loaded rank of each set of layers slows every step. It assumes
// engines that split the tokens of an expert evenly over the ranks that hold it. The package has no I/O and no clock.
package rebalancer

import (
	"math"
	"slices"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Layout lists the experts that each rank holds, indexed by set of layers, then by rank.
type Layout [][][]identifier.Expert

// Clone returns a deep copy.
func (l Layout) Clone() Layout {
	out := make(Layout, len(l))
	for s, ranks := range l {
		out[s] = make([][]identifier.Expert, len(ranks))
		for r, experts := range ranks {
			out[s][r] = slices.Clone(experts)
		}
	}
	return out
}

// Constraints bounds the layouts of a group and the change from one layout to the next.
type Constraints struct {
	// Experts is the number of experts of a set.
	Experts int
	// Places is the number of experts of a set that a rank can hold.
	Places int
	// Spare is the number of experts of a set that a rank can load in one change.
	Spare int
	// Loads is the number of experts of all sets that a rank may load in one change, since it loads them one after the
	// other; 0 means no limit.
	Loads int
	// TargetSkew is the skew of a set (see Skew) at or below which the set is not improved further: each further move
	// loads an expert for little gain.
	TargetSkew float64
}

const (
	// minMoves and movesPerRank bound the moves within one set in one change: the larger of minMoves and movesPerRank for
	// each rank.
	minMoves     = 64
	movesPerRank = 1
	// minCostReduction is the relative reduction of the cost below which a move is not worth loading an expert.
	minCostReduction = 1e-3
	// maxCandidates bounds the ranks that are considered as new holders, the least loaded first.
	maxCandidates = 8
)

// Skew returns the ratio of the load of the most loaded rank to the mean load, averaged over the sets. It is 1 for an
// even load. The popularity is indexed by set, then by expert, in any unit.
func Skew(l Layout, popularity [][]float64) float64 {
	if len(l) == 0 {
		return 1
	}
	sum := 0.0
	for s, ranks := range l {
		loads := newLayerSet(ranks, popularity[s], Constraints{Experts: len(popularity[s])}, nil).loads
		total := 0.0
		for _, v := range loads {
			total += v
		}
		if total == 0 {
			sum++
			continue
		}
		sum += slices.Max(loads) * float64(len(loads)) / total
	}
	return sum / float64(len(l))
}

// Improve returns a layout with a more even load that the ranks can load in one change. It searches greedily: ranks may
// load few experts over all sets, so of the best move of each set, it applies the one that reduces the skew most for each
// expert loaded. It leaves l unchanged.
func Improve(l Layout, popularity [][]float64, constraints Constraints) Layout {
	s := newSearch(l, popularity, constraints)
	for s.applyBest() {
	}
	return s.layout()
}

// search is the state of the search over all sets.
type search struct {
	sets []*layerSet
	// best holds the best move of each set after the moves so far.
	best []ratedMove
	// movesLeft is the number of moves that may still be applied to each set.
	movesLeft []int
}

func newSearch(l Layout, popularity [][]float64, constraints Constraints) *search {
	s := &search{best: make([]ratedMove, len(l)), movesLeft: make([]int, len(l))}
	var loads []int
	for i, ranks := range l {
		if loads == nil {
			loads = make([]int, len(ranks))
		}
		s.sets = append(s.sets, newLayerSet(ranks, popularity[i], constraints, loads))
		s.movesLeft[i] = max(minMoves, movesPerRank*len(ranks))
		s.best[i] = s.sets[i].rateBestMove()
	}
	return s
}

// applyBest applies the best move of all sets. It returns false if there is none.
func (s *search) applyBest() bool {
	best := none
	for i, m := range s.best {
		if m.move != nil && (best == none || m.gain > s.best[best].gain) {
			best = i
		}
	}
	if best == none {
		return false
	}
	// Moves of other sets may have used up the loads of a rank since the move was found.
	if m := *s.best[best].move; s.sets[best].allowed(m) {
		s.sets[best].apply(m)
		s.movesLeft[best]--
	}
	s.best[best] = ratedMove{}
	if s.movesLeft[best] > 0 {
		s.best[best] = s.sets[best].rateBestMove()
	}
	return true
}

func (s *search) layout() Layout {
	out := make(Layout, len(s.sets))
	for i, set := range s.sets {
		out[i] = set.ranks
	}
	return out
}

// ratedMove is the best move of a set, or nil, and by how much it reduces the skew of the set for each expert loaded.
type ratedMove struct {
	move *move
	gain float64
}

// layerSet is the state of the search for one set of layers.
type layerSet struct {
	constraints Constraints
	popularity  []float64
	// ranks lists the experts that each rank holds after the moves so far, and original those in the old layout.
	ranks    [][]identifier.Expert
	original [][]identifier.Expert
	// holderCount is the number of ranks that hold each expert.
	holderCount []int
	// loads is the load of each rank.
	loads []float64
	// added is the number of experts of the set that each rank has to load, and loaded that of all sets, which share it.
	added  []int
	loaded []int
	// meanLoad is the mean of loads.
	meanLoad float64
	// holdersOf lists the ranks that hold each expert.
	holdersOf [][]int
	// delta is the change of the load of each rank by the move under evaluation; touched lists the ranks for which it is
	// set.
	delta   []float64
	touched []int
	// moves is the reused result of moveOptions.
	moves []move
}

func newLayerSet(ranks [][]identifier.Expert, popularity []float64, constraints Constraints, loaded []int) *layerSet {
	s := &layerSet{
		constraints: constraints,
		popularity:  popularity,
		ranks:       make([][]identifier.Expert, len(ranks)),
		original:    ranks,
		holderCount: make([]int, constraints.Experts),
		loads:       make([]float64, len(ranks)),
		added:       make([]int, len(ranks)),
		loaded:      loaded,
		holdersOf:   make([][]int, constraints.Experts),
		delta:       make([]float64, len(ranks)),
	}
	for r, experts := range ranks {
		s.ranks[r] = slices.Clone(experts)
		for _, e := range experts {
			s.holderCount[e]++
			s.holdersOf[e] = append(s.holdersOf[e], r)
		}
	}
	total := 0.0
	for r := range ranks {
		s.loads[r] = s.loadOf(r)
		total += s.loads[r]
	}
	// The lower bound avoids a division by 0.
	s.meanLoad = max(total/float64(max(len(ranks), 1)), math.SmallestNonzeroFloat64)
	return s
}

func (s *layerSet) loadOf(r int) float64 {
	load := 0.0
	for _, e := range s.ranks[r] {
		load += s.popularity[e] / float64(s.holderCount[e])
	}
	return load
}

// move adds an expert to rank to, which drops another expert unless drop is none. If from is not none, the expert is
// removed from that rank, which takes over the dropped expert if swap is set.
type move struct {
	expert identifier.Expert
	to     int
	drop   identifier.Expert
	from   int
	swap   bool
}

// none stands for no expert or no rank in a move.
const none = -1

// rateBestMove returns the best move, without one if the skew is at most the target or no move reduces the cost enough.
func (s *layerSet) rateBestMove() ratedMove {
	if slices.Max(s.loads) <= s.constraints.TargetSkew*s.meanLoad {
		return ratedMove{}
	}
	before := s.cost()
	best, after := s.bestMove(before)
	if best == nil || after > before*(1-minCostReduction) {
		return ratedMove{}
	}
	gain := eighthRoot(before) - eighthRoot(after)
	if best.swap {
		gain /= 2
	}
	return ratedMove{move: best, gain: gain}
}

// cost returns the sum of the eighth powers of the relative loads, which is lower for a more even load.
func (s *layerSet) cost() float64 {
	sum := 0.0
	for _, v := range s.loads {
		sum += eighthPower(v / s.meanLoad)
	}
	return sum
}

// eighthPower returns x to the eighth power. The exponent makes the most loaded ranks dominate the cost of a set, while
// the cost still falls if one of several equally loaded ranks is relieved.
func eighthPower(x float64) float64 {
	x *= x
	x *= x
	return x * x
}

// eighthRoot reverses eighthPower. That of a cost is close to the skew of the set.
func eighthRoot(x float64) float64 {
	return math.Sqrt(math.Sqrt(math.Sqrt(x)))
}

// bestMove returns the move with the lowest cost that moves or copies an expert from the most loaded rank to one of the
// least loaded ranks that can take it, and that cost. The move is nil if none reduces the cost.
func (s *layerSet) bestMove(currentCost float64) (*move, float64) {
	byLoad := make([]int, len(s.ranks))
	for r := range byLoad {
		byLoad[r] = r
	}
	slices.SortFunc(byLoad, func(a, b int) int {
		switch {
		case s.loads[a] < s.loads[b]:
			return -1
		case s.loads[a] > s.loads[b]:
			return 1
		}
		return a - b
	})
	mostLoaded := byLoad[len(byLoad)-1]
	var best *move
	bestCost := currentCost
	for _, e := range slices.Clone(s.ranks[mostLoaded]) {
		candidates := 0
		for _, to := range byLoad[:len(byLoad)-1] {
			if slices.Contains(s.ranks[to], e) || s.isNew(to, e) && !s.canLoad(to) {
				continue
			}
			if candidates++; candidates > maxCandidates {
				break
			}
			for _, m := range s.moveOptions(e, mostLoaded, to) {
				if !s.allowed(m) {
					continue
				}
				if cost := s.costAfter(currentCost, m); cost < bestCost {
					best, bestCost = &m, cost
				}
			}
		}
	}
	return best, bestCost
}

// moveOptions lists the moves that copy or move an expert between two ranks. The result is valid until the next call.
func (s *layerSet) moveOptions(e identifier.Expert, from, to int) []move {
	out := s.moves[:0]
	if len(s.ranks[to]) < s.constraints.Places {
		out = append(out, move{expert: e, to: to, drop: none, from: none}, move{expert: e, to: to, drop: none, from: from})
	}
	for _, d := range s.ranks[to] {
		if s.holderCount[d] > 1 {
			out = append(out, move{expert: e, to: to, drop: d, from: none}, move{expert: e, to: to, drop: d, from: from})
		}
		if !slices.Contains(s.ranks[from], d) {
			out = append(out, move{expert: e, to: to, drop: d, from: from, swap: true})
		}
	}
	s.moves = out
	return out
}

// isNew reports whether the rank did not hold the expert in the old layout, so that it has to load it.
func (s *layerSet) isNew(r int, e identifier.Expert) bool {
	return !slices.Contains(s.original[r], e)
}

// allowed reports whether the ranks can load the experts that the move adds to them.
func (s *layerSet) allowed(m move) bool {
	return s.withinSpare(m.to, m.expert, m.drop) && (!m.swap || s.withinSpare(m.from, m.drop, m.expert))
}

// canLoad reports whether the rank may load one more expert of the set.
func (s *layerSet) canLoad(r int) bool {
	return s.added[r] < s.constraints.Spare && (s.constraints.Loads == 0 || s.loaded[r] < s.constraints.Loads)
}

// withinSpare reports whether the rank may load the gained expert once it has dropped the lost one, which may be none.
func (s *layerSet) withinSpare(r int, gained, lost identifier.Expert) bool {
	return !s.isNew(r, gained) || lost != none && s.isNew(r, lost) || s.canLoad(r)
}

// costAfter returns the cost after a move without applying it, given the current cost.
func (s *layerSet) costAfter(cost float64, m move) float64 {
	share := s.popularity[m.expert] / float64(s.holderCount[m.expert])
	if m.from != none {
		s.addDelta(m.from, -share)
		s.addDelta(m.to, share)
	} else {
		s.rescaleDeltas(m.expert, m.to, s.holderCount[m.expert]+1)
	}
	if m.drop != none {
		share := s.popularity[m.drop] / float64(s.holderCount[m.drop])
		s.addDelta(m.to, -share)
		if m.swap {
			s.addDelta(m.from, share)
		} else {
			s.rescaleDeltas(m.drop, m.to, s.holderCount[m.drop]-1)
			// rescaleDeltas also adds to the rank that drops the expert, which gets none of the larger shares.
			s.addDelta(m.to, -s.popularity[m.drop]*(1/float64(s.holderCount[m.drop]-1)-1/float64(s.holderCount[m.drop])))
		}
	}
	for _, r := range s.touched {
		cost += eighthPower((s.loads[r]+s.delta[r])/s.meanLoad) - eighthPower(s.loads[r]/s.meanLoad)
		s.delta[r] = 0
	}
	s.touched = s.touched[:0]
	return cost
}

// rescaleDeltas adds the changes of the loads of an expert's holders if their number changes to holders. If it grows,
// to is the new holder and gets a full share.
func (s *layerSet) rescaleDeltas(e identifier.Expert, to, holders int) {
	change := s.popularity[e]/float64(holders) - s.popularity[e]/float64(s.holderCount[e])
	for _, r := range s.holdersOf[e] {
		s.addDelta(r, change)
	}
	if holders > s.holderCount[e] {
		s.addDelta(to, s.popularity[e]/float64(holders))
	}
}

// addDelta adds to the load change of a rank.
func (s *layerSet) addDelta(r int, by float64) {
	if s.delta[r] == 0 {
		s.touched = append(s.touched, r)
	}
	s.delta[r] += by
}

func (s *layerSet) apply(m move) {
	if m.drop != none {
		s.remove(m.to, m.drop)
	}
	s.add(m.to, m.expert)
	if m.from != none {
		s.remove(m.from, m.expert)
	}
	if m.swap {
		s.add(m.from, m.drop)
	}
}

func (s *layerSet) add(r int, e identifier.Expert) {
	s.rescaleLoads(e, s.holderCount[e], s.holderCount[e]+1)
	s.holderCount[e]++
	s.holdersOf[e] = append(s.holdersOf[e], r)
	s.ranks[r] = append(s.ranks[r], e)
	s.loads[r] += s.popularity[e] / float64(s.holderCount[e])
	if s.isNew(r, e) {
		s.added[r]++
		s.loaded[r]++
	}
}

func (s *layerSet) remove(r int, e identifier.Expert) {
	s.ranks[r] = slices.DeleteFunc(s.ranks[r], func(x identifier.Expert) bool { return x == e })
	s.holdersOf[e] = slices.DeleteFunc(s.holdersOf[e], func(x int) bool { return x == r })
	s.loads[r] -= s.popularity[e] / float64(s.holderCount[e])
	s.rescaleLoads(e, s.holderCount[e], s.holderCount[e]-1)
	s.holderCount[e]--
	if s.isNew(r, e) {
		s.added[r]--
		s.loaded[r]--
	}
}

// rescaleLoads changes the loads of the listed holders of an expert when their number changes from one count to
// another.
func (s *layerSet) rescaleLoads(e identifier.Expert, from, to int) {
	if from == 0 || to == 0 {
		return
	}
	change := s.popularity[e]/float64(to) - s.popularity[e]/float64(from)
	for _, r := range s.holdersOf[e] {
		s.loads[r] += change
	}
}

// Loads returns the number of experts that each rank has to load for the change from one layout to another.
func Loads(from, to Layout) []int {
	if len(to) == 0 {
		return nil
	}
	loads := make([]int, len(to[0]))
	for r := range loads {
		for s := range to {
			for _, e := range to[s][r] {
				if !slices.Contains(from[s][r], e) {
					loads[r]++
				}
			}
		}
	}
	return loads
}

// MaxLoads returns the largest number of experts that a rank has to load for the change from one layout to another.
func MaxLoads(from, to Layout) int {
	most := 0
	for _, n := range Loads(from, to) {
		most = max(most, n)
	}
	return most
}
