package simulator

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// recordMode lets the process that started the stand-in read the record under another user.
const recordMode = 0o644

// Outcome tells how a call ended.
type Outcome string

// The outcomes of calls.
const (
	// OutcomeOpen marks a call that has not ended.
	OutcomeOpen     Outcome = ""
	OutcomeComplete Outcome = "complete"
	// OutcomeCancelled marks a call that was cancelled by order.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeAborted marks a call whose caller closed the connection.
	OutcomeAborted Outcome = "aborted"
	// OutcomeCrashed marks a call that the upstream's fall ended.
	OutcomeCrashed Outcome = "crashed"
	// OutcomeRefused marks a call of which nothing ran.
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
	// PrefixHit tells that the prefix cache shortened the prefill.
	PrefixHit bool `json:"prefixHit,omitempty"`
	// WrongPrefix tells that the text to continue was not the start of the answer.
	WrongPrefix bool      `json:"wrongPrefix,omitempty"`
	Start       time.Time `json:"start"`
	End         time.Time `json:"end,omitzero"`
	Outcome     Outcome   `json:"outcome"`
}

// Step is the record of one lock-step iteration of a rank.
type Step struct {
	Step       identifier.Step       `json:"step"`
	MapVersion identifier.MapVersion `json:"mapVersion"`
	// Micros is the rank's own part of the step, Tokens the tokens that its experts processed.
	Micros int64     `json:"micros"`
	Tokens int64     `json:"tokens"`
	At     time.Time `json:"at"`
}

// Record is the body of GET /record.
type Record struct {
	Calls []Call `json:"calls"`
	// MaxExcess is the maximum of running minus bearable requests; above 0 the upstream fell over.
	MaxExcess int    `json:"maxExcess"`
	Falls     int    `json:"falls"`
	Steps     []Step `json:"steps,omitempty"`
}

type recorder struct {
	mu     sync.Mutex
	record Record
	// seen tells whether MaxExcess holds a value.
	seen bool
}

func newRecorder() *recorder {
	return &recorder{record: Record{Calls: []Call{}}}
}

// OpenCall is a call that has not ended.
type OpenCall struct {
	recorder *recorder
	index    int
}

func (r *recorder) open(call Call) *OpenCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	call.Start = time.Now()
	r.record.Calls = append(r.record.Calls, call)
	return &OpenCall{recorder: r, index: len(r.record.Calls) - 1}
}

// Result is what is known at the end of a call.
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

func (r *recorder) excess(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.seen || n > r.record.MaxExcess {
		r.record.MaxExcess = n
		r.seen = true
	}
}

func (r *recorder) fall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Falls++
}

func (r *recorder) step(s Step) {
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

// writeRecord leaves the record behind, because a process that exits can no longer be asked.
func (s *Server) writeRecord() {
	if s.cfg.RecordFile == "" {
		return
	}
	raw, err := json.Marshal(s.recorder.snapshot())
	if err != nil {
		return
	}
	// Best effort: the process is ending and has nobody to report to.
	_ = os.WriteFile(s.cfg.RecordFile, raw, recordMode)
}
