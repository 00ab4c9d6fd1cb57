// Package linker implements the link between two processes: a QUIC connection with one control stream for heartbeats and
// other control messages, and any number of request streams. A link closes when its peer stays silent.
package linker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"currantledge.example/currantledge/internal/connection/authenticator"
	"currantledge.example/currantledge/internal/connection/encoder"
	"currantledge.example/currantledge/internal/connection/messenger"
)

const (
	// A link is busy while it has open request streams. It then detects silence sooner, so that requests do not wait for
	// a peer that is gone.
	busyHeartbeatInterval = 300 * time.Millisecond
	idleHeartbeatInterval = time.Second
	busySilenceTimeout    = time.Second
	idleSilenceTimeout    = 3 * time.Second
	silenceCheckInterval  = 100 * time.Millisecond
	writeTimeout          = time.Second
	handshakeTimeout      = 2 * time.Second
	maxIncomingStreams    = 1 << 16
	// maxQueuedMessages bounds the messages that are queued for a slow peer before its link is closed.
	maxQueuedMessages = 1 << 12
)

// SilentError reports that no message has arrived from the peer for too long.
type SilentError struct{ Duration time.Duration }

// Error returns a message with the time. The peer receives it as the reason of the close.
func (e *SilentError) Error() string {
	return "peer silent for " + e.Duration.String() + "; a new connection is opened"
}

// Config configures the links of a process.
type Config struct {
	Credentials *authenticator.Credentials
	// Hello returns the Hello message of this process.
	Hello func() messenger.Hello
	// Heartbeat returns the content of the next heartbeat; the link sets its sequence number.
	Heartbeat func() messenger.Heartbeat
	// Traffic counts the bytes of all links of the process. It may be nil.
	Traffic *Traffic
}

// QUICConfig returns the QUIC settings of both sides. The idle timeout is longer than the silence that the link itself
// detects, so that the link ends with a SilentError.
func QUICConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIdleTimeout:        2 * idleSilenceTimeout,
		MaxIncomingStreams:    maxIncomingStreams,
		MaxIncomingUniStreams: -1,
	}
}

// Link is an established connection to a peer. Its methods may be called concurrently, Run only once.
type Link struct {
	cfg     Config
	conn    *quic.Conn
	control *quic.Stream
	peer    messenger.Hello
	dialled bool

	// sendMu guards writes to control, and sequence, the number of the last heartbeat.
	sendMu   sync.Mutex
	sequence uint64
	// lastReceived is the Unix time in nanoseconds of the last message or, if that is later, of the end of a pause of this
	// process. busySince is the Unix time in nanoseconds at which openStreams last rose from 0 to 1.
	lastReceived atomic.Int64
	openStreams  atomic.Int64
	busySince    atomic.Int64
	// heartbeatNow triggers the next heartbeat, and queue holds the messages of Enqueue.
	heartbeatNow chan struct{}
	queue        chan messenger.Message
	// counted is the part of the link's traffic that cfg.Traffic already includes.
	counted packetBytes
}

// Handshake exchanges Hello messages over a new connection and checks that the peer's Hello matches its certificate. The
// dialling side opens the control stream.
func Handshake(ctx context.Context, cfg Config, conn *quic.Conn, dialled bool) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if cfg.Traffic == nil {
		cfg.Traffic = &Traffic{}
	}
	identity, err := authenticator.PeerIdentity(conn.ConnectionState().TLS)
	if err != nil {
		return nil, err
	}
	l := &Link{cfg: cfg, conn: conn, dialled: dialled, heartbeatNow: make(chan struct{}, 1), queue: make(chan messenger.Message, maxQueuedMessages)}
	if dialled {
		l.control, err = conn.OpenStreamSync(ctx)
	} else {
		l.control, err = conn.AcceptStream(ctx)
	}
	if err != nil {
		return nil, errors.Wrap(err, "open control stream")
	}
	if err := l.Send(cfg.Hello()); err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	if err := l.control.SetReadDeadline(deadline); err != nil {
		return nil, errors.Wrap(err, "set deadline of control stream")
	}
	first, err := encoder.Read(countingReader{l.control, &cfg.Traffic.controlReceived})
	if err != nil {
		return nil, errors.Wrap(err, "read Hello of the peer")
	}
	hello, ok := first.(messenger.Hello)
	if !ok {
		return nil, &encoder.FrameError{Cause: "control stream starts without Hello"}
	}
	if hello.Node != identity.Node || hello.Role != identity.Role {
		return nil, &authenticator.IdentityError{Cause: "names another node or role than the peer's Hello"}
	}
	l.peer = hello
	l.markReceived()
	return l, errors.Wrap(l.control.SetReadDeadline(time.Time{}), "clear deadline of control stream")
}

// Peer returns the Hello message of the peer.
func (l *Link) Peer() messenger.Hello { return l.peer }

// Dialled reports whether this process opened the link.
func (l *Link) Dialled() bool { return l.dialled }

// Done is closed when the link is down.
func (l *Link) Done() <-chan struct{} { return l.conn.Context().Done() }

// Close closes the link. The peer receives the reason.
func (l *Link) Close(reason string) {
	// The error is ignored, since the connection may already be closed.
	_ = l.conn.CloseWithError(0, reason)
}

// Send writes a message to the control stream. It fails after writeTimeout.
func (l *Link) Send(m messenger.Message) error {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	return l.sendLocked(m)
}

// sendLocked is called with sendMu held.
func (l *Link) sendLocked(m messenger.Message) error {
	if err := l.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "set deadline of control stream")
	}
	return encoder.Write(countingWriter{l.control, &l.cfg.Traffic.controlSent}, m)
}

