package sharer

import (
	"math"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	// memory is the time constant with which usual loads follow what customers ask for. A burst of 7 s at 7 times the usual
	// load raises it to 1.7 times.
	memory = time.Minute
	// minLearnt is the time for which a customer is observed until its usual load is known. A burst of 7 s fills a third of it.
	minLearnt = 21 * time.Second
	// minKept is the work of a usual load below which it is deleted.
	minKept = 0.05
)

// load is what a customer asked this gateway for while capacity sufficed. Times are those of the clock of usualLoads.
type load struct {
	work  float64
	at    time.Duration
	since time.Duration
}

// usualLoads learns the usual loads of customers at this gateway.
type usualLoads struct {
	loads map[identifier.Customer]load
	// clock is the time for which capacity sufficed. Loads neither grow nor decay while it stands still.
	clock time.Duration
	// advancedAt is when the clock was last set.
	advancedAt time.Time
	// isShort is set while capacity is short, so that nothing is learnt.
	isShort bool
}

// advance sets the clock to the current time. The time since it was last set does not count if capacity is short.
func (l *usualLoads) advance(now time.Time, isShort bool) {
	if !l.advancedAt.IsZero() && !isShort {
		l.clock += max(now.Sub(l.advancedAt), 0)
	}
	l.advancedAt, l.isShort = now, isShort
}

// record adds work for which a customer has asked.
func (l *usualLoads) record(c identifier.Customer, work float64) {
	if l.isShort {
		return
	}
	known, found := l.loads[c]
	if !found {
		known = load{since: l.clock}
	}
	l.loads[c] = load{work: l.decayed(known) + work, at: l.clock, since: known.since}
}

func (l *usualLoads) decayed(of load) float64 {
	return of.work * math.Exp(-float64(l.clock-of.at)/float64(memory))
}

// prune deletes loads that have decayed.
func (l *usualLoads) prune() {
	for c, of := range l.loads {
		if l.decayed(of) < minKept {
			delete(l.loads, c)
		}
	}
}

// isKnown reports whether a customer has been observed for long enough.
func (l *usualLoads) isKnown(c identifier.Customer) bool {
	of, found := l.loads[c]
	return found && l.clock-of.since >= minLearnt
}

// usual returns the work that each customer usually asks for within the window of counts. It is empty until the load of a
// customer is known. From then on, a new customer has the mean of those that are known.
func (l *usualLoads) usual() map[identifier.Customer]float64 {
	out := make(map[identifier.Customer]float64, len(l.loads))
	for c, of := range l.loads {
		if l.isKnown(c) {
			observed := memory.Seconds() * -math.Expm1(-float64(l.clock-of.since)/float64(memory))
			out[c] = l.decayed(of) * window.Seconds() / observed
		}
	}
	if len(out) == 0 {
		return nil
	}
	each := mean(out)
	for c := range l.loads {
		if !l.isKnown(c) {
			out[c] = each
		}
	}
	return out
}

// mean returns the mean of the positive loads, or 0.
func mean(loads map[identifier.Customer]float64) float64 {
	sum, n := 0.0, 0
	for _, of := range loads {
		if of > 0 {
			sum += of
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}
