package gatewayrunner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/waiter"
)

const (
	// maxFirstRequestWait bounds the wait for the first requests of accepted connections: clients send them at once.
	maxFirstRequestWait = 500 * time.Millisecond
	// firstRequestCheckInterval is the time between two checks whether all of these have arrived.
	firstRequestCheckInterval = 10 * time.Millisecond
)

// connections holds the client connections whose first request has not reached its handler yet.
type connections struct {
	mu    sync.Mutex
	early map[net.Conn]bool
	// accepted is closed once the listener's last connection is held.
	accepted chan struct{}
}

func newConnections() *connections {
	return &connections{early: map[net.Conn]bool{}, accepted: make(chan struct{})}
}

// observe records the state of a connection.
func (c *connections) observe(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.early[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(c.early, conn)
	case http.StateActive:
		// The limit of the previous request does not apply to the response to a malformed one.
		_ = conn.SetWriteDeadline(time.Time{})
	case http.StateIdle:
	}
}

// complete records that no more connections will be accepted.
func (c *connections) complete() {
	close(c.accepted)
}

// connectionKey is the key of the connection in the context of its requests.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// handler returns a handler that records the connection of each request before it calls another handler.
func (c *connections) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connectionKey{}).(net.Conn); ok {
			c.mu.Lock()
			delete(c.early, conn)
			c.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

// waitForRequests waits until the first requests of all connections have reached their handler, or for a time. The
// listener must be closed.
func (c *connections) waitForRequests(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-c.accepted:
	}
	for {
		c.mu.Lock()
		early := len(c.early)
		c.mu.Unlock()
		if early == 0 || !waiter.For(ctx, firstRequestCheckInterval) {
			return
		}
	}
}
