package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Verdict is the state of a key that was condemned at least once.
type Verdict struct {
	Key     uint64
	Request bool      // the key identifies a request, not a part
	Level   int       // number of changes; of two verdicts on one key the higher counts
	Trials  int       // number of trials
	Certain bool      // nothing but the request seems to have caused the crashes
	Freed   bool      // a request with the key was answered, or others explain the crashes
	Last    time.Time // of the latest crash that led to the condemnation; of the answer or the latest crash, if Freed is set
	Until   time.Time // of the hold
	Asked   time.Time // when the latest request with the key came, as far as known
}

// hold returns the time for which a key is held: a part twice as long with each
// condemnation and trial, a request with each trial.
func (v Verdict) hold() time.Duration {
	d, doublings := FirstHold, v.Level-1
	switch {
	case v.Request && !v.Certain:
		return DoubtHold
	case v.Request:
		d, doublings = FirstRequestHold, v.Trials
	}
	for range doublings {
		if d *= 2; d >= MaxHold {
			return MaxHold
		}
	}
	return d
}

// begun returns the time at which the hold began: with a crash, or with a trial. Instances
// know it to within crashSpread.
func (v Verdict) begun() time.Time { return v.Until.Add(-v.hold()) }

// isExhausted reports whether no trial is left.
func (v Verdict) isExhausted() bool {
	if v.Request {
		return v.Trials >= MaxRequestTrials
	}
	return v.Trials >= MaxTrials
}

// memory returns the idle time after which the verdict is forgotten.
func (v Verdict) memory() time.Duration {
	if v.Request {
		return requestMemory
	}
	return verdictMemory
}

// idle returns the time since the end of the hold, or since the latest request with the
// key if that is shorter.
func (v Verdict) idle(now time.Time) time.Duration {
	return min(now.Sub(v.Until), now.Sub(v.Asked))
}

// addAsked records that a request with the key came at a time.
func (v *Verdict) addAsked(at time.Time) {
	if at.After(v.Asked) {
		v.Asked = at
	}
}

// evictFor drops the verdict that has been idle for longest, and reports whether that
// is another one than v. A freed one goes first.
func (r *Register) evictFor(v *verdict) bool {
	first := v
	for _, o := range r.verdicts {
		older := cmp.Or(latest(o).Compare(latest(first)), cmp.Compare(o.Key, first.Key)) < 0
		if o.Freed != first.Freed {
			older = o.Freed
		}
		if older {
			first = o
		}
	}
	delete(r.verdicts, first.Key)
	return first != v
}

// latest returns the time from which a verdict is idle.
func latest(v *verdict) time.Time {
	if v.Asked.After(v.Until) {
		return v.Asked
	}
	return v.Until
}

// Repeat has the verdicts that requests have asked for last sent once more to all
// instances, for one that has just started.
func (r *Register) Repeat(now time.Time) {
	if r.view.Load() == nil {
		return
	}
	defer r.update(now)()
	list := make([]*verdict, 0, len(r.verdicts))
	for _, v := range r.verdicts {
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b *verdict) int { return cmp.Or(b.Asked.Compare(a.Asked), cmp.Compare(a.Key, b.Key)) })
	for _, v := range list[:min(len(list), verdictsPerRound)] {
		v.unsent, r.unsent = true, true
	}
}
