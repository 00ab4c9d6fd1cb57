package interposer_test

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"currantledge.example/currantledge/internal/prover/interposer"
)

const (
	testSeed = 7
	// arrivalTimeout is the longest wait for data that must arrive.
	arrivalTimeout = 5 * time.Second
	// absenceWait is how long a test waits to detect data that must not arrive.
	absenceWait = 100 * time.Millisecond
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// arrivedMessage is a message that the target received, and its source address.
type arrivedMessage struct {
	payload string
	from    string
}

// startTarget runs an echo server and returns its address and a channel of the messages that it receives.
func startTarget(t *testing.T, network interposer.Network) (string, <-chan arrivedMessage) {
	t.Helper()
	arrivals := make(chan arrivedMessage, 4096)
	if network == interposer.UDP {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		go echoDatagrams(conn, arrivals)
		return conn.LocalAddr().String(), arrivals
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go echoConnections(listener, arrivals)
	return listener.Addr().String(), arrivals
}

func echoDatagrams(conn net.PacketConn, arrivals chan<- arrivedMessage) {
	buffer := make([]byte, 2048)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		arrivals <- arrivedMessage{payload: string(buffer[:n]), from: from.String()}
		_, _ = conn.WriteTo(buffer[:n], from)
	}
}

func echoConnections(listener net.Listener, arrivals chan<- arrivedMessage) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			buffer := make([]byte, 2048)
			for {
				n, err := conn.Read(buffer)
				if err != nil {
					return
				}
				arrivals <- arrivedMessage{payload: string(buffer[:n]), from: conn.RemoteAddr().String()}
				_, _ = conn.Write(buffer[:n])
			}
		}()
	}
}

func startProxy(t *testing.T, network interposer.Network, target string) *interposer.Proxy {
	t.Helper()
	proxy, err := interposer.New(interposer.Config{Network: network, Target: target, Seed: testSeed})
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	return proxy
}

func dial(t *testing.T, network interposer.Network, address, source string) net.Conn {
	t.Helper()
	dialer := net.Dialer{}
	if source != "" && network == interposer.UDP {
		dialer.LocalAddr = &net.UDPAddr{IP: net.ParseIP(source)}
	}
	if source != "" && network == interposer.TCP {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	conn, err := dialer.Dial(string(network), address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

func send(t *testing.T, conn net.Conn, payload string) {
	t.Helper()
	_, err := conn.Write([]byte(payload))
	require.NoError(t, err)
}

func receive(t *testing.T, conn net.Conn) string {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(arrivalTimeout)))
	buffer := make([]byte, 2048)
	n, err := conn.Read(buffer)
	require.NoError(t, err)
	return string(buffer[:n])
}

func requireNothingReceived(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(absenceWait)))
	n, err := conn.Read(make([]byte, 2048))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "received %d bytes", n)
}

func awaitArrival(t *testing.T, arrivals <-chan arrivedMessage) arrivedMessage {
	t.Helper()
	select {
	case r := <-arrivals:
		return r
	case <-time.After(arrivalTimeout):
		require.Fail(t, "nothing arrived at the target")
		return arrivedMessage{}
	}
}

func requireNoArrival(t *testing.T, arrivals <-chan arrivedMessage) {
	t.Helper()
	select {
	case r := <-arrivals:
		require.Fail(t, "unexpected arrival at the target", "%q", r.payload)
	case <-time.After(absenceWait):
	}
}

// forEachNetwork runs a test with each transport protocol.
func forEachNetwork(t *testing.T, test func(t *testing.T, network interposer.Network)) {
	for _, network := range []interposer.Network{interposer.UDP, interposer.TCP} {
		t.Run(string(network), func(t *testing.T) { test(t, network) })
	}
}

// Guards against a proxy that changes data when no fault is set.
func TestForwardsUnchanged(t *testing.T) {
	forEachNetwork(t, func(t *testing.T, network interposer.Network) {
		target, arrivals := startTarget(t, network)
		proxy := startProxy(t, network, target)
		conn := dial(t, network, proxy.Address(), "")
		for _, payload := range []string{"a", "bb", "ccc"} {
			send(t, conn, payload)
			require.Equal(t, payload, awaitArrival(t, arrivals).payload)
			require.Equal(t, payload, receive(t, conn))
		}
		require.Equal(t, 1, proxy.Flows())
	})
}

