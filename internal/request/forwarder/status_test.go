package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// invalidStatus returns a responder that sends a status that is neither final nor informational, with a body that looks
// like a response to the request.
func invalidStatus(status string) responder {
	return func(c net.Conn, q *http.Request, _ string) {
		forged := fmt.Sprintf("HTTP/1.1 200 X\r\nId: %s\r\nStamp: s\r\nContent-Length: 6\r\n\r\nforged", q.Header.Get("Id"))
		fmt.Fprintf(c, "HTTP/1.1 %s X\r\nId: %s\r\nStamp: s\r\nContent-Length: %d\r\n\r\n%s", status, q.Header.Get("Id"), len(forged), forged)
		_, _ = io.Copy(io.Discard, c)
	}
}

// Guards against a client that gets the body after an invalid status as its response, or that status itself, and against a
// request that may have run and is sent to a second upstream.
func TestInvalidStatusOfUpstreamIsABrokenResponse(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, invalidStatus(status), completeResponse(200, "fine"))
			got, header, body, err := f.send(t, "/once/", nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, got, body)
			require.NotContains(t, body, "forged")
			require.Empty(t, header.Get("Retry-After"))
			require.Len(t, f.receivedRequests(), 1)
			require.Contains(t, f.log.String(), "invalid status")
			require.Contains(t, f.log.String(), status)

			f = newFixture(t, invalidStatus(status), completeResponse(200, "fine"))
			got, _, body, err = f.send(t, "/again/", nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, got)
			require.Equal(t, "fine", body)
			require.Len(t, f.receivedRequests(), 2)
		})
	}
}

// Guards against a client that gets a response whose head has a field with an invalid name, and against such a request that
// may have run and is sent to a second upstream.
func TestInvalidFieldOfUpstreamIsABrokenResponse(t *testing.T) {
	t.Parallel()
	invalidField := func(c net.Conn, q *http.Request, _ string) {
		fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nStamp: s\r\nOdd Name: x\r\nContent-Length: 6\r\n\r\nforged", q.Header.Get("Id"))
	}
	f := newFixture(t, invalidField, completeResponse(200, "fine"))
	got, _, body, err := f.send(t, "/once/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, got, body)
	require.Len(t, f.receivedRequests(), 1)
	require.Contains(t, f.log.String(), "invalid field")

	f = newFixture(t, invalidField, completeResponse(200, "fine"))
	got, _, body, err = f.send(t, "/again/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, got)
	require.Equal(t, "fine", body)
	require.Len(t, f.receivedRequests(), 2)
}
