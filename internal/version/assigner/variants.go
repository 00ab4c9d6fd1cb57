package assigner

import (
	"sort"

	"currantledge.example/currantledge/internal/process/identifier"
)

// reinstate puts retired replicas of required variants back into service while they are still loaded, for example after
// a new version is withdrawn.
func (p *plan) reinstate() {
	for _, r := range p.runners {
		for i := range r.Replicas {
			replica := &r.Replicas[i]
			req, required := p.requirements[replica.Variant.modelAdapter()]
			if !replica.Retired || !required || replica.Variant != req.Variant || !p.eligible(r, req) ||
				p.countReplicas(req) >= p.targets[replica.Variant.modelAdapter()] {
				continue
			}
			replica.Retired = false
			p.addOrder(Reinstate{Upstream: r.Upstream, Variant: replica.Variant})
		}
	}
}

// retire stops new streams to replicas that are no longer required: old versions whose successor is warm, models and
// adapters without a requirement, and replicas beyond the target.
func (p *plan) retire() {
	for _, r := range p.runners {
		for i := range r.Replicas {
			replica := &r.Replicas[i]
			if replica.Retired || replica.Loading || !p.isSurplus(r, *replica) {
				continue
			}
			replica.Retired = true
			p.addOrder(Retire{Upstream: r.Upstream, Variant: replica.Variant})
		}
	}
}

// isSurplus reports whether a replica that is not retired can be retired.
func (p *plan) isSurplus(r *Runner, replica Replica) bool {
	key := replica.Variant.modelAdapter()
	req, required := p.requirements[key]
	if !required || !req.roleMatches(r) {
		return true
	}
	target := max(1, p.targets[key])
	if replica.Variant == req.Variant {
		return replica.Warm && p.eligible(r, req) && p.countServing(key, req.Variant.Version, r) >= target
	}
	return p.countServing(key, req.Variant.Version, nil) >= target || r.isSuperseded(replica, req) || p.mustMakeRoom(r, req)
}

// isSuperseded reports whether the runner itself serves the required version of the replica's model and adapter, or a
// version that it loaded after the replica.
func (r *Runner) isSuperseded(replica Replica, req Requirement) bool {
	later := false
	for _, other := range r.Replicas {
		if other.Variant == replica.Variant {
			later = true
			continue
		}
		serves := other.Variant.modelAdapter() == replica.Variant.modelAdapter() && other.Warm && !other.Retired
		if serves && (later || other.Variant == req.Variant) {
			return true
		}
	}
	return false
}

// mustMakeRoom reports whether an old version on r has to be retired to free memory, because no eligible runner has
// enough free memory for the new one. All but one of the target number of runners, and at least one, keep serving the
// model and adapter.
func (p *plan) mustMakeRoom(r *Runner, req Requirement) bool {
	key := req.Variant.modelAdapter()
	if !p.eligible(r, req) || p.countReplicas(req) >= p.targets[key] || p.countServing(key, "", r) < max(1, p.targets[key]-1) {
		return false
	}
	if p.isMakingRoom(key) {
		return false
	}
	for _, other := range p.runners {
		if p.eligible(other, req) && other.replicaIndex(req.Variant) < 0 && other.freeMemory() >= req.Bytes {
			return false
		}
	}
	return true
}

// isMakingRoom reports whether a runner already frees memory or loads for a model and adapter. Runners change their
// version one by one.
func (p *plan) isMakingRoom(key modelAdapter) bool {
	for _, r := range p.runners {
		for _, replica := range r.Replicas {
			if replica.Variant.modelAdapter() == key && r.Available && (replica.Retired || !replica.Warm) {
				return true
			}
		}
	}
	return false
}

// unload unloads retired replicas whose streams have ended.
func (p *plan) unload() {
	for _, r := range p.runners {
		var replicas []Replica
		for _, replica := range r.Replicas {
			if replica.Retired && replica.Streams == 0 {
				p.addOrder(Unload{Upstream: r.Upstream, Variant: replica.Variant})
			}
			// The memory counts as used until the runner no longer reports the replica.
			replicas = append(replicas, replica)
		}
		r.Replicas = replicas
	}
}

// load orders loads, most urgent first, while the loads in progress can finish within FetchWindow at FetchRate. One load
// may always be in progress, because otherwise a variant that exceeds this limit could never be loaded.
func (p *plan) load() {
	budget := identifier.Bytes(float64(p.in.FetchRate) * p.in.FetchWindow.Seconds())
	inProgress := identifier.Bytes(0)
	for _, r := range p.runners {
		for _, replica := range r.Replicas {
			if replica.Loading {
				inProgress += replica.Bytes
			}
		}
	}
	for {
		req, r := p.mostUrgent()
		if r == nil || (inProgress > 0 && inProgress+req.Bytes > budget) {
			return
		}
		inProgress += req.Bytes
		r.Replicas = append(r.Replicas, Replica{Variant: req.Variant, Bytes: req.Bytes, Loading: true})
		p.addOrder(Load{Upstream: r.Upstream, Variant: req.Variant, Bytes: req.Bytes})
	}
}

// mostUrgent returns the requirement with the lowest ratio of replicas to target for which a runner has enough free
// memory, and this runner. A model and adapter that no runner serves or loads comes first. The runner is nil if there is
// no such requirement.
func (p *plan) mostUrgent() (Requirement, *Runner) {
	requirements := append([]Requirement(nil), p.in.Requirements...)
	coverage := func(req Requirement) float64 {
		key := req.Variant.modelAdapter()
		if p.countServing(key, "", nil) == 0 && p.countReplicas(req) == 0 {
			return -1
		}
		return float64(p.countReplicas(req)) / float64(max(1, p.targets[key]))
	}
	sort.SliceStable(requirements, func(i, j int) bool {
		a, b := coverage(requirements[i]), coverage(requirements[j])
		if a != b {
			return a < b
		}
		return requirements[i].Demand > requirements[j].Demand
	})
	for _, req := range requirements {
		if p.countReplicas(req) >= p.targets[req.Variant.modelAdapter()] {
			continue
		}
		if r := p.bestRunner(req); r != nil {
			return req, r
		}
	}
	return Requirement{}, nil
}

// bestRunner returns the runner for a load: in the failure domain with the fewest replicas of the variant, the one with
// the most free memory. It returns nil if no eligible runner has enough.
func (p *plan) bestRunner(req Requirement) *Runner {
	replicas := map[identifier.FailureDomain]int{}
	for _, r := range p.runners {
		if r.replicaIndex(req.Variant) >= 0 {
			replicas[r.FailureDomain]++
		}
	}
	var best *Runner
	for _, r := range p.runners {
		if !p.eligible(r, req) || r.replicaIndex(req.Variant) >= 0 || r.freeMemory() < req.Bytes {
			continue
		}
		difference := 0
		if best != nil {
			difference = replicas[r.FailureDomain] - replicas[best.FailureDomain]
		}
		if best == nil || difference < 0 || (difference == 0 && r.freeMemory() > best.freeMemory()) {
			best = r
		}
	}
	return best
}
