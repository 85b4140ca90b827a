package gateway

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

const (
	scriptEvents   = 10                     // of each stream of silentEngines
	scriptInterval = 100 * time.Millisecond // between two events
)

// silentEngines are engines that send nothing and answer nothing from a time
// until another one, and then go on where they were. A connection that was
// closed meanwhile is noticed after that.
type silentEngines struct {
	w           *testGateway
	silentFrom  time.Time
	silentUntil time.Time
	ids         []string      // engines that fall silent; the one that is used first if nil
	all         bool          // all engines fall silent
	slow        time.Duration // between two events, scriptInterval if 0
	delay       time.Duration // before the first event, during which probes are answered

	mu      sync.Mutex
	active  map[string]bool // engines that work on the request
	overlap time.Duration   // for which an engine worked on the request beside another one
	started []string        // engines that ran the request, in order
	bodies  map[string]*io.PipeReader
}

// awaken waits while an engine is silent. It reports whether ctx has not ended.
func (x *silentEngines) awaken(ctx context.Context, id string) bool {
	for ctx.Err() == nil && x.isSilent(id) {
		select {
		case <-time.After(time.Until(x.silentUntil)):
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

func (x *silentEngines) isSilent(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	return (x.all || slices.Contains(x.ids, id)) && !now.Before(x.silentFrom) && now.Before(x.silentUntil)
}

// begin records that an engine starts to work on the request and returns the
// function that records the end.
func (x *silentEngines) begin(id string) (end func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ids == nil {
		x.ids = []string{id}
	}
	x.started = append(x.started, id)
	x.active[id] = true
	begun, beside := time.Now(), len(x.active) > 1
	return func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		delete(x.active, id)
		if beside || len(x.active) > 0 {
			x.overlap = max(x.overlap, time.Since(begun))
		}
	}
}

// engine returns the engine that falls silent.
func (x *silentEngines) engine() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.ids[0]
}

// body returns the body of the answer of an engine.
func (x *silentEngines) body(id string) *io.PipeReader {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.bodies[id]
}

// install makes the gateway's endpoints fall silent.
func (x *silentEngines) install() {
	x.active, x.bodies = map[string]bool{}, map[string]*io.PipeReader{}
	x.w.Backend.Report = func(ctx context.Context, e roster.Endpoint) (Report, error) {
		if !x.awaken(ctx, e.ID) {
			return Report{}, ctx.Err()
		}
		return Report{}, nil
	}
	x.w.Backend.Send = x.send
}

// send runs a request at an engine, from the event after which it continues.
func (x *silentEngines) send(ctx context.Context, c Call) (*Answer, error) {
	x.w.mu.Lock()
	x.w.calls = append(x.w.calls, c)
	x.w.mu.Unlock()
	id := c.Endpoint.ID
	if x.isSilent(id) {
		select {
		case <-time.After(min(dialPause, time.Until(x.silentUntil))):
		case <-ctx.Done():
		}
		if x.isSilent(id) {
			return nil, refusal.New(refusal.Dial, refusal.NotRun, "connection timed out")
		}
	}
	first := 1
	if c.After != "" && c.After != firstEvent {
		_, _ = fmt.Sscan(c.After, &first)
		first++
	}
	end := x.begin(id)
	head := make(chan struct{})
	reader, writer := io.Pipe()
	x.mu.Lock()
	x.bodies[id] = reader
	x.mu.Unlock()
	context.AfterFunc(ctx, func() { _ = reader.CloseWithError(errors.New("connection closed")) })
	go func() {
		defer end()
		// The engine works on while it is silent: a closed connection is noticed
		// only when it reads again.
		if x.awaken(x.w.base, id); ctx.Err() != nil {
			return
		}
		close(head)
		time.Sleep(x.delay)
		for n := first; n <= scriptEvents; n++ {
			time.Sleep(cmp.Or(x.slow, scriptInterval))
			if x.awaken(x.w.base, id); ctx.Err() != nil {
				return
			}
			if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", n, id); err != nil {
				return
			}
		}
		_ = writer.Close()
	}()
	select {
	case <-head:
	case <-ctx.Done():
		return nil, refusal.FromCallError(ctx.Err(), true)
	}
	return &Answer{
		Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: reader, Length: -1, Close: func(bool) {},
	}, nil
}

// dialPause is the time after which a connection to a silent engine fails.
const dialPause = 400 * time.Millisecond

