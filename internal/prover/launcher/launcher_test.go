package launcher_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/launcher"
)

const (
	// roleVariable makes the test binary act as the program that the launcher starts.
	roleVariable = "LAUNCHER_TEST_ROLE"
	patience     = 10 * time.Second
	absence      = 200 * time.Millisecond
)

func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case "":
		code := m.Run()
		if builtFolder != "" {
			_ = os.RemoveAll(builtFolder)
		}
		os.Exit(code)
	case "server":
		serve(os.Args[1])
	case "failing":
		fmt.Println("settings are wrong")
		os.Exit(3)
	case "deployment":
		actInDeployment(os.Args[1:])
	case "parent":
		startChildAndHang(os.Args[1])
	}
}

// serve answers /readyz and prints a line when it is asked to stop.
func serve(address string) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ready") }))
	}()
	fmt.Println("listening")
	<-stop
	fmt.Println("stopping")
}

// startChildAndHang starts a server and prints its process id.
func startChildAndHang(address string) {
	l, err := launcher.New(launcher.Config{Folder: os.Args[2]})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	p, err := l.Start(ctx, serverSpec(address))
	if err != nil {
		panic(err)
	}
	fmt.Println("child", p.PID())
	select {}
}

func serverSpec(address string) launcher.Spec {
	return launcher.Spec{
		Name:     "server",
		Path:     os.Args[0],
		Args:     []string{address},
		Env:      []string{roleVariable + "=server"},
		ReadyURL: "http://" + address + "/readyz",
	}
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	t.Cleanup(cancel)
	return ctx
}

func newLauncher(t *testing.T) *launcher.Launcher {
	t.Helper()
	l, err := launcher.New(launcher.Config{Folder: t.TempDir()})
	require.NoError(t, err)
	t.Cleanup(l.Close)
	return l
}

func newAddress(t *testing.T, l *launcher.Launcher) string {
	t.Helper()
	host, err := l.Host()
	require.NoError(t, err)
	address, err := l.Address(host)
	require.NoError(t, err)
	return address
}

func startServer(t *testing.T, l *launcher.Launcher) (*launcher.Process, string) {
	t.Helper()
	address := newAddress(t, l)
	p, err := l.Start(testContext(t), serverSpec(address))
	require.NoError(t, err)
	return p, address
}

func answers(address string, wait time.Duration) bool {
	client := &http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil
}

func exists(pid int) bool {
	return syscall.Kill(pid, 0) == nil
}

// Guards against a launcher that reports a process as ready too early, or that loses its log.
func TestStartWaitsUntilReady(t *testing.T) {
	l := newLauncher(t)
	p, address := startServer(t, l)
	require.True(t, answers(address, patience))
	require.Contains(t, p.Log(), "listening")
	require.Equal(t, []*launcher.Process{p}, l.Running())
}

// Guards against a wait for a process that has ended already, and against a failure without its reason.
func TestStartReportsAnEarlyEnd(t *testing.T) {
	l := newLauncher(t)
	spec := serverSpec(newAddress(t, l))
	spec.Env = []string{roleVariable + "=failing"}
	_, err := l.Start(testContext(t), spec)
	require.ErrorContains(t, err, "settings are wrong")
	require.Empty(t, l.Running())
}

// Guards against a process that is left running after it did not become ready.
func TestStartEndsAProcessThatIsNotReady(t *testing.T) {
	l := newLauncher(t)
	spec := serverSpec(newAddress(t, l))
	spec.ReadyURL = "http://" + newAddress(t, l)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := l.Start(ctx, spec)
	require.ErrorContains(t, err, "not ready")
	require.Empty(t, l.Running())
}

// Guards against a graceful stop that kills, and against an exit status that is lost.
func TestStopIsGraceful(t *testing.T) {
	l := newLauncher(t)
	p, _ := startServer(t, l)
	require.NoError(t, p.Stop(testContext(t)))
	require.Contains(t, p.Log(), "stopping")
	require.False(t, p.Running())
	require.Error(t, p.Terminate())
}

// Guards against a restart at another address, which peers would not find.
func TestRestartAtTheSameAddress(t *testing.T) {
	l := newLauncher(t)
	p, address := startServer(t, l)
	p.Kill()
	require.False(t, answers(address, time.Second))
	_, err := l.Start(testContext(t), p.Spec())
	require.NoError(t, err)
	require.True(t, answers(address, patience))
}

// Guards against a frozen process that still answers, or that cannot be thawed or ended.
func TestFreezeAndThaw(t *testing.T) {
	l := newLauncher(t)
	p, address := startServer(t, l)
	require.NoError(t, p.Freeze())
	require.False(t, answers(address, absence))
	require.NoError(t, p.Thaw())
	require.True(t, answers(address, patience))
	require.NoError(t, p.Freeze())
	p.Kill()
	require.False(t, p.Running())
}

// Guards against processes that outlive their launcher, and against ending a process that it did not start.
func TestCloseEndsExactlyItsOwnProcesses(t *testing.T) {
	other := newLauncher(t)
	foreign, _ := startServer(t, other)
	l := newLauncher(t)
	var own []*launcher.Process
	for range 3 {
		p, _ := startServer(t, l)
		own = append(own, p)
	}
	require.NoError(t, own[0].Freeze())
	l.Close()
	l.Close()
	for _, p := range own {
		require.False(t, p.Running())
		require.False(t, exists(p.PID()))
	}
	require.True(t, foreign.Running())
	_, err := l.Start(testContext(t), serverSpec("127.0.0.1:1"))
	require.ErrorContains(t, err, "closed")
}

// Guards against processes that stay behind when the launcher's own process is killed, as on a test time-out.
func TestProcessesEndWithTheirLauncher(t *testing.T) {
	l := newLauncher(t)
	parent := exec.Command(os.Args[0], newAddress(t, l), t.TempDir())
	parent.Env = append(os.Environ(), roleVariable+"=parent")
	stdout, err := parent.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, parent.Start())
	line := make([]byte, 64)
	n, err := stdout.Read(line)
	require.NoError(t, err)
	pid, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(string(line[:n]), "child ")))
	require.NoError(t, err)
	require.True(t, exists(pid))
	require.NoError(t, parent.Process.Kill())
	require.Error(t, parent.Wait())
	require.Eventually(t, func() bool { return hasEnded(pid) }, patience, 10*time.Millisecond)
}

// hasEnded also accepts a process that waits for the system to collect its exit status.
func hasEnded(pid int) bool {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return true
	}
	_, state, _ := strings.Cut(string(raw), ") ")
	return strings.HasPrefix(state, "Z")
}

// Guards against a command whose failure is taken for success.
func TestRunReturnsOutputAndFailure(t *testing.T) {
	l := newLauncher(t)
	output, err := l.Run(testContext(t), "/bin/echo", "text")
	require.NoError(t, err)
	require.Equal(t, "text\n", output)
	_, err = l.Run(testContext(t), "/bin/false")
	require.Error(t, err)
}

// Guards against two processes with the same address.
func TestAddressesDiffer(t *testing.T) {
	l := newLauncher(t)
	seen := map[string]bool{}
	for range 20 {
		address := newAddress(t, l)
		require.False(t, seen[address])
		seen[address] = true
	}
}
