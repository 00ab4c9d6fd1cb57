package commander_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/administrator"
	"currantledge.example/currantledge/internal/process/commander"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/loader"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/version/configurer"
	"currantledge.example/currantledge/internal/version/declarer"
)

// The tests do not run in parallel, because logger.New sets a variable of the logging library.

const (
	operatorKey = "example-operator-key"
	examples    = "../../../examples/ke-central/"
)

// fakeWriter adopts changes into the store without a table.
type fakeWriter struct {
	mu    sync.Mutex
	store *configurer.Store
	// race runs once before a write, as another operator would.
	race func()
}

func (w *fakeWriter) write(kind declarer.Kind, name string, value []byte, match configurer.Match) (identifier.Revision, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if race := w.race; race != nil {
		w.race = nil
		race()
	}
	snapshot := w.store.Snapshot()
	if _, current, _ := snapshot.Resource(kind, name); !match.Holds(current) {
		return 0, &configurer.ConflictError{Kind: kind, Name: name, Current: current}
	}
	change := messenger.Change{Revision: snapshot.Revision + 1, Kind: string(kind), Name: name, Value: value}
	_, err := w.store.Adopt(messenger.Changes{Revision: change.Revision, Changes: []messenger.Change{change}})
	return change.Revision, err
}

func (w *fakeWriter) Put(_ context.Context, r declarer.Resource, match configurer.Match) (identifier.Revision, error) {
	return w.write(r.Kind(), r.Identity(), declarer.Encode(r), match)
}

func (w *fakeWriter) Delete(_ context.Context, kind declarer.Kind, name string, match configurer.Match) (identifier.Revision, error) {
	return w.write(kind, name, nil, match)
}

type fakeNodes struct{}

func (fakeNodes) Nodes() []administrator.NodeStatus {
	return []administrator.NodeStatus{
		{Node: "e1", Role: identifier.RoleEntry, FailureDomain: "d", State: "live"},
		{Node: "a1", Role: identifier.RoleAgent, State: "gone", Reason: "silent for 30 s", Load: &messenger.Load{Running: 7}},
	}
}

// lossy loses the answers of some requests.
type lossy struct {
	mu   sync.Mutex
	lose int
	// method of the requests whose answers are lost.
	method string
}

func (l *lossy) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(request)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && l.lose > 0 && request.Method == l.method {
		l.lose--
		response.Body.Close()
		return nil, io.ErrUnexpectedEOF
	}
	return response, err
}

