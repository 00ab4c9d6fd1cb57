package streamer

import (
	"context"
	"time"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/quarantiner"
	"currantledge.example/currantledge/internal/request/queuer"
	"currantledge.example/currantledge/internal/request/router"
)

// acquire queues the request and waits for a credit. While the request waits, its upstreams are ordered again
// periodically and when a duplicate of the request arrives. avoid holds the time until which each upstream is avoided.
func (s *session) acquire(ctx context.Context, avoid map[identifier.Upstream]time.Time) (queuer.Match, error) {
	d := s.dispatcher
	matched, ok := d.startWaiting(s.call)
	if !ok {
		return queuer.Match{}, s.refusedError(messenger.ReasonQueueFull)
	}
	defer d.stopWaiting(s.call.Request)
	started := time.Now()
	ticker := time.NewTicker(reorderInterval)
	defer ticker.Stop()
	duplicated := d.duplicateSignal(s.call.Digest)
	for {
		if d.cfg.Verdict(s.call.Digest) == quarantiner.VerdictRefuse {
			return queuer.Match{}, s.refusedError(messenger.ReasonQuarantined)
		}
		choices, inService := d.orderUpstreams(s.call, avoid)
		if err := s.checkWait(started, inService); err != nil {
			return queuer.Match{}, err
		}
		d.enqueue(s.call, choices)
		select {
		case <-ctx.Done():
			return queuer.Match{}, s.cancelledError()
		case match := <-matched:
			d.logRouted(s.call, match, choices)
			return match, nil
		case <-duplicated:
			duplicated = nil
		case <-ticker.C:
		}
	}
}

// checkWait returns an error for a request that has waited too long, or that still has no upstream after
// noUpstreamTimeout.
func (s *session) checkWait(started time.Time, inService int) error {
	now := time.Now()
	if inService == 0 && now.Sub(started) > noUpstreamTimeout {
		return s.resultError(s.waitFailure(messenger.ReasonNoUpstream))
	}
	if now.After(s.call.WaitUntil) {
		return s.resultError(s.waitFailure(messenger.ReasonWaitedTooLong))
	}
	return nil
}

// waitFailure returns the result of a request that got no credit in time: refused, or broken if an earlier attempt
// delivered a part of the response.
func (s *session) waitFailure(reason messenger.Reason) result {
	if s.headSent {
		return resultBroken{reason: messenger.ReasonAgentLost, mayHaveRun: true}
	}
	return resultRefused{reason: reason}
}

// startWaiting registers a request that is about to wait and returns the channel on which it receives a credit. It
// returns false if the customer has too many waiting requests already.
func (d *Dispatcher) startWaiting(call Call) (<-chan queuer.Match, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if call.MaxWaiting > 0 && d.queue.Waiting(call.Customer) >= call.MaxWaiting {
		return nil, false
	}
	matched := make(chan queuer.Match, 1)
	d.waiting[call.Request] = matched
	return matched, true
}

// stopWaiting unregisters a request. A credit that was matched with the request but not received by it is returned to the
// agent.
func (d *Dispatcher) stopWaiting(id identifier.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	matched := d.waiting[id]
	delete(d.waiting, id)
	d.queue.Remove(id)
	select {
	case m := <-matched:
		d.returnCredit(m)
	default:
	}
	d.wakeSenders()
}

// enqueue queues a request, or replaces the upstreams of a queued one, unless it has a credit already.
func (d *Dispatcher) enqueue(call Call, choices []router.Choice) {
	upstreams := make([]identifier.Upstream, len(choices))
	for i, c := range choices {
		upstreams[i] = c.Upstream
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waiting[call.Request]) > 0 {
		return
	}
	d.deliver(d.queue.Add(time.Now(), queuer.Waiter{
		Request: call.Request, Customer: call.Customer, Candidates: upstreams, PreferredOnly: call.needsClaim(),
	}))
}

// deliver sends credits to the requests that they were matched with. Credits of requests that no longer wait are returned
// to their agents. It is called with the lock held.
func (d *Dispatcher) deliver(matches []queuer.Match) {
	for _, m := range matches {
		if matched, ok := d.waiting[m.Request]; ok {
			matched <- m
			continue
		}
		d.returnCredit(m)
	}
	d.wakeSenders()
}

// returnCredit queues the return of a credit to its agent. It is called with the lock held.
func (d *Dispatcher) returnCredit(m queuer.Match) {
	if sender, ok := d.senders[m.Upstream]; ok {
		sender.returns = append(sender.returns, messenger.ReturnGrant{Serial: m.Serial, Credits: 1})
		sender.wake()
	}
}
