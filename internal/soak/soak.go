// Package soak runs the real program as separate processes on loopback, between
// stand-ins of the platform and callers, and injects faults from outside: links
// are harmed by relays, processes are paused, stopped, killed and started again
// by signals, and store and endpoints misbehave. A Ledger checks the promises
// from what callers and endpoints see.
//
// A Soak runs the path on the users' platform, an Entries the product's own
// interface. The faults depend on the seed and the duration alone.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/eelgrassdock/eelgrassdock/internal/port"
	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/platform/stage"
	"github.com/eelgrassdock/eelgrassdock/process/gateway"
)

const (
	enginesEach = 1.0 // engines for each instance
	desksEach   = 0.7 // replicas of the plain service for each instance
	callersEach = 6   // callers for each instance
	leastPlaces = 3   // endpoints of each service at least
	watchEvery  = 50 * time.Millisecond
	stallFrom   = 400 * time.Millisecond // a gap in the watch; the machine was too busy for bounds to hold
	startLimit  = 30 * time.Second       // for the instances to be ready
	slowness    = 300 * time.Millisecond // of a slow store
	herdShare   = 2                      // one in so many instances survives a herd
)

type (
	// Soak is one run. Fields are set before Run.
	Soak struct {
		Binary    string // of the program
		Dir       string // for settings and logs
		Seed      uint64
		Duration  time.Duration
		Instances int
		// Faults replaces the plan of the seed, if not nil.
		Faults []Fault
		// Sabotage names a promise that the soak breaks on purpose.
		Sabotage string
		// Adapt changes the settings of an instance before its start; may be nil.
		Adapt func(instance int, s *gateway.Settings)
		// Callers is the number of callers for each instance, Pause a caller's mean
		// pause between requests.
		Callers int
		Pause   time.Duration
		// Progress gets a line now and then; may be nil.
		Progress io.Writer

		ctx        context.Context
		store      stage.Store
		ledger     Ledger
		operators  operators
		instances  []*instance
		byAddr     map[string]*instance
		sites      []*site
		placeNames []string

		mu       sync.Mutex
		outcomes map[string]int64
		faults   map[string]int64
		errs     []string
		stalls   int64
	}

	// Summary is the result of a soak.
	Summary struct {
		Seed      uint64           `json:"seed"`
		Seconds   float64          `json:"seconds"`
		Instances int              `json:"instances"`
		Outcomes  map[string]int64 `json:"outcomes"` // answers by status
		Faults    map[string]int64 `json:"faults"`   // by kind
		Checks    map[string]int64 `json:"checks"`   // by promise
		Breaches  map[string]int64 `json:"breaches"` // by promise
		Details   []Breach         `json:"details"`
		Errors    []string         `json:"errors"` // processes that ended by themselves, and failures of the soak
		// Stalls counts the moments at which the machine was too busy; bounds
		// are not checked around them.
		Stalls     int64 `json:"stalls"`
		StoreCalls int64 `json:"storecalls"`
		Continued  int64 `json:"continued"` // runs that went on at another endpoint
		Kept       bool  `json:"kept"`      // no promise was broken
	}
)

// Run runs the soak to its end.
func (s *Soak) Run(ctx context.Context) (Summary, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.ctx = ctx
	s.prepare()
	defer s.end()
	if err := s.begin(ctx); err != nil {
		return Summary{}, err
	}
	begun := time.Now()
	var work conc.WaitGroup
	working, stop := context.WithCancel(ctx)
	for n := range s.Callers * s.Instances {
		c := s.newCaller(n)
		work.Go(func() { c.run(working) })
	}
	for _, i := range s.instances {
		work.Go(func() { s.probe(working, i) })
	}
	work.Go(func() { s.watch(working) })
	plan := s.Faults
	if plan == nil {
		plan = Plan(s.Seed, s.Duration)
	}
	s.faults = play(ctx, begun, plan, s.Progress, s.inject)
	sleep.For(ctx, time.Until(begun.Add(s.Duration)))
	stop()
	work.Wait()
	s.ledger.Close()
	return s.summary(time.Since(begun)), ctx.Err()
}

func (s *Soak) prepare() {
	s.outcomes, s.byAddr = map[string]int64{}, map[string]*instance{}
	s.operators.s = s
	s.placeNames = []string{"a1", "a2", "b1"}
	if s.Callers == 0 {
		s.Callers = callersEach
	}
	if s.Pause == 0 {
		s.Pause = thinkTime
	}
}

