// Package recorder makes calls as callers do, records every byte of the answers, and checks answers and the records of
// the stand-ins from outside the system under test.
package recorder

import (
	"net/http"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/prover/launcher"
)

// Endpoint is a model endpoint.
type Endpoint string

// The model endpoints.
const (
	EndpointChat       Endpoint = "/v1/chat/completions"
	EndpointCompletion Endpoint = "/v1/completions"
)

// ModelRequest is a request to a model.
type ModelRequest struct {
	Customer  string
	Bearer    string
	Endpoint  Endpoint
	Model     string
	Prompt    string
	MaxTokens int
	Stream    bool
	// AbandonAfter makes the caller close the connection of a stream after that many events; 0 reads to the end.
	AbandonAfter int
}

// ServiceCall is a call of a plain service. The path is the part behind the service's name. A path with a query that no
// other call has lets the collector find its executions without trusting ids of the system under test.
type ServiceCall struct {
	Customer string
	Bearer   string
	Service  string
	Method   string
	Path     string
	Body     []byte
	// Key is the Idempotency-Key; empty sends none.
	Key string
	// Repeatable tells that the call may run more than once.
	Repeatable bool
}

// Exchange is a request and everything that came back.
type Exchange struct {
	// Entry is the base URL of the entry.
	Entry string
	// Exactly one of Model and Service is set.
	Model   *ModelRequest
	Service *ServiceCall

	Start time.Time
	// FirstByte is zero if no byte of the body arrived.
	FirstByte time.Time
	// Tokens are the arrival times of the events of a stream without its end mark.
	Tokens []time.Time
	End    time.Time

	Status  int
	Header  http.Header
	Body    []byte
	Request string
	// Failure is the error of the connection, if it broke.
	Failure error
	// Abandoned tells that the caller itself ended the exchange.
	Abandoned bool
}

// Customer returns the customer who sent the request.
func (e *Exchange) Customer() string {
	if e.Model != nil {
		return e.Model.Customer
	}
	return e.Service.Customer
}

// TimeToFirstToken returns the time until the first piece of a streamed text, or until the first byte otherwise.
// It is zero if nothing arrived.
func (e *Exchange) TimeToFirstToken() time.Duration {
	switch {
	case len(e.Tokens) > 0:
		return e.Tokens[0].Sub(e.Start)
	case !e.FirstByte.IsZero():
		return e.FirstByte.Sub(e.Start)
	default:
		return 0
	}
}

// Log collects exchanges of parallel callers.
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

// Exchanges returns the exchanges in the order in which they ended.
func (l *Log) Exchanges() []*Exchange {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Exchange(nil), l.exchanges...)
}

// SourcesOf returns the stand-ins of a deployment.
func SourcesOf(d *launcher.Deployment) []Source {
	var sources []Source
	for _, a := range d.Agents {
		sources = append(sources, Source{Name: a.Standin.Name, URL: a.Standin.URL(), Group: a.Upstream.ModelGroup})
	}
	return sources
}
