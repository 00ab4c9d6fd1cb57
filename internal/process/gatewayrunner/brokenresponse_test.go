package gatewayrunner_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rawResponder responds to a request on a connection, which is closed afterwards. It gets the lines of the head that make a
// response valid: the id of the request and the signature.
type rawResponder func(c *net.TCPConn, valid string)

// rawUpstreams are two upstreams that read the heads of requests only. The requests get, in the order of their arrival, the
// given responses; those after the last get the last one.
type rawUpstreams struct {
	mu         sync.Mutex
	responders []rawResponder
	requests   int
}

// respond replaces the responses and forgets the requests that have arrived.
func (u *rawUpstreams) respond(responders ...rawResponder) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.responders, u.requests = responders, 0
}

func (u *rawUpstreams) received() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.requests
}

func (u *rawUpstreams) next() rawResponder {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests++
	return u.responders[min(u.requests, len(u.responders))-1]
}

// listen starts one of the upstreams and returns its address.
func (u *rawUpstreams) listen(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

func (u *rawUpstreams) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	u.next()(c, fmt.Sprintf("Request-Id: %s\r\nRunner-Stamp: s\r\n", q.Header.Get("Request-Id")))
}

// startBeforeRawUpstreams starts a gateway with a route for requests that run once, one for requests that may be repeated
// and one for streams that may not be resumed.
func startBeforeRawUpstreams(t *testing.T, host string, port int) (*gateway, *rawUpstreams) {
	t.Helper()
	d, u := newDeployment(t), &rawUpstreams{}
	for _, id := range []string{"i-1", "i-2"} {
		d.store.Put("servers", id, fmt.Sprintf(`{"service":"s","address":"%s","zone":"a","slots":1000,"state":"ready"}`, u.listen(t)))
	}
	var routes []string
	for _, kind := range []string{"non_idempotent", "idempotent", "streaming"} {
		routes = append(routes, fmt.Sprintf(`{"name":"%s","host":"h.example","prefix":"/%s/","kind":"%s","timeoutMs":20000,"sloMs":10000,`+
			`"service":"s","attempts":2}`, kind, kind, kind))
	}
	d.store.Put("op", "config", fmt.Sprintf(`{"version":1,"routes":[%s],"services":[{"name":"s"}],"limits":{"maxBodyBytes":%d},`+
		`"tenants":[{"name":"t","apiKeys":["k"]}]}`, strings.Join(routes, ","), 2*len(longUpload)))
	g := d.start(t, host, port, "", d.storeAddress)
	require.Eventually(t, func() bool { return g.isReady(t) }, timeout, 10*time.Millisecond)
	return g, u
}

// longUpload does not fit the buffers of a connection, so that it is still being written while the upstream does not read.
var longUpload = bytes.Repeat([]byte("x"), 8<<20)

// uploaded is the response to an upload. err is set if it did not arrive completely.
type uploaded struct {
	code int
	body string
	err  error
}

// upload sends a request of a kind, again if the gateway could not connect to an upstream, as exchangeOnceReachable does.
func (g *gateway) upload(t *testing.T, kind, id string, body []byte) uploaded {
	t.Helper()
	return g.uploadAndWatch(t, kind, id, body, func() {})
}

// uploadAndWatch is upload that calls begun once the head of a 200 has arrived.
func (g *gateway) uploadAndWatch(t *testing.T, kind, id string, body []byte, begun func()) uploaded {
	t.Helper()
	const maxTries = 20
	var got uploaded
	for try := range maxTries {
		name := fmt.Sprintf("%s.%d", id, try)
		got = g.uploadOnce(t, kind, name, body, begun)
		if got.code != http.StatusServiceUnavailable || !g.logsUnreachable(name) {
			break
		}
	}
	return got
}

func (g *gateway) uploadOnce(t *testing.T, kind, id string, body []byte, begun func()) uploaded {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+g.clientAddress+"/"+kind+"/", bytes.NewReader(body))
	require.NoError(t, err)
	q.Host = "h.example"
	q.Header.Set("Request-Id", id)
	q.Header.Set("Credential", "k")
	q.Header.Set("Deadline-Ms", "20000")
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return uploaded{err: err}
	}
	defer r.Body.Close()
	if r.StatusCode == http.StatusOK {
		begun()
	}
	got, err := io.ReadAll(r.Body)
	return uploaded{code: r.StatusCode, body: string(got), err: err}
}

