package relayer_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/relayer"
	"currantledge.example/currantledge/internal/version/replicator"
)

const table replicator.Table = "t"

// Guards against a gateway that never catches up with a large table because one response cannot hold it.
func TestLargeTableIsPulledInPages(t *testing.T) {
	t.Parallel()
	source := replicator.New(replicator.Config{})
	var rows []replicator.Row
	for i := range 200 {
		rows = append(rows, replicator.Row{Key: fmt.Sprint("k", 1000-i), Value: bytes.Repeat([]byte("x"), 60<<10), Version: uint64(i/2 + 1)})
	}
	source.Merge(time.Now(), table, rows, false)
	server := httptest.NewServer(relayer.Handler(source))
	t.Cleanup(server.Close)
	target := replicator.New(replicator.Config{})
	puller := relayer.New()
	for target.Version(table) < source.Version(table) {
		got, err := puller.Pull(t.Context(), strings.TrimPrefix(server.URL, "http://"), table, target.Version(table))
		require.NoError(t, err)
		require.NotEmpty(t, got.List)
		size := 0
		for _, change := range got.List[:len(got.List)-2] {
			size += len(change.Row.Value)
		}
		require.LessOrEqual(t, size, 512<<10, "a page that a slow VM delivers in time")
		target.MergeChanges(time.Now(), table, got, false)
	}
	require.Equal(t, source.Rows(table), target.Rows(table))
}

// Guards against a peer whose response has no end.
func TestEndlessResponseOfAPeerIsCut(t *testing.T) {
	t.Parallel()
	for name, beginning := range map[string]string{"head": "HTTP/1.1 200 OK\r\n", "body": "HTTP/1.1 200 OK\r\n\r\n"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		written := make(chan int, 1)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			_, _ = c.Write([]byte(beginning))
			total := 0
			for total < 256<<20 {
				n, err := c.Write(bytes.Repeat([]byte("A: b\r\n"), 4096))
				total += n
				if err != nil {
					break
				}
			}
			written <- total
		}()
		_, err = relayer.New().Pull(t.Context(), l.Addr().String(), table, 0)
		require.Error(t, err, name)
		require.Less(t, <-written, 32<<20, name)
	}
}
