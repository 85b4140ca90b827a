package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/stream"
)

const (
	longestOverlap = 400 * time.Millisecond // of two engines that work on one request
	stopTime       = 40 * time.Millisecond  // for an order that stops a run
)

// lastingEngines are engines that work on a run when its connection closes, until they are
// ordered to stop it.
type lastingEngines struct {
	*testGateway
	t *testing.T

	mu       sync.Mutex
	working  map[string]time.Time // engines with a run of the request, with its start
	overlaps []time.Duration
	orders   int // to stop, so far
}

// newLastingEngines returns a gateway before such engines. The first answer to a request
// is first, the others are whole. It must be called in a synctest bubble.
func newLastingEngines(t *testing.T, first func(c Call) (*Answer, error)) *lastingEngines {
	x := &lastingEngines{testGateway: newTestGateway(t), t: t, working: map[string]time.Time{}}
	x.answer = func(n int, c Call) (*Answer, error) {
		x.begin(c.Endpoint.ID)
		if n == 0 {
			return first(c)
		}
		return eventStream("second", atoi(c.After)+1, 9, false), nil
	}
	x.stop = func(m Move) (Moved, error) {
		time.Sleep(stopTime)
		return x.stopAt(m), nil
	}
	return x
}

// begin records a run. It counts the time for which another engine goes on with its run.
func (x *lastingEngines) begin(engine string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for other := range x.working {
		begun := time.Now()
		time.AfterFunc(longestOverlap, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if _, works := x.working[other]; works {
				x.overlaps = append(x.overlaps, time.Since(begun))
			}
		})
	}
	x.working[engine] = time.Now()
}

// stopAt stops the run at an engine and returns the answer to the order.
func (x *lastingEngines) stopAt(m Move) Moved {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.orders++
	delete(x.working, m.From.ID)
	return Moved{Handle: "stopped", Events: 3}
}

// requireNoOverlap checks that no two engines worked on the request at a time.
func (x *lastingEngines) requireNoOverlap() {
	x.t.Helper()
	time.Sleep(longestOverlap)
	synctest.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	assert.Empty(x.t, x.overlaps, "two engines work on the request")
}

// brokenAfter returns a stream with three events and a part that ends the attempt, a second
// later.
func brokenAfter(rest string, err error) func(Call) (*Answer, error) {
	return func(Call) (*Answer, error) {
		a := eventStream("first", 1, 3, false)
		a.Body = io.MultiReader(a.Body, delayedFailure{time.Second, io.EOF}, strings.NewReader(rest), delayedFailure{0, err})
		return a, nil
	}
}

// Guards against a stream that goes on at another engine while the first one still works on
// it: the end of its connection does not end the run there.
func TestRunIsStoppedBeforeItGoesOn(t *testing.T) {
	cut := errors.New("invalid byte in chunk length")
	for name, first := range map[string]func(Call) (*Answer, error){
		"bad frame":             brokenAfter("", cut),
		"bad frame in an event": brokenAfter("id: 4\nda", cut),
		"spoilt event":          brokenAfter("spoilt\ndata: first\n\n", io.EOF),
		"earlier event":         brokenAfter("id: 2\ndata: first\n\n", io.EOF),
		"event over the limit":  brokenAfter("id: 4\ndata: "+strings.Repeat("x", stream.MaxEvent+1), cut),
	} {
		for _, path := range []string{"/guide/1", "/short/1"} {
			t.Run(path+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					x := newLastingEngines(t, first)
					rec, err := x.request(path)
					require.NoError(t, err)
					require.Equal(t, strings.Fields("1 2 3 4 5 6 7 8 9"), eventIDs(rec.Body.String()))
					require.Len(t, x.calls, 2)
					from, to := x.calls[0].Endpoint, x.calls[1].Endpoint
					require.Equal(t, []Move{{Run: "q", From: from, To: to, Last: true}}, x.stops)
					require.Equal(t, from.Addr+"/stopped", x.calls[1].Memory, "goes on from what the order has copied")
					require.Equal(t, "3", x.calls[1].After)
					x.requireNoOverlap()
				})
			})
		}
	}
}

