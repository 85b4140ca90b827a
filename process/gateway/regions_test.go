package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/eelgrassdock/eelgrassdock/process/queue"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/version/routing"
)

// newRegionalGateway returns a gateway in region r0 whose requests may use r1 only. The first
// two endpoints of each service are in r0, which it would use otherwise, the others in r1.
func newRegionalGateway(t testing.TB) *testGateway {
	w := newLeavingGateway(t)
	for i := range w.Tables.Current().Routes {
		w.Tables.Current().Routes[i].Regions = routing.Regions{"r1"}
	}
	for _, id := range []string{"e2", "e3", "d2", "d3"} {
		w.place(id, "p1")
	}
	w.serve()
	return w
}

// place puts an endpoint into a place.
func (w *testGateway) place(id, place string) {
	e, ok := w.Roster.Get(id)
	if !ok {
		service := map[byte]string{'e': engineService, 'd': plainService}[id[0]]
		e = roster.Endpoint{ID: id, Service: service, Addr: fmt.Sprint("10.0.2.", id[1:], ":1"), Slots: 24}
	}
	e.Place = place
	w.Roster.Set(e)
}

// sent returns the endpoints that requests, copies and orders have reached or named.
func (w *testGateway) sent() (list []roster.Endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.calls {
		list = append(list, c.Endpoint)
	}
	for _, m := range append(w.moves, w.stops...) {
		list = append(list, m.From, m.To)
	}
	return list
}

// Guards against each path on which a request can leave for an endpoint that is not in its
// regions.
func TestRequestsStayInTheirRegions(t *testing.T) {
	firstThen := func(first func() (*Answer, error)) func(int, Call) (*Answer, error) {
		return func(n int, c Call) (*Answer, error) {
			switch {
			case n == 0:
				return first()
			case c.Stream:
				return eventStream("second", atoi(c.After)+1, 9, false), nil
			}
			return plainAnswer(http.StatusOK, "x"), nil
		}
	}
	lost := func() (*Answer, error) { return nil, connectionLost() }
	reset := func() (*Answer, error) { return brokenAfter("", syscall.ECONNRESET)(Call{}) }
	spoilt := func() (*Answer, error) { return brokenAfter("spoilt\n\n", io.EOF)(Call{}) }
	type setting struct {
		path    string
		prepare func(w *testGateway)
		status  int // of a request that ends well
		calls   int
		reason  refusal.Reason // of the refusal
	}
	for name, x := range map[string]setting{
		"plain":     {path: "/book/1", status: 200, calls: 1},
		"repeat":    {path: "/read/1", prepare: func(w *testGateway) { w.answer = firstThen(lost) }, status: 200, calls: 2},
		"all tried": {path: "/book/1", prepare: func(w *testGateway) { w.answer = func(int, Call) (*Answer, error) { return refusedAnswer(), nil } }, calls: 2},
		"added": {path: "/read/1", prepare: func(w *testGateway) {
			w.Tables.Current().Routes[3].Aim = time.Second
			w.answer = firstThen(func() (*Answer, error) { time.Sleep(5 * time.Second); return lost() })
		}, status: 200, calls: 2},
		"none to add": {path: "/read/1", prepare: func(w *testGateway) {
			w.Tables.Current().Routes[3].Aim = time.Second
			w.Roster.Remove("d3")
			w.answer = firstThen(func() (*Answer, error) { time.Sleep(5 * time.Second); return plainAnswer(200, "x"), nil })
		}, status: 200, calls: 1},
		"grant": {path: "/read/1", prepare: func(w *testGateway) {
			w.pauseRegion("d", 2*time.Second)
		}, status: 200, calls: 1},
		"no grant": {path: "/read/1", prepare: func(w *testGateway) { w.pauseRegion("d", time.Minute) }, reason: refusal.EndpointLimit},
		"moved while it waits": {path: "/read/1", prepare: func(w *testGateway) {
			w.Roster.Remove("d3")
			w.pauseRegion("d", 2*time.Second)
			time.AfterFunc(time.Second, func() { w.place("d2", "p0") })
		}, reason: refusal.Region},
		"all leave": {path: "/read/1", prepare: func(w *testGateway) {
			w.sayLeaving("d2")
			w.sayLeaving("d3")
			time.AfterFunc(time.Second, func() { w.place("d8", "p0") })
			time.AfterFunc(2*time.Second, func() { w.place("d9", "p1") })
		}, status: 200, calls: 1},
		"all engines leave": {path: "/guide/1", prepare: func(w *testGateway) {
			w.sayLeaving("e2")
			w.sayLeaving("e3")
			time.AfterFunc(200*time.Millisecond, func() { w.place("e8", "p0") })
			time.AfterFunc(400*time.Millisecond, func() { w.place("e9", "p1") })
		}, status: 200, calls: 1},
		"generation":          {path: "/guide/1", status: 200, calls: 1},
		"generation refused":  {path: "/short/1", prepare: func(w *testGateway) { w.answer = firstThen(func() (*Answer, error) { return refusedAnswer(), nil }) }, status: 200, calls: 2},
		"generation repeated": {path: "/short/1", prepare: func(w *testGateway) { w.answer = firstThen(lost) }, status: 200, calls: 2},
		"engines pause":       {path: "/guide/1", prepare: func(w *testGateway) { w.pauseRegion("e", time.Minute) }, reason: refusal.EndpointLimit},
		"continued":           {path: "/guide/1", prepare: func(w *testGateway) { w.answer = firstThen(reset) }, status: 200, calls: 2},
		"stopped":             {path: "/guide/1", prepare: func(w *testGateway) { w.answer = firstThen(spoilt) }, status: 200, calls: 2},
		"urgent": {path: "/guide/1", prepare: func(w *testGateway) {
			w.Tables.Current().Services[0].Engine.Backups = false
			w.answer = firstThen(reset)
			time.AfterFunc(500*time.Millisecond, func() { w.announceLeave(roster.FromList) })
		}, status: 200, calls: 2},
		"urgent, but alone": {path: "/guide/1", prepare: func(w *testGateway) {
			w.Roster.Remove("e3")
			w.answer = firstThen(reset)
			time.AfterFunc(500*time.Millisecond, func() { w.announceLeave(roster.FromList) })
		}, calls: 1},
		"silent, but alone": {path: "/short/1", prepare: func(w *testGateway) {
			w.Roster.Remove("e3")
			w.unreachable["e2"] = true
			w.answer = firstThen(func() (*Answer, error) {
				reader, writer := io.Pipe()
				w.closeWithAttempt(reader)
				time.AfterFunc(10*time.Second, func() {
					_, _ = io.WriteString(writer, "id: 1\ndata: s\n\n")
					_ = writer.Close()
				})
				a := eventStream("s", 1, 1, false)
				a.Body = reader
				return a, nil
			})
		}, status: 200, calls: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newRegionalGateway(t)
				if x.prepare != nil {
					x.prepare(w)
				}
				status, err := w.ask(x.path, 20*time.Second)
				require.Equal(t, x.status != 0, err == nil, "%v", err)
				if err == nil {
					require.Equal(t, x.status, status)
				}
				if x.reason != "" {
					require.Equal(t, x.reason, w.refusalOf(err).Reason)
				}
				time.Sleep(time.Minute)
				require.Len(t, w.calls, x.calls)
				for _, e := range w.sent() {
					require.Equal(t, "p1", e.Place, e.ID)
				}
				w.cancel()
			})
		})
	}
}

