package order

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
)

type (
	// world simulates a set of endpoints, a lease and a manual clock.
	world struct {
		now        time.Time
		engines    map[string]*fakeEngine
		desired    []Desired
		violations []string
		// network determines the delay of an order, and whether the order and its
		// answer arrive.
		network  func() (delay time.Duration, arrives, answered bool)
		inFlight []delivery
		messages int

		holder string
		fence  int64
		until  time.Time
	}

	fakeEngine struct {
		report engine.Report
		fenced bool
		down   bool
		slow   bool // models never finish loading
		// loadTime is the time after which new models are reported.
		loadTime time.Duration
		loaded   time.Time
		loading  []string
		lastSeq  int
		last     engine.Order
		streams  map[string]int
	}

	delivery struct {
		at       time.Time
		seq      int
		endpoint string
		order    engine.Order
	}
)

var errNoAnswer = errors.New("no answer")

func newWorld(desired ...Desired) *world {
	w := &world{now: time.Unix(1_000_000, 0), engines: map[string]*fakeEngine{}, desired: desired}
	w.network = func() (time.Duration, bool, bool) { return 0, true, true }
	for _, d := range desired {
		w.engines[d.Endpoint] = &fakeEngine{
			report: engine.Report{Boot: "b0", Models: sorted(d.Models), Role: d.Role}, fenced: d.Fenced, streams: map[string]int{},
		}
	}
	return w
}

// acquireLease makes holder the holder of the lease for length from now. A new
// holder gets the next fencing token.
func (w *world) acquireLease(holder string, length time.Duration) {
	if holder != w.holder {
		w.fence++
	}
	w.holder, w.until = holder, w.now.Add(length)
}

// reconciler returns a Reconciler whose rounds run without goroutines.
func (w *world) reconciler(name string) *Reconciler {
	r := &Reconciler{
		Lease: func(now time.Time) (int64, time.Time, bool) {
			return w.fence, w.until, w.holder == name && now.Before(w.until)
		},
		Desired:    func() []Desired { return slices.Clone(w.desired) },
		Now:        func() time.Time { return w.now },
		Observe:    w.observe,
		Send:       w.send,
		Violation:  func(text string) { w.violations = append(w.violations, text) },
		newBackoff: func() backoff.BackOff { return backoff.NewConstantBackOff(time.Second) },
		jitter:     func(d time.Duration) time.Duration { return d },
	}
	r.init()
	return r
}

func (w *world) observe(_ context.Context, d Desired) (engine.Report, error) {
	w.messages++
	f := w.engines[d.Endpoint]
	if f.down {
		return engine.Report{}, errNoAnswer
	}
	if f.loading != nil && !w.now.Before(f.loaded) {
		f.report.Models, f.loading = sorted(f.loading), nil
	}
	return f.read(), nil
}

func (f *fakeEngine) read() engine.Report {
	report := f.report
	report.Models = slices.Clone(report.Models)
	report.Running = 0
	for _, n := range f.streams {
		report.Running += n
	}
	return report
}

func (w *world) send(ctx context.Context, d Desired, o engine.Order) error {
	w.messages++
	if w.now.After(w.until) {
		w.violations = append(w.violations, "order after the lease")
	}
	if _, ok := ctx.Deadline(); !ok {
		w.violations = append(w.violations, "order without a deadline")
	}
	seq := w.messages
	delay, arrives, answered := w.network()
	if arrives {
		w.inFlight = append(w.inFlight, delivery{w.now.Add(delay), seq, d.Endpoint, o})
	}
	w.deliver()
	if !answered || !arrives || delay > 0 || w.engines[d.Endpoint].down {
		return errNoAnswer
	}
	return nil
}

func (w *world) deliver() {
	slices.SortStableFunc(w.inFlight, func(a, b delivery) int { return a.at.Compare(b.at) })
	for len(w.inFlight) > 0 && !w.inFlight[0].at.After(w.now) {
		next := w.inFlight[0]
		w.inFlight = w.inFlight[1:]
		w.apply(w.engines[next.endpoint], next)
	}
}

// apply applies an order to a simulated engine and records violations.
func (w *world) apply(f *fakeEngine, d delivery) {
	if f.down || (f.fenced && d.order.Fence < f.report.Fence) {
		return
	}
	if d.seq < f.lastSeq && !sameOrder(d.order, f.last) {
		w.violations = append(w.violations, "an older order overtook a newer one at "+d.endpoint)
	}
	f.lastSeq, f.last = max(f.lastSeq, d.seq), d.order
	for _, model := range f.report.Models {
		if f.streams[model] > 0 && !slices.Contains(d.order.Models, model) {
			w.violations = append(w.violations, fmt.Sprintf("%s unloaded %s under %d streams", d.endpoint, model, f.streams[model]))
		}
	}
	if d.order.Role != f.report.Role && f.read().Running > 0 {
		w.violations = append(w.violations, d.endpoint+" changed its role under streams")
	}
	f.report.Role, f.report.Leaving = d.order.Role, d.order.Drain
	if len(without(d.order.Models, f.report.Models)) > 0 && f.loadTime > 0 {
		f.loading, f.loaded = d.order.Models, w.now.Add(f.loadTime)
	} else {
		f.report.Models = sorted(d.order.Models)
	}
	if f.slow {
		f.report.Models = nil
	}
	if f.fenced {
		f.report.Fence = d.order.Fence
	}
}

// run advances the clock in steps and runs a round of each reconciler in each
// step.
func (w *world) run(d time.Duration, rs ...*Reconciler) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(250 * time.Millisecond) {
		w.deliver()
		for _, r := range rs {
			r.round(context.Background(), func(f func()) { f() })
		}
	}
}

func status(r *Reconciler, id string) Status {
	for _, s := range r.statuses() {
		if s.Desired.Endpoint == id {
			return s
		}
	}
	return Status{}
}
