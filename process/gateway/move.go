package gateway

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/placement"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
)

const (
	copyLimit    = 2 * time.Second        // for one copy; the notice of an engine is seldom longer
	protectLimit = 4 * time.Second        // after which a run is not copied any more
	protectPause = 150 * time.Millisecond // between attempts to copy it
	freeLimit    = 300 * time.Millisecond // for giving up a copy
	firstRenewal = time.Second            // shortest interval at which a copy is renewed
	runShards    = 8
	noRoom       = "no room at the other engine"
)

type (
	// registry holds the runs in work, by request.
	registry struct {
		shards [runShards]struct {
			mu   sync.Mutex
			runs map[*run]struct{}
		}
	}
)

func (x *registry) add(r *run) {
	s := &x.shards[xxhash.Sum64String(r.j.ID)%runShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = map[*run]struct{}{}
	}
	s.runs[r] = struct{}{}
}

func (x *registry) remove(r *run) {
	s := &x.shards[xxhash.Sum64String(r.j.ID)%runShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, r)
}

// each calls visit for each run in work, with the run's lock held.
func (x *registry) each(visit func(r *run)) {
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		for r := range s.runs {
			r.mu.Lock()
			if !r.ended {
				visit(r)
			}
			r.mu.Unlock()
		}
		s.mu.Unlock()
	}
}

// at gives the runs at an engine, and those that have a copy there.
func (x *registry) at(endpoint string) (runs, copies []*run) {
	x.each(func(r *run) {
		switch {
		case r.endpoint.ID == endpoint:
			runs = append(runs, r)
		case r.backup != nil && r.backup.endpoint.ID == endpoint:
			copies = append(copies, r)
		}
	})
	return runs, copies
}

// engines gives the engines at which runs are in work.
func (x *registry) engines() []roster.Endpoint {
	found := map[string]roster.Endpoint{}
	x.each(func(r *run) {
		if r.endpoint.ID != "" {
			found[r.endpoint.ID] = r.endpoint
		}
	})
	return slices.Collect(maps.Values(found))
}

// evacuate protects the runs of an engine that goes away, unless they have a
// copy at another engine. The engine sends one copy after the other; those with
// the most to come are asked for first.
func (g *Gateway) evacuate(e roster.Endpoint, source string) {
	list, copies := g.runs.at(e.ID)
	g.Log.WithFields(logrus.Fields{"event": "endpoint_leaves", "endpoint": e.ID, "source": source, "runs": len(list), "copies": len(copies)}).
		Info("endpoint leaves")
	g.protectAll(append(list, g.forsake(copies, e.ID)...))
}

// forsake gives up the copies of runs at an engine. It gives those runs whose
// own engine has given notice before.
func (g *Gateway) forsake(copies []*run, endpoint string) (exposed []*run) {
	for _, r := range copies {
		r.mu.Lock()
		b, at := r.backup, r.endpoint
		r.mu.Unlock()
		if b != nil && b.endpoint.ID == endpoint {
			r.dropBackup(b)
		}
		if now, ok := g.Roster.Get(at.ID); !ok || now.Leaving {
			exposed = append(exposed, r)
		}
	}
	return exposed
}

