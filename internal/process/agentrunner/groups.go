package agentrunner

import (
	"context"
	"sort"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/connection/dialer"
	"currantledge.example/currantledge/internal/connection/driver"
	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/connection/pooler"
	"currantledge.example/currantledge/internal/process/adapter"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/supervisor"
	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/version/configurer"
	"currantledge.example/currantledge/internal/version/coordinator"
	"currantledge.example/currantledge/internal/version/declarer"
	"currantledge.example/currantledge/internal/version/leaser"
	"currantledge.example/currantledge/internal/version/placer"
	"currantledge.example/currantledge/internal/version/switcher"
)

const (
	groupInterval = 500 * time.Millisecond
	// keepLink is how long a link to another rank is held after a message was to be sent over it.
	keepLink = 10 * time.Second
	// candidatesPerDomain is the number of agents of each failure domain that may lead a group. All of a large group
	// would read the lease row too often.
	candidatesPerDomain = 2
	// spareSlots is the part of its equal share of experts by which a rank may hold more.
	spareSlots = 0.5
)

// place is an agent's place in a model group.
type place struct {
	group identifier.ModelGroup
	rank  identifier.Rank
	ranks int
}

// member takes part in a model group.
type member struct {
	agent *Agent
	links *pooler.Links

	mu          sync.Mutex
	coordinator *coordinator.Coordinator
	lease       *leaser.Leaser
	place       place
	wanted      map[identifier.Upstream]time.Time
}

func newMember(a *Agent) *member {
	return &member{agent: a, links: pooler.NewLinks(), wanted: map[identifier.Upstream]time.Time{}}
}

