package verifier_test

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/interposer"
	"currantledge.example/currantledge/internal/prover/launcher"
)

// everywhere is the time after which an accepted configuration must be in force at every reachable process.
const everywhere = 6 * time.Second

// revisions returns the configuration revision that each process reports by itself.
func (s *site) revisions() map[string]uint64 {
	out := map[string]uint64{}
	for _, e := range s.Entries {
		out[e.Name] = s.entryRevision(e)
	}
	for _, a := range s.Agents {
		out[a.Name] = s.agentRevision(a)
	}
	return out
}

func (s *site) entryRevision(e *launcher.Entry) uint64 {
	raw, err := s.OperateAt(s.ctx, e, http.MethodGet, "/api/v1/status", nil)
	require.NoError(s.t, err)
	var status struct{ Revision uint64 }
	require.NoError(s.t, json.Unmarshal(raw, &status))
	return status.Revision
}

func (s *site) agentRevision(a *launcher.Agent) uint64 {
	response, err := http.Get("http://" + a.Metrics + "/debug/vars")
	require.NoError(s.t, err)
	defer response.Body.Close()
	var vars struct {
		Currantledge struct{ ConfigRevision uint64 }
	}
	require.NoError(s.t, json.NewDecoder(response.Body).Decode(&vars))
	return vars.Currantledge.ConfigRevision
}

// awaitRevision waits until every process has a revision and checks that none falls back meanwhile.
func (s *site) awaitRevision(want uint64, within time.Duration) {
	s.t.Helper()
	last := s.revisions()
	require.Eventually(s.t, func() bool {
		now := s.revisions()
		done := true
		for node, revision := range now {
			require.GreaterOrEqual(s.t, revision, last[node], "revision of %s fell", node)
			done = done && revision >= want
		}
		last = now
		return done
	}, within, 20*time.Millisecond, "revision %d is not everywhere: %v", want, last)
}

func (s *site) changeCustomer(e *launcher.Entry, share float64) {
	s.t.Helper()
	c := s.Plan.Customers[0]
	raw, err := json.Marshal(launcher.Customer{
		Name: c.Name, Share: share, KeyDigests: []string{launcher.KeyDigest(c.Key)}, MaxWaiting: c.MaxWaiting,
	})
	require.NoError(s.t, err)
	_, err = s.OperateAt(s.ctx, e, http.MethodPut, "/api/v1/customers/"+c.Name, raw)
	require.NoError(s.t, err)
}

func (s *site) platformFault(body string) {
	s.t.Helper()
	s.post(s.Platform.URL()+"/fault", body)
}

// Guards against a change that is accepted and then lost or late at some process, when the platform fails right after
// it accepted the change.
func TestChangeSpreadsWithoutPlatform(t *testing.T) {
	t.Parallel()
	s := newSite(t, smallPlan())
	before := s.entryRevision(s.Entries[0])
	s.changeCustomer(s.Entries[0], 5)
	s.platformFault(`{"outage":"refuse"}`)
	s.awaitRevision(before+1, everywhere)
	// A restarted process starts from its peers.
	s.Entries[1].Process.Kill()
	require.NoError(t, s.Restart(s.ctx, &s.Entries[1].Process))
	s.Agents[0].Process.Kill()
	require.NoError(t, s.Restart(s.ctx, &s.Agents[0].Process))
	s.awaitRevision(before+1, everywhere)
	s.ask(12, 8, 5*time.Millisecond)
	summary := s.verdicts()
	require.Equal(t, 12, summary.Complete, summary)
}

// Guards against a process that falls back to an older configuration on a stale read.
func TestStaleReadsNeverRevert(t *testing.T) {
	t.Parallel()
	s := newSite(t, smallPlan())
	s.platformFault(`{"staleMillis":2000,"staleProbability":0.5}`)
	before := s.entryRevision(s.Entries[0])
	for i := range 10 {
		s.changeCustomer(s.Entries[i%3], float64(i+1))
	}
	s.awaitRevision(before+10, everywhere)
}

// Guards against a process that keeps an old configuration after it was cut off, and against a cut that status hides.
func TestCutOffEntryCatchesUp(t *testing.T) {
	t.Parallel()
	plan := smallPlan()
	plan.Interpose = func(l launcher.Link) bool {
		return l.Kind == launcher.LinkToEntry || l.Kind == launcher.LinkToAgent || l == launcher.Link{Kind: launcher.LinkToPlatform, Node: "entry-3"}
	}
	s := newSite(t, plan)
	cut := s.Entries[2]
	s.setCut(cut, interposer.Cut())
	time.Sleep(time.Second)
	before := s.entryRevision(s.Entries[0])
	s.changeCustomer(s.Entries[0], 5)
	require.Eventually(t, func() bool { return s.reportedUnreachable(cut.Name) }, 10*time.Second, 100*time.Millisecond)
	require.Equal(t, before, s.entryRevision(cut))
	s.setCut(cut, interposer.Faults{})
	s.awaitRevision(before+1, spread)
}

// setCut sets faults between an entry and everything else.
func (s *site) setCut(e *launcher.Entry, f interposer.Faults) {
	s.Proxy(launcher.Link{Kind: launcher.LinkToEntry, Node: e.Name}).Set(f)
	s.Proxy(launcher.Link{Kind: launcher.LinkToPlatform, Node: e.Name}).Set(f)
	for _, other := range s.Entries {
		if other != e {
			s.fromNode(e, launcher.Link{Kind: launcher.LinkToEntry, Node: other.Name}, f)
		}
	}
	for _, a := range s.Agents {
		s.fromNode(e, launcher.Link{Kind: launcher.LinkToAgent, Node: a.Name}, f)
	}
}

// fromNode sets faults for what a node sends to one address.
func (s *site) fromNode(e *launcher.Entry, to launcher.Link, f interposer.Faults) {
	host, err := netip.ParseAddrPort(e.Fleet)
	require.NoError(s.t, err)
	s.Proxy(to).SetSource(host.Addr(), f)
}

func (s *site) reportedUnreachable(node string) bool {
	raw, err := s.OperateAt(s.ctx, s.Entries[0], http.MethodGet, "/api/v1/status", nil)
	require.NoError(s.t, err)
	var status struct{ Unreachable []string }
	require.NoError(s.t, json.Unmarshal(raw, &status))
	return slices.Contains(status.Unreachable, node)
}

func (s *site) post(url, body string) {
	s.t.Helper()
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	require.NoError(s.t, err)
	defer response.Body.Close()
	require.Less(s.t, response.StatusCode, 300)
}
