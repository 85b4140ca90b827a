// Package system runs a whole system inside one process, on loopback ports:
// platform, entries, engines and a plain service. Tests, measurements and the
// demonstration use it.
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
	startTime    = time.Minute // ends a wait for an entry that never starts; not a bound on the start
	keepSeconds  = 1           // locate answers expire fast, so that a stop fits into a demonstration
	stopSeconds  = 20          // longest graceful stop
	engineStep   = 8 * time.Millisecond
	engineMemory = 4000 // tokens; small, so that engines are crowded
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
		// Config holds the engines' parameters; the zero value means small
		// and fast engines that are crowded soon.
		Config model.Config
		// Prepare, if set, changes an entry before it runs.
		Prepare func(i int, e *entry.Entry)
		// Edit, if set, changes the first version of the configuration.
		Edit func(doc *config.Document)

		Memory    *platform.Memory
		Document  config.Document
		Endpoints []*Endpoint

		mu    sync.Mutex
		nodes []*Node
		wg    conc.WaitGroup
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

	// Endpoint is one engine or one replica of the plain service.
	Endpoint struct {
		ID      string
		Addr    string
		Engine  *standin.Engine
		Service *standin.Service
		server  *http.Server
		work    atomic.Int64 // requests for work, also those it rejected
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
	{ID: "riga", Key: "key-riga", Callers: 24},
	{ID: "liepaja", Key: "key-liepaja", Callers: 12},
	{ID: "presov", Key: "key-presov", Callers: 12},
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
	for i := range s.Plains {
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

func (s *System) serve(id string, handler http.Handler) (*Endpoint, error) {
	b := &Endpoint{ID: id, Addr: "127.0.0.1:0"}
	s.Endpoints = append(s.Endpoints, b)
	return b, s.listen(b, handler)
}

// listen serves a back end on its address.
func (s *System) listen(b *Endpoint, handler http.Handler) error {
	l, err := net.Listen("tcp", b.Addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	b.Addr, b.stop = l.Addr().String(), func() {}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/generate", "/orders", "/stock":
			b.work.Add(1)
		}
		handler.ServeHTTP(w, r)
	})}
	b.server = server
	s.wg.Go(func() { _ = server.Serve(l) })
	return nil
}

func (s *System) startEngine(ctx context.Context, i int) error {
	e := s.newEngine(i)
	b, err := s.serve(fmt.Sprintf("engine-%d", i), e.Handler())
	if err != nil {
		return err
	}
	s.runEngine(ctx, b, e)
	place := s.Places[i%len(s.Places)]
	s.Document.Endpoints = append(s.Document.Endpoints, config.Endpoint{
		ID: b.ID, Service: Model, Place: place.Name, Region: place.Region, Addr: b.Addr, Fenced: e.Fenced,
	})
	return nil
}

func (s *System) newEngine(i int) *standin.Engine {
	cfg := s.Config
	if cfg == (model.Config{}) {
		cfg = model.Config{Base: engineStep, Memory: engineMemory}
	}
	cfg.Seed = s.Seed + uint64(i)
	return &standin.Engine{Model: cfg, Lag: 500 * time.Millisecond, Models: []string{Model}, Fenced: i%2 == 0}
}

func (s *System) runEngine(ctx context.Context, b *Endpoint, e *standin.Engine) {
	ctx, b.stop = context.WithCancel(ctx)
	b.Engine = e
	s.wg.Go(func() { _ = e.Run(ctx) })
}

// RestartEngine ends engine i as a crash does and starts it again on the same
// address, without its generations.
func (s *System) RestartEngine(ctx context.Context, i int) error {
	b, e := s.Endpoints[i], s.newEngine(i)
	b.Kill()
	if err := s.listen(b, e.Handler()); err != nil {
		return err
	}
	s.runEngine(ctx, b, e)
	return nil
}

func (s *System) startPlain(i int) error {
	service := &standin.Service{}
	b, err := s.serve(fmt.Sprintf("orders-%d", i), service.Handler())
	if err != nil {
		return err
	}
	b.Service = service
	place := s.Places[i%len(s.Places)]
	s.Document.Endpoints = append(s.Document.Endpoints, config.Endpoint{
		ID: b.ID, Service: Plain, Place: place.Name, Region: place.Region, Addr: b.Addr,
	})
	return nil
}

// StartEntry starts entry number i, or a successor of it, and waits until it
// is ready. A port that was free may be taken by another connection before the
// entry listens on it; then it starts on another one.
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

// RestartEntry starts entry number i again on the addresses of one that ended.
func (s *System) RestartEntry(ctx context.Context, i int, ended *Node) (*Node, error) {
	return s.startEntry(ctx, i, ended.Entry.Settings.Addr, ended.Entry.Settings.Peer)
}

func (s *System) startEntry(ctx context.Context, i int, addr, peer string) (*Node, error) {
	place := s.Places[i%len(s.Places)]
	ctx, cancel := context.WithCancel(ctx)
	n := &Node{Stop: cancel, Done: make(chan struct{}), Entry: &entry.Entry{
		Settings: entry.Settings{
			Name: fmt.Sprintf("entry%d", i), Addr: addr, Peer: peer, Place: place.Name, Region: place.Region,
			Platform: "http://127.0.0.1:1", Keep: keepSeconds, Stop: stopSeconds,
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

// Nodes lists the entries that were started, also those that have ended.
func (s *System) Nodes() []*Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.nodes)
}

// Ended tells whether the entry has ended.
func (n *Node) Ended() bool {
	select {
	case <-n.Done:
		return true
	default:
		return false
	}
}

// publishInstances puts the entries that run into the platform's list.
func (s *System) publishInstances() {
	var list []platform.Instance
	for _, n := range s.Nodes() {
		if !n.Ended() {
			set := n.Entry.Settings
			list = append(list, platform.Instance{ID: set.Name, Addr: set.Addr, Peer: set.Peer, Place: set.Place, Region: set.Region})
		}
	}
	s.Memory.SetInstances(list)
}

// IsReady tells whether the entry at an address knows a configuration.
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

func (n *Node) waitReady(ctx context.Context) error {
	addr, until := n.Entry.Addr(), time.Now().Add(startTime)
	for time.Now().Before(until) && ctx.Err() == nil && !n.Ended() {
		if IsReady(ctx, addr) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	if n.Ended() {
		return fmt.Errorf("entry %s ended: %w", addr, n.Err)
	}
	return errors.Newf("entry %s was not ready in %s", addr, startTime)
}

// Addrs lists the addresses of the entries that run.
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
	for _, b := range s.Endpoints {
		if b.Service != nil {
			list = append(list, b.Addr)
		}
	}
	return list
}

// Requests counts the requests for work that came, also those it rejected.
func (b *Endpoint) Requests() int64 { return b.work.Load() }

// Kill ends a back end as a crash does.
func (b *Endpoint) Kill() {
	b.stop()
	_ = b.server.Close()
}

// Close ends everything.
func (s *System) Close() {
	var wg sync.WaitGroup
	for _, n := range s.Nodes() {
		wg.Go(func() {
			n.Entry.Kill()
			n.Stop()
			<-n.Done
		})
	}
	wg.Wait()
	for _, b := range s.Endpoints {
		b.Kill()
	}
	s.wg.Wait()
}

// Preemptions counts the preemptions of all engines.
func (s *System) Preemptions() int64 {
	var n int64
	for _, b := range s.Endpoints {
		if b.Engine != nil {
			n += b.Engine.Preempted()
		}
	}
	return n
}
