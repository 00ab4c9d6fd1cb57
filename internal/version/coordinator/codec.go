package coordinator

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/placer"
	"currantledge.example/currantledge/internal/version/switcher"
)

// The kinds of messages between the agents of a group.
const (
	kindFetch    = "fetch"
	kindPrepare  = "prepare"
	kindDecide   = "decide"
	kindInquiry  = "inquiry"
	kindAnswer   = "answer"
	kindFetched  = "fetched"
	kindPrepared = "prepared"
	kindLearned  = "learned"
	kindProgress = "progress"
)

type wireReplica struct {
	Rank  int     `json:"rank"`
	Share float64 `json:"share"`
}

type wireMap struct {
	Version uint64          `json:"version"`
	Experts [][]wireReplica `json:"experts"`
}

type wireScheduledMap struct {
	Version uint64  `json:"version"`
	Step    uint64  `json:"step"`
	Map     wireMap `json:"map"`
}

// wireRecord is the value of the table row, in JSON, and a part of messages, in CBOR.
type wireRecord struct {
	Fence     uint64           `json:"fence"`
	Last      uint64           `json:"last"`
	Committed wireScheduledMap `json:"committed"`
	Previous  wireScheduledMap `json:"previous"`
}

type wireRow struct {
	Version uint64     `json:"version"`
	Record  wireRecord `json:"record"`
}

// wireEvent has the fields of all kinds of messages. Each kind uses some of them.
type wireEvent struct {
	Fence    uint64            `json:"fence,omitempty"`
	Rank     int               `json:"rank,omitempty"`
	Version  uint64            `json:"version,omitempty"`
	Accepted bool              `json:"accepted,omitempty"`
	Row      *wireRow          `json:"row,omitempty"`
	Next     *wireScheduledMap `json:"next,omitempty"`
	Map      *wireMap          `json:"map,omitempty"`
	Step     uint64            `json:"step,omitempty"`
	// StepTime is in nanoseconds.
	StepTime int64   `json:"stepTime,omitempty"`
	Tokens   []int64 `json:"tokens,omitempty"`
}

func encodeMap(m placer.Map) wireMap {
	w := wireMap{Version: uint64(m.Version), Experts: make([][]wireReplica, len(m.Experts))}
	for e, replicas := range m.Experts {
		for _, r := range replicas {
			w.Experts[e] = append(w.Experts[e], wireReplica{Rank: int(r.Rank), Share: r.Share})
		}
	}
	return w
}

func decodeMap(w wireMap) placer.Map {
	if len(w.Experts) == 0 {
		return placer.Map{Version: identifier.MapVersion(w.Version)}
	}
	m := placer.Map{Version: identifier.MapVersion(w.Version), Experts: make([][]placer.Replica, len(w.Experts))}
	for e, replicas := range w.Experts {
		for _, r := range replicas {
			m.Experts[e] = append(m.Experts[e], placer.Replica{Rank: identifier.Rank(r.Rank), Share: r.Share})
		}
	}
	return m
}

func encodeScheduled(s switcher.ScheduledMap) wireScheduledMap {
	return wireScheduledMap{Version: uint64(s.Version), Step: uint64(s.Step), Map: encodeMap(s.Map)}
}

func decodeScheduled(w wireScheduledMap) switcher.ScheduledMap {
	return switcher.ScheduledMap{
		Version: identifier.MapVersion(w.Version), Step: identifier.Step(w.Step), Map: decodeMap(w.Map),
	}
}

func toWireRecord(r switcher.Record) wireRecord {
	return wireRecord{
		Fence: uint64(r.Fence), Last: uint64(r.LastDecided), Committed: encodeScheduled(r.Committed),
		Previous: encodeScheduled(r.Previous),
	}
}

func fromWireRecord(w wireRecord) switcher.Record {
	return switcher.Record{
		Fence: identifier.Fence(w.Fence), LastDecided: identifier.MapVersion(w.Last), Committed: decodeScheduled(w.Committed),
		Previous: decodeScheduled(w.Previous),
	}
}

func encodeRecord(r switcher.Record) []byte {
	raw, err := json.Marshal(toWireRecord(r))
	if err != nil {
		// Shares are finite numbers, so a record always encodes.
		panic(err)
	}
	return raw
}

// decodeRecord decodes the value of a row. An absent row is an empty record.
func decodeRecord(row Row) (switcher.Record, error) {
	if row.Version == 0 {
		return switcher.Record{}, nil
	}
	var w wireRecord
	if err := json.Unmarshal(row.Value, &w); err != nil {
		return switcher.Record{}, errors.Wrap(err, "read the map row; restore it from a backup of the table")
	}
	return fromWireRecord(w), nil
}

// CommittedVersion returns the version of the map that a row commits, 0 if it commits none.
func CommittedVersion(row Row) (identifier.MapVersion, error) {
	record, err := decodeRecord(row)
	return record.Committed.Version, err
}

