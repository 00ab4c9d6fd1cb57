// Package interposer provides a UDP and TCP proxy that injects network faults between processes on loopback.
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

// Direction is the direction in which data flows through a proxy.
type Direction int

// The directions of a flow.
const (
	ToTarget Direction = iota
	ToClient
)

// RetransmissionDelay is the time by which a lost TCP segment delays its direction of a connection, as if TCP had to
// retransmit it.
const RetransmissionDelay = 200 * time.Millisecond

// MaxReorderDelay is the longest time for which a reordered datagram waits for a later one to overtake it.
const MaxReorderDelay = 20 * time.Millisecond

// Faults holds the faults that a proxy injects. The zero value forwards everything unchanged.
type Faults struct {
	// CutToTarget stops all traffic from the client to the target: datagrams are dropped, TCP bytes are buffered.
	CutToTarget bool
	// CutToClient stops all traffic from the target to the client in the same manner.
	CutToClient bool
	// Delay is added in each direction. It does not change the order.
	Delay time.Duration
	// Loss is the probability that a datagram is dropped, or that a TCP segment arrives RetransmissionDelay later.
	Loss float64
	// Reorder is the probability that a datagram is sent after the next one. It does not affect TCP, which hides
	// reordering.
	Reorder float64
}

// Cut returns the faults of a network partition in both directions.
func Cut() Faults {
	return Faults{CutToTarget: true, CutToClient: true}
}

// cuts reports whether the faults stop the traffic in a direction.
func (f Faults) cuts(d Direction) bool {
	if d == ToTarget {
		return f.CutToTarget
	}
	return f.CutToClient
}

// Config configures a proxy.
type Config struct {
	Network Network
	// Listen is the proxy's own address; the default is a free port of 127.0.0.1.
	Listen string
	// Target is the address that receives what clients send.
	Target string
	// Seed is the seed of the random generators of loss and reordering.
	Seed uint64
}

// forwarder implements a proxy for one transport protocol.
type forwarder interface {
	address() netip.AddrPort
	flows() int
	silence()
	reset()
	close()
}

// Proxy forwards traffic between clients and a target and injects faults. Its methods are safe for concurrent use.
type Proxy struct {
	forwarder forwarder
	rules     *faultRules
}

// New starts a proxy, which runs until Close.
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
	rules := newFaultRules(cfg.Seed)
	var f forwarder
	switch cfg.Network {
	case UDP:
		f, err = newUDP(listen, target, rules)
	case TCP:
		f, err = newTCP(listen, target, rules)
	default:
		return nil, errors.Newf("network %q is not supported; use %q or %q", cfg.Network, UDP, TCP)
	}
	if err != nil {
		return nil, err
	}
	return &Proxy{forwarder: f, rules: rules}, nil
}

// Address returns the address to which clients connect instead of the target's.
func (p *Proxy) Address() string {
	return p.forwarder.address().String()
}

// Set replaces the faults of all clients whose source address has no faults set by SetSource.
func (p *Proxy) Set(f Faults) {
	p.rules.set(f)
}

// SetSource replaces the faults of the clients with one source IP address.
func (p *Proxy) SetSource(source netip.Addr, f Faults) {
	p.rules.setSource(source, f)
}

// Heal removes all faults set by Set and SetSource. Silenced flows stay silent.
func (p *Proxy) Heal() {
	p.rules.heal()
}

// Silence permanently drops all traffic of the existing flows in both directions. New flows are not affected. A flow is
// a TCP connection, or all datagrams from one source address and port, so that a UDP client gets a new flow only with a
// new source address.
func (p *Proxy) Silence() {
	p.forwarder.silence()
}

// Reset ends all existing flows. TCP connections are reset on both sides. A UDP flow is removed, so that the client's
// next datagram reaches the target from a new source address.
func (p *Proxy) Reset() {
	p.forwarder.reset()
}

// Flows returns the number of existing flows.
func (p *Proxy) Flows() int {
	return p.forwarder.flows()
}

// Close stops the proxy, ends all flows and waits for its goroutines.
func (p *Proxy) Close() {
	p.forwarder.close()
}

// faultRules holds the current faults and notifies waiting goroutines of changes.
type faultRules struct {
	mu sync.Mutex
	// defaults applies to sources that are not in bySource.
	defaults Faults
	bySource map[netip.Addr]Faults
	changed  chan struct{}
	seed     uint64
	// samplers counts the samplers created so far. Each count selects a random sequence of the seed.
	samplers uint64
}

func newFaultRules(seed uint64) *faultRules {
	return &faultRules{
		bySource: map[netip.Addr]Faults{},
		changed:  make(chan struct{}),
		seed:     seed,
	}
}

func (r *faultRules) set(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.defaults = f
	r.notifyChange()
}

func (r *faultRules) setSource(source netip.Addr, f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bySource[source] = f
	r.notifyChange()
}

func (r *faultRules) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.defaults = Faults{}
	r.bySource = map[netip.Addr]Faults{}
	r.notifyChange()
}

func (r *faultRules) notifyChange() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// faults returns the faults of a source and a channel that is closed at the next change.
func (r *faultRules) faults(source netip.Addr) (Faults, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f, found := r.bySource[source]; found {
		return f, r.changed
	}
	return r.defaults, r.changed
}

// newSampler returns a sampler with a new random sequence. Each direction of each flow has one sampler for each kind of
// fault, so that the scheduling of goroutines does not change which datagrams of a flow are lost.
func (r *faultRules) newSampler() *sampler {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samplers++
	return &sampler{random: rand.New(rand.NewPCG(r.seed, r.samplers))}
}

// sampler makes random decisions. It must be used by one goroutine only.
type sampler struct {
	random *rand.Rand
}

// chance reports true with a probability. It draws a random number only if the probability is greater than 0.
func (s *sampler) chance(probability float64) bool {
	return probability > 0 && s.random.Float64() < probability
}
