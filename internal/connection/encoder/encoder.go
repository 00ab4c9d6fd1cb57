// Package encoder writes the messages between processes as frames and reads them: a 4-byte big-endian length, a 1-byte
// message type and a CBOR body with camelCase keys.
//
// For each struct X of package messenger, wireX is the CBOR form. Durations are in nanoseconds, and times are Unix times
// in nanoseconds.
package encoder

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	lengthBytes = 4
	tagBytes    = 1
	// MaxFrameBytes bounds a frame without its length, so that a faulty peer cannot exhaust memory.
	MaxFrameBytes = 32 << 20
)

// FrameError reports a frame that this version cannot read, or a message that is too large for a frame.
type FrameError struct{ Cause string }

// Error returns a message with the cause and the remedy.
func (e *FrameError) Error() string {
	return "unreadable frame: " + e.Cause + "; run the same version of currantledge on both nodes"
}

// tag is the message type of a frame. Its values are part of the protocol.
type tag byte

const (
	tagHello tag = iota + 1
	tagHeartbeat
	tagDemand
	tagGrant
	tagReturnGrant
	tagPullChanges
	tagChanges
	tagGossip
	tagDispatch
	tagAttach
	tagInquire
	tagAck
	tagCancel
	tagStarted
	tagRefused
	tagHead
	tagData
	tagEnd
	tagBroken
	tagClaimHeld
	tagExplain
	tagExplained
	tagGroupEvent
)

// Write writes a message as one frame in one call of w.Write.
func Write(w io.Writer, m messenger.Message) error {
	t, body, err := toWire(m)
	if err != nil {
		return err
	}
	raw, err := cbor.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if len(raw) > MaxFrameBytes-tagBytes {
		return &FrameError{Cause: "message is larger than 32 MiB"}
	}
	frame := make([]byte, lengthBytes+tagBytes+len(raw))
	binary.BigEndian.PutUint32(frame, uint32(tagBytes+len(raw)))
	frame[lengthBytes] = byte(t)
	copy(frame[lengthBytes+tagBytes:], raw)
	_, err = w.Write(frame)
	return errors.Wrap(err, "write frame")
}

// Read reads one message. The error is io.EOF if the stream ends before a frame begins.
func Read(r io.Reader) (messenger.Message, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size < tagBytes || size > MaxFrameBytes {
		return nil, &FrameError{Cause: "length out of range"}
	}
	frame := make([]byte, size)
	if _, err := io.ReadFull(r, frame); err != nil {
		return nil, errors.Wrap(err, "read frame")
	}
	return fromWire(tag(frame[0]), frame[tagBytes:])
}

func toWire(m messenger.Message) (tag, any, error) {
	switch m := m.(type) {
	case messenger.Hello:
		return tagHello, encodeHello(m), nil
	case messenger.Heartbeat:
		return tagHeartbeat, encodeHeartbeat(m), nil
	case messenger.Demand:
		return tagDemand, encodeDemand(m), nil
	case messenger.Grant:
		return tagGrant, encodeGrant(m), nil
	case messenger.ReturnGrant:
		return tagReturnGrant, encodeReturnGrant(m), nil
	case messenger.PullChanges:
		return tagPullChanges, encodePullChanges(m), nil
	case messenger.Changes:
		return tagChanges, encodeChanges(m), nil
	case messenger.Gossip:
		return tagGossip, encodeGossip(m), nil
	case messenger.Dispatch:
		return tagDispatch, encodeDispatch(m), nil
	case messenger.Attach:
		return tagAttach, encodeAttach(m), nil
	case messenger.Inquire:
		return tagInquire, encodeInquire(m), nil
	case messenger.Ack:
		return tagAck, encodeAck(m), nil
	case messenger.Cancel:
		return tagCancel, wireCancel{}, nil
	case messenger.Started:
		return tagStarted, encodeStarted(m), nil
	case messenger.Refused:
		return tagRefused, encodeRefused(m), nil
	case messenger.Head:
		return tagHead, encodeHead(m), nil
	case messenger.Data:
		return tagData, encodeData(m), nil
	case messenger.End:
		return tagEnd, encodeEnd(m), nil
	case messenger.Broken:
		return tagBroken, encodeBroken(m), nil
	case messenger.ClaimHeld:
		return tagClaimHeld, encodeClaimHeld(m), nil
	case messenger.Explain:
		return tagExplain, encodeExplain(m), nil
	case messenger.Explained:
		return tagExplained, encodeExplained(m), nil
	case messenger.GroupEvent:
		return tagGroupEvent, encodeGroupEvent(m), nil
	}
	return 0, nil, errors.AssertionFailedf("message %T has no wire form", m)
}

func fromWire(t tag, body []byte) (messenger.Message, error) {
	switch t {
	case tagHello:
		return decodeAs(body, decodeHello)
	case tagHeartbeat:
		return decodeAs(body, decodeHeartbeat)
	case tagDemand:
		return decodeAs(body, decodeDemand)
	case tagGrant:
		return decodeAs(body, decodeGrant)
	case tagReturnGrant:
		return decodeAs(body, decodeReturnGrant)
	case tagPullChanges:
		return decodeAs(body, decodePullChanges)
	case tagChanges:
		return decodeAs(body, decodeChanges)
	case tagGossip:
		return decodeAs(body, decodeGossip)
	case tagDispatch:
		return decodeAs(body, decodeDispatch)
	case tagAttach:
		return decodeAs(body, decodeAttach)
	case tagInquire:
		return decodeAs(body, decodeInquire)
	case tagAck:
		return decodeAs(body, decodeAck)
	case tagCancel:
		return messenger.Cancel{}, nil
	case tagStarted:
		return decodeAs(body, decodeStarted)
	case tagRefused:
		return decodeAs(body, decodeRefused)
	case tagHead:
		return decodeAs(body, decodeHead)
	case tagData:
		return decodeAs(body, decodeData)
	case tagEnd:
		return decodeAs(body, decodeEnd)
	case tagBroken:
		return decodeAs(body, decodeBroken)
	case tagClaimHeld:
		return decodeAs(body, decodeClaimHeld)
	case tagExplain:
		return decodeAs(body, decodeExplain)
	case tagExplained:
		return decodeAs(body, decodeExplained)
	case tagGroupEvent:
		return decodeAs(body, decodeGroupEvent)
	}
	return nil, &FrameError{Cause: "unknown message type"}
}

func decodeAs[W any, M messenger.Message](body []byte, convert func(W) M) (messenger.Message, error) {
	var w W
	if err := cbor.Unmarshal(body, &w); err != nil {
		return nil, &FrameError{Cause: err.Error()}
	}
	return convert(w), nil
}

// mapAll converts the elements of a slice. It returns nil for an empty slice.
func mapAll[F, T any](from []F, convert func(F) T) []T {
	if len(from) == 0 {
		return nil
	}
	out := make([]T, len(from))
	for i, f := range from {
		out[i] = convert(f)
	}
	return out
}

// mapOptional converts the value that a pointer refers to. It returns nil for nil.
func mapOptional[F, T any](from *F, convert func(F) T) *T {
	if from == nil {
		return nil
	}
	out := convert(*from)
	return &out
}

func decodeRequestID(raw []byte) identifier.Request {
	var r identifier.Request
	copy(r[:], raw)
	return r
}
