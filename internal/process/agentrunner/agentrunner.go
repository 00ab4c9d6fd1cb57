// Package agentrunner assembles and runs an agent: a process beside one upstream that grants credits to entries, runs the
// requests they dispatch, keeps the responses until they are acknowledged, and takes part in the model group of its
// upstream.
package agentrunner

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/accepter"
	"currantledge.example/currantledge/internal/connection/authenticator"
	"currantledge.example/currantledge/internal/connection/dialer"
	"currantledge.example/currantledge/internal/connection/driver"
	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/connection/listener"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/connection/storer"
	"currantledge.example/currantledge/internal/process/adapter"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/loader"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/meter"
	"currantledge.example/currantledge/internal/process/supervisor"
	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/request/claimer"
	"currantledge.example/currantledge/internal/request/streamer"
	"currantledge.example/currantledge/internal/version/configurer"
	"currantledge.example/currantledge/internal/version/declarer"
	"currantledge.example/currantledge/internal/version/distributor"
)

const (
	// tickInterval is the time between two ticks of the granter.
	tickInterval = 50 * time.Millisecond
	// sweepInterval is the time between two removals of responses whose retention has passed.
	sweepInterval = time.Second
	// drainInterval is the time between two checks whether all runs have ended.
	drainInterval = 50 * time.Millisecond
	// platformTimeout bounds each call to the platform.
	platformTimeout = 2 * time.Second
	// acknowledgeTimeout bounds the wait for acknowledgements after the last request has ended.
	acknowledgeTimeout = 10 * time.Second
	// recordTimeout bounds the wait until the responses of keyed calls (see needsClaim) are recorded in the table.
	recordTimeout = 30 * time.Second
	// peerCheckInterval is the time between two checks whether an entry has linked to this agent.
	peerCheckInterval = 2 * time.Second
)

// Config configures an agent.
type Config struct {
	Settings loader.Agent
	// Output receives the log.
	Output io.Writer
}

// Agent holds the components of an agent.
type Agent struct {
	settings    loader.Agent
	log         *logger.Logger
	incarnation identifier.Incarnation
	credentials *authenticator.Credentials
	store       *configurer.Store
	distributor *distributor.Distributor
	platform    *storer.Client
	admission   *admission
	responses   *streamer.Registry
	claims      *claimer.Claimer
	upstream    *upstream
	entryLinks  *entryLinks
	member      *groupMember
	// peers keeps the links that this agent opens to entries.
	peers    *dialer.Dialer
	traffic  *linker.Traffic
	stopping atomic.Bool
	// applyMu serializes applyState, so that an older state is never applied last.
	applyMu sync.Mutex
	// recordWrites counts the writes of claims that are in progress: recorded responses and releases.
	recordWrites sync.WaitGroup
}

// Run runs an agent until ctx ends, then stops it gracefully.
func Run(ctx context.Context, cfg Config) error {
	a, err := New(cfg)
	if err != nil {
		return err
	}
	return a.run(ctx)
}

// New returns an agent that has opened no listener and no link.
func New(cfg Config) (*Agent, error) {
	s := cfg.Settings
	credentials, err := authenticator.Load(authenticator.Paths(s.Keys))
	if err != nil {
		return nil, err
	}
	metrics := meter.New()
	a := &Agent{
		settings: s,
		log: logger.New(logger.Config{
			Output: cfg.Output, Level: s.LogLevel, Node: s.Node, FailureDomain: s.FailureDomain,
			OnEvent: metrics.CountEvent,
		}),
		incarnation: identifier.NewIncarnation(time.Now()),
		credentials: credentials,
		store:       configurer.New(),
		platform:    storer.New(storer.Config{BaseURL: s.Platform, Timeout: platformTimeout}),
		responses:   streamer.NewRegistry(streamer.RegistryConfig{}),
		entryLinks:  newEntryLinks(),
		traffic:     &linker.Traffic{},
	}
	a.admission = newAdmission(a)
	a.upstream = newUpstream(a)
	a.member = newGroupMember(a)
	a.claims = claimer.New(claimer.Config{
		Table: adapter.ClaimTable(a.platform), Objects: a.platform, Node: s.Node, Incarnation: a.incarnation,
	})
	a.distributor = distributor.New(distributor.Config{Store: a.store, Log: a.log, OnAdopt: a.applyState})
	a.peers = dialer.New(dialer.Config{Link: a.linkConfig(), Log: a.log, Listen: s.Fleet, Serve: a.servePeer})
	a.registerGauges(metrics)
	return a, nil
}

// registerGauges registers the gauges of the agent.
func (a *Agent) registerGauges(m *meter.Meter) {
	m.SetGauge(meter.ConfigRevision, func() int64 { return int64(a.store.Revision()) })
	m.SetGauge(meter.UpstreamRunning, func() int64 { return int64(a.admission.load().Running) })
	m.SetGauge(meter.UpstreamLimit, func() int64 { return int64(a.admission.load().Limit) })
	m.SetGauge(meter.CreditsGranted, func() int64 { return int64(a.admission.load().Granted) })
	m.PublishTraffic(a.traffic)
}

func (a *Agent) linkConfig() linker.Config {
	return linker.Config{Credentials: a.credentials, Hello: a.hello, Heartbeat: a.heartbeat, Traffic: a.traffic}
}

