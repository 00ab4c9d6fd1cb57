package mapleader

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/replicator"
)

const (
	leaseTable replicator.Table = "leases"
	leaseKey   string           = "maps"
	// term is how long a leader may give orders after it began its last successful renewal.
	term = 4 * time.Second
	// takeoverMargin is kept beyond the term before another process takes the lease, for the difference between clocks
	// that run at about the same rate.
	takeoverMargin = 300 * time.Millisecond
	renewInterval  = time.Second
	// resignAfter leaves room for one failed renewal and its repetition.
	resignAfter = 2500 * time.Millisecond
)

// Store is what the lease needs of the platform.
type Store interface {
	ReadRow(ctx context.Context, t replicator.Table, key string) (replicator.Row, error)
	Write(ctx context.Context, t replicator.Table, key string, value []byte, expected uint64) (uint64, error)
}

// LeaseConfig sets up a Lease.
type LeaseConfig struct {
	Store       Store
	Node        identifier.Node
	Incarnation identifier.Incarnation
	// Now returns the time since the VM started, suspensions included.
	Now func() time.Duration
	// Dead tells whether an incarnation of a node is known to have ended or has been silent for a while. A silent holder
	// may still act: the orders of two leaders do no harm (see mapswitcher), the lease only keeps that rare.
	Dead func(identifier.Node, identifier.Incarnation) bool
	// Resigned tells whether the holder of a version of the row has said that it will give no more orders.
	Resigned func(version uint64) bool
}

// Lease is a row of the platform that at most one process holds.
type Lease struct {
	cfg LeaseConfig
	mu  sync.Mutex
	// version is that of the row while the lease is held, else 0.
	version uint64
	renewed time.Duration
	// resigned is the version of the row that this process has given up without being able to write so.
	resigned uint64
	// seen and seenAt are the newest version of a foreign holder and when it was first seen.
	seen   uint64
	seenAt time.Duration
}

// NewLease returns a lease that is not held.
func NewLease(cfg LeaseConfig) *Lease {
	if cfg.Now == nil {
		cfg.Now = sinceBoot
	}
	return &Lease{cfg: cfg}
}

// sinceBoot counts suspensions of the VM, which the monotonic clock of the runtime does not.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

type wireLease struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	Released    bool   `json:"released,omitempty"`
}

// Held tells whether the holder may act, and the fence of this tenure.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version != 0 && l.cfg.Now()-l.renewed < term
}

// Fence returns a number that is higher than that of every earlier holder.
func (l *Lease) Fence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version
}

// Renew prolongs the lease if it is due. It returns false if the lease is not held any more.
func (l *Lease) Renew(ctx context.Context) (bool, error) {
	l.mu.Lock()
	version, due := l.version, l.cfg.Now()-l.renewed >= renewInterval
	l.mu.Unlock()
	if version == 0 || !due {
		return version != 0, nil
	}
	return l.write(ctx, version, false)
}

// Extend prolongs a lease that is still held without the platform. The caller has to know that the platform answers
// nobody who could take the lease: every claim is a write to the row.
func (l *Lease) Extend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.cfg.Now(); l.version != 0 && now-l.renewed < term {
		l.renewed = now
	}
}

// Resign gives the lease up if it could not be renewed for a while, as when the platform turns this VM away: peers that
// learn of the version take over without waiting for the term to pass. It tells whether the lease was given up.
func (l *Lease) Resign() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.version == 0 || l.cfg.Now()-l.renewed < resignAfter {
		return false
	}
	l.resigned, l.version = l.version, 0
	return true
}

// Resigned returns the version of the row that this process has given up, or 0.
func (l *Lease) Resigned() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resigned
}

// Claim tries to take the lease if nobody can hold it.
func (l *Lease) Claim(ctx context.Context) (bool, error) {
	row, err := l.cfg.Store.ReadRow(ctx, leaseTable, leaseKey)
	if err != nil {
		return false, err
	}
	if !l.free(row) {
		return false, nil
	}
	return l.write(ctx, row.Version, false)
}

func (l *Lease) free(row replicator.Row) bool {
	if row.Version == 0 || l.cfg.Resigned(row.Version) {
		return true
	}
	var w wireLease
	if json.Unmarshal(row.Value, &w) == nil {
		own := w.Node == string(l.cfg.Node)
		if w.Released || own || l.cfg.Dead(identifier.Node(w.Node), identifier.Incarnation(w.Incarnation)) {
			return true
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	if row.Version != l.seen {
		l.seen, l.seenAt = row.Version, now
	}
	return now-l.seenAt >= term+takeoverMargin
}

// Release gives the lease up, so that another process takes it at once.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	version := l.version
	l.version = 0
	l.mu.Unlock()
	if version == 0 {
		return nil
	}
	_, err := l.cfg.Store.Write(ctx, leaseTable, leaseKey, l.value(true), version)
	return err
}

func (l *Lease) value(released bool) []byte {
	raw, err := json.Marshal(wireLease{
		Node: string(l.cfg.Node), Incarnation: uint64(l.cfg.Incarnation), Released: released,
	})
	if err != nil {
		return nil
	}
	return raw
}

func (l *Lease) write(ctx context.Context, expected uint64, released bool) (bool, error) {
	started := l.cfg.Now()
	version, err := l.cfg.Store.Write(ctx, leaseTable, leaseKey, l.value(released), expected)
	if errors.Is(err, replicator.ErrConflict) {
		return l.resolve(ctx, started)
	}
	if err != nil {
		return l.Held(), err
	}
	l.take(version, started)
	return true, nil
}

// resolve reads the row after a conflict: an earlier write of this process may have taken effect without an answer.
func (l *Lease) resolve(ctx context.Context, started time.Duration) (bool, error) {
	row, err := l.cfg.Store.ReadRow(ctx, leaseTable, leaseKey)
	if err != nil {
		return l.Held(), err
	}
	var w wireLease
	err = json.Unmarshal(row.Value, &w)
	if err == nil && w.Node == string(l.cfg.Node) && w.Incarnation == uint64(l.cfg.Incarnation) && !w.Released {
		l.take(row.Version, started)
		return true, nil
	}
	l.take(0, 0)
	return false, errors.Wrap(err, "decode the lease")
}

func (l *Lease) take(version uint64, started time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version, l.renewed = version, started
}
