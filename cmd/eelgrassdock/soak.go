package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/internal/soak"
)

type soakCommand struct {
	Seed      uint64  `default:"1" help:"Seed of the plan of faults."`
	Minutes   float64 `default:"1" help:"Duration in minutes."`
	Processes int     `default:"6" help:"Processes of the program."`
	Callers   int     `default:"6" help:"Callers for each process; fewer for many processes."`
	Keep      string  `help:"Directory for the logs of all processes; by default one that is removed if every promise was kept."`
	// Break is empty or one of soak.Promises. "only once" in the help means that
	// --entries supports no value but "once" (soak.Once); it ignores the others.
	Break   string `help:"Break a promise on purpose, to see that the soak reports it; with --entries, only once."`
	Hangs   bool   `help:"Let endpoints hang and go on beside changes of the configuration, in place of all other faults."`
	Headers bool   `help:"Let endpoints say in headers alone that they leave, or when to come back, in place of all other faults."`
	Stalls  bool   `help:"Suspend instances for moments, in series, beside changes of the configuration and releases, in place of all other faults."`
	Deadly  bool   `help:"Let callers send requests that crash the endpoints, beside few other faults."`
	Places  bool   `help:"Let the operator evacuate places and endpoints turn cold, beside few other faults."`
	Entries bool   `help:"Run entries with the product's own interface instead of instances on the users' platform."`
}

func (c *soakCommand) Run(std stdStreams) error {
	if c.Minutes <= 0 || c.Processes < 1 || c.Callers < 1 {
		return errors.Newf("--minutes, --processes and --callers must be positive, are %v, %d and %d", c.Minutes, c.Processes, c.Callers)
	}
	binary, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find the path of this program: %w", err)
	}
	dir := c.Keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "eelgrassdock-soak-"); err != nil {
			return fmt.Errorf("create log directory: %w", err)
		}
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create log directory: %w", err)
	}
	ctx, cancel := signalContext(nil)
	defer cancel()
	total := time.Duration(c.Minutes * float64(time.Minute))
	plan := soak.Plan(c.Seed, total)
	switch {
	case c.Entries:
		plan = soak.EntryPlan(c.Seed, total)
	case c.Hangs:
		plan = soak.HangPlan(c.Seed, total)
	case c.Deadly:
		plan = soak.DeadlyPlan(c.Seed, total)
	case c.Headers:
		plan = soak.HeaderPlan(c.Seed, total)
	case c.Stalls:
		plan = soak.StallPlan(c.Seed, total)
	case c.Places:
		plan = soak.PlacePlan(c.Seed, total)
	}
	if err := json.NewEncoder(std.err).Encode(map[string]any{"seed": c.Seed, "plan": plan, "logs": dir}); err != nil {
		return fmt.Errorf("print the plan: %w", err)
	}
	var (
		summary any
		kept    bool
	)
	if c.Entries {
		s := soak.Entries{
			Binary: binary, Dir: dir, Seed: c.Seed, Duration: total, Processes: c.Processes, Callers: c.Callers, Lie: c.Break == soak.Once, Progress: std.err,
		}
		var result soak.EntriesSummary
		result, err = s.Run(ctx)
		summary, kept = result, result.Kept
	} else {
		s := soak.Soak{
			Binary: binary, Dir: dir, Seed: c.Seed, Duration: total, Instances: c.Processes, Callers: c.Callers, Faults: plan, Sabotage: c.Break,
			Cold: c.Places, Progress: std.err,
		}
		var result soak.Summary
		result, err = s.Run(ctx)
		summary, kept = result, result.Kept
	}
	if err != nil {
		return fmt.Errorf("soak with seed %d, logs in %s: %w", c.Seed, dir, err)
	}
	out := json.NewEncoder(std.out)
	out.SetIndent("", "  ")
	if err := out.Encode(summary); err != nil {
		return fmt.Errorf("print the summary: %w", err)
	}
	if !kept {
		return errors.Newf("a promise was broken with seed %d; logs are in %s", c.Seed, dir)
	}
	if c.Keep == "" {
		if err := os.RemoveAll(dir); err != nil {
			return fmt.Errorf("remove logs: %w", err)
		}
	}
	return nil
}