// soundResponse responds completely and closes the connection.
func soundResponse(c *net.TCPConn, valid string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+valid+"Connection: close\r\nContent-Length: 4\r\n\r\nfine")
	endGently(c)
}

// endGently closes the connection so that the response arrives although the request was not read.
func endGently(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// reset closes the connection with a reset. What was written has arrived by then.
func reset(c *net.TCPConn) {
	time.Sleep(10 * time.Millisecond)
	_ = c.SetLinger(0)
	_ = c.Close()
}

// resetResponse returns a responder that begins a response without a length and resets the connection.
func resetResponse(part string) rawResponder {
	return func(c *net.TCPConn, valid string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+valid+"\r\n"+part)
		reset(c)
	}
}

// resets is how often a response is reset. A reset reaches the reader or the writer of a connection.
const resets = 8

// Guards against a client that gets the beginning of a response as the whole, since the upstream has reset the connection
// while the gateway was still writing the request.
func TestResponseThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	g, u := startBeforeRawUpstreams(t, "127.0.0.44", 17367)
	large := strings.Repeat("y", 1<<20)
	for i := range resets {
		u.respond(resetResponse("part"), soundResponse)
		got := g.upload(t, "non_idempotent", fmt.Sprint("once-", i), longUpload)
		require.NoError(t, got.err)
		require.Equal(t, http.StatusBadGateway, got.code, got.body)
		require.Equal(t, 1, u.received(), "the request may have run")

		// A reset drops what has not arrived, so it has to wait until the gateway has begun its response.
		begun := make(chan struct{})
		u.respond(func(c *net.TCPConn, valid string) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+valid+"\r\n"+large)
			select {
			case <-begun:
			case <-time.After(timeout):
			}
			reset(c)
		})
		got = g.uploadAndWatch(t, "non_idempotent", fmt.Sprint("large-", i), longUpload, func() { close(begun) })
		require.Equal(t, http.StatusOK, got.code)
		require.Error(t, got.err)

		u.respond(resetResponse("id: 1\ndata: a\n\n"))
		got = g.upload(t, "streaming", fmt.Sprint("stream-", i), longUpload)
		require.Error(t, got.err, "status %d, body %q", got.code, got.body)
	}
	u.respond(resetResponse("part"), soundResponse)
	require.Equal(t, uploaded{code: http.StatusOK, body: "fine"}, g.upload(t, "idempotent", "again", longUpload))
	require.Equal(t, 2, u.received())
}

// Guards against a sound response that is lost because its upstream has not read the request to its end.
func TestEarlyResponseIsDelivered(t *testing.T) {
	g, u := startBeforeRawUpstreams(t, "127.0.0.45", 17368)
	const head = "HTTP/1.1 200 OK\r\n"
	for name, respond := range map[string]rawResponder{
		"no length": func(c *net.TCPConn, valid string) {
			_, _ = io.WriteString(c, head+valid+"\r\nfine")
			endGently(c)
		},
		"no length, late": func(c *net.TCPConn, valid string) {
			_, _ = io.WriteString(c, head+valid+"\r\nfi")
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(c, "ne")
			endGently(c)
		},
		"no length, reset after its end": func(c *net.TCPConn, valid string) {
			_, _ = io.WriteString(c, head+valid+"\r\nfine")
			_ = c.CloseWrite()
			reset(c)
		},
		"no length, reset at its end": func(c *net.TCPConn, valid string) {
			_, _ = io.WriteString(c, head+valid+"\r\nfine")
			_ = c.CloseWrite()
			_ = c.SetLinger(0)
		},
		"length": soundResponse,
		"length, reset after its end": func(c *net.TCPConn, valid string) {
			_, _ = io.WriteString(c, head+valid+"Content-Length: 4\r\n\r\nfine")
			reset(c)
		},
		"chunks, reset after its end": func(c *net.TCPConn, valid string) {
			_, _ = io.WriteString(c, head+valid+"Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n")
			reset(c)
		},
		"the upload is read": func(c *net.TCPConn, valid string) {
			_, _ = io.CopyN(io.Discard, c, int64(len(longUpload)/2))
			_, _ = io.WriteString(c, head+valid+"\r\nfine")
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		},
	} {
		t.Run(name, func(t *testing.T) {
			u.respond(respond)
			for i := range resets {
				got := g.upload(t, "non_idempotent", fmt.Sprint(name, i), longUpload)
				require.Equal(t, uploaded{code: http.StatusOK, body: "fine"}, got)
			}
		})
	}
}

