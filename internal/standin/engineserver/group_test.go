package engineserver_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/driver"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/standin/engineserver"
	"currantledge.example/currantledge/internal/standin/simulator"
)

const (
	loopback = "127.0.0.1:0"
	customer = identifier.Digest("c0ffee")
	patience = 20 * time.Second
	poll     = 5 * time.Millisecond
	// ahead is far enough that no rank has run the step when the order arrives.
	ahead = 100
	// firstMap is the version of the map with which groups start, newMap the one that the tests switch to.
	firstMap  = 1
	newMap    = 2
	groupSize = 2
	// absence is the time in which something must not happen.
	absence = 100 * time.Millisecond
)

// instance is a running engine stand-in.
type instance struct {
	*driver.Engine
	t    *testing.T
	base string
}

func start(t *testing.T, cfg engineserver.Config) (*instance, *engineserver.Server) {
	t.Helper()
	cfg.Simulator.Address = loopback
	if cfg.StepBase == 0 {
		cfg.StepBase = time.Millisecond
	}
	if cfg.ReportLag == 0 {
		cfg.ReportLag = -1
	}
	server, err := engineserver.New(cfg)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(ctx) }()
	base := "http://" + server.Address()
	engine := driver.NewEngine(driver.Config{BaseURL: base})
	t.Cleanup(func() {
		engine.Close()
		cancel()
		require.NoError(t, <-stopped)
	})
	return &instance{Engine: engine, t: t, base: base}, server
}

// startRanks starts the ranks of a group without a map.
func startRanks(t *testing.T, cfg engineserver.Config) []*instance {
	t.Helper()
	cfg.Group.Size = groupSize
	cfg.Group.Coordinator = loopback
	var ranks []*instance
	for rank := range groupSize {
		cfg.Group.Rank = rank
		i, server := start(t, cfg)
		ranks = append(ranks, i)
		cfg.Group.Coordinator = server.Coordinator()
	}
	return ranks
}

// startGroup starts a group that runs with the first map.
func startGroup(t *testing.T, cfg engineserver.Config) []*instance {
	t.Helper()
	ranks := startRanks(t, cfg)
	for _, r := range ranks {
		r.install(prepare(firstMap, 0))
	}
	ranks[0].awaitStep(1)
	return ranks
}

func (i *instance) report() driver.Report {
	report, err := i.Report(context.Background())
	if err != nil {
		return driver.Report{}
	}
	return report
}

func (i *instance) record() simulator.Record {
	i.t.Helper()
	response, err := http.Get(i.base + "/record")
	require.NoError(i.t, err)
	defer response.Body.Close()
	var out simulator.Record
	require.NoError(i.t, json.NewDecoder(response.Body).Decode(&out))
	return out
}

func (i *instance) control(body string) {
	i.t.Helper()
	response, err := http.Post(i.base+"/control", "application/json", strings.NewReader(body))
	require.NoError(i.t, err)
	defer response.Body.Close()
	require.Equal(i.t, http.StatusNoContent, response.StatusCode)
}

func (i *instance) order(o driver.Order) {
	i.t.Helper()
	require.NoError(i.t, i.Order(i.t.Context(), o))
}

// install orders maps as an agent does after a restart of its engine.
func (i *instance) install(maps ...driver.PrepareMap) {
	i.t.Helper()
	for _, m := range maps {
		i.order(m)
	}
	for _, m := range maps {
		i.order(decide(m.Version, true))
	}
}

func (i *instance) requireRefused(o driver.Order, code string) {
	i.t.Helper()
	var refusal *driver.RefusedOrderError
	require.ErrorAs(i.t, i.Order(i.t.Context(), o), &refusal)
	require.Equal(i.t, code, refusal.Code)
}

func (i *instance) awaitNewBoot(before identifier.Boot) {
	i.t.Helper()
	require.Eventually(i.t, func() bool {
		boot := i.report().Boot
		return boot != "" && boot != before
	}, patience, poll)
}

