package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// A run continues at a second engine while the renewal of its copy gets no answer
// from the first one. It must be copied at the second engine.
func TestRunThatContinuesDuringARenewalIsCopied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.move = func(Move) (Moved, error) {
			w.mu.Lock()
			n := len(w.moves)
			w.mu.Unlock()
			if n == 2 {
				time.Sleep(copyLimit)
				return Moved{}, context.DeadlineExceeded
			}
			return Moved{Handle: "h"}, nil
		}
		w.answer = func(n int, _ Call) (*Answer, error) {
			delay, err := 2600*time.Millisecond, errors.New("connection reset") // while the first renewal is in progress
			if n > 0 {
				delay, err = 20*time.Second, io.EOF
			}
			a := eventStream("s", n+1, n+1, false)
			a.Body = io.MultiReader(a.Body, delayedFailure{delay, err})
			return a, nil
		}
		done := make(chan error)
		go func() {
			_, err := w.request("/guide/1")
			done <- err
		}()
		time.Sleep(10 * time.Second)
		r := w.runsOf("q")[0]
		require.True(t, r.isAt(w.calls[1].Endpoint))
		require.NotNil(t, r.usableCopy())
		require.NoError(t, <-done)
		time.Sleep(time.Minute)
	})
}

// Guards against copies that use memory and a slot of their engine after their run
// has ended.
func TestCopyIsFreedWithItsRun(t *testing.T) {
	for name, took := range map[string]time.Duration{"copied before the end": 0, "copied after the end": 200 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t)
				w.move = func(Move) (Moved, error) { time.Sleep(took); return Moved{Handle: "h"}, nil }
				writer, done := w.startStream(2, 3)
				_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
				time.Sleep(100 * time.Millisecond)
				_ = writer.Close()
				<-done
				time.Sleep(took)
				synctest.Wait()
				require.Equal(t, []string{"h"}, w.freed)
			})
		})
	}
}

// A copy that a run has used belongs to its second engine and must not be freed.
func TestUsedCopyIsNotFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.move = func(m Move) (Moved, error) { return Moved{Handle: "from " + m.From.ID}, nil }
		w.answer = func(n int, _ Call) (*Answer, error) {
			if n == 0 {
				return breakingStream("first", 1, 5), nil
			}
			return eventStream("second", 6, 9, false), nil
		}
		_, err := w.request("/guide/1")
		require.NoError(t, err)
		time.Sleep(time.Minute)
		synctest.Wait()
		require.NotContains(t, w.freed, "from "+w.calls[0].Endpoint.ID)
	})
}

// Guards against room that stays reserved for ever: a copy was acknowledged before
// the header of the answer came, and the caller left.
func TestRoomOfACopyIsReleasedWhenTheCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.answer = func(int, Call) (*Answer, error) {
			<-w.attempt.Done()
			return nil, refusal.FromCallError(context.Canceled, true)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() {
			_, err := w.requestWith(ctx, &Request{
				ID: "q", Host: "h", Path: "/guide/1", Header: http.Header{}, Key: "key", Arrived: time.Now(), Prompt: 1000, Max: 400,
			})
			done <- err
		}()
		synctest.Wait()
		w.announceLeave(roster.FromList)
		synctest.Wait()
		require.NotNil(t, w.runsOf("q")[0].usableCopy())
		cancel()
		require.Error(t, <-done)
		synctest.Wait()
		for _, l := range w.testEnginePool().sched.Own() {
			require.Zero(t, l.Runs, l.Endpoint)
		}
	})
}

// A generation whose engine ends continues from its copy, with the headers of
// the first engine and each event once, and is copied again there.
func TestStreamGoesOnFromItsCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.answer = func(n int, _ Call) (*Answer, error) {
			if n == 0 {
				return breakingStream("first", 1, 5), nil
			}
			a := eventStream("second", 6, 9, false)
			a.Body = io.MultiReader(a.Body, delayedFailure{time.Second, io.EOF})
			return a, nil
		}
		rec, err := w.request("/guide/1")
		require.NoError(t, err)
		require.Equal(t, strings.Fields("1 2 3 4 5 6 7 8 9"), eventIDs(rec.Body.String()))
		require.Equal(t, "first", rec.Header().Get("X-Seal"))
		require.Len(t, w.calls, 2)
		first, second := w.calls[0], w.calls[1]
		require.Equal(t, "5", second.After)
		require.Len(t, w.moves, 2)
		require.Equal(t, Move{Run: "q", From: first.Endpoint, To: second.Endpoint}, w.moves[0])
		require.Equal(t, first.Endpoint.Addr+"/h", second.Memory)
		require.Equal(t, second.Endpoint, w.moves[1].From, "the run needs a new copy")
		require.NotEqual(t, second.Endpoint, w.moves[1].To)
	})
}

