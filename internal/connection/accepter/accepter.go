// Package accepter accepts the connections of clients and counts what each makes the process hold: the connection itself,
// its heads while they arrive and after parsing, and its bodies. The decisions are those of the shedder.
package accepter

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/shedder"
	"currantledge.example/currantledge/internal/process/logger"
)

const (
	// byteCost and fieldCost are what a byte and a field of a head take: a parsed head of 16 KiB in fields of 6 bytes took
	// 100 bytes a field, and the head for the upstream holds each field again.
	byteCost  = 2
	fieldCost = 160
	// headSlack is what may be read beyond a head: a buffer of the HTTP server.
	headSlack = 4 << 10
	// defaultHeaderBytes is the limit of heads without a configuration.
	defaultHeaderBytes = 16 << 10
	// defaultBodyTimeout is how long a body may take whose request has set no other time.
	defaultBodyTimeout = 30 * time.Second
	// checkInterval is the time between two checks for heads and bodies that did not arrive in time.
	checkInterval = 500 * time.Millisecond
	// reportInterval is the time between two log lines about what was closed and refused.
	reportInterval = 5 * time.Second
	// refusalTimeout bounds the write of a refusal by the listener itself. It fits the socket's buffer unless the client
	// reads nothing.
	refusalTimeout = 50 * time.Millisecond
)

// ErrNoRoom means that a request was not read further, since there is no room for it beside others.
var ErrNoRoom = errors.New("there is no room for the request")

var errHeadTooLarge = errors.New("the head is too large")

// Responses of the listener itself, which no handler has seen the request of.
var (
	refusal = plainResponse("503 Service Unavailable", "Retry-After: 0.300\r\n", "The request was not run: too many are arriving.\n")
	// headTooLarge is the response to a head beyond the limit.
	headTooLarge = plainResponse("431 Request Header Fields Too Large", "", "The head is too large.\n")
)

func plainResponse(status, fields, text string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, fields, len(text), text)
}

// totals are the decisions of a listener.
type totals struct{ shed, refused, oversized, expired int64 }

// Config sets up a Listener.
type Config struct {
	// Name is the name of the listener in the log.
	Name   string
	Limits shedder.Limits
	// HeaderBytes returns the limit of heads; 16 KiB if it is nil or returns no limit. A head may have the limit that holds
	// when it begins or when it exceeds that, whichever is larger, so that no client is refused what a configuration allows.
	HeaderBytes func() int
	// Timeouts returns how long a head may take, and how long a connection may be idle, at present. Without it, or if they are
	// 0, only those of the server hold.
	Timeouts func() (head, idle time.Duration)
	// CountBodies makes the listener count the bodies of requests. Handlers that count them do not need it.
	CountBodies bool
	Log         *logger.Logger
}

// Listener accepts the connections of clients.
type Listener struct {
	net.Listener
	cfg       Config
	shedder   *shedder.Shedder
	oversized atomic.Int64
	// reported are the totals of the last report; only watch uses it.
	reported totals
	closing  sync.Once
	closed   chan struct{}
}

// New returns a Listener that accepts the connections of another one, and starts its checks, which end when it and all of its
// connections are closed.
func New(inner net.Listener, cfg Config) *Listener {
	if cfg.Log == nil {
		cfg.Log = logger.Discard()
	}
	l := &Listener{Listener: inner, cfg: cfg, shedder: shedder.New(cfg.Limits), closed: make(chan struct{})}
	go l.watch()
	return l
}

// Install makes a server report the states of its connections to the listener.
func (l *Listener) Install(server *http.Server) {
	previousState, previousContext, handler := server.ConnState, server.ConnContext, server.Handler
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := c.(*connection); ok {
			switch state {
			case http.StateActive:
				// The head has been read, or is malformed.
				own.headDone = true
			case http.StateIdle:
				own.endRequest()
			case http.StateNew, http.StateHijacked, http.StateClosed:
			}
		}
		if previousState != nil {
			previousState(c, state)
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if previousContext != nil {
			ctx = previousContext(ctx, c)
		}
		return context.WithValue(ctx, contextKey{}, c)
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(contextKey{}).(*connection)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		counted, ok := c.beginRequest(r)
		if !ok {
			refuse(w)
			return
		}
		handler.ServeHTTP(w, counted)
	})
}

