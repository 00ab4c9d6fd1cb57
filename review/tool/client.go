package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", 0x9c41000000000000+lastID.Add(1)) }

// exchange is a request of a client and how it ended.
type exchange struct {
	id, path, key string
	gateway       string
	sentAt        time.Time
	took          time.Duration
	status        int
	header        http.Header
	body          []byte
	err           error
}

// request is what a client sends.
type request struct {
	method, path, key string
	body              []byte
	deadline          time.Duration
	header            map[string]string
}

const hostName = "studio.example"

// send sends a request to a gateway over a new connection and reads the answer.
func (b *bed) send(ctx context.Context, g *gateway, q request) exchange {
	x := exchange{id: newID(), path: q.path, key: q.key, gateway: g.name, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, q.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+g.front+q.path, bytes.NewReader(q.body))
	check(err)
	r.Host = hostName
	r.Header.Set("Request-Id", x.id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	if q.key != "" {
		r.Header.Set("Credential", q.key)
	}
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(r)
	if err == nil {
		x.status, x.header = response.StatusCode, response.Header
		x.body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	x.err, x.took = err, time.Since(x.sentAt)
	b.log("client: %s %s key %q sent to %s at %.3f s: status %d after %.0f ms, %d bytes, error %v",
		x.id, q.path, q.key, g.name, x.sentAt.Sub(b.began).Seconds(), x.status, float64(x.took.Milliseconds()), len(x.body), x.err)
	return x
}
