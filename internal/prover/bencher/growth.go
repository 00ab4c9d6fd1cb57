package bencher

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/granter"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/registrar"
	"currantledge.example/currantledge/internal/request/queuer"
	"currantledge.example/currantledge/internal/request/router"
	"currantledge.example/currantledge/internal/version/configurer"
	"currantledge.example/currantledge/internal/version/declarer"
)

// size holds the numbers of entries, upstreams and customers of a fleet.
type size struct {
	entries, upstreams, customers int
}

func (s size) String() string {
	return fmt.Sprintf("%dx%dx%d", s.entries, s.upstreams, s.customers)
}

// sizes range from the size of present deployments to the target size.
var sizes = []size{{8, 19, 10}, {80, 200, 775}, {320, 800, 3100}}

const (
	benchTime = "100ms"
	// linkedUpstreams is the most upstreams of a group to which an entry has links.
	linkedUpstreams = 24
	// growthLimit is the limit of an upstream in credits, and the most waiting requests of a customer.
	growthLimit = 64
)

// decisions are the benchmarked decisions. prepare sets up a fleet of a size and returns a function that makes one
// decision. Its argument counts the decisions from 0.
var decisions = []struct {
	name    string
	prepare func(s size) (func(i int), error)
}{
	{"routerOrder", orderDecision},
	{"routerSubset", subsetDecision},
	{"queuerAdmit", queuerDecision},
	{"granterAdmit", granterDecision},
	{"registrarHeard", observeDecision},
	{"registrarNodes", nodesDecision},
	{"registrarSummaries", summariesDecision},
	{"configurerAdopt", adoptDecision},
}

// measureGrowth measures the time and allocated memory of single decisions. The baseline is the smallest size.
func measureGrowth(_ context.Context, b *bench) error {
	if err := prepareBenchmarks(); err != nil {
		return err
	}
	for _, d := range decisions {
		var baseline []sample
		for _, s := range sizes {
			var runs [][]sample
			for range b.cfg.Runs {
				decide, err := d.prepare(s)
				if err != nil {
					return errors.Wrap(err, d.name)
				}
				result := testing.Benchmark(func(t *testing.B) {
					t.ReportAllocs()
					for i := range t.N {
						decide(i)
					}
				})
				runs = append(runs, []sample{
					{d.name + "Time", float64(result.NsPerOp()), "ns"},
					{d.name + "Bytes", float64(result.AllocedBytesPerOp()), "bytes"},
				})
			}
			measured := medians(runs)
			if baseline == nil {
				baseline = measured
			}
			figures := withBaselines(measured, map[string][]sample{sizes[0].String(): baseline})
			for i := range figures {
				figures[i].Name = fmt.Sprintf("%s@%s", figures[i].Name, s)
			}
			b.print(figures)
		}
	}
	return nil
}

// prepareBenchmarks sets the duration of testing.Benchmark, which only a flag can change.
func prepareBenchmarks() error {
	if flag.Lookup("test.benchtime") == nil {
		testing.Init()
	}
	return errors.Wrap(flag.Set("test.benchtime", benchTime), "set the time of a benchmark")
}

func entryName(i int) identifier.Node { return identifier.Node(fmt.Sprintf("entry-%04d", i)) }

func upstreamName(i int) identifier.Upstream {
	return identifier.Upstream(fmt.Sprintf("upstream-%04d", i))
}

func customerName(i int) identifier.Customer {
	return identifier.Customer(fmt.Sprintf("customer-%04d", i))
}

// domainName spreads nodes and upstreams over 12 failure domains.
func domainName(i int) identifier.FailureDomain {
	return identifier.FailureDomain(fmt.Sprintf("domain-%02d", i%12))
}

// orderDecision orders the upstreams to which an entry has links.
func orderDecision(s size) (func(int), error) {
	var candidates []router.Candidate
	for i := range min(s.upstreams, linkedUpstreams) {
		candidates = append(candidates, router.Candidate{
			Upstream: upstreamName(i), Local: i%domainCount == 0,
			Used: identifier.Credits(i % warmLimit), Limit: warmLimit,
		})
	}
	affinities := make([]identifier.Digest, s.customers)
	for i := range affinities {
		affinities[i] = identifier.Digest(fmt.Sprintf("affinity-%04d", i))
	}
	return func(i int) {
		router.Order(router.Balanced{}, router.Request{Affinity: affinities[i%len(affinities)]}, candidates)
	}, nil
}

// subsetDecision selects the upstreams to which an entry has links, from one group that contains all upstreams.
func subsetDecision(s size) (func(int), error) {
	members := map[identifier.Upstream]identifier.FailureDomain{}
	for i := range s.upstreams {
		members[upstreamName(i)] = domainName(i)
	}
	return func(i int) {
		router.Subset(entryName(i%s.entries), domainName(i), members, linkedUpstreams)
	}, nil
}

