package verifier_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/launcher"
)

const deployTimeout = 90 * time.Second

// deploy starts a deployment and ends it with the test.
func deploy(t *testing.T, plan launcher.Plan) (context.Context, *launcher.Deployment) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), deployTimeout)
	t.Cleanup(cancel)
	l, err := launcher.New(launcher.Config{})
	require.NoError(t, err)
	t.Cleanup(l.Close)
	binaries, err := launcher.BuildBinaries(ctx, t.TempDir())
	require.NoError(t, err)
	d, err := launcher.Deploy(ctx, l, binaries, plan)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	return ctx, d
}

// complete sends a streamed completion and returns the body.
func complete(ctx context.Context, t *testing.T, e *launcher.Entry, key, model string) string {
	t.Helper()
	body := `{"model":"` + model + `","prompt":"hello tokens=5","stream":true}`
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.CallersURL()+"/v1/completions", strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, string(raw))
	return string(raw)
}

// Guards against a request that does not reach an upstream, or an answer that does not come back whole.
func TestRequestThroughAllProcesses(t *testing.T) {
	t.Parallel()
	plan := launcher.KeCentral()
	plan.Entries = 2
	plan.Groups[0].Ranks = 3
	ctx, d := deploy(t, plan)
	for _, e := range d.Entries {
		body := complete(ctx, t, e, plan.Customers[0].Key, plan.Groups[0].Model)
		require.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"))
		require.Equal(t, 5, strings.Count(body, `"finish_reason":null`))
	}
}
