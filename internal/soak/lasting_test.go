package soak

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against streams that go on at another engine while the first one, which works on
// without its connection, is not stopped.
func TestSoakEnginesThatWorkOn(t *testing.T) {
	binary := build(t)
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			var plan []Fault
			const last, sites = 4 * time.Second, 4
			for n := range 16 {
				at := quietStart + time.Duration(n/sites)*last
				plan = append(plan, Fault{Kind: Spoil, After: at, Last: last, Target: n % sites})
				if n%sites == sites-1 {
					plan = append(plan, Fault{Kind: Reclaim, After: at + last/2, Target: n / sites})
				}
			}
			s := Soak{Binary: binary, Dir: t.TempDir(), Seed: seed, Duration: 24 * time.Second, Instances: 4, Faults: plan}
			sum, err := s.Run(context.Background())
			requireKept(t, &s, sum, err)
			require.Positive(t, sum.Checks[Single])
			require.Positive(t, sum.Continued)
		})
	}
}
