// Package administrator serves the operators' HTTP API of an entry: reading, writing and watching the resources of the
// configuration, and reports on nodes, expert maps, decisions and the status of the fleet.
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

	"currantledge.example/currantledge/internal/connection/accepter"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/connection/shedder"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/version/configurer"
	"currantledge.example/currantledge/internal/version/declarer"
)

// Store holds the configuration that the process has adopted.
type Store interface {
	Snapshot() *configurer.Snapshot
	// After returns the changes after a revision, or all resources if the change log does not reach back that far.
	After(r identifier.Revision) messenger.Changes
	// Changed returns a channel that is closed once the store holds a higher revision than r.
	Changed(r identifier.Revision) <-chan struct{}
}

// Writer writes changes of the configuration to the platform's table.
type Writer interface {
	Put(ctx context.Context, r declarer.Resource, match configurer.Match) (identifier.Revision, error)
	Delete(ctx context.Context, kind declarer.Kind, name string, match configurer.Match) (identifier.Revision, error)
}

// NodeStatus is the state of a node as this process observes it.
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
	// Age is the time since the newest known message of the node.
	Age time.Duration
	// Load is nil if no load of the node is known.
	Load *messenger.Load
}

// Nodes lists all nodes that this process knows, including itself.
type Nodes interface {
	Nodes() []NodeStatus
}

// MapStatus is the state of the expert map of a group.
type MapStatus struct {
	Group identifier.ModelGroup
	// Version is that of the committed map, 0 if there is none.
	Version identifier.MapVersion
	// Leader is empty if it is not known.
	Leader identifier.Node
	// Document is the row of the group in the platform's table, encoded as JSON. It holds the committed map and the
	// one before it.
	Document []byte
}

// Maps reads the expert maps of all groups.
type Maps interface {
	Maps(ctx context.Context) ([]MapStatus, error)
}

// Decisions returns the recent decisions of this process, as logger.Logger keeps them.
type Decisions interface {
	Decisions(id identifier.Request) []logger.Decision
	Recent(limit int) []logger.Decision
}

// Config configures an administrator. Nodes and Maps may be nil; they are then reported as empty.
type Config struct {
	Listener net.Listener
	Node     identifier.Node
	// KeyDigests are the SHA-256 digests of the operators' keys, in hexadecimal.
	KeyDigests []identifier.Digest
	Store      Store
	Writer     Writer
	Nodes      Nodes
	Maps       Maps
	Decisions  Decisions
	Log        *logger.Logger
	// KeepAlive is the interval at which a watch without changes sends the current revision; 0 selects 5 s.
	KeepAlive time.Duration
}

const (
	headerTimeout = 5 * time.Second
	bodyTimeout   = 10 * time.Second
	// writeTimeout bounds a write of a resource to the platform's table.
	writeTimeout     = 10 * time.Second
	idleTimeout      = 2 * time.Minute
	shutdownTimeout  = 15 * time.Second
	defaultKeepAlive = 5 * time.Second
	maxHeaderBytes   = 16 << 10
	// maxClientBytes bounds what the connections of operators take. Their requests are few.
	maxClientBytes = 16 << 20
	// connectionsDivisor sets the connections of operators: a part of those of callers.
	connectionsDivisor = 6
)

// Administrator serves the operators' API.
type Administrator struct {
	cfg Config
	// keyDigests are the decoded digests of the operators' keys.
	keyDigests [][]byte
	handler    http.Handler
	// stopping is closed when the shutdown begins, which ends all watches.
	stopping chan struct{}
}

// New returns an administrator. It serves no requests until Run is called.
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
		a.keyDigests = append(a.keyDigests, raw)
	}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutPathCorrection, iris.WithFireMethodNotAllowed)
	a.registerRoutes(app)
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "build the operators' API")
	}
	a.handler = app
	return a, nil
}

// Run serves the API until the context ends. It then ends all watches and gives open requests 15 s to finish.
func (a *Administrator) Run(ctx context.Context) error {
	server := &http.Server{
		Handler:           a.handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	operators := accepter.New(a.cfg.Listener, accepter.Config{
		Name:        "operators",
		Limits:      shedder.Limits{Bytes: maxClientBytes, Connections: accepter.ConnectionsOf(accepter.Descriptors()) / connectionsDivisor},
		CountBodies: true,
		Log:         a.cfg.Log,
	})
	operators.Install(server)
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(operators) }()
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serve the operators' API")
	case <-ctx.Done():
	}
	close(a.stopping)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return errors.Wrap(server.Shutdown(shutdownCtx), "stop the operators' API")
}

func (a *Administrator) registerRoutes(app *iris.Application) {
	app.OnAnyErrorCode(func(ctx iris.Context) {
		respondProblem(ctx, problem{
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

// operatorContextKey is the key under which a request holds the start of the digest of its operator's key, for the log.
const operatorContextKey = "operator"

// authenticate refuses requests without a known operator key. It compares the key's digest with all known digests in
// constant time, so that response times reveal nothing about them.
func (a *Administrator) authenticate(ctx iris.Context) {
	scheme, key, _ := strings.Cut(ctx.GetHeader("Authorization"), " ")
	digest := sha256.Sum256([]byte(key))
	matched := 0
	for _, d := range a.keyDigests {
		matched |= subtle.ConstantTimeCompare(d, digest[:])
	}
	if matched == 0 || !strings.EqualFold(scheme, "Bearer") || key == "" {
		ctx.Header("WWW-Authenticate", "Bearer")
		respondProblem(ctx, problem{
			Status: http.StatusUnauthorized,
			Detail: "the request carries no operator key that this entry knows",
			Remedy: "send an operator key in the header Authorization: Bearer KEY",
		})
		return
	}
	const loggedDigits = 8
	ctx.Values().Set(operatorContextKey, hex.EncodeToString(digest[:])[:loggedDigits])
	ctx.Next()
}
