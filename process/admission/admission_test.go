package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/process/placement"
)

// One engine has memory and many prompts to compute. The other one is full, and has room
// sooner than the first has computed its prompts.
func ExampleForecast() {
	engines := []placement.EngineLoad{
		{Memory: 27_000, Used: 9000, Runs: 3, Slots: 24, Pending: 14_000, PromptTime: 0.0001, StepTime: 0.01, Ending: 0.001},
		{Memory: 27_000, Used: 26_000, Runs: 8, Slots: 24, PromptTime: 0.0001, StepTime: 0.01, Ending: 0.001},
	}
	f := Forecast(engines, 3000, 0)
	fmt.Println(f.First.Round(time.Millisecond), f.Room, f.Idle)
	f = Forecast(engines[1:], 3000, 0)
	fmt.Println(f.First.Round(time.Millisecond), f.Room.Round(time.Millisecond))
	// Output:
	// 1.421s 0s 310ms
	// 1.421s 1.111s
}

// Guards against refused callers that come back together, after a third of the time that
// they have left, or so late that they cannot be in time although they could be.
func TestTimesToReturn(t *testing.T) {
	now := time.Unix(1000, 0)
	c := &Controller{}
	c.init()
	for _, r := range []Request{
		{First: now, Aim: 1800 * time.Millisecond, Deadline: now.Add(39 * time.Second)},
		{First: now, Aim: 1500 * time.Millisecond, Deadline: now.Add(6 * time.Second)},
		{First: now.Add(-2 * time.Second), Aim: 1500 * time.Millisecond, Deadline: now.Add(4 * time.Second)},
		{First: now.Add(-5900 * time.Millisecond), Aim: 1500 * time.Millisecond, Deadline: now.Add(100 * time.Millisecond)},
	} {
		f := Times{First: 900 * time.Millisecond, Room: 700 * time.Millisecond, Idle: 300 * time.Millisecond}
		left := r.Deadline.Sub(now)
		first, last := never, time.Duration(0)
		for range 200 {
			wait := c.returnTime(&r, f, now).Sub(now)
			first, last = min(first, wait), max(last, wait)
		}
		require.Positive(t, first)
		require.LessOrEqual(t, last, left/3)
		require.Greater(t, last-first, min(left/8, minSpread/2))
		if r.First.Equal(now) {
			require.LessOrEqual(t, last+f.Idle, r.Aim)
		}
	}
}

// Guards against a caller with a deadline of its own that counts as one that returns.
func TestFirstAttemptIsInferred(t *testing.T) {
	now := time.Unix(1000, 0)
	const timeout = 39 * time.Second
	arrive := func(c *Controller, left time.Duration) time.Duration {
		r := &Request{Kind: "k", Prompt: 1, Arrived: now, Deadline: now.Add(left), Aim: time.Second, Timeout: timeout}
		c.Arrive(r)
		return now.Sub(r.First)
	}
	c := &Controller{}
	for range 64 {
		require.Zero(t, arrive(c, timeout))
	}
	require.Equal(t, 5*time.Second, arrive(c, timeout-5*time.Second))
	require.Zero(t, arrive(c, timeout/2), "longer than a caller waits")
	c = &Controller{}
	for range 64 {
		require.Zero(t, arrive(c, timeout-5*time.Second), "nobody has all of the timeout")
	}
}

// Guards against an instance that sends nothing any more after prompts were once slow: idle
// engines must be used, and show that they are not.
func TestIdleEnginesAreUsedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, prompts := range []time.Duration{30, 240, 290, 600} { // ms for 1,000 tokens; 3,000 take from 90 ms to 1.8 s
		s := &placement.Scheduler{Service: "s", Region: "r", Chunked: true, FillTime: prompts * time.Millisecond}
		s.SetEndpoints([]placement.Endpoint{{ID: "e", Place: "p", Region: "r", Tokens: 27_000, Slots: 24}})
		c := &Controller{Sched: s}
		c.init()
		c.sent = 0
		r := &Request{Kind: "k", Prompt: 3000, Rank: 2, Arrived: now, Deadline: now.Add(39 * time.Second), Aim: time.Second}
		c.Arrive(r)
		d, _ := c.Place(placement.Request{Account: "k", Prompt: 3000, Max: 400, Arrived: now}, r, true, 0, now)
		require.Equal(t, "e", d.Endpoint, "%v ms", int(prompts))
	}
}
