// Package launcher starts the project's binaries as processes on loopback addresses, alone or as a deployment of
// entries, agents and stand-ins.
package launcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

const (
	// firstPort and lastPort keep listeners below the range from which the system takes ports for outgoing connections.
	firstPort = 20000
	lastPort  = 32000
	// maxHosts is the number of host addresses of one launcher, which uses a /24 network of loopback addresses.
	maxHosts = 254
)

// Config holds the settings of a launcher.
type Config struct {
	// Folder receives logs and settings. If it is empty, New creates a temporary folder and Close removes it.
	Folder string
	// Keep prevents Close from removing the temporary folder.
	Keep bool
}

// Launcher starts processes and ends only those that it started. It is safe for concurrent use.
type Launcher struct {
	folder       string
	removeFolder bool
	// startQueue passes functions to serveStarts, which runs them on the thread that starts processes.
	startQueue chan func()

	mu        sync.Mutex
	closed    bool
	processes []*Process
	// network holds the second and third byte of the loopback addresses of this launcher.
	network   [2]byte
	hostCount int
	nextPort  int
	logCount  int
}

// New returns a launcher.
func New(cfg Config) (*Launcher, error) {
	l := &Launcher{folder: cfg.Folder, startQueue: make(chan func()), nextPort: firstPort}
	if l.folder == "" {
		folder, err := os.MkdirTemp("", "currantledge-")
		if err != nil {
			return nil, errors.Wrap(err, "create a temporary folder")
		}
		l.folder = folder
		l.removeFolder = !cfg.Keep
	}
	// A random loopback network makes it unlikely that launchers that run at the same time use the same addresses.
	l.network = [2]byte{byte(1 + rand.IntN(254)), byte(rand.IntN(256))}
	// The first use of a process handle starts a process without syscall.ForkLock, which isFree relies on.
	if _, err := os.FindProcess(os.Getpid()); err != nil {
		return nil, errors.Wrap(err, "find the own process")
	}
	go l.serveStarts()
	return l, nil
}

// serveStarts starts all processes from one operating-system thread. The system sends the parent-death signal of a
// process when the thread that started it ends, so this thread must live as long as the launcher.
func (l *Launcher) serveStarts() {
	runtime.LockOSThread()
	for start := range l.startQueue {
		start()
	}
}

// Folder returns the path of the folder for logs and settings.
func (l *Launcher) Folder() string {
	return l.folder
}

// AllocateHost returns a loopback IP address, which stands for the address of a VM. Each call returns another one.
func (l *Launcher) AllocateHost() (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hostCount == maxHosts {
		return "", errors.Newf("all %d host addresses of the launcher are in use; start fewer processes", maxHosts)
	}
	l.hostCount++
	return fmt.Sprintf("127.%d.%d.%d", l.network[0], l.network[1], l.hostCount), nil
}

// AllocateAddress returns an address at a host with a port that is free for TCP and UDP. Each call returns another one.
func (l *Launcher) AllocateAddress(host string) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.nextPort < lastPort {
		address := fmt.Sprintf("%s:%d", host, l.nextPort)
		l.nextPort++
		if isFree(address) {
			return address, nil
		}
	}
	return "", errors.Newf("no free port from %d to %d on %s; start fewer processes", firstPort, lastPort, host)
}

// isFree reports whether an address is free for TCP and UDP. No program is started meanwhile: until it executes, its
// process would hold copies of the sockets, and the address would stay in use after they are closed.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = tcp.Close() }()
	udp, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return udp.Close() == nil
}

// Start starts a process and waits until it is ready. It kills a process that is not ready when ctx ends.
func (l *Launcher) Start(ctx context.Context, spec Spec) (*Process, error) {
	p, err := l.launch(spec)
	if err != nil {
		return nil, err
	}
	if err := p.AwaitReady(ctx, spec.ReadyURL); err != nil {
		p.Kill()
		return nil, err
	}
	return p, nil
}

// launch starts a process without waiting until it is ready.
func (l *Launcher) launch(spec Spec) (*Process, error) {
	command := exec.Command(spec.Path, spec.Args...)
	command.Env = append(os.Environ(), spec.Env...)
	// In its own process group, the process receives no interrupt from the terminal, so that only the launcher ends it.
	// The parent-death signal ends it when the launcher's process is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errors.Newf("start %s: the launcher is closed", spec.Name)
	}
	l.logCount++
	logPath := filepath.Join(l.folder, fmt.Sprintf("%03d-%s.log", l.logCount, spec.Name))
	log, err := os.Create(logPath)
	if err != nil {
		return nil, errors.Wrapf(err, "create the log of %s", spec.Name)
	}
	// The process has its own descriptor of the file.
	defer func() { _ = log.Close() }()
	command.Stdout = log
	command.Stderr = log
	if err := l.runOnStartThread(command.Start); err != nil {
		return nil, errors.Wrapf(err, "start %s", spec.Name)
	}
	p := newProcess(spec, command, logPath)
	l.processes = append(l.processes, p)
	return p, nil
}

// runOnStartThread calls a function on the thread that starts processes.
func (l *Launcher) runOnStartThread(start func() error) error {
	result := make(chan error, 1)
	l.startQueue <- func() { result <- start() }
	return <-result
}

// Run runs a command until it exits and returns what it printed. It kills the command if ctx ends before.
func (l *Launcher) Run(ctx context.Context, path string, args ...string) (string, error) {
	p, err := l.launch(Spec{Name: filepath.Base(path), Path: path, Args: args})
	if err != nil {
		return "", err
	}
	if err := p.Wait(ctx); err != nil {
		p.Kill()
		return p.Log(), errors.Wrapf(err, "%s %v: %s", filepath.Base(path), args, p.logTail())
	}
	return p.Log(), nil
}

// Running returns the processes that have not ended.
func (l *Launcher) Running() []*Process {
	l.mu.Lock()
	defer l.mu.Unlock()
	var running []*Process
	for _, p := range l.processes {
		if p.Running() {
			running = append(running, p)
		}
	}
	return running
}

// Close kills every process that the launcher started and waits for its end.
func (l *Launcher) Close() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	processes := l.processes
	l.mu.Unlock()
	for _, p := range processes {
		p.signalKill()
	}
	for _, p := range processes {
		<-p.Exited()
	}
	close(l.startQueue)
	if l.removeFolder {
		// A folder that remains only uses disk space.
		_ = os.RemoveAll(l.folder)
	}
}
