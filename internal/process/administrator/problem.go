package administrator

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/configurer"
	"currantledge.example/currantledge/internal/version/declarer"
)

const (
	problemContentType = "application/problem+json"
	retryAfterSeconds  = 1
)

// problem is an error response in the form of an RFC 9457 problem detail.
type problem struct {
	Status int
	Detail string
	Remedy string
	// CurrentRevision is the revision of the resource after a conflict, otherwise nil.
	CurrentRevision *identifier.Revision
	// Outcome is notRun or unknown for failed writes, otherwise empty.
	Outcome  string
	Problems []declarer.Problem
}

type wireProblem struct {
	Type            string             `json:"type"`
	Title           string             `json:"title"`
	Status          int                `json:"status"`
	Detail          string             `json:"detail"`
	Field           string             `json:"field,omitempty"`
	Value           string             `json:"value,omitempty"`
	Remedy          string             `json:"remedy,omitempty"`
	CurrentRevision *uint64            `json:"currentRevision,omitempty"`
	Outcome         string             `json:"outcome,omitempty"`
	Problems        []wireFieldProblem `json:"problems,omitempty"`
}

type wireFieldProblem struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
	Field  string `json:"field,omitempty"`
	Value  string `json:"value,omitempty"`
	Remedy string `json:"remedy"`
}

func encodeProblem(p problem) wireProblem {
	w := wireProblem{
		Type:    "about:blank",
		Title:   http.StatusText(p.Status),
		Status:  p.Status,
		Detail:  p.Detail,
		Remedy:  p.Remedy,
		Outcome: p.Outcome,
	}
	if p.CurrentRevision != nil {
		current := uint64(*p.CurrentRevision)
		w.CurrentRevision = &current
	}
	for _, fieldProblem := range p.Problems {
		w.Problems = append(w.Problems, wireFieldProblem(fieldProblem))
	}
	if len(p.Problems) > 0 {
		w.Field, w.Value, w.Remedy = p.Problems[0].Field, p.Problems[0].Value, p.Problems[0].Remedy
	}
	return w
}

// respondProblem writes a problem detail as the response and stops the handler chain.
func respondProblem(ctx iris.Context, p problem) {
	ctx.StatusCode(p.Status)
	ctx.Header("Content-Type", problemContentType)
	encoded, _ := json.Marshal(encodeProblem(p))
	_, _ = ctx.Write(append(encoded, '\n'))
	ctx.StopExecution()
}

// respondError writes an error of the configuration or its writer as a problem detail.
func respondError(ctx iris.Context, err error) {
	p := problemFor(err)
	if p.Status == http.StatusServiceUnavailable {
		ctx.Header("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	respondProblem(ctx, p)
}

// problemFor maps an error to the status, outcome and remedy that the operator receives.
func problemFor(err error) problem {
	var (
		invalid     *declarer.InvalidError
		mismatch    *declarer.MismatchError
		conflict    *configurer.ConflictError
		notFound    *configurer.NotFoundError
		unavailable *configurer.UnavailableError
		unresolved  *configurer.UnresolvedError
	)
	switch {
	case errors.As(err, &invalid):
		return problem{
			Status: http.StatusUnprocessableEntity, Detail: err.Error(), Outcome: "notRun", Problems: invalid.Problems(),
		}
	case errors.As(err, &mismatch):
		return problem{Status: http.StatusUnprocessableEntity, Detail: mismatch.Error(), Outcome: "notRun", Problems: []declarer.Problem{
			{Field: "name", Value: mismatch.Got, Remedy: "write the name that the path has: " + mismatch.Want},
		}}
	case errors.As(err, &conflict):
		return problem{
			Status: http.StatusPreconditionFailed, Detail: conflict.Error(), Outcome: "notRun",
			Remedy: "read the resource and send the change again with its ETag", CurrentRevision: &conflict.Current,
		}
	case errors.As(err, &notFound):
		return problem{Status: http.StatusNotFound, Detail: notFound.Error(), Outcome: "notRun", Remedy: "correct the name"}
	case errors.As(err, &unresolved):
		return problem{
			Status: http.StatusGatewayTimeout, Detail: unresolved.Error(), Outcome: "unknown",
			Remedy: "read the resource before sending the change again",
		}
	case errors.As(err, &unavailable) && !unavailable.MayHaveApplied:
		return problem{
			Status: http.StatusServiceUnavailable, Detail: unavailable.Error(), Outcome: "notRun",
			Remedy: "send the change again once the platform's table answers",
		}
	default:
		return problem{
			Status: http.StatusInternalServerError, Detail: err.Error(), Outcome: "unknown",
			Remedy: "read the resource before sending the change again",
		}
	}
}

func respondNotFound(ctx iris.Context, detail, remedy string) {
	respondProblem(ctx, problem{Status: http.StatusNotFound, Detail: detail, Remedy: remedy})
}

// respondBadField refuses a request because of an invalid header or query parameter.
func respondBadField(ctx iris.Context, field, value, remedy string) {
	respondProblem(ctx, problem{
		Status: http.StatusBadRequest, Detail: field + " is not acceptable",
		Problems: []declarer.Problem{{Field: field, Value: strconv.Quote(value), Remedy: remedy}},
	})
}
