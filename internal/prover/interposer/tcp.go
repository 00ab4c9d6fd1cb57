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
	// segmentBytes is the size of the largest segment.
	segmentBytes = 32 << 10
	// segmentQueueLength bounds the segments that wait in one direction. A full queue blocks the sender.
	segmentQueueLength = 64
)

// tcpForwarder implements forwarder for TCP connections.
type tcpForwarder struct {
	listener   *net.TCPListener
	target     netip.AddrPort
	rules      *faultRules
	goroutines sync.WaitGroup

	mu        sync.Mutex
	openFlows map[*tcpFlow]bool
	closed    bool
}

func newTCP(listen, target netip.AddrPort, rules *faultRules) (*tcpForwarder, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(listen))
	if err != nil {
		return nil, errors.Wrap(err, "listen on TCP")
	}
	t := &tcpForwarder{listener: listener, target: target, rules: rules, openFlows: map[*tcpFlow]bool{}}
	t.goroutines.Go(t.acceptClients)
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
		t.goroutines.Go(f.run)
	}
}

// add registers a flow. It reports false if the forwarder is closed.
func (t *tcpForwarder) add(f *tcpFlow) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.openFlows[f] = true
	return true
}

func (t *tcpForwarder) remove(f *tcpFlow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.openFlows, f)
}

func (t *tcpForwarder) address() netip.AddrPort {
	return t.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (t *tcpForwarder) flows() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.openFlows)
}

func (t *tcpForwarder) silence() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f := range t.openFlows {
		f.silence()
	}
}

func (t *tcpForwarder) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f := range t.openFlows {
		f.reset()
	}
}

func (t *tcpForwarder) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	_ = t.listener.Close()
	t.reset()
	t.goroutines.Wait()
}

// tcpFlow is a client connection and, once it is established, its connection to the target.
type tcpFlow struct {
	forwarder   *tcpForwarder
	source      netip.Addr
	client      *net.TCPConn
	done        chan struct{}
	silent      chan struct{}
	doneOnce    sync.Once
	silenceOnce sync.Once

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

func (f *tcpFlow) silence() {
	f.silenceOnce.Do(func() { close(f.silent) })
}

// reset closes both connections with a TCP reset.
func (f *tcpFlow) reset() {
	f.closeConns(true)
}

// closeConns ends the flow and closes both connections, with a TCP reset if abort is set.
func (f *tcpFlow) closeConns(abort bool) {
	f.doneOnce.Do(func() { close(f.done) })
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range []*net.TCPConn{f.client, f.target} {
		if conn == nil {
			continue
		}
		if abort {
			// Linger 0 makes Close send a reset. It fails only if the connection is already closed.
			_ = conn.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (f *tcpFlow) run() {
	defer f.forwarder.remove(f)
	target := f.connect()
	if target == nil {
		f.closeConns(true)
		return
	}
	var pipes sync.WaitGroup
	pipes.Go(func() { f.pipe(ToTarget, f.client, target) })
	pipes.Go(func() { f.pipe(ToClient, target, f.client) })
	pipes.Wait()
	f.closeConns(false)
}

// connect dials the target once neither direction is cut, since a TCP handshake needs both. It returns nil if the flow
// ends first or the target cannot be reached.
func (f *tcpFlow) connect() *net.TCPConn {
	if !f.waitWhileCut(ToTarget) || !f.waitWhileCut(ToClient) {
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

// waitWhileCut blocks while a direction is cut. It reports false if the flow ends first.
func (f *tcpFlow) waitWhileCut(d Direction) bool {
	for {
		faults, changed := f.forwarder.rules.faults(f.source)
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

// dueSegment is a part of a byte stream and the earliest time at which it is forwarded.
type dueSegment struct {
	payload []byte
	due     time.Time
}

// pipe forwards one direction until the end of the stream or of the flow.
func (f *tcpFlow) pipe(d Direction, from, to *net.TCPConn) {
	queue := make(chan dueSegment, segmentQueueLength)
	var writer sync.WaitGroup
	writer.Go(func() { f.write(d, queue, to) })
	err := f.read(from, queue, f.forwarder.rules.newSampler())
	close(queue)
	writer.Wait()
	if err != nil {
		f.reset()
	}
}

// read queues received segments. It returns nil at the end of the stream.
func (f *tcpFlow) read(from *net.TCPConn, queue chan<- dueSegment, loss *sampler) error {
	for {
		buffer := make([]byte, segmentBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			f.enqueueSegment(queue, buffer[:n], loss)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// enqueueSegment queues a segment with the delay of the current faults.
func (f *tcpFlow) enqueueSegment(queue chan<- dueSegment, payload []byte, loss *sampler) {
	faults, _ := f.forwarder.rules.faults(f.source)
	delay := faults.Delay
	if loss.chance(faults.Loss) {
		delay += RetransmissionDelay
	}
	select {
	case queue <- dueSegment{payload: payload, due: time.Now().Add(delay)}:
	case <-f.done:
	}
}

// write forwards queued segments when they are due, and closes the write side after the last one. It drops the segments
// of silenced or ended flows.
func (f *tcpFlow) write(d Direction, queue <-chan dueSegment, to *net.TCPConn) {
	for segment := range queue {
		if !waitUntil(segment.due, f.done) || !f.waitWhileCut(d) {
			continue
		}
		if f.isSilent() {
			continue
		}
		if _, err := to.Write(segment.payload); err != nil {
			f.reset()
		}
	}
	if f.waitWhileCut(d) && !f.isSilent() {
		// CloseWrite fails if the connection is already closed or reset, which ends the flow anyway.
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
