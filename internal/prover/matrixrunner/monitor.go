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
	monitorInterval = 100 * time.Millisecond
	monitorPeriod   = 500 * time.Millisecond
)

// sample is the revision that a process reported to a poll.
type sample struct {
	node     string
	pid      int
	asked    time.Time
	revision uint64
}

// monitor polls the revision of every process.
type monitor struct {
	site   *site
	client *http.Client

	mu      sync.Mutex
	samples []sample
	last    map[string]sample
	falls   []string
}

func newMonitor(s *site) *monitor {
	return &monitor{
		site:   s,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		last:   map[string]sample{},
	}
}

func (m *monitor) run(ctx context.Context) {
	var polls sync.WaitGroup
	defer polls.Wait()
	for _, e := range m.site.Entries {
		polls.Go(func() {
			m.poll(ctx, &e.Node, func(ctx context.Context) (uint64, error) { return m.entryRevision(ctx, e) })
		})
	}
	for _, a := range m.site.Agents {
		polls.Go(func() {
			m.poll(ctx, &a.Node, func(ctx context.Context) (uint64, error) { return m.agentRevision(ctx, a) })
		})
	}
}

func (m *monitor) poll(ctx context.Context, n *launcher.Node, ask func(context.Context) (uint64, error)) {
	for waiter.For(ctx, monitorInterval) {
		limited, cancel := context.WithTimeout(ctx, monitorPeriod)
		pid := m.site.pid(n)
		asked := time.Now()
		revision, err := ask(limited)
		cancel()
		// A process that was replaced during the poll may be either one.
		if err == nil && pid != 0 && pid == m.site.pid(n) {
			m.add(sample{node: n.Name, pid: pid, asked: asked, revision: revision})
		}
	}
}

func (m *monitor) add(s sample) {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.last[s.node]
	if last.pid == s.pid && s.revision < last.revision {
		m.falls = append(m.falls, fmt.Sprintf("the revision of %s fell from %d to %d", s.node, last.revision, s.revision))
	}
	m.last[s.node] = s
	m.samples = append(m.samples, s)
}

// reached tells whether a process has reported at least a revision, and whether it reported less to a poll after a
// deadline.
func (m *monitor) reached(node string, pid int, revision uint64, deadline time.Time) (reached, late bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.samples {
		if s.node != node || s.pid != pid {
			continue
		}
		if s.revision >= revision {
			reached = true
		} else if s.asked.After(deadline) {
			late = true
		}
	}
	return reached, late
}

func (m *monitor) fallen() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.falls...)
}

func (m *monitor) entryRevision(ctx context.Context, e *launcher.Entry) (uint64, error) {
	raw, err := m.site.CallOperatorAPIAt(ctx, e, http.MethodGet, "/api/v1/status", nil)
	if err != nil {
		return 0, err
	}
	var status struct{ Revision uint64 }
	err = json.Unmarshal(raw, &status)
	return status.Revision, errors.Wrap(err, "read the status")
}

func (m *monitor) agentRevision(ctx context.Context, a *launcher.Agent) (uint64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.MetricsAddress+"/debug/vars", http.NoBody)
	if err != nil {
		return 0, errors.Wrap(err, "ask for the metrics")
	}
	response, err := m.client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "ask for the metrics")
	}
	defer response.Body.Close()
	var vars struct {
		Currantledge struct{ ConfigRevision uint64 }
	}
	err = json.NewDecoder(response.Body).Decode(&vars)
	return vars.Currantledge.ConfigRevision, errors.Wrap(err, "read the metrics")
}
