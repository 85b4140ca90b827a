package admission

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/eelgrassdock/eelgrassdock/process/placement"
)

func (r *rig) addEngine() {
	r.engines = append(r.engines, &rigEngine{id: fmt.Sprint("e", r.started)})
	r.started++
}

func (r *rig) listEngines() {
	var list []placement.Endpoint
	for _, e := range r.engines {
		if !e.gone {
			list = append(list, placement.Endpoint{ID: e.id, Place: "p", Region: "r", Tokens: rigMemory, Drain: e.leaving, Slots: rigSlots})
		}
	}
	for _, n := range r.instances {
		n.sched.SetEndpoints(list)
	}
}

func (r *rig) after(d time.Duration, run func()) {
	r.timers = append(r.timers, rigTimer{r.now + d, run})
}

// wave gives some engines a notice.
func (r *rig) wave() {
	r.after(rigTurn, r.wave)
	usable := slices.DeleteFunc(slices.Clone(r.engines), func(e *rigEngine) bool { return e.leaving })
	r.random.Shuffle(len(usable), func(i, k int) { usable[i], usable[k] = usable[k], usable[i] })
	for _, e := range usable[:min(r.leaving, len(usable))] {
		e.leaving = true
		copies := map[*rigRequest]placement.Decision{}
		r.after(100*time.Millisecond, func() {
			for _, q := range slices.Concat(e.running, e.waiting) {
				copies[q] = q.in.sched.PlaceCopy(placement.Copy{
					Account: q.kind.name, From: e.id, Place: "p", Prompt: q.prompt, Done: q.done, Max: int(4 * q.kind.tokens), Urgent: true,
				}, r.clock())
			}
		})
		r.after(rigLeave, func() { r.terminate(e, copies) })
		r.after(rigLeave+rigStart, func() {
			r.addEngine()
			r.listEngines()
		})
	}
	r.listEngines()
}

// terminate ends an engine. Its generations go on from their copies, or run again.
func (r *rig) terminate(e *rigEngine, copies map[*rigRequest]placement.Decision) {
	e.gone = true
	list := slices.Concat(e.running, e.waiting)
	e.running, e.waiting = nil, nil
	for _, q := range list {
		q.in.sched.Done(q.ticket, q.done, false, r.clock())
		d := copies[q]
		delete(copies, q)
		i := slices.IndexFunc(r.engines, func(to *rigEngine) bool { return to.id == d.Endpoint })
		switch {
		case i >= 0 && !r.engines[i].leaving && q.done > 0:
			q.in.sched.Adopt(d.Ticket)
			q.ticket, q.engine, q.fill = d.Ticket, r.engines[i], 1
			r.engines[i].enqueue(r, q)
			continue
		case d.Endpoint != "":
			q.in.sched.Done(d.Ticket, 0, false, r.clock())
		}
		q.again = true
		r.acquire(q)
	}
	for _, q := range r.all { // in a fixed order, as the sums of floating point numbers depend on it
		if d := copies[q]; d.Endpoint != "" {
			q.in.sched.Done(d.Ticket, 0, false, r.clock())
		}
	}
	r.listEngines()
}

// capacity returns the requests per second that one engine completes if it always has more
// work than it can hold.
func (r *rig) capacity() float64 {
	e := &rigEngine{id: "c"}
	done := 0
	const warm, end = 30 * time.Second, 150 * time.Second
	for r.now = 0; r.now < end; {
		for len(e.waiting) < 2 {
			q := r.draw()
			q.kind = &rigKind{rank: 0}
			q.fill = q.prompt
			e.enqueue(r, q)
		}
		took, ended := e.step(r)
		r.now += took
		if r.now > warm {
			done += len(ended)
		}
	}
	r.now = 0
	return float64(done) / (end - warm).Seconds()
}

func (e *rigEngine) used() (n int) {
	for _, q := range e.running {
		n += q.prompt + q.done
	}
	return n
}

func (e *rigEngine) enqueue(r *rig, q *rigRequest) {
	r.order++
	q.order = r.order
	e.waiting = append(e.waiting, q)
	slices.SortStableFunc(e.waiting, func(a, b *rigRequest) int {
		if r.fifo {
			return cmp.Compare(a.order, b.order)
		}
		return cmp.Or(cmp.Compare(a.kind.rank, b.kind.rank), cmp.Compare(a.order, b.order))
	})
}

// step runs one step of the engine and returns its time and the generations that ended.
func (e *rigEngine) step(r *rig) (took time.Duration, ended []*rigRequest) {
	used := e.used()
	for len(e.waiting) > 0 && len(e.running) < rigSlots {
		q := e.waiting[0]
		if used+q.prompt+q.done+rigStride > rigMemory {
			break
		}
		used += q.prompt + q.done
		e.waiting = e.waiting[1:]
		e.running = append(e.running, q)
	}
	if len(e.running) == 0 {
		return 0, nil
	}
	chunk := rigChunk
	var produced []*rigRequest
	for _, q := range e.running {
		n := min(q.fill, chunk)
		q.fill -= n
		chunk -= n
		if q.fill == 0 {
			produced = append(produced, q)
		}
	}
	ms := rigStep + rigPerRun*float64(len(e.running)) + float64(rigChunk-chunk)/rigPrefill
	took = time.Duration(ms * float64(time.Millisecond))
	for _, q := range produced {
		if q.preempted {
			continue
		}
		for used+1 > rigMemory {
			victim := e.victim()
			used -= victim.prompt + victim.done
			e.running = slices.DeleteFunc(e.running, func(o *rigRequest) bool { return o == victim })
			victim.fill, victim.preempted = victim.prompt+victim.done, true
			e.preempted++
			e.enqueue(r, victim)
			if victim == q {
				break
			}
		}
		if q.preempted {
			continue
		}
		q.done++
		used++
		if q.done%rigStride == 0 || q.done >= q.tokens {
			q.event(r.now + took)
		}
		if q.done >= q.tokens {
			used -= q.prompt + q.done
			ended = append(ended, q)
		}
	}
	for _, q := range e.waiting {
		q.preempted = false
	}
	e.running = slices.DeleteFunc(e.running, func(q *rigRequest) bool { return q.done >= q.tokens })
	return took, ended
}

// victim returns the newest of the least urgent running generations.
func (e *rigEngine) victim() *rigRequest {
	return slices.MaxFunc(e.running, func(a, b *rigRequest) int {
		return cmp.Or(cmp.Compare(a.kind.rank, b.kind.rank), cmp.Compare(a.order, b.order))
	})
}

func (q *rigRequest) event(now time.Duration) {
	if q.first == 0 {
		q.first = now
	} else {
		q.gap = max(q.gap, now-q.last)
	}
	q.last = now
}
