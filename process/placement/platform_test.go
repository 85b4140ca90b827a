package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cluster is a set of schedulers for the same engines that exchange their work
// after each decision.
type cluster struct {
	now       time.Time
	engines   []Endpoint
	entries   []*Scheduler
	sent      []map[string]float64 // tokens sent by entry and endpoint, as of the last exchange
	exchanges bool
}

func newCluster(entries, engines int) *cluster {
	f := &cluster{now: time.Unix(1000, 0), exchanges: true}
	for i := range engines {
		f.engines = append(f.engines, Endpoint{ID: fmt.Sprint("e", i), Place: "p", Region: "r", Tokens: 30_000})
	}
	for i := range entries {
		s := &Scheduler{Service: "s", Region: "r", EntryPlace: "p", Seed: uint64(i + 1), Chunked: true, MemoryCost: 0.5}
		s.SetEndpoints(f.engines)
		f.entries = append(f.entries, s)
		f.sent = append(f.sent, map[string]float64{})
	}
	return f
}

// exchange passes the work of each entry to the others.
func (f *cluster) exchange() {
	if !f.exchanges {
		return
	}
	fresh := map[string]map[int]float64{}
	for i, s := range f.entries {
		for _, w := range s.Own() {
			if fresh[w.Endpoint] == nil {
				fresh[w.Endpoint] = map[int]float64{}
			}
			fresh[w.Endpoint][i] = w.Sent - f.sent[i][w.Endpoint]
			f.sent[i][w.Endpoint] = w.Sent
		}
	}
	for i, s := range f.entries {
		sums := map[string]Work{}
		for j, other := range f.entries {
			if i == j {
				continue
			}
			for _, w := range other.Own() {
				sum := sums[w.Endpoint]
				sum.Endpoint = w.Endpoint
				sum.Runs += w.Runs
				sum.Tokens += w.Tokens
				sum.Copied += w.Copied
				sum.Sent += fresh[w.Endpoint][j]
				sums[w.Endpoint] = sum
			}
		}
		for _, w := range sums {
			s.SetOthers(w, f.now)
		}
	}
}

func (f *cluster) place(t *testing.T, i, prompt int) Decision {
	f.now = f.now.Add(10 * time.Millisecond)
	d := f.entries[i].Place(Request{Account: "a", Prompt: prompt, Max: 400, Arrived: f.now}, f.now)
	require.NotEmpty(t, d.Endpoint)
	f.exchange()
	return d
}

// maxCount returns the largest of the counts.
func maxCount(counts map[string]int) (n int) {
	for _, c := range counts {
		n = max(n, c)
	}
	return n
}

// Guards against six instances that choose at the same time and overload some
// engines: if they exchange their work, requests must spread evenly.
func TestInstancesThatChooseAtOnce(t *testing.T) {
	spread := map[bool]int{}
	for _, exchanges := range []bool{false, true} {
		f := newCluster(6, 6)
		f.exchanges = exchanges
		counts := map[string]int{}
		for i := range 18 {
			counts[f.place(t, i%6, 3000).Endpoint]++
		}
		spread[exchanges] = maxCount(counts)
	}
	require.LessOrEqual(t, spread[true], 4, "three each are even")
	require.LessOrEqual(t, spread[true], spread[false])
}

// Guards against overloading a new, empty engine. Without an exchange of work, it
// receives the next requests of all instances.
func TestNewEngineIsNotOverrun(t *testing.T) {
	starts := map[bool]int{}
	for _, exchanges := range []bool{false, true} {
		f := newCluster(6, 5)
		for i := range 30 {
			f.place(t, i%6, 3000)
		}
		f.engines = append(f.engines, Endpoint{ID: "new", Place: "p", Region: "r", Tokens: 30_000})
		for _, s := range f.entries {
			s.SetEndpoints(f.engines)
		}
		f.exchanges = exchanges
		f.now = f.now.Add(2 * time.Second)
		for i := range 12 {
			if f.place(t, i%6, 3000).Endpoint == "new" {
				starts[exchanges]++
			}
		}
	}
	require.LessOrEqual(t, starts[true], 7)
	require.Greater(t, starts[false], starts[true]+2)
}

// Guards against full load on an engine that became slower than the others, and
// against an engine that gets no work again after the slowdown has decayed.
func TestSlowEngineGetsLess(t *testing.T) {
	f := newCluster(1, 4)
	s := f.entries[0]
	run := func(n int, slow bool) map[string]int {
		counts := map[string]int{}
		for range n {
			d := f.place(t, 0, 2000)
			counts[d.Endpoint]++
			took := 280 * time.Millisecond
			if slow && d.Endpoint == "e0" {
				took *= 6
			}
			f.now = f.now.Add(took)
			s.Started(d.Ticket, f.now)
			s.Done(d.Ticket, 40, true, f.now)
		}
		return counts
	}
	counts := run(60, true)
	require.Less(t, counts["e0"], 10)
	f.now = f.now.Add(time.Minute)
	counts = run(60, false)
	require.Greater(t, counts["e0"], 8)
}

