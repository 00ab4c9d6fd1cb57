package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// rawResponse sends a response whose text holds %s in place of the request's id.
func rawResponse(text string) responder {
	return func(c net.Conn, q *http.Request, _ string) {
		_, _ = io.WriteString(c, strings.Replace(text, "%s", q.Header.Get("Id"), 1))
	}
}

// Guards against an error or another response that the client finds within its stream when the stream is resumed, or that
// ends the stream as if it were complete.
func TestResponseToAResumedAttemptIsNotWrittenIntoTheStream(t *testing.T) {
	t.Parallel()
	head := func(status int, fields string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nId: %%s\r\nStamp: s\r\n%s\r\n", status, fields)
	}
	tests := map[string]string{
		"204":           head(204, ""),
		"206":           head(206, "Content-Length: 16\r\n") + "id: 4\ndata: x\n\n\n",
		"301":           head(301, "Location: /x\r\nContent-Length: 5\r\n") + "moved",
		"400":           head(400, "Content-Length: 5\r\n") + "wrong",
		"404":           head(404, "Content-Length: 5\r\n") + "wrong",
		"404 unframed":  head(404, "") + "wrong",
		"404 large":     head(404, "Content-Length: 9000000\r\n") + strings.Repeat("wrong", 1800000),
		"500":           head(500, "Content-Length: 5\r\n") + "wrong",
		"empty":         head(200, "Content-Length: 0\r\n"),
		"unframed":      head(200, "") + "id: 4\ndata: x\n\n",
		"other content": head(200, "Content-Type: text/plain\r\nContent-Length: 5\r\n") + "wrong",
		"text":          head(200, "Content-Length: 5\r\n") + "wrong",
		"half a head":   "HTTP/1.1 200 X\r\nId: %s\r\nSta",
	}
	expected := ""
	for i := 1; i <= 3; i++ {
		expected += fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
	}
	for name, response := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, streamEvents(1, 3, false), rawResponse(response))
			status, header, body, err := f.send(t, "/stream/", nil)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, "s1", header.Get("Stamp"))
			require.Error(t, err, "the stream must not look complete")
			require.Equal(t, expected, body)
			require.Len(t, f.receivedRequests(), 2)
		})
	}
}

// Guards against a large error response that breaks and is continued with the events of another upstream.
func TestLargeErrorResponseThatBreaksIsNotResumed(t *testing.T) {
	t.Parallel()
	response := "HTTP/1.1 404 X\r\nId: %s\r\nStamp: s\r\nContent-Length: 9000000\r\n\r\n" + strings.Repeat("wrong", 1700000)
	f := newFixture(t, rawResponse(response), streamEvents(1, 3, true))
	status, _, body, err := f.send(t, "/stream/", nil)
	require.Equal(t, http.StatusNotFound, status)
	require.Error(t, err)
	require.NotContains(t, body, "e1")
	require.Len(t, f.receivedRequests(), 1)
}
