// Package demo runs a whole system inside one process, on loopback ports:
// platform, entries in three places, engines and a plain service, with load
// through them and failures on the way.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/eelgrassdock/eelgrassdock/internal/load"
	"github.com/eelgrassdock/eelgrassdock/process/entry"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
	"github.com/eelgrassdock/eelgrassdock/standin"
	"github.com/eelgrassdock/eelgrassdock/version/config"
)

const (
	startTime   = 10 * time.Second // longest start of an entry
	keepSeconds = 1                // locate answers expire fast, so that a stop fits into a demonstration
	stopSeconds = 20               // longest graceful stop
	engineStep  = 8 * time.Millisecond
)

type (
	// System is a whole system in one process. Its fields are set before Start.
	System struct {
		Places  []Place
		Entries int
		Engines int
		Plains  int
		Seed    uint64
		Log     *logrus.Logger

		Memory   *platform.Memory
		Document config.Document
		Nodes    []*Node
		Back     []*Backend

		wg conc.WaitGroup
	}

	// Place is a data centre and its region.
	Place struct{ Name, Region string }

	// Node is one entry of the system.
	Node struct {
		Entry *entry.Entry
		Stop  context.CancelFunc
		Done  chan struct{}
		Err   error
	}

	// Backend is one engine or one replica of the plain service.
	Backend struct {
		ID      string
		Addr    string
		Engine  *standin.Engine
		Service *standin.Service
		server  *http.Server
		stop    context.CancelFunc
	}
)

// Names in the system's configuration.
const (
	Model = "guide"  // the engine service
	Plain = "orders" // the plain service
)

// Accounts are the accounts of the system, with several callers each.
var Accounts = []load.Account{
	{ID: "riga", Key: "key-riga", Callers: 6},
	{ID: "liepaja", Key: "key-liepaja", Callers: 3},
	{ID: "presov", Key: "key-presov", Callers: 3},
}

// Start brings the system up.
func (s *System) Start(ctx context.Context) error {
	if s.Memory == nil {
		s.Memory = &platform.Memory{Seed: s.Seed}
	}
	s.Document = config.Document{Version: 1, Secrets: []string{"00112233445566778899aabbccddeeff"}}
	for _, a := range Accounts {
		s.Document.Accounts = append(s.Document.Accounts, config.Account{ID: a.ID, Keys: []string{config.HashKey(a.Key)}})
	}
	s.Document.Accounts = append(s.Document.Accounts, config.Account{ID: "ops", Keys: []string{config.HashKey("key-ops")}, Operator: true})
	s.Document.Services = []config.Service{
		{ID: Model, Kind: config.Engine, Weights: config.Weights{Stall: 3, Gap: 1, Preempt: 1}},
		{ID: Plain, Kind: config.Plain, Routes: []config.Route{
			{Method: http.MethodPost, Path: "/orders"},
			{Method: http.MethodGet, Path: "/stock", Idempotent: true},
		}},
	}
	for i := range s.Engines {
		if err := s.startEngine(ctx, i); err != nil {
			return fmt.Errorf("start engine %d: %w", i, err)
		}
	}
	for i := range s.Plains {
		if err := s.startPlain(i); err != nil {
			return fmt.Errorf("start plain replica %d: %w", i, err)
		}
	}
	if err := entry.Publish(ctx, s.Memory.Platform(), s.Document); err != nil {
		return fmt.Errorf("publish configuration: %w", err)
	}
	for i := range s.Entries {
		if _, err := s.StartEntry(ctx, i); err != nil {
			return fmt.Errorf("start entry %d: %w", i, err)
		}
	}
	return nil
}

func (s *System) serve(id string, handler http.Handler) (*Backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	b := &Backend{ID: id, Addr: l.Addr().String(), server: &http.Server{Handler: handler}}
	s.wg.Go(func() { _ = b.server.Serve(l) })
	s.Back = append(s.Back, b)
	return b, nil
}

func (s *System) startEngine(ctx context.Context, i int) error {
	e := &standin.Engine{Step: engineStep, Models: []string{Model}, Fenced: i%2 == 0}
	b, err := s.serve(fmt.Sprintf("engine-%d", i), e.Handler())
	if err != nil {
		return err
	}
	ctx, b.stop = context.WithCancel(ctx)
	b.Engine = e
	s.wg.Go(func() { _ = e.Run(ctx) })
	place := s.Places[i%len(s.Places)]
	s.Document.Endpoints = append(s.Document.Endpoints, config.Endpoint{
		ID: b.ID, Service: Model, Place: place.Name, Region: place.Region, Addr: b.Addr, Fenced: e.Fenced,
	})
	return nil
}

func (s *System) startPlain(i int) error {
	service := &standin.Service{}
	b, err := s.serve(fmt.Sprintf("orders-%d", i), service.Handler())
	if err != nil {
		return err
	}
	b.Service = service
	b.stop = func() {}
	place := s.Places[i%len(s.Places)]
	s.Document.Endpoints = append(s.Document.Endpoints, config.Endpoint{
		ID: b.ID, Service: Plain, Place: place.Name, Region: place.Region, Addr: b.Addr,
	})
	return nil
}

// StartEntry starts entry number i, or a successor of it, and waits until it
// is ready.
func (s *System) StartEntry(ctx context.Context, i int) (*Node, error) {
	place := s.Places[i%len(s.Places)]
	addr, err := freeAddr("tcp")
	if err != nil {
		return nil, err
	}
	peer, err := freeAddr("udp")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	n := &Node{Stop: cancel, Done: make(chan struct{}), Entry: &entry.Entry{
		Settings: entry.Settings{
			Name: fmt.Sprintf("entry%d", i), Addr: addr, Peer: peer, Place: place.Name, Region: place.Region,
			Platform: "http://127.0.0.1:1", Keep: keepSeconds, Stop: stopSeconds,
		},
		Platform: s.Memory.Platform(), Log: s.Log,
	}}
	s.wg.Go(func() {
		n.Err = n.Entry.Run(ctx)
		close(n.Done)
	})
	s.Nodes = append(s.Nodes, n)
	s.publishInstances()
	return n, waitReady(ctx, addr)
}

