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
	// claimDelay delays claims at the platform until after the fault has been injected.
	claimDelay = 400 * time.Millisecond
	// linkDelay delays frames between entry and agent. Demand, grant and dispatch each take it once.
	linkDelay = 100 * time.Millisecond
	// engineStall is the time for which engines produce no first token.
	engineStall = 900 * time.Millisecond
	// streamTokens is the length of the streams that must still run when the fault begins.
	streamTokens = 300
	// minStreamAge is the time for which a stream must have run to count as mid-stream.
	minStreamAge       = 300 * time.Millisecond
	reachTimeout       = 10 * time.Second
	recordPollInterval = 40 * time.Millisecond
	// stepRequests is the number of requests that a step starts.
	stepRequests = 6
	// exclusionDelay is the longest time from an accepted change until agents that it excludes receive no new work.
	exclusionDelay = 3 * time.Second
	// exclusionMargin is the time after exclusionDelay in which late work is still detected.
	exclusionMargin = 1200 * time.Millisecond
)

// reach brings the deployment to the step of the cell. The faults are injected when it returns.
func (t *cellTest) reach(ctx context.Context) error {
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
		return errors.Newf("step %s is not implemented", t.cell.Step)
	}
}

// reachAccept sends many requests to the entry, which accepts them while the fault is injected.
func (t *cellTest) reachAccept(ctx context.Context) error {
	t.victim = &t.entry.Node
	for range stepRequests {
		request, call := t.newModelRequest(maxTokens), t.newKeyedCall()
		t.stepWork.Go(func() { t.sendModelRequest(ctx, t.entry.CallerURL(), request) })
		t.stepWork.Go(func() {
			t.sendServiceCall(ctx, t.entry.CallerURL(), call)
			t.callUntilComplete(ctx, call)
		})
	}
	return nil
}

// sendKeyedCalls starts to send stepRequests keyed calls, each through the ready entries until it is complete, and
// returns them at once.
func (t *cellTest) sendKeyedCalls(ctx context.Context) []recorder.ServiceCall {
	var calls []recorder.ServiceCall
	for range stepRequests {
		call := t.newKeyedCall()
		calls = append(calls, call)
		t.stepWork.Go(func() { t.callUntilComplete(ctx, call) })
	}
	return calls
}

// reachClaim delays claims at the platform. The delay ends when a platform fault replaces it or heal removes it.
func (t *cellTest) reachClaim(ctx context.Context) error {
	t.victim = &t.runner.Node
	if err := t.setPlatformFault(ctx, platformFault{DelayMillis: claimDelay.Milliseconds()}); err != nil {
		return err
	}
	t.sendKeyedCalls(ctx)
	waiter.For(ctx, claimDelay/2)
	return nil
}

// reachDispatch delays the links to agents and waits until dispatches are on their way.
func (t *cellTest) reachDispatch(ctx context.Context) error {
	for _, a := range t.Agents {
		t.Proxy(launcher.Link{Kind: launcher.LinkToAgent, Node: a.Name}).Set(interposer.Faults{Delay: linkDelay})
	}
	waiter.For(ctx, linkDelay)
	t.load.burst(ctx, 2*stepRequests, maxTokens)
	t.sendKeyedCalls(ctx)
	waiter.For(ctx, 2*linkDelay+linkDelay/2)
	return nil
}

// reachFirstToken stalls the engines and waits until one has accepted a request.
func (t *cellTest) reachFirstToken(ctx context.Context) error {
	for _, a := range t.Agents[:t.Plan.Groups[0].Ranks] {
		if err := t.Control(ctx, a.Standin, "/control", map[string]any{"stallMillis": engineStall.Milliseconds()}); err != nil {
			return err
		}
	}
	begin := time.Now()
	t.load.burst(ctx, stepRequests, maxTokens)
	return t.awaitCall(ctx, func(a *launcher.Agent, c simulator.Call) bool {
		return a.Upstream.ModelGroup != "" && c.Outcome == simulator.OutcomeOpen && c.Start.After(begin)
	})
}

