package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	grace           = 8.0                    // seconds within which a graceful stop must end
	killDelay       = 500 * time.Millisecond // beyond grace, until a process that has not stopped is killed
	closeNoticeTime = time.Second            // time for callers to notice that a connection was closed
)

// process runs the program, one operating system process after another.
type process struct {
	name   string
	binary string
	dir    string // for its logs
	// args returns the arguments for the next start.
	args func() ([]string, error)

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	stopSent time.Time // when it was sent SIGTERM or SIGKILL
	// graceful is set once SIGTERM was sent, also if SIGKILL follows.
	graceful    bool
	gracefulEnd time.Time // end of the latest graceful stop
	starts      int
	crashes     []string // descriptions of unexpected exits
}

// writeSettings stores a settings file and returns its path.
func (p *process) writeSettings(settings any) (string, error) {
	path := filepath.Join(p.dir, p.name+".json")
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", fmt.Errorf("encode settings of %s: %w", p.name, err)
	}
	// A rename replaces the file at once, so that no reader sees a partial
	// file.
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return "", fmt.Errorf("write settings of %s: %w", p.name, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return "", fmt.Errorf("write settings of %s: %w", p.name, err)
	}
	return path, nil
}

// start starts a process unless one is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	args, err := p.args()
	if err != nil {
		return err
	}
	p.starts++
	out, err := os.Create(filepath.Join(p.dir, fmt.Sprintf("%s.%d.log", p.name, p.starts)))
	if err != nil {
		return fmt.Errorf("create log of %s: %w", p.name, err)
	}
	cmd := exec.Command(p.binary, args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.stopSent, p.graceful = cmd, exited, time.Time{}, false
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		p.mu.Lock()
		if p.graceful {
			p.gracefulEnd = time.Now()
		}
		if p.cmd == cmd {
			if p.stopSent.IsZero() {
				p.crashes = append(p.crashes, fmt.Sprintf("process %d of %s ended by itself: %v", p.starts, p.name, err))
			}
			p.cmd = nil
		}
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the running process, if any.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.graceful = s == syscall.SIGTERM || p.graceful
		p.stopSent = time.Now()
	}
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// kill kills the process and waits for its end, for a minute at most.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(time.Now().Add(time.Minute))
}

// stop stops the process gracefully, and kills it after grace and killDelay. It
// reports whether the process ended in time.
func (p *process) stop() bool {
	p.signal(syscall.SIGTERM)
	if p.wait(time.Now().Add(time.Duration(grace*float64(time.Second)) + killDelay)) {
		return true
	}
	p.kill()
	return false
}

// wait waits for the end of the process and reports whether it came before a
// time.
func (p *process) wait(until time.Time) bool {
	p.mu.Lock()
	running, exited := p.cmd != nil, p.exited
	p.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(time.Until(until)):
		return false
	}
}

// exit returns a channel that is closed when the process that was started last has ended.
func (p *process) exit() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// running reports whether a process runs that was not sent a signal to end.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && p.stopSent.IsZero()
}

// stopping reports whether the process is in a graceful stop, or was until
// closeNoticeTime ago: its callers notice the end with a delay.
func (p *process) stopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.graceful || time.Since(p.gracefulEnd) < closeNoticeTime
}

// startCount returns how often the process was started. It identifies a run of
// the process.
func (p *process) startCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// markStopping records a graceful stop without sending the signal.
func (p *process) markStopping() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopSent, p.graceful = time.Now(), true
}

// unexpectedExits describes the processes that ended without being stopped.
func (p *process) unexpectedExits() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes
}
