package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

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
	cut    int // attempts that ended before their answer was complete
	cutIDs []string
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
	s.cut++
	s.cutIDs = append(s.cutIDs, id)
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
	return s.sent, s.cut
}

// Guards against requests that an instance takes late in its grace time and cuts at the
// end of it, and against the refusal of those that would have ended before.
func TestLateRequestsEndBeforeTheInstance(t *testing.T) {
	for _, x := range []struct {
		path   string
		work   time.Duration
		events int
		at     time.Duration // after the stop began
		taken  bool
	}{
		{"/book/1", 30 * time.Millisecond, 0, 2900 * time.Millisecond, true},
		{"/read/1", 30 * time.Millisecond, 0, 2900 * time.Millisecond, true},
		{"/book/1", 30 * time.Millisecond, 0, 3050 * time.Millisecond, false}, // no caller should use the instance any more
		{"/read/1", 30 * time.Millisecond, 0, 3300 * time.Millisecond, false},
		{"/book/1", 5 * time.Second, 0, 3050 * time.Millisecond, false},
		{"/book/1", 5 * time.Second, 0, 3300 * time.Millisecond, false},
		{"/read/1", 5 * time.Second, 0, 3300 * time.Millisecond, false},
		{"/read/1", 2 * time.Second, 0, 100 * time.Millisecond, true},
		{"/guide/1", 200 * time.Millisecond, 3, 100 * time.Millisecond, true},
		{"/short/1", 200 * time.Millisecond, 3, 2900 * time.Millisecond, true},
		{"/guide/1", 200 * time.Millisecond, 250, 0, false},
		{"/short/1", 200 * time.Millisecond, 250, 0, false},
		{"/short/1", 200 * time.Millisecond, 250, 3300 * time.Millisecond, false},
	} {
		t.Run(fmt.Sprint(x.path, " ", x.work, " ", x.events, " ", x.at), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStoppingGateway(t, x.work, x.events)
				s.learn(x.path)
				await := s.begin()
				time.Sleep(x.at)
				before, _ := s.counts()
				asked := time.Now()
				err := s.ask(x.path)
				sent, cut := s.counts()
				if x.taken {
					assert.NoError(t, err)
				} else {
					s.requireRefused(err)
					assert.Zero(t, time.Since(asked), "refused at once")
					assert.Equal(t, before, sent, "passed on")
				}
				assert.Zero(t, cut)
				await()
			})
		})
	}
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

// Guards against a request that an instance takes while it stops although nothing is
// known of its time, and against the refusal of one that no other instance can serve.
func TestUnknownTimesAtAStop(t *testing.T) {
	for _, path := range []string{"/book/1", "/read/1", "/guide/1", "/short/1"} {
		for name, others := range map[string][]member.Member{
			"another instance": {{ID: "i2-x"}}, "last instance": nil, "others leave": {{ID: "i2-x", Leaving: true}},
		} {
			t.Run(path+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newStoppingGateway(t, 300*time.Millisecond, 3)
					s.setOthers(others...)
					await := s.begin()
					err := s.ask(path)
					if name == "another instance" {
						s.requireRefused(err)
					} else {
						assert.NoError(t, err)
					}
					await()
				})
			})
		}
	}
}

// lateBound is the time after the signal until which the cut of a request is excused.
const lateBound = 3 * time.Second

// noOthers lists the instances that live beside the one that stops, where none of them
// can serve its callers.
var noOthers = map[string][]member.Member{"last instance": nil, "others leave": {{ID: "i2-x", Leaving: true}}}

// Guards against requests of unknown duration that come late in the stop of the last
// instance, are passed on because nobody else can serve them, and are cut at its end.
func TestLateRequestsOfUnknownDuration(t *testing.T) {
	for _, path := range []string{"/book/1", "/read/1", "/guide/1", "/short/1"} {
		for name, others := range noOthers {
			t.Run(path+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newStoppingGateway(t, time.Minute, 3)
					s.setOthers(others...)
					await := s.begin()
					for _, at := range []time.Duration{lateBound, lateBound + time.Second, lateBound + 3*time.Second} {
						time.Sleep(time.Until(s.stopping.Load().begun.Add(at)))
						f := s.refusalOf(s.ask(path))
						assert.Equal(t, refusal.Stopping, f.Reason)
						assert.Equal(t, refusal.NotRun, f.Outcome)
						assert.True(t, f.RetryAt.After(time.Now()), "time to come back")
					}
					await()
					sent, _ := s.counts()
					assert.Zero(t, sent, "passed on")
				})
			})
		}
	}
}

