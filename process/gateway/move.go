package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/process/placement"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
)

const (
	copyLimit = 1500 * time.Millisecond // for one copy; more than the shortest notice is useless
	registers = 8
)

type (
	// transfer is the last part of a move, after which the run goes on at another
	// engine.
	transfer struct {
		done   chan struct{}
		to     roster.Endpoint
		ticket placement.Ticket
		moved  Moved
		err    error
	}

	// registry holds the runs in work, by request.
	registry struct {
		shards [registers]struct {
			mu   sync.Mutex
			runs map[*run]struct{}
		}
	}
)

func (x *registry) add(r *run) {
	s := &x.shards[len(r.j.ID)%registers]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = map[*run]struct{}{}
	}
	s.runs[r] = struct{}{}
}

func (x *registry) remove(r *run) {
	s := &x.shards[len(r.j.ID)%registers]
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, r)
}

// at gives the runs at an engine, and those that have a copy there.
func (x *registry) at(endpoint string) (runs, copies []*run) {
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		for r := range s.runs {
			r.mu.Lock()
			switch {
			case r.ended:
			case r.endpoint.ID == endpoint:
				runs = append(runs, r)
			case r.backup != nil && r.backup.endpoint.ID == endpoint:
				copies = append(copies, r)
			}
			r.mu.Unlock()
		}
		s.mu.Unlock()
	}
	return runs, copies
}

// evacuate moves the runs of an engine that goes away, unless they have a copy
// at another engine. Transfers share the link of the engine, so they go one
// after the other, and those with the most to come first.
func (g *Gateway) evacuate(e roster.Endpoint, source string) {
	list, copies := g.runs.at(e.ID)
	g.Log.WithFields(logrus.Fields{"event": "endpoint_leaves", "endpoint": e.ID, "source": source, "runs": len(list), "copies": len(copies)}).
		Info("endpoint leaves")
	for _, r := range copies {
		r.mu.Lock()
		b, at := r.backup, r.endpoint
		r.mu.Unlock()
		if b != nil && b.endpoint.ID == e.ID {
			r.dropBackup(b)
		}
		if now, ok := g.Roster.Get(at.ID); ok && now.Leaving {
			list = append(list, r) // its engine has given notice before
		}
	}
	slices.SortFunc(list, func(a, b *run) int { return cmp.Compare(b.remaining(), a.remaining()) })
	for _, r := range list {
		if r.engine.Moves && !r.j.route.Repeatable() && !r.protected() {
			r.mu.Lock()
			at := r.endpoint
			r.mu.Unlock()
			g.transfer(r, at)
		}
	}
}

// remaining is the expected number of tokens still to come.
func (r *run) remaining() float64 {
	estimate := r.g.lengths.Predict(r.j.service, r.j.route.Name, r.j.Max)
	r.mu.Lock()
	defer r.mu.Unlock()
	return estimate.Mean(r.events * r.engine.Stride)
}

// transfer moves one run: most of its memory while it runs, then the rest.
func (g *Gateway) transfer(r *run, from roster.Endpoint) {
	begun := time.Now()
	to, ticket, ok := r.destination(from)
	if !ok {
		g.decided(r.j, "move_no_room", logrus.Fields{"endpoint": from.ID})
		return
	}
	ctx, cancel := context.WithTimeout(g.base, 2*copyLimit)
	defer cancel()
	m := Move{Run: r.j.ID, From: from, To: to}
	moved, err := g.Backend.Move(ctx, m)
	copied := time.Since(begun)
	if err != nil || moved.Failed {
		r.desk.done(ticket, 0, false)
		g.decided(r.j, "move_failed", logrus.Fields{"endpoint": from.ID, "to": to.ID, "detail": text(err), "took": copied.Milliseconds()})
		return
	}
	t := &transfer{done: make(chan struct{}), to: to, ticket: ticket}
	r.mu.Lock()
	if r.ended || r.endpoint.ID != from.ID {
		r.mu.Unlock()
		r.desk.done(ticket, 0, false)
		_ = g.Backend.Free(ctx, from, moved.Handle) // the copy lapses by itself otherwise
		return
	}
	r.move = t
	r.mu.Unlock()
	m.Last = true
	t.moved, t.err = g.Backend.Move(ctx, m)
	close(t.done)
	observe("move", time.Since(begun))
	g.decided(r.j, "moved", logrus.Fields{
		"endpoint": from.ID, "to": to.ID, "detail": text(t.err), "failed": t.moved.Failed, "events": t.moved.Events,
		"copied": copied.Milliseconds(), "took": time.Since(begun).Milliseconds(),
	})
}

