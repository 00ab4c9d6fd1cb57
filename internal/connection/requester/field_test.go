package requester_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/headchecker"
	"currantledge.example/currantledge/internal/connection/requester"
)

// Guards against a response whose head has a field with an invalid name: the caller gets that field, or a body that does not
// end where the upstream meant it to end.
func TestInvalidFieldNameIsABrokenResponse(t *testing.T) {
	t.Parallel()
	for _, line := range []string{
		"Odd Name: x", "Odd : x", "Odd\t: x", "Odd\x00: x", "Odd\x7fName: x", ": x", " Odd: x", "\tOdd: x", " Content-Length: 6", "Content-Length : 6", "Transfer-Encoding : chunked",
	} {
		for place, form := range map[string]string{
			"only":          "HTTP/1.1 200 OK\r\n%s\r\n\r\n6\r\nforged\r\n0\r\n\r\n",
			"last":          "HTTP/1.1 200 OK\r\nA: b\r\n%s\r\n\r\n6\r\nforged\r\n0\r\n\r\n",
			"first":         "HTTP/1.1 200 OK\r\n%s\r\nContent-Length: 6\r\n\r\nforged",
			"informational": "HTTP/1.1 103 X\r\nA: b\r\n%s\r\n\r\n" + forged,
		} {
			t.Run(fmt.Sprintf("%q, %s", line, place), func(t *testing.T) {
				t.Parallel()
				ended := make(chan error, 1)
				address := serve(t, func(_ int, c net.Conn, q *bufio.Reader) {
					_ = readRequest(q)
					_, _ = fmt.Fprintf(c, form, line)
					_ = c.(*net.TCPConn).CloseWrite()
					_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
					_, err := q.ReadByte()
					ended <- err
				})
				body, err := get(t, requester.New(requester.Config{}), address, requester.Request{})
				require.Error(t, err, "read %q", body)
				require.False(t, errors.Is(err, requester.ErrNotSent), "the request may have run")
				var timeout net.Error
				require.False(t, errors.As(<-ended, &timeout) && timeout.Timeout(), "the connection stays open")
			})
		}
	}
}

// serveInParts responds with a text in two parts, and returns the address.
func serveInParts(t *testing.T, text string, first int) string {
	t.Helper()
	return serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_ = readRequest(r)
		_, _ = io.WriteString(c, text[:first])
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(c, text[first:])
	})
}

// Guards against a folded line that is not noticed since the head arrives in parts, and against bytes of a body that count as
// part of the head.
func TestFoldedLineIsNoticedInEachPartOfAHead(t *testing.T) {
	t.Parallel()
	const (
		folded = "HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\tc: d\r\nContent-Length: 2\r\n\r\nok"
		valid  = "HTTP/1.1 103 X\nA: b\n\nHTTP/1.1 200 OK\r\nA: \t b \r\nContent-Length: 7\r\n\r\n o\n k\r\n"
	)
	for first := range folded {
		t.Run(fmt.Sprint("folded, ", first), func(t *testing.T) {
			t.Parallel()
			_, err := get(t, requester.New(requester.Config{}), serveInParts(t, folded, first), requester.Request{})
			require.True(t, errors.Is(err, headchecker.ErrInvalidField), "%v", err)
		})
	}
	for first := range valid {
		t.Run(fmt.Sprint("valid, ", first), func(t *testing.T) {
			t.Parallel()
			body, err := get(t, requester.New(requester.Config{}), serveInParts(t, valid, first), requester.Request{})
			require.NoError(t, err)
			require.Equal(t, " o\n k\r\n", body)
		})
	}
}

// Guards against a valid field that counts as invalid.
func TestUnusualFieldsAreReturned(t *testing.T) {
	t.Parallel()
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_ = readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nx-lower: a: b\r\n!#$%&'*+.^_`|~9: \t c d\t \r\nEmpty:\r\nContent-Length: 2\r\n\r\nok")
	})
	got, err := requester.New(requester.Config{}).Do(t.Context(), requester.Request{Address: address, Method: "GET", Target: "/", Host: "h"})
	require.NoError(t, err)
	defer got.Close()
	require.Equal(t, "a: b", got.Header.Get("X-Lower"))
	require.Equal(t, "c d", got.Header.Get("!#$%&'*+.^_`|~9"))
	require.Contains(t, got.Header, "Empty")
	body, err := io.ReadAll(got.Body)
	require.NoError(t, err)
	require.Equal(t, "ok", string(body))
}
