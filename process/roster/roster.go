// Package roster keeps the endpoints that exist, as the platform lists them and
// as they say of themselves.
//
// An endpoint is usable until the list or the endpoint itself says that it is
// leaving. What an endpoint says of itself arrives first and is never taken
// back for the same start of it.
package roster

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

type (
	// Endpoint is one start of an engine or of a replica of a plain service.
	Endpoint struct {
		ID      string
		Service string
		Addr    string // IP address and port
		Place   string
		Slots   int
		Leaving bool
		Born    int64 // Unix milliseconds of its start, 0 if unknown
	}

	// Roster holds the endpoints. The zero value is ready. Callbacks are set
	// before use and run without locks held.
	Roster struct {
		// Changed is called after the endpoints of a service have changed.
		Changed func(service string)
		// Leaves is called once for each endpoint that begins to leave or has
		// gone, with the source of the news.
		Leaves func(e Endpoint, source string)

		mu       sync.Mutex
		complete chan struct{} // closed by Complete
		byID     map[string]*Endpoint
		borrowed map[string]bool // by ID, until the list shows the endpoint
		services sync.Map        // service to *atomic.Pointer[[]Endpoint]
	}
)

// Sources of the news that an endpoint leaves.
const (
	FromList     = "list"     // the platform's list
	FromEndpoint = "endpoint" // an answer of the endpoint
	FromReport   = "report"   // the endpoint's load report
	FromAddress  = "address"  // another endpoint answered at its address
)

// Complete notes that the whole list has been taken in once.
func (r *Roster) Complete() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.completeLocked():
	default:
		close(r.complete)
	}
}

// Ready is closed when the whole list has been taken in once. Before that, a
// service without endpoints may have some.
func (r *Roster) Ready() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.completeLocked()
}

// IsReady tells whether Ready is closed.
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

// Borrow takes in the endpoints that another instance knows, for an instance
// that has not read the list. Settle drops those that the list does not show.
func (r *Roster) Borrow(list []Endpoint) {
	r.mu.Lock()
	if r.borrowed == nil {
		r.borrowed = map[string]bool{}
	}
	list = slices.DeleteFunc(slices.Clone(list), func(e Endpoint) bool { return r.byID[e.ID] != nil })
	for _, e := range list {
		r.borrowed[e.ID] = true
	}
	r.mu.Unlock()
	for _, e := range list {
		r.set(e)
	}
	r.Complete()
}

// Settle removes the endpoints that were borrowed and that the list has not
// shown since.
func (r *Roster) Settle() {
	r.mu.Lock()
	ids := slices.Collect(maps.Keys(r.borrowed))
	r.borrowed = nil
	r.mu.Unlock()
	for _, id := range ids {
		r.Remove(id)
	}
}

// All gives every endpoint, in no order.
func (r *Roster) All() []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Endpoint, 0, len(r.byID))
	for _, e := range r.byID {
		list = append(list, *e)
	}
	return list
}

// Set takes in an endpoint as the list shows it.
func (r *Roster) Set(e Endpoint) {
	r.mu.Lock()
	delete(r.borrowed, e.ID)
	r.mu.Unlock()
	r.set(e)
}

func (r *Roster) set(e Endpoint) {
	r.mu.Lock()
	if r.byID == nil {
		r.byID = map[string]*Endpoint{}
	}
	old := r.byID[e.ID]
	reborn := old != nil && e.Born > old.Born
	if old != nil && old.Leaving && !reborn {
		e.Leaving = true
	}
	if old != nil && *old == e {
		r.mu.Unlock()
		return
	}
	r.byID[e.ID] = &e
	r.publish(e.Service)
	if old != nil && old.Service != e.Service {
		r.publish(old.Service)
	}
	left := old != nil && !old.Leaving && (e.Leaving || reborn)
	r.mu.Unlock()
	r.tell(e.Service)
	if left {
		r.leaves(*old, FromList)
	}
}

// Remove takes out an endpoint that is no longer listed.
func (r *Roster) Remove(id string) {
	r.mu.Lock()
	old := r.byID[id]
	delete(r.borrowed, id)
	if old == nil {
		r.mu.Unlock()
		return
	}
	delete(r.byID, id)
	r.publish(old.Service)
	r.mu.Unlock()
	r.tell(old.Service)
	if !old.Leaving {
		r.leaves(*old, FromList)
	}
}

// Leave marks an endpoint as leaving.
func (r *Roster) Leave(id, source string) {
	r.mu.Lock()
	old := r.byID[id]
	if old == nil || old.Leaving {
		r.mu.Unlock()
		return
	}
	e := *old
	e.Leaving = true
	r.byID[id] = &e
	r.publish(e.Service)
	r.mu.Unlock()
	r.tell(e.Service)
	r.leaves(e, source)
}

// Get gives an endpoint by its ID.
func (r *Roster) Get(id string) (Endpoint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.byID[id]; e != nil {
		return *e, true
	}
	return Endpoint{}, false
}

// List gives the endpoints of a service, sorted by ID. The slice is shared and
// must not be changed.
func (r *Roster) List(service string) []Endpoint {
	if p, ok := r.services.Load(service); ok {
		return *p.(*atomic.Pointer[[]Endpoint]).Load()
	}
	return nil
}

// publish makes the list of a service; the lock is held.
func (r *Roster) publish(service string) {
	list := []Endpoint{}
	for _, id := range slices.Sorted(maps.Keys(r.byID)) {
		if e := r.byID[id]; e.Service == service {
			list = append(list, *e)
		}
	}
	p, _ := r.services.LoadOrStore(service, &atomic.Pointer[[]Endpoint]{})
	p.(*atomic.Pointer[[]Endpoint]).Store(&list)
}

func (r *Roster) tell(service string) {
	if r.Changed != nil {
		r.Changed(service)
	}
}

func (r *Roster) leaves(e Endpoint, source string) {
	if r.Leaves != nil {
		r.Leaves(e, source)
	}
}
