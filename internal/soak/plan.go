package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kinds of faults.
const (
	Kill       = "kill"       // an instance is killed and started again
	Pause      = "pause"      // an instance is suspended by a signal and resumed later
	Stop       = "stop"       // an instance is stopped gracefully and started again
	Herd       = "herd"       // about half of the instances are killed at once
	Hup        = "hup"        // an instance gets a changed settings file and a hangup signal
	Refuse     = "refuse"     // the store refuses calls
	Mute       = "mute"       // the store does not answer
	Lose       = "lose"       // the store's answers to writes are lost
	Slow       = "slow"       // the store is slow
	Forget     = "forget"     // the store deletes its history
	Cutoff     = "cutoff"     // the link of an instance to the store has a fault
	Link       = "link"       // the link to an endpoint has a fault
	Door       = "door"       // the link of callers to an instance has a fault
	Reclaim    = "reclaim"    // an endpoint leaves at short notice
	Crash      = "crash"      // an endpoint ends without notice and starts again
	Grey       = "grey"       // an endpoint fails part of its requests
	Garble     = "garble"     // an endpoint breaks off answers and sends stray ones
	Drop       = "drop"       // an endpoint loses answers
	Change     = "change"     // the configuration is replaced
	Withdraw   = "withdraw"   // the configuration is replaced and a key revoked
	Limit      = "limit"      // an endpoint names a limit on its requests
	Restore    = "restore"    // the store is away and comes back from an older copy
	Hang       = "hang"       // an endpoint does nothing for a while and goes on
	Standstill = "standstill" // all endpoints of one service hang at once
	Depart     = "depart"     // an endpoint leaves and says so in its answers; its row says so late or never
	Busy       = "busy"       // an endpoint turns requests away until a time that it names
	Overload   = "overload"   // all endpoints of one service turn requests away at once
	Flood      = "flood"      // callers send many different requests that crash endpoints
	Outage     = "outage"     // all endpoints of one place crash at once
	Spoil      = "spoil"      // an engine spoils events of streams whose runs are sound
	Turn       = "turn"       // all instances are stopped in turn and started again
)

const (
	quietStart   = 4 * time.Second // without faults, while the instances start
	quietEnd     = 6 * time.Second // without faults, so that the system can recover
	meanFaultGap = 900 * time.Millisecond
	phaseTime    = 12 * time.Second       // length of a phase; mild faults and all kinds take turns
	minFault     = 300 * time.Millisecond // shortest duration of a fault
	maxFault     = 4 * time.Second        // longest duration of a fault

	turnTime = 16 * time.Second // from the first stop of a Turn until all instances serve again
)

// Kinds of faults to draw from; a kind that is listed n times is n times as
// frequent. Under mildKinds, the bounds on configuration, on revoked keys, on
// leaving endpoints and on planned stops remain in force, except that Stop and Hup
// suspend the first three for their instance; see Ledger.Settled.
var (
	mildKinds = []string{
		Stop, Stop, Reclaim, Reclaim, Reclaim, Reclaim, Hup, Grey, Drop, Change, Change, Withdraw, Withdraw,
	}
	allKinds = []string{
		Kill, Kill, Pause, Pause, Stop, Stop, Stop, Herd, Hup, Refuse, Mute, Lose, Slow, Forget, Cutoff, Cutoff, Link, Link, Link,
		Door, Door, Reclaim, Reclaim, Reclaim, Reclaim, Reclaim, Reclaim, Crash, Crash, Grey, Garble, Drop, Change, Change, Change, Withdraw, Withdraw,
	}
	entryKinds = []string{
		Kill, Kill, Pause, Stop, Stop, Herd, Refuse, Lose, Slow, Garble, Garble, Garble, Crash, Crash, Grey, Grey, Drop, Drop, Reclaim, Reclaim,
	}
	longFaults = apart{
		kinds: []string{Limit, Restore}, stream: 21, meanGap: 6 * time.Second, shortest: 8 * time.Second, longest: 14 * time.Second,
	}
	// soundFaults are no disturbance: no promise is excused.
	soundFaults = apart{
		kinds: []string{Spoil, Spoil, Spoil, Turn}, stream: 41, meanGap: 3 * time.Second, shortest: minFault, longest: maxFault,
	}
)

type (
	// Fault is one planned fault.
	Fault struct {
		Kind string `json:"kind"`
		// After is the time from the start of the soak to the fault, Last its
		// duration.
		After time.Duration `json:"after"`
		Last  time.Duration `json:"last"`
		// Target selects an instance or endpoint by index, Harm the fault of a
		// link.
		Target int    `json:"target"`
		Harm   string `json:"harm,omitempty"`
	}

	// apart describes faults that are drawn apart from the others, so that these stay the same
	// for a seed.
	apart struct {
		kinds             []string
		stream            uint64        // second half of the seed
		meanGap           time.Duration // between two of them
		shortest, longest time.Duration
	}
)

// Plan returns the faults of a Soak. They depend only on the seed and the
// duration.
func Plan(seed uint64, total time.Duration) []Fault {
	plan := slices.Concat(drawPlan(seed, total, mildKinds, allKinds), longFaults.draw(seed, total), soundFaults.draw(seed, total))
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.After - b.After) })
	return plan
}

// draw draws random faults of the kinds.
func (x apart) draw(seed uint64, total time.Duration) (plan []Fault) {
	random := rand.New(rand.NewPCG(seed, x.stream))
	for at := quietStart; at < total-quietEnd; at += time.Duration(random.ExpFloat64() * float64(x.meanGap)) {
		f := Fault{
			Kind: x.kinds[random.IntN(len(x.kinds))], After: at, Target: random.IntN(1 << 16),
			Last: x.shortest + time.Duration(random.Int64N(int64(x.longest-x.shortest))),
		}
		if f.Kind == Turn {
			f.Last = turnTime
		}
		plan = append(plan, f)
	}
	return slices.DeleteFunc(plan, func(f Fault) bool { return f.After+f.Last > total-quietEnd })
}

// EntryPlan returns the faults of an Entries soak. They depend only on the seed
// and the duration.
func EntryPlan(seed uint64, total time.Duration) []Fault {
	return drawPlan(seed, total, entryKinds, entryKinds)
}

// drawPlan draws random faults, of the kinds first and second in turn, for one
// phase each.
func drawPlan(seed uint64, total time.Duration, first, second []string) []Fault {
	random := rand.New(rand.NewPCG(seed, seed))
	harms := []string{Delay, Reset, OneWay, Silence}
	var plan []Fault
	for at := quietStart; at < total-quietEnd; at += time.Duration(random.ExpFloat64() * float64(meanFaultGap)) {
		kinds := first
		if at/phaseTime%2 == 1 {
			kinds = second
		}
		f := Fault{
			Kind: kinds[random.IntN(len(kinds))], After: at, Target: random.IntN(1 << 16),
			Last: minFault + time.Duration(random.Int64N(int64(maxFault-minFault))),
		}
		if f.Kind == Cutoff || f.Kind == Link || f.Kind == Door {
			f.Harm = harms[random.IntN(len(harms))]
		}
		// Some faults come in series, which may overlap.
		for range 1 + random.IntN(2)*random.IntN(3) {
			plan = append(plan, f)
			f.After += f.Last/2 + time.Duration(random.Int64N(int64(minFault)))
		}
	}
	plan = slices.DeleteFunc(plan, func(f Fault) bool { return f.After+f.Last > total-quietEnd })
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.After - b.After) })
	return plan
}
