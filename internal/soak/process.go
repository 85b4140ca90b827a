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
	grace    = 8.0 // seconds that a stop may take
	stopKill = 500 * time.Millisecond
	newsTime = time.Second // in which callers learn that a connection has ended
)

// process is one process of the program, which may be started many times.
type process struct {
	name   string
	binary string
	dir    string // for its logs
	// args gives the arguments for a start.
	args func() ([]string, error)

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped time.Time // when it was told to stop
	// graceful says that it was told by SIGTERM.
	graceful bool
	ended    time.Time // end of the latest graceful stop
	starts   int
	faulty   []string // what it did that it must not
}

// writeSettings stores a settings file and gives its path.
func (p *process) writeSettings(settings any) (string, error) {
	path := filepath.Join(p.dir, p.name+".json")
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", fmt.Errorf("encode settings of %s: %w", p.name, err)
	}
	// A reader must not see half a file.
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return "", fmt.Errorf("write settings of %s: %w", p.name, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return "", fmt.Errorf("write settings of %s: %w", p.name, err)
	}
	return path, nil
}

// start starts a process unless one runs.
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
		return fmt.Errorf("log of %s: %w", p.name, err)
	}
	cmd := exec.Command(p.binary, args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.stopped, p.graceful = cmd, exited, time.Time{}, false
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		p.mu.Lock()
		if p.graceful {
			p.ended = time.Now()
		}
		if p.cmd == cmd {
			if p.stopped.IsZero() {
				p.faulty = append(p.faulty, fmt.Sprintf("process %d of %s ended by itself: %v", p.starts, p.name, err))
			}
			p.cmd = nil
		}
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process that runs, if any.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.graceful = s == syscall.SIGTERM || p.graceful
		p.stopped = time.Now()
	}
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// kill ends the process and waits for it.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(time.Now().Add(time.Minute))
}

// stop stops the process gracefully, and kills it when the time is over. It
// tells whether the process ended in time.
func (p *process) stop() bool {
	p.signal(syscall.SIGTERM)
	if p.wait(time.Now().Add(time.Duration(grace*float64(time.Second)) + stopKill)) {
		return true
	}
	p.kill()
	return false
}

// wait waits for the end of the process and tells whether it came.
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

func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && p.stopped.IsZero()
}

// stopping tells whether a process is in a graceful stop, or was until now: its
// callers learn of the end a little later.
func (p *process) stopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.graceful || time.Since(p.ended) < newsTime
}

// lifetime numbers the starts.
func (p *process) lifetime() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// markStopping notes a graceful stop without the signal.
func (p *process) markStopping() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped, p.graceful = time.Now(), true
}

// faults tells what processes did that they must not.
func (p *process) faults() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faulty
}
