// Package registrar judges which nodes of the fleet are alive, from their own messages, from what peers tell and from
// the platform's lagging list of VMs.
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
	// each second and gossip relays it, so that a shorter time would report healthy nodes.
	SilentAfter = 3 * time.Second
	// GoneAfter is the time after which a silent node counts as gone whatever the VM list says.
	GoneAfter = 30 * time.Second
	// forgetAfter bounds the memory for replaced VMs.
	forgetAfter = 10 * time.Minute
)

// State is the judgement on a node.
type State string

// The states of a node.
const (
	StateLive    State = "live"
	StateSilent  State = "silent"
	StateGone    State = "gone"
	StateLeaving State = "leaving"
)

// Status is a node with the judgement and its reason.
type Status struct {
	Node          identifier.Node
	Role          identifier.Role
	FailureDomain identifier.FailureDomain
	Address       string
	Incarnation   identifier.Incarnation
	Revision      identifier.Revision
	State         State
	Reason        string
	// Age is the time since anyone heard the node.
	Age time.Duration
}

type record struct {
	summary messenger.NodeSummary
	heard   time.Time
}

type listing struct {
	leaving bool
}

// Registrar holds what is known of each node.
type Registrar struct {
	mu     sync.Mutex
	nodes  map[identifier.Node]*record
	listed map[identifier.Node]listing
	// haveList is set once the platform has answered.
	haveList bool
}

// New returns an empty registrar.
func New() *Registrar {
	return &Registrar{nodes: map[identifier.Node]*record{}, listed: map[identifier.Node]listing{}}
}

// Heard records a message of a node or a peer's word of it. Older news changes nothing, and neither does news of an
// earlier incarnation.
func (r *Registrar) Heard(now time.Time, s messenger.NodeSummary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	heard := now.Add(-s.Age)
	old, ok := r.nodes[s.Node]
	switch {
	case !ok:
		r.nodes[s.Node] = &record{summary: s, heard: heard}
	case s.Incarnation < old.summary.Incarnation:
	case s.Incarnation > old.summary.Incarnation:
		old.summary, old.heard = s, heard
	default:
		old.summary.Revision = max(old.summary.Revision, s.Revision)
		if heard.After(old.heard) {
			old.heard = heard
		}
	}
}

// Listed is one VM of the platform's list.
type Listed struct {
	Node    identifier.Node
	Leaving bool
}

// List replaces the platform's list.
func (r *Registrar) List(vms []Listed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = make(map[identifier.Node]listing, len(vms))
	r.haveList = true
	for _, vm := range vms {
		r.listed[vm.Node] = listing{leaving: vm.Leaving}
	}
}

// Nodes returns the judgement on each node in the order of names and forgets nodes that are long gone.
func (r *Registrar) Nodes(now time.Time) []Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Status, 0, len(r.nodes))
	for node, rec := range r.nodes {
		age := now.Sub(rec.heard)
		if age > forgetAfter {
			delete(r.nodes, node)
			continue
		}
		s := rec.summary
		status := Status{
			Node: s.Node, Role: s.Role, FailureDomain: s.FailureDomain, Address: s.Address,
			Incarnation: s.Incarnation, Revision: s.Revision, Age: age,
		}
		status.State, status.Reason = r.judge(node, age)
		out = append(out, status)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}

// judge never lets the list alone remove a node that answers.
func (r *Registrar) judge(node identifier.Node, age time.Duration) (State, string) {
	vm, inList := r.listed[node]
	switch {
	case age > GoneAfter:
		return StateGone, "not heard for 30 s"
	case age > SilentAfter && r.haveList && !inList:
		return StateGone, "not heard and absent from the VM list"
	case age > SilentAfter:
		return StateSilent, "not heard for 3 s"
	case inList && vm.leaving:
		return StateLeaving, "leaving in the VM list"
	default:
		return StateLive, "heard"
	}
}

// Leaving tells whether the platform lists the node as leaving.
func (r *Registrar) Leaving(node identifier.Node) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed[node].leaving
}

// Summaries returns what to tell peers of the nodes heard recently: a random choice of at most limit nodes.
func (r *Registrar) Summaries(now time.Time, limit int) []messenger.NodeSummary {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]messenger.NodeSummary, 0, len(r.nodes))
	for _, rec := range r.nodes {
		age := now.Sub(rec.heard)
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
