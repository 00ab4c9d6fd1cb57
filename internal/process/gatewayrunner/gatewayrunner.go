// Package gatewayrunner wires the parts of a gateway together: a process on an entry VM that serves clients straight
// from the upstreams, with the platform's store as the only thing that lasts.
package gatewayrunner

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"currantledge.example/currantledge/internal/connection/gossiper"
	"currantledge.example/currantledge/internal/connection/relayer"
	"currantledge.example/currantledge/internal/connection/requester"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/meter"
	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/request/admitter"
	"currantledge.example/currantledge/internal/request/budgeter"
	"currantledge.example/currantledge/internal/request/forwarder"
	"currantledge.example/currantledge/internal/version/cataloguer"
	"currantledge.example/currantledge/internal/version/follower"
	"currantledge.example/currantledge/internal/version/mapleader"
	"currantledge.example/currantledge/internal/version/replicator"
	"currantledge.example/currantledge/platform"
)

const (
	// tickInterval is how often waiting requests are judged again and counts of peers are taken over.
	tickInterval = 50 * time.Millisecond
	// sweepInterval is how often idle connections and the settings file are looked at.
	sweepInterval = 2 * time.Second
	// pullAfter leaves the platform's own answer the first chance before a gateway that follows it pulls from a peer.
	pullAfter = 150 * time.Millisecond
	// pullTimeout is when a pull counts as lost.
	pullTimeout = 800 * time.Millisecond
	// nodeTable holds a row for each gateway, so that gateways find each other without seeds.
	nodeTable replicator.Table = "nodes"
	// nodeInterval is how often a gateway renews its row and reads the others.
	nodeInterval = 60 * time.Second
	// decisionsKept is small because a gateway explains itself by its log lines.
	decisionsKept = 16
	// idleTimeout is above that of any configuration, so that the gateway never closes a connection a client reuses.
	idleTimeout = 30 * time.Second
	// headerTimeout and maxHeader are above the limits of the users' configurations (3 s, 16 KiB): those are not enforced
	// by a closer bound, since the server needs its bounds before a configuration is known.
	headerTimeout = 5 * time.Second
	maxHeader     = 64 << 10
)

// Config is what a gateway runs from.
type Config struct {
	// SettingsPath is the platform's settings file; it is read again when it changes.
	SettingsPath string
	Output       io.Writer
	LogLevel     zerolog.Level
}

// gateway holds the parts of a running gateway.
type gateway struct {
	settings   platform.Settings
	log        *logger.Logger
	meter      *meter.Meter
	store      *platform.Store
	replicator *replicator.Replicator
	admitter   *admitter.Admitter
	budgeter   *budgeter.Budgeter
	requester  *requester.Requester
	gossiper   *gossiper.Gossiper
	relayer    *relayer.Relayer
	fleet      atomic.Pointer[cataloguer.Fleet]
	stopping   chan struct{}
	ready      atomic.Bool
	// rebuild wakes the actor that takes over changed tables.
	rebuild chan struct{}
	lease   *mapleader.Lease
	leader  *mapleader.Leader
	// operators and upstreams follow the platform's tables.
	operators *follower.Follower
	upstreams *follower.Follower
	groups    *groupStates
	// behind holds since when a peer has had a higher version of a table.
	behind map[replicator.Table]time.Time
}

// Run runs a gateway until the context ends, then stops it gracefully.
func Run(ctx context.Context, cfg Config) error {
	settings, err := platform.LoadSettings(cfg.SettingsPath)
	if err != nil {
		return err
	}
	lines := newLineWriter(cfg.Output)
	defer lines.Close()
	g, err := newGateway(settings, lines, cfg.LogLevel)
	if err != nil {
		return err
	}
	lines.start(g.log, g.meter)
	g.log.Event(logger.EventStarted).Str("callers", settings.CallerAddress).Str("ready", settings.ReadyAddress).
		Str("store", settings.StoreAddress).Send()
	return g.run(ctx, cfg.SettingsPath)
}

