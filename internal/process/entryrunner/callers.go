package entryrunner

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/refuser"
	"currantledge.example/currantledge/internal/request/streamer"
	"currantledge.example/currantledge/internal/request/translator"
	"currantledge.example/currantledge/internal/version/declarer"
)

const (
	// modelTimeout and serviceTimeout bound the time from when a request has been read to the end of its response.
	// modelTimeout is high because long model responses stream for many minutes.
	modelTimeout   = 30 * time.Minute
	serviceTimeout = time.Minute
	// queueTimeout bounds the time that a request waits for an upstream.
	queueTimeout = 10 * time.Second
	// defaultMaxWaiting is the number of waiting requests that a customer may have at this entry if the configuration sets
	// none.
	defaultMaxWaiting = 256
	bearerPrefix      = "Bearer "
)

// responseSink writes a response to a caller. Finish ends the response: as complete if err is nil; as a problem if err is
// one and no byte was sent; otherwise it aborts the connection, so that the caller does not take the response for
// complete.
type responseSink interface {
	streamer.Sink
	Finish(err error)
}

// newCallerHandler returns the HTTP handler for callers: health checks, model endpoints and plain services.
func newCallerHandler(e *Entry) (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.OnErrorCode(http.StatusNotFound, refuseUnknownPath)
	app.Get("/livez", func(ctx iris.Context) { ctx.StatusCode(http.StatusOK) })
	app.Get("/readyz", e.serveReady)
	app.Post("/v1/chat/completions", e.serveModel(translator.EndpointChat))
	app.Post("/v1/completions", e.serveModel(translator.EndpointCompletion))
	app.Any("/services/{service:string}", e.serveService)
	app.Any("/services/{service:string}/{path:path}", e.serveService)
	return app, errors.Wrap(app.Build(), "build the callers' API")
}

// refuseUnknownPath refuses a request whose path is not an endpoint.
func refuseUnknownPath(ctx iris.Context) {
	problem := refuser.NotRun(messenger.ReasonUnknownTarget, 0)
	problem.Title = "there is no endpoint at this path"
	problem.Remedy = "use /v1/chat/completions, /v1/completions or /services/{service}/ and a path of the service"
	problem.Write(ctx.ResponseWriter())
}

// serveReady answers readiness checks. It fails while the entry stops, has no configuration or no linked upstream, or
// its failure domain is out.
func (e *Entry) serveReady(ctx iris.Context) {
	snapshot := e.store.Snapshot()
	switch {
	case e.stopping.Load():
		writeNotReady(ctx, "stopping")
	case snapshot.Revision == 0:
		writeNotReady(ctx, "no configuration yet")
	case snapshot.FailureDomains[e.settings.FailureDomain].State == declarer.DomainOut:
		writeNotReady(ctx, "failure domain is out")
	case len(e.pool.Members()) == 0:
		writeNotReady(ctx, "no upstream linked yet")
	default:
		ctx.StatusCode(http.StatusOK)
	}
}

func writeNotReady(ctx iris.Context, reason string) {
	ctx.StatusCode(http.StatusServiceUnavailable)
	_, _ = ctx.WriteString(reason)
}

// authenticate returns the customer of the bearer key. The configuration holds only the digests of keys.
func (e *Entry) authenticate(r *http.Request) (declarer.Customer, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return declarer.Customer{}, refuser.NotRun(messenger.ReasonUnauthenticated, 0)
	}
	digest := sha256.Sum256([]byte(key))
	snapshot := e.store.Snapshot()
	name, ok := snapshot.CustomersByKeyDigest[identifier.Digest(hex.EncodeToString(digest[:]))]
	if !ok {
		return declarer.Customer{}, refuser.NotRun(messenger.ReasonUnauthenticated, 0)
	}
	return snapshot.Customers[name], nil
}

// serveModel returns the handler of a model endpoint.
func (e *Entry) serveModel(endpoint translator.Endpoint) iris.Handler {
	return func(ctx iris.Context) {
		w, r := ctx.ResponseWriter(), ctx.Request()
		id := assignRequestID(w)
		customer, err := e.authenticate(r)
		if err != nil {
			refuse(w, id, err)
			return
		}
		generation, err := translator.ParseGeneration(endpoint, r.Body)
		if err != nil {
			refuse(w, id, err)
			return
		}
		call := translator.ModelCall(id, customer.Name, generation)
		e.serve(w, r, customer, call, modelTimeout, translator.NewModelSink(w, id, endpoint, generation))
	}
}

// serveService handles a call of a plain service.
func (e *Entry) serveService(ctx iris.Context) {
	w, r := ctx.ResponseWriter(), ctx.Request()
	id := assignRequestID(w)
	customer, err := e.authenticate(r)
	if err != nil {
		refuse(w, id, err)
		return
	}
	name := identifier.Service(ctx.Params().Get("service"))
	// The path stays escaped, so that the service receives it as the caller sent it.
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+string(name))
	if path == "" {
		path = "/"
	}
	service, ok := e.store.Snapshot().Services[name]
	if !ok {
		refuse(w, id, refuser.NotRun(messenger.ReasonUnknownTarget, 0))
		return
	}
	call, err := translator.ServiceCall(id, customer.Name, service, path, r)
	if err != nil {
		refuse(w, id, err)
		return
	}
	e.serve(w, r, customer, call, serviceTimeout, translator.NewServiceSink(w))
}

// serve dispatches a call to an upstream and writes the response to the sink.
func (e *Entry) serve(
	w http.ResponseWriter, r *http.Request, customer declarer.Customer, call streamer.Call, timeout time.Duration, sink responseSink,
) {
	if !e.isDeclared(call.Target) {
		refuse(w, call.Request, refuser.NotRun(messenger.ReasonUnknownTarget, 0))
		return
	}
	now := time.Now()
	call.WaitUntil, call.Deadline = now.Add(queueTimeout), now.Add(timeout)
	call.MaxWaiting = customer.MaxWaiting
	if call.MaxWaiting == 0 {
		call.MaxWaiting = defaultMaxWaiting
	}
	err := e.dispatcher.Serve(r.Context(), call, sink)
	sink.Finish(setRequestID(err, call.Request))
}

// assignRequestID generates the id of a request and sets it as a response header, so that callers can quote it to
// operators.
func assignRequestID(w http.ResponseWriter) identifier.Request {
	id := identifier.NewRequest()
	w.Header().Set(translator.RequestIDHeader, id.String())
	return id
}

// setRequestID sets the request id of the problem in err, if there is one, and returns err.
func setRequestID(err error, id identifier.Request) error {
	var problem *refuser.Problem
	if errors.As(err, &problem) {
		problem.Request = id
	}
	return err
}

// refuse writes the problem of an error as the response. Any other error is a failed read of the body.
func refuse(w http.ResponseWriter, id identifier.Request, err error) {
	var problem *refuser.Problem
	if !errors.As(err, &problem) {
		problem = refuser.Malformed("the body could not be read")
	}
	problem.Request = id
	problem.Write(w)
}
