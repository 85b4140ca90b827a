package order

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
)

const step = 250 * time.Millisecond

// Guards against what no single case covers: lost and late orders, lost
// answers, old reports, restarts, changes of holder and of configuration at
// any moment must not break work in flight or let an old order win, and once
// the faults end every endpoint must reach its desired state.
func TestRandomFaults(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "20261204"))
	require.NoError(t, flag.Set("rapid.checks", "300"))
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(randomDesired(t, 0), randomDesired(t, 1), randomDesired(t, 2))
		s := sim{w: w, t: t, down: map[string]time.Time{}, old: map[string][]engine.Report{}}
		s.holders = []*Reconciler{w.reconciler("A"), w.reconciler("B")}
		s.faults()
		for range rapid.IntRange(20, 400).Draw(t, "steps") {
			s.disturb()
			s.advance()
			if len(w.faults) > 0 {
				t.Fatal(w.faults)
			}
		}
		s.settle()
	})
}

// sim disturbs a world.
type sim struct {
	w       *world
	t       *rapid.T
	holders []*Reconciler
	asleep  [2]time.Time
	down    map[string]time.Time // until when
	old     map[string][]engine.Report
	calm    bool
}

func randomDesired(t *rapid.T, i int) Desired {
	models := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 3, rapid.ID[string]).Draw(t, "models")
	return Desired{
		Endpoint: fmt.Sprint("e", i), Models: models, Fenced: i != 1,
		Role: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "role"), Drain: rapid.Bool().Draw(t, "drain"),
	}
}

// faults makes the network late and lossy and the reports old.
func (s *sim) faults() {
	s.w.network = func() (time.Duration, bool, bool) {
		if s.calm || rapid.IntRange(0, 2).Draw(s.t, "network") > 0 {
			return 0, true, true
		}
		delay := step * time.Duration(rapid.IntRange(0, int(defaultOrderTimeout/step)-1).Draw(s.t, "delay"))
		return delay, rapid.Bool().Draw(s.t, "arrives"), rapid.Bool().Draw(s.t, "answered")
	}
	for _, r := range s.holders {
		r.Observe = s.observe(r.Observe)
	}
}

// observe gives a report that is up to Lag old.
func (s *sim) observe(next func(ctx context.Context, d Desired) (engine.Report, error)) func(context.Context, Desired) (engine.Report, error) {
	return func(ctx context.Context, d Desired) (engine.Report, error) {
		report, err := next(ctx, d)
		old := s.old[d.Endpoint]
		if err == nil && len(old) > 0 && !s.calm && rapid.Bool().Draw(s.t, "lag") {
			report = old[rapid.IntRange(0, len(old)-1).Draw(s.t, "age")]
		}
		return report, err
	}
}

func (s *sim) disturb() {
	i := rapid.IntRange(0, len(s.w.desired)-1).Draw(s.t, "endpoint")
	id := s.w.desired[i].Endpoint
	e := s.w.engines[id]
	switch rapid.IntRange(0, 9).Draw(s.t, "event") {
	case 0:
		s.w.desired[i] = randomDesired(s.t, i)
	case 1, 2, 3:
		if models := e.report.Models; !e.down && !e.report.Leaving && len(models) > 0 {
			e.streams[rapid.SampledFrom(models).Draw(s.t, "model")]++
		}
	case 4, 5:
		e.streams = map[string]int{}
	case 6:
		if rapid.IntRange(0, 9).Draw(s.t, "crash") == 0 {
			e.down, s.down[id] = true, s.w.now.Add(defaultOrderTimeout+defaultLag)
		}
	case 7:
		if rapid.IntRange(0, 4).Draw(s.t, "pause") == 0 {
			s.asleep[rapid.IntRange(0, 1).Draw(s.t, "who")] = s.w.now.Add(10 * time.Second)
		}
	}
}

// advance lets one step pass for the engines, the lease and the holders.
func (s *sim) advance() {
	w := s.w
	w.now = w.now.Add(step)
	for id, until := range s.down {
		if w.engines[id].down && w.now.After(until) {
			f := w.engines[id]
			*f = fake{fenced: f.fenced, lastSeq: f.lastSeq, streams: map[string]int{}}
			f.report.Boot = fmt.Sprint("b", w.now.UnixNano())
			s.old[id] = nil
		}
	}
	w.deliver()
	for id, e := range w.engines {
		if !e.down {
			s.old[id] = append(s.old[id], e.read())
			s.old[id] = s.old[id][max(0, len(s.old[id])-int(defaultLag/step)):]
		}
	}
	for i, r := range s.holders {
		name := string(rune('A' + i))
		if w.now.Before(s.asleep[i]) {
			continue
		}
		if w.holder == name && w.now.Before(w.until) || !w.now.Before(w.until.Add(defaultMargin)) {
			w.take(name, 6*time.Second)
		}
		r.round(s.t.Context(), func(f func()) { f() })
	}
}

// settle ends the faults and the work; all must then be as desired.
func (s *sim) settle() {
	s.calm = true
	for range int(4 * time.Minute / step) {
		for _, e := range s.w.engines {
			e.streams = map[string]int{}
		}
		s.advance()
	}
	if len(s.w.faults) > 0 {
		s.t.Fatal(s.w.faults)
	}
	for _, d := range s.w.desired {
		report := s.w.engines[d.Endpoint].report
		if !slices.Equal(report.Models, sorted(d.Models)) || report.Leaving != d.Drain || (d.Role != "" && report.Role != d.Role) {
			s.t.Fatalf("desired %+v, but is %+v", d, report)
		}
	}
}
