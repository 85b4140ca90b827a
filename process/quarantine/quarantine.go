// Package quarantine finds requests, and parts of prompts, that crash endpoints, and
// tells which requests must be kept away from the endpoints because of them.
//
// An instance reports each request that was at an endpoint when it crashed and
// had not been answered there: a Suspect. Two kinds of keys can be condemned once
// several crashes speak against them:
//
//   - The identity of a whole request, which is the same each time it is sent. Two
//     independent crashes condemn it, or three if endpoints also crash without it.
//   - A part of a prompt, which many requests share. Three crashes condemn it if, in
//     addition, the spans before them do not overlap and the part is followed by
//     something else in each prompt, so that prompts that go on in the same way speak
//     against what follows. The last part of a prompt is never charged. A crash that
//     something condemned explains speaks against no other part.
//
// An answer to a request voids all earlier suspicion of the request and of its parts.
//
// A request with a condemned key is refused, except for a trial: one request in the
// whole system after a hold that doubles with each trial. If it is answered, the key is
// free again at all instances. The number of trials is bounded, because each of them may
// cost an endpoint; after the last one, a verdict ends only when the request has not come
// for some time.
//
// Instances exchange what they saw and what they concluded. Merging is a union of
// suspects and a maximum of answers and verdicts, so datagrams may be lost,
// repeated or reordered. Ages travel instead of times. All lists are bounded, and
// keys that are not under suspicion have no state.
package quarantine

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Crashes is the number of independent crashes that condemn a part.
	Crashes = 3
	// RequestCrashes is the number of independent crashes that condemn a request. It is
	// lower than Crashes because few sound requests are at two crashes without an answer.
	RequestCrashes = 2
	// FirstHold is the time from the first condemnation of a part to its trial.
	FirstHold = 15 * time.Second
	// DoubtHold is the time to each trial of a request while something else may have caused
	// the crashes.
	DoubtHold = 4 * time.Second
	// TieHold replaces it while another request may have caused each of the crashes.
	TieHold = time.Second
	// FirstRequestHold is the time to the first trial of a request that nothing casts doubt
	// on; it doubles with each further one.
	FirstRequestHold = 30 * time.Second
	// MaxHold limits the doubling of FirstHold and FirstRequestHold.
	MaxHold = 16 * time.Minute
	// MaxTrials is the number of trials of a part. With the crashes before the verdict, they
	// stay within three retries after the fifth crash.
	MaxTrials = 4
	// MaxRequestTrials is the number of trials of a request, which stay within three retries
	// after the third crash.
	MaxRequestTrials = 3
	// MaxLookup is the number of parts of one prompt that are looked up: the last ones.
	MaxLookup = 256
	// Memory is the time for which suspects and answers are kept.
	Memory = 2 * time.Minute
	// TrialStep is the time by which instances, in order of their rank, may take
	// a trial of a part after each other.
	TrialStep = 2 * time.Second
	// WithdrawDelay is the time from the condemnation of a request to the end of its attempts
	// that are not being answered. In it, it becomes known who else was at the crashes: the
	// attempts go on if one of several requests has caused them.
	WithdrawDelay = 50 * time.Millisecond
	// RequestTrialStep is TrialStep for a request.
	RequestTrialStep = 300 * time.Millisecond

	verdictMemory = 10 * time.Minute        // time for which a verdict on a part is kept after its hold and after the latest request with it
	requestMemory = time.Hour               // verdictMemory of a request
	beginDelay    = 1500 * time.Millisecond // time in which a request that the engine had begun to answer becomes known to all instances
	confirmTime   = 3 * time.Second         // after the latest crash of a request, in which other causes show
	crashSpread   = 250 * time.Millisecond  // time within which engines that end for one cause end
	sameCrash     = time.Second             // within which connections end that one crash has ended
	maxParts      = 16                      // parts of one prompt that are charged with a crash: the last ones
	maxSuspects   = 512
	maxOwn        = 128 // suspects of this instance
	maxAnswers    = 256
	maxVerdicts   = 256
	answerSends   = 3 // further rounds in which an own answer is sent
	suspectSends  = 5 // further rounds in which an own suspect is sent
)

// Reasons of a Change.
const (
	Condemned = "condemned" // by this instance
	Adopted   = "adopted"   // condemned by another instance
	Confirmed = "confirmed" // nothing else seems to have caused the crashes
	Trial     = "trial"     // this instance admits one request
	Freed     = "freed"     // the request, or one with the part, was answered, or others explain the crashes
)

