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
	entryStep       = 4 * time.Millisecond // base step time of an engine
	entryMaxTokens  = 100                  // longest answer
	entryMemory     = 4000                 // capacity of an engine in tokens, small enough to fill up soon
	entryPause      = 20 * time.Millisecond
	entryStoreDelay = 200 // milliseconds added by a slow store
	loseShare       = 0.5 // share of the store's answers to writes that is lost
	minPlains       = 2   // minimum number of replicas of the plain service
)

type (
	// Entries is a soak of the product's own interface. The entries are
	// processes; callers, which use the client package, and simulated engines
	// and services run in this process. Exported fields are set before Run.
	Entries struct {
		Binary    string // path of the program
		Dir       string // for settings files and logs
		Seed      uint64
		Duration  time.Duration
		Processes int
		Callers   int // per process
		// Faults replaces the plan that is drawn from the seed, unless nil.
		Faults []Fault
		// Lie makes the plain services execute calls and answer that they were
		// not executed.
		Lie bool
		// Progress receives a line for each fault; may be nil.
		Progress io.Writer

		system  system.System
		entries []*process
		addrs   []string // of the entries, by the same index

		mu   sync.Mutex
		errs []string
	}

	// EntriesSummary is the result of an Entries soak.
	EntriesSummary struct {
		Seed      uint64           `json:"seed"`
		Seconds   float64          `json:"seconds"`
		Processes int              `json:"processes"`
		Faults    map[string]int64 `json:"faults"` // by kind
		Report    load.Report      `json:"report"` // results of the callers' checks
		Errors    []string         `json:"errors"` // unexpected exits of processes, and errors of the soak itself
		Kept      bool             `json:"kept"`   // no promise was violated and no error occurred
	}
)

// Run starts the system, runs the load and the fault plan for Duration, and
// returns the summary.
func (s *Entries) Run(ctx context.Context) (EntriesSummary, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.tearDown()
	if err := s.setUp(ctx); err != nil {
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
	faults.Go(func() { counts = runPlan(ctx, begun, plan, s.Progress, func(f Fault) { s.inject(ctx, f) }) })
	runner := &load.Runner{
		Entries: s.addrs, Accounts: []load.Account{{ID: "riga", Key: "key-riga", Callers: s.Callers * s.Processes}},
		Model: system.Model, Plain: system.Plain, Runs: s.system.PlainAddrs(), Seed: s.Seed, Max: entryMaxTokens, Pause: entryPause,
		Timeout: requestTimeout, Preemptions: s.system.Preemptions,
	}
	report := runner.Run(working)
	faults.Wait()
	sum := EntriesSummary{
		Seed: s.Seed, Seconds: time.Since(begun).Seconds(), Processes: s.Processes, Faults: counts, Report: report, Errors: s.errs,
	}
	for _, p := range s.entries {
		sum.Errors = append(sum.Errors, p.unexpectedExits()...)
	}
	sum.Kept = !report.Broken() && len(sum.Errors) == 0
	return sum, ctx.Err()
}

// setUp starts the platform, the endpoints and the entries, and waits until the
// entries are ready.
func (s *Entries) setUp(ctx context.Context) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s.system.Places = []system.Place{{Name: "riga-1", Region: "baltic"}, {Name: "presov-1", Region: "tatra"}}
	s.system.Engines, s.system.PlainReplicas = max(s.Processes, minEndpoints), max(s.Processes/2, minPlains)
	s.system.Seed, s.system.Log = s.Seed, log
	s.system.Config.Base, s.system.Config.Memory = entryStep, entryMemory
	if err := s.system.Start(ctx); err != nil {
		return err
	}
	addr, err := serve(ctx, s.system.Memory.Handler())
	if err != nil {
		return fmt.Errorf("listen for the platform: %w", err)
	}
	var list []platform.Instance
	for n := range s.Processes {
		place := s.system.Places[n%len(s.system.Places)]
		settings := entry.Settings{
			Name: fmt.Sprint("e", n), Place: place.Name, Region: place.Region, Platform: "http://" + addr,
			Keep: addressTTL, Stop: grace - 1,
		}
		for _, addr := range []*string{&settings.Addr, &settings.Peer} {
			if *addr, err = port.Addr(); err != nil {
				return fmt.Errorf("reserve address of %s: %w", settings.Name, err)
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

// inject injects one fault, and for most kinds ends it after f.Last.
func (s *Entries) inject(ctx context.Context, f Fault) {
	p := s.entries[f.Target%len(s.entries)]
	s.mu.Lock()
	engine := s.system.Endpoints[f.Target%s.system.Engines].Engine // read under the lock, because Crash replaces it
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
		s.killAndRestart(ctx, p, f.Last)
	case Herd:
		var all conc.WaitGroup
		for n, p := range s.entries {
			if (n+f.Target)%herdInterval != 0 {
				all.Go(func() { s.killAndRestart(ctx, p, f.Last) })
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
				s.recordError(errors.Newf("%s did not end within %v s", p.name, grace))
			}
			s.recordError(p.start())
		}
	case Refuse:
		store(platform.Faults{Down: true})
	case Slow:
		store(platform.Faults{Slow: entryStoreDelay})
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

// killAndRestart kills a process and starts it again after a delay.
func (s *Entries) killAndRestart(ctx context.Context, p *process, last time.Duration) {
	p.kill()
	sleep.For(ctx, last)
	s.recordError(p.start())
}

func (s *Entries) recordError(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errs = append(s.errs, err.Error())
}

// tearDown ends everything that the soak has started.
func (s *Entries) tearDown() {
	var all conc.WaitGroup
	for _, p := range s.entries {
		all.Go(p.kill)
	}
	all.Wait()
	s.system.Close()
}
