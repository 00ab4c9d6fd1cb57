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
	// groupCheckInterval is the time between two checks of the configuration for the agent's position, its candidacy for
	// the lease and the addresses of the other ranks.
	groupCheckInterval = 500 * time.Millisecond
	// linkRetention is how long a link to another rank is kept after the last message to it.
	linkRetention = 10 * time.Second
	// candidatesPerDomain is the number of agents in each failure domain that compete for the lease of a group. If all
	// agents of a large group did, they would read the lease row too often.
	candidatesPerDomain = 2
	// spareSlotRatio is the number of spare slots of a rank, relative to its equal share of the experts.
	spareSlotRatio = 0.5
)

// position is the rank of the agent's upstream in its model group, and the group's number of ranks.
type position struct {
	group identifier.ModelGroup
	rank  identifier.Rank
	ranks int
}

// groupMember runs the agent's part in its model group: the coordinator of its rank, the lease of the group while the
// agent is a candidate, and the links to the agents of the other ranks.
type groupMember struct {
	agent *Agent
	links *pooler.Links

	// mu guards the fields below. The coordinator is nil while the configuration assigns no position.
	mu          sync.Mutex
	coordinator *coordinator.Coordinator
	lease       *leaser.Leaser
	position    position
	// lastSent holds when a message to the agent of an upstream was last sent, or dropped for lack of a link.
	lastSent map[identifier.Upstream]time.Time
}

func newGroupMember(a *Agent) *groupMember {
	return &groupMember{agent: a, links: pooler.NewLinks(), lastSent: map[identifier.Upstream]time.Time{}}
}

