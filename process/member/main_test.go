package member_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for randomised tests unless the command line sets
// one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}
