package storer

import (
	"context"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
)

// ConflictError reports that a condition of a transaction did not hold. Rows holds the current rows that did not meet
// their conditions; version 0 means that the row is absent.
type ConflictError struct{ Rows []Row }

// Error returns a message with the keys of the rows and the remedy.
func (e *ConflictError) Error() string {
	keys := make([]string, 0, len(e.Rows))
	for _, r := range e.Rows {
		keys = append(keys, r.Key)
	}
	return "table rows changed since they were read: " + strings.Join(keys, ", ") + "; read them again and repeat the change"
}

// UnavailableError reports that the platform returned no usable response.
type UnavailableError struct {
	// MayHaveApplied is set if a write may have taken effect although its response was lost.
	MayHaveApplied bool
	Cause          error
}

// Error returns a message with the cause and the remedy.
func (e *UnavailableError) Error() string {
	remedy := "nothing was written; try again"
	if e.MayHaveApplied {
		remedy = "the write may have taken effect; read it back before repeating it"
	}
	return "platform unavailable: " + e.Cause.Error() + "; " + remedy
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// NotFoundError reports that an object does not exist.
type NotFoundError struct{ Key string }

// Error returns a message with the key of the object and the remedy.
func (e *NotFoundError) Error() string {
	return "object " + e.Key + " does not exist; check the key, or read again later if it was written just now"
}

// connectionTrace records whether a request obtained a connection; before that, no byte of it can have been sent.
type connectionTrace struct{ connected atomic.Bool }

func (t *connectionTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

func (t *connectionTrace) mayHaveSent() bool { return t.connected.Load() }
