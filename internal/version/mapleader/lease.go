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
	// leaseTerm is how long a leader may issue orders, counted from the start of its last successful renewal.
	leaseTerm = 4 * time.Second
	// takeoverMargin is how much longer than the term other processes wait before they acquire the lease. It covers the
	// drift between clocks that run at about the same rate.
	takeoverMargin = 300 * time.Millisecond
	renewInterval  = time.Second
	// fencesPerEra is more than the versions that the store may lose at once, so that the first fence after a restoration is
	// higher than the last one before.
	fencesPerEra = 1 << 24
	// extensionValidity is how long after an extension without a write the lease counts as extended. An outage is checked
	// at least that often: a renewal that gets no response takes up to renewTimeout, and the next follows in leaseInterval.
	extensionValidity = renewTimeout + 2*leaseInterval
	// resignAfter is the time since the last renewal after which a lease is resigned. It leaves time for one failed
	// renewal and one retry.
	resignAfter = 2500 * time.Millisecond
)

// Store is the part of the platform's store that a Lease uses.
type Store interface {
	ReadRow(ctx context.Context, t replicator.Table, key string) (replicator.Row, error)
	Write(ctx context.Context, t replicator.Table, key string, value []byte, expected uint64) (uint64, error)
}

// LeaseConfig configures a Lease.
type LeaseConfig struct {
	Store       Store
	Node        identifier.Node
	Incarnation identifier.Incarnation
	// Now returns the time since the VM started, including the time it was suspended. The default reads CLOCK_BOOTTIME.
	Now func() time.Duration
	// Dead reports whether an incarnation of a node has ended or has been silent for some time. A silent holder may still
	// issue orders. The orders of two leaders are safe (see mapswitcher); the lease only makes two leaders rare.
	Dead func(identifier.Node, identifier.Incarnation) bool
	// Resigned reports whether the holder of a version of the row has announced that it issues no more orders.
	Resigned func(version uint64) bool
}

// Lease is a row of the platform's store that at most one process holds. Its methods may be called concurrently.
type Lease struct {
	cfg LeaseConfig
	mu  sync.Mutex
	// version is the version of the row while this process holds the lease, else 0.
	version uint64
	// renewedAt is when the last successful renewal started.
	renewedAt time.Duration
	// resigned is the version of the row that this process last resigned without a write to the row, or 0.
	resigned uint64
	// term counts the acquisitions of the lease by any process, up to the last one by this process.
	term uint64
	// doubted is set until the next write to the row after another process may have acquired the lease.
	doubted bool
	// extended is set if renewedAt is that of an extension without a write.
	extended bool
	// observedVersion is the newest version that another process holds, and observedAt when it was first read.
	observedVersion uint64
	observedAt      time.Duration
}

// NewLease returns a Lease that is not held.
func NewLease(cfg LeaseConfig) *Lease {
	if cfg.Now == nil {
		cfg.Now = vmUptime
	}
	return &Lease{cfg: cfg}
}

// vmUptime returns the time since the VM started. Unlike the monotonic clock of the Go runtime, it includes the time
// the VM was suspended.
func vmUptime() time.Duration {
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
	// Term counts the acquisitions of the lease.
	Term uint64 `json:"term,omitempty"`
	// Era is the era of the version that the write expected.
	Era uint64 `json:"era,omitempty"`
}

// isRestored reports whether the row was written before the store was restored. Its holder at that time may have lost the
// lease since then.
func (w wireLease) isRestored(row replicator.Row) bool {
	return replicator.CounterOf(row.Version) == 0 || w.Era < uint64(replicator.EraOf(row.Version))
}

// Held reports whether this process holds the lease and may issue orders.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version != 0 && !l.doubted && l.cfg.Now()-l.renewedAt < leaseTerm
}

// Fence returns the fencing number of this tenure, which is higher than that of every earlier holder. It is 0 if the
// lease is not held.
func (l *Lease) Fence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return uint64(replicator.EraOf(l.version))*fencesPerEra + replicator.CounterOf(l.version)
}

// Renew renews the lease if a renewal is due, and reports whether this process still holds it. A conflict with another
// holder ends the lease at once. After any other error this process holds it until the term ends.
func (l *Lease) Renew(ctx context.Context) (bool, error) {
	l.mu.Lock()
	version, due := l.version, l.doubted || l.cfg.Now()-l.renewedAt >= renewInterval
	l.mu.Unlock()
	if version == 0 || !due {
		return version != 0, nil
	}
	return l.write(ctx, version)
}

// Extend renews the lease without a write to the store, if the lease is still held. The caller must know that the store
// responds to no process that could acquire the lease, since an acquisition requires a write to the row.
func (l *Lease) Extend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.cfg.Now(); l.version != 0 && now-l.renewedAt < leaseTerm {
		l.renewedAt, l.extended = now, true
	}
}

