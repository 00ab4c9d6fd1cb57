package leaser_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/leaser"
)

// memoryTable is a table in memory. The response to its first write is lost.
type memoryTable struct {
	mu     sync.Mutex
	row    leaser.Row
	writes int
	// written receives a value for each write that takes effect.
	written chan struct{}
}

func (m *memoryTable) Transact(_ context.Context, conditions []leaser.Condition, writes []leaser.RowWrite) (map[string]uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if conditions[0].Version != m.row.Version {
		return nil, errors.New("conflict")
	}
	m.writes++
	m.row = leaser.Row{Key: writes[0].Key, Version: m.row.Version + 1, Value: writes[0].Value}
	m.written <- struct{}{}
	if m.writes == 1 {
		return nil, errors.New("response lost")
	}
	return map[string]uint64{m.row.Key: m.row.Version}, nil
}

func (m *memoryTable) Get(context.Context, ...string) ([]leaser.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.row.Version == 0 {
		return nil, nil
	}
	return []leaser.Row{m.row}, nil
}

// TestRun guards against a Leaser that loses fields of the row, takes a lost response for a failed write or does not
// stop.
func TestRun(t *testing.T) {
	table := &memoryTable{written: make(chan struct{}, 1000)}
	machine := leaser.DefaultMachineConfig("agent1", 7)
	machine.LeaseDuration = 50 * time.Millisecond
	machine.RenewInterval = 10 * time.Millisecond
	failures := make(chan error, 1000)
	l := leaser.New(leaser.Config{
		Table:        table,
		Key:          leaser.Key("group1"),
		Machine:      machine,
		TickInterval: time.Millisecond,
		OnError:      func(err error) { failures <- err },
	})
	_, held := l.Held(time.Now())
	require.False(t, held)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	// By the third write the Leaser has passed the result of the second to the machine.
	for range 3 {
		<-table.written
	}
	fence, held := l.Held(time.Now())
	require.True(t, held)
	require.Equal(t, identifier.Fence(1), fence)
	cancel()
	require.NoError(t, <-done)
	require.ErrorContains(t, <-failures, "response lost")
	require.Equal(t, "lease/group1", table.row.Key)
	require.Contains(t, string(table.row.Value), `"holder":"agent1","incarnation":7,"fence":1`)
}
