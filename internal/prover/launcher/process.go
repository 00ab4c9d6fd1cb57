package launcher

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	readyPollInterval  = 20 * time.Millisecond
	readyPollTimeout   = time.Second
	freezePollInterval = time.Millisecond
	// freezeTimeout is far above the time that a busy machine needs to stop the threads of a process.
	freezeTimeout = 5 * time.Second
	// tailLines is the number of log lines in the error of a failed process.
	tailLines = 20
)

// Spec describes how a process is started.
type Spec struct {
	Name string
	Path string
	Args []string
	// Env is added to the environment of the launcher.
	Env []string
	// ReadyURL returns status 200 once the process is ready. If it is empty, the process counts as ready at once.
	ReadyURL string
}

// Process is a process that a launcher started. It is safe for concurrent use.
type Process struct {
	spec    Spec
	command *exec.Cmd
	logPath string
	exited  chan struct{}
	// exitErr is valid once exited is closed.
	exitErr error
}

func newProcess(spec Spec, command *exec.Cmd, logPath string) *Process {
	p := &Process{spec: spec, command: command, logPath: logPath, exited: make(chan struct{})}
	go func() {
		p.exitErr = command.Wait()
		close(p.exited)
	}()
	return p
}

// Spec returns the description with which the process was started, for example to start it again.
func (p *Process) Spec() Spec {
	return p.spec
}

// Name returns the name of the process in its Spec.
func (p *Process) Name() string {
	return p.spec.Name
}

// PID returns the process id.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Exited returns a channel that is closed once the process has ended.
func (p *Process) Exited() <-chan struct{} {
	return p.exited
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Kill ends the process at once, as the loss of its VM would, and waits for its end.
func (p *Process) Kill() {
	p.signalKill()
	<-p.exited
}

func (p *Process) signalKill() {
	// The signal fails only if the process has already ended.
	_ = p.command.Process.Kill()
}

// Freeze suspends the process with SIGSTOP, which the process cannot intercept, and waits until all its threads have
// stopped.
func (p *Process) Freeze() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	// The signal stops the threads one by one. Until the last one has stopped, the process may still respond.
	deadline := time.Now().Add(freezeTimeout)
	for !areThreadsStopped(p.PID()) {
		if time.Now().After(deadline) {
			return errors.Newf("%s has running threads %v after SIGSTOP", p.spec.Name, freezeTimeout)
		}
		time.Sleep(freezePollInterval)
	}
	return nil
}

// areThreadsStopped reports whether all threads of a process are stopped or have ended.
func areThreadsStopped(pid int) bool {
	stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return false
	}
	for _, path := range stats {
		raw, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		// The state follows the name, which is in parentheses and may itself contain parentheses.
		_, state, found := strings.Cut(string(raw[bytes.LastIndexByte(raw, ')')+1:]), " ")
		if found && !strings.HasPrefix(state, "T") && !strings.HasPrefix(state, "Z") {
			return false
		}
	}
	return true
}

// Thaw resumes a frozen process with SIGCONT.
func (p *Process) Thaw() error {
	return p.signal(syscall.SIGCONT)
}

// Terminate starts a graceful shutdown of the process with SIGTERM and does not wait for its end.
func (p *Process) Terminate() error {
	return p.signal(syscall.SIGTERM)
}

func (p *Process) signal(s syscall.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(s), "signal %v to %s", s, p.spec.Name)
}

// Stop shuts the process down gracefully and waits for its end. It returns the error with which the process ended.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Terminate(); err != nil {
		return err
	}
	return p.Wait(ctx)
}

// Wait waits for the end of the process and returns the error with which it ended.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.exited:
		return errors.Wrapf(p.exitErr, "%s exited", p.spec.Name)
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "wait for %s to exit", p.spec.Name)
	}
}

// AwaitReady polls a URL until it returns status 200. It fails as soon as the process ends.
func (p *Process) AwaitReady(ctx context.Context, url string) error {
	if url == "" {
		return nil
	}
	client := &http.Client{Timeout: readyPollTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		ready, lastStatus := isReady(ctx, client, url)
		if ready {
			return nil
		}
		select {
		case <-ticker.C:
		case <-p.exited:
			return errors.Newf("%s exited before it was ready (%v); its log ends with:\n%s", p.spec.Name, p.exitErr, p.logTail())
		case <-ctx.Done():
			return errors.Newf("%s is not ready: %s returned %s; its log ends with:\n%s", p.spec.Name, url, lastStatus, p.logTail())
		}
	}
}

// isReady reports whether a URL returns status 200, and returns the status or the error of the request.
func isReady(ctx context.Context, client *http.Client, url string) (bool, string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false, err.Error()
	}
	response, err := client.Do(request)
	if err != nil {
		return false, err.Error()
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK, response.Status
}

// Log returns everything that the process has printed so far, or the error of reading it.
func (p *Process) Log() string {
	raw, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// logTail returns the last lines of the log.
func (p *Process) logTail() string {
	lines := strings.Split(strings.TrimRight(p.Log(), "\n"), "\n")
	if len(lines) > tailLines {
		lines = lines[len(lines)-tailLines:]
	}
	return strings.Join(lines, "\n")
}
