package assigner

import "sort"

// changeRoles changes the role of drained runners and drains one runner at a time for a role that lacks runners.
func (p *plan) changeRoles() {
	draining := false
	for _, r := range p.runners {
		if !r.InForce || !r.Draining {
			continue
		}
		role := p.lacking(r)
		if role == "" {
			r.Draining = false
			p.give(Undrain{Upstream: r.Upstream})
			continue
		}
		draining = true
		if r.Running == 0 && r.streams() == 0 {
			p.give(ChangeRole{Upstream: r.Upstream, Role: role})
			r.Role = role
			r.Draining = false
		}
	}
	if draining {
		return
	}
	if r := p.spare(); r != nil {
		r.Draining = true
		p.give(Drain{Upstream: r.Upstream})
	}
}

func (r *Runner) streams() int {
	n := 0
	for _, h := range r.Held {
		n += h.Streams
	}
	return n
}

func (p *plan) count(role Role) int {
	n := 0
	for _, r := range p.runners {
		if r.InForce && r.Role == role {
			n++
		}
	}
	return n
}

// lacking returns the role that lacks most runners if the role of r has one to give, or "".
func (p *plan) lacking(r *Runner) Role {
	wanted, listed := p.in.Roles[r.Role]
	if !listed || p.count(r.Role) <= wanted {
		return ""
	}
	var roles []Role
	for role := range p.in.Roles {
		roles = append(roles, role)
	}
	sort.Slice(roles, func(i, j int) bool { return roles[i] < roles[j] })
	best, gap := Role(""), 0
	for _, role := range roles {
		if missing := p.in.Roles[role] - p.count(role); missing > gap {
			best, gap = role, missing
		}
	}
	return best
}

// spare returns the least busy runner whose role can change without taking away the last server of a variant.
func (p *plan) spare() *Runner {
	var best *Runner
	for _, r := range p.runners {
		if !r.InForce || r.Draining || p.lacking(r) == "" || p.last(r) {
			continue
		}
		if best == nil || r.Running < best.Running {
			best = r
		}
	}
	return best
}

// last tells whether r is the only runner that serves some wanted line.
func (p *plan) last(r *Runner) bool {
	for _, h := range r.Held {
		l := h.Variant.line()
		if _, wanted := p.wants[l]; wanted && h.Warm && !h.Retired && p.serving(l, "", r) == 0 {
			return true
		}
	}
	return false
}
