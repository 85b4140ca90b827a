package quarantine

import (
	"cmp"
	"slices"
	"time"
)

func (s *suspect) key() suspectKey { return suspectKey{crash: s.Crash, request: s.Request} }

// charged returns the parts that a suspect may speak against: all but the last.
func (s *suspect) charged() []uint64 { return s.Parts[:len(s.Parts)-1] }

// before orders suspects by the time of the crash, the same at all instances for
// equal times.
func before(a, b *suspect) bool { return compare(a, b) < 0 }

func compare(a, b *suspect) int {
	return cmp.Or(a.Ended.Compare(b.Ended), cmp.Compare(a.Crash, b.Crash), cmp.Compare(a.Request, b.Request))
}

// addSuspect adds a suspect, or merges it with what is known of it. A crash at
// which the engine had begun to answer a request speaks against the parts of such
// requests only.
func (r *Register) addSuspect(s *suspect) {
	if old := r.suspects[s.key()]; old != nil {
		old.Begun = old.Begun || s.Begun
		old.own = old.own || s.own
		if s.Since.Before(old.Since) {
			old.Since = s.Since
		}
		if s.Ended.Before(old.Ended) {
			old.Ended = s.Ended
		}
		s = old
	}
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

// addAnswer keeps the later one of an answer and the one known.
func (r *Register) addAnswer(part uint64, a *answer) {
	if old := r.answers[part]; old != nil && !a.at.After(old.at) {
		return
	}
	if len(r.answers) >= maxAnswers && r.answers[part] == nil {
		oldest, at := part, a.at
		for p, o := range r.answers {
			if o.at.Before(at) {
				oldest, at = p, o.at
			}
		}
		delete(r.answers, oldest)
		if oldest == part {
			return
		}
	}
	r.answers[part] = a
}

// addVerdict keeps the verdict with the higher level; at one level, that of a
// freed part.
func (r *Register) addVerdict(v *verdict, reason string) {
	old := r.verdicts[v.Part]
	switch {
	case old == nil:
	case v.Level < old.Level, v.Level == old.Level && old.Freed && !v.Freed:
		return
	case v.Level == old.Level && v.Freed == old.Freed:
		// The earlier times are nearer to the truth: each transfer adds its delay.
		if v.Until.Before(old.Until) {
			old.Until = v.Until
		}
		if v.Last.Before(old.Last) {
			old.Last = v.Last
		}
		return
	}
	if old == nil && len(r.verdicts) >= maxVerdicts {
		first := v
		for _, o := range r.verdicts {
			if o.Until.Before(first.Until) {
				first = o
			}
		}
		delete(r.verdicts, first.Part)
		if first == v {
			return
		}
	}
	r.verdicts[v.Part] = v
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

// isCharged reports whether a suspect speaks against a part: no answer has begun
// on it since.
func (r *Register) isCharged(s *suspect, part uint64) bool {
	if !slices.Contains(s.charged(), part) {
		return false
	}
	if v := r.verdicts[part]; v != nil && v.Freed && !v.Last.Before(s.Ended) {
		return false
	}
	a := r.answers[part]
	return a == nil || a.at.Before(s.Ended)
}

// judge frees the parts on which an answer has begun since they were condemned,
// leaves out the crashes that condemned parts explain, and condemns parts as long
// as there are grounds.
func (r *Register) judge(now time.Time) {
	for p, v := range r.verdicts {
		if a := r.answers[p]; !v.Freed && a != nil && a.at.After(v.Last) {
			v.Freed, v.Last, v.unsent = true, a.at, true
			r.note(v, Freed)
		}
	}
	for {
		r.markExplained()
		part, last, ok := r.guiltiest(now)
		if !ok {
			return
		}
		level := 1
		if old := r.verdicts[part]; old != nil {
			level = old.Level + 1
		}
		r.addVerdict(&verdict{
			Verdict: Verdict{Part: part, Level: level, Last: last, Until: now.Add(hold(level))}, unsent: true,
		}, Condemned)
		if v := r.verdicts[part]; v == nil || v.Freed {
			return // no room for the verdict
		}
	}
}

// markExplained marks the suspects of crashes at which a request with a condemned
// part was at the engine.
func (r *Register) markExplained() {
	explained := map[uint64]bool{}
	for _, s := range r.suspects {
		for _, p := range s.charged() {
			if r.isCondemned(p) {
				explained[s.Crash] = true
			}
		}
	}
	for _, s := range r.suspects {
		s.explained = explained[s.Crash]
	}
}

// isCondemned reports whether a part is condemned and not free again.
func (r *Register) isCondemned(part uint64) bool {
	v := r.verdicts[part]
	return v != nil && !v.Freed
}

// guiltiest returns the part to condemn, if there is one, and the time of the crash
// that completes the grounds. Among several, it is the one that comes last in its prompt,
// since those before it are shared with more requests.
func (r *Register) guiltiest(now time.Time) (part uint64, last time.Time, ok bool) {
	list := make([]*suspect, 0, len(r.suspects))
	positions := map[uint64]int{}
	for _, s := range r.suspects {
		if !s.Begun && now.Sub(s.Ended) < beginDelay {
			continue
		}
		list = append(list, s)
		for i, p := range s.charged() {
			positions[p] = max(positions[p], i)
		}
	}
	slices.SortFunc(list, compare)
	best := -1
	for p, position := range positions {
		if r.isCondemned(p) || position < best || position == best && p > part {
			continue
		}
		if at, found := r.grounds(p, list); found {
			part, best, last = p, position, at
		}
	}
	return part, last, best >= 0
}

// grounds returns the time of the crash at which independent crashes suffice to
// condemn a part. The list is in the order of time. A crash that a condemned part
// explains counts only if that part follows: it may have been condemned in place of
// the one before it, and several such verdicts show that.
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
