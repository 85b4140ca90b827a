package share

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// Owner lends shares of the accounts that the entry owns. The zero value
	// is ready. Fields are set before use; the methods may be called by any
	// number of goroutines.
	Owner struct {
		// NotBefore is when lending starts: LongTerm plus Margin after the
		// process began, since an earlier owner may have lent until then.
		NotBefore time.Time
		// Violation reports a broken invariant; nil counts it in the expvar
		// "share_violations".
		Violation func(string)

		id     atomic.Uint64
		movesM sync.Mutex
		moves  []move
		shards [shards]ownerShard
	}

	// move is a change of owners. It is kept for a minute, by when the bucket of
	// a usual account has filled again.
	move struct {
		at   time.Time
		kept func(account string) bool
	}

	ownerShard struct {
		mu       sync.Mutex
		accounts map[string]*owned
	}

	// owned is an account that the entry owns.
	owned struct {
		limit     Limit
		notBefore time.Time
		level     float64   // starts in the bucket; negative after starts from floors
		filled    time.Time // when level was computed
		loans     []loan
	}

	// loan is what one entry has of an account.
	loan struct {
		entry  string
		seq    uint64
		used   Amount // as last reported
		want   Amount
		need   int64
		got    float64 // starts lent, for the order among entries
		asked  time.Time
		last   hold // the newest share
		former hold // the most that a share before the newest may still allow
	}

	// hold is what a share allows until its deadline.
	hold struct {
		id     uint64
		active int64
		tokens int64
		until  time.Time
	}
)

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// Moved tells the owner that the membership has changed. Kept tells for an
// account whether the entry owned it before and owns it now. Loans of other
// accounts are forgotten, and such accounts are lent only when shares lent by
// their former owner have passed their deadlines.
func (o *Owner) Moved(now time.Time, kept func(account string) bool) {
	o.movesM.Lock()
	o.moves = slices.DeleteFunc(o.moves, func(m move) bool { return now.Sub(m.at) > Linger })
	o.moves = append(o.moves, move{at: now, kept: kept})
	o.movesM.Unlock()
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for account := range s.accounts {
			if !kept(account) {
				delete(s.accounts, account)
			}
		}
		s.mu.Unlock()
	}
}

// Gone tells the owner that the entry has ended, and its work with it. Its
// shares are lent again only after their deadlines all the same.
func (o *Owner) Gone(entry string) {
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for _, a := range s.accounts {
			if l := a.find(entry); l != nil {
				l.used, l.want = Amount{}, Amount{}
			}
		}
		s.mu.Unlock()
	}
}

// Lend answers an ask. It fails only for an ask that a later one has overtaken.
func (o *Owner) Lend(ask Ask, now time.Time) (Share, error) {
	s := &o.shards[shardOf(ask.Account)]
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[ask.Account]
	if a == nil {
		a = o.open(ask, now)
		if s.accounts == nil {
			s.accounts = make(map[string]*owned)
		}
		s.accounts[ask.Account] = a
	}
	l := a.find(ask.Entry)
	if l == nil {
		a.loans = append(a.loans, loan{entry: ask.Entry, got: a.leastGot(now)})
		l = &a.loans[len(a.loans)-1]
	}
	if ask.Seq <= l.seq {
		return Share{}, fmt.Errorf("ask %d for account %s after ask %d", ask.Seq, ask.Account, l.seq)
	}
	a.report(l, ask, now)
	if now.Before(a.notBefore) {
		return Share{Account: ask.Account, Renew: a.notBefore}, nil
	}
	if ask.Want == (Amount{}) {
		return Share{Account: ask.Account, Renew: now.Add(shortRenew)}, nil
	}
	return o.lend(a, l, ask.Account, now), nil
}

// open makes the state of an account. Its bucket is filled from the last change
// of owner only, since the former owner may have lent all there was.
func (o *Owner) open(ask Ask, now time.Time) *owned {
	a := &owned{limit: ask.Limit, notBefore: o.NotBefore}
	o.movesM.Lock()
	defer o.movesM.Unlock()
	for _, m := range o.moves {
		if until := m.at.Add(LongTerm + Margin); until.After(a.notBefore) && !m.kept(ask.Account) {
			a.notBefore = until
		}
	}
	a.filled = a.notBefore.Add(-LongTerm - Margin)
	a.fill(now)
	return a
}

func (a *owned) find(entry string) *loan {
	for i := range a.loans {
		if a.loans[i].entry == entry {
			return &a.loans[i]
		}
	}
	return nil
}

