// Package requester sends single HTTP/1.1 requests to upstreams. It reports exactly whether an upstream can have seen a
// request, never retries by itself, and never reuses a connection on which unexpected bytes arrived.
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

	"currantledge.example/currantledge/internal/connection/headchecker"
	"currantledge.example/currantledge/internal/connection/resetdetector"
)

const (
	// defaultDialTimeout is far above the round trip of a few ms between failure domains; a request to an unreachable VM
	// is delayed by this much.
	defaultDialTimeout = 200 * time.Millisecond
	// maxIdleTime is how long a connection may be idle; most upstreams close idle connections later.
	maxIdleTime = 4 * time.Second
	// keepAliveMargin is subtracted from the timeout in an upstream's Keep-Alive header, so that the upstream does not
	// close the connection first.
	keepAliveMargin = time.Second
	// maxIdlePerAddress bounds the idle connections to one address.
	maxIdlePerAddress = 16
	// maxInlineBodyBytes is the largest body that is written before the response is read; it fits the socket's buffers.
	maxInlineBodyBytes = 4 << 10
	// readBufferBytes holds the head and the first events of a response. It also bounds a trailer, which net/http reads
	// from the buffer.
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the heads that precede a body, including those of informational responses.
	maxHeadBytes = 64 << 10
	// defaultMaxBodyBytes bounds a body with its framing.
	defaultMaxBodyBytes = 64 << 20
	// unacknowledgedTimeout is how long sent data may stay unacknowledged before the kernel closes the connection, so
	// that a connection to an unreachable peer ends.
	unacknowledgedTimeout = 3 * time.Second
	// optionTCPUserTimeout is the Linux socket option TCP_USER_TIMEOUT.
	optionTCPUserTimeout = 18
)

var (
	// ErrNotSent marks errors after which the upstream cannot have seen the request.
	ErrNotSent = errors.New("no connection to the upstream; the request was not sent")
	// ErrTooLarge marks errors of responses that exceed the limit of their head or body. The request may have run.
	ErrTooLarge = errors.New("the response exceeds its size limit; check what serves at the address of the upstream")
	// errFolded is the error of a head with a folded line.
	errFolded = errors.Wrap(headchecker.ErrInvalidField, "a line begins with a blank")
)

// Field is a header field; the order of fields is kept.
type Field struct {
	Name  string
	Value string
}

// Request is one request to an upstream.
type Request struct {
	Address string
	Method  string
	// Target is the request target: path and query as the client sent them.
	Target string
	Host   string
	Header []Field
	Body   []byte
	// NewConnection requires a new connection, which is not reused afterwards: an idle connection may break while the
	// request is sent, but if no connection could be opened, the request was certainly not sent.
	NewConnection bool
}

// Config sets up a Requester.
type Config struct {
	// DialTimeout is the timeout of the default Dial; 200 ms by default.
	DialTimeout time.Duration
	// Dial opens connections; TCP connections by default.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxBodyBytes bounds the body of a response; 64 MiB by default.
	MaxBodyBytes int64
	// MaxIdle bounds the idle connections to all addresses together; 0 sets no bound.
	MaxIdle int
}

// Requester sends requests and keeps idle connections to upstreams. Its methods may be called concurrently.
type Requester struct {
	dial         func(ctx context.Context, network, address string) (net.Conn, error)
	maxBodyBytes int64
	maxIdle      int
	mu           sync.Mutex
	idle         map[string][]*connection
	// idleCount is the number of connections in idle.
	idleCount int
}

type connection struct {
	*resetdetector.Conn
	reader *bufio.Reader
	// limit bounds the bytes of the current head or body that are read from the socket; taken counts them.
	limit int64
	taken int64
	// head scans the bytes of the current head. It is done while a body is read.
	head headScanner
	// expires is when the idle connection has to be closed.
	expires time.Time
}

