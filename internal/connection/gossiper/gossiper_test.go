package gossiper_test

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/gossiper"
	"currantledge.example/currantledge/internal/process/identifier"
)

// freePort returns a UDP port that is free on all of 127.0.0.1 to 127.0.0.3.
func freePort(t *testing.T) int {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4zero})
	require.NoError(t, err)
	defer func() { require.NoError(t, c.Close()) }()
	return c.LocalAddr().(*net.UDPAddr).Port
}

func start(t *testing.T, host string, port int, seeds []string, running *atomic.Int64) (*gossiper.Gossiper, context.CancelFunc) {
	t.Helper()
	g, err := gossiper.New(gossiper.Config{
		Node:   identifier.Node("node-" + host),
		Listen: net.JoinHostPort(host, strconv.Itoa(port)),
		Seeds:  seeds,
		Tell: func(s *gossiper.State) {
			s.Running = map[identifier.Upstream]int{"u": int(running.Load())}
			s.Leading = true
		},
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = g.Run(ctx)
	}()
	stop := func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return g, stop
}

// second returns what a gateway knows of the one on 127.0.0.2.
func second(g *gossiper.Gossiper) (gossiper.Peer, bool) {
	for _, p := range g.Peers() {
		if p.Node == "node-127.0.0.2" {
			return p, true
		}
	}
	return gossiper.Peer{}, false
}

const wait = 5 * time.Second

// Guards against gateways that find only their seeds, and against counts that do not follow.
func TestGatewaysFindEachOther(t *testing.T) {
	t.Parallel()
	port := freePort(t)
	var running atomic.Int64
	running.Store(3)
	one, _ := start(t, "127.0.0.1", port, nil, &running)
	_, _ = start(t, "127.0.0.2", port, []string{"127.0.0.1"}, &running)
	three, _ := start(t, "127.0.0.3", port, []string{"127.0.0.1"}, &running)
	require.Eventually(t, func() bool { return len(one.Peers()) == 2 && len(three.Peers()) == 2 }, wait, 10*time.Millisecond)
	running.Store(5)
	require.Eventually(t, func() bool {
		p, found := second(three)
		return found && p.Running["u"] == 5 && p.Leading
	}, wait, 10*time.Millisecond)
}

// Guards against the counts of a dead gateway that keep slots taken, and against a restarted one that is ignored
// because its datagrams are numbered from one again.
func TestSilentAndRestartedPeers(t *testing.T) {
	t.Parallel()
	port := freePort(t)
	var running atomic.Int64
	one, _ := start(t, "127.0.0.1", port, nil, &running)
	_, stop := start(t, "127.0.0.2", port, []string{"127.0.0.1"}, &running)
	require.Eventually(t, func() bool { _, found := second(one); return found }, wait, 10*time.Millisecond)
	before, _ := second(one)
	stop()
	require.Eventually(t, func() bool { p, _ := second(one); return p.Silent }, wait, 10*time.Millisecond)
	_, _ = start(t, "127.0.0.2", port, []string{"127.0.0.1"}, &running)
	require.Eventually(t, func() bool {
		p, _ := second(one)
		return !p.Silent && p.Incarnation > before.Incarnation
	}, wait, 10*time.Millisecond)
}
