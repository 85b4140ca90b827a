package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrassdock/eelgrassdock/platform/fake"
	"github.com/eelgrassdock/eelgrassdock/platform/wire"
)

// Figures that the small deployments tandem-dock and kukuk-eel share.
const (
	files     = 4100
	beatMs    = 1200
	graceS    = 8
	configMs  = 3000 // config_apply_ms
	contactMs = 4000
	host      = "ficu95.example"
	program   = "target/eelgrassdock"
	startTime = 10 * time.Second // for an instance to be ready
)

// The small deployments.
var (
	tandemDock = site{memory: 134, place: "kurzeme-a", region: "kurzeme"}
	kukukEel   = site{memory: 284, place: "ba-a", region: "bratislava"}
)

type (
	// site is a deployment: the memory of its machines in MB, and one of its zones.
	site struct {
		memory        int
		place, region string
	}

	// record is the protocol of a run.
	record struct {
		out     io.Writer
		begun   time.Time
		trouble bool

		mu        sync.Mutex
		instances []*instance
		dir       string
	}

	// instance is a machine of the system with one process of the program.
	instance struct {
		name     string
		settings string // path
		callers  string
		ready    string
		log      *os.File

		mu  sync.Mutex
		cmd *exec.Cmd
	}
)

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// endAll ends all processes and removes their files.
func (r *record) endAll() {
	r.mu.Lock()
	list, dir := r.instances, r.dir
	r.mu.Unlock()
	for _, i := range list {
		i.kill()
	}
	if dir != "" {
		_ = os.RemoveAll(dir)
	}
}

// listen serves a handler on a free port of the loopback address.
func listen(h http.Handler) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	go func() { _ = http.Serve(l, h) }() // until the process ends
	return l.Addr().String(), nil
}

// startPlatform serves the platform's store.
func startPlatform() (*fake.Store, string, error) {
	store := &fake.Store{}
	addr, err := listen(store.Handler())
	return store, addr, err
}

// configure writes the configuration, as the operator does.
func configure(store *fake.Store, t wire.Table) {
	data, err := json.Marshal(t)
	if err != nil {
		panic(err) // the type always encodes
	}
	store.Put(wire.TableOperator, wire.KeyTable, data)
}

// freeAddr returns a free address. Its port is below those that Linux gives to outgoing
// connections, so that none of these takes it before the instance listens there.
func freeAddr() (string, error) {
	var err error
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000))
		var l net.Listener
		if l, err = net.Listen("tcp", addr); err != nil {
			continue
		}
		l.Close()
		var p net.PacketConn
		if p, err = net.ListenPacket("udp", addr); err != nil {
			continue
		}
		_ = p.Close() // nothing was sent
		return addr, nil
	}
	return "", fmt.Errorf("find a free port: %w", err)
}

// newInstance writes the settings of an instance, as deploy/settings.json has them, and
// starts its process.
func (r *record) newInstance(n int, store string, s site) (*instance, error) {
	r.mu.Lock()
	if r.dir == "" {
		dir, err := os.MkdirTemp("", "review-2-")
		if err != nil {
			r.mu.Unlock()
			return nil, fmt.Errorf("make a folder: %w", err)
		}
		r.dir = dir
	}
	dir := r.dir
	r.mu.Unlock()
	i := &instance{name: "front-" + s.place + "-" + strconv.Itoa(n)}
	addrs := map[string]string{}
	for _, name := range []string{"callers", "ready", "locate", "peer", "probe", "loads", "metrics"} {
		var err error
		if addrs[name], err = freeAddr(); err != nil {
			return nil, err
		}
	}
	i.callers, i.ready = addrs["callers"], addrs["ready"]
	settings := map[string]any{
		"name": i.name, "place": s.place, "region": s.region, "places": map[string]string{s.place: s.region}, "seeds": []string{addrs["peer"]},
		"store": store, "link": 1000.0, "beat": beatMs, "grace": graceS, "keep": 1, "evacuation": 0,
		"cold": map[string]any{"factor": 0, "slack": 0}, "admission": true, "memory": s.memory, "files": files,
		"retry": map[string]any{"ratio": 0.2, "window": 10, "slack": 52},
	}
	for name, addr := range addrs {
		settings[name] = addr
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, fmt.Errorf("encode settings: %w", err)
	}
	i.settings = filepath.Join(dir, i.name+".json")
	if err := os.WriteFile(i.settings, data, 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	if i.log, err = os.Create(filepath.Join(dir, i.name+".log")); err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	r.mu.Lock()
	r.instances = append(r.instances, i)
	r.mu.Unlock()
	if err := i.start(); err != nil {
		return nil, err
	}
	r.write("%s started, callers connect to %s", i.name, i.callers)
	return i, i.awaitReady(time.Now().Add(startTime))
}

func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	cmd := exec.Command(program, "serve")
	cmd.Env = append(os.Environ(), wire.SettingsVariable+"="+i.settings)
	cmd.Stdout, cmd.Stderr = i.log, i.log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", i.name, err)
	}
	i.cmd = cmd
	return nil
}

// kill kills the process and waits for its end.
func (i *instance) kill() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		_ = i.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
		_ = i.cmd.Wait()
		i.cmd = nil
	}
}

func (i *instance) awaitReady(until time.Time) error {
	for time.Now().Before(until) {
		if res, err := http.Get("http://" + i.ready + "/eelgrassdock/ready"); err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", i.name)
}

// memory returns the memory of the process in kB without the pages of files, 0 if it has ended.
func (i *instance) memory() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, _ := strconv.Atoi(strings.Fields(text)[0]) // 0 if it cannot be read
			return n
		}
	}
	return 0
}