// The copy was made by an engine process that has started again since, under the
// same ID. It has no memory of the run, so the run must not be sent there.
func TestCopyEndsWithItsEngineProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.answer = func(int, Call) (*Answer, error) { return breakingStream("first", 1, 5), nil }
		time.AfterFunc(time.Second/2, func() {
			w.mu.Lock()
			e := w.moves[0].To
			w.mu.Unlock()
			e.Born++
			w.Roster.Set(e)
		})
		_, err := w.request("/guide/1")
		require.ErrorIs(t, err, ErrCut)
		require.Len(t, w.calls, 1)
	})
}

// The engine of the copy no longer keeps the memory, or made a copy anew. The run
// must be copied again and continue only from the new copy.
func TestLapsedCopyIsReplaced(t *testing.T) {
	for name, renewal := range map[string]Moved{
		"not kept":  {Handle: "h1", Failed: true},
		"made anew": {Handle: "h2"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t)
				w.move = func(Move) (Moved, error) {
					w.mu.Lock()
					defer w.mu.Unlock()
					if len(w.moves) == 2 {
						return renewal, nil
					}
					return Moved{Handle: fmt.Sprint("h", len(w.moves))}, nil
				}
				writer, done := w.startStream(2, 3)
				_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
				time.Sleep(3 * time.Second)
				_ = writer.CloseWithError(errors.New("connection reset"))
				require.Equal(t, strings.Fields("1 2 3"), eventIDs(<-done))
				synctest.Wait()
				require.GreaterOrEqual(t, len(w.moves), 3)
				require.Equal(t, w.moves[0].To, w.moves[1].To, "the renewal")
				require.Equal(t, w.moves[2].To, w.calls[1].Endpoint)
				require.Equal(t, w.calls[0].Endpoint.Addr+"/h3", w.calls[1].Memory)
			})
		})
	}
}

// The copy was acknowledged, but its renewals get no answer. The run must not be
// sent to its engine when that may have dropped the memory.
func TestCopyExpiresUnlessRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.move = func(Move) (Moved, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if len(w.moves) > 1 {
				return Moved{}, connectionLost()
			}
			return Moved{Handle: "h"}, nil
		}
		w.answer = func(int, Call) (*Answer, error) {
			a := eventStream("first", 1, 5, false)
			a.Body = io.MultiReader(a.Body, delayedFailure{30 * time.Second, errors.New("connection reset")})
			return a, nil
		}
		_, err := w.request("/guide/1")
		require.ErrorIs(t, err, ErrCut)
		require.Len(t, w.calls, 1)
	})
}

// The engine of a copy leaves while the copy is made. The run must not be sent
// there, but copied to another engine.
func TestCopyToAnEngineThatLeavesMeanwhile(t *testing.T) {
	for name, leave := range map[string]func(*testGateway, string){
		"notice": func(w *testGateway, id string) { w.Roster.MarkLeaving(id, 0, roster.FromList) },
		"gone":   func(w *testGateway, id string) { w.Roster.Remove(id) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t)
				w.move = func(Move) (Moved, error) { time.Sleep(time.Second); return Moved{Handle: "h"}, nil }
				writer, done := w.startStream(2, 3)
				_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
				time.Sleep(time.Second / 2)
				w.mu.Lock()
				to := w.moves[0].To
				w.mu.Unlock()
				leave(w, to.ID)
				w.refreshEnginePools()
				w.protectRunsAt(to, roster.FromList)
				time.Sleep(10 * time.Second)
				_ = writer.CloseWithError(errors.New("connection reset"))
				require.Equal(t, strings.Fields("1 2 3"), eventIDs(<-done))
				synctest.Wait()
				require.NotEqual(t, to.ID, w.calls[1].Endpoint.ID)
				time.Sleep(time.Minute) // until the last copy is released
			})
		})
	}
}

// Guards against a second run at an engine that never acknowledged the memory of
// the first one: the generation must be cut.
func TestGenerationGoesOnOnlyFromAcknowledgedMemory(t *testing.T) {
	for name, move := range map[string]func(Move) (Moved, error){
		"no room":       func(Move) (Moved, error) { return Moved{Handle: "h", Failed: true}, nil },
		"answer lost":   func(Move) (Moved, error) { return Moved{}, connectionLost() },
		"not yet there": func(Move) (Moved, error) { time.Sleep(copyLimit); return Moved{Handle: "h"}, nil },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t)
				w.move = move
				w.answer = func(int, Call) (*Answer, error) {
					return breakingStream("first", 1, 5), nil
				}
				rec, err := w.request("/guide/1")
				require.ErrorIs(t, err, ErrCut)
				time.Sleep(time.Minute) // until late answers have arrived
				require.Len(t, eventIDs(rec.Body.String()), 5)
				require.Len(t, w.calls, 1)
			})
		})
	}
}

