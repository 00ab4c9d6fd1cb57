// Package administrator serves the operators' API: resources with watches, nodes, maps, decisions and status.
package administrator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"expvar"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/version/configurer"
	"currantledge.example/currantledge/internal/version/declarer"
)

// Store is the configuration that the process holds.
type Store interface {
	Snapshot() *configurer.Snapshot
	After(r identifier.Revision) messenger.Changes
	Changed(r identifier.Revision) <-chan struct{}
}

// Writer writes changes of the configuration.
type Writer interface {
	Put(ctx context.Context, r declarer.Resource, match configurer.Match) (identifier.Revision, error)
	Delete(ctx context.Context, kind declarer.Kind, name string, match configurer.Match) (identifier.Revision, error)
}

// NodeStatus is what this process knows of a node.
type NodeStatus struct {
	Node          identifier.Node
	Role          identifier.Role
	FailureDomain identifier.FailureDomain
	Upstream      identifier.Upstream
	Address       string
	// State is live, silent, gone or leaving.
	State    string
	Reason   string
	Revision identifier.Revision
	// Age is the time since the node was last heard.
	Age  time.Duration
	Load *messenger.Load
}

// Nodes lists the nodes that this process knows, itself included.
type Nodes interface {
	Nodes() []NodeStatus
}

// MapStatus is the expert map of a group.
type MapStatus struct {
	Group   identifier.ModelGroup
	Version identifier.MapVersion
	Leader  identifier.Node
	// Document is the map as JSON.
	Document []byte
}

// Maps lists the expert maps.
type Maps interface {
	Maps(ctx context.Context) ([]MapStatus, error)
}

// Decisions returns recent decisions of this process.
type Decisions interface {
	Decisions(id identifier.Request) []logger.Decision
	Recent(limit int) []logger.Decision
}

// Config holds what an administrator is built from.
type Config struct {
	Listener net.Listener
	Node     identifier.Node
	// KeyDigests are the SHA-256 digests of the operators' keys in hexadecimal form.
	KeyDigests []identifier.Digest
	Store      Store
	Writer     Writer
	Nodes      Nodes
	Maps       Maps
	Decisions  Decisions
	Log        *logger.Logger
	// KeepAlive is the time after which a watch without changes repeats the revision.
	KeepAlive time.Duration
}

const (
	headerTimeout    = 5 * time.Second
	bodyTimeout      = 10 * time.Second
	writeTimeout     = 10 * time.Second
	idleTimeout      = 2 * time.Minute
	shutdownTimeout  = 15 * time.Second
	defaultKeepAlive = 5 * time.Second
	maxHeaderBytes   = 16 << 10
)

// Administrator serves the operators' API.
type Administrator struct {
	cfg Config
	// digests are the decoded key digests.
	digests  [][]byte
	handler  http.Handler
	stopping chan struct{}
}

// New returns an administrator that serves once Run is called.
func New(cfg Config) (*Administrator, error) {
	if cfg.KeepAlive == 0 {
		cfg.KeepAlive = defaultKeepAlive
	}
	a := &Administrator{cfg: cfg, stopping: make(chan struct{})}
	for _, d := range cfg.KeyDigests {
		raw, err := hex.DecodeString(string(d))
		if err != nil || len(raw) != sha256.Size {
			return nil, errors.New("an operator key digest is not a SHA-256 digest; write 64 hexadecimal digits")
		}
		a.digests = append(a.digests, raw)
	}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutPathCorrection, iris.WithFireMethodNotAllowed)
	a.route(app)
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "build the operators' API")
	}
	a.handler = app
	return a, nil
}

// Run serves until the context ends. Watches then end at once, and open writes finish.
func (a *Administrator) Run(ctx context.Context) error {
	server := &http.Server{
		Handler:           a.handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(a.cfg.Listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve the operators' API")
	case <-ctx.Done():
	}
	close(a.stopping)
	grace, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return errors.Wrap(server.Shutdown(grace), "stop the operators' API")
}

func (a *Administrator) route(app *iris.Application) {
	app.OnAnyErrorCode(func(ctx iris.Context) {
		fail(ctx, problem{
			Status: ctx.GetStatusCode(),
			Detail: "there is nothing at this path for this method",
			Remedy: "use GET, PUT or DELETE on /api/v1/{kind} and /api/v1/{kind}/{name}, or GET on /api/v1/status",
		})
	})
	app.UseRouter(a.authenticate)
	app.Get("/debug/vars", iris.FromStd(expvar.Handler()))
	api := app.Party("/api/v1")
	api.Get("/status", a.status)
	api.Get("/explain/{request:string}", a.explain)
	api.Get("/nodes", a.listNodes)
	api.Get("/nodes/{name:string}", a.getNode)
	api.Get("/maps", a.listMaps)
	api.Get("/maps/{name:string}", a.getMap)
	api.Get("/decisions", a.listDecisions)
	api.Get("/decisions/{request:string}", a.explain)
	for _, kind := range declarer.Kinds() {
		r := resourceHandler{administrator: a, kind: kind}
		api.Get("/"+string(kind), r.list)
		api.Get("/"+string(kind)+"/{name:string}", r.get)
		api.Put("/"+string(kind)+"/{name:string}", r.put)
		api.Delete("/"+string(kind)+"/{name:string}", r.delete)
	}
}

const operatorValue = "operator"

// authenticate compares the digest of the bearer key with every known digest, in the same time for every key.
func (a *Administrator) authenticate(ctx iris.Context) {
	scheme, key, _ := strings.Cut(ctx.GetHeader("Authorization"), " ")
	digest := sha256.Sum256([]byte(key))
	known := 0
	for _, d := range a.digests {
		known |= subtle.ConstantTimeCompare(d, digest[:])
	}
	if known == 0 || !strings.EqualFold(scheme, "Bearer") || key == "" {
		ctx.Header("WWW-Authenticate", "Bearer")
		fail(ctx, problem{
			Status: http.StatusUnauthorized,
			Detail: "the request carries no operator key that this entry knows",
			Remedy: "send an operator key in the header Authorization: Bearer KEY",
		})
		return
	}
	const shownDigits = 8
	ctx.Values().Set(operatorValue, hex.EncodeToString(digest[:])[:shownDigits])
	ctx.Next()
}
