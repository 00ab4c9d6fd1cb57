package storer

import (
	"context"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
)

// ConflictError tells that a condition of a transaction did not hold. Rows holds the current rows; version 0 means absent.
type ConflictError struct{ Rows []Row }

// Error names the rows and the remedy.
func (e *ConflictError) Error() string {
	keys := make([]string, 0, len(e.Rows))
	for _, r := range e.Rows {
		keys = append(keys, r.Key)
	}
	return "table rows changed since they were read: " + strings.Join(keys, ", ") + "; read them again and repeat the change"
}

// UnavailableError tells that the platform gave no usable answer.
type UnavailableError struct {
	// MayHaveApplied is set when a write may have taken effect although its answer was lost.
	MayHaveApplied bool
	Cause          error
}

// Error names the cause and the remedy.
func (e *UnavailableError) Error() string {
	remedy := "nothing was written; try again"
	if e.MayHaveApplied {
		remedy = "the write may have taken effect; read it back before repeating it"
	}
	return "platform unavailable: " + e.Cause.Error() + "; " + remedy
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// NotFoundError tells that an object does not exist.
type NotFoundError struct{ Key string }

// Error names the object and the remedy.
func (e *NotFoundError) Error() string {
	return "object " + e.Key + " does not exist; check the key, or read again later if it was written just now"
}

// sentTrace observes whether a connection was available, before which no byte of a request can have left.
type sentTrace struct{ connected atomic.Bool }

func (s *sentTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.connected.Store(true) },
	})
}

func (s *sentTrace) started() bool { return s.connected.Load() }
