package admitter

import (
	"math"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/cataloguer"
)

// upstream is the state of one incarnation of an upstream as this gateway knows it.
type upstream struct {
	cataloguer.Upstream
	// group is that of Upstream.Group.
	group *group
	// isUsable is the result of Admitter.usable at the latest countRanks.
	isUsable bool
	// running is the number of requests that this gateway runs on the upstream, and peerRunning that of all others.
	running     int
	peerRunning int
	// runningLate is the number of those in running that could no longer be on time when they were granted.
	runningLate int
	// tokens are those of the requests in running.
	tokens tokenCounts
	// limit is the number of requests that the allotment lets this gateway run on a rank of a group.
	limit int
	// backoff is the latest backoff after a failed connection; the upstream gets no requests before backoffUntil.
	backoff      time.Duration
	backoffUntil time.Time
	// oversizedAt is when the upstream last sent an oversized response, oversizedBackoff the latest backoff after one, and
	// oversizedUntil its end.
	oversizedAt      time.Time
	oversizedBackoff time.Duration
	oversizedUntil   time.Time
	// failures is the decayed number of failures as of failuresAt.
	failures   float64
	failuresAt time.Time
	// closings counts the responses in a row after which the upstream closed the connection.
	closings int
	// firstByte is the moving average of the time to the first byte of a response, or 0.
	firstByte time.Duration
	// coldUntil is the end of the cold time; until then the rate limit of cold upstreams applies.
	coldUntil time.Time
	// leavingSince is when the upstream announced that it leaves; zero if it has not.
	leavingSince time.Time
	// replaced is set once another upstream has answered at the address.
	replaced bool
	// supersededBy is the newest list entry with the same service and address, or nil if it is this one.
	supersededBy *upstream
	coldPacer    pacer
}

// pacer spaces the requests to a cold upstream.
type pacer struct {
	nextSend time.Time
}

// smooth returns the exponential moving average after a further sample; an average of 0 has no samples yet.
func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(latencySmoothing*float64(sample-old))
}

func (u *upstream) recordFailures(now time.Time, n float64) {
	u.failures = u.recentFailures(now) + n
	u.failuresAt = now
}

// recordOversized backs the upstream off from its second oversized response on. Requests that ran on it before the backoff
// do not lengthen it.
func (u *upstream) recordOversized(now time.Time) {
	if now.Before(u.oversizedUntil) {
		return
	}
	isFirst := now.Sub(u.oversizedAt) > oversizedMemory
	u.oversizedAt = now
	if isFirst {
		u.oversizedBackoff = 0
		return
	}
	u.oversizedBackoff = min(max(2*u.oversizedBackoff, minOversizedBackoff), maxOversizedBackoff)
	u.oversizedUntil = now.Add(u.oversizedBackoff)
}

// recordClosing records whether the upstream closed the connection after a response.
func (u *upstream) recordClosing(now time.Time, closing bool) {
	if !closing {
		u.closings = 0
		return
	}
	u.closings++
	if u.closings >= minClosings {
		u.backoffUntil = now.Add(leavingBackoff)
	}
}

// recentFailures returns the number of failures, each decayed with failureHalfLife.
func (u *upstream) recentFailures(now time.Time) float64 {
	if u.failures == 0 {
		return 0
	}
	halfLives := now.Sub(u.failuresAt).Seconds() / failureHalfLife.Seconds()
	return u.failures * math.Exp2(-halfLives)
}

// freeSlots returns the number of slots that no gateway is known to use.
func (u *upstream) freeSlots() int {
	return max(u.Slots-u.running-u.peerRunning, 0)
}

func (u *upstream) isLeaving() bool {
	return !u.leavingSince.IsZero()
}

// superseded reports whether the upstream has probably ended: its list entry remains for some seconds while its
// successor, which has a newer entry, answers at the same address.
func (u *upstream) superseded() bool {
	return u.replaced || u.supersededBy != nil && !u.supersededBy.replaced
}

// markSuperseded sets supersededBy of all upstreams.
func markSuperseded(upstreams map[identifier.Upstream]*upstream) {
	type endpoint struct {
		service identifier.Service
		address string
	}
	newest := map[endpoint]*upstream{}
	for _, u := range upstreams {
		at := endpoint{u.Service, u.Address}
		if known := newest[at]; !u.replaced && (known == nil || u.Version > known.Version) {
			newest[at] = u
		}
	}
	for _, u := range upstreams {
		u.supersededBy = nil
		if n := newest[endpoint{u.Service, u.Address}]; n != nil && n != u {
			u.supersededBy = n
		}
	}
}
