package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kinds of faults.
const (
	Kill     = "kill"     // an instance is killed and started again
	Pause    = "pause"    // an instance is stopped by a signal and goes on later
	Stop     = "stop"     // an instance is stopped gracefully and started again
	Herd     = "herd"     // most instances are killed at once
	Hup      = "hup"      // an instance gets other settings and a hangup signal
	Refuse   = "refuse"   // the store refuses calls
	Mute     = "mute"     // the store gives no answers
	Lose     = "lose"     // the store's answers to writes are lost
	Slow     = "slow"     // the store is slow
	Forget   = "forget"   // the store drops its history
	Cutoff   = "cutoff"   // the link of an instance to the store is harmed
	Link     = "link"     // the link to an endpoint is harmed
	Door     = "door"     // the link of callers to an instance is harmed
	Reclaim  = "reclaim"  // an endpoint leaves at short notice
	Crash    = "crash"    // an endpoint ends without notice and starts again
	Grey     = "grey"     // an endpoint fails part of its requests
	Garble   = "garble"   // an endpoint breaks answers off and sends stray ones
	Drop     = "drop"     // an endpoint loses answers
	Change   = "change"   // another configuration
	Withdraw = "withdraw" // a key is taken away
)

const (
	calmStart = 4 * time.Second // without faults, while the instances start
	calmEnd   = 6 * time.Second // without faults, in which everything has to come back
	faultGap  = 900 * time.Millisecond
	eraTime   = 12 * time.Second // mild faults for so long, then any for as long
	shortest  = 300 * time.Millisecond
	longest   = 4 * time.Second
)

// Kinds of faults, each as often as it is drawn: those which leave the
// bounds of configuration, of leaving endpoints and of planned stops in force, and all.
var (
	mild = []string{
		Stop, Stop, Reclaim, Reclaim, Reclaim, Reclaim, Hup, Grey, Drop, Change, Change, Withdraw, Withdraw,
	}
	every = []string{
		Kill, Kill, Pause, Pause, Stop, Stop, Stop, Herd, Hup, Refuse, Mute, Lose, Slow, Forget, Cutoff, Cutoff, Link, Link, Link,
		Door, Door, Reclaim, Reclaim, Reclaim, Reclaim, Reclaim, Reclaim, Crash, Crash, Grey, Garble, Drop, Change, Change, Change, Withdraw, Withdraw,
	}
	entryKinds = []string{
		Kill, Kill, Pause, Stop, Stop, Herd, Refuse, Lose, Slow, Garble, Garble, Garble, Crash, Crash, Grey, Grey, Drop, Drop, Reclaim, Reclaim,
	}
)

// Fault is one disturbance of a plan.
type Fault struct {
	Kind string `json:"kind"`
	// After is the time from the start of the soak, Last how long it lasts.
	After time.Duration `json:"after"`
	Last  time.Duration `json:"last"`
	// Target chooses an instance or an endpoint, Harm what is done to a link.
	Target int    `json:"target"`
	Harm   string `json:"harm,omitempty"`
}

// Plan gives the faults of a Soak. They depend on the seed and the time alone.
func Plan(seed uint64, total time.Duration) []Fault { return plan(seed, total, mild, every) }

// EntryPlan gives the faults of an Entries in the same way.
func EntryPlan(seed uint64, total time.Duration) []Fault {
	return plan(seed, total, entryKinds, entryKinds)
}

// plan draws faults of the kinds of odd and of even eras.
func plan(seed uint64, total time.Duration, odd, even []string) []Fault {
	random := rand.New(rand.NewPCG(seed, seed))
	harms := []string{Delay, Reset, OneWay, Silence}
	var plan []Fault
	for at := calmStart; at < total-calmEnd; at += time.Duration(random.ExpFloat64() * float64(faultGap)) {
		kinds := odd
		if at/eraTime%2 == 1 {
			kinds = even
		}
		f := Fault{
			Kind: kinds[random.IntN(len(kinds))], After: at, Target: random.IntN(1 << 16),
			Last: shortest + time.Duration(random.Int64N(int64(longest-shortest))),
		}
		if f.Kind == Cutoff || f.Kind == Link || f.Kind == Door {
			f.Harm = harms[random.IntN(len(harms))]
		}
		// Some faults come in series.
		for range 1 + random.IntN(2)*random.IntN(3) {
			plan = append(plan, f)
			f.After += f.Last/2 + time.Duration(random.Int64N(int64(shortest)))
		}
	}
	plan = slices.DeleteFunc(plan, func(f Fault) bool { return f.After+f.Last > total-calmEnd })
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.After - b.After) })
	return plan
}
