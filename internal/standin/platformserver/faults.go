package platformserver

import (
	"context"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/standin/responder"
)

// The kinds of outage.
const (
	outageNone   = ""
	outageRefuse = "refuse"
	outageHang   = "hang"
)

// wireFault is the set of active faults. Each POST /fault replaces the set.
type wireFault struct {
	// Outage is "" for none, "refuse" for calls that are refused with status 503, "hang" for calls that get no response.
	Outage string `json:"outage"`
	// DelayMillis is the delay before a call is executed.
	DelayMillis int64 `json:"delayMillis"`
	// LoseAnswers is the number of following writes that take effect but get no response.
	LoseAnswers int `json:"loseAnswers"`
	// LoseProbability is the probability that a write takes effect but gets no response.
	LoseProbability float64 `json:"loseProbability"`
	// StaleMillis is the age of the state that stale reads return.
	StaleMillis int64 `json:"staleMillis"`
	// StaleProbability is the probability that a read is stale.
	StaleProbability float64 `json:"staleProbability"`
	// PathPrefix limits outage and delay to paths that start with it.
	PathPrefix string `json:"pathPrefix"`
	// ListLagMillis changes the lag of the VM list when present.
	ListLagMillis *int64 `json:"listLagMillis"`
	// Seed seeds the random generator anew when present.
	Seed *int64 `json:"seed"`
}

// faults holds the active faults and draws the random ones. Its methods may be called concurrently.
type faults struct {
	mu     sync.Mutex
	active wireFault
	random *rand.Rand
	// replaced is closed when the active faults are replaced, which ends hanging calls.
	replaced chan struct{}
}

func newFaults(seed int64) *faults {
	return &faults{random: rand.New(rand.NewSource(seed)), replaced: make(chan struct{})}
}

func (f *faults) set(in wireFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = in
	if in.Seed != nil {
		f.random = rand.New(rand.NewSource(*in.Seed))
	}
	close(f.replaced)
	f.replaced = make(chan struct{})
}

// clear removes all faults.
func (f *faults) clear() {
	f.set(wireFault{})
}

// current returns the faults for calls to a path and a channel that is closed when they are replaced.
func (f *faults) current(path string) (wireFault, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !strings.HasPrefix(path, f.active.PathPrefix) {
		return wireFault{}, f.replaced
	}
	return f.active, f.replaced
}

// drawLostResponse reports whether the response to the current write is lost.
func (f *faults) drawLostResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active.LoseAnswers > 0 {
		f.active.LoseAnswers--
		return true
	}
	return f.active.LoseProbability > 0 && f.random.Float64() < f.active.LoseProbability
}

// drawStaleAge returns the age of the state that the current read returns, 0 for the present state.
func (f *faults) drawStaleAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active.StaleProbability > 0 && f.random.Float64() < f.active.StaleProbability {
		return time.Duration(f.active.StaleMillis) * time.Millisecond
	}
	return 0
}

// withFaults applies outage and delay before the handler runs, so that a refused or hanging call has no effect.
func (s *Server) withFaults(handle http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault, replaced := s.faults.current(r.URL.Path)
		switch fault.Outage {
		case outageRefuse:
			s.counts.countRefusal()
			responder.Fail(w, http.StatusServiceUnavailable, "outage")
			return
		case outageHang:
			s.counts.countRefusal()
			// The server detects that the client has disconnected only after the complete body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			awaitReplacement(r.Context(), replaced)
			panic(http.ErrAbortHandler)
		}
		if !waiter.For(r.Context(), time.Duration(fault.DelayMillis)*time.Millisecond) {
			panic(http.ErrAbortHandler)
		}
		handle(w, r)
	})
}

// loseResponse closes the connection without a response if the active faults require it.
func (s *Server) loseResponse() {
	if s.faults.drawLostResponse() {
		s.counts.countLostResponse()
		panic(http.ErrAbortHandler)
	}
}

// readAge returns the age of the state that the current read returns, and counts stale reads.
func (s *Server) readAge() time.Duration {
	age := s.faults.drawStaleAge()
	if age > 0 {
		s.counts.countStaleRead()
	}
	return age
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	var in wireFault
	if !responder.Decode(w, r, &in) {
		return
	}
	switch in.Outage {
	case outageNone, outageRefuse, outageHang:
	default:
		responder.Fail(w, http.StatusBadRequest, "unknown outage; use refuse, hang or an empty string")
		return
	}
	if in.ListLagMillis != nil {
		s.vms.setLag(time.Duration(*in.ListLagMillis) * time.Millisecond)
	}
	s.faults.set(in)
	w.WriteHeader(http.StatusNoContent)
}

// awaitReplacement waits until the faults are replaced or the context ends.
func awaitReplacement(ctx context.Context, replaced <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-replaced:
	}
}
