// Package linker implements a link between two processes: a QUIC connection with one control stream, heartbeats,
// detection of silence and request streams.
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
	busyHeartbeat    = 300 * time.Millisecond
	idleHeartbeat    = time.Second
	busySilence      = time.Second
	idleSilence      = 3 * time.Second
	watchInterval    = 100 * time.Millisecond
	writeTimeout     = time.Second
	handshakeTimeout = 2 * time.Second
	maxStreams       = 1 << 16
	// maxPosted bounds the messages that wait for a slow peer before its link is closed.
	maxPosted = 1 << 12
)

// SilentError tells that the peer has not been heard for too long.
type SilentError struct{ For time.Duration }

// Error names the time and the remedy.
func (e *SilentError) Error() string {
	return "peer silent for " + e.For.String() + "; a new connection is opened"
}

// Config holds what a process needs to link to others.
type Config struct {
	Credentials *authenticator.Credentials
	// Hello returns the greeting of this process.
	Hello func() messenger.Hello
	// Heartbeat returns the content of the next heartbeat; the link sets its sequence number.
	Heartbeat func() messenger.Heartbeat
	// Traffic counts the bytes of all links of the process. It may be nil.
	Traffic *Traffic
}

// QUIC returns the transport settings of both sides. The idle timeout is longer than the silence that the
// link itself detects, so that the link's own reason is reported.
func QUIC() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIdleTimeout:        2 * idleSilence,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
	}
}

// Link is an established connection to a peer.
type Link struct {
	cfg     Config
	conn    *quic.Conn
	control *quic.Stream
	peer    messenger.Hello
	dialled bool

	sending   sync.Mutex
	sequence  uint64
	heard     atomic.Int64
	busy      atomic.Int64
	busySince atomic.Int64
	wake      chan struct{}
	posted    chan messenger.Message
	counted   counted
}

// Greet exchanges Hello messages over a new connection and checks the peer's identity. The dialling side opens
// the control stream.
func Greet(ctx context.Context, cfg Config, conn *quic.Conn, dialled bool) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if cfg.Traffic == nil {
		cfg.Traffic = &Traffic{}
	}
	identity, err := authenticator.Peer(conn.ConnectionState().TLS)
	if err != nil {
		return nil, err
	}
	l := &Link{cfg: cfg, conn: conn, dialled: dialled, wake: make(chan struct{}, 1), posted: make(chan messenger.Message, maxPosted)}
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
		return nil, errors.Wrap(err, "read greeting")
	}
	hello, ok := first.(messenger.Hello)
	if !ok {
		return nil, &encoder.FrameError{Cause: "control stream starts without Hello"}
	}
	if hello.Node != identity.Node || hello.Role != identity.Role {
		return nil, &authenticator.IdentityError{Cause: "names another node or role than its greeting"}
	}
	l.peer = hello
	l.hear()
	return l, errors.Wrap(l.control.SetReadDeadline(time.Time{}), "clear deadline of control stream")
}

// Peer returns the greeting of the peer.
func (l *Link) Peer() messenger.Hello { return l.peer }

// Dialled tells whether this process opened the link.
func (l *Link) Dialled() bool { return l.dialled }

// Done is closed when the link is down.
func (l *Link) Done() <-chan struct{} { return l.conn.Context().Done() }

// Close ends the link.
func (l *Link) Close(reason string) {
	// The peer may already be gone; there is nobody to report the error to.
	_ = l.conn.CloseWithError(0, reason)
}

// Send writes a message to the control stream.
func (l *Link) Send(m messenger.Message) error {
	l.sending.Lock()
	defer l.sending.Unlock()
	return l.sendLocked(m)
}

func (l *Link) sendLocked(m messenger.Message) error {
	if err := l.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "set deadline of control stream")
	}
	return encoder.Write(countingWriter{l.control, &l.cfg.Traffic.controlSent}, m)
}

// Post sends a message without waiting for the transport. A peer that does not take its messages loses the link.
func (l *Link) Post(m messenger.Message) {
	select {
	case l.posted <- m:
	default:
		l.Close("peer does not take its messages")
	}
}

