package bencher

import (
	"context"

	"currantledge.example/currantledge/internal/version/placer"
)

// skew compares the adaptive placement with a static one (skew) and with a new placement in each interval (bytes).
func skew(_ context.Context, b *bench) error {
	groups := []struct {
		name string
		make func(uint64) Skew
	}{{"64", LargeGroup}, {"16", TodaysGroup}}
	for _, g := range groups {
		results := map[string][][]sample{}
		for run := range b.cfg.Runs {
			for name, policy := range map[string]placer.Policy{
				"": placer.DefaultAdaptive(), "static": placer.Static{}, "resolve": placer.Resolve{},
			} {
				result, err := g.make(b.cfg.Seed + uint64(run)).Run(policy)
				if err != nil {
					return err
				}
				results[name] = append(results[name], []sample{
					{"stepSkewP99Ranks" + g.name, result.Steady, "ratio"},
					{"rebalanceBytesRanks" + g.name, float64(result.Bytes), "bytes"},
				})
			}
		}
		adaptive := medians(results[""])
		b.print(compared(adaptive[:1], map[string][]sample{
			"static": medians(results["static"]), "resolve": medians(results["resolve"]),
		}))
		b.print(compared(adaptive[1:], map[string][]sample{"resolve": medians(results["resolve"])}))
	}
	return nil
}
