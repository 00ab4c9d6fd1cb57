package admitter

import (
	"cmp"
	"slices"
	"time"
)

// compareTickets orders waiting requests by priority, then by whether they can still be on time, then by how their customers
// stand to their shares, then by arrival.
func compareTickets(now time.Time, x, y *Ticket) int {
	if x.request.Priority != y.request.Priority {
		return cmp.Compare(x.request.Priority, y.request.Priority)
	}
	if lateX, lateY := x.lateness(now), y.lateness(now); lateX != lateY {
		return cmp.Compare(lateX, lateY)
	}
	if x.standing != y.standing {
		return cmp.Compare(x.standing, y.standing)
	}
	return cmp.Compare(x.serial, y.serial)
}

// lateness returns 0 for a request that can still be on time and 1 for a late one.
func (t *Ticket) lateness(now time.Time) int {
	if now.Before(t.request.OnTimeUntil) {
		return 0
	}
	return 1
}

// insertPosition sorts the queue and returns the position at which a new request belongs.
func (s *service) insertPosition(now time.Time, t *Ticket) int {
	s.sortQueue(now)
	at, _ := slices.BinarySearchFunc(s.queue, t, func(x, y *Ticket) int { return compareTickets(now, x, y) })
	return at
}

// sortQueue restores the order of the queue, which changes as requests become late and as customers exceed their shares.
func (s *service) sortQueue(now time.Time) {
	s.updateStandings(now)
	slices.SortFunc(s.queue, func(x, y *Ticket) int { return compareTickets(now, x, y) })
}

// dispatch grants and refuses the waiting requests of all services in order. Once a request cannot be granted, those
// behind it that it blocks are only checked for refusal.
func (a *Admitter) dispatch(now time.Time) {
	for _, s := range a.orderedServices {
		if len(s.queue) == 0 {
			continue
		}
		s.sortQueue(now)
		kept := s.queue[:0]
		var blockers []*Ticket
		var common *availability
		ahead := time.Duration(0)
		for _, t := range s.queue {
			if a.isTooLate(now, s, t) {
				t.resolve(newRefused(now, t, ReasonStopping, minRetryAfter))
				continue
			}
			if !slices.ContainsFunc(blockers, func(b *Ticket) bool { return b.blocks(now, s, t) }) {
				common = nil
				if a.grant(now, s, t) {
					continue
				}
				// A request that excludes upstreams or is isolated may find none while the next request does.
				if len(t.request.Exclude) == 0 && !t.isIsolated() {
					blockers = append(blockers, t)
				}
			}
			available := common
			if available == nil || len(t.request.Exclude) > 0 {
				available = a.available(now, s, &t.request)
			}
			if len(t.request.Exclude) == 0 {
				common = available
			}
			if r, refused := a.refusal(now, s, t, ahead, available); refused {
				t.resolve(r)
				continue
			}
			kept = append(kept, t)
			ahead += s.expectedTime(t.request.Work)
		}
		clear(s.queue[len(kept):])
		s.queue = kept
	}
}

// blocks reports whether a request that cannot be granted holds back one behind it. Late requests start at a group only
// within the capacity that others leave, so they do not hold back a request of lower priority that can be on time.
func (t *Ticket) blocks(now time.Time, s *service, behind *Ticket) bool {
	return s.Engine == nil || t.lateness(now) <= behind.lateness(now)
}

// grant assigns the request to an upstream if one can accept it now, and reports whether it did. It closes groups that
// have stalled. A closed group gets only probes.
func (a *Admitter) grant(now time.Time, s *service, t *Ticket) bool {
	// Few services have more groups than the buffer on the stack holds.
	var buffer [8]*group
	open, anyClosed := buffer[:0], false
	for _, g := range s.orderedGroups {
		if !g.closed && stalled(now, s, g) {
			a.closeGroup(now, s, g, CauseStall)
		}
		if g.closed {
			anyClosed = true
		} else if a.allowsStart(now, s, g, t) {
			open = append(open, g)
		}
	}
	best := a.choose(now, s, &t.request, open)
	// A request whose client does not retry is not risked on a closed group while another one accepts it.
	if anyClosed && !t.isIsolated() && (best == nil || !t.request.NoClientRetry) {
		interval := probeInterval
		if best != nil {
			interval = sparedProbeInterval
		}
		if probed := a.chooseProbed(now, s, t, interval); probed != nil {
			best = probed
			best.group.lastProbe = now
		}
	}
	if best == nil {
		return false
	}
	load, work := best.running+best.peerRunning, s.load(best)
	if best.group.running == 0 {
		// Without running requests there was no progress to observe; the stall timeout starts now.
		best.group.lastProgress = now
	}
	best.running++
	added := s.countTokens(t.request)
	best.tokens.add(added)
	size := s.relativeSize(t.request.Work)
	s.running++
	s.runningSizes += size
	best.group.running++
	late := t.lateness(now) > 0
	if late {
		best.group.allotment.late--
		best.runningLate++
		best.group.runningLate++
	}
	isStart := s.Engine != nil && t.request.Stream
	if isStart {
		best.group.window.starting++
	}
	a.limiter.Take(best.ID, a.demandShare(now, s))
	s.sharer(t.request.Priority).RecordGrant(now, t.request.Customer, 1)
	best.coldPacer.nextSend = now.Add(a.coldInterval(s))
	t.resolve(Granted{
		Upstream: best.Upstream, Waited: now.Sub(t.arrived), Load: load, Work: work, late: late,
		work: t.request.Work, size: size, tokens: &added, afterPause: a.pauser.Take(best.ID),
		firstByte: &firstByteWait{pending: isStart, since: now, window: best.group.window},
	})
	return true
}

