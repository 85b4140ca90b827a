// Package roster keeps the list of existing endpoints. It merges two sources:
// the platform's list and what endpoints report about themselves.
//
// An endpoint is usable until the list or the endpoint itself reports that it
// is leaving. The endpoint's own report usually arrives before the list shows
// it. An endpoint that has been marked as leaving stays so until it restarts,
// even if an outdated list still shows it as usable.
package roster

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

type (
	// Endpoint is one run of an engine process or of a replica of a plain
	// service. After a restart under the same ID, Born is higher.
	Endpoint struct {
		ID      string
		Service string
		Addr    string // IP address and port
		Place   string
		Slots   int
		Leaving bool
		Born    int64 // Unix milliseconds of its start, 0 if unknown
		// Evacuated is set while the operator keeps new requests from its place.
		Evacuated bool
	}

	// Change is a new or changed row of the platform's list or, if Gone is set,
	// the removal of the row with Endpoint's ID; its other fields are then unused.
	Change struct {
		Endpoint Endpoint
		Gone     bool
	}

	// leftMark says that a process has left or will, and all earlier ones of its ID.
	leftMark struct {
		born int64
		// addr is the address of the row for which another process answered, "" if
		// the mark holds at any address. A row may come from another writer.
		addr string
	}

	// Roster holds the known endpoints. The zero value is ready for use. The
	// callbacks must be set before use and are called without locks held.
	Roster struct {
		// Changed is called after the endpoints of a service have changed.
		Changed func(service string)
		// OnLeaving is called once for each endpoint that starts to leave, was
		// removed or has restarted, with the source of the notice.
		OnLeaving func(e Endpoint, source string)

		mu       sync.Mutex
		complete chan struct{} // closed by Complete
		byID     map[string]*Endpoint
		members  map[string]map[string]*Endpoint // by service and ID
		left     map[string]leftMark             // of endpoints without a row, with one of another start, or with another process at their address
		leftIDs  []string                        // keys of left, the oldest first
		watched  map[string]chan struct{}        // by service; closed after its next change
		borrowed map[string]bool                 // IDs from Borrow that the list has not confirmed
		services sync.Map                        // service to *atomic.Pointer[[]Endpoint]
		places   map[string]bool                 // that are evacuated
	}
)

// maxLeft is the number of endpoints without a row that are remembered as leaving.
const maxLeft = 8192

// Sources of the notice that an endpoint is leaving.
const (
	FromList     = "list"     // the platform's list
	FromEndpoint = "endpoint" // a response of the endpoint
	FromReport   = "report"   // the endpoint's load report
	FromInstance = "instance" // another instance that was notified by the endpoint
	FromAddress  = "address"  // another endpoint answered at its address
)

// Complete marks the roster as ready: the whole list has been loaded once, or
// Borrow has added another instance's endpoints because the list could not be
// read yet. It closes the channel that Ready returns.
func (r *Roster) Complete() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.completeLocked():
	default:
		close(r.complete)
	}
}

// Ready returns a channel that is closed once the whole list has been loaded or
// another instance's roster was borrowed. Until then, a service that has no
// endpoints here may have some on the platform.
func (r *Roster) Ready() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.completeLocked()
}

// IsReady reports whether the channel that Ready returns is closed.
func (r *Roster) IsReady() bool {
	select {
	case <-r.Ready():
		return true
	default:
		return false
	}
}

func (r *Roster) completeLocked() chan struct{} {
	if r.complete == nil {
		r.complete = make(chan struct{})
	}
	return r.complete
}

// Borrow adds the endpoints of another instance's roster and marks the roster
// as ready. It is for an instance that could not read the list yet. Endpoints
// that are already present are left unchanged. RemoveBorrowed removes the
// borrowed endpoints that the list does not contain.
func (r *Roster) Borrow(list []Endpoint) {
	r.mu.Lock()
	if r.borrowed == nil {
		r.borrowed = map[string]bool{}
	}
	list = slices.DeleteFunc(slices.Clone(list), func(e Endpoint) bool { return r.byID[e.ID] != nil })
	changes := make([]Change, 0, len(list))
	for _, e := range list {
		r.borrowed[e.ID] = true
		changes = append(changes, Change{Endpoint: e})
	}
	r.mu.Unlock()
	r.apply(changes, true)
	r.Complete()
}

