package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/process/loads"
	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/ratelimit"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/version/routing"
)

// Figures of the users' rule on cold endpoints; at a rate of 6, 14 requests in a second.
const (
	testColdTime = 1500 * time.Millisecond
	testColdRate = 6.0
	testColdMost = testColdRate*1.5 + 5
)

// makeCold lets endpoints of all services be cold.
func (w *testGateway) makeCold() {
	w.Settings.Cold = Cold{Factor: 1.5, Slack: 5}
	services := w.Tables.Current().Services
	for i := range services {
		services[i].Cold = routing.Cold{Time: testColdTime, Rate: testColdRate}
	}
	w.limits.Start = time.Now().Add(-time.Hour) // this instance knows the members
}

func (w *testGateway) listed(id string) roster.Endpoint {
	e, ok := w.Roster.Get(id)
	require.True(w.t, ok)
	return e
}

// Guards against a cold endpoint that gets the load of an ordinary one, whatever shows that it
// is cold, and against an effect where no cold times are configured.
func TestWhatShowsThatAnEndpointIsCold(t *testing.T) {
	again := func(w *testGateway) roster.Endpoint {
		e := w.listed("e1")
		e.Born++
		return e
	}
	for _, tt := range []struct {
		name string
		sign func(w *testGateway)
		want time.Duration
	}{
		{"row", func(w *testGateway) { w.NoteRow(w.listed("e1"), 5*time.Second, false) }, 5 * time.Second},
		{"row in the first reading", func(w *testGateway) { w.NoteRow(w.listed("e1"), 5*time.Second, true) }, 5 * time.Second},
		{"new row", func(w *testGateway) { e := w.listed("e1"); w.Roster.Remove("e1"); w.NoteRow(e, 0, false) }, testColdTime},
		{"new row that names a longer time", func(w *testGateway) {
			e := w.listed("e1")
			w.Roster.Remove("e1")
			w.NoteRow(e, 5*time.Second, false)
		}, 5 * time.Second},
		{"later start", func(w *testGateway) { w.NoteRow(again(w), 0, false) }, testColdTime},
		{"first reading", func(w *testGateway) { e := w.listed("e1"); w.Roster.Remove("e1"); w.NoteRow(e, 0, true) }, 0},
		{"renewed row", func(w *testGateway) { w.NoteRow(w.listed("e1"), 0, false) }, 0},
		{"answer", func(w *testGateway) {
			w.heed(w.listed("e1"), Signals{ColdUntil: time.Now().Add(3 * time.Second)}, roster.FromReport)
		}, 3 * time.Second},
		{"answer of an earlier process", func(w *testGateway) {
			e := w.listed("e1")
			w.Roster.Set(again(w))
			w.heed(e, Signals{ColdUntil: time.Now().Add(3 * time.Second)}, roster.FromReport)
		}, 0},
		{"evacuation", func(w *testGateway) { w.coolEndpoints([]roster.Endpoint{w.listed("e1")}) }, testColdTime},
		{"silence", func(w *testGateway) {
			w.makeUnreachable("e1")
			synctest.Wait()
			w.mu.Lock()
			w.unreachable["e1"] = false
			w.mu.Unlock()
			for w.testEnginePool().isDown("e1") {
				time.Sleep(time.Millisecond)
			}
		}, testColdTime},
	} {
		for _, configured := range []bool{true, false} {
			t.Run(fmt.Sprint(tt.name, " ", configured), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newTestGateway(t)
					if configured {
						w.makeCold()
					}
					tt.sign(w)
					want := tt.want
					if !configured {
						want = 0
						require.False(t, w.limits.Any())
					}
					now := time.Now()
					require.Equal(t, want > 0, w.limits.IsCold("e1", now))
					require.Equal(t, want > 0, w.limits.IsCold("e1", now.Add(want-10*time.Millisecond)))
					require.False(t, w.limits.IsCold("e1", now.Add(want)))
				})
			})
		}
	}
}

