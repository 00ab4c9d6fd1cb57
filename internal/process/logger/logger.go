// Package logger writes numbered log events with zerolog and keeps the recent routing and placement decisions.
package logger

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"currantledge.example/currantledge/internal/process/identifier"
)

// setTimeFormat sets zerolog's global format once, since loggers may be made at the same time.
var setTimeFormat = sync.OnceFunc(func() { zerolog.TimeFieldFormat = time.RFC3339Nano })

// Config holds what a logger is built from.
type Config struct {
	Output        io.Writer
	Level         zerolog.Level
	Node          identifier.Node
	FailureDomain identifier.FailureDomain
	// Decisions is the number of recent decisions kept for explain.
	Decisions int
	// Count is called with each event, whether or not its level is written.
	Count func(Event)
}

const defaultDecisions = 4096

// Logger writes numbered events and records decisions.
type Logger struct {
	zero      zerolog.Logger
	node      identifier.Node
	decisions *ring
	count     func(Event)
}

// New returns a logger.
func New(cfg Config) *Logger {
	if cfg.Decisions == 0 {
		cfg.Decisions = defaultDecisions
	}
	if cfg.Count == nil {
		cfg.Count = func(Event) {}
	}
	setTimeFormat()
	zero := zerolog.New(cfg.Output).Level(cfg.Level).With().Timestamp().
		Str("node", string(cfg.Node)).Str("failureDomain", string(cfg.FailureDomain)).Logger()
	return &Logger{zero: zero, node: cfg.Node, decisions: newRing(cfg.Decisions), count: cfg.Count}
}

// Discard returns a logger that writes nothing but keeps decisions.
func Discard() *Logger {
	return New(Config{Output: io.Discard, Level: zerolog.Disabled})
}

// Event starts the log line of a numbered event at the event's level; the caller adds fields and calls Send.
func (l *Logger) Event(e Event) *zerolog.Event {
	entry := catalogue[e]
	l.count(e)
	return l.zero.WithLevel(entry.level).Int("event", int(e)).Str("message", entry.message)
}

// Decide logs a routing or placement decision and keeps it for explain.
func (l *Logger) Decide(d Decision) {
	d.Node = l.node
	if d.At.IsZero() {
		d.At = time.Now()
	}
	l.decisions.add(d)
	line := l.Event(d.Event).Str("choice", d.Choice).Str("reason", d.Reason)
	if d.Request != (identifier.Request{}) {
		line = line.Stringer("request", d.Request)
	}
	for _, f := range d.Fields {
		line = line.Str(f.Name, f.Value)
	}
	line.Send()
}

// Decisions returns the kept decisions of a request, oldest first.
func (l *Logger) Decisions(id identifier.Request) []Decision {
	return l.decisions.of(id)
}

// Recent returns the kept decisions of all requests and placements, oldest first, at most limit of them.
func (l *Logger) Recent(limit int) []Decision {
	return l.decisions.last(limit)
}
