package gatewayrunner

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// maxPauseWait bounds the wait for the server's last call of Accept to end.
const maxPauseWait = 100 * time.Millisecond

// drainingListener is a listener that accepts all connections that clients have established before it closes. The kernel
// resets those that still wait to be accepted when the listener is closed, and their clients may have sent requests.
type drainingListener struct {
	*net.TCPListener
	// draining is set when Drain begins, and drained is closed when it has ended.
	draining atomic.Bool
	drained  chan struct{}
	// paused receives a value when Accept no longer uses the socket.
	paused chan struct{}
	// late holds the connections that Drain has accepted and Accept has not returned yet. Only Accept uses it once drained is
	// closed.
	late []net.Conn
}

func newDrainingListener(l *net.TCPListener) *drainingListener {
	return &drainingListener{TCPListener: l, paused: make(chan struct{}, 1), drained: make(chan struct{})}
}

// Accept returns the next connection. After Drain it returns those that Drain has accepted. It is not to be called
// concurrently.
func (l *drainingListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil || !l.draining.Load() {
		return c, err
	}
	select {
	case l.paused <- struct{}{}:
	default:
	}
	<-l.drained
	if len(l.late) == 0 {
		return nil, net.ErrClosed
	}
	c, l.late = l.late[0], l.late[1:]
	return c, nil
}

// Drain accepts all established connections and closes the listener. It is to be called once.
func (l *drainingListener) Drain() error {
	defer close(l.drained)
	l.draining.Store(true)
	// While Accept waits for a connection, the socket remains open after Close until Accept has returned.
	if err := l.SetDeadline(time.Unix(1, 0)); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "interrupt the listener"), l.Close())
	}
	select {
	case <-l.paused:
	case <-time.After(maxPauseWait):
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "get the socket of the listener"), l.Close())
	}
	var sockets []int
	err = raw.Control(func(fd uintptr) { sockets = acceptAll(int(fd)) })
	err = errors.CombineErrors(err, l.Close())
	for _, s := range sockets {
		c, errConn := newConnection(s)
		if errConn != nil {
			err = errors.CombineErrors(err, errConn)
			continue
		}
		l.late = append(l.late, c)
	}
	return errors.Wrap(err, "drain the listener")
}

// acceptAll accepts connections until no more are established.
func acceptAll(listener int) []int {
	var sockets []int
	for {
		s, _, err := unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
			sockets = append(sockets, s)
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
		default:
			return sockets
		}
	}
}

// newConnection returns the connection of an accepted socket.
func newConnection(socket int) (net.Conn, error) {
	file := os.NewFile(uintptr(socket), "client")
	c, err := net.FileConn(file)
	return c, errors.Wrap(errors.CombineErrors(err, file.Close()), "use an accepted socket")
}
