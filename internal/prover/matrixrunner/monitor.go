package matrixrunner

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/prover/launcher"
)

const (
	pollInterval = 100 * time.Millisecond
	pollTimeout  = 500 * time.Millisecond
)

// sample is the revision that a process returned to a poll.
type sample struct {
	node     string
	pid      int
	polledAt time.Time
	revision uint64
}

// monitor polls the configuration revision of every process and records decreases.
type monitor struct {
	testbed *testbed
	client  *http.Client

	mu      sync.Mutex
	samples []sample
	// last holds the latest sample by node name.
	last      map[string]sample
	regressed []string
}

func newMonitor(b *testbed) *monitor {
	return &monitor{
		testbed: b,
		client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		last:    map[string]sample{},
	}
}

func (m *monitor) run(ctx context.Context) {
	var polls sync.WaitGroup
	defer polls.Wait()
	for _, e := range m.testbed.Entries {
		polls.Go(func() {
			m.poll(ctx, &e.Node, func(ctx context.Context) (uint64, error) { return m.entryRevision(ctx, e) })
		})
	}
	for _, a := range m.testbed.Agents {
		polls.Go(func() {
			m.poll(ctx, &a.Node, func(ctx context.Context) (uint64, error) { return m.agentRevision(ctx, a) })
		})
	}
}

func (m *monitor) poll(ctx context.Context, n *launcher.Node, query func(context.Context) (uint64, error)) {
	for waiter.For(ctx, pollInterval) {
		limited, cancel := context.WithTimeout(ctx, pollTimeout)
		pid := m.testbed.pid(n)
		polledAt := time.Now()
		revision, err := query(limited)
		cancel()
		// If the process was restarted during the poll, it is unknown which of the two processes responded.
		if err == nil && pid != 0 && pid == m.testbed.pid(n) {
			m.add(sample{node: n.Name, pid: pid, polledAt: polledAt, revision: revision})
		}
	}
}

func (m *monitor) add(s sample) {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.last[s.node]
	if last.pid == s.pid && s.revision < last.revision {
		m.regressed = append(m.regressed, fmt.Sprintf("the revision of %s fell from %d to %d", s.node, last.revision, s.revision))
	}
	m.last[s.node] = s
	m.samples = append(m.samples, s)
}

// reached reports whether a process has returned a revision or a later one, and whether it returned an earlier one to a
// poll after the deadline.
func (m *monitor) reached(node string, pid int, revision uint64, deadline time.Time) (reached, late bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.samples {
		if s.node != node || s.pid != pid {
			continue
		}
		if s.revision >= revision {
			reached = true
		} else if s.polledAt.After(deadline) {
			late = true
		}
	}
	return reached, late
}

// regressions returns a description of each decrease of a revision.
func (m *monitor) regressions() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.regressed...)
}

func (m *monitor) entryRevision(ctx context.Context, e *launcher.Entry) (uint64, error) {
	raw, err := m.testbed.CallOperatorAPIAt(ctx, e, http.MethodGet, "/api/v1/status", nil)
	if err != nil {
		return 0, err
	}
	var status struct{ Revision uint64 }
	err = json.Unmarshal(raw, &status)
	return status.Revision, errors.Wrap(err, "decode the status")
}

func (m *monitor) agentRevision(ctx context.Context, a *launcher.Agent) (uint64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.MetricsAddress+"/debug/vars", http.NoBody)
	if err != nil {
		return 0, errors.Wrap(err, "query the metrics")
	}
	response, err := m.client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "query the metrics")
	}
	defer response.Body.Close()
	var vars struct {
		Currantledge struct{ ConfigRevision uint64 }
	}
	err = json.NewDecoder(response.Body).Decode(&vars)
	return vars.Currantledge.ConfigRevision, errors.Wrap(err, "decode the metrics")
}