// queuerDecision adds a request and admits it with a credit while one request of every other customer waits.
func queuerDecision(s size) (func(int), error) {
	q := queuer.New()
	now := time.Now()
	var candidates []identifier.Upstream
	for i := range min(s.upstreams, linkedUpstreams) {
		candidates = append(candidates, upstreamName(i))
	}
	for i := range s.customers - 1 {
		q.Add(now, queuer.Waiter{Request: identifier.NewRequest(), Customer: customerName(i + 1), Candidates: candidates})
	}
	return func(i int) {
		id := identifier.NewRequest()
		q.Waiting(customerName(0))
		q.Add(now, queuer.Waiter{Request: id, Customer: customerName(0), Candidates: candidates})
		q.Grant(now, candidates[0], messenger.Grant{
			Serial: identifier.Serial(i), Customer: customerName(0), Credits: 1, Lifetime: time.Second,
		})
	}, nil
}

// granterDecision grants a credit, admits a request with it and finishes the request, while one request of every other
// customer waits. The entries are those with a link to one agent.
func granterDecision(s size) (func(int), error) {
	g := granter.New(granter.Config{
		Incarnation: 1, Limits: granter.Limits{Cold: growthLimit, Warm: growthLimit, WarmAfter: 1},
		Share: func(identifier.Customer) identifier.Share { return 1 },
	})
	now := time.Now()
	var grants []granter.IssuedGrant
	for i := range s.customers {
		entry := entryName(i % s.entries)
		grants = append(grants, g.SetDemand(now, entry, []messenger.CustomerDemand{{Customer: customerName(i), Waiting: 1}})...)
	}
	return func(i int) {
		now = now.Add(time.Microsecond)
		if len(grants) == 0 {
			grants = g.SetDemand(now, entryName(i%s.entries), []messenger.CustomerDemand{{Customer: customerName(i % s.customers), Waiting: 1}})
			return
		}
		grant := grants[0]
		grants = grants[1:]
		id := identifier.NewRequest()
		reason := g.Admit(now, grant.Entry, granter.Admission{
			Request: id, Customer: grant.Grant.Customer, Incarnation: grant.Grant.Incarnation, Serial: grant.Grant.Serial,
		})
		demand := []messenger.CustomerDemand{{Customer: grant.Grant.Customer, Waiting: 1}}
		grants = append(grants, g.SetDemand(now, grant.Entry, demand)...)
		if reason == "" {
			grants = append(grants, g.Finish(now, id, true)...)
		}
	}, nil
}

func newRegistrar(s size, now time.Time) (*registrar.Registrar, []messenger.NodeSummary) {
	r := registrar.New()
	var summaries []messenger.NodeSummary
	for i := range s.entries + s.upstreams {
		summary := messenger.NodeSummary{
			Node: identifier.Node(fmt.Sprintf("node-%04d", i)), Role: identifier.RoleEntry, FailureDomain: domainName(i),
			Address: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250), Incarnation: 1, Revision: 1,
		}
		summaries = append(summaries, summary)
		r.Observe(now, summary)
	}
	return r, summaries
}

// observeDecision processes one heartbeat.
func observeDecision(s size) (func(int), error) {
	now := time.Now()
	r, summaries := newRegistrar(s, now)
	return func(i int) { r.Observe(now.Add(time.Duration(i)), summaries[i%len(summaries)]) }, nil
}

// nodesDecision determines the state of all nodes, as an entry does each second.
func nodesDecision(s size) (func(int), error) {
	now := time.Now()
	r, _ := newRegistrar(s, now)
	return func(int) { r.Nodes(now) }, nil
}

// summariesDecision selects the node summaries of one gossip message.
func summariesDecision(s size) (func(int), error) {
	const gossipNodes = 32
	now := time.Now()
	r, _ := newRegistrar(s, now)
	return func(int) { r.Summaries(now, gossipNodes) }, nil
}

// adoptDecision adopts one change of a customer in a configuration with all upstreams and customers.
func adoptDecision(s size) (func(int), error) {
	store := configurer.New()
	var changes []messenger.Change
	add := func(r declarer.Resource) {
		changes = append(changes, messenger.Change{
			Revision: 1, Kind: string(r.Kind()), Name: r.Identity(), Value: declarer.Encode(r),
		})
	}
	for i := range s.upstreams {
		add(declarer.Upstream{
			Name: upstreamName(i), Address: fmt.Sprintf("10.1.%d.%d:7400", i/250, i%250), FailureDomain: domainName(i),
			ModelGroup: "group", Rank: identifier.Rank(i), ColdLimit: coldLimit, WarmLimit: warmLimit, WarmAfter: warmAfter,
			State: declarer.UpstreamActive,
		})
	}
	for i := range s.customers {
		add(growthCustomer(i, 1))
	}
	if _, err := store.Adopt(messenger.Changes{Revision: 1, Full: true, Changes: changes}); err != nil {
		return nil, err
	}
	return func(i int) {
		revision := store.Revision() + 1
		r := growthCustomer(i%s.customers, identifier.Share(i+1))
		// Adopt cannot fail: the change directly follows the revision of the store.
		_, _ = store.Adopt(messenger.Changes{Revision: revision, Changes: []messenger.Change{{
			Revision: revision, Kind: string(r.Kind()), Name: r.Identity(), Value: declarer.Encode(r),
		}}})
	}, nil
}

func growthCustomer(i int, share identifier.Share) declarer.Customer {
	return declarer.Customer{
		Name: customerName(i), Share: share, MaxWaiting: growthLimit,
		KeyDigests: []identifier.Digest{identifier.Digest(fmt.Sprintf("%064x", i))},
	}
}
