package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrassdock/eelgrassdock/internal/port"
	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/platform/fake"
	"github.com/eelgrassdock/eelgrassdock/platform/wire"
	"github.com/eelgrassdock/eelgrassdock/process/gateway"
)

// Bounds and settings of the site tandem-dock.
const (
	binary      = "target/eelgrassdock"
	host        = "cart.example"
	key         = "key-of-riga"
	account     = "riga"
	beatMs      = 1200
	graceS      = 8
	retryRatio  = 0.2
	retryWindow = 10
	retrySlack  = 52

	readyLimit = 15 * time.Second
)

type (
	// rig holds what one case has started.
	rig struct {
		trouble bool
		dir     string // temporary
		store   fake.Store
		stored  string // address of the store
		version int64

		mu        sync.Mutex
		begun     time.Time
		record    *bufio.Writer
		file      *os.File
		instances []*instance
		ends      []func()
	}

	// instance is one process of the project.
	instance struct {
		settings gateway.Settings
		cmd      *exec.Cmd
		log      *os.File
	}
)

func newRig(record string, trouble bool) (*rig, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	r := &rig{trouble: trouble, file: file, record: bufio.NewWriter(file), begun: time.Now()}
	if r.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	r.stored, err = r.serve(r.store.Handler())
	r.note("case", fmt.Sprintf("trouble %v", trouble))
	return r, err
}

// serve serves a handler at a free address until the rig is closed.
func (r *rig) serve(handler http.Handler) (string, error) {
	l, err := port.Listen()
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readyLimit}
	go func() { _ = server.Serve(l) }()
	r.onClose(func() { _ = server.Close() })
	return l.Addr().String(), nil
}

func (r *rig) onClose(end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, end)
}

// note writes a line to the record.
func (r *rig) note(what string, words ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f s  %s %s\n", time.Since(r.begun).Seconds(), what, strings.Join(words, " "))
}

// configure stores a configuration with a higher version than the one before.
func (r *rig) configure(t wire.Table) error {
	r.version++
	t.Version = r.version
	t.Limits = wire.Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderMs: 3000, IdleMs: 15000}
	t.Tenants = []wire.Account{{Name: account, Keys: []string{key}}}
	data, err := json.Marshal(t)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	r.store.Put(wire.TableOperator, wire.KeyTable, data)
	r.note("config", fmt.Sprintf("version %d is stored", t.Version))
	return nil
}

// start starts a number of instances, in three zones by turns, and waits until they are
// ready.
func (r *rig) start(ctx context.Context, count int) error {
	zones := []string{"kurzeme-a", "vidzeme-a", "latgale-a"}
	regions := map[string]string{"kurzeme-a": "kurzeme", "vidzeme-a": "vidzeme", "latgale-a": "latgale"}
	var seeds []string
	for n := range count {
		zone := zones[n%len(zones)]
		s := gateway.Settings{
			Name: fmt.Sprintf("front-%s-%d", zone, 1+n/len(zones)), Place: zone, Region: regions[zone], Places: regions,
			Store: r.stored, Link: 1000, Beat: beatMs, Grace: graceS, Keep: 1,
			Retry: gateway.Retry{Ratio: retryRatio, Window: retryWindow, Slack: retrySlack},
		}
		for _, addr := range []*string{&s.Callers, &s.Ready, &s.Locate, &s.Peer, &s.Probe, &s.Metrics, &s.Loads} {
			var err error
			if *addr, err = port.Addr(); err != nil {
				return fmt.Errorf("reserve address: %w", err)
			}
		}
		// Instances send their loads to one port of all hosts, so each has a host of its own.
		own := fmt.Sprintf("127.0.1.%d", 1+n)
		_, probe, _ := net.SplitHostPort(s.Probe)
		_, loads, _ := net.SplitHostPort(s.Loads)
		if n > 0 {
			_, loads, _ = net.SplitHostPort(r.instances[0].settings.Loads)
		}
		s.Probe, s.Loads = net.JoinHostPort(own, probe), net.JoinHostPort(own, loads)
		if seeds = append(seeds, s.Peer); len(seeds) > 3 {
			seeds = seeds[:3]
		}
		r.instances = append(r.instances, &instance{settings: s})
	}
	for _, i := range r.instances {
		i.settings.Seeds = seeds
		if err := r.startInstance(i); err != nil {
			return err
		}
	}
	client := &http.Client{Timeout: time.Second}
	for _, i := range r.instances {
		for begun := time.Now(); !fake.IsReady(ctx, client, i.settings.Ready); {
			if time.Since(begun) > readyLimit || !sleep.For(ctx, 50*time.Millisecond) {
				return fmt.Errorf("%s is not ready", i.settings.Name)
			}
		}
		r.note("ready", i.settings.Name)
	}
	return nil
}

func (r *rig) startInstance(i *instance) error {
	path := filepath.Join(r.dir, i.settings.Name+".json")
	data, err := json.Marshal(i.settings)
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	if i.log, err = os.Create(path + ".log"); err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	i.cmd = exec.Command(binary, "serve")
	i.cmd.Env = append(os.Environ(), wire.SettingsVariable+"="+path)
	i.cmd.Stdout, i.cmd.Stderr = i.log, i.log
	if err := i.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", i.settings.Name, err)
	}
	return nil
}

// close ends all processes that were started, and the stand-ins.
func (r *rig) close() {
	for _, i := range r.instances {
		if i.cmd != nil && i.cmd.Process != nil {
			_ = i.cmd.Process.Signal(syscall.SIGKILL)
			_ = i.cmd.Wait()
		}
	}
	for _, end := range r.ends {
		end()
	}
	if kept := os.Getenv("KEEP"); kept == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", r.dir)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.Flush()
	_ = r.file.Close()
}
