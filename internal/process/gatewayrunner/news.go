package gatewayrunner

import (
	"sync"
	"time"
)

const (
	// newsRepeatTime is how long each datagram holds news, since single datagrams are lost.
	newsRepeatTime = time.Second
	// newsRefreshInterval is the time between two datagrams that hold the state without news, for gateways that were cut
	// off.
	newsRefreshInterval = time.Second
	// maxUrgentAge is the age up to which a relay passes a crash on at once; older ones are in the next datagrams.
	maxUrgentAge = 2 * time.Second
)

// newsTimer decides which datagrams hold a state that seldom changes.
type newsTimer struct {
	mu     sync.Mutex
	newsAt time.Time
	sentAt time.Time
}

// add records that the state has changed or that a gateway has appeared which may not know it.
func (t *newsTimer) add(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.newsAt = now
}

// due reports whether the next datagram holds the state.
func (t *newsTimer) due(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.newsAt) > newsRepeatTime && now.Sub(t.sentAt) < newsRefreshInterval {
		return false
	}
	t.sentAt = now
	return true
}
