package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/eelgrassdock/eelgrassdock/process/entry"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
	"github.com/eelgrassdock/eelgrassdock/standin"
	"github.com/eelgrassdock/eelgrassdock/standin/model"
	"github.com/eelgrassdock/eelgrassdock/version/config"
)

type (
	entryCommand struct {
		Config string `required:"" type:"existingfile" help:"Settings file in JSON."`
	}

	checkCommand struct {
		File string `arg:"" type:"existingfile" help:"Settings or configuration file in JSON."`
		Kind string `enum:"settings,config" default:"config" help:"What the file is: settings or config."`
	}

	publishCommand struct {
		File     string `arg:"" type:"existingfile" help:"Configuration file in JSON."`
		Platform string `required:"" help:"URL of the platform's services."`
	}

	standinCommand struct {
		Engine   standinEngine   `cmd:"" help:"Run a simulated model engine."`
		Service  standinService  `cmd:"" help:"Run a simulated plain service."`
		Platform standinPlatform `cmd:"" help:"Run a simulated platform."`
	}

	standinEngine struct {
		Addr   string        `default:"127.0.0.1:0" help:"IP address and port."`
		Step   time.Duration `default:"25ms" help:"Time of a step with an empty batch."`
		Tokens int64         `default:"100000" help:"Memory in tokens."`
		Lag    time.Duration `default:"500ms" help:"Age of load reports and cache events."`
		Seed   uint64        `default:"1" help:"Seed."`
		Fenced bool          `help:"Refuse orders with an old fencing token."`
		Models []string      `help:"Models loaded at start."`
	}

	standinService struct {
		Addr  string        `default:"127.0.0.1:0" help:"IP address and port."`
		Delay time.Duration `help:"Time that a call takes."`
	}

	standinPlatform struct {
		Addr   string `default:"127.0.0.1:0" help:"IP address and port."`
		Writes int    `default:"300" help:"Writes per second; 0 for no limit."`
		Reads  int    `default:"2000" help:"Reads per second; 0 for no limit."`
		Seed   uint64 `default:"1" help:"Seed of the faults."`
	}
)

func (c *entryCommand) Run(std stdStreams) error {
	settings, err := entry.ReadSettings(c.Config)
	if err != nil {
		return err
	}
	remote := &platform.Remote{URL: settings.Platform}
	e := &entry.Entry{Settings: settings, Platform: remote.Platform(), Log: newLog(std.err, settings.Level)}
	ctx, cancel := signalContext(e.Abort)
	defer cancel()
	return e.Run(ctx)
}

func (c *checkCommand) Run(std stdStreams) error {
	if c.Kind == "settings" {
		if _, err := entry.ReadSettings(c.File); err != nil {
			return err
		}
		fmt.Fprintln(std.out, c.File+": settings are valid")
		return nil
	}
	if _, err := readDocument(c.File); err != nil {
		return err
	}
	fmt.Fprintln(std.out, c.File+": configuration is valid")
	return nil
}

// readDocument reads and checks a configuration file. The error lists all faults,
// one per line.
func readDocument(path string) (config.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return config.Document{}, fmt.Errorf("read configuration: %w", err)
	}
	doc, faults := config.Decode(data)
	if len(faults) == 0 {
		return doc, nil
	}
	text := path + ": "
	for i, f := range faults {
		if i > 0 {
			text += "\n"
		}
		text += f.String()
	}
	return doc, errors.New(text)
}

func (c *publishCommand) Run(std stdStreams) error {
	doc, err := readDocument(c.File)
	if err != nil {
		return err
	}
	remote := &platform.Remote{URL: c.Platform}
	if err := entry.Publish(context.Background(), remote.Platform(), doc); err != nil {
		return err
	}
	fmt.Fprintln(std.out, "configuration stored")
	return nil
}

func (c *standinEngine) Run(std stdStreams) error {
	e := &standin.Engine{
		Model: model.Config{Base: c.Step, Memory: c.Tokens, Seed: c.Seed}, Lag: c.Lag, Fenced: c.Fenced, Models: c.Models,
	}
	ctx, cancel := signalContext(nil)
	defer cancel()
	go func() { _ = e.Run(ctx) }()
	return serve(ctx, std, c.Addr, e.Handler())
}

func (c *standinService) Run(std stdStreams) error {
	s := &standin.Service{Delay: func() time.Duration { return c.Delay }}
	ctx, cancel := signalContext(nil)
	defer cancel()
	return serve(ctx, std, c.Addr, s.Handler())
}

func (c *standinPlatform) Run(std stdStreams) error {
	m := &platform.Memory{Seed: c.Seed}
	if c.Writes > 0 {
		m.Writes = rate.NewLimiter(rate.Limit(c.Writes), c.Writes)
	}
	if c.Reads > 0 {
		m.Reads = rate.NewLimiter(rate.Limit(c.Reads), c.Reads)
	}
	ctx, cancel := signalContext(nil)
	defer cancel()
	return serve(ctx, std, c.Addr, m.Handler())
}

// serve serves HTTP on addr until ctx ends. The first line on standard output is
// a JSON object with the address on which it listens.
func serve(ctx context.Context, std stdStreams, addr string, handler http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	if err := json.NewEncoder(std.out).Encode(map[string]string{"addr": l.Addr().String()}); err != nil {
		return fmt.Errorf("write address: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
