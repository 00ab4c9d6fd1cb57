package platformserver_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/storer"
	"currantledge.example/currantledge/internal/standin/platformserver"
)

// start runs a platform stand-in for the duration of the test and returns a client of it and its base URL.
func start(t *testing.T, cfg platformserver.Config) (*storer.Client, string) {
	t.Helper()
	cfg.Address = "127.0.0.1:0"
	server, err := platformserver.New(cfg)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(ctx) }()
	base := "http://" + server.Address()
	client := storer.New(storer.Config{BaseURL: base})
	t.Cleanup(func() {
		client.Close()
		cancel()
		require.NoError(t, <-stopped)
	})
	return client, base
}

// post sends a body as JSON and requires status 204.
func post(t *testing.T, url, body string) {
	t.Helper()
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusNoContent, response.StatusCode)
}

// put writes row "a" without a condition.
func put(t *testing.T, client *storer.Client, value string) error {
	t.Helper()
	_, err := client.Transact(t.Context(), nil, []storer.Write{{Key: "a", Value: []byte(value)}})
	return err
}

// Guards against a stand-in that does not produce the configured stale reads, which would hide clients that rely on
// reads being current.
func TestStaleReads(t *testing.T) {
	t.Parallel()
	client, base := start(t, platformserver.Config{})
	require.NoError(t, put(t, client, "old"))
	beforeSecondWrite := time.Now()
	require.NoError(t, put(t, client, "new"))
	post(t, base+"/fault", `{"staleProbability":1,"staleMillis":3600000}`)
	rows, err := client.Get(t.Context(), "a")
	require.NoError(t, err)
	require.Empty(t, rows)

	// At first the second write is younger than the age of the stale state, so that a read does not return it.
	post(t, base+"/fault", `{"staleProbability":1,"staleMillis":100}`)
	require.Eventually(t, func() bool {
		rows, err := client.Get(t.Context(), "a")
		require.NoError(t, err)
		return len(rows) == 1 && string(rows[0].Value) == "new"
	}, 5*time.Second, time.Millisecond)
	require.GreaterOrEqual(t, time.Since(beforeSecondWrite), 100*time.Millisecond)

	// Conditions are checked against the present state.
	_, err = client.Transact(t.Context(), []storer.Condition{{Key: "a"}}, nil)
	var conflict *storer.ConflictError
	require.ErrorAs(t, err, &conflict)
}

// Guards against lost responses that are not reproducible from the seed.
func TestLostResponsesFollowSeed(t *testing.T) {
	t.Parallel()
	var runs []string
	for range 2 {
		client, base := start(t, platformserver.Config{})
		post(t, base+"/fault", `{"loseProbability":0.5,"seed":7}`)
		var results strings.Builder
		for range 12 {
			if put(t, client, "x") == nil {
				results.WriteByte('.')
			} else {
				results.WriteByte('x')
			}
		}
		runs = append(runs, results.String())
	}
	require.Equal(t, runs[0], runs[1])
	require.Contains(t, runs[0], ".")
	require.Contains(t, runs[0], "x")
}

// Guards against a VM list that shows the present state although a lag is configured.
func TestListLags(t *testing.T) {
	t.Parallel()
	client, base := start(t, platformserver.Config{ListLag: time.Hour})
	post(t, base+"/vms/v1/set", `{"vms":[{"name":"e1","address":"127.0.0.1:1","failureDomain":"d1","state":"leaving"}]}`)
	vms, asOf, err := client.VMs(t.Context())
	require.NoError(t, err)
	require.Empty(t, vms)
	require.Less(t, asOf, time.Now().Add(-time.Minute))
	post(t, base+"/fault", `{"listLagMillis":0}`)
	vms, _, err = client.VMs(t.Context())
	require.NoError(t, err)
	require.Equal(t, []storer.VM{{Name: "e1", Address: "127.0.0.1:1", FailureDomain: "d1", Leaving: true}}, vms)
}

// Guards against a weight store that is faster than its configured rate.
func TestWeightRate(t *testing.T) {
	t.Parallel()
	client, _ := start(t, platformserver.Config{WeightRate: 1 << 20})
	begin := time.Now()
	require.NoError(t, client.FetchWeights(t.Context(), 1<<18))
	require.GreaterOrEqual(t, time.Since(begin), 150*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	var unavailable *storer.UnavailableError
	require.ErrorAs(t, client.FetchWeights(ctx, 1<<30), &unavailable)
}

// Guards against a delay that is not applied, and against an outage that affects paths without the configured prefix.
func TestDelayAndPaths(t *testing.T) {
	t.Parallel()
	client, base := start(t, platformserver.Config{})
	post(t, base+"/fault", `{"delayMillis":80}`)
	begin := time.Now()
	require.NoError(t, put(t, client, "x"))
	require.GreaterOrEqual(t, time.Since(begin), 80*time.Millisecond)
	post(t, base+"/fault", `{"outage":"refuse","pathPrefix":"/objects"}`)
	require.NoError(t, put(t, client, "x"))
	require.Error(t, client.PutObject(t.Context(), "o", nil))
}

// Guards against a record that misses reads or writes, which would falsify measurements of the load on the platform.
func TestRecord(t *testing.T) {
	t.Parallel()
	client, base := start(t, platformserver.Config{})
	require.NoError(t, put(t, client, "1"))
	_, err := client.Transact(t.Context(), []storer.Condition{{Key: "a"}}, nil)
	require.Error(t, err)
	_, err = client.Get(t.Context(), "a")
	require.NoError(t, err)
	_, err = client.Scan(t.Context(), "", "", 0)
	require.NoError(t, err)
	response, err := http.Get(base + "/record")
	require.NoError(t, err)
	defer response.Body.Close()
	var got platformserver.Counts
	require.NoError(t, json.NewDecoder(response.Body).Decode(&got))
	require.Equal(t, platformserver.Counts{Writes: 1, RowsWritten: 1, Conflicts: 1, Reads: 2}, got)
}
