// Package configurer holds the configuration of a process in memory and writes changes of it to the platform's table.
// Each change of one resource raises the revision of the configuration by 1. Every process holds a Store, which adopts
// revisions in increasing order without gaps, from peers or from the table. A Writer checks a change against the newest
// revision and writes it in one transaction.
package configurer

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

// logLength is the number of changes that the change log keeps, in memory and in the table.
const logLength = 1024

// GapError reports that changes are missing before an offered change.
type GapError struct {
	// Have is the last revision that is present without a gap, Next the first offered one after it.
	Have identifier.Revision
	Next identifier.Revision
}

// Error states both revisions and the remedy.
func (e *GapError) Error() string {
	return fmt.Sprintf("changes after revision %d are missing, the next one offered is %d; pull the changes after %d", e.Have, e.Next, e.Have)
}

// Store holds the newest configuration that the process has seen. It is safe for concurrent use.
type Store struct {
	snapshot atomic.Pointer[Snapshot]

	mu sync.Mutex
	// log holds the newest changes without gaps; the last one has the revision of the snapshot.
	log []messenger.Change
	// waiters holds the channel that Changed returned for a revision until a greater revision is adopted.
	waiters map[identifier.Revision]chan struct{}
}

// New returns an empty store at revision 0.
func New() *Store {
	s := &Store{waiters: map[identifier.Revision]chan struct{}{}}
	s.snapshot.Store(newSnapshot())
	return s
}

// Snapshot returns the configuration at the newest revision. It is never nil.
func (s *Store) Snapshot() *Snapshot {
	return s.snapshot.Load()
}

// Adopt brings the configuration to a higher revision and reports whether it did. It ignores revisions that are not
// higher and returns a *GapError if changes are missing. After an error the configuration is unchanged.
func (s *Store) Adopt(c messenger.Changes) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.snapshot.Load()
	if c.Revision <= current.Revision {
		return false, nil
	}
	if c.Full {
		return s.adoptFull(c)
	}
	added, err := changesAfter(current.Revision, c)
	if err != nil {
		return false, err
	}
	next := current.clone()
	for _, change := range added {
		if err := next.apply(change); err != nil {
			return false, errors.Wrapf(err, "configuration change %d", change.Revision)
		}
	}
	s.log = trim(append(s.log, added...))
	s.publish(next)
	return true, nil
}

// After returns the changes after a revision, or every resource if the change log does not reach back to it.
func (s *Store) After(r identifier.Revision) messenger.Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.snapshot.Load()
	if r >= current.Revision {
		return messenger.Changes{Revision: current.Revision}
	}
	missing := uint64(current.Revision - r)
	if missing > uint64(len(s.log)) {
		return messenger.Changes{Revision: current.Revision, Full: true, Changes: current.changes()}
	}
	return messenger.Changes{Revision: current.Revision, Changes: slices.Clone(s.log[len(s.log)-int(missing):])}
}

// Changed returns a channel that is closed once the revision is greater than r.
func (s *Store) Changed(r identifier.Revision) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if waiter, ok := s.waiters[r]; ok {
		return waiter
	}
	waiter := make(chan struct{})
	if s.snapshot.Load().Revision > r {
		close(waiter)
		return waiter
	}
	s.waiters[r] = waiter
	return waiter
}

func (s *Store) adoptFull(c messenger.Changes) (bool, error) {
	next := newSnapshot()
	for _, change := range c.Changes {
		if change.Revision > c.Revision {
			return false, &GapError{Have: c.Revision, Next: change.Revision}
		}
		if err := next.apply(change); err != nil {
			return false, errors.Wrapf(err, "configuration at revision %d", c.Revision)
		}
	}
	next.Revision = c.Revision
	s.log = nil
	s.publish(next)
	return true, nil
}

func (s *Store) publish(next *Snapshot) {
	s.snapshot.Store(next)
	for r, waiter := range s.waiters {
		if next.Revision > r {
			close(waiter)
			delete(s.waiters, r)
		}
	}
}

// changesAfter returns the changes from current + 1 to the revision of c, each exactly once and in order.
func changesAfter(current identifier.Revision, c messenger.Changes) ([]messenger.Change, error) {
	offered := slices.Clone(c.Changes)
	slices.SortStableFunc(offered, func(a, b messenger.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	var added []messenger.Change
	next := current + 1
	for _, change := range offered {
		if change.Revision < next || change.Revision > c.Revision {
			continue
		}
		if change.Revision > next {
			return nil, &GapError{Have: next - 1, Next: change.Revision}
		}
		added = append(added, change)
		next++
	}
	if next <= c.Revision {
		return nil, &GapError{Have: next - 1, Next: c.Revision}
	}
	return added, nil
}

// trim returns the newest logLength changes. It copies them when it drops others, so that the array behind the log does
// not grow without bound.
func trim(log []messenger.Change) []messenger.Change {
	if len(log) <= logLength {
		return log
	}
	return slices.Clone(log[len(log)-logLength:])
}

// Revision returns the revision of the current snapshot.
func (s *Store) Revision() identifier.Revision {
	return s.Snapshot().Revision
}
