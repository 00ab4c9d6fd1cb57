package forwarder

import (
	"time"

	"currantledge.example/currantledge/internal/process/meter"
)

// missedTargets are the targets of a route that a stream has missed, as the log names them.
type missedTargets string

const (
	missedNone       missedTargets = ""
	missedFirstEvent missedTargets = "firstEvent"
	missedGap        missedTargets = "gap"
	missedBoth       missedTargets = "firstEventAndGap"
)

// missedTargets returns the targets that the response of a streaming route has missed so far: its first event came later
// than the objective after the arrival of the request at this gateway, or the longest time between two events exceeds the
// gap target. The wait for an event that has not arrived counts as well. Several upstreams may have contributed.
func (s *stream) missedTargets(now time.Time, c *call, complete bool) missedTargets {
	if !c.route.Stream {
		return missedNone
	}
	first, gap := s.firstEventAt, s.longestWait
	switch {
	case first.IsZero() && complete:
		// A stream without events has no pace.
		return missedNone
	case first.IsZero():
		first = now
	case !complete:
		gap = max(gap, now.Sub(s.lastEventAt))
	}
	firstIsLate := c.route.Objective > 0 && first.Sub(c.arrived) > c.route.Objective
	gapIsLong := c.route.GapTarget > 0 && gap > c.route.GapTarget
	switch {
	case firstIsLate && gapIsLong:
		return missedBoth
	case firstIsLate:
		return missedFirstEvent
	case gapIsLong:
		return missedGap
	}
	return missedNone
}

// countMissed counts the targets that the stream of one attempt has missed.
func (f *Forwarder) countMissed(missed missedTargets) {
	if missed == missedFirstEvent || missed == missedBoth {
		f.cfg.Meter.Increment(meter.GatewayFirstEventsLate)
	}
	if missed == missedGap || missed == missedBoth {
		f.cfg.Meter.Increment(meter.GatewayGapsLong)
	}
}
