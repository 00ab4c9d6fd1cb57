package streamer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/streamer"
)

// Guards against a response that reaches another customer, and against a second run after a repeated Dispatch message.
func TestLookupIsBoundToCustomer(t *testing.T) {
	t.Parallel()
	r := streamer.NewRegistry(streamer.RegistryConfig{})
	request := identifier.NewRequest()
	created, err := r.Create(request, 1, "c")
	require.NoError(t, err)
	_, err = r.Create(request, 1, "c")
	require.ErrorIs(t, err, streamer.ErrAttemptExists)
	found, ok := r.Lookup(request, 1, "c")
	require.True(t, ok)
	require.Same(t, created, found)
	for _, key := range []struct {
		attempt  identifier.Attempt
		customer identifier.Customer
	}{{1, "d"}, {2, "c"}, {1, ""}} {
		_, ok = r.Lookup(request, key.attempt, key.customer)
		require.False(t, ok)
	}
}

// Guards against unacknowledged responses that are removed before the retention time or kept after it, and against a
// shutdown that does not wait for acknowledgements.
func TestRetention(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_000_000, 0)
	r := streamer.NewRegistry(streamer.RegistryConfig{Clock: func() time.Time { return now }})
	request := identifier.NewRequest()
	b, err := r.Create(request, 1, "c")
	require.NoError(t, err)
	require.NoError(t, b.Append(t.Context(), []byte("abc")))
	require.Zero(t, r.Sweep(now.Add(time.Hour)), "a running response has no retention time")
	require.NoError(t, r.Acknowledge(request, 1, "c", messenger.Ack{Offset: 3, Finished: true}))
	require.Equal(t, 1, r.Len(), "a response that has not ended is kept")
	b.Finish()
	require.Zero(t, r.Sweep(now.Add(59*time.Second)))
	stopped := make(chan error, 1)
	go func() { stopped <- r.Wait(t.Context()) }()
	require.NoError(t, r.Acknowledge(request, 1, "d", messenger.Ack{Offset: 3, Finished: true}))
	require.Equal(t, 1, r.Len(), "another customer acknowledged the response")
	require.NoError(t, r.Acknowledge(request, 1, "c", messenger.Ack{Offset: 3, Finished: true}))
	require.NoError(t, <-stopped)
	b, err = r.Create(request, 2, "c")
	require.NoError(t, err)
	b.Fail(messenger.ReasonUpstreamDied, true)
	require.Equal(t, 1, r.Sweep(now.Add(60*time.Second)))
	require.Zero(t, r.Len())
}
