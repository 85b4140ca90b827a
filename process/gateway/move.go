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
	copyLimit    = 2 * time.Second        // for one copy; engines seldom give a longer notice
	protectLimit = 4 * time.Second        // time after a notice until which copying a run is retried
	protectPause = 150 * time.Millisecond // pause between attempts to copy a run
	freeLimit    = 300 * time.Millisecond // for releasing a copy
	minRenewal   = time.Second            // shortest interval between renewals of a copy
	runShards    = 8
	noRoom       = "no room at the other engine"
)

type (
	// runRegistry holds the active runs, sharded by request ID.
	runRegistry struct {
		shards [runShards]struct {
			mu   sync.Mutex
			runs map[*run]struct{}
		}
	}
)

func (x *runRegistry) add(r *run) {
	s := &x.shards[xxhash.Sum64String(r.j.ID)%runShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = map[*run]struct{}{}
	}
	s.runs[r] = struct{}{}
}

func (x *runRegistry) remove(r *run) {
	s := &x.shards[xxhash.Sum64String(r.j.ID)%runShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, r)
}

// each calls visit for each active run, with the run's lock held.
func (x *runRegistry) each(visit func(r *run)) {
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

// runsAt returns the runs at an engine, and the runs that have a copy there.
func (x *runRegistry) runsAt(endpoint string) (runs, copies []*run) {
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

// engines returns the engines that execute runs.
func (x *runRegistry) engines() []roster.Endpoint {
	found := map[string]roster.Endpoint{}
	x.each(func(r *run) {
		if r.endpoint.ID != "" {
			found[r.endpoint.ID] = r.endpoint
		}
	})
	return slices.Collect(maps.Values(found))
}

// evacuate copies the runs of an engine that will leave, unless they have a
// usable copy at another engine. It also drops the copies held at the engine,
// and replaces those of runs whose own engine is leaving or gone. An engine
// transfers one copy at a time, so copies of the runs with the most remaining
// tokens are requested first.
func (g *Gateway) evacuate(e roster.Endpoint, source string) {
	list, copies := g.runs.runsAt(e.ID)
	g.Log.WithFields(logrus.Fields{"event": "endpoint_leaves", "endpoint": e.ID, "source": source, "runs": len(list), "copies": len(copies)}).
		Info("endpoint leaves")
	g.protectAll(append(list, g.dropCopiesAt(copies, e.ID)...))
}

// dropCopiesAt releases the copies of runs at an engine. It returns the runs
// whose own engine is leaving or gone, and starts new copies of the others.
func (g *Gateway) dropCopiesAt(copies []*run, endpoint string) (exposed []*run) {
	for _, r := range copies {
		r.mu.Lock()
		b, at := r.backup, r.endpoint
		r.mu.Unlock()
		if b != nil && b.endpoint.ID == endpoint {
			r.dropBackup(b)
		}
		if r.leaves(at) {
			exposed = append(exposed, r)
		} else {
			r.copyEarly()
		}
	}
	return exposed
}

// protectAll copies the runs that have no usable copy, as far as their engines
// support it and their routes do not allow a repetition. It renews the usable
// copies, so that little is missing in them when the engine ends.
func (g *Gateway) protectAll(list []*run) {
	slices.SortFunc(list, func(a, b *run) int { return cmp.Compare(b.remaining(), a.remaining()) })
	for _, r := range list {
		if b := r.usableCopy(); b != nil {
			g.spawn(func() {
				g.Backend.Warm(g.base, b.endpoint.Addr)
				g.refreshCopy(r, b)
			})
			continue
		}
		r.startCopy()
	}
}

// copyEarly starts copying the memory of a run that has begun to answer, so that
// the run can continue if its engine ends without notice.
func (r *run) copyEarly() {
	if r.engine.Backups {
		r.startCopy()
	}
}

// startCopy starts copying the memory of a run, unless its engine does not
// support it or its route allows a repetition.
func (r *run) startCopy() {
	if !r.engine.Moves || r.j.route.Repeatable() {
		return
	}
	r.mu.Lock()
	at := r.endpoint
	r.mu.Unlock()
	r.g.spawn(func() { r.g.protect(r, at) })
}

// remaining returns the expected number of tokens that are still to be
// produced.
func (r *run) remaining() float64 {
	estimate := r.g.lengths.Predict(r.j.service, r.j.route.Name, r.j.Max)
	r.mu.Lock()
	defer r.mu.Unlock()
	return estimate.Mean(r.events * r.engine.Stride)
}

// protect copies the memory of a run and has the copy renewed while the run is
// still at that engine. When its stream ends, the run continues from the copy:
// the tokens missing in the copy are processed again within one or two steps of
// the engine. Stopping the run before it is copied would make it idle while its
// engine transfers the copies of other runs, one at a time.
func (g *Gateway) protect(r *run, from roster.Endpoint) {
	for r.copying.CompareAndSwap(false, true) {
		urgent := r.leaves(from)
		g.copyRun(r, from, urgent)
		r.copying.Store(false)
		// A notice during the copy found the run busy.
		if urgent || !r.leaves(from) || !r.isAt(from) || r.usableCopy() != nil {
			return
		}
	}
}

// copyRun tries to copy the memory of a run. A run whose prompt is still being
// processed cannot be copied yet, so a failed copy is retried until the run has
// left the engine or protectLimit has passed. It is not retried if the other
// engine has no room. An urgent copy, of a run whose engine will leave, is also
// retried if no engine is suitable.
func (g *Gateway) copyRun(r *run, from roster.Endpoint, urgent bool) {
	begun := time.Now()
	until := begun.Add(protectLimit)
	for {
		to, ticket, ok := r.reserveDestination(from, urgent)
		pause := protectPause
		switch {
		case !ok && !urgent:
			counters.Add("copies_no_room", 1)
			return
		case !ok:
			g.logDecision(r.j, "copy_no_room", logrus.Fields{"endpoint": from.ID})
		default:
			moved, err := g.copyMemory(r, from, to)
			if err == nil && !moved.Failed {
				g.keepCopy(r, from, to, ticket, moved, begun)
				return
			}
			r.enginePool.release(ticket, 0, false)
			detail := noRoom
			switch {
			case err != nil:
				detail = err.Error()
			case errors.Is(r.enginePool.probe(to), ErrUnreachable):
				r.enginePool.suspect(to.ID)
				detail, pause = ErrUnreachable.Error(), 0
			}
			g.logDecision(r.j, "copy_failed", logrus.Fields{
				"endpoint": from.ID, "to": to.ID, "detail": detail, "took": time.Since(begun).Milliseconds(),
			})
			if detail == noRoom {
				return // memory is scarce; copies to further engines would use up more of it
			}
		}
		if time.Now().After(until) || !sleep.For(g.base, pause) || !r.isAt(from) || r.usableCopy() != nil || urgent != r.leaves(from) {
			return
		}
	}
}

// leaves reports whether an engine has given notice or is gone.
func (r *run) leaves(e roster.Endpoint) bool {
	now, ok := r.g.Roster.Get(e.ID)
	return !ok || now.Leaving
}

// isAt reports whether the run is active at an engine.
func (r *run) isAt(e roster.Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ended && r.endpoint.ID == e.ID
}

// keepCopy makes a finished copy the copy of its run and starts renewing it,
// unless the run has ended, moved or got another copy.
func (g *Gateway) keepCopy(r *run, from, to roster.Endpoint, ticket placement.Ticket, moved Moved, begun time.Time) {
	b := &memoryCopy{endpoint: to, ticket: ticket, memory: g.Backend.Handle(from, moved.Handle), from: from, handle: moved.Handle}
	r.mu.Lock()
	wanted := !r.ended && r.endpoint.ID == from.ID && r.backup == nil
	if wanted {
		r.backup = b
	}
	r.mu.Unlock()
	if !wanted {
		// The copy expires on its own. Freeing it would also free the copy of
		// another move of this run.
		r.enginePool.release(ticket, 0, false)
		return
	}
	observe(copyTime, time.Since(begun))
	g.logDecision(r.j, "copied", logrus.Fields{
		"endpoint": from.ID, "to": to.ID, "events": moved.Events, "took": time.Since(begun).Milliseconds(),
	})
	g.Backend.Warm(g.base, to.Addr)
	g.spawn(func() { g.renewCopy(r, b) })
}

// renewCopy renews a copy until the run has left its engine. If the run ended
// without using the copy, it then frees it.
func (g *Gateway) renewCopy(r *run, b *memoryCopy) {
	for sleep.For(g.base, max(r.engine.Keep/2, minRenewal)) {
		r.mu.Lock()
		used := r.backup != b
		ended := r.ended
		r.mu.Unlock()
		if ended {
			g.freeCopy(b.from, b.handle)
		}
		if used || ended || !g.refreshCopy(r, b) {
			return
		}
	}
}

// refreshCopy adds to a copy what the run has produced since, unless another call
// for the run is in progress. It reports whether the engine of the run still
// answers for it. A copy that its engine no longer keeps is replaced.
func (g *Gateway) refreshCopy(r *run, b *memoryCopy) bool {
	if !r.copying.CompareAndSwap(false, true) {
		return true
	}
	moved, err := g.copyMemory(r, b.from, b.endpoint)
	r.copying.Store(false)
	if err == nil && !moved.Failed {
		return true
	}
	g.logDecision(r.j, "copy_lapsed", logrus.Fields{"endpoint": b.from.ID, "to": b.endpoint.ID, "detail": errorText(err)})
	if err == nil {
		r.dropBackup(b)
		r.startCopy()
	}
	return false // if the engine of the run has gone, the stream breaks
}

func (g *Gateway) copyMemory(r *run, from, to roster.Endpoint) (Moved, error) {
	ctx, cancel := context.WithTimeout(g.base, copyLimit)
	defer cancel()
	return g.Backend.Move(ctx, Move{Run: r.j.ID, From: from, To: to})
}

// freeCopy frees a copy that is no longer needed. If that fails, the copy
// expires on its own.
func (g *Gateway) freeCopy(from roster.Endpoint, handle string) {
	ctx, cancel := context.WithTimeout(g.base, freeLimit)
	defer cancel()
	if err := g.Backend.Free(ctx, from, handle); err != nil {
		g.Log.WithError(err).WithFields(logrus.Fields{"event": "copy_not_freed", "endpoint": from.ID}).Debug("copy could not be freed; it will expire")
	}
}

// reserveDestination reserves room at another engine for the memory of a run. An
// urgent copy may go to any place and fill an engine further.
func (r *run) reserveDestination(from roster.Endpoint, urgent bool) (roster.Endpoint, placement.Ticket, bool) {
	r.mu.Lock()
	done := r.events * r.engine.Stride
	r.mu.Unlock()
	d := r.enginePool.sched.PlaceCopy(placement.Copy{
		Account: r.j.route.Name, From: from.ID, Place: from.Place, Prompt: r.j.Prompt, Done: done, Max: r.j.Max, Urgent: urgent, Near: !urgent,
	}, time.Now())
	if d.Endpoint == "" {
		return roster.Endpoint{}, 0, false
	}
	e, ok := r.g.Roster.Get(d.Endpoint)
	if !ok {
		r.enginePool.release(d.Ticket, 0, false)
		return e, 0, false
	}
	r.g.announce()
	return e, d.Ticket, true
}

func (r *run) resumePoint() string {
	if r.lastEvent == "" {
		return firstEvent
	}
	return r.lastEvent
}

// dropBackup releases the room reserved for a copy, if it is still the run's
// copy.
func (r *run) dropBackup(b *memoryCopy) {
	r.mu.Lock()
	present := r.backup == b
	if present {
		r.backup = nil
	}
	r.mu.Unlock()
	if present {
		r.enginePool.release(b.ticket, 0, false)
	}
}

// takeBackup removes the copy from the run and returns the attempt that
// continues from it, or nil if there is none. An engine process that started
// after the copy was made does not have it.
func (r *run) takeBackup() *attempt {
	r.mu.Lock()
	b := r.backup
	r.backup = nil
	r.mu.Unlock()
	if b == nil {
		return nil
	}
	if e, ok := r.g.Roster.Get(b.endpoint.ID); ok && e.Born != b.endpoint.Born {
		r.enginePool.release(b.ticket, 0, false)
		return nil
	}
	return &attempt{endpoint: b.endpoint, ticket: b.ticket, after: r.resumePoint(), memory: b.memory}
}

// usableCopy returns the run's copy, or nil if there is none or the copy's
// engine is leaving, gone or unreachable.
func (r *run) usableCopy() *memoryCopy {
	r.mu.Lock()
	b := r.backup
	r.mu.Unlock()
	if b == nil {
		return nil
	}
	if e, ok := r.g.Roster.Get(b.endpoint.ID); !ok || e.Leaving || r.enginePool.isDown(e.ID) {
		return nil
	}
	return b
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