// The time for prompts must be learned from a few first tokens even if it is far
// from the initial value.
func TestTimeForPromptsIsLearned(t *testing.T) {
	f := newCluster(1, 2)
	s := f.entries[0]
	for range 10 {
		d := f.place(t, 0, 3000)
		f.now = f.now.Add(420 * time.Millisecond)
		s.Started(d.Ticket, f.now)
		f.now = f.now.Add(time.Second)
		s.Done(d.Ticket, 100, true, f.now)
	}
	require.InEpsilon(t, 0.00014, s.fillTime(), 0.15, "seconds for a prompt token")
}

// Engines are reclaimed at short notice. Copies must go to other engines of the
// same place and spread over them.
func TestCopiesGoToOtherEnginesOfThePlace(t *testing.T) {
	f := newCluster(1, 4)
	f.engines = append(f.engines, Endpoint{ID: "away", Place: "q", Region: "r2", Tokens: 30_000})
	s := f.entries[0]
	s.SetEndpoints(f.engines)
	counts := map[string]int{}
	for range 6 {
		d := s.PlaceCopy(Copy{Account: "a", From: "e0", Place: "p", Prompt: 3000, Max: 400, Near: true}, f.now)
		require.NotEmpty(t, d.Endpoint)
		require.NotContains(t, []string{"e0", "away"}, d.Endpoint)
		counts[d.Endpoint]++
	}
	require.Equal(t, 2, maxCount(counts))
	for _, e := range []string{"e1", "e2", "e3"} {
		s.Suspect(e, f.now.Add(time.Minute))
	}
	d := s.PlaceCopy(Copy{Account: "a", From: "e0", Place: "p", Prompt: 3000, Max: 400, Near: true}, f.now)
	require.True(t, d.None)
	d = s.PlaceCopy(Copy{Account: "a", From: "e0", Place: "p", Prompt: 3000, Max: 400, Urgent: true}, f.now)
	require.Equal(t, "away", d.Endpoint, "a generation that would be lost goes to another place")
}

// Guards against copies that concentrate on one engine. After an engine's notice,
// all instances with runs there choose engines for the copies at the same time,
// before they receive each other's choices. If all choose the engine with the most
// free memory, it has no room for most of the copies.
func TestCopiesThatAreChosenAtOnce(t *testing.T) {
	const entries, prompt = 12, 5000
	f := newCluster(entries, 11)
	for i, e := range f.engines {
		for _, s := range f.entries {
			s.SetOthers(Work{Endpoint: e.ID, Runs: 1, Tokens: 3000 + 200*float64(i)}, f.now)
		}
	}
	counts := map[string]int{}
	for _, s := range f.entries {
		s.SetPeers(entries)
		d := s.PlaceCopy(Copy{Account: "a", From: "e0", Place: "p", Prompt: prompt, Max: 400, Urgent: true}, f.now)
		require.NotEmpty(t, d.Endpoint)
		counts[d.Endpoint]++
	}
	require.LessOrEqual(t, maxCount(counts), (30_000-5000)/prompt, "what one engine has room for")
}

// Guards against copies that cause preemptions when requests fill the memory.
func TestCopiesYieldToRequests(t *testing.T) {
	f := newCluster(1, 4)
	s := f.entries[0]
	c := Copy{Account: "a", From: "e0", Place: "p", Prompt: 3000, Max: 400, Near: true}
	require.Greater(t, s.copyCeiling(), 0.55)
	for range 20 {
		f.place(t, 0, 3200)
	}
	require.InDelta(t, copyLeast, s.copyCeiling(), 0.1)
	require.True(t, s.PlaceCopy(c, f.now).None)
}

// A generation that continues from its copy must keep the copy's memory as its
// own, and all of it must be released at the end.
func TestCopyBecomesTheGeneration(t *testing.T) {
	f := newCluster(1, 2)
	s := f.entries[0]
	d := s.PlaceCopy(Copy{Account: "a", From: "e0", Place: "p", Prompt: 1000, Done: 40, Max: 400, Near: true}, f.now)
	e := s.byID[d.Endpoint]
	require.Equal(t, 1040.0, e.copied)
	s.Progress(d.Ticket, 60, f.now)
	require.Equal(t, 1060.0, e.copied)
	s.Adopt(d.Ticket)
	require.Zero(t, e.copied)
	require.Equal(t, 1060.0, e.used)
	s.Done(d.Ticket, 80, true, f.now)
	require.Zero(t, e.used)
	require.Zero(t, e.count)
}
