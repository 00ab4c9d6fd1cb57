package platformserver

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"currantledge.example/currantledge/internal/standin/responder"
)

// burstsPerSecond bounds what the weight store delivers at once after a pause.
const burstsPerSecond = 20

type (
	wireVM struct {
		Name          string `json:"name"`
		Address       string `json:"address"`
		FailureDomain string `json:"failureDomain"`
		State         string `json:"state"`
	}
	wireVMs struct {
		VMs  []wireVM  `json:"vms"`
		AsOf time.Time `json:"asOf"`
	}
	wireSetVMs struct {
		VMs []wireVM `json:"vms"`
		// LagMillis changes the list lag when present.
		LagMillis *int64 `json:"lagMillis"`
	}
	wireFetch struct {
		Bytes int64 `json:"bytes"`
	}
)

type vmState struct {
	at  time.Time
	vms []wireVM
}

// vmList answers with the list as it was one lag ago.
type vmList struct {
	mu     sync.Mutex
	lag    time.Duration
	states []vmState
}

func newVMList(lag time.Duration) *vmList {
	return &vmList{lag: lag}
}

func (l *vmList) set(now time.Time, vms []wireVM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.states = append(l.states, vmState{at: now, vms: vms})
}

func (l *vmList) setLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

func (l *vmList) list(now time.Time) wireVMs {
	l.mu.Lock()
	defer l.mu.Unlock()
	when := now.Add(-l.lag)
	for i := len(l.states) - 1; i >= 0; i-- {
		if !l.states[i].at.After(when) {
			return wireVMs{VMs: l.states[i].vms, AsOf: when}
		}
	}
	return wireVMs{VMs: []wireVM{}, AsOf: when}
}

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	s.counts.vmListRead()
	responder.JSON(w, http.StatusOK, s.vms.list(time.Now()))
}

func (s *Server) setVMs(w http.ResponseWriter, r *http.Request) {
	var in wireSetVMs
	if !responder.Decode(w, r, &in) {
		return
	}
	if in.LagMillis != nil {
		s.vms.setLag(time.Duration(*in.LagMillis) * time.Millisecond)
	}
	if in.VMs != nil {
		s.vms.set(time.Now(), in.VMs)
	}
	w.WriteHeader(http.StatusNoContent)
}

// weights limits all fetches together to one byte rate.
type weights struct{ limiter *rate.Limiter }

func newWeights(bytesPerSecond int64) *weights {
	burst := max(1, bytesPerSecond/burstsPerSecond)
	return &weights{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), int(burst))}
}

func (s *Server) fetchWeights(w http.ResponseWriter, r *http.Request) {
	var in wireFetch
	if !responder.Decode(w, r, &in) {
		return
	}
	if in.Bytes < 0 {
		responder.Fail(w, http.StatusBadRequest, "malformed")
		return
	}
	for left := in.Bytes; left > 0; {
		part := min(left, int64(s.weights.limiter.Burst()))
		if err := s.weights.limiter.WaitN(r.Context(), int(part)); err != nil {
			return
		}
		left -= part
	}
	s.counts.weightsFetched(in.Bytes)
	responder.JSON(w, http.StatusOK, wireFetch{Bytes: in.Bytes})
}
