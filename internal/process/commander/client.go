package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/declarer"
)

const (
	requestTimeout    = 15 * time.Second
	maxResponseBytes  = 64 << 20
	maxUpdateAttempts = 4
	entryEnv          = "CURRANTLEDGE_ENTRY"
	keyEnv            = "CURRANTLEDGE_KEY"
)

// remoteCommand holds the options that all commands with calls to entries share.
type remoteCommand struct {
	base
	Entries []string `long:"entry" value-name:"ADDRESS" description:"operators' address of an entry, repeatable, tried in order; default: the comma-separated list in CURRANTLEDGE_ENTRY"`
	KeyFile string   `long:"key-file" value-name:"FILE" description:"file with the operator key; default: the key in CURRANTLEDGE_KEY"`
}

// ConflictError reports that a resource was changed after the revision on which the command's change is based.
type ConflictError struct {
	Detail string
}

// Error returns the detail, which names the current revision.
func (e *ConflictError) Error() string {
	return e.Detail
}

// ProblemError is an error response of an entry other than a conflict.
type ProblemError struct {
	Status   int
	Detail   string
	Remedy   string
	Outcome  string
	Problems []declarer.Problem
}

// Error returns all problems, one per line, or the detail and the remedy if none are listed.
func (e *ProblemError) Error() string {
	if len(e.Problems) == 0 {
		return fmt.Sprintf("%s; %s", e.Detail, e.Remedy)
	}
	var lines []string
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// notConnectedError reports that no connection to the entry was established, so nothing was sent.
type notConnectedError struct{ cause error }

func (e *notConnectedError) Error() string {
	return fmt.Sprintf("the entry cannot be reached (%v); nothing was changed, give the operators' address of a running entry", e.cause)
}

func (e *notConnectedError) Unwrap() error { return e.cause }

// noResponseError reports that a request may have been sent but no complete response was received.
type noResponseError struct{ cause error }

func (e *noResponseError) Error() string {
	return fmt.Sprintf("the entry did not respond (%v); the change may have been accepted, read the resource before trying again", e.cause)
}

func (e *noResponseError) Unwrap() error { return e.cause }

// client sends requests to entries with the operator key.
type client struct {
	http    *http.Client
	entries []string
	key     string
}

// client returns a client for the entries and the key of the options or, where those are missing, of the environment.
func (c *remoteCommand) client() (*client, error) {
	entries := c.Entries
	if len(entries) == 0 {
		entries = strings.FieldsFunc(c.deps.Getenv(entryEnv), func(r rune) bool { return r == ',' })
	}
	if len(entries) == 0 {
		return nil, errors.Newf("no entry is given; use --entry ADDRESS or set %s", entryEnv)
	}
	key := c.deps.Getenv(keyEnv)
	if c.KeyFile != "" {
		content, err := os.ReadFile(c.KeyFile)
		if err != nil {
			return nil, errors.Wrap(err, "read the operator key; give the path of a readable file")
		}
		key = string(content)
	}
	key = strings.TrimSpace(key)
	if key == "" {
		return nil, errors.Newf("no operator key is given; use --key-file FILE or set %s", keyEnv)
	}
	out := &client{http: c.deps.Client, key: key}
	for _, e := range entries {
		if !strings.Contains(e, "://") {
			e = "http://" + e
		}
		out.entries = append(out.entries, strings.TrimSuffix(e, "/"))
	}
	return out, nil
}

// response is the response of an entry with its complete body.
type response struct {
	body     []byte
	revision identifier.Revision
	etag     string
}

// call sends a request to the entries in order until one serves it. A write that may have been accepted is not sent to
// another entry. The headers are pairs of a name and a value.
func (c *client) call(ctx context.Context, method, path string, body []byte, headers ...string) (response, error) {
	var err error
	for _, entry := range c.entries {
		var r response
		r, err = c.callEntry(ctx, entry, method, path, body, headers...)
		if err == nil || !canTryNextEntry(method, err) || ctx.Err() != nil {
			return r, err
		}
	}
	return response{}, err
}

// canTryNextEntry reports whether a request that failed may be sent to another entry.
func canTryNextEntry(method string, err error) bool {
	var problem *ProblemError
	var notConnected *notConnectedError
	var noResponse *noResponseError
	switch {
	case errors.As(err, &problem):
		return problem.Status == http.StatusServiceUnavailable
	case errors.As(err, &notConnected):
		return true
	default:
		return errors.As(err, &noResponse) && method == http.MethodGet
	}
}

// callEntry sends a request to one entry and reads the complete response. An error status is returned as an error.
func (c *client) callEntry(
	ctx context.Context, entry, method, path string, body []byte, headers ...string,
) (response, error) {
	callCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	resp, err := c.send(callCtx, entry, method, path, body, headers...)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, &noResponseError{cause: err}
	}
	revision, _ := strconv.ParseUint(resp.Header.Get("Currantledge-Revision"), 10, 64)
	r := response{body: content, revision: identifier.Revision(revision), etag: resp.Header.Get("ETag")}
	return r, responseError(resp.StatusCode, content)
}

