// Package gossiper exchanges the state of gateways: what each of them runs and which table versions it has. Gateways
// send it to each other in UDP datagrams. Lost datagrams do no harm, since each carries the complete state.
package gossiper

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/replicator"
)

const (
	// sendInterval is the time between two datagrams of a gateway to its peers; the choice of an upstream tolerates counts
	// that are a few requests old.
	sendInterval = 200 * time.Millisecond
	// silentAfter is how long no datagram of a peer may arrive before its counts are no longer used: five lost datagrams
	// in a row.
	silentAfter = time.Second
	// removeAfter is the time without a datagram after which a peer or an address is removed. Until then a silent peer
	// still counts as one of the gateways that share a budget, so that shares do not grow while gateways are partitioned
	// or restarted.
	removeAfter = 15 * time.Second
	// maxDatagramBytes bounds a received datagram.
	maxDatagramBytes = 16 << 10
	// maxSentPeers is how many known addresses a datagram carries.
	maxSentPeers = 8
)

// State is the state of a gateway that it sends to its peers.
type State struct {
	Node          identifier.Node
	FailureDomain identifier.FailureDomain
	// Address is where the gateway receives datagrams, and ControlAddress is where it serves table rows.
	Address        string
	ControlAddress string
	// Incarnation grows with each restart, and Sequence orders the datagrams of one incarnation.
	Incarnation identifier.Incarnation
	Sequence    uint64
	// Versions holds the highest row version of each table.
	Versions map[replicator.Table]uint64
	// Running counts the requests that the gateway runs on each upstream.
	Running map[identifier.Upstream]int
	// Stopping is set while the gateway stops and accepts no new clients.
	Stopping bool
	// Leading is set for the leader of the expert maps. Only the leader sends Groups: whether the group of each service
	// is open.
	Leading bool
	Groups  map[identifier.Service]bool
	// GroupsOpened counts, for each service, how often the gateway's own requests showed that its closed group works
	// again.
	GroupsOpened map[identifier.Service]uint64
	// StoreLost is set while the platform's store does not respond to the gateway.
	StoreLost bool
	// StoreAge is the time since the platform's store last responded to the gateway, or 0 if it never did. It is sent in
	// whole milliseconds, so an age below 1 ms has to be set to 1 ms.
	StoreAge time.Duration
	// Resigned is the version of the lease row that the gateway last resigned without a write to the store, or 0.
	Resigned uint64
	// Peers are datagram addresses of other gateways.
	Peers []string
}

// Peer is the last received state of another gateway.
type Peer struct {
	State
	// ReceivedAt is when the state was received.
	ReceivedAt time.Time
	// Silent is set once no datagram has arrived for silentAfter.
	Silent bool
}

// LastStoreResponse returns when the platform's store last responded to the peer; zero if it never did.
func (p Peer) LastStoreResponse() time.Time {
	if p.StoreAge == 0 {
		return time.Time{}
	}
	return p.ReceivedAt.Add(-p.StoreAge)
}

// Config sets up a Gossiper.
type Config struct {
	Node identifier.Node
	// Listen is the UDP address of this gateway; peers listen on the same port.
	Listen string
	// Seeds are IP addresses of possible peers.
	Seeds []string
	// FillState fills in the state to send.
	FillState func(*State)
	// OnReceive is called after each accepted datagram, with the previous state of its sender or nil.
	OnReceive func(p Peer, previous *Peer)
	// OnPeerChange is called when a peer appears, falls silent, or sends again after it was silent.
	OnPeerChange func(p Peer)
}

// Gossiper sends the state of a gateway and holds its peers. Its methods may be called concurrently.
type Gossiper struct {
	cfg   Config
	conn  *net.UDPConn
	port  string
	mu    sync.Mutex
	peers map[identifier.Node]*Peer
	// targets holds the addresses to which the state is sent, each with the time at which it was added or the last
	// datagram from it arrived.
	targets     map[string]time.Time
	sequence    uint64
	incarnation identifier.Incarnation
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
	g := &Gossiper{
		cfg:         cfg,
		conn:        conn,
		port:        port,
		peers:       map[identifier.Node]*Peer{},
		targets:     map[string]time.Time{},
		incarnation: identifier.NewIncarnation(time.Now()),
	}
	for _, host := range cfg.Seeds {
		g.Add(host)
	}
	return g, nil
}

