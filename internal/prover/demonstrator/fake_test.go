package demonstrator_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/standin/engineserver"
	"currantledge.example/currantledge/internal/standin/platformserver"
	"currantledge.example/currantledge/internal/standin/serviceserver"
	"currantledge.example/currantledge/internal/standin/simulator"
)

// The test binary runs as every binary of a deployment. The fake entry sends requests to the stand-ins through fake
// agents. It stores resources and claims in files, which all fake entries share.
const (
	roleEnv     = "DEMONSTRATOR_TEST_ROLE"
	roleCorrect = "correct"
	// roleFaulty truncates responses, runs calls twice and sends requests to failure domains that are out.
	roleFaulty   = "faulty"
	pollInterval = 5 * time.Millisecond
	// standinCapacity is the number of concurrent requests that a stand-in sustains. The load must not exceed it.
	standinCapacity = 500
)

// runRole runs the binary that the arguments select until the process receives SIGTERM. args[2] is the value of the first
// flag: the address of a stand-in or the settings file of a node.
func runRole(args []string) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	sim := simulator.Config{ColdCapacity: standinCapacity, WarmCapacity: standinCapacity}
	switch args[0] {
	case "keygen":
	case "platform":
		server, err := platformserver.New(platformserver.Config{Address: args[2]})
		exitOnError(err)
		exitOnError(server.Run(ctx))
	case "engine":
		sim.Address = args[2]
		server, err := engineserver.New(engineserver.Config{Simulator: sim})
		exitOnError(err)
		exitOnError(server.Run(ctx))
	case "service":
		sim.Address = args[2]
		server, err := serviceserver.New(serviceserver.Config{Simulator: sim})
		exitOnError(err)
		exitOnError(server.Run(ctx))
	case "agent":
		runFakeAgent(ctx, args[2])
	case "entry":
		runFakeEntry(ctx, args[2])
	}
}

func exitOnError(err error) {
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
}

func readJSON(path string, into any) {
	raw, err := os.ReadFile(path)
	exitOnError(err)
	exitOnError(json.Unmarshal(raw, into))
}

func serve(ctx context.Context, address string, handler http.Handler) {
	server := &http.Server{Addr: address, Handler: handler}
	go func() {
		<-ctx.Done()
		_ = server.Shutdown(context.Background())
	}()
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		exitOnError(err)
	}
}

func runFakeAgent(ctx context.Context, settings string) {
	var s struct{ Fleet, Metrics, UpstreamURL string }
	readJSON(settings, &s)
	upstream, err := url.Parse(s.UpstreamURL)
	exitOnError(err)
	proxy := httputil.NewSingleHostReverseProxy(upstream)
	proxy.FlushInterval = -1
	go serve(ctx, s.Metrics, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	serve(ctx, s.Fleet, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The server closes the body of a request once its response begins, and the proxy aborts the response if it is still
		// reading that body.
		body, err := io.ReadAll(r.Body)
		exitOnError(err)
		r.Body = io.NopCloser(bytes.NewReader(body))
		proxy.ServeHTTP(w, r)
	}))
}

type fakeEntry struct {
	folder, domain string
	faulty         bool
	next           atomic.Int64
}

func runFakeEntry(ctx context.Context, settings string) {
	var s struct{ Callers, Operators, FailureDomain string }
	readJSON(settings, &s)
	e := &fakeEntry{folder: filepath.Dir(settings), domain: s.FailureDomain, faulty: os.Getenv(roleEnv) == roleFaulty}
	exitOnError(os.MkdirAll(e.path("claims"), 0o700))
	operators := http.NewServeMux()
	operators.HandleFunc("PUT /api/v1/{kind}/{name}", func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		exitOnError(err)
		exitOnError(os.MkdirAll(e.path(r.PathValue("kind")), 0o700))
		e.replaceFile(body, r.PathValue("kind"), r.PathValue("name"))
	})
	callers := http.NewServeMux()
	callers.HandleFunc("GET /livez", func(http.ResponseWriter, *http.Request) {})
	callers.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if e.isOut(e.domain) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	callers.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.handleModelRequest(w, r, true) })
	callers.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.handleModelRequest(w, r, false) })
	callers.HandleFunc("/services/{service}/", e.handleServiceCall)
	go serve(ctx, s.Operators, operators)
	serve(ctx, s.Callers, callers)
}

