package system

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"
	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"github.com/eelgrassdock/eelgrassdock/process/platform"
)

const (
	writeLimit = 300  // writes per second that the platform accepts
	readLimit  = 2000 // reads per second that the platform accepts
	numEntries = 100  // entries that the test starts at once
)

// startAtOnce starts a system, then all its entries concurrently, on a store with
// the platform's rate limits. It returns the system and the time until all
// entries were ready.
func startAtOnce(tb testing.TB, entries int) (*System, time.Duration) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &System{
		Places:  []Place{{Name: "a", Region: "north"}, {Name: "b", Region: "middle"}, {Name: "c", Region: "south"}},
		Engines: 3, PlainReplicas: 1, Seed: 1, Log: log,
		Memory: &platform.Memory{Writes: rate.NewLimiter(writeLimit, writeLimit), Reads: rate.NewLimiter(readLimit, readLimit)},
	}
	require.NoError(tb, s.Start(context.Background()))
	tb.Cleanup(s.Close)
	begun := time.Now()
	starts := pool.New().WithErrors()
	for i := range entries {
		starts.Go(func() error {
			_, err := s.StartEntry(context.Background(), i)
			return err
		})
	}
	require.NoError(tb, starts.Wait())
	return s, time.Since(begun)
}

// TestAllEntriesStartAtOnce guards against entries that exceed the store's rate
// limits when all of them restart at the same time, and so keep each other from
// starting.
func TestAllEntriesStartAtOnce(t *testing.T) {
	s, _ := startAtOnce(t, numEntries)
	require.Len(t, s.Addrs(), numEntries)
	require.Zero(t, s.Memory.Usage().Limited)
}

// BenchmarkStart measures the load on the store while all entries start at once,
// and in 10 s of idling that begin 10 s later.
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{7, 25, 50, 100} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			for range b.N {
				s, took := startAtOnce(b, n)
				first := s.Memory.Usage()
				b.ReportMetric(took.Seconds(), "s/ready")
				b.ReportMetric(float64(first.Writes)/float64(n), "writes/entry")
				b.ReportMetric(float64(first.Reads)/float64(n), "reads/entry")
				b.ReportMetric(float64(first.Limited), "limited")
				time.Sleep(10 * time.Second)
				before := s.Memory.Usage()
				time.Sleep(10 * time.Second)
				after := s.Memory.Usage()
				b.ReportMetric(float64(after.Writes-before.Writes)/10, "writes/s")
				b.ReportMetric(float64(after.Reads-before.Reads)/10, "reads/s")
			}
		})
	}
}
