package supervisor

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// headerTimeout bounds the time to read the header of a request.
const headerTimeout = 10 * time.Second

// HTTP returns an actor that serves HTTP on a listener. When its context ends, it closes the listener and all connections
// without completing open requests.
func HTTP(l net.Listener, handler http.Handler) Actor {
	return func(ctx context.Context) error {
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve HTTP")
		}
		return nil
	}
}
