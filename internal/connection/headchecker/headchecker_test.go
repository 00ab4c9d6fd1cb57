package headchecker_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/headchecker"
)

// Guards against a shifted bound of the valid statuses.
func TestStatuses(t *testing.T) {
	t.Parallel()
	for status := -1; status <= 1000; status++ {
		final := headchecker.CheckFinal(status) == nil
		require.Equal(t, status >= 200 && status <= 599, final, status)
		require.Equal(t, status >= 100 && status <= 199 && status != 101, headchecker.IsInformational(status), status)
	}
	require.True(t, errors.Is(headchecker.CheckFinal(0), headchecker.ErrInvalidStatus))
}

// Guards against a valid response that is rejected, and against a connection that is not reused after one.
func TestValidResponsesKeepTheConnection(t *testing.T) {
	t.Parallel()
	address, u := serve(t, "HTTP/1.1 103 X\r\n\r\n"+sound, "HTTP/1.1 599 X\r\nContent-Length: 0\r\n\r\n", sound)
	transport := headchecker.NewTransport(&http.Transport{})
	client := &http.Client{Transport: transport}
	for _, status := range []int{200, 599, 200} {
		got, err := client.Get("http://" + address)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, got.Body)
		require.NoError(t, got.Body.Close())
		require.Equal(t, status, got.StatusCode)
	}
	client.CloseIdleConnections()
	require.Equal(t, 3, <-u.ended)
}

// Guards against a concurrent request that gets a connection between an invalid status and its check, and takes the bytes
// after it for its response, and against requests that wait for each other's connections forever.
func TestConcurrentRequestsGetNoBytesAfterAnInvalidStatus(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "101", "600"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			invalid := fmt.Sprintf("HTTP/1.1 %s X\r\nContent-Length: 0\r\n\r\n%s", status, forged)
			address, _ := serve(t, sound, sound, invalid, forged)
			client := &http.Client{Transport: headchecker.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4})}
			var complete, failed, wrong atomic.Int64
			var all sync.WaitGroup
			for range 4 {
				all.Go(func() {
					for range 300 {
						got, err := client.Post("http://"+address, "text/plain", http.NoBody)
						if err != nil {
							failed.Add(1)
							continue
						}
						body, _ := io.ReadAll(got.Body)
						_ = got.Body.Close()
						if string(body) == "{}" {
							complete.Add(1)
						} else {
							wrong.Add(1)
						}
					}
				})
			}
			all.Wait()
			require.Zero(t, wrong.Load())
			require.Positive(t, failed.Load())
			require.Positive(t, complete.Load())
		})
	}
}
