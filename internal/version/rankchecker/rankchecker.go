// Package rankchecker checks the answers of the ranks of a group before anything is computed from them. A faulty rank may
// answer with a complete response in which single bytes are wrong. Its numbers would then index slices, name steps or
// describe a map that the group does not have. The package has no I/O and reads no clock.
package rankchecker

import (
	"slices"
	"strconv"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/mapswitcher"
	"currantledge.example/currantledge/internal/version/rebalancer"
)

// Shape holds the dimensions of the expert maps of a group.
type Shape struct {
	// Sets is the number of sets of layers, Experts the number of experts of each set, and Places the number of experts of
	// a set that a rank can hold.
	Sets    int
	Experts int
	Places  int
}

// CheckReport returns an AnswerError if a rank of no group can report this. The size is 0 if a rank does not tell it.
func CheckReport(r mapswitcher.Report) error {
	switch {
	case r.Size < 0 || r.Size > maxRanks:
		return invalid("size", strconv.Itoa(r.Size), "a group has 1 to "+strconv.Itoa(maxRanks)+" ranks")
	case r.Rank < 0 || r.Size > 0 && int(r.Rank) >= r.Size:
		return invalid("rank", strconv.Itoa(int(r.Rank)), "the size of the group is "+strconv.Itoa(r.Size))
	}
	return nil
}

// maxRanks is more than any group has.
const maxRanks = 1 << 16

// CheckRankMap returns an AnswerError if no rank of a group of this shape can have the map.
func (s Shape) CheckRankMap(m mapswitcher.RankMap) error {
	if len(m.Experts) != s.Sets {
		return invalid("experts", strconv.Itoa(len(m.Experts)), "the number of sets is "+strconv.Itoa(s.Sets))
	}
	for set, experts := range m.Experts {
		field := "experts of set " + strconv.Itoa(set)
		if len(experts) > s.Places {
			return invalid(field, strconv.Itoa(len(experts)), "a rank holds at most "+strconv.Itoa(s.Places))
		}
		for i, e := range experts {
			switch {
			case e < 0 || int(e) >= s.Experts:
				return invalid(field, strconv.Itoa(int(e)), "the number of experts is "+strconv.Itoa(s.Experts))
			case slices.Contains(experts[:i], e):
				return invalid(field, strconv.Itoa(int(e)), "listed twice")
			}
		}
	}
	return nil
}

// maxCount is the highest count that is exact. Sums of such counts do not overflow.
const maxCount = 1 << 53

// CheckCounts returns an AnswerError if no rank of a group of this shape can have the counts.
func (s Shape) CheckCounts(c mapswitcher.Counts) error {
	if len(c.Counts) != s.Sets*s.Experts {
		return invalid("counts", strconv.Itoa(len(c.Counts)), "the number of experts of all sets is "+strconv.Itoa(s.Sets*s.Experts))
	}
	for i, n := range c.Counts {
		if !(n >= 0 && n <= maxCount) {
			return invalid("count "+strconv.Itoa(i), formatCount(n), "counts are from 0 to "+formatCount(maxCount))
		}
	}
	return nil
}

func formatCount(n float64) string {
	return strconv.FormatFloat(n, 'g', -1, 64)
}

// NewLayout returns the layout of a group from the maps of all its ranks, which CheckRankMap has accepted. It returns an
// AnswerError if the maps are not those of one group: they differ in version, or no rank holds some expert. A rank that
// lists a wrong expert is then among them, though not known.
func (s Shape) NewLayout(maps []mapswitcher.RankMap) (rebalancer.Layout, error) {
	for r, m := range maps {
		if m.Epoch != maps[0].Epoch || m.Version != maps[0].Version {
			return nil, invalid("map of rank "+strconv.Itoa(r), formatVersion(m), "that of rank 0 is "+formatVersion(maps[0]))
		}
	}
	out := make(rebalancer.Layout, s.Sets)
	for set := range out {
		held := make([]bool, s.Experts)
		out[set] = make([][]identifier.Expert, len(maps))
		for r, m := range maps {
			out[set][r] = m.Experts[set]
			for _, e := range m.Experts[set] {
				held[e] = true
			}
		}
		if e := slices.Index(held, false); e >= 0 {
			return nil, invalid("experts of set "+strconv.Itoa(set), strconv.Itoa(e), "held by no rank")
		}
	}
	return out, nil
}

func formatVersion(m mapswitcher.RankMap) string {
	return strconv.FormatUint(uint64(m.Version), 10) + " in epoch " + strconv.FormatUint(uint64(m.Epoch), 10)
}

func invalid(field, value, problem string) error {
	return &mapswitcher.AnswerError{Field: field, Value: value, Problem: problem}
}