// Guards against a stream that goes on at another engine while one that has closed its
// connection works on it, and against a wait of the caller for the order to stop that run:
// mostly such an engine has ended.
func TestRunIsStoppedBehindItsStream(t *testing.T) {
	for name, first := range map[string]func(Call) (*Answer, error){
		"reset":                 brokenAfter("", syscall.ECONNRESET),
		"reset inside an event": brokenAfter("id: 4\nda", fmt.Errorf("read: %w", syscall.ECONNRESET)),
		"ended inside an event": brokenAfter("id: 4\nda", io.EOF),
		"cut":                   brokenAfter("", io.ErrUnexpectedEOF),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newLastingEngines(t, first)
				answer := x.answer
				var second time.Time
				x.answer = func(n int, c Call) (*Answer, error) {
					second = time.Now()
					a, err := answer(n, c)
					if n > 0 {
						a.Body = io.MultiReader(delayedFailure{10 * time.Second, io.EOF}, a.Body)
					}
					return a, err
				}
				x.stop = func(m Move) (Moved, error) {
					time.Sleep(300 * time.Millisecond)
					return x.stopAt(m), nil
				}
				begun := time.Now()
				rec, err := x.request("/guide/1")
				require.NoError(t, err)
				require.Len(t, eventIDs(rec.Body.String()), 9)
				require.Equal(t, time.Second, second.Sub(begun), "waited")
				require.Equal(t, x.calls[0].Endpoint.Addr+"/h", x.calls[1].Memory)
				x.requireNoOverlap()
				x.testGateway.mu.Lock()
				defer x.testGateway.mu.Unlock()
				require.Len(t, x.stops, 1)
				require.NotEqual(t, x.calls[1].Endpoint, x.stops[0].To, "a copy in use is not added to")
				require.Contains(t, x.freed, "stopped")
			})
		})
	}
}

// Guards against a second run beside the first one, where an attempt ended before its first
// event or with an answer that is no stream.
func TestRunWithoutEventsIsStopped(t *testing.T) {
	for name, first := range map[string]func(Call) (*Answer, error){
		"no answer": func(Call) (*Answer, error) { return nil, connectionLost() },
		"no events": func(Call) (*Answer, error) { return streamOf("first", ""), nil },
		"comments": func(Call) (*Answer, error) {
			return streamOf("first", strings.Repeat(":"+strings.Repeat("x", 1000)+"\n\n", stream.MaxEvent/1000+1)), nil
		},
		"broken plain answer": func(Call) (*Answer, error) {
			a := plainAnswer(200, "x")
			a.Body, a.Length = failingReader{}, 5
			return a, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newLastingEngines(t, first)
				rec, err := x.request("/short/1")
				require.NoError(t, err)
				require.Len(t, eventIDs(rec.Body.String()), 9)
				x.requireNoOverlap()
				x.testGateway.mu.Lock()
				defer x.testGateway.mu.Unlock()
				require.Len(t, x.stops, 1)
			})
		})
	}
}

// Guards against an order to stop that is given up although its engine can be reached: a copy
// is being made, an answer is lost, or there is no room for the rest of the memory.
func TestOrderToStopIsRepeated(t *testing.T) {
	for name, answer := range map[string]func(x *lastingEngines, m Move, n int) (Moved, error){
		"another copy is made": func(x *lastingEngines, m Move, n int) (Moved, error) {
			if n < 4 {
				return Moved{}, fmt.Errorf("order: %w", ErrMoveBusy)
			}
			return x.stopAt(m), nil
		},
		"answer lost": func(x *lastingEngines, m Move, n int) (Moved, error) {
			moved := x.stopAt(m)
			if n == 0 {
				return Moved{}, connectionLost()
			}
			return moved, nil
		},
		"turned away": func(x *lastingEngines, m Move, n int) (Moved, error) {
			if n == 0 {
				return Moved{Failed: true}, nil // without a handle, the run was not stopped
			}
			return x.stopAt(m), nil
		},
		"no room": func(x *lastingEngines, m Move, _ int) (Moved, error) {
			moved := x.stopAt(m)
			moved.Failed = true
			return moved, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newLastingEngines(t, brokenAfter("spoilt\n\n", io.EOF))
				n := -1
				x.stop = func(m Move) (Moved, error) {
					n++
					return answer(x, m, n)
				}
				rec, err := x.request("/guide/1")
				require.NoError(t, err)
				require.Len(t, eventIDs(rec.Body.String()), 9)
				handle := "stopped"
				if name == "no room" {
					handle = "h" // of the copy that was made before
				}
				require.Equal(t, x.calls[0].Endpoint.Addr+"/"+handle, x.calls[1].Memory)
				x.requireNoOverlap()
			})
		})
	}
}

