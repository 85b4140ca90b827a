package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/version/routing"
)

// A non-repeatable request must not be sent again after an attempt that may
// have run, and its outcome must be unknown.
func TestOnceIsNotRepeatedAfterALostAnswer(t *testing.T) {
	w := newTestGateway(t)
	w.answer = func(int, Call) (*Answer, error) { return nil, connectionLost() }
	_, err := w.request("/book/1")
	require.Equal(t, refusal.Unknown, w.refusalOf(err).Outcome)
	require.Len(t, w.calls, 1)
}

// A request that certainly did not run goes to another replica. If every
// replica refuses it, the outcome is "not run".
func TestOnceIsRepeatedWhereItHasNotRun(t *testing.T) {
	w := newTestGateway(t)
	w.answer = func(n int, _ Call) (*Answer, error) {
		if n == 0 {
			return nil, dialFailed()
		}
		return plainAnswer(http.StatusOK, "booked"), nil
	}
	rec, err := w.request("/book/1")
	require.NoError(t, err)
	require.Equal(t, "booked", rec.Body.String())
	require.Equal(t, "200booked", rec.Header().Get("X-Seal"))
	require.NotEqual(t, w.calls[0].Endpoint.ID, w.calls[1].Endpoint.ID)

	w = newTestGateway(t)
	w.answer = func(int, Call) (*Answer, error) { return refusedAnswer(), nil }
	_, err = w.request("/book/1")
	f := w.refusalOf(err)
	require.Equal(t, refusal.NotRun, f.Outcome)
	require.False(t, f.RetryAt.IsZero())
	require.Len(t, w.calls, 3, "the route allows three replicas")
}

// After an attempt that may have run, later refusals must not make the outcome
// "not run".
func TestLaterRefusalKeepsAnEarlierUnknownOutcome(t *testing.T) {
	w := newTestGateway(t)
	w.answer = func(n int, _ Call) (*Answer, error) {
		if n == 0 {
			return nil, connectionLost()
		}
		return refusedAnswer(), nil
	}
	_, err := w.request("/read/1")
	require.Equal(t, refusal.Unknown, w.refusalOf(err).Outcome)
	require.Len(t, w.calls, 2)
}

// A server error of a replica leads to another attempt if the request is
// repeatable. It is passed on unchanged if not, or if the other replicas fail
// as well.
func TestFailureOfAReplica(t *testing.T) {
	w := newTestGateway(t)
	w.answer = func(n int, _ Call) (*Answer, error) {
		if n == 0 {
			return plainAnswer(http.StatusInternalServerError, "no"), nil
		}
		return plainAnswer(http.StatusOK, "yes"), nil
	}
	rec, err := w.request("/read/1")
	require.NoError(t, err)
	require.Equal(t, "yes", rec.Body.String())

	w = newTestGateway(t)
	w.answer = func(int, Call) (*Answer, error) { return plainAnswer(http.StatusInternalServerError, "no"), nil }
	for _, path := range []string{"/book/1", "/read/1"} {
		w.calls = nil
		rec, err = w.request(path)
		require.NoError(t, err)
		require.Equal(t, http.StatusInternalServerError, rec.Code)
		require.Equal(t, "500no", rec.Header().Get("X-Seal"))
	}
	require.Len(t, w.calls, 2)
}

// A broken answer must not look complete, and may be replaced by another
// attempt only if the request is repeatable.
func TestAnswerThatBreaksOff(t *testing.T) {
	broken := func() *Answer {
		a := plainAnswer(http.StatusOK, "boo")
		a.Length = 6
		a.Body = failingReader{}
		return a
	}
	w := newTestGateway(t)
	w.answer = func(n int, _ Call) (*Answer, error) {
		if n == 0 {
			return broken(), nil
		}
		return plainAnswer(http.StatusOK, "booked"), nil
	}
	rec, err := w.request("/read/1")
	require.NoError(t, err)
	require.Equal(t, "booked", rec.Body.String())
	w.calls = nil
	_, err = w.request("/book/1")
	require.Equal(t, refusal.Unknown, w.refusalOf(err).Outcome)
	require.Len(t, w.calls, 1)
}

// The connection of a long server error must be closed before the request is
// sent to another replica, not only when the request ends.
func TestReplacedLongAnswerIsClosed(t *testing.T) {
	w := newTestGateway(t)
	closed := false
	w.answer = func(n int, _ Call) (*Answer, error) {
		if n == 0 {
			a := plainAnswer(http.StatusInternalServerError, strings.Repeat("a", maxBufferedAnswer+1))
			a.Close = func(whole bool) { closed = !whole }
			return a, nil
		}
		require.True(t, closed)
		return plainAnswer(http.StatusOK, "yes"), nil
	}
	rec, err := w.request("/read/1")
	require.NoError(t, err)
	require.Equal(t, "yes", rec.Body.String())
}

// The route's timeout limits the wait for an answer; a request that was sent by
// then has an unknown outcome.
func TestTimeoutOfARoute(t *testing.T) {
	w := newTestGateway(t)
	w.answer = func(_ int, c Call) (*Answer, error) {
		time.Sleep(time.Until(c.Deadline))
		return nil, refusal.FromCallError(context.DeadlineExceeded, true)
	}
	_, err := w.request("/slow/1")
	f := w.refusalOf(err)
	require.Equal(t, refusal.Timeout, f.Reason)
	require.Equal(t, refusal.Unknown, f.Outcome)
}

