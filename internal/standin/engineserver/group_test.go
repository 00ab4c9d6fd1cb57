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
	// newMap is the version of the map that the tests switch to.
	newMap    = 1
	groupSize = 2
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

func startGroup(t *testing.T, cfg engineserver.Config) []*instance {
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

// swapped is a map of four experts in which two ranks have changed places with regard to the initial one.
var swapped = [][]identifier.Expert{{2, 3}, {0, 1}}

func prepare(version identifier.MapVersion, step identifier.Step) driver.PrepareMap {
	return driver.PrepareMap{Fence: 1, Version: version, Map: swapped, SwitchStep: step}
}

func commit() driver.DecideMap {
	return driver.DecideMap{Fence: 1, Version: newMap, Commit: true}
}

// requireOneMapPerStep checks the records of the ranks against each other.
func requireOneMapPerStep(t *testing.T, ranks []*instance) map[identifier.Step]identifier.MapVersion {
	t.Helper()
	versions := map[identifier.Step]identifier.MapVersion{}
	for _, r := range ranks {
		for _, s := range r.record().Steps {
			known, seen := versions[s.Step]
			require.True(t, !seen || known == s.MapVersion, "step %d ran with maps %d and %d", s.Step, known, s.MapVersion)
			versions[s.Step] = s.MapVersion
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
		r.order(prepare(1, at))
	}
	for _, r := range ranks {
		r.order(commit())
	}
	for _, r := range ranks {
		r.awaitStep(at)
	}
	versions := requireOneMapPerStep(t, ranks)
	require.Equal(t, identifier.MapVersion(0), versions[at-1])
	require.Equal(t, identifier.MapVersion(1), versions[at])
}

// Guards against a rank that runs the switch step before it knows the decision.
func TestUndecidedRankStallsGroup(t *testing.T) {
	t.Parallel()
	ranks := startGroup(t, engineserver.Config{Group: engineserver.GroupConfig{Experts: 4}})
	at := ranks[0].report().Step + ahead
	for _, r := range ranks {
		r.order(prepare(1, at))
	}
	ranks[0].order(commit())
	ranks[0].awaitStep(at - 1)
	require.Equal(t, identifier.MapVersion(1), ranks[1].report().PreparedMap)
	require.Never(t, func() bool { return ranks[0].report().Step >= at }, 100*time.Millisecond, poll)
	ranks[1].order(commit())
	ranks[1].awaitStep(at)
	requireOneMapPerStep(t, ranks)
}

// Guards against an order that a rank acknowledges although it can no longer follow it.
func TestOrdersThatCannotBeFollowed(t *testing.T) {
	t.Parallel()
	ranks := startGroup(t, engineserver.Config{Group: engineserver.GroupConfig{Experts: 4}})
	r := ranks[0]
	refused := func(o driver.Order, code string) {
		t.Helper()
		var refusal *driver.RefusedOrderError
		require.ErrorAs(t, r.Order(t.Context(), o), &refusal)
		require.Equal(t, code, refusal.Code)
	}
	step := r.report().Step
	refused(prepare(1, step), "switchStepPassed")
	refused(commit(), "unknownMap")
	refused(driver.PrepareMap{Version: 1, Map: [][]identifier.Expert{{0}, {1}}, SwitchStep: step + ahead}, "invalidMap")
	r.order(prepare(1, step+100*ahead))
	r.order(prepare(1, step+100*ahead))
	refused(prepare(2, step+100*ahead), "preparationOpen")
	r.order(driver.DecideMap{Version: 1})
	refused(commit(), "unknownMap")
}

// Guards against a restarted rank that takes part in steps with another map than its group.
func TestRestartedRankJoinsWithGroupMap(t *testing.T) {
	t.Parallel()
	ranks := startGroup(t, engineserver.Config{
		Simulator: simulator.Config{Down: time.Millisecond},
		Group:     engineserver.GroupConfig{Experts: 4},
	})
	at := ranks[0].report().Step + ahead
	for _, r := range ranks {
		r.order(prepare(1, at))
		r.order(commit())
	}
	ranks[1].awaitNewMap()
	before := ranks[1].report().Boot
	ranks[1].control(`{"crash":true}`)
	require.Eventually(t, func() bool {
		boot := ranks[1].report().Boot
		return boot != "" && boot != before
	}, patience, poll)
	// The rest of the group goes on while the rank is outside.
	step := ranks[0].report().Step
	ranks[0].awaitStep(step + 10)
	require.Equal(t, identifier.Step(0), ranks[1].report().Step)

	ranks[1].order(prepare(1, at))
	ranks[1].order(commit())
	ranks[1].awaitStep(step)
	requireOneMapPerStep(t, ranks)
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
	i.order(driver.PrepareMap{Version: 1, Map: [][]identifier.Expert{{0, 1}}, SwitchStep: 500})
	i.order(commit())
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
