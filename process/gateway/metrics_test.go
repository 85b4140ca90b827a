package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Times beyond the range must be counted, and quantiles must be in
// milliseconds.
func TestTimes(t *testing.T) {
	h := newHistogram()
	for i := range 100 {
		h.record(time.Duration(i+1) * time.Millisecond)
	}
	times := h.times()
	require.Equal(t, int64(100), times.Count)
	require.InEpsilon(t, 50, times.P50, 0.02)
	require.InEpsilon(t, 95, times.P95, 0.02)
	h.record(24 * time.Hour)
	h.record(-time.Second)
	require.Equal(t, int64(102), h.times().Count)
	require.InEpsilon(t, 600_000, h.times().Max, 0.02)
}
