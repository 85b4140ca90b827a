package quarantine

import (
	"cmp"
	"slices"
	"time"
)

func (s *suspect) key() suspectKey { return suspectKey{crash: s.Crash, request: s.Request} }

// charged returns the parts that a suspect may speak against: all but the last.
func (s *suspect) charged() []uint64 { return s.Parts[:max(len(s.Parts)-1, 0)] }

// before orders suspects by the time of the crash, the same at all instances for
// equal times.
func before(a, b *suspect) bool { return compare(a, b) < 0 }

func compare(a, b *suspect) int {
	return cmp.Or(a.Ended.Compare(b.Ended), cmp.Compare(a.Crash, b.Crash), cmp.Compare(a.Request, b.Request))
}

// addSuspect adds a suspect, or merges it with what is known of it. A crash at
// which the engine had begun to answer a request speaks against such requests only.
func (r *Register) addSuspect(s *suspect) {
	if old := r.suspects[s.key()]; old != nil {
		if !r.mergeSuspect(old, s) {
			return
		}
		s = old
	}
	r.changed = true
	for key, o := range r.suspects {
		switch {
		case key.crash != s.Crash || o.Begun == s.Begun:
		case o.Begun:
			return
		default:
			delete(r.suspects, key)
		}
	}
	if len(r.suspects) >= maxSuspects && r.suspects[s.key()] == nil {
		oldest := s
		for _, o := range r.suspects {
			if before(o, oldest) {
				oldest = o
			}
		}
		delete(r.suspects, oldest.key())
		if oldest == s {
			return
		}
	}
	r.suspects[s.key()] = s
}

// mergeSuspect adds to a suspect what another instance knows of it, and reports
// whether anything has changed.
func (r *Register) mergeSuspect(old, s *suspect) (changed bool) {
	changed = s.Begun && !old.Begun || s.own && !old.own
	old.Begun = old.Begun || s.Begun
	old.own, old.sends = old.own || s.own, max(old.sends, s.sends)
	// The earlier times are nearer to the truth: each transfer adds its delay.
	if s.Since.Before(old.Since) {
		old.Since, changed = s.Since, true
	}
	if s.Ended.Before(old.Ended) {
		old.Ended, changed = s.Ended, true
	}
	return changed
}

// addAnswer keeps the later one of an answer and the one known.
func (r *Register) addAnswer(key uint64, a *answer) {
	if old := r.answers[key]; old != nil && !a.at.After(old.at) {
		return
	}
	r.changed = true
	if len(r.answers) >= maxAnswers && r.answers[key] == nil {
		oldest, at := key, a.at
		for k, o := range r.answers {
			if o.at.Before(at) {
				oldest, at = k, o.at
			}
		}
		delete(r.answers, oldest)
		if oldest == key {
			return
		}
	}
	r.answers[key] = a
}

// addVerdict keeps the verdict with the higher level; at one level, that of a
// freed key.
func (r *Register) addVerdict(v *verdict, reason string) {
	old := r.verdicts[v.Key]
	switch {
	case old == nil:
	case v.Level < old.Level, v.Level == old.Level && old.Freed && !v.Freed:
		old.addAsked(v.Asked)
		return
	case v.Level == old.Level && v.Freed == old.Freed:
		// The earlier times are nearer to the truth: each transfer adds its delay.
		if v.Until.Before(old.Until) {
			old.Until, r.changed = v.Until, true
		}
		if v.Last.Before(old.Last) {
			old.Last, r.changed = v.Last, true
		}
		old.addAsked(v.Asked)
		return
	default:
		v.addAsked(old.Asked)
	}
	r.changed = true
	if old == nil && len(r.verdicts) >= maxVerdicts && !r.evictFor(v) {
		return
	}
	r.verdicts[v.Key] = v
	switch {
	case v.Freed && (old == nil || old.Freed):
	case v.Freed:
		r.note(v, Freed)
	case old == nil || old.Freed || reason != Adopted:
		r.note(v, reason)
	}
}

func (r *Register) note(v *verdict, reason string) {
	r.changes = append(r.changes, Change{Verdict: v.Verdict, Reason: reason})
}

// isVoid reports whether a suspect no longer speaks against a key, because a request
// with it has been answered since.
func (r *Register) isVoid(s *suspect, key uint64) bool {
	if v := r.verdicts[key]; v != nil && v.Freed && !v.Last.Before(s.Ended) {
		return true
	}
	a := r.answers[key]
	return a != nil && !a.at.Before(s.Ended)
}

// isCharged reports whether a suspect speaks against a part: no answer has begun
// on it since.
func (r *Register) isCharged(s *suspect, part uint64) bool {
	return slices.Contains(s.charged(), part) && !r.isVoid(s, part)
}

