package accepter

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/shedder"
)

// connection is a connection of a client. The HTTP server reads heads and starts handlers from one goroutine, so the
// fields below need no lock. A read that runs beside a handler begins after headDone is set and only reads that field.
type connection struct {
	net.Conn
	listener *Listener
	holder   *shedder.Holder
	// limit bounds the bytes that may be read for the present head.
	limit int
	// headBytes are those read for the present head, and taken what the holder has taken for it and its request.
	headBytes int
	taken     int64
	// headDone is set from the end of a head to the end of its request. The HTTP server reads the first byte of the next
	// request in a goroutine that it starts before the handler.
	headDone bool
	// body is what has been taken for the body, if the listener counts bodies.
	body int64
}

// Read reads from the client. While a head arrives, it counts the head.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.headDone {
		return n, err
	}
	switch c.holder.State() {
	case shedder.StateBody, shedder.StateRunning, shedder.StateRefused, shedder.StateShed:
		return n, err
	case shedder.StateNew, shedder.StateIdle, shedder.StateHead:
	}
	now := time.Now()
	if !c.holder.Enter(now, shedder.StateHead) {
		return 0, readError(ErrNoRoom)
	}
	if c.headBytes == 0 {
		c.limit = c.listener.headLimit()
	}
	if c.headBytes += n; c.headBytes > c.limit {
		c.limit = max(c.limit, c.listener.headLimit())
	}
	if c.headBytes > c.limit {
		c.listener.oversized.Add(1)
		c.respond(headTooLarge)
		return 0, readError(errHeadTooLarge)
	}
	cost := int64(n)*byteCost + int64(bytes.Count(p[:n], []byte{'\n'}))*fieldCost
	if !c.holder.Take(now, cost) {
		c.respond(refusal)
		return 0, readError(ErrNoRoom)
	}
	c.taken += cost
	return n, err
}

// readError returns an error of a read after which the HTTP server closes the connection. It sends a 400 after errors of
// other types, which would follow the response of the listener.
func readError(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Err: err}
}

// Write writes to the client, and lets the holder know while it does.
func (c *connection) Write(p []byte) (int, error) {
	c.holder.BeginWrite(time.Now())
	n, err := c.Conn.Write(p)
	c.holder.EndWrite()
	return n, err
}

// CloseWrite ends the response. The HTTP server calls it before it closes a connection on which more bytes may arrive.
func (c *connection) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection and returns what it holds.
func (c *connection) Close() error {
	err := c.Conn.Close()
	c.holder.Close()
	return err
}

// Shed closes the connection for others.
func (c *connection) Shed() {
	_ = c.Conn.Close()
}

// EndReads makes the reads of the body fail. A deadline in the past ends reads that have begun.
func (c *connection) EndReads() {
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// respond sends a response of the listener itself. A failure is ignored: the connection is closed next.
func (c *connection) respond(text string) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, text)
}

// beginRequest counts a request whose head was parsed. It returns the request for the handler, and whether there is room
// for it.
func (c *connection) beginRequest(r *http.Request) (*http.Request, bool) {
	now := time.Now()
	cost := int64(shedder.RequestBytes + 2*len(r.RequestURI))
	for name, values := range r.Header {
		for _, v := range values {
			cost += fieldCost + byteCost*int64(len(name)+len(v))
		}
	}
	// What was counted while the head arrived includes bytes that were read beyond it.
	if cost > c.taken && !c.holder.Take(now, cost-c.taken) {
		return nil, false
	}
	if cost < c.taken {
		c.holder.Return(c.taken - cost)
	}
	c.taken = cost
	if r.ContentLength == 0 {
		return r, c.holder.Enter(now, shedder.StateRunning)
	}
	c.holder.SetBodyUntil(now.Add(defaultBodyTimeout))
	if !c.holder.Enter(now, shedder.StateBody) {
		return nil, false
	}
	// The server tells by the type of the body in its own request whether the client waits for a 100, and whether the rest
	// is too large to be discarded.
	counted := *r
	counted.Body = &body{ReadCloser: r.Body, connection: c}
	return &counted, true
}

// endRequest returns what the request took. A connection that is to be closed is closed here.
func (c *connection) endRequest() {
	c.holder.Return(c.taken + c.body)
	c.taken, c.body, c.headBytes, c.headDone = 0, 0, 0, false
	if !c.holder.Enter(time.Now(), shedder.StateIdle) {
		_ = c.Conn.Close()
	}
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	connection *connection
}

// Read reads from the body. The connection is running once all of it has arrived.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	c := b.connection
	c.holder.RecordBody(time.Now, n)
	if err != nil && !errors.Is(err, io.EOF) && c.holder.State() == shedder.StateRefused {
		return n, ErrNoRoom
	}
	if c.listener.cfg.CountBodies && n > 0 {
		// Buffers double as they grow.
		bytes := 2 * int64(n)
		if !c.holder.Take(time.Now(), bytes) {
			return 0, ErrNoRoom
		}
		c.body += bytes
	}
	if errors.Is(err, io.EOF) && !c.holder.Enter(time.Now(), shedder.StateRunning) {
		return 0, ErrNoRoom
	}
	return n, err
}
