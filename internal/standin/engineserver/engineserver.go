// Package engineserver is the stand-in of a model engine: continuous batching, cold start, prefix cache, KV cache and
// ranks in lock-step.
package engineserver

import (
	"context"
	"net/http"
	"time"

	"currantledge.example/currantledge/internal/standin/simulator"
)

const (
	defaultStepBase       = 5 * time.Millisecond
	defaultStepPerRequest = 50 * time.Microsecond
	defaultReportLag      = 300 * time.Millisecond
	defaultPrefillTokens  = 512
)

// Config holds what an engine stand-in is built from.
type Config struct {
	Simulator simulator.Config
	// StepBase is the duration of a step with nothing running, StepPerRequest what each running request adds.
	StepBase, StepPerRequest time.Duration
	// Batch bounds the running requests and Queue the waiting ones; beyond both the engine answers 503. Batch 0 sets no
	// bound, so that nothing waits.
	Batch, Queue int
	// ReportLag is the age of the reports; a negative value reports without lag.
	ReportLag time.Duration
	// PrefillTokens is the number of prompt tokens that one step processes.
	PrefillTokens int
	// Models are the models loaded at start. Without any, the engine serves every model.
	Models []string
}

func (c Config) withDefaults() Config {
	if c.StepBase == 0 {
		c.StepBase = defaultStepBase
	}
	if c.StepPerRequest == 0 {
		c.StepPerRequest = defaultStepPerRequest
	}
	if c.ReportLag == 0 {
		c.ReportLag = defaultReportLag
	}
	if c.PrefillTokens == 0 {
		c.PrefillTokens = defaultPrefillTokens
	}
	return c
}

// Server is an engine stand-in.
type Server struct {
	cfg       Config
	simulator *simulator.Server
}

// New listens on the address. Run serves it.
func New(cfg Config) (*Server, error) {
	cfg = cfg.withDefaults()
	sim, err := simulator.New(cfg.Simulator)
	if err != nil {
		return nil, err
	}
	return &Server{cfg: cfg, simulator: sim}, nil
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string { return s.simulator.Address() }

// Run serves until the context is cancelled or the engine exits after falling over.
func (s *Server) Run(ctx context.Context) error {
	return s.simulator.Run(ctx, s.build)
}

func (s *Server) build(life *simulator.Life) http.Handler {
	e := newEngine(s, life)
	go e.run()
	go e.reports.run()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /engine/v1/generate", e.generate)
	mux.HandleFunc("POST /engine/v1/cancel", e.cancel)
	mux.HandleFunc("GET /engine/v1/report", e.report)
	return mux
}