// Enqueue queues a message for the control stream and does not block. It closes the link if the queue is full.
func (l *Link) Enqueue(m messenger.Message) {
	select {
	case l.queue <- m:
	default:
		l.Close("peer does not take its messages")
	}
}

// Run passes control messages to handle one at a time, sends heartbeats and queued messages, and detects silence of the
// peer until the link is down or ctx ends. It closes the link and returns the reason, which the peer receives too.
func (l *Link) Run(ctx context.Context, handle func(messenger.Message)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var loops sync.WaitGroup
	loops.Go(func() { cancel(l.receive(handle)) })
	loops.Go(func() { cancel(l.sendHeartbeats(ctx)) })
	loops.Go(func() { cancel(l.detectSilence(ctx)) })
	loops.Go(func() { cancel(l.sendQueued(ctx)) })
	select {
	case <-ctx.Done():
	case <-l.conn.Context().Done():
		cancel(context.Cause(l.conn.Context()))
	}
	cause := context.Cause(ctx)
	l.Close(cause.Error())
	loops.Wait()
	l.countTraffic()
	return cause
}

func (l *Link) receive(handle func(messenger.Message)) error {
	for {
		m, err := encoder.Read(countingReader{l.control, &l.cfg.Traffic.controlReceived})
		if err != nil {
			return errors.Wrap(err, "read control stream")
		}
		l.markReceived()
		handle(m)
	}
}

func (l *Link) sendQueued(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-l.queue:
			if err := l.Send(m); err != nil {
				return err
			}
		}
	}
}

// sendHeartbeats sends a heartbeat at each interval and whenever TriggerHeartbeat is called.
func (l *Link) sendHeartbeats(ctx context.Context) error {
	for {
		if err := l.sendHeartbeat(); err != nil {
			return err
		}
		interval := idleHeartbeatInterval
		if l.openStreams.Load() > 0 {
			interval = busyHeartbeatInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-l.heartbeatNow:
			timer.Stop()
		case <-timer.C:
		}
	}
}

func (l *Link) sendHeartbeat() error {
	heartbeat := l.cfg.Heartbeat()
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	l.sequence++
	heartbeat.Sequence = l.sequence
	return l.sendLocked(heartbeat)
}

// detectSilence returns a SilentError once the peer has been silent for too long. It also counts the traffic.
func (l *Link) detectSilence(ctx context.Context) error {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	lastTick := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			// A late tick means that this process itself was paused: the silence is measured anew, so that frames that
			// arrived in the meantime are read first.
			if now.Sub(lastTick) > busySilenceTimeout/2 {
				l.markReceived()
			}
			lastTick = now
			l.countTraffic()
			if silent := l.silentFor(now); silent > 0 {
				return &SilentError{Duration: silent}
			}
		}
	}
}

// silentFor returns how long the peer has been silent, or 0 while that is less than the timeout. For a link that has just
// become busy the silence is measured from then on, since the peer may still send heartbeats at the idle interval.
func (l *Link) silentFor(now time.Time) time.Duration {
	since := l.lastReceived.Load()
	timeout := idleSilenceTimeout
	if l.openStreams.Load() > 0 {
		timeout = busySilenceTimeout
		since = max(since, l.busySince.Load())
	}
	silent := now.Sub(time.Unix(0, since))
	if silent < timeout {
		return 0
	}
	return silent
}

// markReceived restarts the measurement of silence.
func (l *Link) markReceived() {
	l.lastReceived.Store(time.Now().UnixNano())
}

// Stream is a request stream of a link. A message received on it shows, like one on the control stream, that the peer is
// not silent.
type Stream struct {
	link      *Link
	stream    *quic.Stream
	sendMu    sync.Mutex
	closeOnce sync.Once
}

// Open opens a request stream. The caller closes it.
func (l *Link) Open(ctx context.Context) (*Stream, error) {
	s, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "open request stream")
	}
	return l.newStream(s), nil
}

// Accept waits for the peer to open a request stream. The caller closes it.
func (l *Link) Accept(ctx context.Context) (*Stream, error) {
	s, err := l.conn.AcceptStream(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "accept request stream")
	}
	return l.newStream(s), nil
}

// TriggerHeartbeat makes Run send a heartbeat immediately, so that urgent changes do not wait for the interval. It does
// not block.
func (l *Link) TriggerHeartbeat() {
	select {
	case l.heartbeatNow <- struct{}{}:
	default:
	}
}

func (l *Link) newStream(s *quic.Stream) *Stream {
	if l.openStreams.Add(1) == 1 {
		l.busySince.Store(time.Now().UnixNano())
		l.TriggerHeartbeat()
	}
	return &Stream{link: l, stream: s}
}

// Send writes a message. It may be called concurrently.
func (s *Stream) Send(m messenger.Message) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	return encoder.Write(s.stream, m)
}

// Receive reads the next message. The error is io.EOF once the peer has ended its sending side.
func (s *Stream) Receive() (messenger.Message, error) {
	m, err := encoder.Read(s.stream)
	if err == nil {
		s.link.markReceived()
	}
	return m, err
}

// CloseSend ends the sending side after the messages sent so far. Messages can still be received.
func (s *Stream) CloseSend() {
	_ = s.stream.Close()
}

// Close ends both directions: it stops receiving and ends the sending side after the messages sent so far. Further
// calls have no effect.
func (s *Stream) Close() {
	s.closeOnce.Do(func() {
		s.stream.CancelRead(0)
		_ = s.stream.Close()
		s.link.openStreams.Add(-1)
	})
}

// Reset ends both directions and discards messages that are not transmitted yet, so that a Send that is blocked on a
// dead connection returns.
func (s *Stream) Reset() {
	s.stream.CancelWrite(0)
	s.Close()
}
