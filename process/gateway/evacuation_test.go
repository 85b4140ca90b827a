package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/connection/peer"
	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/mirror"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/process/stall"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/version/routing"
)

// evacuated is a gateway whose endpoints 0 and 1 of each service are in place p0 and the
// others in p2 of the same region, and what reaches those of p0.
type evacuated struct {
	*testGateway
	connect time.Duration // for which a connection is opened

	mu      sync.Mutex
	reached map[string]time.Time // latest time, by kind
}

func newEvacuated(t *testing.T) *evacuated {
	x := &evacuated{testGateway: newLeavingGateway(t), reached: map[string]time.Time{}}
	x.Settings.Places["p2"] = "r0"
	for i := range 4 {
		x.place(fmt.Sprint("e", i), i)
		x.place(fmt.Sprint("d", i), i)
	}
	x.serve()
	b := x.Backend
	x.Backend.Send = func(ctx context.Context, c Call) (*Answer, error) {
		time.Sleep(x.connect)
		if c.Closed() {
			return nil, ErrClosed
		}
		x.reach("request", c.Endpoint)
		return b.Send(ctx, c)
	}
	x.Backend.Report = func(ctx context.Context, e roster.Endpoint) (Report, error) {
		x.reach("order", e)
		return b.Report(ctx, e)
	}
	x.Backend.Move = func(ctx context.Context, m Move) (Moved, error) {
		x.reach("order", m.From)
		x.reach("copy", m.To)
		return b.Move(ctx, m)
	}
	x.Backend.Free = func(ctx context.Context, e roster.Endpoint, handle string) (Signals, error) {
		x.reach("order", e)
		return b.Free(ctx, e, handle)
	}
	return x
}

func (x *evacuated) place(id string, i int) {
	e, _ := x.Roster.Get(id)
	if i > 1 {
		e.Place = "p2"
	}
	x.Roster.Set(e)
}

func (x *evacuated) reach(kind string, e roster.Endpoint) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if e.Place == "p0" {
		x.reached[kind] = time.Now()
	}
}

func (x *evacuated) close(places ...string) {
	set := map[string]bool{}
	for _, place := range places {
		set[place] = true
	}
	x.SetEvacuated(set)
}

