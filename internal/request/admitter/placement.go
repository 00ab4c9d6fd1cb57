package admitter

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// choose returns the best upstream of a random sample of those in some groups that can accept the request, or nil. The
// counts of other gateways are some hundred milliseconds old: if every gateway chose the best of all, many would choose
// the same one at the same time. Upstreams from which other gateways had to turn away come last.
func (a *Admitter) choose(now time.Time, s *service, request *Request, groups []*group) *upstream {
	if len(groups) == 0 {
		return nil
	}
	if request.IsolateBy != "" {
		u := a.isolationUpstream(now, request)
		if u == nil || !slices.Contains(groups, u.group) || !a.accepts(now, s, u, request) {
			return nil
		}
		return u
	}
	classes := &a.classes
	for i := range classes {
		classes[i] = classes[i][:0]
	}
	for _, u := range s.usable {
		switch {
		case u.isFull(), !slices.Contains(groups, u.group), request.Exclude[u.ID], !a.accepts(now, s, u, request):
		default:
			class := a.classOf(now, s, u, request)
			classes[class] = append(classes[class], u)
		}
	}
	var accepting []*upstream
	for _, class := range classes {
		if accepting = class; len(class) > 0 {
			break
		}
	}
	samples := len(accepting)
	if a.gateways > 1 {
		samples = min(samples, sampledUpstreams)
	}
	var best *upstream
	bestScore := 0.0
	for i := range samples {
		j := i + int(a.cfg.Draw()*float64(len(accepting)-i))
		accepting[i], accepting[j] = accepting[j], accepting[i]
		if score := a.score(now, s, accepting[i]); best == nil || score < bestScore {
			best, bestScore = accepting[i], score
		}
	}
	return best
}

// classOf returns the class of an upstream that can accept the request, from 0; those of the lowest class are compared. Those
// with memory for the request precede those without, which would have to preempt one, and within both, those from which
// other gateways had to turn away come last.
func (a *Admitter) classOf(now time.Time, s *service, u *upstream, request *Request) int {
	class := 0
	if !s.hasMemory(u, request) {
		class += 2
	}
	if a.pauser.IsDiscouraged(now, u.ID) {
		class++
	}
	return class
}

// isolationUpstream returns the upstream for an isolated request by rendezvous hashing, or nil. Gateways that know the
// same upstreams choose the same one. An upstream that has crashed is listed for some seconds more; the request would wait
// for it in vain.
func (a *Admitter) isolationUpstream(now time.Time, request *Request) *upstream {
	var best *upstream
	var bestHash uint64
	for _, u := range a.upstreams {
		if u.Service != request.Service || request.Exclude[u.ID] || !a.usable(u) || u.isUnreachable(now) {
			continue
		}
		if h := xxhash.Sum64String(request.IsolateBy + "/" + string(u.ID)); best == nil || h > bestHash {
			best, bestHash = u, h
		}
	}
	return best
}

// accepts reports whether an upstream can accept one more request now: it has a free slot within this gateway's
// allotment, no backoff or pause, and its rate limit allows a request, if it has one or is cold.
func (a *Admitter) accepts(now time.Time, s *service, u *upstream, request *Request) bool {
	if u.isFull() || now.Before(u.backoffUntil) || !a.allows(now, u) {
		return false
	}
	if _, limited := a.limiter.Limit(u.ID); limited {
		late := !now.Before(request.OnTimeUntil)
		if !a.limiter.Allows(now, u.ID, a.demandShare(now, s), late) {
			return false
		}
	}
	return !now.Before(u.coldUntil) || s.ColdPerSecond <= 0 || !now.Before(u.coldPacer.nextSend)
}

// allows reports whether neither a pause that the upstream has asked for nor its oversized responses forbid a request.
func (a *Admitter) allows(now time.Time, u *upstream) bool {
	return a.pauser.Allows(now, u.ID) && !now.Before(u.oversizedUntil)
}

// pausedUntil returns the end of the time for which the upstream gets no requests since it has asked for a pause or sent
// oversized responses; zero if there is none.
func (a *Admitter) pausedUntil(now time.Time, u *upstream) time.Time {
	until := a.pauser.Until(now, u.ID)
	if now.Before(u.oversizedUntil) && u.oversizedUntil.After(until) {
		until = u.oversizedUntil
	}
	return until
}

// isUnreachable reports whether the last connection to the upstream failed and none is to be tried yet.
func (u *upstream) isUnreachable(now time.Time) bool {
	return u.backoff > 0 && now.Before(u.backoffUntil)
}

// isFull reports whether the upstream has no free slot within this gateway's allotment.
func (u *upstream) isFull() bool {
	if u.group.allotment.computedAt.IsZero() {
		return u.running+u.peerRunning >= u.Slots
	}
	return u.running >= u.limit
}

// usable reports whether an upstream may receive requests at all.
func (a *Admitter) usable(u *upstream) bool {
	return !u.Draining && !u.isLeaving() && !a.evacuated[u.FailureDomain] && !u.superseded()
}

const (
	// failurePenalty is added to a score for each recent failure; 1 is the load of an upstream whose slots are all used.
	failurePenalty = 0.5
	// remotePenalty is added for upstreams of other failure domains, so that ties go to the gateway's own.
	remotePenalty = 0.02
	// tieNoise scales the random part of a score, which spreads ties over the upstreams.
	tieNoise = 0.02
)

// score rates an upstream; lower is better. Ranks of a group advance together, so only their load counts, by the work of
// the requests. Plain upstreams differ in speed, so their load is weighted with their time to the first byte.
func (a *Admitter) score(now time.Time, s *service, u *upstream) float64 {
	score := s.load(u) / float64(u.Slots)
	if s.Engine == nil && u.firstByte > 0 {
		score = float64(u.running+u.peerRunning+1) * u.firstByte.Seconds() / max(s.serviceTime.Seconds(), time.Millisecond.Seconds()) / float64(u.Slots)
	}
	score += failurePenalty * u.recentFailures(now)
	if u.FailureDomain != a.cfg.FailureDomain {
		score += remotePenalty
	}
	return score + tieNoise*a.cfg.Draw()
}

// coldInterval returns the time between two requests that this gateway may send to a cold upstream.
func (a *Admitter) coldInterval(s *service) time.Duration {
	if s.ColdPerSecond <= 0 {
		return 0
	}
	rate := (a.cfg.ColdFactor*s.ColdPerSecond + a.cfg.ColdSlack) / float64(a.gateways)
	return time.Duration(float64(time.Second) / rate)
}
