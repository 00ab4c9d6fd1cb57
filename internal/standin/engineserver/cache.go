package engineserver

import (
	"math/rand"
	"net/http"
	"slices"
	"strconv"
	"time"

	"currantledge.example/currantledge/internal/standin/responder"
)

// maxCacheEvents is the maximum number of events that are kept; older ones are lost, as in an engine.
const maxCacheEvents = 4096

type (
	wireCacheEvent struct {
		Sequence uint64 `json:"sequence"`
		Prefix   string `json:"prefix"`
		Added    bool   `json:"added"`
	}
	wireCacheEvents struct {
		Events []wireCacheEvent `json:"events"`
		Next   uint64           `json:"next"`
	}
)

// cacheEvent is an event with the time of its change. A lost event is never published.
type cacheEvent struct {
	wireCacheEvent
	at   time.Time
	lost bool
}

// prefixCache is an LRU cache of prefixes. It publishes its changes as events, with a delay and with gaps.
type prefixCache struct {
	size           int
	delay          time.Duration
	gapProbability float64
	random         *rand.Rand
	// prefixes are in order of use, the most recently used last.
	prefixes []string
	events   []cacheEvent
	// sequence is the sequence number of the last event.
	sequence uint64
}

func newPrefixCache(cfg Config) *prefixCache {
	return &prefixCache{
		size:           cfg.CachePrefixes,
		delay:          cfg.EventDelay,
		gapProbability: cfg.EventGapProbability,
		random:         rand.New(rand.NewSource(cfg.Seed)),
	}
}

// touch makes a prefix the most recently used one and reports whether the cache held it.
func (c *prefixCache) touch(prefix string) bool {
	if prefix == "" || c.size <= 0 {
		return false
	}
	i := slices.Index(c.prefixes, prefix)
	if i >= 0 {
		c.prefixes = append(slices.Delete(c.prefixes, i, i+1), prefix)
		return true
	}
	if len(c.prefixes) >= c.size {
		c.publish(c.prefixes[0], false)
		c.prefixes = slices.Delete(c.prefixes, 0, 1)
	}
	c.prefixes = append(c.prefixes, prefix)
	c.publish(prefix, true)
	return false
}

// publish adds an event, which becomes visible after the delay.
func (c *prefixCache) publish(prefix string, added bool) {
	c.sequence++
	c.events = append(c.events, cacheEvent{
		wireCacheEvent: wireCacheEvent{Sequence: c.sequence, Prefix: prefix, Added: added},
		at:             time.Now(),
		lost:           c.random.Float64() < c.gapProbability,
	})
	if len(c.events) > maxCacheEvents {
		c.events = slices.Delete(c.events, 0, 1)
	}
}

// eventsAfter returns the published events after a sequence number.
func (c *prefixCache) eventsAfter(sequence uint64) wireCacheEvents {
	out := wireCacheEvents{Events: []wireCacheEvent{}, Next: sequence}
	for _, e := range c.events {
		if e.Sequence <= sequence || time.Since(e.at) < c.delay {
			continue
		}
		out.Next = e.Sequence
		if !e.lost {
			out.Events = append(out.Events, e.wireCacheEvent)
		}
	}
	return out
}

func (e *engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	sequence, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		responder.Fail(w, http.StatusBadRequest, "malformed")
		return
	}
	e.mu.Lock()
	events := e.cache.eventsAfter(sequence)
	e.mu.Unlock()
	responder.JSON(w, http.StatusOK, events)
}
