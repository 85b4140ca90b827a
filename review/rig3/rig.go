package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrassdock/eelgrassdock/platform/fake"
	"github.com/eelgrassdock/eelgrassdock/platform/wire"
	"github.com/eelgrassdock/eelgrassdock/process/gateway"
)

// Figures of the small deployment tandem-dock.
const (
	program   = "target/eelgrassdock" // of the deploy file
	beat      = 1200 * time.Millisecond
	drainTime = 3 * time.Second
	graceTime = 8 * time.Second
	apiKey    = "key-of-the-club"
	tenant    = "club"
	host      = "dock.example"
	plain     = "hire-desk"
	engines   = "guide-writer"
)

type (
	// rig is a small deployment on loopback addresses: the platform's store, instances as
	// processes of the deploy file, and servers.
	rig struct {
		dir    string // temporary folder
		store  fake.Store
		front  http.Handler // in place of the store's handler, if not nil
		addr   string       // of the store
		nodes  []*node
		record *record
		begun  time.Time
		stop   chan struct{}
		ends   sync.WaitGroup
	}

	// node is one instance.
	node struct {
		r        *rig
		name     string
		ip       string
		settings gateway.Settings

		mu   sync.Mutex
		cmd  *exec.Cmd
		done chan struct{}
		runs int
	}

	// record writes record.txt.
	record struct {
		mu    sync.Mutex
		file  *os.File
		begun time.Time
	}
)

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{file: f, begun: time.Now()}, nil
}

// note writes a line with the time since the start in seconds.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

func newRig(rec *record) (*rig, error) {
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	r := &rig{dir: dir, record: rec, begun: time.Now(), stop: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen as the store: %w", err)
	}
	r.addr = l.Addr().String()
	handler := r.store.Handler()
	go func() {
		server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if r.front != nil {
				r.front.ServeHTTP(w, q)
				return
			}
			handler.ServeHTTP(w, q)
		})}
		_ = server.Serve(l)
	}()
	return r, nil
}

// freePort returns a port that is free on an address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, fmt.Errorf("find a port: %w", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// addNodes starts instances. The ports are the same on all of them, the addresses differ.
func (r *rig) addNodes(places ...string) error {
	var ports [7]int
	for i := range ports {
		p, err := freePort("127.0.0.1")
		if err != nil {
			return err
		}
		ports[i] = p
	}
	zones := map[string]string{"kurzeme-a": "kurzeme", "vidzeme-a": "vidzeme", "latgale-a": "latgale"}
	var seeds []string
	for i := range places {
		seeds = append(seeds, fmt.Sprintf("127.0.%d.1:%d", 10+i, ports[3]))
	}
	for i, place := range places {
		ip := fmt.Sprintf("127.0.%d.1", 10+i)
		at := func(n int) string { return net.JoinHostPort(ip, strconv.Itoa(ports[n])) }
		n := &node{r: r, name: fmt.Sprintf("front-%s-%d", place, i+1), ip: ip}
		n.settings = gateway.Settings{
			Name: n.name, Place: place, Region: zones[place], Places: zones,
			Callers: at(0), Ready: at(1), Locate: at(2), Peer: at(3), Probe: at(4), Loads: at(5), Metrics: at(6),
			Seeds: seeds, Store: r.addr, Link: 1000, Beat: int(beat.Milliseconds()), Grace: graceTime.Seconds(), Keep: 1,
			Admission: true, Memory: 134, Files: 4100, Retry: gateway.Retry{Ratio: 0.2, Window: 10, Slack: 52},
		}
		r.nodes = append(r.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process of an instance as the deploy file says.
func (n *node) start() error {
	path := filepath.Join(n.r.dir, n.name+".json")
	data, err := json.Marshal(n.settings)
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.runs++
	out, err := os.Create(filepath.Join(n.r.dir, fmt.Sprintf("%s.%d.log", n.name, n.runs)))
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	cmd := exec.Command(program, "serve")
	cmd.Env = append(os.Environ(), wire.SettingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", n.name, err)
	}
	done := make(chan struct{})
	n.cmd, n.done = cmd, done
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		n.r.record.note("process of %s ended: %v", n.name, err)
		close(done)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// isReady asks an instance as the platform does.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + n.settings.Ready + wire.PathReady)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all instances are ready.
func (r *rig) awaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range r.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(r.nodes) {
			return nil
		}
	}
	return fmt.Errorf("instances are not ready after %s", limit)
}

// configure writes a configuration as the operator does.
func (r *rig) configure(t wire.Table) {
	data, err := json.Marshal(t)
	if err != nil {
		panic(err)
	}
	r.store.Put(wire.TableOperator, wire.KeyTable, data)
	r.record.note("configuration %d acknowledged", t.Version)
}

// table returns a configuration like that of tandem-dock.
func table(version int64) wire.Table {
	return wire.Table{
		Version: version,
		Routes: []wire.Route{
			{Name: "deposit-book", Host: host, Prefix: "/book/", Kind: "unsafe", Timeout: 1500, Aim: 300, Priority: 2, Service: plain, Attempts: 1},
			{Name: "rack-check", Host: host, Prefix: "/rack/", Kind: "safe", Timeout: 1500, Aim: 300, Priority: 2, Service: plain, Attempts: 2},
			{Name: "route-guide", Host: host, Prefix: "/guide/", Kind: "streaming", Timeout: 39000, Aim: 1800, Gap: 180, Priority: 1, Service: engines, Attempts: 1, Sticky: true},
			{Name: "desk-answer", Host: host, Prefix: "/answer/", Kind: "streaming", Timeout: 6000, Aim: 1500, Gap: 180, Service: engines, Attempts: 2, Resume: true, Sticky: true},
		},
		Services: []wire.Service{
			{Name: engines, Channels: 232, Engine: &wire.Engine{
				Slots: 24, Tokens: 34307, TokenBytes: 35136, LinkMbps: 5100, Moves: true, Backups: true, Stride: 4, HandleS: 5,
			}},
			{Name: plain, Channels: 96},
		},
		Limits:  wire.Limits{HeaderBytes: 16 << 10, BodyBytes: 4194304, HeaderMs: 3000, IdleMs: 15000},
		Tenants: wire.Accounts{{Name: tenant, Keys: []string{apiKey}}},
	}
}

// close ends all processes and removes the folder.
func (r *rig) close() {
	close(r.stop)
	for _, n := range r.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		<-n.done
	}
	r.ends.Wait()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(r.dir)
	}
}
