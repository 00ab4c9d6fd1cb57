// Package rebalancer chooses which ranks of a group hold which experts, for engines that split the tokens of an expert
// evenly over its holders. It answers skewed popularity: the most loaded rank of each set of layers slows every step. It
// has no I/O and no clock.
package rebalancer

import (
	"math"
	"slices"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Layout lists the experts that each rank holds, by set of layers and rank.
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

// Shape describes what a rank can hold.
type Shape struct {
	Experts int
	// Places is the number of experts of a set on a rank.
	Places int
	// Spare is the number of experts of a set that a rank can load in one change.
	Spare int
	// Enough is the load of the most loaded rank ÷ the mean at which a set is left as it is; each further move loads an
	// expert for little gain.
	Enough float64
}

const (
	// maxMoves bounds the moves in one set and change.
	maxMoves = 64
	// minGain is the relative gain below which a move is not worth an order.
	minGain = 1e-3
	// candidateRanks bounds the ranks that are tried as new holders, the least loaded first.
	candidateRanks = 8
)

// Skew returns the load of the most loaded rank ÷ the mean, as a mean over the sets.
func Skew(l Layout, popularity [][]float64) float64 {
	if len(l) == 0 {
		return 1
	}
	sum := 0.0
	for s, ranks := range l {
		loads := newSet(ranks, popularity[s], Shape{Experts: len(popularity[s])}).loads
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

// Improve returns a layout that evens out the load and can be loaded in one change.
func Improve(l Layout, popularity [][]float64, shape Shape) Layout {
	out := make(Layout, len(l))
	for s, ranks := range l {
		w := newSet(ranks, popularity[s], shape)
		w.improve()
		out[s] = w.ranks
	}
	return out
}

// set is one set of layers under change.
type set struct {
	shape      Shape
	popularity []float64
	ranks      [][]identifier.Expert
	before     [][]identifier.Expert
	holders    []int
	loads      []float64
	added      []int
	mean       float64
	// holdersOf lists the ranks that hold each expert.
	holdersOf [][]int
	// delta and touched are the loads that a move under trial would change.
	delta   []float64
	touched []int
	moves   []move
}

func newSet(ranks [][]identifier.Expert, popularity []float64, shape Shape) *set {
	w := &set{
		shape:      shape,
		popularity: popularity,
		ranks:      make([][]identifier.Expert, len(ranks)),
		before:     ranks,
		holders:    make([]int, shape.Experts),
		loads:      make([]float64, len(ranks)),
		added:      make([]int, len(ranks)),
		holdersOf:  make([][]int, shape.Experts),
		delta:      make([]float64, len(ranks)),
	}
	for r, experts := range ranks {
		w.ranks[r] = slices.Clone(experts)
		for _, e := range experts {
			w.holders[e]++
			w.holdersOf[e] = append(w.holdersOf[e], r)
		}
	}
	total := 0.0
	for r := range ranks {
		w.loads[r] = w.loadOf(r)
		total += w.loads[r]
	}
	w.mean = max(total/float64(max(len(ranks), 1)), math.SmallestNonzeroFloat64)
	return w
}

func (w *set) loadOf(r int) float64 {
	load := 0.0
	for _, e := range w.ranks[r] {
		load += w.popularity[e] / float64(w.holders[e])
	}
	return load
}

// move gives an expert to a rank, in the place of another one if drop is not none. If from is not none, the expert
// leaves that rank, which takes back the dropped one if swap is set.
type move struct {
	expert identifier.Expert
	to     int
	drop   identifier.Expert
	from   int
	swap   bool
}

const none = -1

func (w *set) improve() {
	current := w.cost()
	for range maxMoves {
		if slices.Max(w.loads) <= w.shape.Enough*w.mean {
			return
		}
		best, cost := w.bestMove(current)
		if best == nil || cost > current*(1-minGain) {
			return
		}
		w.apply(*best)
		current = cost
	}
}

// cost is smaller for evener loads.
func (w *set) cost() float64 {
	sum := 0.0
	for _, v := range w.loads {
		sum += power(v / w.mean)
	}
	return sum
}

// power raises to the eighth power, so that the cost of a set follows its most loaded ranks and still rewards the relief
// of one of several.
func power(x float64) float64 {
	x *= x
	x *= x
	return x * x
}

func (w *set) bestMove(current float64) (*move, float64) {
	order := make([]int, len(w.ranks))
	for r := range order {
		order[r] = r
	}
	slices.SortFunc(order, func(a, b int) int {
		switch {
		case w.loads[a] < w.loads[b]:
			return -1
		case w.loads[a] > w.loads[b]:
			return 1
		}
		return a - b
	})
	heaviest := order[len(order)-1]
	var best *move
	bestCost := current
	for _, e := range slices.Clone(w.ranks[heaviest]) {
		for _, to := range order[:min(candidateRanks, len(order)-1)] {
			if slices.Contains(w.ranks[to], e) {
				continue
			}
			for _, m := range w.options(e, heaviest, to) {
				if !w.allowed(m) {
					continue
				}
				if cost := w.try(current, m); cost < bestCost {
					best, bestCost = &m, cost
				}
			}
		}
	}
	return best, bestCost
}

// options lists the ways in which a rank can take over an expert of another one.
func (w *set) options(e identifier.Expert, from, to int) []move {
	out := w.moves[:0]
	if len(w.ranks[to]) < w.shape.Places {
		out = append(out, move{expert: e, to: to, drop: none, from: none}, move{expert: e, to: to, drop: none, from: from})
	}
	for _, d := range w.ranks[to] {
		if w.holders[d] > 1 {
			out = append(out, move{expert: e, to: to, drop: d, from: none}, move{expert: e, to: to, drop: d, from: from})
		}
		if !slices.Contains(w.ranks[from], d) {
			out = append(out, move{expert: e, to: to, drop: d, from: from, swap: true})
		}
	}
	w.moves = out
	return out
}

func (w *set) isNew(r int, e identifier.Expert) bool {
	return !slices.Contains(w.before[r], e)
}

// allowed tells whether the ranks can load what the move gives them.
func (w *set) allowed(m move) bool {
	return w.fits(m.to, m.expert, m.drop) && (!m.swap || w.fits(m.from, m.drop, m.expert))
}

func (w *set) fits(r int, gained, lost identifier.Expert) bool {
	if !w.isNew(r, gained) {
		return true
	}
	added := w.added[r] + 1
	if lost != none && w.isNew(r, lost) {
		added--
	}
	return added <= w.shape.Spare
}

// try returns the cost after a move, without carrying it out.
func (w *set) try(current float64, m move) float64 {
	share := w.popularity[m.expert] / float64(w.holders[m.expert])
	if m.from != none {
		w.change(m.from, -share)
		w.change(m.to, share)
	} else {
		w.spread(m.expert, m.to, w.holders[m.expert]+1)
	}
	if m.drop != none {
		share := w.popularity[m.drop] / float64(w.holders[m.drop])
		w.change(m.to, -share)
		if m.swap {
			w.change(m.from, share)
		} else {
			w.spread(m.drop, m.to, w.holders[m.drop]-1)
			// The rank that drops the expert takes no part in the larger shares of its other holders.
			w.change(m.to, -w.popularity[m.drop]*(1/float64(w.holders[m.drop]-1)-1/float64(w.holders[m.drop])))
		}
	}
	for _, r := range w.touched {
		current += power((w.loads[r]+w.delta[r])/w.mean) - power(w.loads[r]/w.mean)
		w.delta[r] = 0
	}
	w.touched = w.touched[:0]
	return current
}

// spread notes the loads of an expert's holders if their number changes; a new holder gets a whole share.
func (w *set) spread(e identifier.Expert, to, holders int) {
	change := w.popularity[e]/float64(holders) - w.popularity[e]/float64(w.holders[e])
	for _, r := range w.holdersOf[e] {
		w.change(r, change)
	}
	if holders > w.holders[e] {
		w.change(to, w.popularity[e]/float64(holders))
	}
}

func (w *set) change(r int, by float64) {
	if w.delta[r] == 0 {
		w.touched = append(w.touched, r)
	}
	w.delta[r] += by
}

func (w *set) apply(m move) {
	if m.drop != none {
		w.remove(m.to, m.drop)
	}
	w.add(m.to, m.expert)
	if m.from != none {
		w.remove(m.from, m.expert)
	}
	if m.swap {
		w.add(m.from, m.drop)
	}
}

func (w *set) add(r int, e identifier.Expert) {
	w.shift(e, w.holders[e], w.holders[e]+1)
	w.holders[e]++
	w.holdersOf[e] = append(w.holdersOf[e], r)
	w.ranks[r] = append(w.ranks[r], e)
	w.loads[r] += w.popularity[e] / float64(w.holders[e])
	if w.isNew(r, e) {
		w.added[r]++
	}
}

func (w *set) remove(r int, e identifier.Expert) {
	w.ranks[r] = slices.DeleteFunc(w.ranks[r], func(x identifier.Expert) bool { return x == e })
	w.holdersOf[e] = slices.DeleteFunc(w.holdersOf[e], func(x int) bool { return x == r })
	w.loads[r] -= w.popularity[e] / float64(w.holders[e])
	w.shift(e, w.holders[e], w.holders[e]-1)
	w.holders[e]--
	if w.isNew(r, e) {
		w.added[r]--
	}
}

// shift changes the loads of the present holders of an expert when their number changes.
func (w *set) shift(e identifier.Expert, from, to int) {
	if from == 0 || to == 0 {
		return
	}
	change := w.popularity[e]/float64(to) - w.popularity[e]/float64(from)
	for _, r := range w.holdersOf[e] {
		w.loads[r] += change
	}
}

// Loads returns the largest number of experts that a rank has to load to get from one layout to another.
func Loads(from, to Layout) int {
	most := 0
	if len(to) == 0 {
		return most
	}
	for r := range to[0] {
		loads := 0
		for s := range to {
			for _, e := range to[s][r] {
				if !slices.Contains(from[s][r], e) {
					loads++
				}
			}
		}
		most = max(most, loads)
	}
	return most
}
