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

	meanLongGap = 6 * time.Second // between the faults of longKinds
	minLong     = 8 * time.Second // shortest duration of one
	maxLong     = 14 * time.Second
	longStream  = 21 // second half of the seed of longKinds

	meanSoundGap = 3 * time.Second  // between the faults of soundKinds
	soundStream  = 41               // second half of the seed of soundKinds
	turnTime     = 16 * time.Second // from the first stop of a Turn until all instances serve again
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
	// longKinds are drawn apart from the others, so that these stay the same for a seed.
	longKinds = []string{Limit, Restore}
	// soundKinds are drawn apart too. They are no disturbance: no promise is excused.
	soundKinds = []string{Spoil, Spoil, Spoil, Turn}
)

// Fault is one planned fault.
type Fault struct {
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

// Plan returns the faults of a Soak. They depend only on the seed and the
// duration.
func Plan(seed uint64, total time.Duration) []Fault {
	plan := slices.Concat(drawPlan(seed, total, mildKinds, allKinds), drawLong(seed, total), drawSound(seed, total))
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.After - b.After) })
	return plan
}

// drawLong draws random faults of longKinds.
func drawLong(seed uint64, total time.Duration) (plan []Fault) {
	random := rand.New(rand.NewPCG(seed, longStream))
	for at := quietStart; at < total-quietEnd; at += time.Duration(random.ExpFloat64() * float64(meanLongGap)) {
		plan = append(plan, Fault{
			Kind: longKinds[random.IntN(len(longKinds))], After: at, Target: random.IntN(1 << 16),
			Last: minLong + time.Duration(random.Int64N(int64(maxLong-minLong))),
		})
	}
	return slices.DeleteFunc(plan, func(f Fault) bool { return f.After+f.Last > total-quietEnd })
}

// drawSound draws random faults of soundKinds.
func drawSound(seed uint64, total time.Duration) (plan []Fault) {
	random := rand.New(rand.NewPCG(seed, soundStream))
	for at := quietStart; at < total-quietEnd; at += time.Duration(random.ExpFloat64() * float64(meanSoundGap)) {
		f := Fault{
			Kind: soundKinds[random.IntN(len(soundKinds))], After: at, Target: random.IntN(1 << 16),
			Last: minFault + time.Duration(random.Int64N(int64(maxFault-minFault))),
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