// Guards against requests that are cut, or run at a second engine beside the first
// one, because their engine is silent for a while and goes on.
func TestSilentEngineKeepsItsRequests(t *testing.T) {
	for _, path := range []string{"guide", "guide with a copy", "short"} {
		for _, at := range []time.Duration{0, 50 * time.Millisecond, 350 * time.Millisecond} {
			for _, pause := range []time.Duration{
				300 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second,
			} {
				for _, all := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, %v after %v, all %v", path, pause, at, all), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { testSilentEngine(t, path, at, pause, all) })
					})
				}
			}
		}
	}
}

func testSilentEngine(t *testing.T, path string, at, pause time.Duration, all bool) {
	w := newTestGateway(t)
	w.Tables.Current().Services[0].Engine.Backups = path == "guide with a copy"
	w.refreshEnginePools()
	x := &silentEngines{w: w, silentFrom: time.Now().Add(at), silentUntil: time.Now().Add(at + pause), all: all && at > 0}
	x.install()
	rec, err := w.request("/" + strings.Fields(path)[0] + "/1")
	require.NoError(t, err)
	require.Equal(t, strings.Fields("1 2 3 4 5 6 7 8 9 10"), eventIDs(rec.Body.String()))
	time.Sleep(10 * time.Second)
	require.Len(t, x.started, 1, "engines that ran the request")
	require.Zero(t, x.overlap)
}

// Guards against requests that stay at an engine whose process has ended without
// closing its connections. A refused connection alone is no sign of that, see
// TestClosedListenerEndsNoStream; the reset of the open connection is.
func TestRequestLeavesAnEngineThatHasEnded(t *testing.T) {
	const last = 400 * time.Millisecond // from the start to the fourth event, the last one of the engine
	for name, test := range map[string]struct {
		end      func(x *silentEngines)
		from, to time.Duration // after which the request is at the second engine
	}{
		"its host refuses connections and resets the open one": {
			func(x *silentEngines) {
				x.closeListener()
				// The kernel's first keep-alive probe is sent after a second without an event.
				time.AfterFunc(time.Second-scriptInterval/2, func() { _ = x.body(x.engine()).CloseWithError(syscall.ECONNRESET) })
			}, silenceTimeout, silenceTimeout + probeLimit,
		},
		"the list drops it": {func(x *silentEngines) { x.w.Roster.Remove(x.engine()) }, minLossTime, minLossTime + probeLimit + silencePause},
		"the list shows a new start": {func(x *silentEngines) {
			e, _ := x.w.Roster.Get(x.engine())
			e.Born++
			x.w.Roster.Set(e)
		}, silenceTimeout, silenceTimeout + probeLimit},
		"nothing but silence": {func(*silentEngines) {}, 4 * time.Second, 4*time.Second + probeLimit + silencePause},
	} {
		for _, path := range []string{"guide", "short"} {
			t.Run(name+", "+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newTestGateway(t)
					w.Settings.Beat = 1333
					x := &silentEngines{w: w, silentFrom: time.Now().Add(last + scriptInterval/2), silentUntil: time.Now().Add(time.Hour)}
					x.install()
					x.refuseWhenClosed()
					begun := time.Now()
					go func() {
						time.Sleep(last + scriptInterval/2)
						test.end(x)
					}()
					rec, err := w.request("/" + path + "/1")
					require.NoError(t, err)
					require.Equal(t, strings.Fields("1 2 3 4 5 6 7 8 9 10"), eventIDs(rec.Body.String()))
					moved := time.Since(begun) - last - (scriptEvents-4)*scriptInterval
					require.GreaterOrEqual(t, moved, test.from)
					require.LessOrEqual(t, moved, test.to)
				})
			})
		}
	}
}

// Guards against requests that are ended because of silence although they have nowhere
// else to go on: their engine may answer before their deadline.
func TestRequestWithoutAlternativeWaitsForItsEngine(t *testing.T) {
	for name, set := range map[string]func(w *testGateway) string{
		"no copy": func(w *testGateway) string {
			w.Tables.Current().Services[0].Engine.Backups = false
			return "guide"
		},
		"all engines are silent": func(*testGateway) string { return "short" },
		"no attempt is left": func(w *testGateway) string {
			w.Tables.Current().Routes[1].Attempts = 1
			return "short"
		},
		"no retry budget is left": func(w *testGateway) string {
			budget := &w.pool(engineService).policy.Budget
			budget.Resize(w.budgetSize())
			for budget.Take() {
			}
			return "short"
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t)
				path := set(w)
				x := &silentEngines{
					w: w, silentFrom: time.Now().Add(350 * time.Millisecond), silentUntil: time.Now().Add(20 * time.Second),
					all: name == "all engines are silent",
				}
				x.install()
				rec, err := w.request("/" + path + "/1")
				require.NoError(t, err)
				require.Equal(t, strings.Fields("1 2 3 4 5 6 7 8 9 10"), eventIDs(rec.Body.String()))
				require.Len(t, x.started, 1)
			})
		})
	}
}

