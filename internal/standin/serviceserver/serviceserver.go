// Package serviceserver is the stand-in of a plain service. The response to an executed call depends only on the call
// and on the number of calls with its idempotency key, so that tests can compute it.
package serviceserver

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantledge.example/currantledge/internal/standin/responder"
	"currantledge.example/currantledge/internal/standin/simulator"
)

const (
	headerKey      = "Idempotency-Key"
	headerRequest  = "Currantledge-Request"
	defaultLatency = 20 * time.Millisecond
	// defaultColdFactor must raise the latency enough for a load balancer to detect that a service became cold.
	defaultColdFactor = 5
)

// Config configures a service stand-in.
type Config struct {
	Simulator simulator.Config
	// Latency is the duration of a call on a warm service, negative for none.
	Latency time.Duration
	// ColdFactor is the factor by which the latency of a cold service is longer; it falls to 1 as the service warms up.
	ColdFactor float64
	// Limit is the maximum number of running calls, 0 for no maximum. Further calls are refused with status 503 and do not
	// run.
	Limit int
}

// Server is a service stand-in.
type Server struct {
	cfg       Config
	simulator *simulator.Server

	mu sync.Mutex
	// executions counts the calls by idempotency key. Like a database, it survives crashes of the service.
	executions map[string]int
}

// New returns a stand-in that listens on the configured address. Run serves it.
func New(cfg Config) (*Server, error) {
	if cfg.Latency == 0 {
		cfg.Latency = defaultLatency
	}
	if cfg.ColdFactor == 0 {
		cfg.ColdFactor = defaultColdFactor
	}
	sim, err := simulator.New(cfg.Simulator)
	if err != nil {
		return nil, err
	}
	return &Server{cfg: cfg, simulator: sim, executions: map[string]int{}}, nil
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string { return s.simulator.Address() }

// Run serves until the context is cancelled or the service crashes and is configured to exit then.
func (s *Server) Run(ctx context.Context) error {
	return s.simulator.Run(ctx, s.newHandler)
}

func (s *Server) newHandler(instance *simulator.Instance) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, r *http.Request) {
		if !s.simulator.AwaitStall(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		responder.JSON(w, http.StatusOK, wireReport{Boot: string(instance.Boot), Running: instance.Running()})
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { s.serve(instance, w, r) })
	return mux
}

type (
	wireReport struct {
		Boot    string `json:"boot"`
		Running int    `json:"running"`
	}
	wireResponse struct {
		Method    string `json:"method"`
		Path      string `json:"path"`
		Digest    string `json:"digest"`
		Execution int    `json:"execution"`
	}
)

// ResponseBody returns the body of the response to the first execution of a call. path includes the query.
func ResponseBody(method, path string, body []byte) []byte {
	return responseBody(method, path, body, 1)
}

func responseBody(method, path string, body []byte, execution int) []byte {
	digest := fmt.Sprintf("%016x", xxhash.Sum64(body))
	// Marshal does not fail for a struct of strings and numbers.
	raw, _ := json.Marshal(wireResponse{Method: method, Path: path, Digest: digest, Execution: execution})
	return raw
}

func (s *Server) serve(instance *simulator.Instance, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, responder.MaxBodyBytes))
	if err != nil {
		responder.Fail(w, http.StatusBadRequest, "malformed")
		return
	}
	path, key := r.URL.RequestURI(), r.Header.Get(headerKey)
	if !instance.TryStart(s.cfg.Limit) {
		call := instance.RecordCall(simulator.Call{Request: r.Header.Get(headerRequest), Method: r.Method, Path: path, Key: key})
		call.Close(simulator.Result{Outcome: simulator.OutcomeRefused})
		responder.Fail(w, http.StatusServiceUnavailable, "overloaded")
		return
	}
	execution := s.countExecution(key)
	call := instance.RecordCall(simulator.Call{
		Request:   r.Header.Get(headerRequest),
		Method:    r.Method,
		Path:      path,
		Key:       key,
		Execution: execution,
	})
	if !s.waitLatency(r.Context(), instance.Warmth()) {
		instance.Finish(false)
		call.Close(simulator.Result{Outcome: abortOutcome(instance)})
		panic(http.ErrAbortHandler)
	}
	instance.Finish(true)
	call.Close(simulator.Result{Outcome: simulator.OutcomeComplete})
	w.Header().Set("Content-Type", "application/json")
	// Writing fails only if the client has disconnected.
	_, _ = w.Write(responseBody(r.Method, path, body, execution))
}

// countExecution counts a call and returns the number of calls with its key. It returns 1 for a call without a key.
func (s *Server) countExecution(key string) int {
	if key == "" {
		return 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[key]++
	return s.executions[key]
}

// waitLatency waits for the time that a call takes. It returns false if the context ended first.
func (s *Server) waitLatency(ctx context.Context, warmth float64) bool {
	factor := s.simulator.SlowFactor() * (1 + (s.cfg.ColdFactor-1)*(1-warmth))
	latency := time.Duration(float64(s.cfg.Latency) * factor)
	return simulator.Pause(ctx, latency) && s.simulator.AwaitStall(ctx)
}

// abortOutcome returns the outcome of a call whose context has ended.
func abortOutcome(instance *simulator.Instance) simulator.Outcome {
	if instance.Context().Err() != nil {
		return simulator.OutcomeCrashed
	}
	return simulator.OutcomeAborted
}
