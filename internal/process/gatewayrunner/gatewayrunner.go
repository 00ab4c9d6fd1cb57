// Package gatewayrunner assembles and runs a gateway: a process on an entry VM that forwards the requests of clients
// directly to the upstreams. A gateway keeps no state on disk; the platform's store holds all state that outlasts the
// process.
package gatewayrunner

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"currantledge.example/currantledge/internal/connection/federator"
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
	"currantledge.example/currantledge/internal/request/reserver"
	"currantledge.example/currantledge/internal/request/screener"
	"currantledge.example/currantledge/internal/version/cataloguer"
	"currantledge.example/currantledge/internal/version/follower"
	"currantledge.example/currantledge/internal/version/grouper"
	"currantledge.example/currantledge/internal/version/mapleader"
	"currantledge.example/currantledge/internal/version/replicator"
	"currantledge.example/currantledge/internal/version/timekeeper"
	"currantledge.example/currantledge/platform"
)

const (
	// tickInterval is the time between two updates of the peers' request counts, each of which also evaluates the waiting
	// requests.
	tickInterval = 50 * time.Millisecond
	// housekeepingInterval is the time between two checks of idle connections and of the settings file, and the time
	// before a failed read of the node table is retried.
	housekeepingInterval = 2 * time.Second
	// pullDelay is how long a gateway that follows the platform's store waits for the store's own response before it pulls
	// from a peer.
	pullDelay = 150 * time.Millisecond
	// pullInterval is the time after which a pull without a result is repeated.
	pullInterval = 800 * time.Millisecond
	// nodeTable holds a row with the address of each gateway, so that gateways find each other without seeds.
	nodeTable replicator.Table = "nodes"
	// nodeInterval is the time between two reads of the node table.
	nodeInterval = 60 * time.Second
	// firstNodeRead is the least time before the first read, and half of the longest.
	firstNodeRead = time.Second
	// maxDecisions is small because the decisions of a gateway are looked up in its log only.
	maxDecisions = 16
	// maxLoggedDigests bounds the digests in a log line on crashes that a peer has reported.
	maxLoggedDigests = 8
	// minHeaderTimeout and minIdleTimeout are the limits of clients without a configuration. With one they are timeoutRatio
	// times the configured ones if that is longer, so that the gateway closes no connection that a client is about to use.
	minHeaderTimeout = 5 * time.Second
	minIdleTimeout   = 30 * time.Second
	timeoutRatio     = 1.5
	// maxHeaderTimeout, maxIdleTimeout and maxHeaderBytes bound the configured limits. They are those of the HTTP server, which
	// needs them before a configuration is known; the listener enforces the configured ones, which may change at any time.
	maxHeaderTimeout = time.Minute
	maxIdleTimeout   = 10 * time.Minute
	maxHeaderBytes   = 1 << 20
)

// Config configures a gateway.
type Config struct {
	// SettingsPath is the path of the platform's settings file, which is read again when it changes.
	SettingsPath string
	Output       io.Writer
	LogLevel     zerolog.Level
}

