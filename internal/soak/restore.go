package soak

import (
	"time"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/platform/fake"
)

const (
	awayPart    = 6           // part of a Restore fault for which the store is away
	maxCopyAge  = 9           // seconds; the copy is older than the outage by less than this
	rewriteTime = time.Second // in which operators and endpoints write again what the store has lost
)

// restoreStore takes the store away and brings it back from an older copy. Then the
// operators and the endpoints write again what it lacks, and rows of endpoints that have
// ended expire.
func (s *Soak) restoreStore(f Fault) {
	away := f.Last / awayPart
	s.ledger.Disturb(storeName, time.Now().Add(away+rewriteTime))
	s.store.SetFaults(fake.StoreFaults{Reset: true, Until: time.Now().Add(away)})
	sleep.For(s.ctx, away)
	age := away + time.Duration(f.Target%maxCopyAge)*time.Second
	if err := s.operators.restore(age, rewriteTime/2); err != nil {
		s.recordError(err)
	}
	for _, p := range s.sites {
		p.writeAgain()
	}
	s.ledger.Disturb(storeName, time.Now())
	sleep.For(s.ctx, rowTTL)
	for _, id := range s.store.Endpoints() {
		if !s.isListed(id) {
			s.store.RemoveEndpoint(id)
		}
	}
}

// isListed reports whether an endpoint is the one of a site and has not ended.
func (s *Soak) isListed(id string) bool {
	for _, p := range s.sites {
		p.mu.Lock()
		found := p.endpoint.ID == id && !p.ended
		p.mu.Unlock()
		if found {
			return true
		}
	}
	return false
}
