package engineserver

import (
	"math"
	"math/rand"

	"currantledge.example/currantledge/internal/process/identifier"
)

// popularity gives the share of tokens by expert. It is the same on all ranks of a group.
type popularity struct {
	// shares are the shares in descending order, places the position of each expert in that order at step 0.
	shares     []float64
	places     []int
	driftSteps int
}

func newPopularity(experts int, skew float64, driftSteps int, seed int64) *popularity {
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
		places:     rand.New(rand.NewSource(seed)).Perm(experts),
		driftSteps: driftSteps,
	}
}

// share returns an expert's share of the tokens of a step. With drift each expert moves one place in driftSteps steps.
func (p *popularity) share(expert int, step identifier.Step) float64 {
	if p.driftSteps == 0 {
		return p.shares[p.places[expert]]
	}
	drift := identifier.Step(p.driftSteps)
	moved := int(step / drift % identifier.Step(len(p.shares)))
	part := float64(step%drift) / float64(drift)
	here := (p.places[expert] + moved) % len(p.shares)
	next := (here + 1) % len(p.shares)
	return p.shares[here]*(1-part) + p.shares[next]*part
}

// load returns, for each of the experts that a rank holds, the tokens that it processes there in a step. Replicas share
// an expert's tokens evenly.
func (p *popularity) load(byRank [][]int, held []int, tokens int, step identifier.Step) []float64 {
	replicas := make([]int, len(p.shares))
	for _, list := range byRank {
		for _, x := range list {
			replicas[x]++
		}
	}
	out := make([]float64, 0, len(held))
	for _, x := range held {
		out = append(out, float64(tokens)*p.share(x, step)/float64(replicas[x]))
	}
	return out
}
