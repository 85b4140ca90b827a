// Command rig3 runs the scripts of the third review.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		os.Exit(2)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r, err := newRig(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := run(r, os.Getenv("TROUBLE") != "0")
	r.close()
	switch {
	case err != nil:
		rec.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken != "":
		rec.note("broken: %s", broken)
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	rec.note("held")
	fmt.Println("held")
}

// cases holds the scripts by name. Each returns what was broken, "" if nothing was.
var cases = map[string]func(r *rig, trouble bool) (broken string, err error){}
