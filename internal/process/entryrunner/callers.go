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
	// The bounds of a request's life. Evening drafts stream for many minutes.
	modelTimeout   = 30 * time.Minute
	serviceTimeout = time.Minute
	queueTimeout   = 10 * time.Second
	defaultWaiting = 256
	bearer         = "Bearer "
)

// finisher ends an answer.
type finisher interface {
	streamer.Sink
	Finish(err error)
}

// newCallers returns the handler of the callers' listener.
func newCallers(e *Entry) (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.OnErrorCode(http.StatusNotFound, unknownPath)
	app.Get("/livez", func(ctx iris.Context) { ctx.StatusCode(http.StatusOK) })
	app.Get("/readyz", e.ready)
	app.Post("/v1/chat/completions", e.model(translator.EndpointChat))
	app.Post("/v1/completions", e.model(translator.EndpointCompletion))
	app.Any("/services/{service:string}", e.service)
	app.Any("/services/{service:string}/{path:path}", e.service)
	return app, errors.Wrap(app.Build(), "build the callers' API")
}

// unknownPath refuses paths that are no endpoint.
func unknownPath(ctx iris.Context) {
	problem := refuser.NotRun(messenger.ReasonUnknownTarget, 0)
	problem.Title = "there is no endpoint at this path"
	problem.Remedy = "use /v1/chat/completions, /v1/completions or /services/{service}/ and a path of the service"
	problem.Write(ctx.ResponseWriter())
}

// ready fails while the entry stops, has no configuration, or its failure domain is out.
func (e *Entry) ready(ctx iris.Context) {
	snapshot := e.store.Snapshot()
	switch {
	case e.stopping.Load():
		notReady(ctx, "stopping")
	case snapshot.Revision == 0:
		notReady(ctx, "no configuration yet")
	case snapshot.FailureDomains[e.settings.FailureDomain].State == declarer.DomainOut:
		notReady(ctx, "failure domain is out")
	case len(e.pool.Members()) == 0:
		notReady(ctx, "no upstream linked yet")
	default:
		ctx.StatusCode(http.StatusOK)
	}
}

func notReady(ctx iris.Context, reason string) {
	ctx.StatusCode(http.StatusServiceUnavailable)
	_, _ = ctx.WriteString(reason)
}

// customer finds the customer of the bearer key. Only digests of keys are known.
func (e *Entry) customer(r *http.Request) (declarer.Customer, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
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

// model serves a model endpoint.
func (e *Entry) model(endpoint translator.Endpoint) iris.Handler {
	return func(ctx iris.Context) {
		w, r := ctx.ResponseWriter(), ctx.Request()
		id := begin(w)
		customer, err := e.customer(r)
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

// service serves calls of plain services.
func (e *Entry) service(ctx iris.Context) {
	w, r := ctx.ResponseWriter(), ctx.Request()
	id := begin(w)
	customer, err := e.customer(r)
	if err != nil {
		refuse(w, id, err)
		return
	}
	name := identifier.Service(ctx.Params().Get("service"))
	// The escaped path is passed on as it came, so that the service sees what the caller sent.
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

func (e *Entry) serve(
	w http.ResponseWriter, r *http.Request, customer declarer.Customer, call streamer.Call, timeout time.Duration, sink finisher,
) {
	if !e.declared(call.Target) {
		refuse(w, call.Request, refuser.NotRun(messenger.ReasonUnknownTarget, 0))
		return
	}
	now := time.Now()
	call.WaitUntil, call.Deadline = now.Add(queueTimeout), now.Add(timeout)
	call.MaxWaiting = customer.MaxWaiting
	if call.MaxWaiting == 0 {
		call.MaxWaiting = defaultWaiting
	}
	err := e.dispatcher.Serve(r.Context(), call, sink)
	sink.Finish(withRequest(err, call.Request))
}

// begin gives a request its id, which callers quote to operators.
func begin(w http.ResponseWriter) identifier.Request {
	id := identifier.NewRequest()
	w.Header().Set(translator.RequestIDHeader, id.String())
	return id
}

func withRequest(err error, id identifier.Request) error {
	var problem *refuser.Problem
	if errors.As(err, &problem) {
		problem.Request = id
	}
	return err
}

func refuse(w http.ResponseWriter, id identifier.Request, err error) {
	var problem *refuser.Problem
	if !errors.As(err, &problem) {
		problem = refuser.Malformed("the body could not be read")
	}
	problem.Request = id
	problem.Write(w)
}
