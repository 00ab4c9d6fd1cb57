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

type pending struct {
	conditions []configurer.Condition
	writes     []configurer.Write
}

// fakeTable is a table that can lose answers, answer reads from the past, apply writes late and be down.
type fakeTable struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]configurer.Row
	past    map[string]configurer.Row
	late    []pending
	random  *rand.Rand
	// The probabilities of faults in percent.
	lose, drop, delay, stale int
	down                     bool
	// onTransact runs before a transaction, outside of the lock.
	onTransact func()
}

func newTable(seed uint64) *fakeTable {
	return &fakeTable{
		rows: map[string]configurer.Row{}, past: map[string]configurer.Row{}, random: rand.New(rand.NewPCG(seed, 1)),
	}
}

func (f *fakeTable) chance(percent int) bool {
	return f.random.IntN(100) < percent
}

func (f *fakeTable) apply(p pending) error {
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
	f.past = maps.Clone(f.rows)
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
	p := pending{conditions, writes}
	switch {
	case f.chance(f.drop):
		return nil, lost
	case f.chance(f.delay):
		f.late = append(f.late, p)
		return nil, lost
	}
	err := f.apply(p)
	if f.chance(f.lose) {
		err = lost
	}
	if len(f.late) > 0 && f.chance(50) {
		// A late transaction fails unless its conditions still hold.
		_ = f.apply(f.late[0])
		f.late = f.late[1:]
	}
	return nil, err
}

func (f *fakeTable) view() (map[string]configurer.Row, error) {
	if f.down {
		return nil, &configurer.UnavailableError{Cause: errTimeout}
	}
	if f.chance(f.stale) {
		return f.past, nil
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

func (f *fakeTable) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}
