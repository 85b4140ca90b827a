package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/version/routing"
)

// A request that runs once is never sent again after it may have run, and the
// answer does not promise that it has not.
func TestOnceIsNotRepeatedAfterALostAnswer(t *testing.T) {
	w := newWorld(t)
	w.answer = func(int, Call) (*Answer, error) { return nil, lost() }
	_, err := w.request("/book/1")
	require.Equal(t, refusal.Unknown, w.outcome(err).Outcome)
	require.Len(t, w.calls, 1)
}

// A request that certainly has not run goes to another replica, and one whose
// replicas all refused it is refused as not run.
func TestOnceIsRepeatedWhereItHasNotRun(t *testing.T) {
	w := newWorld(t)
	w.answer = func(n int, _ Call) (*Answer, error) {
		if n == 0 {
			return nil, dialFailed()
		}
		return plain(http.StatusOK, "booked"), nil
	}
	rec, err := w.request("/book/1")
	require.NoError(t, err)
	require.Equal(t, "booked", rec.Body.String())
	require.Equal(t, "200booked", rec.Header().Get("X-Seal"))
	require.NotEqual(t, w.calls[0].Endpoint.ID, w.calls[1].Endpoint.ID)

	w = newWorld(t)
	w.answer = func(int, Call) (*Answer, error) { return refused(), nil }
	_, err = w.request("/book/1")
	f := w.outcome(err)
	require.Equal(t, refusal.NotRun, f.Outcome)
	require.False(t, f.RetryAt.IsZero())
	require.Len(t, w.calls, 3, "the route allows three replicas")
}

// "Not run" after one replica that may have run the request would be untrue.
func TestLaterRefusalDoesNotHideAnEarlierDoubt(t *testing.T) {
	w := newWorld(t)
	w.answer = func(n int, _ Call) (*Answer, error) {
		if n == 0 {
			return nil, lost()
		}
		return refused(), nil
	}
	_, err := w.request("/read/1")
	require.Equal(t, refusal.Unknown, w.outcome(err).Outcome)
	require.Len(t, w.calls, 2)
}

// A failure of a replica is mended where the request may be repeated, and
// passed on unchanged where not, or where no replica does better.
func TestFailureOfAReplica(t *testing.T) {
	w := newWorld(t)
	w.answer = func(n int, _ Call) (*Answer, error) {
		if n == 0 {
			return plain(http.StatusInternalServerError, "no"), nil
		}
		return plain(http.StatusOK, "yes"), nil
	}
	rec, err := w.request("/read/1")
	require.NoError(t, err)
	require.Equal(t, "yes", rec.Body.String())

	w = newWorld(t)
	w.answer = func(int, Call) (*Answer, error) { return plain(http.StatusInternalServerError, "no"), nil }
	for _, path := range []string{"/book/1", "/read/1"} {
		w.calls = nil
		rec, err = w.request(path)
		require.NoError(t, err)
		require.Equal(t, http.StatusInternalServerError, rec.Code)
		require.Equal(t, "500no", rec.Header().Get("X-Seal"))
	}
	require.Len(t, w.calls, 2)
}

// An answer that breaks off must not look complete, and may be replaced only
// where the request may run again.
func TestAnswerThatBreaksOff(t *testing.T) {
	broken := func() *Answer {
		a := plain(http.StatusOK, "boo")
		a.Length = 6
		a.Body = failing{}
		return a
	}
	w := newWorld(t)
	w.answer = func(n int, _ Call) (*Answer, error) {
		if n == 0 {
			return broken(), nil
		}
		return plain(http.StatusOK, "booked"), nil
	}
	rec, err := w.request("/read/1")
	require.NoError(t, err)
	require.Equal(t, "booked", rec.Body.String())
	w.calls = nil
	_, err = w.request("/book/1")
	require.Equal(t, refusal.Unknown, w.outcome(err).Outcome)
	require.Len(t, w.calls, 1)
}

// The route's timeout bounds the wait, and what was sent then has an unknown outcome.
func TestTimeoutOfARoute(t *testing.T) {
	w := newWorld(t)
	w.answer = func(_ int, c Call) (*Answer, error) {
		time.Sleep(time.Until(c.Deadline))
		return nil, refusal.Failed(context.DeadlineExceeded, true)
	}
	_, err := w.request("/slow/1")
	f := w.outcome(err)
	require.Equal(t, refusal.Timeout, f.Reason)
	require.Equal(t, refusal.Unknown, f.Outcome)
}

