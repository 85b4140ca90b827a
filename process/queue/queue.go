// Package queue holds work that waits for an endpoint and hands it out in a
// fair order.
//
// Items are kept in levels, one per rank, and a higher level is served first.
// An item is promoted by one level for each Age that it has waited, up to the
// highest, so that low ranks still make progress. Within a level, accounts
// share the service by weight, and the callers of an account share equally.
// Each account and caller has a start tag that grows with the cost of the work
// it has received, and the lowest tag is served first (start-time fair
// queueing; Goyal, Vin, Cheng 1996). Items of one caller are served in order of
// arrival.
//
// An account or caller that becomes active starts at the lowest tag of the
// active ones: it is served soon, but gets no credit for the time without work.
// An endless sequence of new callers could therefore stay ahead of an old one.
// To prevent that, every LatePeriod-th item is a late one: an item that has waited
// for another Age on the highest level. The item that became late first is
// served. Each item is thus reached after a bounded number of others.
//
// An item that does not fit can be overtaken by cheaper ones, but at most
// MaxPass times; after that, everything behind it waits. An item that may run in some
// regions only, and does not fit, holds back only items that may run in no others: there may
// be room for the rest elsewhere.
package queue

import (
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/btree"

	"github.com/eelgrassdock/eelgrassdock/version/routing"
)

// Defaults and bounds.
const (
	DefaultMax = 10_000          // items
	DefaultAge = 5 * time.Second // waiting time that promotes an item by one level

	// MaxRank is the highest rank; ranks outside of 0 to MaxRank are clamped.
	MaxRank = 9
	// MaxPass is the number of cheaper items that may overtake an item that does
	// not fit.
	MaxPass = 16
	// LatePeriod is the period, in items taken, at which a late item goes first.
	LatePeriod = 16

	// maxOffers bounds the rejected offers of one Next and maxWalk the items that
	// it visits for each item taken, so that Next stays fast when nothing fits.
	maxOffers = 32
	maxWalk   = 256

	treeDegree = 16
)

// ErrFull is returned by Push if the queue is at its limit.
var ErrFull = errors.New("queue full")

type (
	// Item is a unit of waiting work. An item can be in at most one queue, and
	// its exported fields must not change while it is queued.
	Item struct {
		Account  string
		Caller   string
		Rank     int
		Arrived  time.Time
		Deadline time.Time       // zero means none
		Cost     float64         // amount of service that the work uses; 0 counts as 1
		Regions  routing.Regions // in which the work may run; nil allows all
		Value    any

		queue        *Queue
		seq          uint64
		level        int
		promoteAt    time.Time // time of the next promotion
		flow         *flow     // flow of the caller
		prev, next   *Item     // neighbours in the flow
		late         bool      // in Queue.late instead of Queue.promotions
		refusedRound uint64    // round of the last Next in which the item did not fit
		passed       int       // items that have overtaken this one
	}

	// Queue holds the waiting work of one service. The zero value is ready for
	// use. Set its fields before first use; the methods are safe for concurrent
	// use.
	Queue struct {
		Max int           // items; 0 means DefaultMax
		Age time.Duration // 0 means DefaultAge
		// Weight returns the weight of an account. A nil Weight or a result that
		// is not positive means 1.
		Weight func(account string) float64

		mu         sync.Mutex
		seq        uint64
		round      uint64 // calls of Next
		n          int
		bound      int                // items with Regions
		levels     [MaxRank + 1]group // groups of accounts
		counts     map[string]int     // items by account
		deadlines  *btree.BTreeG[*Item]
		promotions *btree.BTreeG[*Item]
		late       *btree.BTreeG[*Item]
		sinceLate  int // items taken since the last late one
	}
)

func (it *Item) cost() float64 {
	if it.Cost > 0 {
		return it.Cost
	}
	return 1
}

func (q *Queue) init() {
	if q.counts != nil {
		return
	}
	q.counts = make(map[string]int)
	q.deadlines = btree.NewG(treeDegree, func(a, b *Item) bool {
		return a.Deadline.Before(b.Deadline) || a.Deadline.Equal(b.Deadline) && a.seq < b.seq
	})
	byPromote := func(a, b *Item) bool {
		return a.promoteAt.Before(b.promoteAt) || a.promoteAt.Equal(b.promoteAt) && a.seq < b.seq
	}
	q.promotions = btree.NewG(treeDegree, byPromote)
	q.late = btree.NewG(treeDegree, byPromote)
}