func (i *instance) requireHolds(step identifier.Step) {
	i.t.Helper()
	require.Never(i.t, func() bool { return i.report().Step >= step }, absence, poll)
}

func (i *instance) awaitNewMap() {
	i.t.Helper()
	require.Eventually(i.t, func() bool { return i.report().MapVersion == newMap }, patience, poll)
}

func (i *instance) awaitStep(step identifier.Step) {
	i.t.Helper()
	require.Eventually(i.t, func() bool { return i.report().Step >= step }, patience, poll)
}

func (i *instance) generate(g driver.Generation) (string, error) {
	var text strings.Builder
	_, err := i.Generate(context.Background(), g, func(part []byte) error {
		text.Write(part)
		return nil
	})
	return text.String(), err
}

func generation(prompt string) driver.Generation {
	return driver.Generation{Request: identifier.NewRequest(), Customer: customer, Model: "m", Prompt: []byte(prompt)}
}

// blocks and swapped are maps of four experts; the ranks have changed places in the second.
var (
	blocks  = [][]identifier.Expert{{0, 1}, {2, 3}}
	swapped = [][]identifier.Expert{{2, 3}, {0, 1}}
)

func prepare(version identifier.MapVersion, step identifier.Step) driver.PrepareMap {
	m := driver.PrepareMap{Fence: 1, Version: version, Map: blocks, SwitchStep: step}
	if version%2 == 0 {
		m.Map = swapped
	}
	return m
}

func decide(version identifier.MapVersion, commit bool) driver.DecideMap {
	return driver.DecideMap{Fence: 1, Version: version, Commit: commit}
}

// recordedMaps returns the maps of each step by rank.
func recordedMaps(ranks []*instance) map[identifier.Step]map[int]identifier.MapVersion {
	maps := map[identifier.Step]map[int]identifier.MapVersion{}
	for n, r := range ranks {
		for _, s := range r.record().Steps {
			if maps[s.Step] == nil {
				maps[s.Step] = map[int]identifier.MapVersion{}
			}
			maps[s.Step][n] = s.MapVersion
		}
	}
	return maps
}

// requireOneMapPerStep checks the records of the ranks against each other.
func requireOneMapPerStep(t *testing.T, ranks []*instance) map[identifier.Step]identifier.MapVersion {
	t.Helper()
	versions := map[identifier.Step]identifier.MapVersion{}
	for step, byRank := range recordedMaps(ranks) {
		for _, version := range byRank {
			known, seen := versions[step]
			require.True(t, !seen || known == version, "step %d ran with maps %d and %d", step, known, version)
			versions[step] = version
		}
	}
	return versions
}

// Guards against ranks that switch their map at different steps, and against a switch before its step.
func TestGroupSwitchesTogether(t *testing.T) {
	t.Parallel()
	ranks := startGroup(t, engineserver.Config{Group: engineserver.GroupConfig{Experts: 4}})
	at := ranks[0].report().Step + ahead
	for _, r := range ranks {
		r.order(prepare(newMap, at))
	}
	for _, r := range ranks {
		r.order(decide(newMap, true))
	}
	for _, r := range ranks {
		r.awaitStep(at)
	}
	versions := requireOneMapPerStep(t, ranks)
	require.Equal(t, identifier.MapVersion(firstMap), versions[at-1])
	require.Equal(t, identifier.MapVersion(newMap), versions[at])
}

// generateUntil sends requests to a rank until the channel closes, and returns whether all answers were right.
func (i *instance) generateUntil(done <-chan struct{}) bool {
	const prompt = "tokens=20"
	for {
		select {
		case <-done:
			return true
		default:
		}
		text, err := i.generate(generation(prompt))
		if err != nil || text != string(engineserver.Answer(customer, []byte(prompt), 20)) {
			return false
		}
	}
}

