package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/internal/compare"
	"github.com/eelgrassdock/eelgrassdock/internal/demo"
	"github.com/eelgrassdock/eelgrassdock/internal/load"
	"github.com/eelgrassdock/eelgrassdock/process/entry"
	"github.com/eelgrassdock/eelgrassdock/process/operator"
	"github.com/eelgrassdock/eelgrassdock/process/placement"
)

type (
	askCommand struct {
		Text  []string `arg:"" help:"The query or command, such as: show endpoints where place = riga-1"`
		Entry string   `required:"" help:"Address of any entry."`
		Key   string   `env:"EELGRASSDOCK_KEY" help:"Operator key."`
		JSON  bool     `help:"Print JSON instead of a table."`
		Wait  string   `help:"How long a command may wait until it is in force, such as 10s."`
	}

	loadCommand struct {
		Entries  []string      `help:"Addresses of entries."`
		Accounts []string      `help:"Accounts as ID:KEY:CALLERS."`
		Model    string        `default:"guide" help:"Engine service."`
		Plain    string        `default:"orders" help:"Plain service with POST /orders and GET /stock."`
		Runs     []string      `help:"Addresses of the plain service's replicas, to verify what ran."`
		Place    string        `help:"Place of the callers."`
		Seconds  int           `default:"10" help:"Duration."`
		Seed     uint64        `default:"1" help:"Seed."`
		Max      int           `default:"400" help:"Longest answer in tokens."`
		Pause    time.Duration `default:"50ms" help:"Mean pause of a caller between requests."`
		Compare  bool          `help:"Compare placement policies on simulated engines under a manual clock and print a table."`
		Loads    string        `help:"With --compare: only loads whose name contains this."`
		Seeds    int           `default:"3" help:"With --compare: number of seeds."`
		Weights  []string      `help:"With --compare: weights STALL/GAP/PREEMPT of the current policy, such as 4/1/1."`
	}

	demoCommand struct {
		Seconds int    `default:"15" help:"Duration of the load."`
		Seed    uint64 `default:"1" help:"Seed."`
		Level   string `default:"error" enum:"debug,info,warn,error" help:"Lowest level that is logged."`
	}
)

