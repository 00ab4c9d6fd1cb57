package forwarder_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// keptThen returns a responder that sends a complete response, keeps the connection open, and sends some bytes for the
// next request on it.
func keptThen(next string) responder {
	return func(c net.Conn, q *http.Request, body string) {
		completeResponse(http.StatusOK, "ok")(c, q, body)
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = fmt.Fprint(c, next)
		}
	}
}

// Guards against an earlier refusal that a faulty upstream writes once more on a kept connection, and that makes the client
// believe that its request was not run.
func TestRefusalWithoutIDOnAKeptConnectionIsNotBelieved(t *testing.T) {
	t.Parallel()
	for _, refusal := range []string{
		"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 X\r\nNot-Run: 1\r\nRetry-After: 1\r\nLoad: 4,2,4\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 400 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		f := newFixture(t, keptThen(refusal), keptThen(refusal), keptThen(refusal), keptThen(refusal))
		failed := false
		for range 6 {
			status, header, body, err := f.send(t, "/again/x", nil)
			require.NoError(t, err)
			require.NotEqual(t, http.StatusServiceUnavailable, status, "%q: %s", refusal, body)
			require.Empty(t, header.Get("Retry-After"))
			failed = failed || status == http.StatusBadGateway
		}
		require.True(t, failed, "a request met the refusal")
	}
}
