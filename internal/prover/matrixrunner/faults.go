package matrixrunner

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/prover/interposer"
	"currantledge.example/currantledge/internal/prover/launcher"
)

const (
	// freezePeriod is longer than the lease of 5 s.
	freezePeriod = 6 * time.Second
	cutPeriod    = 4 * time.Second
	// killPeriod is the time until a killed process is started again.
	killPeriod = 1500 * time.Millisecond
	// changeDelay is the time from the start of the fault to a configuration change, which must reach all processes.
	changeDelay   = 500 * time.Millisecond
	faultPeriod   = 3 * time.Second
	outagePeriod  = 2 * time.Second
	slowPlatform  = 1200 * time.Millisecond
	staleAge      = 2 * time.Second
	listLag       = 3 * time.Second
	coldGrace     = 1500 * time.Millisecond
	coldBurst     = 24
	coldTokens    = 40
	stragglerSlow = 8
)

// platformFault is the set of faults in force at the platform.
type platformFault struct {
	Outage           string  `json:"outage,omitempty"`
	DelayMillis      int64   `json:"delayMillis,omitempty"`
	LoseAnswers      int     `json:"loseAnswers,omitempty"`
	LoseProbability  float64 `json:"loseProbability,omitempty"`
	StaleMillis      int64   `json:"staleMillis,omitempty"`
	StaleProbability float64 `json:"staleProbability,omitempty"`
	ListLagMillis    *int64  `json:"listLagMillis,omitempty"`
}

func (t *trial) platformFault(ctx context.Context, f platformFault) error {
	return t.Control(ctx, t.Platform, "/fault", f)
}

// inject injects all faults of the cell together and returns once they have healed.
func (t *trial) inject(ctx context.Context) error {
	results := make([]error, len(t.cell.Faults))
	var faults sync.WaitGroup
	t.work.Go(func() {
		waiter.For(ctx, changeDelay)
		// While the platform fails, the change may be refused.
		_, _ = t.changeCustomer(ctx, t.Entries[0], "")
	})
	for i, f := range t.cell.Faults {
		faults.Go(func() { results[i] = errors.Wrapf(t.injectOne(ctx, f), "inject %s", f) })
	}
	faults.Wait()
	for _, err := range results {
		if err != nil {
			return err
		}
	}
	return t.heal(ctx)
}

// heal ends the faults of links and of the platform, also those that a step needed.
func (t *trial) heal(ctx context.Context) error {
	for _, n := range t.Nodes() {
		for _, kind := range []launcher.LinkKind{launcher.LinkToEntry, launcher.LinkToAgent, launcher.LinkToPlatform} {
			if proxy := t.Proxy(launcher.Link{Kind: kind, Node: n.Name}); proxy != nil {
				proxy.Heal()
			}
		}
	}
	now := int64(0)
	return t.platformFault(ctx, platformFault{ListLagMillis: &now})
}

func (t *trial) injectOne(ctx context.Context, f Fault) error {
	switch f {
	case FaultKill:
		return t.kill(ctx)
	case FaultFreeze:
		return t.freeze(ctx)
	case FaultCut:
		return t.cut(ctx, interposer.Cut())
	case FaultOneWayCut:
		return t.cut(ctx, interposer.Faults{CutToTarget: true})
	case FaultSilence:
		return t.silence(ctx)
	case FaultDelay:
		return t.delay(ctx)
	case FaultPlatformDown:
		return t.takePlatformDown(ctx)
	case FaultPlatformSlow:
		return t.disturbPlatform(ctx, platformFault{DelayMillis: slowPlatform.Milliseconds()})
	case FaultAnswerLost:
		return t.disturbPlatform(ctx, platformFault{LoseAnswers: 4, LoseProbability: 0.3})
	case FaultStaleRead:
		return t.disturbPlatform(ctx, platformFault{StaleMillis: staleAge.Milliseconds(), StaleProbability: 0.5})
	case FaultOperatorsRacing:
		return t.race(ctx)
	case FaultColdUpstream:
		return t.cool(ctx)
	case FaultCrashingRequest:
		t.allowFalls(2)
		t.load.crash(ctx)
		waiter.For(ctx, faultPeriod)
		return nil
	case FaultVMListLag:
		return t.lagList(ctx)
	case FaultCacheEvents:
		// The engines of this row publish all events late and with gaps.
		waiter.For(ctx, outagePeriod)
		return nil
	case FaultStragglingRank:
		return t.slowDown(ctx)
	case FaultLeaseLapsed, FaultIgnoredFence:
		return t.freezeLeader(ctx)
	default:
		return errors.Newf("no way to inject %s", f)
	}
}

// reachable notes that a node can be reached again.
func (t *trial) reachable(n *launcher.Node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.healed[n.Name] = time.Now()
}

// kill ends the victim's process and starts it again. Before the first token it is the engine that dies.
func (t *trial) kill(ctx context.Context) error {
	if t.cell.Step == StepFirstToken {
		t.allowFalls(1)
		err := t.Control(ctx, t.agent.Standin, "/control", map[string]any{"crash": true})
		waiter.For(ctx, killPeriod)
		return err
	}
	t.breakEntry(t.victim)
	t.victim.Process.Kill()
	waiter.For(ctx, killPeriod)
	if err := t.restart(ctx, t.victim); err != nil {
		return err
	}
	t.reachable(t.victim)
	return nil
}

// allowFalls notes that the fault itself makes upstreams fall over.
func (t *trial) allowFalls(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashes += count
}

// breakEntry notes that callers of an entry see broken connections.
func (t *trial) breakEntry(n *launcher.Node) {
	for _, e := range t.Entries {
		if &e.Node == n {
			t.broken[e.CallerURL()] = true
		}
	}
}

