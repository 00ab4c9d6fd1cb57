package matrixrunner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/recorder"
)

const (
	// loadLeadTime is the time for which the load runs before the step begins.
	loadLeadTime = 400 * time.Millisecond
	// recoveryTimeout is the longest time after the end of the fault until new requests complete again.
	recoveryTimeout = 10 * time.Second
	probeInterval   = 200 * time.Millisecond
	probeTokens     = 8
	stopTimeout     = 30 * time.Second
	startTimeout    = 15 * time.Second
)

// change is an accepted configuration change.
type change struct {
	revision uint64
	at       time.Time
	// etag is the ETag that the resource had to have, or empty.
	etag string
}

// exclusion is a period in which an agent must receive no new work, from exclusionDelay after its start on.
type exclusion struct {
	agent    *launcher.Agent
	from, to time.Time
}

// cellTest runs one cell on a testbed.
type cellTest struct {
	*testbed
	cell   Cell
	random *rand.Rand
	load   *load
	// entry, agent and runner are an entry, the agent of a rank and the agent of a service runner. All three belong to the
	// failure domain that the step concerns. Steps that wait for a call or a log line replace agent by the one that they
	// found.
	entry  *launcher.Entry
	agent  *launcher.Agent
	runner *launcher.Agent
	// victim is the node that the step depends on. Faults of processes and links hit this node.
	victim *launcher.Node
	// finish completes the step after the faults have been removed.
	finish func(ctx context.Context) error
	// plannedStop is set if the step gracefully stops nodes or takes upstreams out of service.
	plannedStop bool
	// stepWork tracks the requests and changes that the step and the faults started.
	stepWork sync.WaitGroup

	mu         sync.Mutex
	problems   []string
	changes    []change
	exclusions []exclusion
	// reachableSince holds the time at which a node that was cut off, frozen or killed became reachable again, by node
	// name.
	reachableSince map[string]time.Time
	// restarted holds the names of the nodes whose process was restarted.
	restarted map[string]bool
	// killedEntries holds the base URLs of the entries whose process the fault killed.
	killedEntries map[string]bool
	// longestResponse is the longest time that a caller waited for the end of a response.
	longestResponse time.Duration
	// allowedCrashes is the number of crashes of upstreams that the fault itself causes.
	allowedCrashes int
}

func newCellTest(b *testbed, cell Cell, seed uint64) *cellTest {
	t := &cellTest{
		testbed:        b,
		cell:           cell,
		random:         newRandom(seed, cell.String()),
		entry:          b.Entries[1],
		agent:          b.Agents[1],
		runner:         b.Agents[b.Plan.Groups[0].Ranks+1],
		finish:         func(context.Context) error { return nil },
		reachableSince: map[string]time.Time{},
		killedEntries:  map[string]bool{},
		restarted:      map[string]bool{},
	}
	t.victim = &t.agent.Node
	return t
}

// run runs the cell under load and returns the problems found.
func (t *cellTest) run(ctx context.Context) []string {
	t.load = t.startLoad(ctx, t.random)
	err := t.execute(ctx)
	if err != nil {
		t.fail("%v", err)
	}
	t.stepWork.Wait()
	t.load.stop()
	if err == nil {
		t.check(ctx)
	}
	return t.problems
}

// execute brings the deployment to the step, injects the faults, completes the step, and checks that new requests
// complete.
func (t *cellTest) execute(ctx context.Context) error {
	waiter.For(ctx, loadLeadTime)
	if err := t.reach(ctx); err != nil {
		return errors.Wrapf(err, "reach the step %s", t.cell.Step)
	}
	if err := t.inject(ctx); err != nil {
		return err
	}
	if err := t.finish(ctx); err != nil {
		return errors.Wrapf(err, "finish the step %s", t.cell.Step)
	}
	t.stepWork.Wait()
	if err := ctx.Err(); err != nil {
		return errors.Wrap(err, "the matrix was interrupted")
	}
	t.probe(ctx)
	return nil
}

// fail adds a problem, which makes the cell fail.
func (t *cellTest) fail(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.problems = append(t.problems, fmt.Sprintf(format, args...))
}

