package gatewayrunner

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/accepter"
	"currantledge.example/currantledge/internal/connection/inquirer"
	"currantledge.example/currantledge/internal/connection/relayer"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/meter"
	"currantledge.example/currantledge/internal/process/supervisor"
	"currantledge.example/currantledge/platform"
)

const (
	// rotationDelay is how long the platform's load balancer needs to take a VM that is not ready out of rotation: two
	// checks, one per second.
	rotationDelay = 2500 * time.Millisecond
	// graceMargin is the part of the platform's grace period that is reserved for the exit of the process itself.
	graceMargin = 600 * time.Millisecond
	// finalResponseTime is the time before that for the responses to the requests that are then still open.
	finalResponseTime = 400 * time.Millisecond
)

// run opens the listeners and runs all components. When the context ends, it stops them gracefully.
func (g *gateway) run(ctx context.Context, settingsPath string) error {
	clientListener, err := g.listen(g.settings.ClientAddress)
	if err != nil {
		return err
	}
	readyListener, err := g.listen(g.settings.ReadyAddress)
	if err != nil {
		return errors.CombineErrors(err, clientListener.Close())
	}
	controlListener, err := g.listen(g.settings.ControlAddress)
	if err != nil {
		return errors.CombineErrors(err, errors.CombineErrors(clientListener.Close(), readyListener.Close()))
	}
	// The actors continue after the signal to stop, so that open requests are completed.
	actorCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group := supervisor.New(actorCtx)
	draining := newDrainingListener(clientListener)
	clients := g.acceptClients(draining)
	ready := g.accept("ready", readyListener, g.limits.others)
	control := g.accept("control", controlListener, g.limits.others)
	g.publishClients(clients, ready, control)
	group.Add(g.serveClients(ctx, draining, clients))
	group.Add(supervisor.HTTP(supervisor.HTTPConfig{Listener: ready, Handler: http.HandlerFunc(g.serveReady)}))
	group.Add(supervisor.HTTP(supervisor.HTTPConfig{Listener: control, Handler: g.controlHandler()}))
	group.Add(g.gossiper.Run)
	group.Add(g.operatorFollower.Run)
	group.Add(g.upstreamFollower.Run)
	group.Add(g.applyTables)
	group.Add(g.tick)
	group.Add(g.pullRetained)
	group.Add(g.maintainNodeRow)
	group.Add(g.maintainCrashRows)
	group.Add(g.leader.RunLease)
	group.Add(g.leader.Run)
	group.Add(g.watchSettings(settingsPath))
	err = group.Run()
	g.log.Event(logger.EventStopped).AnErr("error", err).Send()
	return err
}

// serveReady answers the readiness checks of the platform. The gateway is ready while it has a configuration and the list
// of upstreams and is not stopping.
func (g *gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath {
		http.NotFound(w, r)
		return
	}
	ready := g.servedFleet().Catalogue != nil && g.hasUpstreams.Load() && !g.isStopping()
	if g.ready.Swap(ready) != ready {
		g.log.Event(logger.EventReadyChanged).Bool("ready", ready).Send()
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (g *gateway) isStopping() bool {
	select {
	case <-g.stopping:
		return true
	default:
		return false
	}
}

func (g *gateway) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(relayer.Path, relayer.Handler(g.replicator))
	mux.Handle(inquirer.Path, inquirer.Handler(g.where))
	mux.Handle("/metrics", meter.Handler())
	return mux
}

// serveClients returns an actor that serves clients until stopCtx ends, then completes the open requests within the grace
// period. clients accepts the connections of l.
func (g *gateway) serveClients(stopCtx context.Context, l *drainingListener, clients *accepter.Listener) supervisor.Actor {
	return func(ctx context.Context) error {
		accepted := newConnections()
		server := &http.Server{
			ConnState:         accepted.observe,
			ConnContext:       withConnection,
			Handler:           accepted.handler(g.forwarder),
			ReadHeaderTimeout: maxHeaderTimeout,
			IdleTimeout:       maxIdleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		}
		clients.Install(server)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			select {
			case <-ctx.Done():
				_ = server.Close()
			case <-stopCtx.Done():
				g.stop(ctx, server, l, accepted)
			}
		}()
		err := server.Serve(clients)
		accepted.complete()
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "serve clients")
		}
		<-stopped
		return nil
	}
}

// stop takes the gateway out of rotation, then closes each client connection when its request ends. Requests that would
// not be complete in time are refused from the beginning, and those that are open shortly before the end of the grace
// period get a response that says whether they may have run.
func (g *gateway) stop(ctx context.Context, server *http.Server, l *drainingListener, accepted *connections) {
	started := time.Now()
	close(g.stopping)
	g.log.Event(logger.EventStopping).Send()
	g.gossiper.Broadcast()
	grace := max(g.settings.Bounds.Grace-graceMargin, 0)
	ending := started.Add(grace - min(finalResponseTime, grace/4))
	g.admitter.StopAt(started, ending)
	endRequests := time.AfterFunc(time.Until(ending), g.endRequests)
	defer endRequests.Stop()
	// A short grace period leaves half of its time to the open requests.
	rotation := time.NewTimer(min(rotationDelay, grace/2))
	defer rotation.Stop()
	select {
	case <-ctx.Done():
	case <-rotation.C:
	}
	if err := l.Drain(); err != nil {
		g.log.Event(logger.EventListenerNotDrained).AnErr("error", err).Send()
	}
	// net/http closes connections without a response if it has not called the handler of their first request when its
	// shutdown starts.
	accepted.waitForRequests(ctx, min(maxFirstRequestWait, grace/4))
	deadline := started.Add(grace)
	shutdownCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		_ = server.Close()
	}
}

// watchSettings returns an actor that reads the settings again after SIGHUP and when the file changes without a signal.
// It also closes expired connections to upstreams.
func (g *gateway) watchSettings(path string) supervisor.Actor {
	return func(ctx context.Context) error {
		hangups := make(chan os.Signal, 1)
		signal.Notify(hangups, syscall.SIGHUP)
		defer signal.Stop(hangups)
		ticker := time.NewTicker(housekeepingInterval)
		defer ticker.Stop()
		modified := modTime(path)
		for {
			signalled := false
			select {
			case <-ctx.Done():
				return nil
			case <-hangups:
				signalled = true
			case now := <-ticker.C:
				g.requester.CloseExpired(now)
			}
			if at := modTime(path); signalled || !at.Equal(modified) {
				modified = at
				g.reloadSettings(path, signalled)
			}
		}
	}
}

// modTime returns the modification time of a file, or the zero time if it cannot be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reloadSettings reads the settings and adds new seeds. Changed addresses and bounds take effect after a restart only.
func (g *gateway) reloadSettings(path string, signalled bool) {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		g.log.Event(logger.EventSettingsReloaded).Bool("signalled", signalled).AnErr("error", err).Send()
		return
	}
	for _, host := range g.seedHosts(settings) {
		g.gossiper.Add(host)
	}
	g.log.Event(logger.EventSettingsReloaded).Bool("signalled", signalled).Int("seeds", len(settings.Seeds)).Send()
}
