package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newPaced returns a scheduler that exchanges its work with others, before two engines.
func newPaced() (*Scheduler, time.Time) {
	s := &Scheduler{Service: "s", Region: "r", EntryPlace: "p", Chunked: true, LoadAge: 35 * time.Millisecond}
	s.SetEndpoints([]Endpoint{{ID: "slow", Place: "p", Region: "r", Tokens: 30_000}, {ID: "fast", Place: "p", Region: "r", Tokens: 30_000}})
	return s, time.Unix(1000, 0)
}

// Guards against an engine that is slow, and that a placer does not know to be, because it
// has seen no first token of it: others have, and tell it.
func TestSlowEnginesAreKnownFromOthers(t *testing.T) {
	s, now := newPaced()
	for range 10 {
		now = now.Add(time.Second)
		s.AddPace("slow", 1.3, 1, now)
		s.AddPace("fast", 1, 1, now)
	}
	slow, fast := s.byID["slow"].slowdown(now.UnixNano()), s.byID["fast"].slowdown(now.UnixNano())
	require.InDelta(t, 1.3, slow/fast, 0.05)
	require.Len(t, s.Paces(now), 2)
	require.Empty(t, s.Paces(now.Add(2*paceMemory)))
	later := now.Add(2 * paceMemory)
	require.InDelta(t, 1, s.byID["slow"].slowdown(later.UnixNano()), 0, "it is tried again")
	s.AddPace("unknown", 1, 1, now)
	s.AddPace("slow", -1, 1, now)
	s.AddPace("slow", 0, 1e6, now)
	require.GreaterOrEqual(t, s.byID["slow"].slowdown(now.UnixNano()), minSlowdown, "no figure makes an engine seem faster than that")
}

// Guards against an engine that seems slow because it computes prompts, or because one
// generation was held up: only times without a prompt count, and up to a bound.
func TestTimesWithPromptsDoNotCount(t *testing.T) {
	s, now := newPaced()
	d := s.Place(Request{Account: "a", Prompt: 3000, Max: 400, Arrived: now}, now)
	work := func() Work {
		for _, w := range s.Own() {
			if w.Endpoint == d.Endpoint {
				return w
			}
		}
		return Work{}
	}
	for n := range 5 { // 3,000 tokens take 90 ms at the speed that is assumed at first
		s.Progress(d.Ticket, n+1, now.Add(time.Duration(n)*15*time.Millisecond))
	}
	require.Zero(t, work().Predicted)
	now = now.Add(time.Second)
	s.Progress(d.Ticket, 10, now)
	s.Progress(d.Ticket, 30, now.Add(400*time.Millisecond))
	w := work()
	require.InDelta(t, 0.4, w.Took, 1e-6)
	require.Positive(t, w.Predicted)
	s.Progress(d.Ticket, 31, now.Add(time.Minute))
	require.Less(t, work().Took-w.Took, 1., "one token cannot count for a minute")
	s.SetOthers(Work{Endpoint: d.Endpoint, Runs: 1, Tokens: 3000, Sent: 30_000}, now.Add(time.Minute))
	w = work()
	s.Progress(d.Ticket, 40, now.Add(time.Minute+400*time.Millisecond))
	require.Equal(t, w.Predicted, work().Predicted, "others have sent prompts there")
}
