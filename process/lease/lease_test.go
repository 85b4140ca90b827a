package lease

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/process/platform"
)

// fixture holds a store and a manual clock for keepers, the entry that is the
// preferred holder, and the calls of Gained and Lost.
type fixture struct {
	memory platform.Memory
	now    time.Time
	wants  string
	events []string
}

func newFixture() *fixture {
	return &fixture{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
}

func (b *fixture) keeper(name string, duties ...string) *Keeper {
	log := logrus.New()
	log.SetOutput(io.Discard)
	k := &Keeper{
		Platform: b.memory.Platform(), Holder: name, Duties: append(duties, "d"), Log: log, Rate: 1e9,
		Now:    func() time.Time { return b.now },
		Wants:  func(string) bool { return b.wants == name },
		Gained: func(l Lease) { b.events = append(b.events, fmt.Sprintf("+%s%d", l.Holder, l.Fence)) },
		Lost:   func(l Lease) { b.events = append(b.events, fmt.Sprintf("-%s%d", l.Holder, l.Fence)) },
	}
	k.prepare()
	return k
}

// run steps the keepers every 100 ms for a duration.
func (b *fixture) run(d time.Duration, keepers ...*Keeper) {
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(100 * time.Millisecond) {
		for _, k := range keepers {
			k.step(context.Background(), k.duties["d"])
		}
	}
}

func (b *fixture) holds(k *Keeper) bool {
	_, ok := k.Held("d", b.now)
	return ok
}

// Guards against two holders at once when one is paused past its deadline.
func TestPausedHolderStopsBeforeItsSuccessorStarts(t *testing.T) {
	b := newFixture()
	a, c := b.keeper("a"), b.keeper("c")
	b.wants = "a"
	b.run(100*time.Millisecond, a)
	require.True(t, b.holds(a))
	taken := b.now.Add(-100 * time.Millisecond)
	b.wants = "c"
	for !b.holds(c) {
		b.run(100*time.Millisecond, c)
		require.False(t, b.holds(a) && b.holds(c))
	}
	require.Greater(t, b.now.Sub(taken), Term+Margin)
	require.False(t, b.holds(a))
	b.run(time.Second, a, c)
	require.Equal(t, []string{"+a1", "+c2", "-a1"}, b.events)
	require.True(t, b.holds(c))
}

// Guards against a deadline with a monotonic clock reading: that clock stands
// still while a machine is suspended.
func TestDeadlineHasNoMonotonicReading(t *testing.T) {
	b := newFixture()
	a := b.keeper("a")
	a.Now = time.Now
	b.wants = "a"
	a.step(context.Background(), a.duties["d"])
	l, ok := a.Held("d", time.Now())
	require.True(t, ok)
	require.NotContains(t, l.Deadline.String(), "m=")
}

// Guards against a wait of 7 s, and a reused token, when a lease is handed over.
func TestHandOverIsImmediateAndRaisesTheFence(t *testing.T) {
	b := newFixture()
	a, c := b.keeper("a"), b.keeper("c")
	for i, want := range []string{"a", "c", "a", "c"} {
		b.wants = want
		b.run(300*time.Millisecond, a, c)
		require.Len(t, b.events, max(2*i+1, 1))
	}
	require.Equal(t, []string{"+a1", "-a1", "+c2", "-c2", "+a3", "-a3", "+c4"}, b.events)
}

// Guards against treating a write whose answer was lost as failed.
func TestLostAnswersAreReadBack(t *testing.T) {
	b := newFixture()
	b.memory.Break(platform.Faults{Lose: 1})
	a := b.keeper("a")
	b.wants = "a"
	b.run(30*time.Second, a)
	require.True(t, b.holds(a))
	require.Equal(t, []string{"+a1"}, b.events)
}

// Guards against a lease that stays in use until its deadline or longer during a
// store outage, and against a holder that keeps its old fencing token after it.
func TestOutageEndsTheLeaseBeforeItsDeadline(t *testing.T) {
	b := newFixture()
	a := b.keeper("a")
	b.wants = "a"
	b.run(100*time.Millisecond, a)
	l, _ := a.Held("d", b.now)
	b.memory.Break(platform.Faults{Down: true})
	b.run(10*time.Second, a)
	require.Equal(t, []string{"+a1", "-a1"}, b.events)
	_, ok := a.Held("d", l.Deadline.Add(-Margin))
	require.False(t, ok)
	b.memory.Break(platform.Faults{})
	b.run(time.Second, a)
	require.Equal(t, []string{"+a1", "-a1", "+a2"}, b.events)
}

// Guards against a write that takes effect long after its answer was lost, and
// restores a lease that was handed over in between.
func TestLateWriteDoesNotRestoreALease(t *testing.T) {
	b := newFixture()
	a, c := b.keeper("a"), b.keeper("c")
	b.wants = "a"
	b.run(100*time.Millisecond, a)
	commit := a.Platform.Commit
	var late []platform.Op
	a.Platform.Commit = func(ctx context.Context, ops []platform.Op) error {
		if late == nil {
			late = ops
			return platform.ErrUnknown
		}
		return commit(ctx, ops)
	}
	b.run(3*time.Second, a)
	require.NotNil(t, late)
	b.wants = "c"
	b.run(2*time.Second, a, c)
	require.True(t, b.holds(c))
	require.ErrorIs(t, commit(context.Background(), late), platform.ErrConflict)
	b.run(10*time.Second, a, c)
	require.Equal(t, []string{"+a1", "-a1", "+c2"}, b.events)
}

// Guards against leases that lapse when Run ends instead of being handed over.
func TestRunHandsOverAtItsEnd(t *testing.T) {
	b := newFixture()
	a := b.keeper("a")
	b.wants = "a"
	gained := make(chan struct{})
	var once sync.Once
	a.Gained = func(Lease) { once.Do(func() { close(gained) }) }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- a.Run(ctx) }()
	<-gained
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
	r, err := a.Platform.Get(context.Background(), Key("d"))
	require.NoError(t, err)
	l, err := decode("d", r)
	require.NoError(t, err)
	require.True(t, l.availableTo("c", b.now))
	require.Equal(t, int64(1), l.Fence)
}