// Guards against callers that come back while all instances are still stopping, and are
// refused again: the time to come back is when the first of them serves again.
func TestRefusedCallersReturnWhenAnInstanceServes(t *testing.T) {
	const start = 500 * time.Millisecond // of an instance, until it is ready
	for name, x := range map[string]struct {
		left  time.Duration // another instance began to stop so long before this one; 0 if there is none
		gone  bool          // its process has ended
		after time.Duration // from the begin of the stop until callers return
	}{
		"alone":                    {0, false, testGrace*time.Second + start},
		"another began before":     {3 * time.Second, false, (testGrace-3)*time.Second + start},
		"another ended before":     {4 * time.Second, true, (testGrace-4)*time.Second + start},
		"another starts now":       {6 * time.Second, true, lateBound + minRetryDelay},
		"another should be ready":  {20 * time.Second, false, testGrace*time.Second + start},
		"another should come back": {time.Hour, true, testGrace*time.Second + start},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStoppingGateway(t, time.Minute, 3)
				s.readyAfter.Store(start.Milliseconds())
				s.setOthers()
				if x.left > 0 {
					s.setOthers(member.Member{ID: "i2-x", Leaving: true})
					s.membersChanged(s.listMembers())
					time.Sleep(x.left)
				}
				if x.gone {
					s.setOthers()
					s.membersChanged(s.listMembers())
				}
				begun := time.Now()
				await := s.begin()
				time.Sleep(lateBound)
				f := s.refusalOf(s.ask("/guide/1"))
				after := f.RetryAt.Sub(begun)
				assert.GreaterOrEqual(t, after, x.after)
				assert.LessOrEqual(t, after, x.after+retryDelaySpread)
				s.setOthers(member.Member{ID: "i3-x"})
				assert.Zero(t, s.refusalOf(s.ask("/guide/1")).RetryAt, "another instance serves already")
				await()
			})
		})
	}
}

// Guards against a stop that counts as begun anew, or is kept for ever, where instances stop
// for longer than usual.
func TestDeparturesOfInstances(t *testing.T) {
	w := newTestGateway(t)
	w.Settings.Grace = 300
	begun := time.Now()
	list := []member.Member{{ID: "i2-x", Leaving: true}, {ID: "i3-x"}}
	for after := time.Duration(0); after < 10*time.Minute; after += time.Minute {
		w.noteLeaving(list, begun.Add(after))
		require.Equal(t, map[string]time.Time{"i2-x": begun}, w.departures.begun)
	}
	w.noteLeaving(nil, begun.Add(10*time.Minute))
	require.Empty(t, w.departures.begun)
}

// Guards against requests that came early in the stop of the last instance, waited for an
// engine, and are passed on late although nothing is known of their duration.
func TestWaitOfUnknownDurationEndsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoppingGateway(t, time.Minute, 3)
		s.setOthers()
		s.Tables.Current().Routes[1].Aim = time.Minute
		s.pauseAll("e", 4*time.Second)
		await := s.begin()
		begun := time.Now()
		f := s.refusalOf(s.ask("/short/1"))
		assert.Equal(t, refusal.Stopping, f.Reason)
		assert.Equal(t, refusal.NotRun, f.Outcome)
		assert.LessOrEqual(t, time.Since(begun), lateBound)
		await()
		sent, _ := s.counts()
		assert.Zero(t, sent, "passed on")
	})
}

// Guards against the cut of requests that were sent late in the stop of the last instance,
// after it has answered none, few or many requests of their routes. Some take far longer than
// all of these.
func TestLateRequestsAtTheLastInstance(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 41))
				work := time.Duration(20+random.IntN(2500)) * time.Millisecond
				events := 1 + random.IntN(120)
				s := newStoppingGateway(t, work, events)
				s.setOthers(member.Member{ID: "i2-x", Leaving: true})
				paths := []string{"/book/1", "/read/1", "/guide/1", "/short/1"}
				draw := func() { s.set(work/2+time.Duration(random.Int64N(int64(work))), 1+random.IntN(2*events)) }
				for range seed % 4 {
					for _, path := range paths {
						draw()
						s.askMany(path, batch)
					}
				}
				begun := time.Now()
				await := s.begin()
				late := map[string]bool{}
				var wg sync.WaitGroup
				for time.Since(begun) < testGrace*time.Second {
					draw()
					if random.IntN(4) == 0 {
						s.set(testGrace*time.Second, 1)
					}
					path := paths[random.IntN(len(paths))]
					if time.Since(begun) > lateBound {
						late[fmt.Sprint("q", s.asked()+1)] = true
					}
					wg.Go(func() { _ = s.ask(path) })
					synctest.Wait()
					time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
				}
				wg.Wait()
				await()
				for _, id := range s.cutIDs {
					assert.False(t, late[id], "%s was sent late and cut", id)
				}
			})
		})
	}
}

// Guards against the refusal of a request that ends in time whatever its endpoint does,
// because its deadline is before the end of the grace time.
func TestDeadlineBeforeTheEndOfAStop(t *testing.T) {
	for _, path := range []string{"/book/1", "/guide/1"} {
		for wait, taken := range map[time.Duration]bool{4 * time.Second: true, 6 * time.Second: false} {
			t.Run(fmt.Sprint(path, wait), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newStoppingGateway(t, 300*time.Millisecond, 3)
					await := s.begin()
					time.Sleep(2 * time.Second)
					err := s.askFor(path, wait)
					if taken {
						assert.NoError(t, err)
					} else {
						s.requireRefused(err)
					}
					s.set(time.Minute, 3)
					if taken {
						f := s.refusalOf(s.askFor(path, wait))
						assert.Equal(t, refusal.Timeout, f.Reason, "ended by its deadline, not by the stop")
					}
					await()
				})
			})
		}
	}
}

