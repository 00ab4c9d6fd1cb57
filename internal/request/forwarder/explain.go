package forwarder

import (
	"math/rand/v2"
	"net/http"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/admitter"
	"currantledge.example/currantledge/internal/request/screener"
	"currantledge.example/currantledge/internal/version/cataloguer"
)

// Explanation is what would happen to a request without a body that arrived at a time.
type Explanation struct {
	Arrived time.Time
	// ConfigVersion is that of the configuration, or 0 without one.
	ConfigVersion cataloguer.Version
	// Route and Customer are those of the request, empty if it has none, and Service is one of the targets of the route,
	// drawn by weight.
	Route    cataloguer.Route
	Customer identifier.Customer
	Service  identifier.Service
	// Request is what the admitter decides by; it is set unless the Outcome is Invalid or the gateway has no configuration.
	Request admitter.Request
	Outcome Outcome
}

// Outcome is Invalid, Refused or Admission.
type Outcome interface{ outcome() }

// Invalid means that the request would be rejected as invalid.
type Invalid struct {
	Status  int
	Message string
	// Detail is what only the log adds to the message, or empty.
	Detail string
}

// Refused means that the request would be refused before it is submitted to the admitter.
type Refused struct{ admitter.Refused }

// Admission means that the admitter would decide.
type Admission struct{ admitter.Explanation }

func (Invalid) outcome()   {}
func (Refused) outcome()   {}
func (Admission) outcome() {}

// Explain returns what would happen to a request if it arrived now. It sends, counts and logs nothing and begins no trial.
// The body is not known: a refusal for crashes of the same whole request, and one for lack of memory, are not foreseen.
func (f *Forwarder) Explain(r *http.Request) Explanation {
	now := time.Now()
	// The decisions on requests have another source of random numbers.
	draw := rand.New(rand.NewPCG(uint64(now.UnixNano()), 0)).Float64
	out := Explanation{Arrived: now}
	fleet := f.cfg.Fleet()
	if fleet.Catalogue == nil {
		out.Outcome = Refused{admitter.Refused{Reason: ReasonNoConfiguration, RetryAfter: defaultRetryAfter}}
		return out
	}
	c := &call{arrived: now}
	rejected := f.resolve(fleet.Catalogue, c, r, draw())
	out.ConfigVersion, out.Customer, out.Service = c.configVersion, c.customer.Name, c.service
	out.Route = c.route
	if rejected != nil {
		out.Route, _ = fleet.Catalogue.Route(r.Host, r.URL.EscapedPath())
		out.Outcome = Invalid{Status: rejected.status, Message: rejected.message, Detail: rejected.detail}
		return out
	}
	f.setDeadlines(c, r)
	verdict := f.cfg.Screener.Verdict(now, c.prompt)
	if isolated, is := verdict.(screener.Isolated); is {
		c.trial = isolated.Part
	}
	out.Request = c.admission(c.work)
	if refused, is := verdict.(screener.Refused); is {
		out.Outcome = Refused{refusedForCrashes(now, refused)}
		return out
	}
	out.Outcome = Admission{f.cfg.Admitter.Explain(now, out.Request, draw)}
	return out
}
