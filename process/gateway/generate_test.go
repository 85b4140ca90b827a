package gateway

import (
	"context"
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

// A generation whose engine ends goes on from its copy, under the head of the
// first engine, with each event once.
func TestStreamGoesOnFromItsCopy(t *testing.T) {
	w := newWorld(t)
	w.answer = func(n int, _ Call) (*Answer, error) {
		if n == 0 {
			return events("first", 1, 5, true), nil
		}
		return events("second", 6, 9, false), nil
	}
	rec, err := w.request("/guide/1")
	require.NoError(t, err)
	require.Equal(t, strings.Fields("1 2 3 4 5 6 7 8 9"), ids(rec.Body.String()))
	require.Equal(t, "first", rec.Header().Get("X-Seal"))
	first, second := w.calls[0], w.calls[1]
	require.NotEmpty(t, first.Backup)
	require.NotEqual(t, first.Endpoint.Addr, first.Backup)
	require.Equal(t, first.Backup, second.Endpoint.Addr)
	require.Equal(t, first.Backup+"/q", second.From)
	require.Equal(t, "5", second.After)
	require.NotEmpty(t, second.Backup, "the run needs a new copy")
	require.NotEqual(t, second.Endpoint.Addr, second.Backup)
}

// A generation that ended before its first event was passed on goes on from its
// copy too.
func TestStreamThatBreaksBeforeItsFirstEvent(t *testing.T) {
	w := newWorld(t)
	w.answer = func(n int, _ Call) (*Answer, error) {
		if n == 0 {
			return events("first", 1, 0, true), nil
		}
		return events("second", 1, 3, false), nil
	}
	rec, err := w.request("/guide/1")
	require.NoError(t, err)
	require.Equal(t, strings.Fields("1 2 3"), ids(rec.Body.String()))
	require.Equal(t, firstEvent, w.calls[1].After)
	require.Equal(t, "first", rec.Header().Get("X-Seal"), "it is the run of the first engine")
}

// Without a copy a generation that may not run again is cut, and never begun
// anew: the caller would get pieces of two runs.
func TestStreamWithoutACopyIsCut(t *testing.T) {
	w := newWorld(t)
	w.answer = func(n int, c Call) (*Answer, error) {
		if n == 0 {
			return events("first", 1, 5, true), nil
		}
		return refused(), nil // the copy is not there
	}
	rec, err := w.request("/guide/1")
	require.ErrorIs(t, err, ErrCut)
	require.Equal(t, strings.Fields("1 2 3 4 5"), ids(rec.Body.String()), "nothing of an event that did not end is passed on")
	require.NotContains(t, rec.Body.String(), "id: 6")
	require.Len(t, w.calls, 2)
}

// A stream that may be resumed runs again from its last event, in the same
// answer, as often as its route allows.
func TestResumableStreamRunsAgain(t *testing.T) {
	w := newWorld(t)
	w.answer = func(n int, _ Call) (*Answer, error) {
		if n == 0 {
			return events("first", 1, 2, true), nil
		}
		return events("second", 3, 4, false), nil
	}
	rec, err := w.request("/short/1")
	require.NoError(t, err)
	require.Equal(t, strings.Fields("1 2 3 4"), ids(rec.Body.String()))
	require.Empty(t, w.calls[0].Backup, "what may run again needs no copy")
	require.Equal(t, "2", w.calls[1].After)
	require.Empty(t, w.calls[1].From)
	require.NotEqual(t, w.calls[0].Endpoint.ID, w.calls[1].Endpoint.ID)
}

// A generation that got lost on the way may have run. It is not begun again, only
// continued from its copy if there is one, and not called "not run".
func TestGenerationIsNotRepeatedInDoubt(t *testing.T) {
	w := newWorld(t)
	w.answer = func(n int, _ Call) (*Answer, error) {
		if n == 0 {
			return nil, lost()
		}
		return refused(), nil // there is no copy yet
	}
	_, err := w.request("/guide/1")
	require.Equal(t, refusal.Unknown, w.outcome(err).Outcome)
	require.Len(t, w.calls, 2)
	require.Equal(t, w.calls[0].Backup+"/q", w.calls[1].From)
}

// Pattern: an engine falls silent without closing its connections. Its
// generation goes on from the copy, in about the time of one question.
func TestSilentEngineIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.Backend.Report = func(ctx context.Context, _ roster.Endpoint) (Report, error) {
			<-ctx.Done()
			return Report{}, ctx.Err()
		}
		begun := time.Now()
		w.answer = func(n int, _ Call) (*Answer, error) {
			if n > 0 {
				return events("second", 3, 4, false), nil
			}
			reader, writer := io.Pipe()
			a := events("first", 1, 0, false)
			a.Body = reader
			go func() { _, _ = io.WriteString(writer, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n") }()
			w.closes(reader)
			return a, nil
		}
		rec, err := w.request("/guide/1")
		require.NoError(t, err)
		require.Equal(t, strings.Fields("1 2 3 4"), ids(rec.Body.String()))
		require.LessOrEqual(t, time.Since(begun), silence+probeLimit)
	})
}

