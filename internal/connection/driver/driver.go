// Package driver is the HTTP client of upstreams: of model engines, by the engine protocol, and of plain services. Its
// errors distinguish requests that did not start, which may be sent again, from requests that may have run.
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

	"currantledge.example/currantledge/internal/connection/headchecker"
	"currantledge.example/currantledge/internal/connection/messenger"
)

const (
	// maxResponseBytes bounds the responses to queries, which are read into memory.
	maxResponseBytes = 64 << 20
	// maxProblemBytes bounds how much of an error response is read to find its error code.
	maxProblemBytes = 4 << 10
	// Error codes of upstreams.
	codeOverloaded = "overloaded"
	codeStaleFence = "staleFence"
)

// Config configures a client of an upstream.
type Config struct {
	// BaseURL is the upstream's URL without a trailing slash.
	BaseURL string
}

// client sends HTTP requests to one upstream.
type client struct {
	baseURL string
	// nonRetryable sends requests that must not be repeated. Each gets a new connection: net/http retries a request
	// with an Idempotency-Key by itself when a reused connection turns out to be closed.
	nonRetryable *http.Client
	// retryable reads reports and sends orders. It reuses connections.
	retryable *http.Client
}

func newClient(cfg Config) client {
	return client{
		baseURL:      strings.TrimSuffix(cfg.BaseURL, "/"),
		nonRetryable: newHTTPClient(&http.Transport{DisableKeepAlives: true, DisableCompression: true}),
		retryable:    newHTTPClient(&http.Transport{DisableCompression: true}),
	}
}

// newHTTPClient returns a client that does not follow redirects.
func newHTTPClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport:     headchecker.NewTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// close closes the idle connections.
func (c client) close() {
	c.retryable.CloseIdleConnections()
}

// sendOnce sends a request that must not be repeated. The caller closes the body of the response. The error is
// *NotStartedError if the request cannot be built or no connection was established, else *BrokenError.
func (c client) sendOnce(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	var connected atomic.Bool
	traceCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(traceCtx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, &NotStartedError{Reason: messenger.ReasonMalformed, Cause: err}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.nonRetryable.Do(request)
	if err == nil {
		return response, nil
	}
	if !connected.Load() {
		return nil, &NotStartedError{Reason: messenger.ReasonUpstreamUnreachable, Cause: err}
	}
	return nil, &BrokenError{Cause: err}
}

// query sends a request that may be repeated, with in as its JSON body unless in is nil, and returns the status and body
// of the response.
func (c client) query(ctx context.Context, method, path string, in any) (int, []byte, error) {
	var body io.Reader = http.NoBody
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return 0, nil, errors.Wrap(err, "encode upstream request")
		}
		body = bytes.NewReader(raw)
	}
	return c.roundTrip(ctx, method, path, body)
}

func (c client) roundTrip(ctx context.Context, method, path string, body io.Reader) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return 0, nil, errors.Wrap(err, "build upstream request")
	}
	response, err := c.retryable.Do(request)
	if err != nil {
		return 0, nil, errors.Wrap(err, "call the upstream; check that it runs")
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, errors.Wrap(err, "read the upstream's response")
	}
	return response.StatusCode, raw, nil
}

// getJSON reads a JSON response into out.
func (c client) getJSON(ctx context.Context, path string, out any) error {
	status, raw, err := c.query(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Newf("upstream returned status %d for %s; check that it implements the protocol", status, path)
	}
	return errors.Wrapf(json.Unmarshal(raw, out), "decode the upstream's response to %s", path)
}