// Guards against what is learned before the first routing table and lost.
func TestColdBeforeTheFirstTable(t *testing.T) {
	w := newTestGateway(t)
	w.makeCold()
	table, e := w.Tables.Current(), w.listed("e1")
	w.Tables = routing.Keeper{}
	w.NoteRow(e, 5*time.Second, true)
	require.False(t, w.limits.Any())
	w.Tables.Install(table)
	w.coolPending()
	require.True(t, w.limits.IsCold("e1", time.Now()))
}

// Guards against sends of any kind that count against no limit: a cold endpoint gets no more
// than it tolerates while requests, generations, repeats, reports and orders are to be sent
// there, and requests are served elsewhere meanwhile.
func TestAllSendsToAColdEndpointAreCounted(t *testing.T) {
	for _, cold := range [][]string{{"d0", "e0"}, {"d0", "d1", "d2", "d3", "e0", "e1", "e2", "e3"}} {
		t.Run(fmt.Sprint(len(cold)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPausingEndpoints(t)
				p.makeCold()
				p.answer = func(n int, c Call) (*Answer, error) {
					if !c.Stream {
						return plainAnswer(http.StatusOK, "x"), nil
					}
					a := eventStream("s", 1, 3, n%20 == 0)
					a.Body = io.MultiReader(io.LimitReader(a.Body, 15), delayedBody{100 * time.Millisecond}, a.Body)
					return a, nil
				}
				var (
					lock     sync.Mutex
					arrivals = map[string][]time.Time{}
				)
				reach := func(e roster.Endpoint) {
					lock.Lock()
					defer lock.Unlock()
					arrivals[e.ID] = append(arrivals[e.ID], time.Now())
				}
				send, report, move, free := p.Backend.Send, p.Backend.Report, p.Backend.Move, p.Backend.Free
				p.Backend.Send = func(ctx context.Context, c Call) (*Answer, error) { reach(c.Endpoint); return send(ctx, c) }
				p.Backend.Report = func(ctx context.Context, e roster.Endpoint) (Report, error) { reach(e); return report(ctx, e) }
				p.Backend.Move = func(ctx context.Context, m Move) (Moved, error) { reach(m.From); return move(ctx, m) }
				p.Backend.Free = func(ctx context.Context, e roster.Endpoint, h string) (Signals, error) {
					reach(e)
					return free(ctx, e, h)
				}
				for _, id := range cold {
					p.NoteRow(p.listed(id), time.Minute, false)
				}
				var (
					wg     sync.WaitGroup
					served int
				)
				for i := range 600 {
					time.Sleep(20 * time.Millisecond)
					path := []string{"/read/1", "/book/1", "/guide/1", "/short/1"}[i%4]
					wg.Go(func() {
						if _, err := p.ask(path, 4*time.Second); err == nil {
							lock.Lock()
							defer lock.Unlock()
							served++
						}
					})
					if i%10 == 0 {
						wg.Go(func() {
							_, _ = p.report(p.base, p.listed("e0"))
							p.freeCopy(p.listed("e0"), "h")
						})
					}
				}
				wg.Wait()
				time.Sleep(5 * time.Second) // until probes and copies have ended
				lock.Lock()
				defer lock.Unlock()
				for _, id := range cold {
					require.LessOrEqual(t, float64(busiest(arrivals[id])), testColdMost, id)
					require.NotEmpty(t, arrivals[id], "it is used within its bound")
				}
				p.lock.Lock()
				t.Logf("%d of 600 served; control calls by kind: %v", served, p.kinds)
				p.lock.Unlock()
				if len(cold) == 2 {
					require.Equal(t, 600, served)
				}
			})
		})
	}
}

// busiest returns the largest number of times within less than a second, of an ordered list.
func busiest(list []time.Time) (most int) {
	for i := range list {
		n := slices.IndexFunc(list[i:], func(at time.Time) bool { return at.Sub(list[i]) >= time.Second })
		if n < 0 {
			n = len(list) - i
		}
		most = max(most, n)
	}
	return most
}