// An engine that is slow, but answers, keeps its generation: a second one would
// work on it too.
func TestSlowEngineIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.Backend.Report = func(context.Context, roster.Endpoint) (Report, error) { return Report{}, nil }
		w.answer = func(int, Call) (*Answer, error) {
			reader, writer := io.Pipe()
			a := events("first", 1, 0, false)
			a.Body = reader
			go func() {
				time.Sleep(5 * silence)
				_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
				_ = writer.Close()
			}()
			w.closes(reader)
			return a, nil
		}
		rec, err := w.request("/guide/1")
		require.NoError(t, err)
		require.Len(t, ids(rec.Body.String()), 1)
		require.Len(t, w.calls, 1)
	})
}

// A refused connection is tried elsewhere at once, also on a route with one
// attempt: nothing was sent.
func TestRefusedConnectionIsNoAttempt(t *testing.T) {
	w := newWorld(t)
	w.answer = func(n int, _ Call) (*Answer, error) {
		if n < 2 {
			return nil, dialFailed()
		}
		return events("x", 1, 2, false), nil
	}
	rec, err := w.request("/guide/1")
	require.NoError(t, err)
	require.Len(t, ids(rec.Body.String()), 2)
}

// An engine that says that it did not run the request has used the one attempt
// of the route: the caller hears so, with a time to come back.
func TestRefusalOfAnEngine(t *testing.T) {
	w := newWorld(t)
	w.answer = func(int, Call) (*Answer, error) { return refused(), nil }
	_, err := w.request("/guide/1")
	f := w.outcome(err)
	require.Equal(t, refusal.NotRun, f.Outcome)
	require.True(t, f.RetryAt.After(time.Now()))
	require.Len(t, w.calls, 1)
}

// Pattern: engines are reclaimed at short notice. A run without a copy is copied
// on the notice, to an engine that stays, and goes on there.
func TestNoticeCopiesRunsWithoutACopy(t *testing.T) {
	w := newWorld(t)
	w.Tables.Current().Services[0].Engine.Backups = false
	writer, done := w.stream(3, 4)
	_, _ = io.WriteString(writer, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n")
	require.Eventually(t, func() bool { return len(w.runsOf("q")) == 1 }, time.Minute, time.Millisecond)
	from := w.notice(roster.FromList)
	require.Eventually(t, func() bool { return w.runsOf("q")[0].safe() != nil }, time.Minute, time.Millisecond)
	_ = writer.CloseWithError(errors.New("connection reset"))
	require.Equal(t, strings.Fields("1 2 3 4"), ids(<-done))
	require.Len(t, w.moves, 1)
	require.Equal(t, from.ID, w.moves[0].From.ID)
	require.NotEqual(t, from.ID, w.moves[0].To.ID)
	require.Equal(t, w.moves[0].To.ID, w.calls[1].Endpoint.ID)
	require.Equal(t, from.Addr+"/h", w.calls[1].From)
}

// Pattern: the notice comes while the prompt is still being read. The run cannot
// be copied then, and must be as soon as it can.
func TestNoticeWhileThePromptIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.Tables.Current().Services[0].Engine.Backups = false
		tries := 0
		w.move = func(Move) (Moved, error) {
			if tries++; tries < 3 {
				return Moved{}, errors.New("no such run")
			}
			return Moved{Handle: "h"}, nil
		}
		writer, done := w.stream(2, 3)
		synctest.Wait()
		w.notice(roster.FromList)
		time.Sleep(protectPause)
		_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
		time.Sleep(2 * protectPause)
		_ = writer.CloseWithError(errors.New("connection reset"))
		require.Equal(t, strings.Fields("1 2 3"), ids(<-done))
	})
}

