package mapleader_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/meter"
	"currantledge.example/currantledge/internal/version/mapleader"
	"currantledge.example/currantledge/internal/version/mapswitcher"
)

// spoilingEngines is a fake of a group one of whose ranks gives wrong answers.
type spoilingEngines struct {
	*fakeEngines
	// spoilMap changes the map of a rank; reads is how often it was read before.
	spoilMap func(address string, reads int, m *mapswitcher.RankMap)

	// spoilCounts changes the counts of a rank in the same way.
	spoilCounts func(address string, reads int, c *mapswitcher.Counts)

	mu         sync.Mutex
	mapReads   map[string]int
	countReads map[string]int
}

func (e *spoilingEngines) Counts(ctx context.Context, m mapswitcher.Member) (mapswitcher.Counts, error) {
	out, err := e.fakeEngines.Counts(ctx, m)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.spoilCounts != nil {
		e.spoilCounts(m.Address, e.countReads[m.Address], &out)
	}
	e.countReads[m.Address]++
	return out, err
}

func (e *spoilingEngines) RankMap(ctx context.Context, m mapswitcher.Member) (mapswitcher.RankMap, error) {
	out, err := e.fakeEngines.RankMap(ctx, m)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.spoilMap != nil {
		e.spoilMap(m.Address, e.mapReads[m.Address], &out)
	}
	e.mapReads[m.Address]++
	return out, err
}

// newSpoilingLeader returns a leader of a group of spoilingEngines.
func newSpoilingLeader(f *fixture, e *spoilingEngines) *mapleader.Leader {
	e.fakeEngines = &fakeEngines{held: map[string]bool{}, armed: map[string]bool{}}
	e.mapReads, e.countReads = map[string]int{}, map[string]int{}
	cfg := leaderConfig(f, e.fakeEngines)
	cfg.Engines = e
	f.meter = cfg.Meter
	return mapleader.New(cfg)
}

// Guards against a wrong byte in a rank's list of experts that ends the process of the leader, or that becomes part of the
// map that it works with.
func TestSpoiledListOfExpertsIsReadAgain(t *testing.T) {
	t.Parallel()
	for name, spoiled := range map[string][][]identifier.Expert{
		"expert beyond the range": {{97, 3}},
		"negative expert":         {{-1, 3}},
		"other expert in range":   {{1, 2}},
		"expert listed twice":     {{1, 3, 1}},
		"too many experts":        {{0, 1, 2, 3}},
		"no set":                  {},
		"one set too many":        {{1, 3}, {1, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				stop := startLeader(t, newSpoilingLeader(f, &spoilingEngines{spoilMap: func(address string, reads int, m *mapswitcher.RankMap) {
					if address == "1" && reads == 0 {
						m.Experts = spoiled
					}
				}}))
				time.Sleep(maxSwitchTime)
				stop()
				require.Contains(t, f.log.String(), `"event":721`, "the map is switched")
				require.NotContains(t, f.log.String(), `"event":726`)
				require.Contains(t, f.log.String(), `"event":743`)
				require.EqualValues(t, 1, f.meter.Count(meter.AnswersRejected))
			})
		})
	}
}

// Guards against wrong counts that end the process of the leader or its work on the group, whether one answer of a rank is
// spoiled or all are.
func TestSpoiledCountsAreReadAgain(t *testing.T) {
	t.Parallel()
	for name, spoil := range map[string]func(*mapswitcher.Counts){
		"one count too few":  func(c *mapswitcher.Counts) { c.Counts = c.Counts[1:] },
		"one count too many": func(c *mapswitcher.Counts) { c.Counts = append(c.Counts, 7) },
		"negative count":     func(c *mapswitcher.Counts) { c.Counts[2] = -900 },
		"overflowing count":  func(c *mapswitcher.Counts) { c.Counts[0] = 1e308 },
	} {
		for _, always := range []bool{false, true} {
			t.Run(fmt.Sprint(name, always), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newFixture()
					stop := startLeader(t, newSpoilingLeader(f, &spoilingEngines{spoilCounts: func(address string, reads int, c *mapswitcher.Counts) {
						if address == "1" && (always || reads == 1) {
							spoil(c)
						}
					}}))
					time.Sleep(6 * time.Second)
					stop()
					require.Contains(t, f.log.String(), `"event":721`, "the map is switched")
					require.Equal(t, 1, strings.Count(f.log.String(), `"event":733`), "the group is found once")
					require.Contains(t, f.log.String(), `"event":743`)
					require.Equal(t, !always, f.meter.Count(meter.AnswersRejected) == 1)
				})
			})
		}
	}
}

