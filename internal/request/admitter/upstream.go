package admitter

import (
	"math"
	"time"

	"currantledge.example/currantledge/internal/version/cataloguer"
)

// upstream is what is believed of one incarnation.
type upstream struct {
	cataloguer.Upstream
	running    int
	peers      int
	pause      time.Duration
	pausedTill time.Time
	failures   float64
	failuresAt time.Time
	first      time.Duration
	coldTill   time.Time
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
