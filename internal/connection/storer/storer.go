// Package storer is the client of the platform protocol, which serves a table, objects, the VM list and the weight store.
package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/headchecker"
	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	defaultTimeout = 2 * time.Second
	// maxResponseBytes bounds a response, so that a faulty platform cannot exhaust memory.
	maxResponseBytes = 64 << 20
	// maxIdleConnections is enough for the concurrent reads and writes of one process.
	maxIdleConnections = 16
)

// Row is one row of the table. Version 0 in a conflict means that the row is absent.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
}

// Condition requires a row to have a version. Version 0 requires the row to be absent.
type Condition struct {
	Key     string
	Version uint64
}

// Write sets or deletes one row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// VM is one VM in the platform's VM list.
type VM struct {
	Name          identifier.Node
	Address       string
	FailureDomain identifier.FailureDomain
	Leaving       bool
}

// Config sets up a Client.
type Config struct {
	BaseURL string
	// Timeout bounds each call except FetchWeights; 2 s by default.
	Timeout time.Duration
}

// Client calls the platform. Its methods may be used concurrently.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// New returns a Client.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	transport := headchecker.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true})
	return &Client{base: cfg.BaseURL, timeout: cfg.Timeout, http: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Transact applies all writes if all conditions hold and returns the new versions by key. It returns *ConflictError with
// the current rows if a condition does not hold, and *UnavailableError if the outcome is unknown or nothing was written.
func (c *Client) Transact(ctx context.Context, conditions []Condition, writes []Write) (map[string]uint64, error) {
	body, err := json.Marshal(encodeTransaction(conditions, writes))
	if err != nil {
		return nil, errors.Wrap(err, "encode transaction")
	}
	response, err := c.do(ctx, call{method: http.MethodPost, path: "/table/v1/transact", body: body, changesState: true})
	if err != nil {
		return nil, err
	}
	switch response.status {
	case http.StatusOK:
		var w wireVersions
		if err := json.Unmarshal(response.body, &w); err != nil {
			return nil, &UnavailableError{MayHaveApplied: true, Cause: err}
		}
		return w.Versions, nil
	case http.StatusConflict:
		var w wireConflicts
		if err := json.Unmarshal(response.body, &w); err != nil {
			return nil, &UnavailableError{Cause: err}
		}
		return nil, &ConflictError{Rows: decodeRows(w.Conflicts)}
	}
	return nil, response.unexpectedStatus(true)
}

// Get reads rows. Absent rows are omitted.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Row, error) {
	body, err := json.Marshal(wireKeys{Keys: keys})
	if err != nil {
		return nil, errors.Wrap(err, "encode keys")
	}
	return c.readRows(ctx, call{method: http.MethodPost, path: "/table/v1/get", body: body})
}

// Scan reads at most limit rows in ascending order of keys that start with prefix and are greater than after.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	return c.readRows(ctx, call{method: http.MethodGet, path: "/table/v1/scan?" + query.Encode()})
}

func (c *Client) readRows(ctx context.Context, request call) ([]Row, error) {
	response, err := c.do(ctx, request)
	if err != nil {
		return nil, err
	}
	if response.status != http.StatusOK {
		return nil, response.unexpectedStatus(false)
	}
	var w wireRows
	if err := json.Unmarshal(response.body, &w); err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	return decodeRows(w.Rows), nil
}

// PutObject writes an object.
func (c *Client) PutObject(ctx context.Context, key string, value []byte) error {
	response, err := c.do(ctx, call{method: http.MethodPut, path: objectPath(key), body: value, changesState: true})
	if err != nil {
		return err
	}
	if response.status != http.StatusOK && response.status != http.StatusNoContent {
		return response.unexpectedStatus(true)
	}
	return nil
}

// Object reads an object. It returns *NotFoundError if it does not exist.
func (c *Client) Object(ctx context.Context, key string) ([]byte, error) {
	response, err := c.do(ctx, call{method: http.MethodGet, path: objectPath(key)})
	if err != nil {
		return nil, err
	}
	switch response.status {
	case http.StatusOK:
		return response.body, nil
	case http.StatusNotFound:
		return nil, &NotFoundError{Key: key}
	}
	return nil, response.unexpectedStatus(false)
}

func objectPath(key string) string {
	return "/objects/v1/" + url.PathEscape(key)
}

// VMs reads the VM list and returns it with the time at which it was current.
func (c *Client) VMs(ctx context.Context) ([]VM, time.Time, error) {
	response, err := c.do(ctx, call{method: http.MethodGet, path: "/vms/v1/list"})
	if err != nil {
		return nil, time.Time{}, err
	}
	if response.status != http.StatusOK {
		return nil, time.Time{}, response.unexpectedStatus(false)
	}
	var w wireVMs
	if err := json.Unmarshal(response.body, &w); err != nil {
		return nil, time.Time{}, &UnavailableError{Cause: err}
	}
	return decodeVMs(w.VMs), w.AsOf, nil
}

// FetchWeights returns once the weight store has delivered a number of bytes. Only the context bounds its duration.
func (c *Client) FetchWeights(ctx context.Context, size identifier.Bytes) error {
	body, err := json.Marshal(wireFetch{Bytes: int64(size)})
	if err != nil {
		return errors.Wrap(err, "encode fetch")
	}
	response, err := c.do(ctx, call{method: http.MethodPost, path: "/weights/v1/fetch", body: body, noTimeout: true})
	if err != nil {
		return err
	}
	if response.status != http.StatusOK {
		return response.unexpectedStatus(false)
	}
	return nil
}

type call struct {
	method, path string
	body         []byte
	// changesState is set for calls whose outcome is unknown if the response is lost.
	changesState bool
	// noTimeout exempts the call from Config.Timeout.
	noTimeout bool
}

type response struct {
	status int
	body   []byte
}

// unexpectedStatus returns an error for a status that the call does not handle. 400 and 503 mean that nothing was applied.
func (r response) unexpectedStatus(changesState bool) error {
	refused := r.status == http.StatusServiceUnavailable || r.status == http.StatusBadRequest
	return &UnavailableError{MayHaveApplied: changesState && !refused, Cause: errors.Newf("platform answered status %d", r.status)}
}

func (c *Client) do(ctx context.Context, request call) (response, error) {
	if !request.noTimeout {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
		defer cancel()
	}
	trace := &connectionTrace{}
	httpRequest, err := http.NewRequestWithContext(trace.attach(ctx), request.method, c.base+request.path, bytes.NewReader(request.body))
	if err != nil {
		return response{}, errors.Wrap(err, "build platform request")
	}
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		return response{}, &UnavailableError{MayHaveApplied: request.changesState && trace.mayHaveSent(), Cause: err}
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return response{}, &UnavailableError{MayHaveApplied: request.changesState, Cause: err}
	}
	return response{status: httpResponse.StatusCode, body: body}, nil
}
