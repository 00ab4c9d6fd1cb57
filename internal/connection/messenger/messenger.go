// Package messenger defines the messages that entries and agents exchange over links. Package encoder writes them to the
// wire.
package messenger

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Message is one of the message types of this package.
type Message interface{ message() }

// Reason is the machine-readable cause of a refusal or failure.
type Reason string

// Reasons of refusals, after which the request has not started.
const (
	ReasonNoCredit            Reason = "noCredit"
	ReasonOldIncarnation      Reason = "oldIncarnation"
	ReasonDraining            Reason = "draining"
	ReasonQuarantined         Reason = "quarantined"
	ReasonOverloaded          Reason = "overloaded"
	ReasonUpstreamUnreachable Reason = "upstreamUnreachable"
	ReasonTableUnavailable    Reason = "tableUnavailable"
	ReasonKeyReused           Reason = "keyReusedForAnotherRequest"
	ReasonRequestNotFound     Reason = "requestNotFound"
	ReasonMalformed           Reason = "malformed"
	ReasonWaitedTooLong       Reason = "waitedTooLong"
	ReasonQueueFull           Reason = "queueFull"
	ReasonNoUpstream          Reason = "noUpstream"
	ReasonWithdrawn           Reason = "withdrawn"
	ReasonUnauthenticated     Reason = "unauthenticated"
	ReasonUnknownTarget       Reason = "unknownTarget"
)

// Reasons of failures after which the request may have run.
const (
	ReasonUpstreamDied    Reason = "upstreamDied"
	ReasonUpstreamError   Reason = "upstreamError"
	ReasonDeadline        Reason = "deadline"
	ReasonAgentLost       Reason = "agentLost"
	ReasonClaimUnresolved Reason = "claimUnresolved"
	ReasonAnswerMismatch  Reason = "answerMismatch"
)

// Header is one HTTP header field.
type Header struct {
	Name  string
	Value string
}

// Load is the state of an upstream that its agent reports.
type Load struct {
	Upstream identifier.Upstream
	// Running is the number of running requests, and Granted the number of credits that entries hold.
	Running identifier.Credits
	Granted identifier.Credits
	// Limit is the current limit of running requests and granted credits together. WarmLimit is the limit of a warm
	// upstream.
	Limit     identifier.Credits
	WarmLimit identifier.Credits
	// Waiting is the number of requests that wait at all entries and that no granted credit covers.
	Waiting int
	// StepTime is the upstream's last reported step time.
	StepTime time.Duration
	// Draining is set while the agent grants no credits, for instance because it stops or its failure domain is out.
	Draining bool
	// Ready is false while the upstream does not respond.
	Ready bool
}

// Suspicion lists the upstream crashes at which a request with Digest was running.
type Suspicion struct {
	Digest  identifier.Digest
	Crashes []identifier.Crash
	// Age is the time since the last crash.
	Age time.Duration
}

// NodeSummary is the state of a node that entries send to each other.
type NodeSummary struct {
	Node          identifier.Node
	Role          identifier.Role
	FailureDomain identifier.FailureDomain
	Address       string
	Incarnation   identifier.Incarnation
	Revision      identifier.Revision
	// Age is the time since any entry last received a message from the node itself.
	Age time.Duration
}

// Change is one configuration change. An empty Value means that the resource was deleted.
type Change struct {
	Revision identifier.Revision
	Kind     string
	Name     string
	Value    []byte
}

type (
	// Hello is the first message of the control stream of a link in each direction. It identifies the sender.
	Hello struct {
		Node          identifier.Node
		Role          identifier.Role
		FailureDomain identifier.FailureDomain
		Incarnation   identifier.Incarnation
		Upstream      identifier.Upstream
		Address       string
		Revision      identifier.Revision
	}
	// Heartbeat shows that the sender is alive and carries its load and revision.
	Heartbeat struct {
		Sequence   uint64
		Revision   identifier.Revision
		Load       *Load
		Suspicions []Suspicion
	}
	// Demand reports to an agent how many requests of each customer wait at an entry.
	Demand struct{ Customers []CustomerDemand }
	// CustomerDemand is the demand of one customer.
	CustomerDemand struct {
		Customer identifier.Customer
		Waiting  int
	}
	// Grant permits an entry to dispatch requests of one customer, one for each credit, within Lifetime.
	Grant struct {
		Incarnation identifier.Incarnation
		Serial      identifier.Serial
		Customer    identifier.Customer
		Credits     identifier.Credits
		Lifetime    time.Duration
		// Standing marks credits that are granted without demand. The agent may revoke them at any time.
		Standing bool
	}
	// ReturnGrant returns unused credits of a grant to the agent.
	ReturnGrant struct {
		Serial  identifier.Serial
		Credits identifier.Credits
	}
	// PullChanges requests the configuration changes after a revision.
	PullChanges struct{ After identifier.Revision }
	// Changes is the response to PullChanges. Full means that Changes holds every resource at Revision.
	Changes struct {
		Revision identifier.Revision
		Full     bool
		Changes  []Change
	}
	// Gossip carries the revision, the known nodes and the suspicions of one entry to another.
	Gossip struct {
		Revision   identifier.Revision
		Nodes      []NodeSummary
		Suspicions []Suspicion
	}
)

