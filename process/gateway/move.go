package gateway

import (
	"cmp"
	"slices"
	"time"

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
	noRoom       = "no room at the other engine"
)

// protectRunsAt copies the runs of an engine that will leave, unless they have a
// usable copy at another engine. It also drops the copies held at the engine,
// and replaces those of runs whose own engine is leaving or gone. An engine
// transfers one copy at a time, so copies of the runs with the most remaining
// tokens are requested first.
func (g *Gateway) protectRunsAt(e roster.Endpoint, source string) {
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
		b := r.backup
		r.mu.Unlock()
		if b != nil && b.endpoint.ID == endpoint {
			r.dropBackup(b)
		}
		if r.isExposed() {
			exposed = append(exposed, r)
		} else {
			r.copyEarly()
		}
	}
	return exposed
}

// isExposed reports whether the run's engine is leaving or gone.
func (r *run) isExposed() bool {
	r.mu.Lock()
	at := r.endpoint
	r.mu.Unlock()
	return r.leaves(at)
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

// copyAgain starts copying the memory of a run that has continued at another
// engine or lost its copy while a call for the copy was in progress.
func (r *run) copyAgain() {
	r.mu.Lock()
	exposed, at := !r.ended && r.backup == nil, r.endpoint
	r.mu.Unlock()
	if exposed && (r.engine.Backups || r.leaves(at)) {
		r.startCopy()
	}
}

// hasCopy reports whether the run has a copy, usable or not.
func (r *run) hasCopy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.backup != nil
}

// startCopy starts copying the memory of a run, unless its engine does not
// support it, its route allows a repetition, it is leaving its engine or that gets no
// orders any more.
func (r *run) startCopy() {
	if !r.engine.Moves || r.j.route.Repeatable() {
		return
	}
	r.mu.Lock()
	at, moving := r.endpoint, r.moving
	r.mu.Unlock()
	if moving || !r.g.mayOrder(at) {
		return
	}
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
		done := g.copyRun(r, from, urgent)
		r.copying.Store(false)
		// What happened during the copy found the run busy.
		switch {
		case !r.isAt(from):
			r.copyAgain()
			return
		case done && r.hasCopy():
			return
		case !done && (urgent || !r.leaves(from)):
			return
		}
	}
}

// copyRun tries to copy the memory of a run. A run whose prompt is still being
// processed cannot be copied yet, so a failed copy is retried until the run has
// left the engine or protectLimit has passed. It is not retried if the other
// engine has no room. An urgent copy, of a run whose engine will leave, is also
// retried if no engine is suitable. It reports whether a copy was made.
func (g *Gateway) copyRun(r *run, from roster.Endpoint, urgent bool) bool {
	begun := time.Now()
	until := begun.Add(protectLimit)
	for {
		to, ticket, ok := r.reserveDestination(from, urgent)
		pause := protectPause
		switch {
		case !ok && !urgent:
			counters.Add("copies_no_room", 1)
			return false
		case !ok:
			g.logDecision(r.j, "copy_no_room", logrus.Fields{"endpoint": from.ID})
		default:
			ordered := time.Now()
			moved, err := g.copyMemory(r, from, to)
			copied := err == nil && !moved.Failed
			if copied && g.keepCopy(r, from, to, ticket, moved, ordered) {
				return true
			}
			r.enginePool.release(ticket, 0, false)
			detail := noRoom
			switch {
			case copied:
				detail, pause = "the other engine has left", 0
			case err != nil:
				detail = err.Error()
			case isSilence(r.enginePool.probe(g.base, to)):
				r.enginePool.avoid(to.ID)
				detail, pause = ErrUnreachable.Error(), 0
			}
			g.logDecision(r.j, "copy_failed", logrus.Fields{
				"endpoint": from.ID, "to": to.ID, "detail": detail, "took": time.Since(begun).Milliseconds(),
			})
			if detail == noRoom || !g.mayOrder(from) {
				return false // memory is scarce; copies to further engines would use up more of it
			}
		}
		if time.Now().After(until) || !sleep.For(g.base, pause) || !r.isAt(from) || r.usableCopy() != nil || urgent != r.leaves(from) {
			return false
		}
	}
}

// leaves reports whether an engine is closed or gone: its runs need a copy elsewhere, and
// none continues there.
func (r *run) leaves(e roster.Endpoint) bool {
	now, ok := r.g.Roster.Get(e.ID)
	return !ok || now.Closed()
}

// isAt reports whether the run is active at an engine.
func (r *run) isAt(e roster.Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ended && !r.moving && r.endpoint.ID == e.ID
}

// keepCopy makes a finished copy the copy of its run and starts renewing it. It
// reports false, and leaves the ticket to the caller, if the engine of the copy has
// left meanwhile. The copy was ordered at ordered.
func (g *Gateway) keepCopy(r *run, from, to roster.Endpoint, ticket placement.Ticket, moved Moved, ordered time.Time) bool {
	b := &memoryCopy{endpoint: to, ticket: ticket, memory: g.Backend.Handle(from, moved.Handle), from: from, handle: moved.Handle}
	b.expiry.Store(ordered.Add(r.engine.Keep).UnixNano())
	if !b.isHeld(g) {
		return false
	}
	r.mu.Lock()
	old, ended := r.backup, r.ended
	wanted := !ended && !r.moving && r.endpoint.ID == from.ID && (old == nil || !old.isHeld(g) || r.enginePool.isDown(old.endpoint.ID))
	if wanted {
		r.backup = b
	}
	r.mu.Unlock()
	if !wanted {
		r.enginePool.release(ticket, 0, false)
		if ended {
			g.freeCopy(from, moved.Handle)
		}
		// Otherwise the copy expires on its own. Freeing it would also free the
		// copy of another move of this run.
		return true
	}
	if old != nil {
		r.enginePool.release(old.ticket, 0, false)
	}
	observe(copyTime, time.Since(ordered))
	g.logDecision(r.j, "copied", logrus.Fields{
		"endpoint": from.ID, "to": to.ID, "events": moved.Events, "took": time.Since(ordered).Milliseconds(),
	})
	g.Backend.Warm(g.base, to.Addr)
	g.spawn(func() { g.renewCopy(r, b) })
	return true
}

