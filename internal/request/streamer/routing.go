package streamer

import (
	"time"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/request/quarantiner"
	"currantledge.example/currantledge/internal/request/queuer"
	"currantledge.example/currantledge/internal/request/router"
)

// order returns the upstreams to ask without those that have just refused the request, and how many upstreams are in
// service. Upstreams are left out after the choice, so that a refusal does not bring in another one for a copied request.
func (d *Dispatcher) order(call Call, avoid map[identifier.Upstream]time.Time) ([]router.Choice, int) {
	candidates := d.cfg.Candidates(call.Target)
	if len(candidates) == 0 {
		return nil, 0
	}
	now := time.Now()
	var choices []router.Choice
	for _, c := range d.restrict(call, candidates) {
		if until, ok := avoid[c.Upstream]; !ok || now.After(until) {
			choices = append(choices, c)
		}
	}
	return choices, len(candidates)
}

// restrict orders the candidates. Identical model requests keep to few upstreams, the same at all entries, so that one
// that crashes upstreams cannot reach many before the first crash is known.
func (d *Dispatcher) restrict(call Call, candidates []router.Candidate) []router.Choice {
	request := router.Request{Affinity: call.Affinity, Sticky: call.keyed(), Sequence: d.turn.Add(1)}
	width := len(candidates)
	if call.Target.Kind == messenger.TargetModel {
		switch {
		case d.cfg.Verdict(call.Digest) != quarantiner.VerdictClear:
			request.Sticky, width = true, suspectWidth
		case closed(d.copied(call.Digest)):
			request.Sticky, width = true, copyWidth
		}
	}
	choices := router.Order(d.cfg.Policy, request, candidates)
	return choices[:min(width, len(choices))]
}

func (d *Dispatcher) logRouted(call Call, m queuer.Match, choices []router.Choice) {
	reason := string(router.ReasonLeastLoaded)
	for _, c := range choices {
		if c.Upstream == m.Upstream {
			reason = string(c.Reason)
		}
	}
	d.cfg.Log.Decide(logger.Decision{
		Event: logger.EventRouted, Request: call.Request, Choice: string(m.Upstream), Reason: reason,
	})
}