// Guards against a switch that loses requests, mixes maps or leaves a rank behind while the group is busy.
func TestGroupSwitchesUnderLoad(t *testing.T) {
	t.Parallel()
	ranks := startGroup(t, engineserver.Config{Group: engineserver.GroupConfig{Experts: 4}})
	done := make(chan struct{})
	right := make(chan bool)
	const callers = 3
	for _, r := range ranks {
		for range callers {
			go func() { right <- r.generateUntil(done) }()
		}
	}
	switched := map[identifier.MapVersion]identifier.Step{}
	for version := identifier.MapVersion(newMap); version < newMap+4; version++ {
		at := ranks[0].report().Step + ahead
		for _, r := range ranks {
			r.order(prepare(version, at))
		}
		for _, r := range ranks {
			r.order(decide(version, true))
		}
		for _, r := range ranks {
			r.awaitStep(at)
		}
		switched[version] = at
	}
	close(done)
	for range callers * groupSize {
		require.True(t, <-right)
	}
	versions := requireOneMapPerStep(t, ranks)
	for version, at := range switched {
		require.Equal(t, version-1, versions[at-1])
		require.Equal(t, version, versions[at])
		require.Len(t, recordedMaps(ranks)[at], groupSize)
	}
}

// Guards against a rank that runs the switch step before it knows the decision.
func TestLostDecisionStallsGroup(t *testing.T) {
	t.Parallel()
	ranks := startGroup(t, engineserver.Config{Group: engineserver.GroupConfig{Experts: 4}})
	at := ranks[0].report().Step + ahead
	for _, r := range ranks {
		r.order(prepare(newMap, at))
	}
	ranks[0].order(decide(newMap, true))
	ranks[0].awaitStep(at - 1)
	require.Equal(t, identifier.MapVersion(newMap), ranks[1].report().PreparedMap)
	ranks[0].requireHolds(at)
	ranks[1].order(decide(newMap, true))
	ranks[1].awaitStep(at)
	requireOneMapPerStep(t, ranks)
}

// Guards against a stand-in that hides a balancer's mistake: ranks with different decisions run with different maps.
func TestMixedDecisionsShowInRecords(t *testing.T) {
	t.Parallel()
	ranks := startGroup(t, engineserver.Config{Group: engineserver.GroupConfig{Experts: 4}})
	at := ranks[0].report().Step + ahead
	for n, r := range ranks {
		r.order(prepare(newMap, at))
		r.order(decide(newMap, n == 0))
	}
	for _, r := range ranks {
		r.awaitStep(at)
	}
	maps := recordedMaps(ranks)
	require.Equal(t, map[int]identifier.MapVersion{0: firstMap, 1: firstMap}, maps[at-1])
	require.Equal(t, map[int]identifier.MapVersion{0: newMap, 1: firstMap}, maps[at])
}

// Guards against steps before all ranks have a map, and against requests that are lost while the group waits.
func TestGroupWithoutMapWaits(t *testing.T) {
	t.Parallel()
	ranks := startRanks(t, engineserver.Config{Group: engineserver.GroupConfig{Experts: 4}})
	answered := make(chan error, 1)
	go func() {
		_, err := ranks[0].generate(generation("tokens=2"))
		answered <- err
	}()
	ranks[0].install(prepare(firstMap, 0))
	ranks[0].requireHolds(1)
	// The rank has asked for its first step; the decision must come before it runs all the same.
	ranks[0].order(prepare(newMap, 0))
	ranks[1].install(prepare(firstMap, 0))
	ranks[0].requireHolds(1)
	ranks[0].order(decide(newMap, false))
	require.NoError(t, <-answered)
	require.Equal(t, identifier.MapVersion(firstMap), requireOneMapPerStep(t, ranks)[1])
}

