package assigner

import "sort"

// changeRoles changes the role of drained runners, and drains one runner at a time for a role that has fewer runners
// than its target.
func (p *plan) changeRoles() {
	draining := false
	for _, r := range p.runners {
		if !r.Available || !r.Draining {
			continue
		}
		role := p.nextRole(r)
		if role == "" {
			r.Draining = false
			p.addOrder(Undrain{Upstream: r.Upstream})
			continue
		}
		draining = true
		if r.Running == 0 && r.openStreams() == 0 {
			p.addOrder(ChangeRole{Upstream: r.Upstream, Role: role})
			r.Role = role
			r.Draining = false
		}
	}
	if draining {
		return
	}
	if r := p.drainCandidate(); r != nil {
		r.Draining = true
		p.addOrder(Drain{Upstream: r.Upstream})
	}
}

func (r *Runner) openStreams() int {
	n := 0
	for _, replica := range r.Replicas {
		n += replica.Streams
	}
	return n
}

func (p *plan) countRole(role Role) int {
	n := 0
	for _, r := range p.runners {
		if r.Available && r.Role == role {
			n++
		}
	}
	return n
}

// nextRole returns the role with the largest shortage of runners if the role of r has more than its target, or "" if r
// keeps its role.
func (p *plan) nextRole(r *Runner) Role {
	target, listed := p.in.RoleTargets[r.Role]
	if !listed || p.countRole(r.Role) <= target {
		return ""
	}
	var roles []Role
	for role := range p.in.RoleTargets {
		roles = append(roles, role)
	}
	sort.Slice(roles, func(i, j int) bool { return roles[i] < roles[j] })
	best, largest := Role(""), 0
	for _, role := range roles {
		if shortage := p.in.RoleTargets[role] - p.countRole(role); shortage > largest {
			best, largest = role, shortage
		}
	}
	return best
}

// drainCandidate returns the runner with the fewest running requests whose role can change without leaving a required
// model and adapter unserved, or nil.
func (p *plan) drainCandidate() *Runner {
	var best *Runner
	for _, r := range p.runners {
		if !r.Available || r.Draining || p.nextRole(r) == "" || p.isLastServer(r) {
			continue
		}
		if best == nil || r.Running < best.Running {
			best = r
		}
	}
	return best
}

// isLastServer reports whether r is the only runner that serves some required model and adapter.
func (p *plan) isLastServer(r *Runner) bool {
	for _, replica := range r.Replicas {
		key := replica.Variant.modelAdapter()
		if _, required := p.requirements[key]; required && replica.Warm && !replica.Retired && p.countServing(key, "", r) == 0 {
			return true
		}
	}
	return false
}
