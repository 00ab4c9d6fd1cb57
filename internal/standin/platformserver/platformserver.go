// Package platformserver is the stand-in of the platform: table, objects, VM list and weight store, with faults.
package platformserver

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/standin/responder"
)

const (
	headerTimeout  = 5 * time.Second
	shutdownPeriod = 5 * time.Second
	// defaultWeightRate lets one expert of 64 MiB pass in about a quarter of a second.
	defaultWeightRate = 256 << 20
)

// Config holds what a platform stand-in is built from.
type Config struct {
	// Address is the IP:port to listen on; port 0 selects a free one.
	Address string
	// ListLag is the age of the VM list that callers see.
	ListLag time.Duration
	// WeightRate is the rate of the weight store in bytes per second.
	WeightRate int64
	// Seed makes the faults with a probability repeatable.
	Seed int64
}

// Server is a platform stand-in.
type Server struct {
	listener net.Listener
	table    *table
	objects  *objects
	vms      *vmList
	weights  *weights
	faults   *faults
	counts   *counts
}

// New listens on the address. Run serves it.
func New(cfg Config) (*Server, error) {
	if cfg.WeightRate == 0 {
		cfg.WeightRate = defaultWeightRate
	}
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the platform stand-in")
	}
	return &Server{
		listener: listener,
		table:    newTable(),
		objects:  newObjects(),
		vms:      newVMList(cfg.ListLag),
		weights:  newWeights(cfg.WeightRate),
		faults:   newFaults(cfg.Seed),
		counts:   newCounts(),
	}, nil
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Run serves until the context is cancelled.
func (s *Server) Run(ctx context.Context) error {
	server := &http.Server{Handler: s.handler(), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(s.listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve the platform stand-in")
	case <-ctx.Done():
	}
	s.faults.release()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownPeriod)
	defer cancel()
	if err := server.Shutdown(stopCtx); err != nil {
		return errors.Wrap(server.Close(), "close the platform stand-in")
	}
	return nil
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /table/v1/transact", s.faulty(s.transact))
	mux.Handle("POST /table/v1/get", s.faulty(s.get))
	mux.Handle("GET /table/v1/scan", s.faulty(s.scan))
	mux.Handle("PUT /objects/v1/{key...}", s.faulty(s.putObject))
	mux.Handle("GET /objects/v1/{key...}", s.faulty(s.getObject))
	mux.Handle("GET /vms/v1/list", s.faulty(s.listVMs))
	mux.Handle("POST /weights/v1/fetch", s.faulty(s.fetchWeights))
	mux.HandleFunc("POST /vms/v1/set", s.setVMs)
	mux.HandleFunc("POST /fault", s.setFault)
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) {
		responder.JSON(w, http.StatusOK, s.counts.snapshot())
	})
	return mux
}