// refuse refuses a request that no other handler has seen.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", "0.300")
	http.Error(w, "The request was not run: there is no memory for it. Send it again after the time in Retry-After.", http.StatusServiceUnavailable)
}

// Accept returns the next connection that there is room for.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &connection{Conn: raw, listener: l}
		// Other connections may shed this one before its holder is set; Shed does not use it.
		var ok bool
		if c.holder, ok = l.shedder.Open(time.Now(), c); ok {
			return c, nil
		}
		c.respond(refusal)
		_ = raw.Close()
	}
}

// headLimit returns how many bytes may be read for a head at present.
func (l *Listener) headLimit() int {
	if l.cfg.HeaderBytes != nil {
		if n := l.cfg.HeaderBytes(); n > 0 {
			return n + headSlack
		}
	}
	return defaultHeaderBytes + headSlack
}

// Close closes the listener. Its connections remain open.
func (l *Listener) Close() error {
	l.closing.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Connections returns the number of open connections.
func (l *Listener) Connections() int64 {
	return int64(l.shedder.Connections())
}

// Bytes returns what the connections take.
func (l *Listener) Bytes() int64 {
	return l.shedder.Sum()
}

// Shed returns the connections that were closed, or whose requests were refused, for others.
func (l *Listener) Shed() int64 {
	return l.shedder.Counts().Shed
}

// Refused returns the connections and requests that there was no room for.
func (l *Listener) Refused() int64 {
	return l.shedder.Counts().Refused
}

// Oversized returns the heads beyond the limit.
func (l *Listener) Oversized() int64 {
	return l.oversized.Load()
}

// Expired returns the heads and bodies that did not arrive in time.
func (l *Listener) Expired() int64 {
	return l.shedder.Counts().Expired
}

// totals returns the decisions since the start.
func (l *Listener) totals() totals {
	return totals{shed: l.Shed(), refused: l.Refused(), oversized: l.Oversized(), expired: l.Expired()}
}

// watch ends the heads and bodies that did not arrive in time, and reports, until the listener and its connections are closed. A
// planned stop closes the listener first and then waits for the open requests.
func (l *Listener) watch() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	reportedAt := time.Now()
	closed, isClosed := l.closed, false
	for {
		select {
		case <-closed:
			closed, isClosed = nil, true
		case now := <-ticker.C:
			l.shedder.Expire(now, l.timeouts())
			if now.Sub(reportedAt) >= reportInterval {
				reportedAt = now
				l.report()
			}
		}
		if isClosed && l.Connections() == 0 {
			return
		}
	}
}

// timeouts returns the present times after which the shedder closes connections.
func (l *Listener) timeouts() shedder.Timeouts {
	if l.cfg.Timeouts == nil {
		return shedder.Timeouts{}
	}
	head, idle := l.cfg.Timeouts()
	return shedder.Timeouts{Head: head, Idle: idle}
}

// report logs what has been decided since the last report.
func (l *Listener) report() {
	t, last := l.totals(), l.reported
	if t == last {
		return
	}
	l.reported = t
	l.cfg.Log.Event(logger.EventClientsLimited).Str("listener", l.cfg.Name).Int64("shed", t.shed-last.shed).
		Int64("refused", t.refused-last.refused).Int64("oversized", t.oversized-last.oversized).
		Int64("expired", t.expired-last.expired).Int64("connections", l.Connections()).Int64("bytes", l.Bytes()).
		Int("maxConnections", l.cfg.Limits.Connections).Int64("maxBytes", l.cfg.Limits.Bytes).Send()
}

// contextKey is the key of the connection in the context of its requests.
type contextKey struct{}

// HolderOf returns what counts the connection of a request, or nil if it came from no Listener.
func HolderOf(ctx context.Context) *shedder.Holder {
	if c, ok := ctx.Value(contextKey{}).(*connection); ok {
		return c.holder
	}
	return nil
}
