package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

// rowState is the stored state of a claim.
type rowState string

const (
	stateClaimed      rowState = "claimed"
	stateCompleted    rowState = "completed"
	stateNeverStarted rowState = "neverStarted"
)

// record is the content of a claim row.
type record struct {
	state   rowState
	owner   owner
	request identifier.Request
	attempt identifier.Attempt
	digest  identifier.Digest
	// at is when the writer created the record.
	at       time.Time
	response Response
	// object is the key of the body in the object store if the body is too large for the row. bodyDigest is the SHA-256
	// of that body.
	object     string
	bodyDigest identifier.Digest
}

// wireHeader is the stored form of a header field.
type wireHeader struct {
	Name  string `cbor:"name"`
	Value string `cbor:"value"`
}

// wireRecord is the stored form of a record.
type wireRecord struct {
	State       string       `cbor:"state"`
	Node        string       `cbor:"node"`
	Incarnation uint64       `cbor:"incarnation"`
	Serial      uint64       `cbor:"serial"`
	Request     []byte       `cbor:"request"`
	Attempt     uint32       `cbor:"attempt"`
	Digest      string       `cbor:"digest"`
	TimeNanos   int64        `cbor:"timeNanos"`
	Status      int          `cbor:"status,omitempty"`
	Headers     []wireHeader `cbor:"headers,omitempty"`
	Body        []byte       `cbor:"body,omitempty"`
	Object      string       `cbor:"object,omitempty"`
	BodyDigest  string       `cbor:"bodyDigest,omitempty"`
}

func encodeRecord(r record) []byte {
	w := wireRecord{
		State:       string(r.state),
		Node:        string(r.owner.node),
		Incarnation: uint64(r.owner.incarnation),
		Serial:      r.owner.serial,
		Request:     r.request[:],
		Attempt:     uint32(r.attempt),
		Digest:      string(r.digest),
		TimeNanos:   r.at.UnixNano(),
		Status:      r.response.Status,
		Body:        r.response.Body,
		Object:      r.object,
		BodyDigest:  string(r.bodyDigest),
	}
	for _, h := range r.response.Headers {
		w.Headers = append(w.Headers, wireHeader{Name: h.Name, Value: h.Value})
	}
	raw, err := cbor.Marshal(w)
	if err != nil {
		// All fields of wireRecord can be encoded as CBOR, so an error is a programming error.
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode claim row"))
	}
	return raw
}

func decodeRecord(raw []byte) (record, error) {
	var w wireRecord
	if err := cbor.Unmarshal(raw, &w); err != nil {
		return record{}, errors.Wrap(err, "claim row is unreadable; run the same version of currantledge on all agents")
	}
	r := record{
		state:      rowState(w.State),
		owner:      owner{identifier.Node(w.Node), identifier.Incarnation(w.Incarnation), w.Serial},
		attempt:    identifier.Attempt(w.Attempt),
		digest:     identifier.Digest(w.Digest),
		at:         time.Unix(0, w.TimeNanos),
		response:   Response{Status: w.Status, Body: w.Body},
		object:     w.Object,
		bodyDigest: identifier.Digest(w.BodyDigest),
	}
	copy(r.request[:], w.Request)
	for _, h := range w.Headers {
		r.response.Headers = append(r.response.Headers, messenger.Header{Name: h.Name, Value: h.Value})
	}
	switch r.state {
	case stateClaimed, stateCompleted, stateNeverStarted:
		return r, nil
	}
	return record{}, errors.Newf("claim row has the unknown state %q; run the same version of currantledge on all agents", w.State)
}

// rowKey returns the key of the claim row for an Idempotency-Key. The Idempotency-Key is hashed, since callers choose it
// and it must not be stored or logged in plain text.
func rowKey(customer identifier.Customer, key identifier.Key) string {
	return "claim/" + string(customer) + "/" + string(sha256Hex([]byte(key)))
}

func sha256Hex(raw []byte) identifier.Digest {
	sum := sha256.Sum256(raw)
	return identifier.Digest(hex.EncodeToString(sum[:]))
}
