package claimer_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/request/claimer"
)

// fault is how the table fails in one call.
type fault int

const (
	faultNone fault = iota
	// faultRefused returns an error, and the write takes no effect.
	faultRefused
	// faultLost returns an error after the write took effect.
	faultLost
	// faultLate returns only when the context ends, and the write takes effect 3 s after the call.
	faultLate
	// faultNever returns only when the context ends, and the write takes no effect.
	faultNever
)

var errUnavailable = errors.New("table unavailable")

// faultyTable is a transactional table and object store in memory. It injects faults in the given order, then the
// default fault in each call.
type faultyTable struct {
	mu           sync.Mutex
	rows         map[string]claimer.Row
	objects      map[string][]byte
	faults       []fault
	defaultFault fault
	lateWrites   sync.WaitGroup
	// commitSizes holds the number of writes of each applied transaction.
	commitSizes []int
	// tries counts the calls of Transact and PutObject.
	tries int
	// omitConflictRows makes conflicts name no rows.
	omitConflictRows bool
}

func newFaultyTable(faults ...fault) *faultyTable {
	return &faultyTable{rows: map[string]claimer.Row{}, objects: map[string][]byte{}, faults: faults}
}

// setDefaultFault replaces all faults by one for every further call.
func (f *faultyTable) setDefaultFault(to fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults, f.defaultFault = nil, to
}

// takeTries returns the number of calls of Transact and PutObject since takeTries was called last.
func (f *faultyTable) takeTries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	tries := f.tries
	f.tries = 0
	return tries
}

// awaitLateWrites removes all faults and waits until no late write is pending.
func (f *faultyTable) awaitLateWrites() {
	// Setting the fault with the lock held orders this wait after the start of each late write.
	f.setDefaultFault(faultNone)
	f.lateWrites.Wait()
}

// nextFault counts a call and returns the fault to inject into it.
func (f *faultyTable) nextFault() fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tries++
	if len(f.faults) == 0 {
		return f.defaultFault
	}
	first := f.faults[0]
	f.faults = f.faults[1:]
	return first
}

func (f *faultyTable) Transact(ctx context.Context, conditions []claimer.Condition, writes []claimer.Write) (map[string]uint64, error) {
	time.Sleep(time.Millisecond)
	conditions, writes = slices.Clone(conditions), slices.Clone(writes)
	switch f.nextFault() {
	case faultNone:
		return f.apply(conditions, writes)
	case faultLost:
		_, _ = f.apply(conditions, writes)
	case faultLate:
		f.mu.Lock()
		f.lateWrites.Go(func() {
			time.Sleep(3 * time.Second)
			_, _ = f.apply(conditions, writes)
		})
		f.mu.Unlock()
		<-ctx.Done()
	case faultNever:
		<-ctx.Done()
	case faultRefused:
	}
	return nil, errUnavailable
}

func (f *faultyTable) apply(conditions []claimer.Condition, writes []claimer.Write) (map[string]uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var conflicts []claimer.Row
	for _, c := range conditions {
		if f.rows[c.Key].Version != c.Version {
			row := f.rows[c.Key]
			row.Key = c.Key
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 && f.omitConflictRows {
		return nil, &claimer.ConflictError{}
	}
	if len(conflicts) > 0 {
		return nil, &claimer.ConflictError{Rows: conflicts}
	}
	f.commitSizes = append(f.commitSizes, len(writes))
	versions := map[string]uint64{}
	for _, w := range writes {
		versions[w.Key] = f.rows[w.Key].Version + 1
		f.rows[w.Key] = claimer.Row{Key: w.Key, Version: versions[w.Key], Value: w.Value}
	}
	return versions, nil
}

func (f *faultyTable) PutObject(_ context.Context, key string, value []byte) error {
	if f.nextFault() != faultNone {
		return errUnavailable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objects[key] = value
	return nil
}

func (f *faultyTable) Object(_ context.Context, key string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	value, found := f.objects[key]
	if !found {
		return nil, errUnavailable
	}
	return value, nil
}
