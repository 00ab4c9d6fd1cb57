package placer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/placer"
)

var domains = []identifier.FailureDomain{"a", "b", "c"}

// ranks returns n equal ranks in three failure domains.
func ranks(n, slots int) []placer.Rank {
	out := make([]placer.Rank, n)
	for i := range out {
		out[i] = placer.Rank{FailureDomain: domains[i%len(domains)], Slots: slots, Speed: 1, Available: true}
	}
	return out
}

func evenPopularity(n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = 1 / float64(n)
	}
	return out
}

// plan returns the decision and checks that the ranks can run its map.
func plan(t require.TestingT, in placer.Input) placer.Decision {
	decision, err := placer.Plan(in)
	require.NoError(t, err)
	require.NoError(t, decision.Map.Check(in.Ranks))
	return decision
}

// drawPopularity draws a popularity by expert that adds up to 1. No value is 0.
func drawPopularity(t *rapid.T, n int) []float64 {
	out := make([]float64, n)
	sum := 0.0
	for i := range out {
		out[i] = rapid.Float64Range(0, 10).Draw(t, "popularity")
		sum += out[i]
	}
	for i := range out {
		out[i] = (out[i] + 0.01) / (sum + 0.01*float64(n))
	}
	return out
}

// TestRandomPlans guards against maps that the ranks cannot run, experts without a rank, plans that depend on more
// than their input, and byte counts that differ from the replicas loaded, while ranks become unavailable and available
// again.
func TestRandomPlans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 10).Draw(t, "ranks")
		experts := rapid.IntRange(1, 12).Draw(t, "experts")
		in := placer.Input{Ranks: ranks(count, rapid.IntRange(1, 6).Draw(t, "slots")), ExpertBytes: 100}
		for range rapid.IntRange(1, 6).Draw(t, "plans") {
			in.Policy = rapid.SampledFrom([]placer.Policy{placer.DefaultAdaptive(), placer.Resolve{}, placer.Resolve{Relabel: true}}).Draw(t, "policy")
			in.Popularity = drawPopularity(t, experts)
			slots := 0
			for i := range in.Ranks {
				in.Ranks[i].Available = rapid.IntRange(0, 4).Draw(t, "available") > 0
				in.Ranks[i].Speed = rapid.Float64Range(0, 2).Draw(t, "speed")
				if in.Ranks[i].Available {
					slots += in.Ranks[i].Slots
				}
			}
			if slots < experts {
				_, err := placer.Plan(in)
				var insufficientSlots *placer.InsufficientSlotsError
				require.ErrorAs(t, err, &insufficientSlots)
				continue
			}
			decision := plan(t, in)
			require.Equal(t, decision, plan(t, in))
			require.Equal(t, identifier.Bytes(in.Current.ReplicaLoads(decision.Map))*in.ExpertBytes, decision.Bytes)
			if decision.Changed {
				require.Equal(t, in.Current.Version+1, decision.Map.Version)
			}
			in.Current = decision.Map
		}
	})
}

// TestPlanKeepsMap guards against moves that cost more than they save.
func TestPlanKeepsMap(t *testing.T) {
	policy := placer.DefaultAdaptive()
	in := placer.Input{Policy: policy, Popularity: evenPopularity(8), Ranks: ranks(8, 1), ExpertBytes: 1 << 30}
	in.Current = plan(t, in).Map
	require.Equal(t, placer.ReasonNoSaving, plan(t, in).Reason, "a balanced map is kept")

	in.Ranks = ranks(8, 2)
	in.Popularity = []float64{0.3, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1}
	require.Positive(t, plan(t, in).Bytes, "a cheap load that pays off is made")

	policy.MoveRate = 1
	in.Policy = policy
	require.Zero(t, plan(t, in).Bytes, "an expensive load is not made")

	in.Policy = placer.Static{}
	require.False(t, plan(t, in).Changed)
}

// TestPlanChangesSharesWithoutLoads guards against a plan that loads weights although other shares of the same replicas
// are enough.
func TestPlanChangesSharesWithoutLoads(t *testing.T) {
	in := placer.Input{Policy: placer.DefaultAdaptive(), Popularity: []float64{0.5, 0.5}, Ranks: ranks(2, 2), ExpertBytes: 1 << 30}
	in.Current = plan(t, in).Map
	in.Popularity = []float64{0.8, 0.2}
	decision := plan(t, in)
	require.Zero(t, decision.Bytes)
	require.InDelta(t, 1, decision.SkewAfter, 0.001)
}

// TestPlanRepairLoadsFewReplicas guards against a plan that solves the map anew when a failure domain becomes
// unavailable.
func TestPlanRepairLoadsFewReplicas(t *testing.T) {
	in := placer.Input{Policy: placer.DefaultAdaptive(), Popularity: evenPopularity(12), Ranks: ranks(12, 2), ExpertBytes: 1}
	in.Current = plan(t, in).Map
	for i := range in.Ranks {
		in.Ranks[i].Available = in.Ranks[i].FailureDomain != "a"
	}
	decision := plan(t, in)
	require.True(t, decision.Changed)
	// The failure domain has 4 ranks with 2 replicas of 1 byte each.
	require.LessOrEqual(t, decision.Bytes, identifier.Bytes(8))
}

