package translator

import (
	"bytes"
	"encoding/json"
	"net/http"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/refuser"
)

// maxBufferedBytes is how much of a service's response is buffered before it is sent to the caller. While it is buffered,
// a failure can still be reported with its own status and an idempotent call can be retried.
const maxBufferedBytes = 256 << 10

// ModelSink delivers generated text to a caller, streamed or in one response.
type ModelSink struct {
	w        http.ResponseWriter
	id       identifier.Request
	endpoint Endpoint
	model    identifier.Model
	// stream is set if the text is sent as server-sent events while it is generated.
	stream bool
	// headerSent is set once the HTTP header of a streamed response has been sent.
	headerSent bool
	// text is the text of a response that is not streamed.
	text bytes.Buffer
	// incompleteRune holds the first bytes of a UTF-8 character whose last bytes have not arrived.
	incompleteRune []byte
}

// NewModelSink returns a sink for a model request.
func NewModelSink(w http.ResponseWriter, id identifier.Request, endpoint Endpoint, g Generation) *ModelSink {
	return &ModelSink{w: w, id: id, endpoint: endpoint, model: g.Model, stream: g.Stream}
}

// Head ignores the head of the response. Nothing is sent before the first token.
func (s *ModelSink) Head(int, []messenger.Header) error { return nil }

// Data sends the text if the response is streamed, and buffers it otherwise.
func (s *ModelSink) Data(payload []byte) error {
	if !s.stream {
		s.text.Write(payload)
		return nil
	}
	s.startStream()
	complete, rest := splitIncompleteRune(append(s.incompleteRune, payload...))
	s.incompleteRune = rest
	if len(complete) == 0 {
		return nil
	}
	return s.writeEvent(s.encode(string(complete), ""))
}

// splitIncompleteRune splits an incomplete UTF-8 character off the end of text, since JSON strings cannot contain it.
func splitIncompleteRune(text []byte) (complete, rest []byte) {
	for n := 1; n <= min(utf8.UTFMax, len(text)); n++ {
		at := len(text) - n
		if !utf8.RuneStart(text[at]) {
			continue
		}
		if utf8.FullRune(text[at:]) {
			return text, nil
		}
		return text[:at], append([]byte(nil), text[at:]...)
	}
	return text, nil
}

// Restart discards the buffered text and reports whether nothing has been sent.
func (s *ModelSink) Restart() bool {
	s.text.Reset()
	return !s.headerSent
}

// startStream sends the HTTP header of a streamed response, once.
func (s *ModelSink) startStream() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

// Finish ends the response as complete if err is nil, otherwise with the problem in err. A stream that has started ends
// with an error event, without the [DONE] event, and the connection is aborted. Finish panics with http.ErrAbortHandler
// to abort the connection.
func (s *ModelSink) Finish(err error) {
	var problem *refuser.Problem
	switch {
	case err == nil && s.stream:
		s.startStream()
		_ = s.writeEvent(s.encode("", "stop"))
		_ = s.write("data: [DONE]\n\n")
	case err == nil:
		s.w.Header().Set("Content-Type", "application/json")
		_, _ = s.w.Write(s.encode(s.text.String(), "stop"))
	case !errors.As(err, &problem):
		panic(http.ErrAbortHandler)
	case s.headerSent:
		_ = s.write("event: error\ndata: " + string(problem.JSON()) + "\n\n")
		// The connection is aborted, so that no client library treats the stream as complete.
		panic(http.ErrAbortHandler)
	default:
		problem.Write(s.w)
	}
}

// writeEvent sends a server-sent event.
func (s *ModelSink) writeEvent(data []byte) error {
	return s.write("data: " + string(data) + "\n\n")
}

// write sends text to the caller and flushes it.
func (s *ModelSink) write(text string) error {
	if _, err := s.w.Write([]byte(text)); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	return errors.Wrap(http.NewResponseController(s.w).Flush(), "flush to caller")
}

// wireDelta is a chat message or a part of one.
type wireDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// wireChoice is one alternative of a response. A response always has exactly one.
type wireChoice struct {
	Index        int        `json:"index"`
	Text         *string    `json:"text,omitempty"`
	Delta        *wireDelta `json:"delta,omitempty"`
	Message      *wireDelta `json:"message,omitempty"`
	FinishReason *string    `json:"finish_reason"`
}

// wireResponse is the JSON form of a complete response or of a chunk of a streamed one.
type wireResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []wireChoice `json:"choices"`
}

// encode returns the JSON form of a response or chunk with text. finish is its finish reason; empty if the text
// continues.
func (s *ModelSink) encode(text, finish string) []byte {
	choice := wireChoice{}
	if finish != "" {
		choice.FinishReason = &finish
	}
	object := string(s.endpoint)
	switch {
	case s.endpoint == EndpointCompletion:
		choice.Text = &text
	case s.stream:
		object += ".chunk"
		choice.Delta = &wireDelta{Content: text}
	default:
		choice.Message = &wireDelta{Role: "assistant", Content: text}
	}
	raw, err := json.Marshal(wireResponse{
		ID: s.id.String(), Object: object, Model: string(s.model), Choices: []wireChoice{choice},
	})
	if err != nil {
		// A struct of strings can always be encoded as JSON.
		panic(err)
	}
	return raw
}

// ServiceSink delivers the response of a plain service to a caller.
type ServiceSink struct {
	w       http.ResponseWriter
	status  int
	headers []messenger.Header
	// buffered holds the bytes that have not been sent.
	buffered bytes.Buffer
	// headerSent is set once the HTTP header has been sent.
	headerSent bool
}

// NewServiceSink returns a sink for a service call.
func NewServiceSink(w http.ResponseWriter) *ServiceSink {
	return &ServiceSink{w: w, status: http.StatusOK}
}

// Head sets the status and header fields of the response. They are sent with the first bytes.
func (s *ServiceSink) Head(status int, headers []messenger.Header) error {
	s.status, s.headers = status, headers
	return nil
}

// Data buffers bytes and sends them once maxBufferedBytes are buffered. Shorter responses are sent by Finish.
func (s *ServiceSink) Data(payload []byte) error {
	s.buffered.Write(payload)
	if s.buffered.Len() < maxBufferedBytes {
		return nil
	}
	return s.flush()
}

// Restart discards the buffered bytes and reports whether nothing has been sent.
func (s *ServiceSink) Restart() bool {
	s.buffered.Reset()
	return !s.headerSent
}

// flush sends the HTTP header, unless it has been sent, and the buffered bytes.
func (s *ServiceSink) flush() error {
	if !s.headerSent {
		s.headerSent = true
		for _, h := range s.headers {
			if !unforwardedHeaders[http.CanonicalHeaderKey(h.Name)] {
				s.w.Header().Add(h.Name, h.Value)
			}
		}
		s.w.WriteHeader(s.status)
	}
	_, err := s.w.Write(s.buffered.Bytes())
	s.buffered.Reset()
	return errors.Wrap(err, "write to caller")
}

// Finish ends the response as complete if err is nil, otherwise with the problem in err. If a part has been sent already,
// or err is not a *refuser.Problem, it aborts the connection by a panic with http.ErrAbortHandler.
func (s *ServiceSink) Finish(err error) {
	var problem *refuser.Problem
	switch {
	case err == nil:
		_ = s.flush()
	case s.headerSent || !errors.As(err, &problem):
		panic(http.ErrAbortHandler)
	default:
		problem.Write(s.w)
	}
}
