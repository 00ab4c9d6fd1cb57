package assigner

import (
	"sort"

	"currantledge.example/currantledge/internal/process/identifier"
)

// resume takes wanted variants back into service that were retired and are still loaded, for example when a new
// version is withdrawn.
func (p *plan) resume() {
	for _, r := range p.runners {
		for i := range r.Held {
			h := &r.Held[i]
			w, wanted := p.wants[h.Variant.line()]
			if !h.Retired || !wanted || h.Variant != w.Variant || !p.eligible(r, w) || p.holding(w) >= p.targets[h.Variant.line()] {
				continue
			}
			h.Retired = false
			p.give(Resume{Upstream: r.Upstream, Variant: h.Variant})
		}
	}
}

// retire ends new streams for what is no longer wanted: old versions whose successor is warm, lines without a want,
// and copies beyond the target.
func (p *plan) retire() {
	for _, r := range p.runners {
		for i := range r.Held {
			h := &r.Held[i]
			if h.Retired || h.Loading || !p.surplus(r, *h) {
				continue
			}
			h.Retired = true
			p.give(Retire{Upstream: r.Upstream, Variant: h.Variant})
		}
	}
}

func (p *plan) surplus(r *Runner, h Held) bool {
	l := h.Variant.line()
	w, wanted := p.wants[l]
	if !wanted || !w.fits(r) {
		return true
	}
	target := max(1, p.targets[l])
	if h.Variant == w.Variant {
		return h.Warm && p.eligible(r, w) && p.serving(l, w.Variant.Version, r) >= target
	}
	return p.serving(l, w.Variant.Version, nil) >= target || r.superseded(h, w) || p.mustYield(r, w)
}

// superseded tells whether the runner itself serves the wanted version, or a version of the line that it loaded later.
func (r *Runner) superseded(h Held, w Want) bool {
	later := false
	for _, other := range r.Held {
		if other.Variant == h.Variant {
			later = true
			continue
		}
		serves := other.Variant.line() == h.Variant.line() && other.Warm && !other.Retired
		if serves && (later || other.Variant == w.Variant) {
			return true
		}
	}
	return false
}

// mustYield tells whether an old version has to make room, because no runner can hold the new one beside what it
// serves. The line keeps all but one of its target, and at least one runner.
func (p *plan) mustYield(r *Runner, w Want) bool {
	l := w.Variant.line()
	if !p.eligible(r, w) || p.holding(w) >= p.targets[l] || p.serving(l, "", r) < max(1, p.targets[l]-1) {
		return false
	}
	if p.yielding(l) {
		return false
	}
	for _, other := range p.runners {
		if p.eligible(other, w) && other.find(w.Variant) < 0 && other.free() >= w.Bytes {
			return false
		}
	}
	return true
}

// yielding tells whether a runner already makes room or loads for a line, so that runners change one by one.
func (p *plan) yielding(l line) bool {
	for _, r := range p.runners {
		for _, h := range r.Held {
			if h.Variant.line() == l && r.InForce && (h.Retired || !h.Warm) {
				return true
			}
		}
	}
	return false
}

// unload frees retired variants whose streams have ended.
func (p *plan) unload() {
	for _, r := range p.runners {
		var kept []Held
		for _, h := range r.Held {
			if h.Retired && h.Streams == 0 {
				p.give(Unload{Upstream: r.Upstream, Variant: h.Variant})
			}
			// The memory counts as used until the runner reports that the variant is gone.
			kept = append(kept, h)
		}
		r.Held = kept
	}
}

// load orders loads by urgency while those in progress fit into the store's rate over the window. One load may always
// be in progress, or a variant larger than that could never be loaded.
func (p *plan) load() {
	budget := identifier.Bytes(float64(p.in.FetchRate) * p.in.Window.Seconds())
	used := identifier.Bytes(0)
	for _, r := range p.runners {
		for _, h := range r.Held {
			if h.Loading {
				used += h.Bytes
			}
		}
	}
	for {
		w, r := p.mostUrgent()
		if r == nil || (used > 0 && used+w.Bytes > budget) {
			return
		}
		used += w.Bytes
		r.Held = append(r.Held, Held{Variant: w.Variant, Bytes: w.Bytes, Loading: true})
		p.give(Load{Upstream: r.Upstream, Variant: w.Variant, Bytes: w.Bytes})
	}
}

// mostUrgent returns the want with the least service for its demand that some runner has room for. A line that
// nobody serves comes first.
func (p *plan) mostUrgent() (Want, *Runner) {
	wants := append([]Want(nil), p.in.Wants...)
	coverage := func(w Want) float64 {
		l := w.Variant.line()
		if p.serving(l, "", nil) == 0 && p.holding(w) == 0 {
			return -1
		}
		return float64(p.holding(w)) / float64(max(1, p.targets[l]))
	}
	sort.SliceStable(wants, func(i, j int) bool {
		a, b := coverage(wants[i]), coverage(wants[j])
		if a != b {
			return a < b
		}
		return wants[i].Demand > wants[j].Demand
	})
	for _, w := range wants {
		if p.holding(w) >= p.targets[w.Variant.line()] {
			continue
		}
		if r := p.roomiest(w); r != nil {
			return w, r
		}
	}
	return Want{}, nil
}

// roomiest returns the runner for a load: in the failure domain with the fewest runners of the line, and there the
// one with the most free memory.
func (p *plan) roomiest(w Want) *Runner {
	domains := map[identifier.FailureDomain]int{}
	for _, r := range p.runners {
		if r.find(w.Variant) >= 0 {
			domains[r.FailureDomain]++
		}
	}
	var best *Runner
	for _, r := range p.runners {
		if !p.eligible(r, w) || r.find(w.Variant) >= 0 || r.free() < w.Bytes {
			continue
		}
		near := 0
		if best != nil {
			near = domains[r.FailureDomain] - domains[best.FailureDomain]
		}
		if best == nil || near < 0 || (near == 0 && r.free() > best.free()) {
			best = r
		}
	}
	return best
}
