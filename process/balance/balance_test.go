package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/process/roster"
)

type world struct {
	Balancer
	now  time.Time
	list []roster.Endpoint
}

func newWorld(n int) *world {
	w := &world{now: time.Unix(1000, 0)}
	w.Place, w.Now = "p0", func() time.Time { return w.now }
	w.Region = func(place string) string { return place }
	for i := range n {
		w.list = append(w.list, roster.Endpoint{ID: fmt.Sprint("r", i), Place: "p0", Slots: 6})
	}
	return w
}

// send makes n requests, one each 10 ms, and counts the replicas they went to.
func (w *world) send(t *testing.T, n int, result func(id string) Result) map[string]int {
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

// Pattern: a replica fails part of its requests while its health probe is good.
func TestFailingReplicaIsAvoidedAndTriedAgain(t *testing.T) {
	w := newWorld(3)
	bad := func(id string) Result { return Result{Took: 30 * time.Millisecond, Failed: id == "r0"} }
	counts := w.send(t, 300, bad)
	require.Less(t, counts["r0"], 30, "a failing replica got a tenth of the work or more")
	w.now = w.now.Add(20 * time.Second)
	counts = w.send(t, 300, good)
	require.Greater(t, counts["r0"], 60, "a replica that recovered stays unused")
}

// Pattern: a replica answers eight times as slowly as the others.
func TestSlowReplicaIsAvoided(t *testing.T) {
	w := newWorld(3)
	counts := w.send(t, 300, func(id string) Result {
		if id == "r1" {
			return Result{Took: 240 * time.Millisecond}
		}
		return good(id)
	})
	require.Less(t, counts["r1"], 30)
}

// Pattern: all replicas fail the same share of their requests. None of them is
// worse than the others, and all stay in use.
func TestCommonFailuresEjectNobody(t *testing.T) {
	w := newWorld(3)
	n := 0
	counts := w.send(t, 300, func(string) Result {
		n++
		return Result{Took: 30 * time.Millisecond, Failed: n%7 == 0}
	})
	for id, c := range counts {
		require.Greater(t, c, 30, id)
	}
}

// Replicas that leave, or have failed this request before, get none of it.
func TestExcludedReplicasGetNothing(t *testing.T) {
	w := newWorld(3)
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

// A replica in another region is used only when the near ones are much worse.
func TestOtherRegionsAreTheLastChoice(t *testing.T) {
	w := newWorld(2)
	w.list[1].Place = "p1"
	counts := w.send(t, 100, good)
	require.Equal(t, 100, counts["r0"])
	for range 24 {
		_, _ = w.Pick(w.list[:1], nil)
	}
	e, _ := w.Pick(w.list, nil)
	require.Equal(t, "r1", e.ID, "a queue of four rounds is longer than the way")
}

// A replica that refuses connections is left alone for a while.
func TestDeadReplicaIsSuspected(t *testing.T) {
	w := newWorld(2)
	e, _ := w.Pick(w.list[:1], nil)
	w.Done(e.ID, Result{Dead: true})
	counts := w.send(t, 20, good)
	require.Zero(t, counts["r0"])
}
