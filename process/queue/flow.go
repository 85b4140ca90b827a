package queue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/google/btree"
)

// maxIdle bounds the flows without work that a group keeps. Their tags are ahead
// of the virtual time, that is, they have received more than their share.
const maxIdle = 1024

type (
	// group is a set of flows that share by weight: the accounts of a level, or
	// the callers of an account.
	group struct {
		parent      *flow   // the account of a group of callers
		virtualTime float64 // lowest start tag of the busy flows; does not go back while any is busy
		weightSum   float64 // sum over the busy flows
		flows       map[string]*flow
		busy        *btree.BTreeG[*flow]
	}

	// flow holds the work of one account or caller in a level.
	flow struct {
		key        string
		group      *group
		weight     float64
		startTag   float64 // start tag in virtual time
		arrived    time.Time
		seq        uint64 // with arrived, orders flows with equal tags by arrival
		active     bool
		callers    group // for an account: its callers
		head, tail *Item // for a caller: its items
	}

	// walk is the state of one Next. Each pass over the queue goes up to the first
	// item that is taken.
	walk struct {
		queue     *Queue
		now       time.Time
		take      func(*Item) bool
		blocked   []*Item // items of this pass that did not fit, in order
		leastCost float64 // lowest cost among those of them that may run in all regions
		visited   int
		offers    int
		found     *Item
	}
)

// flow returns the flow with the key and creates it if needed.
func (g *group) flow(key string, weight float64) *flow {
	f := g.flows[key]
	if f == nil {
		if g.flows == nil {
			g.flows = make(map[string]*flow)
			g.busy = btree.NewG(treeDegree, func(a, b *flow) bool {
				return a.startTag < b.startTag || a.startTag == b.startTag && a.before(b)
			})
		}
		f = &flow{key: key, group: g, startTag: g.virtualTime}
		f.callers.parent = f
		g.flows[key] = f
	}
	if !f.active {
		f.weight = weight
	}
	return f
}

// before orders flows with equal tags by arrival. The flow holds copies of an
// item's values, since its sort key must not change while it is in the tree.
func (f *flow) before(other *flow) bool {
	if f.arrived.Equal(other.arrived) {
		return f.seq < other.seq
	}
	return f.arrived.Before(other.arrived)
}

// activate adds a flow that has received work to the busy flows. The flow gets
// no credit for the time in which it had no work.
func (f *flow) activate(it *Item) {
	if f.active {
		return
	}
	f.active = true
	f.arrived, f.seq = it.Arrived, it.seq
	f.startTag = max(f.startTag, f.group.virtualTime)
	f.group.weightSum += f.weight
	f.group.busy.ReplaceOrInsert(f)
}

// deactivate removes a flow without work from the busy flows. The flow and its
// tag are kept only while other flows are busy and the tag is ahead of the
// virtual time.
func (f *flow) deactivate() {
	g := f.group
	g.busy.Delete(f)
	f.active = false
	f.callers.flows, f.callers.busy = nil, nil
	f.callers.virtualTime, f.callers.weightSum = 0, 0
	g.weightSum -= f.weight
	if g.busy.Len() == 0 {
		g.weightSum, g.virtualTime = 0, 0
		clear(g.flows)
		return
	}
	if f.startTag <= g.virtualTime {
		delete(g.flows, f.key)
		return
	}
	if len(g.flows)-g.busy.Len() > maxIdle {
		g.evictIdle()
	}
}

// evictIdle removes the idle flows whose tag is no longer ahead of the virtual
// time, for which this changes nothing. If more than maxIdle/2 remain, it also
// removes those with the lowest tags, whose order changes least.
func (g *group) evictIdle() {
	idle := make([]*flow, 0, maxIdle+1)
	for key, f := range g.flows {
		switch {
		case f.active:
		case f.startTag <= g.virtualTime:
			delete(g.flows, key)
		default:
			idle = append(idle, f)
		}
	}
	if len(idle) <= maxIdle/2 {
		return
	}
	slices.SortFunc(idle, func(a, b *flow) int { return cmp.Compare(a.startTag, b.startTag) })
	for _, f := range idle[:len(idle)-maxIdle/2] {
		delete(g.flows, f.key)
	}
}