// Requests without a route, with an unknown key or before the first routing
// table are refused as not run.
func TestAdmission(t *testing.T) {
	w := newTestGateway(t)
	_, err := w.request("/none/1")
	require.Equal(t, refusal.NoService, w.refusalOf(err).Reason)
	r := &Request{ID: "q", Host: "h", Path: "/book/1", Key: "gone", Arrived: time.Now()}
	_, err = w.requestWith(t.Context(), r)
	require.Equal(t, refusal.BadKey, w.refusalOf(err).Reason)
	w.Tables = routing.Keeper{}
	_, err = w.request("/book/1")
	f := w.refusalOf(err)
	require.Equal(t, refusal.Store, f.Reason)
	require.Equal(t, refusal.NotRun, f.Outcome)
	require.Empty(t, w.calls)
}

// When all instances restart at once, a request may arrive before the routing
// table was read. It must wait for the table for a moment.
func TestRequestWaitsForTheFirstTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		table := w.Tables.Current()
		w.Tables = routing.Keeper{}
		w.answer = func(int, Call) (*Answer, error) { return plainAnswer(http.StatusOK, "ok"), nil }
		go func() {
			time.Sleep(startupWait / 2)
			w.Tables.Install(table)
		}()
		rec, err := w.request("/book/1")
		require.NoError(t, err)
		require.Equal(t, "ok", rec.Body.String())
	})
}

// When all instances restart at once, a request may arrive after the routing
// table was read but before the list of endpoints. It must wait for the list.
func TestRequestWaitsForTheFirstList(t *testing.T) {
	for path, answer := range map[string]*Answer{"/book/1": plainAnswer(http.StatusOK, "ok"), "/guide/1": eventStream("s", 1, 400, false)} {
		synctest.Test(t, func(t *testing.T) {
			w := newTestGateway(t)
			w.Roster = roster.Roster{}
			w.answer = func(int, Call) (*Answer, error) { return answer, nil }
			go func() {
				time.Sleep(startupWait / 2)
				w.addEndpoints()
			}()
			_, err := w.request(path)
			require.NoError(t, err)
			require.Len(t, w.calls, 1)
		})
	}
}

// An address that now belongs to another endpoint must not be used again.
func TestAddressOfAnotherEndpoint(t *testing.T) {
	w := newTestGateway(t)
	w.answer = func(n int, _ Call) (*Answer, error) {
		if n == 0 {
			a := refusedAnswer()
			a.AddressReused = true
			return a, nil
		}
		return plainAnswer(http.StatusOK, "ok"), nil
	}
	_, err := w.request("/book/1")
	require.NoError(t, err)
	e, ok := w.Roster.Get(w.calls[0].Endpoint.ID)
	require.True(t, ok)
	require.True(t, e.Leaving)
}

// The repeats of one instance must stay within the budget that all instances
// share, even if all endpoints fail.
func TestRepeatsStayWithinTheBudget(t *testing.T) {
	w := newTestGateway(t)
	w.answer = func(int, Call) (*Answer, error) { return plainAnswer(http.StatusInternalServerError, "no"), nil }
	const requests = 200
	for range requests {
		_, err := w.request("/read/1")
		require.NoError(t, err)
	}
	repeats := float64(len(w.calls) - requests)
	require.LessOrEqual(t, repeats, w.Settings.Retry.Slack+w.Settings.Retry.Ratio*requests)
}

// For any behaviour of the replicas, a non-repeatable request runs at most
// once, and the outcome "not run" is reported only if it did not run.
func TestAtMostOnceWhateverReplicasDo(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newTestGateway(t)
		ran := 0
		w.answer = func(int, Call) (*Answer, error) {
			switch rapid.IntRange(0, 6).Draw(rt, "behaviour") {
			case 0:
				return nil, dialFailed()
			case 1:
				return refusedAnswer(), nil
			case 2:
				ran++
				return nil, connectionLost()
			case 3:
				return nil, connectionLost()
			case 4:
				ran++
				return plainAnswer(http.StatusInternalServerError, "no"), nil
			case 5:
				ran++
				a := plainAnswer(http.StatusOK, "half")
				a.Body = failingReader{}
				return a, nil
			}
			ran++
			return plainAnswer(http.StatusOK, "ok"), nil
		}
		_, err := w.request("/book/1")
		require.LessOrEqual(rt, ran, 1)
		if err != nil && w.refusalOf(err).Outcome == refusal.NotRun {
			require.Zero(rt, ran)
		}
	})
}

// A leaving replica gets no new work.
func TestLeavingReplicaGetsNothing(t *testing.T) {
	w := newTestGateway(t)
	w.answer = func(int, Call) (*Answer, error) { return plainAnswer(http.StatusOK, "ok"), nil }
	for _, id := range []string{"d0", "d1", "d2"} {
		w.Roster.MarkLeaving(id, 0, roster.FromList)
	}
	for range 10 {
		_, err := w.request("/book/1")
		require.NoError(t, err)
	}
	for _, c := range w.calls {
		require.Equal(t, "d3", c.Endpoint.ID)
	}
}
