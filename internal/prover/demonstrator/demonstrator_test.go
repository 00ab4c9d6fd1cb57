package demonstrator_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/demonstrator"
	"currantledge.example/currantledge/internal/prover/launcher"
)

func TestMain(m *testing.M) {
	if os.Getenv(roleEnv) != "" {
		runRole(os.Args[1:])
		return
	}
	os.Exit(m.Run())
}

// runDemo runs the demo with a small deployment of fakes and returns its output.
func runDemo(t *testing.T, role string) (string, error) {
	t.Helper()
	t.Setenv(roleEnv, role)
	plan := launcher.KeCentral()
	plan.Entries = 3
	plan.Groups[0].Ranks = 3
	plan.Services[0].Runners = 3
	var output bytes.Buffer
	err := demonstrator.Run(t.Context(), demonstrator.Config{
		Binaries: launcher.Binaries{Product: os.Args[0], Standin: os.Args[0]},
		Plan:     plan,
		Schedule: demonstrator.Schedule{
			Morning:       time.Second,
			EveningBefore: 500 * time.Millisecond,
			EveningOut:    4500 * time.Millisecond,
			EveningAfter:  1500 * time.Millisecond,
		},
		Seed:   1,
		Output: &output,
	})
	t.Log(output.String())
	return output.String(), err
}

func lastLine(output string) string {
	lines := strings.Split(strings.TrimSpace(output), "\n")
	return lines[len(lines)-1]
}

// Guards against a demo that fails without a fault, or whose last line does not have the fixed form.
func TestDemoOfCorrectSystem(t *testing.T) {
	output, err := runDemo(t, roleCorrect)
	require.NoError(t, err)
	require.Regexp(t, regexp.MustCompile(`^demo: sent=(\d+) complete=\d+ notRun=0 unknown=0 wrong=0 cut=0 duplicated=0$`), lastLine(output))
	require.Contains(t, output, "failure domain ke-central-b is out")
	require.Contains(t, output, "failure domain ke-central-b is in")
	require.Contains(t, output, "all processes have ended")
	require.NotContains(t, output, "violation")
}

// Guards against a demo that passes although responses are truncated, calls run twice, and a failure domain receives
// new work while it is out.
func TestDemoOfFaultySystem(t *testing.T) {
	output, err := runDemo(t, roleFaulty)
	require.Error(t, err)
	require.NotContains(t, lastLine(output), " wrong=0 ")
	require.False(t, strings.HasSuffix(lastLine(output), "duplicated=0"))
	require.Contains(t, output, "violation: G3")
	require.Contains(t, output, "violation: G5")
	require.Contains(t, output, "violation: G7")
}

// Guards against an interrupted demo that continues, or that leaves processes running.
func TestInterruptedDemo(t *testing.T) {
	t.Setenv(roleEnv, roleCorrect)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	plan := launcher.KeCentral()
	plan.Entries = 1
	output := &triggerWriter{trigger: "morning", action: cancel}
	started := time.Now()
	err := demonstrator.Run(ctx, demonstrator.Config{
		Binaries: launcher.Binaries{Product: os.Args[0], Standin: os.Args[0]},
		Plan:     plan,
		Schedule: demonstrator.Schedule{Morning: time.Hour},
		Output:   output,
	})
	require.ErrorIs(t, err, context.Canceled)
	require.NotContains(t, output.String(), "evening")
	require.Less(t, time.Since(started), time.Minute)
	require.Empty(t, childProcesses(t))
}

// triggerWriter is a buffer that calls a function when a text is written to it.
type triggerWriter struct {
	bytes.Buffer
	trigger string
	action  func()
}

func (w *triggerWriter) Write(p []byte) (int, error) {
	if strings.Contains(string(p), w.trigger) {
		w.action()
	}
	return w.Buffer.Write(p)
}

// childProcesses returns the ids of the child processes that have not ended.
func childProcesses(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("/proc/self/task/*/children")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	var found []string
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err == nil {
			found = append(found, strings.Fields(string(raw))...)
		}
	}
	return found
}

// Guards against a demo that reports success although its binaries do not start.
func TestDemoThatDoesNotStart(t *testing.T) {
	var output bytes.Buffer
	err := demonstrator.Run(t.Context(), demonstrator.Config{
		Binaries: launcher.Binaries{Product: "/bin/false", Standin: "/bin/false"},
		Plan:     launcher.KeCentral(),
		Output:   &output,
	})
	require.ErrorContains(t, err, "start the deployment")
}
