// Package assigner decides which runners load which models, adapters and versions, and which role each runner has. It
// compares the state of the runners with the requirements and returns the orders for the next step; it does no I/O.
package assigner

import (
	"math"
	"sort"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Role is the kind of work that a runner does for its group, for example prefill or decode.
type Role string

// Variant is what a runner loads as one unit: a version of a model with at most one adapter.
type Variant struct {
	Model   identifier.Model
	Version string
	// Adapter is empty for the plain model.
	Adapter string
}

// modelAdapter is a variant without its version. Variants with the same model and adapter replace each other.
type modelAdapter struct {
	model   identifier.Model
	adapter string
}

func (v Variant) modelAdapter() modelAdapter {
	return modelAdapter{model: v.Model, adapter: v.Adapter}
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

// Requirement is a variant that is to be served. Each pair of model and adapter has at most one requirement.
type Requirement struct {
	Variant Variant
	// Bytes is the memory that the variant occupies on a runner.
	Bytes identifier.Bytes
	// Demand is the work to be served, in multiples of the capacity of one runner.
	Demand float64
	// Role restricts the variant to runners of one role. If it is empty, any runner may serve it.
	Role Role
}

// Replica is a variant on one runner.
type Replica struct {
	Variant Variant
	// Bytes is the memory that the replica occupies, also while it loads.
	Bytes identifier.Bytes
	// Warm is false while the replica loads or warms up.
	Warm bool
	// Loading is true until the weights have arrived.
	Loading bool
	// Retired is true while the replica receives no new streams.
	Retired bool
	// Streams is the number of open streams.
	Streams int
}

// Runner is the state of one model runner, an upstream.
type Runner struct {
	Upstream      identifier.Upstream
	FailureDomain identifier.FailureDomain
	Role          Role
	// Memory is the memory for replicas.
	Memory identifier.Bytes
	// Available is false for a runner that is leaving, unreachable, or in a failure domain that is out.
	Available bool
	// Draining is true between Drain and Undrain or ChangeRole.
	Draining bool
	// Running is the number of open requests.
	Running int
	// Replicas are in the order in which they were loaded.
	Replicas []Replica
}

// Input is the state and the requirements from which Assign derives orders.
type Input struct {
	Requirements []Requirement
	Runners      []Runner
	// RoleTargets is the required number of runners by role. Runners keep a role that is not listed.
	RoleTargets map[Role]int
	// FetchRate is the rate of the weight store in bytes per second, which all runners share.
	FetchRate identifier.Bytes
	// FetchWindow is the time within which the loads in progress have to finish at FetchRate.
	FetchWindow time.Duration
}

// Order is an order to one runner.
type Order interface{ order() }

type (
	// Load fetches the weights of a variant and warms it up.
	Load struct {
		Upstream identifier.Upstream
		Variant  Variant
		Bytes    identifier.Bytes
	}
	// Reinstate lets a retired replica receive new streams again.
	Reinstate struct {
		Upstream identifier.Upstream
		Variant  Variant
	}
	// Retire stops new streams to a replica. Its open streams continue.
	Retire struct {
		Upstream identifier.Upstream
		Variant  Variant
	}
	// Unload frees the memory of a retired replica without open streams.
	Unload struct {
		Upstream identifier.Upstream
		Variant  Variant
	}
	// Drain stops new work to a runner.
	Drain struct{ Upstream identifier.Upstream }
	// Undrain lets a draining runner receive new work again, because its role no longer has to change.
	Undrain struct{ Upstream identifier.Upstream }
	// ChangeRole changes the role of a drained runner.
	ChangeRole struct {
		Upstream identifier.Upstream
		Role     Role
	}
)

func (Load) order()       {}
func (Reinstate) order()  {}
func (Retire) order()     {}
func (Unload) order()     {}
func (Drain) order()      {}
func (Undrain) order()    {}
func (ChangeRole) order() {}

// Assign returns the orders that bring the runners one step closer to the requirements. It is deterministic and does not
// change its input.
func Assign(in Input) []Order {
	p := newPlan(in)
	p.changeRoles()
	p.reinstate()
	p.retire()
	p.unload()
	p.load()
	return p.orders
}

// plan is the state of one call of Assign.
type plan struct {
	in           Input
	requirements map[modelAdapter]Requirement
	// targets is the number of runners that each requirement is to have.
	targets map[modelAdapter]int
	// runners are copies that the orders update, sorted by name.
	runners []*Runner
	orders  []Order
}

func newPlan(in Input) *plan {
	p := &plan{in: in, requirements: map[modelAdapter]Requirement{}, targets: map[modelAdapter]int{}}
	for i := range in.Runners {
		r := in.Runners[i]
		r.Replicas = append([]Replica(nil), r.Replicas...)
		p.runners = append(p.runners, &r)
	}
	sort.Slice(p.runners, func(i, j int) bool { return p.runners[i].Upstream < p.runners[j].Upstream })
	p.in.Requirements = append([]Requirement(nil), in.Requirements...)
	sort.Slice(p.in.Requirements, func(i, j int) bool { return p.in.Requirements[i].Variant.less(p.in.Requirements[j].Variant) })
	for _, req := range p.in.Requirements {
		p.requirements[req.Variant.modelAdapter()] = req
		p.targets[req.Variant.modelAdapter()] = p.target(req)
	}
	p.fitTargets()
	return p
}

// fitTargets lowers the largest targets until all requirements fit into the memory of the available runners, so that no
// requirement remains without a runner because others have many.
func (p *plan) fitTargets() {
	capacity := identifier.Bytes(0)
	for _, r := range p.runners {
		if r.Available && !r.Draining {
			capacity += r.Memory
		}
	}
	for {
		required := identifier.Bytes(0)
		largest := modelAdapter{}
		for _, req := range p.in.Requirements {
			key := req.Variant.modelAdapter()
			required += req.Bytes * identifier.Bytes(p.targets[key])
			if p.targets[key] > p.targets[largest] {
				largest = key
			}
		}
		if required <= capacity || p.targets[largest] <= 1 {
			return
		}
		p.targets[largest]--
	}
}

func (p *plan) addOrder(order Order) {
	p.orders = append(p.orders, order)
}

// eligible reports whether a runner may serve a requirement.
func (p *plan) eligible(r *Runner, req Requirement) bool {
	return r.Available && !r.Draining && req.roleMatches(r)
}

// roleMatches reports whether a runner has the role of a requirement.
func (req Requirement) roleMatches(r *Runner) bool {
	return req.Role == "" || req.Role == r.Role
}

// target returns the number of runners for a requirement: enough for its demand, at least one, and at most all eligible
// runners with enough memory.
func (p *plan) target(req Requirement) int {
	eligible := 0
	for _, r := range p.runners {
		if p.eligible(r, req) && r.Memory >= req.Bytes {
			eligible++
		}
	}
	return min(eligible, max(1, int(math.Ceil(req.Demand))))
}

// countServing returns the number of runners other than except that receive new streams for a model and adapter, of the
// given version or, if it is empty, of any.
func (p *plan) countServing(key modelAdapter, version string, except *Runner) int {
	n := 0
	for _, r := range p.runners {
		if r == except || !p.eligible(r, p.requirements[key]) {
			continue
		}
		for _, replica := range r.Replicas {
			if replica.Variant.modelAdapter() == key && replica.Warm && !replica.Retired && (version == "" || replica.Variant.Version == version) {
				n++
				break
			}
		}
	}
	return n
}

// countReplicas returns the number of eligible runners with a replica of the required version that is not retired, warm
// or not.
func (p *plan) countReplicas(req Requirement) int {
	n := 0
	for _, r := range p.runners {
		if p.eligible(r, req) && r.replicaIndex(req.Variant) >= 0 && !r.Replicas[r.replicaIndex(req.Variant)].Retired {
			n++
		}
	}
	return n
}

// replicaIndex returns the index of the replica of a variant, or -1.
func (r *Runner) replicaIndex(v Variant) int {
	for i, replica := range r.Replicas {
		if replica.Variant == v {
			return i
		}
	}
	return -1
}

func (r *Runner) freeMemory() identifier.Bytes {
	free := r.Memory
	for _, replica := range r.Replicas {
		free -= replica.Bytes
	}
	return free
}
