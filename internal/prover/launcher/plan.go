package launcher

import (
	"fmt"
)

// LinkKind is the kind of the target of a link.
type LinkKind string

// The kinds of links on which a proxy can be interposed.
const (
	// LinkToEntry is the fleet address of an entry, which entries and agents dial.
	LinkToEntry LinkKind = "toEntry"
	// LinkToAgent is the fleet address of an agent, which entries and agents dial.
	LinkToAgent LinkKind = "toAgent"
	// LinkToPlatform is the address at which one node calls the platform.
	LinkToPlatform LinkKind = "toPlatform"
	// LinkToUpstream is the address at which an agent calls its upstream.
	LinkToUpstream LinkKind = "toUpstream"
)

// Link identifies a network path on which a proxy can be interposed. Node is the target of LinkToEntry and LinkToAgent,
// and the caller of LinkToPlatform and LinkToUpstream.
type Link struct {
	Kind LinkKind
	Node string
}

// GroupPlan describes a model group of a deployment.
type GroupPlan struct {
	Name    string
	Model   string
	Ranks   int
	Experts int
	// ExpertBytes is the size of the weights of one expert.
	ExpertBytes int64
	Limits      Limits
	// LockStep makes the engines of the group run their steps together. They run no step before they receive an expert
	// map.
	LockStep bool
	// ChecksFence selects the ranks whose engines check the fencing number of orders. If it is nil, no engine does.
	ChecksFence func(rank int) bool
}

// ServicePlan describes a plain service of a deployment.
type ServicePlan struct {
	Name            string
	Runners         int
	IdempotentPaths []string
	Limits          Limits
}

// Limits are the limits of an upstream in concurrent requests: Cold after its start, Warm after WarmAfter completions.
type Limits struct {
	Cold      int
	Warm      int
	WarmAfter int
}

// CustomerPlan describes a customer of a deployment.
type CustomerPlan struct {
	Name       string
	Share      float64
	Key        string
	MaxWaiting int
}

// Plan describes a deployment. Entries and agents are assigned to the failure domains in turn.
type Plan struct {
	Region         string
	FailureDomains []string
	Entries        int
	Groups         []GroupPlan
	Services       []ServicePlan
	Customers      []CustomerPlan
	// Routing is the routing policy of the entries. If it is empty, it is balanced.
	Routing string
	// LogLevel is the log level of entries and agents. If it is empty, it is info.
	LogLevel string
	// Interpose selects the links with a proxy that can inject faults. If it is nil, no link has one.
	Interpose func(Link) bool
	// Seed is the random seed of the proxies and, for the popularity of experts, of engines in lock-step.
	Seed uint64
	// PlatformArgs, EngineArgs and ServiceArgs are further arguments of the stand-ins.
	PlatformArgs []string
	EngineArgs   []string
	ServiceArgs  []string
}

const (
	modelVersion       = "1"
	defaultRouting     = "balanced"
	defaultLogLevel    = "info"
	defaultExpertBytes = 1 << 20
)

func (p *Plan) setDefaults() {
	if p.Routing == "" {
		p.Routing = defaultRouting
	}
	if p.LogLevel == "" {
		p.LogLevel = defaultLogLevel
	}
	if p.Interpose == nil {
		p.Interpose = func(Link) bool { return false }
	}
	for i := range p.Groups {
		g := &p.Groups[i]
		if g.ExpertBytes == 0 {
			g.ExpertBytes = defaultExpertBytes
		}
		if g.ChecksFence == nil {
			g.ChecksFence = func(int) bool { return false }
		}
	}
}

// Upstreams returns the number of upstreams, which is also the number of agents.
func (p *Plan) Upstreams() int {
	upstreams := 0
	for _, g := range p.Groups {
		upstreams += g.Ranks
	}
	for _, s := range p.Services {
		upstreams += s.Runners
	}
	return upstreams
}

// domain returns the failure domain of the entry or agent with an index.
func (p *Plan) domain(index int) string {
	return p.FailureDomains[index%len(p.FailureDomains)]
}

// KeCentral returns the plan of the deployment ke-central: 7 entries, 16 model runners and 3 service runners in three
// failure domains, and 10 customers, three of them with large shares. Its sizes are those of examples/ke-central.
func KeCentral() Plan {
	p := Plan{
		Region:         "ke-central",
		FailureDomains: []string{"ke-central-a", "ke-central-b", "ke-central-c"},
		Entries:        7,
		Groups: []GroupPlan{{
			Name:    "sindano",
			Model:   "sindano-chat",
			Ranks:   16,
			Experts: 64,
			Limits:  Limits{Cold: 2, Warm: 16, WarmAfter: 32},
		}},
		Services: []ServicePlan{{
			Name:            "shop",
			Runners:         3,
			IdempotentPaths: []string{"/stock/*"},
			Limits:          Limits{Cold: 4, Warm: 32, WarmAfter: 32},
		}},
	}
	shares := []float64{10, 8, 6, 2, 2, 1, 1, 1, 1, 1}
	for i, share := range shares {
		name := fmt.Sprintf("shop-%02d", i+1)
		p.Customers = append(p.Customers, CustomerPlan{Name: name, Share: share, Key: "key-of-" + name, MaxWaiting: 200})
	}
	return p
}