// run takes part in the group that the configuration assigns until ctx ends, and starts again when the position changes.
func (m *groupMember) run(ctx context.Context) error {
	for ctx.Err() == nil {
		p, ok := positionOf(m.agent.store.Snapshot(), m.agent.settings.Upstream)
		if !ok {
			waiter.For(ctx, groupCheckInterval)
			continue
		}
		if err := m.participate(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// positionOf returns the position that the configuration assigns to an upstream. It reports false if there is none, or if
// the group has a single rank or no experts.
func positionOf(s *configurer.Snapshot, upstream identifier.Upstream) (position, bool) {
	u, ok := s.Upstreams[upstream]
	if !ok || u.ModelGroup == "" {
		return position{}, false
	}
	g := s.ModelGroups[u.ModelGroup]
	return position{group: u.ModelGroup, rank: u.Rank, ranks: g.Ranks}, g.Ranks > 1 && g.Experts > 0
}

// participate runs the coordinator and the lease of one position until ctx ends or the position changes.
func (m *groupMember) participate(ctx context.Context, p position) error {
	group := supervisor.New(ctx)
	a := m.agent
	lease := leaser.New(leaser.Config{
		Table: adapter.LeaseTable(a.platform), Key: leaser.Key(p.group),
		Machine: leaser.DefaultMachineConfig(a.settings.Node, a.incarnation),
		OnError: func(err error) {
			a.log.Event(logger.EventPlatformFailed).Str("operation", "lease").AnErr("cause", err).Send()
		},
	})
	c := coordinator.New(coordinator.Config{
		Group: p.group, Rank: p.rank, Ranks: p.ranks, Table: adapter.MapTable(a.platform), Engine: a.upstream.engine,
		Weights: a.platform, Lease: lease, Log: a.log, Send: m.send,
		Describe: func() coordinator.Group { return describeGroup(a.store.Snapshot(), p) },
	})
	m.setPosition(c, lease, p)
	defer m.setPosition(nil, nil, position{})
	peers := dialer.New(dialer.Config{Link: a.linkConfig(), Log: a.log, Listen: a.settings.Fleet, Serve: m.serveLink})
	group.Add(c.Run)
	group.Add(func(ctx context.Context) error { return m.runLease(ctx, p, lease) })
	group.Add(func(ctx context.Context) error { return m.maintainLinks(ctx, p, peers) })
	group.Add(func(ctx context.Context) error { return m.watchPosition(ctx, p) })
	err := group.Run()
	peers.Wait()
	return err
}

// setPosition sets the current position with its coordinator and lease.
func (m *groupMember) setPosition(c *coordinator.Coordinator, lease *leaser.Leaser, p position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.coordinator, m.lease, m.position = c, lease, p
}

// watchPosition returns when the configuration no longer assigns position p, which stops participate.
func (m *groupMember) watchPosition(ctx context.Context, p position) error {
	for waiter.For(ctx, groupCheckInterval) {
		if current, ok := positionOf(m.agent.store.Snapshot(), m.agent.settings.Upstream); !ok || current != p {
			return nil
		}
	}
	return nil
}

// runLease acquires and renews the lease while this agent is a candidate, until ctx ends.
func (m *groupMember) runLease(ctx context.Context, p position, lease *leaser.Leaser) error {
	for ctx.Err() == nil {
		if !isCandidate(m.agent.store.Snapshot(), p, m.agent.settings.Upstream) {
			waiter.For(ctx, groupCheckInterval)
			continue
		}
		leaseCtx, cancel := context.WithCancel(ctx)
		go func() {
			defer cancel()
			for isCandidate(m.agent.store.Snapshot(), p, m.agent.settings.Upstream) && waiter.For(leaseCtx, groupCheckInterval) {
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

// isCandidate reports whether the upstream is among the candidatesPerDomain lowest available ranks of its failure domain.
func isCandidate(s *configurer.Snapshot, p position, upstream identifier.Upstream) bool {
	own := s.Upstreams[upstream]
	if !isAvailable(s, own) {
		return false
	}
	lower := 0
	for _, u := range s.Upstreams {
		if u.ModelGroup == p.group && u.FailureDomain == own.FailureDomain && u.Rank < own.Rank && isAvailable(s, u) {
			lower++
		}
	}
	return lower < candidatesPerDomain
}

// isAvailable reports whether an upstream is not leaving and its failure domain is not out.
func isAvailable(s *configurer.Snapshot, u declarer.Upstream) bool {
	return u.State != declarer.UpstreamLeaving && s.FailureDomains[u.FailureDomain].State != declarer.DomainOut
}

// describeGroup returns the group of a position as configured. Ranks without an upstream are not available.
func describeGroup(s *configurer.Snapshot, p position) coordinator.Group {
	g := s.ModelGroups[p.group]
	share := (g.Experts + p.ranks - 1) / p.ranks
	slots := share + max(1, int(float64(share)*spareSlotRatio))
	ranks := make([]placer.Rank, p.ranks)
	for _, u := range s.Upstreams {
		if u.ModelGroup == p.group && int(u.Rank) < p.ranks {
			ranks[u.Rank] = placer.Rank{FailureDomain: u.FailureDomain, Slots: slots, Speed: 1, Available: isAvailable(s, u)}
		}
	}
	return coordinator.Group{Ranks: ranks, Experts: g.Experts, ExpertBytes: g.ExpertBytes}
}

// maintainLinks keeps links to all ranks while this agent leads, and otherwise to those it has recently sent messages to,
// until ctx ends.
func (m *groupMember) maintainLinks(ctx context.Context, p position, peers *dialer.Dialer) error {
	for {
		peers.SetAddresses(ctx, m.addresses(p))
		if !waiter.For(ctx, groupCheckInterval) {
			return nil
		}
	}
}

// addresses returns the addresses of the agents to link to.
func (m *groupMember) addresses(p position) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	_, leading := m.lease.Held(now)
	var out []string
	for name, u := range m.agent.store.Snapshot().Upstreams {
		if u.ModelGroup != p.group || name == m.agent.settings.Upstream {
			continue
		}
		if leading || now.Sub(m.lastSent[name]) < linkRetention {
			out = append(out, u.Address)
		}
	}
	sort.Strings(out)
	return out
}

// send enqueues a message for the agent of a rank. Without a link it drops the message and causes a link to be opened; the
// coordinator repeats its messages.
func (m *groupMember) send(rank identifier.Rank, e messenger.GroupEvent) {
	for name, u := range m.agent.store.Snapshot().Upstreams {
		if u.ModelGroup == e.Group && u.Rank == rank {
			m.enqueue(name, e)
			return
		}
	}
}

// enqueue enqueues a message on the newest link to the agent of an upstream.
func (m *groupMember) enqueue(to identifier.Upstream, e messenger.GroupEvent) {
	m.mu.Lock()
	m.lastSent[to] = time.Now()
	m.mu.Unlock()
	if link := m.links.Newest(to); link != nil {
		link.Enqueue(e)
	}
}

// serveLink handles a link that this agent has opened to the agent of another rank, until the link is down.
func (m *groupMember) serveLink(ctx context.Context, link *linker.Link) error {
	m.add(link)
	defer m.remove(link)
	return link.Run(ctx, func(msg messenger.Message) { m.agent.handle(link, msg) })
}

func (m *groupMember) add(link *linker.Link) {
	m.links.Add(link.Peer().Upstream, link)
}

func (m *groupMember) remove(link *linker.Link) {
	m.links.Remove(link.Peer().Upstream, link)
}

// receive passes a message of another agent to the coordinator. It ignores messages about other groups, and messages of
// agents whose upstream does not belong to the group.
func (m *groupMember) receive(link *linker.Link, e messenger.GroupEvent) {
	from := link.Peer().Upstream
	m.mu.Lock()
	c, p := m.coordinator, m.position
	m.mu.Unlock()
	u, ok := m.agent.store.Snapshot().Upstreams[from]
	if c == nil || e.Group != p.group || link.Peer().Role != identifier.RoleAgent || !ok || u.ModelGroup != p.group {
		return
	}
	c.Receive(e, func(reply messenger.GroupEvent) { m.enqueue(from, reply) })
}

// reportEngine passes a report of the engine to the coordinator. Reports without experts are ignored, since such an engine
// has no expert map.
func (m *groupMember) reportEngine(r driver.Report) {
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
