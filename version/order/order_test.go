package order

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
)

const hour = time.Hour

// Guards against an unload that interrupts streams, and against a model that is
// never unloaded after its streams have ended.
func TestUnloadWaitsForStreams(t *testing.T) {
	w := newWorld(Desired{Endpoint: "e1", Models: []string{"a", "b"}})
	w.acquireLease("A", hour)
	r, e := w.reconciler("A"), w.engines["e1"]
	w.run(5*time.Second, r)
	require.True(t, status(r, "e1").Settled)
	e.streams["b"] = 2
	w.desired[0].Models = []string{"a"}
	w.run(20*time.Second, r)
	require.True(t, e.report.Leaving, "new work must stop before the unload")
	require.Equal(t, []string{"a", "b"}, e.report.Models)
	require.Contains(t, status(r, "e1").Waits, "drain before unloading model b")
	require.Equal(t, []string{"e1"}, r.Unsettled([]string{"e1", "e9"}))
	e.streams["b"] = 0
	w.run(20*time.Second, r)
	require.Equal(t, []string{"a"}, e.report.Models)
	require.False(t, e.report.Leaving)
	require.True(t, status(r, "e1").Settled)
	require.Empty(t, w.violations)
}

// Guards against a drain of the whole endpoint although the entries can close a
// single model, and against an unload before all entries have closed the model
// and its streams have ended, in either order.
func TestUnloadOfClosedModel(t *testing.T) {
	for _, closedFirst := range []bool{true, false} {
		w := newWorld(Desired{Endpoint: "e1", Models: []string{"a", "b"}})
		w.acquireLease("A", hour)
		r, e := w.reconciler("A"), w.engines["e1"]
		closed, ended := false, false
		r.Closed = func(string, string) bool { return closed }
		r.Streams = func(_, model string) int {
			if model == "b" && !ended {
				return 3
			}
			return 0
		}
		w.desired[0].Models = []string{"a"}
		e.streams["a"] = 5
		require.Equal(t, []string{"e1"}, r.Unsettled([]string{"e1"}), "the new state counts at once")
		w.run(15*time.Second, r)
		require.Equal(t, []string{"a", "b"}, e.report.Models)
		closed, ended = closedFirst, !closedFirst
		w.run(15*time.Second, r)
		require.Equal(t, []string{"a", "b"}, e.report.Models)
		closed, ended = true, true
		w.run(15*time.Second, r)
		require.Equal(t, []string{"a"}, e.report.Models)
		require.Empty(t, r.Unsettled([]string{"e1"}))
		require.Empty(t, w.violations)
	}
}

// Guards against a role change while streams run, and against an old report of
// an idle endpoint that counts as current after drain, undrain, drain.
func TestRoleWaitsForDrain(t *testing.T) {
	w := newWorld(Desired{Endpoint: "e1", Models: []string{"a"}, Role: "decode", Fenced: true})
	w.acquireLease("A", hour)
	r, e := w.reconciler("A"), w.engines["e1"]
	w.run(5*time.Second, r)
	e.streams["a"] = 1
	w.desired[0].Role = "prefill"
	w.run(15*time.Second, r)
	require.True(t, e.report.Leaving)
	require.Equal(t, "decode", e.report.Role)
	v := view{report: engine.Report{Leaving: true}, requestedAt: w.now, r: r, sent: sentOrder{at: w.now.Add(-defaultMaxReportAge / 2), answered: true}}
	require.False(t, v.idle(), "the report may be older than the order")
	e.streams["a"] = 0
	w.run(15*time.Second, r)
	require.Equal(t, "prefill", e.report.Role)
	require.False(t, e.report.Leaving)
	require.Empty(t, w.violations)
}

// Guards against orders under a lease that ended while its holder was paused.
// Here the pause is between the observation and the order.
func TestPausedHolderSendsNothing(t *testing.T) {
	for _, left := range []time.Duration{-time.Second, defaultMargin / 2} {
		w := newWorld(Desired{Endpoint: "e1", Models: []string{"a"}, Fenced: true})
		w.acquireLease("A", 6*time.Second)
		r := w.reconciler("A")
		w.run(4*time.Second, r)
		observe := r.Observe
		r.Observe = func(ctx context.Context, d Desired) (engine.Report, error) {
			w.now = w.until.Add(-left)
			return observe(ctx, d)
		}
		w.desired[0].Drain = true
		w.run(step, r)
		require.False(t, w.engines["e1"].report.Leaving)
		require.Contains(t, status(r, "e1").Waits, errLeaseEnding.Error())
		require.Empty(t, w.violations)
	}
}

