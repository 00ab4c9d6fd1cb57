package placer

import (
	"math"
	"sort"

	"currantledge.example/currantledge/internal/process/identifier"
)

// layout is a map under construction. Work is measured as a fraction of all tokens.
type layout struct {
	popularity []float64
	ranks      []Rank
	// hosts lists the ranks that hold each expert, in ascending order. work is the work of each expert on each rank.
	hosts [][]int
	work  [][]float64
	// rankWork is the work of each rank for all experts.
	rankWork  []float64
	usedSlots []int
}

func newLayout(popularity []float64, ranks []Rank) *layout {
	l := &layout{
		popularity: popularity,
		ranks:      ranks,
		hosts:      make([][]int, len(popularity)),
		work:       make([][]float64, len(popularity)),
		rankWork:   make([]float64, len(ranks)),
		usedSlots:  make([]int, len(ranks)),
	}
	for e := range l.work {
		l.work[e] = make([]float64, len(ranks))
	}
	return l
}

// newLayoutFromMap returns the layout of a map and reports whether it dropped replicas on ranks that are unavailable or
// have no slot for them.
func newLayoutFromMap(m Map, popularity []float64, ranks []Rank) (*layout, bool) {
	dropped := false
	l := newLayout(popularity, ranks)
	for e, replicas := range m.Experts {
		if e >= len(popularity) {
			break
		}
		for _, r := range replicas {
			if int(r.Rank) >= len(ranks) || !l.hasFreeSlot(int(r.Rank)) {
				dropped = true
				continue
			}
			l.add(e, int(r.Rank))
			l.setWork(e, int(r.Rank), popularity[e]*r.Share)
		}
	}
	return l, dropped
}

func (l *layout) hasFreeSlot(r int) bool {
	return l.ranks[r].Available && l.usedSlots[r] < l.ranks[r].Slots
}

func (l *layout) holds(e, r int) bool {
	i := sort.SearchInts(l.hosts[e], r)
	return i < len(l.hosts[e]) && l.hosts[e][i] == r
}

func (l *layout) setWork(e, r int, work float64) {
	l.rankWork[r] += work - l.work[e][r]
	l.work[e][r] = work
}

// add copies the list of hosts, so that restore can bring back the old list.
func (l *layout) add(e, r int) {
	i := sort.SearchInts(l.hosts[e], r)
	hosts := make([]int, 0, len(l.hosts[e])+1)
	hosts = append(hosts, l.hosts[e][:i]...)
	hosts = append(hosts, r)
	l.hosts[e] = append(hosts, l.hosts[e][i:]...)
	l.usedSlots[r]++
}

func (l *layout) remove(e, r int) {
	i := sort.SearchInts(l.hosts[e], r)
	hosts := make([]int, 0, len(l.hosts[e]))
	hosts = append(hosts, l.hosts[e][:i]...)
	l.hosts[e] = append(hosts, l.hosts[e][i+1:]...)
	l.usedSlots[r]--
	l.setWork(e, r, 0)
}

// splitSweeps bounds the sweeps of the split of a final map, trialSweeps those of a candidate. The split converges
// geometrically, and the candidates need only be compared with each other. A split ends early when no work changes by
// splitTolerance divided by the number of ranks.
const (
	splitSweeps    = 60
	trialSweeps    = 4
	splitTolerance = 1e-5
)

// split divides the work of each expert over its replicas so that the ranks finish as evenly as possible. It uses block
// coordinate descent on the sum of rankWork² ÷ speed, whose minimum also minimizes the finishing time of the slowest
// rank.
func (l *layout) split(sweeps int) {
	for range sweeps {
		change := 0.0
		for e := range l.hosts {
			change = max(change, l.splitExpert(e))
		}
		if change < splitTolerance/float64(len(l.ranks)) {
			return
		}
	}
}

// host is a rank that holds an expert, with its work for other experts and the time that this work takes.
type host struct {
	rank      int
	otherWork float64
	otherTime float64
}

// maxInlineHosts is the number of replicas up to which splitExpert allocates no memory.
const maxInlineHosts = 16