// begin starts store, endpoints and instances, and waits until these are ready.
func (s *Soak) begin(ctx context.Context) error {
	places := map[string]string{"a1": "a", "a2": "a", "b1": "b"}
	storeAddr, err := serve(ctx, s.store.Handler())
	if err != nil {
		return fmt.Errorf("address of the store: %w", err)
	}
	if err := s.operators.change(false); err != nil {
		return err
	}
	s.sites = s.lay()
	for _, p := range s.sites {
		if err := p.begin(); err != nil {
			return err
		}
	}
	for n := range s.Instances {
		i, err := newInstance(fmt.Sprint("i", n), s.placeNames[n%len(s.placeNames)], s.Binary, s.Dir, storeAddr, places)
		if err != nil {
			return err
		}
		s.instances = append(s.instances, i)
		s.byAddr[i.settings.Callers] = i
	}
	var seeds []string
	for _, i := range s.instances[:min(len(s.instances), 4)] {
		seeds = append(seeds, i.settings.Peer)
	}
	for n, i := range s.instances {
		i.settings.Seeds = seeds
		if s.Adapt != nil {
			s.Adapt(n, &i.settings)
		}
		if s.Sabotage == Budget {
			i.settings.Retry.Slack, i.settings.Retry.Ratio = 1e5, 10
		}
		if err := s.start(i); err != nil {
			return err
		}
	}
	client := s.newClient()
	processes := make([]*process, 0, len(s.instances))
	for _, i := range s.instances {
		processes = append(processes, &i.process)
	}
	return awaitReady(ctx, processes, func(n int) bool { return stage.IsReady(ctx, client, s.instances[n].settings.Ready) })
}

// serve serves a handler at a free address until ctx ends.
func serve(ctx context.Context, handler http.Handler) (string, error) {
	l, err := port.Listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }() // ends with ctx
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// lay gives the sites of all endpoints, always in the same order, since the
// targets of faults are chosen by it.
func (s *Soak) lay() (sites []*site) {
	for _, kind := range []struct {
		service string
		each    float64
	}{{stage.EngineService, enginesEach}, {stage.PlainService, desksEach}} {
		for n := range max(int(kind.each*float64(s.Instances)), leastPlaces) {
			seed := s.Seed + uint64(len(sites))
			sites = append(sites, &site{
				s: s, n: n, service: kind.service, place: s.placeNames[n%len(s.placeNames)], random: rand.New(rand.NewPCG(seed, seed)),
			})
		}
	}
	return sites
}

// awaitReady waits until all processes are ready.
func awaitReady(ctx context.Context, processes []*process, isReady func(n int) bool) error {
	deadline := time.Now().Add(startLimit)
	for n, p := range processes {
		for !isReady(n) {
			if time.Now().After(deadline) || !sleep.For(ctx, watchEvery) {
				return errors.CombineErrors(errors.Newf("%s was not ready in %s", p.name, startLimit), ctx.Err())
			}
		}
	}
	return nil
}

func (s *Soak) start(i *instance) error {
	s.ledger.Disturb(i.name, time.Now())
	return i.start()
}

// play injects the faults of a plan that are due until ctx ends, waits for their
// ends, and counts them by kind.
func play(ctx context.Context, begun time.Time, plan []Fault, progress io.Writer, inject func(f Fault)) map[string]int64 {
	counts := map[string]int64{}
	var faults conc.WaitGroup
	defer faults.Wait()
	for _, f := range plan {
		if !sleep.For(ctx, time.Until(begun.Add(f.After))) {
			break
		}
		counts[f.Kind]++
		if progress != nil {
			_, _ = fmt.Fprintf(progress, "%6.1f s  %-8s %s\n", time.Since(begun).Seconds(), f.Kind, f.Harm)
		}
		faults.Go(func() { inject(f) })
	}
	return counts
}

// inject injects one fault and takes it back.
func (s *Soak) inject(f Fault) {
	i := s.instances[f.Target%len(s.instances)]
	p := s.sites[f.Target%len(s.sites)]
	until := time.Now().Add(f.Last)
	switch f.Kind {
	case Kill:
		s.killAndStart(i, f.Last)
	case Herd:
		var all conc.WaitGroup
		for n, i := range s.instances {
			if (n+f.Target)%herdShare != 0 {
				all.Go(func() { s.killAndStart(i, f.Last) })
			}
		}
		all.Wait()
	case Pause:
		s.ledger.Disturb(i.name, until)
		i.signal(syscall.SIGSTOP)
		sleep.For(s.ctx, f.Last)
		i.signal(syscall.SIGCONT)
		s.ledger.Disturb(i.name, time.Now())
	case Stop:
		s.stop(i)
	case Hup:
		s.ledger.Plan(i.name, time.Now())
		if err := i.retune(f.Target%2 == 0); err != nil {
			s.failed(err)
		}
		i.signal(syscall.SIGHUP)
	case Refuse, Mute, Lose, Slow:
		s.ledger.Disturb(store, until)
		d := stage.StoreFaults{Refuse: f.Kind == Refuse, Silent: f.Kind == Mute, Lose: f.Kind == Lose, Until: until}
		if f.Kind == Slow {
			d.Slow = slowness
		}
		s.store.SetFaults(d)
	case Forget:
		s.ledger.Disturb(store, time.Now())
		s.store.DropHistory()
	case Cutoff:
		s.ledger.Disturb(i.name, until)
		i.store.hurt(f.Harm, until)
	case Door:
		s.ledger.Disturb(i.name, until)
		i.door.hurt(f.Harm, until)
	case Link:
		p.harm(f.Harm, f.Last)
	case Reclaim:
		p.reclaim()
	case Crash:
		p.crash()
	case Grey:
		p.upset(stage.EndpointFaults{Fail: moodShare, Refuse: moodShare}, f.Last)
	case Garble:
		p.upset(stage.EndpointFaults{Cut: moodShare, Stray: moodShare}, f.Last)
	case Drop:
		p.upset(stage.EndpointFaults{Lose: moodShare}, f.Last)
	case Change, Withdraw:
		if err := s.operators.change(f.Kind == Withdraw); err != nil {
			s.failed(err)
		}
	}
}

