package soak

import (
	"context"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/eelgrassdock/eelgrassdock/internal/load"
	"github.com/eelgrassdock/eelgrassdock/internal/port"
	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/internal/system"
	"github.com/eelgrassdock/eelgrassdock/process/entry"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
	"github.com/eelgrassdock/eelgrassdock/standin"
)

const (
	entryStep   = 4 * time.Millisecond // of an engine
	entryTokens = 100                  // most tokens of an answer
	entryMemory = 4000                 // tokens of an engine, which is soon crowded
	entryPause  = 20 * time.Millisecond
	entrySlow   = 200 // milliseconds that an answer of a slow store takes longer
	loseShare   = 0.5 // of the store's answers to writes
	plainsLeast = 2   // replicas of the plain service at least
)

type (
	// Entries is a soak of the product's own interface: entries as processes,
	// callers with the client package, simulated engines and services in this
	// process. Fields are set before Run.
	Entries struct {
		Binary    string // of the program
		Dir       string // for settings and logs
		Seed      uint64
		Duration  time.Duration
		Processes int
		Callers   int // for each process
		// Faults replaces the plan of the seed, if not nil.
		Faults []Fault
		// Lie makes the plain services execute calls and say that they have not.
		Lie bool
		// Progress gets a line now and then; may be nil.
		Progress io.Writer

		system  system.System
		entries []*process
		addrs   []string // of the entries, in the same order

		mu   sync.Mutex
		errs []string
	}

	// EntriesSummary is the result of an Entries.
	EntriesSummary struct {
		Seed      uint64           `json:"seed"`
		Seconds   float64          `json:"seconds"`
		Processes int              `json:"processes"`
		Faults    map[string]int64 `json:"faults"` // by kind
		Report    load.Report      `json:"report"` // counts of the callers' checks
		Errors    []string         `json:"errors"` // processes that ended by themselves, and failures of the soak
		Kept      bool             `json:"kept"`   // no promise was broken
	}
)

// Run runs the soak to its end.
func (s *Entries) Run(ctx context.Context) (EntriesSummary, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.end()
	if err := s.begin(ctx); err != nil {
		return EntriesSummary{}, err
	}
	begun := time.Now()
	working, stop := context.WithTimeout(ctx, s.Duration)
	defer stop()
	plan := s.Faults
	if plan == nil {
		plan = EntryPlan(s.Seed, s.Duration)
	}
	var counts map[string]int64
	var faults conc.WaitGroup
	faults.Go(func() { counts = play(ctx, begun, plan, s.Progress, func(f Fault) { s.inject(ctx, f) }) })
	runner := &load.Runner{
		Entries: s.addrs, Accounts: []load.Account{{ID: "riga", Key: "key-riga", Callers: s.Callers * s.Processes}},
		Model: system.Model, Plain: system.Plain, Runs: s.system.PlainAddrs(), Seed: s.Seed, Max: entryTokens, Pause: entryPause,
		Patience: patience, Preemptions: s.system.Preemptions,
	}
	report := runner.Run(working)
	faults.Wait()
	sum := EntriesSummary{
		Seed: s.Seed, Seconds: time.Since(begun).Seconds(), Processes: s.Processes, Faults: counts, Report: report, Errors: s.errs,
	}
	for _, p := range s.entries {
		sum.Errors = append(sum.Errors, p.faults()...)
	}
	sum.Kept = !report.Broken() && len(sum.Errors) == 0
	return sum, ctx.Err()
}

