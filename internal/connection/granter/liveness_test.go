package granter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantledge.example/currantledge/internal/connection/granter"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

// Guards against counts of credits that drift over drains, returns, lost links and expiry, after which waiting requests
// get no credit although the upstream is idle.
func TestIdleUpstreamGrantsAfterAnySequence(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		g := granter.New(granter.Config{Incarnation: incarnation, Limits: granter.Limits{Cold: 4, Warm: 8, WarmAfter: 5}})
		now := start
		entries := []identifier.Node{"e0", "e1", "e2"}
		customers := []identifier.Customer{"c0", "c1"}
		type heldCredit struct {
			entry identifier.Node
			grant messenger.Grant
		}
		var credits []heldCredit
		var running []identifier.Request
		record := func(issued []granter.IssuedGrant) {
			for _, i := range issued {
				for range i.Grant.Credits {
					credits = append(credits, heldCredit{i.Entry, i.Grant})
				}
			}
		}
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			entry := rapid.SampledFrom(entries).Draw(t, "entry")
			customer := rapid.SampledFrom(customers).Draw(t, "customer")
			switch rapid.SampledFrom([]string{"demand", "admit", "finish", "return", "lost link", "drain", "tick", "cold"}).Draw(t, "step") {
			case "demand":
				record(g.SetDemand(now, entry, []messenger.CustomerDemand{{Customer: customer, Waiting: rapid.IntRange(0, 5).Draw(t, "waiting")}}))
			case "admit":
				if len(credits) == 0 {
					continue
				}
				h := credits[0]
				credits = credits[1:]
				id := identifier.NewRequest()
				if g.Admit(now, h.entry, granter.Admission{Request: id, Customer: h.grant.Customer, Incarnation: incarnation, Serial: h.grant.Serial}) == "" {
					running = append(running, id)
				}
			case "finish":
				if len(running) > 0 {
					record(g.Finish(now, running[0], rapid.Bool().Draw(t, "success")))
					running = running[1:]
				}
			case "return":
				if len(credits) > 0 {
					record(g.ReturnCredits(now, credits[0].entry, messenger.ReturnGrant{Serial: credits[0].grant.Serial, Credits: 1}))
					credits = credits[1:]
				}
			case "lost link":
				record(g.RemoveEntry(now, entry))
			case "drain":
				g.SetDraining(rapid.Bool().Draw(t, "draining"))
			case "cold":
				g.MarkCold(now, "test")
			case "tick":
				now = now.Add(time.Duration(rapid.IntRange(1, 12000).Draw(t, "ms")) * time.Millisecond)
				record(g.Tick(now))
			}
		}
		for _, id := range running {
			g.Finish(now, id, true)
		}
		g.SetDraining(false)
		for _, e := range entries {
			for _, c := range customers {
				g.SetDemand(now, e, []messenger.CustomerDemand{{Customer: c}})
			}
		}
		for range rapid.IntRange(1, 4).Draw(t, "idle ticks") {
			now = now.Add(2500 * time.Millisecond)
			g.Tick(now)
		}
		issued := g.SetDemand(now, "e0", []messenger.CustomerDemand{{Customer: "c0", Waiting: 1}})
		granted := g.Load().Granted
		require.True(t, len(issued) > 0 || granted > 0, "no credit for the only waiting request: %+v", g.Load())
		require.LessOrEqual(t, int(g.Load().Granted), 8)
		require.Zero(t, g.Load().Running)
	})
}
