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
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

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

// The engine of the copy no longer keeps the memory. The run must be copied again
// and continue only from the new copy.
func TestLapsedCopyIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.move = func(m Move) (Moved, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			return Moved{Handle: fmt.Sprint("h", len(w.moves)), Failed: len(w.moves) == 2}, nil
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
}

// Guards against a second run of a generation whose answer was lost: an engine
// that only has room reserved for a copy must not get the request.
func TestLostAnswerIsNotAskedForAtASecondEngine(t *testing.T) {
	for name, first := range map[string]func() (*Answer, error){
		"before the header": func() (*Answer, error) { return nil, connectionLost() },
		"after the header":  func() (*Answer, error) { return eventStream("first", 1, 0, true), nil },
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.answer = func(int, Call) (*Answer, error) { return first() }
			_, err := w.request("/guide/1")
			require.Equal(t, refusal.Unknown, w.refusalOf(err).Outcome)
			require.Len(t, w.calls, 1)
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

// A resumable stream runs again from its last event, within the same answer, as
// often as its route allows.
func TestResumableStreamRunsAgain(t *testing.T) {
	w := newTestGateway(t)
	w.answer = func(n int, _ Call) (*Answer, error) {
		if n == 0 {
			return eventStream("first", 1, 2, true), nil
		}
		return eventStream("second", 3, 4, false), nil
	}
	rec, err := w.request("/short/1")
	require.NoError(t, err)
	require.Equal(t, strings.Fields("1 2 3 4"), eventIDs(rec.Body.String()))
	require.Empty(t, w.moves, "a resumable stream needs no copy")
	require.Equal(t, "2", w.calls[1].After)
	require.Empty(t, w.calls[1].Memory)
	require.NotEqual(t, w.calls[0].Endpoint.ID, w.calls[1].Endpoint.ID)
}

// An engine stops sending without closing its connections. Its generation must
// continue from the copy after the silence timeout and one probe.
func TestSilentEngineIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.Backend.Report = func(ctx context.Context, _ roster.Endpoint) (Report, error) {
			<-ctx.Done()
			return Report{}, ctx.Err()
		}
		begun := time.Now()
		w.answer = func(n int, _ Call) (*Answer, error) {
			if n > 0 {
				return eventStream("second", 3, 4, false), nil
			}
			reader, writer := io.Pipe()
			a := eventStream("first", 1, 0, false)
			a.Body = reader
			go func() { _, _ = io.WriteString(writer, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n") }()
			w.closeWithAttempt(reader)
			return a, nil
		}
		rec, err := w.request("/guide/1")
		require.NoError(t, err)
		require.Equal(t, strings.Fields("1 2 3 4"), eventIDs(rec.Body.String()))
		require.LessOrEqual(t, time.Since(begun), silenceTimeout+probeLimit)
	})
}

// An engine that is slow but answers probes must keep its generation, or two
// engines would work on it.
func TestSlowEngineIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.Backend.Report = func(context.Context, roster.Endpoint) (Report, error) { return Report{}, nil }
		w.answer = func(int, Call) (*Answer, error) {
			reader, writer := io.Pipe()
			a := eventStream("first", 1, 0, false)
			a.Body = reader
			go func() {
				time.Sleep(5 * silenceTimeout)
				_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
				_ = writer.Close()
			}()
			w.closeWithAttempt(reader)
			return a, nil
		}
		rec, err := w.request("/guide/1")
		require.NoError(t, err)
		require.Len(t, eventIDs(rec.Body.String()), 1)
		require.Len(t, w.calls, 1)
	})
}

// A refused connection does not count as an attempt, as nothing was sent:
// another engine is tried even on a route with one attempt.
func TestRefusedConnectionIsNoAttempt(t *testing.T) {
	w := newTestGateway(t)
	w.answer = func(n int, _ Call) (*Answer, error) {
		if n < 2 {
			return nil, dialFailed()
		}
		return eventStream("x", 1, 2, false), nil
	}
	rec, err := w.request("/guide/1")
	require.NoError(t, err)
	require.Len(t, eventIDs(rec.Body.String()), 2)
}

// An engine that reports that it did not run the request has used the only
// attempt of the route. The caller must receive the outcome "not run" and a
// retry time.
func TestRefusalOfAnEngine(t *testing.T) {
	w := newTestGateway(t)
	w.answer = func(int, Call) (*Answer, error) { return refusedAnswer(), nil }
	_, err := w.request("/guide/1")
	f := w.refusalOf(err)
	require.Equal(t, refusal.NotRun, f.Outcome)
	require.True(t, f.RetryAt.After(time.Now()))
	require.Len(t, w.calls, 1)
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
	w.Roster.MarkLeaving(from.ID, roster.FromList)
	w.evacuate(from, roster.FromList)
	w.Roster.Remove(from.ID)
	w.Roster.MarkLeaving(to.ID, roster.FromList)
	w.refreshEnginePools()
	w.evacuate(to, roster.FromList)
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
		w.evacuate(from, roster.FromReport)
		time.Sleep(time.Second)
		_ = writer.CloseWithError(errors.New("connection reset"))
		require.Equal(t, strings.Fields("1 2 3"), eventIDs(<-done))
		require.Empty(t, w.freed)
	})
}

