// Command rig plays the scripts of the review: it starts instances of this project as
// processes, with stand-ins for the platform's store, the replicas and the clients, and
// checks one rule.
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitBroken = 1
	exitFailed = 2

	longestCase = 110 * time.Second
)

// scenario plays one case and reports whether its rule was broken.
type scenario func(ctx context.Context, r *rig) (broken bool, err error)

var scenarios = map[string]scenario{
	"overlap": playOverlap,
	"path":    playPath,
	"memory":  playMemory,
	"stop":    playStop,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig SCENARIO RECORD")
		return exitFailed
	}
	ctx, cancel := context.WithTimeout(context.Background(), longestCase)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	r, err := newRig(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitFailed
	}
	defer r.close()
	broken, err := scenarios[args[0]](ctx, r)
	switch {
	case err != nil:
		r.note("failed", err.Error())
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitFailed
	case broken:
		return exitBroken
	}
	return 0
}