// pauseRegion makes the endpoints of one kind in r1 ask for a pause.
func (w *testGateway) pauseRegion(kind string, d time.Duration) {
	for _, id := range []string{kind + "2", kind + "3"} {
		if e, ok := w.Roster.Get(id); ok {
			w.limits.Pause(w.limitedEndpoint(e), time.Now().Add(d), time.Now())
		}
	}
}

// Guards against a request that waits, or is sent elsewhere, although its regions have no
// endpoint, and against a time to return that an endpoint elsewhere has named.
func TestNoEndpointInTheRegions(t *testing.T) {
	for name, x := range map[string]struct {
		route, account routing.Regions
		detail         string
	}{
		"gone":    {routing.Regions{"r1"}, nil, "r1"},
		"unknown": {nil, routing.Regions{"r1", "r7"}, "r1, r7"},
		"neither": {routing.Regions{"r1"}, routing.Regions{"r0"}, "no region in common"},
	} {
		for path, kind := range map[string]string{"/book/1": "d", "/guide/1": "e"} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newRegionalGateway(t)
					table := w.Tables.Current()
					for i := range table.Routes {
						table.Routes[i].Regions = x.route
					}
					table.Accounts[0].Regions = x.account
					w.pauseAll(kind, time.Hour)
					w.Roster.Remove(kind + "2")
					w.Roster.Remove(kind + "3")
					begun := time.Now()
					_, err := w.request(path)
					f := w.refusalOf(err)
					require.Equal(t, refusal.Region, f.Reason)
					require.Equal(t, refusal.NotRun, f.Outcome)
					require.Contains(t, f.Detail, x.detail)
					require.Equal(t, begun, time.Now(), "at once")
					require.WithinRange(t, f.RetryAt, begun, begun.Add(time.Second))
					require.Empty(t, w.calls)
				})
			})
		}
	}
}

