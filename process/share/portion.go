package share

import (
	"cmp"
	"slices"
	"time"
)

type (
	// capacity selects one of the limits that are lent as capacities.
	capacity struct {
		limit  func(a *owned) int64
		amount func(Amount) int64
		hold   func(hold) int64
		unit   func(l *loan) int64 // an amount below it is of no use to the borrower
	}

	// claim is a borrower's demand during a division.
	claim struct {
		loan *loan
		want int64
	}
)

var (
	activeOf = capacity{
		limit:  func(a *owned) int64 { return int64(a.limit.Active) },
		amount: func(x Amount) int64 { return x.Active },
		hold:   func(h hold) int64 { return h.active },
		unit:   func(*loan) int64 { return 1 },
	}
	tokensOf = capacity{
		limit:  func(a *owned) int64 { return a.limit.Tokens },
		amount: func(x Amount) int64 { return x.Tokens },
		hold:   func(h hold) int64 { return h.tokens },
		unit:   func(l *loan) int64 { return max(l.need, 1) },
	}
)

// or gives the most that either share allows.
func (h hold) or(other hold, now time.Time) hold {
	if !h.lives(now) {
		return other
	}
	if !other.lives(now) {
		return h
	}
	return hold{
		active: max(h.active, other.active), tokens: max(h.tokens, other.tokens),
		until: later(h.until, other.until),
	}
}

// lives tells whether the borrower may still use the share, by any clock.
func (h hold) lives(now time.Time) bool {
	return !h.until.IsZero() && !now.After(h.until.Add(Margin))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lent gives the capacity that shares allow the borrower.
func (l *loan) lent(c capacity, now time.Time) int64 {
	var n int64
	if l.last.lives(now) {
		n = c.hold(l.last)
	}
	if l.former.lives(now) {
		n = max(n, c.hold(l.former))
	}
	return n
}

// held gives the capacity that must not be lent to others: what shares allow,
// or the work in flight if that is more.
func (l *loan) held(c capacity, now time.Time) int64 {
	n := l.lent(c, now)
	if !now.After(later(l.last.until, l.asked).Add(Linger)) {
		n = max(n, c.amount(l.used))
	}
	return n
}

// settled tells whether the loan keeps nothing from others.
func (l *loan) settled(now time.Time) bool {
	return !l.last.lives(now) && !l.former.lives(now) && l.held(activeOf, now) == 0 && l.held(tokensOf, now) == 0
}

// fresh tells whether what the borrower wants still counts.
func (l *loan) fresh(now time.Time) bool {
	return now.Before(l.asked.Add(ShortTerm)) || l.last.lives(now)
}

// lent adds up the outstanding shares of the account.
func (a *owned) lent(now time.Time) Amount {
	var sum Amount
	for i := range a.loans {
		sum.Active += a.loans[i].lent(activeOf, now)
		sum.Tokens += a.loans[i].lent(tokensOf, now)
	}
	return sum
}

// contended tells whether the borrowers want more than half of a limit.
func (a *owned) contended(now time.Time) bool {
	var want Amount
	for i := range a.loans {
		if l := &a.loans[i]; l.fresh(now) {
			want.Active += l.want.Active
			want.Tokens += l.want.Tokens
			want.Starts += l.want.Starts
		}
	}
	return a.limit.Active > 0 && 2*want.Active > int64(a.limit.Active) ||
		a.limit.Tokens > 0 && 2*want.Tokens > a.limit.Tokens ||
		a.limit.Rate > 0 && want.Starts > a.limit.Rate*shortRenew.Seconds()
}

// portion gives the part of the capacity for the borrower: what it is due, as
// far as others do not hold it.
func (a *owned) portion(l *loan, c capacity, turn int, now time.Time) int64 {
	free := c.limit(a)
	for i := range a.loans {
		if other := &a.loans[i]; other != l {
			free -= other.held(c, now)
		}
	}
	return min(max(free, 0), a.due(l, c, turn, now))
}

// due divides the capacity among all borrowers by max-min fairness, in whole
// units. Units that do not reach for all go round, so that each entry gets one
// for a time. If all have what they want, a part of the rest is spread.
func (a *owned) due(l *loan, c capacity, turn int, now time.Time) int64 {
	limit, unit := c.limit(a), int64(1)
	claims := make([]claim, 0, len(a.loans))
	for i := range a.loans {
		other := &a.loans[i]
		if want := min(c.amount(other.want), limit); want > 0 && other.fresh(now) {
			claims = append(claims, claim{other, want})
			unit = max(unit, c.unit(other))
		}
	}
	unit = min(unit, limit)
	slices.SortFunc(claims, func(x, y claim) int {
		return cmp.Or(cmp.Compare(x.want, y.want), cmp.Compare(x.loan.entry, y.loan.entry))
	})
	due, rest, met := divide(claims, limit, unit)
	mine := slices.IndexFunc(claims, func(x claim) bool { return x.loan == l })
	unmet := len(claims) - met
	if unmet == 0 {
		return spread(due, mine, rest, limit)
	}
	if mine < met {
		return at(due, mine)
	}
	place := (mine - met + turn) % unmet
	if int64(place) < rest/unit {
		return min(due[mine]+unit, max(claims[mine].want, unit))
	}
	return due[mine]
}

// divide gives each claim, from the smallest, what it wants, as long as the
// rest reaches for the same for all others, and the others equal whole units.
func divide(claims []claim, limit, unit int64) (due []int64, rest int64, met int) {
	due, rest = make([]int64, len(claims)), limit
	for met < len(claims) && claims[met].want <= rest/int64(len(claims)-met) {
		due[met] = claims[met].want
		rest -= due[met]
		met++
	}
	if met == len(claims) {
		return due, rest, met
	}
	part := rest / int64(len(claims)-met)
	part -= part % unit
	for i := met; i < len(claims); i++ {
		due[i] = part
		rest -= part
	}
	return due, rest, met
}

func at(due []int64, i int) int64 {
	if i < 0 {
		return 0
	}
	return due[i]
}

// spread adds a part of what nobody wants, so that a borrower can take more
// work at once. A part stays with the owner for an entry that is new.
func spread(due []int64, mine int, rest, limit int64) int64 {
	own := at(due, mine)
	return own + min(rest/int64(len(due)+1), max(own, limit/8))
}

// starts gives the whole starts for the borrower. Those that have got less come
// first: an ask that happens to come early does not take what they lack.
func (a *owned) starts(l *loan, now time.Time) float64 {
	level, n := a.level, 1
	for i := range a.loans {
		other := &a.loans[i]
		if other == l || !other.fresh(now) || other.want.Starts <= 0 {
			continue
		}
		n++
		level -= min(max(l.got-other.got, 0), other.want.Starts)
	}
	part := min(level, max(a.level/float64(n), 1), l.want.Starts)
	return max(float64(int64(part)), 0)
}

// leastGot gives the place of a new borrower in the order for starts: beside
// the one that has got least.
func (a *owned) leastGot(now time.Time) float64 {
	least, found := 0.0, false
	for i := range a.loans {
		if l := &a.loans[i]; l.fresh(now) && (!found || l.got < least) {
			least, found = l.got, true
		}
	}
	return least
}
