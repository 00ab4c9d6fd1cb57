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
	// writing is held during each write.
	writing sync.Mutex
	// mu guards failure, the error of the connection that a system call has received, or nil.
	mu      sync.Mutex
	failure error
}

// New returns a Conn on top of a connection. All reads and writes have to use the Conn.
func New(c net.Conn) *Conn {
	return &Conn{Conn: c}
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.record(err)
	return n, err
}

// WriteBuffers writes the contents of all buffers, with one system call where the connection permits that.
func (c *Conn) WriteBuffers(buffers *net.Buffers) (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := buffers.WriteTo(c.Conn)
	c.record(err)
	return n, err
}

// Read reads from the connection. If the connection broke, it returns that error instead of io.EOF.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		c.record(err)
		return n, err
	}
	c.endWrite()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return n, errors.Wrap(c.failure, "the connection broke")
	}
	return n, err
}

// record keeps the first error that the connection has reported. EPIPE is not one: the peer had closed its side before it
// stopped reading, or another system call has received the error.
func (c *Conn) record(err error) {
	if err == nil || errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == nil {
		c.failure = err
	}
}

// endWrite returns once no write is under way. A write that has received an error returns with it, and one that still waits
// has received none and ends.
func (c *Conn) endWrite() {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
}

// SyscallConn returns the socket of the connection. It returns an error if there is none.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("%T has no socket", c.Conn)
	}
	return socket.SyscallConn()
}
