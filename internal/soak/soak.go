// Package soak runs the real program as separate processes on loopback under
// faults that are injected from outside. The platform and the callers are
// simulated in this process. Relays delay, reset or silence connections;
// signals pause, stop, kill and restart processes; the store and the endpoints
// misbehave. A Ledger checks the promises of the program from what callers and
// endpoints observe.
//
// A Soak tests the path on the users' platform, an Entries the product's own
// interface. The planned faults depend only on the seed and the duration.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/eelgrassdock/eelgrassdock/internal/port"
	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/platform/fake"
	"github.com/eelgrassdock/eelgrassdock/process/gateway"
)

const (
	enginesEach    = 1.0 // engines per instance
	plainsEach     = 0.7 // replicas of the plain service per instance
	callersEach    = 6   // callers per instance
	minEndpoints   = 3   // minimum number of endpoints of each service
	budgetReplicas = 9   // plain replicas, and attempts of a request, when Budget is violated on purpose
	watchInterval  = 50 * time.Millisecond
	stallThreshold = 400 * time.Millisecond // between two ticks: the machine was too busy for bounds to hold
	startTimeout   = 30 * time.Second       // until all instances are ready
	slowStoreDelay = 300 * time.Millisecond // added by a slow store
	minLimit       = 1.0                    // lowest limit that an endpoint names, in requests per second
	limitSteps     = 5                      // number of different limits, one request per second apart
	herdInterval   = 2                      // a Herd fault spares one instance in this many, so about half of them
	maxRounds      = 4                      // of a run that has not shown enough
	hostsPerNet    = 250                    // host addresses of instances that differ in their last byte only
)

