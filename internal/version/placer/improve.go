package placer

import "sort"

const (
	// hotExperts and coolRanks bound the candidates of one move.
	hotExperts = 12
	coolRanks  = 12
	// worthwhile is the factor by which a move must lower the score to be made.
	worthwhile = 0.999
	// gatheredPenalty is the score factor of a move that leaves all replicas of an expert in one failure
	// domain; it decides between moves of similar effect.
	gatheredPenalty = 1.005
	// hotMargin is how far below the slowest rank a rank still counts as slow.
	hotMargin = 0.995
)

// move loads expert on the rank to. It replaces the expert victim there unless victim is negative. With swap,
// victim moves to the rank from, which gives expert up.
type move struct {
	expert, to, victim, from int
	swap                     bool
}

func (m move) loads() int {
	if m.swap {
		return 2
	}
	return 1
}

// improve makes the move that lowers the score most per replica loaded and returns how many replicas it loads,
// 0 if no move helps.
func (l *layout) improve(ideal float64) int {
	current := l.score(ideal)
	span := l.spanned()
	saved := l.clone()
	best, bestGain := move{}, 0.0
	for _, m := range l.moves() {
		l.apply(m)
		l.split(trialSweeps)
		score := l.score(ideal)
		if span && (l.gathered(m.expert) || (m.victim >= 0 && l.gathered(m.victim))) {
			score *= gatheredPenalty
		}
		gain := (current*worthwhile - score) / float64(m.loads())
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
	return best.loads()
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

func (l *layout) restore(saved *layout, m move) {
	l.hosts[m.expert] = saved.hosts[m.expert]
	if m.victim >= 0 {
		l.hosts[m.victim] = saved.hosts[m.victim]
	}
	for e := range l.amount {
		copy(l.amount[e], saved.amount[e])
	}
	copy(l.load, saved.load)
	copy(l.used, saved.used)
}

// moves lists the candidates: the experts with most work on the slowest ranks, to the ranks that finish first.
func (l *layout) moves() []move {
	var out []move
	targets := l.coolest()
	for _, hot := range l.hottest() {
		for _, to := range targets {
			if l.holds(hot.expert, to) {
				continue
			}
			if l.free(to) {
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

type hosted struct {
	expert, rank int
	work         float64
}

// hottest returns the experts with the most work on ranks that are as slow as the slowest.
func (l *layout) hottest() []hosted {
	limit := l.slowest() * hotMargin
	var out []hosted
	for e, hosts := range l.hosts {
		top := hosted{expert: e, rank: -1}
		for _, r := range hosts {
			if l.load[r]/l.ranks[r].Speed >= limit && (top.rank < 0 || l.amount[e][r] > top.work) {
				top.rank, top.work = r, l.amount[e][r]
			}
		}
		if top.rank >= 0 {
			out = append(out, top)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].work > out[j].work })
	return out[:min(len(out), hotExperts)]
}

// coolest returns the ranks in force that finish first.
func (l *layout) coolest() []int {
	var out []int
	for r := range l.ranks {
		if l.ranks[r].InForce && l.ranks[r].Slots > 0 {
			out = append(out, r)
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		return l.load[out[i]]/l.ranks[out[i]].Speed < l.load[out[j]]/l.ranks[out[j]].Speed
	})
	return out[:min(len(out), coolRanks)]
}
