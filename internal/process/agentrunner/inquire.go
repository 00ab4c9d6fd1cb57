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

// resolveInterval is how often a running call is looked at on behalf of a caller that sent it again.
const resolveInterval = 20 * time.Millisecond

// unresolvedWait is how long an unresolved claim is looked at again. A claim that is being written is resolved within
// the claimer's own bound of 2 s.
const unresolvedWait = 3 * time.Second

// inquire answers an entry that wants the outcome of a call claimed by this incarnation. The answer of a running call
// is awaited: attaching to it would take it from the caller that started it.
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
			if time.Since(started) < unresolvedWait && waiter.For(ctx, resolveInterval) {
				continue
			}
			_ = stream.Send(messenger.Broken{Reason: messenger.ReasonClaimUnresolved, MayHaveRun: true})
			return
		}
	}
}

// replay sends a recorded answer.
func (a *Agent) replay(ctx context.Context, stream *linker.Stream, customer identifier.Customer, answer claimer.Response) {
	buffer := streamer.NewBuffer(streamer.BufferConfig{MaxBytes: max(identifier.Bytes(len(answer.Body)), 1)})
	fill(ctx, buffer, messenger.Head{Customer: customer, Status: answer.Status, Headers: answer.Headers}, answer.Body)
	a.send(ctx, stream, buffer, attempt{customer: customer}, 0)
}

// fill writes a whole recorded answer to a buffer that has room for it.
func fill(ctx context.Context, buffer *streamer.Buffer, head messenger.Head, body []byte) {
	buffer.SetHead(head)
	if err := buffer.Append(ctx, body); err != nil {
		buffer.Fail(messenger.ReasonClaimUnresolved, true)
		return
	}
	buffer.Finish()
}
