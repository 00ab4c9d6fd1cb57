package interposer

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxDatagramBytes = 1 << 16
	// datagramQueueLength bounds the datagrams that wait in one direction of a flow.
	datagramQueueLength = 4096
	// socketBufferBytes is large enough for bursts of parallel streams, which would overflow the default buffers.
	socketBufferBytes = 4 << 20
)

// udpForwarder implements forwarder for datagrams. It has one socket to the target for each client address.
type udpForwarder struct {
	conn       *net.UDPConn
	target     netip.AddrPort
	rules      *faultRules
	goroutines sync.WaitGroup

	mu           sync.Mutex
	flowByClient map[netip.AddrPort]*udpFlow
	closed       bool
}

func newUDP(listen, target netip.AddrPort, rules *faultRules) (*udpForwarder, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, errors.Wrap(err, "listen on UDP")
	}
	enlargeBuffers(conn)
	u := &udpForwarder{conn: conn, target: target, rules: rules, flowByClient: map[netip.AddrPort]*udpFlow{}}
	u.goroutines.Go(u.readClients)
	return u, nil
}

// enlargeBuffers requests larger socket buffers. The system may grant less, which only makes loss under load more
// likely.
func enlargeBuffers(conn *net.UDPConn) {
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
}

func (u *udpForwarder) readClients() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, client, err := u.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		client = netip.AddrPortFrom(client.Addr().Unmap(), client.Port())
		flow := u.flow(client)
		if flow == nil {
			continue
		}
		flow.toTarget.enqueueDatagram(append([]byte(nil), buffer[:n]...))
	}
}

// flow returns the flow of a client address and creates it if there is none. It returns nil if the forwarder is closed
// or the socket cannot be opened.
func (u *udpForwarder) flow(client netip.AddrPort) *udpFlow {
	u.mu.Lock()
	defer u.mu.Unlock()
	if f := u.flowByClient[client]; f != nil {
		return f
	}
	if u.closed {
		return nil
	}
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(u.target))
	if err != nil {
		return nil
	}
	enlargeBuffers(conn)
	f := newUDPFlow(u, client, conn)
	u.flowByClient[client] = f
	u.goroutines.Go(f.readTarget)
	u.goroutines.Go(f.toTarget.run)
	u.goroutines.Go(f.toClient.run)
	return f
}

func (u *udpForwarder) address() netip.AddrPort {
	return u.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (u *udpForwarder) flows() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.flowByClient)
}

func (u *udpForwarder) silence() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, f := range u.flowByClient {
		f.toTarget.silence()
		f.toClient.silence()
	}
}

func (u *udpForwarder) reset() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for client, f := range u.flowByClient {
		f.close()
		delete(u.flowByClient, client)
	}
}

func (u *udpForwarder) close() {
	u.mu.Lock()
	u.closed = true
	u.mu.Unlock()
	_ = u.conn.Close()
	u.reset()
	u.goroutines.Wait()
}

// udpFlow is the flow of one client address, with its socket to the target.
type udpFlow struct {
	conn     *net.UDPConn
	toTarget *datagramPipe
	toClient *datagramPipe
	done     chan struct{}
}

func newUDPFlow(u *udpForwarder, client netip.AddrPort, conn *net.UDPConn) *udpFlow {
	f := &udpFlow{conn: conn, done: make(chan struct{})}
	// A failed write loses the datagram, which UDP permits.
	f.toTarget = newDatagramPipe(ToTarget, client.Addr(), u.rules, f.done, func(datagram []byte) {
		_, _ = conn.Write(datagram)
	})
	f.toClient = newDatagramPipe(ToClient, client.Addr(), u.rules, f.done, func(datagram []byte) {
		_, _ = u.conn.WriteToUDPAddrPort(datagram, client)
	})
	return f
}

func (f *udpFlow) readTarget() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := f.conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The target's port is closed. A later datagram may reach the target after a restart.
			continue
		}
		f.toClient.enqueueDatagram(append([]byte(nil), buffer[:n]...))
	}
}

func (f *udpFlow) close() {
	close(f.done)
	_ = f.conn.Close()
}

// dueDatagram is a datagram and the earliest time at which it is forwarded.
type dueDatagram struct {
	payload []byte
	due     time.Time
}

// datagramPipe forwards one direction of a UDP flow.
type datagramPipe struct {
	direction Direction
	source    netip.Addr
	rules     *faultRules
	done      <-chan struct{}
	send      func([]byte)
	queue     chan dueDatagram
	silent    chan struct{}
	loss      *sampler
	reorder   *sampler
}

func newDatagramPipe(d Direction, source netip.Addr, rules *faultRules, done <-chan struct{}, send func([]byte)) *datagramPipe {
	return &datagramPipe{
		direction: d,
		source:    source,
		rules:     rules,
		done:      done,
		send:      send,
		queue:     make(chan dueDatagram, datagramQueueLength),
		silent:    make(chan struct{}),
		loss:      rules.newSampler(),
		reorder:   rules.newSampler(),
	}
}

// silence drops all further datagrams. It is called with the lock of the forwarder held.
func (p *datagramPipe) silence() {
	if !p.isSilent() {
		close(p.silent)
	}
}

func (p *datagramPipe) isSilent() bool {
	select {
	case <-p.silent:
		return true
	default:
		return false
	}
}

// enqueueDatagram queues a datagram unless a fault drops it. If the queue is full, it drops the datagram like a router
// with a full buffer.
func (p *datagramPipe) enqueueDatagram(payload []byte) {
	faults, _ := p.rules.faults(p.source)
	if p.isSilent() || faults.cuts(p.direction) || p.loss.chance(faults.Loss) {
		return
	}
	select {
	case p.queue <- dueDatagram{payload: payload, due: time.Now().Add(faults.Delay)}:
	default:
	}
}

// run forwards queued datagrams when they are due. A reordered datagram is forwarded after the next one, or after
// MaxReorderDelay.
func (p *datagramPipe) run() {
	var reordered []byte
	var timeout <-chan time.Time
	for {
		select {
		case <-p.done:
			return
		case <-timeout:
			p.forward(reordered)
			reordered, timeout = nil, nil
		case d := <-p.queue:
			if !p.waitUntil(d.due) {
				return
			}
			faults, _ := p.rules.faults(p.source)
			if reordered == nil && p.reorder.chance(faults.Reorder) {
				reordered, timeout = d.payload, time.After(MaxReorderDelay)
				continue
			}
			p.forward(d.payload)
			if reordered != nil {
				p.forward(reordered)
				reordered, timeout = nil, nil
			}
		}
	}
}

// forward sends a datagram unless its direction has been cut or silenced during the delay.
func (p *datagramPipe) forward(payload []byte) {
	faults, _ := p.rules.faults(p.source)
	if p.isSilent() || faults.cuts(p.direction) {
		return
	}
	p.send(payload)
}

// waitUntil waits until a datagram is due. It reports false if the flow ends first.
func (p *datagramPipe) waitUntil(due time.Time) bool {
	return waitUntil(due, p.done)
}

// waitUntil waits until a time. It reports false if done is closed first.
func waitUntil(due time.Time, done <-chan struct{}) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}
