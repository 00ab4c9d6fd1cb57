package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host = "ficu95.example"
	// tenantKey is the key of the only tenant, tenantName.
	tenantKey  = "n2ctnfzs989anu6wsjnb"
	tenantName = "hule930"
)

// request is one attempt of a client.
type request struct {
	id       string
	method   string
	path     string
	deadline time.Duration
	body     string
	header   []string
}

// reply is what a client got.
type reply struct {
	status int
	header http.Header
	body   []byte
	// cut is set if the connection ended without a complete answer; started tells that a part of one had come.
	cut     bool
	started bool
	// gaveUp is set if the client's own time was over.
	gaveUp bool
	err    error
}

// client keeps one connection to a gateway.
type client struct {
	name    string
	address string
	conn    net.Conn
	reader  *bufio.Reader
	// served counts the answers on the connection.
	served int
	// onAnswer, if it is set, is called with each complete answer.
	onAnswer func(reply)
}

var requestNumber atomic.Int64

// newRequestID returns a new id of a request.
func newRequestID(prefix string) string {
	return fmt.Sprintf("%s%06d", prefix, requestNumber.Add(1))
}

func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.served = conn, bufio.NewReader(conn), 0
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and reads the answer. connect has to have succeeded.
func (c *client) send(q request) reply {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nCredential: %s\r\n",
		q.method, q.path, host, q.id, q.deadline.Milliseconds(), tenantKey)
	for _, h := range q.header {
		b.WriteString(h + "\r\n")
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline + time.Second))
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return c.fail(reply{err: err})
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return c.fail(reply{err: err})
	}
	defer response.Body.Close()
	out := reply{status: response.StatusCode, header: response.Header, started: true}
	if out.body, err = io.ReadAll(response.Body); err != nil {
		out.err = err
		return c.fail(out)
	}
	c.served++
	if response.Close {
		c.close()
	}
	return out
}

// fail ends the connection after an error.
func (c *client) fail(out reply) reply {
	var timeout net.Error
	if errors.As(out.err, &timeout) && timeout.Timeout() {
		out.gaveUp = true
	} else {
		out.cut = true
	}
	c.close()
	return out
}

// tally counts what clients got.
type tally struct {
	mu sync.Mutex
	// byStatus counts complete answers, refusedConnections attempts to connect that failed, and gaveUp attempts that
	// were not answered in the client's time.
	byStatus           map[int]int
	refusedConnections int
	gaveUp             int
	// cut holds the ids of the requests whose connection ended without a complete answer, and keptCut those of them that
	// were sent on a connection on which an earlier request had been answered.
	cut     []string
	keptCut []string
}

func newTally() *tally {
	return &tally{byStatus: map[int]int{}}
}

func (t *tally) add(id string, kept bool, r reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case r.gaveUp:
		t.gaveUp++
	case r.cut:
		t.cut = append(t.cut, id)
		if kept {
			t.keptCut = append(t.keptCut, id)
		}
	default:
		t.byStatus[r.status]++
	}
}

func (t *tally) addRefusedConnection() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusedConnections++
}

func (t *tally) text() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("answers by status %v, cut %d (on kept connections %d), not answered in time %d, connections refused %d",
		t.byStatus, len(t.cut), len(t.keptCut), t.gaveUp, t.refusedConnections)
}

// loop sends requests one after the other, with a pause after each, until stop is closed.
func (c *client) loop(stop <-chan struct{}, rec *record, t *tally, pause time.Duration, next func() request) {
	defer c.close()
	for {
		select {
		case <-stop:
			return
		default:
		}
		if err := c.connect(); err != nil {
			t.addRefusedConnection()
			time.Sleep(200 * time.Millisecond)
			continue
		}
		kept := c.served > 0
		q := next()
		rec.add("client %s sends %s %s %s (connection kept: %v)", c.name, q.id, q.method, q.path, kept)
		r := c.send(q)
		t.add(q.id, kept, r)
		switch {
		case r.cut:
			rec.add("client %s: the connection ended without a complete answer to %s: %v", c.name, q.id, r.err)
		case r.gaveUp:
			rec.add("client %s gave up %s", c.name, q.id)
		default:
			if c.onAnswer != nil {
				c.onAnswer(r)
			}
			rec.add("client %s got %d to %s, signature %q", c.name, r.status, q.id, r.header.Get("Runner-Stamp"))
		}
		time.Sleep(pause)
	}
}
