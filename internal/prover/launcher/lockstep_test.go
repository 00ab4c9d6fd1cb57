package launcher_test

import (
	"context"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/driver"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/prover/launcher"
)

// testMap is an expert map for the group of smallPlan.
var testMap = [][]identifier.Expert{{0, 1}, {2, 3}}

// builtFolder is the folder of the binaries that builtBinaries builds once for all tests. TestMain removes it.
var builtFolder string

var builtBinaries = sync.OnceValues(func() (launcher.Binaries, error) {
	folder, err := os.MkdirTemp("", "launcher")
	if err != nil {
		return launcher.Binaries{}, err
	}
	builtFolder = folder
	return launcher.BuildBinaries(context.Background(), folder)
})

// deployLockStep deploys smallPlan with real stand-ins and with a group that runs in lock-step.
func deployLockStep(t *testing.T) *launcher.Deployment {
	t.Helper()
	binaries, err := builtBinaries()
	require.NoError(t, err)
	binaries.Product = os.Args[0]
	t.Setenv(roleVariable, "deployment")
	plan := smallPlan()
	plan.Groups[0].LockStep = true
	plan.Groups[0].ChecksFence = func(rank int) bool { return rank == 1 }
	plan.EngineArgs = []string{"--report-lag", "-1ms"}
	d, err := launcher.Deploy(testContext(t), newLauncher(t), binaries, plan)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	return d
}

func newEngineClient(t *testing.T, a *launcher.Agent) *driver.Engine {
	t.Helper()
	engine := driver.NewEngine(driver.Config{BaseURL: a.Standin.URL()})
	t.Cleanup(engine.Close)
	return engine
}

func installMap(t *testing.T, engine *driver.Engine) {
	t.Helper()
	require.NoError(t, engine.Order(t.Context(), driver.PrepareMap{Fence: 1, Version: 1, Map: testMap}))
	require.NoError(t, engine.Order(t.Context(), driver.DecideMap{Fence: 1, Version: 1, Commit: true}))
}

func stepOf(t *testing.T, engine *driver.Engine) identifier.Step {
	t.Helper()
	report, err := engine.Report(t.Context())
	require.NoError(t, err)
	return report.Step
}

func requireNoSteps(t *testing.T, engine *driver.Engine) {
	t.Helper()
	before := stepOf(t, engine)
	require.Never(t, func() bool { return stepOf(t, engine) > before }, noResponseTimeout, noResponseTimeout/10)
}

func awaitStep(t *testing.T, engine *driver.Engine, step identifier.Step) {
	t.Helper()
	require.Eventually(t, func() bool { return stepOf(t, engine) >= step }, responseTimeout, noResponseTimeout/10)
}

// Guards against engines that run steps before they receive a map, or that do not run their steps together.
func TestLockStepEnginesWaitForMap(t *testing.T) {
	d := deployLockStep(t)
	engines := []*driver.Engine{newEngineClient(t, d.Agents[0]), newEngineClient(t, d.Agents[1])}
	for _, e := range engines {
		requireNoSteps(t, e)
	}
	installMap(t, engines[0])
	requireNoSteps(t, engines[0])
	require.Zero(t, stepOf(t, engines[0]))
	installMap(t, engines[1])
	for _, e := range engines {
		awaitStep(t, e, 1)
	}
	require.NoError(t, d.Stop(testContext(t)))
}

// Guards against a group that runs no more steps after the process of a rank or of the coordinator was restarted.
func TestLockStepEnginesContinueAfterRestart(t *testing.T) {
	d := deployLockStep(t)
	engines := []*driver.Engine{newEngineClient(t, d.Agents[0]), newEngineClient(t, d.Agents[1])}
	for _, e := range engines {
		installMap(t, e)
	}
	for _, rank := range []int{1, 0} {
		otherEngine := engines[1-rank]
		awaitStep(t, otherEngine, 1)
		d.Agents[rank].Standin.Process.Kill()
		reached := stepOf(t, otherEngine)
		require.NoError(t, d.Restart(testContext(t), &d.Agents[rank].Standin.Process))
		installMap(t, engines[rank])
		awaitStep(t, engines[rank], reached)
		awaitStep(t, otherEngine, reached+2)
	}
}

// Guards against a resource that declares wrongly whether its engine checks the fencing number of orders.
func TestChecksFenceFollowsPlan(t *testing.T) {
	d := deployLockStep(t)
	for rank, a := range d.Agents[:2] {
		engine := newEngineClient(t, a)
		require.NoError(t, engine.Order(t.Context(), driver.ChangeRole{Fence: 2, Role: "decode"}))
		err := engine.Order(t.Context(), driver.ChangeRole{Fence: 1, Role: "prefill"})
		checks := rank == 1
		require.Equal(t, checks, err != nil)
		if checks {
			var stale *driver.StaleFenceError
			require.ErrorAs(t, err, &stale)
		}
		require.Equal(t, checks, a.Upstream.ChecksFence)
	}
	declared := 0
	for _, line := range appliedResources(t, d.Entries[0]) {
		if strings.Contains(line, `"checksFence":true`) {
			require.Contains(t, line, "/upstreams/group-01")
			declared++
		}
	}
	require.Equal(t, 1, declared)
}
