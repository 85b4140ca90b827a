package roster

import (
	"maps"
	"slices"
)

// Closed reports whether an endpoint gets no new requests, because it leaves or its place
// is evacuated.
func (e Endpoint) Closed() bool { return e.Leaving || e.Evacuated }

// SetEvacuated sets the places that are evacuated, and calls Changed for the services
// whose endpoints that affects. It returns the endpoints that were open before and are
// closed now.
func (r *Roster) SetEvacuated(places map[string]bool) (closed []Endpoint) {
	services := map[string]bool{}
	r.mu.Lock()
	r.places = maps.Clone(places)
	for _, old := range r.byID {
		if old.Evacuated == places[old.Place] {
			continue
		}
		e := *old
		e.Evacuated = !old.Evacuated
		r.put(&e)
		services[e.Service] = true
		if e.Evacuated && !e.Leaving {
			closed = append(closed, e)
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
	return closed
}
