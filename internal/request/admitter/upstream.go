package admitter

import (
	"math"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/cataloguer"
)

// upstream is what is believed of one incarnation.
type upstream struct {
	cataloguer.Upstream
	running int
	peers   int
	// limit is the number of requests that this gateway may run on a rank of a group.
	limit      int
	pause      time.Duration
	pausedTill time.Time
	failures   float64
	failuresAt time.Time
	first      time.Duration
	coldTill   time.Time
	// replaced is set once another upstream has answered at the address. shadowedBy is a newer entry with the same address,
	// if there is one.
	replaced   bool
	shadowedBy *upstream
	cold       gate
}

// gate spaces the sends to a cold upstream.
type gate struct {
	next time.Time
}

func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(latencySmoothing*float64(sample-old))
}

func (u *upstream) observe(now time.Time, failed float64) {
	u.failures = u.recentFailures(now) + failed
	u.failuresAt = now
}

func (u *upstream) recentFailures(now time.Time) float64 {
	if u.failures == 0 {
		return 0
	}
	halfLives := now.Sub(u.failuresAt).Seconds() / failureHalfLife.Seconds()
	return u.failures * math.Exp2(-halfLives)
}

// shadowed tells whether the upstream has probably ended: its entry stays for some seconds while its successor, which has
// a newer entry, answers at the same address.
func (u *upstream) shadowed() bool {
	return u.replaced || u.shadowedBy != nil && !u.shadowedBy.replaced
}

// shadow notes which entries have a newer one of the same service at the same address.
func shadow(upstreams map[identifier.Upstream]*upstream) {
	type place struct {
		service identifier.Service
		address string
	}
	newest := map[place]*upstream{}
	for _, u := range upstreams {
		at := place{u.Service, u.Address}
		if known := newest[at]; !u.replaced && (known == nil || u.Version > known.Version) {
			newest[at] = u
		}
	}
	for _, u := range upstreams {
		u.shadowedBy = nil
		if n := newest[place{u.Service, u.Address}]; n != nil && n != u {
			u.shadowedBy = n
		}
	}
}
