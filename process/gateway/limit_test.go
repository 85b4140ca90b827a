package gateway

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// Figures of the users' rule on limits.
const (
	limitContact = 4 * time.Second // from the first answer with a limit until the rule applies
	limitWindow  = 4 * time.Second
	limitHeard   = 500 * time.Millisecond // from an answer with a limit until its instance counts
	limitFactor  = 1.5
	limitSlack   = 5

	askTime = 3 * time.Second // from a request to its deadline
)

// limitedFleet is a fleet whose endpoints name limits, and which records what reaches
// them.
type limitedFleet struct {
	*fleet
	random *rand.Rand // of load

	mu       sync.Mutex
	asked    int                // requests so far
	limits   map[string]float64 // named from now on, by endpoint
	first    map[string]time.Time
	heard    map[string]time.Time // by instance and endpoint
	arrivals map[string][]time.Time
	counted  map[string][]time.Time // arrivals to which the rule applies
}

// newLimitedFleet returns a fleet of n instances, all in one region. It must be called
// in a synctest bubble.
func newLimitedFleet(t *testing.T, n int) *limitedFleet {
	f := &limitedFleet{
		fleet: newFleet(t, 0), random: rand.New(rand.NewPCG(21, 1)), limits: map[string]float64{}, first: map[string]time.Time{},
		heard: map[string]time.Time{}, arrivals: map[string][]time.Time{}, counted: map[string][]time.Time{},
	}
	f.members = f.all
	for range n {
		f.add()
	}
	time.Sleep(limitContact) // so that all know each other
	return f
}

func (f *limitedFleet) add() *testGateway {
	w := f.fleet.add()
	w.answer = func(_ int, c Call) (*Answer, error) {
		plain := plainAnswer(http.StatusOK, "x")
		if c.Stream {
			plain = eventStream("s", 1, 2, false)
		}
		return f.reach(w, c.Endpoint.ID, plain)
	}
	report, move := w.Backend.Report, w.Backend.Move
	w.Backend.Report = func(ctx context.Context, e roster.Endpoint) (Report, error) {
		_, _ = f.reach(w, e.ID, plainAnswer(http.StatusOK, ""))
		return report(ctx, e)
	}
	w.Backend.Move = func(ctx context.Context, m Move) (Moved, error) {
		_, _ = f.reach(w, m.From.ID, plainAnswer(http.StatusOK, ""))
		return move(ctx, m)
	}
	return w
}

func (f *limitedFleet) all() (list []member.Member) {
	for _, w := range f.list() {
		list = append(list, member.Member{ID: w.id, Region: "r0"})
	}
	return list
}

// name makes an endpoint name a limit from now on, none if it is negative.
func (f *limitedFleet) name(endpoint string, limit float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if delete(f.limits, endpoint); limit >= 0 {
		f.limits[endpoint] = limit
		return
	}
	delete(f.first, endpoint)
}

// reach lets a request reach an endpoint, and returns its answer after some time.
func (f *limitedFleet) reach(w *testGateway, endpoint string, a *Answer) (*Answer, error) {
	now := time.Now()
	f.mu.Lock()
	f.arrivals[endpoint] = append(f.arrivals[endpoint], now)
	first, named := f.first[endpoint]
	heard, told := f.heard[w.id+endpoint]
	if named && told && now.Sub(first) >= limitContact && now.Sub(heard) >= limitHeard {
		f.counted[endpoint] = append(f.counted[endpoint], now)
	}
	limit, limited := f.limits[endpoint]
	if limited && !named {
		f.first[endpoint] = now
	}
	f.mu.Unlock()
	time.Sleep(30*time.Millisecond + rand.N(60*time.Millisecond))
	if limited {
		a.Limit = &limit
		f.mu.Lock()
		if _, told := f.heard[w.id+endpoint]; !told {
			f.heard[w.id+endpoint] = time.Now()
		}
		f.mu.Unlock()
	}
	return a, nil
}

// ask sends a request with a deadline to an instance.
func (f *limitedFleet) ask(w *testGateway, path string) error {
	f.mu.Lock()
	f.asked++
	id := fmt.Sprint("r", f.asked)
	f.mu.Unlock()
	r := promptRequest(path, id)
	r.ID, r.Deadline = id, r.Arrived.Add(askTime)
	_, err := w.requestWith(f.t.Context(), r)
	return err
}

