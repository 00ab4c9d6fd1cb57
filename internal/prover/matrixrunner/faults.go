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
	// freezeDuration is longer than the 5 s of a lease.
	freezeDuration = 6 * time.Second
	cutDuration    = 4 * time.Second
	// restartDelay is the time from the kill of a process until it is restarted.
	restartDelay = 1500 * time.Millisecond
	// configChangeDelay is the time from the start of the fault to a configuration change, which must reach all processes.
	configChangeDelay = 500 * time.Millisecond
	// faultDuration applies to faults that have no duration of their own.
	faultDuration     = 3 * time.Second
	outageDuration    = 2 * time.Second
	slowPlatformDelay = 1200 * time.Millisecond
	staleReadAge      = 2 * time.Second
	vmListLag         = 3 * time.Second
	// coldGracePeriod is the time after cooling in which an overloaded stand-in is slow but does not crash.
	coldGracePeriod     = 1500 * time.Millisecond
	coldBurstRequests   = 24
	coldBurstTokens     = 40
	stragglerSlowFactor = 8
)

// platformFault is the body of POST /fault at the platform's stand-in. It replaces all faults that were set before,
// except that a nil ListLagMillis keeps the lag of the VM list.
type platformFault struct {
	Outage           string  `json:"outage,omitempty"`
	DelayMillis      int64   `json:"delayMillis,omitempty"`
	LoseAnswers      int     `json:"loseAnswers,omitempty"`
	LoseProbability  float64 `json:"loseProbability,omitempty"`
	StaleMillis      int64   `json:"staleMillis,omitempty"`
	StaleProbability float64 `json:"staleProbability,omitempty"`
	ListLagMillis    *int64  `json:"listLagMillis,omitempty"`
}

func (t *cellTest) setPlatformFault(ctx context.Context, f platformFault) error {
	return t.Control(ctx, t.Platform, "/fault", f)
}

