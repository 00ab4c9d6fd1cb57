// Package replicator keeps a copy of the platform's tables in each gateway. Rows arrive from the platform and from
// other gateways in any order. The row with the higher version wins, so a row never returns to an earlier version. After
// the platform's store was restored from a copy, a row may hold less than before; what is known from before is then
// retained for some time. The package has no I/O.
package replicator

import (
	"cmp"
	"maps"
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
	// Replaced is the version of the row that a deletion removed, or 0 if it is not known.
	Replaced uint64
}

const (
	// deletionGrace is how long deletions are deferred after the platform has recovered from an outage. The platform
	// specifies that rows which expired during the outage are registered again within about 2 s of its recovery.
	deletionGrace = 2200 * time.Millisecond
	// retentionTime is how long rows of an earlier era are retained. Their writers write them again long before.
	retentionTime = 30 * time.Second
	// distrustTime is how long rows of a disproven era are not taken from peers. Each time, one full read shows whether the
	// store has reached the era meanwhile.
	distrustTime = 2 * time.Second
	// maxTombstones bounds the tombstones that are kept for a table. They let a peer catch up without a full read.
	maxTombstones = 2048
)

// tableCopy is the copy of one table.
type tableCopy struct {
	// rows holds rows and tombstones by key.
	rows map[string]Row
	// restored holds, for each key whose row in rows is retained from an earlier era, the row of the store.
	restored map[string]Row
	// deferred holds the deletions that wait for the end of the grace period after an outage.
	deferred map[string]deferredDeletion
	// version is the highest row version received. All changes up to it are known, deferred deletions included.
	version uint64
	// deletionsSince is the version after which all deletions are known. Earlier ones may be of rows that the copy never had,
	// or their tombstones were trimmed.
	deletionsSince uint64
	// retainedUntil is the end of the time in which rows of an earlier era than that of version are retained.
	retainedUntil time.Time
	// readEra is the era of the last full read, if wasRead is set.
	readEra Era
	wasRead bool
	// tombstones is the number of deleted rows in rows.
	tombstones int
	// disprovenAfter is the era after which rows of peers are ignored until disprovenUntil.
	disprovenAfter Era
	disprovenUntil time.Time
}

// deferredDeletion is a deletion that takes effect at a later time.
type deferredDeletion struct {
	row   Row
	until time.Time
}

// Replicator holds the copies of all tables. Its methods may be called concurrently.
type Replicator struct {
	mu         sync.Mutex
	tables     map[Table]*tableCopy
	graceUntil time.Time
	// disprovals counts the calls of Disprove.
	disprovals int
	onChange   func(Table)
	precedence func(Table, Row) Precedence
}

// Config configures a Replicator.
type Config struct {
	// OnChange is called after each change of a table, without a lock held.
	OnChange func(Table)
	// Precedence returns the precedence of the content of a row. Without it, all contents are equal.
	Precedence func(Table, Row) Precedence
}

// New returns a Replicator with empty tables.
func New(cfg Config) *Replicator {
	if cfg.OnChange == nil {
		cfg.OnChange = func(Table) {}
	}
	if cfg.Precedence == nil {
		cfg.Precedence = func(Table, Row) Precedence { return Precedence{} }
	}
	return &Replicator{
		tables:     map[Table]*tableCopy{},
		onChange:   cfg.OnChange,
		precedence: cfg.Precedence,
	}
}

// table returns the copy of a table, which it creates if needed. It is called with the lock held.
func (r *Replicator) table(t Table) *tableCopy {
	c, found := r.tables[t]
	if !found {
		c = &tableCopy{rows: map[string]Row{}, restored: map[string]Row{}, deferred: map[string]deferredDeletion{}}
		r.tables[t] = c
	}
	return c
}

// PlatformRecovered starts the grace period: the platform responds again after an outage.
func (r *Replicator) PlatformRecovered(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startGrace(now)
}

// startGrace starts the grace period, also for deletions that are deferred already. It is called with the lock held.
func (r *Replicator) startGrace(now time.Time) {
	r.graceUntil = now.Add(deletionGrace)
	for _, c := range r.tables {
		for key, d := range c.deferred {
			d.until = r.graceUntil
			c.deferred[key] = d
		}
	}
}

