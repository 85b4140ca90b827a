package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/mirror"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

const (
	testGrace   = 8  // seconds, as in the users' deployments
	testHistory = 40 // requests before a stop
	batch       = 8  // of them at a time
)

// stoppingGateway is a gateway that will stop. Its endpoints take a time that the test
// sets, and stop work when their request ends.
type stoppingGateway struct {
	*testGateway

	mu     sync.Mutex
	work   time.Duration // of a plain request, or until the first event
	events int           // of a generation
	pause  time.Duration // between two events
	sent   int
	cut    []string // requests with an attempt that ended before its answer was complete
	alive  []member.Member
	n      int
}

// pacedEvents is the body of a stream that sends an event after each pause.
type pacedEvents struct {
	s          *stoppingGateway
	id         string // of the request
	ctx        context.Context
	next, last int
	pause      time.Duration
	rest       []byte
}

// newStoppingGateway returns a gateway before endpoints that answer after work and then,
// on routes of generations, send events. It must be called in a synctest bubble.
func newStoppingGateway(t *testing.T, work time.Duration, events int) *stoppingGateway {
	s := &stoppingGateway{testGateway: newLeavingGateway(t), work: work, events: events, pause: 30 * time.Millisecond}
	s.Settings.Grace, s.Settings.Keep = testGrace, 1
	s.members = &member.Node{
		Self: member.Member{ID: s.id, Addr: "127.0.0.1:1", Probe: "127.0.0.1:2", RPC: "127.0.0.1:3"},
		Send: func(string, []byte) error { return nil },
	}
	s.setOthers(member.Member{ID: "i2-x"})
	s.listMembers = s.living
	s.Registered = func(context.Context) (mirror.Page, error) { return mirror.Page{}, nil }
	s.requests, s.endRequests = context.WithCancel(t.Context())
	s.Backend.Send = s.serve
	return s
}

// setOthers sets which other instances live.
func (s *stoppingGateway) setOthers(list ...member.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.alive = append(list, member.Member{ID: s.id})
}

// living returns the live instances.
func (s *stoppingGateway) living() []member.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alive
}

// serve is the Send function of the backend.
func (s *stoppingGateway) serve(ctx context.Context, c Call) (*Answer, error) {
	s.mu.Lock()
	s.sent++
	work, events, pause := s.work, s.events, s.pause
	s.mu.Unlock()
	if !sleepFor(ctx, work) {
		s.countCut(c.ID)
		return nil, refusal.FromCallError(ctx.Err(), true)
	}
	if !c.Stream {
		return plainAnswer(http.StatusOK, "x"), nil
	}
	a := eventStream("s", 1, 0, false)
	a.Body = &pacedEvents{s: s, id: c.ID, ctx: ctx, next: 1, last: events, pause: pause}
	return a, nil
}

func (s *stoppingGateway) countCut(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = append(s.cut, id)
}

func (b *pacedEvents) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		switch {
		case b.next > b.last:
			return 0, io.EOF
		case b.next > 1 && !sleepFor(b.ctx, b.pause):
			b.s.countCut(b.id)
			return 0, b.ctx.Err()
		}
		b.rest = fmt.Appendf(nil, "id: %d\ndata: s\n\n", b.next)
		b.next++
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func sleepFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// set changes what the endpoints do from now on.
func (s *stoppingGateway) set(work time.Duration, events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work, s.events = work, events
}

// ask sends a request that its caller waits a minute for.
func (s *stoppingGateway) ask(path string) error { return s.askFor(path, time.Minute) }

// askFor sends a request that its caller waits some time for.
func (s *stoppingGateway) askFor(path string, wait time.Duration) error {
	s.mu.Lock()
	s.n++
	id := fmt.Sprint("q", s.n)
	s.mu.Unlock()
	now := time.Now()
	_, err := s.requestWith(s.t.Context(), &Request{
		ID: id, Method: http.MethodPost, Host: "h", Path: path, Target: path, Header: http.Header{}, Key: "key",
		Arrived: now, Deadline: now.Add(wait), Prompt: 10, Max: 2000,
	})
	return err
}

// learn sends as many requests as show how long those of a route take.
func (s *stoppingGateway) learn(path string) {
	for range testHistory / batch {
		s.askMany(path, batch)
	}
}

// askMany sends n requests at once, and again those for which no engine had room in
// time, and waits for their answers.
func (s *stoppingGateway) askMany(path string, n int) {
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			err := s.ask(path)
			for isOverload(err) {
				err = s.ask(path)
			}
			assert.NoError(s.t, err)
		})
	}
	wg.Wait()
}

func isOverload(err error) bool {
	return err != nil && refusal.From(err).Reason == refusal.Overload
}

// begin stops the gateway and returns a function that waits for its end.
func (s *stoppingGateway) begin() (await func()) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Stop(func() {})
	}()
	synctest.Wait()
	return func() { <-ended }
}

// asked returns the number of requests that were sent to the gateway.
func (s *stoppingGateway) asked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.n
}

func (s *stoppingGateway) counts() (sent, cut int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent, len(s.cut)
}

// requireRefused checks that an error tells a caller to use another instance.
func (s *stoppingGateway) requireRefused(err error) {
	s.t.Helper()
	var f *refusal.Error
	if assert.ErrorAs(s.t, err, &f, "taken") {
		assert.Equal(s.t, refusal.NotRun, f.Outcome)
		assert.Equal(s.t, refusal.Stopping, f.Reason)
	}
}
