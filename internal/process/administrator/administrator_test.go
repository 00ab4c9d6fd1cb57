package administrator_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/administrator"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/version/configurer"
	"currantledge.example/currantledge/internal/version/declarer"
)

// The tests do not run in parallel, because logger.New sets a global variable of zerolog.

const operatorKey = "example-operator-key"

// fakeWriter adopts changes into the store directly, without a table. With err set, every write returns it.
type fakeWriter struct {
	mu    sync.Mutex
	store *configurer.Store
	err   error
}

func (w *fakeWriter) write(kind declarer.Kind, name string, value []byte, match configurer.Match) (identifier.Revision, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	snapshot := w.store.Snapshot()
	_, current, exists := snapshot.Resource(kind, name)
	switch {
	case w.err != nil:
		return 0, w.err
	case !match.Holds(current):
		return 0, &configurer.ConflictError{Kind: kind, Name: name, Current: current}
	case !exists && value == nil:
		return 0, &configurer.NotFoundError{Kind: kind, Name: name}
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

type fakeNodes []administrator.NodeStatus

func (f fakeNodes) Nodes() []administrator.NodeStatus { return f }

type fakeMaps struct{ err error }

func (f *fakeMaps) Maps(context.Context) ([]administrator.MapStatus, error) {
	return []administrator.MapStatus{{Group: "g", Version: 3, Leader: "a1", Document: []byte(`[[0,1]]`)}}, f.err
}

type fixture struct {
	t      *testing.T
	url    string
	store  *configurer.Store
	writer *fakeWriter
	maps   *fakeMaps
	log    *logger.Logger
	output *bytes.Buffer
	stop   func()
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	store := configurer.New()
	f := &fixture{
		t: t, url: "http://" + listener.Addr().String(), store: store, writer: &fakeWriter{store: store}, maps: &fakeMaps{},
		output: &bytes.Buffer{},
	}
	f.log = logger.New(logger.Config{Output: zerolog.SyncWriter(f.output), Node: "e1"})
	sum := sha256.Sum256([]byte(operatorKey))
	a, err := administrator.New(administrator.Config{
		Listener: listener, Node: "e1", KeyDigests: []identifier.Digest{identifier.Digest(hex.EncodeToString(sum[:]))},
		Store: f.store, Writer: f.writer, Maps: f.maps, Decisions: f.log, Log: f.log, KeepAlive: time.Minute,
		Nodes: fakeNodes{
			{Node: "e1", Role: identifier.RoleEntry, State: "live", Revision: 4},
			{Node: "a1", Role: identifier.RoleAgent, State: "silent", Reason: "no heartbeat", Revision: 2, Load: &messenger.Load{Running: 3}},
		},
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
	return f
}

// bufferedResponse is a response with its complete body.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// send sends a request with the operator key. The caller closes the response's body.
func (f *fixture) send(method, path, body string, headers ...string) *http.Response {
	f.t.Helper()
	request, err := http.NewRequestWithContext(f.t.Context(), method, f.url+path, strings.NewReader(body))
	require.NoError(f.t, err)
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(f.t, err)
	return response
}

func (f *fixture) do(method, path, body string, headers ...string) bufferedResponse {
	f.t.Helper()
	response := f.send(method, path, body, headers...)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return bufferedResponse{response.StatusCode, response.Header, content}
}

// expect checks the status of a response, and the required fields of a problem, and returns the decoded body.
func (f *fixture) expect(r bufferedResponse, status int) map[string]any {
	f.t.Helper()
	require.Equal(f.t, status, r.status, string(r.body))
	if len(r.body) == 0 {
		return nil
	}
	var value map[string]any
	require.NoError(f.t, json.Unmarshal(r.body, &value), string(r.body))
	if status >= http.StatusBadRequest {
		require.Equal(f.t, "application/problem+json", r.header.Get("Content-Type"))
		require.EqualValues(f.t, status, value["status"])
		require.NotEmpty(f.t, value["detail"])
		require.NotEmpty(f.t, value["remedy"])
	}
	return value
}

const domainJSON = `{"name": "d", /* comment */ "region": "r"}`

// Guards against a path of the operators' API that can be read or written without a known key.
func TestAuthentication(t *testing.T) {
	f := newFixture(t)
	for _, authorization := range []string{"", "Bearer", "Bearer ", "Bearer wrong", "Basic " + operatorKey, operatorKey} {
		for _, path := range []string{"/api/v1/status", "/api/v1/customers", "/debug/vars", "/absent", "/api/v1/customers?watch=true"} {
			response := f.do(http.MethodGet, path, "", "Authorization", authorization)
			f.expect(response, http.StatusUnauthorized)
			require.Equal(t, "Bearer", response.header.Get("WWW-Authenticate"))
		}
	}
	f.expect(f.do(http.MethodPut, "/api/v1/failureDomains/d", domainJSON, "Authorization", ""), http.StatusUnauthorized)
	require.Zero(t, f.store.Snapshot().Revision)
	f.expect(f.do(http.MethodGet, "/debug/vars", ""), http.StatusOK)
}

// Guards against operators that overwrite each other's changes, and against wrong revisions in responses.
func TestResources(t *testing.T) {
	f := newFixture(t)
	response := f.do(http.MethodPut, "/api/v1/failureDomains/d", domainJSON, "If-None-Match", "*")
	require.Equal(t, "in", f.expect(response, http.StatusOK)["state"])
	require.Equal(t, `"1"`, response.header.Get("ETag"))
	f.expect(f.do(http.MethodPut, "/api/v1/failureDomains/d", domainJSON, "If-None-Match", "*"), http.StatusPreconditionFailed)
	f.expect(f.do(http.MethodPut, "/api/v1/services/s", `{"name": "s"}`), http.StatusOK)

	outDomainJSON := strings.Replace(domainJSON, `"r"`, `"r", "state": "out"`, 1)
	response = f.do(http.MethodPut, "/api/v1/failureDomains/d", outDomainJSON, "If-Match", `"1"`)
	f.expect(response, http.StatusOK)
	require.Equal(t, "3", response.header.Get("Currantledge-Revision"))
	problem := f.expect(f.do(http.MethodPut, "/api/v1/failureDomains/d", domainJSON, "If-Match", `"1"`), http.StatusPreconditionFailed)
	require.EqualValues(t, 3, problem["currentRevision"])
	f.expect(f.do(http.MethodDelete, "/api/v1/failureDomains/d", "", "If-Match", `"1"`), http.StatusPreconditionFailed)

	response = f.do(http.MethodGet, "/api/v1/failureDomains/d", "")
	require.Equal(t, "out", f.expect(response, http.StatusOK)["state"])
	require.Equal(t, `"3"`, response.header.Get("ETag"))
	list := f.expect(f.do(http.MethodGet, "/api/v1/failureDomains", ""), http.StatusOK)
	require.EqualValues(t, 3, list["revision"])
	require.Len(t, list["items"], 1)
	f.expect(f.do(http.MethodDelete, "/api/v1/failureDomains/d", "", "If-Match", "*"), http.StatusNoContent)
	f.expect(f.do(http.MethodGet, "/api/v1/failureDomains/d", ""), http.StatusNotFound)
	f.expect(f.do(http.MethodDelete, "/api/v1/failureDomains/d", ""), http.StatusNotFound)
}

// Guards against invalid requests that are accepted, and against refusals without field, value and remedy.
func TestRefusals(t *testing.T) {
	f := newFixture(t)
	cases := []struct {
		method, path, body, header, value string
		status                            int
		field                             string
	}{
		{http.MethodPut, "/api/v1/failureDomains/d", `{"name": "d", "region": "r", "state": "off"}`, "", "", 422, "state"},
		{http.MethodPut, "/api/v1/failureDomains/e", domainJSON, "", "", 422, "name"},
		{http.MethodPut, "/api/v1/failureDomains/d", `{`, "", "", 422, ""},
		{http.MethodPut, "/api/v1/failureDomains/d", strings.Repeat(" ", 2<<20), "", "", 413, ""},
		{http.MethodPut, "/api/v1/failureDomains/d", domainJSON, "If-Match", "1", 400, "If-Match"},
		{http.MethodPut, "/api/v1/failureDomains/d", domainJSON, "If-Match", `"1", "2"`, 400, "If-Match"},
		{http.MethodPut, "/api/v1/failureDomains/d", domainJSON, "If-None-Match", `"1"`, 400, "If-None-Match"},
		{http.MethodGet, "/api/v1/failureDomains?watch=yes", "", "", "", 400, "watch"},
		{http.MethodGet, "/api/v1/failureDomains?watch=true&revision=x", "", "", "", 400, "revision"},
		{http.MethodGet, "/api/v1/rooms", "", "", "", 404, ""},
		{http.MethodPut, "/api/v1/nodes/e1", "{}", "", "", 405, ""},
		{http.MethodPost, "/api/v1/failureDomains/d", domainJSON, "", "", 405, ""},
		{http.MethodGet, "/api/v1/explain/x", "", "", "", 400, "request"},
		{http.MethodGet, "/api/v1/decisions?limit=0", "", "", "", 400, "limit"},
	}
	for _, c := range cases {
		var headers []string
		if c.header != "" {
			headers = []string{c.header, c.value}
		}
		problem := f.expect(f.do(c.method, c.path, c.body, headers...), c.status)
		if c.field != "" {
			require.Equal(t, c.field, problem["field"], c.path)
			require.NotEmpty(t, problem["value"])
		}
	}
	require.Zero(t, f.store.Snapshot().Revision)
}

// Guards against a write with an unknown outcome that is reported as not run, and the reverse.
func TestOutcomes(t *testing.T) {
	f := newFixture(t)
	for outcome, c := range map[string]struct {
		err    error
		status int
	}{
		"notRun":  {&configurer.UnavailableError{Cause: errors.New("down")}, http.StatusServiceUnavailable},
		"unknown": {&configurer.UnresolvedError{Kind: "services", Name: "s", Cause: errors.New("down")}, http.StatusGatewayTimeout},
	} {
		f.writer.mu.Lock()
		f.writer.err = c.err
		f.writer.mu.Unlock()
		problem := f.expect(f.do(http.MethodPut, "/api/v1/services/s", `{"name": "s"}`), c.status)
		require.Equal(t, outcome, problem["outcome"])
	}
}

type watchLine struct {
	Type     string
	Revision uint64
	Name     string
	Value    json.RawMessage
}

// Guards against a watch that misses a change, sends changes of other kinds, or blocks the shutdown of an entry.
func TestWatch(t *testing.T) {
	f := newFixture(t)
	f.expect(f.do(http.MethodPut, "/api/v1/failureDomains/d", domainJSON), http.StatusOK)
	response := f.send(http.MethodGet, "/api/v1/failureDomains?watch=true&revision=0", "")
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	next := func() watchLine {
		require.True(t, lines.Scan(), "%v", lines.Err())
		var l watchLine
		require.NoError(t, json.Unmarshal(lines.Bytes(), &l))
		l.Value = nil
		return l
	}
	require.Equal(t, watchLine{Type: "put", Revision: 1, Name: "d"}, next())
	require.Equal(t, watchLine{Type: "revision", Revision: 1}, next())
	f.expect(f.do(http.MethodPut, "/api/v1/services/s", `{"name": "s"}`), http.StatusOK)
	require.Equal(t, watchLine{Type: "revision", Revision: 2}, next())
	f.expect(f.do(http.MethodDelete, "/api/v1/failureDomains/d", ""), http.StatusNoContent)
	require.Equal(t, watchLine{Type: "delete", Revision: 3, Name: "d"}, next())
	require.Equal(t, watchLine{Type: "revision", Revision: 3}, next())
	f.stop()
	require.False(t, lines.Scan())
	require.NoError(t, lines.Err())
}

// Guards against a client that keeps deleted resources, because the change log no longer holds their deletions.
func TestWatchFull(t *testing.T) {
	f := newFixture(t)
	_, err := f.store.Adopt(messenger.Changes{Revision: 9, Full: true, Changes: []messenger.Change{
		{Revision: 7, Kind: "failureDomains", Name: "d", Value: []byte(`{"name":"d","region":"r"}`)},
		{Revision: 8, Kind: "services", Name: "s", Value: []byte(`{"name":"s"}`)},
	}})
	require.NoError(t, err)
	response := f.send(http.MethodGet, "/api/v1/failureDomains/d?watch=true&revision=3", "")
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for _, want := range []watchLine{{Type: "full", Revision: 9}, {Type: "put", Revision: 7, Name: "d"}, {Type: "revision", Revision: 9}} {
		require.True(t, lines.Scan())
		var got watchLine
		require.NoError(t, json.Unmarshal(lines.Bytes(), &got))
		got.Value = nil
		require.Equal(t, want, got)
	}
}

// Guards against a status without the nodes that lag or cannot be reached, and against decisions without their reasons.
func TestReports(t *testing.T) {
	f := newFixture(t)
	status := f.expect(f.do(http.MethodGet, "/api/v1/status", ""), http.StatusOK)
	require.Equal(t, []any{"a1"}, status["lagging"])
	require.Equal(t, []any{"a1"}, status["unreachable"])
	require.Len(t, f.expect(f.do(http.MethodGet, "/api/v1/nodes", ""), http.StatusOK)["items"], 2)
	require.Equal(t, "no heartbeat", f.expect(f.do(http.MethodGet, "/api/v1/nodes/a1", ""), http.StatusOK)["reason"])
	f.expect(f.do(http.MethodGet, "/api/v1/nodes/absent", ""), http.StatusNotFound)
	require.EqualValues(t, 3, f.expect(f.do(http.MethodGet, "/api/v1/maps/g", ""), http.StatusOK)["version"])
	f.expect(f.do(http.MethodGet, "/api/v1/maps/absent", ""), http.StatusNotFound)
	require.Len(t, f.expect(f.do(http.MethodGet, "/api/v1/maps", ""), http.StatusOK)["items"], 1)

	id := identifier.NewRequest()
	f.expect(f.do(http.MethodGet, "/api/v1/explain/"+id.String(), ""), http.StatusNotFound)
	f.log.RecordDecision(logger.Decision{
		Event: logger.EventRouted, Request: id, Choice: "u1", Reason: "prefix", Fields: []logger.Field{{Name: "a", Value: "b"}},
	})
	items := f.expect(f.do(http.MethodGet, "/api/v1/explain/"+id.String(), ""), http.StatusOK)["items"].([]any)
	require.Len(t, items, 1)
	require.Equal(t, "prefix", items[0].(map[string]any)["reason"])
	require.Len(t, f.expect(f.do(http.MethodGet, "/api/v1/decisions?limit=5", ""), http.StatusOK)["items"], 1)
}

// Guards against names of customers and operator keys in the log.
func TestLogOmitsCustomerNamesAndKeys(t *testing.T) {
	f := newFixture(t)
	f.expect(f.do(http.MethodPut, "/api/v1/customers/rival", `{"name": "rival", "share": 1, "maxWaiting": 1}`), http.StatusOK)
	f.expect(f.do(http.MethodPut, "/api/v1/customers/rival", `{"name": "rival", "share": 1, "maxWaiting": 1}`, "If-Match", `"9"`), http.StatusPreconditionFailed)
	f.stop()
	require.Contains(t, f.output.String(), `"event":501`)
	require.NotContains(t, f.output.String(), "rival")
	require.NotContains(t, f.output.String(), operatorKey)
}