func encodeRow(r switcher.Row) *wireRow {
	return &wireRow{Version: r.Version, Record: toWireRecord(r.Record)}
}

func decodeRow(w *wireRow) switcher.Row {
	if w == nil {
		return switcher.Row{}
	}
	return switcher.Row{Version: w.Version, Record: fromWireRecord(w.Record)}
}

// encode returns the message of an event. It reports false for events that stay within the process.
func encode(event switcher.Event) (messenger.GroupEvent, bool) {
	switch e := event.(type) {
	case switcher.Fetch:
		m := encodeMap(e.Map)
		return newMessage(kindFetch, wireEvent{Fence: uint64(e.Fence), Row: encodeRow(e.Row), Version: uint64(e.Version), Map: &m}), true
	case switcher.Prepare:
		next := encodeScheduled(e.Next)
		return newMessage(kindPrepare, wireEvent{Fence: uint64(e.Fence), Row: encodeRow(e.Row), Next: &next}), true
	case switcher.Decide:
		return newMessage(kindDecide, wireEvent{Fence: uint64(e.Fence), Row: encodeRow(e.Row)}), true
	case switcher.Inquiry:
		return newMessage(kindInquiry, wireEvent{Rank: int(e.From), Version: uint64(e.Version)}), true
	case switcher.Answer:
		return newMessage(kindAnswer, wireEvent{Row: encodeRow(e.Row)}), true
	case switcher.Fetched:
		return newMessage(kindFetched, wireEvent{Rank: int(e.Rank), Version: uint64(e.Version)}), true
	case switcher.Prepared:
		return newMessage(kindPrepared, wireEvent{Rank: int(e.Rank), Version: uint64(e.Version), Accepted: e.Accepted}), true
	case switcher.Learned:
		return newMessage(kindLearned, wireEvent{Rank: int(e.Rank), Row: encodeRow(e.Row)}), true
	default:
		return messenger.GroupEvent{}, false
	}
}

func encodeProgress(p progressReport) messenger.GroupEvent {
	w := wireEvent{Rank: int(p.Rank), Step: uint64(p.Step), StepTime: int64(p.StepTime)}
	for _, t := range p.tokens {
		w.Tokens = append(w.Tokens, int64(t))
	}
	return newMessage(kindProgress, w)
}

func newMessage(kind string, w wireEvent) messenger.GroupEvent {
	raw, err := cbor.Marshal(w)
	if err != nil {
		// Numbers, strings and lists of them always encode.
		panic(err)
	}
	return messenger.GroupEvent{Kind: kind, Body: raw}
}

// decode returns the event of a message, a switcher.Event or a progressReport.
func decode(m messenger.GroupEvent) (any, error) {
	var w wireEvent
	if err := cbor.Unmarshal(m.Body, &w); err != nil {
		return nil, errors.Wrap(err, "read group message; run the same version of currantledge on all agents")
	}
	rank, version := identifier.Rank(w.Rank), identifier.MapVersion(w.Version)
	switch m.Kind {
	case kindFetch:
		return switcher.Fetch{Fence: identifier.Fence(w.Fence), Row: decodeRow(w.Row), Version: version, Map: decodeOptionalMap(w.Map)}, nil
	case kindPrepare:
		return switcher.Prepare{Fence: identifier.Fence(w.Fence), Row: decodeRow(w.Row), Next: decodeOptionalScheduled(w.Next)}, nil
	case kindDecide:
		return switcher.Decide{Fence: identifier.Fence(w.Fence), Row: decodeRow(w.Row)}, nil
	case kindInquiry:
		return switcher.Inquiry{From: rank, Version: version}, nil
	case kindAnswer:
		return switcher.Answer{Row: decodeRow(w.Row)}, nil
	case kindFetched:
		return switcher.Fetched{Rank: rank, Version: version}, nil
	case kindPrepared:
		return switcher.Prepared{Rank: rank, Version: version, Accepted: w.Accepted}, nil
	case kindLearned:
		return switcher.Learned{Rank: rank, Row: decodeRow(w.Row)}, nil
	case kindProgress:
		return decodeProgress(w), nil
	default:
		return nil, errors.Newf("group message of unknown kind %q; run the same version of currantledge on all agents", m.Kind)
	}
}

func decodeProgress(w wireEvent) progressReport {
	p := progressReport{Progress: switcher.Progress{
		Rank: identifier.Rank(w.Rank), Step: identifier.Step(w.Step), StepTime: time.Duration(w.StepTime),
	}}
	for _, t := range w.Tokens {
		p.tokens = append(p.tokens, identifier.Tokens(t))
	}
	return p
}

func decodeOptionalMap(w *wireMap) placer.Map {
	if w == nil {
		return placer.Map{}
	}
	return decodeMap(*w)
}

func decodeOptionalScheduled(w *wireScheduledMap) switcher.ScheduledMap {
	if w == nil {
		return switcher.ScheduledMap{}
	}
	return decodeScheduled(*w)
}