// destination reserves room for a run whose engine goes away: where its memory
// is already, or else at the engine that the scheduler chooses.
func (r *run) destination(from roster.Endpoint) (roster.Endpoint, placement.Ticket, bool) {
	r.mu.Lock()
	done := r.events * r.engine.Stride
	r.mu.Unlock()
	d := r.desk.sched.PlaceCopy(placement.Copy{
		Account: r.j.route.Name, From: from.ID, Place: from.Place, Prompt: r.j.Prompt, Done: done, Max: r.j.Max, Urgent: true,
	}, time.Now())
	if d.Endpoint == "" {
		return roster.Endpoint{}, 0, false
	}
	e, ok := r.g.Roster.Get(d.Endpoint)
	if !ok {
		r.desk.done(d.Ticket, 0, false)
	}
	return e, d.Ticket, ok
}

// moved gives the attempt that goes on with a run that was moved, if it was.
func (r *run) moved(ctx context.Context) *attempt {
	r.mu.Lock()
	t := r.move
	r.mu.Unlock()
	if t == nil {
		return nil
	}
	timer := time.NewTimer(moveWait)
	defer timer.Stop()
	select {
	case <-t.done:
	case <-ctx.Done():
	case <-timer.C:
	}
	select {
	case <-t.done:
	default:
		r.g.decided(r.j, "move_unanswered", logrus.Fields{"to": t.to.ID})
		r.desk.done(t.ticket, 0, false)
		return nil
	}
	if t.err != nil || t.moved.Handle == "" {
		r.desk.done(t.ticket, 0, false)
		return nil
	}
	a := &attempt{endpoint: t.to, ticket: t.ticket, after: r.after(), from: r.g.Backend.Handle(r.endpoint, t.moved.Handle)}
	if t.moved.Failed {
		// The source stopped the run and kept its memory.
		r.desk.done(t.ticket, 0, false)
		a.endpoint, a.ticket = r.endpoint, r.ticket
	}
	return a
}

func (r *run) after() string {
	if r.last == "" {
		return firstEvent
	}
	return r.last
}

// copyTo chooses the engine that gets a copy of the run's memory while it runs.
// Runs that may be repeated need none.
func (r *run) copyTo(a *attempt) *replica {
	if !r.engine.Backups || r.j.route.Repeatable() {
		return nil
	}
	r.mu.Lock()
	done, old := r.events*r.engine.Stride, r.backup
	r.mu.Unlock()
	if old != nil {
		r.dropBackup(old)
	}
	d := r.desk.sched.PlaceCopy(placement.Copy{
		Account: r.j.route.Name, From: a.endpoint.ID, Place: a.endpoint.Place, Prompt: r.j.Prompt, Done: done, Max: r.j.Max, Near: true,
	}, time.Now())
	if d.Endpoint == "" {
		counters.Add("backups_no_room", 1)
		return nil
	}
	e, ok := r.g.Roster.Get(d.Endpoint)
	if !ok {
		r.desk.done(d.Ticket, 0, false)
		return nil
	}
	b := &replica{endpoint: e, ticket: d.Ticket}
	r.g.announce()
	r.mu.Lock()
	r.backup = b
	r.mu.Unlock()
	return b
}

// dropBackup gives up the room for a copy.
func (r *run) dropBackup(b *replica) {
	r.mu.Lock()
	present := r.backup == b
	if present {
		r.backup = nil
	}
	r.mu.Unlock()
	if present {
		r.desk.done(b.ticket, 0, false)
	}
}

// fromBackup gives the attempt that goes on from the copy of a run whose engine
// has failed, if there is one.
func (r *run) fromBackup() *attempt {
	r.mu.Lock()
	b := r.backup
	r.backup = nil
	r.mu.Unlock()
	if b == nil {
		return nil
	}
	return &attempt{endpoint: b.endpoint, ticket: b.ticket, after: r.after(), from: r.g.Backend.Handle(b.endpoint, r.j.ID)}
}

// protected tells whether the run can go on from a copy at an engine that stays.
func (r *run) protected() bool {
	r.mu.Lock()
	b := r.backup
	r.mu.Unlock()
	if b == nil {
		return false
	}
	e, ok := r.g.Roster.Get(b.endpoint.ID)
	return ok && !e.Leaving
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