// Guards against a new endpoint that gets the requests of all instances at once, as these learn
// of it within a second, and against one that is not used while it is cold.
func TestInstancesKeepTheBoundOfAColdEndpoint(t *testing.T) {
	for _, tt := range []struct {
		instances int
		path      string
		e         roster.Endpoint
	}{
		{7, "/read/1", roster.Endpoint{ID: "d9", Service: plainService, Addr: "10.0.1.9:1", Place: "p0", Slots: 6}},
		{30, "/book/1", roster.Endpoint{ID: "d9", Service: plainService, Addr: "10.0.1.9:1", Place: "p0", Slots: 6}},
		{7, "/short/1", roster.Endpoint{ID: "e9", Service: engineService, Addr: "10.0.0.9:1", Place: "p0", Slots: 24}},
		{30, "/guide/1", roster.Endpoint{ID: "e9", Service: engineService, Addr: "10.0.0.9:1", Place: "p0", Slots: 24}},
	} {
		t.Run(fmt.Sprint(tt.instances, tt.path), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitedFleet(t, tt.instances)
				defer close(f.stop)
				for _, w := range f.list() {
					w.makeCold()
					time.AfterFunc(time.Duration(f.random.Float64()*float64(time.Second)), func() {
						w.NoteRow(tt.e, 20*time.Second, false)
						w.Roster.Set(tt.e)
						w.onEndpointsChanged(tt.e.Service)
					})
				}
				_, failed := f.load(tt.path, 60, 15*time.Second, false)
				f.mu.Lock()
				defer f.mu.Unlock()
				list := f.arrivals[tt.e.ID]
				t.Logf("%d requests, at most %d in a second", len(list), busiest(list))
				require.Zero(t, failed)
				require.LessOrEqual(t, float64(busiest(list)), testColdMost)
				require.NotEmpty(t, list, "it is used while it is cold")
			})
		})
	}
}

// Guards against cold endpoints that are hardly used while requests wait for them, and against
// more than they tolerate then.
func TestColdEndpointsAreUsedWhereWorkWaits(t *testing.T) {
	for _, instances := range []int{7, 30} {
		for _, path := range []string{"/read/1", "/short/1"} {
			t.Run(fmt.Sprint(instances, path), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newLimitedFleet(t, instances)
					defer close(f.stop)
					endpoints := []string{"d0", "d1", "d2", "d3"}
					if path == "/short/1" {
						endpoints = []string{"e0", "e1", "e2", "e3"}
					}
					for _, w := range f.list() {
						w.makeCold()
						for _, id := range endpoints {
							w.NoteRow(w.listed(id), time.Minute, false)
						}
					}
					const seconds = 10
					from := time.Now().Add(2 * time.Second) // when requests wait
					f.load(path, 120, (2+seconds)*time.Second, false)
					f.mu.Lock()
					defer f.mu.Unlock()
					worst, sent := 0, 0
					for _, id := range endpoints {
						worst = max(worst, busiest(f.arrivals[id]))
						for _, at := range f.arrivals[id] {
							if d := at.Sub(from); d >= 0 && d < seconds*time.Second {
								sent++
							}
						}
					}
					used := float64(sent) / (testColdRate * seconds * float64(len(endpoints)))
					t.Logf("used %.2f of the rate, at most %d in a second", used, worst)
					require.LessOrEqual(t, float64(worst), testColdMost)
					require.GreaterOrEqual(t, used, 2.0/3)
				})
			})
		}
	}
}

// delayedBody is an empty part of a body that takes some time.
type delayedBody struct{ delay time.Duration }

func (d delayedBody) Read([]byte) (int, error) {
	time.Sleep(d.delay)
	return 0, io.EOF
}

// Guards against requests that are refused, or held for long, at an instance without grants to
// the only endpoints, whose cold time ends soon; and against a caller that is told to come back
// an hour later.
func TestInstanceWithoutGrants(t *testing.T) {
	for _, path := range []string{"/read/1", "/guide/1"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t)
				w.makeCold()
				w.limits.Start = time.Now()
				w.answer = func(_ int, c Call) (*Answer, error) {
					if c.Stream {
						return eventStream("s", 1, 2, false), nil
					}
					return plainAnswer(http.StatusOK, "x"), nil
				}
				cool := func(d time.Duration) {
					for _, e := range w.Roster.All() {
						w.NoteRow(e, d, false)
					}
				}
				begun := time.Now()
				cool(500 * time.Millisecond)
				_, err := w.request(path)
				require.NoError(t, err)
				require.GreaterOrEqual(t, time.Since(begun), 500*time.Millisecond)
				cool(time.Hour)
				begun = time.Now()
				_, err = w.request(path)
				require.Less(t, w.refusalOf(err).RetryAt, begun.Add(10*time.Second))
			})
		})
	}
}

