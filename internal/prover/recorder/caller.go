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
	requestHeader   = "Currantledge-Request"
	keyHeader       = "Idempotency-Key"
	eventStreamType = "text/event-stream"
	dataPrefix      = "data:"
	errorEventLine  = "event: error"
	doneMarker      = "[DONE]"
	// maxIdleConnections is the most idle connections to one entry. It lets concurrent requests reuse connections.
	maxIdleConnections = 256
)

var errAbandoned = errors.New("the caller ended the exchange")

// Caller sends requests as callers do and records the exchanges in a log. It retries nothing except a GET on a
// connection that was closed while idle. It is safe for concurrent use.
type Caller struct {
	client *http.Client
	log    *Log
}

// NewCaller returns a caller that adds each exchange to a log when it ends.
func NewCaller(log *Log) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}
	return &Caller{client: &http.Client{Transport: transport}, log: log}
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

type (
	chatMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	modelRequestBody struct {
		Model     string        `json:"model"`
		Prompt    string        `json:"prompt,omitempty"`
		Messages  []chatMessage `json:"messages,omitempty"`
		MaxTokens int           `json:"max_tokens"`
		Stream    bool          `json:"stream"`
	}
)

const chatRole = "user"

// SendModelRequest sends a model request to the entry at a base URL and returns when the exchange has ended.
func (c *Caller) SendModelRequest(ctx context.Context, entryURL string, m ModelRequest) *Exchange {
	requestBody := modelRequestBody{Model: m.Model, MaxTokens: m.MaxTokens, Stream: m.Stream}
	if m.Endpoint == EndpointChat {
		requestBody.Messages = []chatMessage{{Role: chatRole, Content: m.Prompt}}
	} else {
		requestBody.Prompt = m.Prompt
	}
	// Encoding cannot fail: the struct contains only strings, numbers and booleans.
	body, _ := json.Marshal(requestBody)
	header := http.Header{"Authorization": {"Bearer " + m.Bearer}, "Content-Type": {"application/json"}}
	e := &Exchange{EntryURL: entryURL, Model: &m}
	c.perform(ctx, e, http.MethodPost, entryURL+string(m.Endpoint), header, body)
	return e
}

// SendServiceCall sends a service call to the entry at a base URL and returns when the exchange has ended.
func (c *Caller) SendServiceCall(ctx context.Context, entryURL string, s ServiceCall) *Exchange {
	header := http.Header{"Authorization": {"Bearer " + s.Bearer}}
	if s.Key != "" {
		header.Set(keyHeader, s.Key)
	}
	e := &Exchange{EntryURL: entryURL, Service: &s}
	c.perform(ctx, e, s.Method, entryURL+"/services/"+s.Service+s.Path, header, s.Body)
	return e
}

// perform sends a request, records the response in e and adds e to the log.
func (c *Caller) perform(ctx context.Context, e *Exchange, method, url string, header http.Header, body []byte) {
	e.Start = time.Now()
	e.Err = c.send(ctx, e, method, url, header, body)
	e.End = time.Now()
	e.Abandoned = ctx.Err() != nil || errors.Is(e.Err, errAbandoned)
	c.log.Add(e)
}

func (c *Caller) send(ctx context.Context, e *Exchange, method, url string, header http.Header, body []byte) error {
	// Without GetBody, the HTTP client cannot retry a request with a body on a new connection.
	request, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return errors.Wrap(err, "create request")
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
	if e.Model != nil && strings.HasPrefix(response.Header.Get("Content-Type"), eventStreamType) {
		return e.readEvents(response.Body)
	}
	return e.readBody(response.Body)
}

// readBody records a body and the arrival time of its first byte.
func (e *Exchange) readBody(body io.Reader) error {
	reader := bufio.NewReader(body)
	if _, err := reader.Peek(1); err == nil {
		e.FirstByteTime = time.Now()
	}
	raw, err := io.ReadAll(reader)
	e.Body = raw
	return errors.Wrap(err, "read body")
}

// readEvents records a stream and the arrival time of each data event.
func (e *Exchange) readEvents(body io.Reader) error {
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadBytes('\n')
		if len(line) > 0 && e.FirstByteTime.IsZero() {
			e.FirstByteTime = time.Now()
		}
		if bytes.HasPrefix(line, []byte(dataPrefix)) && !bytes.Contains(line, []byte(doneMarker)) {
			e.TokenTimes = append(e.TokenTimes, time.Now())
		}
		e.Body = append(e.Body, line...)
		// An event is complete when the empty line after it has arrived.
		if len(line) == 1 && e.Model.AbandonAfter > 0 && len(e.TokenTimes) == e.Model.AbandonAfter {
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
