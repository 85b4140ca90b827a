package member_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/eelgrassdock/eelgrassdock/process/member"
)

type (
	// world simulates many nodes with a manual clock. All randomness comes from
	// one seed, so a run is reproducible.
	world struct {
		now     time.Time
		random  *rand.Rand
		nodes   []*host
		byAddr  map[string]*host
		queue   events
		order   int
		loss    float64
		cut     func(from, to *host) bool
		latency func(from, to *host) time.Duration
	}

	host struct {
		*member.Node
		i    int
		down bool      // killed
		wake time.Time // end of a pause
		held []func()  // datagrams that arrived in the pause
	}

	event struct {
		at    time.Time
		order int
		run   func()
	}

	events []event
)

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newWorld(n int, seed uint64) *world {
	w := &world{now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), byAddr: map[string]*host{}}
	w.latency = func(from, to *host) time.Duration {
		if from.i%3 == to.i%3 {
			return time.Millisecond
		}
		return 40 * time.Millisecond
	}
	for i := range n {
		w.add(fmt.Sprintf("entry-%04d", i), addr(i))
	}
	for _, h := range w.nodes {
		h.SetSeeds(w.list())
	}
	return w
}

func addr(i int) string { return fmt.Sprintf("10.0.%d.%d:7946", i/200, i%200+1) }

func (w *world) list() []member.Member {
	var list []member.Member
	for _, h := range w.nodes {
		list = append(list, h.Self)
	}
	return list
}

func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{w.now.Add(d), w.order, run})
}

func (w *world) add(id, at string) *host {
	h := &host{i: len(w.nodes), Node: &member.Node{
		Self: member.Member{ID: id, Probe: at, Addr: at, RPC: at, Place: "place-1", Region: "region-1"},
		Now:  func() time.Time { return w.now }, Seed: w.random.Uint64() | 1,
	}}
	h.Send = func(to string, data []byte) error {
		peer := w.byAddr[to]
		if peer == nil || w.random.Float64() < w.loss || w.cut != nil && w.cut(h, peer) {
			return nil
		}
		w.after(w.latency(h, peer), func() { w.arrive(peer, data, at) })
		return nil
	}
	w.nodes = append(w.nodes, h)
	w.byAddr[at] = h
	w.after(time.Duration(w.random.Int64N(int64(member.Tick))), func() { w.step(h) })
	return h
}

func (w *world) step(h *host) {
	switch {
	case h.down:
		return
	case w.now.Before(h.wake):
		w.after(h.wake.Sub(w.now), func() { w.step(h) })
		return
	}
	h.Step(w.now) // before it reads datagrams from the socket's buffer
	held := h.held
	h.held = nil
	for _, run := range held {
		run()
	}
	w.after(member.Tick, func() { w.step(h) })
}

func (w *world) arrive(h *host, data []byte, from string) {
	switch {
	case h.down:
	case w.now.Before(h.wake):
		h.held = append(h.held, func() { h.Receive(data, from) })
	default:
		h.Receive(data, from)
	}
}

func (w *world) run(d time.Duration) {
	till := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(till) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = till
}

// until runs until done returns true. It returns the time that took, or -1 if
// that exceeds the limit.
func (w *world) until(limit time.Duration, done func() bool) time.Duration {
	start := w.now
	for w.now.Sub(start) < limit {
		if done() {
			return w.now.Sub(start)
		}
		w.run(member.Tick)
	}
	return -1
}

// agree reports whether every running node has as many members as there are
// running nodes.
func (w *world) agree() bool {
	var up int
	for _, h := range w.nodes {
		if !h.down {
			up++
		}
	}
	for _, h := range w.nodes {
		if !h.down && len(h.Members()) != up {
			return false
		}
	}
	return true
}
