package admitter

import "time"

const (
	// startsPerRank is the number of requests of all gateways that may wait for their first byte when a group opens, for
	// each rank. A pass reads about three prompts of usual length on each rank; more would wait there, where a client that
	// runs out of patience costs the place of another.
	startsPerRank = 2
	// minStarts lets a gateway that is one of many begin a few requests at once.
	minStarts = 2
	// quickStart and slowStart are the times to the first byte below which the window grows and above which it shrinks. A
	// group that is well used takes 160 to 250 ms; the users' clients want 400 to 500 ms.
	quickStart = 300 * time.Millisecond
	slowStart  = 500 * time.Millisecond
	// startGrowth is added for each quick start, and startShrink multiplies the window for slow ones, once in shrinkPause.
	startGrowth = 0.5
	startShrink = 0.8
	shrinkPause = 200 * time.Millisecond
	// maxExtra bounds what quick starts add, so that the window closes within a second when starts become slow.
	maxExtra = 30
)

// startWindow bounds the requests of this gateway that wait for their first byte at a group. When a group opens, every
// gateway has a queue: if all sent it at once, ranks would read prompts for seconds while clients leave. The window opens
// as first bytes come quickly, so that a gateway with more clients than others gets what it needs.
type startWindow struct {
	starting int
	// extra is what quick starts have added to the gateway's share.
	extra    float64
	shrunkAt time.Time
}

// takes tells whether one more request may start, given the share of this gateway.
func (w *startWindow) takes(share int) bool {
	return w.starting < share+int(w.extra)
}

// started notes that the first byte of an answer has come after a time.
func (w *startWindow) started(now time.Time, after time.Duration) {
	w.starting--
	switch {
	case after <= quickStart:
		w.extra = min(w.extra+startGrowth, maxExtra)
	case after >= slowStart && now.Sub(w.shrunkAt) >= shrinkPause:
		w.extra *= startShrink
		w.shrunkAt = now
	}
}

func (w *startWindow) reset() {
	w.extra = 0
}

// startShare returns how many requests of this gateway may wait for their first byte at a group that has just opened.
func (a *Admitter) startShare(s *service) int {
	ranks := 0
	for _, u := range a.upstreams {
		if u.Service == s.Name && a.usable(u) {
			ranks++
		}
	}
	return max(startsPerRank*ranks/a.gateways, minStarts)
}