// gateway holds the components of a running gateway.
type gateway struct {
	settings   platform.Settings
	limits     clientLimits
	log        *logger.Logger
	meter      *meter.Meter
	store      *platform.Store
	replicator *replicator.Replicator
	admitter   *admitter.Admitter
	screener   *screener.Screener
	// news tells when the peers get what is known of crashes and rate limits.
	news newsTimer
	// urgentNews sends news at once.
	urgentNews *coalescer
	// crashObserved wakes maintainCrashRows after a crash that this gateway has observed.
	crashObserved chan struct{}
	// informed is set once the gateway knows what others have learned from crashes; before that it serves no requests.
	informed  atomic.Bool
	budgeter  *budgeter.Budgeter
	requester *requester.Requester
	forwarder *forwarder.Forwarder
	gossiper  *gossiper.Gossiper
	relayer   *relayer.Relayer
	fleet     atomic.Pointer[cataloguer.Fleet]
	// stopping is closed when the graceful stop begins.
	stopping chan struct{}
	// ending is done, by endRequests, when open requests must end because the process is about to exit.
	ending      context.Context
	endRequests context.CancelFunc
	// era is the last known era of the store; only tick uses it.
	era replicator.Era
	// pulledRetained is set once the gateway has pulled what its peers retain from before a restoration of the store, or
	// waits for it no longer.
	pulledRetained atomic.Bool
	// nodeRowLost and crashRowLost wake the writers of the gateway's own rows after the store was restored.
	nodeRowLost  chan struct{}
	crashRowLost chan struct{}
	// applyMu guards the three fields below; applyRows holds it.
	applyMu sync.Mutex
	// invalidRows holds the problems of the rows that were last applied.
	invalidRows map[string]bool
	// retainedRows holds the number of retained rows of each table that was last logged.
	retainedRows map[replicator.Table]int
	// disprovals is the number of disprovals after which the rows were last applied.
	disprovals int
	// hasUpstreams is set once a list of upstreams was applied.
	hasUpstreams atomic.Bool
	// ready is the result of the last readiness check.
	ready atomic.Bool
	// tablesChanged wakes applyTables; it is buffered, so that changes in quick succession are applied together.
	tablesChanged chan struct{}
	lease         *mapleader.Lease
	leader        *mapleader.Leader
	// operatorFollower and upstreamFollower follow the tables of the platform's store.
	operatorFollower *follower.Follower
	upstreamFollower *follower.Follower
	groups           *groupStates
	// backlogsLoggedAt is when waiting requests were last logged; only tick uses it.
	backlogsLoggedAt time.Time
	// nodesRead is set once the node table has been read.
	nodesRead bool
	// lastPull holds, for each table of which a peer has a higher version, when the last pull started. While the first
	// pull waits for pullDelay, the time is set so that the pull is due at the end of that delay.
	lastPull map[replicator.Table]time.Time
}

const (
	// programBytes is the memory that the pages of the program take, which the collector does not know of: 26 MB when all
	// of them are in use.
	programBytes = 26_000_000
	// collectAt is the part of the remaining memory of the process from which on garbage is collected more often, and
	// minCollectAt the part of all memory that is left to the heap in any case.
	collectAt    = 0.85
	minCollectAt = 0.5
)

// heapLimit returns the size of the heap from which on garbage is collected more often.
func heapLimit(memory int64) int64 {
	return int64(max(float64(memory-programBytes)*collectAt, float64(memory)*minCollectAt))
}

// Run runs a gateway until the context ends, then stops it gracefully.
func Run(ctx context.Context, cfg Config) error {
	settings, err := platform.LoadSettings(cfg.SettingsPath)
	if err != nil {
		return err
	}
	if settings.Memory > 0 {
		debug.SetMemoryLimit(heapLimit(settings.Memory))
	}
	lines := newLineWriter(cfg.Output)
	defer lines.Close()
	g, err := newGateway(settings, lines, cfg.LogLevel)
	if err != nil {
		return err
	}
	lines.startDropReports(g.log, g.meter)
	g.log.Event(logger.EventStarted).Str("callers", settings.ClientAddress).Str("ready", settings.ReadyAddress).
		Str("store", settings.StoreAddress).Send()
	return g.run(ctx, cfg.SettingsPath)
}

