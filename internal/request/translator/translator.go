// Package translator converts the HTTP requests of callers into calls, and the responses to calls into HTTP responses,
// either streamed as server-sent events or complete.
package translator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/accepter"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/refuser"
	"currantledge.example/currantledge/internal/request/streamer"
	"currantledge.example/currantledge/internal/version/declarer"
)

const (
	maxBodyBytes = 4 << 20
	// noRoomRetryAfter is sent with a refusal for lack of memory. Retry-After is in whole seconds.
	noRoomRetryAfter = time.Second
	// prefixBytes is the length of the prompt prefix that determines the order of the upstreams. Prompts that share it are
	// sent to the same upstreams, which have it in their prefix cache.
	prefixBytes = 256
	// defaultMaxTokens is the max_tokens of a request without one.
	defaultMaxTokens = 1024
	// maxShortTokens is the largest max_tokens of a model request that gets PriorityShort, so that the latency of short
	// responses stays low while engines also generate long ones.
	maxShortTokens = 256
	// RequestIDHeader is the header field that carries the request id to callers.
	RequestIDHeader      = "Currantledge-Request"
	idempotencyKeyHeader = "Idempotency-Key"
)

// The priorities of requests, by the length of the response. Service calls have PriorityShort. Engines serve higher
// values first.
const (
	PriorityLong  identifier.Priority = 0
	PriorityShort identifier.Priority = 1
)

// Endpoint is one of the two model endpoints. Its value is the object type in their responses.
type Endpoint string

// The model endpoints.
const (
	EndpointChat       Endpoint = "chat.completion"
	EndpointCompletion Endpoint = "text_completion"
)