// Guards against an engine that is unreachable, gets probes of all instances and is overloaded
// by them when it is back; and against instances without grants that learn it late.
func TestProbesOfAnUnreachableEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 40
		f := newFleet(t, 0)
		defer close(f.stop)
		f.members = func() (list []member.Member) {
			for _, w := range f.list() {
				list = append(list, member.Member{ID: w.id, Region: "r0"})
			}
			return list
		}
		var (
			lock   sync.Mutex
			probes []time.Time
		)
		for range n {
			w := f.add()
			w.makeCold()
			w.exchangeNotices(f)
			report := w.Backend.Report
			w.Backend.Report = func(ctx context.Context, e roster.Endpoint) (Report, error) {
				lock.Lock()
				probes = append(probes, time.Now())
				lock.Unlock()
				return report(ctx, e)
			}
		}
		time.Sleep(limitContact)
		f.setUnreachable("e1", true)
		for _, w := range f.list() {
			w.testEnginePool().suspect("e1")
		}
		time.Sleep(10 * time.Second)
		lock.Lock()
		probes = nil
		lock.Unlock()
		f.setUnreachable("e1", false)
		back := time.Now()
		for slices.ContainsFunc(f.list(), func(w *testGateway) bool { return w.testEnginePool().isDown("e1") }) {
			time.Sleep(10 * time.Millisecond)
			require.Less(t, time.Since(back), 10*time.Second)
		}
		t.Logf("known everywhere after %v, with %d probes", time.Since(back), len(probes))
		require.LessOrEqual(t, float64(len(probes)), testColdMost)
		require.Less(t, time.Since(back), 3*time.Second, "two windows of the holders at the most")
	})
}

// exchangeNotices passes the notices of an instance to the others.
func (w *testGateway) exchangeNotices(f *fleet) {
	go func() {
		for {
			select {
			case <-f.stop:
				return
			case n := <-w.notices:
				for _, o := range f.list() {
					if o != w {
						o.onNotice(n)
					}
				}
			}
		}
	}()
}

func (f *fleet) setUnreachable(engine string, unreachable bool) {
	for _, w := range f.list() {
		w.mu.Lock()
		w.unreachable[engine] = unreachable
		w.mu.Unlock()
	}
}

// Guards against a finding of another instance that is sent on, or ends no probing.
func TestAnswerAtAnotherInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.makeCold()
		w.limits.SetMembers("none", []ratelimit.Member{{ID: "other", Region: "r0"}}, time.Now())
		w.makeUnreachable("e1")
		time.Sleep(time.Second)
		require.True(t, w.testEnginePool().isDown("e1"))
		<-w.notices
		w.onNotice(loads.Notice{Endpoint: "e1"})
		synctest.Wait()
		require.False(t, w.testEnginePool().isDown("e1"))
		require.Empty(t, w.notices)
		require.True(t, w.limits.IsCold("e1", time.Now()))
	})
}

// Guards against lines about cold times that do not say what operators look for.
func TestLinesOfColdTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.makeCold()
		var out bytes.Buffer
		w.Log.SetOutput(&out)
		w.Log.SetFormatter(&logrus.JSONFormatter{})
		w.NoteRow(w.listed("e1"), time.Second, false)
		w.NoteRow(w.listed("e1"), time.Second, false)
		time.Sleep(time.Second)
		w.expire(time.Now())
		require.Equal(t, 1, bytes.Count(out.Bytes(), []byte(`"event":"endpoint_cold"`)))
		require.Contains(t, out.String(), `"left":1000`)
		require.Contains(t, out.String(), `"event":"endpoint_warm"`)
		require.Contains(t, out.String(), `"source":"row"`)
	})
}
