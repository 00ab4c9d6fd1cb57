// Package gossiper tells the other gateways, by datagrams, what this one runs and which table versions it has. Lost
// datagrams do no harm: each holds the whole state.
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
	// interval is how often a gateway tells its state; placement tolerates counts that are a few requests old.
	interval = 200 * time.Millisecond
	// silentAfter is how long a peer may be silent before its counts no longer hold: five lost datagrams in a row.
	silentAfter = time.Second
	// forgetAfter is how long a silent peer still counts as one of the gateways that share a budget, so that shares do
	// not grow while gateways are cut off or restarted.
	forgetAfter = 15 * time.Second
	// maxDatagram bounds a received datagram.
	maxDatagram = 16 << 10
	// peersTold is how many known addresses a datagram carries.
	peersTold = 8
)

// State is what a gateway tells its peers.
type State struct {
	Node          identifier.Node
	FailureDomain identifier.FailureDomain
	// Address is where the gateway receives datagrams, and Control where it serves table rows.
	Address string
	Control string
	// Incarnation tells restarts apart, and Sequence orders the datagrams of one incarnation.
	Incarnation identifier.Incarnation
	Sequence    uint64
	// Versions holds the highest row version of each table.
	Versions map[replicator.Table]uint64
	// Running holds the requests that the gateway runs on each upstream.
	Running map[identifier.Upstream]int
	// Stopping gateways take no new clients.
	Stopping bool
	// Leading is set for the leader of the expert maps. Groups holds which services' groups it sees working.
	Leading bool
	Groups  map[identifier.Service]bool
	// Opened counts, for each service, how often the gateway's own requests showed that a closed group works again.
	Opened map[identifier.Service]uint64
	// StoreLost is set while the platform does not answer the gateway.
	StoreLost bool
	// StoreAge is the time since the platform last answered the gateway, or 0 if it never did.
	StoreAge time.Duration
	// Resigned is the version of the lease that the gateway has given up without being able to write so, or 0.
	Resigned uint64
	// Peers are datagram addresses of other gateways.
	Peers []string
}

// Peer is what is known of another gateway.
type Peer struct {
	State
	Heard  time.Time
	Silent bool
}

// StoreAnswered returns when the platform last answered the peer; zero if it never did.
func (p Peer) StoreAnswered() time.Time {
	if p.StoreAge == 0 {
		return time.Time{}
	}
	return p.Heard.Add(-p.StoreAge)
}

// Config sets up a Gossiper.
type Config struct {
	Node identifier.Node
	// Listen is the datagram address; peers listen on the same port.
	Listen string
	// Seeds are IP numbers of possible peers.
	Seeds []string
	// Tell fills in the state to send.
	Tell func(*State)
	// Heard is called after each accepted datagram, with the state of its sender before, or nil.
	Heard func(p Peer, before *Peer)
	// PeerChanged is called when a peer is heard first or again, or falls silent.
	PeerChanged func(p Peer)
}

// Gossiper holds the peers of a gateway.
type Gossiper struct {
	cfg      Config
	conn     *net.UDPConn
	port     string
	mu       sync.Mutex
	peers    map[identifier.Node]*Peer
	targets  map[string]time.Time
	sequence uint64
	started  identifier.Incarnation
}

// New opens the datagram socket.
func New(cfg Config) (*Gossiper, error) {
	address, err := net.ResolveUDPAddr("udp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "datagram address %s", cfg.Listen)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", cfg.Listen)
	}
	_, port, _ := net.SplitHostPort(cfg.Listen)
	g := &Gossiper{
		cfg:     cfg,
		conn:    conn,
		port:    port,
		peers:   map[identifier.Node]*Peer{},
		targets: map[string]time.Time{},
		started: identifier.NewIncarnation(time.Now()),
	}
	for _, host := range cfg.Seeds {
		g.Add(host)
	}
	return g, nil
}

// Add makes a VM a possible peer.
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

// Run sends and receives until the context ends.
func (g *Gossiper) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = g.conn.Close() })
	defer stop()
	go g.send(ctx)
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := g.conn.ReadFromUDP(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// An error of one datagram, such as a refused port of a restarting peer, ends nothing.
			continue
		}
		if state, err := decode(buffer[:n]); err == nil {
			g.receive(time.Now(), state)
		}
	}
}

func (g *Gossiper) send(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		g.Tell()
		g.judge(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Tell sends the state to all peers at once.
func (g *Gossiper) Tell() {
	state := State{Node: g.cfg.Node, Address: g.cfg.Listen, Incarnation: g.started}
	g.cfg.Tell(&state)
	g.mu.Lock()
	g.sequence++
	state.Sequence = g.sequence
	now := time.Now()
	targets := make([]string, 0, len(g.targets))
	for address, last := range g.targets {
		if now.Sub(last) > forgetAfter {
			delete(g.targets, address)
			continue
		}
		targets = append(targets, address)
	}
	slices.Sort(targets)
	state.Peers = told(targets, g.sequence)
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

// told returns a part of the addresses, another one in each turn.
func told(targets []string, turn uint64) []string {
	if len(targets) <= peersTold {
		return targets
	}
	start := int(turn) * peersTold % len(targets)
	out := slices.Concat(targets[start:], targets[:start])
	return out[:peersTold]
}

func (g *Gossiper) receive(now time.Time, s State) {
	if s.Node == g.cfg.Node && s.Address == g.cfg.Listen || s.Node == "" {
		return
	}
	g.mu.Lock()
	known, found := g.peers[s.Node]
	if found && (s.Incarnation < known.Incarnation || s.Incarnation == known.Incarnation && s.Sequence <= known.Sequence) {
		g.mu.Unlock()
		return
	}
	back := !found || known.Silent
	peer := &Peer{State: s, Heard: now}
	g.peers[s.Node] = peer
	g.targets[s.Address] = now
	for _, address := range s.Peers {
		g.add(address)
	}
	g.mu.Unlock()
	if back && g.cfg.PeerChanged != nil {
		g.cfg.PeerChanged(*peer)
	}
	if g.cfg.Heard != nil {
		g.cfg.Heard(*peer, known)
	}
}

// judge marks silent peers and forgets those that stay away.
func (g *Gossiper) judge(now time.Time) {
	var silent []Peer
	g.mu.Lock()
	for node, p := range g.peers {
		switch age := now.Sub(p.Heard); {
		case age > forgetAfter:
			delete(g.peers, node)
		case age > silentAfter && !p.Silent:
			p.Silent = true
			silent = append(silent, *p)
		}
	}
	g.mu.Unlock()
	for _, p := range silent {
		if g.cfg.PeerChanged != nil {
			g.cfg.PeerChanged(p)
		}
	}
}

// Incarnation returns that of this gateway.
func (g *Gossiper) Incarnation() identifier.Incarnation {
	return g.started
}

// Peers returns all peers that are not forgotten.
func (g *Gossiper) Peers() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Peer, 0, len(g.peers))
	for _, p := range g.peers {
		out = append(out, *p)
	}
	return out
}