func (a *Agent) run(ctx context.Context) error {
	// The actors continue after the signal to stop until the running requests have ended.
	actorsCtx, stopActors := context.WithCancel(context.WithoutCancel(ctx))
	defer stopActors()
	fleetListener, err := listener.New(listener.Config{
		Address: a.settings.Fleet, Log: a.log, Link: a.linkConfig(), Serve: a.serveLink,
	})
	if err != nil {
		return err
	}
	group := supervisor.New(actorsCtx)
	group.Add(fleetListener.Run)
	group.Add(a.tick)
	group.Add(a.upstream.pollReports)
	group.Add(a.dialPeers)
	if a.upstream.engine != nil {
		group.Add(a.member.run)
	}
	if a.settings.Metrics != "" {
		l, err := net.Listen("tcp", a.settings.Metrics)
		if err != nil {
			return errors.Wrapf(err, "listen for metrics on %s; choose a free address", a.settings.Metrics)
		}
		group.Add(supervisor.HTTP(supervisor.HTTPConfig{
			Listener: accepter.New(l, accepter.Config{Name: "metrics", Limits: accepter.DefaultLimits(), Log: a.log}),
			Handler:  a.metricsHandler(),
		}))
	}
	group.Add(func(actorCtx context.Context) error { return a.awaitStop(ctx, actorCtx) })
	a.log.Event(logger.EventStarted).Str("upstream", string(a.settings.Upstream)).Str("fleet", a.settings.Fleet).Send()
	err = group.Run()
	a.peers.Wait()
	a.claims.Close()
	a.log.Event(logger.EventStopped).Send()
	return err
}

// tick runs the granter and removes responses whose retention has passed, until ctx ends.
func (a *Agent) tick(ctx context.Context) error {
	lastSweep := time.Now()
	for waiter.For(ctx, tickInterval) {
		a.admission.tick()
		if now := time.Now(); now.Sub(lastSweep) > sweepInterval {
			a.responses.Sweep(now)
			lastSweep = now
		}
	}
	return nil
}

// awaitStop waits until ctx ends, which requests a graceful stop, then until the runs have ended and their responses are
// recorded and acknowledged. Its return stops the other actors.
func (a *Agent) awaitStop(ctx, actorCtx context.Context) error {
	select {
	case <-actorCtx.Done():
		return nil
	case <-ctx.Done():
	}
	a.stopping.Store(true)
	a.applyState()
	a.log.Event(logger.EventStopping).Int("running", a.upstream.runCount()).Send()
	for a.upstream.runCount() > 0 {
		if !waiter.For(actorCtx, drainInterval) {
			return nil
		}
	}
	a.awaitRecords(actorCtx)
	ackCtx, cancel := context.WithTimeout(actorCtx, acknowledgeTimeout)
	defer cancel()
	// Responses that are not acknowledged by then belong to entries that are gone.
	_ = a.responses.Wait(ackCtx)
	return nil
}

// awaitRecords waits until the responses of keyed calls are recorded in the table. Without a recorded response, callers
// that send a claimed call again would receive an unknown outcome.
func (a *Agent) awaitRecords(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		a.recordWrites.Wait()
	}()
	select {
	case <-recorded:
	case <-ctx.Done():
		a.log.Event(logger.EventPlatformFailed).Str("operation", "recordAnswer").Str("cause", "stopping").Send()
	}
}

// applyState applies the configuration, the state of the upstream and that of the process to admission, and reports the
// result to the entries immediately.
func (a *Agent) applyState() {
	a.applyMu.Lock()
	defer a.applyMu.Unlock()
	snapshot := a.store.Snapshot()
	u, declared := snapshot.Upstreams[a.settings.Upstream]
	domain := snapshot.FailureDomains[a.settings.FailureDomain]
	drainReason := ""
	switch {
	case !declared:
		drainReason = "upstream not declared"
	case a.stopping.Load():
		drainReason = "agent stopping"
	case u.State == declarer.UpstreamLeaving:
		drainReason = "upstream leaving"
	case domain.State == declarer.DomainOut:
		drainReason = "failure domain out"
	case !a.upstream.ready.Load():
		drainReason = "upstream not answering"
	case a.upstream.awaitsMap.Load():
		drainReason = "no expert map yet"
	}
	a.admission.configure(u, drainReason)
	a.entryLinks.triggerHeartbeats()
}

func (a *Agent) hello() messenger.Hello {
	return messenger.Hello{
		Node: a.settings.Node, Role: identifier.RoleAgent, FailureDomain: a.settings.FailureDomain,
		Incarnation: a.incarnation, Upstream: a.settings.Upstream, Address: a.settings.Advertise,
		Revision: a.store.Revision(),
	}
}

func (a *Agent) heartbeat() messenger.Heartbeat {
	load := a.admission.load()
	load.Upstream = a.settings.Upstream
	load.Ready = a.upstream.ready.Load()
	load.StepTime = time.Duration(a.upstream.stepTime.Load())
	return messenger.Heartbeat{Revision: a.store.Revision(), Load: &load, Suspicions: a.admission.suspicions()}
}

// metricsHandler returns the HTTP handler for health checks and metrics.
func (a *Agent) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/livez", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if a.stopping.Load() || a.store.Revision() == 0 || !a.upstream.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("/debug/vars", meter.Handler())
	return mux
}

// newDrivers returns the client of the upstream: of an engine or of a plain service. The other one is nil.
func newDrivers(s loader.Agent) (*driver.Engine, *driver.Service) {
	cfg := driver.Config{BaseURL: s.UpstreamURL}
	if s.UpstreamKind == loader.UpstreamService {
		return nil, driver.NewService(cfg)
	}
	return driver.NewEngine(cfg), nil
}