// load sends requests to instances at random times, rate a second to all together, and
// returns how many failed. With skew, all of them go to the first instance.
func (f *limitedFleet) load(path string, rate float64, d time.Duration, skew bool) (sent, failed int) {
	var (
		mu sync.Mutex
		wg sync.WaitGroup
	)
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)))
		list := f.list()
		w := list[f.random.IntN(len(list))]
		if skew {
			w = list[0]
		}
		sent++
		wg.Go(func() {
			if f.ask(w, path) != nil {
				mu.Lock()
				defer mu.Unlock()
				failed++
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second) // until copies in progress have ended
	return sent, failed
}

// arrived returns how many requests have reached endpoints so far.
func (f *limitedFleet) arrived(endpoints []string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range endpoints {
		n += len(f.arrivals[e])
	}
	return n
}

// most returns the largest number of times within limitWindow of each other.
func most(list []time.Time) (most int) {
	slices.SortFunc(list, time.Time.Compare)
	from := 0
	for i, at := range list {
		for at.Sub(list[from]) >= limitWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// requireKept checks that an endpoint with a limit got no more requests than the rule
// allows.
func (f *limitedFleet) requireKept(endpoint string, limit float64) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack
	require.LessOrEqual(f.t, float64(most(f.counted[endpoint])), math.Floor(allowed), "requests in 4 s at a limit of %v", limit)
}

// Guards against instances that together send an endpoint more requests than the rate
// that it names.
func TestInstancesKeepTheLimitOfAnEndpoint(t *testing.T) {
	for _, tt := range []struct {
		instances int
		limit     float64
		skew      bool
		path      string
		endpoint  string
	}{
		{7, 5.4, false, "/read/1", "d0"},
		{7, 3.6, false, "/book/1", "d0"},
		{7, 3.6, true, "/read/1", "d0"},
		{30, 3.6, false, "/read/1", "d0"},
		{30, 0.4, false, "/read/1", "d0"},
		{7, 0, false, "/read/1", "d0"},
		{81, 5.4, false, "/book/1", "d0"},
		{7, 1.2, false, "/short/1", "e0"},
		{7, 1.2, false, "/guide/1", "e0"},
	} {
		t.Run(fmt.Sprint(tt), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitedFleet(t, tt.instances)
				defer close(f.stop)
				f.name(tt.endpoint, tt.limit)
				_, failed := f.load(tt.path, 43, 20*time.Second, tt.skew)
				f.requireKept(tt.endpoint, tt.limit)
				require.Zero(t, failed, "other endpoints can take the requests")
				f.mu.Lock()
				defer f.mu.Unlock()
				require.NotEmpty(t, f.arrivals[tt.endpoint])
			})
		})
	}
}

// Guards against a limit that stays in force, at any instance, after the endpoint has
// ceased to name it.
func TestLimitEndsAtAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(t, 7)
		defer close(f.stop)
		f.name("d0", 1)
		f.load("/read/1", 43, 10*time.Second, false)
		for _, w := range f.list() {
			require.True(t, w.limits.Limited("d0"))
		}
		f.name("d0", -1)
		f.load("/read/1", 43, 5*time.Second, false)
		for _, w := range f.list() {
			require.False(t, w.limits.Limited("d0"))
		}
	})
}

// Guards against requests that wait for endpoints which cannot take them, and against a
// limit of which most is unused, when all endpoints of a service have named one.
func TestAllEndpointsHaveLimits(t *testing.T) {
	for _, path := range []string{"/read/1", "/short/1"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const limit, seconds = 3.0, 20
				endpoints := []string{"d0", "d1", "d2", "d3"}
				if path == "/short/1" {
					endpoints = []string{"e0", "e1", "e2", "e3"}
				}
				f := newLimitedFleet(t, 7)
				defer close(f.stop)
				for _, e := range endpoints {
					f.name(e, limit)
				}
				f.load(path, 43, limitContact, false)
				before := f.arrived(endpoints)
				sent, failed := f.load(path, 43, seconds*time.Second, false)
				served := f.arrived(endpoints) - before
				for _, e := range endpoints {
					f.requireKept(e, limit)
				}
				t.Logf("%d of %d served, %d refused; %.2f of the limits used", served, sent, failed, float64(served)/(4*limit*seconds))
				require.Greater(t, float64(served), 4*limit*seconds/2)
				require.Positive(t, failed)

				w, begun := f.instances[0], time.Now()
				var (
					wg     sync.WaitGroup
					mu     sync.Mutex
					atOnce int
				)
				for range 40 {
					wg.Go(func() {
						err := f.ask(w, path)
						if err == nil {
							return
						}
						refused := w.refusalOf(err)
						assert.Equal(t, refusal.EndpointLimit, refused.Reason)
						assert.Equal(t, refusal.NotRun, refused.Outcome)
						assert.True(t, refused.RetryAt.After(time.Now()))
						mu.Lock()
						defer mu.Unlock()
						if time.Since(begun) == 0 {
							atOnce++
						}
					})
				}
				wg.Wait()
				require.Positive(t, atOnce)
			})
		})
	}
}

// Guards against a limit that ends, or is raised, because of an answer to a request that
// was sent before the endpoint named it.
func TestAnswersCrossALimit(t *testing.T) {
	w := newTestGateway(t)
	e, ok := w.Roster.Get("d0")
	require.True(t, ok)
	rate := func(r float64) *Answer { return &Answer{Status: http.StatusOK, Limit: &r} }
	begun := time.Now()
	w.recordLimit(e, rate(2), begun)
	w.recordLimit(e, &Answer{Status: http.StatusOK}, begun)
	require.True(t, w.limits.Limited("d0"))
	w.recordLimit(e, rate(9), begun)
	require.InDelta(t, 2, w.limits.List(time.Now())[0].Rate, 0)
	later := time.Now()
	for name, a := range map[string]*Answer{
		"refusal": {Status: http.StatusServiceUnavailable, NotRun: true}, "failure": {Status: http.StatusInternalServerError},
		"invalid": {Status: http.StatusOK, InvalidLimit: "many"}, "other endpoint": {Status: http.StatusMisdirectedRequest, NotRun: true, AddressReused: true},
	} {
		w.recordLimit(e, a, later)
		require.True(t, w.limits.Limited("d0"), name)
	}
	w.recordLimit(e, &Answer{Status: http.StatusOK}, later)
	require.False(t, w.limits.Limited("d0"))
	w.recordLimit(e, rate(2), begun)
	require.True(t, w.limits.Limited("d0"), "a late answer with a limit is believed")
	w.Roster.Set(roster.Endpoint{ID: "d0", Service: plainService, Addr: "10.0.1.0:1", Place: "p0", Slots: 6, Born: 5})
	w.onEndpointsChanged(plainService)
	require.False(t, w.limits.Limited("d0"), "an endpoint that has started again has no limit")
}