// Guards against a request that waits and is served under the regions of a table that was
// installed meanwhile.
func TestRegionsOfTheTableOfAdmission(t *testing.T) {
	for path, kind := range map[string]string{"/read/1": "d", "/guide/1": "e"} {
		synctest.Test(t, func(t *testing.T) {
			w := newRegionalGateway(t)
			w.pauseRegion(kind, 400*time.Millisecond)
			time.AfterFunc(100*time.Millisecond, func() {
				next := w.Tables.Current().Document
				next.Version++
				next.Routes = slices.Clone(next.Routes)
				for i := range next.Routes {
					next.Routes[i].Regions = routing.Regions{"r0"}
				}
				w.Tables.Install(routing.New(next))
			})
			_, err := w.ask(path, 20*time.Second)
			require.NoError(t, err)
			require.Equal(t, "p1", w.calls[0].Endpoint.Place)
			_, err = w.ask(path, 20*time.Second)
			require.NoError(t, err)
			require.Equal(t, "p0", w.calls[1].Endpoint.Place)
			w.cancel()
		})
	}
}

// Guards against generations that wait, although their engines have room, behind one whose
// region is full or silent.
func TestFullRegionHoldsNoOtherBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRegionalGateway(t)
		w.Tables.Current().Routes[0].Aim = 30 * time.Second
		w.Tables.Current().Routes[1].Regions = nil
		w.Roster.Remove("e3")
		w.unreachable["e2"] = true
		w.testEnginePool().avoid("e2")
		for range 3 * queue.MaxPass {
			go func() { _, _ = w.ask("/guide/1", 30*time.Second) }()
		}
		time.Sleep(time.Second)
		require.Empty(t, w.calls)
		for n := range 3 * queue.MaxPass {
			begun := time.Now()
			_, err := w.ask("/short/1", 30*time.Second)
			require.NoError(t, err)
			require.Equal(t, begun, time.Now(), "request %d", n)
		}
		w.cancel()
	})
}