// misreadEngines is a fake of a group that makes passes, and whose demand shifts every shiftInterval. Rank 0 spoils a part of
// its answers: a digit stands before the step.
type misreadEngines struct {
	*haltingEngines
	// spoilEach is the number of answers of which one is spoiled; 0 for none.
	spoilEach int
	started   time.Time
	answers   atomic.Int64
	armsMu    sync.Mutex
	// arms holds the steps for which rank 0 was armed.
	arms map[identifier.Step]bool
}

func (e *misreadEngines) Order(ctx context.Context, m mapswitcher.Member, epoch mapswitcher.Epoch, o mapswitcher.Order) (mapswitcher.Status, error) {
	if arm, is := o.(mapswitcher.Arm); is && m.Address == "0" {
		e.armsMu.Lock()
		e.arms[arm.Step] = true
		e.armsMu.Unlock()
	}
	return e.haltingEngines.Order(ctx, m, epoch, o)
}

const shiftInterval = 3 * time.Second

func (e *misreadEngines) Counts(ctx context.Context, m mapswitcher.Member) (mapswitcher.Counts, error) {
	counts, err := e.haltingEngines.Counts(ctx, m)
	shifts := int(time.Since(e.started) / shiftInterval)
	for i := range counts.Counts {
		// Requests choose a quarter of the experts, others after each shift.
		counts.Counts[i] = 1
		for s := range shifts + 1 {
			if (i+5*s)%4 == 0 {
				counts.Counts[i] += 500 * min(time.Since(e.started)-time.Duration(s)*shiftInterval, shiftInterval).Seconds()
			}
		}
	}
	if m.Address == "0" && e.spoilEach != 0 && e.answers.Add(1)%int64(e.spoilEach) == 0 {
		counts.Step += 1000
	}
	return counts, err
}

// Guards against a leader that no longer changes the map since a rank has told it a step that is far ahead: it would hold the
// group before a step that does not begin, and wait for it.
func TestMisreadStepStopsNoMapChange(t *testing.T) {
	t.Parallel()
	play := func(t *testing.T, spoilEach int) (switches int) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			e := &misreadEngines{
				haltingEngines: &haltingEngines{holds: map[string]identifier.Step{}}, arms: map[identifier.Step]bool{},
				spoilEach: spoilEach, started: time.Now(),
			}
			e.fakeEngines = fakeEngines{held: map[string]bool{}, armed: map[string]bool{}, popular: true}
			cfg := leaderConfig(f, &e.fakeEngines)
			cfg.Engines, cfg.Busy = e, e.isBusy
			e.setBusy(true)
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { e.run(ctx) })
			stop := startLeader(t, mapleader.New(cfg))
			time.Sleep(8 * shiftInterval)
			stop()
			cancel()
			running.Wait()
			for step := range e.arms {
				if step <= e.currentStep() {
					switches++
				}
			}
		})
		return switches
	}
	sound := play(t, 0)
	require.GreaterOrEqual(t, sound, 7, "one change for each shift")
	for _, spoilEach := range []int{2, 3, 5, 9} {
		require.GreaterOrEqual(t, play(t, spoilEach), sound-1, "one in %d", spoilEach)
	}
}

// spoiledReports is a fake of an idle group some of whose reports are spoiled.
type spoiledReports struct {
	*fakeEngines
	spoil   func(*mapswitcher.Report)
	answers atomic.Int64
}

func (e *spoiledReports) Report(ctx context.Context, m mapswitcher.Member) (mapswitcher.Report, error) {
	report, err := e.fakeEngines.Report(ctx, m)
	if e.answers.Add(1)%4 == 0 {
		e.spoil(&report)
	}
	return report, err
}

// Guards against a group that is read anew, or not found, because one of its many reports was spoiled.
func TestSpoiledReportsAreReadAgain(t *testing.T) {
	t.Parallel()
	for name, spoil := range map[string]func(*mapswitcher.Report){
		"later epoch":  func(r *mapswitcher.Report) { r.Epoch = 11 },
		"other rank":   func(r *mapswitcher.Report) { r.Rank += 10 },
		"no such size": func(r *mapswitcher.Report) { r.Size = -2 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				engines := &spoiledReports{fakeEngines: &fakeEngines{held: map[string]bool{}, armed: map[string]bool{}}, spoil: spoil}
				cfg := leaderConfig(f, engines.fakeEngines)
				cfg.Engines = engines
				cfg.Busy = func(identifier.GroupID) bool { return false }
				stop := startLeader(t, mapleader.New(cfg))
				time.Sleep(20 * time.Second)
				stop()
				require.Equal(t, 1, strings.Count(f.log.String(), `"event":733`), "the group is found once")
			})
		})
	}
}
