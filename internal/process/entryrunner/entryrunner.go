// Package entryrunner assembles and runs an entry: a process that accepts the requests of callers, routes them to the
// agents of upstreams, and serves the API of operators.
package entryrunner

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/accepter"
	"currantledge.example/currantledge/internal/connection/authenticator"
	"currantledge.example/currantledge/internal/connection/dialer"
	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/connection/listener"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/connection/pooler"
	"currantledge.example/currantledge/internal/connection/storer"
	"currantledge.example/currantledge/internal/process/adapter"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/loader"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/meter"
	"currantledge.example/currantledge/internal/process/registrar"
	"currantledge.example/currantledge/internal/process/supervisor"
	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/request/quarantiner"
	"currantledge.example/currantledge/internal/request/router"
	"currantledge.example/currantledge/internal/request/streamer"
	"currantledge.example/currantledge/internal/version/configurer"
	"currantledge.example/currantledge/internal/version/distributor"
)

const (
	// notReadyDelay is how long the entry keeps accepting requests after /readyz begins to fail, so that the platform's
	// load balancer takes it out of rotation first.
	notReadyDelay = 2 * time.Second
	// drainInterval is the time between two checks whether all requests have ended.
	drainInterval = 50 * time.Millisecond
)

// Config configures an entry.
type Config struct {
	Settings loader.Entry
	// Output receives the log.
	Output io.Writer
}

// Entry holds the components of an entry.
type Entry struct {
	settings    loader.Entry
	log         *logger.Logger
	metrics     *meter.Meter
	incarnation identifier.Incarnation
	credentials *authenticator.Credentials
	store       *configurer.Store
	writer      *configurer.Writer
	platform    *storer.Client
	distributor *distributor.Distributor
	nodes       *registrar.Registrar
	pool        *pooler.Pool
	dispatcher  *streamer.Dispatcher
	suspects    *suspects
	peers       *peers
	// agents and entries keep the links that this entry opens.
	agents   *dialer.Dialer
	entries  *dialer.Dialer
	traffic  *linker.Traffic
	stopping atomic.Bool
	// http serves callers.
	http http.Handler
}

// Run runs an entry until ctx ends, then stops it gracefully.
func Run(ctx context.Context, cfg Config) error {
	e, err := New(cfg)
	if err != nil {
		return err
	}
	return e.run(ctx)
}

// New returns an entry that has opened no listener and no link.
func New(cfg Config) (*Entry, error) {
	s := cfg.Settings
	credentials, err := authenticator.Load(authenticator.Paths(s.Keys))
	if err != nil {
		return nil, err
	}
	metrics := meter.New()
	e := &Entry{
		settings: s,
		metrics:  metrics,
		log: logger.New(logger.Config{
			Output: cfg.Output, Level: s.LogLevel, Node: s.Node, FailureDomain: s.FailureDomain,
			OnEvent: metrics.CountEvent,
		}),
		incarnation: identifier.NewIncarnation(time.Now()),
		credentials: credentials,
		store:       configurer.New(),
		platform:    storer.New(storer.Config{BaseURL: s.Platform, Timeout: platformTimeout}),
		nodes:       registrar.New(),
		pool:        pooler.New(),
		peers:       newPeers(),
		traffic:     &linker.Traffic{},
	}
	e.suspects = newSuspects(quarantiner.New(quarantiner.Config{}), e.announceSuspicions)
	e.writer = configurer.NewWriter(configurer.WriterConfig{Table: adapter.ConfigurationTable(e.platform), Store: e.store})
	e.distributor = distributor.New(distributor.Config{Store: e.store, Log: e.log})
	e.dispatcher = streamer.New(streamer.Config{
		Pool: e.pool, Log: e.log, Candidates: e.candidates, Verdict: e.suspects.verdict, OnCrash: e.suspects.recordCrash,
		Policy: policy(s.Routing),
	})
	link := e.linkConfig()
	e.agents = dialer.New(dialer.Config{Link: link, Log: e.log, Listen: s.Fleet, Serve: e.serveAgent})
	e.entries = dialer.New(dialer.Config{Link: link, Log: e.log, Listen: s.Fleet, Serve: e.serveEntry})
	metrics.SetGauge(meter.RequestsOpen, func() int64 { return int64(e.dispatcher.OpenRequests()) })
	metrics.SetGauge(meter.ConfigRevision, func() int64 { return int64(e.store.Revision()) })
	metrics.PublishTraffic(e.traffic)
	e.http, err = newCallerHandler(e)
	return e, err
}

