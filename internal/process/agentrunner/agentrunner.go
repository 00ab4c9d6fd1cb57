// Package agentrunner wires the parts of an agent together and runs them as one group.
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
	tickInterval    = 50 * time.Millisecond
	sweepInterval   = time.Second
	drainInterval   = 50 * time.Millisecond
	platformTimeout = 2 * time.Second
	// acknowledgeWait bounds the wait for acknowledgements after the last request has finished.
	acknowledgeWait = 10 * time.Second
	// recordWait bounds the wait for the table to take the answers of keyed calls.
	recordWait = 30 * time.Second
	// lonelyAfter is when an agent without a link asks its peers for the configuration.
	lonelyAfter = 2 * time.Second
)

// Config holds what an agent is built from.
type Config struct {
	Settings loader.Agent
	Output   io.Writer
}

// Agent is a running agent.
type Agent struct {
	settings    loader.Agent
	log         *logger.Logger
	incarnation identifier.Incarnation
	credentials *authenticator.Credentials
	store       *configurer.Store
	distributor *distributor.Distributor
	platform    *storer.Client
	admission   *admission
	answers     *streamer.Registry
	claims      *claimer.Claimer
	upstream    *upstream
	links       *links
	member      *member
	peers       *dialer.Dialer
	traffic     *linker.Traffic
	stopping    atomic.Bool
	// applying orders the changes of configuration and state, so that an older one is never applied last.
	applying sync.Mutex
	// records counts the writes of answers that are under way.
	records sync.WaitGroup
}

// Run runs an agent until ctx ends, then stops it gracefully.
func Run(ctx context.Context, cfg Config) error {
	a, err := New(cfg)
	if err != nil {
		return err
	}
	return a.run(ctx)
}

// New builds an agent. Nothing is opened yet.
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
			Count: metrics.Count,
		}),
		incarnation: identifier.NewIncarnation(time.Now()),
		credentials: credentials,
		store:       configurer.New(),
		platform:    storer.New(storer.Config{BaseURL: s.Platform, Timeout: platformTimeout}),
		answers:     streamer.NewRegistry(streamer.RegistryConfig{}),
		links:       newLinks(),
		traffic:     &linker.Traffic{},
	}
	a.admission = newAdmission(a)
	a.upstream = newUpstream(a)
	a.member = newMember(a)
	a.claims = claimer.New(claimer.Config{
		Table: adapter.Claims(a.platform), Objects: a.platform, Node: s.Node, Incarnation: a.incarnation,
	})
	a.distributor = distributor.New(distributor.Config{Store: a.store, Log: a.log, OnAdopt: a.adopted})
	a.peers = dialer.New(dialer.Config{Link: a.linkConfig(), Log: a.log, Listen: s.Fleet, Serve: a.servePeer})
	a.publish(metrics)
	return a, nil
}

// publish sets the gauges.
func (a *Agent) publish(m *meter.Meter) {
	m.Gauge(meter.ConfigRevision, func() int64 { return int64(a.store.Revision()) })
	m.Gauge(meter.UpstreamRunning, func() int64 { return int64(a.admission.load().Running) })
	m.Gauge(meter.UpstreamLimit, func() int64 { return int64(a.admission.load().Limit) })
	m.Gauge(meter.CreditsGranted, func() int64 { return int64(a.admission.load().Granted) })
	m.Links(a.traffic)
}

func (a *Agent) linkConfig() linker.Config {
	return linker.Config{Credentials: a.credentials, Hello: a.hello, Heartbeat: a.heartbeat, Traffic: a.traffic}
}

