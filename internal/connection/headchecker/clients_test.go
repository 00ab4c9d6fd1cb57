package headchecker_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/driver"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/connection/relayer"
	"currantledge.example/currantledge/internal/connection/storer"
	"currantledge.example/currantledge/internal/process/commander"
	"currantledge.example/currantledge/internal/version/mapswitcher"
	"currantledge.example/currantledge/platform"
)

// clients are the clients of the system except the requester, which has tests of its own. Each function creates a client
// and returns a function that sends one request.
func clients() map[string]func(address string) func(context.Context) error {
	return map[string]func(address string) func(context.Context) error{
		"store of gateways": func(address string) func(context.Context) error {
			c := platform.NewStore(address)
			return func(ctx context.Context) error {
				_, err := c.ReadRow(ctx, "t", "k")
				return err
			}
		},
		"engines": func(address string) func(context.Context) error {
			c := platform.NewEngines()
			return func(ctx context.Context) error {
				_, err := c.Report(ctx, mapswitcher.Member{Upstream: "u", Address: address})
				return err
			}
		},
		"orders to engines": func(address string) func(context.Context) error {
			c := platform.NewEngines()
			return func(ctx context.Context) error {
				_, err := c.Order(ctx, mapswitcher.Member{Upstream: "u", Address: address}, 1, mapswitcher.Release{})
				return err
			}
		},
		"peers": func(address string) func(context.Context) error {
			c := relayer.New()
			return func(ctx context.Context) error {
				_, err := c.Pull(ctx, address, "t", 0)
				return err
			}
		},
		"store of entries": func(address string) func(context.Context) error {
			c := storer.New(storer.Config{BaseURL: "http://" + address})
			return func(ctx context.Context) error {
				_, err := c.Get(ctx, "k")
				return err
			}
		},
		"reports of services": func(address string) func(context.Context) error {
			c := driver.NewService(driver.Config{BaseURL: "http://" + address})
			return func(ctx context.Context) error {
				_, err := c.Report(ctx)
				return err
			}
		},
		"calls of services": func(address string) func(context.Context) error {
			c := driver.NewService(driver.Config{BaseURL: "http://" + address})
			return func(ctx context.Context) error {
				head := func(status int, _ []messenger.Header) error { return errors.Newf("got status %d", status) }
				err := c.Call(ctx, driver.Call{Method: http.MethodPost, Path: "/"}, head, func([]byte) error { return nil })
				var broken *driver.BrokenError
				if !errors.As(err, &broken) {
					return nil
				}
				return err
			}
		},
		"operators": func(address string) func(context.Context) error {
			return func(ctx context.Context) error {
				environment := map[string]string{"CURRANTLEDGE_ENTRY": address, "CURRANTLEDGE_KEY": "k"}
				code := commander.Run(ctx, commander.Dependencies{
					Output: io.Discard, ErrorOutput: io.Discard, Getenv: func(name string) string { return environment[name] },
				}, []string{"get", "services"})
				if code != commander.ExitOK {
					return errors.Newf("exit code %d", code)
				}
				return nil
			}
		},
	}
}

// upstream serves the requests on each connection with the given responses in order, and keeps connections open.
type upstream struct {
	// ended receives, for each connection, the number of requests that arrived on it, once its client has closed it.
	ended chan int
}

func serve(t *testing.T, responses ...string) (string, *upstream) {
	t.Helper()
	u := &upstream{ended: make(chan int, 64)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serveConnection(c, responses)
		}
	}()
	return l.Addr().String(), u
}

func (u *upstream) serveConnection(c net.Conn, responses []string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for n := 0; ; n++ {
		q, err := http.ReadRequest(reader)
		if err == nil {
			_, err = io.Copy(io.Discard, q.Body)
		}
		if err != nil {
			u.ended <- n
			return
		}
		_, _ = io.WriteString(c, responses[min(n, len(responses)-1)])
	}
}

const (
	sound  = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	forged = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"
)

// Guards against a client that takes an invalid status for an answer, reuses the connection on which it arrived, or reads a
// response from the bytes after it.
func TestClientsRejectInvalidStatuses(t *testing.T) {
	t.Parallel()
	for name, newClient := range clients() {
		for _, status := range []string{"000", "099", "101", "600", "999"} {
			for form, rest := range map[string]string{
				"body":    fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(forged), forged),
				"no body": "Content-Length: 0\r\n\r\n",
				"forged":  "Content-Length: 0\r\n\r\n" + forged,
			} {
				invalid := "HTTP/1.1 " + status + " X\r\n" + rest
				t.Run(fmt.Sprintf("%s, %s, %s", name, status, form), func(t *testing.T) {
					t.Parallel()
					address, u := serve(t, invalid, forged)
					requireRejected(t, newClient(address), u, 1)
				})
				t.Run(fmt.Sprintf("%s, %s, %s, kept", name, status, form), func(t *testing.T) {
					t.Parallel()
					address, u := serve(t, sound, invalid, forged)
					send := newClient(address)
					_ = send(t.Context())
					if isClosed(u, time.Second/4) {
						return // The client keeps no connections.
					}
					requireRejected(t, send, u, 2)
				})
			}
		}
	}
}

// Guards against a client that takes a response for an answer although the head has a field with an invalid name, or reuses
// the connection on which it arrived.
func TestClientsRejectInvalidFieldNames(t *testing.T) {
	t.Parallel()
	for name, newClient := range clients() {
		for _, line := range []string{"Odd Name: x", "Odd : x", "Odd\x01: x"} {
			invalid := "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\n{}"
			t.Run(fmt.Sprintf("%s, %q", name, line), func(t *testing.T) {
				t.Parallel()
				address, u := serve(t, invalid)
				requireRejected(t, newClient(address), u, 1)
			})
			t.Run(fmt.Sprintf("%s, %q, kept", name, line), func(t *testing.T) {
				t.Parallel()
				address, u := serve(t, sound, invalid, sound)
				send := newClient(address)
				_ = send(t.Context())
				if isClosed(u, time.Second/4) {
					return // The client keeps no connections.
				}
				requireRejected(t, send, u, 2)
			})
		}
	}
}

// isClosed reports whether the client closes a connection within a time.
func isClosed(u *upstream, within time.Duration) bool {
	select {
	case <-u.ended:
		return true
	case <-time.After(within):
		return false
	}
}

// requireRejected requires that a request fails and that its connection, which is closed, carried the given number of
// requests, also if the next request follows at once.
func requireRejected(t *testing.T, send func(context.Context) error, u *upstream, requests int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.Error(t, send(ctx))
	next := make(chan struct{})
	go func() {
		defer close(next)
		_ = send(ctx)
	}()
	select {
	case n := <-u.ended:
		require.Equal(t, requests, n, "requests on the connection")
	case <-time.After(5 * time.Second):
		require.Fail(t, "the connection stays open")
	}
	<-next
}
