// Package budgeter limits retries with a retry budget. Within a time window, all gateways together may send a service
// only a limited number of retries. Each gateway keeps to its own share of the budget, so that no coordination is
// needed. The package does no I/O and reads no clock.
package budgeter

import (
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	// bucketCount is the number of buckets that divide the window. Counts expire one bucket at a time.
	bucketCount = 20
	// safetyFactor is the usable part of a share: the window of the budget slides continuously, the one here by buckets.
	safetyFactor = 0.85
)

// Config sets up a Budgeter.
type Config struct {
	// Ratio is the number of retries allowed per request of a service.
	Ratio float64
	// Extra is the number of further retries of a service allowed in a window, over all gateways.
	Extra int
	// Window is the sliding window in which requests and retries are counted.
	Window time.Duration
	// StartedAt is when the gateway started. Before that it may have sent retries which it no longer knows of.
	StartedAt time.Time
}

// bucket holds the counts of one interval of length Window/bucketCount.
type bucket struct {
	// index is the number of the interval since the Unix epoch.
	index    int64
	requests int
	retries  int
}

// Budgeter counts the requests and retries of one gateway. It is safe for concurrent use.
type Budgeter struct {
	cfg      Config
	mu       sync.Mutex
	gateways int
	services map[identifier.Service]*[bucketCount]bucket
}

// New returns a Budgeter for one of the given number of gateways.
func New(cfg Config, gateways int) *Budgeter {
	return &Budgeter{cfg: cfg, gateways: max(gateways, 1), services: map[identifier.Service]*[bucketCount]bucket{}}
}

// SetGateways sets how many gateways share the extra retries, this one included.
func (b *Budgeter) SetGateways(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gateways = max(n, 1)
}

// RecordRequest counts a request for a service.
func (b *Budgeter) RecordRequest(now time.Time, s identifier.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(now, s).requests++
}

// Take takes one retry from the budget if the share of this gateway allows it, and reports whether it did.
func (b *Budgeter) Take(now time.Time, s identifier.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.bucket(now, s)
	requests, retries := 0, 0
	for _, k := range b.services[s] {
		if k.index > current.index-bucketCount {
			requests += k.requests
			retries += k.retries
		}
	}
	share := safetyFactor * (b.cfg.Ratio*float64(requests) + b.extra(now))
	if float64(retries+1) > share {
		return false
	}
	current.retries++
	return true
}

// extra returns the share of the extra retries. A gateway that was restarted may have sent all of its share just before,
// so it has none until a window has passed.
func (b *Budgeter) extra(now time.Time) float64 {
	if now.Sub(b.cfg.StartedAt) < b.cfg.Window {
		return 0
	}
	return float64(b.cfg.Extra) / float64(b.gateways)
}

// bucket returns the current bucket of a service, reset if it held an interval of an earlier window.
func (b *Budgeter) bucket(now time.Time, s identifier.Service) *bucket {
	ring, found := b.services[s]
	if !found {
		ring = &[bucketCount]bucket{}
		b.services[s] = ring
	}
	index := now.UnixNano() / int64(b.cfg.Window/bucketCount)
	k := &ring[index%bucketCount]
	if k.index != index {
		*k = bucket{index: index}
	}
	return k
}
