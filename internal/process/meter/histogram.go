package meter

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync/atomic"
	"time"
)

// bounds are the upper bounds of a histogram in milliseconds, each twice the one before.
var bounds = [...]int64{5, 10, 20, 40, 80, 160, 320, 640, 1280, 2560, 5120, 12800}

// Histogram counts durations by upper bound. The zero value is empty.
type Histogram struct {
	counts [len(bounds) + 1]atomic.Int64
}

// Histogram publishes a histogram under a name and returns it.
func (m *Meter) Histogram(name Name) *Histogram {
	h := &Histogram{}
	m.vars.Set(string(name), h)
	return h
}

// Observe counts a duration.
func (h *Histogram) Observe(d time.Duration) {
	at, _ := slices.BinarySearch(bounds[:], int64((d+time.Millisecond-1)/time.Millisecond))
	h.counts[at].Add(1)
}

// String returns the counts as a JSON object, as expvar expects.
func (h *Histogram) String() string {
	out := make(map[string]int64, len(h.counts))
	for i := range bounds {
		out[fmt.Sprintf("le%d", bounds[i])] = h.counts[i].Load()
	}
	out["more"] = h.counts[len(bounds)].Load()
	raw, err := json.Marshal(out)
	if err != nil {
		return "{}"
	}
	return string(raw)
}
