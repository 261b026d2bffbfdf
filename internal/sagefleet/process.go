package sagefleet

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrNotReady reports that a process did not become ready in time.
var ErrNotReady = errors.New("process not ready")

// readyTimeout limits how long a process may take to become ready.
const readyTimeout = 20 * time.Second

// readyPollInterval is the interval between two readiness checks.
const readyPollInterval = 20 * time.Millisecond

// Process is an operating-system process of a fleet. It can be killed, suspended and restarted.
type Process struct {
	Name string
	// Program and Args are the command line. ReadyURL returns status 200 once the process is ready.
	Program  string
	Args     []string
	ReadyURL string
	// LogFile is the file that its output is appended to.
	LogFile string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Start starts the process without waiting until it is ready.
func (p *Process) Start() error {
	f, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	defer func() { _ = f.Close() }()
	cmd := exec.Command(p.Program, p.Args...)
	cmd.Stdout, cmd.Stderr = f, f
	// The kernel kills the child when this process dies, so that an aborted test leaves no processes behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// WaitReady waits until ReadyURL returns status 200.
func (p *Process) WaitReady(ctx context.Context) error { return p.waitFor(ctx, p.ReadyURL) }

// waitFor waits until url returns status 200.
func (p *Process) waitFor(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return fmt.Errorf("%s: %w", p.Name, err)
		}
		res, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w (see %s)", p.Name, ErrNotReady, filepath.Base(p.LogFile))
		case <-p.exited():
			return fmt.Errorf("%s exited: %w (see %s)", p.Name, ErrNotReady, filepath.Base(p.LogFile))
		case <-time.After(readyPollInterval):
		}
	}
}

// PID returns the process ID, or 0 before Start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

func (p *Process) exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig os.Signal) error {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return nil
	}
	if err := cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %s: %w", p.Name, err)
	}
	return nil
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	if done := p.exited(); done != nil {
		<-done
	}
	return nil
}

// Terminate sends SIGTERM, waits until the process has exited, and returns the error of the process.
func (p *Process) Terminate(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	done := p.exited()
	if done == nil {
		return nil
	}
	select {
	case <-done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-ctx.Done():
		return fmt.Errorf("%s is still running: %w", p.Name, ctx.Err())
	}
}