// Without a copy, a generation that may not run again is cut. If it started
// again, the caller would receive pieces of two runs.
func TestStreamWithoutACopyIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.answer = func(n int, _ Call) (*Answer, error) {
			if n == 0 {
				return breakingStream("first", 1, 5), nil
			}
			return refusedAnswer(), nil // the copy no longer exists
		}
		rec, err := w.request("/guide/1")
		require.ErrorIs(t, err, ErrCut)
		require.Equal(t, strings.Fields("1 2 3 4 5"), eventIDs(rec.Body.String()), "no part of an incomplete event may be passed on")
		require.NotContains(t, rec.Body.String(), "id: 6")
		require.Len(t, w.calls, 2)
	})
}

// Engines are reclaimed at short notice. On the notice, a run without a copy
// must be copied to an engine that stays, and continue there.
func TestNoticeCopiesRunsWithoutACopy(t *testing.T) {
	w := newTestGateway(t)
	w.Tables.Current().Services[0].Engine.Backups = false
	writer, done := w.startStream(3, 4)
	_, _ = io.WriteString(writer, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n")
	require.Eventually(t, func() bool { return len(w.runsOf("q")) == 1 }, time.Minute, time.Millisecond)
	from := w.announceLeave(roster.FromList)
	require.Eventually(t, func() bool { return w.runsOf("q")[0].usableCopy() != nil }, time.Minute, time.Millisecond)
	_ = writer.CloseWithError(errors.New("connection reset"))
	require.Equal(t, strings.Fields("1 2 3 4"), eventIDs(<-done))
	require.Len(t, w.moves, 1)
	require.Equal(t, from.ID, w.moves[0].From.ID)
	require.NotEqual(t, from.ID, w.moves[0].To.ID)
	require.Equal(t, w.moves[0].To.ID, w.calls[1].Endpoint.ID)
	require.Equal(t, from.Addr+"/h", w.calls[1].Memory)
}

// A notice arrives while the prompt is still being processed. The run cannot be
// copied then, so the copy must be retried until it succeeds.
func TestNoticeWhileThePromptIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.Tables.Current().Services[0].Engine.Backups = false
		tries := 0
		w.move = func(Move) (Moved, error) {
			if tries++; tries < 3 {
				return Moved{}, errors.New("no such run")
			}
			return Moved{Handle: "h"}, nil
		}
		writer, done := w.startStream(2, 3)
		synctest.Wait()
		w.announceLeave(roster.FromList)
		time.Sleep(protectPause)
		_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
		time.Sleep(2 * protectPause)
		_ = writer.CloseWithError(errors.New("connection reset"))
		require.Equal(t, strings.Fields("1 2 3"), eventIDs(<-done))
	})
}

// The engine of a generation leaves and its row is removed; then the engine of
// its copy leaves too. The copy must be replaced by one at a third engine.
func TestCopyIsReplacedWhenItsEngineLeaves(t *testing.T) {
	w := newTestGateway(t)
	writer, done := w.startStream(2, 3)
	_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
	require.Eventually(t, func() bool { return len(w.runsOf("q")) == 1 && w.runsOf("q")[0].usableCopy() != nil }, time.Minute, time.Millisecond)
	r := w.runsOf("q")[0]
	from, to := r.endpoint, r.usableCopy().endpoint
	w.Roster.MarkLeaving(from.ID, from.Born, roster.FromList)
	w.protectRunsAt(from, roster.FromList)
	w.Roster.Remove(from.ID)
	w.Roster.MarkLeaving(to.ID, to.Born, roster.FromList)
	w.refreshEnginePools()
	w.protectRunsAt(to, roster.FromList)
	require.Eventually(t, func() bool { return r.usableCopy() != nil }, 10*time.Second, time.Millisecond)
	require.NotEqual(t, to.ID, r.usableCopy().endpoint.ID)
	_ = writer.CloseWithError(errors.New("connection reset"))
	require.Equal(t, strings.Fields("1 2 3"), eventIDs(<-done))
}

// Two notices for the engine of one run must start only one copy: the engine
// refuses the second, and freeing it would free the first.
func TestNoticesBeginOneCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.Tables.Current().Services[0].Engine.Backups = false
		busy := 0
		w.move = func(Move) (Moved, error) {
			busy++
			require.Equal(t, 1, busy)
			time.Sleep(300 * time.Millisecond)
			busy--
			return Moved{Handle: "h"}, nil
		}
		writer, done := w.startStream(2, 3)
		_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
		synctest.Wait()
		from := w.announceLeave(roster.FromList)
		time.Sleep(100 * time.Millisecond)
		w.protectRunsAt(from, roster.FromReport)
		time.Sleep(time.Second)
		_ = writer.CloseWithError(errors.New("connection reset"))
		require.Equal(t, strings.Fields("1 2 3"), eventIDs(<-done))
		require.Empty(t, w.freed)
	})
}
