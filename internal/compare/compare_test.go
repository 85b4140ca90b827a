package compare

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/eelgrassdock/eelgrassdock/process/placement"
)

var (
	table       = flag.Bool("table", false, "print the default table")
	loads       = flag.String("loads", "", "with -table: only loads whose name contains this")
	policies    = flag.String("policies", "", "with -table: only these policies, separated by commas")
	varyWeights = flag.Bool("weights", false, "with -table: vary the weights of the current policy")
	warm        = flag.Duration("warm", 0, "with -table: time before the window")
	seeds       = flag.Int("seeds", 3, "with -table: number of seeds")
)

// TestTable prints the table of the default loads. Usage:
//
//	go test ./internal/compare -run Table -table -v
func TestTable(t *testing.T) {
	if !*table {
		t.Skip("needs -table")
	}
	o := Options{Warm: *warm}
	for _, l := range Loads {
		if strings.Contains(l.Name, *loads) {
			o.Loads = append(o.Loads, l)
		}
	}
	for _, policy := range strings.FieldsFunc(*policies, func(r rune) bool { return r == ',' }) {
		o.Policies = append(o.Policies, placement.Policy(policy))
	}
	for i := range *seeds {
		o.Seeds = append(o.Seeds, uint64(i+1))
	}
	if *varyWeights {
		o.Policies = []placement.Policy{placement.Current}
		o.Weights = []placement.Weights{{}, {Stall: 4, Gap: 1, Preempt: 1}, {Stall: 1, Gap: 2, Preempt: 1}, {Stall: 1, Gap: 0.1, Preempt: 1}, {Stall: 1, Gap: 1, Preempt: 4}}
	}
	if err := Run(os.Stdout, o); err != nil {
		t.Fatal(err)
	}
}
