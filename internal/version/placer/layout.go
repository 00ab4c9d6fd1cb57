package placer

import (
	"math"
	"sort"

	"currantledge.example/currantledge/internal/process/identifier"
)

// layout is a map under construction: hosts by expert, and the amount of work of each expert on each rank.
type layout struct {
	popularity []float64
	ranks      []Rank
	hosts      [][]int
	amount     [][]float64
	load       []float64
	used       []int
}

func newLayout(popularity []float64, ranks []Rank) *layout {
	l := &layout{
		popularity: popularity,
		ranks:      ranks,
		hosts:      make([][]int, len(popularity)),
		amount:     make([][]float64, len(popularity)),
		load:       make([]float64, len(ranks)),
		used:       make([]int, len(ranks)),
	}
	for e := range l.amount {
		l.amount[e] = make([]float64, len(ranks))
	}
	return l
}

// layoutOf reads a map and tells whether it left out replicas on ranks that are not in force or have no slot
// for them.
func layoutOf(m Map, popularity []float64, ranks []Rank) (*layout, bool) {
	lost := false
	l := newLayout(popularity, ranks)
	for e, replicas := range m.Experts {
		if e >= len(popularity) {
			break
		}
		for _, r := range replicas {
			if int(r.Rank) >= len(ranks) || !l.free(int(r.Rank)) {
				lost = true
				continue
			}
			l.add(e, int(r.Rank))
			l.put(e, int(r.Rank), popularity[e]*r.Share)
		}
	}
	return l, lost
}

func (l *layout) free(r int) bool {
	return l.ranks[r].InForce && l.used[r] < l.ranks[r].Slots
}

func (l *layout) holds(e, r int) bool {
	i := sort.SearchInts(l.hosts[e], r)
	return i < len(l.hosts[e]) && l.hosts[e][i] == r
}

func (l *layout) put(e, r int, amount float64) {
	l.load[r] += amount - l.amount[e][r]
	l.amount[e][r] = amount
}

// add makes a copy of the host list, so that a saved list stays valid for undo.
func (l *layout) add(e, r int) {
	i := sort.SearchInts(l.hosts[e], r)
	hosts := make([]int, 0, len(l.hosts[e])+1)
	hosts = append(hosts, l.hosts[e][:i]...)
	hosts = append(hosts, r)
	l.hosts[e] = append(hosts, l.hosts[e][i:]...)
	l.used[r]++
}

func (l *layout) remove(e, r int) {
	i := sort.SearchInts(l.hosts[e], r)
	hosts := make([]int, 0, len(l.hosts[e]))
	hosts = append(hosts, l.hosts[e][:i]...)
	l.hosts[e] = append(hosts, l.hosts[e][i+1:]...)
	l.used[r]--
	l.put(e, r, 0)
}

// splitSweeps bounds the split of a final map, and trialSweeps that of a candidate. The split converges
// geometrically, and a candidate needs only its order among the others.
const (
	splitSweeps = 60
	trialSweeps = 4
	splitSettle = 1e-5
)

// split divides each expert's work over its replicas so that the ranks finish as evenly as possible. It is
// block coordinate descent on the sum of load² ÷ speed, whose minimum also has the lowest slowest rank.
func (l *layout) split(sweeps int) {
	for range sweeps {
		change := 0.0
		for e := range l.hosts {
			change = max(change, l.fill(e))
		}
		if change < splitSettle/float64(len(l.ranks)) {
			return
		}
	}
}

// host is a rank of an expert with its work for other experts and the time that this work takes.
type host struct {
	rank int
	base float64
	time float64
}

// usualHosts is the number of replicas up to which fill needs no allocation.
const usualHosts = 16

// fill pours the work of one expert into its ranks, lowest finishing time first, and returns the largest change.
func (l *layout) fill(e int) float64 {
	hosts := l.hosts[e]
	if len(hosts) == 1 {
		change := math.Abs(l.popularity[e] - l.amount[e][hosts[0]])
		l.put(e, hosts[0], l.popularity[e])
		return change
	}
	var buffer [usualHosts]host
	order := buffer[:0]
	for _, r := range hosts {
		base := l.load[r] - l.amount[e][r]
		h := host{rank: r, base: base, time: base / l.ranks[r].Speed}
		i := len(order)
		order = append(order, h)
		for ; i > 0 && h.time < order[i-1].time; i-- {
			order[i] = order[i-1]
		}
		order[i] = h
	}
	work, speed, level := l.popularity[e], 0.0, 0.0
	for i, h := range order {
		work += h.base
		speed += l.ranks[h.rank].Speed
		level = work / speed
		if i+1 == len(order) || level <= order[i+1].time {
			break
		}
	}
	change := 0.0
	for _, h := range order {
		amount := max(0, level*l.ranks[h.rank].Speed-h.base)
		change = max(change, math.Abs(amount-l.amount[e][h.rank]))
		l.put(e, h.rank, amount)
	}
	return change
}

// slowest returns the finishing time of the slowest rank.
func (l *layout) slowest() float64 {
	slowest := 0.0
	for r := range l.ranks {
		if l.ranks[r].InForce {
			slowest = max(slowest, l.load[r]/l.ranks[r].Speed)
		}
	}
	return slowest
}

// ideal returns the finishing time of all ranks if the work were divided without limits.
func (l *layout) ideal() float64 {
	work, speed := 0.0, 0.0
	for _, p := range l.popularity {
		work += p
	}
	for _, r := range l.ranks {
		if r.InForce {
			speed += r.Speed
		}
	}
	return work / speed
}

// score is a smooth form of slowest ÷ ideal; lower is better. The 16th power makes it follow the slowest ranks
// but still reward the relief of one of several equally slow ranks.
func (l *layout) score(ideal float64) float64 {
	sum := 0.0
	for r := range l.ranks {
		if l.ranks[r].InForce {
			x := l.load[r] / l.ranks[r].Speed / ideal
			x *= x
			x *= x
			x *= x
			sum += x * x
		}
	}
	return sum
}

// gathered tells whether an expert has several replicas that are all in one failure domain.
func (l *layout) gathered(e int) bool {
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

func (l *layout) spanned() bool {
	first := -1
	for r := range l.ranks {
		if !l.ranks[r].InForce {
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
			total += l.amount[e][r]
		}
		for _, r := range hosts {
			share := 1 / float64(len(hosts))
			if total > 0 {
				share = l.amount[e][r] / total
			}
			m.Experts[e] = append(m.Experts[e], Replica{Rank: identifier.Rank(r), Share: share})
		}
	}
	return m
}

func (l *layout) clone() *layout {
	c := newLayout(l.popularity, l.ranks)
	copy(c.hosts, l.hosts)
	for e := range l.amount {
		copy(c.amount[e], l.amount[e])
	}
	copy(c.load, l.load)
	copy(c.used, l.used)
	return c
}
