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

	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

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

// Guards against a generation that is refused as not run because no engine takes its repeat,
// although an attempt before may have run.
func TestRepeatThatIsNotPlacedMayHaveRun(t *testing.T) {
	for name, x := range map[string]struct {
		first  func() (*Answer, error)
		second func(w *testGateway) // after the first attempt has ended
	}{
		"refused, after no answer": {func() (*Answer, error) { return nil, connectionLost() }, func(*testGateway) {}},
		"refused, after the head":  {func() (*Answer, error) { return eventStream("s", 1, 0, true), nil }, func(*testGateway) {}},
		"no engine is left":        {func() (*Answer, error) { return nil, connectionLost() }, func(w *testGateway) { w.keepOnly("e9") }},
		"none in the regions": {func() (*Answer, error) { return nil, connectionLost() }, func(w *testGateway) {
			for i := range 4 {
				w.place(fmt.Sprint("e", i), "p0")
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newRegionalGateway(t)
			w.answer = func(n int, _ Call) (*Answer, error) {
				if n > 0 {
					return refusedAnswer(), nil
				}
				x.second(w)
				return x.first()
			}
			_, err := w.request("/short/1")
			require.Equal(t, refusal.Unknown, w.refusalOf(err).Outcome, "%v", err)
		})
	}
}

// An engine stops sending without closing its connections. Its generation must
// continue from the copy once the engine counts as lost, and not before.
func TestSilentEngineIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.Backend.Report = func(ctx context.Context, e roster.Endpoint) (Report, error) {
			if w.called(0).Endpoint.ID != e.ID {
				return Report{}, nil
			}
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
		require.GreaterOrEqual(t, time.Since(begun), w.lossTime())
		require.LessOrEqual(t, time.Since(begun), w.lossTime()+probeLimit+silencePause)
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

// Guards against a second engine working on a generation whose own engine only
// gave an unusable answer to a probe.
func TestEngineThatAnswersBadlyIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.Backend.Report = func(context.Context, roster.Endpoint) (Report, error) { return Report{}, errors.New("status 503") }
		reader, writer := io.Pipe()
		w.answer = func(int, Call) (*Answer, error) {
			a := eventStream("first", 1, 0, false)
			a.Body = reader
			w.closeWithAttempt(reader)
			go func() {
				_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
				time.Sleep(5 * silenceTimeout)
				_, _ = io.WriteString(writer, "id: 2\ndata: x\n\n")
				_ = writer.Close()
			}()
			return a, nil
		}
		rec, err := w.request("/guide/1")
		require.NoError(t, err)
		require.Equal(t, strings.Fields("1 2"), eventIDs(rec.Body.String()))
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

// A stopping instance must refuse a generation that may outlive it.
func TestStoppingInstanceRefusesGenerations(t *testing.T) {
	w := newTestGateway(t)
	w.answer = func(int, Call) (*Answer, error) { return eventStream("x", 1, 1, false), nil }
	w.listMembers = func() []member.Member { return []member.Member{{ID: w.id}, {ID: "i2-x"}} }
	later := time.Now().Add(time.Minute)
	w.stopping.Store(&stopping{listed: later, end: later})
	for _, path := range []string{"/guide/1", "/short/1"} {
		_, err := w.request(path)
		f := w.refusalOf(err)
		require.Equal(t, refusal.Stopping, f.Reason)
		require.Equal(t, refusal.NotRun, f.Outcome)
	}
	require.Empty(t, w.calls)
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
