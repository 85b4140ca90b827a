package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/platform/fake"
)

const (
	stallRequests = 40                      // of one round, so that some of their timers fire before their answers are read
	stallRounds   = 20                      // of one test at most
	stallReach    = 500 * time.Millisecond  // by which all requests are at endpoints; shorter than an attempt
	stallWork     = 1200 * time.Millisecond // mean duration of a plain request at its replica; at least half of it
	stallEvents   = 60                      // of a stream, which takes about a second
	longStall     = 2400 * time.Millisecond // longer than shortTimeout and than an attempt at a plain replica
	shortTimeout  = 2 * time.Second
)

// The same seed must yield the same stalls. Over 20 seeds each kind must occur, and a
// series of stalls.
func TestStallPlanDependsOnTheSeedAlone(t *testing.T) {
	require.Equal(t, StallPlan(7, time.Minute), StallPlan(7, time.Minute))
	require.NotEqual(t, StallPlan(7, time.Minute), StallPlan(8, time.Minute))
	kinds := map[string]int{}
	again := 0
	for seed := range uint64(20) {
		last := map[int]time.Duration{}
		for _, f := range StallPlan(seed, time.Minute) {
			kinds[f.Kind]++
			if f.Kind != Stall && f.Kind != Still {
				continue
			}
			require.GreaterOrEqual(t, f.Last, minStall)
			require.Less(t, f.Last, maxStall)
			if end, ok := last[f.Target]; ok && f.After-end <= 2*minRunning {
				again++
			}
			last[f.Target] = f.After + f.Last
		}
	}
	for _, kind := range []string{Stall, Still, Change, Withdraw, Hup, Reclaim} {
		require.Positive(t, kinds[kind], kind)
	}
	require.Positive(t, again)
}

// Guards against requests that are cut, or run at two engines, because the instance stood
// still for a moment.
func TestSoakStalls(t *testing.T) {
	binary := build(t)
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			const total = 30 * time.Second
			s := Soak{Binary: binary, Dir: t.TempDir(), Seed: seed, Duration: total, Instances: 4, Faults: StallPlan(seed, total)}
			sum, err := s.Run(context.Background())
			requireKept(t, &s, sum, err)
			for _, promise := range []string{Order, Own, NotRun, Once, Leaving, Config, Whole} {
				require.Positive(t, sum.Checks[promise], promise)
			}
		})
	}
}

// Guards against checks that a stall of the instance excuses, and against two stalls of an
// instance that together are longer than one may be.
func TestStallExcusesNothing(t *testing.T) {
	var l Ledger
	now := time.Now()
	l.Sent("lost", "i1", fake.EngineService, "club", true, now)
	l.Sent("whole", "i1", fake.EngineService, "club", true, now)
	l.Stalls("i1", now.Add(time.Second))
	for _, id := range []string{"lost", "whole"} {
		l.Began(id, "a", "club", false, now)
	}
	l.Lost("lost", "cut", now.Add(time.Second))
	l.Answered("whole", "a", now.Add(time.Second))
	l.Close()
	checks, breaches, _ := l.Result()
	require.EqualValues(t, 2, checks[Whole])
	require.EqualValues(t, 1, breaches[Whole])

	ctx, cancel := context.WithCancel(t.Context())
	cancel() // stall returns at once
	s := Soak{ctx: ctx}
	i := &instance{}
	s.stall(i, now.Add(minStall))
	s.stall(i, now.Add(maxStall))
	require.Equal(t, now.Add(minStall), i.stalledUntil)
}

// stalled sends requests to one instance and suspends it as soon as endpoints work on all
// of them.
type stalled struct {
	s    Soak
	sent int // requests

	mu    sync.Mutex
	began map[string]int // runs, by request
	runs  int            // that endpoints work on
}

