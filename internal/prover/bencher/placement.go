package bencher

import (
	"context"

	"currantledge.example/currantledge/internal/version/placer"
)

// measureSkew compares the adaptive placement with two baselines: the static placement, and the one that is solved anew
// in each interval. It compares the step skew with both, the bytes of fetched weights only with the latter.
func measureSkew(_ context.Context, b *bench) error {
	groups := []struct {
		name        string
		newWorkload func(uint64) SkewWorkload
	}{{"64", LargeGroup}, {"16", SmallGroup}}
	for _, g := range groups {
		results := map[string][][]sample{}
		for run := range b.cfg.Runs {
			// The adaptive placement has no name, since names are those of baselines.
			for name, policy := range map[string]placer.Policy{
				"": placer.DefaultAdaptive(), "static": placer.Static{}, "resolve": placer.Resolve{},
			} {
				result, err := g.newWorkload(b.cfg.Seed + uint64(run)).Run(policy)
				if err != nil {
					return err
				}
				results[name] = append(results[name], []sample{
					{"stepSkewP99Ranks" + g.name, result.SteadySkew, "ratio"},
					{"rebalanceBytesRanks" + g.name, float64(result.Bytes), "bytes"},
				})
			}
		}
		adaptive := medians(results[""])
		b.print(withBaselines(adaptive[:1], map[string][]sample{
			"static": medians(results["static"]), "resolve": medians(results["resolve"]),
		}))
		b.print(withBaselines(adaptive[1:], map[string][]sample{"resolve": medians(results["resolve"])}))
	}
	return nil
}