// Guards against requests that wait for an endpoint when their instance begins to stop,
// and are passed on when too little time is left.
func TestRequestsThatWaitAtAStop(t *testing.T) {
	for name, x := range map[string]struct {
		path  string
		work  time.Duration
		pause time.Duration // of all endpoints, from the begin of the stop on
		taken bool
		ends  time.Duration // after the begin of the stop
	}{
		"short call":       {"/book/1", 30 * time.Millisecond, 2 * time.Second, true, 0},
		"long call":        {"/book/1", 2500 * time.Millisecond, 2800 * time.Millisecond, false, 2500 * time.Millisecond},
		"waits for long":   {"/book/1", 30 * time.Millisecond, 4 * time.Second, true, 0},
		"waits too long":   {"/book/1", 30 * time.Millisecond, 7 * time.Second, false, 6 * time.Second},
		"short generation": {"/short/1", 100 * time.Millisecond, 2 * time.Second, true, 0},
		"long generation":  {"/short/1", 2500 * time.Millisecond, 2800 * time.Millisecond, false, 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStoppingGateway(t, x.work, 3)
				s.Tables.Current().Routes[1].Aim = time.Minute
				s.learn(x.path)
				s.pauseAll("d", x.pause)
				s.pauseAll("e", x.pause)
				before, _ := s.counts()
				begun := time.Now()
				ended := make(chan struct{})
				var err error
				go func() {
					defer close(ended)
					err = s.ask(x.path)
				}()
				synctest.Wait()
				await := s.begin()
				<-ended
				sent, cut := s.counts()
				assert.Zero(t, cut)
				if x.taken {
					assert.NoError(t, err)
				} else {
					s.requireRefused(err)
					assert.LessOrEqual(t, time.Since(begun), x.ends, "refused as soon as it is known")
					assert.Equal(t, before, sent, "passed on")
				}
				await()
			})
		})
	}
}

// Guards against a second attempt that starts when too little time is left for it.
func TestLateSecondAttempt(t *testing.T) {
	for _, path := range []string{"/read/1", "/short/1"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStoppingGateway(t, 2*time.Second, 3)
				s.learn(path)
				before, _ := s.counts()
				s.Backend.Send = func(ctx context.Context, c Call) (*Answer, error) {
					if sent, _ := s.counts(); sent > before {
						return s.serve(ctx, c)
					}
					s.mu.Lock()
					s.sent++
					s.mu.Unlock()
					time.Sleep(5 * time.Second)
					return nil, connectionLost()
				}
				ended := make(chan struct{})
				var err error
				go func() {
					defer close(ended)
					err = s.ask(path)
				}()
				synctest.Wait()
				await := s.begin()
				<-ended
				sent, cut := s.counts()
				assert.Equal(t, before+1, sent, "attempts")
				assert.Zero(t, cut)
				assert.Equal(t, refusal.Stopping, s.refusalOf(err).Reason)
				await()
			})
		})
	}
}

// Guards against requests of any route that are cut by a planned stop although they came
// late in it: times are drawn at random, and callers do not follow the list.
func TestNothingIsCutByAStop(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, seed))
				work := time.Duration(20+random.IntN(2500)) * time.Millisecond
				events := 1 + random.IntN(120)
				s := newStoppingGateway(t, work, events)
				paths := []string{"/book/1", "/read/1", "/guide/1", "/short/1"}
				for range testHistory / batch {
					for _, path := range paths {
						s.set(work/2+time.Duration(random.Int64N(int64(work))), 1+random.IntN(2*events))
						s.askMany(path, batch)
					}
				}
				begun := time.Now()
				await := s.begin()
				var wg sync.WaitGroup
				for time.Since(begun) < testGrace*time.Second {
					s.set(work/2+time.Duration(random.Int64N(int64(work))), 1+random.IntN(2*events))
					path := paths[random.IntN(len(paths))]
					wg.Go(func() {
						if err := s.ask(path); err != nil && !isOverload(err) {
							s.requireRefused(err)
						}
					})
					time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
				}
				wg.Wait()
				await()
				sent, cut := s.counts()
				t.Logf("work %v, %d events, %d of %d passed on while stopping", work, events, sent-4*testHistory, s.n-4*testHistory)
				require.Zero(t, cut)
			})
		})
	}
}

// Guards against an attempt that is ended for another one, which is then refused because
// the instance stops.
func TestAttemptGoesOnWithoutARepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoppingGateway(t, 2*time.Second, 0)
		s.Tables.Current().Routes[3].Aim = time.Second
		ended := make(chan struct{})
		var err error
		go func() {
			defer close(ended)
			err = s.ask("/read/1")
		}()
		time.Sleep(100 * time.Millisecond)
		await := s.begin()
		<-ended
		assert.NoError(t, err)
		sent, cut := s.counts()
		assert.Equal(t, 1, sent)
		assert.Zero(t, cut)
		await()
	})
}