func (a *Agent) run(ctx context.Context) error {
	// Parts outlive the signal to stop until running requests have finished.
	partsCtx, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	fleet, err := listener.New(listener.Config{
		Address: a.settings.Fleet, Log: a.log, Link: a.linkConfig(), Serve: a.serveLink,
	})
	if err != nil {
		return err
	}
	group := supervisor.New(partsCtx)
	group.Add(fleet.Run)
	group.Add(a.tick)
	group.Add(a.upstream.watch)
	group.Add(a.dialPeers)
	if a.upstream.engine != nil {
		group.Add(a.member.run)
	}
	if a.settings.Metrics != "" {
		l, err := net.Listen("tcp", a.settings.Metrics)
		if err != nil {
			return errors.Wrapf(err, "listen for metrics on %s; choose a free address", a.settings.Metrics)
		}
		group.Add(supervisor.HTTP(l, a.metrics()))
	}
	group.Add(func(partCtx context.Context) error { return a.awaitStop(ctx, partCtx) })
	a.log.Event(logger.EventStarted).Str("upstream", string(a.settings.Upstream)).Str("fleet", a.settings.Fleet).Send()
	err = group.Run()
	a.peers.Wait()
	a.claims.Close()
	a.log.Event(logger.EventStopped).Send()
	return err
}

// tick renews grants and forgets answers whose retention has passed.
func (a *Agent) tick(ctx context.Context) error {
	swept := time.Now()
	for waiter.For(ctx, tickInterval) {
		a.admission.tick()
		if now := time.Now(); now.Sub(swept) > sweepInterval {
			a.answers.Sweep(now)
			swept = now
		}
	}
	return nil
}

// awaitStop returns once a stop was asked for and no request runs or waits for its acknowledgement.
func (a *Agent) awaitStop(ctx, partCtx context.Context) error {
	select {
	case <-partCtx.Done():
		return nil
	case <-ctx.Done():
	}
	a.stopping.Store(true)
	a.adopted()
	a.log.Event(logger.EventStopping).Int("running", a.upstream.open()).Send()
	for a.upstream.open() > 0 {
		if !waiter.For(partCtx, drainInterval) {
			return nil
		}
	}
	a.awaitRecords(partCtx)
	ackCtx, cancel := context.WithTimeout(partCtx, acknowledgeWait)
	defer cancel()
	// Answers that nobody has acknowledged by then belong to entries that are gone.
	_ = a.answers.Wait(ackCtx)
	return nil
}

// awaitRecords waits until answers of keyed calls are in the table. A claim without its answer would tell callers
// that send again that the outcome is unknown.
func (a *Agent) awaitRecords(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recordWait)
	defer cancel()
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		a.records.Wait()
	}()
	select {
	case <-recorded:
	case <-ctx.Done():
		a.log.Event(logger.EventPlatformFailed).Str("operation", "recordAnswer").Str("cause", "stopping").Send()
	}
}

// adopted applies the configuration and the state of the process to admission and tells entries at once.
func (a *Agent) adopted() {
	a.applying.Lock()
	defer a.applying.Unlock()
	snapshot := a.store.Snapshot()
	u, declared := snapshot.Upstreams[a.settings.Upstream]
	domain := snapshot.FailureDomains[a.settings.FailureDomain]
	reason := ""
	switch {
	case !declared:
		reason = "upstream not declared"
	case a.stopping.Load():
		reason = "agent stopping"
	case u.State == declarer.UpstreamLeaving:
		reason = "upstream leaving"
	case domain.State == declarer.DomainOut:
		reason = "failure domain out"
	case !a.upstream.ready.Load():
		reason = "upstream not answering"
	case a.upstream.mapless.Load():
		reason = "no expert map yet"
	}
	a.admission.apply(u, reason)
	a.links.beat()
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

// metrics returns the handler of health and metrics.
func (a *Agent) metrics() http.Handler {
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

// newDrivers returns the client of the upstream. One of the two is nil.
func newDrivers(s loader.Agent) (*driver.Engine, *driver.Service) {
	cfg := driver.Config{BaseURL: s.UpstreamURL}
	if s.UpstreamKind == loader.UpstreamService {
		return nil, driver.NewService(cfg)
	}
	return driver.NewEngine(cfg), nil
}
