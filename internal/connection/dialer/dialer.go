// Package dialer opens links to other processes and keeps them open.
package dialer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/process/logger"
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
		err := d.once(ctx, address)
		if ctx.Err() != nil {
			return
		}
		if time.Since(started) > dialTimeout+maxBackoff {
			backoff = firstBackoff
		}
		d.cfg.Log.Event(logger.EventLinkDown).Str("address", address).AnErr("cause", err).Send()
		pause(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// once dials and serves one connection. Every connection has its own UDP socket, so that a path element that
// has lost track of the old flow sees a new one.
func (d *Dialer) once(ctx context.Context, address string) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := quic.DialAddr(dialCtx, address, d.cfg.Link.Credentials.ClientTLS(), linker.QUIC())
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	link, err := linker.Greet(dialCtx, d.cfg.Link, conn, true)
	if err != nil {
		_ = conn.CloseWithError(0, "greeting failed")
		return err
	}
	d.cfg.Log.Event(logger.EventLinkUp).Str("peer", string(link.Peer().Node)).Str("address", address).Send()
	return d.cfg.Serve(ctx, link)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
