package admitter

import (
	"cmp"
	"slices"
	"time"
)

// order tells which of two waiting requests goes first.
func order(now time.Time, x, y *Ticket) int {
	return cmp.Or(
		cmp.Compare(x.need.Priority, y.need.Priority),
		cmp.Compare(x.lateness(now), y.lateness(now)),
		cmp.Compare(x.serial, y.serial),
	)
}

// lateness is 0 for a request that can still be on time and 1 for others.
func (t *Ticket) lateness(now time.Time) int {
	if now.Before(t.need.OnTime) {
		return 0
	}
	return 1
}

// place returns the position of a request in the queue.
func (s *service) place(now time.Time, t *Ticket) int {
	s.sort(now)
	at, _ := slices.BinarySearchFunc(s.queue, t, func(x, y *Ticket) int { return order(now, x, y) })
	return at
}

// sort brings the queue into order; requests become late while they wait.
func (s *service) sort(now time.Time) {
	slices.SortFunc(s.queue, func(x, y *Ticket) int { return order(now, x, y) })
}

// dispatch grants and refuses waiting requests in order.
func (a *Admitter) dispatch(now time.Time) {
	for _, s := range a.services {
		s.sort(now)
		kept := s.queue[:0]
		blocked := false
		for _, t := range s.queue {
			if !blocked {
				if a.grant(now, s, t) {
					continue
				}
				// A request that has been elsewhere may find no upstream while the next one does.
				blocked = len(t.need.Exclude) == 0
			}
			if refusal, refused := a.judge(now, s, t); refused {
				t.resolve(refusal)
				continue
			}
			kept = append(kept, t)
		}
		clear(s.queue[len(kept):])
		s.queue = kept
	}
}

// grant gives the request an upstream if one can take it now.
func (a *Admitter) grant(now time.Time, s *service, t *Ticket) bool {
	if !s.closed && a.stalled(now, s) {
		a.closeGroup(now, s, CauseStall)
	}
	if s.closed {
		if now.Sub(s.lastProbe) < a.probePause() {
			return false
		}
		s.lastProbe = now
	}
	starts := s.Engine != nil && t.need.Stream
	if starts && !s.window.takes(a.startShare(s)) || !s.allotment.takes(a.running(s), t.lateness(now) > 0) {
		return false
	}
	best := a.choose(now, s, t.need)
	if best == nil {
		return false
	}
	load := best.running + best.peers
	if a.running(s) == 0 {
		// Nothing could progress before.
		s.progressed = now
	}
	best.running++
	if starts {
		s.window.starting++
	}
	best.cold.next = now.Add(a.coldSpacing(s))
	t.resolve(Granted{Upstream: best.Upstream, Waited: now.Sub(t.arrived), Load: load, start: &start{pending: starts, granted: now}})
	return true
}

// judge refuses a request that cannot be served in time.
func (a *Admitter) judge(now time.Time, s *service, t *Ticket) (Refused, bool) {
	if !now.Before(t.need.Until) {
		if s.closed {
			return refuse(now, t, ReasonGroupClosed, maxRetryAfter), true
		}
		return refuse(now, t, ReasonDeadline, s.whole), true
	}
	slots, usable := 0, 0
	for _, u := range a.upstreams {
		if u.Service == s.Name && a.usable(u) && !t.need.Exclude[u.ID] {
			usable++
			slots += u.Slots
		}
	}
	if usable == 0 {
		return refuse(now, t, ReasonNoUpstream, time.Second), true
	}
	if t.need.Returned {
		return Refused{}, false
	}
	if s.closed {
		elapsed := now.Sub(s.closedSince)
		remaining := max(s.outage-elapsed, elapsed/2)
		if now.Add(remaining).After(t.need.Until) {
			// The end of the outage is a guess. A client that comes back too early is refused again and may give up, so it
			// is sent away for as long as it honours.
			return refuse(now, t, ReasonGroupClosed, maxRetryAfter), true
		}
		return Refused{}, false
	}
	// All gateways have about the same queue.
	ahead := a.ahead(s, t) * a.gateways
	wait := time.Duration(float64(s.whole) * float64(ahead) / float64(slots))
	if now.Add(wait).After(t.need.Until) {
		return refuse(now, t, ReasonOverload, wait), true
	}
	return Refused{}, false
}

// ahead counts the requests that go before one in the queue.
func (a *Admitter) ahead(s *service, t *Ticket) int {
	return max(slices.Index(s.queue, t), 0)
}

func refuse(now time.Time, t *Ticket, reason Reason, wait time.Duration) Refused {
	left := t.need.Deadline.Sub(now)
	return Refused{Reason: reason, RetryAfter: max(min(wait, left/RetryShare), minRetryAfter)}
}