// Guards against a late order of a former holder that takes effect: a fenced
// endpoint must refuse it, and the successor must wait before it sends orders
// to an endpoint that ignores tokens.
func TestTwoHolders(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		w := newWorld(Desired{Endpoint: "e1", Models: []string{"a"}, Fenced: fenced})
		w.acquireLease("A", 6*time.Second)
		a, b, e := w.reconciler("A"), w.reconciler("B"), w.engines["e1"]
		w.run(4750*time.Millisecond, a)
		w.network = func() (time.Duration, bool, bool) { return defaultOrderTimeout, true, true }
		w.desired[0].Drain = true
		w.run(250*time.Millisecond, a)
		require.Len(t, w.inFlight, 1, "the order of A is under way")
		w.network = func() (time.Duration, bool, bool) { return 0, true, true }
		w.now = w.until
		w.acquireLease("B", hour)
		w.desired[0].Drain = false
		w.desired[0].Models = []string{"a", "b"}
		w.run(defaultMaxReportAge+defaultWaitingInterval, a, b)
		require.Equal(t, fenced, e.report.Fence == 2, "a fenced endpoint gets the new token soon")
		require.Equal(t, fenced, len(e.report.Models) == 2, "an unfenced one gets no order yet")
		w.run(30*time.Second, a, b)
		require.Equal(t, []string{"a", "b"}, e.report.Models)
		require.False(t, e.report.Leaving)
		require.True(t, status(b, "e1").Settled)
		require.Empty(t, w.violations)
	}
}

// Guards against a different order that overtakes an unanswered one, and
// against a lost answer that is treated as a lost order.
func TestLostAnswer(t *testing.T) {
	w := newWorld(Desired{Endpoint: "e1", Models: []string{"a"}, Fenced: true})
	w.acquireLease("A", hour)
	r, e := w.reconciler("A"), w.engines["e1"]
	w.run(5*time.Second, r)
	w.network = func() (time.Duration, bool, bool) { return 0, true, false }
	w.desired[0].Drain = true
	orders := status(r, "e1").Orders
	w.run(step, r)
	require.True(t, e.report.Leaving)
	require.True(t, status(r, "e1").Settled)
	w.run(20*time.Second, r)
	require.Equal(t, orders+1, status(r, "e1").Orders, "the read back shows that the order arrived")
	w.network = func() (time.Duration, bool, bool) { return defaultOrderTimeout, true, false }
	w.desired[0].Drain = false
	w.run(250*time.Millisecond, r)
	w.desired[0].Drain = true
	w.network = func() (time.Duration, bool, bool) { return 0, true, true }
	w.run(20*time.Second, r)
	require.True(t, e.report.Leaving)
	require.Empty(t, w.violations)
}

// Guards against a successor that does not raise the token of an endpoint where
// nothing else changes, against orders under an old token, and against an order
// for a desired state that was replaced during the observation.
func TestTokenAndNewestState(t *testing.T) {
	w := newWorld(Desired{Endpoint: "e1", Models: []string{"a"}, Fenced: true})
	w.fence = 4
	w.acquireLease("A", hour)
	r, e := w.reconciler("A"), w.engines["e1"]
	w.run(5*time.Second, r)
	require.EqualValues(t, 5, e.report.Fence)
	require.True(t, status(r, "e1").Settled)

	observe := r.Observe
	r.Observe = func(ctx context.Context, d Desired) (engine.Report, error) {
		if d.Drain {
			w.desired[0].Drain, w.desired[0].Models = false, []string{"a", "b"}
			r.sync(w.desired, w.now)
		}
		return observe(ctx, d)
	}
	w.desired[0].Drain = true
	w.run(step, r)
	require.False(t, e.report.Leaving)
	w.run(2*step, r)
	require.Equal(t, []string{"a", "b"}, e.report.Models)

	e.report.Fence, w.desired[0].Models = 6, []string{"a"}
	w.run(20*time.Second, r)
	require.Equal(t, []string{"a", "b"}, e.report.Models)
	require.Contains(t, status(r, "e1").Waits, "newer holder")
	require.Empty(t, w.violations)
	w.fence = 3
	r.round(t.Context(), func(func()) { t.Error("visit under an old token") })
	require.Equal(t, []string{"the fencing token decreased"}, w.violations)
}

