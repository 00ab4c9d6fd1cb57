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

// The test binary acts as every binary of a deployment. The entry is a fake that sends requests to the stand-ins
// through fake agents. It keeps resources and claims as files, so that all fake entries share them.
const (
	roleVariable = "DEMONSTRATOR_TEST_ROLE"
	roleSound    = "sound"
	// roleFaulty truncates answers, runs calls twice and ignores failure domains that are out.
	roleFaulty = "faulty"
	pollPause  = 5 * time.Millisecond
	fakeLimit  = 500
)

func act(args []string) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	sim := simulator.Config{ColdCapacity: fakeLimit, WarmCapacity: fakeLimit}
	switch args[0] {
	case "keygen":
	case "platform":
		server, err := platformserver.New(platformserver.Config{Address: args[2]})
		must(err)
		must(server.Run(ctx))
	case "engine":
		sim.Address = args[2]
		server, err := engineserver.New(engineserver.Config{Simulator: sim})
		must(err)
		must(server.Run(ctx))
	case "service":
		sim.Address = args[2]
		server, err := serviceserver.New(serviceserver.Config{Simulator: sim})
		must(err)
		must(server.Run(ctx))
	case "agent":
		actAsAgent(ctx, args[2])
	case "entry":
		actAsEntry(ctx, args[2])
	}
}

func must(err error) {
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
}

func readJSON(path string, into any) {
	raw, err := os.ReadFile(path)
	must(err)
	must(json.Unmarshal(raw, into))
}

func serve(ctx context.Context, address string, handler http.Handler) {
	server := &http.Server{Addr: address, Handler: handler}
	go func() {
		<-ctx.Done()
		_ = server.Shutdown(context.Background())
	}()
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		must(err)
	}
}

func actAsAgent(ctx context.Context, settings string) {
	var s struct{ Fleet, Metrics, UpstreamURL string }
	readJSON(settings, &s)
	upstream, err := url.Parse(s.UpstreamURL)
	must(err)
	proxy := httputil.NewSingleHostReverseProxy(upstream)
	proxy.FlushInterval = -1
	go serve(ctx, s.Metrics, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	serve(ctx, s.Fleet, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The server closes the body of a request once its answer begins, and the proxy breaks off an answer if it is
		// still reading that body.
		body, err := io.ReadAll(r.Body)
		must(err)
		r.Body = io.NopCloser(bytes.NewReader(body))
		proxy.ServeHTTP(w, r)
	}))
}

type fakeEntry struct {
	folder, domain string
	faulty         bool
	next           atomic.Int64
}

func actAsEntry(ctx context.Context, settings string) {
	var s struct{ Callers, Operators, FailureDomain string }
	readJSON(settings, &s)
	e := &fakeEntry{folder: filepath.Dir(settings), domain: s.FailureDomain, faulty: os.Getenv(roleVariable) == roleFaulty}
	must(os.MkdirAll(e.path("claims"), 0o700))
	operators := http.NewServeMux()
	operators.HandleFunc("PUT /api/v1/{kind}/{name}", func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		must(err)
		must(os.MkdirAll(e.path(r.PathValue("kind")), 0o700))
		e.store(body, r.PathValue("kind"), r.PathValue("name"))
	})
	callers := http.NewServeMux()
	callers.HandleFunc("GET /livez", func(http.ResponseWriter, *http.Request) {})
	callers.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if e.isOut(e.domain) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	callers.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.generate(w, r, true) })
	callers.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.generate(w, r, false) })
	callers.HandleFunc("/services/{service}/", e.call)
	go serve(ctx, s.Operators, operators)
	serve(ctx, s.Callers, callers)
}

func (e *fakeEntry) path(parts ...string) string {
	return filepath.Join(append([]string{e.folder}, parts...)...)
}

// store replaces a file at once, so that no reader sees a part of it.
func (e *fakeEntry) store(content []byte, parts ...string) {
	temporary := e.path(parts...) + "." + identifier.NewRequest().String()
	must(os.WriteFile(temporary, content, 0o600))
	must(os.Rename(temporary, e.path(parts...)))
}

func (e *fakeEntry) isOut(domain string) bool {
	var resource launcher.FailureDomain
	readJSON(e.path("failureDomains", domain), &resource)
	return resource.State == launcher.StateOut
}

// pick returns the URL of the next agent of models or services whose failure domain is in.
func (e *fakeEntry) pick(service string) string {
	files, err := filepath.Glob(e.path("upstreams", "*"))
	must(err)
	for {
		var u launcher.Upstream
		readJSON(files[int(e.next.Add(1))%len(files)], &u)
		if u.Service == service && (e.faulty || !e.isOut(u.FailureDomain)) {
			return "http://" + u.Address
		}
	}
}

func (e *fakeEntry) generate(w http.ResponseWriter, r *http.Request, chat bool) {
	var in struct {
		Prompt   string
		Messages []struct{ Role, Content string }
		Stream   bool
	}
	must(json.NewDecoder(r.Body).Decode(&in))
	if chat {
		in.Prompt = in.Messages[0].Role + ": " + in.Messages[0].Content + "\n"
	}
	id := identifier.NewRequest().String()
	w.Header().Set("Currantledge-Request", id)
	generation, err := json.Marshal(map[string]string{
		"request": id, "prompt": in.Prompt, "customer": launcher.KeyDigest(r.Header.Get("Authorization")),
	})
	must(err)
	response, err := http.Post(e.pick("")+"/engine/v1/generate", "application/json", bytes.NewReader(generation))
	must(err)
	defer response.Body.Close()
	if in.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	text := ""
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		var line struct{ Text string }
		must(json.Unmarshal(lines.Bytes(), &line))
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

func (e *fakeEntry) call(w http.ResponseWriter, r *http.Request) {
	id := identifier.NewRequest().String()
	w.Header().Set("Currantledge-Request", id)
	key := r.Header.Get("Idempotency-Key")
	if key != "" && !e.claim(key) {
		_, _ = w.Write(e.await(key))
		return
	}
	body, err := io.ReadAll(r.Body)
	must(err)
	service := r.PathValue("service")
	path := strings.TrimPrefix(r.URL.RequestURI(), "/services/"+service)
	answer := e.execute(service, r.Method, path, id, body)
	if e.faulty {
		e.execute(service, r.Method, path, id, body)
	}
	if key != "" {
		e.store(answer, "claims", key+".answer")
	}
	_, _ = w.Write(answer)
}

func (e *fakeEntry) execute(service, method, path, id string, body []byte) []byte {
	request, err := http.NewRequest(method, e.pick(service)+path, bytes.NewReader(body))
	must(err)
	request.Header.Set("Currantledge-Request", id)
	response, err := http.DefaultClient.Do(request)
	must(err)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	must(err)
	return answer
}

func (e *fakeEntry) claim(key string) bool {
	file, err := os.OpenFile(e.path("claims", key), os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return false
	}
	return file.Close() == nil
}

func (e *fakeEntry) await(key string) []byte {
	for {
		if answer, err := os.ReadFile(e.path("claims", key+".answer")); err == nil {
			return answer
		}
		time.Sleep(pollPause)
	}
}
