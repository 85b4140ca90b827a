package quarantine

import (
	"slices"
	"time"
)

// record is the evidence against one request.
type record struct {
	crashes []int     // independent ones, by number
	last    time.Time // of the latest of them
}

// judgeRequests condemns requests for crashes that nothing explains without doubt:
// RequestCrashes suffice if the request was at all crashes that nothing else explains; if
// endpoints also crash without it, one more is needed. Of several requests that were at the
// same crashes, all are condemned: one of them has caused them. The list is in the order of
// time.
func (r *Register) judgeRequests(list []*suspect) {
	unexplained, records := r.collectRecords(list)
	for request, x := range records {
		needed := RequestCrashes
		for number := range unexplained {
			if !slices.Contains(x.crashes, number) {
				needed = RequestCrashes + 1
			}
		}
		if len(x.crashes) >= needed {
			r.condemn(Verdict{Key: request, Request: true, Last: x.last})
		}
	}
}

// evidence is what is known of the crashes at which a condemned request was.
type evidence struct {
	latest  time.Time // of these crashes
	alone   int       // number of them at which no other request was condemned
	excused bool      // at each of them, another request was that is condemned without doubt
}

// settleDoubts judges the condemned requests that are in doubt. The list is in the order of
// time.
//
// The doubt ends confirmTime after the latest crash if the request was the only condemned
// one at RequestCrashes, and no endpoint has crashed since the verdict without a condemned one. A
// request that was at no crash without another condemned one is tried sooner, TieHold after
// the latest crash, and is free again if others explain all its crashes without doubt.
func (r *Register) settleDoubts(list []*suspect, now time.Time) {
	for request, v := range r.verdicts {
		if !v.Request || v.Freed || v.Certain {
			continue
		}
		e := r.evidence(list, request)
		if e.excused {
			v.Level, v.Freed, v.Last, v.unsent = v.Level+1, true, e.latest, true
			r.note(v, Freed)
			continue
		}
		// A trial that has begun since keeps its hold until it ends in a crash.
		begun := v.begun()
		if at := e.latest.Add(TieHold); e.alone == 0 && at.Before(v.Until) && !e.latest.Before(begun.Add(-crashSpread)) {
			v.Until, v.unsent = at, true
		}
		if at := e.latest.Add(confirmTime); now.Before(at) {
			r.judgeAt(at)
			continue
		}
		unexplained := slices.ContainsFunc(list, func(s *suspect) bool { return !s.explained && s.Ended.After(v.Last) })
		if e.alone >= RequestCrashes && !unexplained {
			v.Level, v.Certain, v.unsent = v.Level+1, true, true
			v.Until = e.latest.Add(v.hold())
			r.note(v, Confirmed)
		}
	}
}

// IsAlone reports whether a key is condemned, and no other condemned request was at all
// the crashes that speak against it.
func (r *Register) IsAlone(key uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.verdicts[key]
	return v != nil && !v.Freed && !v.isTied()
}

// isTied reports whether the hold of a request in doubt was shortened because another
// condemned one was at each of its crashes.
func (v Verdict) isTied() bool { return v.Request && !v.Certain && v.Until.Sub(v.Last) <= TieHold }

func (r *Register) evidence(list []*suspect, request uint64) (e evidence) {
	others, certain := map[uint64]bool{}, map[uint64]bool{} // crashes at which other condemned requests were
	for _, s := range list {
		if s.Request != request && r.isCondemned(s.Request) {
			others[s.Crash] = true
			certain[s.Crash] = certain[s.Crash] || r.verdicts[s.Request].Certain
		}
	}
	e.excused = true
	for _, s := range list {
		if s.Request == request && !r.isVoid(s, request) {
			e.latest = s.Ended
			e.excused = e.excused && certain[s.Crash]
			if !others[s.Crash] {
				e.alone++
			}
		}
	}
	e.excused = e.excused && !e.latest.IsZero()
	return e
}

// collectRecords returns the numbers of independent crashes that nothing explains, and the
// records of the requests that were at crashes, except for those that are explained without
// doubt, and were not answered since. Endpoints that ended within crashSpread count as one
// crash, unless one of them began to run the same request after the other had ended.
func (r *Register) collectRecords(list []*suspect) (unexplained map[int]bool, records map[uint64]*record) {
	unexplained, records = map[int]bool{}, map[uint64]*record{}
	numbers := map[uint64]int{} // of the crashes, by endpoint and start
	all := 0
	var last time.Time
	for _, s := range list {
		if s.certain {
			continue
		}
		number, known := numbers[s.Crash]
		if !known {
			if last.IsZero() || !s.Ended.Before(last.Add(crashSpread)) {
				all++
			}
			number, last = all, s.Ended
			numbers[s.Crash] = number
		}
		if !s.explained {
			unexplained[number] = true
		}
		if r.isCondemned(s.Request) || r.isVoid(s, s.Request) {
			continue
		}
		x := records[s.Request]
		if x == nil {
			x = &record{}
			records[s.Request] = x
		}
		if n := len(x.crashes); n > 0 && x.crashes[n-1] == number {
			if s.Since.Before(x.last) {
				continue
			}
			all++
			number = all
			numbers[s.Crash] = number
		}
		x.crashes, x.last = append(x.crashes, number), s.Ended
	}
	return unexplained, records
}
