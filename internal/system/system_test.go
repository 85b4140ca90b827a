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
	"github.com/eelgrassdock/eelgrassdock/internal/system"
	"github.com/eelgrassdock/eelgrassdock/process/entry"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
	"github.com/eelgrassdock/eelgrassdock/standin"
	"github.com/eelgrassdock/eelgrassdock/standin/model"
)

const shortRun = 6 * time.Second

var (
	seed = flag.Uint64("seed", 1, "seed of the randomised run")
	long = flag.Duration("long", 0, "length of the randomised run; with a fresh seed unless -seed is set")
)

// world is a system under load with something that breaks it.
type world struct {
	*system.System
	t     *testing.T
	first *system.Node
	wg    conc.WaitGroup
}

// TestRandomFailures guards against every broken promise that a caller can see
// while entries, engines, replicas and the store fail at random.
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
	w := &world{t: t, System: &system.System{
		Places:  []system.Place{{Name: "riga-1", Region: "baltic"}, {Name: "presov-1", Region: "tatra"}},
		Entries: 3, Engines: 3, Plains: 2, Seed: *seed, Log: log,
		Config: model.Config{Base: 4 * time.Millisecond, Memory: 4000},
		Prepare: func(_ int, e *entry.Entry) {
			e.Stall = time.Second
			e.Violation = func(rule, detail string) { t.Errorf("violation of %s: %s", rule, detail) }
		},
	}}
	defer w.Close()
	require.NoError(t, w.Start(context.Background()))
	ctx, cancel := context.WithTimeout(context.Background(), run)
	defer cancel()
	l := &load.Runner{
		Entries: w.Addrs(), Accounts: []load.Account{
			{ID: "riga", Key: "key-riga", Callers: 24}, {ID: "presov", Key: "key-presov", Callers: 12},
		},
		Place: "riga-1", Model: system.Model, Plain: system.Plain, Runs: w.PlainAddrs(),
		Seed: *seed, Max: 100, Pause: 10 * time.Millisecond, Timeout: 8 * time.Second, Preemptions: w.Preemptions,
	}
	w.first = w.Nodes()[0]
	for i, kinds := range [][]func(*rand.Rand){
		{w.kill, w.stop, w.storeFault}, {w.engineFault, w.engineFault, w.restartEngine, w.serviceFault, w.serviceFault},
	} {
		random := rand.New(rand.NewPCG(*seed, uint64(i)))
		w.wg.Go(func() {
			for ctx.Err() == nil {
				kinds[random.IntN(len(kinds))](random)
				hold(random)
			}
		})
	}
	report := l.Run(ctx)
	w.wg.Wait()
	t.Log(report.JSON())
	require.False(t, report.Broken(), report.JSON())
	require.Greater(t, report.Answered, int64(200))
}

// hold lets a fault, or the time after it, last for a while.
func hold(random *rand.Rand) { time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond) }

func (w *world) engineFault(random *rand.Rand) {
	e := w.Endpoints[random.IntN(w.Engines)].Engine
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
	hold(random)
	e.Break(standin.EngineFaults{})
}

func (w *world) restartEngine(random *rand.Rand) {
	if err := w.RestartEngine(context.Background(), random.IntN(w.Engines)); err != nil {
		w.t.Errorf("restart engine: %v", err)
	}
}

func (w *world) serviceFault(random *rand.Rand) {
	s := w.Endpoints[w.Engines+random.IntN(w.Plains)].Service
	s.Break([]standin.ServiceFaults{{Leaving: true}, {Reject: true}, {Hang: true}, {Hang: true}}[random.IntN(4)])
	hold(random)
	s.Break(standin.ServiceFaults{})
}

func (w *world) storeFault(random *rand.Rand) {
	w.Memory.Break([]platform.Faults{{Down: true}, {Slow: 200}, {Lose: 0.5}}[random.IntN(3)])
	hold(random)
	hold(random)
	w.Memory.Break(platform.Faults{})
}

func (w *world) kill(random *rand.Rand) { w.replace(random, true) }

func (w *world) stop(random *rand.Rand) { w.replace(random, false) }

// replace kills an entry and restarts it on its address, or stops one while its
// successor starts on another address. The first one is only killed, so that
// there is an address that callers can always begin with.
func (w *world) replace(random *rand.Rand, kill bool) {
	var live []*system.Node
	for _, n := range w.Nodes() {
		if !n.Ended() && n != w.first {
			live = append(live, n)
		}
	}
	old, err := live[random.IntN(len(live))], error(nil)
	if kill {
		if random.IntN(2) == 0 {
			old = w.first
		}
		old.Entry.Kill()
		old.Stop()
		<-old.Done
		n, e := w.RestartEntry(context.Background(), random.IntN(w.Entries), old)
		if err = e; old == w.first {
			w.first = n
		}
	} else {
		old.Stop()
		_, err = w.StartEntry(context.Background(), random.IntN(w.Entries))
	}
	if err != nil {
		w.t.Errorf("replace entry: %v", err)
	}
}
