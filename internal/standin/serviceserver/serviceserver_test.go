package serviceserver_test

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/standin/serviceserver"
	"currantledge.example/currantledge/internal/standin/simulator"
)

// start runs a service stand-in for the duration of the test and returns its base URL.
func start(t *testing.T, cfg serviceserver.Config) string {
	t.Helper()
	cfg.Simulator.Address = "127.0.0.1:0"
	server, err := serviceserver.New(cfg)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-stopped)
	})
	return "http://" + server.Address()
}

// timedPost sends a POST request and returns the body of the response and the duration of the call.
func timedPost(t *testing.T, url, body string) (string, time.Duration) {
	t.Helper()
	begin := time.Now()
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	require.NoError(t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(raw), time.Since(begin)
}

// Guards against a slow factor, a stall or a cold start that does not increase the latency.
func TestLatency(t *testing.T) {
	t.Parallel()
	base := start(t, serviceserver.Config{
		Latency: 10 * time.Millisecond, ColdFactor: 10, Simulator: simulator.Config{WarmAfter: 1},
	})
	got, cold := timedPost(t, base+"/a", "x")
	require.Equal(t, string(serviceserver.ResponseBody(http.MethodPost, "/a", []byte("x"))), got)
	require.GreaterOrEqual(t, cold, 100*time.Millisecond)
	timedPost(t, base+"/control", `{"slowFactor":20}`)
	_, slow := timedPost(t, base+"/a", "x")
	require.GreaterOrEqual(t, slow, 200*time.Millisecond)
	// The stall begins with the control request, some time before the call that it delays.
	stallStart := time.Now()
	timedPost(t, base+"/control", `{"slowFactor":1,"stallMillis":150}`)
	timedPost(t, base+"/a", "x")
	require.GreaterOrEqual(t, time.Since(stallStart), 150*time.Millisecond)
}

// Guards against a record that is lost when the process exits.
func TestRecordFile(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "record.json")
	server, err := serviceserver.New(serviceserver.Config{
		Simulator: simulator.Config{Address: "127.0.0.1:0", ExitOnCrash: true, RecordFile: file},
	})
	require.NoError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(context.Background()) }()
	timedPost(t, "http://"+server.Address()+"/paid", "x")
	timedPost(t, "http://"+server.Address()+"/control", `{"crash":true}`)
	require.ErrorIs(t, <-stopped, simulator.ErrExit)
	raw, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Contains(t, string(raw), `"/paid"`)
}
