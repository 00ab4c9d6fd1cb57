// Package replicator keeps a copy of the platform's tables in each gateway. Rows arrive from the platform and from
// other gateways in any order. The row with the higher version wins, so a row never returns to an earlier version. The
// package has no I/O.
package replicator

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Table names a table of the platform.
type Table string

// Row is one version of a row. A deleted row remains as a tombstone: Deleted is set, and Version is that of the
// deletion.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Deleted bool
}

// deletionGrace is how long deletions are deferred after the platform has recovered from an outage. The platform
// specifies that rows which expired during the outage are registered again within about 2 s of its recovery.
const deletionGrace = 2200 * time.Millisecond

// maxTombstones bounds the tombstones that are kept for a table. They let a peer catch up without a full read.
const maxTombstones = 2048

// tableCopy is the copy of one table.
type tableCopy struct {
	// rows holds rows and tombstones by key.
	rows map[string]Row
	// version is the highest row version received.
	version uint64
	// tombstones is the number of deleted rows in rows.
	tombstones int
}

// Replicator holds the copies of all tables. Its methods may be called concurrently.
type Replicator struct {
	mu     sync.Mutex
	tables map[Table]*tableCopy
	// deferred holds, by table and key, the deletions that wait for the end of the grace period after an outage.
	deferred   map[Table]map[string]Row
	graceUntil time.Time
	onChange   func(Table)
}

// Config configures a Replicator.
type Config struct {
	// OnChange is called after each change of a table, without a lock held.
	OnChange func(Table)
}

// New returns a Replicator with empty tables.
func New(cfg Config) *Replicator {
	if cfg.OnChange == nil {
		cfg.OnChange = func(Table) {}
	}
	return &Replicator{
		tables:   map[Table]*tableCopy{},
		deferred: map[Table]map[string]Row{},
		onChange: cfg.OnChange,
	}
}

// table returns the copy of a table, which it creates if needed. It is called with the lock held.
func (r *Replicator) table(t Table) *tableCopy {
	c, found := r.tables[t]
	if !found {
		c = &tableCopy{rows: map[string]Row{}}
		r.tables[t] = c
	}
	return c
}

// PlatformRecovered starts the grace period: the platform responds again after an outage.
func (r *Replicator) PlatformRecovered(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.graceUntil = now.Add(deletionGrace)
}

// Merge adds the rows that are newer than those of the copy. With deferDeletions, which is meant for tables whose
// rows can expire during an outage, deletions during the grace period take effect only after its end. Merge returns the
// rows that it ignored because those of the copy have a higher version.
func (r *Replicator) Merge(now time.Time, t Table, rows []Row, deferDeletions bool) (ignored []Row) {
	r.mu.Lock()
	c := r.table(t)
	changed := false
	for _, row := range rows {
		c.version = max(c.version, row.Version)
		known, found := c.rows[row.Key]
		if found && known.Version >= row.Version {
			if known.Version > row.Version {
				ignored = append(ignored, row)
			}
			continue
		}
		if deferDeletions && row.Deleted && now.Before(r.graceUntil) {
			r.deferDeletion(t, row)
			continue
		}
		if earlier, isDeferred := r.deferred[t][row.Key]; isDeferred && earlier.Version <= row.Version {
			delete(r.deferred[t], row.Key)
		}
		if found && known.Deleted {
			c.tombstones--
		}
		if row.Deleted {
			c.tombstones++
		}
		c.rows[row.Key] = row
		changed = true
	}
	c.trim()
	r.mu.Unlock()
	if changed {
		r.onChange(t)
	}
	return ignored
}

// deferDeletion keeps a deletion until ApplyDeferred. It is called with the lock held.
func (r *Replicator) deferDeletion(t Table, row Row) {
	if r.deferred[t] == nil {
		r.deferred[t] = map[string]Row{}
	}
	if known, found := r.deferred[t][row.Key]; !found || known.Version < row.Version {
		r.deferred[t][row.Key] = row
	}
}

// Replace merges a full read of a table at a version. Rows of the copy that the read lacks are deleted unless they are
// newer than the version. Replace returns the rows that it ignored because those of the copy have a higher version.
func (r *Replicator) Replace(now time.Time, t Table, rows []Row, version uint64, deferDeletions bool) (ignored []Row) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	r.mu.Lock()
	for key, row := range r.table(t).rows {
		if !present[key] && !row.Deleted && row.Version <= version {
			rows = append(rows, Row{Key: key, Version: version, Deleted: true})
		}
	}
	r.mu.Unlock()
	return r.Merge(now, t, rows, deferDeletions)
}

// ApplyDeferred applies the deferred deletions once the grace period has ended. It has to be called periodically.
func (r *Replicator) ApplyDeferred(now time.Time) {
	r.mu.Lock()
	if now.Before(r.graceUntil) || len(r.deferred) == 0 {
		r.mu.Unlock()
		return
	}
	deferred := r.deferred
	r.deferred = map[Table]map[string]Row{}
	r.mu.Unlock()
	for t, rows := range deferred {
		list := make([]Row, 0, len(rows))
		for _, row := range rows {
			list = append(list, row)
		}
		r.Merge(now, t, list, false)
	}
}

// Rows returns the rows of a table without tombstones, ordered by key.
func (r *Replicator) Rows(t Table) []Row {
	return r.list(t, func(row Row) bool { return !row.Deleted })
}

// After returns the rows and tombstones of a table with a higher version, ordered by key.
func (r *Replicator) After(t Table, version uint64) []Row {
	return r.list(t, func(row Row) bool { return row.Version > version })
}

// Version returns the highest row version of a table, including deferred deletions; 0 before the first row.
func (r *Replicator) Version(t Table) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table(t).version
}

func (r *Replicator) list(t Table, include func(Row) bool) []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Row
	for _, row := range r.table(t).rows {
		if include(row) {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// trim removes the older half of the tombstones if there are more than maxTombstones.
func (c *tableCopy) trim() {
	if c.tombstones <= maxTombstones {
		return
	}
	var tombstones []Row
	for _, row := range c.rows {
		if row.Deleted {
			tombstones = append(tombstones, row)
		}
	}
	slices.SortFunc(tombstones, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	for _, row := range tombstones[:len(tombstones)/2] {
		delete(c.rows, row.Key)
		c.tombstones--
	}
}
