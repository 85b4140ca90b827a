// Package demo runs a complete system in one process, under load and with
// injected failures.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/eelgrassdock/eelgrassdock/internal/load"
	"github.com/eelgrassdock/eelgrassdock/internal/system"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
)

// Options configures a demonstration.
type Options struct {
	Seconds int
	Seed    uint64
	// Status receives the progress line and the name of each failure; may
	// be nil.
	Status io.Writer
	Log    *logrus.Logger
}

// Run runs a demonstration and returns the report of its load. During the load
// one entry is stopped gracefully, one entry is killed, one engine is lost, and
// the store is unavailable for a while.
func Run(ctx context.Context, o Options) (load.Report, error) {
	s := &system.System{
		Places:  []system.Place{{Name: "riga-1", Region: "north"}, {Name: "bratislava-1", Region: "middle"}, {Name: "lisbon-1", Region: "south"}},
		Entries: 3, Engines: 6, PlainReplicas: 2, Seed: o.Seed, Log: o.Log,
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.Close()
	if err := s.Start(ctx); err != nil {
		return load.Report{}, err
	}
	runner := &load.Runner{
		Entries: s.Addrs(), Accounts: system.Accounts, Model: system.Model, Plain: system.Plain, Runs: s.PlainAddrs(),
		Seed: o.Seed, Pause: 20 * time.Millisecond, Preemptions: s.Preemptions,
	}
	period := time.Duration(o.Seconds) * time.Second
	loadCtx, stopLoad := context.WithTimeout(ctx, period)
	defer stopLoad()
	var wg conc.WaitGroup
	wg.Go(func() { injectFailures(loadCtx, s, period, o.Status) })
	if o.Status != nil {
		wg.Go(func() { printProgress(loadCtx, runner, o.Status) })
	}
	report := runner.Run(loadCtx)
	wg.Wait()
	for _, n := range s.Nodes() {
		if n.Ended() && n.Err != nil {
			return report, fmt.Errorf("entry stopped: %w", n.Err)
		}
	}
	return report, nil
}

// injectFailures injects each failure at a fixed fraction of the period.
func injectFailures(ctx context.Context, s *system.System, period time.Duration, status io.Writer) {
	steps := []struct {
		part float64
		name string
		do   func()
	}{
		{0.15, "stopping entry 0 gracefully and starting its successor", func() {
			s.Nodes()[0].Stop()
			_, _ = s.StartEntry(context.WithoutCancel(ctx), 0)
		}},
		{0.35, "killing entry 1 and starting its successor", func() {
			s.Nodes()[1].Entry.Kill()
			s.Nodes()[1].Stop()
			_, _ = s.StartEntry(context.WithoutCancel(ctx), 1)
		}},
		{0.5, "losing engine 0", func() { s.Endpoints[0].Kill() }},
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

func printProgress(ctx context.Context, l *load.Runner, w io.Writer) {
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
