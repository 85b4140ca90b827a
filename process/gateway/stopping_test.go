package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

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
