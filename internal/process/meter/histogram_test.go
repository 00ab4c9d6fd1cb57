package meter_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/meter"
)

// Guards against durations that are counted below their time, twice or not at all.
func TestHistogram(t *testing.T) {
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