// Merge adds the rows that are newer than those of the copy. With deferDeletions, which is meant for tables whose
// rows can expire during an outage, deletions during the grace period take effect only after its end. Merge returns the
// rows that it ignored because those of the copy have a higher version.
func (r *Replicator) Merge(now time.Time, t Table, rows []Row, deferDeletions bool) (ignored []Row) {
	r.mu.Lock()
	r.table(t).raiseTo(now, rows)
	ignored, changed := r.merge(now, t, rows, deferDeletions && now.Before(r.graceUntil))
	r.mu.Unlock()
	if changed {
		r.onChange(t)
	}
	return ignored
}

// merge merges rows and reports whether the copy has changed. It does not raise the version of the copy. It is called with
// the lock held.
func (r *Replicator) merge(now time.Time, t Table, rows []Row, deferDeletions bool) (ignored []Row, changed bool) {
	c := r.table(t)
	for _, row := range rows {
		known, found := c.stored(row.Key)
		if found && known.Version >= row.Version {
			if r.retainLate(now, t, row) {
				changed = true
			} else if known.Version > row.Version {
				ignored = append(ignored, row)
			}
			continue
		}
		if row.Deleted && row.Replaced == 0 && !known.Deleted {
			row.Replaced = known.Version
		}
		if row.Deleted && deferDeletions {
			c.deferDeletion(row, r.graceUntil)
			continue
		}
		if waiting, isDeferred := c.deferred[row.Key]; isDeferred && waiting.row.Version <= row.Version {
			delete(c.deferred, row.Key)
		}
		if used := c.rows[row.Key]; found && now.Before(c.retainedUntil) && r.outlasts(t, used, row) {
			c.restored[row.Key] = row
			continue
		}
		delete(c.restored, row.Key)
		c.set(row)
		changed = true
	}
	c.trim()
	return ignored, changed
}

// retainLate retains a row of an earlier era that arrives after the restored row, and reports whether that changes the row
// in use. It is called with the lock held.
func (r *Replicator) retainLate(now time.Time, t Table, row Row) bool {
	c := r.table(t)
	stored, _ := c.stored(row.Key)
	if !now.Before(c.retainedUntil) || EraOf(row.Version) >= EraOf(stored.Version) {
		return false
	}
	retained := c.rows[row.Key]
	_, isRetained := c.restored[row.Key]
	switch {
	case isRetained && row.Version <= retained.Version:
		if !r.outlasts(t, row, retained) {
			return false
		}
	case isRetained && r.outlasts(t, retained, row):
		return false
	case !r.outlasts(t, row, stored):
		// The row also replaces the retained one, which is older.
		delete(c.restored, row.Key)
		c.set(stored)
		return isRetained
	}
	c.restored[row.Key] = stored
	c.set(row)
	return true
}

// outlasts reports whether a row of an earlier era holds more than the store's row, which was restored from the copy or
// written by a process that had lost what it knew.
func (r *Replicator) outlasts(t Table, earlier, stored Row) bool {
	switch {
	case EraOf(earlier.Version) >= EraOf(stored.Version) || stored.Deleted:
		return false
	case earlier.Deleted:
		return earlier.Replaced != 0 && CounterOf(earlier.Replaced) == CounterOf(stored.Version)
	default:
		return r.precedence(t, earlier).after(r.precedence(t, stored))
	}
}

// Replace merges a full read of a table at a version. Rows of the copy that the read lacks are deleted unless they are
// newer than the version. If the store was restored since the last read, these deletions take effect only after the grace
// period, since lost rows are written again. Replace returns the rows that it ignored because those of the copy have a
// higher version.
func (r *Replicator) Replace(now time.Time, t Table, rows []Row, version uint64, deferDeletions bool) (ignored []Row) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	r.mu.Lock()
	c := r.table(t)
	wasRestored := c.wasRead && EraOf(version) > c.readEra
	if wasRestored {
		r.startGrace(now)
	}
	isFirst := !c.wasRead
	c.wasRead, c.readEra = true, max(c.readEra, EraOf(version))
	c.raise(now, version)
	c.raiseTo(now, rows)
	c.deletionsSince = max(c.deletionsSince, version)
	missing := c.missing(present, version)
	deferDeletions = deferDeletions && now.Before(r.graceUntil)
	ignored, changed := r.merge(now, t, rows, deferDeletions)
	_, deleted := r.merge(now, t, missing, deferDeletions || wasRestored)
	r.mu.Unlock()
	// An empty table is news, too.
	if changed || deleted || isFirst {
		r.onChange(t)
	}
	return ignored
}

