package forwarder_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/request/budgeter"
)

// slowResponse responds after more than the time that a gateway waits before it sends a request to another upstream.
func slowResponse(c net.Conn, q *http.Request, body string) {
	time.Sleep(1200 * time.Millisecond)
	completeResponse(200, "slow")(c, q, body)
}

// Guards against a sound request that fails although its response is on the way: the gateway takes a late response for
// none, closes the connection, and has no retry left.
func TestLateResponseIsAwaitedWithoutARetry(t *testing.T) {
	t.Parallel()
	f := newFixtureWithBudget(t, nil, budgeter.Config{Window: 10 * time.Second}, slowResponse, completeResponse(200, "second"))
	status, _, body, err := f.send(t, "/again/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "slow", body)
}

// Guards against a late response that is not replaced while there are retries, against a retry that is counted twice, and
// against a log that tells a broken connection of what the gateway itself has closed.
func TestLateResponseIsReplacedByARetry(t *testing.T) {
	t.Parallel()
	f := newFixtureWithBudget(t, nil, budgeter.Config{Extra: 2, Window: 10 * time.Second}, slowResponse, completeResponse(200, "second"))
	status, _, body, err := f.send(t, "/again/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "second", body)
	require.Contains(t, f.log.String(), `"detail":"no response in time"`)
	require.NotContains(t, f.log.String(), "connection broke")
}
