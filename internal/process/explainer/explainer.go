// Package explainer collects the decisions on a request from the decision logs of this node and of all linked nodes.
package explainer

import (
	"context"
	"sort"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
)

// queryTimeout bounds the wait for other nodes. The decisions of nodes that do not respond in time are missing from the
// explanation.
const queryTimeout = time.Second

// Explainer reads the decisions of this node and queries those of linked nodes.
type Explainer struct {
	log   *logger.Logger
	links func() []*linker.Link
}

// Config configures an Explainer.
type Config struct {
	Log *logger.Logger
	// Links returns one link to each node to query.
	Links func() []*linker.Link
}

// New returns an explainer.
func New(cfg Config) *Explainer {
	return &Explainer{log: cfg.Log, links: cfg.Links}
}

// Recent returns the recent decisions of this node.
func (e *Explainer) Recent(limit int) []logger.Decision {
	return e.log.Recent(limit)
}

// Decisions returns the decisions of this node and of all linked nodes on a request in the order of time. It takes up to
// queryTimeout.
func (e *Explainer) Decisions(id identifier.Request) []logger.Decision {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	all := e.log.Decisions(id)
	var mu sync.Mutex
	var queries sync.WaitGroup
	for _, link := range e.links() {
		queries.Go(func() {
			decisions := query(ctx, link, id)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, decisions...)
		})
	}
	queries.Wait()
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	return all
}

// query returns the decisions of the peer on a request, or nil if the peer does not respond.
func query(ctx context.Context, link *linker.Link, id identifier.Request) []logger.Decision {
	stream, err := link.Open(ctx)
	if err != nil {
		return nil
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, stream.Close)
	defer stop()
	if err := stream.Send(messenger.Explain{Request: id}); err != nil {
		return nil
	}
	m, err := stream.Receive()
	if err != nil {
		return nil
	}
	explained, ok := m.(messenger.Explained)
	if !ok {
		return nil
	}
	out := make([]logger.Decision, len(explained.Decisions))
	for i, d := range explained.Decisions {
		out[i] = fromMessage(d)
	}
	return out
}

// Respond responds to an Explain request with the decisions of this node only.
func Respond(stream *linker.Stream, log *logger.Logger, m messenger.Explain) {
	var response messenger.Explained
	for _, d := range log.Decisions(m.Request) {
		response.Decisions = append(response.Decisions, toMessage(d))
	}
	// An error means that the peer is gone; it can send the request again.
	_ = stream.Send(response)
	stream.CloseSend()
}

func toMessage(d logger.Decision) messenger.Decision {
	out := messenger.Decision{
		Event: int(d.Event), Time: d.At, Node: d.Node, Request: d.Request, Choice: d.Choice, Reason: d.Reason,
	}
	for _, f := range d.Fields {
		out.Fields = append(out.Fields, messenger.Field(f))
	}
	return out
}

func fromMessage(d messenger.Decision) logger.Decision {
	out := logger.Decision{
		Event: logger.Event(d.Event), At: d.Time, Node: d.Node, Request: d.Request, Choice: d.Choice, Reason: d.Reason,
	}
	for _, f := range d.Fields {
		out.Fields = append(out.Fields, logger.Field(f))
	}
	return out
}
