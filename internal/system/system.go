// Package system runs a whole system in one process on loopback ports: the
// platform's store, entries, stand-in engines and replicas of a plain service.
// Tests, measurements and the demonstration use it.
package system

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/eelgrassdock/eelgrassdock/internal/load"
	"github.com/eelgrassdock/eelgrassdock/internal/port"
	"github.com/eelgrassdock/eelgrassdock/process/entry"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
	"github.com/eelgrassdock/eelgrassdock/standin"
	"github.com/eelgrassdock/eelgrassdock/standin/model"
	"github.com/eelgrassdock/eelgrassdock/version/config"
)

const (
	keepSeconds = 1  // for which callers may cache locate answers; a graceful stop waits until they expire, so a short time fits a demonstration
	stopSeconds = 20 // longest graceful stop
	// startSeconds is far above the time that entries need to start. They share
	// one process, so that a busy machine slows down all of them.
	startSeconds = 3600
	engineStep   = 8 * time.Millisecond
	engineMemory = 4000 // tokens; so few that engines run short of memory
)

type (
	// System is a whole system in one process. Its exported fields are set before
	// Start, except for Document and Endpoints, which Start fills in.
	System struct {
		Places        []Place
		Entries       int
		Engines       int
		PlainReplicas int
		Seed          uint64
		Log           *logrus.Logger
		// Config holds the engines' parameters; the zero value means fast engines
		// with little memory, which run short of it under a small load.
		Config model.Config
		// Away is the time until an endpoint starts again that a request has crashed
		// (standin.DeadlyText); no request crashes one if it is zero.
		Away time.Duration
		// Prepare, if set, changes an entry before it runs.
		Prepare func(i int, e *entry.Entry)
		// Edit, if set, changes the first version of the configuration.
		Edit func(doc *config.Document)

		// Memory is the platform; Start creates one if it is nil.
		Memory *platform.Memory
		// Document is the first version of the configuration.
		Document config.Document
		// Endpoints lists the engines, then the plain replicas.
		Endpoints []*Endpoint

		mu      sync.Mutex
		nodes   []*Node
		crashes []time.Time // of endpoints, by requests
		closed  bool
		wg      conc.WaitGroup
	}

	// Place is a data centre and its region.
	Place struct{ Name, Region string }

	// Node is one run of an entry.
	Node struct {
		Entry *entry.Entry
		Stop  context.CancelFunc // stops the entry gracefully
		Done  chan struct{}      // closed when the entry has ended
		Err   error              // of Entry.Run, once Done is closed
	}

	// Endpoint is one engine or one replica of the plain service. Either Engine
	// or Service is set.
	Endpoint struct {
		ID       string
		Addr     string
		Engine   *standin.Engine
		Service  *standin.Service
		server   *http.Server
		requests atomic.Int64 // requests for work, including rejected ones
		stop     context.CancelFunc
	}
)

// IDs of the services in the system's configuration.
const (
	Model = "guide"  // the engine service and its model
	Plain = "orders" // the plain service
)

// Accounts lists the callers' accounts of the system, with several callers each.
var Accounts = []load.Account{
	{ID: "riga", Key: "key-riga", Callers: 24},
	{ID: "liepaja", Key: "key-liepaja", Callers: 12},
	{ID: "presov", Key: "key-presov", Callers: 12},
}

// Start starts the engines and the plain replicas, publishes the configuration
// and starts the entries one after another. It returns when all are ready.
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
		{ID: Model, Kind: config.KindEngine, Weights: config.Weights{Stall: 3, Gap: 1, Preempt: 1}},
		{ID: Plain, Kind: config.KindPlain, Routes: []config.Route{
			{Method: http.MethodPost, Path: "/orders"},
			{Method: http.MethodGet, Path: "/stock", Idempotent: true},
		}},
	}
	for i := range s.Engines {
		if err := s.startEngine(ctx, i); err != nil {
			return fmt.Errorf("start engine %d: %w", i, err)
		}
	}
	for i := range s.PlainReplicas {
		if err := s.startPlain(i); err != nil {
			return fmt.Errorf("start plain replica %d: %w", i, err)
		}
	}
	if s.Edit != nil {
		s.Edit(&s.Document)
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

// serve adds an endpoint and serves it on a free port.
func (s *System) serve(id string, handler http.Handler) (*Endpoint, error) {
	ep := &Endpoint{ID: id, Addr: "127.0.0.1:0"}
	s.Endpoints = append(s.Endpoints, ep)
	return ep, s.listen(ep, handler)
}

// listen serves an endpoint on its address and counts its requests for work.
func (s *System) listen(ep *Endpoint, handler http.Handler) error {
	l, err := net.Listen("tcp", ep.Addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ep.Addr, ep.stop = l.Addr().String(), func() {}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/generate", "/orders", "/stock":
			ep.requests.Add(1)
		}
		handler.ServeHTTP(w, r)
	})}
	ep.server = server
	s.wg.Go(func() { _ = server.Serve(l) })
	return nil
}

