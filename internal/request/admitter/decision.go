package admitter

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/cataloguer"
)

// Reason tells why a request was refused or an upstream is avoided.
type Reason string

// The reasons.
const (
	ReasonNoUpstream  Reason = "noUpstream"
	ReasonGroupClosed Reason = "groupClosed"
	ReasonOverload    Reason = "overload"
	ReasonDeadline    Reason = "deadline"
	ReasonEvacuated   Reason = "evacuated"
)

// Decision is the result for one request.
type Decision interface{ decision() }

// Granted sends the request to an upstream. The caller reports the first byte of a stream with Started and the end with
// Done.
type Granted struct {
	Upstream cataloguer.Upstream
	Waited   time.Duration
	// Load is the number of requests that were known to run on the upstream, over all gateways.
	Load  int
	start *start
}

// start tells whether a granted request still waits for the first byte of its answer, and since when.
type start struct {
	pending bool
	granted time.Time
}

// Refused ends the request; it has not run here.
type Refused struct {
	Reason Reason
	// RetryAfter is when the request is likely to be served.
	RetryAfter time.Duration
}

func (Granted) decision() {}
func (Refused) decision() {}

// Need describes a request that wants an upstream.
type Need struct {
	Service  identifier.Service
	Priority int
	// OnTime is until when a grant still lets the answer begin within its objective. Requests that can be on time go before
	// those that are late already: a request that is late gains nothing by being less late, and one that waits behind it
	// becomes late as well.
	OnTime time.Time
	// Until is when the request has to be granted at the latest to be served in time.
	Until time.Time
	// Deadline is when its client stops waiting.
	Deadline time.Time
	// Stream is set if the answer comes in events. Only then is its first byte reported, ahead of its end.
	Stream bool
	// Returned is set if the client has come back after a refusal: it may not come again, so it waits as long as it can.
	Returned bool
	// Exclude holds upstreams that have had the request.
	Exclude map[identifier.Upstream]bool
}

// Ticket is a request's place. Its channel receives exactly one decision.
type Ticket struct {
	need    Need
	arrived time.Time
	serial  uint64
	result  chan Decision
}

// Result delivers the decision.
func (t *Ticket) Result() <-chan Decision {
	return t.result
}

func (t *Ticket) resolve(d Decision) {
	t.result <- d
}

// Outcome is what an upstream made of a request.
type Outcome interface{ outcome() }

// Served means a complete answer.
type Served struct {
	// First is the time to the first byte of the answer.
	First time.Duration
	// Whole is the time to its end.
	Whole time.Duration
}

// Failed means a broken, damaged or missing answer, or a failure that the upstream reported.
type Failed struct{}

// Unreachable means that no connection could be made.
type Unreachable struct{}

// Load is what an upstream says of itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Rejected means that the upstream did not run the request.
type Rejected struct {
	Load      Load
	LoadKnown bool
}

// Replaced means that another upstream has the address.
type Replaced struct{}

// Leaving means a complete answer after which the upstream closed the connection.
type Leaving struct{}

// Cancelled means that the client left or the deadline passed; it says nothing about the upstream.
type Cancelled struct{}

func (Served) outcome()      {}
func (Failed) outcome()      {}
func (Unreachable) outcome() {}
func (Rejected) outcome()    {}
func (Replaced) outcome()    {}
func (Leaving) outcome()     {}
func (Cancelled) outcome()   {}
