// Package messenger defines the messages that the processes of the fleet exchange.
package messenger

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Message is one of the message types of this package.
type Message interface{ message() }

// Reason is the machine-readable cause of a refusal or failure.
type Reason string

// Reasons of refusals, which mean that nothing has started.
const (
	ReasonNoCredit        Reason = "noCredit"
	ReasonOldIncarnation  Reason = "oldIncarnation"
	ReasonDraining        Reason = "draining"
	ReasonQuarantined     Reason = "quarantined"
	ReasonOverloaded      Reason = "overloaded"
	ReasonUnreachable     Reason = "upstreamUnreachable"
	ReasonTableDown       Reason = "tableUnavailable"
	ReasonKeyMismatch     Reason = "keyReusedForAnotherRequest"
	ReasonNotFound        Reason = "requestNotFound"
	ReasonMalformed       Reason = "malformed"
	ReasonWaitedTooLong   Reason = "waitedTooLong"
	ReasonQueueFull       Reason = "queueFull"
	ReasonNoUpstream      Reason = "noUpstream"
	ReasonWithdrawn       Reason = "withdrawn"
	ReasonUnauthenticated Reason = "unauthenticated"
	ReasonUnknownTarget   Reason = "unknownTarget"
)

// Reasons of failures after which the request may have run.
const (
	ReasonUpstreamDied    Reason = "upstreamDied"
	ReasonUpstreamError   Reason = "upstreamError"
	ReasonDeadline        Reason = "deadline"
	ReasonAgentLost       Reason = "agentLost"
	ReasonClaimUnresolved Reason = "claimUnresolved"
	ReasonMismatch        Reason = "answerMismatch"
)

// Header is one HTTP header field.
type Header struct {
	Name  string
	Value string
}

// Load is what an agent reports of its upstream.
type Load struct {
	Upstream  identifier.Upstream
	Running   identifier.Credits
	Granted   identifier.Credits
	Limit     identifier.Credits
	WarmLimit identifier.Credits
	// Waiting is the demand of all entries that no grant covers yet.
	Waiting int
	// StepTime is the upstream's last reported step time.
	StepTime time.Duration
	// Draining is set while the agent grants nothing because of a planned stop or departure.
	Draining bool
	// Ready is unset while the upstream does not answer.
	Ready bool
}

// Suspicion names the upstream crashes that a request digest took part in.
type Suspicion struct {
	Digest  identifier.Digest
	Crashes []identifier.Crash
	// Age is the time since the last crash.
	Age time.Duration
}

// NodeSummary is what entries tell each other of a node.
type NodeSummary struct {
	Node          identifier.Node
	Role          identifier.Role
	FailureDomain identifier.FailureDomain
	Address       string
	Incarnation   identifier.Incarnation
	Revision      identifier.Revision
	// Age is the time since the node was last heard directly by anyone.
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
	// Hello opens the control stream of a link in both directions.
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
	// Demand tells an agent how many requests of each customer wait at an entry.
	Demand struct{ Customers []CustomerDemand }
	// CustomerDemand is the demand of one customer.
	CustomerDemand struct {
		Customer identifier.Customer
		Waiting  int
	}
	// Grant permits an entry to dispatch requests of one customer.
	Grant struct {
		Incarnation identifier.Incarnation
		Serial      identifier.Serial
		Customer    identifier.Customer
		Credits     identifier.Credits
		Lifetime    time.Duration
		// Standing marks credits that are given without demand. The agent may revoke them at any time.
		Standing bool
	}
	// ReturnGrant gives unused credits back.
	ReturnGrant struct {
		Serial  identifier.Serial
		Credits identifier.Credits
	}
	// PullChanges asks for the configuration changes after a revision.
	PullChanges struct{ After identifier.Revision }
	// Changes answers PullChanges. Full means that Changes holds every resource at Revision.
	Changes struct {
		Revision identifier.Revision
		Full     bool
		Changes  []Change
	}
	// Gossip spreads the revision, the known nodes and suspicions between entries.
	Gossip struct {
		Revision   identifier.Revision
		Nodes      []NodeSummary
		Suspicions []Suspicion
	}
)

// TargetKind tells model requests from calls to plain services.
type TargetKind string

// The kinds of targets.
const (
	TargetModel   TargetKind = "model"
	TargetService TargetKind = "service"
)

// Target names what a request is for.
type Target struct {
	Kind  TargetKind
	Model identifier.Model
	// Service is set for plain services.
	Service identifier.Service
}

type (
	// Dispatch starts an attempt of a request on an upstream.
	Dispatch struct {
		Request     identifier.Request
		Attempt     identifier.Attempt
		Customer    identifier.Customer
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
		// Timeout is the time left for the whole request.
		Timeout time.Duration
		// MaxTokens bounds the tokens of the whole answer, those of Generated included.
		MaxTokens identifier.Tokens
		// Generated is the text that the caller already has of a resumed model stream.
		Generated []byte
		// Digest stands in for the request's content, salted by customer.
		Digest identifier.Digest
	}
	// Attach goes on with an attempt over a new connection, from a byte offset of its answer.
	Attach struct {
		Request  identifier.Request
		Attempt  identifier.Attempt
		Customer identifier.Customer
		Offset   identifier.Bytes
	}
	// Inquire asks the agent that claimed a key for the outcome. The answer is that of the recorded call, or
	// Refused once the agent has recorded that the call must never start.
	Inquire struct {
		Customer    identifier.Customer
		Key         identifier.Key
		Digest      identifier.Digest
		Incarnation identifier.Incarnation
	}
	// Ack tells the agent how many bytes of the answer the entry holds. After Ack of the whole answer
	// the agent forgets the attempt.
	Ack struct {
		Offset identifier.Bytes
		// Finished is set once the entry has seen End and verified it.
		Finished bool
	}
	// Cancel stops an attempt because its caller is gone.
	Cancel struct{}
	// Started tells that the attempt was admitted.
	Started struct {
		Request  identifier.Request
		Customer identifier.Customer
	}
	// Refused tells that nothing has started.
	Refused struct {
		Reason     Reason
		RetryAfter time.Duration
	}
	// Head carries the status and header fields of the answer.
	Head struct {
		Request  identifier.Request
		Customer identifier.Customer
		Status   int
		Headers  []Header
	}
	// Data carries bytes of the answer from an offset.
	Data struct {
		Offset  identifier.Bytes
		Payload []byte
	}
	// End tells that the answer is whole. Digest is the xxhash64 of all its bytes.
	End struct {
		Length identifier.Bytes
		Digest uint64
	}
	// Broken tells that the attempt failed after it was admitted.
	Broken struct {
		Reason     Reason
		MayHaveRun bool
		// Crash is set if the upstream died.
		Crash identifier.Crash
	}
	// ClaimHeld tells that another attempt holds the claim of the key.
	ClaimHeld struct {
		Node        identifier.Node
		Incarnation identifier.Incarnation
	}
)

// GroupEvent carries an event between the agents of a model group. Body is in the codec of version/coordinator.
type GroupEvent struct {
	Group identifier.ModelGroup
	From  identifier.Rank
	Kind  string
	Body  []byte
}

type (
	// Explain asks a node for its recent decisions on a request.
	Explain struct{ Request identifier.Request }
	// Explained answers Explain.
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
