// Package interposer provides a proxy for UDP and TCP on loopback that injects network faults between two processes.
package interposer

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Network selects the transport protocol of a proxy.
type Network string

// The supported transport protocols.
const (
	UDP Network = "udp"
	TCP Network = "tcp"
)

// Direction tells which way data flows through a proxy.
type Direction int

// The directions of a flow.
const (
	ToTarget Direction = iota
	ToClient
)

// RetransmissionDelay is how long a lost TCP segment holds up its connection, as TCP would repeat it.
const RetransmissionDelay = 200 * time.Millisecond

// ReorderHold is the longest time for which a reordered datagram waits for a later one to overtake it.
const ReorderHold = 20 * time.Millisecond

// Faults describes the faults of a proxy. The zero value forwards everything unchanged.
type Faults struct {
	// CutToTarget stops everything from the client to the target: datagrams are dropped, TCP bytes wait.
	CutToTarget bool
	// CutToClient stops everything from the target to the client.
	CutToClient bool
	// Delay is added in each direction and keeps the order.
	Delay time.Duration
	// Loss is the probability that a datagram is dropped, or that a TCP segment arrives RetransmissionDelay later.
	Loss float64
	// Reorder is the probability that a datagram is overtaken by the next one. TCP hides reordering.
	Reorder float64
}

// Cut returns the faults of a network partition in both directions.
func Cut() Faults {
	return Faults{CutToTarget: true, CutToClient: true}
}

func (f Faults) cuts(d Direction) bool {
	if d == ToTarget {
		return f.CutToTarget
	}
	return f.CutToClient
}

// Config holds what a proxy needs.
type Config struct {
	Network Network
	// Listen is the proxy's own address; the default is a free port of 127.0.0.1.
	Listen string
	// Target is the address that receives what clients send.
	Target string
	// Seed makes loss and reordering repeatable.
	Seed uint64
}

// forwarder is the part of a proxy that depends on the transport protocol.
type forwarder interface {
	address() netip.AddrPort
	flows() int
	silence()
	reset()
	close()
}

// Proxy forwards between clients and a target and injects faults.
type Proxy struct {
	forwarder forwarder
	board     *board
}

// New starts a proxy.
func New(cfg Config) (*Proxy, error) {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	listen, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen address %q: write IP:port", cfg.Listen)
	}
	target, err := netip.ParseAddrPort(cfg.Target)
	if err != nil {
		return nil, errors.Wrapf(err, "target address %q: write IP:port", cfg.Target)
	}
	b := newBoard(cfg.Seed)
	var f forwarder
	switch cfg.Network {
	case UDP:
		f, err = newUDP(listen, target, b)
	case TCP:
		f, err = newTCP(listen, target, b)
	default:
		return nil, errors.Newf("network %q is not supported; use %q or %q", cfg.Network, UDP, TCP)
	}
	if err != nil {
		return nil, err
	}
	return &Proxy{forwarder: f, board: b}, nil
}

// Address returns the address that clients use instead of the target's.
func (p *Proxy) Address() string {
	return p.forwarder.address().String()
}

// Set replaces the faults of all clients that have no faults of their own.
func (p *Proxy) Set(f Faults) {
	p.board.set(f)
}

// SetSource replaces the faults of the clients at one source IP address.
func (p *Proxy) SetSource(source netip.Addr, f Faults) {
	p.board.setSource(source, f)
}

// Heal removes all faults set by Set and SetSource. Silenced flows stay silent.
func (p *Proxy) Heal() {
	p.board.heal()
}

// Silence drops everything on the flows that exist now, permanently and in both directions, while new flows work.
// A flow is a client's source address. A UDP client gets a new flow only from a new source address.
func (p *Proxy) Silence() {
	p.forwarder.silence()
}

// Reset ends the flows that exist now. TCP connections are reset on both sides. A UDP flow is forgotten, and the
// client's next datagram reaches the target from a new source address.
func (p *Proxy) Reset() {
	p.forwarder.reset()
}

// Flows returns the number of flows that exist now.
func (p *Proxy) Flows() int {
	return p.forwarder.flows()
}

// Close ends the proxy and all flows.
func (p *Proxy) Close() {
	p.forwarder.close()
}

// board holds the faults that are set now and announces changes.
type board struct {
	mu      sync.Mutex
	general Faults
	sources map[netip.Addr]Faults
	changed chan struct{}
	seed    uint64
	dice    uint64
}

func newBoard(seed uint64) *board {
	return &board{
		sources: map[netip.Addr]Faults{},
		changed: make(chan struct{}),
		seed:    seed,
	}
}

func (b *board) set(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.general = f
	b.announce()
}

func (b *board) setSource(source netip.Addr, f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sources[source] = f
	b.announce()
}

func (b *board) heal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.general = Faults{}
	b.sources = map[netip.Addr]Faults{}
	b.announce()
}

func (b *board) announce() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// faults returns the faults of a source and a channel that is closed at the next change.
func (b *board) faults(source netip.Addr) (Faults, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f, found := b.sources[source]; found {
		return f, b.changed
	}
	return b.general, b.changed
}

// newDice returns a source of random decisions. Each direction of each flow has its own for each kind of fault, so that
// the schedule of goroutines does not change which datagrams of a flow are lost.
func (b *board) newDice() *dice {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dice++
	return &dice{random: rand.New(rand.NewPCG(b.seed, b.dice))}
}

// dice makes the random decisions of one goroutine.
type dice struct {
	random *rand.Rand
}

func (d *dice) happens(probability float64) bool {
	return probability > 0 && d.random.Float64() < probability
}