// Requests without a route, a key or a routing table are refused as not run.
func TestAdmission(t *testing.T) {
	w := newWorld(t)
	_, err := w.request("/none/1")
	require.Equal(t, refusal.NoService, w.outcome(err).Reason)
	r := &Request{ID: "q", Host: "h", Path: "/book/1", Key: "gone", Arrived: time.Now()}
	_, err = w.requestWith(t.Context(), r)
	require.Equal(t, refusal.BadKey, w.outcome(err).Reason)
	w.Tables = routing.Keeper{}
	_, err = w.request("/book/1")
	f := w.outcome(err)
	require.Equal(t, refusal.Store, f.Reason)
	require.Equal(t, refusal.NotRun, f.Outcome)
	require.Empty(t, w.calls)
}

// Pattern: all instances start again at once. A request that comes before the
// routing table has been read waits for it for a moment.
func TestRequestWaitsForTheFirstTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		table := w.Tables.Current()
		w.Tables = routing.Keeper{}
		w.answer = func(int, Call) (*Answer, error) { return plain(http.StatusOK, "ok"), nil }
		go func() {
			time.Sleep(startHold / 2)
			w.Tables.Install(table)
		}()
		rec, err := w.request("/book/1")
		require.NoError(t, err)
		require.Equal(t, "ok", rec.Body.String())
	})
}

// Pattern: all instances start again at once. A request that comes after the
// routing table and before the list of endpoints waits for the list.
func TestRequestWaitsForTheFirstList(t *testing.T) {
	for path, answer := range map[string]*Answer{"/book/1": plain(http.StatusOK, "ok"), "/guide/1": events("s", 1, 400, false)} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t)
			w.Roster = roster.Roster{}
			w.answer = func(int, Call) (*Answer, error) { return answer, nil }
			go func() {
				time.Sleep(startHold / 2)
				w.fill()
			}()
			_, err := w.request(path)
			require.NoError(t, err)
			require.Len(t, w.calls, 1)
		})
	}
}

// An address that another endpoint has now is not used again.
func TestAddressOfAnotherEndpoint(t *testing.T) {
	w := newWorld(t)
	w.answer = func(n int, _ Call) (*Answer, error) {
		if n == 0 {
			a := refused()
			a.Elsewhere = true
			return a, nil
		}
		return plain(http.StatusOK, "ok"), nil
	}
	_, err := w.request("/book/1")
	require.NoError(t, err)
	e, ok := w.Roster.Get(w.calls[0].Endpoint.ID)
	require.True(t, ok)
	require.True(t, e.Leaving)
}

// The repeats of all instances together stay within the budget whatever the
// endpoints do.
func TestRepeatsStayWithinTheBudget(t *testing.T) {
	w := newWorld(t)
	w.answer = func(int, Call) (*Answer, error) { return plain(http.StatusInternalServerError, "no"), nil }
	const requests = 200
	for range requests {
		_, err := w.request("/read/1")
		require.NoError(t, err)
	}
	repeats := float64(len(w.calls) - requests)
	require.LessOrEqual(t, repeats, w.Settings.Retry.Slack+w.Settings.Retry.Ratio*requests)
}

// Whatever replicas do, a request that runs once runs at most once, and "not
// run" is said only of one that did not.
func TestAtMostOnceWhateverReplicasDo(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t)
		ran := 0
		w.answer = func(int, Call) (*Answer, error) {
			switch rapid.IntRange(0, 6).Draw(rt, "behaviour") {
			case 0:
				return nil, dialFailed()
			case 1:
				return refused(), nil
			case 2:
				ran++
				return nil, lost()
			case 3:
				return nil, lost()
			case 4:
				ran++
				return plain(http.StatusInternalServerError, "no"), nil
			case 5:
				ran++
				a := plain(http.StatusOK, "half")
				a.Body = failing{}
				return a, nil
			}
			ran++
			return plain(http.StatusOK, "ok"), nil
		}
		_, err := w.request("/book/1")
		require.LessOrEqual(rt, ran, 1)
		if err != nil && w.outcome(err).Outcome == refusal.NotRun {
			require.Zero(rt, ran)
		}
	})
}

// A leaving replica gets no new work.
func TestLeavingReplicaGetsNothing(t *testing.T) {
	w := newWorld(t)
	w.answer = func(int, Call) (*Answer, error) { return plain(http.StatusOK, "ok"), nil }
	for _, id := range []string{"d0", "d1", "d2"} {
		w.Roster.MarkLeaving(id, roster.FromList)
	}
	for range 10 {
		_, err := w.request("/book/1")
		require.NoError(t, err)
	}
	for _, c := range w.calls {
		require.Equal(t, "d3", c.Endpoint.ID)
	}
}
