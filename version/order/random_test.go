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

// Guards against combinations of lost and late orders, lost answers, old
// reports, restarts, and changes of holder and configuration that no other test
// covers. At no time may they interrupt work in flight or let an old order take
// effect, and once the faults end every endpoint must reach its desired state.
func TestRandomFaults(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "20261204"))
	require.NoError(t, flag.Set("rapid.checks", "300"))
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(randomDesired(t, 0), randomDesired(t, 1), randomDesired(t, 2))
		s := sim{w: w, t: t, downUntil: map[string]time.Time{}, oldReports: map[string][]engine.Report{}}
		s.holders = []*Reconciler{w.reconciler("A"), w.reconciler("B")}
		s.injectNetworkFaults()
		for range rapid.IntRange(20, 400).Draw(t, "steps") {
			s.injectFault()
			s.advance()
			if len(w.violations) > 0 {
				t.Fatal(w.violations)
			}
		}
		s.settle()
	})
}

// sim injects faults into a world.
type sim struct {
	w           *world
	t           *rapid.T
	holders     []*Reconciler
	pausedUntil [2]time.Time
	downUntil   map[string]time.Time // engine ID to the time until which it is down
	oldReports  map[string][]engine.Report
	faultsEnded bool
}

func randomDesired(t *rapid.T, i int) Desired {
	models := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 3, rapid.ID[string]).Draw(t, "models")
	return Desired{
		Endpoint: fmt.Sprint("e", i), Models: models, Fenced: i != 1,
		Role: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "role"), Drain: rapid.Bool().Draw(t, "drain"),
	}
}

// injectNetworkFaults delays and loses orders and answers, and delays reports.
func (s *sim) injectNetworkFaults() {
	s.w.network = func() (time.Duration, bool, bool) {
		if s.faultsEnded || rapid.IntRange(0, 2).Draw(s.t, "network") > 0 {
			return 0, true, true
		}
		delay := step * time.Duration(rapid.IntRange(0, int(defaultOrderTimeout/step)-1).Draw(s.t, "delay"))
		return delay, rapid.Bool().Draw(s.t, "arrives"), rapid.Bool().Draw(s.t, "answered")
	}
	for _, r := range s.holders {
		r.Observe = s.observe(r.Observe)
	}
}

// observe returns a report that is up to MaxReportAge old.
func (s *sim) observe(next func(ctx context.Context, d Desired) (engine.Report, error)) func(context.Context, Desired) (engine.Report, error) {
	return func(ctx context.Context, d Desired) (engine.Report, error) {
		report, err := next(ctx, d)
		old := s.oldReports[d.Endpoint]
		if err == nil && len(old) > 0 && !s.faultsEnded && rapid.Bool().Draw(s.t, "lag") {
			report = old[rapid.IntRange(0, len(old)-1).Draw(s.t, "age")]
		}
		return report, err
	}
}

func (s *sim) injectFault() {
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
			e.down, s.downUntil[id] = true, s.w.now.Add(defaultOrderTimeout+defaultMaxReportAge)
		}
	case 7:
		if rapid.IntRange(0, 4).Draw(s.t, "pause") == 0 {
			s.pausedUntil[rapid.IntRange(0, 1).Draw(s.t, "who")] = s.w.now.Add(10 * time.Second)
		}
	}
}

// advance moves the engines, the lease and the holders forward by one step.
func (s *sim) advance() {
	w := s.w
	w.now = w.now.Add(step)
	for id, until := range s.downUntil {
		if w.engines[id].down && w.now.After(until) {
			f := w.engines[id]
			*f = fakeEngine{fenced: f.fenced, lastSeq: f.lastSeq, streams: map[string]int{}}
			f.report.Boot = fmt.Sprint("b", w.now.UnixNano())
			s.oldReports[id] = nil
		}
	}
	w.deliver()
	for id, e := range w.engines {
		if !e.down {
			s.oldReports[id] = append(s.oldReports[id], e.read())
			s.oldReports[id] = s.oldReports[id][max(0, len(s.oldReports[id])-int(defaultMaxReportAge/step)):]
		}
	}
	for i, r := range s.holders {
		name := string(rune('A' + i))
		if w.now.Before(s.pausedUntil[i]) {
			continue
		}
		if w.holder == name && w.now.Before(w.until) || !w.now.Before(w.until.Add(defaultMargin)) {
			w.acquireLease(name, 6*time.Second)
		}
		r.round(s.t.Context(), func(f func()) { f() })
	}
}

// settle ends the faults and the work. All endpoints must then reach their
// desired state.
func (s *sim) settle() {
	s.faultsEnded = true
	for range int(4 * time.Minute / step) {
		for _, e := range s.w.engines {
			e.streams = map[string]int{}
		}
		s.advance()
	}
	if len(s.w.violations) > 0 {
		s.t.Fatal(s.w.violations)
	}
	for _, d := range s.w.desired {
		report := s.w.engines[d.Endpoint].report
		if !slices.Equal(report.Models, sorted(d.Models)) || report.Leaving != d.Drain || (d.Role != "" && report.Role != d.Role) {
			s.t.Fatalf("desired %+v, but is %+v", d, report)
		}
	}
}
