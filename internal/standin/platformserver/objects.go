package platformserver

import (
	"io"
	"net/http"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/standin/responder"
)

// objects is the object store. It keeps the recent states of each object for stale reads.
type objects struct {
	mu     sync.Mutex
	values map[string][]cell
}

func newObjects() *objects {
	return &objects{values: map[string][]cell{}}
}

func (o *objects) put(key string, value []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.values[key] = appendState(o.values[key], cell{at: time.Now(), version: 1, value: value})
}

func (o *objects) get(age time.Duration, key string) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := stateAt(o.values[key], age)
	return state.value, state.version != 0
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, responder.MaxBodyBytes))
	if err != nil {
		responder.Fail(w, http.StatusBadRequest, "malformed")
		return
	}
	s.objects.put(r.PathValue("key"), value)
	s.counts.objectWritten()
	s.loseAnswer()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.counts.objectRead()
	value, found := s.objects.get(s.readAge(), r.PathValue("key"))
	if !found {
		responder.Fail(w, http.StatusNotFound, "notFound")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	// The peer may be gone; then nobody reads the answer.
	_, _ = w.Write(value)
}
