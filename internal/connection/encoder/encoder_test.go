package encoder_test

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/encoder"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

// Guards against a field of a message that is lost or changed by encoding and decoding.
func TestRoundTrip(t *testing.T) {
	t.Parallel()
	id := identifier.NewRequest()
	messages := []messenger.Message{
		messenger.Hello{Node: "a", Role: identifier.RoleAgent, FailureDomain: "d", Incarnation: 7, Upstream: "u", Address: "x", Revision: 9},
		messenger.Heartbeat{
			Sequence: 3, Revision: 4, Load: &messenger.Load{Upstream: "u", Running: 1, Limit: 5, StepTime: time.Second},
			Suspicions: []messenger.Suspicion{{Digest: "d", Crashes: []identifier.Crash{"u/1", "u/2"}, Age: time.Minute}},
		},
		messenger.Demand{Customers: []messenger.CustomerDemand{{Customer: "c", Waiting: 2}}},
		messenger.Grant{Incarnation: 1, Serial: 2, Customer: "c", Credits: 3, Lifetime: time.Second, Standing: true},
		messenger.Changes{Revision: 3, Full: true, Changes: []messenger.Change{{Revision: 3, Kind: "k", Name: "n", Value: []byte("{}")}}},
		messenger.Gossip{Revision: 1, Nodes: []messenger.NodeSummary{{Node: "n", Age: time.Second}}},
		messenger.Dispatch{
			Request: id, Attempt: 2, Customer: "c", Target: messenger.Target{Kind: messenger.TargetModel, Model: "m"},
			Headers: []messenger.Header{{Name: "A", Value: "b"}}, Body: []byte("x"), Timeout: time.Second, Generated: []byte("g"),
		},
		messenger.Cancel{},
		messenger.End{Length: 4, Digest: 1 << 63},
		messenger.Refused{Reason: messenger.ReasonDraining, RetryAfter: time.Second},
	}
	var buffer bytes.Buffer
	for _, m := range messages {
		require.NoError(t, encoder.Write(&buffer, m))
	}
	for _, m := range messages {
		got, err := encoder.Read(&buffer)
		require.NoError(t, err)
		require.Equal(t, m, got)
	}
	_, err := encoder.Read(&buffer)
	require.ErrorIs(t, err, io.EOF)
}

// Guards against exhaustion of memory by a faulty peer that announces a huge frame.
func TestReadRefusesLargeFrame(t *testing.T) {
	t.Parallel()
	_, err := encoder.Read(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1}))
	var frameErr *encoder.FrameError
	require.ErrorAs(t, err, &frameErr)
}