// Disprove removes the rows of eras after one: the store has named that era in response to a call that started after
// these rows had arrived, and eras only rise. For distrustTime no rows of such eras are taken from peers.
func (r *Replicator) Disprove(now time.Time, t Table, era Era) {
	r.mu.Lock()
	r.disprovals++
	c := r.table(t)
	c.disprovenAfter, c.disprovenUntil = era, now.Add(distrustTime)
	isFalse := func(_ string, row Row) bool { return EraOf(row.Version) > era }
	for key, row := range c.rows {
		if !isFalse(key, row) {
			continue
		}
		if row.Deleted {
			c.tombstones--
		}
		delete(c.rows, key)
	}
	maps.DeleteFunc(c.restored, isFalse)
	maps.DeleteFunc(c.deferred, func(key string, d deferredDeletion) bool { return isFalse(key, d.row) })
	c.version = NewVersion(era, 0)
	for _, row := range c.rows {
		c.version = max(c.version, row.Version)
	}
	c.deletionsSince = min(c.deletionsSince, c.version)
	r.mu.Unlock()
	r.onChange(t)
}

// Disprovals returns how often rows of false eras were removed. What was derived from the rows before is not to be used.
func (r *Replicator) Disprovals() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disprovals
}

// ApplyDeferred applies the deferred deletions once the grace period has ended, and gives up the retained rows at the end
// of their time. It has to be called periodically.
func (r *Replicator) ApplyDeferred(now time.Time) {
	r.mu.Lock()
	var changed []Table
	for t, c := range r.tables {
		isChanged := false
		for key, d := range c.deferred {
			if !now.Before(d.until) {
				delete(c.deferred, key)
				isChanged = c.remove(d.row) || isChanged
			}
		}
		c.trim()
		if len(c.restored) > 0 && !now.Before(c.retainedUntil) {
			for _, row := range c.restored {
				c.set(row)
			}
			clear(c.restored)
			isChanged = true
		}
		if isChanged {
			changed = append(changed, t)
		}
	}
	r.mu.Unlock()
	for _, t := range changed {
		r.onChange(t)
	}
}

// Rows returns the rows of a table without tombstones, ordered by key.
func (r *Replicator) Rows(t Table) []Row {
	return r.list(t, func(row Row) bool { return !row.Deleted })
}

// Retained returns the rows of a table that are retained from an earlier era, ordered by key.
func (r *Replicator) Retained(t Table) []Row {
	return r.list(t, func(row Row) bool {
		_, isRetained := r.tables[t].restored[row.Key]
		return isRetained
	})
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

// stored returns the store's row with a key.
func (c *tableCopy) stored(key string) (Row, bool) {
	if row, found := c.restored[key]; found {
		return row, true
	}
	row, found := c.rows[key]
	return row, found
}

// raise records a version that was received. The retention time starts with the first one of an era.
func (c *tableCopy) raise(now time.Time, version uint64) {
	if EraOf(version) > EraOf(c.version) {
		c.retainedUntil = now.Add(retentionTime)
	}
	c.version = max(c.version, version)
}

// raiseTo records the versions of rows that were received.
func (c *tableCopy) raiseTo(now time.Time, rows []Row) {
	for _, row := range rows {
		c.raise(now, row.Version)
	}
}

// deferDeletion defers a deletion, unless a later one of the row is deferred.
func (c *tableCopy) deferDeletion(row Row, until time.Time) {
	if waiting, isDeferred := c.deferred[row.Key]; !isDeferred || waiting.row.Version < row.Version {
		c.deferred[row.Key] = deferredDeletion{row: row, until: until}
	}
}

// remove applies a deletion whose version says nothing about other changes, and reports whether it is newer than the row.
func (c *tableCopy) remove(row Row) bool {
	if known, found := c.stored(row.Key); found && known.Version >= row.Version {
		return false
	}
	delete(c.restored, row.Key)
	c.set(row)
	return true
}

// missing returns a deletion, at a version, of each row up to that version whose key is not present.
func (c *tableCopy) missing(present map[string]bool, version uint64) []Row {
	var out []Row
	for key := range c.rows {
		if row, _ := c.stored(key); !present[key] && !row.Deleted && row.Version <= version {
			out = append(out, Row{Key: key, Version: version, Deleted: true})
		}
	}
	return out
}

// set replaces the row with the key of row.
func (c *tableCopy) set(row Row) {
	if c.rows[row.Key].Deleted {
		c.tombstones--
	}
	if row.Deleted {
		c.tombstones++
	}
	c.rows[row.Key] = row
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
		c.deletionsSince = max(c.deletionsSince, row.Version)
	}
}
