package streamer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

const defaultRetention = 60 * time.Second

// ErrAttemptExists is returned for an attempt that the registry holds already.
var ErrAttemptExists = errors.New("the attempt exists already; attach to it, or dispatch with the next attempt number")

// RegistryConfig configures a Registry.
type RegistryConfig struct {
	// Retention is how long an unacknowledged response is kept after its end; 60 s by default.
	Retention time.Duration
	// MaxBytes bounds the unacknowledged bytes of each response; 1 MiB by default.
	MaxBytes identifier.Bytes
	// Clock returns the current time; time.Now by default.
	Clock func() time.Time
}

type attemptKey struct {
	request  identifier.Request
	attempt  identifier.Attempt
	customer identifier.Customer
}

// Registry holds the response buffers of an agent by attempt. The customer is part of the key, so that no customer can
// access the response of another. It is safe for concurrent use.
type Registry struct {
	cfg RegistryConfig

	mu      sync.Mutex
	buffers map[attemptKey]*Buffer
	// empty is closed when the last buffer is removed; nil without a waiter.
	empty chan struct{}
}

// NewRegistry returns an empty registry.
func NewRegistry(cfg RegistryConfig) *Registry {
	if cfg.Retention <= 0 {
		cfg.Retention = defaultRetention
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	return &Registry{cfg: cfg, buffers: map[attemptKey]*Buffer{}}
}

// Create adds a buffer for a new attempt. It returns ErrAttemptExists if the registry holds the attempt already, so that
// a repeated Dispatch message does not start a second run.
func (r *Registry) Create(request identifier.Request, attempt identifier.Attempt, customer identifier.Customer) (*Buffer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := attemptKey{request, attempt, customer}
	if _, found := r.buffers[key]; found {
		return nil, ErrAttemptExists
	}
	b := NewBuffer(BufferConfig{MaxBytes: r.cfg.MaxBytes, Clock: r.cfg.Clock})
	r.buffers[key] = b
	return b, nil
}

// Lookup returns the buffer of an attempt, if the registry holds it for this customer.
func (r *Registry) Lookup(request identifier.Request, attempt identifier.Attempt, customer identifier.Customer) (*Buffer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, found := r.buffers[attemptKey{request, attempt, customer}]
	return b, found
}

// Acknowledge applies an Ack message of the entry. It removes an attempt that has ended and is acknowledged as finished.
// An unknown attempt is ignored.
func (r *Registry) Acknowledge(request identifier.Request, attempt identifier.Attempt, customer identifier.Customer, ack messenger.Ack) error {
	b, found := r.Lookup(request, attempt, customer)
	if !found {
		return nil
	}
	if err := b.Acknowledge(ack.Offset); err != nil {
		return err
	}
	if _, ended := b.Ended(); ended && ack.Finished {
		r.Remove(request, attempt, customer)
	}
	return nil
}

// Remove removes an attempt, for example one that was refused before anything started.
func (r *Registry) Remove(request identifier.Request, attempt identifier.Attempt, customer identifier.Customer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.buffers, attemptKey{request, attempt, customer})
	r.signalEmpty()
}

// Sweep removes the responses whose retention has passed and returns their number.
func (r *Registry) Sweep(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	removed := 0
	for key, b := range r.buffers {
		at, ended := b.Ended()
		if ended && now.Sub(at) >= r.cfg.Retention {
			delete(r.buffers, key)
			removed++
		}
	}
	r.signalEmpty()
	return removed
}

// Len returns the number of responses that are incomplete or unacknowledged.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.buffers)
}

// Wait blocks until no response is incomplete or unacknowledged, for a graceful shutdown, or returns the error of ctx.
func (r *Registry) Wait(ctx context.Context) error {
	for {
		r.mu.Lock()
		if len(r.buffers) == 0 {
			r.mu.Unlock()
			return nil
		}
		if r.empty == nil {
			r.empty = make(chan struct{})
		}
		empty := r.empty
		r.mu.Unlock()
		select {
		case <-empty:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// signalEmpty wakes Wait if the registry is empty. It is called with the lock held.
func (r *Registry) signalEmpty() {
	if len(r.buffers) == 0 && r.empty != nil {
		close(r.empty)
		r.empty = nil
	}
}
