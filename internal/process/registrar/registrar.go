// Package registrar derives the state of each node of the fleet: live, silent, gone or leaving. It uses the node's own
// messages, the gossip of peers about it and the platform's list of VMs, which lags behind.
package registrar

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	// SilentAfter is the time without a message after which a node counts as silent. Idle links send a heartbeat
	// each second, which gossip relays with a delay, so a shorter time would report healthy nodes as silent.
	SilentAfter = 3 * time.Second
	// GoneAfter is the time without a message after which a node counts as gone even if the VM list contains it.
	GoneAfter = 30 * time.Second
	// removeAfter is the time without a message after which a node is removed, which bounds the memory for replaced VMs.
	removeAfter = 10 * time.Minute
)

// State is the state of a node.
type State string

// The states of a node.
const (
	StateLive    State = "live"
	StateSilent  State = "silent"
	StateGone    State = "gone"
	StateLeaving State = "leaving"
)

// Status is a node with its state and the reason for the state.
type Status struct {
	Node          identifier.Node
	Role          identifier.Role
	FailureDomain identifier.FailureDomain
	Address       string
	Incarnation   identifier.Incarnation
	Revision      identifier.Revision
	State         State
	Reason        string
	// Age is the time since the newest known message of the node, to this process or to a peer that reported it.
	Age time.Duration
}

// nodeRecord is the latest summary of a node and when the node sent the newest message that is known here.
type nodeRecord struct {
	summary       messenger.NodeSummary
	lastMessageAt time.Time
}

type vmState struct {
	leaving bool
}

// Registrar holds the known nodes and the platform's list of VMs. It is safe for concurrent use.
type Registrar struct {
	mu    sync.Mutex
	nodes map[identifier.Node]*nodeRecord
	vms   map[identifier.Node]vmState
	// vmsKnown is set once the platform's list has been received.
	vmsKnown bool
}

// New returns an empty registrar.
func New() *Registrar {
	return &Registrar{nodes: map[identifier.Node]*nodeRecord{}, vms: map[identifier.Node]vmState{}}
}

// Observe records a message of a node, or what a peer reports about the node; s.Age is the time since the node's message.
// Older information and that of an earlier incarnation have no effect.
func (r *Registrar) Observe(now time.Time, s messenger.NodeSummary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	messageAt := now.Add(-s.Age)
	known, ok := r.nodes[s.Node]
	switch {
	case !ok:
		r.nodes[s.Node] = &nodeRecord{summary: s, lastMessageAt: messageAt}
	case s.Incarnation < known.summary.Incarnation:
	case s.Incarnation > known.summary.Incarnation:
		known.summary, known.lastMessageAt = s, messageAt
	default:
		known.summary.Revision = max(known.summary.Revision, s.Revision)
		if messageAt.After(known.lastMessageAt) {
			known.lastMessageAt = messageAt
		}
	}
}

// VM is a VM in the platform's list.
type VM struct {
	Node    identifier.Node
	Leaving bool
}

// SetVMs replaces the platform's list.
func (r *Registrar) SetVMs(vms []VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vms = make(map[identifier.Node]vmState, len(vms))
	r.vmsKnown = true
	for _, vm := range vms {
		r.vms[vm.Node] = vmState{leaving: vm.Leaving}
	}
}

// Nodes returns the status of each node in the order of names. It removes nodes without a message for removeAfter.
func (r *Registrar) Nodes(now time.Time) []Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Status, 0, len(r.nodes))
	for node, rec := range r.nodes {
		age := now.Sub(rec.lastMessageAt)
		if age > removeAfter {
			delete(r.nodes, node)
			continue
		}
		s := rec.summary
		status := Status{
			Node: s.Node, Role: s.Role, FailureDomain: s.FailureDomain, Address: s.Address,
			Incarnation: s.Incarnation, Revision: s.Revision, Age: age,
		}
		status.State, status.Reason = r.nodeState(node, age)
		out = append(out, status)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}

// nodeState returns the state of a node and the reason. A node that is missing in the VM list but still sends messages
// stays live, since the list lags.
func (r *Registrar) nodeState(node identifier.Node, age time.Duration) (State, string) {
	vm, inList := r.vms[node]
	switch {
	case age > GoneAfter:
		return StateGone, "not heard for 30 s"
	case age > SilentAfter && r.vmsKnown && !inList:
		return StateGone, "not heard and absent from the VM list"
	case age > SilentAfter:
		return StateSilent, "not heard for 3 s"
	case inList && vm.leaving:
		return StateLeaving, "leaving in the VM list"
	default:
		return StateLive, "heard"
	}
}

// Leaving reports whether the platform lists the node as leaving.
func (r *Registrar) Leaving(node identifier.Node) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.vms[node].leaving
}

// Summaries returns the summaries to send to peers: a random selection of at most limit nodes that are not gone.
func (r *Registrar) Summaries(now time.Time, limit int) []messenger.NodeSummary {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]messenger.NodeSummary, 0, len(r.nodes))
	for _, rec := range r.nodes {
		age := now.Sub(rec.lastMessageAt)
		if age > GoneAfter {
			continue
		}
		s := rec.summary
		s.Age = age
		out = append(out, s)
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(limit, len(out))]
}
