package encoder

import (
	"time"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

type wireHeader struct {
	Name  string `cbor:"name,omitempty"`
	Value string `cbor:"value,omitempty"`
}

func encodeHeader(m messenger.Header) wireHeader {
	return wireHeader{
		Name:  m.Name,
		Value: m.Value,
	}
}

func decodeHeader(w wireHeader) messenger.Header {
	return messenger.Header{
		Name:  w.Name,
		Value: w.Value,
	}
}

type wireLoad struct {
	Upstream  string `cbor:"upstream,omitempty"`
	Running   int    `cbor:"running,omitempty"`
	Granted   int    `cbor:"granted,omitempty"`
	Limit     int    `cbor:"limit,omitempty"`
	WarmLimit int    `cbor:"warmLimit,omitempty"`
	Waiting   int    `cbor:"waiting,omitempty"`
	StepTime  int64  `cbor:"stepTime,omitempty"`
	Draining  bool   `cbor:"draining,omitempty"`
	Ready     bool   `cbor:"ready,omitempty"`
}

func encodeLoad(m messenger.Load) wireLoad {
	return wireLoad{
		Upstream:  string(m.Upstream),
		Running:   int(m.Running),
		Granted:   int(m.Granted),
		Limit:     int(m.Limit),
		WarmLimit: int(m.WarmLimit),
		Waiting:   m.Waiting,
		StepTime:  int64(m.StepTime),
		Draining:  m.Draining,
		Ready:     m.Ready,
	}
}

func decodeLoad(w wireLoad) messenger.Load {
	return messenger.Load{
		Upstream:  identifier.Upstream(w.Upstream),
		Running:   identifier.Credits(w.Running),
		Granted:   identifier.Credits(w.Granted),
		Limit:     identifier.Credits(w.Limit),
		WarmLimit: identifier.Credits(w.WarmLimit),
		Waiting:   w.Waiting,
		StepTime:  time.Duration(w.StepTime),
		Draining:  w.Draining,
		Ready:     w.Ready,
	}
}

type wireSuspicion struct {
	Digest  string   `cbor:"digest,omitempty"`
	Crashes []string `cbor:"crashes,omitempty"`
	Age     int64    `cbor:"age,omitempty"`
}

func encodeSuspicion(m messenger.Suspicion) wireSuspicion {
	return wireSuspicion{
		Digest:  string(m.Digest),
		Crashes: mapAll(m.Crashes, func(c identifier.Crash) string { return string(c) }),
		Age:     int64(m.Age),
	}
}

func decodeSuspicion(w wireSuspicion) messenger.Suspicion {
	return messenger.Suspicion{
		Digest:  identifier.Digest(w.Digest),
		Crashes: mapAll(w.Crashes, func(c string) identifier.Crash { return identifier.Crash(c) }),
		Age:     time.Duration(w.Age),
	}
}

type wireNodeSummary struct {
	Node          string `cbor:"node,omitempty"`
	Role          string `cbor:"role,omitempty"`
	FailureDomain string `cbor:"failureDomain,omitempty"`
	Address       string `cbor:"address,omitempty"`
	Incarnation   uint64 `cbor:"incarnation,omitempty"`
	Revision      uint64 `cbor:"revision,omitempty"`
	Age           int64  `cbor:"age,omitempty"`
}

func encodeNodeSummary(m messenger.NodeSummary) wireNodeSummary {
	return wireNodeSummary{
		Node:          string(m.Node),
		Role:          string(m.Role),
		FailureDomain: string(m.FailureDomain),
		Address:       m.Address,
		Incarnation:   uint64(m.Incarnation),
		Revision:      uint64(m.Revision),
		Age:           int64(m.Age),
	}
}

func decodeNodeSummary(w wireNodeSummary) messenger.NodeSummary {
	return messenger.NodeSummary{
		Node:          identifier.Node(w.Node),
		Role:          identifier.Role(w.Role),
		FailureDomain: identifier.FailureDomain(w.FailureDomain),
		Address:       w.Address,
		Incarnation:   identifier.Incarnation(w.Incarnation),
		Revision:      identifier.Revision(w.Revision),
		Age:           time.Duration(w.Age),
	}
}

type wireChange struct {
	Revision uint64 `cbor:"revision,omitempty"`
	Kind     string `cbor:"kind,omitempty"`
	Name     string `cbor:"name,omitempty"`
	Value    []byte `cbor:"value,omitempty"`
}

func encodeChange(m messenger.Change) wireChange {
	return wireChange{
		Revision: uint64(m.Revision),
		Kind:     m.Kind,
		Name:     m.Name,
		Value:    m.Value,
	}
}

func decodeChange(w wireChange) messenger.Change {
	return messenger.Change{
		Revision: identifier.Revision(w.Revision),
		Kind:     w.Kind,
		Name:     w.Name,
		Value:    w.Value,
	}
}

type wireCustomerDemand struct {
	Customer string `cbor:"customer,omitempty"`
	Waiting  int    `cbor:"waiting,omitempty"`
}

func encodeCustomerDemand(m messenger.CustomerDemand) wireCustomerDemand {
	return wireCustomerDemand{
		Customer: string(m.Customer),
		Waiting:  m.Waiting,
	}
}

func decodeCustomerDemand(w wireCustomerDemand) messenger.CustomerDemand {
	return messenger.CustomerDemand{
		Customer: identifier.Customer(w.Customer),
		Waiting:  w.Waiting,
	}
}

type wireTarget struct {
	Kind    string `cbor:"kind,omitempty"`
	Model   string `cbor:"model,omitempty"`
	Service string `cbor:"service,omitempty"`
}

func encodeTarget(m messenger.Target) wireTarget {
	return wireTarget{
		Kind:    string(m.Kind),
		Model:   string(m.Model),
		Service: string(m.Service),
	}
}

func decodeTarget(w wireTarget) messenger.Target {
	return messenger.Target{
		Kind:    messenger.TargetKind(w.Kind),
		Model:   identifier.Model(w.Model),
		Service: identifier.Service(w.Service),
	}
}