// Guards against any way by which a request reaches an endpoint outside of its regions, or is
// refused for them although it has an endpoint, under changes of everything.
func TestNothingLeavesItsRegions(t *testing.T) {
	const requests = 4
	regionNames, places := []string{"r0", "r1", "r2", "r9"}, []string{"p0", "p1", "p2", "p3", "p4"}
	paths := []string{"/guide/", "/short/", "/book/", "/read/"}
	synctest.Test(t, func(t *testing.T) {
		// Deadline must not be called in a bubble; the wrapper hides it.
		rapid.Check(struct{ testing.TB }{t}, func(rt *rapid.T) {
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
			var mu sync.Mutex
			draw := func(n int) int {
				mu.Lock()
				defer mu.Unlock()
				return random.IntN(n)
			}
			list := func() (l routing.Regions) {
				switch n := draw(6); n {
				case 0, 1, 2:
					return nil
				default:
					for range n - 2 {
						l = append(l, regionNames[draw(len(regionNames))])
					}
					return l
				}
			}
			w := newLeavingGateway(t)
			w.limits.Start = time.Now().Add(-time.Hour)
			w.Settings.Places = map[string]string{"p0": "r0", "p1": "r1", "p2": "r2", "p3": regionNames[draw(3)]} // p4 is in no region
			install := func(version int64) {
				doc := w.Tables.Current().Document
				doc.Version, doc.Routes, doc.Accounts = version, slices.Clone(doc.Routes), slices.Clone(doc.Accounts)
				for i := range doc.Routes {
					doc.Routes[i].Regions, doc.Routes[i].Attempts = list(), 1+draw(4)
					doc.Routes[i].Aim = time.Duration(draw(3)) * 500 * time.Millisecond
				}
				doc.Accounts[0].Regions = list()
				w.Tables.Install(routing.New(doc))
			}
			change := func() {
				id := []string{"d", "e"}[draw(2)] + fmt.Sprint(draw(5))
				switch e, ok := w.Roster.Get(id); {
				case draw(3) > 0 || !ok:
					w.place(id, places[draw(len(places))])
				case draw(2) == 0:
					w.Roster.MarkLeaving(id, e.Born, roster.FromList)
				case draw(2) == 0:
					w.heed(e, Signals{RetryAt: time.Now().Add(time.Duration(draw(900)) * time.Millisecond)}, roster.FromEndpoint)
				default:
					w.Roster.Remove(id)
				}
			}
			install(2)
			for range 12 {
				change()
			}
			// Requests begin at other times than changes.
			var wg sync.WaitGroup
			wg.Go(func() {
				time.Sleep(5 * time.Millisecond)
				for n := range 12 {
					time.Sleep(time.Duration(1+draw(20)) * 10 * time.Millisecond)
					if change(); draw(4) == 0 {
						install(int64(3 + n))
					}
				}
			})
			admitted := map[string][2]routing.Regions{}
			mayUse := func(id string, e roster.Endpoint) bool {
				mu.Lock()
				defer mu.Unlock()
				region, known := w.Settings.Places[e.Place]
				for _, l := range admitted[id] {
					if l != nil && (!known || !slices.Contains(l, region)) {
						return false
					}
				}
				return true
			}
			w.answer = func(_ int, c Call) (*Answer, error) {
				assert.True(rt, mayUse(c.ID, c.Endpoint), "%s is sent to %s", c.ID, c.Endpoint.Place)
				time.Sleep(time.Duration(draw(600)) * time.Millisecond)
				switch n := draw(6); {
				case n == 0:
					return nil, dialFailed()
				case n == 1:
					return refusedAnswer(), nil
				case n == 2:
					return nil, connectionLost()
				case !c.Stream:
					return plainAnswer(http.StatusOK, "x"), nil
				case n == 3:
					return brokenAfter([]string{"", "spoilt\n\n"}[draw(2)], syscall.ECONNRESET)(c)
				}
				return eventStream("s", atoi(c.After)+1, atoi(c.After)+3, false), nil
			}
			order := func(m Move) (Moved, error) {
				assert.True(rt, mayUse(m.Run, m.From) && mayUse(m.Run, m.To), "%s is copied from %s to %s", m.Run, m.From.Place, m.To.Place)
				time.Sleep(time.Duration(draw(200)) * time.Millisecond)
				return Moved{Handle: "h", Failed: draw(4) == 0}, nil
			}
			w.move, w.stop = order, order
			for n := range requests {
				time.Sleep(time.Duration(draw(20)) * 10 * time.Millisecond)
				path := paths[draw(len(paths))]
				r := promptRequest(path+"1", fmt.Sprint(n))
				r.ID, r.Deadline = fmt.Sprint("q", n), time.Now().Add(10*time.Second)
				table := w.Tables.Current()
				route := table.Route("h", path+"1")
				mu.Lock()
				admitted[r.ID] = [2]routing.Regions{route.Regions, table.Accounts[0].Regions}
				mu.Unlock()
				usable := func() (all, allowed int) {
					for _, e := range w.Roster.List(route.Targets[0].Service) {
						if all++; mayUse(r.ID, e) {
							allowed++
						}
					}
					return all, allowed
				}
				all, allowed := usable()
				wg.Go(func() {
					_, err := w.requestWith(t.Context(), r)
					isRegion := err != nil && refusal.From(err).Reason == refusal.Region
					if all > 0 && allowed == 0 {
						assert.True(rt, isRegion && time.Now().Equal(r.Arrived), "refused at once, not %v", err)
						assert.Equal(rt, refusal.NotRun, refusal.From(err).Outcome)
					}
					if all, allowed := usable(); isRegion {
						assert.True(rt, all > 0 && allowed == 0, "%d of %d endpoints may be used", allowed, all)
					}
				})
			}
			wg.Wait()
			w.cancel()
			time.Sleep(time.Second) // orders of copies end: a bubble must not end before its goroutines
			synctest.Wait()
		})
	})
}

// Guards against a run that continues at an engine whose row names a forbidden region by now.
func TestRunLeavesACopyThatIsNoLongerInItsRegions(t *testing.T) {
	for _, regions := range []routing.Regions{nil, {"r0"}} {
		synctest.Test(t, func(t *testing.T) {
			x := newEvacuated(t)
			x.Tables.Current().Route("h", "/guide/1").Regions = regions
			writer, done := x.startBreakingStream(false)
			_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
			time.Sleep(time.Second)
			r := x.runsOf("q")[0]
			b := r.usableCopy()
			require.NotNil(t, b)
			e := x.listed(b.endpoint.ID)
			e.Place = "p1"
			x.Roster.Set(e)
			if regions == nil {
				require.Equal(t, b, r.usableCopy())
			} else {
				require.Nil(t, r.usableCopy())
				require.Nil(t, r.takeBackup())
			}
			_ = writer.Close()
			t.Log(<-done) // how it ended does not matter here
			x.cancel()
		})
	}
}