func newGateway(settings platform.Settings, output io.Writer, level zerolog.Level) (*gateway, error) {
	g := &gateway{
		settings: settings,
		meter:    meter.New(),
		store:    platform.NewStore(settings.StoreAddress),
		relayer:  relayer.New(),
		stopping: make(chan struct{}),
		rebuild:  make(chan struct{}, 1),
		behind:   map[replicator.Table]time.Time{},
	}
	g.log = logger.New(logger.Config{
		Output:        output,
		Level:         level,
		Node:          settings.Node,
		FailureDomain: settings.FailureDomain,
		Decisions:     decisionsKept,
	})
	g.fleet.Store(&cataloguer.Fleet{})
	g.replicator = replicator.New(replicator.Config{OnChange: func(replicator.Table) { g.wake() }})
	g.admitter = admitter.New(admitter.Config{
		FailureDomain: settings.FailureDomain,
		ColdFactor:    settings.Bounds.ColdFactor,
		ColdSlack:     settings.Bounds.ColdSlack,
		OnGroupChange: g.groupChanged,
	})
	g.budgeter = budgeter.New(budgeter.Config{
		Ratio:  settings.Bounds.BudgetRatio,
		Extra:  settings.Bounds.ExtraRetries,
		Window: settings.Bounds.BudgetWindow,
	}, assumedGateways)
	g.admitter.SetGateways(assumedGateways)
	g.requester = requester.New(requester.Config{})
	var err error
	g.gossiper, err = gossiper.New(gossiper.Config{
		Node:         settings.Node,
		Listen:       net.JoinHostPort(settings.Address, strconv.Itoa(settings.FirstPort)),
		Seeds:        g.seedHosts(settings),
		FillState:    g.tell,
		OnReceive:    g.peerHeard,
		OnPeerChange: g.logPeer,
	})
	if err != nil {
		return nil, err
	}
	g.groups = newGroupStates(g.admitter)
	g.operators = g.newFollower(platform.OperatorTable, false)
	g.upstreams = g.newFollower(platform.UpstreamTable, true)
	g.lease = mapleader.NewLease(mapleader.LeaseConfig{
		Store:       g.store,
		Node:        settings.Node,
		Incarnation: g.gossiper.Incarnation(),
		Dead:        g.dead,
		Resigned:    g.resigned,
	})
	g.leader = mapleader.New(mapleader.Config{
		Lease:            g.lease,
		Engines:          platform.NewEngines(),
		Fleet:            func() cataloguer.Fleet { return *g.fleet.Load() },
		PeerLeads:        g.leaderHeard,
		Candidate:        g.reads,
		StoreServesPeers: g.othersServed,
		PlatformDown:     g.nobodyServed,
		OnGroupState:     g.groups.seen,
		Log:              g.log,
		Meter:            g.meter,
	})
	return g, nil
}

// seedHosts returns the IP numbers of the seeds; the ports are those of control listeners. A seed that cannot be read is
// logged and left out: the other seeds and the rows of the platform name the same peers.
func (g *gateway) seedHosts(settings platform.Settings) []string {
	var hosts []string
	for _, s := range settings.Seeds {
		host, _, err := net.SplitHostPort(s)
		if err != nil {
			g.log.Event(logger.EventSeedUnread).Str("seed", s).AnErr("error", err).Send()
			continue
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// assumedGateways is taken for the number of gateways until peers are known.
const assumedGateways = 8

func (g *gateway) wake() {
	select {
	case g.rebuild <- struct{}{}:
	default:
	}
}

func (g *gateway) tell(s *gossiper.State) {
	s.FailureDomain = g.settings.FailureDomain
	s.ControlAddress = g.settings.ControlAddress
	s.Running = g.admitter.Running()
	s.Versions = map[replicator.Table]uint64{
		platform.OperatorTable: g.replicator.Version(platform.OperatorTable),
		platform.UpstreamTable: g.replicator.Version(platform.UpstreamTable),
	}
	s.StoreLost = g.operators.StoreLost()
	s.StoreAge = g.storeAge()
	s.GroupsOpened = g.groups.openings()
	s.Resigned = g.lease.Resigned()
	if s.Leading = g.leader.Leading(); s.Leading {
		s.Groups = g.groups.all()
	}
	s.Stopping = g.isStopping()
}

// peerHeard takes over what a peer has seen of groups.
func (g *gateway) peerHeard(p gossiper.Peer, before *gossiper.Peer) {
	if p.Leading {
		for s, open := range p.Groups {
			g.groups.seen(s, open)
		}
	}
	if before == nil || before.Incarnation != p.Incarnation {
		return
	}
	for s, n := range p.GroupsOpened {
		if n > before.GroupsOpened[s] {
			g.leader.GroupOpened(s)
			g.admitter.GroupOpened(time.Now(), s)
		}
	}
}

// countPeers takes over what the peers run and how many share the bounds.
func (g *gateway) countPeers(now time.Time) {
	peers := g.gossiper.Peers()
	running := map[identifier.Upstream]int{}
	for _, p := range peers {
		if p.Silent {
			continue
		}
		for id, n := range p.Running {
			running[id] += n
		}
	}
	g.admitter.SetPeerRunning(now, running)
	gateways := len(peers) + 1
	if !g.replicated() {
		gateways = max(gateways, assumedGateways)
	}
	g.admitter.SetGateways(gateways)
	g.budgeter.SetGateways(gateways)
}

func (g *gateway) replicated() bool {
	return g.fleet.Load().Catalogue != nil
}

func (g *gateway) logPeer(p gossiper.Peer) {
	event := logger.EventPeerBack
	if p.Silent {
		event = logger.EventPeerLost
	}
	g.log.Event(event).Str("peer", string(p.Node)).Str("peerDomain", string(p.FailureDomain)).
		Dur("ageMs", time.Since(p.ReceivedAt)).Uint64("incarnation", uint64(p.Incarnation)).Send()
}

func (g *gateway) groupChanged(c admitter.GroupChange) {
	event := logger.EventGroupOpened
	if c.Closed {
		event = logger.EventGroupClosed
	}
	g.log.Event(event).Str("service", string(c.Service)).Str("cause", string(c.Cause)).Dur("closedMs", c.ClosedFor).Send()
	if !c.Closed && c.Cause == admitter.CauseProgress {
		g.groups.opened(c.Service)
		g.gossiper.Broadcast()
		g.leader.GroupOpened(c.Service)
	}
}

// takeOver brings changed tables into force.
func (g *gateway) takeOver(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.rebuild:
		}
		previous := g.fleet.Load()
		fleet, problems := platform.DecodeFleet(g.replicator.Rows(platform.OperatorTable),
			g.replicator.Rows(platform.UpstreamTable), previous.Catalogue)
		for _, p := range problems {
			g.log.Event(logger.EventEntryUnread).AnErr("error", p).Send()
		}
		g.fleet.Store(&fleet)
		g.admitter.SetFleet(time.Now(), fleet)
		version := uint64(0)
		if fleet.Catalogue != nil {
			version = uint64(fleet.Catalogue.Version())
		}
		// Peers that do not follow the platform learn of the new versions by this.
		g.gossiper.Broadcast()
		g.log.Event(logger.EventFleetChanged).Uint64("configVersion", version).
			Int("upstreams", len(fleet.Upstreams)).Int("evacuated", len(fleet.Evacuated)).
			Uint64("operatorRows", g.replicator.Version(platform.OperatorTable)).
			Uint64("upstreamRows", g.replicator.Version(platform.UpstreamTable)).Send()
	}
}

// tick does what is due at regular times.
func (g *gateway) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			// This judges the waiting requests again as well.
			g.countPeers(now)
			g.replicator.ApplyDeferred(now)
			g.pull(ctx, now)
		}
	}
}