// Run reads control messages, sends heartbeats and watches for silence until the link is down or ctx ends.
// It returns the reason.
func (l *Link) Run(ctx context.Context, handle func(messenger.Message)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var parts sync.WaitGroup
	parts.Go(func() { cancel(l.read(handle)) })
	parts.Go(func() { cancel(l.beat(ctx)) })
	parts.Go(func() { cancel(l.watch(ctx)) })
	parts.Go(func() { cancel(l.post(ctx)) })
	select {
	case <-ctx.Done():
	case <-l.conn.Context().Done():
		cancel(context.Cause(l.conn.Context()))
	}
	cause := context.Cause(ctx)
	l.Close(cause.Error())
	parts.Wait()
	l.countTraffic()
	return cause
}

func (l *Link) read(handle func(messenger.Message)) error {
	for {
		m, err := encoder.Read(countingReader{l.control, &l.cfg.Traffic.controlReceived})
		if err != nil {
			return errors.Wrap(err, "read control stream")
		}
		l.hear()
		handle(m)
	}
}

func (l *Link) post(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-l.posted:
			if err := l.Send(m); err != nil {
				return err
			}
		}
	}
}

func (l *Link) beat(ctx context.Context) error {
	for {
		if err := l.sendHeartbeat(); err != nil {
			return err
		}
		interval := idleHeartbeat
		if l.busy.Load() > 0 {
			interval = busyHeartbeat
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-l.wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

func (l *Link) sendHeartbeat() error {
	heartbeat := l.cfg.Heartbeat()
	l.sending.Lock()
	defer l.sending.Unlock()
	l.sequence++
	heartbeat.Sequence = l.sequence
	return l.sendLocked(heartbeat)
}

func (l *Link) watch(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			// After this process itself was paused, frames that arrived meanwhile are read first.
			if now.Sub(last) > busySilence/2 {
				l.hear()
			}
			last = now
			l.countTraffic()
			if silent := l.silentFor(now); silent > 0 {
				return &SilentError{For: silent}
			}
		}
	}
}

// silentFor returns how long the peer has been silent, or 0 while that is within bounds. A link that has just
// become busy gets the full time, since the peer may still heartbeat at the idle interval.
func (l *Link) silentFor(now time.Time) time.Duration {
	heard := l.heard.Load()
	bound := idleSilence
	if l.busy.Load() > 0 {
		bound = busySilence
		heard = max(heard, l.busySince.Load())
	}
	silent := now.Sub(time.Unix(0, heard))
	if silent < bound {
		return 0
	}
	return silent
}

func (l *Link) hear() {
	l.heard.Store(time.Now().UnixNano())
}

// Stream is a request stream. Reading a message counts as hearing the peer.
type Stream struct {
	link    *Link
	stream  *quic.Stream
	sending sync.Mutex
	closed  sync.Once
}

// Open opens a request stream.
func (l *Link) Open(ctx context.Context) (*Stream, error) {
	s, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "open request stream")
	}
	return l.track(s), nil
}

// Accept waits for the peer to open a request stream.
func (l *Link) Accept(ctx context.Context) (*Stream, error) {
	s, err := l.conn.AcceptStream(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "accept request stream")
	}
	return l.track(s), nil
}

// Beat sends a heartbeat at once, so that urgent news does not wait for the interval.
func (l *Link) Beat() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Link) track(s *quic.Stream) *Stream {
	if l.busy.Add(1) == 1 {
		l.busySince.Store(time.Now().UnixNano())
		l.Beat()
	}
	return &Stream{link: l, stream: s}
}

// Send writes a message.
func (s *Stream) Send(m messenger.Message) error {
	s.sending.Lock()
	defer s.sending.Unlock()
	return encoder.Write(s.stream, m)
}

// Receive reads a message.
func (s *Stream) Receive() (messenger.Message, error) {
	m, err := encoder.Read(s.stream)
	if err == nil {
		s.link.hear()
	}
	return m, err
}

// Finish ends the sending side after all data has been handed to the transport.
func (s *Stream) Finish() {
	_ = s.stream.Close()
}

// Release ends both directions and gives the stream back. It is called exactly once by the owner; later calls
// do nothing.
func (s *Stream) Release() {
	s.closed.Do(func() {
		s.stream.CancelRead(0)
		_ = s.stream.Close()
		s.link.busy.Add(-1)
	})
}

// Reset is Release with an abrupt end, so that a writer blocked on a dead connection returns.
func (s *Stream) Reset() {
	s.stream.CancelWrite(0)
	s.Release()
}
