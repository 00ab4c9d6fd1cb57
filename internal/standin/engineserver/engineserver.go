// Package engineserver is the stand-in of a model engine: continuous batching, cold start, prefix cache, KV cache and
// ranks in lock-step.
package engineserver

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/standin/simulator"
)

const (
	defaultStepBase       = 5 * time.Millisecond
	defaultStepPerRequest = 50 * time.Microsecond
	defaultReportLag      = 300 * time.Millisecond
	defaultPrefillTokens  = 512
	// defaultColdPrefill shows in the time to first token, from which a balancer tells that an engine became cold.
	defaultColdPrefill   = 8
	defaultCachePrefixes = 64
	defaultEventDelay    = 500 * time.Millisecond
	defaultKVSize        = 1 << 30
	defaultExperts       = 64
	defaultPerToken      = 500 * time.Microsecond
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
	// ColdPrefill is the number of steps that a cold engine adds before the first token; it falls to 0 as the engine
	// warms up. A negative value adds none.
	ColdPrefill int
	// Models are the models loaded at start. Without any, the engine serves every model.
	Models []string
	Role   string
	// CheckFence makes the engine refuse orders with an old fencing number.
	CheckFence bool
	// CachePrefixes bounds the prefix cache; a negative value turns it off.
	CachePrefixes int
	// EventDelay is how late cache events are published, EventGap the probability that one is lost.
	EventDelay time.Duration
	EventGap   float64
	// Seed makes the gaps repeatable.
	Seed   int64
	KVSize int64
	Group  GroupConfig
}

// GroupConfig places an engine in a group of ranks that run in lock-step. With Size 0 the engine steps alone.
type GroupConfig struct {
	Size, Rank int
	// Coordinator is the IP:port at which rank 0 coordinates the steps.
	Coordinator string
	Experts     int
	// PerToken is what a token that a rank's experts process adds to its step.
	PerToken time.Duration
	// Skew is the exponent of the popularity of experts, 0 for equal popularity.
	Skew float64
	// DriftSteps is the number of steps in which the popularity of experts shifts by one, 0 for no drift.
	DriftSteps int
	// Seed orders the experts by popularity. It must be the same on all ranks.
	Seed int64
}

// grouped tells whether there is a coordinator to step with.
func (c GroupConfig) grouped() bool { return c.Coordinator != "" }

func (c GroupConfig) withDefaults() GroupConfig {
	if c.Size == 0 {
		c.Size = 1
	}
	if c.Experts == 0 {
		c.Experts = defaultExperts
	}
	if c.PerToken == 0 {
		c.PerToken = defaultPerToken
	}
	return c
}

func (c GroupConfig) validate() error {
	if c.Rank < 0 || c.Rank >= c.Size {
		return errors.Newf("rank %d is outside of a group of %d; use 0 to %d", c.Rank, c.Size, c.Size-1)
	}
	if c.Size > 1 && !c.grouped() {
		return errors.New("a group of several ranks needs the address of its coordinator")
	}
	return nil
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
	if c.ColdPrefill == 0 {
		c.ColdPrefill = defaultColdPrefill
	}
	if c.CachePrefixes == 0 {
		c.CachePrefixes = defaultCachePrefixes
	}
	if c.EventDelay == 0 {
		c.EventDelay = defaultEventDelay
	}
	if c.KVSize == 0 {
		c.KVSize = defaultKVSize
	}
	c.Group = c.Group.withDefaults()
	return c
}

// Server is an engine stand-in.
type Server struct {
	cfg        Config
	simulator  *simulator.Server
	popularity *popularity
	// coordinator is set in the process of rank 0. It outlives the engine's falling over.
	coordinator *coordinator
}

// New listens on the address. Run serves it.
func New(cfg Config) (*Server, error) {
	cfg = cfg.withDefaults()
	if err := cfg.Group.validate(); err != nil {
		return nil, err
	}
	s := &Server{
		cfg:        cfg,
		popularity: newPopularity(cfg.Group.Experts, cfg.Group.Skew, cfg.Group.DriftSteps, cfg.Group.Seed),
	}
	if cfg.Group.grouped() && cfg.Group.Rank == 0 {
		c, err := newCoordinator(cfg.Group.Coordinator, cfg.Group.Size)
		if err != nil {
			return nil, err
		}
		s.coordinator = c
		s.cfg.Group.Coordinator = c.listener.Addr().String()
	}
	var err error
	s.simulator, err = simulator.New(cfg.Simulator)
	return s, err
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string { return s.simulator.Address() }

// Coordinator returns the address of the group's coordinator.
func (s *Server) Coordinator() string { return s.cfg.Group.Coordinator }

// Run serves until the context is cancelled or the engine exits after falling over.
func (s *Server) Run(ctx context.Context) error {
	if s.coordinator == nil {
		return s.simulator.Run(ctx, s.build)
	}
	// The coordinator ends after the engine, whose running requests need steps until they finish.
	stepCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.coordinator.run(stepCtx)
	}()
	err := s.simulator.Run(ctx, s.build)
	if err == nil {
		s.coordinator.awaitLeave(stepCtx)
	}
	cancel()
	<-ended
	return err
}

func (s *Server) build(life *simulator.Life) http.Handler {
	e := newEngine(s, life)
	life.Go(e.run)
	life.Go(e.reports.run)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /engine/v1/generate", e.generate)
	mux.HandleFunc("POST /engine/v1/cancel", e.cancel)
	mux.HandleFunc("GET /engine/v1/report", e.report)
	mux.HandleFunc("POST /engine/v1/orders", e.orders)
	mux.HandleFunc("GET /engine/v1/cacheEvents", e.cacheEvents)
	mux.HandleFunc("POST /engine/v1/kvExport", e.kvExport)
	mux.HandleFunc("POST /engine/v1/kvImport", e.kvImport)
	return mux
}
