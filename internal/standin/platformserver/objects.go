package platformserver

import (
	"io"
	"net/http"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/standin/responder"
)

// objects is the object store. It keeps the recent states of each object, for stale reads. Its methods may be called
// concurrently.
type objects struct {
	mu      sync.Mutex
	history map[string][]storedState
}

func newObjects() *objects {
	return &objects{history: map[string][]storedState{}}
}

func (o *objects) put(key string, value []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history[key] = appendState(o.history[key], storedState{at: time.Now(), version: 1, value: value})
}

// get returns the value of an object as it was the given time ago, and whether the object existed then.
func (o *objects) get(age time.Duration, key string) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := stateAt(o.history[key], age)
	return state.value, state.version != 0
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, responder.MaxBodyBytes))
	if err != nil {
		responder.Fail(w, http.StatusBadRequest, "malformed")
		return
	}
	s.objects.put(r.PathValue("key"), value)
	s.counts.countObjectWritten()
	s.loseResponse()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.counts.countObjectRead()
	value, found := s.objects.get(s.readAge(), r.PathValue("key"))
	if !found {
		responder.Fail(w, http.StatusNotFound, "notFound")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	// Writing fails only if the client has disconnected.
	_, _ = w.Write(value)
}
