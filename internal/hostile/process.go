// Package hostile runs one process of the product between the stand-ins of its platform,
// and crowds of clients that waste its memory and its descriptors or break the protocol. Its tests check
// that the process survives within its limits and answers an ordinary request afterwards.
package hostile

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
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

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/internal/port"
	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/internal/system"
	"github.com/eelgrassdock/eelgrassdock/platform/fake"
	"github.com/eelgrassdock/eelgrassdock/process/entry"
	"github.com/eelgrassdock/eelgrassdock/process/gateway"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
)

const (
	key          = "key-hostile"
	bodyBytes    = 4 << 20                // largest body that the configuration allows
	startTimeout = 20 * time.Second       // until the process is ready
	readyPoll    = 20 * time.Millisecond  // between two readiness checks
	samplePoll   = 10 * time.Millisecond  // between two samples of descriptors and unread bytes
	answerTime   = 15 * time.Second       // for an ordinary request, with its repeats after refusals
	answerPause  = 100 * time.Millisecond // between these repeats
	plainWork    = 5 * time.Millisecond   // of a replica for one request
)

type (
	// Limits are the settings that bound a process: memory in MB and descriptors.
	Limits struct{ Memory, Files int }

	// Process is a process of the product.
	Process struct {
		// Addrs holds the addresses of its listeners by name.
		Addrs map[string]string
		// Ask sends an ordinary request once, and returns an error unless it is answered.
		Ask func(ctx context.Context) error

		cmd    *exec.Cmd
		exited chan struct{}
		ends   []func() // of the stand-ins

		mu     sync.Mutex
		unread int // most bytes that were received and not read
		files  int // most open descriptors
	}

	// Peaks are the largest values that were seen of a process.
	Peaks struct {
		Memory int // KB, resident, and received bytes that were not read
		Unread int // KB of these
		Files  int
	}
)

// Serve starts "eelgrassdock serve" with a store and two plain replicas.
func Serve(ctx context.Context, binary, dir string, limits Limits) (p *Process, err error) {
	p = &Process{Addrs: map[string]string{}}
	defer func() {
		if err != nil {
			p.Close()
		}
	}()
	store := &fake.Store{BodyBytes: bodyBytes}
	storeAddr, err := p.listen(store.Handler())
	if err != nil {
		return nil, err
	}
	if err := store.Configure(1, fake.Accounts{key: "hostile"}, answerTime); err != nil {
		return nil, err
	}
	for n := range 2 {
		for _, service := range []string{fake.PlainService, fake.EngineService} {
			if err := p.startEndpoint(store, service, n); err != nil {
				return nil, err
			}
		}
	}
	s := gateway.Settings{
		Name: "hostile", Place: "a1", Region: "a", Places: map[string]string{"a1": "a"}, Store: storeAddr, Beat: 500, Grace: 8, Keep: 1,
		Retry: gateway.Retry{Ratio: 0.2, Window: 10, Slack: 10}, Memory: limits.Memory, Files: limits.Files,
	}
	for name, addr := range map[string]*string{
		"callers": &s.Callers, "ready": &s.Ready, "directory": &s.Locate, "peer": &s.Peer, "probe": &s.Probe, "metrics": &s.Metrics, "loads": &s.Loads,
	} {
		if *addr, err = port.Addr(); err != nil {
			return nil, fmt.Errorf("reserve address: %w", err)
		}
		p.Addrs[name] = *addr
	}
	client := &http.Client{Timeout: time.Second}
	requests := 0
	p.Ask = func(ctx context.Context) error {
		requests++
		reply := fake.Request{
			ID: fmt.Sprint("ordinary-", requests), Path: fake.SafePrefix + "x", Key: key, Deadline: time.Now().Add(answerTime),
		}.Do(ctx, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, s.Callers)
		if reply.Status != http.StatusOK {
			return errors.Newf("answer has status %d, error %v", reply.Status, reply.Err)
		}
		return nil
	}
	return p, p.start(ctx, dir, binary, "serve", s, func() bool { return fake.IsReady(ctx, client, s.Ready) })
}

func (p *Process) startEndpoint(store *fake.Store, service string, n int) error {
	l, err := port.Listen()
	if err != nil {
		return fmt.Errorf("listen for an endpoint: %w", err)
	}
	e := &fake.Endpoint{
		ID: fmt.Sprint(service, n), Service: service, Addr: l.Addr().String(), Place: "a1", Slots: fake.Slots, Work: plainWork, Seed: uint64(n),
		Began: func(fake.Run) {}, Ended: func(fake.Run, bool) {}, Peer: func(string) *fake.Endpoint { return nil },
	}
	e.Start(l)
	p.ends = append(p.ends, e.Kill)
	store.PutEndpoint(e, false)
	return nil
}