// report takes over what the borrower says. The share that it has in hand is
// the only one that it may use from now on, since it has one ask under way at a
// time and ignores answers to those it has given up.
func (a *owned) report(l *loan, ask Ask, now time.Time) {
	a.fill(now)
	a.limit = ask.Limit
	burst := a.limit.burst()
	a.level = min(a.level+max(ask.Back, 0), burst)
	a.level = max(a.level-max(ask.Spent, 0), -burst)
	l.seq, l.asked = ask.Seq, now
	l.used, l.want, l.need = ask.Used.clamp(), ask.Want.clamp(), ask.Need
	l.got = max(l.got-max(ask.Back, 0)+max(ask.Spent, 0), 0)
	switch ask.Have {
	case 0:
		l.last, l.former = hold{}, hold{}
	case l.last.id:
		l.former = hold{}
	}
}

// clamp replaces negative amounts, which no correct borrower sends.
func (x Amount) clamp() Amount {
	return Amount{Starts: max(x.Starts, 0), Active: max(x.Active, 0), Tokens: max(x.Tokens, 0)}
}

// fill adds the starts of the time that has passed.
func (a *owned) fill(now time.Time) {
	if d := now.Sub(a.filled); d > 0 {
		a.level = min(a.level+a.limit.Rate*d.Seconds(), a.limit.burst())
		a.filled = now
	}
}

// lend makes the next share of the loan.
func (o *Owner) lend(a *owned, l *loan, account string, now time.Time) Share {
	lentBefore := a.lent(now)
	term, renew := LongTerm, longRenew
	if a.contended(now) {
		term, renew = ShortTerm, shortRenew
	}
	share := Share{Account: account, ID: o.nextID(now), Until: now.Add(term), Renew: now.Add(renew)}
	turn := int(now.UnixNano() / int64(rotation))
	if a.limit.Active > 0 {
		share.Active = a.portion(l, activeOf, turn, now)
	}
	if a.limit.Tokens > 0 {
		share.Tokens = a.portion(l, tokensOf, turn, now)
	}
	if a.limit.Rate > 0 {
		share.Starts = a.starts(l, now)
		a.level -= share.Starts
		l.got += share.Starts
	}
	l.former = l.former.or(l.last, now)
	l.last = hold{id: share.ID, active: share.Active, tokens: share.Tokens, until: share.Until}
	o.check(a, account, share, lentBefore, now)
	return share
}

// nextID gives an ID above those of this owner and, the clocks permitting,
// above those of earlier owners.
func (o *Owner) nextID(now time.Time) uint64 {
	for {
		last := o.id.Load()
		next := max(last+1, uint64(max(now.UnixNano(), 0)))
		if o.id.CompareAndSwap(last, next) {
			return next
		}
	}
}

// check asserts the invariants after a loan. A limit may have been lowered
// while more was lent; then what is lent must not grow.
func (o *Owner) check(a *owned, account string, share Share, before Amount, now time.Time) {
	lent := a.lent(now)
	switch {
	case share.Active < 0 || share.Tokens < 0 || share.Starts < 0:
		violate(o.Violation, fmt.Sprintf("account %s: negative share %+v", account, share))
	case a.limit.Active > 0 && lent.Active > max(int64(a.limit.Active), before.Active):
		violate(o.Violation, fmt.Sprintf("account %s: %d active lent of %d", account, lent.Active, a.limit.Active))
	case a.limit.Tokens > 0 && lent.Tokens > max(a.limit.Tokens, before.Tokens):
		violate(o.Violation, fmt.Sprintf("account %s: %d tokens lent of %d", account, lent.Tokens, a.limit.Tokens))
	}
}

// Sweep drops the loans and accounts that are no longer needed. It is to be
// called every few seconds.
func (o *Owner) Sweep(now time.Time) {
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for account, a := range s.accounts {
			a.loans = slices.DeleteFunc(a.loans, func(l loan) bool {
				return l.settled(now) && now.After(l.asked.Add(idleAfter))
			})
			a.fill(now)
			full := a.limit.Rate <= 0 || a.level >= a.limit.burst()
			if len(a.loans) == 0 && full && !now.Before(a.notBefore) {
				delete(s.accounts, account)
			}
		}
		s.mu.Unlock()
	}
}

// Lent gives the sum of the outstanding shares of the account, for operators.
// Starts are not outstanding once lent and are left out.
func (o *Owner) Lent(account string, now time.Time) Amount {
	s := &o.shards[shardOf(account)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts[account]; a != nil {
		return a.lent(now)
	}
	return Amount{}
}

// Accounts gives the number of accounts with state.
func (o *Owner) Accounts() int {
	n := 0
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		n += len(s.accounts)
		s.mu.Unlock()
	}
	return n
}
