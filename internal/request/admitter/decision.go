package admitter

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/sharer"
	"currantledge.example/currantledge/internal/request/workmeter"
	"currantledge.example/currantledge/internal/version/cataloguer"
)

// Reason is why a request is refused.
type Reason string

// The reasons for refusals.
const (
	// ReasonNoUpstream means that no upstream of the service may receive the request.
	ReasonNoUpstream Reason = "noUpstream"
	// ReasonGroupClosed means that the group of the service did not open in time or is not expected to.
	ReasonGroupClosed Reason = "groupClosed"
	// ReasonOverload means that the queue is too long for the request to be served in time.
	ReasonOverload Reason = "overload"
	// ReasonDeadline means that no upstream could accept the request in time.
	ReasonDeadline Reason = "deadline"
	// ReasonPaused means that all upstreams of the service have asked for pauses which end too late for the request.
	ReasonPaused Reason = "paused"
	// ReasonStopping means that the gateway stops before the request would be complete.
	ReasonStopping Reason = "stopping"
	// ReasonEvacuated is unused: upstreams of an evacuated failure domain count as missing, see ReasonNoUpstream.
	ReasonEvacuated Reason = "evacuated"
)

// Decision is the result of admission for one request: Granted or Refused.
type Decision interface{ decision() }

// Granted assigns the request to an upstream. The caller reports the first byte of a stream with RecordFirstByte and
// the end of the request with Done.
type Granted struct {
	Upstream cataloguer.Upstream
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
	// Load is the number of other requests known to run on the upstream at the time of the grant, over all gateways.
	Load int
	// Work is their work, in requests of mean size; Load if it is not known.
	Work float64
	// late is set if the request could no longer be on time.
	late      bool
	firstByte *firstByteWait
	// work is that of the request, and size its time as a multiple of the mean, as of the grant.
	work workmeter.Work
	size float64
	// tokens are those that the request adds to the counts of the upstream. They change when the prompt has been read.
	tokens *tokenCounts
	// afterPause is set if the request is the one that the upstream gets first after a pause.
	afterPause bool
}

// firstByteWait is the state of a granted request before the first byte of its response. The lock of the Admitter guards
// it.
type firstByteWait struct {
	// window is that of the group.
	window *startWindow
	// pending is set while the request counts in startWindow.starting, which only streams of a group do.
	pending bool
	// since is the time of the grant.
	since time.Time
}

// Refused ends a request. No upstream has received it since it was submitted.
type Refused struct {
	Reason Reason
	// RetryAfter is the time after which a retry is likely to be served.
	RetryAfter time.Duration
	// Share is set for ReasonCustomerShare.
	Share CustomerShare
}

func (Granted) decision() {}
func (Refused) decision() {}

// Request describes a request that is to be assigned to an upstream.
type Request struct {
	Service identifier.Service
	// Customer is whose request it is, or empty. Where capacity is short, the requests of one priority are divided
	// between customers by their usual loads.
	Customer identifier.Customer
	// Priority orders the queue; lower numbers are served first.
	Priority int
	// OnTimeUntil is the latest time of a grant with which the response can begin within the objective of its route.
	// Requests that can be on time precede late ones: a late request gains nothing by being less late, and a request that
	// waits behind it becomes late as well.
	OnTimeUntil time.Time
	// GrantUntil is the latest time of a grant with which the request can be served in time.
	GrantUntil time.Time
	// Deadline is when the client stops waiting.
	Deadline time.Time
	// Stream is set if the response consists of events. Only then is its first byte reported before its end.
	Stream bool
	// NoClientRetry is set if the client is not expected to retry after a refusal, for example because this request is a
	// retry. Such a request is not refused because of an estimate; it waits until GrantUntil.
	NoClientRetry bool
	// IsolateBy is set if the request may crash its upstream. Such requests go to one upstream, which all gateways choose
	// alike by this text, and they do not probe a closed group.
	IsolateBy string
	// Exclude holds the upstreams to which earlier attempts of the request were assigned.
	Exclude map[identifier.Upstream]bool
	// Work is the estimated work of the request at an engine. If it is zero, it counts as the mean of the others.
	Work workmeter.Work
}

// Ticket represents a submitted request. Its channel receives one decision, or none if the request is withdrawn first.
type Ticket struct {
	request Request
	arrived time.Time
	serial  uint64
	// standing is that of the customer when the queue was last sorted.
	standing sharer.Standing
	decided  chan Decision
}

// Decision returns the channel that delivers the decision.
func (t *Ticket) Decision() <-chan Decision {
	return t.decided
}

// isIsolated reports whether the request may go to one upstream only, so that those behind it need not wait for it.
func (t *Ticket) isIsolated() bool {
	return t.request.IsolateBy != ""
}

// resolve delivers the decision. It does not block, since each ticket gets at most one.
func (t *Ticket) resolve(d Decision) {
	t.decided <- d
}

// Feedback is what an attempt of a request shows about the upstream that the request was assigned to.
type Feedback interface{ feedback() }

// Served means a complete response.
type Served struct {
	// FirstByte is the time from sending the request to the first byte of the response.
	FirstByte time.Duration
	// Total is the time from sending the request to the end of the response.
	Total time.Duration
	// Closing is set if the upstream closed the connection after the response, as an upstream does that is leaving.
	Closing bool
	// ErrorStatus is set if the status says that the request was not performed, as of one that is larger than a rank.
	ErrorStatus bool
}

// Failed means a broken, damaged or missing response, or an error response of the upstream.
type Failed struct{}

// Oversized means a response that was cut since it exceeded the limits of its size.
type Oversized struct{}

// Unreachable means that no connection could be established.
type Unreachable struct{}

// Load is the load that an upstream reports: its running and waiting requests and its slots.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Rejected means that the upstream did not run the request.
type Rejected struct {
	// Load is valid if LoadKnown is set.
	Load      Load
	LoadKnown bool
	// Pause is the time for which the upstream asks for no requests of this gateway, or 0.
	Pause time.Duration
}

// hasRoom reports whether the upstream rejected the request although it could have run it.
func (r Rejected) hasRoom() bool {
	return r.LoadKnown && r.Load.Running < r.Load.Slots && r.Load.Waiting == 0
}

// Replaced means that another upstream answers at the address.
type Replaced struct{}

// Cancelled means that the client left or the deadline passed. It does not affect the state of the upstream.
type Cancelled struct{}

func (Served) feedback()      {}
func (Failed) feedback()      {}
func (Oversized) feedback()   {}
func (Unreachable) feedback() {}
func (Rejected) feedback()    {}
func (Replaced) feedback()    {}
func (Cancelled) feedback()   {}
