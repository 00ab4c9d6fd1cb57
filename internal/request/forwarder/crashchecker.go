package forwarder

import (
	"context"
	"maps"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"currantledge.example/currantledge/internal/connection/requester"
)

const (
	// crashCheckTimeout bounds the check whether an upstream still listens.
	crashCheckTimeout = 100 * time.Millisecond
	// crashCheckExpiry is how long an upstream counts as ended without another check: one that crashes ends all its streams
	// within some milliseconds.
	crashCheckExpiry = 100 * time.Millisecond
)

// crashChecker checks whether upstreams have ended, once for all requests that break on one at the same time.
type crashChecker struct {
	requester *requester.Requester
	checks    singleflight.Group
	mu        sync.Mutex
	// ended holds when upstreams were found to have ended, by address.
	ended map[string]time.Time
}

func newCrashChecker(r *requester.Requester) *crashChecker {
	return &crashChecker{requester: r, ended: map[string]time.Time{}}
}

// hasEnded reports whether the upstream at an address refuses connections.
func (c *crashChecker) hasEnded(address string) bool {
	if c.hasEndedLately(address) {
		return true
	}
	ended, _, _ := c.checks.Do(address, func() (any, error) {
		// The check serves other requests than the first one, so it does not end with that.
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		if !c.requester.Refuses(ctx, address) {
			return false, nil
		}
		c.record(address)
		return true, nil
	})
	return ended.(bool)
}

func (c *crashChecker) hasEndedLately(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, known := c.ended[address]
	return known && time.Since(at) < crashCheckExpiry
}

func (c *crashChecker) record(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(c.ended, func(_ string, at time.Time) bool { return now.Sub(at) >= crashCheckExpiry })
	c.ended[address] = now
}
