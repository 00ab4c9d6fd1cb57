package matrixrunner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/prover/interposer"
	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/recorder"
	"currantledge.example/currantledge/internal/standin/simulator"
)

const (
	// claimDelay holds a claim at the platform while the fault is injected.
	claimDelay = 400 * time.Millisecond
	// linkDelay holds a dispatch on its way. Demand, grant and dispatch each take it once.
	linkDelay = 100 * time.Millisecond
	// stallPeriod keeps engines from the first token.
	stallPeriod   = 900 * time.Millisecond
	streamTokens  = 300
	streamAge     = 300 * time.Millisecond
	reachPeriod   = 10 * time.Second
	recordPause   = 40 * time.Millisecond
	focusCalls    = 6
	closedPeriod  = 3 * time.Second
	closureMargin = 1200 * time.Millisecond
)

// reach brings the deployment to the step of the cell.
func (t *trial) reach(ctx context.Context) error {
	switch t.cell.Step {
	case StepIdle:
		return nil
	case StepAccept:
		return t.reachAccept(ctx)
	case StepClaim:
		return t.reachClaim(ctx)
	case StepDispatch:
		return t.reachDispatch(ctx)
	case StepFirstToken:
		return t.reachFirstToken(ctx)
	case StepMidStream:
		return t.reachMidStream(ctx)
	case StepCompletion:
		return t.reachCompletion(ctx)
	case StepResend:
		return t.reachResend(ctx)
	case StepJoining:
		return t.reachJoining(ctx)
	case StepLeaving:
		return t.reachLeaving(ctx)
	case StepDomainOut:
		return t.reachDomainOut(ctx)
	case StepDomainBack:
		return t.reachDomainBack(ctx)
	case StepMapPrepare:
		return t.reachMapPrepare(ctx)
	case StepMapDecision:
		return t.reachMapDecision(ctx)
	case StepMapSwitch:
		return t.reachMapSwitch(ctx)
	case StepConfigWrite:
		return t.reachConfigWrite(ctx)
	case StepConfigSpread:
		return t.reachConfigSpread(ctx)
	case StepEntryShutdown:
		return t.reachShutdown(ctx, &t.entry.Node)
	case StepAgentShutdown:
		return t.reachShutdown(ctx, &t.agent.Node, &t.runner.Node)
	default:
		return errors.Newf("no way to reach the step %s", t.cell.Step)
	}
}

// reachAccept lets the entry accept many requests at the moment of the fault.
func (t *trial) reachAccept(ctx context.Context) error {
	t.victim = &t.entry.Node
	for range focusCalls {
		question, reservation := t.question(maxTokens), t.reservation()
		t.work.Go(func() { t.ask(ctx, t.entry.CallerURL(), question) })
		t.work.Go(func() {
			t.call(ctx, t.entry.CallerURL(), reservation)
			t.insist(ctx, reservation)
		})
	}
	return nil
}

// reserveAll sends keyed calls through all entries, each of which is sent again until it is answered.
func (t *trial) reserveAll(ctx context.Context) []recorder.ServiceCall {
	var calls []recorder.ServiceCall
	for range focusCalls {
		call := t.reservation()
		calls = append(calls, call)
		t.work.Go(func() { t.insist(ctx, call) })
	}
	return calls
}

// reachClaim holds claims at the platform. The fault replaces the delay, or its healing ends it.
func (t *trial) reachClaim(ctx context.Context) error {
	t.victim = &t.runner.Node
	if err := t.platformFault(ctx, platformFault{DelayMillis: claimDelay.Milliseconds()}); err != nil {
		return err
	}
	t.reserveAll(ctx)
	waiter.For(ctx, claimDelay/2)
	return nil
}

