// Package translator turns callers' HTTP requests into calls and answers back into HTTP, as server-sent events or whole.
package translator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/refuser"
	"currantledge.example/currantledge/internal/request/streamer"
	"currantledge.example/currantledge/internal/version/declarer"
)

const (
	maxBodyBytes = 4 << 20
	// prefixBytes is how much of a prompt orders the upstreams. Prompts that share it share the prefix cache.
	prefixBytes      = 256
	defaultMaxTokens = 1024
	// shortTokens is the bound up to which a request gets the higher priority, so that short questions stay
	// quick beside long drafts.
	shortTokens = 256
	// RequestHeader carries the request id to callers.
	RequestHeader = "Currantledge-Request"
	keyHeader     = "Idempotency-Key"
)

// The priorities of model requests.
const (
	PriorityLong  identifier.Priority = 0
	PriorityShort identifier.Priority = 1
)

// Endpoint tells the two model endpoints apart.
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

// wireGeneration is the JSON body of both model endpoints. Unknown fields are ignored, as callers' libraries send many.
type wireGeneration struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []wireMessage `json:"messages"`
	MaxTokens int64         `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// Generation is a parsed model request.
type Generation struct {
	Model     identifier.Model
	Prompt    []byte
	MaxTokens identifier.Tokens
	Stream    bool
}

// ParseGeneration reads a model request.
func ParseGeneration(endpoint Endpoint, body io.Reader) (Generation, error) {
	raw, err := readBody(body)
	if err != nil {
		return Generation{}, err
	}
	var w wireGeneration
	if err := json.Unmarshal(raw, &w); err != nil {
		return Generation{}, refuser.Malformed(describeJSON(err))
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

// describeJSON says what is wrong with a body without the names of this program's types.
func describeJSON(err error) string {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return fmt.Sprintf("the field %q of the body is a %s, but must be a %s", wrong.Field, wrong.Value, wrong.Type.Kind())
	}
	return "the body is not a JSON object: " + err.Error()
}

func readBody(body io.Reader) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(body, maxBodyBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	if len(raw) > maxBodyBytes {
		return nil, refuser.Malformed("the body is larger than 4 MiB")
	}
	return raw, nil
}

func joinMessages(messages []wireMessage) []byte {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return []byte(b.String())
}

// ModelCall returns the call for a model request.
func ModelCall(id identifier.Request, customer identifier.Customer, g Generation) streamer.Call {
	priority := PriorityLong
	if g.MaxTokens <= shortTokens {
		priority = PriorityShort
	}
	return streamer.Call{
		Request: id, Customer: customer,
		Target: messenger.Target{Kind: messenger.TargetModel, Model: g.Model},
		Body:   g.Prompt, Idempotent: true, Priority: priority, MaxTokens: g.MaxTokens,
		Affinity: Prefix(customer, g.Model, g.Prompt),
		Digest:   salted(customer, "model", string(g.Model), fmt.Sprint(g.MaxTokens), string(g.Prompt)),
	}
}

// Prefix returns the digest of a prompt's start, salted by customer. Entries order upstreams by it and agents pass it to
// engines, so that requests which share a prefix meet at an engine that has it in its cache.
func Prefix(customer identifier.Customer, model identifier.Model, prompt []byte) identifier.Digest {
	return salted(customer, "prefix", string(model), string(prompt[:min(len(prompt), prefixBytes)]))
}

// hopHeaders are meant for one connection and are not passed on, nor is the caller's key.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Authorization": true, "Content-Length": true,
	keyHeader: true, RequestHeader: true,
}

// ServiceCall returns the call for a plain service. The path is the part behind the service's name.
func ServiceCall(id identifier.Request, customer identifier.Customer, service declarer.Service, path string, r *http.Request) (streamer.Call, error) {
	body, err := readBody(r.Body)
	if err != nil {
		return streamer.Call{}, err
	}
	full := path
	if r.URL.RawQuery != "" {
		full += "?" + r.URL.RawQuery
	}
	key := identifier.Key(r.Header.Get(keyHeader))
	c := streamer.Call{
		Request: id, Customer: customer,
		Target: messenger.Target{Kind: messenger.TargetService, Service: service.Name},
		Method: r.Method, Path: full, Headers: passedOn(r.Header), Body: body, Key: key,
		Idempotent: idempotent(r.Method, path, service), Priority: PriorityShort,
		Digest: salted(customer, "service", string(service.Name), r.Method, full, string(body)),
	}
	if key != "" {
		c.Affinity = salted(customer, "key", string(key))
	}
	return c, nil
}

func passedOn(header http.Header) []messenger.Header {
	var out []messenger.Header
	for name, values := range header {
		if hopHeaders[name] {
			continue
		}
		for _, value := range values {
			out = append(out, messenger.Header{Name: name, Value: value})
		}
	}
	return out
}

// idempotent tells whether a call may be repeated.
func idempotent(method, path string, service declarer.Service) bool {
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
		return service.Idempotent(path)
	default:
		return true
	}
}

// salted returns a digest that cannot be compared between customers.
func salted(customer identifier.Customer, parts ...string) identifier.Digest {
	h := sha256.New()
	for _, part := range append([]string{string(customer)}, parts...) {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	return identifier.Digest(hex.EncodeToString(h.Sum(nil)[:16]))
}
