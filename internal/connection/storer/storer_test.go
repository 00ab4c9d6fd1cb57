package storer_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/storer"
	"currantledge.example/currantledge/internal/standin/platformserver"
)

const callTimeout = 300 * time.Millisecond

// start runs a platform stand-in and returns a client of it and its base URL.
func start(t *testing.T) (*storer.Client, string) {
	t.Helper()
	server, err := platformserver.New(platformserver.Config{Address: "127.0.0.1:0"})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(ctx) }()
	base := "http://" + server.Address()
	client := storer.New(storer.Config{BaseURL: base, Timeout: callTimeout})
	t.Cleanup(func() {
		client.Close()
		cancel()
		require.NoError(t, <-stopped)
	})
	return client, base
}

// post sends a body as JSON and requires status 204.
func post(t *testing.T, url string, body any) {
	t.Helper()
	raw, err := json.Marshal(body)
	require.NoError(t, err)
	response, err := http.Post(url, "application/json", bytes.NewReader(raw))
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusNoContent, response.StatusCode)
}

func put(key, value string) []storer.Write {
	return []storer.Write{{Key: key, Value: []byte(value)}}
}

// Guards against a compare-and-set that succeeds on a row that changed since it was read.
func TestTransactChecksVersions(t *testing.T) {
	t.Parallel()
	client, _ := start(t)
	ctx := t.Context()
	versions, err := client.Transact(ctx, []storer.Condition{{Key: "a"}}, put("a", "1"))
	require.NoError(t, err)

	_, err = client.Transact(ctx, []storer.Condition{{Key: "a"}}, put("a", "2"))
	var conflict *storer.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, []storer.Row{{Key: "a", Version: versions["a"], Value: []byte("1")}}, conflict.Rows)

	_, err = client.Transact(ctx, []storer.Condition{{Key: "a", Version: versions["a"]}}, put("b", "3"))
	require.NoError(t, err)
	rows, err := client.Get(ctx, "a", "absent", "b")
	require.NoError(t, err)
	require.Len(t, rows, 2)
}

// Guards against a row that gets an earlier version again after it was deleted, so that the conditional write of a
// client that read the deleted row would succeed.
func TestVersionsAreNotReused(t *testing.T) {
	t.Parallel()
	client, _ := start(t)
	ctx := t.Context()
	first, err := client.Transact(ctx, nil, put("a", "1"))
	require.NoError(t, err)
	_, err = client.Transact(ctx, nil, []storer.Write{{Key: "a", Delete: true}})
	require.NoError(t, err)
	second, err := client.Transact(ctx, []storer.Condition{{Key: "a"}}, put("a", "1"))
	require.NoError(t, err)
	require.Greater(t, second["a"], first["a"])
}

// Guards against a scan that skips or repeats rows between pages.
func TestScanPages(t *testing.T) {
	t.Parallel()
	client, _ := start(t)
	ctx := t.Context()
	for _, key := range []string{"p/3", "p/1", "q/1", "p/2"} {
		_, err := client.Transact(ctx, nil, put(key, key))
		require.NoError(t, err)
	}
	var keys []string
	after := ""
	for {
		rows, err := client.Scan(ctx, "p/", after, 2)
		require.NoError(t, err)
		if len(rows) == 0 {
			break
		}
		for _, r := range rows {
			keys = append(keys, r.Key)
		}
		after = rows[len(rows)-1].Key
	}
	require.Equal(t, []string{"p/1", "p/2", "p/3"}, keys)
}

// Guards against a lost response that is taken for a write without effect.
func TestLostResponseMayHaveApplied(t *testing.T) {
	t.Parallel()
	client, base := start(t)
	post(t, base+"/fault", map[string]any{"loseAnswers": 1})
	_, err := client.Transact(t.Context(), []storer.Condition{{Key: "a"}}, put("a", "1"))
	var unavailable *storer.UnavailableError
	require.ErrorAs(t, err, &unavailable)
	require.True(t, unavailable.MayHaveApplied)

	rows, err := client.Get(t.Context(), "a")
	require.NoError(t, err)
	require.Len(t, rows, 1)
}

// Guards against a refused write that is reported as possibly applied, and against a call that hangs when the platform
// does not respond.
func TestOutage(t *testing.T) {
	t.Parallel()
	cases := []struct {
		outage         string
		mayHaveApplied bool
	}{
		{"refuse", false},
		{"hang", true},
	}
	for _, c := range cases {
		t.Run(c.outage, func(t *testing.T) {
			t.Parallel()
			client, base := start(t)
			post(t, base+"/fault", map[string]any{"outage": c.outage})
			_, err := client.Transact(t.Context(), nil, put("a", "1"))
			var unavailable *storer.UnavailableError
			require.ErrorAs(t, err, &unavailable)
			require.Equal(t, c.mayHaveApplied, unavailable.MayHaveApplied)
			_, err = client.Get(t.Context(), "a")
			require.ErrorAs(t, err, &unavailable)
			require.False(t, unavailable.MayHaveApplied)

			post(t, base+"/fault", map[string]any{})
			rows, err := client.Get(t.Context(), "a")
			require.NoError(t, err)
			require.Empty(t, rows)
		})
	}
}

// Guards against a write that is reported as possibly applied although no connection existed.
func TestRefusedConnection(t *testing.T) {
	t.Parallel()
	client := storer.New(storer.Config{BaseURL: "http://127.0.0.1:1", Timeout: callTimeout})
	_, err := client.Transact(t.Context(), nil, put("a", "1"))
	var unavailable *storer.UnavailableError
	require.ErrorAs(t, err, &unavailable)
	require.False(t, unavailable.MayHaveApplied)
}

// Guards against object keys whose slashes and spaces are not escaped, and against a missing object that is not reported
// as NotFoundError.
func TestObjects(t *testing.T) {
	t.Parallel()
	client, _ := start(t)
	ctx := t.Context()
	require.NoError(t, client.PutObject(ctx, "claims/a b/ü", []byte{0, 1, 2}))
	value, err := client.Object(ctx, "claims/a b/ü")
	require.NoError(t, err)
	require.Equal(t, []byte{0, 1, 2}, value)
	_, err = client.Object(ctx, "claims/a b")
	var missing *storer.NotFoundError
	require.ErrorAs(t, err, &missing)
}