// Guards against a caller that waits for the order to stop a run at an engine that has
// ended, can't be reached or does not answer, or whose limit allows no order.
func TestLostEngineDoesNotHoldAStreamUp(t *testing.T) {
	refused := errors.Mark(errors.Mark(errors.New("connection refused"), ErrRefused), ErrUnreachable)
	for name, x := range map[string]struct {
		took, bound time.Duration // of an order, of the wait
		err         error
	}{
		"ended":          {0, 0, refused},
		"not connected":  {400 * time.Millisecond, 400 * time.Millisecond, errors.Mark(errors.New("i/o timeout"), ErrUnreachable)},
		"not running":    {0, 0, ErrNoRun},
		"does not reply": {time.Hour, stopRunLimit, nil},
		"always fails":   {0, stopRunLimit, errors.New("status 500")},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t)
				var second time.Time
				w.answer = func(n int, _ Call) (*Answer, error) {
					if n == 0 {
						return breakingStream("first", 1, 3), nil
					}
					second = time.Now()
					return eventStream("second", 4, 9, false), nil
				}
				w.Backend.Move = func(ctx context.Context, m Move) (Moved, error) {
					if !m.Last {
						return Moved{Handle: "h"}, nil
					}
					if !sleepFor(ctx, x.took) {
						return Moved{}, ctx.Err()
					}
					return Moved{}, x.err
				}
				begun := time.Now()
				rec, err := w.request("/guide/1")
				require.NoError(t, err)
				require.Len(t, eventIDs(rec.Body.String()), 9)
				require.Equal(t, w.called(0).Endpoint.Addr+"/h", w.called(1).Memory)
				require.LessOrEqual(t, second.Sub(begun), time.Second+x.bound) // the stream breaks after a second
			})
		})
	}
	t.Run("limit", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			x := newLastingEngines(t, brokenAfter("spoilt\n\n", io.EOF))
			x.answer = func(n int, c Call) (*Answer, error) {
				if n == 0 {
					x.pauseAll("e", time.Minute)
					return brokenAfter("spoilt\n\n", io.EOF)(c)
				}
				return eventStream("second", 4, 9, false), nil
			}
			begun := time.Now()
			_, _ = x.request("/guide/1")
			require.Empty(t, x.stops, "the engine accepts nothing")
			require.Less(t, time.Since(begun), 10*time.Second)
		})
	})
}

// Guards against copies that are ordered from an engine that the run is leaving: they delay
// the order to stop it, or are left over.
func TestNoCopyOfARunThatLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newLastingEngines(t, brokenAfter("spoilt\n\n", io.EOF))
		var busy atomic.Bool
		x.move = func(Move) (Moved, error) {
			assert.True(t, busy.CompareAndSwap(false, true))
			time.Sleep(1100 * time.Millisecond) // the stream breaks meanwhile
			busy.Store(false)
			return Moved{Handle: "h"}, nil
		}
		x.stop = func(m Move) (Moved, error) {
			assert.False(t, busy.Load(), "the engine would refuse it")
			time.Sleep(300 * time.Millisecond)
			return x.stopAt(m), nil
		}
		ended := make(chan error)
		go func() {
			_, err := x.request("/short/1")
			ended <- err
		}()
		time.Sleep(1050 * time.Millisecond)
		x.protectRunsAt(x.called(0).Endpoint, roster.FromList)
		require.NoError(t, <-ended)
		x.requireNoOverlap()
	})
	synctest.Test(t, func(t *testing.T) {
		x := newLastingEngines(t, nil)
		writer, done := x.startStream(2, 9)
		_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
		synctest.Wait()
		r := x.runsOf("q")[0]
		from := r.endpoint
		x.move = func(Move) (Moved, error) { time.Sleep(200 * time.Millisecond); return Moved{Handle: "h"}, nil }
		go x.refreshCopy(r, r.usableCopy())
		time.Sleep(50 * time.Millisecond)
		_ = writer.CloseWithError(errors.New("connection reset"))
		require.Len(t, eventIDs(<-done), 9)
		time.Sleep(time.Minute)
		n := 0
		x.testGateway.mu.Lock()
		defer x.testGateway.mu.Unlock()
		for _, m := range x.moves {
			if m.From.ID == from.ID {
				n++
			}
		}
		require.Equal(t, 2, n, "the copy and its renewal")
		require.Len(t, x.stops, 1)
	})
}