// policy returns the routing policy of a name in the settings.
func policy(name loader.Routing) router.Policy {
	switch name {
	case loader.RoutingRoundRobin:
		return router.RoundRobin{}
	case loader.RoutingLeastLoaded:
		return router.LeastLoaded{}
	default:
		return router.Balanced{}
	}
}

func (e *Entry) linkConfig() linker.Config {
	return linker.Config{Credentials: e.credentials, Hello: e.hello, Heartbeat: e.heartbeat, Traffic: e.traffic}
}

func (e *Entry) run(ctx context.Context) error {
	// The actors continue after the signal to stop until the open requests have ended.
	actorsCtx, stopActors := context.WithCancel(context.WithoutCancel(ctx))
	defer stopActors()
	fleetListener, err := listener.New(listener.Config{
		Address: e.settings.Fleet, Log: e.log, Serve: e.serveAccepted,
		Link: e.linkConfig(),
	})
	if err != nil {
		return err
	}
	callerListener, err := net.Listen("tcp", e.settings.Callers)
	if err != nil {
		return errors.Wrapf(err, "listen for callers on %s; choose a free address", e.settings.Callers)
	}
	operatorListener, err := net.Listen("tcp", e.settings.Operators)
	if err != nil {
		return errors.Wrapf(err, "listen for operators on %s; choose a free address", e.settings.Operators)
	}
	operatorAPI, err := e.newOperatorAPI(operatorListener)
	if err != nil {
		return err
	}
	callers := accepter.New(callerListener, accepter.Config{
		Name: "callers", Limits: accepter.DefaultLimits(), CountBodies: true, Log: e.log,
	})
	e.metrics.PublishClients(map[string]meter.Clients{"callers": callers})
	group := supervisor.New(actorsCtx)
	group.Add(fleetListener.Run)
	group.Add(e.dispatcher.Run)
	group.Add(e.maintainLinks)
	group.Add(e.pollConfiguration)
	group.Add(e.pollVMs)
	group.Add(e.gossip)
	group.Add(supervisor.HTTP(supervisor.HTTPConfig{Listener: callers, Handler: e.http, Streams: true}))
	group.Add(operatorAPI.Run)
	group.Add(e.announceRevisions)
	group.Add(func(actorCtx context.Context) error { return e.awaitStop(ctx, actorCtx) })
	e.log.Event(logger.EventStarted).Str("callers", e.settings.Callers).Str("fleet", e.settings.Fleet).Send()
	err = group.Run()
	e.agents.Wait()
	e.entries.Wait()
	e.log.Event(logger.EventStopped).Send()
	return err
}

// awaitStop waits until ctx ends, which requests a graceful stop, then for notReadyDelay and until no request is open. Its
// return stops the other actors.
func (e *Entry) awaitStop(ctx, actorCtx context.Context) error {
	select {
	case <-actorCtx.Done():
		return nil
	case <-ctx.Done():
	}
	e.stopping.Store(true)
	e.log.Event(logger.EventStopping).Int("open", e.dispatcher.OpenRequests()).Send()
	if !waiter.For(actorCtx, notReadyDelay) {
		return nil
	}
	for e.dispatcher.OpenRequests() > 0 {
		if !waiter.For(actorCtx, drainInterval) {
			return nil
		}
	}
	return nil
}

func (e *Entry) hello() messenger.Hello {
	return messenger.Hello{
		Node: e.settings.Node, Role: identifier.RoleEntry, FailureDomain: e.settings.FailureDomain,
		Incarnation: e.incarnation, Address: e.settings.Advertise, Revision: e.store.Revision(),
	}
}

func (e *Entry) heartbeat() messenger.Heartbeat {
	return messenger.Heartbeat{Revision: e.store.Revision(), Suspicions: e.suspects.list()}
}
