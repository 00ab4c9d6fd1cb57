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

// retryAfter is the delay that refusals suggest before a retry.
const retryAfter = time.Second

// serveStream handles one request stream of a peer. Only entries may send requests; every peer may query decisions.
func (a *Agent) serveStream(ctx context.Context, link *linker.Link, stream *linker.Stream) {
	defer stream.Close()
	first, err := stream.Receive()
	if err != nil {
		return
	}
	if explain, ok := first.(messenger.Explain); ok {
		explainer.Respond(stream, a.log, explain)
		return
	}
	if link.Peer().Role != identifier.RoleEntry {
		// Only entries authenticate the customers of requests.
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

// dispatch admits a request, starts it and sends its response. The run continues if the connection is lost, so that the
// entry can re-attach to it. A repeated dispatch of a known attempt attaches to its response.
func (a *Agent) dispatch(ctx context.Context, link *linker.Link, stream *linker.Stream, d messenger.Dispatch) {
	buffer, err := a.responses.Create(d.Request, d.Attempt, d.Customer)
	if err != nil {
		a.attach(ctx, stream, messenger.Attach{Request: d.Request, Attempt: d.Attempt, Customer: d.Customer})
		return
	}
	if reason := a.admission.admit(link.Peer().Node, d); reason != "" {
		a.responses.Remove(d.Request, d.Attempt, d.Customer)
		_ = stream.Send(messenger.Refused{Reason: reason, RetryAfter: retryAfter})
		return
	}
	r := &run{agent: a, dispatch: d, buffer: buffer, boot: a.upstream.currentBoot()}
	a.upstream.add(r)
	refusal, recorded := r.claim()
	switch {
	case refusal != nil:
		a.releaseCapacity(r)
		// An entry that attaches after a lost connection is informed that the attempt did not run, and dispatches again.
		buffer.Fail(messenger.ReasonWithdrawn, false)
		a.refuse(stream, r, refusal)
		return
	case recorded != nil:
		a.releaseCapacity(r)
		// A long response fits into the buffer only after the entry has acknowledged parts of it.
		go writeRecorded(ctx, buffer, messenger.Head{
			Request: d.Request, Customer: d.Customer, Status: recorded.Status, Headers: recorded.Headers,
		}, recorded.Body)
	default:
		go r.execute()
	}
	a.sendResponse(ctx, stream, buffer, attempt{d.Request, d.Attempt, d.Customer, r}, 0)
}

// releaseCapacity frees the capacity of an attempt that does not start.
func (a *Agent) releaseCapacity(r *run) {
	a.upstream.remove(r)
	a.admission.finish(r.dispatch, false)
}

// refuse sends a refusal and removes the attempt once the entry has read it.
func (a *Agent) refuse(stream *linker.Stream, r *run, refusal messenger.Message) {
	if err := stream.Send(refusal); err != nil {
		return
	}
	stream.CloseSend()
	// The entry closes its side when it has read the refusal.
	if _, err := stream.Receive(); errors.Is(err, io.EOF) {
		a.responses.Remove(r.dispatch.Request, r.dispatch.Attempt, r.dispatch.Customer)
	}
}

// attach resumes sending a response at an offset. An unknown attempt is recorded as failed, so that a dispatch that is
// still on its way never starts.
func (a *Agent) attach(ctx context.Context, stream *linker.Stream, m messenger.Attach) {
	buffer, found := a.responses.Lookup(m.Request, m.Attempt, m.Customer)
	if !found {
		created, err := a.responses.Create(m.Request, m.Attempt, m.Customer)
		if err == nil {
			created.Fail(messenger.ReasonRequestNotFound, false)
			_ = stream.Send(messenger.Refused{Reason: messenger.ReasonRequestNotFound, RetryAfter: retryAfter})
			return
		}
		buffer, found = a.responses.Lookup(m.Request, m.Attempt, m.Customer)
		if !found {
			return
		}
	}
	a.sendResponse(ctx, stream, buffer, attempt{m.Request, m.Attempt, m.Customer, a.upstream.find(m)}, m.Offset)
}

// sendResponse sends a response from an offset to the entry and handles the entry's acknowledgements until the response
// or the stream ends.
func (a *Agent) sendResponse(ctx context.Context, stream *linker.Stream, buffer *streamer.Buffer, at attempt, offset byteOffset) {
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
		a.receiveAcks(stream, at)
	}()
	at.run.countEntry(true)
	defer at.run.countEntry(false)
	for {
		m, err := reader.Next(ctx)
		if err != nil {
			break
		}
		if err := stream.Send(m); err != nil {
			break
		}
	}
	// The last acknowledgement follows the end of the response.
	stream.CloseSend()
	<-acknowledged
}

// receiveAcks handles the entry's acknowledgements until the stream ends or the entry cancels the request.
func (a *Agent) receiveAcks(stream *linker.Stream, at attempt) {
	for {
		m, err := stream.Receive()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case messenger.Ack:
			if err := a.responses.Acknowledge(at.request, at.number, at.customer, m); err != nil || m.Finished {
				return
			}
		case messenger.Cancel:
			a.log.Event(logger.EventCancelled).Stringer("request", at.request).Send()
			at.run.cancelIfRetryable()
			return
		}
	}
}