// isHeld reports whether the engine process that holds a copy still does, as far
// as is known: it has not left or started again, and the copy has not expired.
func (b *memoryCopy) isHeld(g *Gateway) bool {
	return g.stays(b.endpoint) && time.Now().UnixNano() < b.expiry.Load()
}

// stays reports whether an endpoint is listed as the same process and is open.
func (g *Gateway) stays(e roster.Endpoint) bool {
	now, ok := g.Roster.Get(e.ID)
	return ok && !now.Closed() && now.Born == e.Born
}

// renewalInterval returns the interval at which a copy is renewed that its engine keeps for
// a time. After a renewal the copy outlives a silence in which its run may have to leave
// its own engine.
func (g *Gateway) renewalInterval(keep time.Duration) time.Duration {
	return max(min(keep/2, keep-g.lossTime()-probeLimit-silencePause), minRenewal)
}

// renewCopy renews a copy until the run has left its engine or has ended. A copy
// that the run did not use is then freed.
func (g *Gateway) renewCopy(r *run, b *memoryCopy) {
	ticker := time.NewTicker(g.renewalInterval(r.engine.Keep))
	defer ticker.Stop()
	for {
		select {
		case <-g.base.Done():
			return
		case <-r.over:
			if !b.taken.Load() {
				g.freeCopy(b.from, b.handle)
			}
			return
		case <-ticker.C:
		}
		r.mu.Lock()
		dropped := r.backup != b
		r.mu.Unlock()
		if dropped {
			return
		}
		if !r.isAllowed(b.endpoint) {
			r.dropBackup(b)
			r.startCopy()
			return
		}
		g.refreshCopy(r, b)
	}
}

// refreshCopy adds to a copy what the run has produced since, unless another call
// for the run is in progress. A copy that its engine no longer keeps, or that was
// made anew, is replaced. One that could not be renewed stays until it expires: if
// the engine of the run has gone, it is about to be used.
func (g *Gateway) refreshCopy(r *run, b *memoryCopy) {
	if !r.copying.CompareAndSwap(false, true) {
		return
	}
	ordered := time.Now()
	moved, err := g.copyMemory(r, b.from, b.endpoint)
	r.copying.Store(false)
	r.mu.Lock()
	current := r.backup == b
	r.mu.Unlock()
	if !current {
		r.copyAgain()
		return
	}
	switch {
	case err == nil && !moved.Failed && moved.Handle == b.handle:
		b.expiry.Store(ordered.Add(r.engine.Keep).UnixNano())
		return
	case err == nil, !b.isHeld(g):
		r.dropBackup(b)
		r.startCopy()
	}
	g.logDecision(r.j, "copy_lapsed", logrus.Fields{"endpoint": b.from.ID, "to": b.endpoint.ID, "detail": errorText(err)})
}

func (g *Gateway) copyMemory(r *run, from, to roster.Endpoint) (Moved, error) {
	ctx, cancel := g.Stalls.WithTimeout(g.base, copyLimit)
	defer cancel()
	if !g.mayCopy(from, to) {
		return Moved{}, errEvacuated
	}
	if !g.limits.Take(from.ID, time.Now()) {
		return Moved{}, errLimited
	}
	moved, err := g.Backend.Move(ctx, Move{Run: r.j.ID, From: from, To: to})
	g.heed(from, moved.Signals, roster.FromEndpoint)
	return moved, err
}

// freeCopy frees a copy that is no longer needed. If that fails, the copy
// expires on its own.
func (g *Gateway) freeCopy(from roster.Endpoint, handle string) {
	if !g.mayOrder(from) || !g.limits.Take(from.ID, time.Now()) {
		return
	}
	ctx, cancel := g.Stalls.WithTimeout(g.base, freeLimit)
	defer cancel()
	s, err := g.Backend.Free(ctx, from, handle)
	g.heed(from, s, roster.FromEndpoint)
	if err != nil {
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
		Regions: r.j.regions,
	}, time.Now())
	if d.Endpoint == "" {
		return roster.Endpoint{}, 0, false
	}
	e, ok := r.g.Roster.Get(d.Endpoint)
	if !ok || e.Closed() {
		r.enginePool.release(d.Ticket, 0, false)
		return e, 0, false
	}
	if !r.g.allows(r.j, e) { // its row names another place by now
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
// continues from it, or nil if there is none or it is no longer held.
func (r *run) takeBackup() *attempt {
	r.mu.Lock()
	b := r.backup
	r.backup = nil
	r.mu.Unlock()
	if b == nil {
		return nil
	}
	if !b.isHeld(r.g) || !r.isAllowed(b.endpoint) {
		r.enginePool.release(b.ticket, 0, false)
		return nil
	}
	b.taken.Store(true)
	return &attempt{
		endpoint: b.endpoint, ticket: b.ticket, after: r.resumePoint(), memory: b.memory, begun: time.Now(),
	}
}

// usableCopy returns the run's copy, or nil if there is none, it is no longer held
// or its engine is unreachable.
func (r *run) usableCopy() *memoryCopy {
	r.mu.Lock()
	b := r.backup
	r.mu.Unlock()
	if b == nil || !b.isHeld(r.g) || !r.isAllowed(b.endpoint) || r.enginePool.isDown(b.endpoint.ID) {
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