func (s *System) startEngine(ctx context.Context, i int) error {
	e := s.newEngine(ctx, i)
	ep, err := s.serve(fmt.Sprintf("engine-%d", i), e.Handler())
	if err != nil {
		return err
	}
	s.runEngine(ctx, ep, e)
	place := s.Places[i%len(s.Places)]
	s.Document.Endpoints = append(s.Document.Endpoints, config.Endpoint{
		ID: ep.ID, Service: Model, Place: place.Name, Region: place.Region, Addr: ep.Addr, Fenced: e.Fenced,
	})
	return nil
}

// newEngine creates engine number i. Every second engine checks fencing tokens.
func (s *System) newEngine(ctx context.Context, i int) *standin.Engine {
	cfg := s.Config
	if cfg == (model.Config{}) {
		cfg = model.Config{Base: engineStep, Memory: engineMemory}
	}
	cfg.Seed = s.Seed + uint64(i)
	e := &standin.Engine{Model: cfg, Lag: 500 * time.Millisecond, Models: []string{Model}, Fenced: i%2 == 0}
	if s.Away > 0 {
		e.Crash = sync.OnceFunc(func() { s.crash(ctx, i) })
	}
	return e
}

// runEngine runs an engine until ctx ends or the endpoint is killed.
func (s *System) runEngine(ctx context.Context, ep *Endpoint, e *standin.Engine) {
	ctx, ep.stop = context.WithCancel(ctx)
	ep.Engine = e
	s.wg.Go(func() { _ = e.Run(ctx) })
}

// RestartEngine ends engine i abruptly, as a crash does, and starts it again on
// the same address without its generations.
func (s *System) RestartEngine(ctx context.Context, i int) error {
	ep, e := s.Endpoints[i], s.newEngine(ctx, i)
	ep.Kill()
	if err := s.listen(ep, e.Handler()); err != nil {
		return err
	}
	s.runEngine(ctx, ep, e)
	return nil
}

func (s *System) startPlain(i int) error {
	service := s.newService(s.Engines + i)
	ep, err := s.serve(fmt.Sprintf("orders-%d", i), service.Handler())
	if err != nil {
		return err
	}
	ep.Service = service
	place := s.Places[i%len(s.Places)]
	s.Document.Endpoints = append(s.Document.Endpoints, config.Endpoint{
		ID: ep.ID, Service: Plain, Place: place.Name, Region: place.Region, Addr: ep.Addr,
	})
	return nil
}

// StartEntry starts entry number i, or a successor of it, on free ports and
// waits until it is ready. If another connection takes a port before the entry
// listens on it, the entry is started again on other ports.
func (s *System) StartEntry(ctx context.Context, i int) (*Node, error) {
	for {
		addr, err := port.Addr()
		if err != nil {
			return &Node{}, err
		}
		peer, err := port.Addr()
		if err != nil {
			return &Node{}, err
		}
		n, err := s.startEntry(ctx, i, addr, peer)
		if err == nil || !n.Ended() || !errors.Is(n.Err, syscall.EADDRINUSE) {
			return n, err
		}
		s.mu.Lock()
		s.nodes = slices.DeleteFunc(s.nodes, func(other *Node) bool { return other == n })
		s.mu.Unlock()
	}
}