// splitExpert divides the work of one expert over its ranks by water-filling, the earliest finishing time first, and
// returns the largest change of the work on a rank.
func (l *layout) splitExpert(e int) float64 {
	hosts := l.hosts[e]
	if len(hosts) == 1 {
		change := math.Abs(l.popularity[e] - l.work[e][hosts[0]])
		l.setWork(e, hosts[0], l.popularity[e])
		return change
	}
	var buffer [maxInlineHosts]host
	order := buffer[:0]
	for _, r := range hosts {
		otherWork := l.rankWork[r] - l.work[e][r]
		h := host{rank: r, otherWork: otherWork, otherTime: otherWork / l.ranks[r].Speed}
		i := len(order)
		order = append(order, h)
		for ; i > 0 && h.otherTime < order[i-1].otherTime; i-- {
			order[i] = order[i-1]
		}
		order[i] = h
	}
	// level is the finishing time up to which the work of the expert fills the ranks.
	work, speed, level := l.popularity[e], 0.0, 0.0
	for i, h := range order {
		work += h.otherWork
		speed += l.ranks[h.rank].Speed
		level = work / speed
		if i+1 == len(order) || level <= order[i+1].otherTime {
			break
		}
	}
	change := 0.0
	for _, h := range order {
		amount := max(0, level*l.ranks[h.rank].Speed-h.otherWork)
		change = max(change, math.Abs(amount-l.work[e][h.rank]))
		l.setWork(e, h.rank, amount)
	}
	return change
}

// slowestTime returns the finishing time of the slowest available rank.
func (l *layout) slowestTime() float64 {
	slowest := 0.0
	for r := range l.ranks {
		if l.ranks[r].Available {
			slowest = max(slowest, l.rankWork[r]/l.ranks[r].Speed)
		}
	}
	return slowest
}

// idealTime returns the finishing time of all ranks if the work could be divided without limits.
func (l *layout) idealTime() float64 {
	work, speed := 0.0, 0.0
	for _, p := range l.popularity {
		work += p
	}
	for _, r := range l.ranks {
		if r.Available {
			speed += r.Speed
		}
	}
	return work / speed
}

// score is a smooth form of slowest ÷ ideal time; lower is better. The 16th power makes it follow the slowest ranks but
// still reward the relief of one of several equally slow ranks.
func (l *layout) score(ideal float64) float64 {
	sum := 0.0
	for r := range l.ranks {
		if l.ranks[r].Available {
			x := l.rankWork[r] / l.ranks[r].Speed / ideal
			x *= x
			x *= x
			x *= x
			sum += x * x
		}
	}
	return sum
}

// inSingleDomain reports whether an expert has several replicas that are all in one failure domain.
func (l *layout) inSingleDomain(e int) bool {
	hosts := l.hosts[e]
	if len(hosts) < 2 {
		return false
	}
	for _, r := range hosts[1:] {
		if l.ranks[r].FailureDomain != l.ranks[hosts[0]].FailureDomain {
			return false
		}
	}
	return true
}

// hasMultipleDomains reports whether the available ranks are in more than one failure domain.
func (l *layout) hasMultipleDomains() bool {
	first := -1
	for r := range l.ranks {
		if !l.ranks[r].Available {
			continue
		}
		if first >= 0 && l.ranks[r].FailureDomain != l.ranks[first].FailureDomain {
			return true
		}
		if first < 0 {
			first = r
		}
	}
	return false
}

// toMap returns the layout as a map.
func (l *layout) toMap(version identifier.MapVersion) Map {
	m := Map{Version: version, Experts: make([][]Replica, len(l.hosts))}
	for e, hosts := range l.hosts {
		total := 0.0
		for _, r := range hosts {
			total += l.work[e][r]
		}
		for _, r := range hosts {
			share := 1 / float64(len(hosts))
			if total > 0 {
				share = l.work[e][r] / total
			}
			m.Experts[e] = append(m.Experts[e], Replica{Rank: identifier.Rank(r), Share: share})
		}
	}
	return m
}

func (l *layout) clone() *layout {
	c := newLayout(l.popularity, l.ranks)
	copy(c.hosts, l.hosts)
	for e := range l.work {
		copy(c.work[e], l.work[e])
	}
	copy(c.rankWork, l.rankWork)
	copy(c.usedSlots, l.usedSlots)
	return c
}