func (t *trial) freeze(ctx context.Context) error {
	if err := t.victim.Process.Freeze(); err != nil {
		return err
	}
	waiter.For(ctx, freezePeriod)
	// A frozen process must not outlive an interrupted run.
	if err := t.victim.Process.Thaw(); err != nil {
		return err
	}
	t.reachable(t.victim)
	return nil
}

// cut sets faults between the victim and everything else, and heals them after a while.
func (t *trial) cut(ctx context.Context, f interposer.Faults) error {
	if err := t.setCut(t.victim, f); err != nil {
		return err
	}
	waiter.For(ctx, cutPeriod)
	if err := t.setCut(t.victim, interposer.Faults{}); err != nil {
		return err
	}
	t.reachable(t.victim)
	return nil
}

func (t *trial) setCut(n *launcher.Node, f interposer.Faults) error {
	host, err := netip.ParseAddrPort(n.FleetAddress)
	if err != nil {
		return errors.Wrapf(err, "address of %s", n.Name)
	}
	for _, other := range t.Nodes() {
		for _, kind := range []launcher.LinkKind{launcher.LinkToEntry, launcher.LinkToAgent} {
			proxy := t.Proxy(launcher.Link{Kind: kind, Node: other.Name})
			switch {
			case proxy == nil:
			case other == n:
				proxy.Set(f)
			default:
				proxy.SetSource(host.Addr(), f)
			}
		}
	}
	t.Proxy(launcher.Link{Kind: launcher.LinkToPlatform, Node: n.Name}).Set(f)
	return nil
}

// silence makes the connections of the victim that exist now silent forever.
func (t *trial) silence(ctx context.Context) error {
	for _, other := range t.Nodes() {
		for _, kind := range []launcher.LinkKind{launcher.LinkToEntry, launcher.LinkToAgent} {
			proxy := t.Proxy(launcher.Link{Kind: kind, Node: other.Name})
			// A proxy silences the flows of all its clients, so an entry as victim silences those of all entries.
			if proxy != nil && (other == t.victim || t.victim == &t.entry.Node) {
				proxy.Silence()
			}
		}
	}
	waiter.For(ctx, faultPeriod)
	return nil
}

func (t *trial) delay(ctx context.Context) error {
	for _, n := range t.Nodes() {
		for _, kind := range []launcher.LinkKind{launcher.LinkToEntry, launcher.LinkToAgent} {
			if proxy := t.Proxy(launcher.Link{Kind: kind, Node: n.Name}); proxy != nil {
				proxy.Set(interposer.Faults{Delay: 30 * time.Millisecond, Loss: 0.02, Reorder: 0.1})
			}
		}
	}
	waiter.For(ctx, faultPeriod)
	return nil
}

// takePlatformDown refuses all calls first, and then lets them hang.
func (t *trial) takePlatformDown(ctx context.Context) error {
	for _, outage := range []string{"refuse", "hang"} {
		if err := t.platformFault(ctx, platformFault{Outage: outage}); err != nil {
			return err
		}
		waiter.For(ctx, outagePeriod)
	}
	return t.platformFault(ctx, platformFault{})
}

func (t *trial) disturbPlatform(ctx context.Context, f platformFault) error {
	if err := t.platformFault(ctx, f); err != nil {
		return err
	}
	waiter.For(ctx, faultPeriod)
	return t.platformFault(ctx, platformFault{})
}

// race lets an operator at each entry change the same resource, each based on what that entry shows.
func (t *trial) race(ctx context.Context) error {
	end := time.Now().Add(faultPeriod)
	var operators sync.WaitGroup
	for _, e := range t.Entries {
		operators.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				match, err := t.ETag(ctx, e, "customers", t.Plan.Customers[0].Name)
				if err == nil {
					// A conflict or a refusal is a truthful answer; what was accepted is checked.
					_, _ = t.changeCustomer(ctx, e, match)
				}
			}
		})
	}
	operators.Wait()
	return nil
}

// cool makes a warm engine and a warm service cold without a new boot id, while many requests arrive.
func (t *trial) cool(ctx context.Context) error {
	t.load.burst(ctx, coldBurst, coldTokens)
	order := map[string]any{"coolNow": true, "graceMillis": coldGrace.Milliseconds()}
	for _, a := range []*launcher.Agent{t.agent, t.runner} {
		if err := t.Control(ctx, a.Standin, "/control", order); err != nil {
			return err
		}
	}
	for range 4 {
		waiter.For(ctx, faultPeriod/4)
		t.load.burst(ctx, coldBurst/2, coldTokens)
	}
	return nil
}

// lagList lets the VM list show for a while that nodes are gone which answer.
func (t *trial) lagList(ctx context.Context) error {
	lag := listLag.Milliseconds()
	absent := map[string]bool{t.victim.Name: true, t.entry.Name: true}
	if err := t.SetVMList(ctx, absent, nil); err != nil {
		return err
	}
	waiter.For(ctx, outagePeriod)
	if err := t.platformFault(ctx, platformFault{ListLagMillis: &lag}); err != nil {
		return err
	}
	if err := t.SetVMList(ctx, nil, nil); err != nil {
		return err
	}
	waiter.For(ctx, faultPeriod)
	return nil
}

func (t *trial) slowDown(ctx context.Context) error {
	if err := t.Control(ctx, t.agent.Standin, "/control", map[string]any{"slowFactor": stragglerSlow}); err != nil {
		return err
	}
	waiter.For(ctx, faultPeriod)
	return t.Control(ctx, t.agent.Standin, "/control", map[string]any{"slowFactor": 1})
}