// Guards against an order that a running rank acknowledges although it can no longer follow it.
func TestOrdersThatCannotBeFollowed(t *testing.T) {
	t.Parallel()
	r := startGroup(t, engineserver.Config{Group: engineserver.GroupConfig{Experts: 4}})[0]
	step := r.report().Step
	r.requireRefused(prepare(newMap, step), "switchStepPassed")
	r.requireRefused(prepare(newMap, 0), "switchStepPassed")
	r.requireRefused(decide(newMap, true), "unknownMap")
	r.requireRefused(decide(firstMap, false), "alreadyDecided")
	incomplete := prepare(newMap, step+ahead)
	incomplete.Map = [][]identifier.Expert{{0}, {1}}
	r.requireRefused(incomplete, "invalidMap")
	r.requireRefused(prepare(0, step+ahead), "invalidMap")
	require.Zero(t, r.report().PreparedMap)
}

// Guards against a repeated or late order that takes effect a second time.
func TestRepeatedOrdersHaveNoEffect(t *testing.T) {
	t.Parallel()
	ranks := startGroup(t, engineserver.Config{Group: engineserver.GroupConfig{Experts: 4}})
	at := ranks[0].report().Step + ahead
	const unknown = newMap + 1
	for _, r := range ranks {
		r.order(prepare(newMap, at))
		r.order(prepare(newMap, 0))
		r.order(decide(unknown, false))
		r.order(prepare(unknown, at))
		r.requireRefused(decide(unknown, true), "unknownMap")
		require.Equal(t, identifier.MapVersion(newMap), r.report().PreparedMap)
		r.order(decide(newMap, true))
		r.order(decide(newMap, true))
		r.order(prepare(newMap, 0))
		r.requireRefused(decide(newMap, false), "alreadyDecided")
		require.Zero(t, r.report().PreparedMap)
	}
	for _, r := range ranks {
		r.awaitStep(at)
	}
	require.Equal(t, identifier.MapVersion(newMap), requireOneMapPerStep(t, ranks)[at])
}

// Guards against an engine that forgets one of several open preparations, or one of two maps for later steps.
func TestHoldsAtLowestUndecidedStep(t *testing.T) {
	t.Parallel()
	ranks := startGroup(t, engineserver.Config{Group: engineserver.GroupConfig{Experts: 4}})
	at := ranks[0].report().Step + ahead
	const late, aborted = newMap + 1, newMap + 2
	for _, r := range ranks {
		r.order(prepare(aborted, at))
		r.order(prepare(late, at+20))
		r.order(prepare(newMap, at+10))
		r.order(decide(late, true))
	}
	ranks[0].awaitStep(at - 1)
	ranks[0].requireHolds(at)
	require.Equal(t, identifier.MapVersion(newMap), ranks[0].report().PreparedMap)
	for _, r := range ranks {
		r.order(decide(aborted, false))
	}
	ranks[0].awaitStep(at + 9)
	ranks[0].requireHolds(at + 10)
	for _, r := range ranks {
		r.order(decide(newMap, true))
	}
	for _, r := range ranks {
		r.awaitStep(at + 20)
	}
	versions := requireOneMapPerStep(t, ranks)
	require.Equal(t, identifier.MapVersion(firstMap), versions[at+9])
	require.Equal(t, identifier.MapVersion(newMap), versions[at+19])
	require.Equal(t, identifier.MapVersion(late), versions[at+20])
}

// Guards against a rank that has just started and acknowledges a switch step that its group may have passed.
func TestStartedRankRefusesSwitchStep(t *testing.T) {
	t.Parallel()
	r := startRanks(t, engineserver.Config{Group: engineserver.GroupConfig{Experts: 4}})[0]
	r.requireRefused(prepare(newMap, ahead), "noStepRun")
	r.requireRefused(decide(newMap, true), "unknownMap")
	r.order(prepare(firstMap, 0))
	r.order(prepare(newMap, ahead))
	require.Equal(t, identifier.MapVersion(firstMap), r.report().PreparedMap)
	r.order(decide(firstMap, true))
	r.requireRefused(prepare(newMap+1, 2*ahead), "noStepRun")
}