// send sends a request and returns the response, whose body the caller closes.
func (c *client) send(
	ctx context.Context, entry, method, path string, body []byte, headers ...string,
) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "the address of the entry is invalid; write IP:port or a URL")
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	resp, err := c.http.Do(request)
	var opErr *net.OpError
	switch {
	case errors.As(err, &opErr) && opErr.Op == "dial":
		return nil, &notConnectedError{cause: err}
	case err != nil:
		return nil, &noResponseError{cause: err}
	default:
		return resp, nil
	}
}

type wireProblem struct {
	Detail   string             `json:"detail"`
	Remedy   string             `json:"remedy"`
	Outcome  string             `json:"outcome"`
	Problems []wireFieldProblem `json:"problems"`
}

type wireFieldProblem struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Field  string `json:"field"`
	Value  string `json:"value"`
	Remedy string `json:"remedy"`
}

// responseError returns the error that a status and a body describe, or nil for a success.
func responseError(status int, body []byte) error {
	if status < http.StatusBadRequest {
		return nil
	}
	var w wireProblem
	if err := json.Unmarshal(body, &w); err != nil || w.Detail == "" {
		return &ProblemError{
			Status: status, Detail: fmt.Sprintf("the response with status %d is not from an entry", status),
			Remedy: "check that the address is an entry's operators' address",
		}
	}
	if status == http.StatusPreconditionFailed {
		return &ConflictError{Detail: w.Detail}
	}
	p := &ProblemError{Status: status, Detail: w.Detail, Remedy: w.Remedy, Outcome: w.Outcome}
	for _, fieldProblem := range w.Problems {
		p.Problems = append(p.Problems, declarer.Problem(fieldProblem))
	}
	return p
}

func isNotFound(err error) bool {
	var problem *ProblemError
	return errors.As(err, &problem) && problem.Status == http.StatusNotFound
}

func resourcePath(kind declarer.Kind, name string) string {
	return "/api/v1/" + string(kind) + "/" + url.PathEscape(name)
}

// storedResource is a resource as an entry has it. The resource is nil if it does not exist.
type storedResource struct {
	resource declarer.Resource
	revision identifier.Revision
}

func (s storedResource) equals(r declarer.Resource) bool {
	return s.resource != nil && bytes.Equal(declarer.Encode(s.resource), declarer.Encode(r))
}

// read returns a resource with its revision. The resource is nil if it does not exist.
func (c *client) read(ctx context.Context, kind declarer.Kind, name string) (storedResource, error) {
	r, err := c.call(ctx, http.MethodGet, resourcePath(kind, name), nil)
	if isNotFound(err) {
		return storedResource{}, nil
	}
	if err != nil {
		return storedResource{}, err
	}
	resource, err := declarer.DecodeNamed(kind, name, "response", r.body)
	if err != nil {
		return storedResource{}, errors.Wrap(err, "decode the entry's response; use a command of the entry's version")
	}
	revision, err := strconv.ParseUint(strings.Trim(r.etag, `"`), 10, 64)
	if err != nil {
		return storedResource{}, errors.Newf("the entry's ETag %s is invalid; use a command of the entry's version", r.etag)
	}
	return storedResource{resource: resource, revision: identifier.Revision(revision)}, nil
}

// update reads a resource, changes it and writes it on the condition that it has not changed since. After a conflict or a
// missing response it reads the resource again, which shows whether the change was accepted, and retries if needed. It
// returns the revision and whether anything had to be written.
func (c *client) update(
	ctx context.Context, kind declarer.Kind, name string, change func(storedResource) (declarer.Resource, error),
) (identifier.Revision, bool, error) {
	var lastErr error
	attempted := false
	for range maxUpdateAttempts {
		current, err := c.read(ctx, kind, name)
		if err != nil {
			return 0, false, firstError(lastErr, err)
		}
		desired, err := change(current)
		if err != nil {
			return 0, false, err
		}
		if current.equals(desired) {
			return current.revision, attempted, nil
		}
		condition := []string{"If-None-Match", "*"}
		if current.resource != nil {
			condition = []string{"If-Match", strconv.Quote(strconv.FormatUint(uint64(current.revision), 10))}
		}
		r, err := c.call(ctx, http.MethodPut, resourcePath(kind, name), declarer.Encode(desired), condition...)
		if err == nil {
			return r.revision, true, nil
		}
		if !isRetryable(err) {
			return 0, false, err
		}
		attempted = true
		lastErr = err
	}
	return 0, false, lastErr
}

// isRetryable reports whether a write may be sent again once its resource has been read again. That is safe even if the
// first one was accepted, because the next one is conditional on the revision that was read.
func isRetryable(err error) bool {
	var conflict *ConflictError
	var noResponse *noResponseError
	return errors.As(err, &conflict) || errors.As(err, &noResponse)
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}
