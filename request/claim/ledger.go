package claim

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

const (
	ledgerShards   = 32
	maxResult      = 64 << 10 // largest result kept for duplicates
	defaultBudget  = 8 << 20  // bytes of results kept per process
	defaultRecords = 250_000  // keys remembered; 53 MB of records when full, at 211 bytes each
	sweepInterval  = 10 * time.Second
)

type (
	// Ledger records the states and results of the keys of one process. The zero
	// value is ready to use. Exported fields are set before use.
	Ledger struct {
		Now func() time.Time // time.Now if nil
		// Budget bounds the bytes of results kept, 8 MiB if zero. A key whose
		// result is not kept is still remembered.
		Budget int64
		// Records bounds the number of keys, 250,000 if zero. When it is reached,
		// new keys are refused as not run.
		Records int
		// Violation is called for a broken invariant, after it was counted and
		// logged.
		Violation func(string)

		shards [ledgerShards]ledgerShard
	}

	ledgerShard struct {
		mu      sync.Mutex
		records map[Hash]*record
		bytes   int64
		swept   time.Time
	}

	record struct {
		state       State
		fingerprint Hash
		expiry      time.Time
		claimed     time.Time // until when the durable claim is held; zero if not held
		nonce       uint64    // of the durable claim
		runs        int       // dispatches whose outcome was not NotRun
		result      *Result
		refusal     *refusal.Error // of the last attempt
		finished    chan struct{}  // closed when the attempt ends; nil if there is none
	}

	// Attempt is the exclusive right of one call to run a key. It must be ended
	// with Finish.
	Attempt struct {
		ledger *Ledger
		shard  *ledgerShard
		record *record
	}
)

var counters = expvar.NewMap("claim")

func violate(report func(string), text string) {
	counters.Add("violations", 1)
	logrus.WithField("violation", text).Error("claim invariant broken")
	if report != nil {
		report(text)
	}
}

func (l *Ledger) now() time.Time {
	if l.Now == nil {
		return time.Now().Round(0)
	}
	return l.Now().Round(0)
}

func (l *Ledger) shard(h Hash) *ledgerShard { return &l.shards[int(h[15])%ledgerShards] }

func hashFingerprint(s string) Hash { return HashKey("", s) }

// Begin returns an Attempt if this call is to run the key. Otherwise it waits
// for the call that runs it, until ctx ends, and returns the state of the key.
// If that call did not run the key, this call gets the next attempt, since the
// reason of the other call's refusal may no longer apply.
func (l *Ledger) Begin(ctx context.Context, account string, key Key, fingerprint string) (*Attempt, Reply) {
	h, f := HashKey(account, key.Raw), hashFingerprint(fingerprint)
	s := l.shard(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		now := l.now()
		r, reply := l.lookup(s, h, key, f, refusal.NotRun)
		if r == nil {
			return nil, reply
		}
		if r.fingerprint == (Hash{}) {
			r.fingerprint = f
		}
		if r.state == Idle {
			r.state, r.finished = Pending, make(chan struct{})
			r.expiry = later(r.expiry, key.expiry(now))
			return &Attempt{ledger: l, shard: s, record: r}, Reply{}
		}
		if r.finished == nil || !s.await(ctx, r) {
			return nil, r.reply()
		}
	}
}

// Answer answers a query of another entry. A key that has not been seen, or
// that has not run, is barred.
func (l *Ledger) Answer(ctx context.Context, q Query) Reply {
	key, h := ParseKey(q.Key), HashKey(q.Account, q.Key)
	if !q.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, q.Deadline.Sub(l.now()))
		defer cancel()
	}
	s := l.shard(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		r, reply := l.lookup(s, h, key, hashFingerprint(q.Fingerprint), refusal.Unknown)
		if r == nil {
			return reply
		}
		if r.state == Idle {
			r.state = Barred
			counters.Add("barred", 1)
		}
		if r.finished == nil || !s.await(ctx, r) {
			return r.reply()
		}
	}
}

// lookup finds or creates the record of a key, with s locked. If it returns nil,
// the reply contains the reason; outcomeIfFull is the outcome of the refusal if
// there is no room for the key.
func (l *Ledger) lookup(s *ledgerShard, h Hash, key Key, fingerprint Hash, outcomeIfFull refusal.Outcome) (*record, Reply) {
	// The clock is read under the lock: if a sweep has removed the key's record,
	// the key has expired by this reading too, and is not taken for a new one.
	now := l.now()
	if e := key.check(now); e != nil {
		return nil, refuse(e)
	}
	r := l.find(s, h, now)
	switch {
	case r == nil && l.full(s):
		return nil, refuse(refusal.New(refusal.Overload, outcomeIfFull, "too many keys are remembered"))
	case r == nil:
		r = &record{state: Idle, expiry: key.expiry(now)}
		s.records[h] = r
	case r.fingerprint != (Hash{}) && r.fingerprint != fingerprint:
		return nil, Reply{State: Reused}
	}
	return r, Reply{}
}

