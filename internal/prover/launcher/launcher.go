// Package launcher starts the project's binaries as processes on loopback, and whole deployments of them.
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
	// firstPort keeps listeners below the range from which the system takes ports for outgoing connections.
	firstPort = 20000
	lastPort  = 32000
	// maxHosts is the number of host addresses of one launcher, a /24 network of loopback.
	maxHosts = 254
)

// Config holds what a launcher needs.
type Config struct {
	// Folder receives logs and settings. If it is empty, a temporary folder is made and removed by Close.
	Folder string
	// Keep keeps the temporary folder after Close.
	Keep bool
}

// Launcher starts processes and ends exactly those that it started.
type Launcher struct {
	folder string
	remove bool
	starts chan func()

	mu        sync.Mutex
	closed    bool
	processes []*Process
	network   [2]byte
	hosts     int
	port      int
	logs      int
}

// New returns a launcher.
func New(cfg Config) (*Launcher, error) {
	l := &Launcher{folder: cfg.Folder, starts: make(chan func()), port: firstPort}
	if l.folder == "" {
		folder, err := os.MkdirTemp("", "currantledge-")
		if err != nil {
			return nil, errors.Wrap(err, "make a temporary folder")
		}
		l.folder = folder
		l.remove = !cfg.Keep
	}
	// Launchers that run side by side take different loopback networks, so that their ports do not collide.
	l.network = [2]byte{byte(1 + rand.IntN(254)), byte(rand.IntN(256))}
	go l.runStarts()
	return l, nil
}

// runStarts starts all processes from one operating-system thread. The system kills a process that has a parent-death
// signal when the thread that started it ends, so this thread must live as long as the launcher.
func (l *Launcher) runStarts() {
	runtime.LockOSThread()
	for start := range l.starts {
		start()
	}
}

// Folder returns the folder of logs and settings.
func (l *Launcher) Folder() string {
	return l.folder
}

// Host returns a loopback IP address that no other part of this launcher uses, which stands for the address of a VM.
func (l *Launcher) Host() (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hosts == maxHosts {
		return "", errors.Newf("a launcher has %d host addresses; start fewer processes", maxHosts)
	}
	l.hosts++
	return fmt.Sprintf("127.%d.%d.%d", l.network[0], l.network[1], l.hosts), nil
}

// Address returns an address at a host that is free for TCP and for UDP.
func (l *Launcher) Address(host string) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.port < lastPort {
		address := fmt.Sprintf("%s:%d", host, l.port)
		l.port++
		if isFree(address) {
			return address, nil
		}
	}
	return "", errors.Newf("ports %d to %d of %s are used up; start fewer processes", firstPort, lastPort, host)
}

func isFree(address string) bool {
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

// Start starts a process and waits until it is ready. A process that does not become ready is ended.
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
	// A group of its own keeps an interrupt at the terminal from the process, so that the launcher decides when it
	// ends. The parent-death signal ends it when the launcher's process is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errors.Newf("start %s: the launcher is closed", spec.Name)
	}
	l.logs++
	logPath := filepath.Join(l.folder, fmt.Sprintf("%03d-%s.log", l.logs, spec.Name))
	log, err := os.Create(logPath)
	if err != nil {
		return nil, errors.Wrapf(err, "make the log of %s", spec.Name)
	}
	// The process holds its own copy of the file.
	defer func() { _ = log.Close() }()
	command.Stdout = log
	command.Stderr = log
	if err := l.run(command.Start); err != nil {
		return nil, errors.Wrapf(err, "start %s", spec.Name)
	}
	p := newProcess(spec, command, logPath)
	l.processes = append(l.processes, p)
	return p, nil
}

// run calls a function on the thread that starts processes.
func (l *Launcher) run(start func() error) error {
	result := make(chan error, 1)
	l.starts <- func() { result <- start() }
	return <-result
}

// Run runs a command to its end and returns what it printed.
func (l *Launcher) Run(ctx context.Context, path string, args ...string) (string, error) {
	p, err := l.launch(Spec{Name: filepath.Base(path), Path: path, Args: args})
	if err != nil {
		return "", err
	}
	if err := p.Wait(ctx); err != nil {
		p.Kill()
		return p.Log(), errors.Wrapf(err, "%s %v: %s", filepath.Base(path), args, p.tail())
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

// Close ends every process that the launcher started and waits for its end.
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
	close(l.starts)
	if l.remove {
		// A folder that cannot be removed does no harm beyond its space.
		_ = os.RemoveAll(l.folder)
	}
}
