package placer

import "sort"

// maxSolveMoves bounds the moves that refine a map solved from scratch.
const maxSolveMoves = 48

// solve computes a map from scratch. It creates replicas in proportion to popularity, places the largest first on the
// rank that finishes earliest, then makes single moves while they help.
func solve(popularity []float64, ranks []Rank) *layout {
	l := newLayout(popularity, ranks)
	for _, u := range placementOrder(popularity, replicaCounts(popularity, ranks)) {
		l.placeReplica(u.expert, u.work)
	}
	for e := range l.hosts {
		for _, r := range l.hosts[e] {
			l.setWork(e, r, popularity[e]/float64(len(l.hosts[e])))
		}
	}
	l.split(splitSweeps)
	ideal := l.idealTime()
	for range maxSolveMoves {
		if l.improve(ideal) == 0 {
			break
		}
	}
	return l
}

// replicaCounts gives each expert one replica, and each further slot to the expert with the most work per replica.
func replicaCounts(popularity []float64, ranks []Rank) []int {
	slots, available := 0, 0
	for _, r := range ranks {
		if r.Available {
			slots += r.Slots
			available++
		}
	}
	counts := make([]int, len(popularity))
	for e := range counts {
		counts[e] = 1
	}
	for left := slots - len(popularity); left > 0; left-- {
		best := -1
		for e := range counts {
			if counts[e] >= available {
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

// unplacedReplica is a replica for which a rank is to be chosen, with its expected work.
type unplacedReplica struct {
	expert int
	work   float64
	first  bool
}

// placementOrder lists the first replica of each expert before further ones, so that every expert finds a slot. Both
// parts of the list are in descending order of work.
func placementOrder(popularity []float64, counts []int) []unplacedReplica {
	var out []unplacedReplica
	for e, n := range counts {
		for i := range n {
			out = append(out, unplacedReplica{expert: e, work: popularity[e] / float64(n), first: i == 0})
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

// placeReplica places one replica on the rank with a free slot that finishes earliest, if possible in another failure
// domain than the other replicas of the expert. It reports whether a slot was found.
func (l *layout) placeReplica(e int, work float64) bool {
	best, bestTime, bestSingleDomain := -1, 0.0, false
	for r := range l.ranks {
		if !l.hasFreeSlot(r) || l.holds(e, r) {
			continue
		}
		singleDomain := l.keepsSingleDomain(e, r)
		finishTime := (l.rankWork[r] + work) / l.ranks[r].Speed
		if best < 0 || (bestSingleDomain && !singleDomain) || (bestSingleDomain == singleDomain && finishTime < bestTime) {
			best, bestTime, bestSingleDomain = r, finishTime, singleDomain
		}
	}
	if best < 0 {
		return false
	}
	l.add(e, best)
	l.setWork(e, best, work)
	return true
}

// keepsSingleDomain reports whether a replica on r would leave all replicas of e in one failure domain.
func (l *layout) keepsSingleDomain(e, r int) bool {
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

// repair gives every expert without an available rank a slot. If none is free, it evicts a replica of another expert.
func (l *layout) repair() {
	for e := range l.hosts {
		if len(l.hosts[e]) > 0 {
			continue
		}
		if l.placeReplica(e, l.popularity[e]) {
			continue
		}
		l.evict()
		l.placeReplica(e, l.popularity[e])
	}
}

// evict removes the replica with the least work among the experts that have several replicas.
func (l *layout) evict() {
	expert, rank := -1, -1
	for e := range l.hosts {
		if len(l.hosts[e]) < 2 {
			continue
		}
		for _, r := range l.hosts[e] {
			if expert < 0 || l.work[e][r] < l.work[expert][rank] {
				expert, rank = e, r
			}
		}
	}
	if expert >= 0 {
		l.remove(expert, rank)
	}
}
