package inquirer

import "time"

// Answer is the JSON form of where a request would go, and why. Times ending in Ms are in milliseconds.
type Answer struct {
	Gateway       string    `json:"gateway"`
	FailureDomain string    `json:"failureDomain"`
	At            time.Time `json:"at"`
	Request       Request   `json:"request"`
	Decision      Decision  `json:"decision"`
	// Queue is nil if the admitter has nothing to decide.
	Queue *Queue `json:"queue,omitempty"`
	// Share is nil for a request without a customer.
	Share  *Share  `json:"share,omitempty"`
	Groups []Group `json:"groups,omitempty"`
	// Compared is the size of the random sample of the candidates without an obstacle that is compared. OmittedCandidates is
	// the number of those that are not listed.
	Compared          int         `json:"compared,omitempty"`
	Candidates        []Candidate `json:"candidates,omitempty"`
	OmittedCandidates int         `json:"omittedCandidates,omitempty"`
	State             State       `json:"state"`
}

// Request is the request as the gateway understands it.
type Request struct {
	Route    string   `json:"route,omitempty"`
	Prefix   string   `json:"prefix,omitempty"`
	Customer string   `json:"customer,omitempty"`
	Service  string   `json:"service,omitempty"`
	Targets  []Target `json:"targets,omitempty"`
	Priority int      `json:"priority"`
	// OnTimeMs is how long the request may wait and still be on time; GrantMs how long it waits at most, and DeadlineMs how
	// long its client does. OnTimeMs is 0 for a request that is late when it arrives.
	OnTimeMs   float64 `json:"onTimeMs"`
	GrantMs    float64 `json:"grantMs"`
	DeadlineMs float64 `json:"deadlineMs"`
	// ClientRetries is set if the client is expected to send the request again after a refusal.
	ClientRetries bool `json:"clientRetries"`
	// Isolated is set if the request may crash upstreams and would go to one that all gateways choose alike.
	Isolated bool `json:"isolated,omitempty"`
}

// Target is a target of a route with its weight.
type Target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// The kinds of decisions.
const (
	KindUpstream = "upstream"
	KindWait     = "wait"
	KindRefusal  = "refusal"
	KindInvalid  = "invalid"
)

// Decision is what would happen to the request now.
type Decision struct {
	// Kind is one of the Kind constants. The fields up to Probe are those of KindUpstream.
	Kind          string `json:"kind"`
	Upstream      string `json:"upstream,omitempty"`
	Address       string `json:"address,omitempty"`
	FailureDomain string `json:"failureDomain,omitempty"`
	Group         string `json:"group,omitempty"`
	// Probe is set if the request would probe a closed group.
	Probe bool `json:"probe,omitempty"`
	// Status and Reason are those of KindRefusal and KindInvalid, Detail what the log adds to the reason.
	Status       int     `json:"status,omitempty"`
	Reason       string  `json:"reason,omitempty"`
	Detail       string  `json:"detail,omitempty"`
	RetryAfterMs float64 `json:"retryAfterMs,omitempty"`
}

// Queue is the place of the request in the queue of its service at this gateway.
type Queue struct {
	Waiting        int     `json:"waiting"`
	Ahead          int     `json:"ahead"`
	ExpectedWaitMs float64 `json:"expectedWaitMs"`
	// Late is set if the request can no longer be on time.
	Late bool `json:"late"`
}

// Share is how the customer stands to its share, in requests of all gateways and recent seconds.
type Share struct {
	// Standing is within, limited or over.
	Standing string  `json:"standing"`
	Asked    float64 `json:"asked"`
	Granted  float64 `json:"granted"`
	// Share is nil while capacity suffices.
	Share *float64 `json:"share,omitempty"`
	// Usual is what the customer usually asks for in the same time. It is 0 while that is unknown or capacity suffices.
	Usual float64 `json:"usual,omitempty"`
}

// Group is a group of the service before the decision.
type Group struct {
	Group string `json:"group"`
	// State is open, stalled or closed.
	State       string  `json:"state"`
	OpensInMs   float64 `json:"opensInMs,omitempty"`
	Admits      bool    `json:"admits"`
	Ranks       int     `json:"ranks"`
	Running     int     `json:"running"`
	PeerRunning int     `json:"peerRunning"`
	Starting    int     `json:"starting"`
	Limit       int     `json:"limit,omitempty"`
	Capacity    float64 `json:"capacity,omitempty"`
}

// Candidate is an upstream of the service before the decision.
type Candidate struct {
	Upstream      string `json:"upstream"`
	Group         string `json:"group,omitempty"`
	FailureDomain string `json:"failureDomain"`
	Running       int    `json:"running"`
	PeerRunning   int    `json:"peerRunning"`
	Slots         int    `json:"slots"`
	// Limit is the number of requests that the gateway may run on the upstream; nil if only its slots limit them.
	Limit *int    `json:"limit,omitempty"`
	Score float64 `json:"score"`
	// Obstacle is why the upstream gets no request, or empty.
	Obstacle string `json:"obstacle,omitempty"`
}

// State is the state of the gateway that the answer is based on.
type State struct {
	ConfigVersion uint64 `json:"configVersion"`
	// Upstreams is the number of upstreams in the list, and ListVersion its version.
	Upstreams   int    `json:"upstreams"`
	ListVersion string `json:"listVersion"`
	// ListAgeMs is the time since the platform's store last responded to this gateway, or to one that has the same version
	// of the list; nil if that is not known. ListOutdated is set if a peer has a newer list.
	ListAgeMs    *float64 `json:"listAgeMs,omitempty"`
	ListOutdated bool     `json:"listOutdated"`
	// Gateways is the number of gateways that share the upstreams, this one included; PeersKnown and PeersLive count the
	// others, of all failure domains, and those of them that are not silent.
	Gateways   int  `json:"gateways"`
	PeersKnown int  `json:"peersKnown"`
	PeersLive  int  `json:"peersLive"`
	Stopping   bool `json:"stopping"`
}
