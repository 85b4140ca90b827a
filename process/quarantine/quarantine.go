// Package quarantine finds parts of prompts that crash engines, and tells which
// requests must be kept away from the engines because of them.
//
// An instance reports each request that was at an engine when it crashed and
// had passed no event there: a Suspect. A part of a prompt is condemned once
// several crashes speak against it. They must be independent: some time lies
// between them and the spans before them do not overlap, so that engines that end
// together count once, and the part is followed by something else in each prompt,
// so that prompts that go on in the same way speak against what follows. The last
// part of a prompt is never charged. An answer that begins on a part voids all
// earlier suspicion of it, and a crash that a condemned part explains speaks
// against no other part.
//
// A request with a condemned part is refused, except for a trial: one request in
// the whole system after a hold that doubles with each trial. If its answer
// begins, the part is free again at all instances.
//
// Instances exchange what they saw and what they concluded. Merging is a union of
// suspects and a maximum of answers and verdicts, so datagrams may be lost,
// repeated or reordered. Ages travel instead of times. All lists are bounded, and
// parts that are not under suspicion have no state.
package quarantine

import (
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Crashes is the number of independent crashes that condemn a part.
	Crashes = 3
	// FirstHold is the time from the first condemnation of a part to its trial.
	FirstHold = 15 * time.Second
	// MaxHold limits the doubling of FirstHold.
	MaxHold = 16 * time.Minute
	// Memory is the time for which suspects and answers are kept.
	Memory = 2 * time.Minute
	// TrialStep is the time by which instances, in order of their rank, may take
	// a trial after each other.
	TrialStep = 2 * time.Second

	verdictMemory = 10 * time.Minute        // time for which a verdict is kept after its hold
	beginDelay    = 1500 * time.Millisecond // time in which a request that the engine had begun to answer becomes known to all instances
	crashSpread   = 250 * time.Millisecond  // time within which engines that end for one cause end
	maxParts      = 16                      // parts of one prompt that are charged with a crash: the last ones
	maxLookup     = 256                     // parts of one prompt that are looked up: the last ones
	maxSuspects   = 256
	maxOwn        = 32 // suspects of this instance
	maxAnswers    = 256
	maxVerdicts   = 64
	answerSends   = 3 // further rounds in which an own answer is sent
)

// Reasons of a Change.
const (
	Condemned = "condemned" // by this instance
	Adopted   = "adopted"   // condemned by another instance
	Trial     = "trial"     // this instance admits one request
	Freed     = "freed"     // an answer began on the part
)

type (
	// Suspect is a request that was at an engine when it crashed and had passed no
	// event there.
	Suspect struct {
		Crash   uint64 // identifies the engine and its start
		Request uint64
		Since   time.Time // when the engine began to answer, or if it had not, when the request was sent
		Ended   time.Time // when the engine ended the connection
		Begun   bool      // the engine had begun to answer: others count only if it had begun none
		Parts   []uint64  // of the prompt, in order, with the last
	}

	// Verdict is the state of a part that was condemned at least once.
	Verdict struct {
		Part  uint64
		Level int       // number of condemnations and trials
		Freed bool      // an answer began on the part
		Last  time.Time // of the latest crash that led to the condemnation; of that answer, if Freed is set
		Until time.Time // of the hold
	}

	// Change is a change of a verdict.
	Change struct {
		Verdict
		Reason string
	}

	// Register holds the evidence and the verdicts that an instance knows. The
	// zero value is ready for use. Its fields are set before use; the methods are
	// safe for concurrent use.
	Register struct {
		// Changed is called after a verdict has changed, without locks held. It may
		// be nil.
		Changed func(Change)
		// Unsent is called when there is something new to send, without locks
		// held. It may be nil.
		Unsent func()

		mu       sync.Mutex
		suspects map[suspectKey]*suspect
		answers  map[uint64]*answer
		verdicts map[uint64]*verdict
		changes  []Change
		unsent   bool
		view     atomic.Pointer[view]
	}

	suspectKey struct{ crash, request uint64 }

	suspect struct {
		Suspect
		own       bool
		unsent    bool
		explained bool // a condemned part was at the engine
	}

	// answer is the latest answer that began on a part.
	answer struct {
		at     time.Time
		sends  int // rounds in which it is still sent
		unsent bool
	}

	verdict struct {
		Verdict
		unsent bool
	}

	// view is what requests look up without a lock.
	view struct {
		condemned map[uint64]time.Time // end of the hold
		watched   map[uint64]struct{}  // parts for which an answer matters
	}
)

// Hash identifies the parts of a prompt for the engines of one service.
func Hash(service string, parts []string) []uint64 {
	if len(parts) > maxLookup {
		parts = parts[len(parts)-maxLookup:]
	}
	list := make([]uint64, 0, len(parts))
	for _, p := range parts {
		list = append(list, ID(service, p))
	}
	return list
}

// ID identifies a value among those of one scope.
func ID(scope, value string) uint64 {
	d := xxhash.New()
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(scope)))
	_, _ = d.Write(size[:])
	_, _ = d.WriteString(scope)
	_, _ = d.WriteString(value)
	return d.Sum64()
}

// Report records a suspect that this instance saw.
func (r *Register) Report(s Suspect, now time.Time) {
	if len(s.Parts) < 2 {
		return // the last part is never charged
	}
	s.Parts = s.Parts[max(len(s.Parts)-maxParts, 0):]
	defer r.update(now)()
	r.evictOwn()
	r.addSuspect(&suspect{Suspect: s, own: true, unsent: true})
}