// Entry starts "eelgrassdock entry" with a platform, an engine and a plain replica.
func Entry(ctx context.Context, binary, dir string, limits Limits) (p *Process, err error) {
	p = &Process{Addrs: map[string]string{}}
	defer func() {
		if err != nil {
			p.Close()
		}
	}()
	log := logrus.New()
	log.SetOutput(io.Discard)
	sys := &system.System{Places: []system.Place{{Name: "a1", Region: "a"}}, Engines: 1, PlainReplicas: 1, Log: log}
	if err := sys.Start(ctx); err != nil {
		return nil, fmt.Errorf("start the system: %w", err)
	}
	p.ends = append(p.ends, sys.Close)
	addr, err := p.listen(sys.Memory.Handler())
	if err != nil {
		return nil, err
	}
	s := entry.Settings{Name: "hostile", Place: "a1", Region: "a", Platform: "http://" + addr, Keep: 1, Stop: 5, Memory: limits.Memory, Files: limits.Files}
	for name, addr := range map[string]*string{"callers": &s.Addr, "peer": &s.Peer} {
		if *addr, err = port.Addr(); err != nil {
			return nil, fmt.Errorf("reserve address: %w", err)
		}
		p.Addrs[name] = *addr
	}
	sys.Memory.SetInstances([]platform.Instance{{ID: s.Name, Addr: s.Addr, Peer: s.Peer, Place: s.Place, Region: s.Region}})
	p.Ask = func(ctx context.Context) error {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Addr+"/v1/services/"+system.Plain+"/stock", nil)
		if err != nil {
			return fmt.Errorf("create request: %w", err)
		}
		r.Close = true
		r.Header.Set("Authorization", "Bearer "+system.Accounts[0].Key)
		r.Header.Set(entry.CallerHeader, "ordinary")
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			return fmt.Errorf("send: %w", err)
		}
		defer res.Body.Close()
		if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != http.StatusOK {
			return errors.Newf("answer has status %d, error %v", res.StatusCode, err)
		}
		return nil
	}
	return p, p.start(ctx, dir, binary, "entry", s, func() bool { return system.IsReady(ctx, s.Addr) })
}

// listen serves a handler at a free address until Close.
func (p *Process) listen(handler http.Handler) (string, error) {
	l, err := port.Listen()
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }() // ends with Close
	p.ends = append(p.ends, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// start starts the process and waits until it is ready.
func (p *Process) start(ctx context.Context, dir, binary, command string, settings any, ready func() bool) error {
	data, err := json.Marshal(settings)
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	path := filepath.Join(dir, "settings.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	log, err := os.Create(filepath.Join(dir, "process.log"))
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	defer log.Close()
	p.cmd = exec.Command(binary, command, "--config", path)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		p.cmd = nil
		return fmt.Errorf("start process: %w", err)
	}
	p.exited = make(chan struct{})
	go func() {
		defer close(p.exited)
		_ = p.cmd.Wait()
	}()
	for deadline := time.Now().Add(startTimeout); !ready(); {
		if !p.Alive() || time.Now().After(deadline) || !sleep.For(ctx, readyPoll) {
			return errors.Newf("%s is not ready", command)
		}
	}
	go p.sampleFiles()
	go p.sampleUnread()
	return nil
}

// sampleFiles records the peak of open descriptors until the process ends.
func (p *Process) sampleFiles() {
	for ; p.Alive(); time.Sleep(samplePoll) {
		files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		p.mu.Lock()
		p.files = max(p.files, len(files))
		p.mu.Unlock()
	}
}

// sampleUnread records the peak of unread bytes until the process ends. It is slow on a
// machine with many connections.
func (p *Process) sampleUnread() {
	ports := map[string]bool{}
	for _, addr := range p.Addrs {
		if _, text, err := net.SplitHostPort(addr); err == nil {
			n, _ := strconv.Atoi(text)
			ports[fmt.Sprintf("%04X", n)] = true
		}
	}
	for ; p.Alive(); time.Sleep(samplePoll) {
		unread := unreadBytes(ports)
		p.mu.Lock()
		p.unread = max(p.unread, unread)
		p.mu.Unlock()
	}
}

// unreadBytes returns the number of bytes that connections to these local ports have
// received and not read. Ports are in upper-case hexadecimal.
func unreadBytes(ports map[string]bool) (total int) {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	const local, state, queues, established, closing = 1, 3, 4, "01", "08"
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) <= queues || fields[state] != established && fields[state] != closing {
			continue
		}
		_, at, _ := strings.Cut(fields[local], ":")
		_, unread, _ := strings.Cut(fields[queues], ":")
		if n, err := strconv.ParseInt(unread, 16, 64); err == nil && ports[at] {
			total += int(n)
		}
	}
	return total
}

// Alive reports whether the process runs.
func (p *Process) Alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Peaks returns the largest values so far.
func (p *Process) Peaks() (Peaks, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return Peaks{}, fmt.Errorf("read memory: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	peaks := Peaks{Unread: p.unread >> 10, Files: p.files}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			if err != nil {
				return Peaks{}, fmt.Errorf("read memory: %w", err)
			}
			peaks.Memory = kb + peaks.Unread
			return peaks, nil
		}
	}
	return Peaks{}, errors.New("memory of the process is not known")
}

// AskUntilAnswered sends ordinary requests until one is answered, for answerTime.
func (p *Process) AskUntilAnswered(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	for {
		if err = p.Ask(ctx); err == nil || !p.Alive() || !sleep.For(ctx, answerPause) {
			return err
		}
	}
}

// Close kills the process and ends the stand-ins.
func (p *Process) Close() {
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
	}
	for _, end := range p.ends {
		end()
	}
}
