package soak

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/platform/fake"
)

// The same seed must yield the same faults. Over 20 seeds, deadly requests of each kind
// of route must occur, several at once, floods and each other kind of fault.
func TestDeadlyPlanDependsOnTheSeedAlone(t *testing.T) {
	require.Equal(t, DeadlyPlan(7, time.Minute), DeadlyPlan(7, time.Minute))
	require.NotEqual(t, DeadlyPlan(7, time.Minute), DeadlyPlan(8, time.Minute))
	kinds, paths, several := map[string]int{}, map[string]int{}, 0
	for seed := range uint64(20) {
		deadly := 0
		for _, f := range DeadlyPlan(seed, time.Minute) {
			kinds[f.Kind]++
			if f.Kind == Deadly {
				deadly++
				paths[againPrefixes[f.Target%len(againPrefixes)]]++
			}
		}
		if deadly > 1 {
			several++
		}
	}
	for _, kind := range []string{Deadly, Flood, Crash, Outage, Hang, Standstill, Reclaim, Stop, Kill, Change, Withdraw, Hup} {
		require.Positive(t, kinds[kind], kind)
	}
	require.Len(t, paths, len(againPrefixes))
	require.Positive(t, several)
}

// Guards against a request that crashes each endpoint that begins to run it and is sent
// on to the next one whenever it comes again, and against sound requests that are refused
// because of it.
func TestSoakDeadlyRequests(t *testing.T) {
	binary := build(t)
	for _, seed := range []uint64{1, 3, 99} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			const total = 36 * time.Second
			s := Soak{Binary: binary, Dir: t.TempDir(), Seed: seed, Duration: total, Instances: 4, Faults: DeadlyPlan(seed, total)}
			sum, err := s.Run(context.Background())
			t.Logf("%d crashes by requests, %d deadly and %d sound requests refused", sum.Crashes, sum.Quarantined, sum.Mistaken)
			requireKept(t, &s, sum, err)
			for _, promise := range []string{Order, Own, NotRun, Once, Config, Deadly, Served} {
				require.Positive(t, sum.Checks[promise], promise)
			}
		})
	}
}

// Guards against checks that count too little or too much: arrivals count later than
// settleTime after the third crash, from settled instances only, and a sound request must
// be answered at times.
func TestLedgerCountsDeadlyRequests(t *testing.T) {
	now := time.Now()
	deadly := func(l *Ledger, crashes int, third time.Duration) *identity {
		x := &identity{name: "x", deadly: true}
		for n := range crashes {
			x.crashes = append(x.crashes, now.Add(-third).Add(time.Duration(n-2)*time.Second))
		}
		l.Sent("q", "i1", fake.PlainService, "club", true, now)
		l.Repeats("q", x)
		return x
	}
	arrive := func(l *Ledger, times int) {
		for range times {
			l.Reached("q", "a", 0)
		}
	}
	sound := func(l *Ledger, last time.Duration) *identity {
		x := &identity{name: "x", answered: now.Add(-last)}
		l.Sent("q", "i1", fake.PlainService, "club", true, now)
		l.Repeats("q", x)
		return x
	}
	for name, tt := range map[string]struct {
		promise string // empty if none is broken
		run     func(l *Ledger)
	}{
		"four arrivals": {Deadly, func(l *Ledger) {
			deadly(l, deadlyCrashes, settleTime+time.Second)
			arrive(l, deadlyArrivals+1)
		}},
		"three arrivals": {"", func(l *Ledger) {
			deadly(l, deadlyCrashes, settleTime+time.Second)
			arrive(l, deadlyArrivals)
		}},
		"four arrivals soon after": {"", func(l *Ledger) {
			deadly(l, deadlyCrashes+2, settleTime-time.Second)
			arrive(l, deadlyArrivals+1)
		}},
		"two crashes": {"", func(l *Ledger) {
			deadly(l, deadlyCrashes-1, settleTime+time.Second)
			arrive(l, deadlyArrivals+1)
		}},
		"four arrivals from an instance that has just started": {"", func(l *Ledger) {
			deadly(l, deadlyCrashes, settleTime+time.Second)
			l.Disturb("i1", now.Add(-time.Second))
			arrive(l, deadlyArrivals+1)
		}},
		"sound and never answered": {Served, func(l *Ledger) {
			l.Replied("q", sound(l, servedBound+time.Second), fake.Reply{Status: 503}, now)
		}},
		"sound and answered before": {"", func(l *Ledger) {
			l.Replied("q", sound(l, servedBound-time.Second), fake.Reply{Status: 503}, now)
		}},
		"sound and answered now": {"", func(l *Ledger) {
			l.Replied("q", sound(l, servedBound+time.Second), fake.Reply{Status: 200, Seal: "x"}, now)
		}},
		"deadly and never answered": {"", func(l *Ledger) {
			x := deadly(l, deadlyCrashes, settleTime+time.Second)
			x.answered = now.Add(-servedBound - time.Second)
			l.Replied("q", x, fake.Reply{Status: 503}, now)
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
				require.Positive(t, breaches[tt.promise])
			}
		})
	}
}

// Guards against endpoints that do not come back after a request has crashed them, or not
// under their ID when they should.
func TestCrashedEndpointComesBack(t *testing.T) {
	for _, isSame := range []bool{false, true} {
		t.Run(fmt.Sprint("same ", isSame), func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := Soak{Instances: 3, ctx: ctx}
			s.prepare()
			p := s.newSites()[0]
			require.NoError(t, p.start())
			defer p.stop()
			before, link := p.current()
			before.Kill()
			link.close()
			p.comeBack(before, isSame, time.Millisecond)
			after, _ := p.current()
			require.NotSame(t, before, after)
			require.Equal(t, isSame, after.ID == before.ID)
			require.Equal(t, isSame, after.Addr == before.Addr)
		})
	}
}
