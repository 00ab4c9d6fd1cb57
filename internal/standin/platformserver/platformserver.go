// Package platformserver is the stand-in of the platform: a table, an object store, the VM list and the weight store.
// Faults such as outages, delays, lost responses and stale reads are injected by POST /fault.
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
	headerTimeout   = 5 * time.Second
	shutdownTimeout = 5 * time.Second
	// defaultWeightRate is in bytes per second. An expert of 64 MiB takes a quarter of a second.
	defaultWeightRate = 256 << 20
)

// Config configures a platform stand-in.
type Config struct {
	// Address is the IP:port to listen on; port 0 selects a free one.
	Address string
	// ListLag is the age of the VM list that clients receive.
	ListLag time.Duration
	// WeightRate is the rate of the weight store in bytes per second, over all clients.
	WeightRate int64
	// Seed is the seed of the random generator that selects the calls with lost responses and stale reads.
	Seed int64
}

// Server is a platform stand-in.
type Server struct {
	listener    net.Listener
	table       *table
	objects     *objects
	vms         *vmList
	weightStore *weightStore
	faults      *faults
	counts      *counts
}

// New returns a stand-in that listens on the configured address. Run serves it.
func New(cfg Config) (*Server, error) {
	if cfg.WeightRate == 0 {
		cfg.WeightRate = defaultWeightRate
	}
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the platform stand-in")
	}
	return &Server{
		listener:    listener,
		table:       newTable(),
		objects:     newObjects(),
		vms:         newVMList(cfg.ListLag),
		weightStore: newWeightStore(cfg.WeightRate),
		faults:      newFaults(cfg.Seed),
		counts:      newCounts(),
	}, nil
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Run serves until the context is cancelled. It then clears the faults, so that no hanging call delays the shutdown.
func (s *Server) Run(ctx context.Context) error {
	server := &http.Server{Handler: s.handler(), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(s.listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve the platform stand-in")
	case <-ctx.Done():
	}
	s.faults.clear()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(stopCtx); err != nil {
		return errors.Wrap(server.Close(), "close the platform stand-in")
	}
	return nil
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /table/v1/transact", s.withFaults(s.transact))
	mux.Handle("POST /table/v1/get", s.withFaults(s.get))
	mux.Handle("GET /table/v1/scan", s.withFaults(s.scan))
	mux.Handle("PUT /objects/v1/{key...}", s.withFaults(s.putObject))
	mux.Handle("GET /objects/v1/{key...}", s.withFaults(s.getObject))
	mux.Handle("GET /vms/v1/list", s.withFaults(s.listVMs))
	mux.Handle("POST /weights/v1/fetch", s.withFaults(s.fetchWeights))
	mux.HandleFunc("POST /vms/v1/set", s.setVMs)
	mux.HandleFunc("POST /fault", s.setFault)
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) {
		responder.JSON(w, http.StatusOK, s.counts.snapshot())
	})
	return mux
}