// begin starts platform, endpoints and entries, and waits until these are ready.
func (s *Entries) begin(ctx context.Context) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s.system.Places = []system.Place{{Name: "riga-1", Region: "baltic"}, {Name: "presov-1", Region: "tatra"}}
	s.system.Engines, s.system.PlainReplicas = max(s.Processes, leastPlaces), max(s.Processes/2, plainsLeast)
	s.system.Seed, s.system.Log = s.Seed, log
	s.system.Config.Base, s.system.Config.Memory = entryStep, entryMemory
	if err := s.system.Start(ctx); err != nil {
		return err
	}
	addr, err := serve(ctx, s.system.Memory.Handler())
	if err != nil {
		return fmt.Errorf("address of the platform: %w", err)
	}
	var list []platform.Instance
	for n := range s.Processes {
		place := s.system.Places[n%len(s.system.Places)]
		settings := entry.Settings{
			Name: fmt.Sprint("e", n), Place: place.Name, Region: place.Region, Platform: "http://" + addr,
			Keep: keepTime, Stop: grace - 1,
		}
		for _, addr := range []*string{&settings.Addr, &settings.Peer} {
			if *addr, err = port.Addr(); err != nil {
				return fmt.Errorf("address of %s: %w", settings.Name, err)
			}
		}
		p := &process{name: settings.Name, binary: s.Binary, dir: s.Dir}
		p.args = func() ([]string, error) {
			path, err := p.writeSettings(settings)
			return []string{"entry", "--config", path}, err
		}
		s.entries, s.addrs = append(s.entries, p), append(s.addrs, settings.Addr)
		list = append(list, platform.Instance{
			ID: settings.Name, Addr: settings.Addr, Peer: settings.Peer, Place: settings.Place, Region: settings.Region,
		})
	}
	s.system.Memory.SetInstances(list)
	for _, p := range s.entries {
		if err := p.start(); err != nil {
			return err
		}
	}
	if s.Lie {
		for _, e := range s.system.Endpoints[s.system.Engines:] {
			e.Service.Break(standin.ServiceFaults{Lie: true})
		}
	}
	return awaitReady(ctx, s.entries, func(n int) bool { return system.IsReady(ctx, s.addrs[n]) })
}

// inject injects one fault and takes it back.
func (s *Entries) inject(ctx context.Context, f Fault) {
	p := s.entries[f.Target%len(s.entries)]
	s.mu.Lock()
	engine := s.system.Endpoints[f.Target%s.system.Engines].Engine // which a crash replaces
	s.mu.Unlock()
	service := s.system.Endpoints[s.system.Engines+f.Target%s.system.PlainReplicas].Service
	store := func(faults platform.Faults) {
		s.system.Memory.Break(faults)
		sleep.For(ctx, f.Last)
		s.system.Memory.Break(platform.Faults{})
	}
	harmEngine := func(faults standin.EngineFaults) {
		engine.Break(faults)
		sleep.For(ctx, f.Last)
		engine.Break(standin.EngineFaults{})
	}
	harmService := func(faults standin.ServiceFaults) {
		service.Break(faults)
		sleep.For(ctx, f.Last)
		service.Break(standin.ServiceFaults{Lie: s.Lie})
	}
	switch f.Kind {
	case Kill:
		s.again(ctx, p, f.Last)
	case Herd:
		var all conc.WaitGroup
		for n, p := range s.entries {
			if (n+f.Target)%herdShare != 0 {
				all.Go(func() { s.again(ctx, p, f.Last) })
			}
		}
		all.Wait()
	case Pause:
		p.signal(syscall.SIGSTOP)
		sleep.For(ctx, f.Last)
		p.signal(syscall.SIGCONT)
	case Stop:
		if p.running() {
			if !p.stop() {
				s.failed(errors.Newf("%s did not end within %v s", p.name, grace))
			}
			s.failed(p.start())
		}
	case Refuse:
		store(platform.Faults{Down: true})
	case Slow:
		store(platform.Faults{Slow: entrySlow})
	case Lose:
		store(platform.Faults{Lose: loseShare})
	case Garble:
		harmEngine([]standin.EngineFaults{{Garbage: true}, {Repeat: true, Cut: 3}, {Reorder: true}, {Foreign: true}}[f.Target%4])
	case Drop:
		harmEngine([]standin.EngineFaults{{Cut: 5}, {Close: true}, {Stall: true}}[f.Target%3])
	case Reclaim:
		harmEngine(standin.EngineFaults{Leaving: true})
	case Grey:
		harmService([]standin.ServiceFaults{{Hang: true}, {Reject: true}, {Leaving: true}}[f.Target%3])
	case Crash:
		s.mu.Lock()
		defer s.mu.Unlock()
		if err := s.system.RestartEngine(ctx, f.Target%s.system.Engines); err != nil {
			s.errs = append(s.errs, err.Error())
		}
	}
}

// again kills a process and starts it again after a while.
func (s *Entries) again(ctx context.Context, p *process, last time.Duration) {
	p.kill()
	sleep.For(ctx, last)
	s.failed(p.start())
}

func (s *Entries) failed(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errs = append(s.errs, err.Error())
}

// end ends everything that the soak has started.
func (s *Entries) end() {
	var all conc.WaitGroup
	for _, p := range s.entries {
		all.Go(p.kill)
	}
	all.Wait()
	s.system.Close()
}
