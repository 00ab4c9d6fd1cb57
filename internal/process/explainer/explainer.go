// Package explainer assembles the decisions on a request from the decision logs of all linked nodes.
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

// askTimeout bounds the wait for nodes that do not answer; their part is missing from the explanation.
const askTimeout = time.Second

// Explainer answers for this node and asks others.
type Explainer struct {
	log   *logger.Logger
	links func() []*linker.Link
}

// Config holds what an explainer needs.
type Config struct {
	Log *logger.Logger
	// Links returns the nodes to ask.
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

// Decisions returns the decisions of all linked nodes on a request in the order of time.
func (e *Explainer) Decisions(id identifier.Request) []logger.Decision {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	all := e.log.Decisions(id)
	var mu sync.Mutex
	var asked sync.WaitGroup
	for _, link := range e.links() {
		asked.Go(func() {
			answer := ask(ctx, link, id)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, answer...)
		})
	}
	asked.Wait()
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	return all
}

func ask(ctx context.Context, link *linker.Link, id identifier.Request) []logger.Decision {
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

// Answer sends the decisions of this node alone.
func Answer(stream *linker.Stream, log *logger.Logger, m messenger.Explain) {
	var answer messenger.Explained
	for _, d := range log.Decisions(m.Request) {
		answer.Decisions = append(answer.Decisions, toMessage(d))
	}
	// A peer that is gone asks again if it still wants to know.
	_ = stream.Send(answer)
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
