package encoder

import (
	"time"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

type wireDispatch struct {
	Request     []byte       `cbor:"request,omitempty"`
	Attempt     uint32       `cbor:"attempt,omitempty"`
	Customer    string       `cbor:"customer,omitempty"`
	Incarnation uint64       `cbor:"incarnation,omitempty"`
	Serial      uint64       `cbor:"serial,omitempty"`
	Target      wireTarget   `cbor:"target,omitempty"`
	Method      string       `cbor:"method,omitempty"`
	Path        string       `cbor:"path,omitempty"`
	Headers     []wireHeader `cbor:"headers,omitempty"`
	Body        []byte       `cbor:"body,omitempty"`
	Key         string       `cbor:"key,omitempty"`
	Idempotent  bool         `cbor:"idempotent,omitempty"`
	Priority    int          `cbor:"priority,omitempty"`
	Timeout     int64        `cbor:"timeout,omitempty"`
	MaxTokens   int64        `cbor:"maxTokens,omitempty"`
	Generated   []byte       `cbor:"generated,omitempty"`
	Digest      string       `cbor:"digest,omitempty"`
}

func encodeDispatch(m messenger.Dispatch) wireDispatch {
	return wireDispatch{
		Request:     m.Request[:],
		Attempt:     uint32(m.Attempt),
		Customer:    string(m.Customer),
		Incarnation: uint64(m.Incarnation),
		Serial:      uint64(m.Serial),
		Target:      encodeTarget(m.Target),
		Method:      m.Method,
		Path:        m.Path,
		Headers:     mapAll(m.Headers, encodeHeader),
		Body:        m.Body,
		Key:         string(m.Key),
		Idempotent:  m.Idempotent,
		Priority:    int(m.Priority),
		Timeout:     int64(m.Timeout),
		MaxTokens:   int64(m.MaxTokens),
		Generated:   m.Generated,
		Digest:      string(m.Digest),
	}
}

func decodeDispatch(w wireDispatch) messenger.Dispatch {
	return messenger.Dispatch{
		Request:     decodeRequestID(w.Request),
		Attempt:     identifier.Attempt(w.Attempt),
		Customer:    identifier.Customer(w.Customer),
		Incarnation: identifier.Incarnation(w.Incarnation),
		Serial:      identifier.Serial(w.Serial),
		Target:      decodeTarget(w.Target),
		Method:      w.Method,
		Path:        w.Path,
		Headers:     mapAll(w.Headers, decodeHeader),
		Body:        w.Body,
		Key:         identifier.Key(w.Key),
		Idempotent:  w.Idempotent,
		Priority:    identifier.Priority(w.Priority),
		Timeout:     time.Duration(w.Timeout),
		MaxTokens:   identifier.Tokens(w.MaxTokens),
		Generated:   w.Generated,
		Digest:      identifier.Digest(w.Digest),
	}
}

type wireAttach struct {
	Request  []byte `cbor:"request,omitempty"`
	Attempt  uint32 `cbor:"attempt,omitempty"`
	Customer string `cbor:"customer,omitempty"`
	Offset   int64  `cbor:"offset,omitempty"`
}

func encodeAttach(m messenger.Attach) wireAttach {
	return wireAttach{
		Request:  m.Request[:],
		Attempt:  uint32(m.Attempt),
		Customer: string(m.Customer),
		Offset:   int64(m.Offset),
	}
}

func decodeAttach(w wireAttach) messenger.Attach {
	return messenger.Attach{
		Request:  decodeRequestID(w.Request),
		Attempt:  identifier.Attempt(w.Attempt),
		Customer: identifier.Customer(w.Customer),
		Offset:   identifier.Bytes(w.Offset),
	}
}

type wireInquire struct {
	Customer    string `cbor:"customer,omitempty"`
	Key         string `cbor:"key,omitempty"`
	Digest      string `cbor:"digest,omitempty"`
	Incarnation uint64 `cbor:"incarnation,omitempty"`
}

func encodeInquire(m messenger.Inquire) wireInquire {
	return wireInquire{
		Customer:    string(m.Customer),
		Key:         string(m.Key),
		Digest:      string(m.Digest),
		Incarnation: uint64(m.Incarnation),
	}
}

func decodeInquire(w wireInquire) messenger.Inquire {
	return messenger.Inquire{
		Customer:    identifier.Customer(w.Customer),
		Key:         identifier.Key(w.Key),
		Digest:      identifier.Digest(w.Digest),
		Incarnation: identifier.Incarnation(w.Incarnation),
	}
}

type wireAck struct {
	Offset   int64 `cbor:"offset,omitempty"`
	Finished bool  `cbor:"finished,omitempty"`
}

func encodeAck(m messenger.Ack) wireAck {
	return wireAck{
		Offset:   int64(m.Offset),
		Finished: m.Finished,
	}
}

func decodeAck(w wireAck) messenger.Ack {
	return messenger.Ack{
		Offset:   identifier.Bytes(w.Offset),
		Finished: w.Finished,
	}
}

type wireCancel struct{}

type wireStarted struct {
	Request  []byte `cbor:"request,omitempty"`
	Customer string `cbor:"customer,omitempty"`
}

func encodeStarted(m messenger.Started) wireStarted {
	return wireStarted{
		Request:  m.Request[:],
		Customer: string(m.Customer),
	}
}

func decodeStarted(w wireStarted) messenger.Started {
	return messenger.Started{
		Request:  decodeRequestID(w.Request),
		Customer: identifier.Customer(w.Customer),
	}
}

type wireRefused struct {
	Reason     string `cbor:"reason,omitempty"`
	RetryAfter int64  `cbor:"retryAfter,omitempty"`
}

func encodeRefused(m messenger.Refused) wireRefused {
	return wireRefused{
		Reason:     string(m.Reason),
		RetryAfter: int64(m.RetryAfter),
	}
}

func decodeRefused(w wireRefused) messenger.Refused {
	return messenger.Refused{
		Reason:     messenger.Reason(w.Reason),
		RetryAfter: time.Duration(w.RetryAfter),
	}
}

type wireHead struct {
	Request  []byte       `cbor:"request,omitempty"`
	Customer string       `cbor:"customer,omitempty"`
	Status   int          `cbor:"status,omitempty"`
	Headers  []wireHeader `cbor:"headers,omitempty"`
}

func encodeHead(m messenger.Head) wireHead {
	return wireHead{
		Request:  m.Request[:],
		Customer: string(m.Customer),
		Status:   m.Status,
		Headers:  mapAll(m.Headers, encodeHeader),
	}
}

func decodeHead(w wireHead) messenger.Head {
	return messenger.Head{
		Request:  decodeRequestID(w.Request),
		Customer: identifier.Customer(w.Customer),
		Status:   w.Status,
		Headers:  mapAll(w.Headers, decodeHeader),
	}
}

type wireData struct {
	Offset  int64  `cbor:"offset,omitempty"`
	Payload []byte `cbor:"payload,omitempty"`
}

func encodeData(m messenger.Data) wireData {
	return wireData{
		Offset:  int64(m.Offset),
		Payload: m.Payload,
	}
}

func decodeData(w wireData) messenger.Data {
	return messenger.Data{
		Offset:  identifier.Bytes(w.Offset),
		Payload: w.Payload,
	}
}

type wireEnd struct {
	Length int64  `cbor:"length,omitempty"`
	Digest uint64 `cbor:"digest,omitempty"`
}

func encodeEnd(m messenger.End) wireEnd {
	return wireEnd{
		Length: int64(m.Length),
		Digest: m.Digest,
	}
}

func decodeEnd(w wireEnd) messenger.End {
	return messenger.End{
		Length: identifier.Bytes(w.Length),
		Digest: w.Digest,
	}
}

type wireBroken struct {
	Reason     string `cbor:"reason,omitempty"`
	MayHaveRun bool   `cbor:"mayHaveRun,omitempty"`
	Crash      string `cbor:"crash,omitempty"`
}

func encodeBroken(m messenger.Broken) wireBroken {
	return wireBroken{
		Reason:     string(m.Reason),
		MayHaveRun: m.MayHaveRun,
		Crash:      string(m.Crash),
	}
}

func decodeBroken(w wireBroken) messenger.Broken {
	return messenger.Broken{
		Reason:     messenger.Reason(w.Reason),
		MayHaveRun: w.MayHaveRun,
		Crash:      identifier.Crash(w.Crash),
	}
}

type wireClaimHeld struct {
	Node        string `cbor:"node,omitempty"`
	Incarnation uint64 `cbor:"incarnation,omitempty"`
}

func encodeClaimHeld(m messenger.ClaimHeld) wireClaimHeld {
	return wireClaimHeld{
		Node:        string(m.Node),
		Incarnation: uint64(m.Incarnation),
	}
}

func decodeClaimHeld(w wireClaimHeld) messenger.ClaimHeld {
	return messenger.ClaimHeld{
		Node:        identifier.Node(w.Node),
		Incarnation: identifier.Incarnation(w.Incarnation),
	}
}
