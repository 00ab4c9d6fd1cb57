package timekeeper_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/request/timekeeper"
)

// Guards against passes that are missed or counted twice, since the events of a pass reach a gateway one after the other.
func TestEachPassIsSeenOnce(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(1, 1))
	k := timekeeper.New()
	now := time.Unix(1000, 0)
	const streams, delay = 5, 8 * time.Millisecond
	var last [streams]time.Time
	seen, passes := 0, 0
	for range 200 {
		took := time.Duration(40+random.IntN(200)) * time.Millisecond
		now = now.Add(took)
		passes++
		for i := range last {
			at := now.Add(delay * time.Duration(i) / streams)
			if !last[i].IsZero() {
				if p, ended := k.Observe(at, at.Sub(last[i])); ended {
					seen++
					require.InDelta(t, took.Seconds(), p.Took.Seconds(), delay.Seconds())
				}
			}
			last[i] = at
		}
	}
	require.Equal(t, passes-1, seen)
}
