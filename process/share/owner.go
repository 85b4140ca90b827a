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
	// Owner lends shares of the accounts that the entry owns. The zero value is
	// ready to use. Fields are set before use; the methods are safe for
	// concurrent use.
	Owner struct {
		// NotBefore is when lending starts: LongTerm plus Margin after the start
		// of the process, since shares of an earlier owner may last until then.
		NotBefore time.Time
		// Violation reports a broken invariant; nil counts it in the expvar
		// "share_violations".
		Violation func(string)

		id      atomic.Uint64
		movesMu sync.Mutex
		moves   []move
		shards  [shards]ownerShard
	}

	// move is a change of the membership, after which accounts may have other
	// owners. It determines when lending of an account that was moved here starts
	// and from when its bucket fills. Without the move, newAccount counts from the
	// start of the process, which usually makes the bucket full. The move is
	// therefore kept for at least Linger, a minute: by then a bucket is full again
	// if Burst is at most a minute of Rate.
	move struct {
		at   time.Time
		kept func(account string) bool
	}

	ownerShard struct {
		mu       sync.Mutex
		accounts map[string]*ownedAccount
	}

	// ownedAccount is the state of an account that the entry owns.
	ownedAccount struct {
		limit     Limit
		notBefore time.Time
		level     float64   // starts in the bucket; negative after starts from floors
		filled    time.Time // when level was computed
		loans     []loan
	}

	// loan is the owner's record of one borrower of an account.
	loan struct {
		entry string
		seq   uint64
		used  Amount // as last reported
		want  Amount
		need  int64
		// startsLent is the number of starts that the borrower was lent and has not
		// returned, plus those from its floor. It begins at leastStartsLent. Borrowers
		// with a lower number have precedence; see startsToLend.
		startsLent  float64
		lastRequest time.Time
		last        lentShare // the newest share
		former      lentShare // upper bound of the older shares that may still be in use
	}

	// lentShare is the capacity that a share allows until its deadline.
	lentShare struct {
		id     uint64
		active int64
		tokens int64
		until  time.Time
	}
)

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// MembershipChanged records that the membership has changed. Kept reports
// whether the entry owned an account before the change and owns it now. Loans of
// other accounts are dropped, and such an account is lent again only when the
// shares lent by its former owner have passed their deadlines.
func (o *Owner) MembershipChanged(now time.Time, kept func(account string) bool) {
	o.movesMu.Lock()
	o.moves = slices.DeleteFunc(o.moves, func(m move) bool { return now.Sub(m.at) > Linger })
	o.moves = append(o.moves, move{at: now, kept: kept})
	o.movesMu.Unlock()
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

// EntryEnded records that an entry has ended, and its work with it. Its shares are
// nevertheless lent again only after their deadlines.
func (o *Owner) EntryEnded(entry string) {
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

// Lend answers a borrower's request. It fails only if a later request of the
// borrower for the account arrived first.
func (o *Owner) Lend(req Request, now time.Time) (Share, error) {
	s := &o.shards[shardOf(req.Account)]
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[req.Account]
	if a == nil {
		a = o.newAccount(req, now)
		if s.accounts == nil {
			s.accounts = make(map[string]*ownedAccount)
		}
		s.accounts[req.Account] = a
	}
	l := a.find(req.Entry)
	if l == nil {
		a.loans = append(a.loans, loan{entry: req.Entry, startsLent: a.leastStartsLent(now)})
		l = &a.loans[len(a.loans)-1]
	}
	// The error means that this request has arrived twice, or after a later one.
	if req.Seq <= l.seq {
		return Share{}, fmt.Errorf("ask %d for account %s after ask %d", req.Seq, req.Account, l.seq)
	}
	a.report(l, req, now)
	if now.Before(a.notBefore) {
		return Share{Account: req.Account, Renew: a.notBefore}, nil
	}
	if req.Want == (Amount{}) {
		return Share{Account: req.Account, Renew: now.Add(shortRenew)}, nil
	}
	return o.lend(a, l, req.Account, now), nil
}

// newAccount returns the initial state of an account. Its bucket fills only from
// the last change of owner, since the former owner may have lent all starts.
func (o *Owner) newAccount(req Request, now time.Time) *ownedAccount {
	a := &ownedAccount{limit: req.Limit, notBefore: o.NotBefore}
	o.movesMu.Lock()
	defer o.movesMu.Unlock()
	for _, m := range o.moves {
		if until := m.at.Add(LongTerm + Margin); until.After(a.notBefore) && !m.kept(req.Account) {
			a.notBefore = until
		}
	}
	a.filled = a.notBefore.Add(-LongTerm - Margin)
	a.fill(now)
	return a
}

func (a *ownedAccount) find(entry string) *loan {
	for i := range a.loans {
		if a.loans[i].entry == entry {
			return &a.loans[i]
		}
	}
	return nil
}

// report updates the account and the loan from a borrower's request. From now on
// the borrower may use no share but the one named in req.Have, since it has one
// request in flight at a time and ignores the replies to canceled requests.
func (a *ownedAccount) report(l *loan, req Request, now time.Time) {
	a.fill(now)
	a.limit = req.Limit
	burst := a.limit.burst()
	a.level = min(a.level+max(req.Back, 0), burst)
	a.level = max(a.level-max(req.Spent, 0), -burst)
	l.seq, l.lastRequest = req.Seq, now
	l.used, l.want, l.need = req.Used.clamp(), req.Want.clamp(), req.Need
	l.startsLent = max(l.startsLent-max(req.Back, 0)+max(req.Spent, 0), 0)
	switch req.Have {
	case 0:
		l.last, l.former = lentShare{}, lentShare{}
	case l.last.id:
		l.former = lentShare{}
	}
}

// clamp replaces negative amounts, which no correct borrower sends.
func (x Amount) clamp() Amount {
	return Amount{Starts: max(x.Starts, 0), Active: max(x.Active, 0), Tokens: max(x.Tokens, 0)}
}

// fill adds to the bucket the starts for the time since the last call.
func (a *ownedAccount) fill(now time.Time) {
	if d := now.Sub(a.filled); d > 0 {
		a.level = min(a.level+a.limit.Rate*d.Seconds(), a.limit.burst())
		a.filled = now
	}
}

// lend creates the next share for the loan's borrower.
func (o *Owner) lend(a *ownedAccount, l *loan, account string, now time.Time) Share {
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
		share.Starts = a.startsToLend(l, now)
		a.level -= share.Starts
		l.startsLent += share.Starts
	}
	l.former = l.former.combine(l.last, now)
	l.last = lentShare{id: share.ID, active: share.Active, tokens: share.Tokens, until: share.Until}
	o.check(a, account, share, lentBefore, now)
	return share
}

// nextID returns an ID above those of this owner and, if the clocks agree well
// enough, above those of earlier owners.
func (o *Owner) nextID(now time.Time) uint64 {
	for {
		last := o.id.Load()
		next := max(last+1, uint64(max(now.UnixNano(), 0)))
		if o.id.CompareAndSwap(last, next) {
			return next
		}
	}
}

// check asserts the invariants after a share was lent. A limit may have been
// lowered while more was lent; then the lent amount must not grow.
func (o *Owner) check(a *ownedAccount, account string, share Share, before Amount, now time.Time) {
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

// Sweep drops the loans and accounts that are no longer needed. It should be
// called every few seconds.
func (o *Owner) Sweep(now time.Time) {
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for account, a := range s.accounts {
			a.loans = slices.DeleteFunc(a.loans, func(l loan) bool {
				return l.settled(now) && now.After(l.lastRequest.Add(idleAfter))
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

// Lent returns the sum of the outstanding shares of the account, for operators.
// It leaves out starts, which are not outstanding once lent.
func (o *Owner) Lent(account string, now time.Time) Amount {
	s := &o.shards[shardOf(account)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts[account]; a != nil {
		return a.lent(now)
	}
	return Amount{}
}

// Accounts returns the number of accounts that have state here.
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
