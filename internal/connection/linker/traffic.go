package linker

import (
	"io"
	"sync/atomic"
)

// Traffic counts the bytes of all links of a process. It is safe for concurrent use.
type Traffic struct {
	sent, received               atomic.Int64
	controlSent, controlReceived atomic.Int64
}

// Sent returns the bytes of all QUIC packets sent, without UDP and IP headers.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the bytes of all QUIC packets received, without UDP and IP headers.
func (t *Traffic) Received() int64 { return t.received.Load() }

// ControlSent returns the bytes of the frames sent on control streams.
func (t *Traffic) ControlSent() int64 { return t.controlSent.Load() }

// ControlReceived returns the bytes of the frames received on control streams.
func (t *Traffic) ControlReceived() int64 { return t.controlReceived.Load() }

// packetBytes counts the bytes of the QUIC packets of one link.
type packetBytes struct{ sent, received int64 }

// countTraffic adds the packet bytes since the last call to Traffic. It must not be called concurrently.
func (l *Link) countTraffic() {
	stats := l.conn.ConnectionStats()
	total := packetBytes{sent: int64(stats.BytesSent), received: int64(stats.BytesReceived)}
	l.cfg.Traffic.sent.Add(total.sent - l.counted.sent)
	l.cfg.Traffic.received.Add(total.received - l.counted.received)
	l.counted = total
}

// countingWriter adds the bytes written to count.
type countingWriter struct {
	io.Writer
	count *atomic.Int64
}

// Write writes p and counts the bytes written.
func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.count.Add(int64(n))
	return n, err
}

// countingReader adds the bytes read to count.
type countingReader struct {
	io.Reader
	count *atomic.Int64
}

// Read reads into p and counts the bytes read.
func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.count.Add(int64(n))
	return n, err
}
