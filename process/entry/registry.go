package entry

import (
	"sync"
	"sync/atomic"
	"time"
)

const registryShards = 16

type (
	// activity is one request in flight.
	activity struct {
		ID       string
		Kind     string // "stream" or "call"
		Account  string
		Caller   string
		Service  string
		Endpoint atomic.Pointer[string]
		Tokens   atomic.Int64
		Begun    time.Time
		canceled atomic.Bool              // an operator cancelled it
		attempts atomic.Pointer[attempts] // nil once the request is being answered
		cancel   func()
	}

	// registry holds the requests in flight by ID. It is sharded to reduce lock
	// contention.
	registry struct {
		n      atomic.Int64
		shards [registryShards]struct {
			mu   sync.Mutex
			list map[string]*activity
		}
	}
)

func (r *registry) shard(id string) int {
	return int(id[len(id)-1]) % registryShards
}

func (r *registry) add(a *activity) {
	s := &r.shards[r.shard(a.ID)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list == nil {
		s.list = map[string]*activity{}
	}
	s.list[a.ID] = a
	r.n.Add(1)
}

func (r *registry) remove(a *activity) {
	s := &r.shards[r.shard(a.ID)]
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.list, a.ID)
	r.n.Add(-1)
}

func (r *registry) active() int64 { return r.n.Load() }

// all returns the requests in flight. The shards are read one after another, so
// the list is not an atomic snapshot.
func (r *registry) all() []*activity {
	var list []*activity
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, a := range s.list {
			list = append(list, a)
		}
		s.mu.Unlock()
	}
	return list
}

func (r *registry) names() []string {
	var names []string
	for _, a := range r.all() {
		names = append(names, a.Kind+" "+a.ID+" of "+a.Account)
	}
	return names
}

// cancel cancels a request by its ID, on behalf of an operator, and reports
// whether it was found.
func (r *registry) cancel(id string) bool {
	if id == "" {
		return false
	}
	s := &r.shards[r.shard(id)]
	s.mu.Lock()
	a := s.list[id]
	s.mu.Unlock()
	if a == nil {
		return false
	}
	a.canceled.Store(true)
	a.cancel()
	return true
}