// newStalled starts an instance, whose requests time out after timeout, and endpoints.
func newStalled(t *testing.T, binary string, timeout time.Duration) *stalled {
	x := &stalled{s: Soak{Binary: binary, Dir: t.TempDir(), Seed: 1, Instances: 1}, began: map[string]int{}}
	x.s.ctx = t.Context()
	x.s.prepare()
	t.Cleanup(x.s.tearDown)
	require.NoError(t, x.s.setUp(t.Context()))
	for _, p := range x.s.sites {
		p.endpoint.Work, p.endpoint.Began, p.endpoint.Ended = stallWork, x.begin, x.end
		p.endpoint.SetFaults(fake.EndpointFaults{}) // with its lock, so that its handlers see the new fields
	}
	const version = 100
	require.NoError(t, x.s.store.Configure(version, x.s.operators.stored, timeout))
	for x.send(t, fake.VersionPrefix(version)+"x", 0, "start").Status != http.StatusOK {
		require.True(t, sleep.For(t.Context(), watchInterval))
	}
	return x
}

func (x *stalled) begin(r fake.Run) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.began[r.Request]++
	x.runs++
}

func (x *stalled) end(fake.Run, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.runs--
}

// runsOf returns how often endpoints began to run a request.
func (x *stalled) runsOf(id string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.began[id]
}

// atWork returns the number of runs that endpoints work on.
func (x *stalled) atWork() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.runs
}

// send sends a request and waits for its answer for longer than the instance may.
func (x *stalled) send(t *testing.T, path string, events int, id string) fake.Reply {
	key, _ := permanentKey(0)
	a := fake.Request{ID: id, Path: path, Key: key, Events: events, Deadline: time.Now().Add(time.Minute), Event: func(int, string) {}}
	return a.Do(t.Context(), x.s.newClient(), x.s.instances[0].settings.Callers)
}

// run sends requests and suspends the instance from when endpoints work on all of them
// until they have sent their answers, and until longStall after the requests were sent.
// Each request must have run once and be answered whole. If the machine is too busy to get
// so far in time, other requests are sent.
func (x *stalled) run(t *testing.T, path string, events int) {
	for range stallRounds {
		if x.round(t, path, events) {
			return
		}
	}
	t.Fatal("the machine is too busy: the requests did not reach endpoints within", stallReach)
}

// round is one round of run. It reports false if the requests did not reach endpoints in
// time.
func (x *stalled) round(t *testing.T, path string, events int) bool {
	var replies [stallRequests]fake.Reply
	var all conc.WaitGroup
	begun, first := time.Now(), x.sent
	id := func(n int) string { return fmt.Sprint("q", first+n) }
	for n := range replies {
		x.sent++
		all.Go(func() { replies[n] = x.send(t, path+"x", events, id(n)) })
	}
	for x.atWork() < len(replies) && time.Since(begun) < stallReach {
		sleep.For(t.Context(), time.Millisecond)
	}
	x.s.instances[0].signal(syscall.SIGSTOP)
	reached := x.atWork() == len(replies) && time.Since(begun) < stallReach
	for x.atWork() > 0 {
		sleep.For(t.Context(), time.Millisecond)
	}
	sleep.For(t.Context(), time.Until(begun.Add(longStall)))
	x.s.instances[0].signal(syscall.SIGCONT)
	all.Wait()
	if !reached {
		return false
	}
	outcomes := map[string]int{}
	for n, r := range replies {
		outcomes[fmt.Sprintf("status %d, events %d, error %v, runs %d", r.Status, r.Events, r.Err, x.runsOf(id(n)))]++
	}
	require.Equal(t, map[string]int{fmt.Sprintf("status 200, events %d, error <nil>, runs 1", events): len(replies)}, outcomes)
	return true
}

// Guards against a request that ends without its answer, which has arrived, because its
// deadline passed while the instance stood still.
func TestAnswersThatArriveInAStall(t *testing.T) {
	binary := build(t)
	for path, events := range map[string]int{fake.OncePrefix: 0, fake.GuidePrefix: stallEvents, fake.ShortPrefix: stallEvents} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			newStalled(t, binary, shortTimeout).run(t, path, events)
		})
	}
}

// Guards against a request that is sent once more although its answer has arrived, because
// most of its latency target passed while the instance stood still.
func TestAttemptsInAStall(t *testing.T) {
	binary := build(t)
	for _, timeout := range []time.Duration{shortTimeout, routeTimeout} {
		t.Run(timeout.String(), func(t *testing.T) {
			t.Parallel()
			newStalled(t, binary, timeout).run(t, fake.SafePrefix, 0)
		})
	}
}
