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

// acquire waits for a credit. The candidates are ordered again while the request waits.
func (s *session) acquire(ctx context.Context, avoid map[identifier.Upstream]time.Time) (queuer.Match, error) {
	d := s.dispatcher
	granted, ok := d.enter(s.call)
	if !ok {
		return queuer.Match{}, s.refused(messenger.ReasonQueueFull)
	}
	defer d.leave(s.call.Request)
	started := time.Now()
	ticker := time.NewTicker(reorderInterval)
	defer ticker.Stop()
	copied := d.copied(s.call.Digest)
	for {
		if d.cfg.Verdict(s.call.Digest) == quarantiner.VerdictRefuse {
			return queuer.Match{}, s.refused(messenger.ReasonQuarantined)
		}
		choices, inService := d.order(s.call, avoid)
		if err := s.checkWait(started, inService); err != nil {
			return queuer.Match{}, err
		}
		d.enqueue(s.call, choices)
		select {
		case <-ctx.Done():
			return queuer.Match{}, s.expired()
		case match := <-granted:
			d.logRouted(s.call, match, choices)
			return match, nil
		case <-copied:
			copied = nil
		case <-ticker.C:
		}
	}
}

// checkWait refuses a request that has waited for too long or has no upstream.
func (s *session) checkWait(started time.Time, inService int) error {
	now := time.Now()
	if inService == 0 && now.Sub(started) > noUpstreamWait {
		return s.problem(s.waitingFailed(messenger.ReasonNoUpstream))
	}
	if now.After(s.call.WaitUntil) {
		return s.problem(s.waitingFailed(messenger.ReasonWaitedTooLong))
	}
	return nil
}

// waitingFailed is not run, unless an earlier attempt delivered a part of the answer.
func (s *session) waitingFailed(reason messenger.Reason) result {
	if s.headSent {
		return resultBroken{reason: messenger.ReasonAgentLost, mayHaveRun: true}
	}
	return resultRefused{reason: reason}
}

// enter registers a request that is going to wait, unless too many of its customer wait already.
func (d *Dispatcher) enter(call Call) (<-chan queuer.Match, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if call.MaxWaiting > 0 && d.queue.Waiting(call.Customer) >= call.MaxWaiting {
		return nil, false
	}
	granted := make(chan queuer.Match, 1)
	d.waiting[call.Request] = granted
	return granted, true
}

// leave unregisters a request. A credit that it did not take in time goes back.
func (d *Dispatcher) leave(id identifier.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	granted := d.waiting[id]
	delete(d.waiting, id)
	d.queue.Remove(id)
	select {
	case m := <-granted:
		d.giveBack(m)
	default:
	}
	d.notify()
}

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
		Request: call.Request, Customer: call.Customer, Candidates: upstreams, Narrow: call.keyed(),
	}))
}

// deliver hands credits to the requests that wait for them.
func (d *Dispatcher) deliver(matches []queuer.Match) {
	for _, m := range matches {
		if granted, ok := d.waiting[m.Request]; ok {
			granted <- m
			continue
		}
		d.giveBack(m)
	}
	d.notify()
}

func (d *Dispatcher) giveBack(m queuer.Match) {
	if sender, ok := d.senders[m.Upstream]; ok {
		sender.returns = append(sender.returns, messenger.ReturnGrant{Serial: m.Serial, Credits: 1})
		sender.wake()
	}
}
