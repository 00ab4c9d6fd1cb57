package claimer_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/request/claimer"
)

type fault int

const (
	faultNone fault = iota
	// faultRefused fails before the write takes effect.
	faultRefused
	// faultLost fails after the write took effect.
	faultLost
	// faultLate answers nothing, and the write takes effect 3 s later.
	faultLate
	// faultNever answers nothing, and the write takes no effect.
	faultNever
)

var errDown = errors.New("table unavailable")

// faultyTable is a transactional table in memory that injects faults in the given order, then the standing fault.
type faultyTable struct {
	mu       sync.Mutex
	rows     map[string]claimer.Row
	objects  map[string][]byte
	faults   []fault
	standing fault
	late     sync.WaitGroup
	commits  []int
	tries    int
	// unnamed leaves the rows out of conflicts.
	unnamed bool
}

func newFaultyTable(faults ...fault) *faultyTable {
	return &faultyTable{rows: map[string]claimer.Row{}, objects: map[string][]byte{}, faults: faults}
}

func (f *faultyTable) setStanding(to fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults, f.standing = nil, to
}

// takeTries returns the number of tries since the last call.
func (f *faultyTable) takeTries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	tries := f.tries
	f.tries = 0
	return tries
}

// settle waits until no late write is left.
func (f *faultyTable) settle() {
	// Setting the fault under the lock orders this wait after the start of each late write.
	f.setStanding(faultNone)
	f.late.Wait()
}

func (f *faultyTable) next() fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tries++
	if len(f.faults) == 0 {
		return f.standing
	}
	first := f.faults[0]
	f.faults = f.faults[1:]
	return first
}

func (f *faultyTable) Transact(ctx context.Context, conditions []claimer.Condition, writes []claimer.Write) (map[string]uint64, error) {
	time.Sleep(time.Millisecond)
	conditions, writes = slices.Clone(conditions), slices.Clone(writes)
	switch f.next() {
	case faultNone:
		return f.apply(conditions, writes)
	case faultLost:
		_, _ = f.apply(conditions, writes)
	case faultLate:
		f.mu.Lock()
		f.late.Go(func() {
			time.Sleep(3 * time.Second)
			_, _ = f.apply(conditions, writes)
		})
		f.mu.Unlock()
		<-ctx.Done()
	case faultNever:
		<-ctx.Done()
	case faultRefused:
	}
	return nil, errDown
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
	if len(conflicts) > 0 && f.unnamed {
		return nil, &claimer.ConflictError{}
	}
	if len(conflicts) > 0 {
		return nil, &claimer.ConflictError{Rows: conflicts}
	}
	f.commits = append(f.commits, len(writes))
	versions := map[string]uint64{}
	for _, w := range writes {
		versions[w.Key] = f.rows[w.Key].Version + 1
		f.rows[w.Key] = claimer.Row{Key: w.Key, Version: versions[w.Key], Value: w.Value}
	}
	return versions, nil
}

func (f *faultyTable) PutObject(_ context.Context, key string, value []byte) error {
	if f.next() != faultNone {
		return errDown
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
		return nil, errDown
	}
	return value, nil
}
