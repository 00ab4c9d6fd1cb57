// Package responder reads and writes the JSON bodies of the stand-ins' HTTP handlers.
package responder

import (
	"encoding/json"
	"io"
	"net/http"
)

const (
	contentType     = "Content-Type"
	contentTypeJSON = "application/json"
	// MaxBodyBytes is the largest request body that a handler reads.
	MaxBodyBytes = 64 << 20
)

// Problem is the JSON body of an error response. Error is a code or a message.
type Problem struct {
	Error string `json:"error"`
}

// JSON writes a response with a JSON body.
func JSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set(contentType, contentTypeJSON)
	w.WriteHeader(status)
	// Writing fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

// Fail writes an error response.
func Fail(w http.ResponseWriter, status int, code string) {
	JSON(w, status, Problem{Error: code})
}

// Decode reads a JSON request body. If the body is malformed, it responds with status 400 and returns false.
func Decode(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, MaxBodyBytes)).Decode(value); err != nil {
		Fail(w, http.StatusBadRequest, "malformed")
		return false
	}
	// The server detects that the client has disconnected only after the complete body was read.
	_, _ = io.Copy(io.Discard, r.Body)
	return true
}
