package compare

import (
	"bytes"
	"testing"
	"time"

	"github.com/eelgrassdock/eelgrassdock/process/placement"
)

// find measures one load with one seed.
func find(t *testing.T, name string, policies []placement.Policy, weights ...placement.Weights) []Row {
	t.Helper()
	for _, l := range Loads {
		if l.Name == name {
			return Measure(Options{Loads: []Load{l}, Policies: policies, Weights: weights, Seeds: []uint64{1}})
		}
	}
	t.Fatalf("no load %q", name)
	return nil
}

// Guards against a policy that preempts or stalls more than the baselines where
// memory is scarce.
func TestBeatsBaselines(t *testing.T) {
	t.Parallel()
	rows := find(t, "steady 90%", []placement.Policy{
		placement.Current, placement.RoundRobin, placement.LeastConn, placement.TwoChoice,
	})
	current := rows[0]
	for _, base := range rows[1:] {
		if current.Preempted*5 > base.Preempted {
			t.Errorf("%.1f preemptions, %s has %.1f", current.Preempted, base.Policy, base.Preempted)
		}
		if ms(current.Stall, 95) > 0.8*ms(base.Stall, 95) {
			t.Errorf("p95 stall %.0f ms, %s has %.0f", ms(current.Stall, 95), base.Policy, ms(base.Stall, 95))
		}
		if ms(current.Gap, 99) > 0.9*ms(base.Gap, 99) {
			t.Errorf("p99 gap %.0f ms, %s has %.0f", ms(current.Gap, 99), base.Policy, ms(base.Gap, 99))
		}
		if current.Goodput < 0.995*base.Goodput {
			t.Errorf("%.0f tokens/s, %s has %.0f", current.Goodput, base.Policy, base.Goodput)
		}
	}
}

// Guards against weights that change nothing.
func TestWeights(t *testing.T) {
	t.Parallel()
	policies := []placement.Policy{placement.Current}
	rows := find(t, "steady 90%", policies,
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

// Guards against runs that depend on anything but their seed.
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
