// Package retry decides whether a failed attempt is repeated, and when.
//
// Three things must allow a repeat. The outcome: a request that may have run
// is repeated only when it is idempotent. The time: a repeat that would start
// at or after the deadline is useless. The budget: a token bucket per service
// that only successful requests refill, a tenth of a token each, so that
// repeats add at most a tenth to the load however many endpoints fail. When
// nothing succeeds the bucket runs dry and repeats stop; first attempts are
// never charged, so the service is used again as soon as it answers.
//
// Waits grow exponentially and half of each is random, so that requests that
// failed together are not repeated together.
package retry

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// Defaults.
const (
	DefaultRatio    = 0.1                   // tokens that a successful request adds
	DefaultSize     = 50                    // tokens in a full bucket: the burst of repeats when one endpoint of many fails
	DefaultBase     = 25 * time.Millisecond // longest wait before the first repeat that waits
	DefaultMax      = 2 * time.Second       // longest wait
	DefaultAttempts = 4                     // attempts of one request, the first included
	unit            = int64(1_000_000)      // a token in the bucket's integer
	maxShift        = 30                    // keeps the doubling inside an int64
)

type (
	// Budget is the retry budget of one service. The zero value is a full
	// bucket of the default size. Fields are set before use; the methods may be
	// called by any number of goroutines.
	Budget struct {
		Ratio float64 // tokens added by a success; 0 means DefaultRatio
		Size  float64 // tokens in a full bucket; 0 means DefaultSize

		spent atomic.Int64 // tokens missing from a full bucket, in units
		size  atomic.Int64 // set by Resize, in units; 0 for Size
	}

	// Backoff computes jittered exponential waits. The zero value is ready.
	// (The backoff library draws from the global random source only, which
	// makes runs under a fixed seed impossible.)
	Backoff struct {
		Base   time.Duration  // 0 means DefaultBase
		Max    time.Duration  // 0 means DefaultMax
		Random func() float64 // in [0, 1); nil means math/rand/v2
	}

	// Policy decides about repeats for one service. The zero value is ready.
	Policy struct {
		Budget   Budget
		Backoff  Backoff
		Attempts int // 0 means DefaultAttempts
	}
)

func or[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}

// Resize changes the tokens in a full bucket, such as when more processes share
// a budget.
func (b *Budget) Resize(size float64) { b.size.Store(int64(size * float64(unit))) }

func (b *Budget) full() int64 {
	if size := b.size.Load(); size > 0 {
		return size
	}
	return int64(or(b.Size, DefaultSize) * float64(unit))
}

// Success refills the bucket for one successful request. While the bucket is
// full, the usual case, it writes nothing.
func (b *Budget) Success() {
	add := int64(or(b.Ratio, DefaultRatio) * float64(unit))
	for {
		spent := b.spent.Load()
		if spent == 0 || b.spent.CompareAndSwap(spent, max(spent-add, 0)) {
			return
		}
	}
}

// Take takes a token for one repeat, or reports that there is none.
func (b *Budget) Take() bool {
	size := b.full()
	for {
		spent := b.spent.Load()
		if spent+unit > size {
			return false
		}
		if b.spent.CompareAndSwap(spent, spent+unit) {
			return true
		}
	}
}

// Tokens gives the number of repeats that the bucket allows now.
func (b *Budget) Tokens() float64 {
	return float64(b.full()-b.spent.Load()) / float64(unit)
}

// Wait gives the time to wait after the attempt with the given number, from 1:
// between a half and the whole of Base doubled for each earlier attempt.
func (b *Backoff) Wait(attempt int) time.Duration {
	longest := or(b.Max, DefaultMax)
	base := or(b.Base, DefaultBase)
	shift := min(max(attempt-1, 0), maxShift)
	if base < longest>>shift {
		longest = base << shift
	}
	random := rand.Float64
	if b.Random != nil {
		random = b.Random
	}
	return longest/2 + time.Duration(math.Floor(random()*float64(longest)/2))
}

// transient tells whether another attempt, on another endpoint, may end
// differently. Refusals of the entry itself are not: the same entry would give
// them again.
func transient(reason refusal.Reason) bool {
	switch reason {
	case refusal.Leaving, refusal.Rejected, refusal.Dial, refusal.Broken, refusal.Timeout, refusal.Garbage:
		return true
	}
	return false
}

// Next decides about a request whose attempt with the given number, from 1,
// ended with outcome and reason. If ok, the request is repeated at the time at,
// and the repeat is charged and counted. The first repeat of a request that
// has not run starts at once, since it goes to another endpoint.
func (p *Policy) Next(
	outcome refusal.Outcome, reason refusal.Reason, idempotent bool, attempt int, deadline, now time.Time,
) (at time.Time, ok bool) {
	allowed := outcome == refusal.NotRun || outcome == refusal.Unknown && idempotent
	if !allowed || !transient(reason) || attempt >= or(p.Attempts, DefaultAttempts) {
		return time.Time{}, false
	}
	at = now
	if outcome != refusal.NotRun || attempt > 1 {
		at = now.Add(p.Backoff.Wait(attempt))
	}
	if !deadline.IsZero() && !at.Before(deadline) {
		return time.Time{}, false
	}
	if !p.Budget.Take() {
		return time.Time{}, false
	}
	refusal.CountRetry(reason)
	return at, true
}
