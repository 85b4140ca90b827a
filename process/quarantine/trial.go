package quarantine

import (
	"slices"
	"time"
)

// Try admits a request with condemned keys as a trial if the hold of all of them has
// ended and each has trials left. The function rank returns the position of this
// instance in the order in which instances may try a key; it must be the same order at
// all instances.
func (r *Register) Try(keys []uint64, rank func(key uint64) int, now time.Time) bool {
	if until, held := r.Held(keys); !held || now.Before(until) {
		return false
	}
	defer r.update(now)()
	var due []*verdict
	for _, k := range keys {
		v := r.verdicts[k]
		if v == nil || v.Freed {
			continue
		}
		if !v.Request && r.isSuspected(keys) {
			return false // its crash would not tell whether the part has caused it
		}
		if v.Request && r.isOtherTried(k, now) {
			return false // a crash of an endpoint that takes both would speak against both
		}
		step := TrialStep
		if v.Request {
			step = RequestTrialStep
		}
		if v.isExhausted() || now.Before(v.Until.Add(time.Duration(rank(k))*step)) {
			return false
		}
		due = append(due, v)
	}
	for _, v := range due {
		v.Level++
		v.Trials++
		v.Until, v.Asked, v.unsent = now.Add(v.hold()), now, true
		r.changed = true
		r.note(v, Trial)
	}
	return true
}

// isSuspected reports whether one of the keys is a request that was at a crash and was not
// answered since.
func (r *Register) isSuspected(keys []uint64) bool {
	for _, s := range r.suspects {
		if slices.Contains(keys, s.Request) && !r.isVoid(s, s.Request) {
			return true
		}
	}
	return false
}

// Return gives back a trial whose request has reached no endpoint, so that another
// request may take it at once.
func (r *Register) Return(keys []uint64, now time.Time) {
	defer r.update(now)()
	for _, k := range keys {
		if v := r.verdicts[k]; v != nil && !v.Freed && now.Before(v.Until) {
			v.Level, v.Trials = v.Level+1, max(v.Trials-1, 0)
			v.Until, v.unsent = now, true
			r.changed = true
		}
	}
}

// isOtherTried reports whether a trial is running of a request that was at a crash of this
// one. It waits at most TieHold for each trial.
func (r *Register) isOtherTried(request uint64, now time.Time) bool {
	crashes := map[uint64]bool{} // at which the request was
	for _, s := range r.suspects {
		if s.Request == request && !r.isVoid(s, request) {
			crashes[s.Crash] = true
		}
	}
	for _, s := range r.suspects {
		if s.Request != request && crashes[s.Crash] && r.isTried(s.Request, now) {
			return true
		}
	}
	return false
}

// isTried reports whether a trial of a request began within TieHold and seems to be running:
// it was neither answered nor given back, and no endpoint has crashed on it.
func (r *Register) isTried(request uint64, now time.Time) bool {
	v := r.verdicts[request]
	if v == nil || v.Freed || v.Trials == 0 {
		return false
	}
	begun := v.begun()
	if !now.Before(begun.Add(TieHold)) {
		return false
	}
	for _, s := range r.suspects {
		if s.Request == request && !s.Ended.Before(begun.Add(-crashSpread)) {
			return false
		}
	}
	return true
}
