package engineserver

import (
	"math"
	"math/rand"

	"currantledge.example/currantledge/internal/process/identifier"
)

// popularity is the distribution of tokens over the experts. It is the same on all ranks of a group.
type popularity struct {
	// shares are the shares of tokens in descending order; they add up to 1.
	shares []float64
	// positions holds, by expert, the index of its share at step 0.
	positions []int
	// driftSteps is the number of steps in which each expert moves to the next share, or 0.
	driftSteps int
}

func newPopularity(experts int, skew float64, driftSteps int, seed int64) *popularity {
	// A Zipf distribution with exponent skew.
	shares := make([]float64, experts)
	sum := 0.0
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -skew)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return &popularity{
		shares:     shares,
		positions:  rand.New(rand.NewSource(seed)).Perm(experts),
		driftSteps: driftSteps,
	}
}

// share returns an expert's share of the tokens of a step. While the expert drifts, it is interpolated linearly between
// two shares.
func (p *popularity) share(expert int, step identifier.Step) float64 {
	if p.driftSteps == 0 {
		return p.shares[p.positions[expert]]
	}
	drift := identifier.Step(p.driftSteps)
	shift := int(step / drift % identifier.Step(len(p.shares)))
	fraction := float64(step%drift) / float64(drift)
	position := (p.positions[expert] + shift) % len(p.shares)
	next := (position + 1) % len(p.shares)
	return p.shares[position]*(1-fraction) + p.shares[next]*fraction
}

// load returns, for each of the experts that a rank holds, the number of tokens that it processes on that rank in a
// step. The replicas of an expert share its tokens evenly.
func (p *popularity) load(byRank [][]int, held []int, tokens int, step identifier.Step) []float64 {
	replicas := make([]int, len(p.shares))
	for _, rankExperts := range byRank {
		for _, expert := range rankExperts {
			replicas[expert]++
		}
	}
	loads := make([]float64, 0, len(held))
	for _, expert := range held {
		loads = append(loads, float64(tokens)*p.share(expert, step)/float64(replicas[expert]))
	}
	return loads
}