// RemoveBorrowed removes the borrowed endpoints that no change of the list has
// mentioned since Borrow. Call it some time after the whole list has been read,
// because endpoints whose rows expired during an outage need about two seconds to
// register again. The Store of eelgrassdock/platform waits 2.5 seconds.
func (r *Roster) RemoveBorrowed() {
	r.mu.Lock()
	var changes []Change
	for id := range r.borrowed {
		changes = append(changes, Change{Endpoint: Endpoint{ID: id}, Gone: true})
	}
	r.borrowed = nil
	r.mu.Unlock()
	r.Apply(changes)
}

// All returns every endpoint in no particular order.
func (r *Roster) All() []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Endpoint, 0, len(r.byID))
	for _, e := range r.byID {
		list = append(list, *e)
	}
	return list
}

// Set adds or updates an endpoint according to its row in the list.
func (r *Roster) Set(e Endpoint) { r.Apply([]Change{{Endpoint: e}}) }

// Remove removes an endpoint that is no longer in the list.
func (r *Roster) Remove(id string) { r.Apply([]Change{{Endpoint: Endpoint{ID: id}, Gone: true}}) }

// Apply applies changes of the list in order. It rebuilds the list of each
// affected service and calls Changed only once for all changes together, because
// the cost of both grows with the number of the service's endpoints.
func (r *Roster) Apply(changes []Change) {
	r.apply(changes, false)
}

func (r *Roster) apply(changes []Change, borrowed bool) {
	services := map[string]bool{}
	var left []Endpoint
	r.mu.Lock()
	for _, c := range changes {
		if !borrowed {
			delete(r.borrowed, c.Endpoint.ID)
		}
		old := r.byID[c.Endpoint.ID]
		if c.Gone {
			if old != nil {
				r.drop(old)
				services[old.Service] = true
				if old.Leaving {
					r.rememberReplaced(old)
				} else {
					left = append(left, *old)
				}
			}
			continue
		}
		e := c.Endpoint
		if old != nil && e.Born == 0 {
			e.Born = old.Born // a row without a start does not show another one
		}
		reborn := old != nil && e.Born > old.Born
		if old != nil && old.Leaving {
			if e.Born != old.Born || e.Addr != old.Addr {
				r.rememberReplaced(old)
			}
			e.Leaving = e.Leaving || !reborn && !r.hasWrongAddr(old)
		}
		if mark, ok := r.left[e.ID]; ok && e.Born <= mark.born && (mark.addr == "" || mark.addr == e.Addr) {
			e.Leaving = true
		}
		e.Evacuated = r.places[e.Place]
		if old != nil && *old == e {
			continue
		}
		r.put(&e)
		services[e.Service] = true
		if old != nil {
			services[old.Service] = true
			if !old.Leaving && (e.Leaving || reborn) {
				left = append(left, *old)
			}
		}
	}
	names := slices.Sorted(maps.Keys(services))
	for _, service := range names {
		r.publish(service)
	}
	r.mu.Unlock()
	for _, service := range names {
		r.notifyChanged(service)
	}
	for _, e := range left {
		r.notifyLeaving(e, FromList)
	}
}

// MarkLeaving marks the process of an endpoint that started at born as leaving and
// calls OnLeaving with the source of the notice. A process under the same ID that
// started later is not affected. The mark is kept if the endpoint has no row, in case
// one appears later.
func (r *Roster) MarkLeaving(id string, born int64, source string) {
	r.mu.Lock()
	old := r.byID[id]
	switch {
	case old == nil, old.Born < born, source != FromAddress && r.hasWrongAddr(old):
		r.remember(id, leftMark{born: born})
	case source == FromAddress && old.Born == born && !old.Leaving:
		r.remember(id, leftMark{born: born, addr: old.Addr})
	}
	if old == nil || old.Leaving || old.Born > born {
		r.mu.Unlock()
		return
	}
	e := *old
	e.Leaving = true
	r.put(&e)
	r.publish(e.Service)
	r.mu.Unlock()
	r.notifyChanged(e.Service)
	r.notifyLeaving(e, source)
}

