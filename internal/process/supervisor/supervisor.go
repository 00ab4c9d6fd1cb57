// Package supervisor runs the long-running components of a process as one group that stops together.
package supervisor

import (
	"context"

	"github.com/oklog/run"
)

// Actor is a long-running component of a process. It returns when its context is cancelled or when it fails.
type Actor func(ctx context.Context) error

// Group starts actors together and stops all of them when the first returns.
type Group struct {
	ctx   context.Context
	group run.Group
}

// New returns an empty group whose actors also stop when ctx is cancelled.
func New(ctx context.Context) *Group {
	g := &Group{ctx: ctx}
	g.Add(func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	})
	return g
}

// Add adds an actor to the group. It must not be called after Run.
func (g *Group) Add(actor Actor) {
	ctx, cancel := context.WithCancel(g.ctx)
	g.group.Add(func() error { return actor(ctx) }, func(error) { cancel() })
}

// Run starts all actors and cancels them when the first of them returns. It returns the result of the first actor after
// all actors have returned.
func (g *Group) Run() error {
	return g.group.Run()
}