// evictOwn makes room for a suspect of this instance.
func (r *Register) evictOwn() {
	var (
		oldest *suspect
		n      int
	)
	for _, s := range r.suspects {
		if s.own {
			n++
			if oldest == nil || before(s, oldest) {
				oldest = s
			}
		}
	}
	if n >= maxOwn {
		delete(r.suspects, oldest.key())
	}
}

// Begun records that an answer began on a prompt: its first event was passed on.
func (r *Register) Begun(parts []uint64, now time.Time) {
	v := r.view.Load()
	if v == nil || !v.watches(parts) {
		return
	}
	r.mu.Lock()
	relevant := slices.ContainsFunc(parts, r.matters)
	r.mu.Unlock()
	if !relevant {
		return // suspicion of these parts is void already
	}
	defer r.update(now)()
	for _, p := range parts {
		if r.matters(p) {
			r.addAnswer(p, &answer{at: now, sends: answerSends, unsent: true})
		}
	}
}

// matters reports whether an answer on a part that begins now changes anything.
func (r *Register) matters(part uint64) bool {
	if v := r.verdicts[part]; v != nil && !v.Freed {
		return true
	}
	for _, s := range r.suspects {
		if r.isCharged(s, part) {
			return true
		}
	}
	return false
}

// Held returns the time until which a request with these parts is refused, and
// whether it is. After that time it is still refused, unless Try admits it.
func (r *Register) Held(parts []uint64) (until time.Time, held bool) {
	v := r.view.Load()
	if v == nil || len(v.condemned) == 0 {
		return until, false
	}
	for _, p := range parts {
		if at, ok := v.condemned[p]; ok {
			held = true
			if at.After(until) {
				until = at
			}
		}
	}
	return until, held
}

// Try admits a request with condemned parts as a trial if the hold of all of them
// has ended. The function rank returns the position of this instance in the order
// in which instances may try a part; it must be the same order at all instances.
func (r *Register) Try(parts []uint64, rank func(part uint64) int, now time.Time) bool {
	if until, held := r.Held(parts); !held || now.Before(until) {
		return false
	}
	defer r.update(now)()
	var due []*verdict
	for _, p := range parts {
		v := r.verdicts[p]
		if v == nil || v.Freed {
			continue
		}
		if now.Before(v.Until.Add(time.Duration(rank(p)) * TrialStep)) {
			return false
		}
		due = append(due, v)
	}
	for _, v := range due {
		v.Level++
		v.Until, v.unsent = now.Add(hold(v.Level)), true
		r.note(v, Trial)
	}
	return true
}

// Return gives back a trial whose request has reached no engine, so that another
// request may take it at once.
func (r *Register) Return(parts []uint64, now time.Time) {
	defer r.update(now)()
	for _, p := range parts {
		if v := r.verdicts[p]; v != nil && !v.Freed && now.Before(v.Until) {
			v.Until, v.unsent = now, true
		}
	}
}

// Expire forgets what is too old and judges what has become clear.
func (r *Register) Expire(now time.Time) {
	if v := r.view.Load(); v == nil {
		return
	}
	defer r.update(now)()
	for key, s := range r.suspects {
		if now.Sub(s.Ended) > Memory {
			delete(r.suspects, key)
		}
	}
	for p, a := range r.answers {
		if now.Sub(a.at) > Memory {
			delete(r.answers, p)
		}
	}
	for p, v := range r.verdicts {
		if now.Sub(v.Until) > verdictMemory {
			delete(r.verdicts, p)
		}
	}
}

// Size returns the number of suspects, answers and verdicts.
func (r *Register) Size() (suspects, answers, verdicts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.suspects), len(r.answers), len(r.verdicts)
}

// update locks the register. The function that it returns judges, refreshes the
// view, unlocks and runs the callbacks.
func (r *Register) update(now time.Time) func() {
	r.mu.Lock()
	if r.suspects == nil {
		r.suspects, r.answers, r.verdicts = map[suspectKey]*suspect{}, map[uint64]*answer{}, map[uint64]*verdict{}
	}
	return func() {
		r.judge(now)
		r.refreshView()
		changes := r.changes
		r.changes = nil
		unsent := r.unsent
		r.unsent = false
		r.mu.Unlock()
		if r.Changed != nil {
			for _, c := range changes {
				r.Changed(c)
			}
		}
		if unsent && r.Unsent != nil {
			r.Unsent()
		}
	}
}

// refreshView rebuilds the view. It is nil if there is nothing to look up.
func (r *Register) refreshView() {
	if len(r.suspects)+len(r.answers)+len(r.verdicts) == 0 {
		r.view.Store(nil)
		return
	}
	v := &view{condemned: map[uint64]time.Time{}, watched: map[uint64]struct{}{}}
	for p, d := range r.verdicts {
		r.unsent = r.unsent || d.unsent
		if !d.Freed {
			v.condemned[p] = d.Until
			v.watched[p] = struct{}{}
		}
	}
	for _, s := range r.suspects {
		r.unsent = r.unsent || s.unsent
		for _, p := range s.charged() {
			v.watched[p] = struct{}{}
		}
	}
	for _, a := range r.answers {
		r.unsent = r.unsent || a.unsent
	}
	r.view.Store(v)
}

func (v *view) watches(parts []uint64) bool {
	for _, p := range parts {
		if _, ok := v.watched[p]; ok {
			return true
		}
	}
	return false
}

// hold returns the time for which a part is held at a level.
func hold(level int) time.Duration {
	d := FirstHold
	for range level - 1 {
		if d *= 2; d >= MaxHold {
			return MaxHold
		}
	}
	return d
}
