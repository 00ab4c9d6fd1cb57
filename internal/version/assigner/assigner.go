// Package assigner decides which runners hold which model, adapter and version, and which role they have.
package assigner

import (
	"math"
	"sort"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Role is the kind of work that a runner does for its group.
type Role string

// Variant is what a runner loads as one unit: a version of a model, and an adapter or none.
type Variant struct {
	Model   identifier.Model
	Version string
	Adapter string
}

// line is a variant without its version; versions of one line replace each other.
type line struct {
	model   identifier.Model
	adapter string
}

func (v Variant) line() line {
	return line{model: v.Model, adapter: v.Adapter}
}

func (v Variant) less(o Variant) bool {
	if v.Model != o.Model {
		return v.Model < o.Model
	}
	if v.Adapter != o.Adapter {
		return v.Adapter < o.Adapter
	}
	return v.Version < o.Version
}

// Want is a variant that is to be served. The model and adapter of each want are unique.
type Want struct {
	Variant Variant
	Bytes   identifier.Bytes
	// Demand is the work asked for, in units of what one runner can serve.
	Demand float64
	// Role restricts the variant to runners of one role; empty means any.
	Role Role
}

// Held is a variant on a runner.
type Held struct {
	Variant Variant
	Bytes   identifier.Bytes
	// Warm is false while the variant loads or warms up.
	Warm bool
	// Loading is true until its weights have arrived.
	Loading bool
	// Retired is true once the variant receives no new streams.
	Retired bool
	Streams int
}

// Runner is the state of one runner.
type Runner struct {
	Upstream      identifier.Upstream
	FailureDomain identifier.FailureDomain
	Role          Role
	Memory        identifier.Bytes
	// InForce is false for a runner that is out, leaving or not reachable.
	InForce bool
	// Draining is true between Drain and Undrain or ChangeRole.
	Draining bool
	// Running is the number of open requests.
	Running int
	// Held is in the order of loading.
	Held []Held
}

// Input is what orders are made from.
type Input struct {
	Wants   []Want
	Runners []Runner
	// Roles is the wanted number of runners by role. Roles that are not listed are left as they are.
	Roles map[Role]int
	// FetchRate is the weight store's rate in bytes per second, shared by all runners.
	FetchRate identifier.Bytes
	// Window is the time within which the loads in progress are to finish at that rate.
	Window time.Duration
}

// Order is an order to one runner.
type Order interface{ order() }

type (
	// Load fetches a variant and warms it up.
	Load struct {
		Upstream identifier.Upstream
		Variant  Variant
		Bytes    identifier.Bytes
	}
	// Resume gives a retired variant new streams again.
	Resume struct {
		Upstream identifier.Upstream
		Variant  Variant
	}
	// Retire gives a variant no new streams.
	Retire struct {
		Upstream identifier.Upstream
		Variant  Variant
	}
	// Unload frees the memory of a variant without streams.
	Unload struct {
		Upstream identifier.Upstream
		Variant  Variant
	}
	// Drain gives a runner no new work.
	Drain struct{ Upstream identifier.Upstream }
	// Undrain gives a runner new work again, since its role need not change any more.
	Undrain struct{ Upstream identifier.Upstream }
	// ChangeRole changes the role of a drained runner.
	ChangeRole struct {
		Upstream identifier.Upstream
		Role     Role
	}
)

func (Load) order()       {}
func (Resume) order()     {}
func (Retire) order()     {}
func (Unload) order()     {}
func (Drain) order()      {}
func (Undrain) order()    {}
func (ChangeRole) order() {}

// Assign returns the orders that bring the runners one step closer to the wants. Equal input gives equal orders.
func Assign(in Input) []Order {
	p := newPlan(in)
	p.changeRoles()
	p.resume()
	p.retire()
	p.unload()
	p.load()
	return p.orders
}

// plan is an assignment in progress.
type plan struct {
	in      Input
	wants   map[line]Want
	targets map[line]int
	runners []*Runner
	orders  []Order
}

func newPlan(in Input) *plan {
	p := &plan{in: in, wants: map[line]Want{}, targets: map[line]int{}}
	for i := range in.Runners {
		r := in.Runners[i]
		r.Held = append([]Held(nil), r.Held...)
		p.runners = append(p.runners, &r)
	}
	sort.Slice(p.runners, func(i, j int) bool { return p.runners[i].Upstream < p.runners[j].Upstream })
	p.in.Wants = append([]Want(nil), in.Wants...)
	sort.Slice(p.in.Wants, func(i, j int) bool { return p.in.Wants[i].Variant.less(p.in.Wants[j].Variant) })
	for _, w := range p.in.Wants {
		p.wants[w.Variant.line()] = w
		p.targets[w.Variant.line()] = p.target(w)
	}
	p.fitTargets()
	return p
}

// fitTargets lowers the largest targets until all wants fit into the memory in force, so that no line is left
// without a runner because others have many.
func (p *plan) fitTargets() {
	room := identifier.Bytes(0)
	for _, r := range p.runners {
		if r.InForce && !r.Draining {
			room += r.Memory
		}
	}
	for {
		need := identifier.Bytes(0)
		largest := line{}
		for _, w := range p.in.Wants {
			l := w.Variant.line()
			need += w.Bytes * identifier.Bytes(p.targets[l])
			if p.targets[l] > p.targets[largest] {
				largest = l
			}
		}
		if need <= room || p.targets[largest] <= 1 {
			return
		}
		p.targets[largest]--
	}
}

func (p *plan) give(order Order) {
	p.orders = append(p.orders, order)
}

// eligible tells whether a runner may serve a want.
func (p *plan) eligible(r *Runner, w Want) bool {
	return r.InForce && !r.Draining && w.fits(r)
}

// fits tells whether a runner has the role that a want asks for.
func (w Want) fits(r *Runner) bool {
	return w.Role == "" || w.Role == r.Role
}

// target is the number of runners for a want: enough for its demand, at least one, at most all.
func (p *plan) target(w Want) int {
	eligible := 0
	for _, r := range p.runners {
		if p.eligible(r, w) && r.Memory >= w.Bytes {
			eligible++
		}
	}
	return min(eligible, max(1, int(math.Ceil(w.Demand))))
}

// serving counts the runners other than except that can take new streams of a line, of any version or only of one.
func (p *plan) serving(l line, version string, except *Runner) int {
	n := 0
	for _, r := range p.runners {
		if r == except || !p.eligible(r, p.wants[l]) {
			continue
		}
		for _, h := range r.Held {
			if h.Variant.line() == l && h.Warm && !h.Retired && (version == "" || h.Variant.Version == version) {
				n++
				break
			}
		}
	}
	return n
}

// holding counts the runners that hold a wanted version, warm or not.
func (p *plan) holding(w Want) int {
	n := 0
	for _, r := range p.runners {
		if p.eligible(r, w) && r.find(w.Variant) >= 0 && !r.Held[r.find(w.Variant)].Retired {
			n++
		}
	}
	return n
}

func (r *Runner) find(v Variant) int {
	for i, h := range r.Held {
		if h.Variant == v {
			return i
		}
	}
	return -1
}

func (r *Runner) free() identifier.Bytes {
	free := r.Memory
	for _, h := range r.Held {
		free -= h.Bytes
	}
	return free
}
