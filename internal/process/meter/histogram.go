package meter

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync/atomic"
	"time"
)

// upperBoundsMs are the inclusive upper bounds of the buckets of a histogram, in milliseconds. Each is at least twice
// the previous one.
var upperBoundsMs = [...]int64{5, 10, 20, 40, 80, 160, 320, 640, 1280, 2560, 5120, 12800}

// Histogram counts durations in buckets. The zero value is empty. Its methods may be called concurrently.
type Histogram struct {
	// counts has one element for each upper bound, and a last one for longer durations.
	counts [len(upperBoundsMs) + 1]atomic.Int64
}

// NewHistogram returns an empty histogram and publishes it under the name.
func (m *Meter) NewHistogram(name Name) *Histogram {
	h := &Histogram{}
	m.vars.Set(string(name), h)
	return h
}

// Observe adds a duration to the first bucket whose upper bound is not below it, rounded up to milliseconds.
func (h *Histogram) Observe(d time.Duration) {
	bucket, _ := slices.BinarySearch(upperBoundsMs[:], int64((d+time.Millisecond-1)/time.Millisecond))
	h.counts[bucket].Add(1)
}

// String returns the counts as a JSON object, as expvar.Var requires. Each count is that of one bucket alone.
func (h *Histogram) String() string {
	out := make(map[string]int64, len(h.counts))
	for i := range upperBoundsMs {
		out[fmt.Sprintf("le%d", upperBoundsMs[i])] = h.counts[i].Load()
	}
	out["more"] = h.counts[len(upperBoundsMs)].Load()
	raw, err := json.Marshal(out)
	if err != nil {
		return "{}"
	}
	return string(raw)
}