// Guards against endless orders to an endpoint that the platform is removing,
// and against more loads than the weight store allows.
func TestOrdersAreBounded(t *testing.T) {
	w := newWorld(Desired{Endpoint: "e1", Models: []string{"a"}}, Desired{Endpoint: "e2"}, Desired{Endpoint: "e3"}, Desired{Endpoint: "e4"})
	w.acquireLease("A", 2*hour)
	r := w.reconciler("A")
	r.MaxLoads = 2
	r.loads.init(2, 60)
	w.engines["e1"].report.Leaving = true
	r.Send = func(ctx context.Context, d Desired, o engine.Order) error {
		if d.Endpoint == "e1" {
			return nil // accepted without effect: the platform is removing the endpoint
		}
		return w.send(ctx, d, o)
	}
	for i := 1; i < 4; i++ {
		w.desired[i].Models = []string{"m"}
		w.engines[w.desired[i].Endpoint].slow = true
	}
	w.run(time.Minute, r)
	require.LessOrEqual(t, status(r, "e1").Orders, 4)
	require.Contains(t, status(r, "e1").Waits, "leaves by itself")
	require.Equal(t, 2, status(r, "e2").Orders+status(r, "e3").Orders+status(r, "e4").Orders)
	w.engines["e2"].slow, w.engines["e2"].report.Models = false, []string{"m"}
	w.run(time.Minute, r)
	require.True(t, status(r, "e2").Settled)
	require.Equal(t, 3, status(r, "e2").Orders+status(r, "e3").Orders+status(r, "e4").Orders)
}

// Guards against dead endpoints whose visits use up the limit until they time
// out, and against retries without a growing delay.
func TestDeadEndpointsDelayNobody(t *testing.T) {
	var desired []Desired
	for i := range 2 * maxHealthyVisits {
		desired = append(desired, Desired{Endpoint: fmt.Sprint("e", i), Models: []string{"a"}})
	}
	w := newWorld(desired...)
	w.acquireLease("A", hour)
	r := w.reconciler("A")
	r.newBackoff = exponentialBackoff
	for i := range 2*maxHealthyVisits - 1 {
		w.engines[desired[i].Endpoint].down = true
	}
	w.run(10*time.Second, r)
	require.Less(t, w.messages, 2*maxHealthyVisits*8)
	live := fmt.Sprint("e", 2*maxHealthyVisits-1)
	w.desired[2*maxHealthyVisits-1].Drain = true
	// The visits of dead endpoints hang; the live one must still get its order.
	w.now = w.now.Add(2 * maxRetryDelay)
	var hanging []func()
	r.round(context.Background(), func(f func()) {
		if len(hanging) < maxFailingVisits {
			hanging = append(hanging, f)
			return
		}
		f()
	})
	require.Len(t, hanging, maxFailingVisits)
	require.True(t, w.engines[live].report.Leaving)
	for _, f := range hanging {
		f()
	}
	require.Zero(t, r.healthyVisits.Load()+r.failingVisits.Load())
}

// Guards against data races, leaked goroutines and two orders in flight to one
// endpoint while Run works in real time and with goroutines.
func TestRun(t *testing.T) {
	defer goleak.VerifyNone(t)
	var version atomic.Int64
	inFlight := make([]atomic.Int64, 50)
	state := make([]atomic.Int64, len(inFlight)) // 1 if leaving
	at := func(d Desired) (i int) { _, _ = fmt.Sscan(d.Endpoint, &i); return i }
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	r := &Reconciler{
		Lease: func(now time.Time) (int64, time.Time, bool) { return 1, now.Add(hour), true },
		Desired: func() []Desired {
			out := make([]Desired, len(inFlight))
			for i := range out {
				out[i] = Desired{Endpoint: fmt.Sprint(i), Drain: version.Load()%2 == 1, Fenced: true}
			}
			return out
		},
		Observe: func(_ context.Context, d Desired) (engine.Report, error) {
			return engine.Report{Leaving: state[at(d)].Load() == 1, Fence: 1}, nil
		},
		Send: func(_ context.Context, d Desired, o engine.Order) error {
			i := at(d)
			if inFlight[i].Add(1) > 1 {
				t.Error("two orders in flight to one endpoint")
			}
			defer inFlight[i].Add(-1)
			time.Sleep(2 * time.Millisecond)
			if o.Drain {
				state[i].Store(1)
			} else {
				state[i].Store(0)
			}
			return nil
		},
		Violation:    func(text string) { t.Error(text) },
		MaxReportAge: time.Millisecond, Poll: time.Millisecond, WaitingInterval: time.Millisecond, SettledInterval: time.Millisecond,
	}
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	for v := range int64(20) {
		version.Store(v)
		r.Wake()
		for ctx.Err() == nil {
			settled := 0
			for _, s := range r.Status() {
				if s.Settled && s.Desired.Drain == (v%2 == 1) {
					settled++
				}
			}
			if settled == len(inFlight) {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
	require.NoError(t, ctx.Err())
	cancel()
	require.NoError(t, <-done)
}
