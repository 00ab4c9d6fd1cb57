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
	requestTimeout = 15 * time.Second
	maxAnswerBytes = 64 << 20
	maxTries       = 4
	entryVariable  = "CURRANTLEDGE_ENTRY"
	keyVariable    = "CURRANTLEDGE_KEY"
)

// remoteCommand holds the options of all commands that talk to entries.
type remoteCommand struct {
	base
	Entries []string `long:"entry" value-name:"ADDRESS" description:"operators' address of an entry, tried in order; otherwise CURRANTLEDGE_ENTRY, separated by commas"`
	KeyFile string   `long:"key-file" value-name:"FILE" description:"file with the operator key; otherwise CURRANTLEDGE_KEY holds the key"`
}

// ConflictError tells that a resource was changed by someone else.
type ConflictError struct {
	Detail string
}

// Error returns the detail that the entry gave, which names the current revision.
func (e *ConflictError) Error() string {
	return e.Detail
}

// ProblemError is a refusal by an entry.
type ProblemError struct {
	Status   int
	Detail   string
	Remedy   string
	Outcome  string
	Problems []declarer.Problem
}

// Error returns every problem, one a line, or the detail.
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

// unreachableError tells that no connection was established, so that nothing was sent.
type unreachableError struct{ cause error }

func (e *unreachableError) Error() string {
	return fmt.Sprintf("the entry cannot be reached (%v); nothing was changed, give the operators' address of a running entry", e.cause)
}

func (e *unreachableError) Unwrap() error { return e.cause }

// lostError tells that a request was sent but not answered.
type lostError struct{ cause error }

func (e *lostError) Error() string {
	return fmt.Sprintf("the entry did not answer (%v); the change may have been accepted, read it before trying again", e.cause)
}

func (e *lostError) Unwrap() error { return e.cause }

// client sends requests to the first entry that serves them.
type client struct {
	http    *http.Client
	entries []string
	key     string
}

func (c *remoteCommand) client() (*client, error) {
	entries := c.Entries
	if len(entries) == 0 {
		entries = strings.FieldsFunc(c.d.Getenv(entryVariable), func(r rune) bool { return r == ',' })
	}
	if len(entries) == 0 {
		return nil, errors.Newf("no entry is given; use --entry ADDRESS or set %s", entryVariable)
	}
	key := c.d.Getenv(keyVariable)
	if c.KeyFile != "" {
		text, err := os.ReadFile(c.KeyFile)
		if err != nil {
			return nil, errors.Wrap(err, "read the operator key; give the path of a readable file")
		}
		key = string(text)
	}
	key = strings.TrimSpace(key)
	if key == "" {
		return nil, errors.Newf("no operator key is given; use --key-file FILE or set %s", keyVariable)
	}
	out := &client{http: c.d.Client, key: key}
	for _, e := range entries {
		if !strings.Contains(e, "://") {
			e = "http://" + e
		}
		out.entries = append(out.entries, strings.TrimSuffix(e, "/"))
	}
	return out, nil
}

// response is an answer whose body was read.
type response struct {
	body     []byte
	revision identifier.Revision
	etag     string
}

// call sends a request to the entries in order until one serves it. A change is not sent to another entry after it may
// have been accepted.
func (c *client) call(ctx context.Context, method, path string, body []byte, headers ...string) (response, error) {
	var err error
	for _, entry := range c.entries {
		var r response
		r, err = c.callOne(ctx, entry, method, path, body, headers...)
		if err == nil || !elsewhere(method, err) || ctx.Err() != nil {
			return r, err
		}
	}
	return response{}, err
}

// elsewhere tells whether another entry may serve the request.
func elsewhere(method string, err error) bool {
	var problem *ProblemError
	var unreachable *unreachableError
	var lost *lostError
	switch {
	case errors.As(err, &problem):
		return problem.Status == http.StatusServiceUnavailable
	case errors.As(err, &unreachable):
		return true
	default:
		return errors.As(err, &lost) && method == http.MethodGet
	}
}

func (c *client) callOne(
	ctx context.Context, entry, method, path string, body []byte, headers ...string,
) (response, error) {
	limited, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	answer, err := c.open(limited, entry, method, path, body, headers...)
	if err != nil {
		return response{}, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return response{}, &lostError{cause: err}
	}
	revision, _ := strconv.ParseUint(answer.Header.Get("Currantledge-Revision"), 10, 64)
	r := response{body: text, revision: identifier.Revision(revision), etag: answer.Header.Get("ETag")}
	return r, refusal(answer.StatusCode, text)
}