// killAndStart kills an instance and starts it again after a while.
func (s *Soak) killAndStart(i *instance, last time.Duration) {
	s.ledger.Disturb(i.name, time.Now().Add(last))
	i.kill()
	sleep.For(s.ctx, last)
	if err := s.start(i); err != nil {
		s.failed(err)
	}
}

// stop stops an instance in turn and starts it again.
func (s *Soak) stop(i *instance) {
	if !i.running() {
		return
	}
	begun := time.Now()
	s.ledger.Plan(i.name, begun.Add(time.Duration(grace*float64(time.Second))))
	if s.Sabotage == Planned {
		i.markStopping()
		i.signal(syscall.SIGKILL)
	}
	inTime := i.stop()
	if s.ledger.Calm(i.name, begun) {
		s.ledger.Check(Planned, inTime, "%s did not end within %v s", i.name, grace)
	}
	s.ledger.Plan(i.name, time.Now())
	if err := i.start(); err != nil {
		s.failed(err)
	}
}

// watch notices when the machine is too busy for bounds to hold.
func (s *Soak) watch(ctx context.Context) {
	last := time.Now()
	for sleep.For(ctx, watchEvery) {
		now := time.Now()
		if now.Sub(last) > stallFrom && s.Sabotage == "" {
			s.ledger.Disturb(everything, now)
			s.mu.Lock()
			s.stalls++
			s.mu.Unlock()
		}
		last = now
	}
}

// mood is that of a sound endpoint at the n-th site of its service, unless a
// promise is broken on purpose.
func (s *Soak) mood(n int) stage.EndpointFaults {
	switch s.Sabotage {
	case NotRun:
		return stage.EndpointFaults{FalseNotRun: true} // whichever endpoint is tried last
	case Once:
		return stage.EndpointFaults{FalseNotRun: n%2 == 0}
	case Single:
		return stage.EndpointFaults{IgnoreCancel: true, Cut: moodShare}
	case Budget:
		return stage.EndpointFaults{Fail: 1}
	}
	return stage.EndpointFaults{}
}

// began takes the report that an endpoint begins to work on a request.
func (s *Soak) began(r stage.Run) {
	s.ledger.Check(Own, r.Key == "", "request %s came with a key of a client account", r.Request)
	s.ledger.Began(r.Request, r.Endpoint, r.Account, r.Continued, time.Now())
}

// endpoint gives the engine with an address.
func (s *Soak) endpoint(addr string) *stage.Endpoint {
	for _, p := range s.sites {
		if e, _ := p.current(); e.Addr == addr {
			return e
		}
	}
	return nil
}

func (s *Soak) instanceAt(addr string) *instance { return s.byAddr[addr] }

func (s *Soak) outcome(r stage.Reply) {
	name := strconv.Itoa(r.Status)
	switch {
	case r.Status == 0:
		name = "none"
	case r.Err != nil:
		name += " cut"
	case r.Seal != "":
		name += " sealed"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[name]++
}

func (s *Soak) failed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errs = append(s.errs, err.Error())
}

func (s *Soak) summary(took time.Duration) Summary {
	sum := Summary{
		Seed: s.Seed, Seconds: took.Seconds(), Instances: s.Instances, StoreCalls: s.store.Calls(), Continued: s.ledger.Continued(),
		Errors: []string{},
	}
	sum.Checks, sum.Breaches, sum.Details = s.ledger.Result()
	for _, i := range s.instances {
		sum.Errors = append(sum.Errors, i.faults()...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sum.Outcomes, sum.Faults, sum.Stalls = s.outcomes, s.faults, s.stalls
	sum.Errors = append(sum.Errors, s.errs...)
	sum.Kept = len(sum.Breaches) == 0 && len(sum.Errors) == 0
	return sum
}

// end ends every process that the soak has started.
func (s *Soak) end() {
	var all conc.WaitGroup
	for _, i := range s.instances {
		all.Go(i.close)
	}
	all.Wait()
	for _, p := range s.sites {
		p.end()
	}
}
