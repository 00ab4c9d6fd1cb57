package supervisor

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/accepter"
)

const (
	// headerTimeout bounds the time to read the header of a request.
	headerTimeout = 10 * time.Second
	// exchangeTimeout bounds the time to read a request and to write the response, if responses do not stream.
	exchangeTimeout = 10 * time.Second
	// idleTimeout bounds the time that a connection waits for the next request. Clients reuse connections for less.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 16 << 10
)

// HTTPConfig sets up an HTTP actor.
type HTTPConfig struct {
	Listener *accepter.Listener
	Handler  http.Handler
	// Streams is set if responses may take longer than exchangeTimeout. The listener then bounds the time of bodies.
	Streams bool
}

// HTTP returns an actor that serves HTTP on a listener. When its context ends, it closes the listener and all connections
// without completing open requests.
func HTTP(cfg HTTPConfig) Actor {
	return func(ctx context.Context) error {
		server := &http.Server{
			Handler: cfg.Handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		}
		if !cfg.Streams {
			server.ReadTimeout, server.WriteTimeout = exchangeTimeout, exchangeTimeout
		}
		cfg.Listener.Install(server)
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(cfg.Listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve HTTP")
		}
		return nil
	}
}
