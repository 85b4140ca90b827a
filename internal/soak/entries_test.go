package soak

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A short run of the product's own interface, with entries as processes and
// under faults, violates nothing that its callers check.
func TestEntries(t *testing.T) {
	s := Entries{Binary: build(t), Dir: t.TempDir(), Seed: 1, Duration: 24 * time.Second, Processes: 4, Callers: 6}
	sum, err := s.Run(context.Background())
	require.NoError(t, err)
	require.Empty(t, sum.Errors)
	require.True(t, sum.Kept, sum.Report.JSON())
	require.Greater(t, sum.Report.Answered, int64(200))
}

// Guards against a soak that cannot fail: plain services that execute calls and
// answer that they were not executed must be reported.
func TestEntriesReportsABrokenPromise(t *testing.T) {
	s := Entries{Binary: build(t), Dir: t.TempDir(), Seed: 1, Duration: 3 * time.Second, Processes: 2, Callers: 6, Faults: []Fault{}, Lie: true}
	sum, err := s.Run(context.Background())
	require.NoError(t, err)
	require.False(t, sum.Kept)
	require.Positive(t, sum.Report.RanTwice+sum.Report.FalseNotRun)
}
