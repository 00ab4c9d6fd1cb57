package agentrunner

import (
	"context"
	"time"

	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/request/claimer"
	"currantledge.example/currantledge/internal/request/streamer"
)

// resolveInterval is the time between two queries of the state of a call for a caller that has sent it again.
const resolveInterval = 20 * time.Millisecond

// unresolvedTimeout is how long the state of an unresolved claim is queried. It is longer than the 2 s within which the
// claimer finishes writing a claim.
const unresolvedTimeout = 3 * time.Second

// inquire answers an entry that queries the outcome of a call which this incarnation has claimed. It waits for the end of
// a running call: attaching to the response would detach the caller that started the call.
func (a *Agent) inquire(ctx context.Context, stream *linker.Stream, m messenger.Inquire) {
	if m.Incarnation != a.incarnation {
		_ = stream.Send(messenger.Broken{Reason: messenger.ReasonClaimUnresolved, MayHaveRun: true})
		return
	}
	started := time.Now()
	for {
		switch r := a.claims.Resolve(m.Customer, m.Key).(type) {
		case claimer.Running:
			if !waiter.For(ctx, resolveInterval) {
				return
			}
		case claimer.Completed:
			a.replay(ctx, stream, m.Customer, r.Response)
			return
		case claimer.NeverStarted:
			_ = stream.Send(messenger.Refused{Reason: messenger.ReasonWithdrawn, RetryAfter: retryAfter})
			return
		default:
			if time.Since(started) < unresolvedTimeout && waiter.For(ctx, resolveInterval) {
				continue
			}
			_ = stream.Send(messenger.Broken{Reason: messenger.ReasonClaimUnresolved, MayHaveRun: true})
			return
		}
	}
}

// replay sends a recorded response.
func (a *Agent) replay(ctx context.Context, stream *linker.Stream, customer identifier.Customer, response claimer.Response) {
	buffer := streamer.NewBuffer(streamer.BufferConfig{MaxBytes: max(identifier.Bytes(len(response.Body)), 1)})
	writeRecorded(ctx, buffer,
		messenger.Head{Customer: customer, Status: response.Status, Headers: response.Headers}, response.Body)
	a.sendResponse(ctx, stream, buffer, attempt{customer: customer}, 0)
}

// writeRecorded writes a complete recorded response to a buffer. A body longer than the buffer needs acknowledgements
// while it is written.
func writeRecorded(ctx context.Context, buffer *streamer.Buffer, head messenger.Head, body []byte) {
	buffer.SetHead(head)
	if err := buffer.Append(ctx, body); err != nil {
		buffer.Fail(messenger.ReasonClaimUnresolved, true)
		return
	}
	buffer.Finish()
}
