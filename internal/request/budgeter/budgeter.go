// Package budgeter bounds repeated sends. All gateways together may send a service only so many repeats within a
// window; each takes a share that holds without agreement. The package has no I/O and no clock of its own.
package budgeter

import (
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	// buckets divides the window; a bucket is forgotten as a whole.
	buckets = 20
	// safety keeps a part of the share unused, since windows of the rule slide and those here move by a bucket.
	safety = 0.85
)

// Config sets up a Budgeter.
type Config struct {
	// Ratio is the number of repeats allowed for each request of a service.
	Ratio float64
	// Extra is the number of repeats allowed beside, over all gateways.
	Extra int
	// Window is the span in which both are counted.
	Window time.Duration
}

type bucket struct {
	at       int64
	requests int
	repeats  int
}

// Budgeter counts the requests and repeats of one gateway.
type Budgeter struct {
	cfg      Config
	mu       sync.Mutex
	gateways int
	services map[identifier.Service]*[buckets]bucket
}

// New returns a Budgeter that takes itself for one of the given number of gateways.
func New(cfg Config, gateways int) *Budgeter {
	return &Budgeter{cfg: cfg, gateways: max(gateways, 1), services: map[identifier.Service]*[buckets]bucket{}}
}

// SetGateways sets how many gateways share the extra repeats.
func (b *Budgeter) SetGateways(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gateways = max(n, 1)
}

// Arrived counts a request for a service.
func (b *Budgeter) Arrived(now time.Time, s identifier.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(now, s).requests++
}

// Take counts a repeat if the share of this gateway allows one.
func (b *Budgeter) Take(now time.Time, s identifier.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.bucket(now, s)
	requests, repeats := 0, 0
	for _, k := range b.services[s] {
		if k.at > current.at-buckets {
			requests += k.requests
			repeats += k.repeats
		}
	}
	share := safety * (b.cfg.Ratio*float64(requests) + float64(b.cfg.Extra)/float64(b.gateways))
	if float64(repeats+1) > share {
		return false
	}
	current.repeats++
	return true
}

func (b *Budgeter) bucket(now time.Time, s identifier.Service) *bucket {
	ring, found := b.services[s]
	if !found {
		ring = &[buckets]bucket{}
		b.services[s] = ring
	}
	at := now.UnixNano() / int64(b.cfg.Window/buckets)
	k := &ring[at%buckets]
	if k.at != at {
		*k = bucket{at: at}
	}
	return k
}
