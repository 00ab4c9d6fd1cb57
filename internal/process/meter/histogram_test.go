package meter_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/meter"
)

// Guards against durations that are counted in a bucket below them, in two buckets or in none.
func TestHistogramBuckets(t *testing.T) {
	t.Parallel()
	h := &meter.Histogram{}
	for _, d := range []time.Duration{0, 5 * time.Millisecond, 5100 * time.Microsecond, 640 * time.Millisecond, time.Minute} {
		h.Observe(d)
	}
	var got map[string]int64
	require.NoError(t, json.Unmarshal([]byte(h.String()), &got))
	require.Equal(t, int64(2), got["le5"])
	require.Equal(t, int64(1), got["le10"])
	require.Equal(t, int64(1), got["le640"])
	require.Equal(t, int64(1), got["more"])
}