// rememberReplaced records that the process of a row that is replaced or removed leaves,
// unless only its address was wrong. r.mu must be held.
func (r *Roster) rememberReplaced(old *Endpoint) {
	if !r.hasWrongAddr(old) {
		r.remember(old.ID, leftMark{born: old.Born})
	}
}

// hasWrongAddr reports whether all that is known of an endpoint that leaves is that another
// process answered at its address. r.mu must be held.
func (r *Roster) hasWrongAddr(e *Endpoint) bool {
	mark, ok := r.left[e.ID]
	return ok && mark.addr != "" && mark.born == e.Born && mark.addr == e.Addr
}

// remember records that a process leaves, for rows that appear later. A mark that holds
// at any address is kept rather than one that does not. r.mu must be held.
func (r *Roster) remember(id string, mark leftMark) {
	if r.left == nil {
		r.left = map[string]leftMark{}
	}
	known, ok := r.left[id]
	if !ok {
		r.leftIDs = append(r.leftIDs, id)
	}
	if !ok || mark.born > known.born || mark.born == known.born && mark.addr == "" {
		r.left[id] = mark
	}
	if len(r.leftIDs) > maxLeft {
		delete(r.left, r.leftIDs[0])
		r.leftIDs = r.leftIDs[1:]
	}
}

// Get returns the endpoint with the ID and whether it exists.
func (r *Roster) Get(id string) (Endpoint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.byID[id]; e != nil {
		return *e, true
	}
	return Endpoint{}, false
}

// List returns the endpoints of a service, sorted by ID. The slice is shared and
// must not be modified.
func (r *Roster) List(service string) []Endpoint {
	if p, ok := r.services.Load(service); ok {
		return *p.(*atomic.Pointer[[]Endpoint]).Load()
	}
	return nil
}

// put adds an endpoint, or replaces the one with its ID. r.mu must be held.
func (r *Roster) put(e *Endpoint) {
	if r.byID == nil {
		r.byID, r.members = map[string]*Endpoint{}, map[string]map[string]*Endpoint{}
	}
	if old := r.byID[e.ID]; old != nil {
		r.drop(old)
	}
	if r.members[e.Service] == nil {
		r.members[e.Service] = map[string]*Endpoint{}
	}
	r.byID[e.ID], r.members[e.Service][e.ID] = e, e
}

// drop removes an endpoint. r.mu must be held.
func (r *Roster) drop(e *Endpoint) {
	delete(r.byID, e.ID)
	if delete(r.members[e.Service], e.ID); len(r.members[e.Service]) == 0 {
		delete(r.members, e.Service)
	}
}

// publish rebuilds the list that List returns for a service. Its cost does not depend on
// the endpoints of other services, of which another writer may have added any number.
// r.mu must be held.
func (r *Roster) publish(service string) {
	list := make([]Endpoint, 0, len(r.members[service]))
	for _, id := range slices.Sorted(maps.Keys(r.members[service])) {
		list = append(list, *r.members[service][id])
	}
	if len(list) == 0 {
		r.services.Delete(service)
		return
	}
	p, _ := r.services.LoadOrStore(service, &atomic.Pointer[[]Endpoint]{})
	p.(*atomic.Pointer[[]Endpoint]).Store(&list)
}

// Watch returns a channel that is closed after the next change of the endpoints of a
// service, when Changed has returned.
func (r *Roster) Watch(service string) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watched == nil {
		r.watched = map[string]chan struct{}{}
	}
	if r.watched[service] == nil {
		r.watched[service] = make(chan struct{})
	}
	return r.watched[service]
}

func (r *Roster) notifyChanged(service string) {
	if r.Changed != nil {
		r.Changed(service)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if changed := r.watched[service]; changed != nil {
		close(changed)
		delete(r.watched, service)
	}
}

func (r *Roster) notifyLeaving(e Endpoint, source string) {
	if r.OnLeaving != nil {
		r.OnLeaving(e, source)
	}
}