// protectAll protects the runs that have no copy from which they can go on.
func (g *Gateway) protectAll(list []*run) {
	slices.SortFunc(list, func(a, b *run) int { return cmp.Compare(b.remaining(), a.remaining()) })
	for _, r := range list {
		if b := r.safe(); b != nil {
			g.spawn(func() { g.Backend.Warm(g.base, b.endpoint.Addr) })
			continue
		}
		if r.engine.Moves && !r.j.route.Repeatable() {
			r.mu.Lock()
			at := r.endpoint
			r.mu.Unlock()
			g.spawn(func() { g.protect(r, at) })
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

// protect copies the memory of a run whose engine goes away, and renews the copy
// for as long as the run is still there. The run goes on from the copy when its
// stream ends: what the copy lacks then is read again within a step or two,
// while stopping the run first would make it wait for the other transfers on
// the links. A run whose prompt is still being read cannot be copied yet, so a
// copy that fails is tried again until the run has left.
func (g *Gateway) protect(r *run, from roster.Endpoint) {
	if !r.copying.CompareAndSwap(false, true) {
		return // an earlier notice has begun it
	}
	defer r.copying.Store(false)
	begun := time.Now()
	until := begun.Add(protectLimit)
	for {
		to, ticket, ok := r.destination(from)
		pause := protectPause
		switch {
		case !ok:
			g.decided(r.j, "copy_no_room", logrus.Fields{"endpoint": from.ID})
		default:
			moved, err := g.copy(r, from, to)
			if err == nil && !moved.Failed {
				g.protected(r, from, to, ticket, moved, begun)
				return
			}
			r.desk.done(ticket, 0, false)
			detail := noRoom
			switch {
			case err != nil:
				detail = err.Error()
			case errors.Is(r.desk.ask(to), ErrUnreachable):
				r.desk.suspect(to.ID)
				detail, pause = ErrUnreachable.Error(), 0
			}
			g.decided(r.j, "copy_failed", logrus.Fields{
				"endpoint": from.ID, "to": to.ID, "detail": detail, "took": time.Since(begun).Milliseconds(),
			})
			if detail == noRoom {
				return // memory is short; asking further engines would make it shorter
			}
		}
		if time.Now().After(until) || !sleep.For(g.base, pause) || !r.at(from) || r.safe() != nil {
			return
		}
	}
}

// at tells whether the run is in work at an engine.
func (r *run) at(e roster.Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ended && r.endpoint.ID == e.ID
}

// protected makes a finished copy that of its run.
func (g *Gateway) protected(r *run, from, to roster.Endpoint, ticket placement.Ticket, moved Moved, begun time.Time) {
	b := &replica{endpoint: to, ticket: ticket, from: g.Backend.Handle(from, moved.Handle)}
	r.mu.Lock()
	wanted := !r.ended && r.endpoint.ID == from.ID && r.backup == nil
	if wanted {
		r.backup = b
	}
	r.mu.Unlock()
	if !wanted {
		// The copy lapses by itself. Freeing it would free that of another move of
		// this run as well.
		r.desk.done(ticket, 0, false)
		return
	}
	observe(copyTime, time.Since(begun))
	g.decided(r.j, "copied", logrus.Fields{
		"endpoint": from.ID, "to": to.ID, "events": moved.Events, "took": time.Since(begun).Milliseconds(),
	})
	g.Backend.Warm(g.base, to.Addr)
	g.spawn(func() { g.renew(r, b, from, moved.Handle) })
}

// renew keeps a copy until the run has left its engine, and then frees it if it
// was not used.
func (g *Gateway) renew(r *run, b *replica, from roster.Endpoint, handle string) {
	for sleep.For(g.base, max(r.engine.Keep/2, firstRenewal)) {
		r.mu.Lock()
		used := r.backup != b
		ended := r.ended
		r.mu.Unlock()
		if ended {
			g.free(from, handle)
		}
		if used || ended {
			return
		}
		if moved, err := g.copy(r, from, b.endpoint); err != nil || moved.Failed {
			g.decided(r.j, "copy_lapsed", logrus.Fields{"endpoint": from.ID, "to": b.endpoint.ID, "detail": text(err)})
			return // the engine may have gone; its stream tells
		}
	}
}

func (g *Gateway) copy(r *run, from, to roster.Endpoint) (Moved, error) {
	ctx, cancel := context.WithTimeout(g.base, copyLimit)
	defer cancel()
	return g.Backend.Move(ctx, Move{Run: r.j.ID, From: from, To: to})
}

// free gives up a copy that is not needed. It lapses by itself otherwise.
func (g *Gateway) free(from roster.Endpoint, handle string) {
	ctx, cancel := context.WithTimeout(g.base, freeLimit)
	defer cancel()
	if err := g.Backend.Free(ctx, from, handle); err != nil {
		g.Log.WithError(err).WithFields(logrus.Fields{"event": "copy_not_freed", "endpoint": from.ID}).Debug("copy lapses by itself")
	}
}

// destination reserves room for a run whose engine goes away.
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
	b := &replica{endpoint: e, ticket: d.Ticket, from: r.g.Backend.Handle(e, r.j.ID)}
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
	return &attempt{endpoint: b.endpoint, ticket: b.ticket, after: r.after(), from: b.from}
}

// safe gives the copy from which the run can go on, if its engine stays.
func (r *run) safe() *replica {
	r.mu.Lock()
	b := r.backup
	r.mu.Unlock()
	if b == nil {
		return nil
	}
	if e, ok := r.g.Roster.Get(b.endpoint.ID); !ok || e.Leaving || r.desk.isDown(e.ID) {
		return nil
	}
	return b
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
