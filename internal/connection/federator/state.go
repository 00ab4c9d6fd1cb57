package federator

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/replicator"
)

// State is the state of a gateway that it sends to its peers.
type State struct {
	Node          identifier.Node
	FailureDomain identifier.FailureDomain
	// LinkSpeed is that of the VM's network link. Relays and leaders send more than others, so faster VMs are preferred.
	LinkSpeed identifier.Mbps
	// Address is where the gateway receives datagrams, and ControlAddress is where it serves table rows.
	Address        string
	ControlAddress string
	// Incarnation grows with each restart, and Sequence orders the datagrams of one incarnation.
	Incarnation identifier.Incarnation
	Sequence    uint64
	// Versions holds the highest row version of each table.
	Versions map[replicator.Table]uint64
	// Running counts the requests that the gateway runs on each upstream. It is sent within the failure domain only.
	Running map[identifier.Upstream]int
	// Stopping is set while the gateway stops and accepts no new clients.
	Stopping bool
	// Leading is set for the leader of the expert maps. Only the leader sends Groups: whether each group is open.
	Leading bool
	Groups  map[identifier.GroupID]bool
	// GroupsOpened counts, for each group, how often the gateway's own requests showed that it works again.
	GroupsOpened map[identifier.GroupID]uint64
	// GroupsSlowed counts, for each group, how often the gateway's own streams showed that passes have become slower.
	GroupsSlowed map[identifier.GroupID]uint64
	// StoreLost is set while the platform's store does not respond to the gateway.
	StoreLost bool
	// StoreAge is the time since the platform's store last responded to the gateway, or 0 if it never did. It is sent in
	// whole milliseconds, so an age below 1 ms has to be set to 1 ms.
	StoreAge time.Duration
	// Resigned is the version of the lease row that the gateway last resigned without a write to the store, or 0.
	Resigned uint64
	// Crashes is what the gateway knows of requests that crash upstreams; empty in most datagrams.
	Crashes CrashReport
	// Limits holds the rate limits of upstreams; empty in most datagrams.
	Limits map[identifier.Upstream]UpstreamLimit
	// Notices holds what upstreams have said about further requests.
	Notices map[identifier.Upstream]UpstreamNotice
	// Demand holds the gateway's rate of requests a second for each service that has limited upstreams.
	Demand map[identifier.Service]float64
	// CustomerUses holds the uses of the customers that use most at the gateway. It is sent within the failure domain only.
	CustomerUses CustomerUses
	// Waiting holds what waits at the gateway for each service with an engine. It is nil if the gateway does not report it,
	// as those of earlier builds, and empty if nothing waits. It is sent within the failure domain only.
	Waiting map[identifier.Service]Waiting
	// Peers are datagram addresses of other gateways.
	Peers []string
}

// omitCounts removes the counts that other failure domains get from summaries.
func (s *State) omitCounts() {
	s.Running, s.Waiting, s.CustomerUses = nil, nil, nil
}

// WaitingClass is a kind of waiting requests.
type WaitingClass struct {
	// Priority is from 0, which is served first, to 9.
	Priority int
	// Late is set for requests that can no longer be on time.
	Late bool
}

// Need is a number of waiting requests and the time for which they will hold slots.
type Need struct {
	Requests int
	Work     time.Duration
}

// Waiting holds the requests that wait for a service.
type Waiting map[WaitingClass]Need

// Precedes reports whether the gateway takes on tasks for its failure domain before another one.
func (s State) Precedes(other State) bool {
	if s.LinkSpeed != other.LinkSpeed {
		return s.LinkSpeed > other.LinkSpeed
	}
	return s.Node < other.Node
}

// Peer is the last received state of another gateway.
type Peer struct {
	State
	// ReceivedAt is when the state was received.
	ReceivedAt time.Time
	// Silent is set once no datagram has arrived for silentAfter.
	Silent bool
}

