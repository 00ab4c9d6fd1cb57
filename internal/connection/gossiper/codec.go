package gossiper

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/replicator"
)

// wireState is the CBOR form of a State.
type wireState struct {
	Node           string            `cbor:"node"`
	FailureDomain  string            `cbor:"failureDomain"`
	Address        string            `cbor:"address"`
	ControlAddress string            `cbor:"control"`
	Incarnation    uint64            `cbor:"incarnation"`
	Sequence       uint64            `cbor:"sequence"`
	Versions       map[string]uint64 `cbor:"versions"`
	Running        map[string]int    `cbor:"running"`
	Stopping       bool              `cbor:"stopping,omitempty"`
	Leading        bool              `cbor:"leading,omitempty"`
	Groups         map[string]bool   `cbor:"groups,omitempty"`
	GroupsOpened   map[string]uint64 `cbor:"opened,omitempty"`
	StoreLost      bool              `cbor:"storeLost,omitempty"`
	StoreAgeMs     uint64            `cbor:"storeAgeMs,omitempty"`
	Resigned       uint64            `cbor:"resigned,omitempty"`
	Peers          []string          `cbor:"peers,omitempty"`
}

func encode(s State) ([]byte, error) {
	w := wireState{
		Node:           string(s.Node),
		FailureDomain:  string(s.FailureDomain),
		Address:        s.Address,
		ControlAddress: s.ControlAddress,
		Incarnation:    uint64(s.Incarnation),
		Sequence:       s.Sequence,
		Versions:       convert[string](s.Versions),
		Running:        convert[string](s.Running),
		Stopping:       s.Stopping,
		Leading:        s.Leading,
		Groups:         convert[string](s.Groups),
		GroupsOpened:   convert[string](s.GroupsOpened),
		StoreLost:      s.StoreLost,
		StoreAgeMs:     uint64(s.StoreAge.Milliseconds()),
		Resigned:       s.Resigned,
		Peers:          s.Peers,
	}
	raw, err := cbor.Marshal(w)
	return raw, errors.Wrap(err, "encode the state")
}

func decode(raw []byte) (State, error) {
	var w wireState
	if err := cbor.Unmarshal(raw, &w); err != nil {
		return State{}, errors.Wrap(err, "decode the state")
	}
	return State{
		Node:           identifier.Node(w.Node),
		FailureDomain:  identifier.FailureDomain(w.FailureDomain),
		Address:        w.Address,
		ControlAddress: w.ControlAddress,
		Incarnation:    identifier.Incarnation(w.Incarnation),
		Sequence:       w.Sequence,
		Versions:       convert[replicator.Table](w.Versions),
		Running:        convert[identifier.Upstream](w.Running),
		Stopping:       w.Stopping,
		Leading:        w.Leading,
		Groups:         convert[identifier.Service](w.Groups),
		GroupsOpened:   convert[identifier.Service](w.GroupsOpened),
		StoreLost:      w.StoreLost,
		StoreAge:       time.Duration(w.StoreAgeMs) * time.Millisecond,
		Resigned:       w.Resigned,
		Peers:          w.Peers,
	}, nil
}

// convert returns the map with its keys converted to another string type.
func convert[To, From ~string, Value any](in map[From]Value) map[To]Value {
	if in == nil {
		return nil
	}
	out := make(map[To]Value, len(in))
	for k, v := range in {
		out[To(k)] = v
	}
	return out
}