type (
	// Soak is one run on the platform path. Its exported fields are set before
	// Run.
	Soak struct {
		Binary    string // path of the program
		Dir       string // for settings files and logs
		Seed      uint64
		Duration  time.Duration
		Instances int
		// Faults replaces the plan that is drawn from the seed, unless nil.
		Faults []Fault
		// Enough reports whether a run of Duration has shown what it is made for; nil
		// means that it has. If it has not, the plan of faults is played again, in up to
		// maxRounds runs: how much happens in one depends on the load of the machine.
		Enough func(Summary) bool
		// Sabotage names a promise that the soak violates on purpose.
		Sabotage string
		// Adapt changes the settings of an instance before its first start; may
		// be nil.
		Adapt func(instance int, s *gateway.Settings)
		// Cold makes endpoints cold for coldTime after each start.
		Cold bool
		// Callers is the number of callers per instance, Pause the mean pause
		// of a caller between requests. Zero values get defaults.
		Callers int
		Pause   time.Duration
		// Progress receives a line for each fault; may be nil.
		Progress io.Writer

		ctx        context.Context
		store      fake.Store
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

	// Summary is the result of a Soak.
	Summary struct {
		Seed      uint64           `json:"seed"`
		Seconds   float64          `json:"seconds"`
		Instances int              `json:"instances"`
		Outcomes  map[string]int64 `json:"outcomes"` // answers by status
		Faults    map[string]int64 `json:"faults"`   // by kind
		Checks    map[string]int64 `json:"checks"`   // by promise
		Breaches  map[string]int64 `json:"breaches"` // by promise
		Details   []Breach         `json:"details"`
		Errors    []string         `json:"errors"` // unexpected exits of processes, and errors of the soak itself
		// Stalls counts the times at which the machine was too busy. Bounds are
		// not checked around them.
		Stalls     int64 `json:"stalls"`
		StoreCalls int64 `json:"storecalls"`
		Continued  int64 `json:"continued"` // runs that were continued at another endpoint
		// Crashes counts endpoints that a request has crashed, Quarantined the refusals
		// of such requests, Mistaken those of sound requests for the same reason.
		Crashes     int64 `json:"crashes"`
		Quarantined int64 `json:"quarantined"`
		Mistaken    int64 `json:"mistaken"`
		Kept        bool  `json:"kept"` // no promise was violated and no error occurred
	}
)

// Run starts the system, runs callers, probes and the fault plan for Duration,
// and returns the summary.
func (s *Soak) Run(ctx context.Context) (Summary, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.ctx = ctx
	s.prepare()
	defer s.tearDown()
	if err := s.setUp(ctx); err != nil {
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
	work.Go(func() { s.detectStalls(working) })
	plan := s.Faults
	if plan == nil {
		plan = Plan(s.Seed, s.Duration)
	}
	s.faults = map[string]int64{}
	for round := 1; ; round++ {
		from := time.Now()
		for kind, n := range runPlan(ctx, from, plan, s.Progress, s.inject) {
			s.faults[kind] += n
		}
		sleep.For(ctx, time.Until(from.Add(s.Duration)))
		if s.Enough == nil || round == maxRounds || ctx.Err() != nil || s.Enough(s.summary(time.Since(begun))) {
			break
		}
	}
	stop()
	work.Wait()
	s.ledger.Close()
	return s.summary(time.Since(begun)), ctx.Err()
}

func (s *Soak) prepare() {
	s.outcomes, s.byAddr = map[string]int64{}, map[string]*instance{}
	s.operators.s = s
	s.placeNames = []string{"a1", "a2", "b1"}
	if s.Cold {
		s.store.ColdS, s.store.ColdRate = coldTime, coldRate
	}
	if s.Callers == 0 {
		s.Callers = callersEach
	}
	if s.Pause == 0 {
		s.Pause = thinkTime
	}
	if s.Sabotage == Budget {
		// With fewer attempts the routes limit the repeats, and only a high rate
		// of requests exceeds the budget. With these, one repeatable request of
		// each caller does.
		s.store.Attempts = budgetReplicas
	}
}

// setUp starts the store, the endpoints and the instances, and waits until the
// instances are ready.
func (s *Soak) setUp(ctx context.Context) error {
	places := map[string]string{"a1": "a", "a2": "a", "b1": "b"}
	storeAddr, err := serve(ctx, s.store.Handler())
	if err != nil {
		return fmt.Errorf("listen for the store: %w", err)
	}
	if err := s.operators.change(false); err != nil {
		return err
	}
	s.sites = s.newSites()
	for _, p := range s.sites {
		if err := p.start(); err != nil {
			return err
		}
	}
	loads, err := port.Addr()
	if err != nil {
		return fmt.Errorf("reserve port for loads: %w", err)
	}
	_, loadsPort, err := net.SplitHostPort(loads)
	if err != nil {
		return fmt.Errorf("address for loads: %w", err)
	}
	for n := range s.Instances {
		host := fmt.Sprintf("127.0.%d.%d", 1+n/hostsPerNet, 1+n%hostsPerNet)
		i, err := newInstance(fmt.Sprint("i", n), s.placeNames[n%len(s.placeNames)], s.Binary, s.Dir, storeAddr, host, loadsPort, places)
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
		if err := s.startInstance(i); err != nil {
			return err
		}
	}
	client := s.newClient()
	processes := make([]*process, 0, len(s.instances))
	for _, i := range s.instances {
		processes = append(processes, &i.process)
	}
	return awaitReady(ctx, processes, func(n int) bool { return fake.IsReady(ctx, client, s.instances[n].settings.Ready) })
}

// serve serves a handler at a free address until ctx ends, and returns the
// address.
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

// newSites returns the sites of all endpoints. The order is always the same,
// because a fault chooses its target by index.
func (s *Soak) newSites() (sites []*site) {
	for _, kind := range []struct {
		service string
		each    float64
	}{{fake.EngineService, enginesEach}, {fake.PlainService, plainsEach}} {
		count := max(int(kind.each*float64(s.Instances)), minEndpoints)
		if s.Sabotage == Budget && kind.service == fake.PlainService {
			count = max(count, budgetReplicas)
		}
		for n := range count {
			seed := s.Seed + uint64(len(sites))
			sites = append(sites, &site{
				s: s, n: n, service: kind.service, place: s.placeNames[n%len(s.placeNames)], random: rand.New(rand.NewPCG(seed, seed)),
			})
		}
	}
	return sites
}

// awaitReady waits until all processes are ready. It returns an error after
// startTimeout or when ctx ends.
func awaitReady(ctx context.Context, processes []*process, isReady func(n int) bool) error {
	deadline := time.Now().Add(startTimeout)
	for n, p := range processes {
		for !isReady(n) {
			if time.Now().After(deadline) || !sleep.For(ctx, watchInterval) {
				return errors.CombineErrors(errors.Newf("%s was not ready in %s; %v", p.name, startTimeout, p.unexpectedExits()), ctx.Err())
			}
		}
	}
	return nil
}

// startInstance starts an instance and records the start as a disturbance.
func (s *Soak) startInstance(i *instance) error {
	s.ledger.Disturb(i.name, time.Now())
	s.ledger.Forgets(i.name)
	return i.start()
}

// runPlan injects the faults of a plan when they are due, stops injecting when
// ctx ends, waits until the injected faults are over, and returns their number
// by kind.
func runPlan(ctx context.Context, begun time.Time, plan []Fault, progress io.Writer, inject func(f Fault)) map[string]int64 {
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

// detectStalls records a disturbance of all processes whenever the machine was
// too busy for bounds to hold.
func (s *Soak) detectStalls(ctx context.Context) {
	last := time.Now()
	for sleep.For(ctx, watchInterval) {
		now := time.Now()
		if now.Sub(last) > stallThreshold && s.Sabotage == "" {
			s.ledger.Disturb(allProcesses, now)
			s.mu.Lock()
			s.stalls++
			s.mu.Unlock()
		}
		last = now
	}
}

// recordRun records that an endpoint starts to work on a request.
func (s *Soak) recordRun(r fake.Run) {
	s.ledger.Check(Own, r.Key == "", "request %s came with a key of a client account", r.Request)
	s.ledger.Began(r.Request, r.Endpoint, r.Account, r.Continued, time.Now())
}

// endpointAt returns the endpoint with an address, nil if there is none.
func (s *Soak) endpointAt(addr string) *fake.Endpoint {
	for _, p := range s.sites {
		if e, _ := p.current(); e.Addr == addr {
			return e
		}
	}
	return nil
}

func (s *Soak) instanceAt(addr string) *instance { return s.byAddr[addr] }

// countReply counts a reply by its status.
func (s *Soak) countReply(r fake.Reply) {
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

func (s *Soak) recordError(err error) {
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
	sum.Crashes, sum.Quarantined, sum.Mistaken = s.ledger.counts()
	for _, i := range s.instances {
		sum.Errors = append(sum.Errors, i.unexpectedExits()...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sum.Outcomes, sum.Faults, sum.Stalls = s.outcomes, s.faults, s.stalls
	sum.Errors = append(sum.Errors, s.errs...)
	sum.Kept = len(sum.Breaches) == 0 && len(sum.Errors) == 0
	return sum
}

// tearDown ends every process and endpoint that the soak has started.
func (s *Soak) tearDown() {
	var all conc.WaitGroup
	for _, i := range s.instances {
		all.Go(i.close)
	}
	all.Wait()
	for _, p := range s.sites {
		p.stop()
	}
}
