package replicator

import (
	"cmp"
	"slices"
	"time"
)

// Change is a change of a row that one copy of a table sends to another one.
type Change struct {
	Row Row
	// DeferFor is how long a deletion has to wait before it takes effect; 0 for other changes.
	DeferFor time.Duration
}

// Changes are the changes of a table after a version, up to Version.
type Changes struct {
	// List holds the rows and tombstones up to Version, ordered by version, then deletions that may have later versions.
	List    []Change
	Version uint64
	// LacksDeletions is set if the sender may not know all deletions after the requested version. Keys then holds the key of
	// each row that it has.
	LacksDeletions bool
	Keys           []string
}

// changeOverhead is the assumed size of a change beside its key and value.
const changeOverhead = 32

// ChangesAfter returns the changes of a table after a version for another copy: at most about maxBytes of them, those with
// the lowest versions first. The next call continues after the Version of the result.
func (r *Replicator) ChangesAfter(now time.Time, t Table, version uint64, maxBytes int) Changes {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.table(t)
	out := Changes{Version: c.version, LacksDeletions: version < c.deletionsSince}
	// A deletion that was read off a full read has a later version than it had. A copy that got it with an earlier page has it
	// beyond its own version.
	var early []Change
	add := func(row Row) {
		switch {
		case row.Version > c.version:
			early = append(early, Change{Row: row})
		case row.Version > version:
			out.List = append(out.List, Change{Row: row})
		}
	}
	for key, row := range c.rows {
		add(row)
		restored, isRetained := c.restored[key]
		if isRetained {
			add(restored)
		}
		if out.LacksDeletions && (!row.Deleted || isRetained && !restored.Deleted) {
			out.Keys = append(out.Keys, key)
		}
	}
	slices.SortFunc(out.List, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Row.Version, b.Row.Version), cmp.Compare(a.Row.Key, b.Row.Key))
	})
	slices.Sort(out.Keys)
	size := 0
	for i, change := range out.List {
		// A page does not end between rows of one version, since the next one starts after it.
		if size > maxBytes && change.Row.Version > out.List[i-1].Row.Version {
			out.Version = out.List[i-1].Row.Version
			out.List = out.List[:i]
			break
		}
		size += len(change.Row.Key) + len(change.Row.Value) + changeOverhead
	}
	// These do not wait for their page: another source of the next page would not send them again.
	out.List = append(out.List, early...)
	for _, d := range c.deferred {
		if out.LacksDeletions || d.row.Version > version {
			out.List = append(out.List, Change{Row: d.row, DeferFor: max(d.until.Sub(now), 1)})
		}
	}
	return out
}

// MergeChanges merges the changes that another gateway has sent, except those of eras that the store has disproven.
// Deletions that wait there wait as long here, so that the copies become equal at the same time.
func (r *Replicator) MergeChanges(now time.Time, t Table, in Changes, deferDeletions bool) {
	var rows []Row
	for _, change := range in.List {
		if change.DeferFor == 0 {
			rows = append(rows, change.Row)
		}
	}
	r.mu.Lock()
	c := r.table(t)
	if now.Before(c.disprovenUntil) {
		isFalse := func(version uint64) bool { return EraOf(version) > c.disprovenAfter }
		rows = slices.DeleteFunc(rows, func(row Row) bool { return isFalse(row.Version) })
		in.List = slices.DeleteFunc(slices.Clone(in.List), func(change Change) bool { return isFalse(change.Row.Version) })
		if isFalse(in.Version) {
			in.Version, in.LacksDeletions = 0, false
			for _, row := range rows {
				in.Version = max(in.Version, row.Version)
			}
		}
	}
	deferDeletions = deferDeletions && now.Before(r.graceUntil)
	isFirst := c.version == 0 && in.Version > 0
	c.raise(now, in.Version)
	_, changed := r.merge(now, t, rows, deferDeletions)
	for _, change := range in.List {
		if change.DeferFor > 0 && r.deferFromPeer(now, t, change) {
			changed = true
		}
	}
	if in.LacksDeletions && r.deleteMissing(now, t, in, deferDeletions) {
		changed = true
	}
	r.mu.Unlock()
	if changed || isFirst {
		r.onChange(t)
	}
}

// deferFromPeer defers a deletion as long as the copy that sent it does, and reports whether the table has changed. It is
// called with the lock held.
func (r *Replicator) deferFromPeer(now time.Time, t Table, change Change) bool {
	c := r.table(t)
	row := change.Row
	known, found := c.stored(row.Key)
	if !found || known.Deleted {
		// There is no row to keep.
		return c.remove(row)
	}
	if known.Version >= row.Version {
		return false
	}
	if row.Replaced == 0 {
		row.Replaced = known.Version
	}
	c.deferDeletion(row, now.Add(change.DeferFor))
	return false
}

// deleteMissing deletes the rows that the sender of changes does not have, and reports whether the table has changed. It
// is called with the lock held.
func (r *Replicator) deleteMissing(now time.Time, t Table, in Changes, deferDeletions bool) bool {
	c := r.table(t)
	present := make(map[string]bool, len(in.Keys))
	for _, key := range in.Keys {
		present[key] = true
	}
	c.deletionsSince = max(c.deletionsSince, in.Version)
	_, changed := r.merge(now, t, c.missing(present, in.Version), deferDeletions)
	return changed
}
