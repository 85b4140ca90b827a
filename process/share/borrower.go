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
	// value is ready to use and, without a Borrow function, admits requests
	// within the floor. Fields are set before use; the methods are safe for
	// concurrent use.
	//
	// The work that a Borrower admits exceeds the account's limits by no more
	// than the bounds in the package comment.
	Borrower struct {
		// Entry names this entry and its incarnation.
		Entry string
		// Live returns the number of live entries; nil means 1.
		Live func() int
		// Borrow sends a request to the owner of the account, and must return
		// when ctx ends. It runs in the background. If nil, the entry has no
		// shares.
		Borrow func(ctx context.Context, account string, ask Request) (Share, error)
		// Go runs a task in the background; nil means in a new goroutine.
		Go func(task func())
		// Violation reports a broken invariant; nil counts it in the expvar
		// "share_violations".
		Violation func(string)

		closed atomic.Bool
		tasks  conc.WaitGroup
		shards [shards]borrowerShard
	}

	// Grant is the admission of one request. It must be released exactly once.
	Grant struct {
		Account string
		Caller  string
		Tokens  int64
		record  *record
	}

	// record detects a second Release of a grant and its copies.
	record struct {
		released bool
	}

	borrowerShard struct {
		mu       sync.Mutex
		accounts map[string]*accountState
		_        [40]byte // keeps the locks of two shards on different cache lines
	}
)

func (b *Borrower) live() int {
	if b.Live == nil {
		return 1
	}
	return max(b.Live(), 1)
}

// Acquire admits a request that is expected to use the given number of tokens.
// It does not wait. If a limit is reached, it fails with a *refusal.Error whose
// Reason is RateLimit, ActiveLimit or TokenLimit and whose RetryAt is the time
// for the next attempt, zero if the request can never be admitted.
func (b *Borrower) Acquire(account, caller string, limit Limit, tokens int64, now time.Time) (Grant, error) {
	s := &b.shards[shardOf(account)]
	s.mu.Lock()
	grant, task, err := b.acquire(s, account, caller, limit, max(tokens, 0), now)
	s.mu.Unlock()
	b.start(task)
	return grant, err
}

// acquire admits a request with the shard locked. The caller must start the
// task, if any, after it has unlocked the shard.
func (b *Borrower) acquire(
	s *borrowerShard, account, caller string, limit Limit, tokens int64, now time.Time,
) (_ Grant, task func(), _ error) {
	u := s.accounts[account]
	if u == nil {
		if s.accounts == nil {
			s.accounts = make(map[string]*accountState)
		}
		u = &accountState{period: now}
		s.accounts[account] = u
	}
	u.advance(limit, now)
	if limit.Tokens > 0 && tokens > limit.Tokens {
		return Grant{}, nil, refuse(refusal.TokenLimit, time.Time{}, "request exceeds the account's tokens in flight")
	}
	c := u.caller(caller, now)
	r := allowance{Limit: limit, valid: u.valid(now)}
	if !r.valid {
		r.live = b.live()
	}
	if reason := u.admit(c, &r, tokens, now); reason != "" {
		u.countRefusal(c, reason, tokens, now)
		task = b.requestTask(s, account, u, now)
		return Grant{}, task, refuse(reason, u.retryAt(reason, limit, now), "account limit reached at this entry")
	}
	u.add(c, tokens)
	if !u.withinAllowance(&r) {
		violate(b.Violation, fmt.Sprintf("account %s: %d active, %d tokens exceed share %+v", account, u.active, u.tokens, u.share))
	}
	if !r.valid || u.lowOnStarts(now) || !now.Before(u.renew) {
		task = b.requestTask(s, account, u, now)
	}
	return Grant{Account: account, Caller: caller, Tokens: tokens, record: &record{}}, task, nil
}

func refuse(reason refusal.Reason, at time.Time, detail string) error {
	e := refusal.New(reason, refusal.NotRun, detail)
	e.RetryAt = at
	return e
}

// Release returns a grant when its request has ended.
func (b *Borrower) Release(g Grant, now time.Time) {
	s := &b.shards[shardOf(g.Account)]
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.accounts[g.Account]
	if g.record == nil || g.record.released || u == nil {
		violate(b.Violation, fmt.Sprintf("account %s: grant released twice or never acquired", g.Account))
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
		u.busyCallers--
	}
	c.seen, u.seen = now, now
}

// Renew renews the shares that are due and drops the state of accounts without
// work. It should be called about every 250 ms.
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
			u.dropCallers(now)
			if u.active == 0 && !u.counted {
				continue
			}
			u.advance(u.limit, now)
			if !now.Before(u.renew) || !u.hasDemand() || u.oversized(now) {
				if task := b.requestTask(s, account, u, now); task != nil {
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

// requestTask returns the task that requests a share from the owner. It returns
// nil if the account has no limits, or if it is too early for a request because
// of the minimum interval, a backoff or a request in flight. It cancels a
// request that is overdue. The shard must be locked.
func (b *Borrower) requestTask(s *borrowerShard, account string, u *accountState, now time.Time) func() {
	soon := now.Before(u.holdOff) || now.Before(u.lastRequest.Add(minRequestInterval))
	if b.Borrow == nil || u.limit == (Limit{}) || b.closed.Load() || soon {
		return nil
	}
	if u.cancel != nil {
		if now.Before(u.lastRequest.Add(requestTimeout)) {
			return nil
		}
		u.cancel()
		u.failures++
	}
	req := u.newRequest(b.Entry, account, now)
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	return func() {
		share, err := b.Borrow(ctx, account, req)
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		u.handleReply(req, share, err, now)
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

// Close prevents new requests to owners, cancels those in flight and waits until
// they have ended. It is called after the last Acquire and Renew.
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

// Used returns the work of the account in flight at this entry.
func (b *Borrower) Used(account string) Amount {
	s := &b.shards[shardOf(account)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.accounts[account]; u != nil {
		return Amount{Active: u.active, Tokens: u.tokens}
	}
	return Amount{}
}

// Accounts returns the number of accounts that have state here.
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