// Guards against cuts that let data through, that act in the wrong direction, or that Heal does not end.
func TestCutStopsTraffic(t *testing.T) {
	cases := []struct {
		name    string
		faults  interposer.Faults
		arrives bool
	}{
		{"both directions", interposer.Cut(), false},
		{"to the target", interposer.Faults{CutToTarget: true}, false},
		{"to the client", interposer.Faults{CutToClient: true}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			forEachNetwork(t, func(t *testing.T, network interposer.Network) {
				target, arrivals := startTarget(t, network)
				proxy := startProxy(t, network, target)
				conn := dial(t, network, proxy.Address(), "")
				send(t, conn, "before")
				require.Equal(t, "before", receive(t, conn))
				awaitArrival(t, arrivals)

				proxy.Set(c.faults)
				send(t, conn, "during")
				if c.arrives {
					require.Equal(t, "during", awaitArrival(t, arrivals).payload)
				} else {
					requireNoArrival(t, arrivals)
				}
				requireNothingReceived(t, conn)

				proxy.Heal()
				if network == interposer.UDP {
					send(t, conn, "after")
					require.Equal(t, "after", receive(t, conn))
					return
				}
				// TCP delivers the bytes that were buffered during the cut.
				require.Equal(t, "during", receive(t, conn))
			})
		})
	}
}

// Guards against a connection that is established although one direction is cut.
func TestCutDelaysNewConnections(t *testing.T) {
	target, arrivals := startTarget(t, interposer.TCP)
	proxy := startProxy(t, interposer.TCP, target)
	proxy.Set(interposer.Faults{CutToClient: true})
	conn := dial(t, interposer.TCP, proxy.Address(), "")
	send(t, conn, "delayed")
	requireNoArrival(t, arrivals)
	proxy.Heal()
	require.Equal(t, "delayed", receive(t, conn))
}

// Guards against a partition between two processes that also affects a third process.
func TestFaultsApplyToOneSource(t *testing.T) {
	forEachNetwork(t, func(t *testing.T, network interposer.Network) {
		target, _ := startTarget(t, network)
		proxy := startProxy(t, network, target)
		cut := dial(t, network, proxy.Address(), "127.0.0.2")
		connected := dial(t, network, proxy.Address(), "127.0.0.3")
		proxy.SetSource(netip.MustParseAddr("127.0.0.2"), interposer.Cut())
		send(t, cut, "cut")
		send(t, connected, "connected")
		require.Equal(t, "connected", receive(t, connected))
		requireNothingReceived(t, cut)
	})
}

// Guards against a delay that is applied in one direction only, or that changes the order.
func TestDelayKeepsOrder(t *testing.T) {
	const delay = 60 * time.Millisecond
	forEachNetwork(t, func(t *testing.T, network interposer.Network) {
		target, arrivals := startTarget(t, network)
		proxy := startProxy(t, network, target)
		conn := dial(t, network, proxy.Address(), "")
		proxy.Set(interposer.Faults{Delay: delay})
		start := time.Now()
		send(t, conn, "1")
		require.Equal(t, "1", receive(t, conn))
		require.GreaterOrEqual(t, time.Since(start), 2*delay)
		awaitArrival(t, arrivals)

		for _, payload := range []string{"2", "3", "4"} {
			send(t, conn, payload)
		}
		var got string
		for len(got) < 3 {
			got += awaitArrival(t, arrivals).payload
		}
		require.Equal(t, "234", got)
	})
}

// Guards against reordering that loses datagrams or has no effect.
func TestReorderSwapsDatagrams(t *testing.T) {
	target, arrivals := startTarget(t, interposer.UDP)
	proxy := startProxy(t, interposer.UDP, target)
	conn := dial(t, interposer.UDP, proxy.Address(), "")
	proxy.Set(interposer.Faults{Reorder: 1})
	send(t, conn, "1")
	send(t, conn, "2")
	require.Equal(t, "2", awaitArrival(t, arrivals).payload)
	require.Equal(t, "1", awaitArrival(t, arrivals).payload)
	send(t, conn, "last")
	require.Equal(t, "last", awaitArrival(t, arrivals).payload, "a reordered datagram arrives although none follows it")
}

// Guards against loss that differs between runs with the same seed, so that a failure could not be reproduced.
func TestLossIsRepeatable(t *testing.T) {
	const sent = 200
	run := func() []uint32 {
		target, arrivals := startTarget(t, interposer.UDP)
		proxy := startProxy(t, interposer.UDP, target)
		conn := dial(t, interposer.UDP, proxy.Address(), "")
		// The echoes are cut, since they would only add load.
		proxy.Set(interposer.Faults{Loss: 0.25, CutToClient: true})
		for i := range sent {
			send(t, conn, string(binary.BigEndian.AppendUint32(nil, uint32(i))))
		}
		// Markers are sent until one arrives. By then every earlier datagram has arrived or is lost.
		var got []uint32
		for {
			send(t, conn, "marker")
			select {
			case r := <-arrivals:
				if r.payload == "marker" {
					return got
				}
				got = append(got, binary.BigEndian.Uint32([]byte(r.payload)))
			case <-time.After(time.Millisecond):
			}
		}
	}
	first := run()
	require.InDelta(t, 0.75*sent, len(first), 0.1*sent)
	require.Equal(t, first, run())
}

