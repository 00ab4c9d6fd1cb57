package resetdetector_test

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/resetdetector"
)

// arrival is far above the time that packets take on loopback.
const arrival = 10 * time.Millisecond

// pair returns both ends of a connection.
func pair(t *testing.T) (*resetdetector.Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	raw, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	peer, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = peer.Close() })
	return resetdetector.New(raw), peer.(*net.TCPConn)
}

// startWriting writes until that fails, and sends the error.
func startWriting(c *resetdetector.Conn) <-chan error {
	ended := make(chan error, 1)
	go func() {
		block := make([]byte, 1<<20)
		for {
			if _, err := c.WriteBuffers(&net.Buffers{block[:10], block}); err != nil {
				ended <- err
				return
			}
		}
	}()
	return ended
}

// Guards against a reset that looks like the end of the stream, since a concurrent write has received its error.
func TestResetIsNotTheEndOfTheStream(t *testing.T) {
	t.Parallel()
	writes := 0
	for range 50 {
		c, peer := pair(t)
		writeErr := startWriting(c)
		_, err := io.WriteString(peer, "part")
		require.NoError(t, err)
		time.Sleep(arrival)
		require.NoError(t, peer.SetLinger(0))
		require.NoError(t, peer.Close())
		got, err := io.ReadAll(c)
		require.ErrorIs(t, err, syscall.ECONNRESET)
		require.Equal(t, "part", string(got))
		_, err = c.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET, "a further read")
		if errors.Is(<-writeErr, syscall.ECONNRESET) {
			writes++
		}
	}
	require.Positive(t, writes, "the error reached only readers")
}

// writeAll sends a message and closes the side of its sender.
func writeAll(t *testing.T, peer *net.TCPConn) {
	t.Helper()
	_, err := io.WriteString(peer, "all")
	require.NoError(t, err)
	require.NoError(t, peer.CloseWrite())
}

// Guards against a reader that waits for a write to a peer that no longer reads.
func TestEndOfTheStreamEndsTheWrite(t *testing.T) {
	t.Parallel()
	for range 20 {
		c, peer := pair(t)
		writeErr := startWriting(c)
		writeAll(t, peer)
		got, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Equal(t, "all", string(got))
		select {
		case err := <-writeErr:
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		case <-time.After(5 * time.Second):
			require.Fail(t, "the write does not end")
		}
	}
}

// Guards against a stream that counts as broken since a reset follows its end.
func TestResetAfterTheEndOfTheStreamIsNoFailure(t *testing.T) {
	t.Parallel()
	for range 20 {
		c, peer := pair(t)
		writeErr := startWriting(c)
		writeAll(t, peer)
		require.NoError(t, peer.SetLinger(0))
		require.NoError(t, peer.Close())
		require.ErrorIs(t, <-writeErr, syscall.EPIPE)
		got, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Equal(t, "all", string(got))
	}
}

// Guards against a socket that cannot be inspected because it is wrapped.
func TestSocketIsAccessible(t *testing.T) {
	t.Parallel()
	c, _ := pair(t)
	_, err := c.SyscallConn()
	require.NoError(t, err)
	piped, _ := net.Pipe()
	_, err = resetdetector.New(piped).SyscallConn()
	require.Error(t, err)
}