func newConnection(raw net.Conn) *connection {
	c := &connection{Conn: resetdetector.New(raw)}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// Read reads from the socket until the limit is reached or the head has a folded line.
func (c *connection) Read(p []byte) (int, error) {
	if c.taken >= c.limit {
		return 0, errors.Wrapf(ErrTooLarge, "closed after %d bytes", c.taken)
	}
	if c.head.isFolded {
		return 0, errFolded
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.limit-c.taken)])
	c.taken += int64(n)
	c.head.scan(p[:n])
	if c.head.isFolded {
		return 0, errFolded
	}
	return n, err
}

// beginHead starts a head with a new count of bytes.
func (c *connection) beginHead() {
	c.head = headScanner{}
	c.limit, c.taken = maxHeadBytes, 0
}

// beginBody starts a body with a new count of bytes.
func (c *connection) beginBody(limit int64) {
	c.limit, c.taken = limit, 0
}

// New returns a Requester.
func New(cfg Config) *Requester {
	if cfg.DialTimeout <= 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.Dial == nil {
		dialer := &net.Dialer{Timeout: cfg.DialTimeout, Control: setUserTimeout}
		cfg.Dial = dialer.DialContext
	}
	if cfg.MaxBodyBytes <= 0 {
		cfg.MaxBodyBytes = defaultMaxBodyBytes
	}
	return &Requester{dial: cfg.Dial, maxBodyBytes: cfg.MaxBodyBytes, maxIdle: cfg.MaxIdle, idle: map[string][]*connection{}}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optionTCPUserTimeout, int(unacknowledgedTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, optionErr)
}

// Response is the head of a response and the reader of its body. The caller has to close it.
type Response struct {
	Status int
	Header http.Header
	// Length is the Content-Length in bytes, or -1 if the response has none.
	Length int64
	// Framed is set if the response delimits its body; otherwise the body ends when the connection is closed.
	Framed bool
	// Reused is set if the connection had served a request before: the response may be a late one to that request.
	Reused bool
	// Closing is set if the upstream closes the connection after the response although the request did not ask for that.
	Closing bool
	Body    io.Reader

	requester *Requester
	address   string
	conn      *connection
	// stopCancel detaches the connection from the context; it reports false if the context has already ended.
	stopCancel func() bool
	// writeResult receives the result of writing the request.
	writeResult chan error
	body        *eofTracker
	keepAlive   bool
	maxIdle     time.Duration
}

// eofTracker records whether the body was read to its end.
type eofTracker struct {
	io.Reader
	atEOF bool
}

func (t *eofTracker) Read(p []byte) (int, error) {
	n, err := t.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		t.atEOF = true
	}
	return n, err
}

// Do sends a request and reads the head of the response. Cancelling the context closes the connection at once, also
// while the body is read.
func (r *Requester) Do(ctx context.Context, q Request) (*Response, error) {
	conn, reused, err := r.connect(ctx, q)
	if err != nil {
		return nil, err
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = conn.Close() })
	fail := func(err error, action string) (*Response, error) {
		stopCancel()
		_ = conn.Close()
		return nil, errors.Wrap(err, action)
	}
	writeResult := make(chan error, 1)
	head := q.encode()
	if len(q.Body) <= maxInlineBodyBytes {
		_, err := conn.Write(append(head, q.Body...))
		writeResult <- err
		if err != nil {
			return fail(err, "send the request")
		}
	} else {
		go func() {
			_, err := conn.WriteBuffers(&net.Buffers{head, q.Body})
			writeResult <- err
		}()
	}
	conn.beginHead()
	response, err := readHead(conn, q.Method) //nolint:bodyclose // Close ends the connection; closing the body would first read it to its end.
	if err != nil {
		return fail(err, "read the head of the response")
	}
	if response.ContentLength > r.maxBodyBytes {
		return fail(errors.Wrapf(ErrTooLarge, "body of %d bytes", response.ContentLength), "read the head of the response")
	}
	conn.beginBody(r.maxBodyBytes)
	body := &eofTracker{Reader: response.Body}
	return &Response{
		Status:  response.StatusCode,
		Header:  response.Header,
		Length:  response.ContentLength,
		Framed:  response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
		Reused:  reused,
		Closing: response.Close && !q.NewConnection,
		Body:    body,

		requester:   r,
		address:     q.Address,
		conn:        conn,
		stopCancel:  stopCancel,
		writeResult: writeResult,
		body:        body,
		keepAlive:   !response.Close && !q.NewConnection,
		maxIdle:     idleTime(response.Header.Get("Keep-Alive")),
	}, nil
}