// Guards against anything new that reaches a place after it was evacuated, on each way, and
// against runs that end because of it.
func TestNothingNewReachesAnEvacuatedPlace(t *testing.T) {
	ask := func(path string) func(*evacuated) {
		return func(x *evacuated) {
			x.close("p0")
			for range 10 {
				_, err := x.ask(path, 5*time.Second)
				require.NoError(x.t, err)
			}
		}
	}
	connecting := func(path string) func(*evacuated) {
		return func(x *evacuated) {
			x.connect = 100 * time.Millisecond
			x.Tables.Current().Routes[2].Attempts, x.Tables.Current().Routes[0].Attempts = 1, 1
			engines, replicas := &x.countRequest(engineService).policy.Budget, &x.countRequest(plainService).policy.Budget
			tokens := engines.Tokens() + replicas.Tokens()
			time.AfterFunc(50*time.Millisecond, func() { x.close("p0") })
			var wg sync.WaitGroup
			for range 10 {
				wg.Go(func() {
					_, err := x.ask(path, 5*time.Second)
					require.NoError(x.t, err, "it goes elsewhere, although one attempt is allowed")
				})
			}
			wg.Wait()
			require.GreaterOrEqual(x.t, engines.Tokens()+replicas.Tokens(), tokens)
		}
	}
	// running has a run in p0, with a copy at the other engine there, and closes places.
	running := func(places []string, end error) func(*evacuated) {
		return func(x *evacuated) {
			x.close("p2")
			writer, done := x.startBreakingStream(false)
			_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
			time.Sleep(time.Second)
			r := x.runsOf("q")[0]
			require.Equal(x.t, "p0", r.usableCopy().endpoint.Place)
			x.close(places...)
			time.Sleep(3 * time.Second)
			if len(places) == 1 {
				require.Equal(x.t, "p2", r.usableCopy().endpoint.Place, "it is copied elsewhere")
			} else {
				require.Nil(x.t, r.usableCopy())
			}
			require.Len(x.t, x.calls, 1)
			_ = writer.CloseWithError(end)
			if err := <-done; end == io.EOF || len(places) == 1 {
				require.NoError(x.t, err)
			}
		}
	}
	for name, play := range map[string]func(*evacuated){
		"plain": ask("/read/1"), "stream": ask("/guide/1"),
		"plain connects": connecting("/book/1"), "stream connects": connecting("/guide/1"),
		"retried": func(x *evacuated) {
			x.answer = func(n int, _ Call) (*Answer, error) {
				if n == 0 {
					x.close("p0")
					return nil, connectionLost()
				}
				return plainAnswer(200, "x"), nil
			}
			_, err := x.ask("/read/1", 5*time.Second)
			require.NoError(x.t, err)
		},
		"added": func(x *evacuated) {
			x.Tables.Current().Routes[3].Aim = time.Second
			x.answer = func(n int, _ Call) (*Answer, error) {
				if n == 0 {
					x.close("p0")
					time.Sleep(3 * time.Second)
				}
				return plainAnswer(200, "x"), nil
			}
			_, err := x.ask("/read/1", 5*time.Second)
			require.NoError(x.t, err)
			require.Len(x.t, x.calls, 2)
		},
		"ends in peace": running([]string{"p0"}, io.EOF), "continues outside": running([]string{"p0"}, errors.New("connection reset")),
		"all closed": running([]string{"p0", "p2"}, io.EOF), "all closed, broken": running([]string{"p0", "p2"}, errors.New("connection reset")),
		"probed": func(x *evacuated) {
			x.unreachable["e0"] = true
			x.testEnginePool().suspect("e0")
			time.Sleep(time.Second)
			x.close("p0")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newEvacuated(t)
				play(x)
				time.Sleep(time.Minute)
				at, ok := x.evacuation.since("p0")
				require.True(t, ok)
				x.mu.Lock()
				defer x.mu.Unlock()
				require.False(t, x.reached["request"].After(at))
				require.False(t, x.reached["copy"].After(at))
				require.False(t, x.reached["order"].After(at.Add(defaultEvacuation/2)))
				x.cancel()
			})
		})
	}
}

// Guards against a request that is sent right after a freeze, in which its place may have
// been evacuated, on a table from before it.
func TestNothingIsSentAfterAFreezeUnlessTheTableIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newEvacuated(t)
		x.Settings.Evacuation = 5000
		x.shareTable(&mirror.Table{Name: "op"})
		x.configuration = "op"
		f := x.feeds["op"]
		var frozen atomic.Bool
		f.storeAnswered(time.Now())
		x.Stalls = &stall.Meter{Hold: func() {
			if frozen.Swap(false) {
				time.Sleep(3 * time.Second)
			}
		}}
		go x.Stalls.Run(x.base)
		time.Sleep(time.Second)
		asked := time.Now()
		frozen.Store(true)
		time.Sleep(2900 * time.Millisecond)
		done := make(chan error)
		go func() { _, err := x.ask("/read/1", 5*time.Second); done <- err }()
		for _, begun := range []time.Time{asked, time.Now().Add(300 * time.Millisecond)} {
			time.Sleep(500 * time.Millisecond)
			for i := range 4 {
				require.Zero(t, x.sentTo(fmt.Sprint("d", i)))
			}
			if begun != asked {
				x.close("p0")
			}
			f.storeAnswered(begun)
			f.setVersion(1)
		}
		require.NoError(t, <-done)
		require.Empty(t, x.reached)
		x.cancel()
	})
}