// TestPlanSpreadsReplicasOverDomains guards against an expert that is lost with one failure domain, because all its
// replicas are in that domain.
func TestPlanSpreadsReplicasOverDomains(t *testing.T) {
	in := placer.Input{Policy: placer.DefaultAdaptive(), Popularity: evenPopularity(6), Ranks: ranks(6, 2), ExpertBytes: 1}
	for e, replicas := range plan(t, in).Map.Experts {
		seen := map[identifier.FailureDomain]bool{}
		for _, r := range replicas {
			seen[in.Ranks[r.Rank].FailureDomain] = true
		}
		require.Greater(t, len(seen), 1, "expert %d has replicas %v", e, replicas)
	}
}

// TestPlanWeighsSpeed guards against a slow rank that receives an equal share of the work.
func TestPlanWeighsSpeed(t *testing.T) {
	in := placer.Input{Policy: placer.DefaultAdaptive(), Popularity: evenPopularity(8), Ranks: ranks(4, 4), ExpertBytes: 1}
	in.Ranks[1].Speed = 0.5
	work := plan(t, in).Map.RankWork(in.Popularity, 4)
	require.InDelta(t, work[0]/2, work[1], 0.01)
}

// singleReplicaMap returns a map with one replica of each expert, on ranks 0 and 1 in turn.
func singleReplicaMap(experts int) placer.Map {
	m := placer.Map{}
	for e := range experts {
		m.Experts = append(m.Experts, []placer.Replica{{Rank: identifier.Rank(e % 2), Share: 1}})
	}
	return m
}

// reports returns a report of each of the two ranks of singleReplicaMap, with the given tokens by expert.
func reports(counts ...identifier.Tokens) []placer.Report {
	out := []placer.Report{{Rank: 0, ComputeTime: time.Second}, {Rank: 1, ComputeTime: time.Second}}
	for i := range out {
		out[i].Tokens = make([]identifier.Tokens, len(counts))
		for e, n := range counts {
			if e%2 == i {
				out[i].Tokens[e] = n
			}
		}
	}
	return out
}

// TestEstimatorExtrapolatesDrift guards against a forecast that lags behind a steady drift.
func TestEstimatorExtrapolatesDrift(t *testing.T) {
	e := placer.NewEstimator(placer.DefaultEstimatorConfig(2, 2))
	start := time.Unix(0, 0)
	for i := range 120 {
		n := identifier.Tokens(10000 + 50*i)
		e.Observe(start.Add(time.Duration(i)*time.Second), singleReplicaMap(2), reports(n, 30000-n))
	}
	require.InDelta(t, (10000.0+50*129)/30000, e.Forecast(10 * time.Second)[0], 0.005)
	require.Zero(t, e.Jumps())
}

// TestEstimatorDetectsSuddenChange guards against a sudden change that is smoothed over many reports, and against one
// damaged report that is treated as a sudden change.
func TestEstimatorDetectsSuddenChange(t *testing.T) {
	e := placer.NewEstimator(placer.DefaultEstimatorConfig(2, 2))
	start := time.Unix(0, 0)
	observe := func(second int, a, b identifier.Tokens) {
		e.Observe(start.Add(time.Duration(second)*time.Second), singleReplicaMap(2), reports(a, b))
	}
	for i := range 10 {
		observe(i, 500, 500)
	}
	observe(10, 900, 100)
	observe(11, 500, 500)
	require.InDelta(t, 0.5, e.Forecast(0)[0], 0.01)
	observe(12, 900, 100)
	observe(13, 900, 100)
	require.InDelta(t, 0.9, e.Forecast(0)[0], 0.01)
	require.Equal(t, 1, e.Jumps())
}

// TestEstimatorMissingReports guards against a popularity estimate that drops for the experts of a rank that sends no
// reports.
func TestEstimatorMissingReports(t *testing.T) {
	e := placer.NewEstimator(placer.DefaultEstimatorConfig(4, 2))
	start := time.Unix(0, 0)
	for i := range 10 {
		e.Observe(start.Add(time.Duration(i)*time.Second), singleReplicaMap(4), reports(100, 200, 300, 400))
	}
	for i := range 10 {
		e.Observe(start.Add(time.Duration(10+i)*time.Second), singleReplicaMap(4), reports(100, 200, 300, 400)[:1])
	}
	e.Observe(start.Add(20*time.Second), singleReplicaMap(4), nil)
	forecast := e.Forecast(0)
	for i, want := range []float64{0.1, 0.2, 0.3, 0.4} {
		require.InDelta(t, want, forecast[i], 0.01)
	}
}

// TestEstimatorMeasuresSpeed guards against a slow rank whose measured speed equals that of the others.
func TestEstimatorMeasuresSpeed(t *testing.T) {
	e := placer.NewEstimator(placer.DefaultEstimatorConfig(2, 2))
	for i := range 30 {
		r := reports(500, 500)
		r[0].ComputeTime = 2 * time.Second
		e.Observe(time.Unix(int64(i), 0), singleReplicaMap(2), r)
	}
	require.InDelta(t, 0.5, e.Speeds()[0], 0.01)
	require.InDelta(t, 1, e.Speeds()[1], 0.01)
}
