// Package retry decides whether a failed attempt is repeated, and when.
//
// A repeat must pass three checks. The outcome: a request that may have run is
// repeated only if it is idempotent. The deadline: a repeat that would start
// at or after it is useless. The budget: a token bucket per service that is
// refilled only by successful requests, a tenth of a token each, so that
// repeats add at most a tenth to the load however many endpoints fail. If no
// request succeeds, the bucket becomes empty and repeats stop. First attempts
// are never charged, so the service is used again as soon as it responds.
//
// Waits grow exponentially, and half of each is random, so that requests that
// failed at the same time are not repeated at the same time.
package retry

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// Defaults of Budget, Backoff and Policy.
const (
	DefaultRatio    = 0.1                   // tokens that a successful request adds
	DefaultSize     = 50                    // tokens in a full bucket: the burst of repeats when one endpoint of many fails
	DefaultBase     = 25 * time.Millisecond // longest wait after the first attempt; doubled after each further attempt
	DefaultMax      = 2 * time.Second       // longest wait before any repeat
	DefaultAttempts = 4                     // attempts of one request, including the first
	unitsPerToken   = int64(1_000_000)      // the bucket counts in integer fractions of a token
	maxShift        = 30                    // limits the doublings of Base, to prevent an int64 overflow
)

type (
	// Budget is the retry budget of one service. The zero value is a full
	// bucket of the default size. Fields are set before use; the methods are
	// safe for concurrent use.
	Budget struct {
		Ratio float64 // tokens added by a successful request; 0 means DefaultRatio
		Size  float64 // tokens in a full bucket; 0 means DefaultSize

		spent atomic.Int64 // tokens missing from a full bucket, in units
		size  atomic.Int64 // size set by Resize, in units; 0 means Size
	}

	// Backoff computes exponential waits with jitter. The zero value is ready
	// to use. The backoff library is not used because it draws from the global
	// random source only, which makes runs under a fixed seed impossible.
	Backoff struct {
		Base   time.Duration  // 0 means DefaultBase
		Max    time.Duration  // 0 means DefaultMax
		Random func() float64 // in [0, 1); nil means math/rand/v2
	}

	// Policy decides about repeats for one service. The zero value is ready to
	// use.
	Policy struct {
		Budget   Budget
		Backoff  Backoff
		Attempts int // 0 means DefaultAttempts
	}
)

// orDefault returns value, or otherwise if value is zero.
func orDefault[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}

// Resize changes the number of tokens in a full bucket, for example when the
// number of processes that share a budget changes.
func (b *Budget) Resize(size float64) { b.size.Store(int64(size * float64(unitsPerToken))) }

// capacity returns the size of the bucket in units.
func (b *Budget) capacity() int64 {
	if size := b.size.Load(); size > 0 {
		return size
	}
	return int64(orDefault(b.Size, DefaultSize) * float64(unitsPerToken))
}

// Success refills the bucket for one successful request. If the bucket is
// full, the usual case, it writes nothing.
func (b *Budget) Success() {
	add := int64(orDefault(b.Ratio, DefaultRatio) * float64(unitsPerToken))
	for {
		spent := b.spent.Load()
		if spent == 0 || b.spent.CompareAndSwap(spent, max(spent-add, 0)) {
			return
		}
	}
}

// Take removes the token for one repeat and reports whether there was one.
func (b *Budget) Take() bool {
	size := b.capacity()
	for {
		spent := b.spent.Load()
		if spent+unitsPerToken > size {
			return false
		}
		if b.spent.CompareAndSwap(spent, spent+unitsPerToken) {
			return true
		}
	}
}

// Return puts back the token of a repeat that is not made.
func (b *Budget) Return() {
	for {
		spent := b.spent.Load()
		if spent == 0 || b.spent.CompareAndSwap(spent, max(spent-unitsPerToken, 0)) {
			return
		}
	}
}

// Tokens returns the number of repeats that the bucket allows now.
func (b *Budget) Tokens() float64 {
	return float64(b.capacity()-b.spent.Load()) / float64(unitsPerToken)
}

// Wait returns the time to wait after the attempt with the given number, from
// 1. The upper bound is Base, doubled for each earlier attempt and limited by
// Max; the wait is random between half of the bound and the bound.
func (b *Backoff) Wait(attempt int) time.Duration {
	longest := orDefault(b.Max, DefaultMax)
	base := orDefault(b.Base, DefaultBase)
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

// transient reports whether an attempt on another endpoint may succeed after a
// failure with this reason. Refusals of the entry itself are not transient,
// because the same entry would return them again.
func transient(reason refusal.Reason) bool {
	switch reason {
	case refusal.Leaving, refusal.Rejected, refusal.Dial, refusal.Broken, refusal.Timeout, refusal.Garbage:
		return true
	}
	return false
}

// Next decides whether a request is repeated after the attempt with the given
// number, from 1, failed with outcome and reason. If ok, the repeat starts at
// the time at, and it has been charged to the budget and counted. The first
// repeat of a request that has not run starts at once, because it uses another
// endpoint. A zero deadline means that there is none.
func (p *Policy) Next(
	outcome refusal.Outcome, reason refusal.Reason, idempotent bool, attempt int, deadline, now time.Time,
) (at time.Time, ok bool) {
	allowed := outcome == refusal.NotRun || outcome == refusal.Unknown && idempotent
	if !allowed || !transient(reason) || attempt >= orDefault(p.Attempts, DefaultAttempts) {
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