// Guards against a poll that ends because of a freeze and counts as an outage of the store, so
// that requests go to a place that was evacuated meanwhile; and against requests that wait
// for longer than it takes to see that the store is away.
func TestPollThatEndsByAFreezeIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newEvacuated(t)
		x.Settings.Evacuation = 5000
		table := &mirror.Table{Name: "op", Follow: func(ctx context.Context, _ int64, _ time.Duration) (mirror.Page, error) {
			<-ctx.Done()
			return mirror.Page{}, ctx.Err()
		}}
		x.listMembers = func() []member.Member { return nil }
		x.shareTable(table)
		x.configuration = "op"
		x.feeds["op"].storeAnswered(time.Now())
		var frozen atomic.Bool
		x.Stalls = &stall.Meter{Hold: func() {
			if frozen.Swap(false) {
				time.Sleep(5 * time.Second)
			}
		}}
		go x.Stalls.Run(x.base)
		time.Sleep(time.Second)
		frozen.Store(true)
		follow := func(d time.Duration) error {
			ctx, cancel := context.WithTimeout(x.base, d)
			defer cancel()
			_, err := table.Follow(ctx, 0, time.Second)
			return err
		}
		table.Lost(follow(5 * time.Second)) // later failures in a row are not reported
		done := make(chan error, 1)
		go func() { _, err := x.ask("/read/1", 5*time.Second); done <- err }()
		time.Sleep(500 * time.Millisecond)
		for i := range 4 {
			require.Zero(t, x.sentTo(fmt.Sprint("d", i)))
		}
		require.Error(t, follow(time.Second))
		synctest.Wait()
		require.Len(t, done, 1)
		require.NoError(t, <-done)
		x.cancel()
	})
}

// Guards against a request whose regions are evacuated that waits in the queue behind one that
// may run elsewhere.
func TestRequestOfAnEvacuatedRegionDoesNotWaitBehindOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newEvacuated(t)
		x.Settings.Places["p2"] = "r1"
		x.Tables.Current().Route("h", "/short/1").Regions = routing.Regions{"r0"}
		x.close("p0")
		for _, id := range []string{"e2", "e3"} {
			x.testGateway.mu.Lock()
			x.unreachable[id] = true
			x.testGateway.mu.Unlock()
			x.testEnginePool().avoid(id)
		}
		synctest.Wait()
		var wg sync.WaitGroup
		wg.Go(func() { _, _ = x.ask("/guide/1", 5*time.Second) }) // waits for the silent engines
		synctest.Wait()
		require.Equal(t, 1, x.testEnginePool().dispatcher.Queue.Len())
		begun := time.Now()
		_, err := x.ask("/short/1", 5*time.Second)
		require.Equal(t, refusal.NoEndpoint, x.refusalOf(err).Reason)
		require.Equal(t, begun, time.Now(), "it is refused at once")
		wg.Wait()
		x.cancel()
	})
}

// knowingPeer is an instance that knows of evacuated places.
type knowingPeer struct{ places []string }

// Current answers like Peers.Current.
func (p *knowingPeer) Current(_ Wanted, reply *Stored) error {
	reply.Evacuated = p.places
	return nil
}

// Guards against an instance that starts while the store is away and opens a place because
// the instance that it asked first, or last, is behind.
func TestStartedInstanceTakesTheEvacuatedPlacesOfAllThatAnswer(t *testing.T) {
	x := newTestGateway(t)
	server := rpc.NewServer()
	require.NoError(t, server.RegisterName("Peers", &knowingPeer{places: []string{"p0"}}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = peer.Serve(l, server) }() // ends with the listener
	defer l.Close()
	defer x.peers.Close()
	x.borrowEvacuated(nil, "seed")
	x.takeNewest("seed", &Stored{Members: []member.Member{{ID: "b", RPC: l.Addr().String()}}}, &origin{})
	require.Equal(t, []string{"p0"}, x.evacuated())
	x.borrowEvacuated([]string{"p1"}, "another one")
	require.Equal(t, []string{"p0", "p1"}, x.evacuated())
	x.SetEvacuated(map[string]bool{"p1": true})
	require.Equal(t, []string{"p1"}, x.evacuated(), "the store counts")
}

// Guards against an unreachable engine that counts as reachable because it is not probed while
// the evacuated places are not known.
func TestEngineStaysUnreachableWhileProbesWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newEvacuated(t)
		x.Settings.Evacuation = 5000
		x.shareTable(&mirror.Table{Name: "op"})
		x.configuration = "op"
		f := x.feeds["op"]
		f.storeAnswered(time.Now())
		var frozen atomic.Bool
		x.Stalls = &stall.Meter{Hold: func() {
			if frozen.Swap(false) {
				time.Sleep(2 * time.Second)
			}
		}}
		go x.Stalls.Run(x.base)
		x.makeUnreachable("e1")
		synctest.Wait()
		require.True(t, x.testEnginePool().isDown("e1"))
		frozen.Store(true)
		time.Sleep(8 * time.Second)
		require.True(t, x.testEnginePool().isDown("e1"))
		f.storeAnswered(time.Now())
		f.setVersion(1)
		x.testGateway.mu.Lock()
		x.unreachable["e1"] = false
		x.testGateway.mu.Unlock()
		time.Sleep(3 * time.Second)
		require.False(t, x.testEnginePool().isDown("e1"))
		x.cancel()
	})
}

