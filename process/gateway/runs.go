package gateway

import (
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassdock/eelgrassdock/process/roster"
)

const runShards = 8

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
