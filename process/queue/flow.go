package queue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/google/btree"
)

// maxIdle bounds the flows without work that a group remembers. Their tags are
// ahead of the virtual time, that is, they got more than their share.
const maxIdle = 1024

type (
	// group is a set of flows that share by weight: the accounts of a level, or
	// the callers of an account.
	group struct {
		parent  *flow // the account of a group of callers
		virtual float64
		weights float64 // sum over the busy flows
		flows   map[string]*flow
		busy    *btree.BTreeG[*flow]
	}

	// flow is the work of one account or caller in a level.
	flow struct {
		key        string
		group      *group
		weight     float64
		start      float64 // start tag
		arrived    time.Time
		seq        uint64 // with arrived, breaks ties of the tag by arrival
		active     bool
		callers    group // of an account
		head, tail *Item // of a caller
	}

	// walk is one pass over the queue in order, up to the first item taken.
	walk struct {
		queue   *Queue
		now     time.Time
		take    func(*Item) bool
		blocked []*Item // items of this pass that did not fit, in order
		least   float64 // lowest cost among them
		seen    int
		offers  int
		found   *Item
	}
)

// flow gives the flow with the key, made if needed.
func (g *group) flow(key string, weight float64) *flow {
	f := g.flows[key]
	if f == nil {
		if g.flows == nil {
			g.flows = make(map[string]*flow)
			g.busy = btree.NewG(treeDegree, func(a, b *flow) bool {
				return a.start < b.start || a.start == b.start && a.before(b)
			})
		}
		f = &flow{key: key, group: g, start: g.virtual}
		f.callers.parent = f
		g.flows[key] = f
	}
	if !f.active {
		f.weight = weight
	}
	return f
}

// before breaks ties by arrival. The values are copied from an item, since a
// key must not change while the flow is in the tree.
func (f *flow) before(other *flow) bool {
	if f.arrived.Equal(other.arrived) {
		return f.seq < other.seq
	}
	return f.arrived.Before(other.arrived)
}

// activate puts a flow that has got work among the busy ones. It gets nothing
// back for the time it had none.
func (f *flow) activate(it *Item) {
	if f.active {
		return
	}
	f.active = true
	f.arrived, f.seq = it.Arrived, it.seq
	f.start = max(f.start, f.group.virtual)
	f.group.weights += f.weight
	f.group.busy.ReplaceOrInsert(f)
}

// deactivate takes a flow without work from the busy ones. Its tag is kept only
// while others have work and the tag is ahead.
func (f *flow) deactivate() {
	g := f.group
	g.busy.Delete(f)
	f.active = false
	f.callers.flows, f.callers.busy = nil, nil
	f.callers.virtual, f.callers.weights = 0, 0
	g.weights -= f.weight
	if g.busy.Len() == 0 {
		g.weights, g.virtual = 0, 0
		clear(g.flows)
		return
	}
	if f.start <= g.virtual {
		delete(g.flows, f.key)
		return
	}
	if len(g.flows)-g.busy.Len() > maxIdle {
		g.forget()
	}
}

// forget drops the idle flows that lose nothing by it, and then the half that
// loses least.
func (g *group) forget() {
	idle := make([]*flow, 0, maxIdle+1)
	for key, f := range g.flows {
		switch {
		case f.active:
		case f.start <= g.virtual:
			delete(g.flows, key)
		default:
			idle = append(idle, f)
		}
	}
	if len(idle) <= maxIdle/2 {
		return
	}
	slices.SortFunc(idle, func(a, b *flow) int { return cmp.Compare(a.start, b.start) })
	for _, f := range idle[:len(idle)-maxIdle/2] {
		delete(g.flows, f.key)
	}
}

// charge moves the tag of a busy flow by work of the cost. The item next, if
// any, is the flow's next one.
func (f *flow) charge(cost float64, next *Item) {
	f.group.busy.Delete(f)
	f.start += cost / f.weight
	if next != nil {
		f.arrived, f.seq = next.Arrived, next.seq
	}
	f.group.busy.ReplaceOrInsert(f)
	if first, ok := f.group.busy.Min(); ok {
		f.group.virtual = max(f.group.virtual, first.start)
	}
}

// insert puts the item into the flow in order of arrival.
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

// run offers items in order until one is taken.
func (w *walk) run() bool {
	q := w.queue
	w.blocked, w.least, w.seen, w.found = w.blocked[:0], math.Inf(1), 0, nil
	more := true
	if late, ok := q.late.Min(); ok && q.turns >= LateTurn-1 {
		more = w.visit(late)
	}
	for level := MaxRank; level >= 0 && more; level-- {
		more = w.accounts(&q.levels[level])
	}
	if w.found == nil {
		return false
	}
	for _, it := range w.blocked {
		it.passed++
	}
	q.turns++
	if w.found.late {
		q.turns = 0
	}
	w.finish(w.found)
	return true
}

// finish charges the item to its flows and takes it out of the queue.
func (w *walk) finish(it *Item) {
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

func (w *walk) accounts(level *group) bool {
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

// visit offers the item if it may go next. It is false at the end of the pass.
func (w *walk) visit(it *Item) bool {
	if w.seen++; w.seen > maxWalk {
		return false
	}
	if !it.Deadline.IsZero() && !it.Deadline.After(w.now) {
		return true
	}
	if it.refused != w.queue.round && it.cost() < w.least {
		if w.offers > maxOffers {
			return false
		}
		if w.take(it) {
			w.found = it
			return false
		}
		w.offers++
		it.refused = w.queue.round
	}
	if it.refused == w.queue.round && !slices.Contains(w.blocked, it) {
		w.blocked = append(w.blocked, it)
		w.least = min(w.least, it.cost())
		return it.passed < MaxPass
	}
	return true
}
