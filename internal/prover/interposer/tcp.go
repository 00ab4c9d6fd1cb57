package interposer

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	segmentBytes = 32 << 10
	// segmentQueueLength bounds the bytes in flight in one direction; a sender is slowed down beyond it.
	segmentQueueLength = 64
)

// tcpForwarder forwards TCP connections.
type tcpForwarder struct {
	listener *net.TCPListener
	target   netip.AddrPort
	board    *board
	wait     sync.WaitGroup

	mu     sync.Mutex
	open   map[*tcpFlow]bool
	closed bool
}

func newTCP(listen, target netip.AddrPort, b *board) (*tcpForwarder, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(listen))
	if err != nil {
		return nil, errors.Wrap(err, "listen on TCP")
	}
	t := &tcpForwarder{listener: listener, target: target, board: b, open: map[*tcpFlow]bool{}}
	t.wait.Go(t.acceptClients)
	return t, nil
}

func (t *tcpForwarder) acceptClients() {
	for {
		client, err := t.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		f := newTCPFlow(t, client)
		if !t.add(f) {
			f.reset()
			return
		}
		t.wait.Go(f.run)
	}
}

func (t *tcpForwarder) add(f *tcpFlow) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.open[f] = true
	return true
}

func (t *tcpForwarder) remove(f *tcpFlow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, f)
}

func (t *tcpForwarder) address() netip.AddrPort {
	return t.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (t *tcpForwarder) flows() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

func (t *tcpForwarder) silence() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f := range t.open {
		f.mute()
	}
}

func (t *tcpForwarder) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f := range t.open {
		f.reset()
	}
}

func (t *tcpForwarder) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	_ = t.listener.Close()
	t.reset()
	t.wait.Wait()
}

// tcpFlow is one client connection and, once it is made, the connection to the target.
type tcpFlow struct {
	forwarder *tcpForwarder
	source    netip.Addr
	client    *net.TCPConn
	done      chan struct{}
	silent    chan struct{}
	endOnce   sync.Once
	muteOnce  sync.Once

	mu     sync.Mutex
	target *net.TCPConn
}

func newTCPFlow(t *tcpForwarder, client *net.TCPConn) *tcpFlow {
	return &tcpFlow{
		forwarder: t,
		source:    client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap(),
		client:    client,
		done:      make(chan struct{}),
		silent:    make(chan struct{}),
	}
}

func (f *tcpFlow) mute() {
	f.muteOnce.Do(func() { close(f.silent) })
}

// reset ends both connections without an orderly close.
func (f *tcpFlow) reset() {
	f.end(true)
}

func (f *tcpFlow) end(abort bool) {
	f.endOnce.Do(func() { close(f.done) })
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range []*net.TCPConn{f.client, f.target} {
		if conn == nil {
			continue
		}
		if abort {
			// Linger 0 makes Close send a reset. It fails only on a connection that is closed already.
			_ = conn.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (f *tcpFlow) run() {
	defer f.forwarder.remove(f)
	target := f.connect()
	if target == nil {
		f.end(true)
		return
	}
	var pipes sync.WaitGroup
	pipes.Go(func() { f.pipe(ToTarget, f.client, target) })
	pipes.Go(func() { f.pipe(ToClient, target, f.client) })
	pipes.Wait()
	f.end(false)
}

// connect dials the target once neither direction is cut, since a handshake needs both.
func (f *tcpFlow) connect() *net.TCPConn {
	if !f.waitOpen(ToTarget) || !f.waitOpen(ToClient) {
		return nil
	}
	conn, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(f.forwarder.target))
	if err != nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.done:
		_ = conn.Close()
		return nil
	default:
		f.target = conn
		return conn
	}
}

// waitOpen waits while a direction is cut. It reports false when the flow ends first.
func (f *tcpFlow) waitOpen(d Direction) bool {
	for {
		faults, changed := f.forwarder.board.faults(f.source)
		if !faults.cuts(d) {
			return true
		}
		select {
		case <-changed:
		case <-f.done:
			return false
		}
	}
}

// dueSegment is a part of a byte stream and the time at which it may go on.
type dueSegment struct {
	payload []byte
	due     time.Time
}

// pipe forwards one direction until its end or until the flow ends.
func (f *tcpFlow) pipe(d Direction, from, to *net.TCPConn) {
	queue := make(chan dueSegment, segmentQueueLength)
	var writer sync.WaitGroup
	writer.Go(func() { f.write(d, queue, to) })
	err := f.read(from, queue, f.forwarder.board.newDice())
	close(queue)
	writer.Wait()
	if err != nil {
		f.reset()
	}
}

// read queues what arrives. It returns nil at an orderly end of the stream.
func (f *tcpFlow) read(from *net.TCPConn, queue chan<- dueSegment, loss *dice) error {
	for {
		buffer := make([]byte, segmentBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			f.enqueue(queue, buffer[:n], loss)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (f *tcpFlow) enqueue(queue chan<- dueSegment, payload []byte, loss *dice) {
	faults, _ := f.forwarder.board.faults(f.source)
	delay := faults.Delay
	if loss.happens(faults.Loss) {
		delay += RetransmissionDelay
	}
	select {
	case queue <- dueSegment{payload: payload, due: time.Now().Add(delay)}:
	case <-f.done:
	}
}

func (f *tcpFlow) write(d Direction, queue <-chan dueSegment, to *net.TCPConn) {
	for segment := range queue {
		if !waitUntil(segment.due, f.done) || !f.waitOpen(d) {
			continue
		}
		if f.isSilent() {
			continue
		}
		if _, err := to.Write(segment.payload); err != nil {
			f.reset()
		}
	}
	if f.waitOpen(d) && !f.isSilent() {
		// The peer may have closed its side already, which ends the flow anyway.
		_ = to.CloseWrite()
	}
}

func (f *tcpFlow) isSilent() bool {
	select {
	case <-f.silent:
		return true
	default:
		return false
	}
}
