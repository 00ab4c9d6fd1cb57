package agentrunner

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/explainer"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/request/streamer"
)

const retryAfter = time.Second

// serveStream handles one request stream of an entry.
func (a *Agent) serveStream(ctx context.Context, link *linker.Link, stream *linker.Stream) {
	defer stream.Close()
	first, err := stream.Receive()
	if err != nil {
		return
	}
	if explain, ok := first.(messenger.Explain); ok {
		explainer.Answer(stream, a.log, explain)
		return
	}
	if link.Peer().Role != identifier.RoleEntry {
		// Only entries know the customers behind requests.
		_ = stream.Send(messenger.Refused{Reason: messenger.ReasonUnauthenticated})
		return
	}
	switch m := first.(type) {
	case messenger.Dispatch:
		a.dispatch(ctx, link, stream, m)
	case messenger.Attach:
		a.attach(ctx, stream, m)
	case messenger.Inquire:
		a.inquire(ctx, stream, m)
	default:
		_ = stream.Send(messenger.Refused{Reason: messenger.ReasonMalformed})
	}
}

// dispatch admits a request, starts it and sends its answer. The run goes on if the connection is lost, so that the
// entry can attach to it again.
func (a *Agent) dispatch(ctx context.Context, link *linker.Link, stream *linker.Stream, d messenger.Dispatch) {
	buffer, err := a.answers.Create(d.Request, d.Attempt, d.Customer)
	if err != nil {
		a.attach(ctx, stream, messenger.Attach{Request: d.Request, Attempt: d.Attempt, Customer: d.Customer})
		return
	}
	if reason := a.admission.admit(link.Peer().Node, d); reason != "" {
		a.answers.Remove(d.Request, d.Attempt, d.Customer)
		_ = stream.Send(messenger.Refused{Reason: reason, RetryAfter: retryAfter})
		return
	}
	r := &run{agent: a, dispatch: d, buffer: buffer, boot: a.upstream.current()}
	a.upstream.begin(r)
	refusal, recorded := r.claim()
	switch {
	case refusal != nil:
		a.abandon(r)
		// An entry that attaches after a lost connection learns that nothing ran and dispatches again.
		buffer.Fail(messenger.ReasonWithdrawn, false)
		a.refuse(stream, r, refusal)
		return
	case recorded != nil:
		a.abandon(r)
		// A long answer fits into the buffer only as the entry acknowledges it.
		go fill(ctx, buffer, messenger.Head{
			Request: d.Request, Customer: d.Customer, Status: recorded.Status, Headers: recorded.Headers,
		}, recorded.Body)
	default:
		go r.execute()
	}
	a.send(ctx, stream, buffer, attempt{d.Request, d.Attempt, d.Customer, r}, 0)
}

// abandon gives back what an attempt that does not start holds.
func (a *Agent) abandon(r *run) {
	a.upstream.end(r)
	a.admission.finish(r.dispatch, false)
}

// refuse sends a refusal and forgets the attempt once the entry has it.
func (a *Agent) refuse(stream *linker.Stream, r *run, refusal messenger.Message) {
	if err := stream.Send(refusal); err != nil {
		return
	}
	stream.CloseSend()
	// The entry closes its side when it has read the refusal.
	if _, err := stream.Receive(); errors.Is(err, io.EOF) {
		a.answers.Remove(r.dispatch.Request, r.dispatch.Attempt, r.dispatch.Customer)
	}
}

// attach goes on with an answer from an offset. An unknown attempt is recorded as failed, so that a dispatch that is
// still on its way never starts.
func (a *Agent) attach(ctx context.Context, stream *linker.Stream, m messenger.Attach) {
	buffer, found := a.answers.Lookup(m.Request, m.Attempt, m.Customer)
	if !found {
		opened, err := a.answers.Create(m.Request, m.Attempt, m.Customer)
		if err == nil {
			opened.Fail(messenger.ReasonRequestNotFound, false)
			_ = stream.Send(messenger.Refused{Reason: messenger.ReasonRequestNotFound, RetryAfter: retryAfter})
			return
		}
		buffer, found = a.answers.Lookup(m.Request, m.Attempt, m.Customer)
		if !found {
			return
		}
	}
	a.send(ctx, stream, buffer, attempt{m.Request, m.Attempt, m.Customer, a.upstream.find(m)}, m.Offset)
}

// send copies an answer to the entry and takes its acknowledgements until the answer or the stream ends.
func (a *Agent) send(ctx context.Context, stream *linker.Stream, buffer *streamer.Buffer, at attempt, offset bytes) {
	reader, err := buffer.Attach(offset)
	if err != nil {
		_ = stream.Send(messenger.Broken{Reason: messenger.ReasonAnswerMismatch, MayHaveRun: true})
		return
	}
	if err := stream.Send(messenger.Started{Request: at.request, Customer: at.customer}); err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	acknowledged := make(chan struct{})
	go func() {
		defer close(acknowledged)
		defer cancel()
		a.receive(stream, at)
	}()
	at.run.attended(true)
	defer at.run.attended(false)
	for {
		m, err := reader.Next(ctx)
		if err != nil {
			break
		}
		if err := stream.Send(m); err != nil {
			break
		}
	}
	// The last acknowledgement follows the end of the answer.
	stream.CloseSend()
	<-acknowledged
}

// receive takes the entry's acknowledgements until the stream ends.
func (a *Agent) receive(stream *linker.Stream, at attempt) {
	for {
		m, err := stream.Receive()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case messenger.Ack:
			if err := a.answers.Acknowledge(at.request, at.number, at.customer, m); err != nil || m.Finished {
				return
			}
		case messenger.Cancel:
			a.log.Event(logger.EventCancelled).Stringer("request", at.request).Send()
			at.run.cancelIfRepeatable()
			return
		}
	}
}