func newGateway(settings platform.Settings, output io.Writer, level zerolog.Level) (*gateway, error) {
	g := &gateway{
		settings:      settings,
		meter:         meter.New(),
		store:         platform.NewStore(settings.StoreAddress),
		relayer:       relayer.New(),
		stopping:      make(chan struct{}),
		tablesChanged: make(chan struct{}, 1),
		crashObserved: make(chan struct{}, 1),
		nodeRowLost:   make(chan struct{}, 1),
		crashRowLost:  make(chan struct{}, 1),
		lastPull:      map[replicator.Table]time.Time{},
		retainedRows:  map[replicator.Table]int{},
	}
	g.ending, g.endRequests = context.WithCancel(context.Background())
	g.log = logger.New(logger.Config{
		Output:        output,
		Level:         level,
		Node:          settings.Node,
		FailureDomain: settings.FailureDomain,
		Decisions:     maxDecisions,
	})
	g.fleet.Store(&cataloguer.Fleet{})
	g.replicator = replicator.New(replicator.Config{
		OnChange:   func(replicator.Table) { g.notifyTablesChanged() },
		Precedence: platform.RowPrecedence,
	})
	g.admitter = admitter.New(admitter.Config{
		FailureDomain: settings.FailureDomain,
		ColdFactor:    settings.Bounds.ColdFactor,
		ColdSlack:     settings.Bounds.ColdSlack,
		OnGroupChange: g.handleGroupChange,
		OnPass:        g.handlePass,
	})
	g.budgeter = budgeter.New(budgeter.Config{
		Ratio:     settings.Bounds.BudgetRatio,
		Extra:     settings.Bounds.ExtraRetries,
		Window:    settings.Bounds.BudgetWindow,
		StartedAt: time.Now(),
	}, assumedGateways)
	g.admitter.SetGateways(assumedGateways)
	g.limits = newClientLimits(settings)
	g.requester = requester.New(requester.Config{MaxIdle: g.limits.idleUpstreams})
	var err error
	g.gossiper, err = gossiper.New(gossiper.Config{
		Node:          settings.Node,
		FailureDomain: settings.FailureDomain,
		LinkSpeed:     settings.LinkSpeed,
		Listen:        net.JoinHostPort(settings.Address, strconv.Itoa(settings.FirstPort)),
		Seeds:         g.seedHosts(settings),
		FillState:     g.fillState,
		OnEvent:       g.handlePeerEvent,
	})
	if err != nil {
		return nil, err
	}
	g.screener = screener.New(screener.Config{Node: settings.Node})
	g.urgentNews = newCoalescer(g.gossiper.Broadcast)
	g.groups = newGroupStates(g.admitter)
	g.operatorFollower = g.newFollower(platform.OperatorTable, false)
	g.upstreamFollower = g.newFollower(platform.UpstreamTable, true)
	g.lease = mapleader.NewLease(mapleader.LeaseConfig{
		Store:       g.store,
		Node:        settings.Node,
		Incarnation: g.gossiper.Incarnation(),
		Dead:        g.isDead,
		Resigned:    g.hasResigned,
	})
	g.leader = mapleader.New(mapleader.Config{
		Lease:            g.lease,
		Engines:          platform.NewEngines(),
		Fleet:            func() cataloguer.Fleet { return *g.fleet.Load() },
		PeerLeads:        g.peerLeads,
		Candidate:        g.shouldFollow,
		StoreServesPeers: g.storeServesPeers,
		PlatformDown:     g.platformDown,
		Busy:             g.isGroupBusy,
		OnGroupState:     g.groups.observe,
		OnGroupFound:     g.recordGroup,
		LinkSpeed:        settings.LinkSpeed,
		Log:              g.log,
		Meter:            g.meter,
	})
	g.publishGroups()
	g.forwarder = g.newForwarder()
	return g, nil
}