// Add adds the IP address of a possible peer. It is removed again if no datagram arrives from it within removeAfter.
func (g *Gossiper) Add(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.add(net.JoinHostPort(host, g.port))
}

func (g *Gossiper) add(address string) {
	if _, known := g.targets[address]; !known && address != g.cfg.Listen {
		g.targets[address] = time.Now()
	}
}

// Run sends and receives until the context ends, then closes the socket.
func (g *Gossiper) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = g.conn.Close() })
	defer stop()
	go g.send(ctx)
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := g.conn.ReadFromUDP(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// An error concerns one datagram, such as the refused port of a restarting peer; later ones may succeed.
			continue
		}
		if state, err := decode(buffer[:n]); err == nil {
			g.receive(time.Now(), state)
		}
	}
}

func (g *Gossiper) send(ctx context.Context) {
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	for {
		g.Broadcast()
		g.expirePeers(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Broadcast sends the state to all peers immediately.
func (g *Gossiper) Broadcast() {
	state := State{Node: g.cfg.Node, Address: g.cfg.Listen, Incarnation: g.incarnation}
	g.cfg.FillState(&state)
	g.mu.Lock()
	g.sequence++
	state.Sequence = g.sequence
	now := time.Now()
	targets := make([]string, 0, len(g.targets))
	for address, last := range g.targets {
		if now.Sub(last) > removeAfter {
			delete(g.targets, address)
			continue
		}
		targets = append(targets, address)
	}
	slices.Sort(targets)
	state.Peers = selectPeers(targets, g.sequence)
	g.mu.Unlock()
	raw, err := encode(state)
	if err != nil {
		return
	}
	for _, t := range targets {
		if address, err := net.ResolveUDPAddr("udp", t); err == nil {
			_, _ = g.conn.WriteToUDP(raw, address)
		}
	}
}

// selectPeers returns up to maxSentPeers addresses. It goes on through the list with each sequence number.
func selectPeers(targets []string, sequence uint64) []string {
	if len(targets) <= maxSentPeers {
		return targets
	}
	start := int(sequence) * maxSentPeers % len(targets)
	out := slices.Concat(targets[start:], targets[:start])
	return out[:maxSentPeers]
}

// receive records a state unless it is this gateway's own, names no node, or is not newer than the last one of its
// sender.
func (g *Gossiper) receive(now time.Time, s State) {
	if s.Node == g.cfg.Node && s.Address == g.cfg.Listen || s.Node == "" {
		return
	}
	g.mu.Lock()
	previous, found := g.peers[s.Node]
	if found && (s.Incarnation < previous.Incarnation || s.Incarnation == previous.Incarnation && s.Sequence <= previous.Sequence) {
		g.mu.Unlock()
		return
	}
	appeared := !found || previous.Silent
	peer := &Peer{State: s, ReceivedAt: now}
	g.peers[s.Node] = peer
	g.targets[s.Address] = now
	for _, address := range s.Peers {
		g.add(address)
	}
	g.mu.Unlock()
	if appeared && g.cfg.OnPeerChange != nil {
		g.cfg.OnPeerChange(*peer)
	}
	if g.cfg.OnReceive != nil {
		g.cfg.OnReceive(*peer, previous)
	}
}

// expirePeers marks silent peers and removes those that stay silent.
func (g *Gossiper) expirePeers(now time.Time) {
	var silent []Peer
	g.mu.Lock()
	for node, p := range g.peers {
		switch age := now.Sub(p.ReceivedAt); {
		case age > removeAfter:
			delete(g.peers, node)
		case age > silentAfter && !p.Silent:
			p.Silent = true
			silent = append(silent, *p)
		}
	}
	g.mu.Unlock()
	for _, p := range silent {
		if g.cfg.OnPeerChange != nil {
			g.cfg.OnPeerChange(p)
		}
	}
}

// Incarnation returns the incarnation of this gateway.
func (g *Gossiper) Incarnation() identifier.Incarnation {
	return g.incarnation
}

// Peers returns all peers, silent ones included until they are removed.
func (g *Gossiper) Peers() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Peer, 0, len(g.peers))
	for _, p := range g.peers {
		out = append(out, *p)
	}
	return out
}
