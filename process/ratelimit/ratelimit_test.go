package ratelimit

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

var (
	start    = time.Unix(1_000_000, 0)
	endpoint = Endpoint{ID: "e", Born: 7, Region: "north"}
)

// group returns n instances of a region that know each other.
func group(n int, now time.Time) (list []*Limiter) {
	var members []Member
	for i := range n {
		members = append(members, Member{ID: fmt.Sprint("i", i), Region: "north"})
		list = append(list, &Limiter{})
	}
	for i, l := range list {
		l.SetMembers(members[i].ID, members, now)
	}
	return list
}

// sends returns how many requests a group that always has work sends in a time.
func sends(list []*Limiter, from time.Time, d time.Duration) (n int) {
	for now := from; now.Before(from.Add(d)); now = now.Add(10 * time.Millisecond) {
		for _, l := range list {
			if l.Take(endpoint.ID, now) {
				n++
			}
		}
	}
	return n
}

// Guards against a bound that grows with the number of instances: the parts of the
// holders add up to the rate, and at most one request for each holder comes on top.
func TestPartsAddUpToTheRate(t *testing.T) {
	for _, n := range []int{1, 2, 7, 30, 81, 500} {
		for _, rate := range []float64{0.3, 1, 3.6, 5.4, 40} {
			list := group(n, start)
			for _, l := range list {
				l.Named(endpoint, rate, start, start)
			}
			const seconds = 8
			got := sends(list, start, seconds*time.Second)
			require.LessOrEqual(t, float64(got), rate*seconds+rate+1, "%d instances, rate %v", n, rate)
			require.GreaterOrEqual(t, float64(got), rate*seconds*0.8-rate-1, "%d instances, rate %v", n, rate)
		}
	}
}

// Guards against more holders than the rate allows when instances start, are lost or
// lose contact: a lost member keeps its part for memberLifetime, an instance that has
// just started has none.
func TestChangesOfTheMembers(t *testing.T) {
	list := group(4, start)
	for _, l := range list {
		l.Named(endpoint, 1, start, start)
	}
	holders := func(list []*Limiter, now time.Time) (n int) {
		for _, l := range list {
			if _, ok := l.Next(endpoint.ID, now); ok {
				n++
			}
		}
		return n
	}
	require.Equal(t, 2, holders(list, start))
	alone := start
	for _, after := range []time.Duration{time.Second, memberLifetime} {
		alone = start.Add(after)
		for i, l := range list {
			l.SetMembers(fmt.Sprint("i", i), []Member{{ID: fmt.Sprint("i", i), Region: "north"}}, alone)
		}
		require.Equal(t, 2, holders(list, alone), "after %v", after)
	}

	fresh := &Limiter{Start: start}
	fresh.SetMembers("i0", []Member{{ID: "i0", Region: "north"}}, start)
	fresh.Named(endpoint, 1, start, start)
	require.Zero(t, holders([]*Limiter{fresh}, start.Add(settleTime-1)))
	require.Equal(t, 1, holders([]*Limiter{fresh}, start.Add(settleTime)))

	for i, l := range list {
		l.SetMembers(fmt.Sprint("i", i), []Member{{ID: "far", Region: "south"}}, alone.Add(memberLifetime+1))
	}
	require.Zero(t, holders(list, alone.Add(memberLifetime+1)))
}

// Guards against grants that outlive their rate: requests that wait for a grant at a
// high rate are not all sent after the rate has fallen.
func TestGrantsEndWithTheirRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := group(1, time.Now())[0]
		l.Named(endpoint, 20, time.Now(), time.Now())
		begun := time.Now()
		sent := make(chan time.Duration, 40)
		for range 40 {
			go func() {
				if l.Wait(context.Background(), endpoint.ID, begun.Add(3*time.Second)) {
					sent <- time.Since(begun)
				}
			}()
		}
		time.Sleep(time.Second)
		before := len(sent)
		l.Named(endpoint, 1, time.Now(), time.Now())
		time.Sleep(3 * time.Second)
		require.InDelta(t, 20, before, 2)
		require.LessOrEqual(t, len(sent)-before, 4)
		require.Positive(t, len(sent)-before)
	})
}

