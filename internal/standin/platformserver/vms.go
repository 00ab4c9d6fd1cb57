package platformserver

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"currantledge.example/currantledge/internal/standin/responder"
)

// burstsPerSecond divides the rate of the weight store. The quotient is the burst: the number of bytes that are served
// at once after a pause.
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

// vmSnapshot is the VM list from the time at which it was set.
type vmSnapshot struct {
	at  time.Time
	vms []wireVM
}

// vmList holds the past states of the VM list and returns the state of one lag ago. Its methods may be called
// concurrently.
type vmList struct {
	mu        sync.Mutex
	lag       time.Duration
	snapshots []vmSnapshot
}

func newVMList(lag time.Duration) *vmList {
	return &vmList{lag: lag}
}

func (l *vmList) set(now time.Time, vms []wireVM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshots = append(l.snapshots, vmSnapshot{at: now, vms: vms})
}

func (l *vmList) setLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

func (l *vmList) list(now time.Time) wireVMs {
	l.mu.Lock()
	defer l.mu.Unlock()
	asOf := now.Add(-l.lag)
	for i := len(l.snapshots) - 1; i >= 0; i-- {
		if !l.snapshots[i].at.After(asOf) {
			return wireVMs{VMs: l.snapshots[i].vms, AsOf: asOf}
		}
	}
	return wireVMs{VMs: []wireVM{}, AsOf: asOf}
}

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	s.counts.countVMListRead()
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

// weightStore limits the byte rate of all fetches together. It serves no content.
type weightStore struct{ limiter *rate.Limiter }

func newWeightStore(bytesPerSecond int64) *weightStore {
	burst := max(1, bytesPerSecond/burstsPerSecond)
	return &weightStore{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), int(burst))}
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
	for remaining := in.Bytes; remaining > 0; {
		chunk := min(remaining, int64(s.weightStore.limiter.Burst()))
		if err := s.weightStore.limiter.WaitN(r.Context(), int(chunk)); err != nil {
			return
		}
		remaining -= chunk
	}
	s.counts.countWeightFetch(in.Bytes)
	responder.JSON(w, http.StatusOK, wireFetch{Bytes: in.Bytes})
}
