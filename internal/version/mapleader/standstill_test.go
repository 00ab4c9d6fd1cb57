package mapleader_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/mapleader"
	"currantledge.example/currantledge/internal/version/mapswitcher"
)

// haltingEngines is a fake of a group of two ranks that makes a pass every passTime while it is busy and no rank holds it.
type haltingEngines struct {
	fakeEngines
	stateMu sync.Mutex
	busy    bool
	begun   identifier.Step
	// holds maps each rank to the step that it holds.
	holds map[string]identifier.Step
	// lateHold is set until the first hold, which gets no response and is carried out after holdDelay.
	lateHold bool
}

const (
	passTime  = 40 * time.Millisecond
	holdDelay = 3 * time.Second
)

// run makes passes until the context ends.
func (e *haltingEngines) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(passTime)
		e.stateMu.Lock()
		next, held := e.begun+1, false
		for _, step := range e.holds {
			held = held || step == next
		}
		if e.busy && !held {
			e.begun = next
		}
		e.stateMu.Unlock()
	}
}

func (e *haltingEngines) setBusy(busy bool) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	e.busy = busy
}

func (e *haltingEngines) isBusy(identifier.GroupID) bool {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	return e.busy
}

// place makes a rank hold the group some steps ahead.
func (e *haltingEngines) place(address string, ahead identifier.Step) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	e.holds[address] = e.begun + ahead
}

func (e *haltingEngines) currentStep() identifier.Step {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	return e.begun
}

func (e *haltingEngines) Report(ctx context.Context, m mapswitcher.Member) (mapswitcher.Report, error) {
	report, err := e.fakeEngines.Report(ctx, m)
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	if step, held := e.holds[m.Address]; held {
		report.Held = &step
	}
	report.Step = e.begun
	return report, err
}

func (e *haltingEngines) Counts(ctx context.Context, m mapswitcher.Member) (mapswitcher.Counts, error) {
	counts, err := e.fakeEngines.Counts(ctx, m)
	counts.Step = e.currentStep()
	return counts, err
}

func (e *haltingEngines) Order(ctx context.Context, m mapswitcher.Member, epoch mapswitcher.Epoch, o mapswitcher.Order) (mapswitcher.Status, error) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	switch o := o.(type) {
	case mapswitcher.Hold:
		if e.lateHold {
			e.lateHold = false
			time.AfterFunc(holdDelay, func() {
				e.stateMu.Lock()
				defer e.stateMu.Unlock()
				e.holds[m.Address] = o.Step
			})
			return 0, errNoResponse
		}
		if held, is := e.holds[m.Address]; is && held != o.Step || o.Step <= e.begun {
			return mapswitcher.StatusConflict, nil
		}
		e.holds[m.Address] = o.Step
		return mapswitcher.StatusAccepted, nil
	case mapswitcher.Release:
		if e.holds[m.Address] != o.Step {
			return mapswitcher.StatusConflict, nil
		}
		delete(e.holds, m.Address)
		return mapswitcher.StatusAccepted, nil
	}
	return e.fakeEngines.Order(ctx, m, epoch, o)
}

// newHaltingLeader returns a leader of the group of haltingEngines.
func newHaltingLeader(f *fixture, e *haltingEngines) *mapleader.Leader {
	cfg := leaderConfig(f, &e.fakeEngines)
	cfg.Engines, cfg.Busy = e, e.isBusy
	return mapleader.New(cfg)
}

// Guards against a group that makes no passes for longer than its clients wait, because a hold was carried out after its
// release or was left by another leader, and against a standstill that no log line tells.
func TestGroupThatStandsIsReleased(t *testing.T) {
	t.Parallel()
	for _, foreign := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			engines := &haltingEngines{holds: map[string]identifier.Step{}, lateHold: !foreign}
			engines.held, engines.armed = map[string]bool{}, map[string]bool{}
			f := newFixture()
			stop := startLeader(t, newHaltingLeader(f, engines))
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { engines.run(ctx) })
			defer running.Wait()
			defer cancel()
			time.Sleep(2 * time.Second)
			require.True(t, engines.switched(), "the map is switched while the group is idle")
			time.Sleep(holdDelay)
			if foreign {
				engines.place("1", 4)
			}
			engines.setBusy(true)
			before := engines.currentStep()
			time.Sleep(2 * time.Second)
			stop()
			require.Greater(t, engines.currentStep(), before+6, "the group stands")
			line := ""
			for _, l := range strings.Split(f.log.String(), "\n") {
				if strings.Contains(l, `"event":742`) {
					line = l
				}
			}
			holder := `"heldBy":["a"]`
			if foreign {
				holder = `"heldBy":["b"]`
			}
			require.Contains(t, line, holder)
			require.Contains(t, line, `"step":`)
		})
	}
}
