package encoder

import (
	"time"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

type wireHello struct {
	Node          string `cbor:"node,omitempty"`
	Role          string `cbor:"role,omitempty"`
	FailureDomain string `cbor:"failureDomain,omitempty"`
	Incarnation   uint64 `cbor:"incarnation,omitempty"`
	Upstream      string `cbor:"upstream,omitempty"`
	Address       string `cbor:"address,omitempty"`
	Revision      uint64 `cbor:"revision,omitempty"`
}

func encodeHello(m messenger.Hello) wireHello {
	return wireHello{
		Node:          string(m.Node),
		Role:          string(m.Role),
		FailureDomain: string(m.FailureDomain),
		Incarnation:   uint64(m.Incarnation),
		Upstream:      string(m.Upstream),
		Address:       m.Address,
		Revision:      uint64(m.Revision),
	}
}

func decodeHello(w wireHello) messenger.Hello {
	return messenger.Hello{
		Node:          identifier.Node(w.Node),
		Role:          identifier.Role(w.Role),
		FailureDomain: identifier.FailureDomain(w.FailureDomain),
		Incarnation:   identifier.Incarnation(w.Incarnation),
		Upstream:      identifier.Upstream(w.Upstream),
		Address:       w.Address,
		Revision:      identifier.Revision(w.Revision),
	}
}

type wireHeartbeat struct {
	Sequence   uint64          `cbor:"sequence,omitempty"`
	Revision   uint64          `cbor:"revision,omitempty"`
	Load       *wireLoad       `cbor:"load,omitempty"`
	Suspicions []wireSuspicion `cbor:"suspicions,omitempty"`
}

func encodeHeartbeat(m messenger.Heartbeat) wireHeartbeat {
	return wireHeartbeat{
		Sequence:   m.Sequence,
		Revision:   uint64(m.Revision),
		Load:       mapOptional(m.Load, encodeLoad),
		Suspicions: mapAll(m.Suspicions, encodeSuspicion),
	}
}

func decodeHeartbeat(w wireHeartbeat) messenger.Heartbeat {
	return messenger.Heartbeat{
		Sequence:   w.Sequence,
		Revision:   identifier.Revision(w.Revision),
		Load:       mapOptional(w.Load, decodeLoad),
		Suspicions: mapAll(w.Suspicions, decodeSuspicion),
	}
}

type wireDemand struct {
	Customers []wireCustomerDemand `cbor:"customers,omitempty"`
}

func encodeDemand(m messenger.Demand) wireDemand {
	return wireDemand{
		Customers: mapAll(m.Customers, encodeCustomerDemand),
	}
}

func decodeDemand(w wireDemand) messenger.Demand {
	return messenger.Demand{
		Customers: mapAll(w.Customers, decodeCustomerDemand),
	}
}

type wireGrant struct {
	Incarnation uint64 `cbor:"incarnation,omitempty"`
	Serial      uint64 `cbor:"serial,omitempty"`
	Customer    string `cbor:"customer,omitempty"`
	Credits     int    `cbor:"credits,omitempty"`
	Lifetime    int64  `cbor:"lifetime,omitempty"`
	Standing    bool   `cbor:"standing,omitempty"`
}

func encodeGrant(m messenger.Grant) wireGrant {
	return wireGrant{
		Incarnation: uint64(m.Incarnation),
		Serial:      uint64(m.Serial),
		Customer:    string(m.Customer),
		Credits:     int(m.Credits),
		Lifetime:    int64(m.Lifetime),
		Standing:    m.Standing,
	}
}

func decodeGrant(w wireGrant) messenger.Grant {
	return messenger.Grant{
		Incarnation: identifier.Incarnation(w.Incarnation),
		Serial:      identifier.Serial(w.Serial),
		Customer:    identifier.Customer(w.Customer),
		Credits:     identifier.Credits(w.Credits),
		Lifetime:    time.Duration(w.Lifetime),
		Standing:    w.Standing,
	}
}

type wireReturnGrant struct {
	Serial  uint64 `cbor:"serial,omitempty"`
	Credits int    `cbor:"credits,omitempty"`
}

func encodeReturnGrant(m messenger.ReturnGrant) wireReturnGrant {
	return wireReturnGrant{
		Serial:  uint64(m.Serial),
		Credits: int(m.Credits),
	}
}

func decodeReturnGrant(w wireReturnGrant) messenger.ReturnGrant {
	return messenger.ReturnGrant{
		Serial:  identifier.Serial(w.Serial),
		Credits: identifier.Credits(w.Credits),
	}
}

type wirePullChanges struct {
	After uint64 `cbor:"after,omitempty"`
}

func encodePullChanges(m messenger.PullChanges) wirePullChanges {
	return wirePullChanges{
		After: uint64(m.After),
	}
}

func decodePullChanges(w wirePullChanges) messenger.PullChanges {
	return messenger.PullChanges{
		After: identifier.Revision(w.After),
	}
}

type wireChanges struct {
	Revision uint64       `cbor:"revision,omitempty"`
	Full     bool         `cbor:"full,omitempty"`
	Changes  []wireChange `cbor:"changes,omitempty"`
}

func encodeChanges(m messenger.Changes) wireChanges {
	return wireChanges{
		Revision: uint64(m.Revision),
		Full:     m.Full,
		Changes:  mapAll(m.Changes, encodeChange),
	}
}

func decodeChanges(w wireChanges) messenger.Changes {
	return messenger.Changes{
		Revision: identifier.Revision(w.Revision),
		Full:     w.Full,
		Changes:  mapAll(w.Changes, decodeChange),
	}
}

type wireGossip struct {
	Revision   uint64            `cbor:"revision,omitempty"`
	Nodes      []wireNodeSummary `cbor:"nodes,omitempty"`
	Suspicions []wireSuspicion   `cbor:"suspicions,omitempty"`
}

func encodeGossip(m messenger.Gossip) wireGossip {
	return wireGossip{
		Revision:   uint64(m.Revision),
		Nodes:      mapAll(m.Nodes, encodeNodeSummary),
		Suspicions: mapAll(m.Suspicions, encodeSuspicion),
	}
}

func decodeGossip(w wireGossip) messenger.Gossip {
	return messenger.Gossip{
		Revision:   identifier.Revision(w.Revision),
		Nodes:      mapAll(w.Nodes, decodeNodeSummary),
		Suspicions: mapAll(w.Suspicions, decodeSuspicion),
	}
}
