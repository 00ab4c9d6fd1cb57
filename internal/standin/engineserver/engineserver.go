// Package engineserver is the stand-in of a model engine. It simulates continuous batching, cold start, a prefix cache,
// a KV cache and groups of ranks that run their steps in lock-step.
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
	// defaultColdPrefill is a number of steps. It must raise the time to first token enough for a load balancer to detect
	// that an engine became cold.
	defaultColdPrefill   = 8
	defaultCachePrefixes = 64
	defaultEventDelay    = 500 * time.Millisecond
	// defaultKVSize is in bytes.
	defaultKVSize   = 1 << 30
	defaultExperts  = 64
	defaultPerToken = 500 * time.Microsecond
)

// Config configures an engine stand-in.
type Config struct {
	Simulator simulator.Config
	// StepBase is the duration of a step without running requests. Each running request adds StepPerRequest to the steps
	// of an engine without a group.
	StepBase, StepPerRequest time.Duration
	// BatchSize bounds the running requests and QueueSize the waiting ones; beyond both the engine responds with status
	// 503. BatchSize 0 sets no bound, so that no request waits.
	BatchSize, QueueSize int
	// ReportLag is the age of the state that reports show; a negative value reports without lag.
	ReportLag time.Duration
	// PrefillTokens is the number of prompt tokens that one step processes.
	PrefillTokens int
	// ColdPrefill is the number of steps that a cold engine adds before the first token; it falls to 0 as the engine
	// warms up. A negative value adds none.
	ColdPrefill int
	// Models are the models loaded at start. Without any, the engine serves every model.
	Models []string
	// Role is the role that the engine reports until an order changes it.
	Role string
	// CheckFence makes the engine refuse orders with an old fencing number.
	CheckFence bool
	// CachePrefixes is the number of prefixes that the prefix cache holds; a negative value turns it off.
	CachePrefixes int
	// EventDelay is the delay of cache events, negative for none. EventGapProbability is the probability that an event is
	// lost.
	EventDelay          time.Duration
	EventGapProbability float64
	// Seed is the seed of the random generator that selects the lost events.
	Seed int64
	// KVSize is the reported size of the KV cache in bytes.
	KVSize int64
	Group  GroupConfig
}

// GroupConfig places an engine in a group of ranks that run in lock-step. Without a Coordinator the engine is
// standalone: it runs its steps independently of other engines.
type GroupConfig struct {
	// Size is the number of ranks, Rank the index of this one.
	Size, Rank int
	// Coordinator is the IP:port at which rank 0 coordinates the steps.
	Coordinator string
	// Experts is the number of experts.
	Experts int
	// PerToken is the time that each token which the rank's experts process adds to its step.
	PerToken time.Duration
	// Skew is the exponent of the Zipf distribution of tokens over the experts, 0 for a uniform distribution.
	Skew float64
	// DriftSteps is the number of steps in which each expert moves by one place in the order of popularity, 0 for no
	// drift.
	DriftSteps int
	// Seed is the seed of the order of the experts by popularity. It must be the same on all ranks.
	Seed int64
}

// inGroup reports whether the engine belongs to a group.
func (c GroupConfig) inGroup() bool { return c.Coordinator != "" }

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
	if c.Size > 1 && !c.inGroup() {
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
	// coordinator is set in the process of rank 0. It keeps running when the engine crashes.
	coordinator *coordinator
}

// New returns a stand-in that listens on the configured address. Run serves it.
func New(cfg Config) (*Server, error) {
	cfg = cfg.withDefaults()
	if err := cfg.Group.validate(); err != nil {
		return nil, err
	}
	s := &Server{
		cfg:        cfg,
		popularity: newPopularity(cfg.Group.Experts, cfg.Group.Skew, cfg.Group.DriftSteps, cfg.Group.Seed),
	}
	if cfg.Group.inGroup() && cfg.Group.Rank == 0 {
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

// Coordinator returns the IP:port of the group's coordinator, or "" for an engine without a group.
func (s *Server) Coordinator() string { return s.cfg.Group.Coordinator }

// Run serves until the context is cancelled or the engine crashes and is configured to exit then.
func (s *Server) Run(ctx context.Context) error {
	if s.coordinator == nil {
		return s.simulator.Run(ctx, s.newHandler)
	}
	// The coordinator stops after the engine, whose running requests need steps until they finish.
	coordinatorCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.coordinator.serve(coordinatorCtx)
	}()
	err := s.simulator.Run(ctx, s.newHandler)
	if err == nil {
		s.coordinator.awaitDisconnect(coordinatorCtx)
	}
	cancel()
	<-stopped
	return err
}

func (s *Server) newHandler(instance *simulator.Instance) http.Handler {
	e := newEngine(s, instance)
	instance.Go(e.run)
	instance.Go(e.reports.sampleLoop)
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
