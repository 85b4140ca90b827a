// Package share enforces the limits of accounts across entries without a store
// write, and usually without a message, per request.
//
// Each account has an owner entry that lends shares of the account's limit to
// the entries that use the account (Owner), and each entry admits requests
// within its shares (Borrower). A share has an absolute deadline. The borrower
// stops using it by then, also after a pause of the process, and the owner lends
// it again only after the deadline plus Margin. Shares follow demand: each time
// a borrower renews its share, it reports its use and its demand.
//
// The three limits are lent in two ways. Active requests and tokens in flight
// are capacities: a share states how much a borrower may have in flight. Work in
// flight when a share lapses stays counted, at the borrower and, as last
// reported, at the owner. The rate is lent as single starts, taken from one
// token bucket at the owner, so that no more starts are lent than the bucket
// supplied; starts in a share that lapses unused are not lent again.
//
// # Bounds
//
// The sum of all outstanding shares of an account never exceeds its limit. The
// work in flight may exceed the limit by
//
//   - for each entry without a share (it is cut off from the owner, or has just
//     begun to use the account): its floor, 1/(live entries) of the limit, but
//     at least one request, and
//   - for each entry whose share lapsed while it was cut off: the amount by which
//     its work in flight, admitted before the share lapsed, exceeds the work in
//     its last report to the current owner. After Linger without a report it is
//     instead all the work in flight at the entry, since the owner then no longer
//     counts the reported work.
//
// The starts in any time t may exceed Burst + Rate*t by the same floors (of
// Burst and Rate). Starts from a floor are reported in the next request to the
// owner and deducted from the bucket. A Burst below one second of Rate counts as
// one second of Rate, because starts are lent for about that long.
//
// The bounds require one owner per account at a time; Owner.NotBefore and
// Owner.MembershipChanged ensure it if the entries agree on the membership
// within LongTerm.
// While two owners act, each keeps the bounds for the shares that it lends.
package share

import (
	"expvar"
	"time"
)

// Times.
const (
	// ShortTerm is the lifetime of a share of an account with high demand, so
	// that unused parts soon reach the entries with work. LongTerm is the
	// lifetime of other shares, to save messages.
	ShortTerm = 3 * time.Second
	LongTerm  = 9 * time.Second
	// Margin covers the difference between the clocks of two entries.
	Margin = 500 * time.Millisecond

	// Linger is how long after a share has lapsed the owner counts the work that
	// its borrower last reported, if the borrower sends no further request.
	Linger = time.Minute

	shortRenew         = time.Second            // renewal interval for ShortTerm, and length of a demand period
	longRenew          = 6 * time.Second        // renewal interval for LongTerm
	minRequestInterval = 250 * time.Millisecond // minimum interval between requests to the owner of an account
	requestTimeout     = 2 * time.Second        // age at which an unanswered request to the owner is canceled
	idleAfter          = 30 * time.Second       // age at which the state of an account without work is dropped
	rotation           = 2 * time.Second        // turn of one entry when there are fewer units than entries
	shards             = 64
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

	// Amount is an amount of work: requests to start, and requests and expected
	// tokens in flight.
	Amount struct {
		Starts float64
		Active int64
		Tokens int64
	}

	// Request is the request of a borrower for a share, sent to the owner of the
	// account.
	Request struct {
		Entry   string // includes the incarnation
		Account string
		Seq     uint64  // increases with each request of the entry for the account
		Have    uint64  // ID of the share that the borrower has; 0 if none
		Limit   Limit   // the account's limit in the borrower's configuration
		Used    Amount  // in flight
		Want    Amount  // demand for starts and work in flight, for the next second or two
		Need    int64   // tokens of the largest request in the last two periods
		Spent   float64 // starts from the floor since the last request
		Back    float64 // unused starts returned to the owner
	}

	// Share is a part of an account's limit. An ID of 0 means that nothing is
	// lent, either because Want is zero, or because the owner is new and does
	// not lend before Renew.
	Share struct {
		Account string
		ID      uint64
		Starts  float64 // added to the borrower's unused starts
		Active  int64
		Tokens  int64
		Until   time.Time // absolute deadline
		Renew   time.Time // when the borrower should renew the share
	}
)

var violations = expvar.NewInt("share_violations")

// violate reports a broken invariant, or counts it if report is nil.
func violate(report func(string), what string) {
	if report != nil {
		report(what)
		return
	}
	violations.Add(1)
}

// burst returns the number of starts that the account may make at once.
func (l Limit) burst() float64 {
	return max(float64(l.Burst), l.Rate*shortRenew.Seconds(), 1)
}

func shardOf(account string) uint64 { return hash(account) % shards }