// reachMidStream waits until an engine has run a stream for minStreamAge.
func (t *cellTest) reachMidStream(ctx context.Context) error {
	begin := time.Now()
	t.load.burst(ctx, stepRequests, streamTokens)
	return t.awaitCall(ctx, func(a *launcher.Agent, c simulator.Call) bool {
		streaming := c.Start.After(begin) && time.Since(c.Start) > minStreamAge
		return a.Upstream.ModelGroup != "" && c.Outcome == simulator.OutcomeOpen && streaming
	})
}

// reachCompletion waits until a service has completed a call while the platform still delays the record of the
// response.
func (t *cellTest) reachCompletion(ctx context.Context) error {
	if err := t.setPlatformFault(ctx, platformFault{DelayMillis: claimDelay.Milliseconds()}); err != nil {
		return err
	}
	paths := map[string]bool{}
	for _, call := range t.sendKeyedCalls(ctx) {
		paths[call.Path] = true
	}
	return t.awaitCall(ctx, func(_ *launcher.Agent, c simulator.Call) bool {
		return paths[c.Path] && c.Outcome == simulator.OutcomeComplete
	})
}

// reachResend repeatedly sends the same keyed calls through all entries while the fault is injected.
func (t *cellTest) reachResend(ctx context.Context) error {
	paths := map[string]bool{}
	for _, call := range t.sendKeyedCalls(ctx) {
		paths[call.Path] = true
		for _, e := range t.Entries {
			t.stepWork.Go(func() {
				for range maxSends {
					if !waiter.For(ctx, resendInterval) {
						return
					}
					t.sendServiceCall(ctx, t.pickPreferred(e), call)
				}
			})
		}
	}
	return t.awaitCall(ctx, func(_ *launcher.Agent, c simulator.Call) bool { return paths[c.Path] })
}

// pickPreferred returns the base URL of an entry if it is ready, and otherwise that of another entry.
func (t *cellTest) pickPreferred(e *launcher.Entry) string {
	t.testbed.mu.Lock()
	ready := t.ready[e]
	t.testbed.mu.Unlock()
	if ready {
		return e.CallerURL()
	}
	return t.pick()
}

// awaitCall waits until a stand-in has recorded a call that matches. The agent of that stand-in becomes the victim.
func (t *cellTest) awaitCall(ctx context.Context, matches func(*launcher.Agent, simulator.Call) bool) error {
	deadline := time.Now().Add(reachTimeout)
	for time.Now().Before(deadline) {
		records, err := t.collect(ctx)
		if err != nil {
			return err
		}
		for i, r := range records {
			for _, c := range r.Record.Calls {
				if matches(t.Agents[i], c) {
					t.agent = t.Agents[i]
					t.victim = &t.agent.Node
					return nil
				}
			}
		}
		if !waiter.For(ctx, recordPollInterval) {
			return errors.Wrap(ctx.Err(), "wait for a call")
		}
	}
	return errors.Newf("no stand-in recorded the call within %v", reachTimeout)
}

// reachJoining stops the agent gracefully and restarts it.
func (t *cellTest) reachJoining(ctx context.Context) error {
	t.plannedStop = true
	if err := t.agent.Process.Terminate(); err != nil {
		return err
	}
	if err := t.awaitExit(ctx, &t.agent.Node); err != nil {
		return err
	}
	return t.restart(ctx, &t.agent.Node)
}

// reachLeaving sets the upstream of the agent to leaving while streams run; finish sets it to active again.
func (t *cellTest) reachLeaving(ctx context.Context) error {
	t.plannedStop = true
	t.load.burst(ctx, stepRequests, streamTokens)
	if err := t.setUpstreamState(ctx, t.agent, launcher.StateLeaving); err != nil {
		return err
	}
	endExclusion := t.excludeAgents(t.agent)
	t.finish = func(ctx context.Context) error {
		t.awaitExclusion(ctx)
		endExclusion()
		return t.setUpstreamState(ctx, t.agent, launcher.StateActive)
	}
	return nil
}

