package admitter

import "time"

const (
	// startsPerRank is the number of requests per rank, over all gateways, that may wait for their first byte when a
	// group opens. An engine pass prefills about three prompts of typical length on each rank. Further requests would
	// wait at the rank, where one whose client times out takes the slot of another.
	startsPerRank = 2
	// minStarts is the least number of such requests for one gateway, so that it can start a few at once when it is one of
	// many.
	minStarts = 2
	// The window grows with first bytes that take at most fastFirstByte and shrinks with those that take slowFirstByte or
	// longer. A well-used group takes 160 to 250 ms; clients expect 400 to 500 ms.
	fastFirstByte = 300 * time.Millisecond
	slowFirstByte = 500 * time.Millisecond
	// windowGrowth is the number of requests added for each fast first byte. Slow ones multiply the added number by
	// windowShrinkFactor, at most once per shrinkInterval.
	windowGrowth       = 0.5
	windowShrinkFactor = 0.8
	shrinkInterval     = 200 * time.Millisecond
	// maxExtraStarts bounds the added number, so that the window shrinks within a second when first bytes become slow.
	maxExtraStarts = 30
)

// startWindow limits the requests of this gateway that wait for their first byte at a group. When a group opens, every
// gateway has a queue: if all sent it at once, ranks would prefill prompts for seconds while clients leave. Like a
// congestion window, it grows by steps and shrinks by a factor, so that a gateway with more clients than others gets
// more than its share.
type startWindow struct {
	// starting is the number of requests that wait for their first byte.
	starting int
	// extra is the number of requests that fast first bytes have added to the gateway's share.
	extra    float64
	shrunkAt time.Time
}

// allows reports whether one more request may start, given the share of this gateway.
func (w *startWindow) allows(share int) bool {
	return w.starting < share+int(w.extra)
}

// observeFirstByte removes a request from those that wait for their first byte, and adapts the window to the time that
// the byte took.
func (w *startWindow) observeFirstByte(now time.Time, elapsed time.Duration) {
	w.starting--
	switch {
	case elapsed <= fastFirstByte:
		w.extra = min(w.extra+windowGrowth, maxExtraStarts)
	case elapsed >= slowFirstByte && now.Sub(w.shrunkAt) >= shrinkInterval:
		w.extra *= windowShrinkFactor
		w.shrunkAt = now
	}
}

// reset shrinks the window to the gateway's share.
func (w *startWindow) reset() {
	w.extra = 0
}

// startShare returns this gateway's share of the requests that may wait for their first byte when a group opens.
func (a *Admitter) startShare(g *group) int {
	return max(startsPerRank*g.ranks/a.gateways, minStarts)
}
