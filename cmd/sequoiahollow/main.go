// Command sequoiahollow is the daemon of the traffic steering system.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"sequoiahollow/state/shsettings"
	"sequoiahollow/transport/shdaemon"
)

type options struct {
	Serve struct {
		Settings string `required:"" help:"Settings file of the process."`
	} `cmd:"" help:"Run the daemon."`
}

func main() {
	var o options
	kong.Parse(&o)
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	s, err := shsettings.Load(o.Serve.Settings)
	if err == nil {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		err = shdaemon.Run(ctx, s, log)
	}
	if err != nil {
		log.Error("daemon stopped", "error", err)
		os.Exit(1)
	}
}
