package soak

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that reach an evacuated place or overload a cold endpoint while
// instances are killed, suspended or cut off from the store.
func TestSoakPlaces(t *testing.T) {
	const seed, total = 5, 40 * time.Second
	s := Soak{Binary: build(t), Dir: t.TempDir(), Seed: seed, Duration: total, Instances: 5, Faults: PlacePlan(seed, total), Cold: true}
	sum, err := s.Run(context.Background())
	requireKept(t, &s, sum, err)
	require.Positive(t, sum.Faults[Evacuate])
	require.Positive(t, sum.Checks[Cold])
}
