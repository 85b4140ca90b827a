package system_test

import (
	"context"
	"flag"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/internal/load"
	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/internal/system"
	"github.com/eelgrassdock/eelgrassdock/process/entry"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
	"github.com/eelgrassdock/eelgrassdock/standin"
	"github.com/eelgrassdock/eelgrassdock/standin/model"
)

const (
	shortRun      = 6 * time.Second
	maxRuns       = 4 // of that length, until enoughAnswers were given
	enoughAnswers = 200
)

var (
	seed = flag.Uint64("seed", 1, "seed of the randomised run")
	long = flag.Duration("long", 0, "length of the randomised run; with a fresh seed unless -seed is set")
)

// faultTest is a system under load into which random faults are injected.
type faultTest struct {
	*system.System
	t     *testing.T
	first *system.Node // the entry whose address always comes back
	wg    conc.WaitGroup
}

// TestRandomFailures guards against violations that callers can see, such as
// lost, duplicated or twice executed work, while entries, engines, replicas and
// the store fail at random.
func TestRandomFailures(t *testing.T) {
	run := shortRun
	if *long > 0 {
		run = *long
		if *seed == 1 {
			*seed = rand.Uint64()
		}
	}
	t.Logf("seed %d", *seed)
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &faultTest{t: t, System: &system.System{
		Places:  []system.Place{{Name: "riga-1", Region: "baltic"}, {Name: "presov-1", Region: "tatra"}},
		Entries: 3, Engines: 3, PlainReplicas: 2, Seed: *seed, Log: log,
		Config: model.Config{Base: 4 * time.Millisecond, Memory: 4000},
		Prepare: func(_ int, e *entry.Entry) {
			e.Stall = time.Second // an engine that sends nothing for this long is read over a new connection
			e.Violation = func(rule, detail string) { t.Errorf("violation of %s: %s", rule, detail) }
		},
	}}
	defer f.Close()
	require.NoError(t, f.Start(context.Background()))
	ctx, cancel := context.WithTimeout(context.Background(), maxRuns*run)
	defer cancel()
	l := &load.Runner{
		Entries: f.Addrs(), Accounts: []load.Account{
			{ID: "riga", Key: "key-riga", Callers: 24}, {ID: "presov", Key: "key-presov", Callers: 12},
		},
		Place: "riga-1", Model: system.Model, Plain: system.Plain, Runs: f.PlainAddrs(),
		Seed: *seed, Max: 100, Pause: 10 * time.Millisecond, Timeout: 8 * time.Second, Preemptions: f.Preemptions,
	}
	// How many requests are answered in a time depends on the load of the machine; what
	// must not happen to them does not.
	f.wg.Go(func() {
		sleep.For(ctx, run)
		for l.Answered() <= enoughAnswers && sleep.For(ctx, 100*time.Millisecond) {
		}
		cancel()
	})
	f.first = f.Nodes()[0]
	for i, faults := range [][]func(*rand.Rand){
		{f.kill, f.stop, f.storeFault}, {f.engineFault, f.engineFault, f.restartEngine, f.serviceFault, f.serviceFault},
	} {
		random := rand.New(rand.NewPCG(*seed, uint64(i)))
		f.wg.Go(func() {
			for ctx.Err() == nil {
				faults[random.IntN(len(faults))](random)
				pause(random)
			}
		})
	}
	report := l.Run(ctx)
	f.wg.Wait()
	t.Log(report.JSON())
	require.False(t, report.Broken(), report.JSON())
	require.Greater(t, report.Answered, int64(enoughAnswers))
}

// pause waits for 100 to 400 ms while a fault lasts, or between two faults.
func pause(random *rand.Rand) { time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond) }

func (f *faultTest) engineFault(random *rand.Rand) {
	e := f.Endpoints[random.IntN(f.Engines)].Engine
	e.Break([]standin.EngineFaults{
		{Leaving: true},
		{Stall: true},
		{Garbage: true},
		{Repeat: true},
		{Reorder: true},
		{Foreign: true},
		{Cut: 5},
		{Close: true},
		{Repeat: true, Cut: 3},
	}[random.IntN(9)])
	pause(random)
	e.Break(standin.EngineFaults{})
}

func (f *faultTest) restartEngine(random *rand.Rand) {
	if err := f.RestartEngine(context.Background(), random.IntN(f.Engines)); err != nil {
		f.t.Errorf("restart engine: %v", err)
	}
}

func (f *faultTest) serviceFault(random *rand.Rand) {
	s := f.Endpoints[f.Engines+random.IntN(f.PlainReplicas)].Service
	s.Break([]standin.ServiceFaults{{Leaving: true}, {Reject: true}, {Hang: true}, {Hang: true}}[random.IntN(4)])
	pause(random)
	s.Break(standin.ServiceFaults{})
}

func (f *faultTest) storeFault(random *rand.Rand) {
	f.Memory.Break([]platform.Faults{{Down: true}, {Slow: 200}, {Lose: 0.5}}[random.IntN(3)])
	pause(random)
	pause(random)
	f.Memory.Break(platform.Faults{})
}

func (f *faultTest) kill(random *rand.Rand) { f.replace(random, true) }

func (f *faultTest) stop(random *rand.Rand) { f.replace(random, false) }

// replace kills an entry and starts one on its address, or stops an entry
// gracefully while its successor starts on another address. The new entry has a
// random entry number, so its name and place may differ from the old one's. The
// first entry is only ever killed, so that its address always comes back and
// callers, which are given addresses once, can always query it for the others.
func (f *faultTest) replace(random *rand.Rand, kill bool) {
	var live []*system.Node
	for _, n := range f.Nodes() {
		if !n.Ended() && n != f.first {
			live = append(live, n)
		}
	}
	old, err := live[random.IntN(len(live))], error(nil)
	if kill {
		if random.IntN(2) == 0 {
			old = f.first
		}
		old.Entry.Kill()
		old.Stop()
		<-old.Done
		n, e := f.RestartEntry(context.Background(), random.IntN(f.Entries), old)
		if err = e; old == f.first {
			f.first = n
		}
	} else {
		old.Stop()
		_, err = f.StartEntry(context.Background(), random.IntN(f.Entries))
	}
	if err != nil {
		f.t.Errorf("replace entry: %v", err)
	}
}