// Pattern: the engine of a generation and the engine of its copy are taken away
// in one wave, first the one, whose row is gone already, and then the other.
func TestCopyIsTakenAfterItsRun(t *testing.T) {
	w := newWorld(t)
	writer, done := w.stream(2, 3)
	_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
	require.Eventually(t, func() bool { return len(w.runsOf("q")) == 1 && w.runsOf("q")[0].safe() != nil }, time.Minute, time.Millisecond)
	r := w.runsOf("q")[0]
	from, to := r.endpoint, r.safe().endpoint
	w.Roster.MarkLeaving(from.ID, roster.FromList)
	w.evacuate(from, roster.FromList)
	w.Roster.Remove(from.ID)
	w.Roster.MarkLeaving(to.ID, roster.FromList)
	w.refreshDesks()
	w.evacuate(to, roster.FromList)
	require.Eventually(t, func() bool { return r.safe() != nil }, 10*time.Second, time.Millisecond)
	require.NotEqual(t, to.ID, r.safe().endpoint.ID)
	_ = writer.CloseWithError(errors.New("connection reset"))
	require.Equal(t, strings.Fields("1 2 3"), ids(<-done))
}

// Two notices that concern one run must not begin two copies: the engine refuses
// the second, and freeing it would free the first.
func TestNoticesBeginOneCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.Tables.Current().Services[0].Engine.Backups = false
		busy := 0
		w.move = func(Move) (Moved, error) {
			busy++
			require.Equal(t, 1, busy)
			time.Sleep(300 * time.Millisecond)
			busy--
			return Moved{Handle: "h"}, nil
		}
		writer, done := w.stream(2, 3)
		_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
		synctest.Wait()
		from := w.notice(roster.FromList)
		time.Sleep(100 * time.Millisecond)
		w.evacuate(from, roster.FromReport)
		time.Sleep(time.Second)
		_ = writer.CloseWithError(errors.New("connection reset"))
		require.Equal(t, strings.Fields("1 2 3"), ids(<-done))
		require.Empty(t, w.freed)
	})
}

// stream begins a request whose first engine sends what is written, and whose
// second one the events from first to last. The body of the answer follows.
func (w *world) stream(first, last int) (*io.PipeWriter, <-chan string) {
	reader, writer := io.Pipe()
	w.answer = func(n int, _ Call) (*Answer, error) {
		if n > 0 {
			return events("second", first, last, false), nil
		}
		a := events("first", 1, 0, false)
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

// runsOf gives the runs of a request.
func (w *world) runsOf(id string) (list []*run) {
	for i := range 4 {
		runs, _ := w.runs.at("e" + string(rune('0'+i)))
		for _, r := range runs {
			if r.j.ID == id {
				list = append(list, r)
			}
		}
	}
	return list
}

// An instance that stops takes no generation that would outlive it.
func TestStoppingInstanceRefusesGenerations(t *testing.T) {
	w := newWorld(t)
	w.answer = func(int, Call) (*Answer, error) { return events("x", 1, 1, false), nil }
	w.stopping.Store(&stopping{})
	_, err := w.request("/guide/1")
	f := w.outcome(err)
	require.Equal(t, refusal.Stopping, f.Reason)
	require.Equal(t, refusal.NotRun, f.Outcome)
	_, err = w.request("/short/1")
	require.NoError(t, err)
}

// A caller that leaves ends the attempt.
func TestCallerLeaves(t *testing.T) {
	w := newWorld(t)
	ctx, cancel := context.WithCancel(t.Context())
	w.answer = func(int, Call) (*Answer, error) {
		cancel()
		return nil, refusal.Failed(context.Canceled, true)
	}
	_, err := w.requestWith(ctx, &Request{
		ID: "q", Host: "h", Path: "/short/1", Header: http.Header{}, Key: "key", Arrived: time.Now(), Prompt: 10,
	})
	require.Error(t, err)
	require.Len(t, w.calls, 1)
}

// Whatever engines do, the events of an answer are those of one generation, each
// once and in order, and an answer that looks complete is complete.
func TestEventsOnceInOrder(t *testing.T) {
	const length = 12
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t)
		path := rapid.SampledFrom([]string{"/guide/1", "/short/1"}).Draw(rt, "path")
		sent := 0
		w.answer = func(n int, c Call) (*Answer, error) {
			switch rapid.IntRange(0, 5).Draw(rt, "behaviour") {
			case 0:
				return nil, dialFailed()
			case 1:
				return refused(), nil
			case 2:
				return nil, lost()
			}
			// A generation that goes on from memory or from an event begins after
			// the last one that the caller has.
			last := rapid.IntRange(sent, length).Draw(rt, "last")
			first := sent + 1
			sent = last
			return events("x", first, last, last < length || rapid.Bool().Draw(rt, "broken")), nil
		}
		rec, err := w.request(path)
		got := ids(rec.Body.String())
		for i, id := range got {
			require.Equal(rt, i+1, atoi(id))
		}
		if err == nil {
			require.Len(rt, got, length)
		}
	})
}

func atoi(s string) (n int) {
	for _, c := range s {
		n = 10*n + int(c-'0')
	}
	return n
}
