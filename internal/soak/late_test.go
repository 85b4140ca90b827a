package soak

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that an instance takes late in a planned stop, in calm, and cuts
// at the end of its grace time.
func TestSoakLateRequests(t *testing.T) {
	binary := build(t)
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			var plan []Fault
			for n := range 3 {
				plan = append(plan, Fault{Kind: Stop, After: quietStart + time.Duration(n)*6*time.Second, Target: n})
			}
			s := Soak{Binary: binary, Dir: t.TempDir(), Seed: seed, Duration: 28 * time.Second, Instances: 3, Faults: plan}
			sum, err := s.Run(context.Background())
			requireKept(t, &s, sum, err)
			require.Positive(t, sum.Checks[Planned])
		})
	}
}

// Guards against requests that are cut at the end of a planned stop while all instances stop
// in turn, so that no other one can serve them.
func TestSoakStopsInTurn(t *testing.T) {
	s := Soak{
		Binary: build(t), Dir: t.TempDir(), Seed: 3, Duration: 36 * time.Second, Instances: 5,
		Faults: []Fault{{Kind: Turn, After: quietStart, Target: 2}, {Kind: Turn, After: quietStart + turnTime, Target: 4}},
	}
	sum, err := s.Run(context.Background())
	requireKept(t, &s, sum, err)
	require.Positive(t, sum.Checks[Planned])
}

// Guards against a check that excuses all that a planned stop cuts, or nothing.
func TestLedgerCountsLateRequests(t *testing.T) {
	stopped := time.Now()
	const end = 7 * time.Second // within the last sixth of the grace time
	for name, x := range map[string]struct {
		sent, cut time.Duration // after the signal
		passedOn  bool
		other     func(l *Ledger)
		broken    bool
	}{
		"late":            {3300 * time.Millisecond, end, true, nil, true},
		"early, cut late": {time.Second, end, true, nil, false},
		"early, cut soon": {time.Second, 3 * time.Second, true, nil, true},
		"not passed on":   {3300 * time.Millisecond, end, false, nil, false},
		"endpoint leaves": {3300 * time.Millisecond, end, true, func(l *Ledger) { l.Leaves("d", stopped) }, false},
		"endpoint fails":  {3300 * time.Millisecond, end, true, func(l *Ledger) { l.Disturb("d", stopped.Add(4*time.Second)) }, false},
		"instance killed": {3300 * time.Millisecond, end, true, func(l *Ledger) { l.Disturb("i1", stopped.Add(end)) }, false},
		"spoilt":          {3300 * time.Millisecond, end, true, func(l *Ledger) { l.Spoils("q") }, false},
		"run ended":       {3300 * time.Millisecond, end, true, func(l *Ledger) { l.Ended("q", "d", false) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			var l Ledger
			l.Sent("q", "i1", "desk", "club", true, stopped.Add(x.sent))
			if x.passedOn {
				l.Began("q", "d", "club", false, stopped.Add(x.sent))
			}
			if x.other != nil {
				x.other(&l)
			}
			l.CutLate("q", "EOF", stopped, stopped.Add(x.cut))
			_, breaches, _ := l.Result()
			require.Equal(t, x.broken, breaches[Planned] > 0)
		})
	}
}
