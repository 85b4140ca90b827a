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
	// Ledger remembers what became of the keys of one process. The zero value
	// is ready. Exported fields are set before use.
	Ledger struct {
		Now func() time.Time // time.Now if nil
		// Budget bounds the bytes of results kept, 8 MB if zero. Without its
		// result a key is still remembered.
		Budget int64
		// Records bounds the number of keys, 250,000 if zero. When it is reached,
		// new keys are refused as not run.
		Records int
		// Violation is told of a broken invariant, after it was counted and logged.
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

	// Attempt is the right of one call to run a key. It must be ended with Finish.
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

// Begin gives an Attempt if this call is to run the key. Otherwise it waits for
// the call that does, until ctx ends, and gives what became of it. If that call
// did not run the key, this one is next: its refusal may rest on what was known
// before this call began.
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

// lookup finds or makes the record of a key, with s locked. If it gives none,
// the reply says why; full is the outcome when there is no room for the key.
func (l *Ledger) lookup(s *ledgerShard, h Hash, key Key, fingerprint Hash, full refusal.Outcome) (*record, Reply) {
	// The clock is read under the lock: a record that a sweep removed has then
	// expired by this reading too, and is not mistaken for one never seen.
	now := l.now()
	if e := key.check(now); e != nil {
		return nil, refuse(e)
	}
	r := l.find(s, h, now)
	switch {
	case r == nil && l.full(s):
		return nil, refuse(refusal.New(refusal.Overload, full, "too many keys are remembered"))
	case r == nil:
		r = &record{state: Idle, expiry: key.expiry(now)}
		s.records[h] = r
	case r.fingerprint != (Hash{}) && r.fingerprint != fingerprint:
		return nil, Reply{State: Reused}
	}
	return r, Reply{}
}

// await unlocks s while it waits for the end of the record's attempt, and tells
// whether that came before the end of ctx.
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

// find gives the record of a key, and now and then removes the expired ones.
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

// Start marks the key as dispatched. It is called immediately before.
func (a *Attempt) Start() {
	a.shard.mu.Lock()
	defer a.shard.mu.Unlock()
	if a.record.state != Pending || a.record.runs > 0 {
		violate(a.ledger.Violation, "key dispatched in state "+string(a.record.state))
	}
	a.record.state = Running
}

// Finish ends the attempt. A refusal with outcome NotRun lets the key be tried
// again; one with another outcome makes it unknown for good.
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

// Held tells until when the durable claim of the key is held.
func (a *Attempt) Held() time.Time {
	a.shard.mu.Lock()
	defer a.shard.mu.Unlock()
	return a.record.claimed
}

// Hold notes that the durable claim of the key is held.
func (a *Attempt) Hold(nonce uint64, until time.Time) {
	a.shard.mu.Lock()
	defer a.shard.mu.Unlock()
	a.record.claimed, a.record.nonce = until, nonce
}

// Keep keeps the record until a time at least. It is called before a claim with
// this expiry is asked for: while the claim may exist, its holder is asked.
func (a *Attempt) Keep(until time.Time) {
	a.shard.mu.Lock()
	defer a.shard.mu.Unlock()
	a.record.expiry = later(a.record.expiry, until)
}

// surrender gives the durable claim of a key that has not run, and forgets that
// it is held. A later attempt has to take another one.
func (l *Ledger) surrender(h Hash) (Claim, bool) {
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

// store keeps a copy of the result unless memory forbids it.
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

func refuse(e *refusal.Error) Reply {
	if e.Reason == refusal.KeyExpired {
		return Reply{State: Expired, Refusal: e}
	}
	if e.Outcome == refusal.NotRun {
		return Reply{State: Idle, Refusal: e}
	}
	return Reply{State: Unknown, Refusal: e}
}
