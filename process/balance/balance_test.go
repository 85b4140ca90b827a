package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/process/roster"
)

type harness struct {
	Balancer
	now  time.Time
	list []roster.Endpoint
}

func newHarness(n int) *harness {
	w := &harness{now: time.Unix(1000, 0)}
	w.Place, w.Now = "p0", func() time.Time { return w.now }
	w.Region = func(place string) string { return place }
	for i := range n {
		w.list = append(w.list, roster.Endpoint{ID: fmt.Sprint("r", i), Place: "p0", Slots: 6})
	}
	return w
}

// send makes n requests, one every 10 ms, and counts them by replica.
func (w *harness) send(t *testing.T, n int, result func(id string) Result) map[string]int {
	counts := map[string]int{}
	for range n {
		e, ok := w.Pick(w.list, nil)
		require.True(t, ok)
		counts[e.ID]++
		w.now = w.now.Add(10 * time.Millisecond)
		w.Done(e.ID, result(e.ID))
	}
	return counts
}

func good(string) Result { return Result{Took: 30 * time.Millisecond} }

// Guards against a replica that fails requests while its health probe succeeds:
// it must lose most of its work, and get it back after it has recovered.
func TestFailingReplicaIsAvoidedAndTriedAgain(t *testing.T) {
	w := newHarness(3)
	bad := func(id string) Result { return Result{Took: 30 * time.Millisecond, Failed: id == "r0"} }
	counts := w.send(t, 300, bad)
	require.Less(t, counts["r0"], 30, "a failing replica got a tenth of the work or more")
	w.now = w.now.Add(20 * time.Second)
	counts = w.send(t, 300, good)
	require.Greater(t, counts["r0"], 60, "a replica that recovered stays unused")
}

// Guards against a replica that takes eight times as long as the others and
// keeps its share of the work.
func TestSlowReplicaIsAvoided(t *testing.T) {
	w := newHarness(3)
	counts := w.send(t, 300, func(id string) Result {
		if id == "r1" {
			return Result{Took: 240 * time.Millisecond}
		}
		return good(id)
	})
	require.Less(t, counts["r1"], 30)
}

// Guards against excluding replicas when all of them fail the same share of
// their requests.
func TestCommonFailuresEjectNobody(t *testing.T) {
	w := newHarness(3)
	n := 0
	counts := w.send(t, 300, func(string) Result {
		n++
		return Result{Took: 30 * time.Millisecond, Failed: n%7 == 0}
	})
	for id, c := range counts {
		require.Greater(t, c, 30, id)
	}
}

// Guards against requests to replicas that are leaving or excluded because they
// have failed this request before.
func TestExcludedReplicasGetNothing(t *testing.T) {
	w := newHarness(3)
	w.list[0].Leaving = true
	for range 20 {
		e, ok := w.Pick(w.list, []string{"r1"})
		require.True(t, ok)
		require.Equal(t, "r2", e.ID)
		w.Done(e.ID, good(e.ID))
	}
	_, ok := w.Pick(w.list, []string{"r1", "r2"})
	require.False(t, ok)
}

// Guards against a replica in another region being used before the near ones are
// much worse, or not even then.
func TestOtherRegionsAreTheLastChoice(t *testing.T) {
	w := newHarness(2)
	w.list[1].Place = "p1"
	counts := w.send(t, 100, good)
	require.Equal(t, 100, counts["r0"])
	for range 24 {
		_, _ = w.Pick(w.list[:1], nil)
	}
	e, _ := w.Pick(w.list, nil)
	require.Equal(t, "r1", e.ID, "four rounds of requests in flight take longer than the way to another region")
}

// Guards against new work for a replica that has just refused a connection.
func TestDeadReplicaIsSuspected(t *testing.T) {
	w := newHarness(2)
	e, _ := w.Pick(w.list[:1], nil)
	w.Done(e.ID, Result{ConnectFailed: true})
	counts := w.send(t, 20, good)
	require.Zero(t, counts["r0"])
}
