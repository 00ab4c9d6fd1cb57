// Package placer decides which experts run on which rank, with how many replicas and with which traffic split.
package placer

import (
	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
)

// shareTolerance is the rounding error by which the sum of an expert's shares may differ from 1.
const shareTolerance = 1e-6

// Replica is a copy of an expert on a rank. Share is the part of the expert's traffic that it receives, from 0 to 1.
type Replica struct {
	Rank  identifier.Rank
	Share float64
}

// Map is the expert map of a group. Experts holds the replicas of each expert, ordered by rank.
type Map struct {
	Version identifier.MapVersion
	Experts [][]Replica
}

// Hosts reports whether a rank holds a replica of an expert.
func (m Map) Hosts(expert identifier.Expert, rank identifier.Rank) bool {
	if int(expert) >= len(m.Experts) {
		return false
	}
	for _, r := range m.Experts[expert] {
		if r.Rank == rank {
			return true
		}
	}
	return false
}

// ReplicaLoads returns the number of replicas that ranks have to load to change from m to next.
func (m Map) ReplicaLoads(next Map) int {
	loads := 0
	for e, replicas := range next.Experts {
		for _, r := range replicas {
			if !m.Hosts(identifier.Expert(e), r.Rank) {
				loads++
			}
		}
	}
	return loads
}

// RankWork returns the work of each rank for the given popularity by expert.
func (m Map) RankWork(popularity []float64, ranks int) []float64 {
	work := make([]float64, ranks)
	for e, replicas := range m.Experts {
		for _, r := range replicas {
			work[r.Rank] += popularity[e] * r.Share
		}
	}
	return work
}

// Check returns an error if the ranks cannot run the map.
func (m Map) Check(ranks []Rank) error {
	used := make([]int, len(ranks))
	for e, replicas := range m.Experts {
		total := 0.0
		last := identifier.Rank(-1)
		for _, r := range replicas {
			if r.Rank <= last || int(r.Rank) >= len(ranks) {
				return errors.Newf("expert %d: rank %d is repeated, unordered or unknown; list each rank once in order", e, r.Rank)
			}
			if !ranks[r.Rank].Available {
				return errors.Newf("expert %d: rank %d is not available; place the expert on another rank", e, r.Rank)
			}
			if r.Share < 0 {
				return errors.Newf("expert %d: share %g on rank %d is negative; use a share from 0 to 1", e, r.Share, r.Rank)
			}
			last = r.Rank
			used[r.Rank]++
			total += r.Share
		}
		if total < 1-shareTolerance || total > 1+shareTolerance {
			return errors.Newf("expert %d: shares add up to %g; make them add up to 1", e, total)
		}
	}
	for r, n := range used {
		if n > ranks[r].Slots {
			return errors.Newf("rank %d holds %d replicas in %d slots; remove replicas", r, n, ranks[r].Slots)
		}
	}
	return nil
}