// Guards against overlaps, and events that are lost or doubled, where engines break off and
// work on, and answer orders in any way.
func TestStreamsOfLastingEngines(t *testing.T) {
	orders := 0
	defer func() { require.Greater(t, orders, 40, "one for each seed on average") }()
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			var mu sync.Mutex
			draw := func(n int) int {
				mu.Lock()
				defer mu.Unlock()
				return random.IntN(n)
			}
			x := newLastingEngines(t, nil)
			const events = 40
			x.answer = func(n int, c Call) (*Answer, error) {
				x.begin(c.Endpoint.ID)
				after := atoi(c.After)
				if n == 5 || draw(3) == 0 {
					return eventStream("s", after+1, events, false), nil
				}
				a := eventStream("s", after+1, min(after+1+draw(6), events-1), false)
				rest := []string{"", "spoilt\n\n", "id: 1\ndata: s\n\n"}[draw(3)]
				delay := time.Duration(draw(3000)) * time.Millisecond
				a.Body = io.MultiReader(a.Body, delayedFailure{delay, io.EOF}, strings.NewReader(rest), failingReader{})
				return a, nil
			}
			x.move = func(Move) (Moved, error) {
				time.Sleep(time.Duration(draw(400)) * time.Millisecond)
				return Moved{Handle: "h"}, nil
			}
			failed := 0
			x.stop = func(m Move) (Moved, error) {
				time.Sleep(time.Duration(draw(200)) * time.Millisecond)
				if failed < 2 && draw(2) == 0 {
					failed++
					return Moved{}, []error{ErrMoveBusy, connectionLost()}[draw(2)]
				}
				failed = 0
				return x.stopAt(m), nil
			}
			x.Tables.Current().Routes[1].Attempts = 6
			rec, err := x.request([]string{"/guide/1", "/short/1"}[seed%2])
			ids := eventIDs(rec.Body.String())
			if err == nil {
				assert.Len(t, ids, events, "seed %d", seed)
			} else {
				assert.ErrorIs(t, err, ErrCut, "seed %d", seed)
			}
			for n, id := range ids {
				assert.Equal(t, fmt.Sprint(n+1), id, "seed %d", seed)
			}
			x.requireNoOverlap()
			orders += x.orders
		})
	}
}

// Guards against an order to an engine that has not run the request, or whose process has
// ended.
func TestNoOrderWithoutARun(t *testing.T) {
	for name, first := range map[string]func(Call) (*Answer, error){
		"refused":       func(Call) (*Answer, error) { return refusedAnswer(), nil },
		"not connected": func(Call) (*Answer, error) { return nil, dialFailed() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newLastingEngines(t, first)
				_, err := x.request("/short/1")
				require.NoError(t, err)
				require.Empty(t, x.stops)
			})
		})
	}
	t.Run("started again", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			x, first, done := newHungEngine(t)
			require.Len(t, eventIDs(<-done), 9)
			later := x.listed(first)
			later.Born++
			x.Roster.Set(later)
			time.Sleep(time.Second) // an order may be on its way
			x.setUnreachable(first, false)
			time.Sleep(time.Minute)
			require.Empty(t, x.stops)
		})
	})
}

// newHungEngine returns engines that work on without their connection, the first of which
// sends one event and then answers nothing. The run goes on at a second one from its copy. The
// channel receives the body of the answer.
func newHungEngine(t *testing.T) (x *lastingEngines, first string, done <-chan string) {
	reader, writer := io.Pipe()
	x = newLastingEngines(t, func(Call) (*Answer, error) {
		a := eventStream("first", 1, 0, false)
		a.Body = reader
		return a, nil
	})
	x.Settings.Beat = 1333
	answered := make(chan string)
	go func() {
		rec, err := x.request("/guide/1")
		assert.NoError(t, err)
		answered <- rec.Body.String()
	}()
	_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
	synctest.Wait()
	first = x.called(0).Endpoint.ID
	x.setUnreachable(first, true)
	x.closeWithAttempt(reader)
	return x, first, answered
}

func (w *testGateway) setUnreachable(id string, unreachable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreachable[id] = unreachable
}

// Guards against an engine that was silent for as long as one that has ended, goes on and
// works beside the engine at which the request has gone on: it gets the order to stop once it
// answers again.
func TestHungEngineIsStopped(t *testing.T) {
	const answersAfter = 3 * time.Second // from the time at which the request has gone on
	for name, back := range map[string]func(x *lastingEngines, e roster.Endpoint){
		"listed": func(*lastingEngines, roster.Endpoint) {},
		"dropped by the list and back": func(x *lastingEngines, e roster.Endpoint) {
			x.Roster.Remove(e.ID)
			time.Sleep(answersAfter - time.Second)
			defer x.Roster.Set(e)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, first, done := newHungEngine(t)
				e := x.listed(first)
				begun := time.Now()
				require.Len(t, eventIDs(<-done), 9)
				require.LessOrEqual(t, time.Since(begun), 4*time.Second+probeLimit+silencePause, "the order must not delay the stream")
				ended := time.Now()
				back(x, e)
				time.Sleep(time.Until(ended.Add(answersAfter)))
				x.setUnreachable(first, false)
				time.Sleep(longestOverlap)
				synctest.Wait()
				x.mu.Lock()
				defer x.mu.Unlock()
				require.NotContains(t, x.working, first)
				require.Equal(t, 1, x.orders)
			})
		})
	}
}
