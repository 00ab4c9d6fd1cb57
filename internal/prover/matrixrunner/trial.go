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
	leadPeriod = 400 * time.Millisecond
	// healPeriod is the time after the end of the fault in which new requests must complete again.
	healPeriod  = 10 * time.Second
	probePause  = 200 * time.Millisecond
	probeTokens = 8
	stopPeriod  = 30 * time.Second
	startPeriod = 15 * time.Second
)

// change is a configuration change that was accepted.
type change struct {
	revision uint64
	at       time.Time
	match    string
}

// closure is a time in which an agent may get no new work.
type closure struct {
	agent    *launcher.Agent
	from, to time.Time
}

// trial is one run of a cell on a site.
type trial struct {
	*site
	cell   Cell
	random *rand.Rand
	load   *load
	// entry, agent and runner are an entry, a rank and a service runner of the failure domain that the step is about.
	entry  *launcher.Entry
	agent  *launcher.Agent
	runner *launcher.Agent
	// victim is the node that the step depends on, which faults of processes and links hit.
	victim *launcher.Node
	// finish ends what the step began, after the fault has healed.
	finish func(ctx context.Context) error
	// planned tells that a planned stop is part of the step.
	planned bool
	work    sync.WaitGroup

	mu       sync.Mutex
	problems []string
	changes  []change
	closures []closure
	// healed holds when nodes that were cut off, frozen or ended could be reached again.
	healed map[string]time.Time
	// restarted holds the nodes whose process was replaced.
	restarted map[string]bool
	// broken holds the entries whose process was ended by the fault.
	broken map[string]bool
	// longest is the longest time that a caller waited for its whole answer.
	longest time.Duration
	// crashes counts the falls of upstreams that the fault itself causes.
	crashes int
}

func newTrial(s *site, cell Cell, seed uint64) *trial {
	t := &trial{
		site:      s,
		cell:      cell,
		random:    newRandom(seed, cell.String()),
		entry:     s.Entries[1],
		agent:     s.Agents[1],
		runner:    s.Agents[s.Plan.Groups[0].Ranks+1],
		finish:    func(context.Context) error { return nil },
		healed:    map[string]time.Time{},
		broken:    map[string]bool{},
		restarted: map[string]bool{},
	}
	t.victim = &t.agent.Node
	return t
}

// run brings the deployment to the step, injects the faults, heals them and returns what was wrong.
func (t *trial) run(ctx context.Context) []string {
	t.load = t.startLoad(ctx, t.random)
	err := t.follow(ctx)
	if err != nil {
		t.fail("%v", err)
	}
	t.work.Wait()
	t.load.end()
	if err == nil {
		t.check(ctx)
	}
	return t.problems
}

func (t *trial) follow(ctx context.Context) error {
	waiter.For(ctx, leadPeriod)
	if err := t.reach(ctx); err != nil {
		return errors.Wrapf(err, "reach the step %s", t.cell.Step)
	}
	if err := t.inject(ctx); err != nil {
		return err
	}
	if err := t.finish(ctx); err != nil {
		return errors.Wrapf(err, "finish the step %s", t.cell.Step)
	}
	t.work.Wait()
	if err := ctx.Err(); err != nil {
		return errors.Wrap(err, "the matrix was interrupted")
	}
	t.probe(ctx)
	return nil
}

func (t *trial) fail(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.problems = append(t.problems, fmt.Sprintf(format, args...))
}

// probe sends requests of all kinds to every entry until all of one round complete.
func (t *trial) probe(ctx context.Context) {
	deadline := time.Now().Add(healPeriod)
	for {
		failed := t.probeRound(ctx)
		if failed == "" {
			return
		}
		if time.Now().After(deadline) || !waiter.For(ctx, probePause) {
			t.fail("new requests do not complete %v after the fault: %s", healPeriod, failed)
			return
		}
	}
}

// probeRound returns what did not complete.
func (t *trial) probeRound(ctx context.Context) string {
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
		question, reservation, lookUp := t.question(probeTokens), t.reservation(), t.lookUp()
		round.Go(func() { check(t.ask(ctx, url, question), "stream") })
		round.Go(func() { check(t.call(ctx, url, reservation), "reservation") })
		round.Go(func() { check(t.call(ctx, url, lookUp), "look-up") })
	}
	round.Wait()
	return failed
}

// pid returns the process id of a node, or 0 while the process is being replaced.
func (s *site) pid(n *launcher.Node) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replacing[n.Name] {
		return 0
	}
	return n.Process.PID()
}

// restart starts a node again whose process has ended.
func (t *trial) restart(ctx context.Context, n *launcher.Node) error {
	process := n.Process
	if process.Running() {
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, startPeriod)
	defer cancel()
	t.site.mu.Lock()
	t.replacing[n.Name] = true
	t.site.mu.Unlock()
	if err := t.Restart(limited, &process); err != nil {
		return err
	}
	t.site.mu.Lock()
	defer t.site.mu.Unlock()
	delete(t.replacing, n.Name)
	n.Process = process
	t.restarted[n.Name] = true
	return nil
}

// stopped waits for the end of a process that was asked to stop.
func (t *trial) stopped(ctx context.Context, n *launcher.Node) error {
	limited, cancel := context.WithTimeout(ctx, stopPeriod)
	defer cancel()
	return n.Process.Wait(limited)
}

// put writes a resource through an entry and notes an accepted change. It returns whether the change was accepted.
func (t *trial) put(ctx context.Context, e *launcher.Entry, kind, name string, resource any, match string) (bool, error) {
	revision, err := t.ApplyAt(ctx, e, kind, name, resource, match)
	if err != nil {
		return false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes = append(t.changes, change{revision: revision, at: time.Now(), match: match})
	return true, nil
}

// changeCustomer sets the share of a customer to another value.
func (t *trial) changeCustomer(ctx context.Context, e *launcher.Entry, match string) (bool, error) {
	c := t.Plan.Customers[0]
	return t.put(ctx, e, "customers", c.Name, launcher.Customer{
		Name: c.Name, Share: float64(t.number.Add(1)), KeyDigests: []string{launcher.KeyDigest(c.Key)}, MaxWaiting: c.MaxWaiting,
	}, match)
}

func (t *trial) setDomain(ctx context.Context, name, state string) error {
	_, err := t.put(ctx, t.Entries[0], "failureDomains", name, launcher.FailureDomain{
		Name: name, Region: t.Plan.Region, State: state,
	}, "")
	return err
}

func (t *trial) setUpstream(ctx context.Context, a *launcher.Agent, state string) error {
	a.Upstream.State = state
	_, err := t.put(ctx, t.Entries[0], "upstreams", a.Upstream.Name, a.Upstream, "")
	return err
}

// closeAgents notes that agents may get no new work from now on and returns a function that notes the end of that.
func (t *trial) closeAgents(agents ...*launcher.Agent) func() {
	from := time.Now()
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, a := range agents {
			t.closures = append(t.closures, closure{agent: a, from: from, to: time.Now()})
		}
	}
}