// seedHosts returns the IP addresses of the seeds without their ports, which are those of control listeners. An invalid
// seed is logged and skipped, since the other seeds and the node table lead to the same peers.
func (g *gateway) seedHosts(settings platform.Settings) []string {
	var hosts []string
	for _, s := range settings.Seeds {
		host, _, err := net.SplitHostPort(s)
		if err != nil {
			g.log.Event(logger.EventSeedInvalid).Str("seed", s).AnErr("error", err).Send()
			continue
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// assumedGateways is the minimum number of gateways that are assumed to share the limits until the gateway has a
// configuration.
const assumedGateways = 8

// notifyTablesChanged wakes applyTables without blocking.
func (g *gateway) notifyTablesChanged() {
	select {
	case g.tablesChanged <- struct{}{}:
	default:
	}
}

// fillState fills in the state that the gossiper sends to the peers.
func (g *gateway) fillState(s *federator.State, complete bool) {
	s.ControlAddress = g.settings.ControlAddress
	s.Running = g.admitter.Running()
	s.Versions = map[replicator.Table]uint64{
		platform.OperatorTable: g.replicator.Version(platform.OperatorTable),
		platform.UpstreamTable: g.replicator.Version(platform.UpstreamTable),
		grouper.Table:          g.replicator.Version(grouper.Table),
	}
	s.StoreLost = g.operatorFollower.StoreLost()
	s.StoreAge = g.storeAge()
	s.GroupsOpened = g.groups.openingCounts()
	s.GroupsSlowed = g.groups.slowingCounts()
	s.Resigned = g.lease.Resigned()
	if s.Leading = g.leader.Leading(); s.Leading {
		s.Groups = g.groups.states()
	}
	s.Stopping = g.isStopping()
	now := time.Now()
	limits, demand := g.admitter.Limits(now)
	s.Demand = demand
	s.CustomerUses = g.admitter.CustomerUses(now).Largest()
	s.Waiting = g.admitter.Waiting(now)
	s.Notices = g.admitter.Notices(now)
	s.Crashes = g.screener.News(now)
	if g.news.due(now) || complete {
		s.Crashes.Add(g.screener.Report(now))
		s.Limits = limits
	}
}

// handlePeerEvent applies what the gateway has learned from others.
func (g *gateway) handlePeerEvent(e federator.Event) {
	switch e := e.(type) {
	case federator.PeerChanged:
		g.news.add(time.Now())
		g.logPeerChange(e.Peer)
	case federator.CrashesReported:
		g.mergeCrashes(e)
		g.informed.Store(true)
	case federator.LimitsReported:
		g.mergeLimits(e)
	case federator.NoticesReported:
		g.mergeNotices(e)
	case federator.GroupOpened:
		g.leader.GroupOpened(e.Group)
		g.admitter.GroupOpened(time.Now(), e.Group)
	case federator.GroupSlowed:
		g.leader.PassesSlowed(e.Group, e.At)
	case federator.GroupsReported:
		for id, open := range e.Open {
			g.groups.observe(id, open)
		}
	}
}

// mergeCrashes applies what another gateway knows of requests that crash upstreams. A relay passes news on at once.
func (g *gateway) mergeCrashes(e federator.CrashesReported) {
	now := time.Now()
	news := g.screener.Merge(now, e.Report)
	urgent, strong := false, false
	for _, run := range news.Runs {
		urgent = urgent || now.Sub(run.At) < maxUrgentAge
		strong = strong || run.IsBeginning()
	}
	if strong {
		g.news.add(now)
	}
	if len(news.Runs) > 0 {
		g.logReportedCrashes(now, e.Peer, news.Runs)
	}
	if urgent && g.gossiper.IsRelay() {
		g.urgentNews.trigger()
	}
}

// logReportedCrashes logs the crashed runs that a peer has reported, in one line.
func (g *gateway) logReportedCrashes(now time.Time, peer identifier.Node, runs []federator.CrashedRun) {
	beginning, newest := 0, runs[0].At
	var digests []string
	for _, run := range runs {
		if run.IsBeginning() {
			beginning++
		}
		if run.At.After(newest) {
			newest = run.At
		}
		if len(digests) < maxLoggedDigests {
			digests = append(digests, run.Content.String())
		}
	}
	g.log.Event(logger.EventCrashReported).Str("peer", string(peer)).Int("runs", len(runs)).Int("beginning", beginning).
		Strs("digests", digests).Dur("ageMs", now.Sub(newest)).Send()
}

// logSuspects logs which requests and parts of prompts have become suspected or cleared of crashes.
func (g *gateway) logSuspects(now time.Time) {
	changes, omitted := g.screener.TakeChanges()
	for _, c := range changes {
		line := g.log.Event(logger.EventSuspectChanged).Str("digest", c.Content.String()).Bool("whole", c.Whole).
			Str("state", string(c.State)).Int("crashes", c.Crashes).Int("strength", c.Strength).Int("explanations", c.Explanations)
		if c.Part != "" {
			line = line.Str("part", string(c.Part))
		}
		if !c.AnsweredAt.IsZero() {
			line = line.Dur("answeredAgoMs", now.Sub(c.AnsweredAt))
		}
		line.Send()
	}
	if omitted > 0 {
		g.log.Event(logger.EventSuspectChanged).Int("omitted", omitted).Send()
	}
}

// announceCrash sends a crash that this gateway has observed to the peers, and to the store if gateways that start later
// have to know of it.
func (g *gateway) announceCrash(lasting bool) {
	g.urgentNews.trigger()
	if !lasting {
		return
	}
	g.news.add(time.Now())
	select {
	case g.crashObserved <- struct{}{}:
	default:
	}
}

// mergeLimits applies the rate limits that another gateway knows.
func (g *gateway) mergeLimits(e federator.LimitsReported) {
	now := time.Now()
	for _, id := range g.admitter.MergeLimits(now, e.Limits) {
		g.news.add(now)
		g.logLimit(id, e.Limits[id], e.Peer)
	}
}

// mergeNotices applies what upstreams have said to another gateway about further requests.
func (g *gateway) mergeNotices(e federator.NoticesReported) {
	now := time.Now()
	for _, id := range g.admitter.MergeNotices(now, e.Notices) {
		n := e.Notices[id]
		g.log.Event(logger.EventUpstreamNotice).Str("upstream", string(id)).Bool("leaving", n.Leaving).
			Dur("pauseMs", max(0, n.Until.Sub(now))).Str("observer", string(e.Peer)).Dur("ageMs", now.Sub(n.At)).Send()
	}
}

// announceLimit logs that the rate limit of an upstream has changed. The next datagrams hold it.
func (g *gateway) announceLimit(id identifier.Upstream) {
	now := time.Now()
	limits, _ := g.admitter.Limits(now)
	g.logLimit(id, limits[id], g.settings.Node)
	g.news.add(now)
}

func (g *gateway) logLimit(id identifier.Upstream, l federator.UpstreamLimit, source identifier.Node) {
	g.log.Event(logger.EventUpstreamRateChanged).Str("upstream", string(id)).Bool("limited", l.Limited).
		Float64("limitPerS", l.PerSecond).Str("observer", string(source)).Dur("ageMs", time.Since(l.At)).Send()
}

// countPeers updates the number of requests that the other gateways run on each upstream and the number of gateways that
// share the limits.
func (g *gateway) countPeers(now time.Time) {
	running := map[identifier.Upstream]int{}
	add := func(counts map[identifier.Upstream]int) {
		for id, n := range counts {
			running[id] += n
		}
	}
	demand := map[identifier.Service]float64{}
	addDemand := func(rates map[identifier.Service]float64) {
		for s, perSecond := range rates {
			demand[s] += perSecond
		}
	}
	uses := federator.CustomerUses{}
	waiting := admitter.PeerWaiting{Services: map[identifier.Service]federator.Waiting{}}
	gateways, live := 1, 0
	for _, p := range g.domainPeers() {
		gateways++
		if !p.Silent {
			live++
			if p.Waiting != nil {
				waiting.Gateways++
				federator.AddWaiting(waiting.Services, p.Waiting)
			}
			add(p.Running)
			addDemand(p.Demand)
			uses.Add(p.CustomerUses)
		}
	}
	for _, s := range g.gossiper.Summaries() {
		gateways += s.Known
		if !s.IsSilent(now) {
			live += s.Live
			waiting.Gateways += s.Reporting
			federator.AddWaiting(waiting.Services, s.Waiting)
			add(s.Running)
			addDemand(s.Demand)
			uses.Add(s.CustomerUses)
		}
	}
	g.admitter.SetPeerCustomerUses(uses)
	g.admitter.SetPeerWaiting(now, waiting)
	g.admitter.SetPeerRunning(now, running)
	g.admitter.SetPeerDemand(demand, live)
	if !g.hasConfiguration() {
		gateways = max(gateways, assumedGateways)
	}
	g.admitter.SetGateways(gateways)
	g.budgeter.SetGateways(gateways)
}

// hasConfiguration reports whether the gateway has a valid configuration.
func (g *gateway) hasConfiguration() bool {
	return g.fleet.Load().Catalogue != nil
}

// servedFleet returns the configuration and upstreams for clients' requests: none until the gateway is informed, or while
// its peers may know a newer configuration than the store.
func (g *gateway) servedFleet() cataloguer.Fleet {
	if !g.informed.Load() || g.mayLackRetained() {
		return cataloguer.Fleet{}
	}
	return *g.fleet.Load()
}

func (g *gateway) logPeerChange(p federator.Peer) {
	event := logger.EventPeerLive
	if p.Silent {
		event = logger.EventPeerSilent
	}
	g.log.Event(event).Str("peer", string(p.Node)).Str("peerDomain", string(p.FailureDomain)).
		Dur("ageMs", time.Since(p.ReceivedAt)).Uint64("incarnation", uint64(p.Incarnation)).Send()
}

// recordGroup records the ranks of a group that the leader of the expert maps has discovered. Peers pull the row.
func (g *gateway) recordGroup(id identifier.GroupID, addresses []string, version uint64) {
	rows, err := grouper.Update(g.replicator.Rows(grouper.Table), g.fleet.Load().Upstreams,
		grouper.Membership{ID: id, Addresses: addresses}, version)
	if err != nil {
		g.log.Event(logger.EventRowInvalid).AnErr("error", err).Send()
		return
	}
	g.replicator.Merge(time.Now(), grouper.Table, rows, false)
}

// handleGroupChange logs that a group opened or closed. If requests of this gateway showed that the group works again,
// it also notifies the peers and the leader of the expert maps.
func (g *gateway) handleGroupChange(c admitter.GroupChange) {
	event := logger.EventGroupOpened
	if c.Closed {
		event = logger.EventGroupClosed
	}
	g.log.Event(event).Str("service", string(c.Group.Service)).Str("group", string(c.Group.Group)).
		Str("cause", string(c.Cause)).Dur("closedMs", c.ClosedFor).Send()
	if !c.Closed && c.Cause == admitter.CauseProgress {
		g.groups.countOpening(c.Group)
		g.gossiper.RecordOpening(c.Group)
		g.gossiper.Broadcast()
		g.leader.GroupOpened(c.Group)
	}
}

// handlePass notifies the leader of the expert maps of a pass. The next datagrams tell the peers if passes have become
// slower: the leader's own gateway may forward no stream of the group.
func (g *gateway) handlePass(id identifier.GroupID, p timekeeper.Pass) {
	g.leader.PassBegan(id, p)
	if p.Slowed {
		g.groups.countSlowing(id)
		g.gossiper.RecordSlowing(id)
	}
}

// applyTables applies the tables after each change until the context ends.
func (g *gateway) applyTables(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.tablesChanged:
			g.applyRows()
		}
	}
}

// applyRows decodes the tables and applies them.
func (g *gateway) applyRows() {
	g.applyMu.Lock()
	defer g.applyMu.Unlock()
	previous := g.fleet.Load()
	if n := g.replicator.Disprovals(); n != g.disprovals {
		g.disprovals, previous = n, &cataloguer.Fleet{}
	}
	hasUpstreams := g.replicator.Version(platform.UpstreamTable) > 0
	fleet, problems := platform.DecodeFleet(g.replicator.Rows(platform.OperatorTable),
		g.replicator.Rows(platform.UpstreamTable), previous.Catalogue)
	problems = append(problems, limitProblems(fleet.Catalogue)...)
	problems = append(problems, grouper.Assign(g.replicator.Rows(grouper.Table), fleet.Upstreams)...)
	g.logInvalidRows(problems)
	g.fleet.Store(&fleet)
	g.groups.retain(fleet.Upstreams)
	g.admitter.SetFleet(time.Now(), fleet)
	if hasUpstreams {
		g.hasUpstreams.Store(true)
	}
	version, anonymous := uint64(0), false
	if fleet.Catalogue != nil {
		version, anonymous = uint64(fleet.Catalogue.Version()), fleet.Catalogue.AllowsAnonymous()
	}
	// Peers that do not follow the platform's store pull the rows when they receive the new versions.
	g.gossiper.Broadcast()
	g.log.Event(logger.EventFleetChanged).Uint64("configVersion", version).Bool("allowsAnonymous", anonymous).
		Int("upstreams", len(fleet.Upstreams)).Int("evacuated", len(fleet.Evacuated)).
		Str("operatorRows", replicator.VersionText(g.replicator.Version(platform.OperatorTable))).
		Str("upstreamRows", replicator.VersionText(g.replicator.Version(platform.UpstreamTable))).Send()
	g.logRetained()
}

// logInvalidRows logs the problems of rows that the previous tables did not have.
func (g *gateway) logInvalidRows(problems []error) {
	current := make(map[string]bool, len(problems))
	for _, p := range problems {
		current[p.Error()] = true
		if !g.invalidRows[p.Error()] {
			g.log.Event(logger.EventRowInvalid).AnErr("error", p).Send()
		}
	}
	g.invalidRows = current
}

// tick updates the peers' counts, applies deferred deletions and pulls rows every tickInterval until the context ends.
func (g *gateway) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			g.observeEra()
			// This also evaluates the waiting requests.
			g.countPeers(now)
			g.logBacklogs(now)
			g.logSuspects(now)
			g.replicator.ApplyDeferred(now)
			g.pull(ctx, now)
		}
	}
}