// publishInstances puts the entries that run into the platform's list.
func (s *System) publishInstances() {
	var list []platform.Instance
	for _, n := range s.Nodes {
		select {
		case <-n.Done:
		default:
			set := n.Entry.Settings
			list = append(list, platform.Instance{ID: set.Name, Addr: set.Addr, Peer: set.Peer, Place: set.Place, Region: set.Region})
		}
	}
	s.Memory.SetInstances(list)
}

func freeAddr(network string) (string, error) {
	if network == "udp" {
		// The TCP port of the same number is used too, so both must be free.
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", fmt.Errorf("find a free port: %w", err)
		}
		defer l.Close()
		return l.Addr().String(), nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func waitReady(ctx context.Context, addr string) error {
	until := time.Now().Add(startTime)
	for time.Now().Before(until) && ctx.Err() == nil {
		res, err := http.Get("http://" + addr + "/v1/health")
		if err == nil {
			var h entry.Health
			err = json.NewDecoder(res.Body).Decode(&h)
			_ = res.Body.Close()
			if err == nil && h.Version > 0 {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.Newf("entry %s was not ready in %s", addr, startTime)
}

// Addrs lists the addresses of the entries that run.
func (s *System) Addrs() []string {
	var list []string
	for _, n := range s.Nodes {
		select {
		case <-n.Done:
		default:
			list = append(list, n.Entry.Addr())
		}
	}
	return list
}

// PlainAddrs lists the addresses of the plain replicas.
func (s *System) PlainAddrs() []string {
	var list []string
	for _, b := range s.Back {
		if b.Service != nil {
			list = append(list, b.Addr)
		}
	}
	return list
}

// Kill ends a back end as a crash does.
func (b *Backend) Kill() {
	b.stop()
	_ = b.server.Close()
}

// Close ends everything.
func (s *System) Close() {
	var wg sync.WaitGroup
	for _, n := range s.Nodes {
		wg.Go(func() {
			n.Entry.Kill()
			n.Stop()
			<-n.Done
		})
	}
	wg.Wait()
	for _, b := range s.Back {
		b.Kill()
	}
	s.wg.Wait()
}

// Options of a demonstration.
type Options struct {
	Seconds int
	Seed    uint64
	// Status takes the progress line; nil for none.
	Status io.Writer
	Log    *logrus.Logger
}

// Run runs a demonstration: a system under load, one entry stopped gracefully,
// one killed, one engine lost, and one outage of the store.
func Run(ctx context.Context, o Options) (load.Report, error) {
	s := &System{
		Places:  []Place{{"riga-1", "north"}, {"bratislava-1", "middle"}, {"lisbon-1", "south"}},
		Entries: 3, Engines: 6, Plains: 2, Seed: o.Seed, Log: o.Log,
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.Close()
	if err := s.Start(ctx); err != nil {
		return load.Report{}, err
	}
	runner := &load.Runner{
		Entries: s.Addrs(), Accounts: Accounts, Model: Model, Plain: Plain, Runs: s.PlainAddrs(),
		Seed: o.Seed, Pause: 20 * time.Millisecond,
	}
	period := time.Duration(o.Seconds) * time.Second
	loadCtx, stopLoad := context.WithTimeout(ctx, period)
	defer stopLoad()
	var wg conc.WaitGroup
	wg.Go(func() { s.failures(loadCtx, period, o.Status) })
	if o.Status != nil {
		wg.Go(func() { progress(loadCtx, runner, o.Status) })
	}
	report := runner.Run(loadCtx)
	wg.Wait()
	for _, n := range s.Nodes {
		select {
		case <-n.Done:
			if n.Err != nil {
				return report, fmt.Errorf("entry stopped: %w", n.Err)
			}
		default:
		}
	}
	return report, nil
}

// failures runs the failures at fixed parts of the period.
func (s *System) failures(ctx context.Context, period time.Duration, status io.Writer) {
	steps := []struct {
		part float64
		name string
		do   func()
	}{
		{0.15, "stopping entry 0 gracefully and starting its successor", func() {
			s.Nodes[0].Stop()
			_, _ = s.StartEntry(context.WithoutCancel(ctx), 0)
		}},
		{0.35, "killing entry 1 and starting its successor", func() {
			s.Nodes[1].Entry.Kill()
			s.Nodes[1].Stop()
			_, _ = s.StartEntry(context.WithoutCancel(ctx), 1)
		}},
		{0.5, "losing engine 0", func() { s.Back[0].Kill() }},
		{0.6, "store down", func() { s.Memory.Break(platform.Faults{Down: true}) }},
		{0.8, "store back", func() { s.Memory.Break(platform.Faults{}) }},
	}
	begun := time.Now()
	for _, step := range steps {
		at := begun.Add(time.Duration(step.part * float64(period)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(at)):
		}
		if status != nil {
			fmt.Fprintf(status, "\r\033[K%s\n", step.name)
		}
		step.do()
	}
}

func progress(ctx context.Context, l *load.Runner, w io.Writer) {
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			fmt.Fprintln(w)
			return
		case <-ticker.C:
			fmt.Fprintf(w, "\r\033[K%s", l.Progress())
		}
	}
}