// readHead reads the head of the final response and skips informational ones. Any other status, and an invalid field, is an
// error: the bytes after the head cannot be interpreted.
func readHead(c *connection, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if c.head.isFolded {
			// The parser may name the line that Read has cut instead.
			return nil, errFolded
		}
		if err != nil {
			return nil, err
		}
		if err := headchecker.CheckFieldNames(response.Header); err != nil {
			return nil, err
		}
		if !headchecker.IsInformational(response.StatusCode) {
			return response, headchecker.CheckFinal(response.StatusCode)
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
	if q.NewConnection {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// idleTime returns how long a connection may be idle, given the Keep-Alive header of a response. It is not positive if
// the connection must not be reused.
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
		return min(time.Duration(seconds)*time.Second-keepAliveMargin, maxIdleTime)
	}
	return maxIdleTime
}

// Close releases the connection. It is reused only if the request was sent and the response was read completely, no
// further bytes have arrived, and both sides permit it; otherwise it is closed.
func (r *Response) Close() {
	detached := r.stopCancel()
	keep := detached && r.keepAlive && r.body.atEOF && r.Framed && r.maxIdle > 0 && r.conn.reader.Buffered() == 0
	if keep {
		select {
		case err := <-r.writeResult:
			keep = err == nil
		default:
			keep = false
		}
	}
	if !keep {
		_ = r.conn.Close()
		return
	}
	r.requester.put(r.address, r.conn, r.maxIdle)
}

// connect returns an idle connection, or a new one if there is none or the request requires one.
func (r *Requester) connect(ctx context.Context, q Request) (c *connection, reused bool, err error) {
	if !q.NewConnection {
		if c := r.take(q.Address); c != nil {
			return c, true, nil
		}
	}
	raw, err := r.dial(ctx, "tcp", q.Address)
	if err != nil {
		return nil, false, errors.Mark(errors.Wrapf(err, "connect to %s", q.Address), ErrNotSent)
	}
	return newConnection(raw), false, nil
}

// Refuses reports whether an address refuses connections, as it does once its process has ended.
func (r *Requester) Refuses(ctx context.Context, address string) bool {
	raw, err := r.dial(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = raw.Close()
	return false
}

// put adds an idle connection, or closes it if the address has maxIdlePerAddress already, or the requester maxIdle.
func (r *Requester) put(address string, c *connection, maxIdle time.Duration) {
	c.expires = time.Now().Add(maxIdle)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.idle[address]) >= maxIdlePerAddress || r.maxIdle > 0 && r.idleCount >= r.maxIdle {
		_ = c.Close()
		return
	}
	r.idle[address] = append(r.idle[address], c)
	r.idleCount++
}

// take returns the most recently used idle connection that can be reused, or nil. It closes those that cannot.
func (r *Requester) take(address string) *connection {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.idle[address]
	now := time.Now()
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		r.idle[address] = list
		r.idleCount--
		if now.Before(c.expires) && reusable(c) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// CloseExpired closes connections that have been idle for too long, and those on which bytes have arrived, since the
// bytes would fill the socket's buffer.
func (r *Requester) CloseExpired(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, list := range r.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) && reusable(c) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
			r.idleCount--
		}
		if len(kept) == 0 {
			delete(r.idle, address)
			continue
		}
		r.idle[address] = kept
	}
}

// reusable reports whether an idle connection is open and has received nothing, since such bytes belong to no request.
func reusable(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}
