// Package refuser maps the reasons for which requests are not complete to RFC 9457 problem details, as callers receive
// them.
package refuser

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

// Outcome is the state of a request at its end, as reported to its caller.
type Outcome string

// The outcomes of requests that are not complete.
const (
	// OutcomeNotRun means that nothing has started and that the request may be sent again.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may have run and was not retried.
	OutcomeUnknown Outcome = "unknown"
)

// ContentType is the media type of problem details.
const ContentType = "application/problem+json"

// Problem describes to the caller why its request is not complete. It never names another customer and never includes
// the content of a request.
type Problem struct {
	Outcome Outcome
	Reason  messenger.Reason
	// Status is the HTTP status code.
	Status int
	Title  string
	// Remedy is what the caller can do about the problem.
	Remedy string
	// RetryAfter is the time after which a retry may succeed, or 0 if waiting does not help.
	RetryAfter time.Duration
	Request    identifier.Request
}

// Error returns the title and the remedy.
func (p *Problem) Error() string {
	return p.Title + "; " + p.Remedy
}

// problemText is the part of a problem that depends on its reason only.
type problemText struct {
	status int
	title  string
	remedy string
}

const (
	remedyResend      = "send the request again after the time in Retry-After"
	remedyCheckEffect = "ask the service whether the request took effect before sending it again"
)

var notRunTexts = map[messenger.Reason]problemText{
	messenger.ReasonNoCredit:            {http.StatusServiceUnavailable, "no upstream could take the request", remedyResend},
	messenger.ReasonOldIncarnation:      {http.StatusServiceUnavailable, "the upstream was restarted", remedyResend},
	messenger.ReasonDraining:            {http.StatusServiceUnavailable, "the upstream is leaving", remedyResend},
	messenger.ReasonOverloaded:          {http.StatusServiceUnavailable, "the upstream is overloaded", remedyResend},
	messenger.ReasonUpstreamUnreachable: {http.StatusServiceUnavailable, "the upstream cannot be reached", remedyResend},
	messenger.ReasonNoUpstream:          {http.StatusServiceUnavailable, "no upstream is in service", "send the request again later; operators find the reason with currantledge status"},
	messenger.ReasonWaitedTooLong:       {http.StatusServiceUnavailable, "all upstreams stayed busy", remedyResend},
	messenger.ReasonQueueFull:           {http.StatusTooManyRequests, "too many requests of this customer are waiting", "send fewer requests at a time, or ask the operators for a larger maxWaiting"},
	messenger.ReasonTableUnavailable:    {http.StatusServiceUnavailable, "the platform's table is unreachable, so the Idempotency-Key cannot be claimed", remedyResend},
	messenger.ReasonQuarantined:         {http.StatusUnprocessableEntity, "upstreams failed while running this request", "do not send this request again unchanged; give its id to the operators"},
	messenger.ReasonKeyReused:           {http.StatusUnprocessableEntity, "the Idempotency-Key was used for another request", "use a new Idempotency-Key for each request"},
	messenger.ReasonMalformed:           {http.StatusBadRequest, "the request is malformed", "correct the request as the title says"},
	messenger.ReasonUnauthenticated:     {http.StatusUnauthorized, "the bearer key is missing or unknown", "send Authorization: Bearer with a key of your customer"},
	messenger.ReasonUnknownTarget:       {http.StatusNotFound, "no such model or service", "use a name that the operators have declared"},
	messenger.ReasonRequestNotFound:     {http.StatusServiceUnavailable, "the request did not reach the upstream", remedyResend},
	messenger.ReasonWithdrawn:           {http.StatusServiceUnavailable, "the request was withdrawn", remedyResend},
}

var unknownTexts = map[messenger.Reason]problemText{
	messenger.ReasonUpstreamDied:    {http.StatusBadGateway, "the upstream failed while it ran the request", remedyCheckEffect},
	messenger.ReasonUpstreamError:   {http.StatusBadGateway, "the upstream broke off its answer", remedyCheckEffect},
	messenger.ReasonAgentLost:       {http.StatusBadGateway, "the connection to the upstream's VM was lost", remedyCheckEffect},
	messenger.ReasonDeadline:        {http.StatusGatewayTimeout, "the request took too long", remedyCheckEffect},
	messenger.ReasonClaimUnresolved: {http.StatusConflict, "an earlier attempt with this Idempotency-Key may have run", remedyCheckEffect},
	messenger.ReasonAnswerMismatch:  {http.StatusBadGateway, "the answer failed its integrity check", remedyCheckEffect},
}

// NotRun returns the problem of a request that has not started. The retryAfter is kept only if the remedy refers to
// Retry-After, and for ReasonQueueFull.
func NotRun(reason messenger.Reason, retryAfter time.Duration) *Problem {
	t, ok := notRunTexts[reason]
	if !ok {
		t = notRunTexts[messenger.ReasonNoCredit]
	}
	if t.remedy != remedyResend && reason != messenger.ReasonQueueFull {
		retryAfter = 0
	}
	return &Problem{
		Outcome: OutcomeNotRun, Reason: reason, Status: t.status, Title: t.title, Remedy: t.remedy, RetryAfter: retryAfter,
	}
}

// Malformed returns the problem of a request that cannot be parsed; the title names the error.
func Malformed(title string) *Problem {
	p := NotRun(messenger.ReasonMalformed, 0)
	p.Title = title
	return p
}

// Unknown returns the problem of a request that may have run.
func Unknown(reason messenger.Reason) *Problem {
	t, ok := unknownTexts[reason]
	if !ok {
		t = unknownTexts[messenger.ReasonUpstreamError]
	}
	return &Problem{Outcome: OutcomeUnknown, Reason: reason, Status: t.status, Title: t.title, Remedy: t.remedy}
}

// wireProblem is the JSON form of problem details.
type wireProblem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
	Cause   string `json:"cause"`
	Remedy  string `json:"remedy"`
	Request string `json:"request"`
}

// JSON returns the problem as an application/problem+json document.
func (p *Problem) JSON() []byte {
	raw, err := json.Marshal(wireProblem{
		Type:    "https://currantledge.example/problems/" + string(p.Reason),
		Title:   p.Title,
		Status:  p.Status,
		Detail:  p.Error(),
		Outcome: string(p.Outcome),
		Cause:   string(p.Reason),
		Remedy:  p.Remedy,
		Request: p.Request.String(),
	})
	if err != nil {
		// A struct of strings and an integer cannot fail to encode.
		panic(err)
	}
	return raw
}

// Write sends the problem as the response to an HTTP request. The Retry-After is rounded up to seconds.
func (p *Problem) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", ContentType)
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	// A failed write means that the caller has closed its connection, so the error is ignored.
	_, _ = w.Write(p.JSON())
}
