package recorder

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	requestHeader = "Currantledge-Request"
	keyHeader     = "Idempotency-Key"
	eventStream   = "text/event-stream"
	dataPrefix    = "data:"
	errorEvent    = "event: error"
	doneMark      = "[DONE]"
	// maxIdleConnections lets parallel callers reuse their connections.
	maxIdleConnections = 256
)

var errAbandoned = errors.New("the caller ended the exchange")

// Caller sends requests as callers do. It repeats nothing by itself but a GET on a connection that was closed while idle.
type Caller struct {
	client *http.Client
	log    *Log
}

// NewCaller returns a caller that adds its exchanges to a log.
func NewCaller(log *Log) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}
	return &Caller{client: &http.Client{Transport: transport}, log: log}
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

type (
	wireMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	wireRequest struct {
		Model     string        `json:"model"`
		Prompt    string        `json:"prompt,omitempty"`
		Messages  []wireMessage `json:"messages,omitempty"`
		MaxTokens int           `json:"max_tokens"`
		Stream    bool          `json:"stream"`
	}
)

const chatRole = "user"

// Ask sends a model request to the entry at a base URL.
func (c *Caller) Ask(ctx context.Context, entry string, m ModelRequest) *Exchange {
	wire := wireRequest{Model: m.Model, MaxTokens: m.MaxTokens, Stream: m.Stream}
	if m.Endpoint == EndpointChat {
		wire.Messages = []wireMessage{{Role: chatRole, Content: m.Prompt}}
	} else {
		wire.Prompt = m.Prompt
	}
	// A struct of strings and numbers always encodes.
	body, _ := json.Marshal(wire)
	header := http.Header{"Authorization": {"Bearer " + m.Bearer}, "Content-Type": {"application/json"}}
	e := &Exchange{Entry: entry, Model: &m}
	c.exchange(ctx, e, http.MethodPost, entry+string(m.Endpoint), header, body)
	return e
}

// Call sends a service call to the entry at a base URL.
func (c *Caller) Call(ctx context.Context, entry string, s ServiceCall) *Exchange {
	header := http.Header{"Authorization": {"Bearer " + s.Bearer}}
	if s.Key != "" {
		header.Set(keyHeader, s.Key)
	}
	e := &Exchange{Entry: entry, Service: &s}
	c.exchange(ctx, e, s.Method, entry+"/services/"+s.Service+s.Path, header, s.Body)
	return e
}

func (c *Caller) exchange(ctx context.Context, e *Exchange, method, url string, header http.Header, body []byte) {
	e.Start = time.Now()
	e.Failure = c.send(ctx, e, method, url, header, body)
	e.End = time.Now()
	e.Abandoned = ctx.Err() != nil || errors.Is(e.Failure, errAbandoned)
	c.log.Add(e)
}

func (c *Caller) send(ctx context.Context, e *Exchange, method, url string, header http.Header, body []byte) error {
	// A body without GetBody keeps the HTTP client from sending a request again on a new connection.
	request, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	request.ContentLength = int64(len(body))
	if method == http.MethodGet {
		request.Body = http.NoBody
	}
	request.Header = header
	response, err := c.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer response.Body.Close()
	e.Status = response.StatusCode
	e.Header = response.Header
	e.Request = response.Header.Get(requestHeader)
	if e.Model != nil && strings.HasPrefix(response.Header.Get("Content-Type"), eventStream) {
		return e.readEvents(response.Body)
	}
	return e.readWhole(response.Body)
}

// readWhole records a body and the time of its first byte.
func (e *Exchange) readWhole(body io.Reader) error {
	reader := bufio.NewReader(body)
	if _, err := reader.Peek(1); err == nil {
		e.FirstByte = time.Now()
	}
	raw, err := io.ReadAll(reader)
	e.Body = raw
	return errors.Wrap(err, "read body")
}

// readEvents records a stream of events and the time of each piece of text.
func (e *Exchange) readEvents(body io.Reader) error {
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadBytes('\n')
		if len(line) > 0 && e.FirstByte.IsZero() {
			e.FirstByte = time.Now()
		}
		if bytes.HasPrefix(line, []byte(dataPrefix)) && !bytes.Contains(line, []byte(doneMark)) {
			e.Tokens = append(e.Tokens, time.Now())
		}
		e.Body = append(e.Body, line...)
		// An event counts once the empty line behind it has arrived.
		if len(line) == 1 && e.Model.AbandonAfter > 0 && len(e.Tokens) == e.Model.AbandonAfter {
			return errAbandoned
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read events")
		}
	}
}
