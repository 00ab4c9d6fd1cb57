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

// Outcome classifies an exchange from the view of its caller.
type Outcome string

// The outcomes of exchanges.
const (
	// OutcomeComplete is a response that equals the expected one byte for byte.
	OutcomeComplete Outcome = "complete"
	// OutcomeNotRun is a refusal that reports that nothing has run.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown is a response that reports that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeCut is a truncated response, or a connection that failed before a response.
	OutcomeCut Outcome = "cut"
	// OutcomeWrong is anything else, above all a response that is marked as complete but differs from the expected one.
	OutcomeWrong Outcome = "wrong"
	// OutcomeAbandoned is an exchange that its caller ended early and in which nothing received until then was wrong.
	OutcomeAbandoned Outcome = "abandoned"
)

// DetailErrorEvent is the detail of a stream that was cut by an error event with problem details.
const DetailErrorEvent = "error event"

// Verdict is the result of judging an exchange.
type Verdict struct {
	Exchange *Exchange
	Outcome  Outcome
	// Cause is the cause in the problem details of the response.
	Cause string
	// Detail is the reason for the outcome wrong or cut. It contains no prompts or outputs.
	Detail string
}

// DigestOf returns the digest that engines receive for a customer, and reports whether it is known.
type DigestOf func(customer string) (identifier.Digest, bool)

// problemDetails holds the fields of problem details that callers rely on.
type problemDetails struct {
	Outcome string `json:"outcome"`
	Cause   string `json:"cause"`
	Remedy  string `json:"remedy"`
	Request string `json:"request"`
}

const problemMediaType = "application/problem+json"

// Judge determines the outcome of an exchange.
func Judge(e *Exchange, digestOf DigestOf) Verdict {
	v := judge(e, digestOf)
	v.Exchange = e
	return v
}

func judge(e *Exchange, digestOf DigestOf) Verdict {
	if e.Abandoned && (e.Status == 0 || e.Err != nil) {
		return judgeAbandoned(e, digestOf)
	}
	if e.Status == 0 {
		return Verdict{Outcome: OutcomeCut, Detail: "no response: " + e.Err.Error()}
	}
	if strings.HasPrefix(e.Header.Get("Content-Type"), problemMediaType) {
		return judgeProblem(e)
	}
	switch {
	case e.Service != nil:
		return judgeService(e)
	case e.Status != http.StatusOK:
		return wrongVerdict("status " + http.StatusText(e.Status) + " without problem details")
	case e.Model.Stream:
		return judgeStream(e, digestOf)
	default:
		return judgeBody(e, digestOf)
	}
}

func wrongVerdict(detail string) Verdict {
	return Verdict{Outcome: OutcomeWrong, Detail: detail}
}

// judgeAbandoned judges an exchange that its caller ended early. What arrived of a stream until then must be correct.
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
	if e.Err != nil {
		return Verdict{Outcome: OutcomeCut, Detail: "problem details are truncated"}
	}
	return judgeProblemDetails(e.Body)
}

func judgeProblemDetails(raw []byte) Verdict {
	var p problemDetails
	if err := json.Unmarshal(raw, &p); err != nil {
		return wrongVerdict("problem details are not JSON")
	}
	if p.Cause == "" || p.Remedy == "" {
		return wrongVerdict("problem details without cause or remedy")
	}
	switch Outcome(p.Outcome) {
	case OutcomeNotRun:
		return Verdict{Outcome: OutcomeNotRun, Cause: p.Cause}
	case OutcomeUnknown:
		return Verdict{Outcome: OutcomeUnknown, Cause: p.Cause}
	default:
		return wrongVerdict("problem details with outcome " + p.Outcome)
	}
}

func judgeService(e *Exchange) Verdict {
	if e.Err != nil {
		return Verdict{Outcome: OutcomeCut, Detail: e.Err.Error()}
	}
	if e.Status != http.StatusOK {
		return wrongVerdict("status " + http.StatusText(e.Status) + " without problem details")
	}
	s := e.Service
	if !bytes.Equal(e.Body, serviceserver.ResponseBody(s.Method, s.Path, s.Body)) {
		return wrongVerdict("response of the service differs")
	}
	return Verdict{Outcome: OutcomeComplete}
}

// expectedOutput returns the complete output for a model request.
func expectedOutput(m *ModelRequest, digest identifier.Digest) []byte {
	prompt := []byte(m.Prompt)
	if m.Endpoint == EndpointChat {
		prompt = []byte(chatRole + ": " + m.Prompt + "\n")
	}
	return engineserver.Output(digest, prompt, engineserver.OutputTokens(prompt, m.MaxTokens))
}

func judgeBody(e *Exchange, digestOf DigestOf) Verdict {
	if e.Err != nil {
		return Verdict{Outcome: OutcomeCut, Detail: e.Err.Error()}
	}
	text, err := completionText(e.Body)
	if err != nil {
		return wrongVerdict("body is not a completion")
	}
	return judgeOutput(e, text, digestOf)
}

func judgeOutput(e *Exchange, text []byte, digestOf DigestOf) Verdict {
	digest, known := digestOf(e.Model.Customer)
	if !known {
		return wrongVerdict("no engine has recorded this customer")
	}
	want := expectedOutput(e.Model, digest)
	if !bytes.Equal(text, want) {
		return wrongVerdict(fmt.Sprintf("text differs from byte %d on; it has %d of %d bytes", commonPrefixLength(text, want), len(text), len(want)))
	}
	return Verdict{Outcome: OutcomeComplete}
}

func commonPrefixLength(a, b []byte) int {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return n
}

// judgeStream judges a streamed response. It is complete only if the end marker arrived and the connection did not
// fail.
func judgeStream(e *Exchange, digestOf DigestOf) Verdict {
	s, err := parseStream(e.Body)
	if err != nil {
		if e.Err != nil {
			return Verdict{Outcome: OutcomeCut, Detail: e.Err.Error()}
		}
		return wrongVerdict(err.Error())
	}
	if s.done && s.problem == nil && e.Err == nil {
		return judgeOutput(e, s.text, digestOf)
	}
	if s.done {
		return wrongVerdict("end marker in a stream with an error")
	}
	return judgeTruncated(e, s, digestOf)
}

// judgeTruncated judges a stream without an end marker, whose text must at least be the start of the expected output.
func judgeTruncated(e *Exchange, s stream, digestOf DigestOf) Verdict {
	digest, known := digestOf(e.Model.Customer)
	if len(s.text) > 0 && !known {
		return wrongVerdict("no engine has recorded this customer")
	}
	if known && !bytes.HasPrefix(expectedOutput(e.Model, digest), s.text) {
		return wrongVerdict("truncated text differs")
	}
	if s.problem != nil {
		v := judgeProblemDetails(s.problem)
		if v.Outcome == OutcomeWrong || (v.Outcome == OutcomeNotRun && len(s.text) == 0) {
			return v
		}
		return Verdict{Outcome: OutcomeCut, Cause: v.Cause, Detail: DetailErrorEvent}
	}
	if e.Err != nil {
		return Verdict{Outcome: OutcomeCut, Detail: e.Err.Error()}
	}
	return Verdict{Outcome: OutcomeCut, Detail: "stream ended without end marker or error event"}
}
