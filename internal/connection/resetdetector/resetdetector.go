// Package resetdetector distinguishes connections that broke from those that the peer has closed.
package resetdetector

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Conn is a connection on which a Read returns io.EOF only if the peer has closed its side.
//
// The kernel reports a reset, or a peer that is unreachable, to one system call only. If a concurrent Write receives that
// error, the next Read of the socket finds the end of the stream, and a message without a length looks complete.
type Conn struct {
	net.Conn
	// mu guards failure, and is held during each write.
	mu sync.Mutex
	// failure is the error of the connection that a write has received, or nil.
	failure error
}

// New returns a Conn on top of a connection. All reads and writes have to use the Conn.
func New(c net.Conn) *Conn {
	return &Conn{Conn: c}
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.record(err)
	return n, err
}

// WriteBuffers writes the contents of all buffers, with one system call where the connection permits that.
func (c *Conn) WriteBuffers(buffers *net.Buffers) (int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := buffers.WriteTo(c.Conn)
	c.record(err)
	return n, err
}

// record keeps the first error that the connection has reported to a write. EPIPE is not one: the peer had closed its side
// before it stopped reading, or another system call has received the error.
func (c *Conn) record(err error) {
	if err == nil || c.failure != nil || errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.failure = err
}

// Read reads from the connection. It returns the error of a failed write instead of io.EOF.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if failure := c.awaitFailure(); failure != nil {
			return n, errors.Wrap(failure, "the connection broke during a write")
		}
	}
	return n, err
}

// awaitFailure returns the error that a write has received, or nil. It ends a write that still waits, since that one has
// received none.
func (c *Conn) awaitFailure() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// SyscallConn returns the socket of the connection. It returns an error if there is none.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("%T has no socket", c.Conn)
	}
	return socket.SyscallConn()
}