// startStream starts a request. Its first engine sends what is written to the
// returned pipe, and its second one the events from first to last. The channel
// receives the body of the answer.
func (w *testGateway) startStream(first, last int) (*io.PipeWriter, <-chan string) {
	reader, writer := io.Pipe()
	w.answer = func(n int, _ Call) (*Answer, error) {
		if n > 0 {
			return eventStream("second", first, last, false), nil
		}
		a := eventStream("first", 1, 0, false)
		a.Body = reader
		return a, nil
	}
	done := make(chan string)
	go func() {
		rec, err := w.request("/guide/1")
		assert.NoError(w.t, err)
		done <- rec.Body.String()
	}()
	return writer, done
}

// runsOf returns the runs of a request.
func (w *testGateway) runsOf(id string) (list []*run) {
	for i := range 4 {
		runs, _ := w.runs.runsAt("e" + string(rune('0'+i)))
		for _, r := range runs {
			if r.j.ID == id {
				list = append(list, r)
			}
		}
	}
	return list
}

// A stopping instance must refuse a generation that would outlive it.
func TestStoppingInstanceRefusesGenerations(t *testing.T) {
	w := newTestGateway(t)
	w.answer = func(int, Call) (*Answer, error) { return eventStream("x", 1, 1, false), nil }
	w.stopping.Store(&stopping{})
	_, err := w.request("/guide/1")
	f := w.refusalOf(err)
	require.Equal(t, refusal.Stopping, f.Reason)
	require.Equal(t, refusal.NotRun, f.Outcome)
	_, err = w.request("/short/1")
	require.NoError(t, err)
}

// The request must not be sent again after the caller has left.
func TestCallerLeaves(t *testing.T) {
	w := newTestGateway(t)
	ctx, cancel := context.WithCancel(t.Context())
	w.answer = func(int, Call) (*Answer, error) {
		cancel()
		return nil, refusal.FromCallError(context.Canceled, true)
	}
	_, err := w.requestWith(ctx, &Request{
		ID: "q", Host: "h", Path: "/short/1", Header: http.Header{}, Key: "key", Arrived: time.Now(), Prompt: 10,
	})
	require.Error(t, err)
	require.Len(t, w.calls, 1)
}

// For any behaviour of the engines, an answer has the events of one generation,
// each once and in order, and an answer without an error is complete. A
// generation that may run once is sent on only from memory.
func TestEventsOnceInOrder(t *testing.T) {
	const length = 12
	synctest.Test(t, func(t *testing.T) {
		// Deadline must not be called in a bubble; the wrapper hides it.
		rapid.Check(struct{ testing.TB }{t}, func(rt *rapid.T) {
			w := newTestGateway(t)
			path := rapid.SampledFrom([]string{"/guide/1", "/short/1"}).Draw(rt, "path")
			w.move = func(Move) (Moved, error) { return Moved{Handle: "h", Failed: rapid.Bool().Draw(rt, "no room")}, nil }
			sent, ran := 0, 0
			w.answer = func(n int, c Call) (*Answer, error) {
				if c.Memory == "" {
					require.True(rt, path != "/guide/1" || ran == 0, "runs again")
				}
				switch rapid.IntRange(0, 5).Draw(rt, "behaviour") {
				case 0:
					return nil, dialFailed()
				case 1:
					return refusedAnswer(), nil
				case 2:
					ran++
					return nil, connectionLost()
				}
				ran++
				// A generation that continues from memory or from an event starts
				// after the last event that the caller has received.
				last := rapid.IntRange(sent, length).Draw(rt, "last")
				first := sent + 1
				sent = last
				if last < length || rapid.Bool().Draw(rt, "broken") {
					return breakingStream("x", first, last), nil
				}
				return eventStream("x", first, last, false), nil
			}
			rec, err := w.request(path)
			got := eventIDs(rec.Body.String())
			for i, id := range got {
				require.Equal(rt, i+1, atoi(id))
			}
			if err == nil {
				require.Len(rt, got, length)
			}
			w.cancel()
			synctest.Wait()
		})
	})
}

func atoi(s string) (n int) {
	for _, c := range s {
		n = 10*n + int(c-'0')
	}
	return n
}