func ExampleLease_Valid() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := Lease{Duty: "claim-3", Holder: "entry-7", Fence: 12, Deadline: now.Add(Term)}
	fmt.Println(l.Valid(now.Add(4*time.Second)), l.Valid(now.Add(5*time.Second)))
	// Output: true false
}

// BenchmarkOperations measures store operations per duty and second over ten
// simulated minutes: for the holder, for an entry that wants a held duty, for an
// entry that does not want it, and for a holder during a store outage.
func BenchmarkOperations(bb *testing.B) {
	for _, role := range []string{"holder", "contender", "other", "outage"} {
		bb.Run(role, func(bb *testing.B) {
			var operations, seconds float64
			for range bb.N {
				b := newFixture()
				a, c := b.keeper("a"), b.keeper("a")
				c.Holder = "c"
				b.wants = "a"
				a.step(context.Background(), a.duties["d"])
				k := map[string]*Keeper{"holder": a, "contender": c, "other": b.keeper("x"), "outage": a}[role]
				b.memory.Break(platform.Faults{Down: role == "outage"})
				operations += float64(b.measure(k, a, role))
				seconds += 600
			}
			bb.ReportMetric(operations/seconds, "operations/duty/s")
		})
	}
}

// measure steps k for ten minutes as Run would, and returns the number of its
// store operations. For a contender, the lease of a is renewed without counting.
func (b *fixture) measure(k, a *Keeper, role string) int64 {
	var n int64
	get, commit := k.Platform.Get, k.Platform.Commit
	k.Platform.Get = func(ctx context.Context, key string) (platform.Row, error) {
		n++
		return get(ctx, key)
	}
	k.Platform.Commit = func(ctx context.Context, ops []platform.Op) error {
		n++
		return commit(ctx, ops)
	}
	for end := b.now.Add(10 * time.Minute); b.now.Before(end); {
		if role == "contender" {
			a.step(context.Background(), a.duties["d"])
		}
		b.now = b.now.Add(max(k.capWait(k.duties["d"], k.step(context.Background(), k.duties["d"])), time.Millisecond))
	}
	return n
}

// Guards against two holders at once around a hand-over where the clocks of the two entries
// are apart: each may be wrong by a second, as Margin says.
func TestClocksApartDoNotOverlap(t *testing.T) {
	for _, skew := range []time.Duration{-2 * time.Second, -time.Second, time.Second, 2 * time.Second} {
		t.Run(skew.String(), func(t *testing.T) {
			b := newFixture()
			a, c := b.keeper("a"), b.keeper("c")
			c.Now = func() time.Time { return b.now.Add(skew) }
			holds := func(k *Keeper) bool {
				_, ok := k.Held("d", k.Now())
				return ok
			}
			b.wants = "a"
			b.run(100*time.Millisecond, a)
			require.True(t, holds(a))
			b.wants = "c" // a is paused from here on
			for range 200 {
				b.run(100*time.Millisecond, c)
				require.False(t, holds(a) && holds(c), b.now)
			}
			require.True(t, holds(c))
		})
	}
}
