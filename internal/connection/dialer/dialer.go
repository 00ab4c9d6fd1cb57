// Package dialer opens links to other processes and keeps them open.
package dialer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/waiter"
)

const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	dialTimeout  = 2 * time.Second
)

// Config holds what a dialer needs.
type Config struct {
	Link linker.Config
	Log  *logger.Logger
	// Listen is the node's own fleet address. Connections come from its IP address, so that peers and networks see
	// one address for each node.
	Listen string
	// Serve uses an established link until it is down.
	Serve func(ctx context.Context, link *linker.Link) error
}

// Dialer keeps one link to each wanted address.
type Dialer struct {
	cfg Config

	mu     sync.Mutex
	wanted map[string]context.CancelFunc
	parts  sync.WaitGroup
}

// New returns a dialer without links.
func New(cfg Config) *Dialer {
	return &Dialer{cfg: cfg, wanted: map[string]context.CancelFunc{}}
}

// Want sets the addresses to hold links to. Links to other addresses are closed.
func (d *Dialer) Want(ctx context.Context, addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	keep := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		keep[address] = true
		if _, ok := d.wanted[address]; ok {
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		d.wanted[address] = cancel
		d.parts.Go(func() { d.maintain(linkCtx, address) })
	}
	for address, cancel := range d.wanted {
		if !keep[address] {
			cancel()
			delete(d.wanted, address)
		}
	}
}

// Wait returns after all links are closed, once their contexts have ended.
func (d *Dialer) Wait() {
	d.parts.Wait()
}

func (d *Dialer) maintain(ctx context.Context, address string) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		started := time.Now()
		up, err := d.once(ctx, address)
		if ctx.Err() != nil {
			return
		}
		event := logger.EventDialFailed
		if up {
			event = logger.EventLinkDown
		}
		if time.Since(started) > dialTimeout+maxBackoff {
			backoff = firstBackoff
		}
		d.cfg.Log.Event(event).Str("address", address).AnErr("cause", err).Send()
		waiter.For(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// once dials and serves one connection. Every connection has its own UDP socket, so that a path element that
// has lost track of the old flow sees a new one. It tells whether the link was established.
func (d *Dialer) once(ctx context.Context, address string) (bool, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	transport, err := d.open()
	if err != nil {
		return false, err
	}
	defer closeTransport(transport)
	peer, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return false, errors.Wrapf(err, "read address %s; write it as IP:port", address)
	}
	conn, err := transport.Dial(dialCtx, peer, d.cfg.Link.Credentials.ClientTLS(), linker.QUIC())
	if err != nil {
		return false, errors.Wrap(err, "dial")
	}
	link, err := linker.Greet(dialCtx, d.cfg.Link, conn, true)
	if err != nil {
		_ = conn.CloseWithError(0, "greeting failed")
		return false, err
	}
	d.cfg.Log.Event(logger.EventLinkUp).Str("peer", string(link.Peer().Node)).Str("address", address).Send()
	return true, d.cfg.Serve(ctx, link)
}

// open opens a socket on a free port of the node's own address.
func (d *Dialer) open() (*quic.Transport, error) {
	host, _, err := net.SplitHostPort(d.cfg.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "read fleet address %s; write it as IP:port", d.cfg.Listen)
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host)})
	if err != nil {
		return nil, errors.Wrap(err, "open a UDP socket for a link")
	}
	return &quic.Transport{Conn: socket}, nil
}

func closeTransport(t *quic.Transport) {
	// Both are used by nothing else any more; errors change nothing.
	_ = t.Close()
	_ = t.Conn.Close()
}