// TargetKind distinguishes model requests from calls to plain services.
type TargetKind string

// The kinds of targets.
const (
	TargetModel   TargetKind = "model"
	TargetService TargetKind = "service"
)

// Target is the model or the plain service that a request is for.
type Target struct {
	Kind TargetKind
	// Model is set for model requests.
	Model identifier.Model
	// Service is set for plain services.
	Service identifier.Service
}

type (
	// Dispatch starts an attempt of a request on an upstream.
	Dispatch struct {
		Request  identifier.Request
		Attempt  identifier.Attempt
		Customer identifier.Customer
		// Incarnation and Serial identify the grant whose credit the dispatch uses.
		Incarnation identifier.Incarnation
		Serial      identifier.Serial
		Target      Target
		Method      string
		Path        string
		Headers     []Header
		Body        []byte
		// Key is the caller's Idempotency-Key, if any.
		Key        identifier.Key
		Idempotent bool
		Priority   identifier.Priority
		// Timeout is the time left until the deadline of the request.
		Timeout time.Duration
		// MaxTokens bounds the tokens of the complete response, those of Generated included.
		MaxTokens identifier.Tokens
		// Generated is the text of a resumed model stream that the caller has already received.
		Generated []byte
		// Digest is a digest of the request's content, salted with the customer.
		Digest identifier.Digest
	}
	// Attach continues an attempt over a new connection, from a byte offset of its response.
	Attach struct {
		Request  identifier.Request
		Attempt  identifier.Attempt
		Customer identifier.Customer
		Offset   identifier.Bytes
	}
	// Inquire queries the agent that claimed a key for the outcome of the call. The agent sends the recorded response, or
	// Refused if the call has not started and never will, or Broken if the outcome is unknown.
	Inquire struct {
		Customer    identifier.Customer
		Key         identifier.Key
		Digest      identifier.Digest
		Incarnation identifier.Incarnation
	}
	// Ack acknowledges the bytes of the response that the entry has received. After Finished the agent forgets the
	// attempt.
	Ack struct {
		Offset identifier.Bytes
		// Finished is set once the entry has received Broken, or End and verified it.
		Finished bool
	}
	// Cancel cancels an attempt because its caller has disconnected or its deadline has passed.
	Cancel struct{}
	// Started reports that the attempt was admitted.
	Started struct {
		Request  identifier.Request
		Customer identifier.Customer
	}
	// Refused reports that the request has not started.
	Refused struct {
		Reason     Reason
		RetryAfter time.Duration
	}
	// Head carries the status and header fields of the response.
	Head struct {
		Request  identifier.Request
		Customer identifier.Customer
		Status   int
		Headers  []Header
	}
	// Data carries the bytes of the response from an offset on.
	Data struct {
		Offset  identifier.Bytes
		Payload []byte
	}
	// End reports that the response is complete. Length is its size and Digest the xxhash64 of all its bytes.
	End struct {
		Length identifier.Bytes
		Digest uint64
	}
	// Broken reports that the attempt failed after it was admitted.
	Broken struct {
		Reason     Reason
		MayHaveRun bool
		// Crash is set if the upstream crashed.
		Crash identifier.Crash
	}
	// ClaimHeld reports that an attempt at Node has claimed the key before. The entry sends Inquire to that node.
	ClaimHeld struct {
		Node        identifier.Node
		Incarnation identifier.Incarnation
	}
)

// GroupEvent carries an event between the agents of a model group. Package coordinator encodes Body.
type GroupEvent struct {
	Group identifier.ModelGroup
	From  identifier.Rank
	Kind  string
	Body  []byte
}

type (
	// Explain requests a node's recent decisions on a request.
	Explain struct{ Request identifier.Request }
	// Explained is the response to Explain.
	Explained struct{ Decisions []Decision }
	// Field is a named detail of a decision.
	Field struct {
		Name  string
		Value string
	}
	// Decision is one routing or placement decision of a node.
	Decision struct {
		Event   int
		Time    time.Time
		Node    identifier.Node
		Request identifier.Request
		Choice  string
		Reason  string
		Fields  []Field
	}
)

func (GroupEvent) message()  {}
func (Explain) message()     {}
func (Explained) message()   {}
func (Hello) message()       {}
func (Heartbeat) message()   {}
func (Demand) message()      {}
func (Grant) message()       {}
func (ReturnGrant) message() {}
func (PullChanges) message() {}
func (Changes) message()     {}
func (Gossip) message()      {}
func (Dispatch) message()    {}
func (Attach) message()      {}
func (Inquire) message()     {}
func (Ack) message()         {}
func (Cancel) message()      {}
func (Started) message()     {}
func (Refused) message()     {}
func (Head) message()        {}
func (Data) message()        {}
func (End) message()         {}
func (Broken) message()      {}
func (ClaimHeld) message()   {}
