package soak

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/platform/fake"
)

// The same seed must yield the same hangs. Over 20 seeds both kinds must occur, and a
// series of hangs.
func TestHangPlanDependsOnTheSeedAlone(t *testing.T) {
	require.Equal(t, HangPlan(7, time.Minute), HangPlan(7, time.Minute))
	require.NotEqual(t, HangPlan(7, time.Minute), HangPlan(8, time.Minute))
	kinds := map[string]int{}
	again := 0
	for seed := range uint64(20) {
		last := map[int]time.Duration{}
		for _, f := range HangPlan(seed, time.Minute) {
			kinds[f.Kind]++
			if f.Kind != Hang && f.Kind != Standstill {
				continue
			}
			require.GreaterOrEqual(t, f.Last, minHang)
			require.Less(t, f.Last, maxHang)
			if end, ok := last[f.Target]; ok && f.After-end <= 2*minAwake {
				again++
			}
			last[f.Target] = f.After + f.Last
		}
	}
	for _, kind := range []string{Hang, Standstill, Change, Withdraw, Hup} {
		require.Positive(t, kinds[kind], kind)
	}
	require.Positive(t, again)
}

// Guards against requests that are cut, and runs that go on at two engines, because a
// sound endpoint is silent for a while.
func TestSoakHangingEndpoints(t *testing.T) {
	binary := build(t)
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			const total = 30 * time.Second
			s := Soak{Binary: binary, Dir: t.TempDir(), Seed: seed, Duration: total, Instances: 4, Faults: HangPlan(seed, total)}
			sum, err := s.Run(context.Background())
			requireKept(t, &s, sum, err)
			for _, promise := range []string{Order, Own, NotRun, Once, Config, Whole} {
				require.Positive(t, sum.Checks[promise], promise)
			}
		})
	}
}

// Guards against checks that a hang excuses, or that blame an instance for what a hang
// delays.
func TestLedgerCountsHangs(t *testing.T) {
	now := time.Now()
	const bound = leaveBound + time.Second // longer than leaveBound
	began := func(l *Ledger, service, endpoint string) {
		if l.requests["q"] == nil {
			l.Sent("q", "i1", service, "club", false, now)
		}
		l.Began("q", endpoint, "club", false, now)
	}
	for name, tt := range map[string]struct {
		promise string // empty if none is broken
		run     func(l *Ledger)
	}{
		"lost at an endpoint that hangs": {Whole, func(l *Ledger) {
			began(l, fake.EngineService, "a")
			l.Hangs("a", now, now.Add(time.Second))
			l.Lost("q", "cut", now.Add(time.Second))
		}},
		"lost before the endpoint has read it": {Whole, func(l *Ledger) {
			l.Sent("q", "i1", fake.EngineService, "club", true, now)
			l.Lost("q", "cut", now.Add(time.Second))
			began(l, fake.EngineService, "a")
		}},
		"lost without reaching an endpoint": {"", func(l *Ledger) {
			l.Sent("q", "i1", fake.EngineService, "club", true, now)
			l.Lost("q", "cut", now.Add(time.Second))
		}},
		"lost at the end of its time": {"", func(l *Ledger) {
			began(l, fake.EngineService, "a")
			l.Lost("q", "cut", now.Add(answerBound))
		}},
		"lost at an endpoint that is disturbed": {"", func(l *Ledger) {
			began(l, fake.EngineService, "a")
			l.Disturb("a", now)
			l.Lost("q", "cut", now.Add(time.Second))
		}},
		"lost before the endpoint is disturbed": {Whole, func(l *Ledger) {
			began(l, fake.EngineService, "a")
			l.Lost("q", "cut", now.Add(time.Second))
			l.Disturb("a", now.Add(time.Minute))
		}},
		"lost by an instance that is disturbed": {"", func(l *Ledger) {
			began(l, fake.EngineService, "a")
			l.Disturb("i1", now)
			l.Lost("q", "cut", now.Add(time.Second))
		}},
		"goes on beside an engine that hangs": {Single, func(l *Ledger) {
			l.Hangs("a", now, now.Add(time.Second))
			began(l, fake.EngineService, "a")
			began(l, fake.EngineService, "b")
			l.Ended("q", "b", true)
			time.Sleep(2 * maxOverlap)
		}},
		"starts anew beside a replica that hangs": {"", func(l *Ledger) {
			l.Hangs("a", now, now.Add(time.Second))
			began(l, fake.PlainService, "a")
			began(l, fake.PlainService, "b")
			time.Sleep(2 * maxOverlap)
		}},
		"refused, and read after a hang": {"", func(l *Ledger) {
			l.Sent("q", "i1", fake.EngineService, "club", false, now)
			l.Hangs("a", now, now.Add(time.Second))
			l.Refused("q")
			l.Began("q", "a", "club", false, now.Add(time.Second))
		}},
		"refused, and read after a hang, though it may run only once": {NotRun, func(l *Ledger) {
			l.Sent("q", "i1", fake.EngineService, "club", true, now)
			l.Hangs("a", now, now.Add(time.Second))
			l.Refused("q")
			l.Began("q", "a", "club", false, now.Add(time.Second))
		}},
		"refused, and passed on after a hang": {NotRun, func(l *Ledger) {
			l.Sent("q", "i1", fake.EngineService, "club", false, now)
			l.Hangs("a", now.Add(-time.Second), now)
			l.Refused("q")
			l.Began("q", "a", "club", false, now.Add(time.Second))
		}},
		"passed on before the endpoint left, read after a hang": {"", func(l *Ledger) {
			l.Leaves("a", now.Add(-bound))
			l.Hangs("a", now.Add(-bound), now)
			began(l, fake.EngineService, "a")
		}},
		"passed on after the endpoint left, read after a hang": {Leaving, func(l *Ledger) {
			l.Leaves("a", now.Add(-2*bound))
			l.Hangs("a", now.Add(-time.Second/2), now)
			began(l, fake.EngineService, "a")
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

// Guards against hangs that together are longer than one may be: an endpoint that hangs
// does not hang again before it has gone on.
func TestHangsOfOneEndpointAreApart(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := Soak{Instances: 3, ctx: ctx}
	s.prepare()
	p := s.newSites()[0]
	require.NoError(t, p.start())
	defer p.stop()
	cancel() // hang returns at once
	now := time.Now()
	e, _ := p.current()
	p.hang(now.Add(minHang))
	p.hang(now.Add(maxHang))
	require.Equal(t, now.Add(minHang), s.ledger.hangs[e.ID].until)
	time.Sleep(minHang + minAwake)
	p.hang(now.Add(maxHang))
	require.Equal(t, now.Add(maxHang), s.ledger.hangs[e.ID].until)
}
