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

// Kinds of outage.
const (
	outageNone   = ""
	outageRefuse = "refuse"
	outageHang   = "hang"
)

// wireFault is the whole set of faults in force. Each POST /fault replaces the earlier set.
type wireFault struct {
	// Outage is "" for none, "refuse" for 503, "hang" for connections that never get an answer.
	Outage      string `json:"outage"`
	DelayMillis int64  `json:"delayMillis"`
	// LoseAnswers is how many of the next writes take effect but get no answer.
	LoseAnswers int `json:"loseAnswers"`
	// LoseProbability is the probability that a write takes effect but gets no answer.
	LoseProbability float64 `json:"loseProbability"`
	// StaleMillis is the age of the state that stale reads see.
	StaleMillis int64 `json:"staleMillis"`
	// StaleProbability is the probability that a read is stale.
	StaleProbability float64 `json:"staleProbability"`
	// PathPrefix limits outage and delay to paths that start with it.
	PathPrefix string `json:"pathPrefix"`
	// ListLagMillis changes the lag of the VM list when present.
	ListLagMillis *int64 `json:"listLagMillis"`
	// Seed restarts the random sequence when present.
	Seed *int64 `json:"seed"`
}

type faults struct {
	mu     sync.Mutex
	now    wireFault
	random *rand.Rand
	// ended is closed when the faults in force are replaced, which ends hanging connections.
	ended chan struct{}
}

func newFaults(seed int64) *faults {
	return &faults{random: rand.New(rand.NewSource(seed)), ended: make(chan struct{})}
}

func (f *faults) set(in wireFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = in
	if in.Seed != nil {
		f.random = rand.New(rand.NewSource(*in.Seed))
	}
	close(f.ended)
	f.ended = make(chan struct{})
}

func (f *faults) release() {
	f.set(wireFault{})
}

func (f *faults) current(path string) (wireFault, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !strings.HasPrefix(path, f.now.PathPrefix) {
		return wireFault{}, f.ended
	}
	return f.now, f.ended
}

func (f *faults) loses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now.LoseAnswers > 0 {
		f.now.LoseAnswers--
		return true
	}
	return f.now.LoseProbability > 0 && f.random.Float64() < f.now.LoseProbability
}

func (f *faults) staleness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now.StaleProbability > 0 && f.random.Float64() < f.now.StaleProbability {
		return time.Duration(f.now.StaleMillis) * time.Millisecond
	}
	return 0
}

// faulty applies outage and delay before the handler runs, so that a refused or hanging call has no effect.
func (s *Server) faulty(handle http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault, ended := s.faults.current(r.URL.Path)
		switch fault.Outage {
		case outageRefuse:
			s.counts.refusal()
			responder.Fail(w, http.StatusServiceUnavailable, "outage")
			return
		case outageHang:
			s.counts.refusal()
			// The server notices that the peer is gone only after the body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			awaitEnd(r.Context(), ended)
			panic(http.ErrAbortHandler)
		}
		if !waiter.For(r.Context(), time.Duration(fault.DelayMillis)*time.Millisecond) {
			panic(http.ErrAbortHandler)
		}
		handle(w, r)
	})
}

// loseAnswer closes the connection without an answer when the faults in force say so.
func (s *Server) loseAnswer() {
	if s.faults.loses() {
		s.counts.lostAnswer()
		panic(http.ErrAbortHandler)
	}
}

// readAge is the age of the state that a read sees.
func (s *Server) readAge() time.Duration {
	age := s.faults.staleness()
	if age > 0 {
		s.counts.staleRead()
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

func awaitEnd(ctx context.Context, ended <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-ended:
	}
}
