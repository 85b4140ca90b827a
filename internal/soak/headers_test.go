package soak

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/platform/fake"
)

// The same seed must yield the same faults. Over 20 seeds, each kind must occur.
func TestHeaderPlanDependsOnTheSeedAlone(t *testing.T) {
	require.Equal(t, HeaderPlan(7, time.Minute), HeaderPlan(7, time.Minute))
	require.NotEqual(t, HeaderPlan(7, time.Minute), HeaderPlan(8, time.Minute))
	kinds := map[string]int{}
	for seed := range uint64(20) {
		for _, f := range HeaderPlan(seed, time.Minute) {
			kinds[f.Kind]++
		}
	}
	for _, kind := range []string{Depart, Busy, Overload} {
		require.Positive(t, kinds[kind], kind)
	}
}

// Guards against requests at an endpoint whose answers have said that it leaves.
func TestSoakLeavingHeader(t *testing.T) { soakHeaders(t, Drain, Depart) }

// Guards against requests at an endpoint that has named a time to come back.
func TestSoakRetryAfter(t *testing.T) { soakHeaders(t, Backoff, Busy, Overload) }

// soakHeaders runs the faults of some kinds of a HeaderPlan, which must break nothing.
func soakHeaders(t *testing.T, promise string, kinds ...string) {
	t.Helper()
	binary := build(t)
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			const total = 30 * time.Second
			plan := slices.DeleteFunc(HeaderPlan(seed, total), func(f Fault) bool { return !slices.Contains(kinds, f.Kind) })
			s := Soak{
				Binary: binary, Dir: t.TempDir(), Seed: seed, Duration: total, Instances: 4, Faults: plan,
				// An instance that was told sends nothing more, so that two endpoints
				// that leave give no more than a few checks, and at times none.
				Enough: func(sum Summary) bool { return sum.Checks[promise] > 0 },
			}
			sum, err := s.Run(context.Background())
			requireKept(t, &s, sum, err)
			require.Positive(t, sum.Faults[kinds[0]])
			for _, promise := range []string{Order, Own, NotRun, Once, Leaving, Config, promise} {
				require.Positive(t, sum.Checks[promise], promise)
			}
		})
	}
}

// Guards against checks of what an endpoint has told an instance that cannot fail, or
// that blame an instance which was not told.
func TestLedgerCountsWhatEndpointsSay(t *testing.T) {
	now := time.Now()
	late := now.Add(leaveBound + time.Second)
	send := func(l *Ledger, id, instance string, at time.Time) {
		l.Sent(id, instance, fake.PlainService, "club", false, at)
	}
	// told makes i1 pass on an answer of a, which leaves.
	told := func(l *Ledger) {
		send(l, "q", "i1", now)
		l.SaysLeaving("q", "a")
		l.Answered("q", "a", now)
	}
	// busy makes a refuse a request of i1 for three seconds, and send others after a time.
	busy := func(l *Ledger, wait time.Duration, instance string, others int) {
		send(l, "q", "i1", now)
		l.Reached("q", "a", 0)
		l.SaysBusy("q", "a", time.Now().Add(3*time.Second))
		time.Sleep(wait)
		for n := range others {
			send(l, fmt.Sprint(n), instance, now)
			l.Reached(fmt.Sprint(n), "a", 0)
		}
	}
	const soon, inTime, after = busySlack / 2, 2 * busySlack, 3*time.Second + busySlack
	for name, tt := range map[string]struct {
		promise string // empty if none is broken
		run     func(l *Ledger)
	}{
		"request after the bound": {Drain, func(l *Ledger) {
			told(l)
			send(l, "r", "i1", late)
			l.Reached("r", "a", 0)
		}},
		"request after the bound, though a later answer says nothing": {Drain, func(l *Ledger) {
			told(l)
			send(l, "s", "i1", now)
			l.Answered("s", "a", late)
			send(l, "r", "i1", late)
			l.Reached("r", "a", 0)
		}},
		"request after the bound, though the instance is cut off": {Drain, func(l *Ledger) {
			told(l)
			l.Disturb("i1", late)
			send(l, "r", "i1", late)
			l.Reached("r", "a", 0)
		}},
		"request within the bound": {"", func(l *Ledger) {
			told(l)
			send(l, "r", "i1", now.Add(leaveBound))
			l.Reached("r", "a", 0)
		}},
		"request of another instance": {"", func(l *Ledger) {
			told(l)
			send(l, "r", "i2", late)
			l.Reached("r", "a", 0)
		}},
		"request at another endpoint": {"", func(l *Ledger) {
			told(l)
			send(l, "r", "i1", late)
			l.Reached("r", "b", 0)
		}},
		"answer that was not passed on": {"", func(l *Ledger) {
			send(l, "q", "i1", now)
			l.SaysLeaving("q", "a")
			l.Answered("q", "b", now)
			send(l, "r", "i1", late)
			l.Reached("r", "a", 0)
		}},
		"instance that was started again": {"", func(l *Ledger) {
			told(l)
			l.Forgets("i1")
			send(l, "r", "i1", late)
			l.Reached("r", "a", 0)
		}},
		"report of a leaving endpoint": {"", func(l *Ledger) {
			l.SaysLeaving("", "a")
			l.Reached("", "a", 0)
		}},

		"three requests before the time":                      {Backoff, func(l *Ledger) { busy(l, inTime, "i1", 3) }},
		"two requests before the time":                        {"", func(l *Ledger) { busy(l, inTime, "i1", 2) }},
		"three requests at once":                              {"", func(l *Ledger) { busy(l, soon, "i1", 3) }},
		"three requests after the time":                       {"", func(l *Ledger) { busy(l, after, "i1", 3) }},
		"three requests of another instance before the time":  {"", func(l *Ledger) { busy(l, inTime, "i2", 3) }},
		"three requests before the time, one after the other": {Backoff, func(l *Ledger) { busy(l, inTime, "i1", 1); time.Sleep(soon); more(l, now, 2) }},
		"three requests after a new start": {"", func(l *Ledger) {
			busy(l, inTime, "i1", 0)
			l.Forgets("i1")
			more(l, now, 3)
		}},
		"three requests of an instance that is cut off": {"", func(l *Ledger) {
			busy(l, inTime, "i1", 0)
			l.Disturb("i1", time.Now())
			more(l, now, 3)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var l Ledger
			tt.run(&l)
			l.Close()
			_, breaches, _ := l.Result()
			if tt.promise == "" {
				require.Empty(t, breaches)
			} else {
				require.Equal(t, map[string]int64{tt.promise: 1}, breaches)
			}
		})
	}
}

// more makes requests of i1 reach a.
func more(l *Ledger, at time.Time, count int) {
	for n := range count {
		id := fmt.Sprint("more", n)
		l.Sent(id, "i1", fake.PlainService, "club", false, at)
		l.Reached(id, "a", 0)
	}
}
