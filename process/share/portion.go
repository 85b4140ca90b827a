package share

import (
	"cmp"
	"slices"
	"time"
)

type (
	// capacity selects one of the two limits that are lent as capacities.
	capacity struct {
		limit  func(a *ownedAccount) int64
		amount func(Amount) int64
		lent   func(lentShare) int64
		unit   func(l *loan) int64 // smallest amount that the borrower can use
	}

	// loanDemand is a borrower's demand during a division.
	loanDemand struct {
		loan *loan
		want int64
	}
)

var (
	activeOf = capacity{
		limit:  func(a *ownedAccount) int64 { return int64(a.limit.Active) },
		amount: func(x Amount) int64 { return x.Active },
		lent:   func(h lentShare) int64 { return h.active },
		unit:   func(*loan) int64 { return 1 },
	}
	tokensOf = capacity{
		limit:  func(a *ownedAccount) int64 { return a.limit.Tokens },
		amount: func(x Amount) int64 { return x.Tokens },
		lent:   func(h lentShare) int64 { return h.tokens },
		unit:   func(l *loan) int64 { return max(l.need, 1) },
	}
)

// combine returns an upper bound of two shares, as far as they are outstanding.
func (h lentShare) combine(other lentShare, now time.Time) lentShare {
	if !h.outstanding(now) {
		return other
	}
	if !other.outstanding(now) {
		return h
	}
	return lentShare{
		active: max(h.active, other.active), tokens: max(h.tokens, other.tokens),
		until: later(h.until, other.until),
	}
}