// wireMessage is one message of a chat.
type wireMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// wireGeneration is the JSON body of both model endpoints. Unknown fields are ignored, since client libraries send many.
type wireGeneration struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []wireMessage `json:"messages"`
	MaxTokens int64         `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// Generation is a decoded model request.
type Generation struct {
	Model     identifier.Model
	Prompt    []byte
	MaxTokens identifier.Tokens
	Stream    bool
}

// ParseGeneration reads and validates a model request. It returns a *refuser.Problem for a malformed one.
func ParseGeneration(endpoint Endpoint, body io.Reader) (Generation, error) {
	raw, err := readBody(body)
	if err != nil {
		return Generation{}, err
	}
	var w wireGeneration
	if err := json.Unmarshal(raw, &w); err != nil {
		return Generation{}, refuser.Malformed(describeJSONError(err))
	}
	g := Generation{Model: identifier.Model(w.Model), MaxTokens: identifier.Tokens(w.MaxTokens), Stream: w.Stream}
	if w.MaxTokens < 0 {
		return Generation{}, refuser.Malformed("max_tokens is negative; give a positive number or leave it out")
	}
	if w.MaxTokens == 0 {
		g.MaxTokens = defaultMaxTokens
	}
	g.Prompt = []byte(w.Prompt)
	if endpoint == EndpointChat {
		g.Prompt = joinMessages(w.Messages)
	}
	if len(g.Prompt) == 0 {
		return Generation{}, refuser.Malformed("the request has no prompt or messages")
	}
	if g.Model == "" {
		return Generation{}, refuser.Malformed("the request names no model")
	}
	return g, nil
}

// describeJSONError describes a decoding error of a body without the names of this program's types.
func describeJSONError(err error) string {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return fmt.Sprintf("the field %q of the body is a %s, but must be a %s", wrong.Field, wrong.Value, wrong.Type.Kind())
	}
	return "the body is not a JSON object: " + err.Error()
}

// readBody reads a body of at most maxBodyBytes. It returns a *refuser.Problem if there is no room for the body.
func readBody(body io.Reader) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(body, maxBodyBytes+1))
	if errors.Is(err, accepter.ErrNoRoom) {
		problem := refuser.NotRun(messenger.ReasonOverloaded, noRoomRetryAfter)
		problem.Title = "the entry has no memory for the body beside others"
		return nil, problem
	}
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	if len(raw) > maxBodyBytes {
		return nil, refuser.Malformed("the body is larger than 4 MiB")
	}
	return raw, nil
}

// joinMessages returns the prompt of a chat.
func joinMessages(messages []wireMessage) []byte {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return []byte(b.String())
}

// ModelCall returns the call for a model request. The caller sets the deadlines and MaxWaiting.
func ModelCall(id identifier.Request, customer identifier.Customer, g Generation) streamer.Call {
	priority := PriorityLong
	if g.MaxTokens <= maxShortTokens {
		priority = PriorityShort
	}
	return streamer.Call{
		Request: id, Customer: customer,
		Target: messenger.Target{Kind: messenger.TargetModel, Model: g.Model},
		Body:   g.Prompt, Idempotent: true, Priority: priority, MaxTokens: g.MaxTokens,
		Affinity: PrefixDigest(customer, g.Model, g.Prompt),
		Digest:   saltedDigest(customer, "model", string(g.Model), fmt.Sprint(g.MaxTokens), string(g.Prompt)),
	}
}

// PrefixDigest returns the digest of a prompt's prefix, salted by customer. Entries order upstreams by it and agents pass
// it to engines, so that requests with the same prefix reach an engine that has the prefix in its cache.
func PrefixDigest(customer identifier.Customer, model identifier.Model, prompt []byte) identifier.Digest {
	return saltedDigest(customer, "prefix", string(model), string(prompt[:min(len(prompt), prefixBytes)]))
}

// unforwardedHeaders are not forwarded: hop-by-hop header fields, Content-Length, the caller's credentials and
// Idempotency-Key, and the request id.
var unforwardedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Authorization": true, "Content-Length": true,
	idempotencyKeyHeader: true, RequestIDHeader: true,
}

// ServiceCall returns the call for a plain service. The path is the part of the URL's path after the service's name. The
// caller sets the deadlines and MaxWaiting.
func ServiceCall(id identifier.Request, customer identifier.Customer, service declarer.Service, path string, r *http.Request) (streamer.Call, error) {
	body, err := readBody(r.Body)
	if err != nil {
		return streamer.Call{}, err
	}
	pathAndQuery := path
	if r.URL.RawQuery != "" {
		pathAndQuery += "?" + r.URL.RawQuery
	}
	key := identifier.Key(r.Header.Get(idempotencyKeyHeader))
	c := streamer.Call{
		Request: id, Customer: customer,
		Target: messenger.Target{Kind: messenger.TargetService, Service: service.Name},
		Method: r.Method, Path: pathAndQuery, Headers: forwardedHeaders(r.Header), Body: body, Key: key,
		Idempotent: isIdempotent(r.Method, path, service), Priority: PriorityShort,
		Digest: saltedDigest(customer, "service", string(service.Name), r.Method, pathAndQuery, string(body)),
	}
	if key != "" {
		c.Affinity = saltedDigest(customer, "key", string(key))
	}
	return c, nil
}

// forwardedHeaders returns the header fields that are forwarded to the service.
func forwardedHeaders(header http.Header) []messenger.Header {
	var out []messenger.Header
	for name, values := range header {
		if unforwardedHeaders[name] {
			continue
		}
		for _, value := range values {
			out = append(out, messenger.Header{Name: name, Value: value})
		}
	}
	return out
}

// isIdempotent reports whether a call may be retried although it may have run.
func isIdempotent(method, path string, service declarer.Service) bool {
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
		return service.Idempotent(path)
	default:
		return true
	}
}

// saltedDigest returns a 128-bit digest of parts that is salted by customer, so that digests of different customers
// cannot be compared.
func saltedDigest(customer identifier.Customer, parts ...string) identifier.Digest {
	h := sha256.New()
	for _, part := range append([]string{string(customer)}, parts...) {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	return identifier.Digest(hex.EncodeToString(h.Sum(nil)[:16]))
}
