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
	// Substrings of lines in an agent's log, which show the state of its group.
	eventLeaseAcquired    = `"event":600`
	eventMapDecided       = `"event":603`
	eventPlacementPlanned = `"event":604`
	// plannedMapField is only in lines about planned maps, not in those that give the reason why no map was planned.
	plannedMapField = `"bytes":`

	mapTimeout      = 40 * time.Second
	mapPollInterval = 20 * time.Millisecond
	// decisionDelay is the time by which the platform delays the decision. It is longer than the lag of the engines'
	// reports.
	decisionDelay = 800 * time.Millisecond
	reportTimeout = time.Second
)

func (t *cellTest) rankAgents() []*launcher.Agent {
	return t.Agents[:t.Plan.Groups[0].Ranks]
}

// countLines counts the lines in the log of an agent that contain all substrings.
func countLines(a *launcher.Agent, substrings ...string) int {
	count := 0
	for line := range strings.SplitSeq(a.Process.Log(), "\n") {
		matches := true
		for _, substring := range substrings {
			matches = matches && strings.Contains(line, substring)
		}
		if matches {
			count++
		}
	}
	return count
}

// awaitLogEvent waits until the log of a rank's agent has a new line with all substrings. That agent becomes the
// victim.
func (t *cellTest) awaitLogEvent(ctx context.Context, substrings ...string) error {
	before := map[*launcher.Agent]int{}
	for _, a := range t.rankAgents() {
		before[a] = countLines(a, substrings...)
	}
	deadline := time.Now().Add(mapTimeout)
	for time.Now().Before(deadline) && waiter.For(ctx, mapPollInterval) {
		for _, a := range t.rankAgents() {
			if countLines(a, substrings...) > before[a] {
				t.agent = a
				t.victim = &a.Node
				return nil
			}
		}
	}
	return errors.Newf("no agent of the group logged %v within %v", substrings, mapTimeout)
}

func (t *cellTest) reachMapPrepare(ctx context.Context) error {
	return t.awaitLogEvent(ctx, eventPlacementPlanned, plannedMapField)
}

// reachMapDecision delays the decision about a planned map at the platform and waits until all ranks have prepared the
// map.
func (t *cellTest) reachMapDecision(ctx context.Context) error {
	if err := t.reachMapPrepare(ctx); err != nil {
		return err
	}
	if err := t.setPlatformFault(ctx, platformFault{DelayMillis: decisionDelay.Milliseconds()}); err != nil {
		return err
	}
	deadline := time.Now().Add(mapTimeout)
	for time.Now().Before(deadline) && waiter.For(ctx, mapPollInterval) {
		prepared := 0
		for _, a := range t.rankAgents() {
			if isPrepared(ctx, a) {
				prepared++
			}
		}
		if prepared == len(t.rankAgents()) {
			return nil
		}
	}
	return errors.Newf("not all ranks prepared the planned map within %v", mapTimeout)
}

// isPrepared reports whether the rank of an agent has prepared a newer map than the one that it uses.
func isPrepared(ctx context.Context, a *launcher.Agent) bool {
	limited, cancel := context.WithTimeout(ctx, reportTimeout)
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

func (t *cellTest) reachMapSwitch(ctx context.Context) error {
	return t.awaitLogEvent(ctx, eventMapDecided)
}

// leader returns the agent that acquired the lease of the group last.
func (t *cellTest) leader() (*launcher.Agent, error) {
	var leader *launcher.Agent
	latest := ""
	for _, a := range t.rankAgents() {
		for line := range strings.SplitSeq(a.Process.Log(), "\n") {
			var event struct{ Time string }
			if !strings.Contains(line, eventLeaseAcquired) || json.Unmarshal([]byte(line), &event) != nil {
				continue
			}
			if event.Time > latest {
				leader, latest = a, event.Time
			}
		}
	}
	if leader == nil {
		return nil, errors.New("no agent of the group has acquired the lease")
	}
	return leader, nil
}

// freezeLeader freezes the holder of the group's lease until the lease has expired.
func (t *cellTest) freezeLeader(ctx context.Context) error {
	leader, err := t.leader()
	if err != nil {
		return err
	}
	t.victim = &leader.Node
	return t.freeze(ctx)
}
