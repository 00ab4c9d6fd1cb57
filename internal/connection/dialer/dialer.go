// Package dialer keeps links to a set of addresses open. It dials again with exponential backoff when a link fails.
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
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	dialTimeout    = 2 * time.Second
)

// Config configures a dialer.
type Config struct {
	Link linker.Config
	Log  *logger.Logger
	// Listen is the node's own fleet address. Connections are opened from its IP address, so that peers and networks see
	// one address for each node.
	Listen string
	// Serve is called with each established link and returns when the link is down.
	Serve func(ctx context.Context, link *linker.Link) error
}

// Dialer keeps one link to each address of a set. Its methods may be called concurrently.
type Dialer struct {
	cfg Config

	mu sync.Mutex
	// cancels holds, for each address, the function that closes its link and stops dialling it.
	cancels map[string]context.CancelFunc
	links   sync.WaitGroup
}

// New returns a dialer without addresses.
func New(cfg Config) *Dialer {
	return &Dialer{cfg: cfg, cancels: map[string]context.CancelFunc{}}
}

// SetAddresses sets the addresses to keep links to. Links to other addresses are closed. A new link also closes when ctx
// ends.
func (d *Dialer) SetAddresses(ctx context.Context, addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	keep := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		keep[address] = true
		if _, ok := d.cancels[address]; ok {
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		d.cancels[address] = cancel
		d.links.Go(func() { d.maintain(linkCtx, address) })
	}
	for address, cancel := range d.cancels {
		if !keep[address] {
			cancel()
			delete(d.cancels, address)
		}
	}
}

// Wait waits until all links are closed. It is called after the contexts of SetAddresses have ended.
func (d *Dialer) Wait() {
	d.links.Wait()
}

// maintain keeps a link to an address open until ctx ends.
func (d *Dialer) maintain(ctx context.Context, address string) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		started := time.Now()
		up, err := d.connect(ctx, address)
		if ctx.Err() != nil {
			return
		}
		event := logger.EventDialFailed
		if up {
			event = logger.EventLinkDown
		}
		// The backoff starts anew after a link that was up for longer than a failed attempt takes.
		if time.Since(started) > dialTimeout+maxBackoff {
			backoff = initialBackoff
		}
		d.cfg.Log.Event(event).Str("address", address).AnErr("cause", err).Send()
		waiter.For(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// connect dials and serves one connection and reports whether the link was established. Every connection has its own UDP
// socket, so that a network device that has lost the state of the old flow sees a new one.
func (d *Dialer) connect(ctx context.Context, address string) (bool, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	transport, err := d.openTransport()
	if err != nil {
		return false, err
	}
	defer closeTransport(transport)
	peer, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return false, errors.Wrapf(err, "resolve address %s; write it as IP:port", address)
	}
	conn, err := transport.Dial(dialCtx, peer, d.cfg.Link.Credentials.ClientTLS(), linker.QUICConfig())
	if err != nil {
		return false, errors.Wrap(err, "dial")
	}
	link, err := linker.Handshake(dialCtx, d.cfg.Link, conn, true)
	if err != nil {
		_ = conn.CloseWithError(0, "greeting failed")
		return false, err
	}
	d.cfg.Log.Event(logger.EventLinkUp).Str("peer", string(link.Peer().Node)).Str("address", address).Send()
	return true, d.cfg.Serve(ctx, link)
}

// openTransport opens a UDP socket on a free port of the node's own IP address.
func (d *Dialer) openTransport() (*quic.Transport, error) {
	host, _, err := net.SplitHostPort(d.cfg.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "parse fleet address %s; write it as IP:port", d.cfg.Listen)
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host)})
	if err != nil {
		return nil, errors.Wrap(err, "open a UDP socket for a link")
	}
	return &quic.Transport{Conn: socket}, nil
}

func closeTransport(t *quic.Transport) {
	// Errors have no effect, since nothing else uses the transport and its socket.
	_ = t.Close()
	_ = t.Conn.Close()
}
