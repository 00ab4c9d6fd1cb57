package recorder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/standin/engineserver"
	"currantledge.example/currantledge/internal/standin/serviceserver"
)

// Outcome is what an exchange meant for its caller.
type Outcome string

// The outcomes of exchanges.
const (
	// OutcomeComplete is an answer that equals the expected one byte by byte.
	OutcomeComplete Outcome = "complete"
	// OutcomeNotRun is a refusal that says that nothing has run.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown is an answer that says that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeCut is an answer that broke off, or a connection that broke before an answer.
	OutcomeCut Outcome = "cut"
	// OutcomeWrong is anything else, above all an answer that is presented as complete and differs.
	OutcomeWrong Outcome = "wrong"
	// OutcomeAbandoned is an exchange that its caller ended, of which nothing received was wrong.
	OutcomeAbandoned Outcome = "abandoned"
)

// DetailErrorEvent is the detail of an answer that broke off with a problem in an error event.
const DetailErrorEvent = "error event"

// Verdict is the judgement of an exchange.
type Verdict struct {
	Exchange *Exchange
	Outcome  Outcome
	// Cause is the cause that problem details name.
	Cause string
	// Detail says why an outcome is wrong or cut. It holds no content of prompts or answers.
	Detail string
}

// DigestOf returns the digest by which engines know a customer, and whether it is known.
type DigestOf func(customer string) (identifier.Digest, bool)

// problem is the part of problem details that callers rely on.
type problem struct {
	Outcome string `json:"outcome"`
	Cause   string `json:"cause"`
	Remedy  string `json:"remedy"`
	Request string `json:"request"`
}

const problemType = "application/problem+json"

// Judge judges an exchange.
func Judge(e *Exchange, digestOf DigestOf) Verdict {
	v := judge(e, digestOf)
	v.Exchange = e
	return v
}

func judge(e *Exchange, digestOf DigestOf) Verdict {
	if e.Abandoned && (e.Status == 0 || e.Failure != nil) {
		return judgeAbandoned(e, digestOf)
	}
	if e.Status == 0 {
		return Verdict{Outcome: OutcomeCut, Detail: "no answer: " + e.Failure.Error()}
	}
	if strings.HasPrefix(e.Header.Get("Content-Type"), problemType) {
		return judgeProblem(e)
	}
	switch {
	case e.Service != nil:
		return judgeService(e)
	case e.Status != http.StatusOK:
		return wrong("status " + http.StatusText(e.Status) + " without problem details")
	case e.Model.Stream:
		return judgeStream(e, digestOf)
	default:
		return judgeWhole(e, digestOf)
	}
}

func wrong(detail string) Verdict {
	return Verdict{Outcome: OutcomeWrong, Detail: detail}
}

// judgeAbandoned also checks what arrived before the caller ended the exchange.
func judgeAbandoned(e *Exchange, digestOf DigestOf) Verdict {
	if e.Status != http.StatusOK || e.Model == nil || !e.Model.Stream {
		return Verdict{Outcome: OutcomeAbandoned}
	}
	v := judgeStream(e, digestOf)
	if v.Outcome == OutcomeCut {
		v.Outcome = OutcomeAbandoned
	}
	return v
}

func judgeProblem(e *Exchange) Verdict {
	if e.Failure != nil {
		return Verdict{Outcome: OutcomeCut, Detail: "problem details broke off"}
	}
	return judgeDetails(e.Body)
}

func judgeDetails(raw []byte) Verdict {
	var p problem
	if err := json.Unmarshal(raw, &p); err != nil {
		return wrong("problem details are not JSON")
	}
	if p.Cause == "" || p.Remedy == "" {
		return wrong("problem details without cause or remedy")
	}
	switch Outcome(p.Outcome) {
	case OutcomeNotRun:
		return Verdict{Outcome: OutcomeNotRun, Cause: p.Cause}
	case OutcomeUnknown:
		return Verdict{Outcome: OutcomeUnknown, Cause: p.Cause}
	default:
		return wrong("problem details with outcome " + p.Outcome)
	}
}

func judgeService(e *Exchange) Verdict {
	if e.Failure != nil {
		return Verdict{Outcome: OutcomeCut, Detail: e.Failure.Error()}
	}
	if e.Status != http.StatusOK {
		return wrong("status " + http.StatusText(e.Status) + " without problem details")
	}
	s := e.Service
	if !bytes.Equal(e.Body, serviceserver.ResponseBody(s.Method, s.Path, s.Body)) {
		return wrong("answer of the service differs")
	}
	return Verdict{Outcome: OutcomeComplete}
}

// expected returns the whole answer to a model request.
func expected(m *ModelRequest, digest identifier.Digest) []byte {
	prompt := []byte(m.Prompt)
	if m.Endpoint == EndpointChat {
		prompt = []byte(chatRole + ": " + m.Prompt + "\n")
	}
	return engineserver.Output(digest, prompt, engineserver.OutputTokens(prompt, m.MaxTokens))
}

func judgeWhole(e *Exchange, digestOf DigestOf) Verdict {
	if e.Failure != nil {
		return Verdict{Outcome: OutcomeCut, Detail: e.Failure.Error()}
	}
	text, err := textOf(e.Body)
	if err != nil {
		return wrong("body is not a completion")
	}
	return judgeText(e, text, digestOf)
}

func judgeText(e *Exchange, text []byte, digestOf DigestOf) Verdict {
	digest, known := digestOf(e.Model.Customer)
	if !known {
		return wrong("no engine has recorded this customer")
	}
	want := expected(e.Model, digest)
	if !bytes.Equal(text, want) {
		return wrong(fmt.Sprintf("text differs from byte %d on; it has %d of %d bytes", commonPrefix(text, want), len(text), len(want)))
	}
	return Verdict{Outcome: OutcomeComplete}
}

func commonPrefix(a, b []byte) int {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return n
}

// judgeStream accepts a text as complete only with the end mark and without a broken connection.
func judgeStream(e *Exchange, digestOf DigestOf) Verdict {
	s, err := parseStream(e.Body)
	if err != nil {
		if e.Failure != nil {
			return Verdict{Outcome: OutcomeCut, Detail: e.Failure.Error()}
		}
		return wrong(err.Error())
	}
	if s.done && s.problem == nil && e.Failure == nil {
		return judgeText(e, s.text, digestOf)
	}
	if s.done {
		return wrong("end mark beside an error")
	}
	return judgePart(e, s, digestOf)
}

// judgePart judges a text without an end mark, which must at least be the start of the right one.
func judgePart(e *Exchange, s stream, digestOf DigestOf) Verdict {
	digest, known := digestOf(e.Model.Customer)
	if len(s.text) > 0 && !known {
		return wrong("no engine has recorded this customer")
	}
	if known && !bytes.HasPrefix(expected(e.Model, digest), s.text) {
		return wrong("text differs before it breaks off")
	}
	if s.problem != nil {
		v := judgeDetails(s.problem)
		if v.Outcome == OutcomeWrong || (v.Outcome == OutcomeNotRun && len(s.text) == 0) {
			return v
		}
		return Verdict{Outcome: OutcomeCut, Cause: v.Cause, Detail: DetailErrorEvent}
	}
	if e.Failure != nil {
		return Verdict{Outcome: OutcomeCut, Detail: e.Failure.Error()}
	}
	return Verdict{Outcome: OutcomeCut, Detail: "stream ended without end mark or error event"}
}
