package screener

import (
	"slices"
	"time"

	"currantledge.example/currantledge/internal/connection/federator"
	"currantledge.example/currantledge/internal/process/identifier"
)

// rule is what follows from one suspicion for later requests.
type rule struct {
	// culprits are the parts of which each may be to blame; the parts of the other suspicions do not tell them apart.
	culprits []identifier.PromptPart
	customer identifier.Customer
	// refusesAll is set if requests of all customers that hold all culprits are refused, not only those of the customer.
	refusesAll   bool
	refusedUntil time.Time
}

// verdict applies the rule to a request.
func (r rule) verdict(now time.Time, p Prompt) Verdict {
	matching := 0
	for _, culprit := range r.culprits {
		if culprit == p.Request || slices.Contains(p.Parts, culprit) {
			matching++
		}
	}
	if matching == 0 {
		return Clear{}
	}
	refuses := r.refusesAll || r.customer == p.Customer
	if refuses && matching == len(r.culprits) && now.Before(r.refusedUntil) {
		return Refused{Until: r.refusedUntil}
	}
	return Isolated{Part: r.culprits[0]}
}

// deriveRules returns a rule for each suspicion.
func (s *Screener) deriveRules() []rule {
	rules := make([]rule, 0, len(s.suspicions))
	for _, known := range s.suspicions {
		rules = append(rules, s.deriveRule(known))
	}
	return rules
}

// deriveRule returns what follows from a suspicion. The rule has no culprits if the request has been answered since.
func (s *Screener) deriveRule(known federator.Suspicion) rule {
	best := 0
	r := rule{customer: known.Customer}
	for _, part := range known.Parts {
		if s.isCleared(part, known.At) {
			continue
		}
		switch outages := len(s.outages(part)); {
		case outages > best:
			best, r.culprits = outages, []identifier.PromptPart{part}
		case outages == best:
			r.culprits = append(r.culprits, part)
		}
	}
	if len(r.culprits) == 0 {
		if s.isCleared(known.Request, known.At) {
			return r
		}
		r.culprits = []identifier.PromptPart{known.Request}
	}
	outages := s.outages(r.culprits[0])
	r.refusesAll = len(outages) > 1 && s.customers(r.culprits[0]) > 1
	refusal := minRefusal
	for range len(outages) - 1 {
		refusal = min(refusal*refusalGrowth, maxRefusal)
	}
	r.refusedUntil = outages[len(outages)-1].Add(refusal)
	return r
}

// isCleared reports whether a part is not to blame for a crash: an upstream has answered it since, or had answered it
// before and crashed on it in one outage only.
func (s *Screener) isCleared(part identifier.PromptPart, crash time.Time) bool {
	at := s.answered[part]
	if at.IsZero() {
		return false
	}
	return !at.Before(crash) || len(s.outages(part)) < 2
}

// outages returns the times of crashes with a part since it was last answered, those within outageSpan of each other
// once.
func (s *Screener) outages(part identifier.PromptPart) []time.Time {
	var crashes []time.Time
	for _, known := range s.suspicions {
		if (known.Request == part || slices.Contains(known.Parts, part)) && known.At.After(s.answered[part]) {
			crashes = append(crashes, known.At)
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	var out []time.Time
	for _, at := range crashes {
		if len(out) == 0 || at.Sub(out[len(out)-1]) >= outageSpan {
			out = append(out, at)
		}
	}
	return out
}

// customers returns the number of customers whose requests with a part crashed upstreams since it was last answered.
func (s *Screener) customers(part identifier.PromptPart) int {
	found := map[identifier.Customer]bool{}
	for _, known := range s.suspicions {
		if slices.Contains(known.Parts, part) && known.At.After(s.answered[part]) {
			found[known.Customer] = true
		}
	}
	return len(found)
}
