// Package storer is the client of the platform protocol: table, objects, VM list and weight store.
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

	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	defaultTimeout = 2 * time.Second
	// maxAnswerBytes bounds an answer, so that a faulty platform cannot exhaust memory.
	maxAnswerBytes = 64 << 20
	// maxIdleConnections covers the parallel reads and writes of one process.
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

// VM is one entry of the platform's VM list.
type VM struct {
	Name          identifier.Node
	Address       string
	FailureDomain identifier.FailureDomain
	Leaving       bool
}

// Config holds what a client is built from.
type Config struct {
	BaseURL string
	// Timeout bounds each call except FetchWeights.
	Timeout time.Duration
}

// Client calls the platform. Its methods may be used concurrently.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}
	return &Client{base: cfg.BaseURL, timeout: cfg.Timeout, http: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Transact applies all writes if all conditions hold and returns the new versions by key.
// It returns *ConflictError when a condition does not hold, with the current rows.
func (c *Client) Transact(ctx context.Context, conditions []Condition, writes []Write) (map[string]uint64, error) {
	body, err := json.Marshal(encodeTransaction(conditions, writes))
	if err != nil {
		return nil, errors.Wrap(err, "encode transaction")
	}
	answer, err := c.do(ctx, call{method: http.MethodPost, path: "/table/v1/transact", body: body, writes: true})
	if err != nil {
		return nil, err
	}
	switch answer.status {
	case http.StatusOK:
		var w wireVersions
		if err := json.Unmarshal(answer.body, &w); err != nil {
			return nil, &UnavailableError{MayHaveApplied: true, Cause: err}
		}
		return w.Versions, nil
	case http.StatusConflict:
		var w wireConflicts
		if err := json.Unmarshal(answer.body, &w); err != nil {
			return nil, &UnavailableError{Cause: err}
		}
		return nil, &ConflictError{Rows: decodeRows(w.Conflicts)}
	}
	return nil, answer.unexpected(true)
}

// Get reads rows. Absent rows are left out.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Row, error) {
	body, err := json.Marshal(wireKeys{Keys: keys})
	if err != nil {
		return nil, errors.Wrap(err, "encode keys")
	}
	return c.rows(ctx, call{method: http.MethodPost, path: "/table/v1/get", body: body})
}

// Scan reads at most limit rows in ascending order of keys that start with prefix and are greater than after.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	return c.rows(ctx, call{method: http.MethodGet, path: "/table/v1/scan?" + query.Encode()})
}

func (c *Client) rows(ctx context.Context, what call) ([]Row, error) {
	answer, err := c.do(ctx, what)
	if err != nil {
		return nil, err
	}
	if answer.status != http.StatusOK {
		return nil, answer.unexpected(false)
	}
	var w wireRows
	if err := json.Unmarshal(answer.body, &w); err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	return decodeRows(w.Rows), nil
}

// PutObject writes an object.
func (c *Client) PutObject(ctx context.Context, key string, value []byte) error {
	answer, err := c.do(ctx, call{method: http.MethodPut, path: objectPath(key), body: value, writes: true})
	if err != nil {
		return err
	}
	if answer.status != http.StatusOK && answer.status != http.StatusNoContent {
		return answer.unexpected(true)
	}
	return nil
}

// Object reads an object. It returns *NotFoundError when there is none.
func (c *Client) Object(ctx context.Context, key string) ([]byte, error) {
	answer, err := c.do(ctx, call{method: http.MethodGet, path: objectPath(key)})
	if err != nil {
		return nil, err
	}
	switch answer.status {
	case http.StatusOK:
		return answer.body, nil
	case http.StatusNotFound:
		return nil, &NotFoundError{Key: key}
	}
	return nil, answer.unexpected(false)
}

func objectPath(key string) string {
	return "/objects/v1/" + url.PathEscape(key)
}

// VMs reads the VM list and the time it describes.
func (c *Client) VMs(ctx context.Context) ([]VM, time.Time, error) {
	answer, err := c.do(ctx, call{method: http.MethodGet, path: "/vms/v1/list"})
	if err != nil {
		return nil, time.Time{}, err
	}
	if answer.status != http.StatusOK {
		return nil, time.Time{}, answer.unexpected(false)
	}
	var w wireVMs
	if err := json.Unmarshal(answer.body, &w); err != nil {
		return nil, time.Time{}, &UnavailableError{Cause: err}
	}
	return decodeVMs(w.VMs), w.AsOf, nil
}

// FetchWeights returns once the weight store has delivered the given amount. Only the context bounds its duration.
func (c *Client) FetchWeights(ctx context.Context, size identifier.Bytes) error {
	body, err := json.Marshal(wireFetch{Bytes: int64(size)})
	if err != nil {
		return errors.Wrap(err, "encode fetch")
	}
	answer, err := c.do(ctx, call{method: http.MethodPost, path: "/weights/v1/fetch", body: body, unbounded: true})
	if err != nil {
		return err
	}
	if answer.status != http.StatusOK {
		return answer.unexpected(false)
	}
	return nil
}

type call struct {
	method, path string
	body         []byte
	// writes is set for calls that change state, whose lost answer leaves the result open.
	writes    bool
	unbounded bool
}

type answer struct {
	status int
	body   []byte
}

// unexpected turns a status outside the protocol into an error. 503 promises that nothing was applied.
func (a answer) unexpected(writes bool) error {
	refused := a.status == http.StatusServiceUnavailable || a.status == http.StatusBadRequest
	return &UnavailableError{MayHaveApplied: writes && !refused, Cause: errors.Newf("platform answered status %d", a.status)}
}

func (c *Client) do(ctx context.Context, what call) (answer, error) {
	if !what.unbounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
		defer cancel()
	}
	sent := &sentTrace{}
	request, err := http.NewRequestWithContext(sent.attach(ctx), what.method, c.base+what.path, bytes.NewReader(what.body))
	if err != nil {
		return answer{}, errors.Wrap(err, "build platform request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, &UnavailableError{MayHaveApplied: what.writes && sent.started(), Cause: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, &UnavailableError{MayHaveApplied: what.writes, Cause: err}
	}
	return answer{status: response.StatusCode, body: body}, nil
}
