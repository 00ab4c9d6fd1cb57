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
	// queueLength bounds the data that waits in a delayed direction of a flow.
	queueLength = 4096
	// socketBufferBytes keeps bursts of parallel streams from overflowing the proxy's sockets.
	socketBufferBytes = 4 << 20
)

// udpForwarder forwards datagrams and keeps one socket towards the target for each client address.
type udpForwarder struct {
	conn   *net.UDPConn
	target netip.AddrPort
	board  *board
	wait   sync.WaitGroup

	mu     sync.Mutex
	byAddr map[netip.AddrPort]*udpFlow
	closed bool
}

func newUDP(listen, target netip.AddrPort, b *board) (*udpForwarder, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, errors.Wrap(err, "listen on UDP")
	}
	enlarge(conn)
	u := &udpForwarder{conn: conn, target: target, board: b, byAddr: map[netip.AddrPort]*udpFlow{}}
	u.wait.Go(u.readClients)
	return u, nil
}

// enlarge asks for larger socket buffers. The system may grant less, which only makes overload loss likelier.
func enlarge(conn *net.UDPConn) {
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
		flow.toTarget.accept(append([]byte(nil), buffer[:n]...))
	}
}

// flow returns the flow of a client address and creates it when it is new.
func (u *udpForwarder) flow(client netip.AddrPort) *udpFlow {
	u.mu.Lock()
	defer u.mu.Unlock()
	if f := u.byAddr[client]; f != nil {
		return f
	}
	if u.closed {
		return nil
	}
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(u.target))
	if err != nil {
		return nil
	}
	enlarge(conn)
	f := newUDPFlow(u, client, conn)
	u.byAddr[client] = f
	u.wait.Go(f.readTarget)
	u.wait.Go(f.toTarget.run)
	u.wait.Go(f.toClient.run)
	return f
}

func (u *udpForwarder) address() netip.AddrPort {
	return u.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (u *udpForwarder) flows() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.byAddr)
}

func (u *udpForwarder) silence() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, f := range u.byAddr {
		f.toTarget.mute()
		f.toClient.mute()
	}
}

func (u *udpForwarder) reset() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for client, f := range u.byAddr {
		f.close()
		delete(u.byAddr, client)
	}
}

func (u *udpForwarder) close() {
	u.mu.Lock()
	u.closed = true
	u.mu.Unlock()
	_ = u.conn.Close()
	u.reset()
	u.wait.Wait()
}

// udpFlow is one client address and its socket towards the target.
type udpFlow struct {
	conn     *net.UDPConn
	toTarget *datagramPipe
	toClient *datagramPipe
	done     chan struct{}
}

func newUDPFlow(u *udpForwarder, client netip.AddrPort, conn *net.UDPConn) *udpFlow {
	f := &udpFlow{conn: conn, done: make(chan struct{})}
	// A failed write is a lost datagram, which UDP permits.
	f.toTarget = newDatagramPipe(ToTarget, client.Addr(), u.board, f.done, func(datagram []byte) {
		_, _ = conn.Write(datagram)
	})
	f.toClient = newDatagramPipe(ToClient, client.Addr(), u.board, f.done, func(datagram []byte) {
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
			// The target's port is closed; a later datagram may reach a restarted target.
			continue
		}
		f.toClient.accept(append([]byte(nil), buffer[:n]...))
	}
}

func (f *udpFlow) close() {
	close(f.done)
	_ = f.conn.Close()
}

// dueDatagram is a datagram and the time at which it may go on.
type dueDatagram struct {
	payload []byte
	due     time.Time
}

// datagramPipe is one direction of a flow.
type datagramPipe struct {
	direction Direction
	source    netip.Addr
	board     *board
	done      <-chan struct{}
	send      func([]byte)
	queue     chan dueDatagram
	silent    chan struct{}
	loss      *dice
	reorder   *dice
}

func newDatagramPipe(d Direction, source netip.Addr, b *board, done <-chan struct{}, send func([]byte)) *datagramPipe {
	return &datagramPipe{
		direction: d,
		source:    source,
		board:     b,
		done:      done,
		send:      send,
		queue:     make(chan dueDatagram, queueLength),
		silent:    make(chan struct{}),
		loss:      b.newDice(),
		reorder:   b.newDice(),
	}
}

// mute is called under the lock of the forwarder.
func (p *datagramPipe) mute() {
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

// accept queues a datagram unless a fault drops it. A full queue drops it, as a full router buffer does.
func (p *datagramPipe) accept(payload []byte) {
	faults, _ := p.board.faults(p.source)
	if p.isSilent() || faults.cuts(p.direction) || p.loss.happens(faults.Loss) {
		return
	}
	select {
	case p.queue <- dueDatagram{payload: payload, due: time.Now().Add(faults.Delay)}:
	default:
	}
}

// run sends queued datagrams when they are due and lets some be overtaken.
func (p *datagramPipe) run() {
	var held []byte
	var release <-chan time.Time
	for {
		select {
		case <-p.done:
			return
		case <-release:
			p.pass(held)
			held, release = nil, nil
		case d := <-p.queue:
			if !p.waitUntil(d.due) {
				return
			}
			faults, _ := p.board.faults(p.source)
			if held == nil && p.reorder.happens(faults.Reorder) {
				held, release = d.payload, time.After(ReorderHold)
				continue
			}
			p.pass(d.payload)
			if held != nil {
				p.pass(held)
				held, release = nil, nil
			}
		}
	}
}

// pass sends a datagram unless the direction was cut or silenced while the datagram was delayed.
func (p *datagramPipe) pass(payload []byte) {
	faults, _ := p.board.faults(p.source)
	if p.isSilent() || faults.cuts(p.direction) {
		return
	}
	p.send(payload)
}

// waitUntil reports false when the flow ends first.
func (p *datagramPipe) waitUntil(due time.Time) bool {
	return waitUntil(due, p.done)
}

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
