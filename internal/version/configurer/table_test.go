package configurer_test

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"currantledge.example/currantledge/internal/version/configurer"
)

var errTimeout = errors.New("timeout")

// pendingTransaction is a transaction that takes effect after its response was lost.
type pendingTransaction struct {
	conditions []configurer.Condition
	writes     []configurer.Write
}

// fakeTable is a table in memory that can lose requests and responses, return stale rows, apply writes late and be down.
type fakeTable struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]configurer.Row
	// staleRows are the rows before the last write. Stale reads return them.
	staleRows map[string]configurer.Row
	delayed   []pendingTransaction
	random    *rand.Rand
	// Probabilities of faults in percent: a response is lost, a request is lost, a write is delayed, a read is stale.
	loseResponse, loseRequest, delayWrite, staleRead int
	down                                             bool
	// onTransact is called before each transaction without the lock held.
	onTransact func()
}

func newTable(seed uint64) *fakeTable {
	return &fakeTable{
		rows: map[string]configurer.Row{}, staleRows: map[string]configurer.Row{}, random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// chance reports true with a probability in percent.
func (f *fakeTable) chance(percent int) bool {
	return f.random.IntN(100) < percent
}

func (f *fakeTable) apply(p pendingTransaction) error {
	var conflicts []configurer.Row
	for _, c := range p.conditions {
		if f.rows[c.Key].Version != c.Version {
			row := f.rows[c.Key]
			row.Key = c.Key
			conflicts = append(conflicts, row)
		}
	}
	if conflicts != nil {
		return &configurer.RowConflictError{Rows: conflicts}
	}
	f.staleRows = maps.Clone(f.rows)
	for _, w := range p.writes {
		if w.Delete {
			delete(f.rows, w.Key)
			continue
		}
		f.version++
		f.rows[w.Key] = configurer.Row{Key: w.Key, Version: f.version, Value: w.Value}
	}
	return nil
}

func (f *fakeTable) Transact(
	_ context.Context, conditions []configurer.Condition, writes []configurer.Write,
) (map[string]uint64, error) {
	if f.onTransact != nil {
		f.onTransact()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, &configurer.UnavailableError{Cause: errTimeout}
	}
	lost := &configurer.UnavailableError{MayHaveApplied: true, Cause: errTimeout}
	p := pendingTransaction{conditions, writes}
	switch {
	case f.chance(f.loseRequest):
		return nil, lost
	case f.chance(f.delayWrite):
		f.delayed = append(f.delayed, p)
		return nil, lost
	}
	err := f.apply(p)
	if f.chance(f.loseResponse) {
		err = lost
	}
	if len(f.delayed) > 0 && f.chance(50) {
		// A delayed transaction fails unless its conditions still hold.
		_ = f.apply(f.delayed[0])
		f.delayed = f.delayed[1:]
	}
	return nil, err
}

// view returns the rows that a read sees, which may be stale.
func (f *fakeTable) view() (map[string]configurer.Row, error) {
	if f.down {
		return nil, &configurer.UnavailableError{Cause: errTimeout}
	}
	if f.chance(f.staleRead) {
		return f.staleRows, nil
	}
	return f.rows, nil
}

func (f *fakeTable) Get(_ context.Context, keys ...string) ([]configurer.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []configurer.Row
	for _, key := range keys {
		view, err := f.view()
		if err != nil {
			return nil, err
		}
		if row, ok := view[key]; ok {
			out = append(out, row)
		}
	}
	return out, nil
}

func (f *fakeTable) Scan(_ context.Context, prefix, after string, limit int) ([]configurer.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	view, err := f.view()
	if err != nil {
		return nil, err
	}
	var out []configurer.Row
	for _, key := range slices.Sorted(maps.Keys(view)) {
		if strings.HasPrefix(key, prefix) && key > after && len(out) < limit {
			out = append(out, view[key])
		}
	}
	return out, nil
}

// locked calls change with the lock held.
func (f *fakeTable) locked(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}