// probe sends rounds of requests of all kinds to every entry until all requests of one round complete. The cell fails if
// that takes longer than recoveryTimeout.
func (t *cellTest) probe(ctx context.Context) {
	deadline := time.Now().Add(recoveryTimeout)
	for {
		failed := t.probeRound(ctx)
		if failed == "" {
			return
		}
		if time.Now().After(deadline) || !waiter.For(ctx, probeInterval) {
			t.fail("new requests do not complete %v after the fault: %s", recoveryTimeout, failed)
			return
		}
	}
}

// probeRound returns a description of a request that did not complete, or an empty string.
func (t *cellTest) probeRound(ctx context.Context) string {
	var round sync.WaitGroup
	var mu sync.Mutex
	failed := ""
	check := func(e *recorder.Exchange, kind string) {
		mu.Lock()
		defer mu.Unlock()
		if e.Status != http.StatusOK || e.Err != nil {
			failed = fmt.Sprintf("%s at %s: status %d, %v, %.200s", kind, e.EntryURL, e.Status, e.Err, e.Body)
		}
	}
	for _, entry := range t.Entries {
		url := entry.CallerURL()
		stream, keyed, idempotent := t.newModelRequest(probeTokens), t.newKeyedCall(), t.newIdempotentCall()
		round.Go(func() { check(t.sendModelRequest(ctx, url, stream), "stream") })
		round.Go(func() { check(t.sendServiceCall(ctx, url, keyed), "keyed call") })
		round.Go(func() { check(t.sendServiceCall(ctx, url, idempotent), "idempotent call") })
	}
	round.Wait()
	return failed
}

// pid returns the process id of a node, or 0 while the node is being restarted.
func (b *testbed) pid(n *launcher.Node) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.restarting[n.Name] {
		return 0
	}
	return n.Process.PID()
}

// restart restarts a node whose process has ended. It does nothing if the process runs.
func (t *cellTest) restart(ctx context.Context, n *launcher.Node) error {
	process := n.Process
	if process.Running() {
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	t.testbed.mu.Lock()
	t.restarting[n.Name] = true
	t.testbed.mu.Unlock()
	if err := t.Restart(limited, &process); err != nil {
		return err
	}
	t.testbed.mu.Lock()
	defer t.testbed.mu.Unlock()
	delete(t.restarting, n.Name)
	n.Process = process
	t.restarted[n.Name] = true
	return nil
}

// awaitExit waits until a process that received a signal to stop has ended.
func (t *cellTest) awaitExit(ctx context.Context, n *launcher.Node) error {
	limited, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return n.Process.Wait(limited)
}

// put writes a resource through an entry and records the change if it was accepted. It reports whether it was accepted.
func (t *cellTest) put(ctx context.Context, e *launcher.Entry, kind, name string, resource any, etag string) (bool, error) {
	revision, err := t.ApplyAt(ctx, e, kind, name, resource, etag)
	if err != nil {
		return false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes = append(t.changes, change{revision: revision, at: time.Now(), etag: etag})
	return true, nil
}

// changeCustomer sets the share of a customer to a new value. Unless etag is empty, the change is accepted only if the
// customer has that ETag.
func (t *cellTest) changeCustomer(ctx context.Context, e *launcher.Entry, etag string) (bool, error) {
	c := t.Plan.Customers[0]
	return t.put(ctx, e, "customers", c.Name, launcher.Customer{
		Name: c.Name, Share: float64(t.number.Add(1)), KeyDigests: []string{launcher.KeyDigest(c.Key)}, MaxWaiting: c.MaxWaiting,
	}, etag)
}

func (t *cellTest) setDomainState(ctx context.Context, name, state string) error {
	_, err := t.put(ctx, t.Entries[0], "failureDomains", name, launcher.FailureDomain{
		Name: name, Region: t.Plan.Region, State: state,
	}, "")
	return err
}

func (t *cellTest) setUpstreamState(ctx context.Context, a *launcher.Agent, state string) error {
	a.Upstream.State = state
	_, err := t.put(ctx, t.Entries[0], "upstreams", a.Upstream.Name, a.Upstream, "")
	return err
}

// excludeAgents begins an exclusion of agents and returns a function that ends and records it.
func (t *cellTest) excludeAgents(agents ...*launcher.Agent) func() {
	from := time.Now()
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, a := range agents {
			t.exclusions = append(t.exclusions, exclusion{agent: a, from: from, to: time.Now()})
		}
	}
}