// open sends a request and returns the answer with an open body.
func (c *client) open(
	ctx context.Context, entry, method, path string, body []byte, headers ...string,
) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "the address of the entry is not acceptable; write IP:port or a URL")
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	answer, err := c.http.Do(request)
	var dial *net.OpError
	switch {
	case errors.As(err, &dial) && dial.Op == "dial":
		return nil, &unreachableError{cause: err}
	case err != nil:
		return nil, &lostError{cause: err}
	default:
		return answer, nil
	}
}

type wireProblem struct {
	Detail   string      `json:"detail"`
	Remedy   string      `json:"remedy"`
	Outcome  string      `json:"outcome"`
	Problems []wireFault `json:"problems"`
}

type wireFault struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Field  string `json:"field"`
	Value  string `json:"value"`
	Remedy string `json:"remedy"`
}

func refusal(status int, text []byte) error {
	if status < http.StatusBadRequest {
		return nil
	}
	var w wireProblem
	if err := json.Unmarshal(text, &w); err != nil || w.Detail == "" {
		return &ProblemError{
			Status: status, Detail: fmt.Sprintf("the answer has status %d and is not from an entry", status),
			Remedy: "check that the address is an entry's operators' address",
		}
	}
	if status == http.StatusPreconditionFailed {
		return &ConflictError{Detail: w.Detail}
	}
	p := &ProblemError{Status: status, Detail: w.Detail, Remedy: w.Remedy, Outcome: w.Outcome}
	for _, fault := range w.Problems {
		p.Problems = append(p.Problems, declarer.Problem(fault))
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

// held is a resource as an entry holds it; a nil resource does not exist.
type held struct {
	resource declarer.Resource
	revision identifier.Revision
}

func (h held) equals(r declarer.Resource) bool {
	return h.resource != nil && bytes.Equal(declarer.Encode(h.resource), declarer.Encode(r))
}

func (c *client) read(ctx context.Context, kind declarer.Kind, name string) (held, error) {
	r, err := c.call(ctx, http.MethodGet, resourcePath(kind, name), nil)
	if isNotFound(err) {
		return held{}, nil
	}
	if err != nil {
		return held{}, err
	}
	resource, err := declarer.DecodeNamed(kind, name, "answer", r.body)
	if err != nil {
		return held{}, errors.Wrap(err, "the entry's answer cannot be read; use a command of the entry's version")
	}
	revision, err := strconv.ParseUint(strings.Trim(r.etag, `"`), 10, 64)
	if err != nil {
		return held{}, errors.Newf("the entry's ETag %s cannot be read; use a command of the entry's version", r.etag)
	}
	return held{resource: resource, revision: identifier.Revision(revision)}, nil
}

// update reads a resource, changes it and writes it on the condition that nobody else changed it meanwhile. After a
// lost answer it reads the resource again, which shows whether the change was accepted. It returns the revision and
// whether anything had to be written.
func (c *client) update(
	ctx context.Context, kind declarer.Kind, name string, change func(held) (declarer.Resource, error),
) (identifier.Revision, bool, error) {
	var failure error
	sent := false
	for range maxTries {
		current, err := c.read(ctx, kind, name)
		if err != nil {
			return 0, false, firstOf(failure, err)
		}
		wanted, err := change(current)
		if err != nil {
			return 0, false, err
		}
		if current.equals(wanted) {
			return current.revision, sent, nil
		}
		condition := []string{"If-None-Match", "*"}
		if current.resource != nil {
			condition = []string{"If-Match", strconv.Quote(strconv.FormatUint(uint64(current.revision), 10))}
		}
		r, err := c.call(ctx, http.MethodPut, resourcePath(kind, name), declarer.Encode(wanted), condition...)
		if err == nil {
			return r.revision, true, nil
		}
		if !repeatable(err) {
			return 0, false, err
		}
		sent = true
		failure = err
	}
	return 0, false, failure
}

// repeatable tells whether a change may be tried again after its resource was read again: the next attempt is
// conditional on that state.
func repeatable(err error) bool {
	var conflict *ConflictError
	var lost *lostError
	return errors.As(err, &conflict) || errors.As(err, &lost)
}

func firstOf(first, second error) error {
	if first != nil {
		return first
	}
	return second
}