// run takes part in the group that the configuration names, and starts anew when it names another place.
func (m *member) run(ctx context.Context) error {
	for ctx.Err() == nil {
		p, ok := placeOf(m.agent.store.Snapshot(), m.agent.settings.Upstream)
		if !ok {
			waiter.For(ctx, groupInterval)
			continue
		}
		if err := m.participate(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

func placeOf(s *configurer.Snapshot, upstream identifier.Upstream) (place, bool) {
	u, ok := s.Upstreams[upstream]
	if !ok || u.ModelGroup == "" {
		return place{}, false
	}
	g := s.ModelGroups[u.ModelGroup]
	return place{group: u.ModelGroup, rank: u.Rank, ranks: g.Ranks}, g.Ranks > 1 && g.Experts > 0
}

// participate runs the machines of one place until ctx ends or the place changes.
func (m *member) participate(ctx context.Context, p place) error {
	group := supervisor.New(ctx)
	a := m.agent
	lease := leaser.New(leaser.Config{
		Table: adapter.Leases(a.platform), Key: leaser.Key(p.group),
		Machine: leaser.DefaultMachineConfig(a.settings.Node, a.incarnation),
		OnError: func(err error) {
			a.log.Event(logger.EventPlatformFailed).Str("operation", "lease").AnErr("cause", err).Send()
		},
	})
	c := coordinator.New(coordinator.Config{
		Group: p.group, Rank: p.rank, Ranks: p.ranks, Table: adapter.Maps(a.platform), Engine: a.upstream.engine,
		Weights: a.platform, Lease: lease, Log: a.log, Send: m.send,
		Describe: func() coordinator.Group { return describe(a.store.Snapshot(), p) },
	})
	m.set(c, lease, p)
	defer m.set(nil, nil, place{})
	peers := dialer.New(dialer.Config{Link: a.linkConfig(), Log: a.log, Listen: a.settings.Fleet, Serve: m.serve})
	group.Add(c.Run)
	group.Add(func(ctx context.Context) error { return m.runLease(ctx, p, lease) })
	group.Add(func(ctx context.Context) error { return m.dial(ctx, p, peers) })
	group.Add(func(ctx context.Context) error { return m.watchPlace(ctx, p) })
	err := group.Run()
	peers.Wait()
	return err
}

func (m *member) set(c *coordinator.Coordinator, lease *leaser.Leaser, p place) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.coordinator, m.lease, m.place = c, lease, p
}

func (m *member) watchPlace(ctx context.Context, p place) error {
	for waiter.For(ctx, groupInterval) {
		if now, ok := placeOf(m.agent.store.Snapshot(), m.agent.settings.Upstream); !ok || now != p {
			return nil
		}
	}
	return nil
}

// runLease competes for the lease while this agent is a candidate.
func (m *member) runLease(ctx context.Context, p place, lease *leaser.Leaser) error {
	for ctx.Err() == nil {
		if !candidate(m.agent.store.Snapshot(), p, m.agent.settings.Upstream) {
			waiter.For(ctx, groupInterval)
			continue
		}
		leaseCtx, cancel := context.WithCancel(ctx)
		go func() {
			defer cancel()
			for candidate(m.agent.store.Snapshot(), p, m.agent.settings.Upstream) && waiter.For(leaseCtx, groupInterval) {
				continue
			}
		}()
		err := lease.Run(leaseCtx)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// candidate tells whether the upstream is among the lowest ranks in force of its failure domain.
func candidate(s *configurer.Snapshot, p place, upstream identifier.Upstream) bool {
	own := s.Upstreams[upstream]
	if !inForce(s, own) {
		return false
	}
	lower := 0
	for _, u := range s.Upstreams {
		if u.ModelGroup == p.group && u.FailureDomain == own.FailureDomain && u.Rank < own.Rank && inForce(s, u) {
			lower++
		}
	}
	return lower < candidatesPerDomain
}

func inForce(s *configurer.Snapshot, u declarer.Upstream) bool {
	return u.State != declarer.UpstreamLeaving && s.FailureDomains[u.FailureDomain].State != declarer.DomainOut
}

// describe returns the group as the placer needs it.
func describe(s *configurer.Snapshot, p place) coordinator.Group {
	g := s.ModelGroups[p.group]
	share := (g.Experts + p.ranks - 1) / p.ranks
	slots := share + max(1, int(float64(share)*spareSlots))
	ranks := make([]placer.Rank, p.ranks)
	for _, u := range s.Upstreams {
		if u.ModelGroup == p.group && int(u.Rank) < p.ranks {
			ranks[u.Rank] = placer.Rank{FailureDomain: u.FailureDomain, Slots: slots, Speed: 1, Available: inForce(s, u)}
		}
	}
	return coordinator.Group{Ranks: ranks, Experts: g.Experts, ExpertBytes: g.ExpertBytes}
}

// dial keeps links to all ranks while this agent leads, and otherwise to those that were to be asked recently.
func (m *member) dial(ctx context.Context, p place, peers *dialer.Dialer) error {
	for {
		peers.SetAddresses(ctx, m.addresses(p))
		if !waiter.For(ctx, groupInterval) {
			return nil
		}
	}
}

func (m *member) addresses(p place) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	_, leads := m.lease.Held(now)
	var out []string
	for name, u := range m.agent.store.Snapshot().Upstreams {
		if u.ModelGroup != p.group || name == m.agent.settings.Upstream {
			continue
		}
		if leads || now.Sub(m.wanted[name]) < keepLink {
			out = append(out, u.Address)
		}
	}
	sort.Strings(out)
	return out
}

// send posts a message to the agent of a rank. Without a link the message is dropped and a link is opened; the machines
// repeat their messages.
func (m *member) send(rank identifier.Rank, e messenger.GroupEvent) {
	for name, u := range m.agent.store.Snapshot().Upstreams {
		if u.ModelGroup == e.Group && u.Rank == rank {
			m.post(name, e)
			return
		}
	}
}

func (m *member) post(to identifier.Upstream, e messenger.GroupEvent) {
	m.mu.Lock()
	m.wanted[to] = time.Now()
	m.mu.Unlock()
	if link := m.links.Newest(to); link != nil {
		link.Enqueue(e)
	}
}

// serve uses a link that this agent has opened to another rank.
func (m *member) serve(ctx context.Context, link *linker.Link) error {
	m.add(link)
	defer m.remove(link)
	return link.Run(ctx, func(msg messenger.Message) { m.agent.handle(link, msg) })
}

func (m *member) add(link *linker.Link) {
	m.links.Add(link.Peer().Upstream, link)
}

func (m *member) remove(link *linker.Link) {
	m.links.Remove(link.Peer().Upstream, link)
}

// receive takes a message of another agent of the group. Only agents whose upstream belongs to the group are heard.
func (m *member) receive(link *linker.Link, e messenger.GroupEvent) {
	from := link.Peer().Upstream
	m.mu.Lock()
	c, p := m.coordinator, m.place
	m.mu.Unlock()
	u, ok := m.agent.store.Snapshot().Upstreams[from]
	if c == nil || e.Group != p.group || link.Peer().Role != identifier.RoleAgent || !ok || u.ModelGroup != p.group {
		return
	}
	c.Receive(e, func(answer messenger.GroupEvent) { m.post(from, answer) })
}

// report hands a report of the engine to the coordinator. Engines without experts take part in no map.
func (m *member) report(r driver.Report) {
	m.mu.Lock()
	c := m.coordinator
	m.mu.Unlock()
	if c == nil || len(r.ExpertTokens) == 0 {
		return
	}
	c.Report(coordinator.EngineState{
		EngineReport: switcher.EngineReport{Boot: r.Boot, Step: r.Step, Prepared: r.PreparedMap},
		StepTime:     r.StepTime, AsOf: r.AsOf, Tokens: r.ExpertTokens,
	})
}
