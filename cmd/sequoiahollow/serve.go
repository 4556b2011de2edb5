package main

import (
	"context"
	"errors"
	"log/slog"

	"sequoiahollow/state/shsettings"
	"sequoiahollow/transport/shdaemon"
)

// serveCommand runs the roles of one VM.
type serveCommand struct {
	Settings string     `required:"" placeholder:"FILE" help:"Settings file."`
	LogLevel slog.Level `default:"info" help:"Lowest level that is logged: debug, info, warn or error."`
}

// Run implements the command. Logs are JSON lines on standard error.
func (c *serveCommand) Run(e *environment) error {
	settings, err := shsettings.Load(c.Settings)
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	handler := slog.NewJSONHandler(e.err, &slog.HandlerOptions{Level: c.LogLevel})
	logger := slog.New(handler).With("vm", settings.VM)
	for _, warning := range settings.Warnings() {
		logger.Warn("settings", "warning", warning)
	}
	return serve(e.ctx, settings, logger)
}

// serve runs the daemon. A stop that ctx asked for is a success.
func serve(ctx context.Context, settings shsettings.Settings, logger *slog.Logger) error {
	err := shdaemon.Run(ctx, settings, logger)
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
