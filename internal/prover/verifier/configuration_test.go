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

// adoptionTimeoutUnderFaults is the adoptionTimeout while the platform fails or after processes have restarted. It also
// bounds the wait for a crashed engine.
const adoptionTimeoutUnderFaults = 6 * time.Second

// revisions returns the configuration revision that each process reports for itself, by node name.
func (f *fixture) revisions() map[string]uint64 {
	out := map[string]uint64{}
	for _, e := range f.Entries {
		out[e.Name] = f.entryRevision(e)
	}
	for _, a := range f.Agents {
		out[a.Name] = f.agentRevision(a)
	}
	return out
}

func (f *fixture) entryRevision(e *launcher.Entry) uint64 {
	raw, err := f.CallOperatorAPIAt(f.ctx, e, http.MethodGet, "/api/v1/status", nil)
	require.NoError(f.t, err)
	var status struct{ Revision uint64 }
	require.NoError(f.t, json.Unmarshal(raw, &status))
	return status.Revision
}

func (f *fixture) agentRevision(a *launcher.Agent) uint64 {
	response, err := http.Get("http://" + a.MetricsAddress + "/debug/vars")
	require.NoError(f.t, err)
	defer response.Body.Close()
	var vars struct {
		Currantledge struct{ ConfigRevision uint64 }
	}
	require.NoError(f.t, json.NewDecoder(response.Body).Decode(&vars))
	return vars.Currantledge.ConfigRevision
}

// awaitRevision waits until every process has adopted at least the wanted revision, and checks that the revision of no
// process decreases meanwhile.
func (f *fixture) awaitRevision(want uint64, within time.Duration) {
	f.t.Helper()
	last := f.revisions()
	require.Eventually(f.t, func() bool {
		now := f.revisions()
		done := true
		for node, revision := range now {
			require.GreaterOrEqual(f.t, revision, last[node], "revision of %s decreased", node)
			done = done && revision >= want
		}
		last = now
		return done
	}, within, 20*time.Millisecond, "not every process has adopted revision %d: %v", want, last)
}

func (f *fixture) setCustomerShare(e *launcher.Entry, share float64) {
	f.t.Helper()
	c := f.Plan.Customers[0]
	raw, err := json.Marshal(launcher.Customer{
		Name: c.Name, Share: share, KeyDigests: []string{launcher.KeyDigest(c.Key)}, MaxWaiting: c.MaxWaiting,
	})
	require.NoError(f.t, err)
	_, err = f.CallOperatorAPIAt(f.ctx, e, http.MethodPut, "/api/v1/customers/"+c.Name, raw)
	require.NoError(f.t, err)
}

func (f *fixture) setPlatformFault(body string) {
	f.t.Helper()
	f.post(f.Platform.URL()+"/fault", body)
}

// Guards against an accepted change that some process adopts late or never, because the platform fails right after it
// stored the change.
func TestChangeSpreadsWithoutPlatform(t *testing.T) {
	t.Parallel()
	f := newFixture(t, smallPlan())
	before := f.entryRevision(f.Entries[0])
	f.setCustomerShare(f.Entries[0], 5)
	f.setPlatformFault(`{"outage":"refuse"}`)
	f.awaitRevision(before+1, adoptionTimeoutUnderFaults)
	// A restarted process gets the configuration from its peers.
	f.Entries[1].Process.Kill()
	require.NoError(t, f.Restart(f.ctx, &f.Entries[1].Process))
	f.Agents[0].Process.Kill()
	require.NoError(t, f.Restart(f.ctx, &f.Agents[0].Process))
	f.awaitRevision(before+1, adoptionTimeoutUnderFaults)
	f.sendModelRequests(12, 8, 5*time.Millisecond)
	summary := f.checkGuarantees()
	require.Equal(t, 12, summary.Complete, summary)
}

// Guards against a process that reverts to an older configuration after a stale read from the platform.
func TestStaleReadsNeverRevert(t *testing.T) {
	t.Parallel()
	f := newFixture(t, smallPlan())
	f.setPlatformFault(`{"staleMillis":2000,"staleProbability":0.5}`)
	before := f.entryRevision(f.Entries[0])
	for i := range 10 {
		f.setCustomerShare(f.Entries[i%3], float64(i+1))
	}
	f.awaitRevision(before+10, adoptionTimeoutUnderFaults)
}

// Guards against an entry that keeps an old configuration after a network partition has ended, and against a status
// that does not list a partitioned entry as unreachable.
func TestPartitionedEntryCatchesUp(t *testing.T) {
	t.Parallel()
	plan := smallPlan()
	plan.Interpose = func(l launcher.Link) bool {
		return l.Kind == launcher.LinkToEntry || l.Kind == launcher.LinkToAgent || l == launcher.Link{Kind: launcher.LinkToPlatform, Node: "entry-3"}
	}
	f := newFixture(t, plan)
	partitioned := f.Entries[2]
	f.setNetworkFaults(partitioned, interposer.Cut())
	time.Sleep(time.Second)
	before := f.entryRevision(f.Entries[0])
	f.setCustomerShare(f.Entries[0], 5)
	require.Eventually(t, func() bool { return f.isReportedUnreachable(partitioned.Name) }, 10*time.Second, 100*time.Millisecond)
	require.Equal(t, before, f.entryRevision(partitioned))
	f.setNetworkFaults(partitioned, interposer.Faults{})
	f.awaitRevision(before+1, adoptionTimeout)
}

// setNetworkFaults sets the faults between an entry and all other processes.
func (f *fixture) setNetworkFaults(e *launcher.Entry, faults interposer.Faults) {
	f.Proxy(launcher.Link{Kind: launcher.LinkToEntry, Node: e.Name}).Set(faults)
	f.Proxy(launcher.Link{Kind: launcher.LinkToPlatform, Node: e.Name}).Set(faults)
	for _, other := range f.Entries {
		if other != e {
			f.setFaultsFrom(e, launcher.Link{Kind: launcher.LinkToEntry, Node: other.Name}, faults)
		}
	}
	for _, a := range f.Agents {
		f.setFaultsFrom(e, launcher.Link{Kind: launcher.LinkToAgent, Node: a.Name}, faults)
	}
}

// setFaultsFrom sets the faults of the traffic from an entry to the target of a link.
func (f *fixture) setFaultsFrom(e *launcher.Entry, to launcher.Link, faults interposer.Faults) {
	host, err := netip.ParseAddrPort(e.FleetAddress)
	require.NoError(f.t, err)
	f.Proxy(to).SetSource(host.Addr(), faults)
}

func (f *fixture) isReportedUnreachable(node string) bool {
	raw, err := f.CallOperatorAPIAt(f.ctx, f.Entries[0], http.MethodGet, "/api/v1/status", nil)
	require.NoError(f.t, err)
	var status struct{ Unreachable []string }
	require.NoError(f.t, json.Unmarshal(raw, &status))
	return slices.Contains(status.Unreachable, node)
}

func (f *fixture) post(url, body string) {
	f.t.Helper()
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	require.NoError(f.t, err)
	defer response.Body.Close()
	require.Less(f.t, response.StatusCode, 300)
}
