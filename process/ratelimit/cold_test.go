package ratelimit

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Figures of the users' rule on cold endpoints, at a rate of 25.
const (
	coldRate  = 25.0
	coldMost  = 25*1.5 + 5
	coldLate  = time.Second            // by which instances learn of it apart
	coldDelay = 100 * time.Millisecond // by which requests are delayed on the way
)

func coldFor(d time.Duration) Cold {
	return Cold{Rate: coldRate, Most: coldMost, Until: start.Add(d), Source: "row"}
}

// coldFleet is instances of three regions, as the page of the deployments has them.
func coldFleet(n int, view func(i, k int) bool) []*Limiter {
	regions := []string{"north", "south", "east"}
	list := make([]*Limiter, n)
	for i := range n {
		var members []Member
		for k := range n {
			if k == i || view(i, k) {
				members = append(members, Member{ID: fmt.Sprint("i", k), Region: regions[k%3]})
			}
		}
		list[i] = &Limiter{}
		list[i].SetMembers(fmt.Sprint("i", i), members, start)
	}
	return list
}

// busiest returns the largest number of arrivals within less than a second.
func busiest(arrivals []time.Time) (most int) {
	slices.SortFunc(arrivals, time.Time.Compare)
	from := 0
	for i, at := range arrivals {
		for at.Sub(arrivals[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Guards against more requests to a cold endpoint in any second than it tolerates, from
// instances that always have work, learn of it up to a second apart, do not agree on the
// members, and whose requests are delayed; and against a rate that is hardly used then.
func TestColdEndpointKeepsItsBound(t *testing.T) {
	views := map[string]func(r *rand.Rand, n int) func(i, k int) bool{
		"agreed": func(*rand.Rand, int) func(i, k int) bool { return func(int, int) bool { return true } },
		"two halves": func(*rand.Rand, int) func(i, k int) bool {
			return func(i, k int) bool { return i/3%2 == k/3%2 } // each has instances of all regions
		},
		"a fifth unknown": func(r *rand.Rand, _ int) func(i, k int) bool {
			return func(int, int) bool { return r.Float64() < 0.8 }
		},
		"new members": func(_ *rand.Rand, n int) func(i, k int) bool {
			return func(i, k int) bool { return k < n-n/10 || i%2 == 0 } // half of them know the latest tenth
		},
	}
	for _, n := range []int{7, 71, 300, 503} {
		for name, view := range views {
			for seed := range uint64(3) {
				r := rand.New(rand.NewPCG(31, seed))
				list := coldFleet(n, view(r, n))
				learned := make([]time.Duration, n)
				for i := range learned {
					learned[i] = time.Duration(r.Float64() * float64(coldLate))
				}
				const (
					lasts = coldLate + 10*coldWindow // whole windows after all have learned of it
					step  = 20 * time.Millisecond
				)
				var arrivals []time.Time
				waited := 0 // requests sent while all know
				for d := time.Duration(0); d < lasts; d += step {
					now := start.Add(d)
					first := r.IntN(n)
					for k := range n {
						i := (first + k) % n
						if l := list[i]; d >= learned[i] {
							if d < learned[i]+step {
								l.Cool(endpoint, coldFor(lasts), now)
							}
							for l.Take(endpoint.ID, now) {
								arrivals = append(arrivals, now.Add(time.Duration(r.Float64()*float64(coldDelay))))
								if d >= coldLate {
									waited++
								}
							}
						}
					}
				}
				most, used := busiest(arrivals), float64(waited)/(coldRate*(lasts-coldLate).Seconds())
				t.Logf("%3d instances, %-15s seed %d: most in a second %2d of 42, used %.2f of the rate", n, name, seed, most, used)
				require.LessOrEqual(t, float64(most), coldMost)
				require.GreaterOrEqual(t, used, coldUse)
			}
		}
	}
}

// Guards against engines that get no load for long because they are cold: an added quarter of
// them has its part of the load soon after.
func TestAddedEnginesAreLoaded(t *testing.T) {
	const (
		size  = 24 // requests that an engine runs at once
		usual = 19 // that it runs at the load before
		old   = 42 // engines; a third as many are added
		added = 14
		run   = 15.0 // seconds that a request runs
		rate  = old * usual / run
	)
	for _, n := range []int{7, 71, 300, 503} {
		for _, lasts := range []time.Duration{0, time.Second, time.Minute} {
			r := rand.New(rand.NewPCG(32, uint64(n)))
			list := coldFleet(n, func(int, int) bool { return true })
			engines := make([]Endpoint, old+added)
			loaded := make([][]time.Time, len(engines)) // ends of the requests that run
			for i := range engines {
				engines[i] = Endpoint{ID: fmt.Sprint("e", i), Region: []string{"north", "south", "east"}[i%3]}
				for i < old && len(loaded[i]) < usual {
					loaded[i] = append(loaded[i], start.Add(time.Duration(r.Float64()*run*float64(time.Second))))
				}
			}
			if lasts > 0 {
				for _, l := range list {
					for _, e := range engines[old:] {
						l.Cool(e, coldFor(lasts), start)
					}
				}
			}
			full, arrivals := time.Duration(0), make([][]time.Time, len(engines))
			for now, next := start, start; full == 0 && now.Before(start.Add(time.Minute)); now = now.Add(5 * time.Millisecond) {
				least := size
				for i := range engines {
					loaded[i] = slices.DeleteFunc(loaded[i], now.After)
					if i >= old {
						least = min(least, len(loaded[i]))
					}
				}
				if least >= usual*old/(old+added) {
					full = now.Sub(start)
				}
				for ; !next.After(now); next = next.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second))) {
					l := list[r.IntN(n)]
					order := r.Perm(len(engines))
					slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(len(loaded[a]), len(loaded[b])) })
					for _, i := range order {
						if l.Take(engines[i].ID, now) {
							loaded[i] = append(loaded[i], now.Add(time.Duration(run*float64(time.Second))))
							arrivals[i] = append(arrivals[i], now)
							break
						}
					}
				}
			}
			most := 0
			for _, a := range arrivals[old:] {
				most = max(most, busiest(a))
			}
			t.Logf("%3d instances, cold for %v: the added engines have their load after %v, most in a second %d", n, lasts, full, most)
			require.Positive(t, full)
			if lasts > 0 {
				require.LessOrEqual(t, float64(most), coldMost)
			}
		}
	}
}