// Push adds work. It fails with ErrFull if the queue is at its limit.
func (q *Queue) Push(it *Item) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	limit := q.Max
	if limit <= 0 {
		limit = DefaultMax
	}
	if q.n >= limit {
		return ErrFull
	}
	if it.queue != nil {
		return errors.New("item is in a queue already")
	}
	q.seq++
	it.queue, it.seq, it.passed, it.refusedRound = q, q.seq, 0, 0
	it.level, it.late = min(max(it.Rank, 0), MaxRank), false
	q.n++
	if it.Regions != nil {
		q.bound++
	}
	q.counts[it.Account]++
	if !it.Deadline.IsZero() {
		q.deadlines.ReplaceOrInsert(it)
	}
	it.promoteAt = it.Arrived.Add(q.age())
	q.addToLevel(it)
	return nil
}

func (q *Queue) age() time.Duration {
	if q.Age > 0 {
		return q.Age
	}
	return DefaultAge
}

// addToLevel inserts the item into the flows of its level.
func (q *Queue) addToLevel(it *Item) {
	weight := 1.0
	if q.Weight != nil {
		if w := q.Weight(it.Account); w > 0 {
			weight = w
		}
	}
	account := q.levels[it.level].flow(it.Account, weight)
	caller := account.callers.flow(it.Caller, 1)
	caller.insert(it)
	caller.activate(it)
	account.activate(it)
	q.promotions.ReplaceOrInsert(it)
}

// removeFromLevel removes the item from the flows of its level.
func (q *Queue) removeFromLevel(it *Item) {
	if it.late {
		q.late.Delete(it)
	} else {
		q.promotions.Delete(it)
	}
	caller := it.flow
	caller.unlink(it)
	if caller.head != nil {
		return
	}
	account := caller.group.parent
	caller.deactivate()
	if account.callers.busy.Len() == 0 {
		account.deactivate()
	}
}

// Remove removes the item of canceled work. It reports whether the item was in
// the queue.
func (q *Queue) Remove(it *Item) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if it.queue != q {
		return false
	}
	q.remove(it)
	return true
}

func (q *Queue) remove(it *Item) {
	q.removeFromLevel(it)
	if !it.Deadline.IsZero() {
		q.deadlines.Delete(it)
	}
	it.queue = nil
	q.n--
	if it.Regions != nil {
		q.bound--
	}
	if q.counts[it.Account]--; q.counts[it.Account] == 0 {
		delete(q.counts, it.Account)
	}
}

// Expire removes and returns the items whose deadline has passed. Their work has
// not run, and the caller must reject it as not run.
func (q *Queue) Expire(now time.Time) []*Item {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	var expired []*Item
	for {
		it, ok := q.deadlines.Min()
		if !ok || it.Deadline.After(now) {
			return expired
		}
		q.remove(it)
		expired = append(expired, it)
	}
}

// promote moves items whose promotion is due to the next level, and items of the
// highest level to the late ones.
func (q *Queue) promote(now time.Time) {
	for {
		it, ok := q.promotions.Min()
		if !ok || it.promoteAt.After(now) {
			return
		}
		if it.level == MaxRank {
			q.promotions.Delete(it)
			q.late.ReplaceOrInsert(it)
			it.late = true
			continue
		}
		q.removeFromLevel(it)
		it.level++
		it.promoteAt = it.promoteAt.Add(q.age())
		q.addToLevel(it)
	}
}

// Next offers items in order and returns the number that were taken. An item
// for which take returns true is removed from the queue. After an item that does
// not fit, only cheaper items are offered, each at most once per call, and none
// once MaxPass items have overtaken it. Items whose deadline has passed are not
// offered; call Expire before Next to remove them.
// Next calls take with the queue locked, so take must not call the queue.
func (q *Queue) Next(now time.Time, take func(*Item) bool) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	q.promote(now)
	q.round++
	taken := 0
	w := walk{queue: q, now: now, take: take}
	for w.takeNext() {
		taken++
	}
	return taken
}

// Len returns the number of items.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.n
}

// Bound returns the number of items that may run in some regions only.
func (q *Queue) Bound() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.bound
}

// Count returns the number of items of the account.
func (q *Queue) Count(account string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.counts[account]
}

// Accounts returns the number of items of each account that has any.
func (q *Queue) Accounts() map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.counts)
}
