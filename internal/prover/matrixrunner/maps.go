package matrixrunner

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/prover/launcher"
)

const (
	// The events of the product's log that show the state of a group.
	eventLeaseTaken  = `"event":600`
	eventMapDecided  = `"event":603`
	eventMapProposed = `"event":604`
	// proposedBytes is in the lines of proposals, but not in those that tell why there is none.
	proposedBytes = `"bytes":`

	mapPeriod = 40 * time.Second
	mapPause  = 20 * time.Millisecond
	// decisionDelay holds the decision at the platform for longer than reports of engines lag.
	decisionDelay = 800 * time.Millisecond
	reportPeriod  = time.Second
)

func (t *trial) ranks() []*launcher.Agent {
	return t.Agents[:t.Plan.Groups[0].Ranks]
}

func countLines(a *launcher.Agent, marks ...string) int {
	count := 0
	for line := range strings.SplitSeq(a.Process.Log(), "\n") {
		matches := true
		for _, mark := range marks {
			matches = matches && strings.Contains(line, mark)
		}
		if matches {
			count++
		}
	}
	return count
}

// awaitEvent waits until the log of a rank's agent has a new line with all marks. That agent becomes the victim.
func (t *trial) awaitEvent(ctx context.Context, marks ...string) error {
	before := map[*launcher.Agent]int{}
	for _, a := range t.ranks() {
		before[a] = countLines(a, marks...)
	}
	deadline := time.Now().Add(mapPeriod)
	for time.Now().Before(deadline) && waiter.For(ctx, mapPause) {
		for _, a := range t.ranks() {
			if countLines(a, marks...) > before[a] {
				t.agent = a
				t.victim = &a.Node
				return nil
			}
		}
	}
	return errors.Newf("no agent of the group logged %v within %v", marks, mapPeriod)
}

func (t *trial) reachMapPrepare(ctx context.Context) error {
	return t.awaitEvent(ctx, eventMapProposed, proposedBytes)
}

// reachMapDecision waits until all ranks have prepared, while the decision is on its way to the platform.
func (t *trial) reachMapDecision(ctx context.Context) error {
	if err := t.reachMapPrepare(ctx); err != nil {
		return err
	}
	if err := t.platformFault(ctx, platformFault{DelayMillis: decisionDelay.Milliseconds()}); err != nil {
		return err
	}
	deadline := time.Now().Add(mapPeriod)
	for time.Now().Before(deadline) && waiter.For(ctx, mapPause) {
		prepared := 0
		for _, a := range t.ranks() {
			if isPrepared(ctx, a) {
				prepared++
			}
		}
		if prepared == len(t.ranks()) {
			return nil
		}
	}
	return errors.Newf("not all ranks prepared the proposed map within %v", mapPeriod)
}

func isPrepared(ctx context.Context, a *launcher.Agent) bool {
	limited, cancel := context.WithTimeout(ctx, reportPeriod)
	defer cancel()
	request, err := http.NewRequestWithContext(limited, http.MethodGet, a.Standin.URL()+"/engine/v1/report", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var report struct{ MapVersion, PreparedMap uint64 }
	return json.NewDecoder(response.Body).Decode(&report) == nil && report.PreparedMap > report.MapVersion
}

func (t *trial) reachMapSwitch(ctx context.Context) error {
	return t.awaitEvent(ctx, eventMapDecided)
}

// leader returns the agent that took the lease of the group last.
func (t *trial) leader() (*launcher.Agent, error) {
	var leader *launcher.Agent
	latest := ""
	for _, a := range t.ranks() {
		for line := range strings.SplitSeq(a.Process.Log(), "\n") {
			var taken struct{ Time string }
			if !strings.Contains(line, eventLeaseTaken) || json.Unmarshal([]byte(line), &taken) != nil {
				continue
			}
			if taken.Time > latest {
				leader, latest = a, taken.Time
			}
		}
	}
	if leader == nil {
		return nil, errors.New("no agent of the group has taken the lease")
	}
	return leader, nil
}

// freezeLeader pauses the holder of the group's lease until the lease has lapsed.
func (t *trial) freezeLeader(ctx context.Context) error {
	leader, err := t.leader()
	if err != nil {
		return err
	}
	t.victim = &leader.Node
	return t.freeze(ctx)
}
