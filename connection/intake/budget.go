// Package intake bounds what clients can make a process hold: the memory of connections,
// heads, bodies and answers, and the number of connections.
//
// A Budget is the memory that all listeners of a process share. What holds memory for
// clients charges it before bytes are read, and credits it when they are dropped. A Gate
// wraps a listener: it limits the connections, bounds each head in bytes and lines before
// net/http parses it, and replaces the timeouts of net/http, which are fixed, by those in
// force. When connections or memory for small charges run out, connections that never sent
// a request are closed first, then idle ones, then heads and answers that take long.
package intake

import (
	"expvar"
	"math"
	"sync"
	"time"
)

const (
	// SmallCharge is the most that an account may charge from the whole budget. It covers
	// the ordinary requests of the deployments, which have 3 to 20 KB.
	SmallCharge = 64 << 10

	largeShare = 0.75 // of the budget that larger charges may fill; the rest is kept for small ones
	// holderFactor limits the larger charges of one holder, an address or a client account,
	// to this multiple of what is still free for them, as the dynamic thresholds of switches
	// with shared memory do: one holder alone gets 4/5, two get 4/9 each.
	holderFactor = 4

	relievePause = 100 * time.Millisecond // between two searches for slow bodies and answers, which visit all of them
)

// Results of a charge.
const (
	charged     chargeResult = iota
	noRoomSmall              // for a small charge
	noRoomLarge              // for a larger one
	isReleased               // the account was released
)

var counters = newCounters()

// newCounters publishes a counter for each limit.
func newCounters() *expvar.Map {
	m := expvar.NewMap("intake")
	for _, name := range []string{
		"budget", "used", "peak", "charges_refused", "conns", "conns_peak", "conns_refused", "conns_answered", "closed_new", "closed_idle", "closed_head",
		"closed_unread", "heads_refused", "heads_long", "heads_lines", "bodies_refused", "bodies_slow", "bodies_long", "answers_unbuffered",
		"messages_refused",
	} {
		m.Add(name, 0)
	}
	return m
}

func gauge(name string) *expvar.Int { return counters.Get(name).(*expvar.Int) }

type (
	chargeResult int

	// Budget is an amount of memory in bytes. The zero value has no bound. A nil Budget
	// has none either. It may be used concurrently.
	Budget struct {
		mu       sync.Mutex
		size     int64 // 0 means no bound
		most     int64 // of larger charges; 0 means no bound of their own
		used     int64
		large    int64 // larger charges
		peak     int64
		holders  map[string]int64 // larger charges by holder
		gates    []*Gate
		bodies   map[*receipt]struct{}
		relieved time.Time // when slow bodies and answers were searched last
	}

	// Account holds the charges of one object, such as a connection or a body. It may be
	// used concurrently.
	Account struct {
		Budget  *Budget
		Holders []string // for whose shares the larger charges count

		// Guarded by Budget.mu.
		charged  int64
		large    int64
		released bool
	}
)

// NewBudget returns a budget of size bytes; 0 means no bound.
func NewBudget(size int64) *Budget {
	b := &Budget{size: size}
	gauge("budget").Set(size)
	counters.Set("used", expvar.Func(func() any { used, _ := b.Used(); return used }))
	counters.Set("peak", expvar.Func(func() any { _, peak := b.Used(); return peak }))
	return b
}

// Used returns the bytes that are charged, and the most that were.
func (b *Budget) Used() (used, peak int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.peak
}

// Bounded reports whether the budget has a bound.
func (b *Budget) Bounded() bool { return b != nil && b.size > 0 }

// Charge adds n bytes, unless the budget has no room for them or the account was released,
// and reports whether it did. What brings an account over SmallCharge is a larger charge.
func (a *Account) Charge(n int64) bool {
	result := a.charge(n)
	if result == noRoomLarge {
		a.Budget.relieve()
	}
	return result == charged
}

func (a *Account) charge(n int64) chargeResult {
	b := a.Budget
	if b == nil || n <= 0 {
		return charged
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.released {
		return isReleased
	}
	large := a.charged+n > SmallCharge
	if !b.hasRoomLocked(a, n, large) {
		counters.Add("charges_refused", 1)
		if large {
			return noRoomLarge
		}
		return noRoomSmall
	}
	a.charged += n
	b.used += n
	b.peak = max(b.peak, b.used)
	if !large {
		return charged
	}
	a.large += n
	b.large += n
	if b.holders == nil {
		b.holders = map[string]int64{}
	}
	for _, h := range a.Holders {
		b.holders[h] += n
	}
	return charged
}

func (b *Budget) hasRoomLocked(a *Account, n int64, large bool) bool {
	if !large {
		return b.size == 0 || b.used+n <= b.size
	}
	free := int64(math.MaxInt64 / (2 * holderFactor))
	if b.size > 0 {
		free = int64(float64(b.size)*largeShare) - b.used - n
	}
	if b.most > 0 {
		free = min(free, b.most-b.large-n)
	}
	if free < 0 {
		return false
	}
	for _, h := range a.Holders {
		// What is charged first must fit whatever its size.
		if held := b.holders[h]; held > a.large && held+n > holderFactor*free {
			return false
		}
	}
	return true
}

// Release credits all that the account has charged. It cannot be charged afterwards.
func (a *Account) Release() {
	b := a.Budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a.creditLocked(a.charged)
	a.released = true
}

// Credit takes back n of the charged bytes.
func (a *Account) Credit(n int64) {
	b := a.Budget
	if b == nil || n <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a.creditLocked(n)
}

func (a *Account) creditLocked(n int64) {
	b := a.Budget
	n = min(n, a.charged)
	a.charged -= n
	b.used -= n
	large := min(n, a.large) // larger charges are credited first
	if large == 0 {
		return
	}
	a.large -= large
	b.large -= large
	for _, h := range a.Holders {
		if b.holders[h] -= large; b.holders[h] <= 0 {
			delete(b.holders, h)
		}
	}
}

// relieve ends bodies that arrive slowly and closes connections that do not read their
// answers, so that later charges find room.
func (b *Budget) relieve() {
	now := time.Now()
	b.mu.Lock()
	if now.Sub(b.relieved) < relievePause {
		b.mu.Unlock()
		return
	}
	b.relieved = now
	for r := range b.bodies {
		if r.isSlow(now) {
			counters.Add("bodies_slow", 1)
			r.slow.Store(true)
			r.interrupt()
		}
	}
	gates := b.gates
	b.mu.Unlock()
	for _, g := range gates {
		g.closeUnread()
	}
}