// allowsStart reports whether a group may get one more request of this gateway, whichever of its ranks receives it.
func (a *Admitter) allowsStart(now time.Time, s *service, g *group, t *Ticket) bool {
	if s.Engine != nil && t.request.Stream && !g.window.allows(a.startShare(g)) {
		return false
	}
	return g.closed || g.allotment.allows(g.running, t.lateness(now) > 0)
}

// chooseProbed returns the upstream of a closed group that the request is to probe, or nil. The group that was not probed
// for the longest time comes first.
func (a *Admitter) chooseProbed(now time.Time, s *service, t *Ticket, interval time.Duration) *upstream {
	var due *group
	for _, g := range s.groups {
		if g.closed && now.Sub(g.lastProbe) >= a.ownInterval(interval) && a.allowsStart(now, s, g, t) &&
			(due == nil || g.lastProbe.Before(due.lastProbe)) {
			due = g
		}
	}
	if due == nil {
		return nil
	}
	return a.choose(now, s, &t.request, []*group{due})
}

// availability describes the upstreams that a waiting request may get.
type availability struct {
	// usable holds the groups of the upstreams, and openSlots is the number of slots of those that may get requests now.
	usable    []*group
	openSlots int
	// allPaused is set if each upstream is paused, and pauseEnd is when the first pause ends.
	allPaused bool
	pauseEnd  time.Time
}

// available returns the upstreams that a request may get. Requests without excluded upstreams may get the same ones.
func (a *Admitter) available(now time.Time, s *service, request *Request) *availability {
	if len(request.Exclude) == 0 && a.isUnrestricted(now) {
		return s.allUsable()
	}
	out := &availability{allPaused: true}
	for _, u := range s.usable {
		if request.Exclude[u.ID] {
			continue
		}
		if !slices.Contains(out.usable, u.group) {
			out.usable = append(out.usable, u.group)
		}
		switch until := a.pausedUntil(now, u); {
		case until.IsZero():
			out.allPaused = false
		case out.pauseEnd.IsZero() || until.Before(out.pauseEnd):
			out.pauseEnd = until
		}
		if !u.group.closed && a.allows(now, u) {
			out.openSlots += a.usableSlots(s, u)
		}
	}
	return out
}

// isUnrestricted reports whether no upstream has a pause, a rate limit or a backoff after oversized responses.
func (a *Admitter) isUnrestricted(now time.Time) bool {
	return a.pauser.IsEmpty() && a.limiter.IsEmpty() && !now.Before(a.oversizedUntil)
}

// allUsable returns all usable upstreams, provided that none is restricted.
func (s *service) allUsable() *availability {
	out := &availability{usable: s.usableGroups, allPaused: len(s.usable) == 0}
	for _, g := range s.usableGroups {
		if !g.closed {
			out.openSlots += g.slots
		}
	}
	return out
}

// refusal returns the refusal of a request that cannot be served in time, and false for any other request. ahead is the time
// that the requests before it will take. Estimates of the wait do not refuse a request whose client does not retry.
func (a *Admitter) refusal(now time.Time, s *service, t *Ticket, ahead time.Duration, available *availability) (Refused, bool) {
	remaining, closed := remainingOutage(now, available.usable)
	if !now.Before(t.request.GrantUntil) {
		if closed {
			return newRefused(now, t, ReasonGroupClosed, maxRetryAfter), true
		}
		return newRefused(now, t, ReasonDeadline, s.slotTime()), true
	}
	if len(available.usable) == 0 {
		return newRefused(now, t, ReasonNoUpstream, time.Second), true
	}
	if available.allPaused && available.pauseEnd.After(t.request.GrantUntil) {
		return newRefused(now, t, ReasonPaused, available.pauseEnd.Sub(now)), true
	}
	if t.request.NoClientRetry {
		return Refused{}, false
	}
	if closed {
		if now.Add(remaining).After(t.request.GrantUntil) {
			// The end of the outage is an estimate. A client that retries too early is refused again and may not retry
			// once more, so it gets the longest Retry-After that it honours.
			return newRefused(now, t, ReasonGroupClosed, maxRetryAfter), true
		}
		return Refused{}, false
	}
	if r, refused := a.shareRefusal(now, s, t); refused {
		return r, true
	}
	wait := a.expectedWait(ahead, available)
	if now.Add(wait).After(t.request.GrantUntil) {
		return newRefused(now, t, ReasonOverload, wait), true
	}
	return Refused{}, false
}

// expectedWait returns the estimated time until a slot becomes free for a request. ahead is the time that the requests before
// it will take. The queues of all gateways are assumed to be equally long.
func (a *Admitter) expectedWait(ahead time.Duration, available *availability) time.Duration {
	return time.Duration(float64(ahead) * float64(a.gateways) / float64(max(available.openSlots, 1)))
}

// isTooLate reports whether the gateway is likely to stop before a request that starts now is complete. Of a request that
// has to end earlier in any case, the client gets a response in time.
func (a *Admitter) isTooLate(now time.Time, s *service, t *Ticket) bool {
	if a.stopsAt.IsZero() {
		return false
	}
	end := now.Add(scale(s.serviceTime+deviationFactor*s.timeDeviation, s.relativeSize(t.request.Work)))
	return end.After(a.stopsAt) && t.request.Deadline.After(a.stopsAt)
}

// newRefused returns a refusal. Its Retry-After is limited to the longest that the client honours.
func newRefused(now time.Time, t *Ticket, reason Reason, wait time.Duration) Refused {
	left := t.request.Deadline.Sub(now)
	return Refused{Reason: reason, RetryAfter: max(min(wait, left/RetryAfterDivisor), minRetryAfter)}
}
