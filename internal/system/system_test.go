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
	t      *testing.T
	random *rand.Rand
	first  *system.Node
	wg     conc.WaitGroup
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
	w := &world{t: t, random: rand.New(rand.NewPCG(*seed, 0)), System: &system.System{
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
		Seed: *seed, Max: 100, Pause: 10 * time.Millisecond, Preemptions: w.Preemptions,
	}
	w.first = w.Nodes()[0]
	w.wg.Go(func() { w.trouble(ctx) })
	report := l.Run(ctx)
	w.wg.Wait()
	t.Log(report.Write())
	require.False(t, report.Broken(), report.Write())
	require.Greater(t, report.Answered, int64(200))
}

// trouble breaks one thing after the other and mends it after a while.
func (w *world) trouble(ctx context.Context) {
	for ctx.Err() == nil {
		wait := time.Duration(100+w.random.IntN(300)) * time.Millisecond
		switch w.random.IntN(6) {
		case 0:
			w.replace(true)
		case 1:
			w.replace(false)
		case 2:
			w.engineFault(wait)
		case 3:
			if err := w.RestartEngine(context.Background(), w.random.IntN(w.Engines)); err != nil {
				w.t.Errorf("restart engine: %v", err)
			}
		case 4:
			s := w.Back[w.Engines+w.random.IntN(w.Plains)].Service
			s.Break([]standin.ServiceFaults{{Leaving: true}, {Reject: true}, {Hang: true}}[w.random.IntN(3)])
			time.Sleep(wait)
			s.Break(standin.ServiceFaults{})
		case 5:
			w.Memory.Break([]platform.Faults{{Down: true}, {Slow: 200}, {Lose: 0.5}}[w.random.IntN(3)])
			time.Sleep(3 * wait)
			w.Memory.Break(platform.Faults{})
		}
		time.Sleep(wait)
	}
}

func (w *world) engineFault(wait time.Duration) {
	e := w.Back[w.random.IntN(w.Engines)].Engine
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
	}[w.random.IntN(9)])
	time.Sleep(wait)
	e.Break(standin.EngineFaults{})
}

// replace kills an entry and restarts it on its address, or stops one while its
// successor starts on another address. The first one is only killed, so that
// there is an address that callers can always begin with.
func (w *world) replace(kill bool) {
	var live []*system.Node
	for _, n := range w.Nodes() {
		if !n.Ended() && n != w.first {
			live = append(live, n)
		}
	}
	old, err := live[w.random.IntN(len(live))], error(nil)
	if kill {
		if w.random.IntN(2) == 0 {
			old = w.first
		}
		old.Entry.Kill()
		old.Stop()
		<-old.Done
		n, e := w.RestartEntry(context.Background(), w.random.IntN(w.Entries), old)
		if err = e; old == w.first {
			w.first = n
		}
	} else {
		old.Stop()
		_, err = w.StartEntry(context.Background(), w.random.IntN(w.Entries))
	}
	if err != nil {
		w.t.Errorf("replace entry: %v", err)
	}
}
