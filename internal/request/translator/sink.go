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

// holdBytes is how much of a service's answer is held back, so that a failure can still be reported truthfully and an
// idempotent call can be repeated.
const holdBytes = 256 << 10

// ModelSink delivers generated text to a caller.
type ModelSink struct {
	w        http.ResponseWriter
	id       identifier.Request
	endpoint Endpoint
	model    identifier.Model
	stream   bool
	sent     bool
	text     bytes.Buffer
	// partial is the beginning of a character whose rest has not arrived.
	partial []byte
}

// NewModelSink returns a sink for a model request.
func NewModelSink(w http.ResponseWriter, id identifier.Request, endpoint Endpoint, g Generation) *ModelSink {
	return &ModelSink{w: w, id: id, endpoint: endpoint, model: g.Model, stream: g.Stream}
}

// Head takes the status of the answer. Nothing is sent before the first token.
func (s *ModelSink) Head(int, []messenger.Header) error { return nil }

// Data delivers text.
func (s *ModelSink) Data(payload []byte) error {
	if !s.stream {
		s.text.Write(payload)
		return nil
	}
	s.open()
	whole, rest := splitCharacters(append(s.partial, payload...))
	s.partial = rest
	if len(whole) == 0 {
		return nil
	}
	return s.event(s.chunk(string(whole), ""))
}

// splitCharacters cuts an incomplete UTF-8 character off the end, since JSON cannot carry it.
func splitCharacters(text []byte) (whole, rest []byte) {
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

// Restart tells whether nothing has been sent and discards what is held.
func (s *ModelSink) Restart() bool {
	s.text.Reset()
	return !s.sent
}

func (s *ModelSink) open() {
	if s.sent {
		return
	}
	s.sent = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

// Finish ends the answer: whole if err is nil, else as a problem. A stream that has begun ends with an error event
// and without the [DONE] mark.
func (s *ModelSink) Finish(err error) {
	var problem *refuser.Problem
	switch {
	case err == nil && s.stream:
		s.open()
		_ = s.event(s.chunk("", "stop"))
		_ = s.raw("data: [DONE]\n\n")
	case err == nil:
		s.w.Header().Set("Content-Type", "application/json")
		_, _ = s.w.Write(s.chunk(s.text.String(), "stop"))
	case !errors.As(err, &problem):
		panic(http.ErrAbortHandler)
	case s.sent:
		_ = s.raw("event: error\ndata: " + string(problem.JSON()) + "\n\n")
		// The connection is broken off, so that no library takes the stream for complete.
		panic(http.ErrAbortHandler)
	default:
		problem.Write(s.w)
	}
}

func (s *ModelSink) event(data []byte) error {
	return s.raw("data: " + string(data) + "\n\n")
}

func (s *ModelSink) raw(text string) error {
	if _, err := s.w.Write([]byte(text)); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	return errors.Wrap(http.NewResponseController(s.w).Flush(), "flush to caller")
}

// wireDelta is the text of a chat message.
type wireDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// wireChoice is one alternative of an answer; there is always one.
type wireChoice struct {
	Index        int        `json:"index"`
	Text         *string    `json:"text,omitempty"`
	Delta        *wireDelta `json:"delta,omitempty"`
	Message      *wireDelta `json:"message,omitempty"`
	FinishReason *string    `json:"finish_reason"`
}

// wireAnswer is a whole answer or a part of a streamed one.
type wireAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []wireChoice `json:"choices"`
}

func (s *ModelSink) chunk(text, finish string) []byte {
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
	raw, err := json.Marshal(wireAnswer{
		ID: s.id.String(), Object: object, Model: string(s.model), Choices: []wireChoice{choice},
	})
	if err != nil {
		// A struct of strings always encodes.
		panic(err)
	}
	return raw
}

// ServiceSink delivers the answer of a plain service.
type ServiceSink struct {
	w       http.ResponseWriter
	status  int
	headers []messenger.Header
	held    bytes.Buffer
	sent    bool
}

// NewServiceSink returns a sink for a service call.
func NewServiceSink(w http.ResponseWriter) *ServiceSink {
	return &ServiceSink{w: w, status: http.StatusOK}
}

// Head takes the status and header fields of the answer.
func (s *ServiceSink) Head(status int, headers []messenger.Header) error {
	s.status, s.headers = status, headers
	return nil
}

// Data delivers bytes. Short answers are held until they are whole.
func (s *ServiceSink) Data(payload []byte) error {
	s.held.Write(payload)
	if s.held.Len() < holdBytes {
		return nil
	}
	return s.release()
}

// Restart discards what is held and tells whether nothing has been sent.
func (s *ServiceSink) Restart() bool {
	s.held.Reset()
	return !s.sent
}

func (s *ServiceSink) release() error {
	if !s.sent {
		s.sent = true
		for _, h := range s.headers {
			if !hopHeaders[http.CanonicalHeaderKey(h.Name)] {
				s.w.Header().Add(h.Name, h.Value)
			}
		}
		s.w.WriteHeader(s.status)
	}
	_, err := s.w.Write(s.held.Bytes())
	s.held.Reset()
	return errors.Wrap(err, "write to caller")
}

// Finish ends the answer: whole if err is nil, else as a problem. An answer that has begun is broken off.
func (s *ServiceSink) Finish(err error) {
	var problem *refuser.Problem
	switch {
	case err == nil:
		_ = s.release()
	case s.sent || !errors.As(err, &problem):
		panic(http.ErrAbortHandler)
	default:
		problem.Write(s.w)
	}
}
