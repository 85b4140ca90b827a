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

	// Change is a row of the list, or the news that it is gone, of which only the
	// ID counts.
	Change struct {
		Endpoint Endpoint
		Gone     bool
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
	FromInstance = "instance" // another instance, which has it from the endpoint
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
	changes := make([]Change, 0, len(list))
	for _, e := range list {
		r.borrowed[e.ID] = true
		changes = append(changes, Change{Endpoint: e})
	}
	r.mu.Unlock()
	r.apply(changes, true)
	r.Complete()
}

// Settle removes the endpoints that were borrowed and that the list has not
// shown since.
func (r *Roster) Settle() {
	r.mu.Lock()
	var changes []Change
	for id := range r.borrowed {
		changes = append(changes, Change{Endpoint: Endpoint{ID: id}, Gone: true})
	}
	r.borrowed = nil
	r.mu.Unlock()
	r.Apply(changes)
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
func (r *Roster) Set(e Endpoint) { r.Apply([]Change{{Endpoint: e}}) }

// Remove takes out an endpoint that is no longer listed.
func (r *Roster) Remove(id string) { r.Apply([]Change{{Endpoint: Endpoint{ID: id}, Gone: true}}) }

// Apply takes in changes of the list, in order. What follows from a change of a
// service is done once for all of them, because it costs as much as the service
// has endpoints.
func (r *Roster) Apply(changes []Change) {
	r.apply(changes, false)
}

func (r *Roster) apply(changes []Change, borrowed bool) {
	services := map[string]bool{}
	var left []Endpoint
	r.mu.Lock()
	if r.byID == nil {
		r.byID = map[string]*Endpoint{}
	}
	for _, c := range changes {
		if !borrowed {
			delete(r.borrowed, c.Endpoint.ID)
		}
		old := r.byID[c.Endpoint.ID]
		if c.Gone {
			if old != nil {
				delete(r.byID, old.ID)
				services[old.Service] = true
				if !old.Leaving {
					left = append(left, *old)
				}
			}
			continue
		}
		e := c.Endpoint
		reborn := old != nil && e.Born > old.Born
		if old != nil && old.Leaving && !reborn {
			e.Leaving = true
		}
		if old != nil && *old == e {
			continue
		}
		r.byID[e.ID] = &e
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
		r.tell(service)
	}
	for _, e := range left {
		r.leaves(e, FromList)
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
