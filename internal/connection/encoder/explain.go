package encoder

import (
	"time"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

type wireExplain struct {
	Request []byte `cbor:"request,omitempty"`
}

func encodeExplain(m messenger.Explain) wireExplain {
	return wireExplain{Request: m.Request[:]}
}

func decodeExplain(w wireExplain) messenger.Explain {
	return messenger.Explain{Request: decodeRequestID(w.Request)}
}

type wireExplained struct {
	Decisions []wireDecision `cbor:"decisions,omitempty"`
}

func encodeExplained(m messenger.Explained) wireExplained {
	return wireExplained{Decisions: mapAll(m.Decisions, encodeDecision)}
}

func decodeExplained(w wireExplained) messenger.Explained {
	return messenger.Explained{Decisions: mapAll(w.Decisions, decodeDecision)}
}

type wireField struct {
	Name  string `cbor:"name,omitempty"`
	Value string `cbor:"value,omitempty"`
}

func encodeField(m messenger.Field) wireField {
	return wireField(m)
}

func decodeField(w wireField) messenger.Field {
	return messenger.Field(w)
}

type wireDecision struct {
	Event   int         `cbor:"event,omitempty"`
	Time    int64       `cbor:"time,omitempty"`
	Node    string      `cbor:"node,omitempty"`
	Request []byte      `cbor:"request,omitempty"`
	Choice  string      `cbor:"choice,omitempty"`
	Reason  string      `cbor:"reason,omitempty"`
	Fields  []wireField `cbor:"fields,omitempty"`
}

func encodeDecision(m messenger.Decision) wireDecision {
	return wireDecision{
		Event:   m.Event,
		Time:    m.Time.UnixNano(),
		Node:    string(m.Node),
		Request: m.Request[:],
		Choice:  m.Choice,
		Reason:  m.Reason,
		Fields:  mapAll(m.Fields, encodeField),
	}
}

func decodeDecision(w wireDecision) messenger.Decision {
	return messenger.Decision{
		Event:   w.Event,
		Time:    time.Unix(0, w.Time).UTC(),
		Node:    identifier.Node(w.Node),
		Request: decodeRequestID(w.Request),
		Choice:  w.Choice,
		Reason:  w.Reason,
		Fields:  mapAll(w.Fields, decodeField),
	}
}