func (e *fakeEntry) path(parts ...string) string {
	return filepath.Join(append([]string{e.folder}, parts...)...)
}

// replaceFile replaces a file atomically, so that no reader sees partial content.
func (e *fakeEntry) replaceFile(content []byte, parts ...string) {
	temporary := e.path(parts...) + "." + identifier.NewRequest().String()
	exitOnError(os.WriteFile(temporary, content, 0o600))
	exitOnError(os.Rename(temporary, e.path(parts...)))
}

func (e *fakeEntry) isOut(domain string) bool {
	var resource launcher.FailureDomain
	readJSON(e.path("failureDomains", domain), &resource)
	return resource.State == launcher.StateOut
}

// pickAgent returns the base URL of the next agent of a service, or of a model if service is empty. It skips agents
// whose failure domain is out, unless the entry is faulty.
func (e *fakeEntry) pickAgent(service string) string {
	files, err := filepath.Glob(e.path("upstreams", "*"))
	exitOnError(err)
	for {
		var u launcher.Upstream
		readJSON(files[int(e.next.Add(1))%len(files)], &u)
		if u.Service == service && (e.faulty || !e.isOut(u.FailureDomain)) {
			return "http://" + u.Address
		}
	}
}

func (e *fakeEntry) handleModelRequest(w http.ResponseWriter, r *http.Request, chat bool) {
	var in struct {
		Prompt   string
		Messages []struct{ Role, Content string }
		Stream   bool
	}
	exitOnError(json.NewDecoder(r.Body).Decode(&in))
	if chat {
		in.Prompt = in.Messages[0].Role + ": " + in.Messages[0].Content + "\n"
	}
	id := identifier.NewRequest().String()
	w.Header().Set("Currantledge-Request", id)
	generation, err := json.Marshal(map[string]string{
		"request": id, "prompt": in.Prompt, "customer": launcher.KeyDigest(r.Header.Get("Authorization")),
	})
	exitOnError(err)
	response, err := http.Post(e.pickAgent("")+"/engine/v1/generate", "application/json", bytes.NewReader(generation))
	exitOnError(err)
	defer response.Body.Close()
	if in.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	text := ""
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		var line struct{ Text string }
		exitOnError(json.Unmarshal(lines.Bytes(), &line))
		text += line.Text
		if in.Stream {
			fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", line.Text)
			_ = http.NewResponseController(w).Flush()
		}
		if e.faulty {
			break
		}
	}
	if in.Stream {
		fmt.Fprint(w, "data: [DONE]\n\n")
		return
	}
	fmt.Fprintf(w, `{"choices":[{"text":%q}]}`, text)
}

func (e *fakeEntry) handleServiceCall(w http.ResponseWriter, r *http.Request) {
	id := identifier.NewRequest().String()
	w.Header().Set("Currantledge-Request", id)
	key := r.Header.Get("Idempotency-Key")
	if key != "" && !e.claim(key) {
		_, _ = w.Write(e.awaitResponse(key))
		return
	}
	body, err := io.ReadAll(r.Body)
	exitOnError(err)
	service := r.PathValue("service")
	path := strings.TrimPrefix(r.URL.RequestURI(), "/services/"+service)
	response := e.execute(service, r.Method, path, id, body)
	if e.faulty {
		e.execute(service, r.Method, path, id, body)
	}
	if key != "" {
		e.replaceFile(response, "claims", key+".response")
	}
	_, _ = w.Write(response)
}

func (e *fakeEntry) execute(service, method, path, id string, body []byte) []byte {
	request, err := http.NewRequest(method, e.pickAgent(service)+path, bytes.NewReader(body))
	exitOnError(err)
	request.Header.Set("Currantledge-Request", id)
	response, err := http.DefaultClient.Do(request)
	exitOnError(err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	exitOnError(err)
	return content
}

// claim reports whether this is the first claim of a key.
func (e *fakeEntry) claim(key string) bool {
	file, err := os.OpenFile(e.path("claims", key), os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return false
	}
	return file.Close() == nil
}

// awaitResponse waits for the response that the holder of a claim stores.
func (e *fakeEntry) awaitResponse(key string) []byte {
	for {
		if response, err := os.ReadFile(e.path("claims", key+".response")); err == nil {
			return response
		}
		time.Sleep(pollInterval)
	}
}