// reachDomainOut takes the failure domain out of service while streams run; finish returns it.
func (t *cellTest) reachDomainOut(ctx context.Context) error {
	t.plannedStop = true
	t.load.burst(ctx, stepRequests, streamTokens)
	if err := t.setDomainState(ctx, t.agent.FailureDomain, launcher.StateOut); err != nil {
		return err
	}
	endExclusion := t.excludeDomain()
	t.finish = func(ctx context.Context) error {
		t.awaitExclusion(ctx)
		endExclusion()
		return t.setDomainState(ctx, t.agent.FailureDomain, launcher.StateIn)
	}
	return nil
}

// excludeDomain begins an exclusion of all agents in the failure domain of the step.
func (t *cellTest) excludeDomain() func() {
	_, agents := t.NodesIn(t.agent.FailureDomain)
	return t.excludeAgents(agents...)
}

// awaitExclusion waits for exclusionDelay and exclusionMargin.
func (t *cellTest) awaitExclusion(ctx context.Context) {
	waiter.For(ctx, exclusionDelay+exclusionMargin)
}

// reachDomainBack takes the failure domain out of service and returns it.
func (t *cellTest) reachDomainBack(ctx context.Context) error {
	t.plannedStop = true
	if err := t.setDomainState(ctx, t.agent.FailureDomain, launcher.StateOut); err != nil {
		return err
	}
	endExclusion := t.excludeDomain()
	t.awaitExclusion(ctx)
	endExclusion()
	t.load.burst(ctx, stepRequests, streamTokens)
	return t.setDomainState(ctx, t.agent.FailureDomain, launcher.StateIn)
}

// reachConfigWrite starts a change whose write is delayed at the platform. The change may be refused.
func (t *cellTest) reachConfigWrite(ctx context.Context) error {
	t.victim = &t.entry.Node
	if err := t.setPlatformFault(ctx, platformFault{DelayMillis: claimDelay.Milliseconds()}); err != nil {
		return err
	}
	t.stepWork.Go(func() { _, _ = t.changeCustomer(ctx, t.entry, "") })
	waiter.For(ctx, claimDelay/2)
	return nil
}

// reachConfigSpread makes a change at the first entry. The victim is another entry, to which the change spreads.
func (t *cellTest) reachConfigSpread(ctx context.Context) error {
	t.victim = &t.entry.Node
	_, err := t.changeCustomer(ctx, t.Entries[0], "")
	return err
}

// reachShutdown signals nodes with running requests to stop; finish restarts them after they have ended. The first node
// is the victim.
func (t *cellTest) reachShutdown(ctx context.Context, nodes ...*launcher.Node) error {
	t.plannedStop = true
	t.victim = nodes[0]
	for range stepRequests {
		request := t.newModelRequest(streamTokens)
		t.stepWork.Go(func() { t.sendModelRequest(ctx, t.entry.CallerURL(), request) })
	}
	waiter.For(ctx, minStreamAge)
	for _, n := range nodes {
		if err := n.Process.Terminate(); err != nil {
			return err
		}
	}
	t.finish = func(ctx context.Context) error {
		for _, n := range nodes {
			if err := t.restartStopped(ctx, n); err != nil {
				return err
			}
		}
		return nil
	}
	return nil
}

// restartStopped waits until a planned stop has ended, then restarts the node.
func (t *cellTest) restartStopped(ctx context.Context, n *launcher.Node) error {
	if t.restarted[n.Name] {
		// The fault killed the process before it could stop, and kill has restarted it.
		return nil
	}
	if err := t.awaitExit(ctx, n); err != nil {
		return err
	}
	if err := t.restart(ctx, n); err != nil {
		return err
	}
	t.markReachable(n)
	return nil
}
