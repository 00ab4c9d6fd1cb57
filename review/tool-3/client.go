package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// call is a request of a client and its outcome.
type call struct {
	id      string
	gateway string
	sent    time.Time
	ended   time.Time
	// status is 0 if the connection ended without a complete answer.
	status  int
	header  http.Header
	body    []byte
	failure error
}

// client sends requests to one gateway, on kept connections.
type client struct {
	gateway *gateway
	http    *http.Client
	record  *record
	host    string
	key     string

	mu    sync.Mutex
	calls []call
}

func newClient(g *gateway, r *record, host, key string) *client {
	return &client{
		gateway: g, record: r, host: host, key: key,
		http: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 64, IdleConnTimeout: 4 * time.Second, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		}},
	}
}

// send sends one request and notes its outcome. It is never repeated: the body cannot be read again.
func (c *client) send(ctx context.Context, method, path, id string, deadline time.Duration, header map[string]string) call {
	ctx, cancel := context.WithTimeout(ctx, deadline+time.Second)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = io.NopCloser(strings.NewReader("order " + id))
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+c.gateway.front+path, body)
	if err != nil {
		return call{id: id, failure: err}
	}
	q.Host = c.host
	q.Header.Set("Request-Id", id)
	q.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	q.Header.Set("Credential", c.key)
	for k, v := range header {
		q.Header.Set(k, v)
	}
	out := call{id: id, gateway: c.gateway.name, sent: time.Now()}
	response, err := c.http.Do(q)
	if err == nil {
		out.header = response.Header
		out.body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			out.status = response.StatusCode
		}
	}
	out.ended, out.failure = time.Now(), err
	c.record.line("client  %s sent at %.3f to %s, answered %s", id, c.record.since(out.sent), out.gateway, describe(out))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, out)
	return out
}

func describe(c call) string {
	if c.failure != nil {
		return "nothing complete (" + c.failure.Error() + ")"
	}
	text := fmt.Sprintf("%d after %d ms", c.status, c.ended.Sub(c.sent).Milliseconds())
	if stamp := c.header.Get("Runner-Stamp"); stamp != "" {
		text += ", signed " + stamp
	}
	return text
}

// done returns the outcomes so far.
func (c *client) done() []call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]call(nil), c.calls...)
}
