package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/platform"
	"github.com/eelgrassdock/eelgrassdock/process/gateway"
	"github.com/eelgrassdock/eelgrassdock/process/logging"
)

type serveCommand struct {
	Config string `type:"existingfile" help:"Settings file in JSON; by default the one that the platform names."`
}

func (c *serveCommand) Run(std stdStreams) error {
	path := c.Config
	if path == "" {
		path = platform.SettingsPath()
	}
	if path == "" {
		return errors.New("no settings file: pass --config, or run on a platform that names one")
	}
	settings, err := gateway.ReadSettings(path)
	if err != nil {
		return err
	}
	ctx, cancel := signalContext(nil)
	defer cancel()
	writer := &logging.Writer{Out: std.out}
	log, done, written := writer.Logger(settings.Level, settings.Name), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(written)
		writer.Run(done)
	}()
	defer func() {
		close(done)
		<-written
	}()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	return platform.Serve(ctx, settings, log, func() (gateway.Settings, error) { return gateway.ReadSettings(path) }, hangups)
}
