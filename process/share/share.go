// Package share keeps the limits of accounts across entries without a store
// write, and usually without a message, per request.
//
// Each account has an owner entry that lends shares of the account's limit to
// the entries that use the account (Owner), and each entry spends its shares on
// requests (Borrower). A share has an absolute deadline. The borrower stops
// using it by then, also after a pause of the process, and the owner lends it
// again only after the deadline plus Margin. Shares follow demand: a borrower
// reports what it uses and wants each time it renews.
//
// The three limits are lent in two ways. Active requests and tokens in flight
// are capacities: a share says how much a borrower may have in flight. Work in
// flight when a share lapses stays counted, at the borrower and, as last
// reported, at the owner. The rate is lent as single starts, taken from one
// token bucket at the owner, so that starts lent are never more than the
// bucket gave; starts that a borrower loses are lost.
//
// # Bounds
//
// The sum of all outstanding shares of an account never exceeds its limit. The
// work in flight may exceed the limit by
//
//   - for each entry without a share (it is cut off, or has just begun to use
//     the account): its floor, 1/(live entries) of the limit, but at least one
//     request, and
//   - for each entry whose share lapsed while it was cut off: the part of the
//     share that it put to use after its last report to the present owner, and,
//     after Linger without a report, all its work.
//
// The starts in any time t may exceed Burst + Rate*t by the same floors (of
// Burst and Rate). Starts from a floor are reported at the next contact and
// deducted. A Burst below one second of Rate counts as one second of Rate,
// because starts are lent for about that long.
//
// The bounds need one owner per account at a time; Owner.NotBefore and
// Owner.Moved see to that if the entries agree on the membership within
// LongTerm. While two owners act, each keeps the bounds by itself.
package share

import (
	"expvar"
	"time"
)

// Times.
const (
	// ShortTerm is the life of a share when much of the limit is in demand, so
	// that unused parts flow to where the work is; LongTerm is that of the
	// others, to save messages.
	ShortTerm = 3 * time.Second
	LongTerm  = 9 * time.Second
	// Margin covers the difference between the clocks of two entries.
	Margin = 500 * time.Millisecond

	// Linger is the time for which the owner counts the work that a silent
	// entry had in flight after its share has lapsed.
	Linger = time.Minute

	shortRenew = time.Second
	longRenew  = 6 * time.Second
	urgent     = 250 * time.Millisecond // between asks when requests are refused
	overdue    = 2 * time.Second        // an ask without an answer is given up
	idleAfter  = 30 * time.Second       // state of an account without work is dropped
	rotation   = 2 * time.Second        // how long one entry keeps a unit that does not reach for all
	shards     = 64
)

type (
	// Limit bounds the work of one account; a zero field means no limit. If
	// Rate is set and Burst is not, Burst is one second of Rate.
	Limit struct {
		Rate   float64 // requests started per second
		Burst  int     // requests started at once
		Active int     // requests in flight
		Tokens int64   // expected tokens in flight
	}

	// Amount is an amount of work.
	Amount struct {
		Starts float64
		Active int64
		Tokens int64
	}

	// Ask is what a borrower tells the owner of an account.
	Ask struct {
		Entry   string // includes the incarnation
		Account string
		Seq     uint64  // grows with each ask
		Have    uint64  // ID of the share in hand; 0 if there is none
		Limit   Limit   // as the borrower's configuration has it
		Used    Amount  // in flight
		Want    Amount  // in flight and starts, for the next second or two
		Need    int64   // tokens of the largest request that waits
		Spent   float64 // starts from the floor since the last ask
		Back    float64 // starts given back
	}

	// Share is a part of an account's limit. An ID of 0 means that nothing is
	// lent, because nothing is wanted, or because the owner is new and does not
	// lend before Renew.
	Share struct {
		Account string
		ID      uint64
		Starts  float64 // added to those in hand
		Active  int64
		Tokens  int64
		Until   time.Time // absolute deadline
		Renew   time.Time // when to ask again
	}
)

var violations = expvar.NewInt("share_violations")

// violate reports a broken invariant.
func violate(report func(string), what string) {
	if report != nil {
		report(what)
		return
	}
	violations.Add(1)
}

// burst gives the starts that the account may make at once.
func (l Limit) burst() float64 {
	return max(float64(l.Burst), l.Rate*shortRenew.Seconds(), 1)
}

func shardOf(account string) uint64 { return hash(account) % shards }
