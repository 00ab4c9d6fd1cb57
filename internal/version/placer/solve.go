package placer

import "sort"

// solveMoves bounds the refinement of a map that is solved from nothing.
const solveMoves = 48

// solve makes a map from nothing: replicas in proportion to popularity, the largest first on the rank that
// finishes earliest, then single moves while they help.
func solve(popularity []float64, ranks []Rank) *layout {
	l := newLayout(popularity, ranks)
	for _, e := range replicaOrder(popularity, replicaCounts(popularity, ranks)) {
		l.place(e.expert, e.work)
	}
	for e := range l.hosts {
		for _, r := range l.hosts[e] {
			l.put(e, r, popularity[e]/float64(len(l.hosts[e])))
		}
	}
	l.split(splitSweeps)
	ideal := l.ideal()
	for range solveMoves {
		if l.improve(ideal) == 0 {
			break
		}
	}
	return l
}

// replicaCounts gives each expert one replica and each further slot to the expert with the most work per replica.
func replicaCounts(popularity []float64, ranks []Rank) []int {
	slots, inForce := 0, 0
	for _, r := range ranks {
		if r.InForce {
			slots += r.Slots
			inForce++
		}
	}
	counts := make([]int, len(popularity))
	for e := range counts {
		counts[e] = 1
	}
	for left := slots - len(popularity); left > 0; left-- {
		best := -1
		for e := range counts {
			if counts[e] >= inForce {
				continue
			}
			if best < 0 || popularity[e]/float64(counts[e]) > popularity[best]/float64(counts[best]) {
				best = e
			}
		}
		if best < 0 {
			break
		}
		counts[best]++
	}
	return counts
}

type pending struct {
	expert int
	work   float64
	first  bool
}

// replicaOrder lists first replicas before further ones, so that every expert finds a slot, each by falling work.
func replicaOrder(popularity []float64, counts []int) []pending {
	var out []pending
	for e, n := range counts {
		for i := range n {
			out = append(out, pending{expert: e, work: popularity[e] / float64(n), first: i == 0})
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].first != out[j].first {
			return out[i].first
		}
		return out[i].work > out[j].work
	})
	return out
}

// place puts one replica on the free rank that finishes earliest, in another failure domain than the
// expert's other replicas where that is possible.
func (l *layout) place(e int, work float64) bool {
	best, bestCost, bestNear := -1, 0.0, false
	for r := range l.ranks {
		if !l.free(r) || l.holds(e, r) {
			continue
		}
		near := l.shared(e, r)
		cost := (l.load[r] + work) / l.ranks[r].Speed
		if best < 0 || (bestNear && !near) || (bestNear == near && cost < bestCost) {
			best, bestCost, bestNear = r, cost, near
		}
	}
	if best < 0 {
		return false
	}
	l.add(e, best)
	l.put(e, best, work)
	return true
}

// shared tells whether a replica on r would leave all replicas of e in one failure domain.
func (l *layout) shared(e, r int) bool {
	if len(l.hosts[e]) == 0 {
		return false
	}
	for _, h := range l.hosts[e] {
		if l.ranks[h].FailureDomain != l.ranks[r].FailureDomain {
			return false
		}
	}
	return true
}

// repair gives every expert without a rank in force a slot, and takes one from the most replicated expert
// if none is free.
func (l *layout) repair() {
	for e := range l.hosts {
		if len(l.hosts[e]) > 0 {
			continue
		}
		if l.place(e, l.popularity[e]) {
			continue
		}
		l.evict()
		l.place(e, l.popularity[e])
	}
}

// evict removes the least busy replica of an expert that has another one.
func (l *layout) evict() {
	expert, rank := -1, -1
	for e := range l.hosts {
		if len(l.hosts[e]) < 2 {
			continue
		}
		for _, r := range l.hosts[e] {
			if expert < 0 || l.amount[e][r] < l.amount[expert][rank] {
				expert, rank = e, r
			}
		}
	}
	if expert >= 0 {
		l.remove(expert, rank)
	}
}