// pull starts pulling the rows of each table of which a peer has a higher version.
func (g *gateway) pull(ctx context.Context, now time.Time) {
	for _, t := range []replicator.Table{platform.OperatorTable, platform.UpstreamTable, grouper.Table} {
		own := g.replicator.Version(t)
		source := g.pullSource(t, own)
		last, wasBehind := g.lastPull[t]
		switch {
		case source == "":
			delete(g.lastPull, t)
		case !wasBehind && t != grouper.Table && g.shouldFollow():
			// The store's own response is probably on its way; the pull is due after pullDelay.
			g.lastPull[t] = now.Add(pullDelay - pullInterval)
		case !wasBehind || now.Sub(last) >= pullInterval:
			g.lastPull[t] = now
			go g.pullFrom(ctx, source, t, own)
		}
	}
}

// pullSource returns the control address of a random gateway that has a higher version of a table, or an empty string.
// Gateways of the own failure domain are preferred.
func (g *gateway) pullSource(t replicator.Table, own uint64) string {
	var near, far []string
	for _, p := range g.domainPeers() {
		if !p.Silent && p.Versions[t] > own {
			near = append(near, p.ControlAddress)
		}
	}
	for _, s := range g.gossiper.Summaries() {
		if s.Versions[t] > own {
			far = append(far, s.ControlAddress)
		}
	}
	sources := near
	if len(near) == 0 {
		sources = far
	}
	if len(sources) == 0 {
		return ""
	}
	return sources[rand.IntN(len(sources))]
}