// LastStoreResponse returns when the platform's store last responded to the peer; zero if it never did.
func (p Peer) LastStoreResponse() time.Time {
	if p.StoreAge == 0 {
		return time.Time{}
	}
	return p.ReceivedAt.Add(-p.StoreAge)
}

// Leader is the leader of the expert maps as a relay knows it.
type Leader struct {
	Node        identifier.Node
	Incarnation identifier.Incarnation
	Groups      map[identifier.GroupID]bool
	// HeardAt is when a datagram of the leader last arrived at a gateway of its failure domain.
	HeardAt time.Time
}

// Summary is the state of all gateways of a failure domain, as one of its relays sends it to other domains.
type Summary struct {
	FailureDomain identifier.FailureDomain
	// Relay is the gateway that made the summary, Address its datagram address and ControlAddress where it serves rows.
	Relay          identifier.Node
	Address        string
	ControlAddress string
	// MadeAt is when the relay made the summary, by the clock of the gateway that holds it.
	MadeAt time.Time
	// Known counts the gateways of the domain that share limits, Live those that are not silent, and Usable those of them
	// that can follow the platform's store.
	Known  int
	Live   int
	Usable int
	// Running sums the running requests of the live gateways on each upstream.
	Running map[identifier.Upstream]int
	// Demand sums the rates of requests a second of the live gateways for each service that has limited upstreams.
	Demand map[identifier.Service]float64
	// CustomerUses sums the uses of the live gateways, of the customers that use most.
	CustomerUses CustomerUses
	// Waiting sums the waiting requests of the live gateways that report them, and Reporting counts these.
	Waiting   map[identifier.Service]Waiting
	Reporting int
	// Versions holds the highest row version of each table at the relay.
	Versions map[replicator.Table]uint64
	// Leader is set if a gateway of the domain leads.
	Leader *Leader
	// Opened holds, for each group, when requests of the domain last showed that it works again.
	Opened map[identifier.GroupID]time.Time
	// Slowed holds, for each group, when streams of the domain last showed that its passes have become slower.
	Slowed map[identifier.GroupID]time.Time
	// StoreRespondedAt is when the platform's store last responded to a gateway of the domain; zero if it never did.
	StoreRespondedAt time.Time
	// Resigned holds the versions of the lease row that gateways of the domain have resigned.
	Resigned []uint64
}

// Datagram is what a gateway sends to another one.
type Datagram struct {
	State State
	// Summaries are those of other failure domains if the receiver is in the sender's own, else that of the sender's.
	Summaries []Summary
	// Relays are the relays that the sender knows: those of its own failure domain, and of others if it is a relay itself.
	Relays []Contact
}

// Contact is the datagram address of a gateway in a failure domain.
type Contact struct {
	Address       string
	FailureDomain identifier.FailureDomain
}

// Outgoing is a datagram and its receivers.
type Outgoing struct {
	Addresses []string
	Datagram  Datagram
}

// Event is something that a gateway has learned from others.
type Event interface{ event() }

// PeerChanged means that a peer appeared, restarted, fell silent, or sent again after it was silent.
type PeerChanged struct{ Peer Peer }

// GroupOpened means that requests of another gateway showed that a closed group works again.
type GroupOpened struct{ Group identifier.GroupID }

// GroupSlowed means that streams of another gateway showed at a time that the passes of a group have become slower.
type GroupSlowed struct {
	Group identifier.GroupID
	At    time.Time
}

// GroupsReported holds whether each group is open, as the leader of the expert maps reports it.
type GroupsReported struct {
	Open map[identifier.GroupID]bool
}

// CrashesReported holds what another gateway knows of requests that crash upstreams.
type CrashesReported struct {
	Peer   identifier.Node
	Report CrashReport
}

func (CrashesReported) event() {}
func (PeerChanged) event()     {}
func (GroupOpened) event()     {}
func (GroupSlowed) event()     {}
func (GroupsReported) event()  {}
