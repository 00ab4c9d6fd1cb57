// Package logger writes the log of a process as JSON lines, one for each numbered event, and keeps the most recent
// routing and placement decisions in memory, from which the operators' API explains requests.
package logger

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"currantledge.example/currantledge/internal/process/identifier"
)

// setTimeFormat sets zerolog's global time format once: loggers may be created concurrently.
var setTimeFormat = sync.OnceFunc(func() { zerolog.TimeFieldFormat = time.RFC3339Nano })

// Config configures a logger.
type Config struct {
	// Output receives the log lines.
	Output io.Writer
	// Level is the lowest level that is written.
	Level         zerolog.Level
	Node          identifier.Node
	FailureDomain identifier.FailureDomain
	// Decisions is the number of recent decisions that are kept, by default 4096.
	Decisions int
	// OnEvent is called with each event, also if its level is not written. It may be called concurrently.
	OnEvent func(Event)
}

const defaultDecisions = 4096

// Logger writes events and keeps recent decisions. Its methods may be called concurrently.
type Logger struct {
	zero      zerolog.Logger
	node      identifier.Node
	decisions *ringBuffer
	onEvent   func(Event)
}

// New returns a logger that adds the node and its failure domain to each line.
func New(cfg Config) *Logger {
	if cfg.Decisions == 0 {
		cfg.Decisions = defaultDecisions
	}
	if cfg.OnEvent == nil {
		cfg.OnEvent = func(Event) {}
	}
	setTimeFormat()
	zero := zerolog.New(cfg.Output).Level(cfg.Level).With().Timestamp().
		Str("node", string(cfg.Node)).Str("failureDomain", string(cfg.FailureDomain)).Logger()
	return &Logger{zero: zero, node: cfg.Node, decisions: newRingBuffer(cfg.Decisions), onEvent: cfg.OnEvent}
}

// Discard returns a logger that keeps decisions but writes no lines.
func Discard() *Logger {
	return New(Config{Output: io.Discard, Level: zerolog.Disabled})
}

// Event starts a log line with the number, level and message of an event. The caller adds fields and calls Send.
func (l *Logger) Event(e Event) *zerolog.Event {
	defined := definitions[e]
	l.onEvent(e)
	return l.zero.WithLevel(defined.level).Int("event", int(e)).Str("message", defined.message)
}

// RecordDecision logs a routing or placement decision and keeps it for Decisions and Recent. It sets the node, and the
// time if that is missing.
func (l *Logger) RecordDecision(d Decision) {
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

// Decisions returns the decisions on a request that are still kept, oldest first.
func (l *Logger) Decisions(id identifier.Request) []Decision {
	return l.decisions.byRequest(id)
}

// Recent returns the most recent decisions on all requests and placements, at most limit of them, oldest first.
func (l *Logger) Recent(limit int) []Decision {
	return l.decisions.last(limit)
}
