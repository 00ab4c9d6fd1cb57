package simulator

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// recordFileMode lets the process that started the stand-in read the file although it runs as another user.
const recordFileMode = 0o644

// Outcome is how a call ended.
type Outcome string

// The outcomes of calls.
const (
	// OutcomeOpen marks a call that has not ended.
	OutcomeOpen     Outcome = ""
	OutcomeComplete Outcome = "complete"
	// OutcomeCancelled marks a call that a cancel request ended.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeAborted marks a call whose caller closed the connection.
	OutcomeAborted Outcome = "aborted"
	// OutcomeCrashed marks a call that ended with the crash of the upstream.
	OutcomeCrashed Outcome = "crashed"
	// OutcomeRefused marks a call that was refused before anything ran.
	OutcomeRefused Outcome = "refused"
)

// Call is the record of one call.
type Call struct {
	Request  string            `json:"request"`
	Customer identifier.Digest `json:"customer,omitempty"`
	Boot     identifier.Boot   `json:"boot"`
	// Method, Path, Key and Execution are set for services. Execution counts the calls with the same key, from 1.
	Method    string `json:"method,omitempty"`
	Path      string `json:"path,omitempty"`
	Key       string `json:"key,omitempty"`
	Execution int    `json:"execution,omitempty"`
	// From and Tokens are set for engines: the index of the first token and the number of tokens generated.
	From   int `json:"from,omitempty"`
	Tokens int `json:"tokens,omitempty"`
	// PrefixHit is set if the prefix cache shortened the prefill.
	PrefixHit bool `json:"prefixHit,omitempty"`
	// WrongPrefix is set if the text to continue was not the start of the engine's output.
	WrongPrefix bool      `json:"wrongPrefix,omitempty"`
	Start       time.Time `json:"start"`
	End         time.Time `json:"end,omitzero"`
	Outcome     Outcome   `json:"outcome"`
}

// Step is the record of one lock-step iteration of a rank.
type Step struct {
	Step       identifier.Step       `json:"step"`
	MapVersion identifier.MapVersion `json:"mapVersion"`
	// Micros is the time that the rank itself spent on the step, in microseconds. Tokens is the number of tokens that its
	// experts processed.
	Micros int64     `json:"micros"`
	Tokens int64     `json:"tokens"`
	At     time.Time `json:"at"`
}

// Record is the body of GET /record.
type Record struct {
	Calls []Call `json:"calls"`
	// MaxExcess is the maximum of running requests minus capacity; the upstream crashed if it is above 0.
	MaxExcess int `json:"maxExcess"`
	// Crashes counts the crashes of all instances.
	Crashes int    `json:"falls"`
	Steps   []Step `json:"steps,omitempty"`
}

// recorder collects the record of a server over all instances. Its methods may be called concurrently.
type recorder struct {
	mu     sync.Mutex
	record Record
	// hasExcess is set once MaxExcess holds a value.
	hasExcess bool
}

func newRecorder() *recorder {
	return &recorder{record: Record{Calls: []Call{}}}
}

// OpenCall is a call that has not ended.
type OpenCall struct {
	recorder *recorder
	index    int
}

func (r *recorder) recordCall(call Call) *OpenCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	call.Start = time.Now()
	r.record.Calls = append(r.record.Calls, call)
	return &OpenCall{recorder: r, index: len(r.record.Calls) - 1}
}

// Result holds the fields of a Call that are known only at its end.
type Result struct {
	Outcome   Outcome
	Tokens    int
	PrefixHit bool
}

// Close records the end of the call.
func (o *OpenCall) Close(result Result) {
	o.recorder.mu.Lock()
	defer o.recorder.mu.Unlock()
	call := &o.recorder.record.Calls[o.index]
	call.End = time.Now()
	call.Outcome = result.Outcome
	call.Tokens = result.Tokens
	call.PrefixHit = result.PrefixHit
}

func (r *recorder) recordExcess(excess int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasExcess || excess > r.record.MaxExcess {
		r.record.MaxExcess = excess
		r.hasExcess = true
	}
}

func (r *recorder) recordCrash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Crashes++
}

func (r *recorder) recordStep(s Step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Steps = append(r.record.Steps, s)
}

func (r *recorder) snapshot() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.record
	out.Calls = append([]Call{}, out.Calls...)
	out.Steps = append([]Step(nil), out.Steps...)
	return out
}

// writeRecord writes the record to the configured file, because GET /record gets no response after the process exits.
func (s *Server) writeRecord() {
	if s.cfg.RecordFile == "" {
		return
	}
	raw, err := json.Marshal(s.recorder.snapshot())
	if err != nil {
		return
	}
	// A write error is ignored, because the process exits.
	_ = os.WriteFile(s.cfg.RecordFile, raw, recordFileMode)
}