type (
	// Suspect is a request that was at an endpoint when it crashed and had not been
	// answered there: a generation had passed no event.
	Suspect struct {
		Crash   uint64    // identifies the endpoint and its start
		Request uint64    // identity of the request
		Since   time.Time // when the engine began to answer, or if it had not, when the request was sent
		Ended   time.Time // when the endpoint ended the connection
		// Begun is set if the endpoint may have begun to run the request: an engine has
		// begun to answer it, or the endpoint is none and does not tell. Of the requests
		// at one crash, others count only if none has begun.
		Begun bool
		Parts []uint64 // of the prompt, in order, with the last; nil if the request has none
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
		changed  bool      // since the latest judgement
		due      time.Time // when time changes the next judgement, or zero
		round    int       // of the verdicts that are repeated
		view     atomic.Pointer[view]
	}

	suspectKey struct{ crash, request uint64 }

	suspect struct {
		Suspect
		own       bool
		unsent    bool
		sends     int  // rounds in which it is still sent
		explained bool // a condemned key was at the endpoint
		certain   bool // one whose verdict is not in doubt
	}

	// answer is the latest answer to a request with a key.
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
		watched   map[uint64]struct{}  // keys for which an answer matters
	}
)

// Hash identifies the parts of a prompt for the engines of one service.
func Hash(service string, parts []string) []uint64 {
	if len(parts) > MaxLookup {
		parts = parts[len(parts)-MaxLookup:]
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
	s.Parts = s.Parts[max(len(s.Parts)-maxParts, 0):]
	defer r.update(now)()
	r.evictOwn()
	r.addSuspect(&suspect{Suspect: s, own: true, unsent: true, sends: suspectSends})
}

// HasCrash reports whether a suspect of a crash is known whose connection ended at about
// the same time.
func (r *Register) HasCrash(crash uint64, at time.Time) bool {
	if r.view.Load() == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, s := range r.suspects {
		if key.crash == crash && at.Sub(s.Ended).Abs() < sameCrash {
			return true
		}
	}
	return false
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

// Begun records that a request with these keys, its identity and the parts of its
// prompt, was answered: its first event was passed on, or its plain answer was received.
func (r *Register) Begun(keys []uint64, now time.Time) {
	v := r.view.Load()
	if v == nil || !v.watches(keys) {
		return
	}
	r.mu.Lock()
	relevant := slices.ContainsFunc(keys, r.matters)
	r.mu.Unlock()
	if !relevant {
		return // suspicion of these keys is void already
	}
	defer r.update(now)()
	for _, k := range keys {
		if r.matters(k) {
			r.addAnswer(k, &answer{at: now, sends: answerSends, unsent: true})
		}
	}
}

// matters reports whether an answer to a request with a key now changes anything.
func (r *Register) matters(key uint64) bool {
	if v := r.verdicts[key]; v != nil && !v.Freed {
		return true
	}
	for _, s := range r.suspects {
		if (s.Request == key || slices.Contains(s.charged(), key)) && !r.isVoid(s, key) {
			return true
		}
	}
	return false
}

// Held returns the time until which a request with these keys is refused, and
// whether it is. After that time it is still refused, unless Try admits it.
func (r *Register) Held(keys []uint64) (until time.Time, held bool) {
	v := r.view.Load()
	if v == nil || len(v.condemned) == 0 {
		return until, false
	}
	for _, k := range keys {
		if at, ok := v.condemned[k]; ok {
			held = true
			if at.After(until) {
				until = at
			}
		}
	}
	return until, held
}

// Refuse records that a request with condemned keys was refused. It returns the time
// at which the next one may be admitted: MaxHold from now if no trial is left.
func (r *Register) Refuse(keys []uint64, now time.Time) (until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range keys {
		v := r.verdicts[k]
		if v == nil || v.Freed {
			continue
		}
		v.Asked = now
		at := v.Until
		if v.isExhausted() {
			at = now.Add(MaxHold)
		}
		if at.After(until) {
			until = at
		}
	}
	return until
}

// Expire forgets what is too old and judges what has become clear.
func (r *Register) Expire(now time.Time) {
	if v := r.view.Load(); v == nil {
		return
	}
	defer r.update(now)()
	before := len(r.suspects) + len(r.answers) + len(r.verdicts)
	maps.DeleteFunc(r.suspects, func(_ suspectKey, s *suspect) bool { return now.Sub(s.Ended) > Memory })
	maps.DeleteFunc(r.answers, func(_ uint64, a *answer) bool { return now.Sub(a.at) > Memory })
	maps.DeleteFunc(r.verdicts, func(_ uint64, v *verdict) bool { return v.idle(now) > v.memory() })
	r.changed = r.changed || len(r.suspects)+len(r.answers)+len(r.verdicts) < before
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
		if r.changed || !r.due.IsZero() && !now.Before(r.due) {
			r.judge(now)
			r.refreshView()
			r.changed = false
		}
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
	for k, d := range r.verdicts {
		r.unsent = r.unsent || d.unsent
		if !d.Freed {
			v.condemned[k] = d.Until
			v.watched[k] = struct{}{}
		}
	}
	for _, s := range r.suspects {
		r.unsent = r.unsent || s.unsent
		v.watched[s.Request] = struct{}{}
		for _, p := range s.charged() {
			v.watched[p] = struct{}{}
		}
	}
	for _, a := range r.answers {
		r.unsent = r.unsent || a.unsent
	}
	r.view.Store(v)
}

func (v *view) watches(keys []uint64) bool {
	for _, k := range keys {
		if _, ok := v.watched[k]; ok {
			return true
		}
	}
	return false
}
