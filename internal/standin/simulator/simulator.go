// Package simulator holds what the stand-ins of engines and services share: the listener, cold start, crashes under
// overload, the control endpoint and the record of calls.
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
	headerTimeout   = 5 * time.Second
	shutdownTimeout = 60 * time.Second
	// relistenPeriod is the pause between attempts to listen on the address again after a crash.
	relistenPeriod      = 20 * time.Millisecond
	defaultDowntime     = 2 * time.Second
	defaultColdCapacity = 8
	defaultWarmCapacity = 64
	defaultWarmAfter    = 50
)

// ErrExit is returned by Run when the upstream crashed and is configured to exit then.
var ErrExit = errors.New("upstream crashed and exits as configured")

// Config configures a Server.
type Config struct {
	// Address is the IP:port to listen on; port 0 selects a free one.
	Address string
	// ColdCapacity and WarmCapacity are the numbers of concurrent requests that the upstream sustains when it is cold,
	// and after it has completed WarmAfter requests. It crashes when it runs more.
	ColdCapacity, WarmCapacity, WarmAfter int
	// Downtime is how long the upstream refuses connections after a crash.
	Downtime time.Duration
	// ExitOnCrash makes Run return ErrExit when the upstream crashes, instead of starting it again.
	ExitOnCrash bool
	// RecordFile is the file to which Run writes the record before it returns; "" for none.
	RecordFile string
}

func (c Config) withDefaults() Config {
	if c.ColdCapacity == 0 {
		c.ColdCapacity = defaultColdCapacity
	}
	if c.WarmCapacity == 0 {
		c.WarmCapacity = max(defaultWarmCapacity, c.ColdCapacity)
	}
	if c.WarmAfter == 0 {
		c.WarmAfter = defaultWarmAfter
	}
	if c.Downtime == 0 {
		c.Downtime = defaultDowntime
	}
	return c
}

// Builder returns the handler of an instance and starts its background work, which ends with the context of the
// instance.
type Builder func(instance *Instance) http.Handler

// Server serves one upstream. After a crash and the downtime, it starts a new instance of it.
type Server struct {
	cfg      Config
	listener net.Listener
	address  string
	recorder *recorder

	// mu guards the fields below.
	mu         sync.Mutex
	instance   *Instance
	slowFactor float64
	stallUntil time.Time
}

// New returns a server that listens on the configured address. Run serves it.
func New(cfg Config) (*Server, error) {
	cfg = cfg.withDefaults()
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the upstream stand-in")
	}
	return &Server{
		cfg:        cfg,
		listener:   listener,
		address:    listener.Addr().String(),
		recorder:   newRecorder(),
		slowFactor: 1,
	}, nil
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string { return s.address }

// Run serves until the context is cancelled or, with ExitOnCrash, until the upstream crashes. When the context is
// cancelled, running requests may finish within the shutdown timeout.
func (s *Server) Run(ctx context.Context, build Builder) error {
	defer s.writeRecord()
	for {
		crashed, err := s.runInstance(ctx, build)
		if err != nil || !crashed {
			return err
		}
		if s.cfg.ExitOnCrash {
			return ErrExit
		}
		if !Pause(ctx, s.cfg.Downtime) {
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

// runInstance serves one instance and reports whether it ended with a crash.
func (s *Server) runInstance(ctx context.Context, build Builder) (bool, error) {
	instance := s.newInstance(ctx)
	defer instance.background.Wait()
	defer instance.end()
	server := &http.Server{
		Handler:           s.handler(build(instance)),
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return instance.ctx },
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(s.listener) }()
	select {
	case err := <-failed:
		return false, errors.Wrap(err, "serve the upstream stand-in")
	case <-instance.crashed:
		instance.end()
		// Close fails only when the listener is closed already.
		_ = server.Close()
		return true, nil
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(stopCtx); err != nil {
		instance.end()
		return false, errors.Wrap(server.Close(), "close the upstream stand-in")
	}
	return false, nil
}

// relisten listens on the same address again, with retries until it succeeds. If the context ends first, the listener
// is nil.
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

func (s *Server) newInstance(ctx context.Context) *Instance {
	// A planned stop lets running requests finish, so the context of Run does not cancel that of the instance.
	instanceCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	instance := &Instance{
		Boot:    identifier.Boot(identifier.NewRequest().String()),
		server:  s,
		ctx:     instanceCtx,
		cancel:  cancel,
		crashed: make(chan struct{}),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instance = instance
	return instance
}

func (s *Server) currentInstance() *Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instance
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

// SlowFactor returns the factor by which work takes longer than configured. It is 1 unless the control endpoint
// changed it.
func (s *Server) SlowFactor() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slowFactor
}

// AwaitStall waits while the upstream is stalled. It returns false if the context ended first.
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

// RecordStep adds a lock-step iteration to the record.
func (s *Server) RecordStep(step Step) { s.recorder.recordStep(step) }

// wireControl is the body of POST /control.
type wireControl struct {
	// CoolNow makes the upstream cold without a new boot id.
	CoolNow bool `json:"coolNow"`
	// GraceMillis is the time after coolNow in which the upstream is slow but does not crash.
	GraceMillis int64 `json:"graceMillis"`
	// StallMillis stalls the upstream for that time.
	StallMillis int64 `json:"stallMillis"`
	// SlowFactor changes the slow factor when present.
	SlowFactor *float64 `json:"slowFactor"`
	Crash      bool     `json:"crash"`
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
		s.slowFactor = *in.SlowFactor
	}
	s.mu.Unlock()
	instance := s.currentInstance()
	if in.CoolNow {
		instance.makeCold(time.Duration(in.GraceMillis) * time.Millisecond)
	}
	w.WriteHeader(http.StatusNoContent)
	if in.Crash {
		// The response is sent before the crash closes the connections.
		_ = http.NewResponseController(w).Flush()
		instance.Crash()
	}
}

// Pause waits for a period. It returns false if the context ended first.
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
