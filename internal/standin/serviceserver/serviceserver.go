// Package serviceserver is the stand-in of a plain service.
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
	// defaultColdFactor shows in the latency, from which a balancer tells that a service became cold.
	defaultColdFactor = 5
)

// Config holds what a service stand-in is built from.
type Config struct {
	Simulator simulator.Config
	// Latency is the duration of a call; a negative value answers at once.
	Latency time.Duration
	// ColdFactor multiplies the latency of a cold service; it falls to 1 as the service warms up.
	ColdFactor float64
	// Limit is the number of running calls above which the service answers 503 before a start, 0 for none.
	Limit int
}

// Server is a service stand-in.
type Server struct {
	cfg       Config
	simulator *simulator.Server

	mu sync.Mutex
	// executions counts the calls by key. It outlives the lives of the service, as a database would.
	executions map[string]int
}

// New listens on the address. Run serves it.
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

// Run serves until the context is cancelled or the service exits after falling over.
func (s *Server) Run(ctx context.Context) error {
	return s.simulator.Run(ctx, s.build)
}

func (s *Server) build(life *simulator.Life) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, r *http.Request) {
		if !s.simulator.AwaitStall(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		responder.JSON(w, http.StatusOK, wireReport{Boot: string(life.Boot), Running: life.Running()})
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { s.serve(life, w, r) })
	return mux
}

type (
	wireReport struct {
		Boot    string `json:"boot"`
		Running int    `json:"running"`
	}
	wireAnswer struct {
		Method    string `json:"method"`
		Path      string `json:"path"`
		Digest    string `json:"digest"`
		Execution int    `json:"execution"`
	}
)

// Answer returns the body of the first execution of a call. Path includes the query.
func Answer(method, path string, body []byte) []byte {
	return answer(method, path, body, 1)
}

func answer(method, path string, body []byte, execution int) []byte {
	digest := fmt.Sprintf("%016x", xxhash.Sum64(body))
	// A struct of strings and numbers always encodes.
	raw, _ := json.Marshal(wireAnswer{Method: method, Path: path, Digest: digest, Execution: execution})
	return raw
}

func (s *Server) serve(life *simulator.Life, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, responder.MaxBodyBytes))
	if err != nil {
		responder.Fail(w, http.StatusBadRequest, "malformed")
		return
	}
	path, key := r.URL.RequestURI(), r.Header.Get(headerKey)
	if !life.StartWithin(s.cfg.Limit) {
		call := life.Open(simulator.Call{Request: r.Header.Get(headerRequest), Method: r.Method, Path: path, Key: key})
		call.Close(simulator.Result{Outcome: simulator.OutcomeRefused})
		responder.Fail(w, http.StatusServiceUnavailable, "overloaded")
		return
	}
	execution := s.execute(key)
	call := life.Open(simulator.Call{
		Request:   r.Header.Get(headerRequest),
		Method:    r.Method,
		Path:      path,
		Key:       key,
		Execution: execution,
	})
	if !s.work(r.Context(), life.Warmth()) {
		life.Finish(false)
		call.Close(simulator.Result{Outcome: brokenOutcome(life)})
		panic(http.ErrAbortHandler)
	}
	life.Finish(true)
	call.Close(simulator.Result{Outcome: simulator.OutcomeComplete})
	w.Header().Set("Content-Type", "application/json")
	// The peer may be gone; then nobody reads the answer.
	_, _ = w.Write(answer(r.Method, path, body, execution))
}

// execute counts an execution of a key. Calls without a key count as first executions.
func (s *Server) execute(key string) int {
	if key == "" {
		return 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[key]++
	return s.executions[key]
}

func (s *Server) work(ctx context.Context, warmth float64) bool {
	factor := s.simulator.SlowFactor() * (1 + (s.cfg.ColdFactor-1)*(1-warmth))
	latency := time.Duration(float64(s.cfg.Latency) * factor)
	return simulator.Pause(ctx, latency) && s.simulator.AwaitStall(ctx)
}

func brokenOutcome(life *simulator.Life) simulator.Outcome {
	if life.Context().Err() != nil {
		return simulator.OutcomeCrashed
	}
	return simulator.OutcomeAborted
}