// outstanding reports whether the borrower may still use the share by its own
// clock, which may differ by Margin.
func (h lentShare) outstanding(now time.Time) bool {
	return !h.until.IsZero() && !now.After(h.until.Add(Margin))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lent returns the capacity that outstanding shares allow the borrower.
func (l *loan) lent(c capacity, now time.Time) int64 {
	var n int64
	if l.last.outstanding(now) {
		n = c.lent(l.last)
	}
	if l.former.outstanding(now) {
		n = max(n, c.lent(l.former))
	}
	return n
}

// reserved returns the capacity that must not be lent to others: the capacity of
// outstanding shares, or the work in flight if that is more.
func (l *loan) reserved(c capacity, now time.Time) int64 {
	n := l.lent(c, now)
	if !now.After(later(l.last.until, l.lastRequest).Add(Linger)) {
		n = max(n, c.amount(l.used))
	}
	return n
}

// settled reports whether the loan reserves no capacity.
func (l *loan) settled(now time.Time) bool {
	return !l.last.outstanding(now) && !l.former.outstanding(now) && l.reserved(activeOf, now) == 0 && l.reserved(tokensOf, now) == 0
}

// demandCounts reports whether the borrower's last reported demand still counts.
func (l *loan) demandCounts(now time.Time) bool {
	return now.Before(l.lastRequest.Add(ShortTerm)) || l.last.outstanding(now)
}

// lent returns the sum of the account's outstanding shares.
func (a *ownedAccount) lent(now time.Time) Amount {
	var sum Amount
	for i := range a.loans {
		sum.Active += a.loans[i].lent(activeOf, now)
		sum.Tokens += a.loans[i].lent(tokensOf, now)
	}
	return sum
}

// contended reports whether the borrowers want more than half of a capacity, or
// more starts than one second of Rate.
func (a *ownedAccount) contended(now time.Time) bool {
	var want Amount
	for i := range a.loans {
		if l := &a.loans[i]; l.demandCounts(now) {
			want.Active += l.want.Active
			want.Tokens += l.want.Tokens
			want.Starts += l.want.Starts
		}
	}
	return a.limit.Active > 0 && 2*want.Active > int64(a.limit.Active) ||
		a.limit.Tokens > 0 && 2*want.Tokens > a.limit.Tokens ||
		a.limit.Rate > 0 && want.Starts > a.limit.Rate*shortRenew.Seconds()
}

// portion returns the capacity to lend to the borrower: the part that it is due,
// but no more than is not reserved for others.
func (a *ownedAccount) portion(l *loan, c capacity, turn int, now time.Time) int64 {
	free := c.limit(a)
	for i := range a.loans {
		if other := &a.loans[i]; other != l {
			free -= other.reserved(c, now)
		}
	}
	return min(max(free, 0), a.due(l, c, turn, now))
}

// due divides the capacity among all borrowers by max-min fairness, in whole
// units, and returns the part of the loan's borrower. The units that remain are
// fewer than the borrowers with unmet demand. Each of them goes to one of these
// borrowers, and to another one after each rotation; turn counts the rotations.
// If all demand is met, a part of the rest is added.
func (a *ownedAccount) due(l *loan, c capacity, turn int, now time.Time) int64 {
	limit, unit := c.limit(a), int64(1)
	demands := make([]loanDemand, 0, len(a.loans))
	for i := range a.loans {
		other := &a.loans[i]
		if want := min(c.amount(other.want), limit); want > 0 && other.demandCounts(now) {
			demands = append(demands, loanDemand{other, want})
			unit = max(unit, c.unit(other))
		}
	}
	unit = min(unit, limit)
	slices.SortFunc(demands, func(x, y loanDemand) int {
		return cmp.Or(cmp.Compare(x.want, y.want), cmp.Compare(x.loan.entry, y.loan.entry))
	})
	due, rest, met := divide(demands, limit, unit)
	mine := slices.IndexFunc(demands, func(x loanDemand) bool { return x.loan == l })
	unmet := len(demands) - met
	if unmet == 0 {
		return spread(due, mine, rest, limit)
	}
	if mine < met {
		return dueAt(due, mine)
	}
	// place is the borrower's position in the queue for the rest/unit units that
	// remain. It gets no more than it wants, but at least one whole unit.
	place := (mine - met + turn) % unmet
	if int64(place) < rest/unit {
		return min(due[mine]+unit, max(demands[mine].want, unit))
	}
	return due[mine]
}

// divide meets the demands, which are sorted in ascending order, as long as the
// rest is enough for an equal amount for each remaining one. The others get
// equal parts in whole units. It returns the parts, the rest, and the number of
// demands that are met.
func divide(demands []loanDemand, limit, unit int64) (due []int64, rest int64, met int) {
	due, rest = make([]int64, len(demands)), limit
	for met < len(demands) && demands[met].want <= rest/int64(len(demands)-met) {
		due[met] = demands[met].want
		rest -= due[met]
		met++
	}
	if met == len(demands) {
		return due, rest, met
	}
	part := rest / int64(len(demands)-met)
	part -= part % unit
	for i := met; i < len(demands); i++ {
		due[i] = part
		rest -= part
	}
	return due, rest, met
}

// dueAt returns element i, or 0 if i is negative.
func dueAt(due []int64, i int) int64 {
	if i < 0 {
		return 0
	}
	return due[i]
}

// spread returns the part of a borrower plus some of the capacity that no
// borrower wants, so that it can admit more work at once. The owner keeps some
// of that capacity for new borrowers.
func spread(due []int64, mine int, rest, limit int64) int64 {
	own := dueAt(due, mine)
	return own + min(rest/int64(len(due)+1), max(own, limit/8))
}

// startsToLend returns the whole number of starts to lend to the borrower.
// Borrowers that were lent fewer starts have precedence: the starts that they
// lack are not lent to a borrower only because its request arrives earlier.
func (a *ownedAccount) startsToLend(l *loan, now time.Time) float64 {
	level, n := a.level, 1
	for i := range a.loans {
		other := &a.loans[i]
		if other == l || !other.demandCounts(now) || other.want.Starts <= 0 {
			continue
		}
		n++
		level -= min(max(l.startsLent-other.startsLent, 0), other.want.Starts)
	}
	part := min(level, max(a.level/float64(n), 1), l.want.Starts)
	return max(float64(int64(part)), 0)
}

// leastStartsLent returns the initial number of starts lent of a new borrower,
// which sets its precedence: the least number among borrowers with demand.
func (a *ownedAccount) leastStartsLent(now time.Time) float64 {
	least, found := 0.0, false
	for i := range a.loans {
		if l := &a.loans[i]; l.demandCounts(now) && (!found || l.startsLent < least) {
			least, found = l.startsLent, true
		}
	}
	return least
}