// requireBroken requires that a client does not get a response of an upstream as its own.
func requireBroken(t *testing.T, g *gateway, u *rawUpstreams, respond rawResponder) {
	t.Helper()
	u.respond(respond, soundResponse)
	got := g.upload(t, "non_idempotent", "once", nil)
	require.NoError(t, got.err)
	require.Equal(t, http.StatusBadGateway, got.code, got.body)
	require.NotContains(t, got.body, "forged")
	require.Equal(t, 1, u.received(), "the request may have run")
}

// Guards against a client that gets a response with a status of 000, or the bytes after it.
func TestResponseWithStatus000IsBroken(t *testing.T) {
	g, u := startBeforeRawUpstreams(t, "127.0.0.46", 17369)
	for name, form := range map[string]string{
		"length":    "HTTP/1.1 000 X\r\n%sContent-Length: 6\r\n\r\nforged",
		"no length": "HTTP/1.1 000 X\r\n%s\r\nforged",
		"no reason": "HTTP/1.1 000\r\n%s\r\nforged",
		"chunks":    "HTTP/1.1 000 X\r\n%sTransfer-Encoding: chunked\r\n\r\n6\r\nforged\r\n0\r\n\r\n",
		"response":  "HTTP/1.1 000 X\r\n%[1]s\r\nHTTP/1.1 200 OK\r\n%[1]sContent-Length: 6\r\n\r\nforged",
	} {
		t.Run(name, func(t *testing.T) {
			requireBroken(t, g, u, func(c *net.TCPConn, valid string) {
				_, _ = fmt.Fprintf(c, form, valid)
				endGently(c)
			})
		})
	}
}

// Guards against a client that gets a response whose head has a field with an invalid name: that line, or a body that does
// not end where the upstream meant it to end.
func TestResponseWithInvalidFieldNameIsBroken(t *testing.T) {
	g, u := startBeforeRawUpstreams(t, "127.0.0.47", 17370)
	for _, lines := range []string{
		"Odd Name: x\r\n", "Odd : x\r\n", " Odd: x\r\n", "\tOdd: x\r\n", "Odd\t: x\r\n", "Odd\tName: x\r\n", ": x\r\n",
		"Odd\x00Name: x\r\n", "Odd\x01: x\r\n", "\x1fOdd: x\r\n", "Odd\x7fName: x\r\n", "Odd\rName: x\r\n", "Odd\vName: x\r\n",
		"Content-Length : 6\r\n", "Content Length: 6\r\n", "Content-Length\x00: 6\r\n", " Content-Length: 6\r\n",
		"Transfer-Encoding : chunked\r\n", " Transfer-Encoding: chunked\r\n",
	} {
		for place, form := range map[string]string{
			"last, no length":  "HTTP/1.1 200 OK\r\n%[1]s%[2]s\r\n6\r\nforged\r\n0\r\n\r\n",
			"first, no length": "HTTP/1.1 200 OK\r\n%[2]s%[1]s\r\n6\r\nforged\r\n0\r\n\r\n",
			"last, length":     "HTTP/1.1 200 OK\r\n%[1]sContent-Length: 6\r\n%[2]s\r\nforged",
			"informational":    "HTTP/1.1 103 X\r\nA: b\r\n%[2]s\r\nHTTP/1.1 200 OK\r\n%[1]sContent-Length: 6\r\n\r\nforged",
		} {
			t.Run(fmt.Sprintf("%q, %s", lines, place), func(t *testing.T) {
				requireBroken(t, g, u, func(c *net.TCPConn, valid string) {
					_, _ = fmt.Fprintf(c, form, valid, lines)
					endGently(c)
				})
			})
		}
	}
}
