package cost

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	cost   = flag.Bool("cost", false, "measure and print the cost of an entry")
	rounds = flag.Int("rounds", 5, "interleaved rounds of each measurement")
)

// runMeasurement runs f if the flag -cost is set and skips the test otherwise.
func runMeasurement(t *testing.T, f func(t testing.TB, rounds int)) {
	if !*cost {
		t.Skip("measurement; run with -cost")
	}
	f(t, *rounds)
}

func TestLatency(t *testing.T) { runMeasurement(t, Latency) }
func TestRelay(t *testing.T)   { runMeasurement(t, Relay) }
func TestMemory(t *testing.T)  { runMeasurement(t, Memory) }
func TestRequest(t *testing.T) { runMeasurement(t, Request) }
func TestIdle(t *testing.T)    { runMeasurement(t, func(testing.TB, int) { Idle(t) }) }

// TestIdleServiceLeaving guards against work that is sent to a leaving endpoint.
// An entry stops polling the endpoints of a service without requests, so it has
// not seen that the endpoint leaves when the next request arrives.
func TestIdleServiceLeaving(t *testing.T) {
	r := newRig(t, 1, 2, nil)
	r.engine.tokens.Store(1)
	r.readStreams(t, false, 4)
	// Two minutes without requests exceed the minute (idleAfter in process/entry)
	// after which a service is no longer polled. The entry notices that when its next poll is due, which is in
	// at most 1.25 s. The third minute makes the state of the last poll older than
	// the 2 s (pollAge) at which work may still be sent without another poll.
	r.skew.Store(int64(2 * time.Minute))
	time.Sleep(1500 * time.Millisecond)
	r.skew.Store(int64(3 * time.Minute))
	r.engine.leaving.Store(&r.addrs[0])
	r.readStreams(t, false, 40)
	require.Zero(t, r.engine.lateStarts.Load(), "generations on the leaving endpoint")
}
