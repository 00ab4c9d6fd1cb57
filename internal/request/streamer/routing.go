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

// orderUpstreams returns the upstreams from which to request a credit, without those that the request avoids, and the
// number of upstreams in service. Avoided upstreams are removed only after the restriction by orderRestricted, so that a
// duplicated request does not reach a further upstream after a refusal.
func (d *Dispatcher) orderUpstreams(call Call, avoid map[identifier.Upstream]time.Time) ([]router.Choice, int) {
	candidates := d.cfg.Candidates(call.Target)
	if len(candidates) == 0 {
		return nil, 0
	}
	now := time.Now()
	var choices []router.Choice
	for _, c := range d.orderRestricted(call, candidates) {
		if until, ok := avoid[c.Upstream]; !ok || now.After(until) {
			choices = append(choices, c)
		}
	}
	return choices, len(candidates)
}

// orderRestricted orders the candidates by the routing policy. It restricts duplicated and suspected model requests to
// few upstreams, the same at all entries, so that a request that crashes upstreams cannot reach many of them before the
// first crash is known.
func (d *Dispatcher) orderRestricted(call Call, candidates []router.Candidate) []router.Choice {
	request := router.Request{Affinity: call.Affinity, Sticky: call.needsClaim(), Sequence: d.sequence.Add(1)}
	width := len(candidates)
	if call.Target.Kind == messenger.TargetModel {
		switch {
		case d.cfg.Verdict(call.Digest) != quarantiner.VerdictClear:
			request.Sticky, width = true, suspectWidth
		case isClosed(d.duplicateSignal(call.Digest)):
			request.Sticky, width = true, duplicateWidth
		}
	}
	choices := router.Order(d.cfg.Policy, request, candidates)
	return choices[:min(width, len(choices))]
}

// logRouted logs the upstream that granted the credit, with the reason for its place in the order.
func (d *Dispatcher) logRouted(call Call, m queuer.Match, choices []router.Choice) {
	reason := string(router.ReasonLeastLoaded)
	for _, c := range choices {
		if c.Upstream == m.Upstream {
			reason = string(c.Reason)
		}
	}
	d.cfg.Log.RecordDecision(logger.Decision{
		Event: logger.EventRouted, Request: call.Request, Choice: string(m.Upstream), Reason: reason,
	})
}