// inject injects all faults of the cell concurrently and returns after they have been removed. Meanwhile it changes the
// configuration once.
func (t *cellTest) inject(ctx context.Context) error {
	results := make([]error, len(t.cell.Faults))
	var faults sync.WaitGroup
	t.stepWork.Go(func() {
		waiter.For(ctx, configChangeDelay)
		// The change may be refused while the platform fails.
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

// heal removes the faults of links and of the platform, including those that a step has set.
func (t *cellTest) heal(ctx context.Context) error {
	for _, n := range t.Nodes() {
		for _, kind := range []launcher.LinkKind{launcher.LinkToEntry, launcher.LinkToAgent, launcher.LinkToPlatform} {
			if proxy := t.Proxy(launcher.Link{Kind: kind, Node: n.Name}); proxy != nil {
				proxy.Heal()
			}
		}
	}
	noLag := int64(0)
	return t.setPlatformFault(ctx, platformFault{ListLagMillis: &noLag})
}

func (t *cellTest) injectOne(ctx context.Context, f Fault) error {
	switch f {
	case FaultKill:
		return t.kill(ctx)
	case FaultFreeze:
		return t.freeze(ctx)
	case FaultCut:
		return t.cutLinks(ctx, interposer.Cut())
	case FaultOneWayCut:
		return t.cutLinks(ctx, interposer.Faults{CutToTarget: true})
	case FaultSilence:
		return t.silenceLinks(ctx)
	case FaultDelay:
		return t.delayLinks(ctx)
	case FaultPlatformDown:
		return t.takePlatformDown(ctx)
	case FaultPlatformSlow:
		return t.injectPlatformFault(ctx, platformFault{DelayMillis: slowPlatformDelay.Milliseconds()})
	case FaultAnswerLost:
		return t.injectPlatformFault(ctx, platformFault{LoseAnswers: 4, LoseProbability: 0.3})
	case FaultStaleRead:
		return t.injectPlatformFault(ctx, platformFault{StaleMillis: staleReadAge.Milliseconds(), StaleProbability: 0.5})
	case FaultOperatorsRacing:
		return t.raceOperators(ctx)
	case FaultColdUpstream:
		return t.makeCold(ctx)
	case FaultCrashingRequest:
		// A request is refused after it has crashed two upstreams.
		t.allowCrashes(2)
		t.load.sendCrashingRequests(ctx)
		waiter.For(ctx, faultDuration)
		return nil
	case FaultVMListLag:
		return t.lagVMList(ctx)
	case FaultCacheEvents:
		// The engines of testbedLateEvents publish all cache events late and with gaps; nothing is left to inject.
		waiter.For(ctx, outageDuration)
		return nil
	case FaultStragglingRank:
		return t.slowRank(ctx)
	case FaultLeaseLapsed, FaultIgnoredFence:
		return t.freezeLeader(ctx)
	default:
		return errors.Newf("fault %s is not implemented", f)
	}
}

// markReachable records that a node is reachable again from now on.
func (t *cellTest) markReachable(n *launcher.Node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reachableSince[n.Name] = time.Now()
}

// kill kills the victim's process and restarts it. At StepFirstToken it crashes the engine instead.
func (t *cellTest) kill(ctx context.Context) error {
	if t.cell.Step == StepFirstToken {
		t.allowCrashes(1)
		err := t.Control(ctx, t.agent.Standin, "/control", map[string]any{"crash": true})
		waiter.For(ctx, restartDelay)
		return err
	}
	t.markKilled(t.victim)
	t.victim.Process.Kill()
	waiter.For(ctx, restartDelay)
	if err := t.restart(ctx, t.victim); err != nil {
		return err
	}
	t.markReachable(t.victim)
	return nil
}

// allowCrashes adds crashes of upstreams that the fault itself causes.
func (t *cellTest) allowCrashes(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.allowedCrashes += count
}

// markKilled records that callers of an entry may see broken connections, if the node is an entry.
func (t *cellTest) markKilled(n *launcher.Node) {
	for _, e := range t.Entries {
		if &e.Node == n {
			t.killedEntries[e.CallerURL()] = true
		}
	}
}

// freeze suspends the victim's process for freezeDuration.
func (t *cellTest) freeze(ctx context.Context) error {
	if err := t.victim.Process.Freeze(); err != nil {
		return err
	}
	waiter.For(ctx, freezeDuration)
	// An interrupted run ends the wait early; it must leave no frozen process behind.
	if err := t.victim.Process.Thaw(); err != nil {
		return err
	}
	t.markReachable(t.victim)
	return nil
}

// cutLinks sets faults on all links of the victim for cutDuration.
func (t *cellTest) cutLinks(ctx context.Context, f interposer.Faults) error {
	if err := t.setLinkFaults(t.victim, f); err != nil {
		return err
	}
	waiter.For(ctx, cutDuration)
	if err := t.setLinkFaults(t.victim, interposer.Faults{}); err != nil {
		return err
	}
	t.markReachable(t.victim)
	return nil
}

// setLinkFaults sets faults on the links between a node and all other nodes, and on its link to the platform.
func (t *cellTest) setLinkFaults(n *launcher.Node, f interposer.Faults) error {
	host, err := netip.ParseAddrPort(n.FleetAddress)
	if err != nil {
		return errors.Wrapf(err, "parse the fleet address of %s", n.Name)
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

// silenceLinks makes the open connections of the victim permanently silent.
func (t *cellTest) silenceLinks(ctx context.Context) error {
	for _, other := range t.Nodes() {
		for _, kind := range []launcher.LinkKind{launcher.LinkToEntry, launcher.LinkToAgent} {
			proxy := t.Proxy(launcher.Link{Kind: kind, Node: other.Name})
			// A proxy silences the flows of all its clients. With an entry as victim, this includes the flows of all entries.
			if proxy != nil && (other == t.victim || t.victim == &t.entry.Node) {
				proxy.Silence()
			}
		}
	}
	waiter.For(ctx, faultDuration)
	return nil
}

// delayLinks sets delay, loss and reordering on all links between nodes and waits for faultDuration. heal removes them.
func (t *cellTest) delayLinks(ctx context.Context) error {
	for _, n := range t.Nodes() {
		for _, kind := range []launcher.LinkKind{launcher.LinkToEntry, launcher.LinkToAgent} {
			if proxy := t.Proxy(launcher.Link{Kind: kind, Node: n.Name}); proxy != nil {
				proxy.Set(interposer.Faults{Delay: 30 * time.Millisecond, Loss: 0.02, Reorder: 0.1})
			}
		}
	}
	waiter.For(ctx, faultDuration)
	return nil
}

// takePlatformDown makes the platform refuse all calls, then let them hang, for outageDuration each.
func (t *cellTest) takePlatformDown(ctx context.Context) error {
	for _, outage := range []string{"refuse", "hang"} {
		if err := t.setPlatformFault(ctx, platformFault{Outage: outage}); err != nil {
			return err
		}
		waiter.For(ctx, outageDuration)
	}
	return t.setPlatformFault(ctx, platformFault{})
}

// injectPlatformFault sets a fault at the platform for faultDuration.
func (t *cellTest) injectPlatformFault(ctx context.Context, f platformFault) error {
	if err := t.setPlatformFault(ctx, f); err != nil {
		return err
	}
	waiter.For(ctx, faultDuration)
	return t.setPlatformFault(ctx, platformFault{})
}

// raceOperators lets one operator at each entry change the same resource, each based on the ETag that its entry
// returns.
func (t *cellTest) raceOperators(ctx context.Context) error {
	end := time.Now().Add(faultDuration)
	var operators sync.WaitGroup
	for _, e := range t.Entries {
		operators.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				etag, err := t.ETag(ctx, e, "customers", t.Plan.Customers[0].Name)
				if err == nil {
					// Conflicts and refusals are correct; checkConflicts checks the accepted changes.
					_, _ = t.changeCustomer(ctx, e, etag)
				}
			}
		})
	}
	operators.Wait()
	return nil
}

// makeCold makes a warm engine and a warm service runner cold without a new boot id while many requests arrive.
func (t *cellTest) makeCold(ctx context.Context) error {
	t.load.burst(ctx, coldBurstRequests, coldBurstTokens)
	control := map[string]any{"coolNow": true, "graceMillis": coldGracePeriod.Milliseconds()}
	for _, a := range []*launcher.Agent{t.agent, t.runner} {
		if err := t.Control(ctx, a.Standin, "/control", control); err != nil {
			return err
		}
	}
	for range 4 {
		waiter.For(ctx, faultDuration/4)
		t.load.burst(ctx, coldBurstRequests/2, coldBurstTokens)
	}
	return nil
}

// lagVMList removes the victim and the entry from the VM list although they run, then adds them again while the list
// lags by vmListLag.
func (t *cellTest) lagVMList(ctx context.Context) error {
	lag := vmListLag.Milliseconds()
	absent := map[string]bool{t.victim.Name: true, t.entry.Name: true}
	if err := t.SetVMList(ctx, absent, nil); err != nil {
		return err
	}
	waiter.For(ctx, outageDuration)
	if err := t.setPlatformFault(ctx, platformFault{ListLagMillis: &lag}); err != nil {
		return err
	}
	if err := t.SetVMList(ctx, nil, nil); err != nil {
		return err
	}
	waiter.For(ctx, faultDuration)
	return nil
}

// slowRank slows the steps of one engine for faultDuration.
func (t *cellTest) slowRank(ctx context.Context) error {
	if err := t.Control(ctx, t.agent.Standin, "/control", map[string]any{"slowFactor": stragglerSlowFactor}); err != nil {
		return err
	}
	waiter.For(ctx, faultDuration)
	return t.Control(ctx, t.agent.Standin, "/control", map[string]any{"slowFactor": 1})
}
