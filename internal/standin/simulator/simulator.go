// Package simulator holds what the stand-ins of engines and services share: the listener, cold start, falling over
// under more load than can be borne, control and records.
package simulator

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/standin/responder"
)

const (
	headerTimeout  = 5 * time.Second
	shutdownPeriod = 60 * time.Second
	// relistenPeriod is the pause between attempts to take the address again after falling over.
	relistenPeriod = 20 * time.Millisecond
	defaultDown    = 2 * time.Second
	defaultCold    = 8
	defaultWarm    = 64
	defaultAfter   = 50
)

// ErrExit tells that the stand-in fell over and was told to exit then.
var ErrExit = errors.New("upstream fell over and exits as configured")

// Config holds what a simulator is built from.
type Config struct {
	// Address is the IP:port to listen on; port 0 selects a free one.
	Address string
	// Cold and Warm are the running requests that the upstream bears when cold and after WarmAfter completions.
	Cold, Warm, WarmAfter int
	// Down is how long the upstream refuses everything after it fell over.
	Down time.Duration
	// Exit makes Run return ErrExit when the upstream falls over.
	Exit bool
	// RecordFile receives the record when the process ends, if set.
	RecordFile string
}

func (c Config) withDefaults() Config {
	if c.Cold == 0 {
		c.Cold = defaultCold
	}
	if c.Warm == 0 {
		c.Warm = max(defaultWarm, c.Cold)
	}
	if c.WarmAfter == 0 {
		c.WarmAfter = defaultAfter
	}
	if c.Down == 0 {
		c.Down = defaultDown
	}
	return c
}

// Builder makes the handler of one life and starts its background work, which ends with the life's context.
type Builder func(life *Life) http.Handler

// Server serves one upstream through its successive lives.
type Server struct {
	cfg      Config
	listener net.Listener
	address  string
	recorder *recorder

	mu         sync.Mutex
	life       *Life
	slow       float64
	stallUntil time.Time
}

// New listens on the address. Run serves it.
func New(cfg Config) (*Server, error) {
	cfg = cfg.withDefaults()
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the upstream stand-in")
	}
	return &Server{
		cfg:      cfg,
		listener: listener,
		address:  listener.Addr().String(),
		recorder: newRecorder(),
		slow:     1,
	}, nil
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string { return s.address }

// Run serves until the context is cancelled or, with Exit, until the upstream falls over.
func (s *Server) Run(ctx context.Context, build Builder) error {
	defer s.writeRecord()
	for {
		fell, err := s.runLife(ctx, build)
		if err != nil || !fell {
			return err
		}
		if s.cfg.Exit {
			return ErrExit
		}
		if !Pause(ctx, s.cfg.Down) {
			return nil
		}
		if err := s.relisten(ctx); err != nil {
			return err
		}
		if s.listener == nil {
			return nil
		}
	}
}

// runLife serves one life and tells whether it ended by falling over.
func (s *Server) runLife(ctx context.Context, build Builder) (bool, error) {
	life := s.begin(ctx)
	defer life.work.Wait()
	defer life.end()
	server := &http.Server{
		Handler:           s.handler(build(life)),
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return life.ctx },
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(s.listener) }()
	select {
	case err := <-failed:
		return false, errors.Wrap(err, "serve the upstream stand-in")
	case <-life.fallen:
		life.end()
		// Close fails only when the listener is closed already.
		_ = server.Close()
		return true, nil
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownPeriod)
	defer cancel()
	if err := server.Shutdown(stopCtx); err != nil {
		life.end()
		return false, errors.Wrap(server.Close(), "close the upstream stand-in")
	}
	return false, nil
}

// relisten takes the same address again. It leaves no listener when the context ends first.
func (s *Server) relisten(ctx context.Context) error {
	s.listener = nil
	for {
		listener, err := net.Listen("tcp", s.address)
		if err == nil {
			s.listener = listener
			return nil
		}
		if !Pause(ctx, relistenPeriod) {
			return nil
		}
	}
}

func (s *Server) begin(ctx context.Context) *Life {
	// A planned stop lets running requests finish, so a life does not end with the context of Run.
	lifeCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	life := &Life{
		Boot:   identifier.Boot(identifier.NewRequest().String()),
		server: s,
		ctx:    lifeCtx,
		cancel: cancel,
		fallen: make(chan struct{}),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.life = life
	return life
}

func (s *Server) current() *Life {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life
}

func (s *Server) handler(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control", s.control)
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) {
		responder.JSON(w, http.StatusOK, s.recorder.snapshot())
	})
	mux.Handle("/", next)
	return mux
}

// SlowFactor returns the factor by which work takes longer than usual.
func (s *Server) SlowFactor() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slow
}

// AwaitStall returns once no stall is in force, and false if the context ended first.
func (s *Server) AwaitStall(ctx context.Context) bool {
	for {
		s.mu.Lock()
		left := time.Until(s.stallUntil)
		s.mu.Unlock()
		if left <= 0 {
			return ctx.Err() == nil
		}
		if !Pause(ctx, left) {
			return false
		}
	}
}

// RecordStep records one lock-step iteration.
func (s *Server) RecordStep(step Step) { s.recorder.step(step) }

type wireControl struct {
	CoolNow bool `json:"coolNow"`
	// GraceMillis is the time after coolNow in which the upstream is slow but does not fall over.
	GraceMillis int64    `json:"graceMillis"`
	StallMillis int64    `json:"stallMillis"`
	SlowFactor  *float64 `json:"slowFactor"`
	Crash       bool     `json:"crash"`
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var in wireControl
	if !responder.Decode(w, r, &in) {
		return
	}
	if in.SlowFactor != nil && *in.SlowFactor <= 0 {
		responder.Fail(w, http.StatusBadRequest, "slowFactor must be greater than 0")
		return
	}
	s.mu.Lock()
	if in.StallMillis > 0 {
		s.stallUntil = time.Now().Add(time.Duration(in.StallMillis) * time.Millisecond)
	}
	if in.SlowFactor != nil {
		s.slow = *in.SlowFactor
	}
	s.mu.Unlock()
	life := s.current()
	if in.CoolNow {
		life.cool(time.Duration(in.GraceMillis) * time.Millisecond)
	}
	w.WriteHeader(http.StatusNoContent)
	if in.Crash {
		// The answer leaves before the connections close.
		_ = http.NewResponseController(w).Flush()
		life.Crash()
	}
}

// Pause waits for a period and returns false if the context ended first.
func Pause(ctx context.Context, period time.Duration) bool {
	if period <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
