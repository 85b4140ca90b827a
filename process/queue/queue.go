// Package queue holds work that waits for an endpoint and gives it out in a
// fair order.
//
// Work is kept in levels, one per rank, and a higher level goes first. Waiting
// raises an item by one level per Age, up to the highest, so that a low rank
// still makes progress. Inside a level, accounts share by weight and, inside an
// account, callers share equally: each has a start tag that grows with the cost
// of the work it got, and the lowest tag goes first (start-time fair queueing;
// Goyal, Vin, Cheng 1996). Items of one caller go in order of arrival.
//
// An account or caller that had no work starts at the lowest tag of the others,
// so that it gets its turn at once and nothing back for the past. An endless row
// of new callers could so stay ahead of an old one; therefore every LateTurn-th
// item is the one that has waited longest among those that waiting has raised
// past the highest level. Each item is thus reached after a bounded number of
// others.
//
// An item that does not fit may be passed by cheaper ones, but at most MaxPass
// times; then everything behind it waits.
package queue

import (
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/btree"
)

// Defaults and bounds.
const (
	DefaultMax = 10_000          // items
	DefaultAge = 5 * time.Second // waiting time that counts as much as one rank

	// MaxRank is the highest rank; ranks outside of 0 to MaxRank are clamped.
	MaxRank = 9
	// MaxPass is the number of cheaper items that may pass one that does not fit.
	MaxPass = 16
	// LateTurn is the number of items given out for each late one.
	LateTurn = 16

	// maxOffers bounds the items that one walk offers in vain, and maxWalk those
	// it looks at, so that Next stays short when nothing fits.
	maxOffers = 32
	maxWalk   = 256

	treeDegree = 16
)

// ErrFull rejects work because the queue is at its limit.
var ErrFull = errors.New("queue full")

type (
	// Item is a piece of waiting work. An item is in at most one queue, and its
	// exported fields do not change while it is there.
	Item struct {
		Account  string
		Caller   string
		Rank     int
		Arrived  time.Time
		Deadline time.Time // zero: none
		Cost     float64   // share of the service that the work uses; 0 counts as 1
		Value    any

		queue      *Queue
		seq        uint64
		level      int
		promote    time.Time // when waiting raises the level
		flow       *flow     // the caller's flow
		prev, next *Item     // in the flow
		late       bool      // in the tree of late items
		refused    uint64    // the last Next in which it did not fit
		passed     int
	}

	// Queue holds the waiting work of one service. The zero value is ready.
	// Fields are set before use; the methods may be called by any number of
	// goroutines.
	Queue struct {
		Max int           // items; 0 means DefaultMax
		Age time.Duration // 0 means DefaultAge
		// Weight gives the weight of an account; nil or a weight that is not
		// positive means 1.
		Weight func(account string) float64

		mu        sync.Mutex
		seq       uint64
		round     uint64
		n         int
		levels    [MaxRank + 1]group // of accounts
		counts    map[string]int
		deadlines *btree.BTreeG[*Item]
		promotes  *btree.BTreeG[*Item]
		late      *btree.BTreeG[*Item]
		turns     int // items given out since the last late one
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
		return a.promote.Before(b.promote) || a.promote.Equal(b.promote) && a.seq < b.seq
	}
	q.promotes = btree.NewG(treeDegree, byPromote)
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
	it.queue, it.seq, it.passed, it.refused = q, q.seq, 0, 0
	it.level, it.late = min(max(it.Rank, 0), MaxRank), false
	q.n++
	q.counts[it.Account]++
	if !it.Deadline.IsZero() {
		q.deadlines.ReplaceOrInsert(it)
	}
	it.promote = it.Arrived.Add(q.age())
	q.enter(it)
	return nil
}

func (q *Queue) age() time.Duration {
	if q.Age > 0 {
		return q.Age
	}
	return DefaultAge
}

// enter puts the item into its level.
func (q *Queue) enter(it *Item) {
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
	q.promotes.ReplaceOrInsert(it)
}

// leave takes the item out of its level.
func (q *Queue) leave(it *Item) {
	if it.late {
		q.late.Delete(it)
	} else {
		q.promotes.Delete(it)
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

// Remove takes the item out, for work that was canceled. It is false if the
// item is not in the queue.
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
	q.leave(it)
	if !it.Deadline.IsZero() {
		q.deadlines.Delete(it)
	}
	it.queue = nil
	q.n--
	if q.counts[it.Account]--; q.counts[it.Account] == 0 {
		delete(q.counts, it.Account)
	}
}

// Expire takes out the work whose deadline has passed. It has not run and is to
// be rejected as such.
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

// raise moves the items that have waited long enough to the next level, or to
// the late ones if there is none.
func (q *Queue) raise(now time.Time) {
	for {
		it, ok := q.promotes.Min()
		if !ok || it.promote.After(now) {
			return
		}
		if it.level == MaxRank {
			q.promotes.Delete(it)
			q.late.ReplaceOrInsert(it)
			it.late = true
			continue
		}
		q.leave(it)
		it.level++
		it.promote = it.promote.Add(q.age())
		q.enter(it)
	}
}

// Next offers items in order and gives the number that were taken. An item for
// which take returns true leaves the queue. After an item that does not fit
// only cheaper ones are offered, each at most once per call, and none once
// MaxPass items have passed it. Work whose deadline has passed is not offered;
// call Expire before Next to take it out.
// Take is called under the queue's lock and must not call the queue.
func (q *Queue) Next(now time.Time, take func(*Item) bool) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	q.raise(now)
	q.round++
	taken := 0
	w := walk{queue: q, now: now, take: take}
	for w.run() {
		taken++
	}
	return taken
}

// Len gives the number of items.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.n
}

// Count gives the number of items of the account.
func (q *Queue) Count(account string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.counts[account]
}

// Accounts gives the number of items of each account that has any.
func (q *Queue) Accounts() map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.counts)
}