// RestartEntry starts entry number i on the addresses of an entry that has
// ended, and waits until it is ready.
func (s *System) RestartEntry(ctx context.Context, i int, ended *Node) (*Node, error) {
	return s.startEntry(ctx, i, ended.Entry.Settings.Addr, ended.Entry.Settings.Peer)
}

func (s *System) startEntry(ctx context.Context, i int, addr, peer string) (*Node, error) {
	place := s.Places[i%len(s.Places)]
	ctx, cancel := context.WithCancel(ctx)
	n := &Node{Stop: cancel, Done: make(chan struct{}), Entry: &entry.Entry{
		Settings: entry.Settings{
			Name: fmt.Sprintf("entry%d", i), Addr: addr, Peer: peer, Place: place.Name, Region: place.Region,
			Platform: "http://127.0.0.1:1", Keep: keepSeconds, Stop: stopSeconds, Start: startSeconds,
		},
		Platform: s.Memory.Platform(), Log: s.Log,
	}}
	if s.Prepare != nil {
		s.Prepare(i, n.Entry)
	}
	s.wg.Go(func() {
		n.Err = n.Entry.Run(ctx)
		close(n.Done)
	})
	s.mu.Lock()
	s.nodes = append(s.nodes, n)
	s.mu.Unlock()
	s.publishInstances()
	return n, n.waitReady(ctx)
}

// Nodes lists all entries that were started, including those that have ended.
func (s *System) Nodes() []*Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.nodes)
}

// Ended reports whether the entry has ended.
func (n *Node) Ended() bool {
	select {
	case <-n.Done:
		return true
	default:
		return false
	}
}

// publishInstances sets the platform's list of instances to the running entries.
func (s *System) publishInstances() {
	var list []platform.Instance
	for _, n := range s.Nodes() {
		if !n.Ended() {
			settings := n.Entry.Settings
			list = append(list, platform.Instance{ID: settings.Name, Addr: settings.Addr, Peer: settings.Peer, Place: settings.Place, Region: settings.Region})
		}
	}
	s.Memory.SetInstances(list)
}

// IsReady reports whether the entry at an address answers and has a
// configuration.
func IsReady(ctx context.Context, addr string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/health", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	var h entry.Health
	return json.NewDecoder(res.Body).Decode(&h) == nil && h.Version > 0
}

// waitReady returns nil when the entry is ready, and an error if it ends or ctx
// ends before.
func (n *Node) waitReady(ctx context.Context) error {
	addr := n.Entry.Addr()
	for ctx.Err() == nil && !n.Ended() {
		if IsReady(ctx, addr) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	if n.Ended() {
		return fmt.Errorf("entry %s ended: %w", addr, n.Err)
	}
	return fmt.Errorf("wait for entry %s: %w", addr, ctx.Err())
}

// Addrs lists the addresses of the running entries.
func (s *System) Addrs() []string {
	var list []string
	for _, n := range s.Nodes() {
		if !n.Ended() {
			list = append(list, n.Entry.Addr())
		}
	}
	return list
}

// PlainAddrs lists the addresses of the plain replicas.
func (s *System) PlainAddrs() []string {
	var list []string
	for _, ep := range s.Endpoints {
		if ep.Service != nil {
			list = append(list, ep.Addr)
		}
	}
	return list
}

// Requests returns the number of requests for work that arrived, including
// rejected ones.
func (ep *Endpoint) Requests() int64 { return ep.requests.Load() }

// Kill ends the endpoint abruptly, as a crash does.
func (ep *Endpoint) Kill() {
	ep.stop()
	_ = ep.server.Close()
}

// Close ends all entries and endpoints abruptly and waits for them.
func (s *System) Close() {
	var wg sync.WaitGroup
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, n := range s.Nodes() {
		wg.Go(func() {
			n.Entry.Kill()
			n.Stop()
			<-n.Done
		})
	}
	wg.Wait()
	for _, ep := range s.Endpoints {
		ep.Kill()
	}
	s.wg.Wait()
}

// Preemptions returns the number of preemptions at all engines.
func (s *System) Preemptions() int64 {
	var n int64
	for _, ep := range s.Endpoints {
		if ep.Engine != nil {
			n += ep.Engine.Preempted()
		}
	}
	return n
}
