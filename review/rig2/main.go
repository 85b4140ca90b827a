// Package main holds the stand-ins of the second review: a platform, replicas and clients
// that follow the users' pages, around processes of the program that are started with the
// command of the deploy file.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	kept   = 0
	broken = 1
	cannot = 2
)

const limit = 110 * time.Second // of one run

var cases = map[string]func(*record) (bool, error){
	"parts":    parts,
	"tenants":  tenants,
	"channels": channels,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(cannot)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a case and returns its exit code.
func run(name, path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	defer file.Close()
	r := &record{out: file, begun: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	r.write("case %s, disturbance %v", name, r.trouble)
	time.AfterFunc(limit, func() {
		r.write("not finished within %s", limit)
		r.endAll()
		os.Exit(cannot)
	})
	isBroken, err := cases[name](r)
	r.endAll()
	switch {
	case err != nil:
		r.write("the case could not run: %v", err)
		return cannot
	case isBroken:
		r.write("RULE BROKEN")
		return broken
	}
	r.write("rule kept")
	return kept
}