// Guards against refusals of requests that arrive while all engines are silent, and
// after that: the engines answer in time.
func TestRequestsWaitForSilentEngines(t *testing.T) {
	for _, path := range []string{"guide", "short"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t)
				for i := range w.Tables.Current().Routes {
					w.Tables.Current().Routes[i].Aim = 1800 * time.Millisecond
				}
				x := &silentEngines{w: w, silentFrom: time.Now(), silentUntil: time.Now().Add(time.Second), all: true}
				x.install()
				var wg sync.WaitGroup
				for n := range 20 { // one each 100 ms, also after the silence
					wg.Go(func() {
						time.Sleep(time.Duration(n) * 100 * time.Millisecond)
						id := fmt.Sprint("q", n)
						rec, err := w.requestWith(t.Context(), &Request{
							ID: id, Method: http.MethodPost, Host: "h", Path: "/" + path + "/1", Target: "/" + path + "/1", Header: http.Header{},
							Key: "key", Arrived: time.Now(), Prompt: 1000, Max: 400,
						})
						assert.NoError(t, err, "request %d", n)
						assert.Len(t, eventIDs(rec.Body.String()), scriptEvents, "request %d", n)
					})
				}
				wg.Wait()
			})
		})
	}
}

// Guards against a stream that is cut because the engine with the copy of its memory
// is silent when its own engine ends.
func TestRunContinuesAtASilentEngine(t *testing.T) {
	for _, pause := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t)
				x := &silentEngines{w: w}
				x.install()
				go func() {
					time.Sleep(350 * time.Millisecond)
					r := w.runsOf("q")[0]
					x.mu.Lock()
					defer x.mu.Unlock()
					x.ids = []string{r.usableCopy().endpoint.ID}
					x.silentFrom, x.silentUntil = time.Now(), time.Now().Add(pause)
					_ = x.bodies[r.endpoint.ID].CloseWithError(errors.New("connection reset"))
				}()
				rec, err := w.request("/guide/1")
				require.NoError(t, err)
				require.Equal(t, strings.Fields("1 2 3 4 5 6 7 8 9 10"), eventIDs(rec.Body.String()))
				require.Len(t, x.started, 2)
			})
		})
	}
}

// Guards against a continuation that is tried for ever at an engine that has ended.
func TestContinuationEndsWithItsEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.answer = func(n int, _ Call) (*Answer, error) {
			if n > 0 {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.crashed[w.calls[1].Endpoint.ID] = true
				return nil, dialFailed()
			}
			return breakingStream("first", 1, 2), nil
		}
		begun := time.Now()
		_, err := w.request("/guide/1")
		require.ErrorIs(t, err, ErrCut)
		require.Less(t, time.Since(begun), time.Second+probeLimit+2*silencePause)
	})
}

// Guards against a generation that is lost with its engine although it was copied: the
// copy must be held for longer than it takes to leave a silent engine.
func TestCopyOutlivesTheSilence(t *testing.T) {
	for at := time.Second; at < 6*time.Second; at += 250 * time.Millisecond {
		t.Run(at.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t)
				w.Tables.Current().Services[0].Engine.Keep = 5 * time.Second
				x := &silentEngines{
					w: w, silentFrom: time.Now().Add(at), silentUntil: time.Now().Add(time.Hour), slow: 600 * time.Millisecond,
				}
				x.install()
				w.Backend.Move = func(ctx context.Context, m Move) (Moved, error) {
					if !x.awaken(ctx, m.From.ID) {
						return Moved{}, ctx.Err()
					}
					return Moved{Handle: "h"}, nil
				}
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				rec, err := w.requestWith(ctx, &Request{
					ID: "q", Method: http.MethodPost, Host: "h", Path: "/guide/1", Target: "/guide/1", Header: http.Header{}, Key: "key",
					Arrived: time.Now(), Prompt: 1000, Max: 400,
				})
				require.NoError(t, err)
				require.Len(t, eventIDs(rec.Body.String()), scriptEvents)
				require.Len(t, x.started, 2)
			})
		})
	}
}
