package share

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

type (
	// Borrower admits the requests of one entry within its shares. The zero
	// value is ready and, without an owner to ask, uses the floor alone. Fields
	// are set before use; the methods may be called by any number of goroutines.
	//
	// The work that a Borrower admits exceeds the account's limits by no more
	// than the bounds in the package comment.
	Borrower struct {
		// Entry names this entry and its incarnation.
		Entry string
		// Live gives the number of live entries; nil means 1.
		Live func() int
		// Borrow asks the owner of the account, and must give up when ctx ends.
		// It runs in the background. If nil, the floor is all there is.
		Borrow func(ctx context.Context, account string, ask Ask) (Share, error)
		// Go runs a task in the background; nil means in a new goroutine.
		Go func(task func())
		// Violation reports a broken invariant; nil counts it in the expvar
		// "share_violations".
		Violation func(string)

		closed atomic.Bool
		tasks  conc.WaitGroup
		shards [shards]borrowerShard
	}

	// Grant is the admission of one request. It is given back with Release,
	// once.
	Grant struct {
		Account string
		Caller  string
		Tokens  int64
		record  *record
	}

	record struct {
		released bool
	}

	borrowerShard struct {
		mu       sync.Mutex
		accounts map[string]*used
		_        [40]byte // keeps the locks of two shards on different cache lines
	}
)

func (b *Borrower) live() int {
	if b.Live == nil {
		return 1
	}
	return max(b.Live(), 1)
}

// Acquire admits a request that is expected to use the given number of tokens,
// or fails with a *refusal.Error whose Reason tells which limit is reached
// (RateLimit, ActiveLimit or TokenLimit) and whose RetryAt tells when to try
// again; it is zero if the request can never be admitted. It does not wait.
func (b *Borrower) Acquire(account, caller string, limit Limit, tokens int64, now time.Time) (Grant, error) {
	s := &b.shards[shardOf(account)]
	s.mu.Lock()
	grant, task, err := b.acquire(s, account, caller, limit, max(tokens, 0), now)
	s.mu.Unlock()
	b.start(task)
	return grant, err
}

// acquire admits a request with the shard locked. The task, if any, is to be
// started when the shard is unlocked.
func (b *Borrower) acquire(
	s *borrowerShard, account, caller string, limit Limit, tokens int64, now time.Time,
) (_ Grant, task func(), _ error) {
	u := s.accounts[account]
	if u == nil {
		if s.accounts == nil {
			s.accounts = make(map[string]*used)
		}
		u = &used{period: now}
		s.accounts[account] = u
	}
	u.advance(limit, now)
	if limit.Tokens > 0 && tokens > limit.Tokens {
		return Grant{}, nil, refuse(refusal.TokenLimit, time.Time{}, "request exceeds the account's tokens in flight")
	}
	c := u.caller(caller, now)
	r := room{Limit: limit, valid: u.valid(now)}
	if !r.valid {
		r.live = b.live()
	}
	if reason := u.admit(c, &r, tokens, now); reason != "" {
		u.refused(c, reason, tokens, now)
		task = b.ask(s, account, u, now)
		return Grant{}, task, refuse(reason, u.retry(reason, limit, now), "account limit reached at this entry")
	}
	u.add(c, tokens)
	if !u.within(&r) {
		violate(b.Violation, fmt.Sprintf("account %s: %d active, %d tokens exceed share %+v", account, u.active, u.tokens, u.share))
	}
	if !r.valid || u.low(now) || !now.Before(u.renew) {
		task = b.ask(s, account, u, now)
	}
	return Grant{Account: account, Caller: caller, Tokens: tokens, record: &record{}}, task, nil
}

func refuse(reason refusal.Reason, at time.Time, detail string) error {
	e := refusal.New(reason, refusal.NotRun, detail)
	e.RetryAt = at
	return e
}

// Release gives a grant back when its request has ended.
func (b *Borrower) Release(g Grant, now time.Time) {
	s := &b.shards[shardOf(g.Account)]
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.accounts[g.Account]
	if g.record == nil || g.record.released || u == nil {
		violate(b.Violation, fmt.Sprintf("account %s: grant released twice or never given", g.Account))
		return
	}
	g.record.released = true
	c := u.callers[g.Caller]
	u.active--
	u.tokens -= g.Tokens
	if c == nil || u.active < 0 || u.tokens < 0 || c.active <= 0 {
		violate(b.Violation, fmt.Sprintf("account %s: negative use: %d active, %d tokens", g.Account, u.active, u.tokens))
		return
	}
	c.active--
	c.tokens -= g.Tokens
	if c.active == 0 {
		u.busy--
	}
	c.seen, u.seen = now, now
}

// Renew renews the shares that are due and drops the state of accounts without
// work. It is to be called every 250 ms or so.
func (b *Borrower) Renew(now time.Time) {
	var tasks []func()
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for account, u := range s.accounts {
			if u.idle(now) {
				delete(s.accounts, account)
				continue
			}
			u.forget(now)
			if u.active == 0 && !u.told {
				continue
			}
			u.advance(u.limit, now)
			if !now.Before(u.renew) || !u.wants() || u.lavish(now) {
				if task := b.ask(s, account, u, now); task != nil {
					tasks = append(tasks, task)
				}
			}
		}
		s.mu.Unlock()
	}
	for _, task := range tasks {
		b.start(task)
	}
}

// ask gives the task that asks the owner, or nil if the account has no limits
// or was asked for a moment ago. The shard is locked.
func (b *Borrower) ask(s *borrowerShard, account string, u *used, now time.Time) func() {
	soon := now.Before(u.hold) || now.Before(u.asked.Add(urgent))
	if b.Borrow == nil || u.limit == (Limit{}) || b.closed.Load() || soon {
		return nil
	}
	if u.cancel != nil {
		if now.Before(u.asked.Add(overdue)) {
			return nil
		}
		u.cancel()
		u.failures++
	}
	ask := u.ask(b.Entry, account, now)
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	return func() {
		share, err := b.Borrow(ctx, account, ask)
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		u.answer(ask, share, err, now)
	}
}

func (b *Borrower) start(task func()) {
	switch {
	case task == nil:
	case b.Go != nil:
		b.Go(task)
	default:
		b.tasks.Go(task)
	}
}

// Close stops asking and waits for what was asked. It is called after the last
// Acquire and Renew.
func (b *Borrower) Close() {
	b.closed.Store(true)
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for _, u := range s.accounts {
			if u.cancel != nil {
				u.cancel()
			}
		}
		s.mu.Unlock()
	}
	b.tasks.Wait()
}

// Used gives the work of the account in flight at this entry.
func (b *Borrower) Used(account string) Amount {
	s := &b.shards[shardOf(account)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.accounts[account]; u != nil {
		return Amount{Active: u.active, Tokens: u.tokens}
	}
	return Amount{}
}

// Accounts gives the number of accounts with state.
func (b *Borrower) Accounts() int {
	n := 0
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		n += len(s.accounts)
		s.mu.Unlock()
	}
	return n
}
