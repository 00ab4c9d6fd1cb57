// Package driver is the client of the engine protocol and of plain services.
package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/messenger"
)

const (
	// maxAnswerBytes bounds the answers that are read as a whole.
	maxAnswerBytes = 64 << 20
	// maxProblemBytes bounds how much of a 503 body is read to recognise an overload.
	maxProblemBytes = 4 << 10
	codeOverloaded  = "overloaded"
	codeStaleFence  = "staleFence"
)

// Config holds what a client of an upstream is built from.
type Config struct {
	// BaseURL is the upstream's URL without a trailing slash.
	BaseURL string
}

// upstream sends requests to one upstream.
type upstream struct {
	base string
	// calls runs requests that must not be repeated. Each has a connection of its own: net/http repeats a request
	// with an Idempotency-Key on its own when a reused connection turns out to be closed.
	calls *http.Client
	// queries runs reports and orders.
	queries *http.Client
}

func newUpstream(cfg Config) upstream {
	return upstream{
		base:    strings.TrimSuffix(cfg.BaseURL, "/"),
		calls:   newClient(&http.Transport{DisableKeepAlives: true, DisableCompression: true}),
		queries: newClient(&http.Transport{DisableCompression: true}),
	}
}

func newClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// close closes the idle connections.
func (u upstream) close() {
	u.queries.CloseIdleConnections()
}

// start sends a request that must not be repeated. Its errors are *NotStartedError or *BrokenError.
func (u upstream) start(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, method, u.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &NotStartedError{Reason: messenger.ReasonMalformed, Cause: err}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := u.calls.Do(request)
	if err == nil {
		return response, nil
	}
	if !connected.Load() {
		return nil, &NotStartedError{Reason: messenger.ReasonUnreachable, Cause: err}
	}
	return nil, &BrokenError{Cause: err}
}

// query sends a request that may be repeated and returns the whole answer.
func (u upstream) query(ctx context.Context, method, path string, in any) (int, []byte, error) {
	var body io.Reader = http.NoBody
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return 0, nil, errors.Wrap(err, "encode upstream request")
		}
		body = bytes.NewReader(raw)
	}
	return u.exchange(ctx, method, path, body)
}

func (u upstream) exchange(ctx context.Context, method, path string, body io.Reader) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, u.base+path, body)
	if err != nil {
		return 0, nil, errors.Wrap(err, "build upstream request")
	}
	response, err := u.queries.Do(request)
	if err != nil {
		return 0, nil, errors.Wrap(err, "reach the upstream; check that it runs")
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, errors.Wrap(err, "read the upstream's answer")
	}
	return response.StatusCode, raw, nil
}

// fetch reads a JSON answer.
func (u upstream) fetch(ctx context.Context, path string, out any) error {
	status, raw, err := u.query(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Newf("upstream answered status %d to %s; check that it speaks the protocol", status, path)
	}
	return errors.Wrapf(json.Unmarshal(raw, out), "read the upstream's answer to %s", path)
}
