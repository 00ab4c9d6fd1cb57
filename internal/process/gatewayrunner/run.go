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

	"currantledge.example/currantledge/internal/connection/relayer"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/meter"
	"currantledge.example/currantledge/internal/process/supervisor"
	"currantledge.example/currantledge/platform"
)

const (
	// rotationTime is how long the platform's balancer needs to take a VM that is not ready out of rotation: two checks,
	// one a second.
	rotationTime = 2500 * time.Millisecond
	// graceMargin is kept from the grace that the platform gives, for the end of the process itself.
	graceMargin = 600 * time.Millisecond
)

// run starts all parts and stops them once the context ends.
func (g *gateway) run(ctx context.Context, settingsPath string) error {
	callers, err := g.listen(g.settings.CallerAddress)
	if err != nil {
		return err
	}
	ready, err := g.listen(g.settings.ReadyAddress)
	if err != nil {
		return errors.CombineErrors(err, callers.Close())
	}
	control, err := g.listen(g.settings.ControlAddress)
	if err != nil {
		return errors.CombineErrors(err, errors.CombineErrors(callers.Close(), ready.Close()))
	}
	// The parts outlive the signal, so that open requests are still served while the process stops.
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group := supervisor.New(inner)
	group.Add(g.serveClients(ctx, callers))
	group.Add(supervisor.HTTP(ready, http.HandlerFunc(g.answerReady)))
	group.Add(supervisor.HTTP(control, g.controlHandler()))
	group.Add(g.gossiper.Run)
	group.Add(g.operators.Run)
	group.Add(g.upstreams.Run)
	group.Add(g.takeOver)
	group.Add(g.tick)
	group.Add(g.announce)
	group.Add(g.leader.RunLease)
	group.Add(g.leader.Run)
	group.Add(g.reload(settingsPath))
	err = group.Run()
	g.log.Event(logger.EventStopped).AnErr("error", err).Send()
	return err
}

// answerReady tells the platform whether this gateway can serve new clients.
func (g *gateway) answerReady(w http.ResponseWriter, r *http.Request) {
	ready := r.URL.Path == platform.ReadyPath && g.replicated() && !g.isStopping()
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
	mux.Handle("/metrics", meter.Handler())
	return mux
}

// serveClients serves until the signal, then lets the open requests end within the grace.
func (g *gateway) serveClients(signalled context.Context, l net.Listener) supervisor.Actor {
	return func(ctx context.Context) error {
		server := &http.Server{
			Handler:           g.clientHandler(),
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeader,
		}
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			select {
			case <-ctx.Done():
				_ = server.Close()
			case <-signalled.Done():
				g.stop(ctx, server)
			}
		}()
		err := server.Serve(l)
		if !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve clients")
		}
		<-stopped
		return nil
	}
}

// stop takes the gateway out of rotation, then closes connections as their requests end.
func (g *gateway) stop(ctx context.Context, server *http.Server) {
	begun := time.Now()
	close(g.stopping)
	g.log.Event(logger.EventStopping).Send()
	g.gossiper.Broadcast()
	rotated := time.NewTimer(rotationTime)
	defer rotated.Stop()
	select {
	case <-ctx.Done():
	case <-rotated.C:
	}
	deadline := begun.Add(g.settings.Bounds.Grace - graceMargin)
	closing, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := server.Shutdown(closing); err != nil {
		_ = server.Close()
	}
}

// reload reads the settings again after SIGHUP and when the file changes without a signal.
func (g *gateway) reload(path string) supervisor.Actor {
	return func(ctx context.Context) error {
		hangups := make(chan os.Signal, 1)
		signal.Notify(hangups, syscall.SIGHUP)
		defer signal.Stop(hangups)
		ticker := time.NewTicker(sweepInterval)
		defer ticker.Stop()
		changed := modified(path)
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
			if at := modified(path); signalled || !at.Equal(changed) {
				changed = at
				g.reloadSettings(path, signalled)
			}
		}
	}
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reloadSettings takes over new seeds. Addresses and bounds hold for the life of a process.
func (g *gateway) reloadSettings(path string, signalled bool) {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		g.log.Event(logger.EventSettingsRead).Bool("signalled", signalled).AnErr("error", err).Send()
		return
	}
	for _, host := range g.seedHosts(settings) {
		g.gossiper.Add(host)
	}
	g.log.Event(logger.EventSettingsRead).Bool("signalled", signalled).Int("seeds", len(settings.Seeds)).Send()
}
