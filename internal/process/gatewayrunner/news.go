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
	// coalesceDelay is how long urgent news wait for others: an upstream that crashes ends all its requests within a few
	// milliseconds. minUrgentInterval is the least time between two rounds of datagrams for urgent news.
	coalesceDelay     = 2 * time.Millisecond
	minUrgentInterval = 20 * time.Millisecond
)

// coalescer calls a function soon after it was triggered, once for several triggers in quick succession.
type coalescer struct {
	call    func()
	mu      sync.Mutex
	pending bool
	lastAt  time.Time
}

func newCoalescer(call func()) *coalescer {
	return &coalescer{call: call}
}

func (c *coalescer) trigger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending {
		return
	}
	c.pending = true
	time.AfterFunc(max(coalesceDelay, minUrgentInterval-time.Since(c.lastAt)), func() {
		c.mu.Lock()
		c.pending, c.lastAt = false, time.Now()
		c.mu.Unlock()
		c.call()
	})
}

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
