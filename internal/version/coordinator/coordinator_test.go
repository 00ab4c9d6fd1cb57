package coordinator_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/driver"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/version/coordinator"
	"currantledge.example/currantledge/internal/version/placer"
	"currantledge.example/currantledge/internal/version/switcher"
)

const (
	ranks   = 3
	experts = 6
)

// table is a table with one row, in memory.
type table struct {
	mu  sync.Mutex
	row coordinator.Row
}

func (t *table) Read(context.Context, string) (coordinator.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row, nil
}

func (t *table) Write(_ context.Context, _ string, condition uint64, value []byte) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if condition != t.row.Version {
		return 0, &coordinator.ConflictError{Row: t.row}
	}
	t.row = coordinator.Row{Version: condition + 1, Value: value}
	return t.row.Version, nil
}

// engine records the maps that are prepared and committed.
type engine struct {
	mu        sync.Mutex
	prepared  map[identifier.MapVersion][][]identifier.Expert
	committed map[identifier.MapVersion]bool
	step      identifier.Step
}

func newEngine() *engine {
	return &engine{prepared: map[identifier.MapVersion][][]identifier.Expert{}, committed: map[identifier.MapVersion]bool{}}
}

func (e *engine) Order(_ context.Context, o driver.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch o := o.(type) {
	case driver.PrepareMap:
		e.prepared[o.Version] = o.Map
	case driver.DecideMap:
		if o.Commit {
			e.committed[o.Version] = true
		}
	}
	return nil
}

func (e *engine) advance() identifier.Step {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.step += 50
	return e.step
}

func (e *engine) committedMaps() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.committed)
}

type lease struct{ held bool }

func (l lease) Held(time.Time) (identifier.Fence, bool) { return 7, l.held }

type weights struct{}

func (weights) FetchWeights(context.Context, identifier.Bytes) error { return nil }

// group connects the coordinators of all ranks of a group. Rank 0 holds the lease.
type group struct {
	members []*coordinator.Coordinator
	engines []*engine
}

func newGroup(t *testing.T) *group {
	t.Helper()
	g := &group{}
	shared := &table{}
	for rank := range identifier.Rank(ranks) {
		e := newEngine()
		g.engines = append(g.engines, e)
		g.members = append(g.members, coordinator.New(coordinator.Config{
			Group: "g", Rank: rank, Ranks: ranks, Table: shared, Engine: e, Weights: weights{}, Log: logger.Discard(),
			Lease: lease{held: rank == 0}, PlanInterval: 100 * time.Millisecond,
			Describe: func() coordinator.Group {
				described := coordinator.Group{Experts: experts, ExpertBytes: 1}
				for range ranks {
					described.Ranks = append(described.Ranks, placer.Rank{FailureDomain: "d", Slots: 3, Speed: 1, Available: true})
				}
				return described
			},
			Send: func(to identifier.Rank, m messenger.GroupEvent) {
				g.members[to].Receive(m, func(response messenger.GroupEvent) { g.members[rank].Receive(response, nil) })
			},
		}))
	}
	for _, m := range g.members {
		go func() { _ = m.Run(t.Context()) }()
	}
	return g
}

// report passes a report of each engine to its coordinator. The expert popular is by far the most popular one.
func (g *group) report(popular int) {
	for rank, m := range g.members {
		step := g.engines[rank].advance()
		tokens := make([]identifier.Tokens, experts)
		for e := range tokens {
			tokens[e] = identifier.Tokens(step)
		}
		tokens[popular] *= 20
		m.Report(coordinator.EngineState{
			EngineReport: switcher.EngineReport{Boot: "b", Step: step}, StepTime: 5 * time.Millisecond, AsOf: time.Now(), Tokens: tokens,
		})
	}
}

// TestGroupGetsOneMapAndChangesIt guards against a group that never gets a map, and against ranks that prepare
// different maps under one version, when the machines communicate through messages, the table and orders.
func TestGroupGetsOneMapAndChangesIt(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	require.Eventually(t, func() bool {
		g.report(2)
		for _, e := range g.engines {
			if e.committedMaps() < 2 {
				return false
			}
		}
		return true
	}, 20*time.Second, 50*time.Millisecond)
	first := g.engines[0]
	first.mu.Lock()
	defer first.mu.Unlock()
	for _, e := range g.engines[1:] {
		e.mu.Lock()
		for version := range e.committed {
			if first.committed[version] {
				require.Equal(t, first.prepared[version], e.prepared[version])
			}
		}
		e.mu.Unlock()
	}
}