// Guards against lost TCP segments that never arrive.
func TestLossDelaysSegments(t *testing.T) {
	target, _ := startTarget(t, interposer.TCP)
	proxy := startProxy(t, interposer.TCP, target)
	conn := dial(t, interposer.TCP, proxy.Address(), "")
	proxy.Set(interposer.Faults{Loss: 1})
	start := time.Now()
	send(t, conn, "late")
	require.Equal(t, "late", receive(t, conn))
	require.GreaterOrEqual(t, time.Since(start), 2*interposer.RetransmissionDelay)
}

// Guards against Silence that also affects new flows, or that Heal ends.
func TestSilenceStopsExistingFlowsOnly(t *testing.T) {
	forEachNetwork(t, func(t *testing.T, network interposer.Network) {
		target, arrivals := startTarget(t, network)
		proxy := startProxy(t, network, target)
		existing := dial(t, network, proxy.Address(), "")
		send(t, existing, "before")
		require.Equal(t, "before", receive(t, existing))
		awaitArrival(t, arrivals)

		proxy.Silence()
		proxy.Silence()
		proxy.Heal()
		send(t, existing, "silent")
		requireNoArrival(t, arrivals)
		requireNothingReceived(t, existing)

		newConn := dial(t, network, proxy.Address(), "")
		send(t, newConn, "new")
		require.Equal(t, "new", receive(t, newConn))
	})
}

// Guards against a reset that does not reach the client, or that affects later connections.
func TestResetClosesConnections(t *testing.T) {
	target, _ := startTarget(t, interposer.TCP)
	proxy := startProxy(t, interposer.TCP, target)
	conn := dial(t, interposer.TCP, proxy.Address(), "")
	send(t, conn, "before")
	require.Equal(t, "before", receive(t, conn))
	proxy.Reset()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(arrivalTimeout)))
	_, err := conn.Read(make([]byte, 1))
	require.True(t, errors.Is(err, syscall.ECONNRESET), "%v", err)

	again := dial(t, interposer.TCP, proxy.Address(), "")
	send(t, again, "again")
	require.Equal(t, "again", receive(t, again))
}

// Guards against a reset that keeps the source address of a flow, so that address changes would remain untested.
func TestResetChangesDatagramSource(t *testing.T) {
	target, arrivals := startTarget(t, interposer.UDP)
	proxy := startProxy(t, interposer.UDP, target)
	conn := dial(t, interposer.UDP, proxy.Address(), "")
	send(t, conn, "before")
	before := awaitArrival(t, arrivals)
	require.Equal(t, "before", receive(t, conn))
	proxy.Reset()
	require.Zero(t, proxy.Flows())
	send(t, conn, "after")
	require.Equal(t, "after", receive(t, conn))
	require.NotEqual(t, before.from, awaitArrival(t, arrivals).from)
}

// Guards against a proxy that loses the end of a stream, so that complete responses would appear cut.
func TestStreamEndsInOrder(t *testing.T) {
	const size = 1 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Write(make([]byte, size))
		conn.Close()
	}()
	proxy := startProxy(t, interposer.TCP, listener.Addr().String())
	proxy.Set(interposer.Faults{Delay: 5 * time.Millisecond})
	conn := dial(t, interposer.TCP, proxy.Address(), "")
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(arrivalTimeout)))
	n, err := io.Copy(io.Discard, conn)
	require.NoError(t, err)
	require.EqualValues(t, size, n)
	require.Eventually(t, func() bool {
		conn.Close()
		return proxy.Flows() == 0
	}, arrivalTimeout, time.Millisecond)
}

// Guards against an invalid configuration that fails only when the first client connects.
func TestInvalidConfig(t *testing.T) {
	cases := map[string]interposer.Config{
		"network": {Network: "sctp", Target: "127.0.0.1:1"},
		"target":  {Network: interposer.UDP, Target: "somewhere"},
		"listen":  {Network: interposer.TCP, Target: "127.0.0.1:1", Listen: "nowhere"},
	}
	for field, cfg := range cases {
		_, err := interposer.New(cfg)
		require.ErrorContains(t, err, field)
	}
}
