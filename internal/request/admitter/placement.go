package admitter

import (
	"cmp"
	"slices"
	"time"
)

// choose returns the best of some upstreams that are drawn at random. Counts of other gateways are some hundred
// milliseconds old: if every gateway took the best of all, many would take the same one at the same time.
func (a *Admitter) choose(now time.Time, s *service, need Need) *upstream {
	var open []*upstream
	for _, u := range a.upstreams {
		if u.Service == need.Service && !need.Exclude[u.ID] && a.usable(u) && a.takes(now, s, u) {
			open = append(open, u)
		}
	}
	slices.SortFunc(open, func(x, y *upstream) int { return cmp.Compare(x.ID, y.ID) })
	draws := len(open)
	if a.gateways > 1 {
		draws = min(draws, drawsAmongPeers)
	}
	var best *upstream
	bestScore := 0.0
	for i := range draws {
		j := i + int(a.cfg.Draw()*float64(len(open)-i))
		open[i], open[j] = open[j], open[i]
		if score := a.score(now, s, open[i]); best == nil || score < bestScore {
			best, bestScore = open[i], score
		}
	}
	return best
}

// takes tells whether an upstream can take one more request now.
func (a *Admitter) takes(now time.Time, s *service, u *upstream) bool {
	full := u.running+u.peers >= u.Slots
	if !s.allotment.dealt.IsZero() {
		full = u.running >= u.limit
	}
	if full || now.Before(u.pausedTill) {
		return false
	}
	return !now.Before(u.coldTill) || s.ColdPerSecond <= 0 || !now.Before(u.cold.next)
}

// usable tells whether an upstream may get requests at all.
func (a *Admitter) usable(u *upstream) bool {
	return !u.Draining && !a.evacuated[u.FailureDomain] && !u.shadowed()
}

const (
	// failureWeight makes one recent failure count like half of an upstream's slots.
	failureWeight = 0.5
	// remoteWeight prefers the own failure domain on ties.
	remoteWeight = 0.02
	// tieWeight spreads ties over the upstreams.
	tieWeight = 0.02
)

// score is lower for the better upstream. Ranks of a group advance together, so only their load counts; plain upstreams
// differ in speed.
func (a *Admitter) score(now time.Time, s *service, u *upstream) float64 {
	score := float64(u.running+u.peers) / float64(u.Slots)
	if s.Engine == nil && u.first > 0 {
		score = float64(u.running+u.peers+1) * u.first.Seconds() / max(s.whole.Seconds(), time.Millisecond.Seconds()) / float64(u.Slots)
	}
	score += failureWeight * u.recentFailures(now)
	if u.FailureDomain != a.cfg.FailureDomain {
		score += remoteWeight
	}
	return score + tieWeight*a.cfg.Draw()
}

// coldSpacing is the time between two sends of this gateway to a cold upstream.
func (a *Admitter) coldSpacing(s *service) time.Duration {
	if s.ColdPerSecond <= 0 {
		return 0
	}
	rate := (a.cfg.ColdFactor*s.ColdPerSecond + a.cfg.ColdSlack) / float64(a.gateways)
	return time.Duration(float64(time.Second) / rate)
}
