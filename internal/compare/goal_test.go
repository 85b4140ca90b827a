package compare

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"github.com/eelgrassdock/eelgrassdock/process/placement"
)

var (
	baselines = []placement.Policy{placement.RoundRobin, placement.LeastConn, placement.TwoChoice}
	race      bool // true if the race detector is enabled
)

// skipRace skips a long simulation under the race detector, which makes it 20
// times slower. Nothing is lost: each simulation runs in one goroutine,
// TestDeterminism runs the same code under the detector, and .ci/run runs all
// tests of this package once more without it.
func skipRace(t *testing.T) {
	if race {
		t.Skip("runs without the race detector only")
	}
}

// measureLoads measures the named default loads with seed 1. The rows are
// grouped by load.
func measureLoads(t *testing.T, names []string, policies []placement.Policy, weights ...placement.Weights) []Row {
	t.Helper()
	o := Options{Policies: policies, Weights: weights, Seeds: []uint64{1}}
	for _, name := range names {
		i := slices.IndexFunc(Loads, func(l Load) bool { return l.Name == name })
		if i < 0 {
			t.Fatalf("no load %q", name)
		}
		o.Loads = append(o.Loads, Loads[i])
	}
	return Measure(o)
}

// gain returns by which fraction the p99 gap of the first row is below the
// lowest p99 gap of the other rows.
func gain(rows []Row) float64 {
	best := ms(rows[1].Gap, 99)
	for _, base := range rows[2:] {
		best = min(best, ms(base.Gap, 99))
	}
	return 1 - ms(rows[0].Gap, 99)/best
}

// TestBeatsBaselines guards against a current policy that, with 90 % of the
// memory in use, loses its lead over a baseline in preemptions or p95 stall,
// produces fewer tokens per second, or misses the target of a p99 gap that is
// 20 % lower.
func TestBeatsBaselines(t *testing.T) {
	t.Parallel()
	rows := measureLoads(t, []string{"steady 90%"}, append([]placement.Policy{placement.Current}, baselines...))
	current := rows[0]
	for _, base := range rows[1:] {
		if current.Preempted*5 > base.Preempted {
			t.Errorf("%.1f preemptions, %s has %.1f", current.Preempted, base.Policy, base.Preempted)
		}
		if ms(current.Stall, 95) > 0.8*ms(base.Stall, 95) {
			t.Errorf("p95 stall %.0f ms, %s has %.0f", ms(current.Stall, 95), base.Policy, ms(base.Stall, 95))
		}
		if current.Goodput < 0.995*base.Goodput {
			t.Errorf("%.0f tokens/s, %s has %.0f", current.Goodput, base.Policy, base.Goodput)
		}
	}
	if g := gain(rows); g < 0.2 {
		t.Errorf("p99 gap is lower by %.3f", g)
	}
}

// TestManyEntries guards against a gain that disappears when more entries
// decide independently: with 20 entries it must be at least three quarters of
// the gain with 2.
func TestManyEntries(t *testing.T) {
	skipRace(t)
	t.Parallel()
	rows := measureLoads(t, []string{"90%, 2 entries", "90%, 20 entries"}, append([]placement.Policy{placement.Current}, baselines...))
	few, many := gain(rows[:4]), gain(rows[4:])
	if many < 0.75*few {
		t.Errorf("p99 gap is lower by %.3f with 2 entries, by %.3f with 20", few, many)
	}
}

// TestOverload guards against an overload in which requests reach their
// deadline at the entries with the most requests while other entries hold none.
// It compares sums over all entries: the p95 stall time and the number of requests
// refused at their deadline must not be higher than those of any baseline.
func TestOverload(t *testing.T) {
	skipRace(t)
	t.Parallel()
	rows := measureLoads(t, []string{"steady 110%"}, append([]placement.Policy{placement.Current}, baselines...))
	for _, base := range rows[1:] {
		if ms(rows[0].Stall, 95) > ms(base.Stall, 95) {
			t.Errorf("p95 stall %.0f ms, %s has %.0f", ms(rows[0].Stall, 95), base.Policy, ms(base.Stall, 95))
		}
		if rows[0].Refused["deadline"] > base.Refused["deadline"] {
			t.Errorf("%d refused, %s has %d", rows[0].Refused["deadline"], base.Policy, base.Refused["deadline"])
		}
	}
}

// TestWeights guards against weights that have no effect on the stall time or
// the gap.
func TestWeights(t *testing.T) {
	t.Parallel()
	policies := []placement.Policy{placement.Current}
	rows := measureLoads(t, []string{"steady 90%"}, policies,
		placement.Weights{Stall: 4, Gap: 1, Preempt: 1}, placement.Weights{Stall: 1, Gap: 1, Preempt: 4},
		placement.Weights{Stall: 1, Gap: 2, Preempt: 1}, placement.Weights{Stall: 1, Gap: 0.1, Preempt: 1})
	if ms(rows[0].Stall, 95) > 0.8*ms(rows[1].Stall, 95) {
		t.Errorf("p95 stall %.0f ms with a high stall weight, %.0f with a low one", ms(rows[0].Stall, 95), ms(rows[1].Stall, 95))
	}
	rows = rows[2:]
	if ms(rows[0].Gap, 99) > 0.95*ms(rows[1].Gap, 99) {
		t.Errorf("p99 gap %.0f ms with a high gap weight, %.0f with a low one", ms(rows[0].Gap, 99), ms(rows[1].Gap, 99))
	}
}

// TestDeterminism guards against results that depend on anything but the
// options and the seed.
func TestDeterminism(t *testing.T) {
	t.Parallel()
	var out [2]bytes.Buffer
	for i := range out {
		rows := Measure(Options{
			Loads: []Load{{Name: "small", Share: 0.9, Lost: true, Entries: 3}}, Seeds: []uint64{1}, Engines: 4,
			Warm: 10 * time.Second, Window: 20 * time.Second,
		})
		if err := Print(&out[i], rows); err != nil {
			t.Fatal(err)
		}
	}
	if out[0].String() != out[1].String() {
		t.Errorf("two runs differ:\n%s\n%s", &out[0], &out[1])
	}
}