func (t *trial) reachDispatch(ctx context.Context) error {
	for _, a := range t.Agents {
		t.Proxy(launcher.Link{Kind: launcher.LinkToAgent, Node: a.Name}).Set(interposer.Faults{Delay: linkDelay})
	}
	waiter.For(ctx, linkDelay)
	t.load.burst(ctx, 2*focusCalls, maxTokens)
	t.reserveAll(ctx)
	waiter.For(ctx, 2*linkDelay+linkDelay/2)
	return nil
}

func (t *trial) reachFirstToken(ctx context.Context) error {
	for _, a := range t.Agents[:t.Plan.Groups[0].Ranks] {
		if err := t.Control(ctx, a.Standin, "/control", map[string]any{"stallMillis": stallPeriod.Milliseconds()}); err != nil {
			return err
		}
	}
	from := time.Now()
	t.load.burst(ctx, focusCalls, maxTokens)
	return t.awaitCall(ctx, func(a *launcher.Agent, c simulator.Call) bool {
		return a.Upstream.ModelGroup != "" && c.Outcome == simulator.OutcomeOpen && c.Start.After(from)
	})
}

func (t *trial) reachMidStream(ctx context.Context) error {
	from := time.Now()
	t.load.burst(ctx, focusCalls, streamTokens)
	return t.awaitCall(ctx, func(a *launcher.Agent, c simulator.Call) bool {
		old := c.Start.After(from) && time.Since(c.Start) > streamAge
		return a.Upstream.ModelGroup != "" && c.Outcome == simulator.OutcomeOpen && old
	})
}

// reachCompletion waits until a service has completed a call whose recorded answer is still held at the platform.
func (t *trial) reachCompletion(ctx context.Context) error {
	if err := t.platformFault(ctx, platformFault{DelayMillis: claimDelay.Milliseconds()}); err != nil {
		return err
	}
	paths := map[string]bool{}
	for _, call := range t.reserveAll(ctx) {
		paths[call.Path] = true
	}
	return t.awaitCall(ctx, func(_ *launcher.Agent, c simulator.Call) bool {
		return paths[c.Path] && c.Outcome == simulator.OutcomeComplete
	})
}

// reachResend sends calls again that have run, from all entries, while the fault is injected.
func (t *trial) reachResend(ctx context.Context) error {
	paths := map[string]bool{}
	for _, call := range t.reserveAll(ctx) {
		paths[call.Path] = true
		for _, e := range t.Entries {
			t.work.Go(func() {
				for range maxSendings {
					if !waiter.For(ctx, resendPause) {
						return
					}
					t.call(ctx, t.choose(e), call)
				}
			})
		}
	}
	return t.awaitCall(ctx, func(_ *launcher.Agent, c simulator.Call) bool { return paths[c.Path] })
}

// choose returns the callers' address of an entry if it is ready, and otherwise that of another one.
func (t *trial) choose(e *launcher.Entry) string {
	t.site.mu.Lock()
	ready := t.ready[e]
	t.site.mu.Unlock()
	if ready {
		return e.CallerURL()
	}
	return t.pick()
}

// awaitCall waits until a stand-in has recorded a certain call, whose agent becomes the victim.
func (t *trial) awaitCall(ctx context.Context, wanted func(*launcher.Agent, simulator.Call) bool) error {
	deadline := time.Now().Add(reachPeriod)
	for time.Now().Before(deadline) {
		records, err := t.collect(ctx)
		if err != nil {
			return err
		}
		for i, r := range records {
			for _, c := range r.Record.Calls {
				if wanted(t.Agents[i], c) {
					t.agent = t.Agents[i]
					t.victim = &t.agent.Node
					return nil
				}
			}
		}
		if !waiter.For(ctx, recordPause) {
			return errors.Wrap(ctx.Err(), "wait for a call")
		}
	}
	return errors.Newf("no stand-in recorded the call within %v", reachPeriod)
}

