package soak

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
)

// Kinds of faults of a StallPlan.
const (
	Stall = "stall" // an instance is suspended for a moment and goes on
	Still = "still" // all instances are suspended at once
)

const (
	minStall      = 300 * time.Millisecond // shortest time for which an instance is suspended
	maxStall      = time.Second            // longest time
	minRunning    = 300 * time.Millisecond // shortest time between two stalls of an instance
	maxStalls     = 5                      // stalls of one series
	meanStallGap  = 1500 * time.Millisecond
	meanChangeGap = 1500 * time.Millisecond
	leaveInterval = 500 * time.Millisecond // between two endpoints that leave in a release
	releaseSize   = 4                      // endpoints that a release replaces
	meanRelease   = 6 * time.Second        // between the begins of two releases
	stillShare    = 5                      // one series in this many suspends all instances
	stallStream   = 23                     // second half of the seed of StallPlan
)

// StallPlan returns faults in which instances are suspended and go on, in series, beside
// changes of the configuration and of settings and releases, in which an endpoint leaves
// each half second and another one starts for it. They depend only on the seed and the
// duration.
func StallPlan(seed uint64, total time.Duration) (plan []Fault) {
	random := rand.New(rand.NewPCG(seed, stallStream))
	target := func() int { return random.IntN(1 << 16) }
	for at := quietStart; at < total-quietEnd; at += time.Duration(random.ExpFloat64() * float64(meanStallGap)) {
		f := Fault{Kind: Stall, After: at, Target: target()}
		if random.IntN(stillShare) == 0 {
			f.Kind = Still
		}
		for range 1 + random.IntN(maxStalls) {
			f.Last = minStall + time.Duration(random.Int64N(int64(maxStall-minStall)))
			plan = append(plan, f)
			f.After += f.Last + minRunning + time.Duration(random.Int64N(int64(minRunning)))
		}
	}
	changes := []string{Change, Withdraw, Hup}
	for at := quietStart; at < total-quietEnd; at += time.Duration(random.ExpFloat64() * float64(meanChangeGap)) {
		plan = append(plan, Fault{Kind: changes[random.IntN(len(changes))], After: at, Target: target()})
	}
	for at := quietStart; at < total-quietEnd; at += time.Duration(random.ExpFloat64() * float64(meanRelease)) {
		first := target()
		for n := range releaseSize {
			plan = append(plan, Fault{Kind: Reclaim, After: at + time.Duration(n)*leaveInterval, Target: first + n})
		}
	}
	plan = slices.DeleteFunc(plan, func(f Fault) bool { return f.After+f.Last > total-quietEnd })
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.After - b.After) })
	return plan
}

// stall suspends the process of an instance until a time. That is no disturbance: it
// excuses no request that ends for it. It does nothing if the instance is suspended or has
// run for less than minRunning: together the two would be one stall, longer than maxStall.
func (s *Soak) stall(i *instance, until time.Time) {
	i.mu.Lock()
	running := time.Since(i.stalledUntil) >= minRunning
	if running {
		i.stalledUntil = until
	}
	i.mu.Unlock()
	if !running {
		return
	}
	s.ledger.Stalls(i.name, until)
	i.signal(syscall.SIGSTOP)
	sleep.For(s.ctx, time.Until(until))
	i.signal(syscall.SIGCONT)
}

// stallAll suspends all instances until a time.
func (s *Soak) stallAll(until time.Time) {
	var all conc.WaitGroup
	defer all.Wait()
	for _, i := range s.instances {
		all.Go(func() { s.stall(i, until) })
	}
}

// Stalls records that an instance is suspended until a time. That is no disturbance.
func (l *Ledger) Stalls(instance string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	l.stalled[instance] = until
}

// stalledSince reports whether an instance was suspended at any time after from; the lock
// is held.
func (l *Ledger) stalledSince(instance string, from time.Time) bool {
	return l.stalled[instance].After(from)
}
