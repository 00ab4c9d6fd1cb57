package headchecker_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/driver"
	"currantledge.example/currantledge/internal/connection/relayer"
	"currantledge.example/currantledge/internal/connection/storer"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/mapswitcher"
	"currantledge.example/currantledge/internal/version/rebalancer"
	"currantledge.example/currantledge/platform"
)

// timeout bounds the requests of a test.
const timeout = 10 * time.Second

// serveResets responds to each request without a length as soon as its head has arrived, and resets the connection.
func serveResets(t *testing.T, response string) string {
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
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, response)
				time.Sleep(10 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a client that takes the beginning of a response for the whole, since the server has reset the connection,
// in most cases while a request was being written that does not fit the buffers of a connection.
func TestClientsRejectResetResponses(t *testing.T) {
	t.Parallel()
	const resets = 4
	large := make([]byte, 6<<20)
	// Numbers of 19 digits make orders as long as that.
	experts := slices.Repeat([]identifier.Expert{1e18}, len(large)/20)
	for name, c := range map[string]struct {
		response string
		send     func(ctx context.Context, address string) error
	}{
		"objects of entries": {"HTTP/1.1 200 OK\r\n\r\n", func(ctx context.Context, address string) error {
			return storer.New(storer.Config{BaseURL: "http://" + address, Timeout: timeout}).PutObject(ctx, "k", large)
		}},
		"rows of entries": {"HTTP/1.1 200 OK\r\n\r\n{}", func(ctx context.Context, address string) error {
			_, err := storer.New(storer.Config{BaseURL: "http://" + address, Timeout: timeout}).Get(ctx, "k")
			return err
		}},
		"writes of gateways": {"HTTP/1.1 200 OK\r\n\r\n{\"ver\":1}", func(ctx context.Context, address string) error {
			_, err := platform.NewStore(address).Put(ctx, "t", "k", large)
			return err
		}},
		"rows of gateways": {"HTTP/1.1 200 OK\r\n\r\n{}", func(ctx context.Context, address string) error {
			_, err := platform.NewStore(address).ReadRow(ctx, "t", "k")
			return err
		}},
		"peers": {"HTTP/1.1 200 OK\r\n\r\n\xa0", func(ctx context.Context, address string) error {
			_, err := relayer.New().Pull(ctx, address, "t", 0)
			return err
		}},
		"reports of engines": {"HTTP/1.1 200 OK\r\n\r\n{}", func(ctx context.Context, address string) error {
			_, err := platform.NewEngines().Report(ctx, mapswitcher.Member{Upstream: "u", Address: address})
			return err
		}},
		"orders to engines": {"HTTP/1.1 202 Accepted\r\n\r\n", func(ctx context.Context, address string) error {
			order := mapswitcher.Prepare{Version: 1, Layout: rebalancer.Layout{{experts}}}
			_, err := platform.NewEngines().Order(ctx, mapswitcher.Member{Upstream: "u", Address: address}, 1, order)
			return err
		}},
		"orders of agents": {"HTTP/1.1 200 OK\r\n\r\n", func(ctx context.Context, address string) error {
			order := driver.PrepareMap{Version: 1, Map: [][]identifier.Expert{experts}}
			return driver.NewEngine(driver.Config{BaseURL: "http://" + address}).Order(ctx, order)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			address := serveResets(t, c.response)
			for range resets {
				require.Error(t, c.send(ctx, address))
			}
			require.NoError(t, ctx.Err())
		})
	}
}
