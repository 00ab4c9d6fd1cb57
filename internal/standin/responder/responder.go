// Package responder holds the JSON helpers of the stand-ins' HTTP handlers.
package responder

import (
	"encoding/json"
	"io"
	"net/http"
)

const (
	contentType     = "Content-Type"
	contentTypeJSON = "application/json"
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes = 64 << 20
)

// Problem is the JSON body of an error.
type Problem struct {
	Error string `json:"error"`
}

// JSON answers with a JSON value.
func JSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set(contentType, contentTypeJSON)
	w.WriteHeader(status)
	// The peer may be gone; then nobody reads the answer.
	_ = json.NewEncoder(w).Encode(value)
}

// Fail answers with an error code.
func Fail(w http.ResponseWriter, status int, code string) {
	JSON(w, status, Problem{Error: code})
}

// Decode reads a JSON request body and answers 400 when it is malformed.
func Decode(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, MaxBodyBytes)).Decode(value); err != nil {
		Fail(w, http.StatusBadRequest, "malformed")
		return false
	}
	// The server notices that the peer is gone only after the whole body was read.
	_, _ = io.Copy(io.Discard, r.Body)
	return true
}
