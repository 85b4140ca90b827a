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

	"github.com/eelgrassdock/eelgrassdock/internal/port"
	"github.com/eelgrassdock/eelgrassdock/process/gateway"
)

const (
	grace    = 8.0 // seconds that a stop may take
	keepTime = 1.0 // seconds that callers may keep an answer
	stopKill = 500 * time.Millisecond
	newsTime = time.Second // in which callers learn that a connection has ended
)

// instance is one process of the program, with the links to it and from it.
type instance struct {
	name     string
	binary   string
	dir      string
	settings gateway.Settings
	store    *relay // link to the store
	door     *relay // link of callers

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped time.Time // when it was told to stop
	// graceful says that it was told by SIGTERM.
	graceful bool
	ended    time.Time // end of the latest graceful stop
	starts   int
	faulty   []string // what a process did that it must not
}

// newInstance makes an instance that is not started yet.
func newInstance(name, place, binary, dir, store string, places map[string]string) (*instance, error) {
	i := &instance{name: name, binary: binary, dir: dir}
	s := &i.settings
	*s = gateway.Settings{
		Name: name, Place: place, Region: places[place], Places: places, Beat: 500, Grace: grace, Keep: keepTime,
		Retry: gateway.Retry{Ratio: budgetRatio, Window: budgetSpan.Seconds(), Slack: budgetSlack},
	}
	for _, addr := range []*string{&s.Callers, &s.Ready, &s.Locate, &s.Peer, &s.Probe, &s.Loads, &s.Metrics} {
		var err error
		if *addr, err = port.Addr(); err != nil {
			return nil, fmt.Errorf("address of %s: %w", name, err)
		}
	}
	var err error
	if i.store, err = newRelay(store); err != nil {
		return nil, err
	}
	s.Store = i.store.addr
	if i.door, err = newRelay(s.Callers); err != nil {
		return nil, err
	}
	return i, nil
}

// write stores the settings file.
func (i *instance) write() (string, error) {
	path := filepath.Join(i.dir, i.name+".json")
	data, err := json.MarshalIndent(i.settings, "", "  ")
	if err != nil {
		return "", fmt.Errorf("encode settings of %s: %w", i.name, err)
	}
	// A reader must not see half a file.
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return "", fmt.Errorf("write settings of %s: %w", i.name, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return "", fmt.Errorf("write settings of %s: %w", i.name, err)
	}
	return path, nil
}

// start starts a process unless one runs.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		return nil
	}
	path, err := i.write()
	if err != nil {
		return err
	}
	i.starts++
	out, err := os.Create(filepath.Join(i.dir, fmt.Sprintf("%s.%d.log", i.name, i.starts)))
	if err != nil {
		return fmt.Errorf("log of %s: %w", i.name, err)
	}
	cmd := exec.Command(i.binary, "serve", "--config", path)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", i.name, err)
	}
	exited := make(chan struct{})
	i.cmd, i.exited, i.stopped, i.graceful = cmd, exited, time.Time{}, false
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		i.mu.Lock()
		if i.graceful {
			i.ended = time.Now()
		}
		if i.cmd == cmd {
			if i.stopped.IsZero() {
				i.faulty = append(i.faulty, fmt.Sprintf("process %d of %s ended by itself: %v", i.starts, i.name, err))
			}
			i.cmd = nil
		}
		i.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process that runs, if any.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		i.graceful = s == syscall.SIGTERM || i.graceful
		i.stopped = time.Now()
	}
	_ = i.cmd.Process.Signal(s) // it may have ended
}

// kill ends the process and waits for it.
func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	i.wait(time.Now().Add(time.Minute))
}

// stop stops the process gracefully, and kills it when the time is over. It
// tells whether the process ended in time.
func (i *instance) stop() bool {
	i.signal(syscall.SIGTERM)
	if i.wait(time.Now().Add(time.Duration(grace*float64(time.Second)) + stopKill)) {
		return true
	}
	i.kill()
	return false
}

// wait waits for the end of the process and tells whether it came.
func (i *instance) wait(until time.Time) bool {
	i.mu.Lock()
	running, exited := i.cmd != nil, i.exited
	i.mu.Unlock()
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

func (i *instance) running() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cmd != nil && i.stopped.IsZero()
}

// stopping tells whether a process is in a graceful stop, or was until now: its
// callers learn of the end a little later.
func (i *instance) stopping() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.graceful || time.Since(i.ended) < newsTime
}

// lifetime numbers the starts.
func (i *instance) lifetime() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.starts
}

// markStopping notes a graceful stop without the signal.
func (i *instance) markStopping() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopped, i.graceful = time.Now(), true
}

// faults tells what processes did that they must not.
func (i *instance) faults() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faulty
}

// retune writes other settings, or a settings file with a fault.
func (i *instance) retune(faulty bool) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	old := i.settings
	i.settings.Retry.Slack--
	if faulty {
		i.settings.Retry.Window = -1
	}
	_, err := i.write()
	if faulty {
		i.settings = old
	}
	return err
}

// close ends the process and the links.
func (i *instance) close() {
	i.kill()
	i.store.close()
	i.door.close()
}