// reachJoining stops the agent gracefully and starts it again.
func (t *trial) reachJoining(ctx context.Context) error {
	t.planned = true
	if err := t.agent.Process.Terminate(); err != nil {
		return err
	}
	if err := t.stopped(ctx, &t.agent.Node); err != nil {
		return err
	}
	return t.restart(ctx, &t.agent.Node)
}

func (t *trial) reachLeaving(ctx context.Context) error {
	t.planned = true
	t.load.burst(ctx, focusCalls, streamTokens)
	if err := t.setUpstream(ctx, t.agent, launcher.StateLeaving); err != nil {
		return err
	}
	opened := t.closeAgents(t.agent)
	t.finish = func(ctx context.Context) error {
		t.awaitClosure(ctx)
		opened()
		return t.setUpstream(ctx, t.agent, launcher.StateActive)
	}
	return nil
}

func (t *trial) reachDomainOut(ctx context.Context) error {
	t.planned = true
	t.load.burst(ctx, focusCalls, streamTokens)
	if err := t.setDomain(ctx, t.agent.FailureDomain, launcher.StateOut); err != nil {
		return err
	}
	opened := t.closeDomain()
	t.finish = func(ctx context.Context) error {
		t.awaitClosure(ctx)
		opened()
		return t.setDomain(ctx, t.agent.FailureDomain, launcher.StateIn)
	}
	return nil
}

func (t *trial) closeDomain() func() {
	_, agents := t.NodesIn(t.agent.FailureDomain)
	return t.closeAgents(agents...)
}

// awaitClosure waits until new work would show that comes later than it may.
func (t *trial) awaitClosure(ctx context.Context) {
	waiter.For(ctx, closedPeriod+closureMargin)
}

func (t *trial) reachDomainBack(ctx context.Context) error {
	t.planned = true
	if err := t.setDomain(ctx, t.agent.FailureDomain, launcher.StateOut); err != nil {
		return err
	}
	opened := t.closeDomain()
	t.awaitClosure(ctx)
	opened()
	t.load.burst(ctx, focusCalls, streamTokens)
	return t.setDomain(ctx, t.agent.FailureDomain, launcher.StateIn)
}

// reachConfigWrite injects the fault while a change is on its way to the platform. The change may be refused.
func (t *trial) reachConfigWrite(ctx context.Context) error {
	t.victim = &t.entry.Node
	if err := t.platformFault(ctx, platformFault{DelayMillis: claimDelay.Milliseconds()}); err != nil {
		return err
	}
	t.work.Go(func() { _, _ = t.changeCustomer(ctx, t.entry, "") })
	waiter.For(ctx, claimDelay/2)
	return nil
}

func (t *trial) reachConfigSpread(ctx context.Context) error {
	t.victim = &t.entry.Node
	_, err := t.changeCustomer(ctx, t.Entries[0], "")
	return err
}

// reachShutdown asks nodes with running requests to stop, and starts them again once they have ended. The first is the
// victim.
func (t *trial) reachShutdown(ctx context.Context, nodes ...*launcher.Node) error {
	t.planned = true
	t.victim = nodes[0]
	for range focusCalls {
		question := t.question(streamTokens)
		t.work.Go(func() { t.ask(ctx, t.entry.CallerURL(), question) })
	}
	waiter.For(ctx, streamAge)
	for _, n := range nodes {
		if err := n.Process.Terminate(); err != nil {
			return err
		}
	}
	t.finish = func(ctx context.Context) error {
		for _, n := range nodes {
			if err := t.startAgain(ctx, n); err != nil {
				return err
			}
		}
		return nil
	}
	return nil
}

// startAgain waits for the end of a planned stop and starts the node again.
func (t *trial) startAgain(ctx context.Context, n *launcher.Node) error {
	if t.restarted[n.Name] {
		// The fault ended the process before it could stop.
		return nil
	}
	if err := t.stopped(ctx, n); err != nil {
		return err
	}
	if err := t.restart(ctx, n); err != nil {
		return err
	}
	t.reachable(n)
	return nil
}
