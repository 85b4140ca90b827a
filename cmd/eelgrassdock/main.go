// Command eelgrassdock is the serving system in one binary: the entry daemon,
// the instance for the users' platform, tools for operators and tests, simulated
// endpoints, and a demonstration.
//
// Exit codes: 0 for success, 1 when the command ran and failed, 2 for wrong
// arguments; of audit also 2 for a file that cannot be read.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

// commands declares the commands and flags for kong.
type commands struct {
	Entry   entryCommand   `cmd:"" help:"Run one entry instance. SIGTERM stops it gracefully; a second SIGTERM ends the stop early."`
	Serve   serveCommand   `cmd:"" help:"Run one instance on the users' platform. SIGTERM stops it gracefully."`
	Soak    soakCommand    `cmd:"" help:"Run processes of this program under faults and check what callers and endpoints see; one JSON summary, exit code 1 if a promise was broken."`
	Explain explainCommand `cmd:"" help:"Tell from logs what became of a request, and why."`
	Check   checkCommand   `cmd:"" help:"Check a settings or configuration file and name every fault."`
	Audit   auditCommand   `cmd:"" help:"Check the platform's routing table before it is sent, as serve would decode it, and tell what it changes."`
	Publish publishCommand `cmd:"" help:"Store the first version of the configuration in the platform."`
	Ask     askCommand     `cmd:"" help:"Send one query or command of the operators' language to an entry."`
	Standin standinCommand `cmd:"" help:"Run a simulated engine, service or platform."`
	Load    loadCommand    `cmd:"" help:"Drive entries with load and check every answer."`
	Demo    demoCommand    `cmd:"" help:"Run a whole system in this process, under load and failures."`
}

// stdStreams holds the standard output and standard error of a command.
type stdStreams struct {
	out, err io.Writer
}

func main() { os.Exit(run(os.Args[1:], stdStreams{out: os.Stdout, err: os.Stderr})) }

// run runs one command line and returns the exit code.
func run(args []string, std stdStreams) int {
	var c commands
	exit := -1
	parser, err := kong.New(&c, kong.Name("eelgrassdock"), kong.UsageOnError(),
		kong.Description("A serving system for generations of unknown length on crowded engines.\n\n"+
			"Exit codes: 0 success, 1 the command failed, 2 wrong arguments."),
		kong.Writers(std.out, std.err), kong.Exit(func(code int) { exit = code }), kong.Bind(std))
	if err != nil {
		fmt.Fprintln(std.err, "eelgrassdock:", err)
		return exitFailed
	}
	ctx, err := parser.Parse(args)
	if exit >= 0 {
		return exit // --help was printed
	}
	if err != nil {
		fmt.Fprintln(std.err, "eelgrassdock:", err)
		return exitUsage
	}
	if err := ctx.Run(std); err != nil {
		fmt.Fprintln(std.err, "eelgrassdock:", err)
		if errors.Is(err, errUnreadable) {
			return exitUsage
		}
		return exitFailed
	}
	return 0
}

// signalContext returns a context that ends at the first SIGTERM or SIGINT. If
// abort is not nil, it is called at the second.
func signalContext(abort func()) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-c
		cancel()
		<-c
		if abort != nil {
			abort()
		}
	}()
	return ctx, func() {
		signal.Stop(c)
		cancel()
	}
}

// newLog returns a logger that writes JSON lines to w. It ignores an unknown
// level.
func newLog(w io.Writer, level string) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{})
	if l, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(l)
	}
	return log
}