func (c *askCommand) Run(std stdStreams) error {
	text := strings.Join(c.Text, " ")
	if c.Wait != "" {
		text += " wait " + c.Wait
	}
	body, err := json.Marshal(entry.OperatorRequest{Text: text})
	if err != nil {
		return fmt.Errorf("encode statement: %w", err)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.Entry+"/v1/operator", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if u, err := user.Current(); err == nil {
		req.Header.Set("X-Caller", u.Username)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("send statement to entry: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(res.Body, 1<<20))
		return errors.New(string(bytes.TrimSpace(text)))
	}
	return c.printLines(std, json.NewDecoder(res.Body))
}

// printLines prints the lines of the answer: progress to standard error, the
// result to standard output. It returns an error if the statement failed or a
// command is not in force everywhere.
func (c *askCommand) printLines(std stdStreams, lines *json.Decoder) error {
	for {
		var l entry.OperatorLine
		if err := lines.Decode(&l); err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
		switch {
		case l.Progress != "":
			fmt.Fprintln(std.err, l.Progress)
		case l.Error != "":
			return errors.New(l.Error)
		case l.Answer != nil:
			return c.printAnswer(std, *l.Answer)
		}
	}
}

// printAnswer prints the result as a table, JSON or text. It returns an error if
// the command is not in force everywhere.
func (c *askCommand) printAnswer(std stdStreams, a operator.Answer) error {
	switch {
	case c.JSON && a.Table == nil:
		if err := json.NewEncoder(std.out).Encode(a); err != nil {
			return fmt.Errorf("write answer: %w", err)
		}
	case c.JSON:
		if err := operator.WriteJSON(std.out, *a.Table); err != nil {
			return fmt.Errorf("write answer: %w", err)
		}
	case a.Table != nil:
		if err := operator.Write(std.out, *a.Table); err != nil {
			return fmt.Errorf("write answer: %w", err)
		}
	default:
		fmt.Fprintln(std.out, a.Text)
	}
	if a.Pending != nil {
		return errors.Newf("not in force everywhere: %s", a.Pending)
	}
	return nil
}

func (c *loadCommand) Run(std stdStreams) error {
	if c.Compare {
		return c.comparePolicies(std)
	}
	l := &load.Runner{
		Entries: c.Entries, Model: c.Model, Plain: c.Plain, Runs: c.Runs, Place: c.Place,
		Seed: c.Seed, Max: c.Max, Pause: c.Pause,
	}
	for _, text := range c.Accounts {
		a, err := parseAccount(text)
		if err != nil {
			return err
		}
		l.Accounts = append(l.Accounts, a)
	}
	if len(c.Entries) == 0 || len(l.Accounts) == 0 {
		return errors.New("--entries and --accounts are required")
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.Seconds)*time.Second)
	defer cancel()
	return printReport(std, l.Run(ctx))
}

// comparePolicies runs the placement policies on the same arrival traces and
// prints a table. If weights are set, it runs only the current policy.
func (c *loadCommand) comparePolicies(std stdStreams) error {
	var o compare.Options
	for _, l := range compare.Loads {
		if strings.Contains(l.Name, c.Loads) {
			o.Loads = append(o.Loads, l)
		}
	}
	if len(o.Loads) == 0 {
		return errors.Newf("no load name contains %q", c.Loads)
	}
	for i := range c.Seeds {
		o.Seeds = append(o.Seeds, c.Seed+uint64(i))
	}
	for _, text := range c.Weights {
		var w placement.Weights
		if _, err := fmt.Sscanf(text, "%g/%g/%g", &w.Stall, &w.Gap, &w.Preempt); err != nil {
			return errors.Newf("weights %q must be three numbers such as 4/1/1", text)
		}
		o.Weights = append(o.Weights, w)
		o.Policies = []placement.Policy{placement.Current}
	}
	if err := compare.Run(std.out, o); err != nil {
		return fmt.Errorf("compare policies: %w", err)
	}
	return nil
}

// parseAccount parses ID:KEY or ID:KEY:CALLERS. The default is one caller.
func parseAccount(text string) (load.Account, error) {
	parts := strings.Split(text, ":")
	a := load.Account{Callers: 1}
	if len(parts) < 2 || len(parts) > 3 {
		return a, errors.Newf("account %q must be ID:KEY or ID:KEY:CALLERS", text)
	}
	a.ID, a.Key = parts[0], parts[1]
	if len(parts) == 3 {
		if _, err := fmt.Sscanf(parts[2], "%d", &a.Callers); err != nil || a.Callers < 1 {
			return a, errors.Newf("callers of account %q must be a whole number from 1", text)
		}
	}
	return a, nil
}

// printReport prints the report of a load run. It returns an error if a promise
// was broken. The error names the JSON keys of the counters in load.Report that
// must be 0: duplicated and lost tokens of a stream, tokens and answers that
// belong to another request (crossed), orders that were executed more than once
// (rantwice), and calls that were executed although their caller was told that
// they had not run (falsenotrun).
func printReport(std stdStreams, report load.Report) error {
	fmt.Fprintln(std.out, report.JSON())
	if report.Broken() {
		return errors.New("a promise was broken: duplicated, lost, crossed, rantwice or falsenotrun is not 0")
	}
	return nil
}

func (c *demoCommand) Run(std stdStreams) error {
	o := demo.Options{Seconds: c.Seconds, Seed: c.Seed, Log: newLog(std.err, c.Level)}
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		o.Status = std.err
	}
	report, err := demo.Run(context.Background(), o)
	if err != nil {
		return err
	}
	return printReport(std, report)
}
