package gateway

import (
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
				for _, id := range s.cut {
					assert.False(t, late[id], "%s was sent late and cut", id)
				}
			})
		})
	}
}