// charge advances the tag of a busy flow by the cost over the flow's weight. next
// is the flow's next item, or nil if there is none.
func (f *flow) charge(cost float64, next *Item) {
	f.group.busy.Delete(f)
	f.startTag += cost / f.weight
	if next != nil {
		f.arrived, f.seq = next.Arrived, next.seq
	}
	f.group.busy.ReplaceOrInsert(f)
	if first, ok := f.group.busy.Min(); ok {
		f.group.virtualTime = max(f.group.virtualTime, first.startTag)
	}
}

// insert inserts the item into the flow in order of arrival.
func (f *flow) insert(it *Item) {
	after := f.tail
	for after != nil && (it.Arrived.Before(after.Arrived) || it.Arrived.Equal(after.Arrived) && it.seq < after.seq) {
		after = after.prev
	}
	it.flow, it.prev = f, after
	if after == nil {
		it.next, f.head = f.head, it
	} else {
		it.next, after.next = after.next, it
	}
	if it.next == nil {
		f.tail = it
	} else {
		it.next.prev = it
	}
}

func (f *flow) unlink(it *Item) {
	if it.prev == nil {
		f.head = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		f.tail = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.flow, it.prev, it.next = nil, nil, nil
}

// takeNext offers items in order until one is taken, and reports whether one was.
func (w *walk) takeNext() bool {
	q := w.queue
	w.blocked, w.leastCost, w.visited, w.found = w.blocked[:0], math.Inf(1), 0, nil
	more := true
	if late, ok := q.late.Min(); ok && q.sinceLate >= LatePeriod-1 {
		more = w.visit(late)
	}
	for level := MaxRank; level >= 0 && more; level-- {
		more = w.visitLevel(&q.levels[level])
	}
	if w.found == nil {
		return false
	}
	for _, it := range w.blocked {
		if it.holdsBack(w.found) {
			it.passed++
		}
	}
	q.sinceLate++
	if w.found.late {
		q.sinceLate = 0
	}
	w.dequeue(w.found)
	return true
}

// dequeue charges the item to its flows and removes it from the queue.
func (w *walk) dequeue(it *Item) {
	caller := it.flow
	account := caller.group.parent
	next := caller.head
	if next == it {
		next = it.next
	}
	caller.charge(it.cost(), next)
	if first, ok := account.callers.busy.Min(); ok {
		next = first.head
	}
	if next == it {
		next = it.next
	}
	account.charge(it.cost(), next)
	w.queue.remove(it)
}

// visitLevel visits the items of a level in order and reports whether the walk
// goes on.
func (w *walk) visitLevel(level *group) bool {
	if level.busy == nil {
		return true
	}
	more := true
	level.busy.Ascend(func(account *flow) bool {
		account.callers.busy.Ascend(func(caller *flow) bool {
			for it := caller.head; it != nil && more; it = it.next {
				more = w.visit(it)
			}
			return more
		})
		return more
	})
	return more
}

// visit offers the item if it is allowed to go next, and reports whether the
// walk goes on.
func (w *walk) visit(it *Item) bool {
	if w.visited++; w.visited > maxWalk {
		return false
	}
	if !it.Deadline.IsZero() && !it.Deadline.After(w.now) {
		return true
	}
	if it.refusedRound != w.queue.round && it.cost() < w.bound(it) {
		if w.offers > maxOffers {
			return false
		}
		if w.take(it) {
			w.found = it
			return false
		}
		w.offers++
		it.refusedRound = w.queue.round
	}
	if it.refusedRound == w.queue.round && !slices.Contains(w.blocked, it) {
		w.blocked = append(w.blocked, it)
		if it.Regions != nil {
			return true
		}
		w.leastCost = min(w.leastCost, it.cost())
		return it.passed < MaxPass
	}
	return true
}

// holdsBack reports whether an item that does not fit may be overtaken by another one only
// as Queue describes: if it could take the place of the other one wherever that may run.
func (it *Item) holdsBack(other *Item) bool { return it.Regions.Covers(other.Regions) }

// bound returns the cost below which an item may overtake those that did not fit.
func (w *walk) bound(it *Item) float64 {
	least := w.leastCost
	for _, b := range w.blocked {
		switch {
		case b.Regions == nil || !b.holdsBack(it): // the former are in leastCost
		case b.passed >= MaxPass:
			return 0
		default:
			least = min(least, b.cost())
		}
	}
	return least
}