// pull fetches rows from a peer that has had a higher version for a while.
func (g *gateway) pull(ctx context.Context, now time.Time) {
	for _, t := range []replicator.Table{platform.OperatorTable, platform.UpstreamTable} {
		own := g.replicator.Version(t)
		source := g.ahead(t, own)
		since, waiting := g.behind[t]
		switch {
		case source == "":
			delete(g.behind, t)
		case !waiting && g.reads():
			// The platform's own answer is probably on its way.
			g.behind[t] = now.Add(pullAfter - pullTimeout)
		case !waiting || now.Sub(since) >= pullTimeout:
			g.behind[t] = now
			go g.pullFrom(ctx, source, t, own)
		}
	}
}

// ahead returns where to pull from: one of the peers that have a higher version of a table.
func (g *gateway) ahead(t replicator.Table, own uint64) string {
	var sources []string
	for _, p := range g.gossiper.Peers() {
		if !p.Silent && p.Versions[t] > own {
			sources = append(sources, p.ControlAddress)
		}
	}
	if len(sources) == 0 {
		return ""
	}
	return sources[rand.IntN(len(sources))]
}

func (g *gateway) pullFrom(ctx context.Context, source string, t replicator.Table, after uint64) {
	rows, err := g.relayer.Pull(ctx, source, t, after)
	if err != nil {
		g.log.Event(logger.EventConfigPulled).Str("peer", source).AnErr("error", err).Send()
		return
	}
	g.replicator.Merge(time.Now(), t, rows, t == platform.UpstreamTable)
}

// announce keeps the gateway's row and reads those of the others.
func (g *gateway) announce(ctx context.Context) error {
	key := string(g.settings.Node)
	for {
		if _, err := g.store.Put(ctx, nodeTable, key, []byte(g.settings.Address)); err != nil && ctx.Err() == nil {
			g.meter.Add(meter.StoreFailures)
		}
		rows, _, err := g.store.Read(ctx, nodeTable)
		if err != nil && ctx.Err() == nil {
			g.meter.Add(meter.StoreFailures)
		}
		for _, row := range rows {
			if host := string(row.Value); net.ParseIP(host) != nil {
				g.gossiper.Add(host)
			}
		}
		pause := nodeInterval
		if err != nil {
			pause = sweepInterval
		}
		if !waiter.For(ctx, pause) {
			return nil
		}
	}
}

func (g *gateway) newFollower(t replicator.Table, deferDeletions bool) *follower.Follower {
	return follower.New(follower.Config{
		Store:          g.store,
		Replicator:     g.replicator,
		Table:          t,
		DeferDeletions: deferDeletions,
		ShouldFollow:   g.reads,
		Log:            g.log,
		Meter:          g.meter,
	})
}

func (g *gateway) listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, errors.Wrapf(err, "listen on %s", address)
}

func (g *gateway) clientHandler() http.Handler {
	return forwarder.New(forwarder.Config{
		Names:     platform.HeaderNames(),
		Fleet:     func() cataloguer.Fleet { return *g.fleet.Load() },
		Admitter:  g.admitter,
		Budgeter:  g.budgeter,
		Requester: g.requester,
		Log:       g.log,
		Meter:     g.meter,
		Stopping:  g.stopping,
	})
}