// pullFrom fetches the rows of a table after a version from a peer and merges them.
func (g *gateway) pullFrom(ctx context.Context, source string, t replicator.Table, after uint64) {
	changes, err := g.relayer.Pull(ctx, source, t, after)
	if err != nil {
		g.log.Event(logger.EventConfigPullFailed).Str("peer", source).AnErr("error", err).Send()
		return
	}
	g.replicator.MergeChanges(time.Now(), t, changes, t == platform.UpstreamTable)
}

// maintainNodeRow writes the gateway's row in the node table, again when the store was restored, and adds the gateways of
// the other rows as possible peers, until the context ends. The first read takes place once gateways that started at the
// same time have written their rows. Later only relays read, since the others find new gateways through them.
func (g *gateway) maintainNodeRow(ctx context.Context) error {
	written := false
	pause := time.Duration(0)
	if len(g.settings.Seeds) > 0 {
		pause = firstNodeRead + time.Duration(rand.Int64N(int64(firstNodeRead)))
	}
	for {
		if !written {
			_, err := g.store.Put(ctx, nodeTable, string(g.settings.Node), []byte(g.settings.Address))
			written = err == nil
			g.countStoreFailure(ctx, err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		case <-g.nodeRowLost:
			// The gateways write their rows at different times.
			if !waiter.For(ctx, rand.N(housekeepingInterval)) {
				return nil
			}
			written, pause = false, 0
			continue
		}
		pause = nodeInterval
		if written && g.nodesRead && !g.gossiper.IsRelay() {
			continue
		}
		if err := g.readNodes(ctx); err != nil || !written {
			pause = housekeepingInterval
		}
	}
}

// readNodes adds the gateways in the node table as possible peers.
func (g *gateway) readNodes(ctx context.Context) error {
	rows, _, err := g.store.Read(ctx, nodeTable)
	if err != nil {
		g.countStoreFailure(ctx, err)
		return err
	}
	g.nodesRead = true
	for _, row := range rows {
		if host := string(row.Value); net.ParseIP(host) != nil {
			g.gossiper.Add(host)
		}
	}
	return nil
}

// countStoreFailure counts a failed call of the platform's store.
func (g *gateway) countStoreFailure(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil {
		g.meter.Increment(meter.StoreFailures)
	}
}

func (g *gateway) newFollower(t replicator.Table, deferDeletions bool) *follower.Follower {
	return follower.New(follower.Config{
		Store:            g.store,
		Replicator:       g.replicator,
		Table:            t,
		DeferDeletions:   deferDeletions,
		ShouldFollow:     g.shouldFollow,
		StoreServesPeers: g.storeServesPeers,
		OnStoreLost:      func() { g.gossiper.Broadcast() },
		Log:              g.log,
		Meter:            g.meter,
	})
}

func (g *gateway) listen(address string) (*net.TCPListener, error) {
	tcpAddress, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve %s", address)
	}
	l, err := net.ListenTCP("tcp", tcpAddress)
	return l, errors.Wrapf(err, "listen on %s", address)
}

func (g *gateway) newForwarder() *forwarder.Forwarder {
	memory := g.limits.memory
	return forwarder.New(forwarder.Config{
		Names:          platform.HeaderNames(),
		SharedParts:    platform.SharedParts,
		Fleet:          g.servedFleet,
		Admitter:       g.admitter,
		Screener:       g.screener,
		OnCrash:        g.announceCrash,
		OnLimitChange:  g.announceLimit,
		Budgeter:       g.budgeter,
		Requester:      g.requester,
		RequestMemory:  reserver.New(memory / requestMemoryDivisor),
		ResponseMemory: reserver.New(memory / responseMemoryDivisor),
		Log:            g.log,
		Meter:          g.meter,
		Stopping:       g.stopping,
		Ending:         g.ending,
	})
}
