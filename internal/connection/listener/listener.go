// Package listener accepts links from the other processes of the fleet.
package listener

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/process/logger"
)

// Config configures a listener.
type Config struct {
	// Address is the UDP address to listen on.
	Address string
	Link    linker.Config
	Log     *logger.Logger
	// Serve is called in a goroutine of its own for each accepted link and returns when the link is down.
	Serve func(ctx context.Context, link *linker.Link) error
}

// Listener accepts links on one UDP address.
type Listener struct {
	cfg  Config
	quic *quic.Listener
}

// New returns a Listener and opens its UDP socket.
func New(cfg Config) (*Listener, error) {
	q, err := quic.ListenAddr(cfg.Address, cfg.Link.Credentials.ServerTLS(), linker.QUICConfig())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on fleet address %s; choose a free address", cfg.Address)
	}
	return &Listener{cfg: cfg, quic: q}, nil
}

// Run accepts links until ctx ends. It returns after Serve has returned for all of them.
func (l *Listener) Run(ctx context.Context) error {
	var links sync.WaitGroup
	defer links.Wait()
	defer l.quic.Close()
	for {
		conn, err := l.quic.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept link")
		}
		links.Go(func() { l.serve(ctx, conn) })
	}
}

func (l *Listener) serve(ctx context.Context, conn *quic.Conn) {
	link, err := linker.Handshake(ctx, l.cfg.Link, conn, false)
	if err != nil {
		_ = conn.CloseWithError(0, "greeting failed")
		l.cfg.Log.Event(logger.EventLinkRefused).Stringer("address", conn.RemoteAddr()).AnErr("cause", err).Send()
		return
	}
	peer := string(link.Peer().Node)
	l.cfg.Log.Event(logger.EventLinkUp).Str("peer", peer).Stringer("address", conn.RemoteAddr()).Send()
	err = l.cfg.Serve(ctx, link)
	l.cfg.Log.Event(logger.EventLinkDown).Str("peer", peer).AnErr("cause", err).Send()
}
