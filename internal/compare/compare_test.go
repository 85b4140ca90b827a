package compare

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/eelgrassdock/eelgrassdock/process/placement"
)

var (
	table = flag.Bool("table", false, "print the default table")
	loads = flag.String("loads", "", "with -table: only loads whose name contains this")
	rules = flag.String("policies", "", "with -table: only these policies, separated by commas")
	warm  = flag.Duration("warm", 0, "with -table: time before the window")
	seeds = flag.Int("seeds", 2, "with -table: number of seeds")
)

// TestTable prints the default table: go test ./internal/compare -run Table -table.
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
	for _, rule := range strings.FieldsFunc(*rules, func(r rune) bool { return r == ',' }) {
		o.Policies = append(o.Policies, placement.Policy(rule))
	}
	for i := range *seeds {
		o.Seeds = append(o.Seeds, uint64(i+1))
	}
	if err := Run(os.Stdout, o); err != nil {
		t.Fatal(err)
	}
}
