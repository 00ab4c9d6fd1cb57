package federator

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// CrashedRun is a run of a request that ended with its upstream. Each request that was running may be to blame, or none of
// them.
type CrashedRun struct {
	// Content identifies the request as a whole if Whole is set, or else one part of its prompt.
	Content identifier.ContentHash
	Whole   bool
	// Customer is that of the request, or 0 if requests of several customers with the content ran at the crash.
	Customer identifier.CustomerHash
	Site     identifier.CrashSite
	// Grouped is set if Site is a group.
	Grouped bool
	// Responding is set if the upstream had sent the head of its response, and Events is the number of events that followed.
	Responding bool
	Events     int
	// Refuted is set if another stream with the content has since gone well past the event at which this one ended.
	Refuted bool
	// SentAt is when the request was sent to the upstream, and At is the time of the crash.
	SentAt, At time.Time
}

// IsBeginning reports whether the upstream was about to begin its response: it had sent the head and no event. Few requests
// are in this state at any time.
func (r CrashedRun) IsBeginning() bool {
	return r.Responding && r.Events == 0
}

// CrashReport is what a gateway knows of requests that crash upstreams.
type CrashReport struct {
	Runs []CrashedRun
	// Answered holds, for contents of crashed runs, when one was last answered completely.
	Answered map[identifier.ContentHash]time.Time
}

// Add adds the contents of another report that this one lacks.
func (r *CrashReport) Add(other CrashReport) {
	known := map[identifier.ContentHash]bool{}
	for _, run := range r.Runs {
		known[run.Content] = true
	}
	for _, run := range other.Runs {
		if !known[run.Content] {
			r.Runs = append(r.Runs, run)
		}
	}
	for content, at := range other.Answered {
		if at.After(r.Answered[content]) {
			if r.Answered == nil {
				r.Answered = map[identifier.ContentHash]time.Time{}
			}
			r.Answered[content] = at
		}
	}
}

// IsEmpty reports whether the report holds nothing.
func (r CrashReport) IsEmpty() bool {
	return len(r.Runs) == 0 && len(r.Answered) == 0
}