// Guards against instances that get nothing: one that has just started, or is no holder, is
// told to send when the cold time has ended, if that is soon, and otherwise that it has none.
func TestColdWithoutAPart(t *testing.T) {
	l := &Limiter{Start: start}
	l.SetMembers("i0", []Member{{ID: "i0", Region: "north"}}, start)
	l.Cool(endpoint, coldFor(time.Second), start)
	require.False(t, l.Take(endpoint.ID, start))
	at, ok := l.Next(endpoint.ID, start)
	require.True(t, ok)
	require.Equal(t, start.Add(time.Second), at)
	require.True(t, l.AllowsCopies(endpoint.ID, start))
	l.Cool(endpoint, coldFor(time.Hour), start)
	_, ok = l.Next(endpoint.ID, start)
	require.False(t, ok)
	require.Zero(t, l.Due(endpoint.ID, start.Add(time.Minute), start))
	require.False(t, l.AllowsCopies(endpoint.ID, start))
	require.True(t, l.Take(endpoint.ID, start.Add(settleTime)), "it knows the members now")
	require.True(t, l.AllowsCopies(endpoint.ID, start.Add(settleTime)))
}

// Guards against a cold time that is shortened, outlives its process, is reported more than
// once, or hides a limit.
func TestColdTimes(t *testing.T) {
	l := group(1, start)[0]
	var changes []ColdChange
	l.ColdChanged = func(c ColdChange) { changes = append(changes, c) }
	l.Cool(endpoint, coldFor(2*time.Second), start)
	l.Cool(endpoint, coldFor(time.Second), start)
	require.True(t, l.IsCold(endpoint.ID, start.Add(2*time.Second-1)))
	require.False(t, l.IsCold(endpoint.ID, start.Add(2*time.Second)))
	n := 0
	for l.Take(endpoint.ID, start) {
		n++
	}
	require.Equal(t, 21, n)
	require.False(t, l.Take(endpoint.ID, start.Add(coldWindow-1)))
	require.True(t, l.Take(endpoint.ID, start.Add(coldWindow)))
	l.Named(endpoint, 1, start, start.Add(coldWindow))
	require.False(t, l.Take(endpoint.ID, start.Add(coldWindow)), "the limit binds too")
	listed := func(string) (Endpoint, bool) { return endpoint, true }
	l.Retain(start.Add(3*time.Second), listed)
	l.Unnamed(endpoint, start.Add(3*time.Second), start.Add(3*time.Second))
	require.Len(t, changes, 2)
	require.True(t, changes[1].Ended)
	require.Equal(t, int64(22), changes[1].Granted)
	require.False(t, l.Any())

	again := endpoint
	again.Born++
	l.Cool(again, coldFor(9*time.Second), start.Add(4*time.Second))
	l.Retain(start.Add(4*time.Second), listed) // the row that shows the start is not listed yet
	require.True(t, l.IsCold(endpoint.ID, start.Add(5*time.Second)))
	l.Cool(endpoint, coldFor(time.Hour), start.Add(4*time.Second)) // a late answer of the earlier process
	require.False(t, l.IsCold(endpoint.ID, start.Add(9*time.Second)))
}

// Guards against requests that wait for a grant and are all sent when another one is due, or
// when the cold time is extended.
func TestWaitsForAColdEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, begun := group(1, time.Now())[0], time.Now()
		c := Cold{Rate: 5, Most: 10, Until: begun.Add(time.Second), Source: "row"} // five in 1.2 s
		l.Cool(endpoint, c, begun)
		sent := make(chan time.Time, 40)
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() {
				if l.Wait(context.Background(), endpoint.ID, begun.Add(10*time.Second)) {
					sent <- time.Now()
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		c.Until = begun.Add(5 * time.Second)
		l.Cool(endpoint, c, time.Now())
		wg.Wait()
		close(sent)
		var list []time.Time
		for at := range sent {
			list = append(list, at)
		}
		require.Len(t, list, 20)
		require.LessOrEqual(t, busiest(list), 5)
	})
}

func ExampleLimiter_Cool() {
	l := &Limiter{} // without other members
	now := start
	l.Cool(endpoint, Cold{Rate: 1, Most: 3, Until: now.Add(5 * time.Second)}, now)
	fmt.Println(l.Take(endpoint.ID, now), l.Take(endpoint.ID, now))
	at, _ := l.Next(endpoint.ID, now)
	fmt.Println(at.Sub(now))
	// Output:
	// true false
	// 1.2s
}
