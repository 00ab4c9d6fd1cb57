package encoder

import (
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

type wireGroupEvent struct {
	Group string `cbor:"group,omitempty"`
	From  int    `cbor:"from,omitempty"`
	Kind  string `cbor:"kind,omitempty"`
	Body  []byte `cbor:"body,omitempty"`
}

func encodeGroupEvent(m messenger.GroupEvent) wireGroupEvent {
	return wireGroupEvent{
		Group: string(m.Group),
		From:  int(m.From),
		Kind:  m.Kind,
		Body:  m.Body,
	}
}

func decodeGroupEvent(w wireGroupEvent) messenger.GroupEvent {
	return messenger.GroupEvent{
		Group: identifier.ModelGroup(w.Group),
		From:  identifier.Rank(w.From),
		Kind:  w.Kind,
		Body:  w.Body,
	}
}
