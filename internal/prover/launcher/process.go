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
	readyPollInterval = 20 * time.Millisecond
	readyPollTimeout  = time.Second
	freezePoll        = time.Millisecond
	// freezeTimeout is far above the time in which a loaded machine stops the threads of a process.
	freezeTimeout = 5 * time.Second
	// tailLines is how much of a log is shown when a process fails.
	tailLines = 20
)

// Spec says how a process is started.
type Spec struct {
	Name string
	Path string
	Args []string
	// Env is added to the environment of the launcher.
	Env []string
	// ReadyURL answers 200 once the process is ready. If it is empty, the process counts as ready at once.
	ReadyURL string
}

// Process is a process that the launcher started.
type Process struct {
	spec    Spec
	command *exec.Cmd
	logPath string
	exited  chan struct{}
	exit    error
}

func newProcess(spec Spec, command *exec.Cmd, logPath string) *Process {
	p := &Process{spec: spec, command: command, logPath: logPath, exited: make(chan struct{})}
	go func() {
		p.exit = command.Wait()
		close(p.exited)
	}()
	return p
}

// Spec returns how the process was started, to start another one like it.
func (p *Process) Spec() Spec {
	return p.spec
}

// Name returns the name given at the start.
func (p *Process) Name() string {
	return p.spec.Name
}

// PID returns the process id.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Exited is closed once the process has ended.
func (p *Process) Exited() <-chan struct{} {
	return p.exited
}

// Running tells whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Kill ends the process at once, as the loss of its VM does, and waits for its end.
func (p *Process) Kill() {
	p.signalKill()
	<-p.exited
}

func (p *Process) signalKill() {
	// The signal fails only if the process has ended already.
	_ = p.command.Process.Kill()
}

// Freeze pauses the process, which does not notice it.
func (p *Process) Freeze() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	// The signal stops the threads one after the other; until the last has stopped, the process may still answer.
	deadline := time.Now().Add(freezeTimeout)
	for !stopped(p.PID()) {
		if time.Now().After(deadline) {
			return errors.Newf("%s has running threads %v after SIGSTOP", p.spec.Name, freezeTimeout)
		}
		time.Sleep(freezePoll)
	}
	return nil
}

// stopped tells whether all threads of a process are stopped or gone.
func stopped(pid int) bool {
	stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return false
	}
	for _, path := range stats {
		raw, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		// The state follows the name, which stands in parentheses and may contain some itself.
		_, state, found := strings.Cut(string(raw[bytes.LastIndexByte(raw, ')')+1:]), " ")
		if found && !strings.HasPrefix(state, "T") && !strings.HasPrefix(state, "Z") {
			return false
		}
	}
	return true
}

// Thaw lets a frozen process continue.
func (p *Process) Thaw() error {
	return p.signal(syscall.SIGCONT)
}

// Terminate asks the process for a graceful shutdown and does not wait for it.
func (p *Process) Terminate() error {
	return p.signal(syscall.SIGTERM)
}

func (p *Process) signal(s syscall.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(s), "signal %v to %s", s, p.spec.Name)
}

// Stop asks the process for a graceful shutdown and waits for its end. It fails if the process ends with an error.
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
		return errors.Wrapf(p.exit, "%s ended", p.spec.Name)
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "wait for the end of %s", p.spec.Name)
	}
}

// AwaitReady polls a URL until it answers 200. It fails early when the process ends.
func (p *Process) AwaitReady(ctx context.Context, url string) error {
	if url == "" {
		return nil
	}
	client := &http.Client{Timeout: readyPollTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		ready, last := isReady(ctx, client, url)
		if ready {
			return nil
		}
		select {
		case <-ticker.C:
		case <-p.exited:
			return errors.Newf("%s ended before it was ready (%v); its log ends with:\n%s", p.spec.Name, p.exit, p.tail())
		case <-ctx.Done():
			return errors.Newf("%s is not ready: %s answers %s; its log ends with:\n%s", p.spec.Name, url, last, p.tail())
		}
	}
}

// isReady also returns what was answered instead.
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

// Log returns everything that the process has printed so far.
func (p *Process) Log() string {
	raw, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

func (p *Process) tail() string {
	lines := strings.Split(strings.TrimRight(p.Log(), "\n"), "\n")
	if len(lines) > tailLines {
		lines = lines[len(lines)-tailLines:]
	}
	return strings.Join(lines, "\n")
}