// Guards against grants of a cold endpoint that pile up while requests wait for the evacuated
// places after a freeze, so that they reach it together.
func TestRequestsThatWaitAfterAFreezeKeepTheBoundOfAColdEndpoint(t *testing.T) {
	for _, path := range []string{"/read/1", "/short/1"} {
		synctest.Test(t, func(t *testing.T) {
			x := newEvacuated(t)
			x.Settings.Evacuation = 5000
			x.makeCold()
			x.shareTable(&mirror.Table{Name: "op"})
			x.configuration = "op"
			f := x.feeds["op"]
			f.storeAnswered(time.Now())
			var (
				frozen   atomic.Bool
				wg       sync.WaitGroup
				arrivals = map[string][]time.Time{}
			)
			x.Stalls = &stall.Meter{Hold: func() {
				if frozen.Swap(false) {
					time.Sleep(2 * time.Second)
				}
			}}
			send := x.Backend.Send
			x.Backend.Send = func(ctx context.Context, c Call) (*Answer, error) {
				x.mu.Lock()
				arrivals[c.Endpoint.ID] = append(arrivals[c.Endpoint.ID], time.Now())
				x.mu.Unlock()
				return send(ctx, c)
			}
			for _, e := range x.Roster.All() {
				x.NoteRow(e, time.Minute, false)
			}
			go x.Stalls.Run(x.base)
			time.Sleep(time.Second)
			frozen.Store(true)
			time.Sleep(2 * time.Second)
			for i := range 400 {
				time.Sleep(10 * time.Millisecond)
				wg.Go(func() { _, _ = x.ask(path, 10*time.Second) })
				if i >= 350 {
					f.storeAnswered(time.Now())
					f.setVersion(1)
				}
			}
			wg.Wait()
			x.mu.Lock()
			defer x.mu.Unlock()
			require.NotEmpty(t, arrivals)
			for id, list := range arrivals {
				require.LessOrEqual(t, float64(busiest(list)), testColdMost, id)
			}
			x.cancel()
		})
	}
}

// Guards against a place that stays closed, or an endpoint that is open because it was
// listed after the order; against waits for endpoints that do not come; and against
// endpoints that are open again before they count as cold.
func TestEvacuationBeginsAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newEvacuated(t)
		x.makeCold()
		opened := map[string]bool{} // whether they were cold
		changed := x.Roster.Changed
		x.Roster.Changed = func(service string) {
			for _, e := range x.Roster.List(service) {
				if _, seen := opened[e.ID]; e.Place == "p2" && !e.Closed() && !seen {
					opened[e.ID] = x.limits.IsCold(e.ID, time.Now())
				}
			}
			changed(service)
		}
		x.close("p0", "p2")
		x.Roster.Set(roster.Endpoint{ID: "d9", Service: plainService, Addr: "10.0.2.1:1", Place: "p2", Slots: 6})
		for _, path := range []string{"/read/1", "/guide/1"} {
			begun := time.Now()
			_, err := x.ask(path, 5*time.Second)
			f := x.refusalOf(err)
			require.Equal(t, refusal.NotRun, f.Outcome)
			require.Equal(t, refusal.NoEndpoint, f.Reason)
			require.False(t, f.RetryAt.IsZero())
			require.Equal(t, begun, time.Now(), "it is refused at once")
		}
		x.borrowEvacuated(nil, "peer")
		require.Equal(t, []string{"p0", "p2"}, x.evacuated(), "the store counts")
		x.close("p0")
		require.Equal(t, map[string]bool{"d2": true, "d3": true, "d9": true, "e2": true, "e3": true}, opened)
		_, err := x.ask("/read/1", 5*time.Second)
		require.NoError(t, err)
		x.cancel()
	})
}
