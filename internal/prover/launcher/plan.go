package launcher

import (
	"fmt"
)

// LinkKind tells what a link leads to.
type LinkKind string

// The kinds of links before which a proxy can stand.
const (
	// LinkToEntry is the fleet address of an entry, which entries and agents dial.
	LinkToEntry LinkKind = "toEntry"
	// LinkToAgent is the fleet address of an agent, which entries and agents dial.
	LinkToAgent LinkKind = "toAgent"
	// LinkToPlatform is the platform as one node sees it.
	LinkToPlatform LinkKind = "toPlatform"
	// LinkToUpstream is the upstream of an agent.
	LinkToUpstream LinkKind = "toUpstream"
)

// Link names a link by what it leads to and the node it belongs to.
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
	// ExpertBytes is the size of one expert's weights.
	ExpertBytes int64
	Limits      Limits
	// LockStep lets the engines of the group run their steps together. They run none before they get an expert map.
	LockStep bool
	// ChecksFence selects the ranks whose engines check the fencing number of orders. No engine does if it is nil.
	ChecksFence func(rank int) bool
}

// ServicePlan describes a plain service of a deployment.
type ServicePlan struct {
	Name            string
	Runners         int
	IdempotentPaths []string
	Limits          Limits
}

// Limits are the load limits of an upstream.
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

// Plan describes a deployment. Nodes and upstreams are spread over the failure domains in turn.
type Plan struct {
	Region         string
	FailureDomains []string
	Entries        int
	Groups         []GroupPlan
	Services       []ServicePlan
	Customers      []CustomerPlan
	Routing        string
	LogLevel       string
	// Interpose selects the links that get a fault proxy. No link has one if it is nil.
	Interpose func(Link) bool
	// Seed is passed to proxies and, for the popularity of experts, to engines in lock-step.
	Seed uint64
	// PlatformArgs, EngineArgs and ServiceArgs are added to the command lines of the stand-ins.
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

// Upstreams returns the number of upstreams, each of which has an agent.
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

// domain returns the failure domain of the node with an index.
func (p *Plan) domain(index int) string {
	return p.FailureDomains[index%len(p.FailureDomains)]
}

// KeCentral returns the plan of the deployment ke-central: 7 entries, 16 model runners and 3 service runners in three
// failure domains, and 10 customers, three of them large. It has the sizes of examples/ke-central.
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