// judge frees the keys with which a request has been answered since they were
// condemned, leaves out the crashes that condemned keys explain, and condemns keys as
// long as there are grounds: requests first, as they explain the crashes of their parts.
func (r *Register) judge(now time.Time) {
	for k, v := range r.verdicts {
		if a := r.answers[k]; !v.Freed && a != nil && a.at.After(v.Last) {
			v.Freed, v.Last, v.Trials, v.Certain, v.unsent = true, a.at, 0, false, true
			r.note(v, Freed)
		}
	}
	list := r.counted(now)
	r.markExplained()
	r.judgeRequests(list)
	for {
		r.markExplained()
		part, last, ok := r.guiltiest(list)
		if !ok || !r.condemn(Verdict{Key: part, Last: last}) {
			break
		}
	}
	r.settleDoubts(list, now)
}

// condemn records a new verdict, and reports false if there is no room for it. Its hold
// begins with the latest crash, so that all instances have the same.
func (r *Register) condemn(v Verdict) bool {
	v.Level, v.Asked = 1, v.Last
	if old := r.verdicts[v.Key]; old != nil {
		v.Level, v.Trials = old.Level+1, old.Trials
	}
	v.Until = v.Last.Add(v.hold())
	r.addVerdict(&verdict{Verdict: v, unsent: true}, Condemned)
	return r.isCondemned(v.Key)
}

// counted returns the suspects that count now, in the order of time. Those whose
// requests had not begun count only after beginDelay.
func (r *Register) counted(now time.Time) []*suspect {
	r.due = time.Time{}
	list := make([]*suspect, 0, len(r.suspects))
	for _, s := range r.suspects {
		if at := s.Ended.Add(beginDelay); !s.Begun && now.Before(at) {
			r.judgeAt(at)
			continue
		}
		list = append(list, s)
	}
	slices.SortFunc(list, compare)
	return list
}

// judgeAt schedules a judgement.
func (r *Register) judgeAt(at time.Time) {
	if r.due.IsZero() || at.Before(r.due) {
		r.due = at
	}
}

// markExplained marks the suspects of crashes at which a request with a condemned
// key was at the endpoint.
func (r *Register) markExplained() {
	explained, certain := map[uint64]bool{}, map[uint64]bool{}
	for _, s := range r.suspects {
		hasPart := slices.ContainsFunc(s.charged(), r.isCondemned)
		if hasPart || r.isCondemned(s.Request) {
			explained[s.Crash] = true
			certain[s.Crash] = certain[s.Crash] || hasPart || r.verdicts[s.Request].Certain
		}
	}
	for _, s := range r.suspects {
		s.explained, s.certain = explained[s.Crash], certain[s.Crash]
	}
}

// isCondemned reports whether a key is condemned and not free again.
func (r *Register) isCondemned(key uint64) bool {
	v := r.verdicts[key]
	return v != nil && !v.Freed
}

// guiltiest returns the part to condemn, if there is one, and the time of the crash
// that completes the grounds. Among several, it is the one that comes last in its prompt,
// since those before it are shared with more requests. The list is in the order of time.
func (r *Register) guiltiest(list []*suspect) (part uint64, last time.Time, ok bool) {
	type place struct{ position, suspects int }
	places := map[uint64]place{}
	for _, s := range list {
		for i, p := range s.charged() {
			at := places[p]
			places[p] = place{position: max(at.position, i), suspects: at.suspects + 1}
		}
	}
	best := -1
	for p, at := range places {
		if at.suspects < Crashes || r.isCondemned(p) || at.position < best || at.position == best && p > part {
			continue
		}
		if at, found := r.grounds(p, list); found {
			part, best, last = p, places[p].position, at
		}
	}
	return part, last, best >= 0
}

// grounds returns the time of the crash at which independent crashes suffice to
// condemn a part. The list is in the order of time. A crash that a condemned key
// explains counts only if that key is the part that follows: it may have been condemned
// in place of the one before it, and several such verdicts show that.
func (r *Register) grounds(part uint64, list []*suspect) (last time.Time, ok bool) {
	followers := map[uint64]bool{}
	for _, s := range list {
		i := slices.Index(s.charged(), part)
		if i < 0 || !r.isCharged(s, part) {
			continue
		}
		next := r.follower(s, i)
		if followers[next] || s.explained && !r.isCondemned(next) {
			continue
		}
		if s.Since.Before(last) || s.Ended.Before(last.Add(crashSpread)) {
			continue
		}
		followers[next], last = true, s.Ended
		if len(followers) == Crashes {
			return last, true
		}
	}
	return last, false
}

// follower returns what comes after the i-th part in the prompt of a suspect. It
// leaves out parts on which answers have begun since the crash: they are sound, so
// that prompts which go on with them may differ further on.
func (r *Register) follower(s *suspect, i int) uint64 {
	next := i + 1
	for next < len(s.Parts)-1 && !r.isCharged(s, s.Parts[next]) {
		next++
	}
	return s.Parts[next]
}
