package placer

import "sort"

// relabel exchanges ranks of a solved map that are equal in failure domain, slots and availability. It matches the pairs
// of a solved and a current rank with the most common experts first, so that fewer replicas are loaded.
func relabel(solved *layout, current Map) *layout {
	type pair struct{ from, to, overlap int }
	var pairs []pair
	for from, a := range solved.ranks {
		for to, b := range solved.ranks {
			if a.FailureDomain != b.FailureDomain || a.Slots != b.Slots || a.Available != b.Available {
				continue
			}
			pairs = append(pairs, pair{from: from, to: to, overlap: overlap(solved, current, from, to)})
		}
	}
	sort.SliceStable(pairs, func(i, j int) bool { return pairs[i].overlap > pairs[j].overlap })
	target := make([]int, len(solved.ranks))
	taken := make([]bool, len(solved.ranks))
	for i := range target {
		target[i] = -1
	}
	for _, p := range pairs {
		if target[p.from] < 0 && !taken[p.to] {
			target[p.from] = p.to
			taken[p.to] = true
		}
	}
	out := newLayout(solved.popularity, solved.ranks)
	for e, hosts := range solved.hosts {
		for _, r := range hosts {
			out.add(e, target[r])
			out.setWork(e, target[r], solved.work[e][r])
		}
	}
	out.split(splitSweeps)
	return out
}

// overlap returns how many experts of the solved rank from are on the rank to in the current map.
func overlap(solved *layout, current Map, from, to int) int {
	n := 0
	for e, replicas := range current.Experts {
		if !solved.holds(e, from) {
			continue
		}
		for _, r := range replicas {
			if int(r.Rank) == to {
				n++
			}
		}
	}
	return n
}