// Guards against a limit that a late or foreign update brings back, or that an update
// was lost for.
func TestUpdatesOfOtherInstances(t *testing.T) {
	list := group(2, start)
	a, b := list[0], list[1]
	find := func(string) (Endpoint, bool) { return endpoint, true }
	exchange := func(from, to *Limiter, all bool, now time.Time) {
		t.Helper()
		updates, err := from.Updates(all, now)
		require.NoError(t, err)
		for _, u := range updates {
			require.NoError(t, to.Merge(u, now, find))
		}
	}
	a.Named(endpoint, 5, start, start)
	old, err := a.Updates(false, start)
	require.NoError(t, err)
	require.Len(t, old, 1)
	exchange(a, b, true, start)
	require.True(t, b.Limited("e"), "a lost update is repeated")

	later := start.Add(time.Second)
	b.Unnamed(endpoint, later, later)
	require.False(t, b.Limited("e"))
	require.NoError(t, b.Merge(old[0], later, find))
	require.False(t, b.Limited("e"), "a late update does not bring the limit back")
	exchange(b, a, false, later)
	require.False(t, a.Limited("e"))

	a.Named(endpoint, 2, later, later)
	exchange(a, b, false, later)
	require.NoError(t, b.Merge(old[0], later, func(string) (Endpoint, bool) { return Endpoint{ID: "e", Born: 8}, true }))
	require.InDelta(t, 2, b.List(later)[0].Rate, 0)
	gone := func(string) (Endpoint, bool) { return Endpoint{}, false }
	b.Retain(later, gone)
	b.Retain(later.Add(returnTime-1), gone)
	require.True(t, b.Limited("e"), "its row may come back")
	b.Retain(later.Add(returnTime-1), find)
	b.Retain(later.Add(returnTime), gone)
	require.True(t, b.Limited("e"), "it was listed meanwhile")
	b.Retain(later.Add(2*returnTime), gone)
	require.False(t, b.Limited("e"))
	require.False(t, b.Any())

	for _, rate := range []float64{math.NaN(), math.Inf(1), -1, 1e-300, math.SmallestNonzeroFloat64} {
		data, err := msgpack.Marshal([]sentRate{{Endpoint: "e", Born: 7, Version: 9, Rate: rate}})
		require.NoError(t, err)
		require.Error(t, b.Merge(data, later, find), rate)
	}
	data, err := msgpack.Marshal([]sentRate{{Endpoint: "e", Born: 7, Version: math.MaxUint64, Rate: 1}})
	require.NoError(t, err)
	require.Error(t, b.Merge(data, later, find), "no version would follow")
	require.Error(t, b.Merge([]byte{1}, later, find))
	require.False(t, b.Any())
}

// Guards against an endpoint that names a rate of zero and then gets no request in whose
// answer it could end the limit.
func TestRateOfZero(t *testing.T) {
	list := group(7, start)
	for _, l := range list {
		l.Named(endpoint, 0, start, start)
	}
	got := sends(list, start, 20*time.Second)
	require.Positive(t, got)
	require.LessOrEqual(t, got, 6)
}

func ExampleLimiter() {
	l := &Limiter{}
	now := start
	l.Named(endpoint, 2, now, now) // an answer of the endpoint names two requests a second
	at, _ := l.Next(endpoint.ID, now)
	fmt.Println(l.Take(endpoint.ID, at), l.Take(endpoint.ID, at))
	at, _ = l.Next(endpoint.ID, at)
	l.Unnamed(endpoint, at, at.Add(time.Millisecond)) // the answer to a later request names none
	fmt.Println(l.Limited(endpoint.ID))
	// Output:
	// true false
	// false
}

// Guards against a limit that stands for another start of its endpoint: a later one
// begins without it, and a late answer of an earlier one changes nothing.
func TestLimitBelongsToOneStart(t *testing.T) {
	l := group(1, start)[0]
	again := endpoint
	again.Born++
	l.Named(endpoint, 2, start, start.Add(time.Second))
	l.Named(again, 5, start, start.Add(time.Second)) // would raise the rate of the same process too early
	require.InDelta(t, 5, l.List(start)[0].Rate, 0)
	late := start.Add(2 * time.Second)
	l.Named(endpoint, 1, late, late)
	l.Named(endpoint, 50, late, late)
	l.Unnamed(endpoint, late, late)
	require.InDelta(t, 5, l.List(late)[0].Rate, 0)
	l.Unnamed(again, late, late)
	require.False(t, l.Limited("e"))
}

// Guards against a grant for a request that has ended already.
func TestGrantThatIsDueEndsWithItsRequest(t *testing.T) {
	var l Limiter
	ctx, cancel := context.WithCancel(t.Context())
	until := time.Now().Add(time.Minute)
	require.True(t, l.Wait(ctx, "e", until))
	cancel()
	require.False(t, l.Wait(ctx, "e", until))
}
