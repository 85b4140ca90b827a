package system

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassdock/eelgrassdock/standin"
)

// newService creates the service of an endpoint, by its index.
func (s *System) newService(i int) *standin.Service {
	service := &standin.Service{}
	if s.Away > 0 {
		service.Crash = sync.OnceFunc(func() { s.crash(context.Background(), i) })
	}
	return service
}

// crash ends an endpoint, by its index, because of a request, and starts it again on the
// same address after Away.
func (s *System) crash(ctx context.Context, i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes = append(s.crashes, time.Now())
	s.Endpoints[i].Kill()
	time.AfterFunc(s.Away, func() { s.restart(ctx, i) })
}

// restart starts an endpoint that a request has crashed.
func (s *System) restart(ctx context.Context, i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	ep, err := s.Endpoints[i], error(nil)
	if ep.Service != nil {
		ep.Service = s.newService(i)
		err = s.listen(ep, ep.Service.Handler())
	} else {
		e := s.newEngine(ctx, i)
		err = s.listen(ep, e.Handler())
		s.runEngine(ctx, ep, e)
	}
	if err != nil {
		s.Log.WithError(err).Error("crashed endpoint cannot be started")
	}
}

// Crashes returns the times at which requests have crashed endpoints.
func (s *System) Crashes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.crashes...)
}