// await unlocks s while it waits for the end of the record's attempt, and
// reports whether the attempt ended before ctx.
func (s *ledgerShard) await(ctx context.Context, r *record) bool {
	finished := r.finished
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-ctx.Done():
		return false
	case <-finished:
		return true
	}
}

func (r *record) reply() Reply {
	return Reply{State: r.state, Result: r.result, Refusal: r.refusal}
}

func (l *Ledger) full(s *ledgerShard) bool {
	limit := l.Records
	if limit <= 0 {
		limit = defaultRecords
	}
	return len(s.records) >= max(limit/ledgerShards, 1)
}

// find returns the record of a key or nil. Once per sweepInterval it removes the
// records that expired more than retention ago.
func (l *Ledger) find(s *ledgerShard, h Hash, now time.Time) *record {
	if s.records == nil {
		s.records = map[Hash]*record{}
	}
	if now.Sub(s.swept) > sweepInterval {
		s.swept = now
		for h, r := range s.records {
			if r.finished == nil && now.After(r.expiry.Add(retention)) {
				s.bytes -= r.result.size()
				delete(s.records, h)
			}
		}
	}
	return s.records[h]
}

// Start marks the key as dispatched. It is called immediately before the
// dispatch.
func (a *Attempt) Start() {
	a.shard.mu.Lock()
	defer a.shard.mu.Unlock()
	if a.record.state != Pending || a.record.runs > 0 {
		violate(a.ledger.Violation, "key dispatched in state "+string(a.record.state))
	}
	a.record.state = Running
}

// Finish ends the attempt. After a refusal with outcome NotRun the key can be
// tried again; a refusal with any other outcome leaves a dispatched key in state
// Unknown until it expires.
func (a *Attempt) Finish(result Result, failure *refusal.Error) {
	s, r := a.shard, a.record
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.finished == nil {
		violate(a.ledger.Violation, "attempt ended twice")
		return
	}
	ran := failure == nil || failure.Outcome != refusal.NotRun
	if ran && r.state == Running {
		r.runs++
	}
	r.refusal = failure
	switch {
	case failure == nil:
		r.state = Done
		a.ledger.store(s, r, result)
	case ran && r.state == Running:
		r.state = Unknown
	default:
		r.state = Idle
	}
	close(r.finished)
	r.finished = nil
}

// ClaimExpiry returns the time until which this entry holds the key's durable
// claim; zero if it does not hold the claim.
func (a *Attempt) ClaimExpiry() time.Time {
	a.shard.mu.Lock()
	defer a.shard.mu.Unlock()
	return a.record.claimed
}

// SetClaim records that this entry holds the key's durable claim until a time.
func (a *Attempt) SetClaim(nonce uint64, until time.Time) {
	a.shard.mu.Lock()
	defer a.shard.mu.Unlock()
	a.record.claimed, a.record.nonce = until, nonce
}

// ExtendExpiry keeps the record at least until a time. It is called before a
// claim with this expiry is requested: while the claim may exist, other entries
// query its holder, which must still have the record.
func (a *Attempt) ExtendExpiry(until time.Time) {
	a.shard.mu.Lock()
	defer a.shard.mu.Unlock()
	a.record.expiry = later(a.record.expiry, until)
}

// removeClaim removes the durable claim from the record of a key that has not
// run, and returns the claim. A later attempt has to take a new one.
func (l *Ledger) removeClaim(h Hash) (Claim, bool) {
	s := l.shard(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[h]
	if r == nil || r.claimed.IsZero() || (r.state != Idle && r.state != Barred) {
		return Claim{}, false
	}
	c := Claim{Nonce: r.nonce, Hash: h, Expiry: r.claimed}
	r.claimed = time.Time{}
	return c, true
}

// store keeps the result unless it exceeds maxResult or the budget.
func (l *Ledger) store(s *ledgerShard, r *record, result Result) {
	budget := l.Budget
	if budget <= 0 {
		budget = defaultBudget
	}
	size := result.size()
	if size > maxResult || s.bytes+size > budget/ledgerShards {
		counters.Add("dropped", 1)
		return
	}
	s.bytes += size
	r.result = &result
}

func (r *Result) size() int64 {
	if r == nil {
		return 0
	}
	n := int64(len(r.Body))
	for name, values := range r.Header {
		n += int64(len(name))
		for _, v := range values {
			n += int64(len(v))
		}
	}
	return n
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// refuse returns the reply for a key that was refused with e.
func refuse(e *refusal.Error) Reply {
	if e.Reason == refusal.KeyExpired {
		return Reply{State: Expired, Refusal: e}
	}
	if e.Outcome == refusal.NotRun {
		return Reply{State: Idle, Refusal: e}
	}
	return Reply{State: Unknown, Refusal: e}
}
