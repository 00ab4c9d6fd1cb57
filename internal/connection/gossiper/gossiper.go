// Package gossiper exchanges the states of gateways in UDP datagrams. Which gateways exchange what is decided by
// federator. Lost datagrams do no harm, since each carries complete states.
package gossiper

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/federator"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/waiter"
)

const (
	// sendInterval is the time between two rounds; the choice of an upstream tolerates counts that are a few requests
	// old.
	sendInterval = 200 * time.Millisecond
	// minUrgentInterval bounds the rounds that news of other gateways cause.
	minUrgentInterval = 20 * time.Millisecond
	// maxDatagramBytes bounds a received datagram.
	maxDatagramBytes = 64 << 10
	// receiveRetryInterval is the time before the next read after a failed one.
	receiveRetryInterval = 10 * time.Millisecond
)

// Config sets up a Gossiper.
type Config struct {
	Node          identifier.Node
	FailureDomain identifier.FailureDomain
	LinkSpeed     identifier.Mbps
	// Listen is the UDP address of this gateway; peers listen on the same port.
	Listen string
	// Seeds are IP addresses of possible peers.
	Seeds []string
	// FillState fills in the state to send. A complete state also holds what is sent seldom.
	FillState func(s *federator.State, complete bool)
	// OnEvent is called with what the gateway learns from others.
	OnEvent func(federator.Event)
}

// Gossiper sends the state of a gateway and receives those of others. Its methods may be called concurrently.
type Gossiper struct {
	cfg         Config
	conn        *net.UDPConn
	port        string
	incarnation identifier.Incarnation

	mu        sync.Mutex
	federator *federator.Federator
	// urgentAt is when the last round took place that news of other gateways caused.
	urgentAt time.Time
}

// New returns a Gossiper and opens its UDP socket.
func New(cfg Config) (*Gossiper, error) {
	address, err := net.ResolveUDPAddr("udp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve the datagram address %s", cfg.Listen)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", cfg.Listen)
	}
	_, port, _ := net.SplitHostPort(cfg.Listen)
	incarnation := identifier.NewIncarnation(time.Now())
	g := &Gossiper{
		cfg:         cfg,
		conn:        conn,
		port:        port,
		incarnation: incarnation,
		federator: federator.New(federator.Config{
			Node: cfg.Node, FailureDomain: cfg.FailureDomain, LinkSpeed: cfg.LinkSpeed, Address: cfg.Listen,
			Incarnation: incarnation,
		}),
	}
	for _, host := range cfg.Seeds {
		g.Add(host)
	}
	return g, nil
}

// Add adds the IP address of a possible peer.
func (g *Gossiper) Add(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.federator.Add(time.Now(), net.JoinHostPort(host, g.port))
}

// Run sends and receives until the context ends, then closes the socket.
func (g *Gossiper) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = g.conn.Close() })
	defer stop()
	go g.send(ctx)
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// An error concerns one datagram, such as the refused port of a restarting peer; later ones may succeed.
			waiter.For(ctx, receiveRetryInterval)
			continue
		}
		g.receive(from, buffer[:n])
	}
}

// receive handles one datagram.
func (g *Gossiper) receive(from netip.AddrPort, raw []byte) {
	now := time.Now()
	d, err := decode(now, raw)
	if err != nil {
		return
	}
	source := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
	g.mu.Lock()
	replies, urgent := g.federator.Receive(now, source, d)
	urgent = urgent && now.Sub(g.urgentAt) >= minUrgentInterval
	if urgent {
		g.urgentAt = now
	}
	events := g.federator.TakeEvents()
	g.mu.Unlock()
	g.deliver(events)
	if len(replies) > 0 {
		g.reply(replies)
	}
	if urgent {
		g.Broadcast()
	}
}

func (g *Gossiper) deliver(events []federator.Event) {
	if g.cfg.OnEvent == nil {
		return
	}
	for _, e := range events {
		g.cfg.OnEvent(e)
	}
}

// reply answers greetings.
func (g *Gossiper) reply(addresses []string) {
	var state federator.State
	// Greetings come from gateways that start or were cut off.
	g.cfg.FillState(&state, true)
	now := time.Now()
	for _, address := range addresses {
		g.mu.Lock()
		d := g.federator.Reply(now, address, state)
		g.mu.Unlock()
		g.write(now, federator.Outgoing{Addresses: []string{address}, Datagram: d})
	}
}

func (g *Gossiper) send(ctx context.Context) {
	for {
		g.Broadcast()
		if !waiter.For(ctx, sendInterval) {
			return
		}
	}
}

// Broadcast sends a round of datagrams immediately.
func (g *Gossiper) Broadcast() {
	var state federator.State
	g.cfg.FillState(&state, false)
	now := time.Now()
	g.mu.Lock()
	round := g.federator.Compose(now, state)
	events := g.federator.TakeEvents()
	g.mu.Unlock()
	for _, o := range round {
		g.write(now, o)
	}
	g.deliver(events)
}

// write sends a datagram to its receivers. Errors are ignored, as lost datagrams are.
func (g *Gossiper) write(now time.Time, o federator.Outgoing) {
	raw, err := encode(now, o.Datagram)
	if err != nil {
		return
	}
	for _, a := range o.Addresses {
		if address, err := netip.ParseAddrPort(a); err == nil {
			_, _ = g.conn.WriteToUDPAddrPort(raw, address)
		}
	}
}

// RecordOpening records that requests of this gateway showed that a closed group works again.
func (g *Gossiper) RecordOpening(group identifier.GroupID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.federator.RecordOpening(time.Now(), group)
}

// RecordSlowing records that streams of this gateway showed that the passes of a group have become slower.
func (g *Gossiper) RecordSlowing(group identifier.GroupID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.federator.RecordSlowing(time.Now(), group)
}

// Incarnation returns the incarnation of this gateway.
func (g *Gossiper) Incarnation() identifier.Incarnation {
	return g.incarnation
}

// IsRelay reports whether this gateway is a relay of its failure domain.
func (g *Gossiper) IsRelay() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.federator.IsRelay()
}

// Peers returns the gateways of the own failure domain, silent ones included until they are removed, and the leader of
// the expert maps if it is in another domain.
func (g *Gossiper) Peers() []federator.Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.federator.Peers()
}

// Summaries returns the best known summary of each other failure domain.
func (g *Gossiper) Summaries() []federator.Summary {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.federator.Summaries(time.Now())
}
