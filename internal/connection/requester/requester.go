// Package requester sends single HTTP/1.1 requests to upstreams. It tells exactly whether an upstream can have seen a
// request, never sends one twice by itself, and never uses a connection again on which anything unexpected arrived.
package requester

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// defaultDialTimeout is far above the round trip of a few ms between failure domains; a dark VM costs this much.
	defaultDialTimeout = 200 * time.Millisecond
	// idleLimit closes idle connections before most upstreams do.
	idleLimit = 4 * time.Second
	// keepAliveMargin is kept from the timeout that an upstream states.
	keepAliveMargin = time.Second
	// maxIdle bounds the idle connections to one address.
	maxIdle = 16
	// inlineBody is the largest body that is written before the answer is read; it fits the socket's buffers.
	inlineBody = 4 << 10
	// readBuffer holds the head and the first events of an answer.
	readBuffer = 4 << 10
	// silentTimeout bounds unacknowledged data on a connection whose peer went silent.
	silentTimeout = 3 * time.Second
	// tcpUserTimeout is the Linux socket option of that name.
	tcpUserTimeout = 18
)

// ErrNotSent marks failures in which the upstream cannot have seen the request.
var ErrNotSent = errors.New("no connection to the upstream; the request was not sent")

// Field is a header field; the order of fields is kept.
type Field struct {
	Name  string
	Value string
}

// Request is one request to an upstream.
type Request struct {
	Address string
	Method  string
	// Target is the path and query as the client sent them.
	Target string
	Host   string
	Header []Field
	Body   []byte
	// Fresh asks for a new connection, so that a failure to connect is known to have sent nothing.
	Fresh bool
}

// Config sets up a Requester.
type Config struct {
	DialTimeout time.Duration
	// Dial opens connections; TCP if it is nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Requester keeps idle connections to upstreams.
type Requester struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	mu   sync.Mutex
	idle map[string][]*connection
}

type connection struct {
	net.Conn
	reader *bufio.Reader
	until  time.Time
}

// New returns a Requester.
func New(cfg Config) *Requester {
	if cfg.DialTimeout <= 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.Dial == nil {
		dialer := &net.Dialer{Timeout: cfg.DialTimeout, Control: setSilentTimeout}
		cfg.Dial = dialer.DialContext
	}
	return &Requester{dial: cfg.Dial, idle: map[string][]*connection{}}
}

func setSilentTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silentTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

// Answer is the head of an answer; its body is read from Body. Close ends it.
type Answer struct {
	Status int
	Header http.Header
	// Length is -1 if the answer does not state it.
	Length int64
	// Framed is false if the body ends with the connection.
	Framed bool
	Body   io.Reader

	owner   *Requester
	address string
	conn    *connection
	stop    func() bool
	written chan error
	body    *endNoter
	keep    bool
	until   time.Duration
}

// endNoter remembers whether the body was read to its end.
type endNoter struct {
	io.Reader
	ended bool
}

func (n *endNoter) Read(p []byte) (int, error) {
	count, err := n.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		n.ended = true
	}
	return count, err
}

// Do sends a request and reads the head of the answer. Cancelling the context closes the connection at once, also
// while the body is read.
func (r *Requester) Do(ctx context.Context, q Request) (*Answer, error) {
	conn, err := r.connect(ctx, q)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	fail := func(err error, doing string) (*Answer, error) {
		stop()
		_ = conn.Close()
		return nil, errors.Wrap(err, doing)
	}
	written := make(chan error, 1)
	head := q.encode()
	if len(q.Body) <= inlineBody {
		_, err := conn.Write(append(head, q.Body...))
		written <- err
		if err != nil {
			return fail(err, "send the request")
		}
	} else {
		go func() {
			_, err := (&net.Buffers{head, q.Body}).WriteTo(conn.Conn)
			written <- err
		}()
	}
	response, err := readHead(conn.reader, q.Method) //nolint:bodyclose // Close ends the connection; closing the body would read it to its end first.
	if err != nil {
		return fail(err, "read the head of the answer")
	}
	body := &endNoter{Reader: response.Body}
	return &Answer{
		Status:  response.StatusCode,
		Header:  response.Header,
		Length:  response.ContentLength,
		Framed:  response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
		Body:    body,
		owner:   r,
		address: q.Address,
		conn:    conn,
		stop:    stop,
		written: written,
		body:    body,
		keep:    !response.Close && !q.Fresh,
		until:   idleTime(response.Header.Get("Keep-Alive")),
	}, nil
}

func readHead(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

func (q Request) encode() []byte {
	var b bytes.Buffer
	b.WriteString(q.Method + " " + q.Target + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	for _, f := range q.Header {
		b.WriteString(f.Name + ": " + f.Value + "\r\n")
	}
	if len(q.Body) > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	if q.Fresh {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// idleTime returns how long a connection may idle, given the Keep-Alive header of an answer.
func idleTime(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0
		}
		return min(time.Duration(seconds)*time.Second-keepAliveMargin, idleLimit)
	}
	return idleLimit
}

// Close ends the answer. The connection is kept only if the whole exchange was clean.
func (a *Answer) Close() {
	stopped := a.stop()
	clean := stopped && a.keep && a.body.ended && a.Framed && a.until > 0 && a.conn.reader.Buffered() == 0
	if clean {
		select {
		case err := <-a.written:
			clean = err == nil
		default:
			clean = false
		}
	}
	if !clean {
		_ = a.conn.Close()
		return
	}
	a.owner.put(a.address, a.conn, a.until)
}

func (r *Requester) connect(ctx context.Context, q Request) (*connection, error) {
	if !q.Fresh {
		if c := r.take(q.Address); c != nil {
			return c, nil
		}
	}
	raw, err := r.dial(ctx, "tcp", q.Address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", q.Address), ErrNotSent)
	}
	return &connection{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

func (r *Requester) put(address string, c *connection, idle time.Duration) {
	c.until = time.Now().Add(idle)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.idle[address]) >= maxIdle {
		_ = c.Close()
		return
	}
	r.idle[address] = append(r.idle[address], c)
}

// take returns the connection used last that is still silent and open.
func (r *Requester) take(address string) *connection {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.idle[address]
	now := time.Now()
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		r.idle[address] = list
		if now.Before(c.until) && quiet(c.Conn) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// Sweep closes connections that have idled too long.
func (r *Requester) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, list := range r.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(r.idle, address)
			continue
		}
		r.idle[address] = kept
	}
}

// quiet tells whether an idle connection is open and has received nothing: bytes there belong to no request.
func quiet(c net.Conn) bool {
	owner, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := owner.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peek := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(peek, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}