// Doubt records that another process may have acquired the lease. This process does not hold it until a write to the row
// has shown that it still does.
func (l *Lease) Doubt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doubted = true
}

// Confirm writes the row at once and reports whether this process has held the lease without a break until then. While the
// lease is extended without writes, no write is needed.
func (l *Lease) Confirm(ctx context.Context) (bool, error) {
	l.mu.Lock()
	version := l.version
	l.mu.Unlock()
	if version == 0 {
		return false, nil
	}
	held, err := l.write(ctx, version)
	if err == nil {
		return held, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	isExtended := l.extended && l.cfg.Now()-l.renewedAt < extensionValidity
	return isExtended && l.version != 0 && !l.doubted, err
}

// Term returns the number of acquisitions of the lease up to the last one by this process.
func (l *Lease) Term() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

// Resign gives up the lease if it could not be renewed for a while, for example because the store refuses the calls of
// this VM. Peers that receive the resigned version take over before the term ends. Resign reports whether the lease was
// given up.
func (l *Lease) Resign() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.version == 0 || l.cfg.Now()-l.renewedAt < resignAfter {
		return false
	}
	l.resigned, l.version = l.version, 0
	return true
}

// Resigned returns the version of the row that this process last resigned, or 0.
func (l *Lease) Resigned() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resigned
}

// Acquire acquires the lease if no process can hold it, and reports whether this process holds it afterwards.
func (l *Lease) Acquire(ctx context.Context) (bool, error) {
	row, err := l.cfg.Store.ReadRow(ctx, leaseTable, leaseKey)
	if err != nil {
		return false, err
	}
	if !l.isFree(row) {
		return false, nil
	}
	var w wireLease
	_ = json.Unmarshal(row.Value, &w)
	l.mu.Lock()
	l.term = w.Term + 1
	l.mu.Unlock()
	return l.write(ctx, row.Version)
}

// isFree reports whether no process holds the version of the row: it was never written, its holder released or resigned
// it, belongs to this node or is dead, or its term has ended since this process first read it. isFree records the time of
// this first read.
func (l *Lease) isFree(row replicator.Row) bool {
	if replicator.CounterOf(row.Version) == 0 || l.cfg.Resigned(row.Version) {
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
	if row.Version != l.observedVersion {
		l.observedVersion, l.observedAt = row.Version, now
	}
	return now-l.observedAt >= leaseTerm+takeoverMargin
}

// Release gives up the lease, also if its write fails, and marks the row as released, so that another process can
// acquire the lease at once.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	version := l.version
	l.version = 0
	l.mu.Unlock()
	if version == 0 {
		return nil
	}
	_, err := l.cfg.Store.Write(ctx, leaseTable, leaseKey, l.rowValue(version, true), version)
	return err
}

func (l *Lease) rowValue(expected uint64, released bool) []byte {
	raw, err := json.Marshal(wireLease{
		Node: string(l.cfg.Node), Incarnation: uint64(l.cfg.Incarnation), Released: released,
		Era: uint64(replicator.EraOf(expected)), Term: l.Term(),
	})
	if err != nil {
		return nil
	}
	return raw
}

// write writes the row if it still has the expected version, and reports whether this process holds the lease.
func (l *Lease) write(ctx context.Context, expected uint64) (bool, error) {
	started := l.cfg.Now()
	version, err := l.cfg.Store.Write(ctx, leaseTable, leaseKey, l.rowValue(expected, false), expected)
	if errors.Is(err, replicator.ErrConflict) {
		return l.resolveConflict(ctx, started)
	}
	if err != nil {
		return l.Held(), err
	}
	l.update(version, started)
	return true, nil
}

// resolveConflict reads the row after a conflict and reports whether this process holds the lease: the conflict may
// come from an earlier write of this process whose response was lost, or from a restoration of the store. The holder at the
// time of a restoration keeps the lease.
func (l *Lease) resolveConflict(ctx context.Context, started time.Duration) (bool, error) {
	row, err := l.cfg.Store.ReadRow(ctx, leaseTable, leaseKey)
	if err != nil {
		return l.Held(), err
	}
	var w wireLease
	err = json.Unmarshal(row.Value, &w)
	if err == nil && w.Node == string(l.cfg.Node) && w.Incarnation == uint64(l.cfg.Incarnation) && !w.Released {
		l.update(row.Version, started)
		return true, nil
	}
	if l.Held() && w.isRestored(row) {
		return l.write(ctx, row.Version)
	}
	l.update(0, 0)
	return false, errors.Wrap(err, "decode the lease")
}

// update records the version of the row and when the write that renewed it started; version 0 means that the lease is
// lost.
func (l *Lease) update(version uint64, started time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version, l.renewedAt, l.extended, l.doubted = version, started, false, false
}
