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

// measure runs a measurement if it was asked for.
func measure(t *testing.T, f func(t testing.TB, rounds int)) {
	if !*cost {
		t.Skip("measurement; run with -cost")
	}
	f(t, *rounds)
}

func TestLatency(t *testing.T) { measure(t, Latency) }
func TestRelay(t *testing.T)   { measure(t, Relay) }
func TestMemory(t *testing.T)  { measure(t, Memory) }
func TestRequest(t *testing.T) { measure(t, Request) }
func TestIdle(t *testing.T)    { measure(t, func(testing.TB, int) { Idle(t) }) }

// TestIdleServiceLeaving guards against work for a leaving endpoint of a service
// whose endpoints were not polled because it had no requests.
func TestIdleServiceLeaving(t *testing.T) {
	r := newRig(t, 1, 2, nil)
	r.engine.n.Store(1)
	r.drain(t, false, 4)
	r.skew.Store(int64(2 * time.Minute))
	time.Sleep(1500 * time.Millisecond) // until the polls have stopped
	r.skew.Store(int64(3 * time.Minute))
	r.engine.leaving.Store(&r.addrs[0])
	r.drain(t, false, 40)
	require.Zero(t, r.engine.late.Load(), "generations on the leaving endpoint")
}