type fixture struct {
	t       *testing.T
	address string
	store   *configurer.Store
	writer  *fakeWriter
	log     *logger.Logger
	network *lossy
	stop    func()
	dep     commander.Dependencies
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	store := configurer.New()
	f := &fixture{
		t: t, address: listener.Addr().String(), store: store, writer: &fakeWriter{store: store}, log: logger.Discard(),
		network: &lossy{method: http.MethodPut},
	}
	sum := sha256.Sum256([]byte(operatorKey))
	a, err := administrator.New(administrator.Config{
		Listener: listener, Node: "e1", KeyDigests: []identifier.Digest{identifier.Digest(hex.EncodeToString(sum[:]))},
		Store: store, Writer: f.writer, Nodes: fakeNodes{}, Decisions: f.log, Log: f.log,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	f.stop = sync.OnceFunc(func() {
		cancel()
		require.NoError(t, <-done)
	})
	t.Cleanup(f.stop)
	environment := map[string]string{"CURRANTLEDGE_ENTRY": f.address, "CURRANTLEDGE_KEY": operatorKey}
	f.dep = commander.Dependencies{
		Client: &http.Client{Transport: f.network},
		Getenv: func(name string) string { return environment[name] },
		Wait:   func(ctx context.Context) error { return ctx.Err() },
	}
	return f
}

// run runs a command and returns its exit code and outputs.
func (f *fixture) run(args ...string) (int, string, string) {
	f.t.Helper()
	var output, failures bytes.Buffer
	d := f.dep
	d.Output, d.Errors = &output, &failures
	code := commander.Run(f.t.Context(), d, args)
	return code, output.String(), failures.String()
}

func (f *fixture) succeed(args ...string) string {
	f.t.Helper()
	code, output, failures := f.run(args...)
	require.Equal(f.t, commander.ExitOK, code, failures)
	return output
}

func (f *fixture) file(text string) string {
	f.t.Helper()
	path := filepath.Join(f.t.TempDir(), "file.hujson")
	require.NoError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against resources that are lost or changed between file, entry and file, and against needless revisions.
func TestApplyAndGet(t *testing.T) {
	f := newFixture(t)
	output := f.succeed("apply", examples+"resources.hujson")
	require.Equal(t, 34, strings.Count(output, " applied at revision "))
	revision := f.store.Snapshot().Revision
	require.EqualValues(t, 34, revision)
	for _, kind := range declarer.Kinds() {
		listed := f.succeed("get", string(kind))
		output = f.succeed("apply", f.file(listed))
		require.NotContains(t, output, " applied ")
	}
	require.Equal(t, revision, f.store.Snapshot().Revision)
	require.Contains(t, f.succeed("get", "customers", "head-office"), `"share": 2`)
	require.Contains(t, f.succeed("get", "nodes"), "silent for 30 s")
	require.Contains(t, f.succeed("apply", "--delete", "customers/head-office"), "customers/head-office deleted at revision 35")
	code, _, failures := f.run("get", "customers", "head-office")
	require.Equal(t, commander.ExitFailed, code)
	require.Contains(t, failures, "does not exist")
}

// Guards against a file with a fault of which a part is applied, and against a fault without position.
func TestApplyValidatesFirst(t *testing.T) {
	f := newFixture(t)
	code, _, failures := f.run("apply", f.file(`{"services": [{"name": "s"}], "failureDomains": [{"name": "d", "region": "r", "zone": 1}]}`))
	require.Equal(t, commander.ExitFailed, code)
	require.Regexp(t, `file\.hujson:1:79: field failureDomains\[0\]\.zone`, failures)
	require.Zero(t, f.store.Snapshot().Revision)
}

// Guards against a change of another operator that is overwritten unseen.
func TestApplyExpect(t *testing.T) {
	f := newFixture(t)
	f.succeed("apply", f.file(`{"services": [{"name": "s"}, {"name": "t"}]}`))
	changed := f.file(`{"services": [{"name": "s", "idempotentPaths": ["/a"]}]}`)
	f.writer.race = func() {
		change := messenger.Change{Revision: 3, Kind: "services", Name: "s", Value: []byte(`{"name":"s","idempotentPaths":["/b"]}`)}
		_, err := f.store.Adopt(messenger.Changes{Revision: 3, Changes: []messenger.Change{change}})
		require.NoError(t, err)
	}
	code, _, failures := f.run("apply", "--expect", "2", changed)
	require.Equal(t, commander.ExitConflict, code)
	require.Contains(t, failures, "services/s is at revision 3 now")
	f.succeed("apply", "--expect", "3", changed)
}

// Guards against a change that is reported as failed or made twice because the answer was lost.
func TestApplyLostAnswer(t *testing.T) {
	f := newFixture(t)
	f.succeed("apply", f.file(`{"services": [{"name": "t"}]}`))
	f.network.lose = 1
	require.Contains(t, f.succeed("apply", "--expect", "1", f.file(`{"services": [{"name": "s"}]}`)), "services/s applied at revision 2")
	require.EqualValues(t, 2, f.store.Snapshot().Revision)
	f.network.lose, f.network.method = 10, http.MethodDelete
	code, _, failures := f.run("apply", "--delete", "services/s")
	require.Equal(t, commander.ExitFailed, code)
	require.Contains(t, failures, "may have been accepted")
}

// Guards against an operator who cannot act because one entry is down.
func TestOtherEntry(t *testing.T) {
	f := newFixture(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	path := f.file(`{"services": [{"name": "s"}]}`)
	f.succeed("apply", "--entry", closed.Addr().String(), "--entry", "http://"+f.address+"/", path)
	code, _, failures := f.run("apply", "--entry", closed.Addr().String(), path)
	require.Equal(t, commander.ExitFailed, code)
	require.Contains(t, failures, "nothing was changed")
}

// Guards against a drain that loses other fields, and against one that fails because of a concurrent change.
func TestDrainAndReturn(t *testing.T) {
	f := newFixture(t)
	f.succeed("apply", examples+"resources.hujson")
	f.writer.race = func() {
		change := messenger.Change{
			Revision: 35, Kind: "failureDomains", Name: "ke-central-a", Value: []byte(`{"name":"ke-central-a","region":"moved"}`),
		}
		_, err := f.store.Adopt(messenger.Changes{Revision: 35, Changes: []messenger.Change{change}})
		require.NoError(t, err)
	}
	require.Contains(t, f.succeed("drain", "failureDomain", "ke-central-a"), "failureDomains/ke-central-a is out at revision 36")
	d := f.store.Snapshot().FailureDomains["ke-central-a"]
	require.Equal(t, declarer.FailureDomain{Name: "ke-central-a", Region: "moved", State: declarer.DomainOut}, d)
	require.Contains(t, f.succeed("return", "failureDomain", "ke-central-a"), "is in at revision 37")

	before := f.store.Snapshot().Upstreams["ke-a-runner-01"]
	require.Contains(t, f.succeed("drain", "upstream", "ke-a-runner-01"), "is leaving")
	require.Equal(t, declarer.UpstreamLeaving, f.store.Snapshot().Upstreams["ke-a-runner-01"].State)
	require.Contains(t, f.succeed("return", "upstream", "ke-a-runner-01"), "is active")
	require.Equal(t, before, f.store.Snapshot().Upstreams["ke-a-runner-01"])
	for _, args := range [][]string{{"drain", "upstream", "absent"}, {"drain", "customer", "c"}} {
		code, _, failures := f.run(args...)
		require.Equal(t, commander.ExitFailed, code)
		require.NotEmpty(t, failures)
	}
}

// Guards against a watch that prints nothing until it ends or misses changes.
func TestWatch(t *testing.T) {
	f := newFixture(t)
	f.succeed("apply", f.file(`{"services": [{"name": "s"}]}`))
	ctx, cancel := context.WithCancel(t.Context())
	reader, writer := io.Pipe()
	d := f.dep
	d.Output, d.Errors = writer, io.Discard
	done := make(chan int, 1)
	go func() { done <- commander.Run(ctx, d, []string{"watch", "services"}) }()
	buffer := make([]byte, 4096)
	n, err := reader.Read(buffer)
	require.NoError(t, err)
	require.Contains(t, string(buffer[:n]), `"type":"put","revision":1,"kind":"services","name":"s"`)
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	cancel()
	require.Equal(t, commander.ExitOK, <-done)

	code, _, failures := f.run("watch", "nodes")
	require.Equal(t, commander.ExitFailed, code)
	require.Contains(t, failures, "use one of")
}

// Guards against a status that hides unreachable nodes, and against lost reasons.
func TestStatusAndExplain(t *testing.T) {
	f := newFixture(t)
	output := f.succeed("status")
	require.Contains(t, output, "unreachable: a1")
	require.Contains(t, output, "lagging: none")
	require.Regexp(t, `a1 +agent .* gone .* 7 .* silent for 30 s`, output)
	require.Contains(t, f.succeed("status", "--json"), `"unreachable": [`)

	id := identifier.NewRequest()
	code, _, failures := f.run("explain", id.String())
	require.Equal(t, commander.ExitFailed, code)
	require.Contains(t, failures, "ask the other entries")
	f.log.Decide(logger.Decision{Event: logger.EventRouted, Request: id, Choice: "u1", Reason: "held prefix"})
	require.Contains(t, f.succeed("explain", "--entry", "127.0.0.1:1", "--entry", f.address, id.String()), "u1 because held prefix")
}

// Guards against a check that stops at the first file or accepts faults.
func TestCheck(t *testing.T) {
	f := newFixture(t)
	require.Equal(t, "3 files are valid\n", f.succeed(
		"check", "--entries", examples+"entries.hujson", "--agents", examples+"agents.hujson", examples+"resources.hujson"))
	code, _, failures := f.run(
		"check", "--entry-settings", f.file(`{}`), "--agent-settings", f.file(`{"node": 1}`),
		f.file(`{"upstreams": [{"name": "u"}]}`), f.file(`{"rooms": []}`))
	require.Equal(t, commander.ExitFailed, code)
	for _, want := range []string{"field callers", "field upstreamURL", "field upstreams[0].address", "field rooms"} {
		require.Contains(t, failures, want)
	}
	code, _, _ = f.run("check")
	require.Equal(t, commander.ExitFailed, code)
}

// Guards against commands of the main program that are not called with what the command line says.
func TestLocalCommands(t *testing.T) {
	f := newFixture(t)
	entries, err := loader.LoadEntries(examples + "entries.hujson")
	require.NoError(t, err)
	agents, err := loader.LoadAgents(examples + "agents.hujson")
	require.NoError(t, err)
	var keygen commander.KeygenRequest
	f.dep.RunEntry = func(_ context.Context, e loader.Entry) error {
		require.Equal(t, entries[0], e)
		return errors.New("the entry failed")
	}
	f.dep.RunAgent = func(_ context.Context, a loader.Agent) error {
		require.Equal(t, agents[0], a)
		return nil
	}
	f.dep.Keygen = func(_ context.Context, r commander.KeygenRequest) error {
		keygen = r
		return nil
	}
	code, _, failures := f.run("entry", "--settings", f.file(string(loader.EncodeEntry(entries[0]))))
	require.Equal(t, commander.ExitFailed, code)
	require.Equal(t, "the entry failed\n", failures)
	f.succeed("agent", "--settings", f.file(string(loader.EncodeAgent(agents[0]))))
	f.succeed("keygen", "--out", "k", "--node", "e1:entry", "--node", "a1:agent")
	require.Equal(t, commander.KeygenRequest{Directory: "k", Nodes: []commander.KeygenNode{
		{Name: "e1", Role: identifier.RoleEntry}, {Name: "a1", Role: identifier.RoleAgent},
	}}, keygen)
	code, _, _ = f.run("keygen", "--node", "operator:o1")
	require.Equal(t, commander.ExitFailed, code)
}

// Guards against help without examples, and against a wrong exit code for a wrong command line.
func TestUsage(t *testing.T) {
	f := newFixture(t)
	help := f.succeed("--help")
	for _, name := range strings.Fields("entry agent apply get watch drain return status explain check keygen") {
		require.Contains(t, help, "  "+name+" ")
		require.Contains(t, f.succeed(name, "--help"), "currantledge "+name+" ")
	}
	for _, args := range [][]string{{}, {"absent"}, {"entry"}, {"get"}, {"status", "--absent"}} {
		code, _, failures := f.run(args...)
		require.Equal(t, commander.ExitUsage, code, args)
		require.Contains(t, failures, "--help")
	}
}

// Guards against a command that goes on without credentials or repeats the key in an error.
func TestKey(t *testing.T) {
	f := newFixture(t)
	f.dep.Getenv = func(string) string { return "" }
	code, _, failures := f.run("status", "--entry", f.address)
	require.Equal(t, commander.ExitFailed, code)
	require.Contains(t, failures, "no operator key is given")
	code, _, failures = f.run("status", "--entry", f.address, "--key-file", f.file("wrong-key"))
	require.Equal(t, commander.ExitFailed, code)
	require.Contains(t, failures, "Authorization: Bearer KEY")
	require.NotContains(t, failures, "wrong-key")
	f.succeed("status", "--entry", f.address, "--key-file", f.file(operatorKey+"\n"))
}