// Guards against a restarted rank that stalls its group, never comes back, or runs a step with another map.
func TestRestartedRankJoins(t *testing.T) {
	t.Parallel()
	for name, passed := range map[string]bool{"after the switch": true, "before the switch": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ranks := startGroup(t, engineserver.Config{
				Simulator: simulator.Config{Down: time.Millisecond},
				Group:     engineserver.GroupConfig{Experts: 4},
			})
			at := ranks[0].report().Step + 2*ahead
			for _, r := range ranks {
				r.order(prepare(newMap, at))
				r.order(decide(newMap, true))
			}
			if passed {
				ranks[1].awaitNewMap()
			}
			before := ranks[1].report().Boot
			ranks[1].control(`{"crash":true}`)
			ranks[1].awaitNewBoot(before)
			ran := len(ranks[1].record().Steps)
			// The rest of the group goes on while the rank is outside.
			reached := ranks[0].report().Step + 10
			ranks[0].awaitStep(reached)
			require.Zero(t, ranks[1].report().Step)

			ranks[1].install(prepare(firstMap, 0), prepare(newMap, at))
			for _, r := range ranks {
				r.awaitStep(at + 1)
			}
			ranks[1].awaitStep(reached)
			versions := requireOneMapPerStep(t, ranks)
			require.Equal(t, identifier.MapVersion(firstMap), versions[at-1])
			require.Equal(t, identifier.MapVersion(newMap), versions[at])
			joined := ranks[1].record().Steps[ran]
			require.GreaterOrEqual(t, joined.Step, reached)
			require.Equal(t, passed, joined.MapVersion == newMap)
		})
	}
}

// Guards against steps whose duration does not follow the load of the rank's experts.
func TestStepTimeFollowsExperts(t *testing.T) {
	t.Parallel()
	ranks := startGroup(t, engineserver.Config{Group: engineserver.GroupConfig{Experts: 4, Skew: 2}})
	text, err := ranks[0].generate(generation("tokens=5"))
	require.NoError(t, err)
	require.Equal(t, string(engineserver.Answer(customer, []byte("tokens=5"), 5)), text)
	sums := make([]int64, len(ranks))
	for i, r := range ranks {
		for _, s := range r.record().Steps {
			sums[i] = max(sums[i], s.Micros)
		}
	}
	base := time.Millisecond.Microseconds()
	require.NotEqual(t, sums[0], sums[1])
	// One token of 500 microseconds is shared by the two ranks.
	require.InDelta(t, 2*base+500, sums[0]+sums[1], 2)
}

// Guards against an engine that checks the fence and follows an old leader, and against one that should ignore it.
func TestFence(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{true, false} {
		i, _ := start(t, engineserver.Config{CheckFence: checks})
		i.order(driver.ChangeRole{Fence: 5, Role: "decode"})
		err := i.Order(t.Context(), driver.ChangeRole{Fence: 4, Role: "prefill"})
		if !checks {
			require.NoError(t, err)
			require.Equal(t, "prefill", i.report().Role)
			continue
		}
		var stale *driver.StaleFenceError
		require.ErrorAs(t, err, &stale)
		require.Equal(t, identifier.Fence(5), stale.Fence)
		require.Equal(t, "decode", i.report().Role)
	}
}

// Guards against an engine that steps alone and never reaches the switch step because it has nothing to do.
func TestIdleEngineSwitches(t *testing.T) {
	t.Parallel()
	i, _ := start(t, engineserver.Config{Group: engineserver.GroupConfig{Experts: 2}})
	i.order(driver.PrepareMap{Version: newMap, Map: [][]identifier.Expert{{0, 1}}, SwitchStep: 500})
	i.order(driver.DecideMap{Version: newMap, Commit: true})
	i.awaitNewMap()
}

func (i *instance) export(id identifier.Request) []byte {
	i.t.Helper()
	response, err := http.Post(i.base+"/engine/v1/kvExport", "application/json", strings.NewReader(`{"request":"`+id.String()+`"}`))
	require.NoError(i.t, err)
	defer response.Body.Close()
	require.Equal(i.t, http.StatusOK, response.StatusCode)
	raw, err := io.ReadAll(response.Body)
	require.NoError(i.t, err)
	return raw
}
