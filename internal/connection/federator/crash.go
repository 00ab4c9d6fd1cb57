package federator

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Suspicion is one request that an upstream was about to answer when it crashed.
type Suspicion struct {
	// Node, Incarnation and Sequence identify the suspicion: the gateway that observed the crash numbers its own.
	Node        identifier.Node
	Incarnation identifier.Incarnation
	Sequence    uint64
	// At is the time of the crash.
	At       time.Time
	Customer identifier.Customer
	// Parts are the shared parts of the prompt that had not been answered before, as far as the gateway knew.
	Parts []identifier.PromptPart
	// Request identifies the request as a whole, for the case that no part of its prompt is to blame.
	Request identifier.PromptPart
	// Responding is set if the upstream had begun the response, which only the request that crashed it has in common with
	// those that were answered.
	Responding bool
}

// CrashReport is what a gateway knows of requests that crash upstreams.
type CrashReport struct {
	Suspicions []Suspicion
	// Answered holds, for parts of these suspicions, when an upstream last began to answer a request with the part.
	Answered map[identifier.PromptPart]time.Time
}
