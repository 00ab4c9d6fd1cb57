// Package recorder sends requests as callers do, records all bytes of the responses, and checks the guarantees with the
// responses and the records of the stand-ins. It relies on no state or log of the system under test.
package recorder

import (
	"net/http"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/prover/launcher"
)

// Endpoint is the path of a model endpoint.
type Endpoint string

// The model endpoints.
const (
	EndpointChat       Endpoint = "/v1/chat/completions"
	EndpointCompletion Endpoint = "/v1/completions"
)

// ModelRequest describes a request to a model.
type ModelRequest struct {
	Customer  string
	Bearer    string
	Endpoint  Endpoint
	Model     string
	Prompt    string
	MaxTokens int
	Stream    bool
	// AbandonAfter is the number of events after which the caller closes the connection of a stream. If it is 0, the
	// caller reads the stream to its end.
	AbandonAfter int
}

// ServiceCall describes a call of a plain service. Path is the part after the name of the service. If its query is
// unique among all calls, Examine finds the executions of the call without relying on ids of the system under test.
type ServiceCall struct {
	Customer string
	Bearer   string
	Service  string
	Method   string
	Path     string
	Body     []byte
	// Key is the Idempotency-Key. If it is empty, none is sent.
	Key string
	// Idempotent reports whether the call may run more than once.
	Idempotent bool
}

// Exchange is a request with the recorded response.
type Exchange struct {
	// EntryURL is the base URL of the entry that received the request.
	EntryURL string
	// Exactly one of Model and Service is set.
	Model   *ModelRequest
	Service *ServiceCall

	Start time.Time
	// FirstByteTime is the arrival time of the first byte of the body, zero if none arrived.
	FirstByteTime time.Time
	// TokenTimes are the arrival times of the data events of a stream, without that of its end marker.
	TokenTimes []time.Time
	End        time.Time

	// Status is zero if no response header arrived.
	Status int
	Header http.Header
	Body   []byte
	// Request is the request id from the response header.
	Request string
	// Err is the error that ended the exchange before the response was complete.
	Err error
	// Abandoned reports whether the caller itself ended the exchange early.
	Abandoned bool
}

// Customer returns the customer who sent the request.
func (e *Exchange) Customer() string {
	if e.Model != nil {
		return e.Model.Customer
	}
	return e.Service.Customer
}

// TimeToFirstToken returns the time from the start until the first event of a stream, or until the first byte of
// another body. It is zero if nothing arrived.
func (e *Exchange) TimeToFirstToken() time.Duration {
	switch {
	case len(e.TokenTimes) > 0:
		return e.TokenTimes[0].Sub(e.Start)
	case !e.FirstByteTime.IsZero():
		return e.FirstByteTime.Sub(e.Start)
	default:
		return 0
	}
}

// Log holds the exchanges of concurrent callers. It is safe for concurrent use.
type Log struct {
	mu        sync.Mutex
	exchanges []*Exchange
}

// Add appends an exchange.
func (l *Log) Add(e *Exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exchanges = append(l.exchanges, e)
}

// Exchanges returns a copy of the exchanges in the order in which they ended.
func (l *Log) Exchanges() []*Exchange {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Exchange(nil), l.exchanges...)
}

// SourcesOf returns the stand-ins of all upstreams of a deployment, in the order of its agents.
func SourcesOf(d *launcher.Deployment) []Source {
	var sources []Source
	for _, a := range d.Agents {
		sources = append(sources, Source{Name: a.Standin.Name, URL: a.Standin.URL(), Group: a.Upstream.ModelGroup})
	}
	return sources
}
