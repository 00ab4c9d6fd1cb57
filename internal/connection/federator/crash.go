package federator

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Suspicion is one request that an upstream was about to answer when it crashed: it had begun the response, which only the
// request that crashed it has in common with those that were answered.
type Suspicion struct {
	// Node, Incarnation and Sequence identify the suspicion: the gateway that observed the crash numbers its own.
	Node        identifier.Node
	Incarnation identifier.Incarnation
	Sequence    uint64
	// At is the time of the crash, and Site what crashed; 0 if it is not known.
	At       time.Time
	Site     identifier.CrashSite
	Customer identifier.Customer
	// Parts are the shared parts of the prompt that had not been answered before, as far as the gateway knew.
	Parts []identifier.PromptPart
	// Request identifies the request as a whole, for the case that no part of its prompt is to blame.
	Request identifier.PromptPart
}

// CrashedRun is a run of a request that ended with its upstream before the upstream had begun a response. Each request that
// was running may be to blame, or none of them.
type CrashedRun struct {
	// Content identifies the request, or one part of its prompt.
	Content identifier.ContentHash
	Site    identifier.CrashSite
	// Grouped is set if Site is a group.
	Grouped bool
	// SentAt is when the request was sent to the upstream, and At is the time of the crash.
	SentAt, At time.Time
}

// CrashReport is what a gateway knows of requests that crash upstreams.
type CrashReport struct {
	Suspicions []Suspicion
	// Answered holds, for parts of these suspicions, when an upstream last began to answer a request with the part.
	Answered map[identifier.PromptPart]time.Time
	Runs     []CrashedRun
	// AnsweredContents holds, for contents of crashed runs, when an upstream last answered one.
	AnsweredContents map[identifier.ContentHash]time.Time
}

// IsEmpty reports whether the report holds nothing.
func (r CrashReport) IsEmpty() bool {
	return len(r.Suspicions) == 0 && len(r.Runs) == 0 && len(r.AnsweredContents) == 0
}
