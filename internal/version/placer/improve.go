package placer

import "sort"

const (
	// maxHotExperts and maxTargetRanks bound the experts to move and the ranks to move them to, to limit the candidates.
	maxHotExperts  = 12
	maxTargetRanks = 12
	// maxScoreRatio is the fraction of the current score that a move must stay below to be made.
	maxScoreRatio = 0.999
	// singleDomainPenalty multiplies the score of a move that leaves all replicas of an expert in one failure domain.
	// It decides between moves of similar effect.
	singleDomainPenalty = 1.005
	// slowRankRatio is the fraction of the longest finishing time at or above which a rank counts as slow.
	slowRankRatio = 0.995
)

// move loads expert on the rank to. It replaces the expert victim there unless victim is negative. With swap, victim
// moves to the rank from, which drops expert.
type move struct {
	expert, to, victim, from int
	swap                     bool
}

// replicaLoads returns the number of replicas that the move loads.
func (m move) replicaLoads() int {
	if m.swap {
		return 2
	}
	return 1
}

// improve makes the move that lowers the score most per replica loaded. It returns the number of replicas that the move
// loads, or 0 if no move lowers the score enough.
func (l *layout) improve(ideal float64) int {
	currentScore := l.score(ideal)
	multipleDomains := l.hasMultipleDomains()
	saved := l.clone()
	best, bestGain := move{}, 0.0
	for _, m := range l.moves() {
		l.apply(m)
		l.split(trialSweeps)
		score := l.score(ideal)
		if multipleDomains && (l.inSingleDomain(m.expert) || (m.victim >= 0 && l.inSingleDomain(m.victim))) {
			score *= singleDomainPenalty
		}
		gain := (currentScore*maxScoreRatio - score) / float64(m.replicaLoads())
		if gain > bestGain {
			best, bestGain = m, gain
		}
		l.restore(saved, m)
	}
	if bestGain == 0 {
		return 0
	}
	l.apply(best)
	l.split(splitSweeps)
	return best.replicaLoads()
}

func (l *layout) apply(m move) {
	if m.victim >= 0 {
		l.remove(m.victim, m.to)
	}
	if m.swap {
		l.remove(m.expert, m.from)
		l.add(m.victim, m.from)
	}
	l.add(m.expert, m.to)
}

// restore undoes the move m, with saved as the clone of the layout before it.
func (l *layout) restore(saved *layout, m move) {
	l.hosts[m.expert] = saved.hosts[m.expert]
	if m.victim >= 0 {
		l.hosts[m.victim] = saved.hosts[m.victim]
	}
	for e := range l.work {
		copy(l.work[e], saved.work[e])
	}
	copy(l.rankWork, saved.rankWork)
	copy(l.usedSlots, saved.usedSlots)
}

// moves lists the candidates: moves of the experts with the most work on the slowest ranks to the ranks that finish
// first.
func (l *layout) moves() []move {
	var out []move
	targets := l.leastLoadedRanks()
	for _, hot := range l.hottestExperts() {
		for _, to := range targets {
			if l.holds(hot.expert, to) {
				continue
			}
			if l.hasFreeSlot(to) {
				out = append(out, move{expert: hot.expert, to: to, victim: -1})
				continue
			}
			for v := range l.hosts {
				if !l.holds(v, to) {
					continue
				}
				if len(l.hosts[v]) > 1 {
					out = append(out, move{expert: hot.expert, to: to, victim: v})
				}
				if !l.holds(v, hot.rank) {
					out = append(out, move{expert: hot.expert, to: to, victim: v, from: hot.rank, swap: true})
				}
			}
		}
	}
	return out
}

// hotExpert is an expert and the slow rank on which it has the most work.
type hotExpert struct {
	expert, rank int
	work         float64
}

// hottestExperts returns the experts with the most work on the slowest ranks, the most work first.
func (l *layout) hottestExperts() []hotExpert {
	limit := l.slowestTime() * slowRankRatio
	var out []hotExpert
	for e, hosts := range l.hosts {
		top := hotExpert{expert: e, rank: -1}
		for _, r := range hosts {
			if l.rankWork[r]/l.ranks[r].Speed >= limit && (top.rank < 0 || l.work[e][r] > top.work) {
				top.rank, top.work = r, l.work[e][r]
			}
		}
		if top.rank >= 0 {
			out = append(out, top)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].work > out[j].work })
	return out[:min(len(out), maxHotExperts)]
}

// leastLoadedRanks returns the available ranks that finish first, the earliest first.
func (l *layout) leastLoadedRanks() []int {
	var out []int
	for r := range l.ranks {
		if l.ranks[r].Available && l.ranks[r].Slots > 0 {
			out = append(out, r)
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		return l.rankWork[out[i]]/l.ranks[out[i]].Speed < l.rankWork[out[j]]/l.ranks[out[j]].Speed
	})
	return out[:min(len(out), maxTargetRanks)]
}
